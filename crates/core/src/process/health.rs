//! Health of one target. A target whose failure share or latency is too high is
//! quarantined and returns after successful probes, with hysteresis between the two.
//! The target table compares targets with the rest of their zone and limits how many
//! are quarantined, since that needs all targets.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::request::outcome::RetrySafety;

/// Thresholds by which targets enter and leave quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthRules {
    /// Minimum number of known outcomes for the failure share to count; at most 16.
    pub min_outcomes: u32,
    /// Failure share from which a target is suspect.
    pub failure_share: f64,
    /// Margin by which its failure share must exceed that of the rest of the zone. A bad
    /// call fails on every target; a bad target differs from the others.
    pub margin: f64,
    /// Least number of answers for the latency to count.
    pub min_answers: u64,
    /// Ratio of the mean latency to the zone's median from which a target is slow.
    pub slow_factor: f64,
    /// Consecutive failed connection attempts from which a target is unreachable.
    pub unreachable_after: u32,
    /// Duration of the first quarantine; doubles with each further one.
    pub initial_quarantine: Duration,
    /// Longest duration of a quarantine.
    pub max_quarantine: Duration,
    /// Successful probe calls in a row that end the quarantine.
    pub probation_answers: u32,
    /// Additional delay before a non-idempotent call may be a probe call.
    pub probe_call_delay: Duration,
}

impl Default for HealthRules {
    fn default() -> Self {
        Self {
            min_outcomes: 5,
            failure_share: 0.5,
            margin: 0.3,
            min_answers: 8,
            slow_factor: 4.0,
            unreachable_after: 2,
            initial_quarantine: Duration::from_secs(1),
            max_quarantine: Duration::from_secs(30),
            probation_answers: 3,
            probe_call_delay: Duration::from_secs(10),
        }
    }
}

/// Why a target is in quarantine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum QuarantineCause {
    /// It fails calls that others answer.
    Failing,
    /// It is much slower than the rest of its zone.
    Slow,
    /// No connection to it can be made.
    Unreachable,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It receives calls.
    Healthy,
    /// It receives no calls until the given time, then one probe call at a time.
    Quarantined {
        /// Cause of the quarantine.
        cause: QuarantineCause,
        /// Time from which probe calls are allowed.
        until: MonotonicTime,
    },
}

impl Display for HealthState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::Quarantined { cause, .. } => match cause {
                QuarantineCause::Failing => "failing",
                QuarantineCause::Slow => "slow",
                QuarantineCause::Unreachable => "unreachable",
            },
        })
    }
}

/// Recent outcomes of one target and the state that follows from them.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHealth {
    state: HealthState,
    /// Last outcomes, newest in the lowest bit; a set bit is a failure. The history is short
    /// so that a target that starts to fail is detected soon after a long healthy period.
    outcomes: u16,
    /// Number of bits of `outcomes` in use, at most 16.
    known_outcomes: u32,
    /// Failed connection attempts since the last success.
    failed_connects: u32,
    /// Successful probe calls in a row during the quarantine.
    good_probe_calls: u32,
    /// Whether a probe call is in flight; set only in quarantine.
    probe_call_in_flight: bool,
    /// Duration of the next quarantine.
    next_quarantine: Duration,
}

impl TargetHealth {
    /// Creates the state of a healthy target without outcomes.
    pub const fn new(rules: &HealthRules) -> Self {
        Self {
            state: HealthState::Healthy,
            outcomes: 0,
            known_outcomes: 0,
            failed_connects: 0,
            good_probe_calls: 0,
            probe_call_in_flight: false,
            next_quarantine: rules.initial_quarantine,
        }
    }

    /// Returns the state of the target.
    pub const fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether the target is not in quarantine.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Returns the number of failures among the last outcomes, and the number of these
    /// outcomes.
    pub const fn recent(&self) -> (u32, u32) {
        (self.outcomes.count_ones(), self.known_outcomes)
    }

    /// Returns the share of successes among the recent outcomes; 1.0 if there are none.
    pub fn success_share(&self) -> f64 {
        let (failures, known_outcomes) = self.recent();
        if known_outcomes == 0 {
            return 1.0;
        }
        1.0 - f64::from(failures) / f64::from(known_outcomes)
    }

    /// Returns whether a quarantined target may get a probe call at `now`.
    pub fn is_probe_call_due(
        &self,
        rules: &HealthRules,
        safety: RetrySafety,
        now: MonotonicTime,
    ) -> bool {
        let HealthState::Quarantined { until, cause } = self.state else {
            return false;
        };
        if cause == QuarantineCause::Unreachable {
            return false;
        }
        let delay = match safety {
            RetrySafety::Idempotent => Duration::ZERO,
            RetrySafety::NonIdempotent => rules.probe_call_delay,
        };
        !self.probe_call_in_flight && now >= until + delay
    }

    /// Records that the next call to the target is a probe call.
    pub fn start_probe_call(&mut self) {
        debug_assert!(
            !self.is_healthy(),
            "only a quarantined target gets probe calls"
        );
        self.probe_call_in_flight = true;
    }

    /// Records a success. Returns true if it ends the quarantine. Answers to calls that
    /// were sent before the quarantine started do not end it.
    pub fn record_success(&mut self, rules: &HealthRules, is_probe_call: bool) -> bool {
        self.push_outcome(false, rules);
        self.failed_connects = 0;
        if !is_probe_call || self.is_healthy() {
            return false;
        }
        self.probe_call_in_flight = false;
        self.good_probe_calls += 1;
        if self.good_probe_calls < rules.probation_answers {
            return false;
        }
        self.leave_quarantine(rules);
        true
    }

    /// Clears the outcomes. They are obsolete if the target answers after a long time without
    /// any outcome.
    pub const fn clear_outcomes(&mut self) {
        self.outcomes = 0;
        self.known_outcomes = 0;
    }

    /// Records a failure that is attributed to the target.
    pub fn record_failure(&mut self, rules: &HealthRules, is_probe_call: bool, now: MonotonicTime) {
        self.push_outcome(true, rules);
        if is_probe_call {
            self.fail_probe_call(rules, now);
        }
    }

    /// Records a probe call whose answer was still too slow.
    pub fn record_slow_probe_call(&mut self, rules: &HealthRules, now: MonotonicTime) {
        self.fail_probe_call(rules, now);
    }

    /// Records a failed connection attempt. Returns true if a healthy target must now be
    /// treated as unreachable.
    pub const fn record_connect_failure(&mut self, rules: &HealthRules) -> bool {
        self.probe_call_in_flight = false;
        self.failed_connects += 1;
        matches!(self.state, HealthState::Healthy)
            && self.failed_connects >= rules.unreachable_after
    }

    /// Records the end of an attempt that says nothing about the health of the target.
    pub const fn record_neutral(&mut self, is_probe_call: bool) {
        if is_probe_call {
            self.probe_call_in_flight = false;
        }
    }

    /// Returns whether a probe of the target is due at `now`. Unreachable targets return by
    /// probes alone, so that no call waits for a connection that cannot be established.
    pub fn is_probe_due(&self, now: MonotonicTime) -> bool {
        matches!(
            self.state,
            HealthState::Quarantined { cause: QuarantineCause::Unreachable, until } if now >= until
        )
    }

    /// Records the result of a probe of an unreachable target.
    pub fn record_probe(&mut self, rules: &HealthRules, is_answered: bool, now: MonotonicTime) {
        if !self.is_probe_due(now) {
            return;
        }
        if is_answered {
            self.leave_quarantine(rules);
        } else {
            self.quarantine(rules, QuarantineCause::Unreachable, now);
        }
    }

    /// Returns whether the recent outcomes alone make the target suspect.
    pub fn is_suspect(&self, rules: &HealthRules) -> bool {
        self.known_outcomes >= rules.min_outcomes
            && 1.0 - self.success_share() >= rules.failure_share
    }

    /// Puts the target into quarantine.
    pub fn quarantine(&mut self, rules: &HealthRules, cause: QuarantineCause, now: MonotonicTime) {
        let until = now + self.next_quarantine;
        self.state = HealthState::Quarantined { cause, until };
        self.next_quarantine = (self.next_quarantine * 2).min(rules.max_quarantine);
        self.good_probe_calls = 0;
        self.probe_call_in_flight = false;
    }

    fn leave_quarantine(&mut self, rules: &HealthRules) {
        *self = Self {
            next_quarantine: self.next_quarantine,
            ..Self::new(rules)
        };
    }

    /// Adds an outcome. A full history of successes resets the duration of the next
    /// quarantine.
    fn push_outcome(&mut self, is_failure: bool, rules: &HealthRules) {
        self.outcomes = (self.outcomes << 1) | u16::from(is_failure);
        self.known_outcomes = (self.known_outcomes + 1).min(u16::BITS);
        if self.known_outcomes == u16::BITS && self.outcomes == 0 {
            self.next_quarantine = rules.initial_quarantine;
        }
    }

    fn fail_probe_call(&mut self, rules: &HealthRules, now: MonotonicTime) {
        if let HealthState::Quarantined { cause, .. } = self.state {
            self.quarantine(rules, cause, now);
        }
    }
}
