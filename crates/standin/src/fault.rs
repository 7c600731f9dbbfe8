//! Fault injection that all stand-ins share. Faults act on whole requests, before
//! and after the stand-in's own handling, and can be switched at any time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::traffic::TrafficCount;

/// Locks a mutex whose state stays valid even if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the server does with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// Closes the connection; the request has no effect.
    Close,
    /// Never responds; the request has no effect.
    Silent,
    /// Handles the request after `delay`; the response may be lost.
    Handle {
        /// Time to wait before the request is handled.
        delay: Duration,
        /// Whether the connection closes instead of sending the response.
        lose_response: bool,
    },
}

#[derive(Debug, Default)]
struct FaultPlan {
    down: bool,
    delay: Duration,
    /// Number of the next responses to lose.
    lost_responses: u64,
    /// Requests received so far.
    received: u64,
    /// Number of the request whose response is to be lost, counted from one.
    lost_request: Option<u64>,
    /// Connections accepted so far. Identifiers count from zero, so all of them are
    /// below this.
    accepted: u64,
    /// Requests on connections with an identifier below this get no response.
    silent_below: u64,
}

/// Faults that a test switches on and off. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitches {
    plan: Arc<Mutex<FaultPlan>>,
    traffic: TrafficCount,
}

impl FaultSwitches {
    /// While down, closes every connection without a response; requests have no
    /// effect.
    pub fn set_down(&self, down: bool) {
        lock(&self.plan).down = down;
    }

    /// Delays the handling of every later request.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.plan).delay = delay;
    }

    /// Closes the connection instead of sending the next `count` responses, after
    /// the requests have taken effect.
    pub fn lose_responses(&self, count: u64) {
        lock(&self.plan).lost_responses = count;
    }

    /// Loses the response to the `nth` request from now, counted from one, after the
    /// request has taken effect.
    pub fn lose_nth_response(&self, nth: u64) {
        let mut plan = lock(&self.plan);
        plan.lost_request = Some(plan.received + nth);
    }

    /// Leaves all later requests on the connections open now without a response; new
    /// connections work.
    pub fn silence_connections(&self) {
        let mut plan = lock(&self.plan);
        plan.silent_below = plan.accepted;
    }

    /// Requests received so far, including those without a response.
    pub fn received(&self) -> u64 {
        lock(&self.plan).received
    }

    /// Byte counters over all connections so far.
    pub fn traffic(&self) -> &TrafficCount {
        &self.traffic
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        lock(&self.plan).accepted
    }

    /// Allocates the identifier of a connection just accepted; `None` while down.
    pub(crate) fn accept_connection(&self) -> Option<u64> {
        let mut plan = lock(&self.plan);
        if plan.down {
            return None;
        }
        plan.accepted += 1;
        Some(plan.accepted - 1)
    }

    /// Counts a request on a connection and returns what to do with it.
    pub(crate) fn receive_request(&self, connection: u64) -> RequestOutcome {
        let mut plan = lock(&self.plan);
        plan.received += 1;
        if connection < plan.silent_below {
            return RequestOutcome::Silent;
        }
        if plan.down {
            return RequestOutcome::Close;
        }
        let mut lose_response = plan.lost_request == Some(plan.received);
        if plan.lost_responses > 0 {
            plan.lost_responses -= 1;
            lose_response = true;
        }
        RequestOutcome::Handle {
            delay: plan.delay,
            lose_response,
        }
    }
}
