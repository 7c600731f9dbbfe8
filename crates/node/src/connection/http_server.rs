//! HTTP server for callers, operators and the load balancer. Bodies have a maximum size
//! and are read completely before a request reaches its handler. A graceful shutdown
//! waits for the requests in flight.

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

/// Timeout for a caller to send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a caller to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Delay after a failed accept, so that the server does not spin while the process has no
/// free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request with its complete body, or the error that occurred while reading it.
pub type BufferedRequest = Request<Result<Bytes, BodyError>>;

/// Reason why the body of a request could not be read. Such a request is not executed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the maximum size.
    #[error("the body exceeds {MAX_BODY_BYTES} bytes; send less")]
    TooLarge,
    /// The connection ended within the body, or the body is malformed.
    #[error("the body ended early; send it whole")]
    Incomplete,
    /// The body did not arrive within the timeout.
    #[error("the body took over {BODY_TIMEOUT:?}; send it again, faster")]
    TimedOut,
}

impl BodyError {
    /// Returns the status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Phase of the shutdown of the server.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServePhase {
    /// Connections are accepted.
    #[default]
    Accepting,
    /// No new connections are accepted; each open one ends after its current request.
    Closing,
    /// Open connections are aborted.
    Aborting,
}

/// A response with a complete body.
pub type BufferedResponse = Response<Full<Bytes>>;

/// Accepts connections until the phase changes and returns after all connections have
/// ended. Must run inside a `LocalSet`.
pub async fn serve_connections<H, F>(
    listener: TcpListener,
    mut phase: watch::Receiver<ServePhase>,
    handler: H,
) where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    let shutdown = phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => {
                    let serving =
                        serve_connection(stream, remote, shutdown.clone(), Rc::clone(&handler));
                    connections.spawn_local(serving);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
            () = wait_for_phase(&mut phase, ServePhase::Closing) => break,
        }
    }
    drop(listener);
    tokio::select! {
        () = join_connections(&mut connections) => {}
        () = wait_for_phase(&mut phase, ServePhase::Aborting) => connections.shutdown().await,
    }
}

async fn join_connections(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
}

/// Waits for at least the phase `minimum`. Returns at once if the sender was dropped.
async fn wait_for_phase(phase: &mut watch::Receiver<ServePhase>, minimum: ServePhase) {
    let _ = phase.wait_for(|phase| *phase >= minimum).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    remote: SocketAddr,
    mut phase: watch::Receiver<ServePhase>,
    handler: Rc<H>,
) where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(serve_request(request, remote, handler).await) }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
    );
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_phase(&mut phase, ServePhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn serve_request<H, F>(
    request: Request<Incoming>,
    remote: SocketAddr,
    handler: Rc<H>,
) -> BufferedResponse
where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let (head, body) = request.into_parts();
    let body = read_body(body).await;
    handler(Request::from_parts(head, body), remote).await
}

async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let collecting = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}

/// Returns a plain text response.
pub fn text_response(status: StatusCode, text: String) -> BufferedResponse {
    typed_response(status, "text/plain; charset=utf-8", Bytes::from(text))
}

/// Returns a response with the given content type.
pub fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> BufferedResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Returns a JSON response.
pub fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> BufferedResponse {
    match serde_json::to_vec(body) {
        Ok(text) => typed_response(status, "application/json", Bytes::from(text)),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
