//! A call and the errors with which it can end.

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::dispatcher::message::{CallEnding, EndCause};
use flamingowalk_core::request::outcome::{CallOutcome, FailurePoint};
use flamingowalk_wire::caller as wire;
use hyper::StatusCode;
use thiserror::Error;

use crate::border::caller::{CallHeaders, REQUEST_HEADER};
use crate::connection::http_server::{BodyError, BufferedResponse, json_response, typed_response};

/// Delay after which a call that failed for lack of capacity may be retried.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A call with its complete body.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service to call.
    pub service: ServiceName,
    /// Headers of the call.
    pub headers: CallHeaders,
    /// Body of the call.
    pub body: Bytes,
}

/// Reason why a call has no answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CallError {
    /// The request is invalid; the call did not run.
    #[error("{0}")]
    Invalid(String),
    /// The service is not declared; the call did not run.
    #[error("service {0} is not declared; check its name")]
    UnknownService(ServiceName),
    /// The body could not be read; the call did not run.
    #[error("{0}")]
    BadBody(BodyError),
    /// The body is larger than the service allows; the call did not run.
    #[error("the body exceeds {limit} bytes; send less")]
    TooLarge {
        /// Maximum size of the body in bytes.
        limit: u64,
    },
    /// The call is known not to have run.
    #[error("not run: {message}")]
    NotRun {
        /// Description of the error and its remedy.
        message: String,
        /// Delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The target reported that the call ran and failed.
    #[error("failed: {0}")]
    Failed(String),
    /// The call may have run.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
}

impl CallError {
    /// Returns the error of a call that ended without an answer.
    pub fn from_ending(ending: &CallEnding) -> Self {
        let message = ending_message(ending.cause);
        match ending.outcome {
            CallOutcome::NotRun => Self::NotRun {
                message,
                retry_after: retry_after(ending.cause),
            },
            CallOutcome::Failed => Self::Failed(message),
            CallOutcome::OutcomeUnknown | CallOutcome::Answer => {
                Self::OutcomeUnknown(format!("{message}; check whether it ran before repeating"))
            }
        }
    }

    /// Returns the error of a call that reached a stopping host.
    pub fn stopping() -> Self {
        let message = "the host is stopping; use another host".to_owned();
        Self::NotRun {
            message,
            retry_after: Some(Duration::ZERO),
        }
    }

    /// Returns the value of the `outcome` label of the counter.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Invalid(_)
            | Self::UnknownService(_)
            | Self::BadBody(_)
            | Self::TooLarge { .. } => "invalid",
            Self::NotRun { .. } => "not-run",
            Self::Failed(_) => "failed",
            Self::OutcomeUnknown(_) => "outcome-unknown",
        }
    }

    const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) => StatusCode::BAD_REQUEST,
            Self::UnknownService(_) => StatusCode::NOT_FOUND,
            Self::BadBody(error) => error.status(),
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::OutcomeUnknown(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    const fn kind(&self) -> wire::CallErrorKind {
        match self {
            Self::Failed(_) => wire::CallErrorKind::Failed,
            Self::OutcomeUnknown(_) => wire::CallErrorKind::OutcomeUnknown,
            _ => wire::CallErrorKind::NotRun,
        }
    }
}

fn ending_message(cause: EndCause) -> String {
    match cause {
        EndCause::NotAdmitted(refusal) => refusal.to_string(),
        EndCause::NotRouted(refusal) => refusal.to_string(),
        EndCause::AttemptFailed(point) => point.to_string(),
        EndCause::BudgetSpent(point) => format!("{point}, and too many calls are being repeated"),
    }
}

/// Returns a delay for failures by lack of capacity, which is temporary; other causes may
/// persist.
const fn retry_after(cause: EndCause) -> Option<Duration> {
    match cause {
        EndCause::AttemptFailed(FailurePoint::TargetFull)
        | EndCause::BudgetSpent(_)
        | EndCause::NotAdmitted(_)
        | EndCause::NotRouted(_) => Some(CAPACITY_RETRY_DELAY),
        EndCause::AttemptFailed(_) => None,
    }
}

/// Returns the response with the answer of the target.
pub fn success_response(request_id: &str, body: Bytes) -> BufferedResponse {
    let response = typed_response(StatusCode::OK, "application/octet-stream", body);
    with_request_id(request_id, response)
}

/// Returns the response to a call without an answer.
pub fn error_response(request_id: &str, error: &CallError) -> BufferedResponse {
    let retry_after = match error {
        CallError::NotRun { retry_after, .. } => *retry_after,
        _ => None,
    };
    let body = wire::CallError {
        kind: error.kind(),
        message: error.to_string(),
        request_id: request_id.to_owned(),
        retry_after_ms: retry_after.map(|delay| delay.as_millis() as u64),
    };
    with_request_id(request_id, json_response(error.status(), &body))
}

fn with_request_id(request_id: &str, mut response: BufferedResponse) -> BufferedResponse {
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}
