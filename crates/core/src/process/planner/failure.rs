//! Attribution of task failures to the job or to the worker. The failure of a job
//! that failed on several workers is attributed to the job. A worker is quarantined if
//! jobs of several kinds failed on it, or if a job that failed on it finished on
//! another worker.

use crate::prelude::*;
use crate::process::planner::job_queue::JobKind;
use crate::process::planner::state::PlannerState;

/// Consecutive failed jobs after which a worker is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 3;
/// Consecutive failed jobs after which a worker is quarantined again if it has finished
/// no job since its last quarantine.
const REQUARANTINE_FAILED_JOBS: usize = 2;
/// Length of the first quarantine. It doubles with each further quarantine before a
/// success.
const INITIAL_QUARANTINE: Duration = Duration::from_mins(5);
/// Upper limit of the length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(1);
/// Time for which a job is not placed on workers on which it failed.
pub const WORKER_AVOIDANCE_DURATION: Duration = Duration::from_mins(2);

/// Failures of a worker since its last success.
#[derive(Clone, Debug, Default)]
pub struct FailureRecord {
    /// Jobs that failed here and whose failure is not attributed to the job itself.
    pub jobs: BTreeMap<JobId, JobKind>,
    /// Whether one of these jobs has since finished on another worker.
    pub is_confirmed: bool,
    /// Quarantines since the last success.
    pub consecutive_quarantines: u32,
    /// End of the quarantine, if any.
    pub quarantined_until: Option<MonotonicTime>,
}

impl FailureRecord {
    /// Whether the failures are sufficient to quarantine the worker.
    fn is_quarantine_due(&self) -> bool {
        let needed = if self.consecutive_quarantines > 0 {
            REQUARANTINE_FAILED_JOBS
        } else {
            QUARANTINE_FAILED_JOBS
        };
        let kinds: BTreeSet<&JobKind> = self.jobs.values().collect();
        self.jobs.len() >= needed && (kinds.len() > 1 || self.is_confirmed)
    }
}

impl PlannerState {
    /// Records that a task of a job failed on a worker.
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
        self.quarantine_if_due(now, worker);
    }

    /// Records that a job finished. This clears the failures of its workers and
    /// confirms those of the workers on which the job failed before.
    pub(super) fn record_success(&mut self, now: MonotonicTime, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let healthy: BTreeSet<WorkerName> =
            entry.members.iter().map(|m| m.worker.clone()).collect();
        let suspects = entry.failed_on.clone();
        for worker in &healthy {
            if let Some(entry) = self.workers.get_mut(worker) {
                let quarantined_until = entry.failures.quarantined_until;
                entry.failures = FailureRecord {
                    quarantined_until,
                    ..FailureRecord::default()
                };
            }
        }
        for worker in suspects.difference(&healthy) {
            if let Some(entry) = self.workers.get_mut(worker)
                && entry.failures.jobs.contains_key(id)
            {
                entry.failures.is_confirmed = true;
            }
            self.quarantine_if_due(now, worker);
        }
    }

    /// Discounts the failures of a job that ended as failed. If it failed on several
    /// workers, the fault is its own.
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

    /// Quarantines a worker whose failures are sufficient, unless the share of
    /// quarantined workers would exceed the limit in the settings.
    fn quarantine_if_due(&mut self, now: MonotonicTime, worker: &WorkerName) {
        let quarantined = self
            .workers
            .values()
            .filter(|w| w.failures.quarantined_until.is_some())
            .count();
        let limit = self.workers.len() as f64 * self.settings.policy.quarantine_share;
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let failures = &mut entry.failures;
        if failures.quarantined_until.is_some()
            || !failures.is_quarantine_due()
            || (quarantined + 1) as f64 > limit
        {
            return;
        }
        let length = INITIAL_QUARANTINE * (1 << failures.consecutive_quarantines.min(8));
        failures.quarantined_until = Some(now + length.min(MAX_QUARANTINE));
        failures.consecutive_quarantines += 1;
        failures.is_confirmed = false;
        let jobs = std::mem::take(&mut failures.jobs);
        log::warn!(
            "worker {worker} is quarantined; it failed {} jobs in a row",
            jobs.len()
        );
        for id in jobs.keys() {
            self.discount_start(id);
        }
    }

    /// Removes an attempt from the job's count, since the worker caused its failure.
    fn discount_start(&mut self, id: &JobId) {
        if let Some(entry) = self.jobs.get_mut(id)
            && entry.is_idempotent()
        {
            entry.starts = entry.starts.saturating_sub(1);
        }
    }

    /// Ends quarantines whose duration has elapsed.
    pub(super) fn end_quarantines(&mut self, now: MonotonicTime) {
        for (name, entry) in &mut self.workers {
            if entry
                .failures
                .quarantined_until
                .is_some_and(|end| end <= now)
            {
                entry.failures.quarantined_until = None;
                log::info!("worker {name} is tried again after its quarantine");
            }
        }
    }
}
