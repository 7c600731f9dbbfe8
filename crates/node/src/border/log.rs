//! The platform's log, interface version 1.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_wire::log as wire;
use hyper::Method;

use crate::connection::http_client::{ExchangeError, HttpClient};

/// Time that a command line gives the log for an answer.
pub const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// A page of a stream.
pub type LogPage = wire::ReadResponse;
/// Where appended records are.
pub type AppendedRange = wire::AppendResponse;
/// A record to append.
pub type NewRecord = wire::LogRecord;
/// A record with its place.
pub type StoredRecord = wire::StoredRecord;

/// What to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRequest {
    /// First offset wanted.
    pub from: u64,
    /// Most records wanted.
    pub limit: u32,
    /// Longest time for which the log holds the read at the tail.
    pub wait: Duration,
    /// Time for the answer, the wait included.
    pub timeout: Duration,
}

/// Reads a page of a stream.
///
/// # Errors
/// An [`ExchangeError`]; a read has no effect, so it may be repeated.
pub async fn read_page(
    client: &HttpClient,
    address: SocketAddr,
    stream: &str,
    request: ReadRequest,
) -> Result<LogPage, ExchangeError> {
    let ReadRequest {
        from, limit, wait, ..
    } = request;
    let wait_ms = wait.as_millis();
    let path = format!("/v1/streams/{stream}?from={from}&limit={limit}&wait-ms={wait_ms}");
    let timeout = request.timeout;
    client
        .exchange_json(address, Method::GET, &path, None::<&()>, timeout)
        .await
}

/// Appends records in order.
///
/// # Errors
/// An [`ExchangeError`]; only `Unreachable` proves that nothing was written.
pub async fn append_records(
    client: &HttpClient,
    address: SocketAddr,
    stream: &str,
    records: Vec<NewRecord>,
    timeout: Duration,
) -> Result<AppendedRange, ExchangeError> {
    let path = format!("/v1/streams/{stream}/append");
    let request = wire::AppendRequest { records };
    client
        .exchange_json(address, Method::POST, &path, Some(&request), timeout)
        .await
}
