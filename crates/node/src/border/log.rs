//! The platform's log, interface version 1.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_wire::log as wire;
use hyper::Method;

use crate::connection::http_client::{ExchangeFault, HttpClient};

/// Longest time that the log holds a read at the tail.
pub const READ_WAIT: Duration = Duration::from_secs(1);
/// Time the log has for an answer beyond the wait.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// A page of a stream.
pub type LogPage = wire::ReadResponse;
/// A record to append.
pub type NewRecord = wire::LogRecord;
/// A record with its place.
pub type StoredRecord = wire::StoredRecord;

/// Reads a page of at most `limit` records from `offset`, waiting `wait` at the tail.
///
/// # Errors
/// An [`ExchangeFault`]; a read has no effect, so it may be repeated.
pub async fn read_page(
    client: &HttpClient,
    address: SocketAddr,
    stream: &str,
    offset: u64,
    limit: u32,
    wait: Duration,
) -> Result<LogPage, ExchangeFault> {
    let wait_ms = wait.as_millis();
    let path = format!("/v1/streams/{stream}?from={offset}&limit={limit}&wait-ms={wait_ms}");
    let timeout = wait + LOG_TIMEOUT;
    client
        .exchange_json(address, Method::GET, &path, None::<&()>, timeout)
        .await
}

/// Appends records in order; returns the offset of the first.
///
/// # Errors
/// An [`ExchangeFault`]; only `Unreachable` proves that nothing was written.
pub async fn append_records(
    client: &HttpClient,
    address: SocketAddr,
    stream: &str,
    records: Vec<NewRecord>,
) -> Result<u64, ExchangeFault> {
    let path = format!("/v1/streams/{stream}/append");
    let request = wire::AppendRequest { records };
    let answer: wire::AppendResponse = client
        .exchange_json(address, Method::POST, &path, Some(&request), LOG_TIMEOUT)
        .await?;
    Ok(answer.first_offset)
}
