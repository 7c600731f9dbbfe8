//! A request to a target, with the length of its encoding on the connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};

/// Header with the request identifier.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("flamingowalk-request-id");

/// A request with all of its headers, so that its encoded length is known.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl TargetRequest {
    /// Creates a request to `address`. `headers` must contain the request identifier.
    pub fn new(
        method: Method,
        path: Uri,
        address: SocketAddr,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> Self {
        debug_assert!(
            headers.contains_key(&REQUEST_ID_HEADER),
            "the request has no identifier"
        );
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(HOST, host);
        }
        if method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        Self {
            method,
            path,
            headers,
            body,
        }
    }

    /// Returns the identifier that the response must carry.
    pub fn request_id(&self) -> Option<&HeaderValue> {
        self.headers.get(&REQUEST_ID_HEADER)
    }

    /// Returns the length of the encoded request in bytes.
    pub fn wire_length(&self) -> u64 {
        let path = self.path.path_and_query().map_or("/", |path| path.as_str());
        let request_line = format!("{} {path} HTTP/1.1\r\n", self.method).len();
        let line = |(name, value): (&HeaderName, &HeaderValue)| {
            name.as_str().len() + ": ".len() + value.len() + "\r\n".len()
        };
        let headers: usize = self.headers.iter().map(line).sum();
        (request_line + headers + "\r\n".len() + self.body.len()) as u64
    }

    /// Converts the request for the HTTP library.
    pub fn into_hyper(self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.path;
        *request.headers_mut() = self.headers;
        request
    }
}
