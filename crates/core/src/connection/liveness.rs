//! Whether a kept connection may carry the next request. A connection can go
//! silent for good while new ones to the same target work, so liveness is judged
//! per connection: by bytes received from the target a moment ago, or by a probe.

use crate::prelude::*;
use crate::request::outcome::RepeatSafety;

/// Limits of reuse, the same for every connection of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LivenessRules {
    /// Age of the last received bytes up to which a non-idempotent request needs
    /// no probe.
    pub fresh_non_idempotent: Duration,
    /// The same for an idempotent request, which may be sent again.
    pub fresh_idempotent: Duration,
    /// Idle time after which a connection is closed.
    pub idle_limit: Duration,
    /// Age after which a connection carries no further request.
    pub age_limit: Duration,
    /// Time for the answer to a probe.
    pub probe_timeout: Duration,
}

impl Default for LivenessRules {
    fn default() -> Self {
        Self {
            fresh_non_idempotent: Duration::from_millis(5),
            fresh_idempotent: Duration::from_millis(500),
            idle_limit: Duration::from_secs(20),
            age_limit: Duration::from_mins(10),
            probe_timeout: Duration::from_millis(100),
        }
    }
}

/// Why a connection is closed instead of being used again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DiscardReason {
    /// A request or probe on it failed or timed out, so a late answer may come.
    Failed,
    /// It was idle for too long.
    Idle,
    /// It is too old.
    Old,
}

/// How a kept connection may be used.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReuseDecision {
    /// Send the request.
    Ready,
    /// Send a probe first.
    Probe,
    /// Close it.
    Discard(DiscardReason),
}

/// What is known of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionRecord {
    /// When the connection was made; the target answered the handshake then.
    opened_at: MonotonicTime,
    /// When the last whole answer came, not before `opened_at`.
    heard_at: MonotonicTime,
    /// An exchange failed. Never reset: a late answer could be taken for another's.
    spoiled: bool,
    /// Whole answers received, probes included.
    answers: u64,
}

impl ConnectionRecord {
    /// A connection just made.
    pub const fn new(now: MonotonicTime) -> Self {
        Self {
            opened_at: now,
            heard_at: now,
            spoiled: false,
            answers: 0,
        }
    }

    /// Takes in a whole answer with the right identifier.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        debug_assert!(!self.spoiled, "a spoiled connection was used");
        self.heard_at = self.heard_at.max(now);
        self.answers += 1;
    }

    /// Takes in any other end of an exchange.
    pub const fn record_failure(&mut self) {
        self.spoiled = true;
    }

    /// Whether no answer has come over this connection yet.
    pub const fn is_unused(&self) -> bool {
        self.answers == 0
    }

    /// How the connection may carry a request at `now`.
    pub fn reuse_decision(
        &self,
        rules: &LivenessRules,
        safety: RepeatSafety,
        now: MonotonicTime,
    ) -> ReuseDecision {
        if self.spoiled {
            return ReuseDecision::Discard(DiscardReason::Failed);
        }
        if now.since(self.opened_at) > rules.age_limit {
            return ReuseDecision::Discard(DiscardReason::Old);
        }
        let silence = now.since(self.heard_at);
        if silence > rules.idle_limit {
            return ReuseDecision::Discard(DiscardReason::Idle);
        }
        let fresh = match safety {
            RepeatSafety::Idempotent => rules.fresh_idempotent,
            RepeatSafety::NonIdempotent => rules.fresh_non_idempotent,
        };
        if silence > fresh {
            ReuseDecision::Probe
        } else {
            ReuseDecision::Ready
        }
    }
}
