//! HTTP client for control traffic: to workers, the log and the host list. A
//! request that times out takes its connection with it, so a silent connection
//! is never used twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Idle connections kept per peer; few, so that silent ones are soon replaced.
const IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer body in bytes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Why an exchange gave no usable answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection was not made, so the request was not sent.
    #[error("no connection to {address}; check that the address is right and the process runs")]
    Unreachable {
        /// Peer address.
        address: SocketAddr,
    },
    /// The request may have been received; no whole answer came.
    #[error("no whole answer from {address}; the request may have taken effect, read back first")]
    NoAnswer {
        /// Peer address.
        address: SocketAddr,
    },
    /// The answer is larger than this process takes.
    #[error("the answer of {address} exceeds {ANSWER_LIMIT} bytes; ask for less at once")]
    TooLarge {
        /// Peer address.
        address: SocketAddr,
    },
    /// The peer answered with an error status.
    #[error("{address} answered {status}: {body}")]
    Status {
        /// Peer address.
        address: SocketAddr,
        /// Status code.
        status: StatusCode,
        /// Body as text.
        body: String,
    },
    /// The body is not what the interface says.
    #[error("{address} sent a body that cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Peer address.
        address: SocketAddr,
        /// What is wrong with it.
        detail: String,
    },
}

/// A client with a small pool of connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_idle(IDLE_CONNECTIONS)
    }
}

impl HttpClient {
    /// A client that keeps up to `idle` unused connections per peer.
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

    /// Sends one request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// [`ExchangeFault::Unreachable`] proves that nothing was sent;
    /// [`ExchangeFault::NoAnswer`] leaves the effect open.
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

    /// Sends a request that is built already, as [`Self::exchange`].
    ///
    /// # Errors
    /// As [`Self::exchange`].
    pub async fn exchange_request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let exchange = self.send_whole(address, request);
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.unwrap_or(Err(ExchangeError::NoAnswer { address }))
    }

    /// Sends a JSON request and reads a JSON answer.
    ///
    /// # Errors
    /// As [`Self::exchange`]; any status outside 2xx is [`ExchangeFault::Status`].
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
        let (status, answer) = self.exchange(address, method, path, bytes, timeout).await?;
        if !status.is_success() {
            let body = String::from_utf8_lossy(&answer).into_owned();
            return Err(ExchangeError::Status {
                address,
                status,
                body,
            });
        }
        let text = if answer.is_empty() {
            Bytes::from_static(b"null")
        } else {
            answer
        };
        serde_json::from_slice(&text).map_err(malformed)
    }

    async fn send_whole(
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
        let body = Limited::new(response.into_body(), ANSWER_LIMIT);
        let whole = body.collect().await;
        whole
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
