//! HTTP server of every stand-in. It buffers each request in full and applies the
//! injected faults around the stand-in's handler.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::error::StandinError;
use crate::fault::{FaultSwitches, RequestOutcome};
use crate::reply::Reply;
use crate::traffic::CountedStream;

/// Delay after a failed accept, so that the loop does not spin while the process is
/// out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A request whose body has been read to its end.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Returns the value of a query key as a number; `None` if absent or malformed.
    pub(crate) fn query_number(&self, key: &str) -> Option<u64> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(name, _)| *name == key)
            .find_map(|(_, value)| value.parse().ok())
    }
}

/// Error that makes the server close the connection without a response.
#[derive(Debug, Error)]
#[error("connection closed by a fault switch or a broken request")]
struct ClosedConnection;

/// A listening server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub(crate) struct HttpServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Faults injected into its requests.
    pub faults: FaultSwitches,
    accept: AbortHandle,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl HttpServer {
    /// Listens on a free loopback port. At most `connections` are open at once;
    /// further ones are closed when accepted.
    pub(crate) async fn start<H, F>(connections: usize, handle: H) -> Result<Self, StandinError>
    where
        H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults = FaultSwitches::default();
        let task = tokio::spawn(accept_all(listener, connections, faults.clone(), handle));
        let accept = task.abort_handle();
        Ok(Self {
            address,
            faults,
            accept,
        })
    }
}

async fn accept_all<H, F>(listener: TcpListener, limit: usize, faults: FaultSwitches, handle: H)
where
    H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Dropped when this task is aborted, which closes all connections.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() >= limit {
            continue;
        }
        if let Some(id) = faults.accept_connection() {
            connections.spawn(serve(stream, id, faults.clone(), handle.clone()));
        }
    }
}

async fn serve<H, F>(stream: TcpStream, id: u64, faults: FaultSwitches, handle: H)
where
    H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let counted = CountedStream {
        stream,
        count: faults.traffic().clone(),
    };
    let service = service_fn(move |request| respond(request, id, faults.clone(), handle.clone()));
    // An error here is a closed connection, which the client notices itself.
    let _: Result<(), hyper::Error> = http1::Builder::new()
        .serve_connection(TokioIo::new(counted), service)
        .await;
}

async fn respond<H, F>(
    request: Request<Incoming>,
    connection: u64,
    faults: FaultSwitches,
    handle: H,
) -> Result<Response<Full<Bytes>>, ClosedConnection>
where
    H: Fn(BufferedRequest) -> F,
    F: Future<Output = Reply>,
{
    let request = buffer_request(request).await?;
    match faults.receive_request(connection) {
        RequestOutcome::Close => Err(ClosedConnection),
        RequestOutcome::Silent => Ok(never_respond().await),
        RequestOutcome::Handle {
            delay,
            lose_response,
        } => {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let reply = handle(request).await;
            if lose_response {
                return Err(ClosedConnection);
            }
            Ok(reply)
        }
    }
}

async fn never_respond() -> Reply {
    let never: Infallible = std::future::pending().await;
    match never {}
}

async fn buffer_request(request: Request<Incoming>) -> Result<BufferedRequest, ClosedConnection> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.or(Err(ClosedConnection))?.to_bytes();
    Ok(BufferedRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    })
}
