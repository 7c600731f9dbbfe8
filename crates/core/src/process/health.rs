//! Health of one target: quarantine of targets that fail or slow down, judged by
//! shares with hysteresis, and the probing return. Caps and comparison with the
//! rest of the zone are the target table's, since they need all targets.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::request::outcome::RepeatSafety;

/// When targets enter and leave quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthRules {
    /// Outcomes that must be known before a failure share counts; at most 16.
    pub min_outcomes: u32,
    /// Failure share from which a target is suspect.
    pub failure_share: f64,
    /// By how much its share must exceed that of the rest of the zone. A bad call
    /// fails everywhere; a bad worker stands out.
    pub margin: f64,
    /// Answers that must be known before slowness counts.
    pub min_answers: u64,
    /// Mean latency against the zone's median from which a target is slow.
    pub slow_factor: f64,
    /// Failed connection attempts in a row from which a target is unreachable.
    pub unreachable_after: u32,
    /// First time in quarantine; doubles with each return to it.
    pub initial_quarantine: Duration,
    /// Longest time in quarantine.
    pub max_quarantine: Duration,
    /// Good answers in a row that end the probation.
    pub probation_answers: u32,
    /// Extra wait before a non-idempotent call may be a trial.
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

/// Where a target stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It takes calls.
    Healthy,
    /// It takes no calls until the given time, then one trial at a time.
    Quarantined {
        /// Why.
        cause: QuarantineCause,
        /// When trials may begin.
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
    /// Last outcomes, newest in the lowest bit; a set bit is a failure. Few, so that
    /// a target that turns bad is found soon after a long good time.
    outcomes: u16,
    /// Number of bits of `outcomes` in use, at most 16.
    known: u32,
    /// Failed connection attempts since the last success.
    refused_connects: u32,
    /// Good answers in a row during probation.
    good_probe_calls: u32,
    /// A trial is in flight. Only ever set in quarantine.
    probe_call_in_flight: bool,
    /// Length of the next quarantine.
    next_quarantine: Duration,
}

impl TargetHealth {
    /// A target of which nothing is known.
    pub const fn new(rules: &HealthRules) -> Self {
        Self {
            state: HealthState::Healthy,
            outcomes: 0,
            known: 0,
            refused_connects: 0,
            good_probe_calls: 0,
            probe_call_in_flight: false,
            next_quarantine: rules.initial_quarantine,
        }
    }

    /// Where the target stands.
    pub const fn state(&self) -> HealthState {
        self.state
    }

    /// Whether the target takes calls.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Failures among the last outcomes, and how many outcomes those are.
    pub const fn recent(&self) -> (u32, u32) {
        (self.outcomes.count_ones(), self.known)
    }

    /// Share of recent outcomes that were good; one when nothing is known.
    pub fn success_share(&self) -> f64 {
        let (failures, known) = self.recent();
        if known == 0 {
            return 1.0;
        }
        1.0 - f64::from(failures) / f64::from(known)
    }

    /// Whether a quarantined target may be given a trial at `now`.
    pub fn is_probe_call_due(
        &self,
        rules: &HealthRules,
        safety: RepeatSafety,
        now: MonotonicTime,
    ) -> bool {
        let HealthState::Quarantined { until, cause } = self.state else {
            return false;
        };
        if cause == QuarantineCause::Unreachable {
            return false;
        }
        let grace = match safety {
            RepeatSafety::Idempotent => Duration::ZERO,
            RepeatSafety::NonIdempotent => rules.probe_call_delay,
        };
        !self.probe_call_in_flight && now >= until + grace
    }

    /// Notes that the call about to be sent is a trial.
    pub fn start_probe_call(&mut self) {
        debug_assert!(!self.is_healthy(), "only a quarantined target is tried");
        self.probe_call_in_flight = true;
    }

    /// Takes in a good answer; true when it ends the quarantine. Answers to calls
    /// that were sent before the quarantine began do not end it.
    pub fn record_success(&mut self, rules: &HealthRules, is_probe_call: bool) -> bool {
        self.push(false, rules);
        self.refused_connects = 0;
        if !is_probe_call || self.is_healthy() {
            return false;
        }
        self.probe_call_in_flight = false;
        self.good_probe_calls += 1;
        if self.good_probe_calls < rules.probation_answers {
            return false;
        }
        self.restore(rules);
        true
    }

    /// Forgets outcomes that a good answer has overtaken after a long silence.
    pub const fn clear_outcomes(&mut self) {
        self.outcomes = 0;
        self.known = 0;
    }

    /// Takes in a failure that is blamed on the target.
    pub fn record_failure(&mut self, rules: &HealthRules, is_probe_call: bool, now: MonotonicTime) {
        self.push(true, rules);
        if is_probe_call {
            self.fail_probe_call(rules, now);
        }
    }

    /// Takes in a trial that was answered as slowly as before.
    pub fn record_slow_probe_call(&mut self, rules: &HealthRules, now: MonotonicTime) {
        self.fail_probe_call(rules, now);
    }

    /// Takes in a connection that could not be made; true when the target is now
    /// to be held unreachable.
    pub const fn record_connect_failure(&mut self, rules: &HealthRules) -> bool {
        self.probe_call_in_flight = false;
        self.refused_connects += 1;
        matches!(self.state, HealthState::Healthy)
            && self.refused_connects >= rules.unreachable_after
    }

    /// Takes in the end of an attempt that says nothing of the target.
    pub const fn record_neutral(&mut self, is_probe_call: bool) {
        if is_probe_call {
            self.probe_call_in_flight = false;
        }
    }

    /// Whether the target is to be probed at `now`: unreachable targets return by
    /// probes alone, so that no call waits for a connection that is not made.
    pub fn is_probe_due(&self, now: MonotonicTime) -> bool {
        matches!(
            self.state,
            HealthState::Quarantined { cause: QuarantineCause::Unreachable, until } if now >= until
        )
    }

    /// Takes in the end of a probe of an unreachable target.
    pub fn record_probe(&mut self, rules: &HealthRules, is_answered: bool, now: MonotonicTime) {
        if !self.is_probe_due(now) {
            return;
        }
        if is_answered {
            self.restore(rules);
        } else {
            self.quarantine(rules, QuarantineCause::Unreachable, now);
        }
    }

    /// Whether the recent outcomes alone make the target suspect.
    pub fn is_suspect(&self, rules: &HealthRules) -> bool {
        self.known >= rules.min_outcomes && 1.0 - self.success_share() >= rules.failure_share
    }

    /// Puts the target into quarantine.
    pub fn quarantine(&mut self, rules: &HealthRules, cause: QuarantineCause, now: MonotonicTime) {
        let until = now + self.next_quarantine;
        self.state = HealthState::Quarantined { cause, until };
        self.next_quarantine = (self.next_quarantine * 2).min(rules.max_quarantine);
        self.good_probe_calls = 0;
        self.probe_call_in_flight = false;
    }

    fn restore(&mut self, rules: &HealthRules) {
        *self = Self {
            next_quarantine: self.next_quarantine,
            ..Self::new(rules)
        };
    }

    /// Adds an outcome. A full history of good ones forgives earlier quarantines.
    fn push(&mut self, is_failure: bool, rules: &HealthRules) {
        self.outcomes = (self.outcomes << 1) | u16::from(is_failure);
        self.known = (self.known + 1).min(u16::BITS);
        if self.known == u16::BITS && self.outcomes == 0 {
            self.next_quarantine = rules.initial_quarantine;
        }
    }

    fn fail_probe_call(&mut self, rules: &HealthRules, now: MonotonicTime) {
        if let HealthState::Quarantined { cause, .. } = self.state {
            self.quarantine(rules, cause, now);
        }
    }
}
