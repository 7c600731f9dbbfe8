//! Interpretation of the complete response of a target to a call. Only a response that
//! carries the identifier of the request counts.

use bytes::Bytes;
use flamingowalk_core::request::outcome::FailurePoint;
use flamingowalk_wire::target::{TargetRefusal, TargetRefusalKind};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;

/// Header with the request identifier.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("flamingowalk-request-id");

/// Header by which a target confirms that a failed call has run.
const RAN_HEADER: HeaderName = HeaderName::from_static("flamingowalk-ran");

/// Returns whether the response carries the identifier of the request.
pub fn matches_request(head: &Parts, request_id: Option<&HeaderValue>) -> bool {
    request_id.is_some() && head.headers.get(&REQUEST_ID_HEADER) == request_id
}

/// Returns the body of a successful response.
///
/// # Errors
/// Returns the point of failure that the response indicates.
pub fn read_response(head: &Parts, body: Bytes) -> Result<Bytes, FailurePoint> {
    if head.status == StatusCode::OK {
        return Ok(body);
    }
    let has_run = head
        .headers
        .get(&RAN_HEADER)
        .is_some_and(|value| value == "true");
    if head.status.is_server_error() && has_run {
        return Err(FailurePoint::RanAndFailed);
    }
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return Err(FailurePoint::UnconfirmedError);
    }
    let refusal: TargetRefusal =
        serde_json::from_slice(&body).or(Err(FailurePoint::UnconfirmedError))?;
    Err(match refusal.kind {
        TargetRefusalKind::Full => FailurePoint::TargetFull,
        TargetRefusalKind::Leaving => FailurePoint::TargetDraining,
        TargetRefusalKind::StaleTerm
        | TargetRefusalKind::UnknownLease
        | TargetRefusalKind::UnknownTask
        | TargetRefusalKind::Unsupported => FailurePoint::TargetRefused,
    })
}
