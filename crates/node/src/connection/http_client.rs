//! HTTP client for control traffic to workers, the log and the host list. A request that
//! times out closes its connection, so an unresponsive connection is never reused.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::Instant;

/// Maximum number of idle connections per peer. It is low so that unresponsive
/// connections are soon replaced.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Duration after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a body that count as progress. A body that arrives slower than this within its
/// stall timeout counts as stalled.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;
/// Minimum time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why an exchange returned no usable response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection could not be established, so the request was not sent.
    #[error("no connection to {address}; check that the address is right and the process runs")]
    Unreachable {
        /// Peer address.
        address: SocketAddr,
    },
    /// The request may have been received, but no complete response arrived.
    #[error("no whole answer from {address}; the request may have taken effect, read back first")]
    NoAnswer {
        /// Peer address.
        address: SocketAddr,
    },
    /// The response body exceeds the maximum size.
    #[error("the answer of {address} exceeds {MAX_RESPONSE_BYTES} bytes; ask for less at once")]
    TooLarge {
        /// Peer address.
        address: SocketAddr,
    },
    /// The peer responded with an error status.
    #[error("{address} answered {status}: {body}")]
    Status {
        /// Peer address.
        address: SocketAddr,
        /// Status code.
        status: StatusCode,
        /// Body as text.
        body: String,
    },
    /// The body does not match the interface.
    #[error("{address} sent a body that cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Peer address.
        address: SocketAddr,
        /// Description of the error.
        detail: String,
    },
}

/// How long a response may take, and where the progress of its body is reported.
#[derive(Clone, Copy)]
pub struct BodyProgress<'a> {
    /// Time until the head of the response.
    pub first: Duration,
    /// Time from the head or the newest progress of the body until the next.
    pub stall: Duration,
    /// Called when a further part of a body has arrived that is not complete yet.
    pub report: &'a dyn Fn(),
}

impl fmt::Debug for BodyProgress<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyProgress")
            .field("first", &self.first)
            .field("stall", &self.stall)
            .finish_non_exhaustive()
    }
}

/// An HTTP client with a small connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_idle(MAX_IDLE_CONNECTIONS)
    }
}

impl HttpClient {
    /// Creates a client that keeps up to `idle` unused connections per peer.
    pub fn with_idle(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// # Errors
    /// [`ExchangeError::Unreachable`] guarantees that nothing was sent;
    /// [`ExchangeError::NoAnswer`] leaves the outcome unknown.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| ExchangeError::Malformed {
                address,
                detail: error.to_string(),
            })?;
        self.exchange_request(address, request, timeout).await
    }

    /// Sends a complete HTTP request like [`Self::exchange`].
    ///
    /// # Errors
    /// As [`Self::exchange`].
    pub async fn exchange_request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let exchange = self.send_and_collect(address, request);
        let response = tokio::time::timeout(timeout, exchange).await;
        response.unwrap_or(Err(ExchangeError::NoAnswer { address }))
    }

    /// Fetches a path whose response may be large. Its time is bounded by the progress of the
    /// body; a bound on the whole is the caller's.
    ///
    /// # Errors
    /// As [`Self::exchange`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        progress: BodyProgress<'_>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let request = Request::get(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::default())
            .map_err(|error| ExchangeError::Malformed {
                address,
                detail: error.to_string(),
            })?;
        let response = tokio::time::timeout(progress.first, self.client.request(request));
        let response = match response.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return Err(ExchangeError::Unreachable { address });
            }
            Ok(Err(_)) | Err(_) => return Err(ExchangeError::NoAnswer { address }),
        };
        let status = response.status();
        let body = collect_body(response.into_body(), progress).await;
        body.map(|body| (status, body))
            .map_err(|error| match error {
                BodyError::TooLarge => ExchangeError::TooLarge { address },
                BodyError::Incomplete => ExchangeError::NoAnswer { address },
            })
    }

    /// Sends a JSON request and reads a JSON response.
    ///
    /// # Errors
    /// As [`Self::exchange`]; any status outside 2xx is [`ExchangeError::Status`].
    pub async fn exchange_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, ExchangeError> {
        let malformed = |error: serde_json::Error| ExchangeError::Malformed {
            address,
            detail: error.to_string(),
        };
        let text = body
            .map(serde_json::to_vec)
            .transpose()
            .map_err(malformed)?;
        let bytes = Bytes::from(text.unwrap_or_default());
        let (status, response) = self.exchange(address, method, path, bytes, timeout).await?;
        if !status.is_success() {
            let body = String::from_utf8_lossy(&response).into_owned();
            return Err(ExchangeError::Status {
                address,
                status,
                body,
            });
        }
        let text = if response.is_empty() {
            Bytes::from_static(b"null")
        } else {
            response
        };
        serde_json::from_slice(&text).map_err(malformed)
    }

    async fn send_and_collect(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                ExchangeError::Unreachable { address }
            } else {
                ExchangeError::NoAnswer { address }
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let collected = body.collect().await;
        collected
            .map(|collected| (status, collected.to_bytes()))
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    ExchangeError::TooLarge { address }
                } else {
                    ExchangeError::NoAnswer { address }
                }
            })
    }
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It exceeds the maximum size.
    TooLarge,
    /// It ended early or stalled.
    Incomplete,
}

/// Receives a body as long as it makes progress.
///
/// # Errors
/// See [`BodyError`].
pub async fn collect_body<B>(body: B, progress: BodyProgress<'_>) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut body = body;
    let announced = body.size_hint().exact().unwrap_or(0) as usize;
    if announced > MAX_RESPONSE_BYTES {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = BytesMut::with_capacity(announced);
    let mut counted = 0;
    let mut stalls_at = Instant::now() + progress.stall;
    let mut next_report_at = Instant::now();
    loop {
        let frame = tokio::time::timeout_at(stalls_at, body.frame()).await;
        let data = match frame {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) | Err(_) => return Err(BodyError::Incomplete),
        };
        if bytes.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(BodyError::TooLarge);
        }
        bytes.extend_from_slice(&data);
        if bytes.len() - counted < MIN_PROGRESS_BYTES {
            continue;
        }
        counted = bytes.len();
        let now = Instant::now();
        stalls_at = now + progress.stall;
        if now >= next_report_at && !body.is_end_stream() {
            next_report_at = now + PROGRESS_INTERVAL;
            (progress.report)();
        }
    }
}
