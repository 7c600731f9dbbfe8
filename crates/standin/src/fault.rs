//! Fault switches that every stand-in shares. They act on whole requests, before
//! and after the stand-in's own handling, and may be turned at any time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::traffic::TrafficCount;

/// Locks a mutex whose state stays valid even if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is to happen to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The connection closes; the request has no effect.
    Close,
    /// Nothing is ever answered; the request has no effect.
    Silent,
    /// The request is handled after `delay`; its answer may be lost.
    Handle {
        /// Time before handling.
        delay: Duration,
        /// Whether the connection closes in place of the answer.
        lose_answer: bool,
    },
}

#[derive(Debug, Default)]
struct FaultPlan {
    down: bool,
    delay: Duration,
    /// Answers still to lose.
    lost_answers: u64,
    /// Requests received so far.
    received: u64,
    /// The request, by its number, whose answer is to be lost.
    lost_request: Option<u64>,
    /// Connections accepted so far; their identifiers are lower.
    accepted: u64,
    /// Connections with a lower identifier are silent.
    silent_below: u64,
}

/// Faults that a test turns on and off. Clones share the same switches.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitches {
    plan: Arc<Mutex<FaultPlan>>,
    traffic: TrafficCount,
}

impl FaultSwitches {
    /// While down, every connection closes without an answer or an effect.
    pub fn set_down(&self, down: bool) {
        lock(&self.plan).down = down;
    }

    /// Delays the handling of every later request.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.plan).delay = delay;
    }

    /// Closes the connection in place of the next `count` answers, after the
    /// requests have taken effect.
    pub fn lose_answers(&self, count: u64) {
        lock(&self.plan).lost_answers = count;
    }

    /// Loses the answer to the `nth` request from now, counted from one, after
    /// the request has taken effect.
    pub fn lose_nth_answer(&self, nth: u64) {
        let mut plan = lock(&self.plan);
        plan.lost_request = Some(plan.received + nth);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence_connections(&self) {
        let mut plan = lock(&self.plan);
        plan.silent_below = plan.accepted;
    }

    /// Requests received so far, those without an answer included.
    pub fn received(&self) -> u64 {
        lock(&self.plan).received
    }

    /// Bytes of all connections so far.
    pub fn traffic(&self) -> &TrafficCount {
        &self.traffic
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        lock(&self.plan).accepted
    }

    /// Identifier for a connection just accepted; nothing while down.
    pub(crate) fn accept(&self) -> Option<u64> {
        let mut plan = lock(&self.plan);
        if plan.down {
            return None;
        }
        plan.accepted += 1;
        Some(plan.accepted - 1)
    }

    /// Fate of the next request on a connection.
    pub(crate) fn receive(&self, connection: u64) -> RequestOutcome {
        let mut plan = lock(&self.plan);
        plan.received += 1;
        if connection < plan.silent_below {
            return RequestOutcome::Silent;
        }
        if plan.down {
            return RequestOutcome::Close;
        }
        let mut lose_answer = plan.lost_request == Some(plan.received);
        if plan.lost_answers > 0 {
            plan.lost_answers -= 1;
            lose_answer = true;
        }
        RequestOutcome::Handle {
            delay: plan.delay,
            lose_answer,
        }
    }
}
