//! Events and orders of the call dispatcher.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::admission::queue::{AdmissionRefusal, CallTicket};
use crate::process::router::choice::RouteRefusal;
use crate::request::deadline::CallDeadline;
use crate::request::outcome::{CallOutcome, ConnectionAge, FailurePoint, RetrySafety};

/// A call as it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallArrival {
    /// Customer on whose account the call runs.
    pub customer: CustomerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Whether the call may run more than once.
    pub safety: RetrySafety,
    /// Deadline of the call.
    pub deadline: CallDeadline,
    /// Idempotency key that pins the call to one target.
    pub key: Option<String>,
}

/// An event of an open call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The time given by `CallOrder::Wait` has passed.
    WaitEnded,
    /// The attempt has taken longer than `AttemptOrder::late_after` and is still
    /// running.
    AttemptLate(ConnectionAge),
    /// The attempt ended with a complete answer after this time, and the caller has
    /// received it.
    Answered(Duration),
    /// The attempt failed.
    Failed(FailurePoint, ConnectionAge),
    /// The attempt failed after the caller had disconnected. It is not retried.
    FailedAfterDisconnect(FailurePoint, ConnectionAge),
    /// The caller disconnected while the call waited. An order to begin an attempt
    /// that was sent before this event arrived is ignored.
    CallerDisconnected,
}

/// What the task that carries a call does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOrder {
    /// Wait for another order, and report `WaitEnded` if none has arrived by then.
    Wait(MonotonicTime),
    /// Send the request. An attempt still in flight is abandoned first.
    Attempt(AttemptOrder),
    /// Continue to wait for the answer to the attempt until the deadline.
    Continue,
    /// End the call without an answer.
    End(CallEnding),
}

/// One attempt to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptOrder {
    /// Worker that is the target.
    pub worker: WorkerName,
    /// Incarnation of the worker. What the worker reports about itself, such as that it is
    /// draining, applies to this incarnation.
    pub incarnation: u64,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Whether a new connection must be opened instead of reusing an idle one.
    pub needs_fresh: bool,
    /// Time after which the attempt is reported as late; `None` if it may not be
    /// retried.
    pub late_after: Option<Duration>,
}

/// End of a call without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallEnding {
    /// Outcome as far as it is certain; never `Answer`.
    pub outcome: CallOutcome,
    /// Why the call ended.
    pub cause: EndCause,
}

/// Why a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// The call was not admitted.
    NotAdmitted(AdmissionRefusal),
    /// There was no target for the call.
    NotRouted(RouteRefusal),
    /// The last attempt failed here.
    AttemptFailed(FailurePoint),
    /// The last attempt failed here, and the retry budget is exhausted.
    BudgetSpent(FailurePoint),
}

/// An order and the call that it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedOrder {
    /// Ticket of the call.
    pub ticket: CallTicket,
    /// Order for the call.
    pub order: CallOrder,
}
