//! The attempts of one call. Whatever the caller's, the target's or this host's
//! repetitions do, a non-idempotent call never begins an attempt after one that
//! may have run.

use crate::prelude::*;
use crate::process::router::table::TargetIndex;
use crate::request::deadline::CallDeadline;
use crate::request::outcome::{CallOutcome, ConnectionAge, FailurePoint, RepeatRule, RepeatSafety};

/// Most attempts of one call.
pub const MAX_ATTEMPTS: u32 = 4;

/// Targets that must say "ran and failed" before the call itself is at fault.
const FAILED_TARGETS: u32 = 2;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// End the call with this outcome.
    End(CallOutcome),
    /// Send the call again, if the retry budget allows.
    Repeat(RepeatRule),
}

/// What is known of one call between its attempts.
#[derive(Clone, Debug)]
pub struct CallProgress {
    /// Whether the call may run more than once.
    safety: RepeatSafety,
    /// Attempts that have ended.
    attempts: u32,
    /// An earlier attempt may have run. Never reset.
    may_have_run: bool,
    /// Targets that said "ran and failed".
    failed_targets: u32,
    /// Targets that an `OtherTarget` repetition must avoid.
    tried: BTreeSet<TargetIndex>,
}

impl CallProgress {
    /// A call before its first attempt.
    pub const fn new(safety: RepeatSafety) -> Self {
        Self {
            safety,
            attempts: 0,
            may_have_run: false,
            failed_targets: 0,
            tried: BTreeSet::new(),
        }
    }

    /// Whether the call may run more than once.
    pub const fn safety(&self) -> RepeatSafety {
        self.safety
    }

    /// Attempts that have ended.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Targets not to be tried again.
    pub const fn tried(&self) -> &BTreeSet<TargetIndex> {
        &self.tried
    }

    /// Whether another attempt may follow one that begins now and fails unproved.
    pub fn may_repeat_unconfirmed(&self) -> bool {
        self.safety == RepeatSafety::Idempotent && self.attempts + 1 < MAX_ATTEMPTS
    }

    /// Takes in a failed attempt at `target`; absent if none was chosen.
    pub fn record_failure(
        &mut self,
        target: Option<TargetIndex>,
        point: FailurePoint,
        connection: ConnectionAge,
        deadline: &CallDeadline,
        now: MonotonicTime,
    ) -> NextStep {
        debug_assert!(
            !self.is_repeat_forbidden(),
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
        let rule = point.repeat(self.safety, connection);
        if rule == RepeatRule::OtherTarget {
            self.tried.extend(target);
        }
        let spent = self.attempts >= MAX_ATTEMPTS
            || self.failed_targets >= FAILED_TARGETS
            || deadline.is_expired(now);
        if spent || rule == RepeatRule::Never {
            return NextStep::End(self.ending(point.outcome()));
        }
        NextStep::Repeat(rule)
    }

    /// Outcome of the call when its last attempt ended with `last`. An attempt that
    /// may have run is never forgotten by a later one that was refused.
    pub fn ending(&self, last: CallOutcome) -> CallOutcome {
        match last {
            CallOutcome::NotRun if self.failed_targets > 0 => CallOutcome::Failed,
            CallOutcome::NotRun if self.may_have_run => CallOutcome::OutcomeUnknown,
            other => other,
        }
    }

    /// Whether no further attempt may begin.
    pub fn is_repeat_forbidden(&self) -> bool {
        self.safety == RepeatSafety::NonIdempotent && self.may_have_run
    }
}
