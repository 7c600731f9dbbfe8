//! What a worker's results say of it. A worker that fails what others do well gets
//! nothing for a while, then one trial. At most a part of the workers is set aside at
//! once, since a bad job fails everywhere.

use crate::prelude::*;

/// Failed or refused starts in a row, with no run done between, that set a worker
/// aside: one may be the job's own fault.
const FAILURES_IN_A_ROW: u32 = 2;
/// First time for which a worker is set aside.
const FIRST_PAUSE: Duration = Duration::from_secs(4);
/// Longest time for which a worker is set aside.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Results of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerHealth {
    /// Failures since the last run that was done.
    pub consecutive_failures: u32,
    /// Job of the last failure; a second failure counts only for another job.
    last_failed: Option<JobKey>,
    /// Nothing is started on it before.
    pub quarantined_until: MonotonicTime,
    /// How often in a row it was set aside.
    pub consecutive_quarantines: u32,
}

impl WorkerHealth {
    /// Whether something may be started on it.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        now >= self.quarantined_until
    }

    /// Takes a run that was done.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.last_failed = None;
        self.consecutive_quarantines = 0;
    }

    /// Takes a run that failed; whether the worker is set aside by it.
    pub fn record_failure(&mut self, now: MonotonicTime, job: JobKey) -> bool {
        if self.last_failed == Some(job) && self.consecutive_quarantines == 0 {
            return false;
        }
        self.last_failed = Some(job);
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_IN_A_ROW && self.consecutive_quarantines == 0 {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Sets the worker aside, longer each time in a row.
    pub fn quarantine(&mut self, now: MonotonicTime) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.consecutive_quarantines.min(8));
        self.quarantined_until = now + pause.min(LONGEST_PAUSE);
        self.consecutive_quarantines += 1;
    }
}
