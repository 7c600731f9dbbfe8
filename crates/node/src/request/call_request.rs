//! A call of a caller and the ways it can end.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_wire::caller as wire;
use hyper::StatusCode;
use thiserror::Error;

use crate::border::caller::{CallHeaders, REQUEST_HEADER};
use crate::connection::http_server::{WholeResponse, json_response, typed_response};

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

/// The worker chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallTarget {
    /// Worker.
    pub worker: WorkerName,
    /// Its address.
    pub address: SocketAddr,
    /// Time left for the call.
    pub deadline: Duration,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CallFault {
    /// The request itself is wrong; it was not run.
    #[error("{0}")]
    Invalid(String),
    /// It is proved that the call did not run.
    #[error("not run: {0}")]
    NotRun(String),
    /// The target says that the call ran and failed.
    #[error("failed: {0}")]
    Failed(String),
    /// The call may have run.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
}

impl CallFault {
    /// Value of the `outcome` label of the counter.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid",
            Self::NotRun(_) => "not-run",
            Self::Failed(_) => "failed",
            Self::OutcomeUnknown(_) => "outcome-unknown",
        }
    }
}

/// What the loop replies to a call: the chosen target, or why there is none.
pub type CallReply = Result<CallTarget, CallFault>;

/// The response with a target's answer.
pub fn answer_response(request_id: &str, body: Bytes) -> WholeResponse {
    let mut response = typed_response(StatusCode::OK, "application/octet-stream", body);
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

/// The response for a call without an answer.
pub fn fault_response(request_id: &str, fault: &CallFault) -> WholeResponse {
    let (status, kind) = match fault {
        CallFault::Invalid(_) => (StatusCode::BAD_REQUEST, wire::CallErrorKind::NotRun),
        CallFault::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, wire::CallErrorKind::NotRun),
        CallFault::Failed(_) => (StatusCode::BAD_GATEWAY, wire::CallErrorKind::Failed),
        CallFault::OutcomeUnknown(_) => (
            StatusCode::GATEWAY_TIMEOUT,
            wire::CallErrorKind::OutcomeUnknown,
        ),
    };
    let body = wire::CallError {
        kind,
        message: fault.to_string(),
        request_id: request_id.to_owned(),
        retry_after_ms: None,
    };
    json_response(status, &body)
}
