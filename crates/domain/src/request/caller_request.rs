//! Requests of callers and their responses. The HTTP layer decodes requests into these types
//! and encodes the responses.

use thiserror::Error;

use crate::prelude::*;
use crate::request::submission::JobSubmission;

/// Identifier of a request within this process, for its answer and its log lines.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestTicket(pub u64);

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier within this process.
    pub ticket: RequestTicket,
    /// Host name that the request addresses.
    pub host: Arc<str>,
    /// Path of the request, without query.
    pub path: Arc<str>,
    /// Key of the customer, if the request carries one.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits for the response, if the request states it.
    pub timeout: Option<Duration>,
    /// Requested operation.
    pub operation: CallerOperation,
}

/// Operation that a caller requests. The path of the request names the job or queue.
#[derive(Clone, Debug)]
pub enum CallerOperation {
    /// Accept this job; contains an error text if the body could not be decoded.
    Submit(Result<Box<JobSubmission>, String>),
    /// Query the state of a job, or the number of pending jobs of a queue.
    Query,
    /// Cancel a job.
    Cancel,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobPhase {
    /// No unit has started.
    Queued,
    /// A unit has started.
    Running,
    /// All units are done.
    Completed,
    /// A unit has reached the queue's limit of failed runs.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Returns the label in log lines and state dumps.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Response to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerResponse {
    /// The job is in the log.
    Accepted,
    /// State of a job.
    Phase(JobPhase),
    /// Number of jobs of the queue of which no unit has started.
    Pending(u64),
    /// The cancellation is in the log.
    Cancelled,
    /// The request was not carried out.
    Refused(CallerError),
}

/// Why a request was not carried out.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// No queue has this host and path.
    #[error("no such queue; check host and path")]
    NoQueue,
    /// The key belongs to no customer.
    #[error("unknown key; ask the operator for a valid one")]
    UnknownKey,
    /// The request cannot be decoded or is invalid.
    #[error("malformed request: {0}")]
    Malformed(String),
    /// The path does not support the operation.
    #[error("the path takes no such method; address a job by its identifier")]
    NoMethod,
    /// No job has this identifier.
    #[error("no such job; it was never accepted or ended long ago")]
    NoJob,
    /// The request certainly was not carried out; the caller may send it again later.
    #[error("not carried out: {cause}; send it again in {retry_after:?}")]
    NotRun {
        /// Why it was not carried out.
        cause: NotRunCause,
        /// Time after which the caller should send it again.
        retry_after: Duration,
    },
    /// The record may have reached the log or may still do so.
    #[error("outcome unknown; send the same request again")]
    OutcomeUnknown,
}

/// Why a host cannot carry out a request at present.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NotRunCause {
    /// The host has read no configuration yet.
    #[error("this host has no configuration yet")]
    NoConfig,
    /// The host cannot reach the log, or has not read it to its tail recently.
    #[error("this host cannot reach the log")]
    NoLog,
    /// The job would miss its completion time, since its queue is too long for its workers.
    #[error("the queue is full")]
    QueueFull,
}

impl NotRunCause {
    /// Returns the label in log lines and counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoLog => "no-log",
            Self::QueueFull => "queue-full",
        }
    }
}
