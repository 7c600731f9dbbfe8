//! HTTP server for callers, operators and the balancer. Bodies are bounded and
//! read whole before a request reaches its handler.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest time for a caller to send its request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a caller to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest request body in bytes that the server reads.
pub const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request with its body read whole.
pub type WholeRequest = Request<Bytes>;
/// A response with a whole body.
pub type WholeResponse = Response<Full<Bytes>>;

/// Accepts connections until `drained` turns true, then lets each connection
/// finish the request it is serving.
pub async fn serve_connections<H, F>(
    listener: TcpListener,
    mut drained: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(WholeRequest, SocketAddr) -> F + 'static,
    F: Future<Output = WholeResponse> + 'static,
{
    let handler = Rc::new(handler);
    let connection_watch = drained.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => {
                    let watch = connection_watch.clone();
                    let serving = serve_connection(stream, remote, watch, Rc::clone(&handler));
                    tokio::task::spawn_local(serving);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            _ = drained.wait_for(|drained| *drained) => return,
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    remote: SocketAddr,
    mut drained: watch::Receiver<bool>,
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
            .serve_connection(TokioIo::new(stream), service)
    );
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = drained.wait_for(|drained| *drained) => {}
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
    let whole = Limited::new(body, BODY_LIMIT).collect();
    match tokio::time::timeout(BODY_TIMEOUT, whole).await {
        Ok(Ok(collected)) => handler(Request::from_parts(head, collected.to_bytes()), remote).await,
        Ok(Err(error)) if error.is::<LengthLimitError>() => text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body exceeds {BODY_LIMIT} bytes; send less. The request was not run"),
        ),
        Ok(Err(_)) => text_response(
            StatusCode::BAD_REQUEST,
            "the body ended early; send it whole. The request was not run".to_owned(),
        ),
        Err(_) => text_response(
            StatusCode::REQUEST_TIMEOUT,
            format!("the body took over {BODY_TIMEOUT:?}; the request was not run, send it again"),
        ),
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
