//! HTTP server for callers, operators and the balancer. Bodies are bounded and
//! read whole before a request reaches its handler. A shutdown lets every
//! request in flight end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Longest time for a caller to send its request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a caller to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest request head in bytes.
const HEAD_LIMIT: usize = 16 * 1024;
/// Largest request body in bytes that the server reads.
pub const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request with its body, which is whole or has a fault.
pub type WholeRequest = Request<Result<Bytes, BodyError>>;

/// Why the body of a request is not there; the request was not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than the server reads.
    #[error("the body exceeds {BODY_LIMIT} bytes; send less")]
    TooLarge,
    /// Its connection ended, or it is malformed.
    #[error("the body ended early; send it whole")]
    Cut,
    /// It came too slowly.
    #[error("the body took over {BODY_TIMEOUT:?}; send it again, faster")]
    Slow,
}

impl BodyError {
    /// Status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::BAD_REQUEST,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// How far the shutdown of the server is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServePhase {
    /// Connections are accepted.
    #[default]
    Accepting,
    /// No connection is accepted; each ends after the request that it serves.
    Closing,
    /// Connections are cut.
    Cut,
}
/// A response with a whole body.
pub type WholeResponse = Response<Full<Bytes>>;

/// Accepts connections until the phase changes, and returns once every connection
/// has ended. Must run inside a `LocalSet`.
pub async fn serve_connections<H, F>(
    listener: TcpListener,
    mut phase: watch::Receiver<ServePhase>,
    handler: H,
) where
    H: Fn(WholeRequest, SocketAddr) -> F + 'static,
    F: Future<Output = WholeResponse> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    let closing = phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => {
                    let serving =
                        serve_connection(stream, remote, closing.clone(), Rc::clone(&handler));
                    connections.spawn_local(serving);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            () = reached(&mut phase, ServePhase::Closing) => break,
        }
    }
    drop(listener);
    tokio::select! {
        () = all_ended(&mut connections) => {}
        () = reached(&mut phase, ServePhase::Cut) => connections.shutdown().await,
    }
}

async fn all_ended(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
}

/// Waits for a phase; a sender that is gone counts as the last one.
async fn reached(phase: &mut watch::Receiver<ServePhase>, least: ServePhase) {
    let _ = phase.wait_for(|phase| *phase >= least).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    remote: SocketAddr,
    mut phase: watch::Receiver<ServePhase>,
    handler: Rc<H>,
) where
    H: Fn(WholeRequest, SocketAddr) -> F + 'static,
    F: Future<Output = WholeResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(answer_request(request, remote, handler).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(stream), service)
    );
    tokio::select! {
        _ = connection.as_mut() => return,
        () = reached(&mut phase, ServePhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer_request<H, F>(
    request: Request<Incoming>,
    remote: SocketAddr,
    handler: Rc<H>,
) -> WholeResponse
where
    H: Fn(WholeRequest, SocketAddr) -> F + 'static,
    F: Future<Output = WholeResponse> + 'static,
{
    let (head, body) = request.into_parts();
    let body = read_body(body).await;
    handler(Request::from_parts(head, body), remote).await
}

async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let whole = Limited::new(body, BODY_LIMIT).collect();
    match tokio::time::timeout(BODY_TIMEOUT, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Cut),
        Err(_) => Err(BodyError::Slow),
    }
}

/// A plain text response.
pub fn text_response(status: StatusCode, text: String) -> WholeResponse {
    typed_response(status, "text/plain; charset=utf-8", Bytes::from(text))
}

/// A response with the given content type.
pub fn typed_response(status: StatusCode, content: &'static str, body: Bytes) -> WholeResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// A JSON response.
pub fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> WholeResponse {
    match serde_json::to_vec(body) {
        Ok(text) => typed_response(status, "application/json", Bytes::from(text)),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
