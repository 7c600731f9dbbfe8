//! One HTTP/1 connection to a target. It carries one request at a time; an
//! exchange takes the connection and gives it back only after a whole answer, so
//! that a late answer never meets another request. Dropping it closes it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use flamingowalk_core::connection::liveness::{ConnectionRecord, LivenessRules, ReuseDecision};
use flamingowalk_core::prelude::*;
use flamingowalk_core::request::outcome::{ConnectionAge, FailurePoint, RepeatSafety};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connection::target_answer::{is_own_answer, read_answer};
use crate::connection::target_request::TargetRequest;
use crate::connection::target_stream::{ByteCounts, CountedStream};

/// Largest head of an answer in bytes.
const HEAD_LIMIT: usize = 16 * 1024;

/// Lateness of a timer that shows that the process was held up.
const HOLD_UP: Duration = Duration::from_millis(10);

/// Path that a live target answers at without doing anything.
const PROBE_PATH: &str = "/v1/probe";

/// A connection that is idle; in use, it belongs to its exchange.
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

/// The end of an exchange.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// The answer's body, or where the exchange failed.
    pub result: Result<Bytes, FailurePoint>,
    /// Whether the connection had carried an answer before.
    pub age: ConnectionAge,
    /// The connection, if it may carry another request.
    pub connection: Option<TargetConnection>,
}

impl TargetConnection {
    /// Connects to a target within `timeout`. Must run inside a `LocalSet`.
    ///
    /// # Errors
    /// `DuringConnect`; nothing was sent.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        now: impl Fn() -> MonotonicTime,
    ) -> Result<Self, FailurePoint> {
        let failed = FailurePoint::DuringConnect;
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream.or(Err(failed))?.or(Err(failed))?;
        // Without this a request waits for the acknowledgement of the one before.
        stream.set_nodelay(true).or(Err(failed))?;
        let stream = CountedStream::new(stream);
        let counts = stream.counts();
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.or(Err(failed))?;
        let driver = tokio::task::spawn_local(async move {
            // Its error reaches the exchange through the sender.
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

    /// Address of the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection has carried an answer.
    pub const fn age(&self) -> ConnectionAge {
        if self.record.is_unused() {
            ConnectionAge::Fresh
        } else {
            ConnectionAge::Reused
        }
    }

    /// Whether the target has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// How the connection may carry a request at `now`.
    pub fn judge(
        &self,
        rules: &LivenessRules,
        safety: RepeatSafety,
        now: MonotonicTime,
    ) -> ReuseDecision {
        self.record.reuse_decision(rules, safety, now)
    }

    /// Sends a request and reads the whole answer of at most `body_limit` bytes.
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

    /// Asks the target for a sign of life; gives the connection back if one came.
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
        let response = answer_in_time(sent, timeout).await??;
        if response.status() != StatusCode::NO_CONTENT || !response.body().is_end_stream() {
            return None;
        }
        self.record.record_answer(now());
        Some(self)
    }

    /// The outer error leaves the connection unusable, the inner one does not.
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
            let is_answering = self.counts.read() > read_before;
            return Err(cut_point(written, wire_length, is_answering));
        };
        let (head, body) = response.into_parts();
        let declared = head
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        let declared = declared.and_then(|value| value.parse::<u64>().ok());
        let is_own = is_own_answer(&head, request_id.as_ref());
        if !is_own {
            return Err(FailurePoint::WrongId);
        }
        let length = declared.filter(|length| *length <= body_limit);
        let length = length.ok_or(FailurePoint::AnswerTooLarge)?;
        let body = read_body(body, length).await?;
        Ok(read_answer(&head, body))
    }
}

/// Waits for an answer. A timer that comes late shows that this process was held up,
/// which is no silence of the target: then the answer may be there, unread, and gets
/// the time once more.
async fn answer_in_time<T>(answer: impl Future<Output = T>, timeout: Duration) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    let began = Instant::now();
    if let Ok(answer) = tokio::time::timeout(timeout, &mut answer).await {
        return Some(answer);
    }
    let was_held_up = began.elapsed() > timeout + HOLD_UP;
    if !was_held_up {
        return None;
    }
    tokio::time::timeout(timeout, &mut answer).await.ok()
}

/// How far a request had got when its connection ended without a whole head.
const fn cut_point(written: u64, wire_length: u64, is_answering: bool) -> FailurePoint {
    if is_answering {
        return FailurePoint::HeadersOnly;
    }
    match written {
        0 => FailurePoint::NothingWritten,
        _ if written < wire_length => FailurePoint::PartiallyWritten,
        _ => FailurePoint::NoAnswer,
    }
}

/// Reads exactly `length` bytes; a shorter body is never passed on.
async fn read_body(mut body: Incoming, length: u64) -> Result<Bytes, FailurePoint> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let cut = if whole.is_empty() {
            FailurePoint::HeadersOnly
        } else {
            FailurePoint::TruncatedBody
        };
        if let Ok(data) = frame.or(Err(cut))?.into_data() {
            whole.extend_from_slice(&data);
        }
    }
    if whole.len() as u64 == length {
        Ok(whole.freeze())
    } else {
        Err(FailurePoint::TruncatedBody)
    }
}
