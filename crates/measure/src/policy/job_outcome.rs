//! What became of one job, and what happened in one run.

use flamingowalk_core::prelude::*;

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndKind {
    /// It finished.
    Finished,
    /// It ran and failed.
    Failed,
    /// Its caller gave up.
    Cancelled,
    /// It did not run.
    Refused,
}

/// One job of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct JobOutcome {
    /// When it was accepted.
    pub accepted_at: MonotonicTime,
    /// When all members of an attempt had first started.
    pub started_at: Option<MonotonicTime>,
    /// When its ending was asked to be recorded.
    pub ended_at: Option<MonotonicTime>,
    /// How it ended.
    pub end: Option<EndKind>,
    /// Accelerators of the gang.
    pub accelerators: u32,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it could ever run.
    pub can_run: bool,
    /// Whether all open jobs of its customer fitted into the customer's guaranteed
    /// blocks of the zone when it arrived, itself included.
    pub is_claim: bool,
    /// Racks of its first start.
    pub racks: u32,
}

impl JobOutcome {
    /// Time from acceptance to its start, to its end if it never started, or to
    /// the end of the run if it still waits.
    pub fn wait(&self, run_end: MonotonicTime) -> Duration {
        let until = self.started_at.or(self.ended_at).unwrap_or(run_end);
        until.since(self.accepted_at)
    }

    /// Time from acceptance to its end, or to the end of the run.
    pub fn completion(&self, run_end: MonotonicTime) -> Duration {
        self.ended_at.unwrap_or(run_end).since(self.accepted_at)
    }
}

/// One look at the workers of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneSample {
    /// Accelerators of all workers that are up.
    pub total: u32,
    /// Accelerators of running tasks.
    pub running: u32,
    /// Accelerators that nothing holds.
    pub free: u32,
    /// Largest adjacent free block: a run on one worker, or whole workers of one
    /// rack.
    pub largest_block: u32,
    /// Largest adjacent block that the same number of free accelerators could form.
    pub best_block: u32,
    /// Gangs of which only some members have run since the sample before.
    pub partial_gangs: u32,
}

/// Everything seen in the run of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneOutcome {
    /// Jobs in the order of arrival.
    pub jobs: Vec<JobOutcome>,
    /// Samples while jobs arrived.
    pub samples: Vec<ZoneSample>,
    /// End of the run.
    pub run_end: MonotonicTime,
    /// Endings asked for after the first of a job.
    pub repeated_ends: u32,
    /// Starts of non-idempotent jobs after the first.
    pub repeated_starts: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
}
