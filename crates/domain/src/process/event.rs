//! What reaches a host from its surroundings.

use thiserror::Error;

use crate::prelude::*;
use crate::process::action::CallTicket;
use crate::process::machine::{MachineError, MachinePage};
use crate::process::stream::{AppendedAt, NewestPage, StreamError, StreamPage};
use crate::request::caller_request::CallerRequest;

/// What happened.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// A caller asks for something.
    Requested(CallerRequest),
    /// A read was answered or given up.
    Read(CallTicket, Result<StreamPage, StreamError>),
    /// A read of the newest records was answered or given up.
    ReadNewest(CallTicket, Result<NewestPage, StreamError>),
    /// An append was answered or given up.
    Appended(CallTicket, Result<AppendedAt, StreamError>),
    /// A worker answered, or did not.
    WorkerAnswered(CallTicket, Result<WorkerAnswer, WorkerError>),
    /// A question for advice was answered or given up.
    Advised(CallTicket, Result<Vec<WorkerApproval>, AdviceError>),
    /// A page of the list of machines came, or did not.
    MachinesListed(CallTicket, Result<MachinePage, MachineError>),
    /// An order for upkeep was answered or given up.
    UpkeepAnswered(CallTicket, Result<(), MachineError>),
    /// The process was asked to shut down.
    DrainRequested,
    /// Time has passed.
    Ticked,
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerAnswer {
    /// The order was carried out, or had been before.
    Done {
        /// Worker's time.
        clock: WorkerClock,
    },
    /// The order was refused, and nothing was done.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// Worker's time, if the answer tells it.
        clock: Option<WorkerClock>,
    },
    /// What runs and what has ended.
    Listed(WorkerListing),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// It has seen the order of a higher epoch.
    Fenced,
    /// This run or a later one was stopped or has ended there.
    OldRun,
    /// The lease that came with the order is over.
    LeaseExpired,
    /// There is no room.
    NoCapacity,
    /// The order lacks a valid approval.
    NoApproval,
    /// The order cannot be read.
    Malformed,
    /// The worker considers itself unhealthy.
    Unhealthy,
    /// The worker has started anew.
    IncarnationMismatch,
}

impl RefusalCause {
    /// Word for log lines and counters.
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

/// Everything that a worker runs, and what has ended on it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerListing {
    /// Life of the worker, if the answer tells it.
    pub incarnation: Option<WorkerIncarnation>,
    /// Worker's time.
    pub clock: WorkerClock,
    /// What runs.
    pub running: Vec<RunningUnit>,
    /// What has ended and was not acknowledged yet, in order; may be cut.
    pub ended: Vec<EndedUnit>,
}

/// A unit that runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningUnit {
    /// Unit.
    pub unit: UnitKey,
    /// Run.
    pub run: RunNumber,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// Part of its work that is done, in percent.
    pub percent: u32,
    /// Response time tail in milliseconds for a unit that serves users, else the
    /// thousandths of a core in use; over the last half second.
    pub load: Option<u64>,
}

/// A unit that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedUnit {
    /// Number of the end within the worker's life, counted from one.
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
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

impl EndCause {
    /// Word for log lines and counters.
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
    /// What a start there has to carry, as the service wrote it.
    pub ticket: Arc<str>,
}

/// Why a question for advice brought nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdviceError {
    /// The settings name no service.
    #[error("a queue needs advice and the settings name no service; set platform.advice")]
    NoService,
    /// No answer came in time.
    #[error("no answer from the advice service; check the network")]
    NoAnswer,
    /// Too many calls wait there.
    #[error("the advice service is busy; it is asked again after a pause")]
    Busy,
    /// The answer cannot be read.
    #[error("the advice service's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

/// Why a worker gave no answer that can be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WorkerError {
    /// No connection was made, so nothing was done.
    #[error("no connection to the worker; check the network")]
    Unreachable,
    /// The order may have been carried out, or still be.
    #[error("no answer from the worker; look at what it runs")]
    NoAnswer,
    /// The answer cannot be read, so the order may have been carried out.
    #[error("the worker's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl WorkerError {
    /// Word for log lines and counters.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::Malformed { .. } => "malformed",
        }
    }
}
