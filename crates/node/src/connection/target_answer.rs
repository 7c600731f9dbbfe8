//! What a whole response of a target says about the call. Only a response that
//! carries the identifier of this request says anything.

use bytes::Bytes;
use flamingowalk_core::request::outcome::FailurePoint;
use flamingowalk_wire::target::{TargetRefusal, TargetRefusalKind};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;

/// Header with the request identifier.
const REQUEST_ID: HeaderName = HeaderName::from_static("flamingowalk-request-id");

/// Header by which a target proves that it ran a call that failed.
const RAN: HeaderName = HeaderName::from_static("flamingowalk-ran");

/// Whether the response belongs to the request with this identifier.
pub fn is_own_answer(head: &Parts, request_id: Option<&HeaderValue>) -> bool {
    request_id.is_some() && head.headers.get(&REQUEST_ID) == request_id
}

/// Reads a whole response that belongs to the request.
///
/// # Errors
/// The point of failure that the response proves.
pub fn read_answer(head: &Parts, body: Bytes) -> Result<Bytes, FailurePoint> {
    if head.status == StatusCode::OK {
        return Ok(body);
    }
    let has_run = head.headers.get(&RAN).is_some_and(|value| value == "true");
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
