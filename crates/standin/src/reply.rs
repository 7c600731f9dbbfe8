//! Answers of the stand-ins: JSON bodies with a status.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A complete answer.
pub(crate) type Reply = Response<Full<Bytes>>;

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let text = serde_json::to_vec(value).expect("border types serialise");
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    let json = "application/json".parse().expect("valid header value");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

/// Reads a JSON body; the error text names the fault and its remedy.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("body is not valid: {e}; send the JSON type"))
}
