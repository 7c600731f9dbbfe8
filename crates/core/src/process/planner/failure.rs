//! Failures of tasks, and whether the job or the worker is to blame. A job that
//! failed on several workers is at fault itself; a worker on which jobs of several
//! kinds failed, or that failed a job which finished elsewhere, is quarantined.

use crate::prelude::*;
use crate::process::planner::job_queue::JobKind;
use crate::process::planner::state::PlannerState;

/// Jobs that must have failed in a row on a worker before it is quarantined.
const FAILED_JOBS: usize = 3;
/// The same for a worker that was quarantined and has finished nothing since.
const FAILED_JOBS_AGAIN: usize = 2;
/// Length of the first quarantine; it doubles each time without a success between.
const QUARANTINE_BASE: Duration = Duration::from_mins(5);
/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_hours(1);
/// Time for which a job keeps away from workers on which it failed.
pub const WORKER_AVOIDANCE_DURATION: Duration = Duration::from_mins(2);

/// Failures of a worker since its last success.
#[derive(Clone, Debug, Default)]
pub struct FailureRecord {
    /// Jobs that failed, not known to be at fault themselves.
    pub jobs: BTreeMap<JobId, JobKind>,
    /// Whether one of them has finished on another worker since.
    pub is_confirmed: bool,
    /// Quarantines since the last success.
    pub quarantines: u32,
    /// End of the quarantine, if any.
    pub until: Option<MonotonicTime>,
}

impl FailureRecord {
    /// Whether the worker is to be quarantined.
    fn is_damning(&self) -> bool {
        let needed = if self.quarantines > 0 {
            FAILED_JOBS_AGAIN
        } else {
            FAILED_JOBS
        };
        let kinds: BTreeSet<&JobKind> = self.jobs.values().collect();
        self.jobs.len() >= needed && (kinds.len() > 1 || self.is_confirmed)
    }
}

impl PlannerState {
    /// Notes that a job's task failed on a worker.
    pub(super) fn record_failure(&mut self, now: MonotonicTime, worker: &WorkerName, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.failed_on.insert(worker.clone());
        entry.failed_at = now;
        let kind = JobKind {
            customer: entry.job.customer.clone(),
            class: entry.job.class.clone(),
        };
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.failures.jobs.insert(id.clone(), kind);
        }
        self.judge_worker(now, worker);
    }

    /// Notes that a job finished: its workers are sound, and those on which it
    /// failed before are not.
    pub(super) fn record_success(&mut self, now: MonotonicTime, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let sound: BTreeSet<WorkerName> = entry.members.iter().map(|m| m.worker.clone()).collect();
        let suspects = entry.failed_on.clone();
        for worker in &sound {
            if let Some(entry) = self.workers.get_mut(worker) {
                let until = entry.failures.until;
                entry.failures = FailureRecord {
                    until,
                    ..FailureRecord::default()
                };
            }
        }
        for worker in suspects.difference(&sound) {
            if let Some(entry) = self.workers.get_mut(worker)
                && entry.failures.jobs.contains_key(id)
            {
                entry.failures.is_confirmed = true;
            }
            self.judge_worker(now, worker);
        }
    }

    /// Notes that a job ended as failed: on several workers it was to blame itself.
    pub(super) fn discount_job_failures(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        if entry.failed_on.len() < 2 {
            return;
        }
        for worker in &entry.failed_on {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.failures.jobs.remove(id);
            }
        }
    }

    /// Quarantines a worker that fails what it starts, as long as not too many are.
    fn judge_worker(&mut self, now: MonotonicTime, worker: &WorkerName) {
        let isolated = self
            .workers
            .values()
            .filter(|w| w.failures.until.is_some())
            .count();
        let most = self.workers.len() as f64 * self.settings.policy.quarantine_share;
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let failures = &mut entry.failures;
        if failures.until.is_some() || !failures.is_damning() || (isolated + 1) as f64 > most {
            return;
        }
        let length = QUARANTINE_BASE * (1 << failures.quarantines.min(8));
        failures.until = Some(now + length.min(QUARANTINE_MAX));
        failures.quarantines += 1;
        failures.is_confirmed = false;
        let jobs = std::mem::take(&mut failures.jobs);
        log::warn!(
            "worker {worker} is quarantined; it failed {} jobs in a row",
            jobs.len()
        );
        for id in jobs.keys() {
            self.forgive_start(id);
        }
    }

    /// Does not count an attempt that failed through the worker's fault.
    fn forgive_start(&mut self, id: &JobId) {
        if let Some(entry) = self.jobs.get_mut(id)
            && entry.is_idempotent()
        {
            entry.starts = entry.starts.saturating_sub(1);
        }
    }

    /// Ends quarantines whose time is over.
    pub(super) fn end_quarantines(&mut self, now: MonotonicTime) {
        for (name, entry) in &mut self.workers {
            if entry.failures.until.is_some_and(|until| until <= now) {
                entry.failures.until = None;
                log::info!("worker {name} is tried again after its quarantine");
            }
        }
    }
}
