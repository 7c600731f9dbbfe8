//! Outcomes of the jobs and of the run of a zone.

use flamingowalk_core::prelude::*;

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndKind {
    /// The job finished.
    Finished,
    /// The job ran and failed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
    /// The planner refused the job without running it.
    Refused,
}

/// Outcome of one job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobOutcome {
    /// Time of acceptance.
    pub accepted_at: MonotonicTime,
    /// Time at which all members of an attempt had started for the first time.
    pub started_at: Option<MonotonicTime>,
    /// Time at which the planner requested the record of the end.
    pub ended_at: Option<MonotonicTime>,
    /// Kind of the end.
    pub end: Option<EndKind>,
    /// Accelerators of the gang.
    pub accelerators: u32,
    /// Whether the job is urgent.
    pub urgent: bool,
    /// Whether the job can finish: it fits on a worker and does not fail by itself.
    pub can_run: bool,
    /// Whether, at its arrival, all open jobs of its customer, itself included, fitted into
    /// the customer's guaranteed blocks of the zone.
    pub is_guaranteed_claim: bool,
    /// Number of racks of its first start.
    pub racks: u32,
}

impl JobOutcome {
    /// Returns the time from acceptance to the start; to the end if the job never started, or
    /// to the end of the run if it still waits.
    pub fn wait(&self, run_end: MonotonicTime) -> Duration {
        let until = self.started_at.or(self.ended_at).unwrap_or(run_end);
        until.since(self.accepted_at)
    }

    /// Returns the time from acceptance to the end, or to the end of the run.
    pub fn completion(&self, run_end: MonotonicTime) -> Duration {
        self.ended_at.unwrap_or(run_end).since(self.accepted_at)
    }
}

/// State of the workers of a zone at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneSample {
    /// Accelerators of all workers that are up.
    pub total: u32,
    /// Accelerators of running tasks.
    pub running: u32,
    /// Accelerators that no task or reservation holds.
    pub free: u32,
    /// Largest adjacent free block: consecutive accelerators of one worker, or the wholly free
    /// workers of one rack.
    pub largest_block: u32,
    /// Largest adjacent block that the same number of free accelerators could form.
    pub best_block: u32,
    /// Gangs of which only some members ran both at this sample and at the previous one.
    pub partial_gangs: u32,
}

/// Outcome of the run of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneOutcome {
    /// Jobs in the order of arrival.
    pub jobs: Vec<JobOutcome>,
    /// Samples taken while jobs arrived.
    pub samples: Vec<ZoneSample>,
    /// Time at which the run ended.
    pub run_end: MonotonicTime,
    /// Requests to record the end of a job that had already ended.
    pub repeated_ends: u32,
    /// Repeated starts of non-idempotent jobs.
    pub repeated_starts: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
}
