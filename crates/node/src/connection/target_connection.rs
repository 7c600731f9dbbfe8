//! An HTTP/1 connection to a target. It carries one request at a time: an exchange takes
//! ownership of the connection and returns it only after a complete response, so that a
//! late response is never matched with another request. Dropping it closes it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use flamingowalk_core::connection::liveness::{ConnectionRecord, LivenessRules, ReuseDecision};
use flamingowalk_core::prelude::*;
use flamingowalk_core::request::outcome::{ConnectionAge, FailurePoint, RetrySafety};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connection::target_request::TargetRequest;
use crate::connection::target_response::{matches_request, read_response};
use crate::connection::target_stream::{ByteCounts, CountedStream};

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Lateness of a timer above which this process counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// Path of the probe, to which a live target responds without any effect.
const PROBE_PATH: &str = "/v1/probe";

/// An idle connection. While in use, it is owned by its exchange.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    counts: ByteCounts,
    record: ConnectionRecord,
    address: SocketAddr,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Result of an exchange.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// Body of the response, or the point of failure.
    pub result: Result<Bytes, FailurePoint>,
    /// Whether the connection had carried a response before this exchange.
    pub age: ConnectionAge,
    /// The connection, if it can be reused.
    pub connection: Option<TargetConnection>,
}

impl TargetConnection {
    /// Connects to a target within `timeout`. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// Returns `DuringConnect`; nothing was sent.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        now: impl Fn() -> MonotonicTime,
    ) -> Result<Self, FailurePoint> {
        let failed = FailurePoint::DuringConnect;
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream.or(Err(failed))?.or(Err(failed))?;
        // With Nagle's algorithm a request waits for the acknowledgement of the previous one.
        stream.set_nodelay(true).or(Err(failed))?;
        let stream = CountedStream::new(stream);
        let counts = stream.counts();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.or(Err(failed))?;
        let driver = tokio::task::spawn_local(async move {
            // The exchange gets the error through the sender.
            let _ = connection.await;
        });
        let record = ConnectionRecord::new(now());
        Ok(Self {
            sender,
            driver,
            counts,
            record,
            address,
        })
    }

    /// Returns the address of the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection has carried a response.
    pub const fn age(&self) -> ConnectionAge {
        if self.record.is_unused() {
            ConnectionAge::Fresh
        } else {
            ConnectionAge::Reused
        }
    }

    /// Returns whether the target has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns how the connection may be used for a request at `now`.
    pub fn reuse_decision(
        &self,
        rules: &LivenessRules,
        safety: RetrySafety,
        now: MonotonicTime,
    ) -> ReuseDecision {
        self.record.reuse_decision(rules, safety, now)
    }

    /// Sends a request and reads the whole response, whose body has at most `body_limit` bytes.
    /// Dropping the future closes the connection.
    pub async fn exchange(
        mut self,
        request: TargetRequest,
        body_limit: u64,
        now: impl Fn() -> MonotonicTime,
    ) -> ExchangeOutcome {
        let age = self.age();
        match self.transfer(request, body_limit).await {
            Ok(result) => {
                self.record.record_answer(now());
                ExchangeOutcome {
                    result,
                    age,
                    connection: Some(self),
                }
            }
            Err(point) => ExchangeOutcome {
                result: Err(point),
                age,
                connection: None,
            },
        }
    }

    /// Probes the target and returns the connection if the target responds in time.
    pub async fn probe(
        mut self,
        timeout: Duration,
        now: impl Fn() -> MonotonicTime,
    ) -> Option<Self> {
        let mut headers = HeaderMap::new();
        headers.insert("flamingowalk-request-id", "probe".parse().ok()?);
        let path = Uri::from_static(PROBE_PATH);
        let request = TargetRequest::new(Method::GET, path, self.address, headers, Bytes::new());
        let sent = async {
            self.sender.ready().await.ok()?;
            self.sender.send_request(request.into_hyper()).await.ok()
        };
        let response = wait_for_response(sent, timeout).await??;
        if response.status() != StatusCode::NO_CONTENT || !response.body().is_end_stream() {
            return None;
        }
        self.record.record_answer(now());
        Some(self)
    }

    /// Transfers one request and its response. After an outer error the connection is
    /// unusable; after an inner error it can be reused.
    async fn transfer(
        &mut self,
        request: TargetRequest,
        body_limit: u64,
    ) -> Result<Result<Bytes, FailurePoint>, FailurePoint> {
        let request_id = request.request_id().cloned();
        let wire_length = request.wire_length();
        let written_before = self.counts.written();
        let read_before = self.counts.read();
        if self.sender.ready().await.is_err() {
            return Err(FailurePoint::NothingWritten);
        }
        let sent = self.sender.send_request(request.into_hyper()).await;
        let Ok(response) = sent else {
            let written = self.counts.written() - written_before;
            let has_response_started = self.counts.read() > read_before;
            return Err(failure_point(written, wire_length, has_response_started));
        };
        let (head, body) = response.into_parts();
        let declared = head
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        let declared = declared.and_then(|value| value.parse::<u64>().ok());
        let is_match = matches_request(&head, request_id.as_ref());
        if !is_match {
            return Err(FailurePoint::WrongId);
        }
        let length = declared.filter(|length| *length <= body_limit);
        let length = length.ok_or(FailurePoint::AnswerTooLarge)?;
        let body = read_body(body, length).await?;
        Ok(read_response(&head, body))
    }
}

/// Waits up to `timeout` for a response. A timer that fires late shows that this process
/// was stalled and says nothing about the target: its response may have arrived but not
/// been read yet, so the wait is repeated once.
async fn wait_for_response<T>(response: impl Future<Output = T>, timeout: Duration) -> Option<T> {
    let mut response = std::pin::pin!(response);
    let started = Instant::now();
    if let Ok(response) = tokio::time::timeout(timeout, &mut response).await {
        return Some(response);
    }
    let has_stalled = started.elapsed() > timeout + STALL_THRESHOLD;
    if !has_stalled {
        return None;
    }
    tokio::time::timeout(timeout, &mut response).await.ok()
}

/// Returns the point of failure of a request whose connection ended before a complete
/// response head.
const fn failure_point(written: u64, wire_length: u64, has_response_started: bool) -> FailurePoint {
    if has_response_started {
        return FailurePoint::HeadersOnly;
    }
    match written {
        0 => FailurePoint::NothingWritten,
        _ if written < wire_length => FailurePoint::PartiallyWritten,
        _ => FailurePoint::NoAnswer,
    }
}

/// Reads a body of exactly `length` bytes; any other length is an error.
async fn read_body(mut body: Incoming, length: u64) -> Result<Bytes, FailurePoint> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let failure = if received.is_empty() {
            FailurePoint::HeadersOnly
        } else {
            FailurePoint::TruncatedBody
        };
        if let Ok(data) = frame.or(Err(failure))?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    if received.len() as u64 == length {
        Ok(received.freeze())
    } else {
        Err(FailurePoint::TruncatedBody)
    }
}
