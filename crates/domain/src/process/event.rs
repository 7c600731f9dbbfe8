//! Events that reach a host from its environment.

use thiserror::Error;

use crate::prelude::*;
use crate::process::action::CallTicket;
use crate::process::machine::{MachineError, MachinePage};
use crate::process::stream::{AppendedAt, NewestPage, StreamError, StreamPage};
use crate::request::caller_request::CallerRequest;

/// An event. Calls that ended without a response carry an error.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// A caller sent a request.
    Requested(CallerRequest),
    /// A further part of the response to a read arrived, which is not complete yet.
    ReadProgressed(CallTicket),
    /// A read ended.
    Read(CallTicket, Result<StreamPage, StreamError>),
    /// A read of the newest records ended.
    ReadNewest(CallTicket, Result<NewestPage, StreamError>),
    /// An append ended.
    Appended(CallTicket, Result<AppendedAt, StreamError>),
    /// A call to a worker ended.
    WorkerAnswered(CallTicket, Result<WorkerAnswer, WorkerError>),
    /// A query for advice ended.
    Advised(CallTicket, Result<Vec<WorkerApproval>, AdviceError>),
    /// A request for a page of the list of machines ended.
    MachinesListed(CallTicket, Result<MachinePage, MachineError>),
    /// An order for upkeep ended.
    UpkeepAnswered(CallTicket, Result<(), MachineError>),
    /// The process was asked to shut down.
    DrainRequested,
    /// Time has passed.
    Ticked,
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerAnswer {
    /// The order was carried out, now or earlier.
    Done {
        /// Worker's time.
        clock: WorkerClock,
    },
    /// The order was refused and had no effect.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// Worker's time, if the answer contains it.
        clock: Option<WorkerClock>,
    },
    /// The worker's runs.
    Listed(WorkerListing),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// It has seen an order with a higher epoch.
    Fenced,
    /// This run or a later one was stopped or has ended there.
    OldRun,
    /// The lease that came with the order has expired.
    LeaseExpired,
    /// It lacks free capacity.
    NoCapacity,
    /// The order lacks a valid approval.
    NoApproval,
    /// The order cannot be decoded.
    Malformed,
    /// The worker considers itself unhealthy.
    Unhealthy,
    /// The order was for another incarnation of the worker.
    IncarnationMismatch,
}

impl RefusalCause {
    /// Returns the label in log lines and counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old-run",
            Self::LeaseExpired => "lease-over",
            Self::NoCapacity => "no-room",
            Self::NoApproval => "no-approval",
            Self::Malformed => "malformed",
            Self::Unhealthy => "unhealthy",
            Self::IncarnationMismatch => "other-life",
        }
    }
}

/// Listing of a worker: everything that it runs, and what has ended on it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerListing {
    /// Incarnation of the worker, if the answer contains it.
    pub incarnation: Option<WorkerIncarnation>,
    /// Worker's time.
    pub clock: WorkerClock,
    /// Units that run.
    pub running: Vec<RunningUnit>,
    /// Ended units that were not acknowledged yet, in order; the list may be truncated.
    pub ended: Vec<EndedUnit>,
}

/// A running unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningUnit {
    /// Unit.
    pub unit: UnitKey,
    /// Run.
    pub run: RunNumber,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// Percentage of its work that is done.
    pub percent: u32,
    /// Tail response time in milliseconds of a unit that serves users, else the thousandths
    /// of a core in use; over the last half second.
    pub load: Option<u64>,
}

/// An ended unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedUnit {
    /// Sequence number of the end within the worker's incarnation, counted from one.
    pub number: u64,
    /// Unit.
    pub unit: UnitKey,
    /// Run.
    pub run: RunNumber,
    /// How it ended.
    pub cause: EndCause,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// Its work is done.
    Done,
    /// It failed, either by itself or because of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}

impl EndCause {
    /// Returns the label in log lines and counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// Approval of one worker for a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerApproval {
    /// Worker.
    pub worker: WorkerName,
    /// Token that a start on this worker has to carry, as the advice service wrote it.
    pub ticket: Arc<str>,
}

/// Why a query for advice failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdviceError {
    /// The settings name no advice service.
    #[error("a queue needs advice and the settings name no service; set platform.advice")]
    NoService,
    /// No response came in time.
    #[error("no answer from the advice service; check the network")]
    NoAnswer,
    /// The service has too many pending calls.
    #[error("the advice service is busy; the query is retried after a delay")]
    Busy,
    /// The response cannot be decoded.
    #[error("the advice service's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Description of the error.
        detail: String,
    },
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WorkerError {
    /// No connection was made, so the order had no effect.
    #[error("no connection to the worker; check the network")]
    Unreachable,
    /// No response came. The order may have been carried out or may still be.
    #[error("no answer from the worker; list what it runs")]
    NoAnswer,
    /// The response cannot be decoded, so the order may have been carried out.
    #[error("the worker's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Description of the error.
        detail: String,
    },
}

impl WorkerError {
    /// Returns the label in log lines and counters.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::Malformed { .. } => "malformed",
        }
    }
}
