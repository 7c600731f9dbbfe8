//! The attempts of one call. A non-idempotent call never begins another attempt after
//! one that may have run, whatever the caller, the target or this host retries.

use crate::prelude::*;
use crate::process::router::table::TargetIndex;
use crate::request::deadline::CallDeadline;
use crate::request::outcome::{CallOutcome, ConnectionAge, FailurePoint, RetryRule, RetrySafety};

/// Maximum number of attempts of one call.
pub const MAX_ATTEMPTS: u32 = 4;

/// Number of targets that report "ran and failed" after which the failure is
/// attributed to the call itself, which then ends.
const MAX_FAILED_TARGETS: u32 = 2;

/// The next step of a call after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// End the call with this outcome.
    End(CallOutcome),
    /// Retry the call as the rule says, if the retry budget allows.
    Retry(RetryRule),
}

/// State of one call across its attempts.
#[derive(Clone, Debug)]
pub struct CallProgress {
    /// Whether the call may run more than once.
    safety: RetrySafety,
    /// Number of attempts that have ended.
    attempts: u32,
    /// Whether an earlier attempt may have run. Never reset.
    may_have_run: bool,
    /// Number of targets that reported "ran and failed".
    failed_targets: u32,
    /// Targets that an `OtherTarget` retry avoids.
    tried: BTreeSet<TargetIndex>,
}

impl CallProgress {
    /// Creates the state of a call before its first attempt.
    pub const fn new(safety: RetrySafety) -> Self {
        Self {
            safety,
            attempts: 0,
            may_have_run: false,
            failed_targets: 0,
            tried: BTreeSet::new(),
        }
    }

    /// Returns whether the call may run more than once.
    pub const fn safety(&self) -> RetrySafety {
        self.safety
    }

    /// Returns the number of attempts that have ended.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the targets that are not to be tried again.
    pub const fn tried(&self) -> &BTreeSet<TargetIndex> {
        &self.tried
    }

    /// Returns whether another attempt may follow one that begins now and fails without
    /// confirmation that it did not run.
    pub fn may_retry_unconfirmed(&self) -> bool {
        self.safety == RetrySafety::Idempotent && self.attempts + 1 < MAX_ATTEMPTS
    }

    /// Records a failed attempt at `target`, which is `None` if no target was chosen.
    pub fn record_failure(
        &mut self,
        target: Option<TargetIndex>,
        point: FailurePoint,
        connection: ConnectionAge,
        deadline: &CallDeadline,
        now: MonotonicTime,
    ) -> NextStep {
        debug_assert!(
            !self.is_retry_forbidden(),
            "an attempt began after one that may have run"
        );
        self.attempts += 1;
        match point.outcome() {
            CallOutcome::NotRun | CallOutcome::Answer => {}
            CallOutcome::Failed => {
                self.may_have_run = true;
                self.failed_targets += 1;
            }
            CallOutcome::OutcomeUnknown => self.may_have_run = true,
        }
        let rule = point.retry_rule(self.safety, connection);
        if rule == RetryRule::OtherTarget {
            self.tried.extend(target);
        }
        let is_exhausted = self.attempts >= MAX_ATTEMPTS
            || self.failed_targets >= MAX_FAILED_TARGETS
            || deadline.is_expired(now);
        if is_exhausted || rule == RetryRule::Never {
            return NextStep::End(self.final_outcome(point.outcome()));
        }
        NextStep::Retry(rule)
    }

    /// Returns the outcome of the call if its last attempt ended with `last`. A later
    /// attempt that was refused does not hide an earlier one that may have run.
    pub fn final_outcome(&self, last: CallOutcome) -> CallOutcome {
        match last {
            CallOutcome::NotRun if self.failed_targets > 0 => CallOutcome::Failed,
            CallOutcome::NotRun if self.may_have_run => CallOutcome::OutcomeUnknown,
            other => other,
        }
    }

    /// Returns whether no further attempt may begin because the call may have run.
    pub fn is_retry_forbidden(&self) -> bool {
        self.safety == RetrySafety::NonIdempotent && self.may_have_run
    }
}
