//! Health of a worker, judged by the results of its runs. A worker on which the runs of
//! several jobs fail, or that refuses a start as unhealthy, is quarantined for a while.
//! Failures of a single job do not quarantine it, since a faulty job fails on every
//! worker. Until a run completes after a quarantine, each failure starts a longer one.

use crate::prelude::*;

/// Consecutive failures, without a completed run between them, that quarantine a
/// worker; a single one may be caused by the job.
const QUARANTINE_FAILURES: u32 = 2;
/// Duration of the first quarantine of a worker.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(4);
/// Limit of the duration of a quarantine, which doubles each time.
const MAX_QUARANTINE: Duration = Duration::from_secs(30);

/// Failures and quarantine of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerHealth {
    /// Counted failures since the last completed run.
    pub consecutive_failures: u32,
    /// Job of the last counted failure. Further failures of the same job do not count
    /// until the worker was quarantined.
    last_failed_job: Option<JobKey>,
    /// No run is started on the worker before this time.
    pub quarantined_until: MonotonicTime,
    /// Quarantines since the last completed run.
    pub consecutive_quarantines: u32,
}

impl WorkerHealth {
    /// Whether the worker is not in quarantine, so that runs may be started on it.
    pub fn is_available(&self, now: MonotonicTime) -> bool {
        now >= self.quarantined_until
    }

    /// Records a completed run.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.last_failed_job = None;
        self.consecutive_quarantines = 0;
    }

    /// Records a failed run. Returns whether it quarantined the worker.
    pub fn record_failure(&mut self, now: MonotonicTime, job: JobKey) -> bool {
        if self.last_failed_job == Some(job) && self.consecutive_quarantines == 0 {
            return false;
        }
        self.last_failed_job = Some(job);
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_FAILURES && self.consecutive_quarantines == 0 {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Quarantines the worker, for twice as long each consecutive time.
    pub fn quarantine(&mut self, now: MonotonicTime) {
        let duration =
            INITIAL_QUARANTINE * 2_u32.saturating_pow(self.consecutive_quarantines.min(8));
        self.quarantined_until = now + duration.min(MAX_QUARANTINE);
        self.consecutive_quarantines += 1;
    }
}
