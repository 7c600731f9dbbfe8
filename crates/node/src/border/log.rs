//! Client of the platform's log, interface version 1.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_wire::log as wire;
use hyper::Method;

use crate::connection::http_client::{ExchangeError, HttpClient};

/// Timeout of log requests by the command line and by reads of the configuration.
pub const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// A page of a stream.
pub type LogPage = wire::ReadResponse;
/// Offsets of appended records.
pub type AppendedRange = wire::AppendResponse;
/// A record to append.
pub type NewRecord = wire::LogRecord;
/// A record with its offset and append time.
pub type StoredRecord = wire::StoredRecord;

/// Parameters of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRequest {
    /// First offset to read.
    pub from: u64,
    /// Maximum number of records to return.
    pub limit: u32,
    /// Longest time for which the log waits for a new record if the read is at the tail.
    pub wait: Duration,
    /// Timeout of the request, including `wait`.
    pub timeout: Duration,
}

/// Reads a page of a stream.
///
/// # Errors
/// Returns an [`ExchangeError`] if the read fails; a read has no effect, so it may be
/// retried.
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
/// Returns an [`ExchangeError`] if the append fails; only `Unreachable` guarantees that
/// nothing was written.
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
