//! Decides whether an idle connection may carry the next request. A connection can
//! stop responding for good while new ones to the same target work, so liveness is
//! tracked per connection: by the time of the last answer, or by a probe.

use crate::prelude::*;
use crate::request::outcome::RetrySafety;

/// Limits on the reuse of connections, shared by all connections of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LivenessRules {
    /// Time since the last answer up to which a non-idempotent request is sent
    /// without a probe.
    pub fresh_non_idempotent: Duration,
    /// As `fresh_non_idempotent`, for an idempotent request, which may be retried.
    pub fresh_idempotent: Duration,
    /// Idle time after which a connection is closed.
    pub idle_limit: Duration,
    /// Age after which a connection carries no further request.
    pub age_limit: Duration,
    /// Time within which a probe must be answered.
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

/// Reason for which a connection is closed instead of being reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DiscardReason {
    /// A request or probe on it failed or timed out, so a late answer may arrive.
    Failed,
    /// It was idle for longer than `idle_limit`.
    Idle,
    /// It is older than `age_limit`.
    Old,
}

/// How an idle connection may be used for the next request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReuseDecision {
    /// Send the request on it.
    Ready,
    /// Send a probe first, and the request once it is answered.
    Probe,
    /// Close the connection.
    Discard(DiscardReason),
}

/// Liveness state of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionRecord {
    /// When the connection was established.
    opened_at: MonotonicTime,
    /// When the last complete answer arrived; `opened_at` before the first one, since
    /// the target answered the handshake then.
    last_answer_at: MonotonicTime,
    /// Whether an exchange failed. Never reset: a late answer could be taken for the
    /// answer to another request.
    failed: bool,
    /// Complete answers received, including those to probes.
    answers: u64,
}

impl ConnectionRecord {
    /// Creates the state of a connection established at `now`.
    pub const fn new(now: MonotonicTime) -> Self {
        Self {
            opened_at: now,
            last_answer_at: now,
            failed: false,
            answers: 0,
        }
    }

    /// Records a complete answer with the identifier of its request.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        debug_assert!(!self.failed, "an answer on a failed connection");
        self.last_answer_at = self.last_answer_at.max(now);
        self.answers += 1;
    }

    /// Records any other end of an exchange, after which the connection is not reused.
    pub const fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Returns whether no answer has arrived on this connection yet.
    pub const fn is_unused(&self) -> bool {
        self.answers == 0
    }

    /// Returns how the connection may be used for a request at `now`.
    pub fn reuse_decision(
        &self,
        rules: &LivenessRules,
        safety: RetrySafety,
        now: MonotonicTime,
    ) -> ReuseDecision {
        if self.failed {
            return ReuseDecision::Discard(DiscardReason::Failed);
        }
        if now.since(self.opened_at) > rules.age_limit {
            return ReuseDecision::Discard(DiscardReason::Old);
        }
        let silence = now.since(self.last_answer_at);
        if silence > rules.idle_limit {
            return ReuseDecision::Discard(DiscardReason::Idle);
        }
        let max_silence = match safety {
            RetrySafety::Idempotent => rules.fresh_idempotent,
            RetrySafety::NonIdempotent => rules.fresh_non_idempotent,
        };
        if silence > max_silence {
            ReuseDecision::Probe
        } else {
            ReuseDecision::Ready
        }
    }
}
