//! Interface for callers, version 1: headers of calls and bodies of job requests.

use flamingowalk_core::prelude::*;
use flamingowalk_wire::caller as wire;
use hyper::{HeaderMap, StatusCode};
use thiserror::Error;

use crate::connection::http_server::{BufferedResponse, json_response};

/// Header with the customer's name.
pub const CUSTOMER_HEADER: &str = "flamingowalk-customer";
/// Header with the request identifier, echoed by workers and entry hosts.
pub const REQUEST_HEADER: &str = "flamingowalk-request-id";
/// Header with the time left in milliseconds.
pub const DEADLINE_HEADER: &str = "flamingowalk-deadline-ms";
/// Header that marks a call as idempotent.
pub const IDEMPOTENT_HEADER: &str = "flamingowalk-idempotent";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "flamingowalk-idempotency-key";

/// Parsed headers of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeaders {
    /// Customer of the call.
    pub customer: CustomerName,
    /// Request identifier.
    pub request_id: String,
    /// Time left for the call, if the caller gave one.
    pub deadline: Option<Duration>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

/// Error in the headers of a call.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum HeaderError {
    /// A required header is absent or not text.
    #[error("header {name} is missing or not text; send it with every call")]
    Missing {
        /// Header name.
        name: &'static str,
    },
    /// The value of a header is invalid.
    #[error("header {name} has the value {value:?}; send {expected}")]
    Invalid {
        /// Header name.
        name: &'static str,
        /// Value sent.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

impl CallHeaders {
    /// Parses the headers of a call.
    ///
    /// # Errors
    /// Returns a [`HeaderError`] for the first invalid header.
    pub fn parse(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let text = |name: &'static str| headers.get(name).and_then(|value| value.to_str().ok());
        let required = |name| text(name).ok_or(HeaderError::Missing { name });
        let deadline = text(DEADLINE_HEADER).map(parse_deadline).transpose()?;
        let idempotent = text(IDEMPOTENT_HEADER).map_or(Ok(false), parse_flag)?;
        Ok(Self {
            customer: required(CUSTOMER_HEADER)?.into(),
            request_id: required(REQUEST_HEADER)?.to_owned(),
            deadline,
            idempotent,
            key: text(IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
        })
    }
}

fn parse_deadline(value: &str) -> Result<Duration, HeaderError> {
    let millis = value.parse::<u64>().ok().filter(|millis| *millis > 0);
    millis
        .map(Duration::from_millis)
        .ok_or_else(|| HeaderError::Invalid {
            name: DEADLINE_HEADER,
            value: value.to_owned(),
            expected: "a whole number of milliseconds above zero",
        })
}

fn parse_flag(value: &str) -> Result<bool, HeaderError> {
    value.parse().map_err(|_not_bool| HeaderError::Invalid {
        name: IDEMPOTENT_HEADER,
        value: value.to_owned(),
        expected: "true or false",
    })
}

/// Reason why a job request failed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum JobError {
    /// The request is invalid.
    #[error("{0}")]
    Invalid(String),
    /// The request has no effect: the job did not run and will not run because of it.
    #[error("not run: {message}")]
    NotRun {
        /// Description of the error and its remedy.
        message: String,
        /// Delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The request may take effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// This host knows no job with the identifier.
    #[error(
        "job {0} is not known here; check the identifier, or ask again once the host has read the log"
    )]
    UnknownJob(JobId),
}

/// Returns the response to a job request that failed.
pub fn job_error_response(id: &str, error: &JobError) -> BufferedResponse {
    let (status, kind) = match error {
        JobError::Invalid(_) => (StatusCode::BAD_REQUEST, wire::JobErrorKind::Invalid),
        JobError::NotRun { .. } => (StatusCode::SERVICE_UNAVAILABLE, wire::JobErrorKind::NotRun),
        JobError::OutcomeUnknown(_) => (
            StatusCode::GATEWAY_TIMEOUT,
            wire::JobErrorKind::OutcomeUnknown,
        ),
        JobError::UnknownJob(_) => (StatusCode::NOT_FOUND, wire::JobErrorKind::UnknownJob),
    };
    let retry_after_ms = match error {
        JobError::NotRun { retry_after, .. } => {
            retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX))
        }
        _ => None,
    };
    let body = wire::JobError {
        id: id.to_owned(),
        kind,
        message: error.to_string(),
        retry_after_ms,
    };
    json_response(status, &body)
}
