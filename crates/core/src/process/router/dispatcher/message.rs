//! What the call desk is told and what it asks for.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::admission::queue::{AdmissionRefusal, CallTicket};
use crate::process::router::choice::RouteRefusal;
use crate::request::deadline::CallDeadline;
use crate::request::outcome::{CallOutcome, ConnectionAge, FailurePoint, RepeatSafety};

/// A call as it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallArrival {
    /// Customer on whose account it runs.
    pub customer: CustomerName,
    /// Called service.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub safety: RepeatSafety,
    /// Its deadline.
    pub deadline: CallDeadline,
    /// Idempotency key that pins it to one target.
    pub key: Option<String>,
}

/// Something that happened to an open call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The time named in `CallOrder::Wait` is over.
    WaitEnded,
    /// The attempt took longer than nearly all; it still runs.
    AttemptLate(ConnectionAge),
    /// The attempt ended with a whole answer after this time. The caller has it.
    Answered(Duration),
    /// The attempt failed.
    Failed(FailurePoint, ConnectionAge),
    /// The attempt failed when the caller had gone. It is not repeated.
    FailedAfterDisconnect(FailurePoint, ConnectionAge),
    /// The caller went away while the call waited. An order to begin an attempt
    /// that crossed this event is not carried out.
    CallerDisconnected,
}

/// What a call is to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOrder {
    /// Wait for another order, and report `WaitEnded` if none has come by then.
    Wait(MonotonicTime),
    /// Send the request. An attempt that still runs is given up first.
    Attempt(AttemptOrder),
    /// Keep waiting for the attempt's answer until the deadline.
    Continue,
    /// End with this, without an answer.
    End(CallEnding),
}

/// One attempt to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptOrder {
    /// Target.
    pub worker: WorkerName,
    /// Its incarnation, for what it may say of itself.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Whether kept connections are not to be used.
    pub needs_fresh: bool,
    /// Time after which the attempt is reported late; nothing if it may not be
    /// repeated.
    pub late_after: Option<Duration>,
}

/// How a call without an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallEnding {
    /// Proved outcome; never `Answer`.
    pub outcome: CallOutcome,
    /// Why.
    pub cause: EndCause,
}

/// Why a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// It was not admitted.
    NotAdmitted(AdmissionRefusal),
    /// There was no target for it.
    NotRouted(RouteRefusal),
    /// Its last attempt failed here.
    AttemptFailed(FailurePoint),
    /// The attempt failed here, and the retry budget is spent.
    BudgetSpent(FailurePoint),
}

/// An order and the call it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedOrder {
    /// The call.
    pub ticket: CallTicket,
    /// The order.
    pub order: CallOrder,
}
