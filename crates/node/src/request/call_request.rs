//! A call of a caller and the ways it can end.

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::dispatcher::message::{CallEnding, EndCause};
use flamingowalk_core::request::outcome::{CallOutcome, FailurePoint};
use flamingowalk_wire::caller as wire;
use hyper::StatusCode;
use thiserror::Error;

use crate::border::caller::{CallHeaders, REQUEST_HEADER};
use crate::connection::http_server::{BodyError, WholeResponse, json_response, typed_response};

/// Delay after which a call that met a lack of capacity may be sent again.
const CAPACITY_RETRY: Duration = Duration::from_millis(200);

/// A call whose body has been read whole.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Called service.
    pub service: ServiceName,
    /// Headers of the call.
    pub headers: CallHeaders,
    /// Body of the call.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CallError {
    /// The request itself is wrong; it was not run.
    #[error("{0}")]
    Invalid(String),
    /// The service is not declared; the call was not run.
    #[error("service {0} is not declared; check its name")]
    UnknownService(ServiceName),
    /// The body is not there; the call was not run.
    #[error("{0}")]
    BadBody(BodyError),
    /// The body is larger than the service allows; the call was not run.
    #[error("the body exceeds {limit} bytes; send less")]
    TooLarge {
        /// Largest body in bytes that is taken.
        limit: u64,
    },
    /// It is proved that the call did not run.
    #[error("not run: {message}")]
    NotRun {
        /// What happened, with the remedy.
        message: String,
        /// When a repetition may succeed.
        retry_after: Option<Duration>,
    },
    /// The target says that the call ran and failed.
    #[error("failed: {0}")]
    Failed(String),
    /// The call may have run.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
}

impl CallError {
    /// The fault of a call that ended without an answer.
    pub fn from_ending(ending: &CallEnding) -> Self {
        let message = end_message(ending.cause);
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

    /// The fault of a call that met a stopping host.
    pub fn stopping() -> Self {
        let message = "the host is stopping; use another host".to_owned();
        Self::NotRun {
            message,
            retry_after: Some(Duration::ZERO),
        }
    }

    /// Value of the `outcome` label of the counter.
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

fn end_message(cause: EndCause) -> String {
    match cause {
        EndCause::NotAdmitted(refusal) => refusal.to_string(),
        EndCause::NotRouted(refusal) => refusal.to_string(),
        EndCause::AttemptFailed(point) => point.to_string(),
        EndCause::BudgetSpent(point) => format!("{point}, and too many calls are being repeated"),
    }
}

/// Lack of capacity passes; whatever else stopped the call may not.
const fn retry_after(cause: EndCause) -> Option<Duration> {
    match cause {
        EndCause::AttemptFailed(FailurePoint::TargetFull)
        | EndCause::BudgetSpent(_)
        | EndCause::NotAdmitted(_)
        | EndCause::NotRouted(_) => Some(CAPACITY_RETRY),
        EndCause::AttemptFailed(_) => None,
    }
}

/// The response with a target's answer.
pub fn answer_response(request_id: &str, body: Bytes) -> WholeResponse {
    let response = typed_response(StatusCode::OK, "application/octet-stream", body);
    with_request_id(request_id, response)
}

/// The response for a call without an answer.
pub fn error_response(request_id: &str, error: &CallError) -> WholeResponse {
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

fn with_request_id(request_id: &str, mut response: WholeResponse) -> WholeResponse {
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}
