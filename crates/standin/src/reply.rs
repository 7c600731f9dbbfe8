//! Responses of the stand-ins: a status with a JSON body or none.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A complete response.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let text = serde_json::to_vec(value).expect("wire types serialise");
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    let json = "application/json".parse().expect("valid header value");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

/// Decodes a JSON body; the error text names the problem and its remedy.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("body is not valid: {e}; send the JSON type"))
}
