//! Connections to one stream of the log. Each request runs as a task whose answer
//! comes back as an event. Abandoning a read closes its connection.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_appender::{AppendError, AppendId};
use flamingowalk_core::process::log_follower::{ReadError, ReadId};
use metrics::counter;
use tokio::task::{AbortHandle, spawn_local};

use crate::border::log::{NewRecord, ReadRequest, append_records, read_page};
use crate::connection::http_client::{ExchangeError, HttpClient};
use crate::process::counters::{LOG_APPENDS, LOG_READS};
use crate::process::host_event::{EventSender, HostEvent, LogStream};
use crate::process::log_port::LogRequest;

/// Timeout of a request. The follower and the appender have shorter timeouts.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client for one stream of the log.
#[derive(Debug)]
pub struct LogLink {
    client: HttpClient,
    address: SocketAddr,
    stream: LogStream,
    events: EventSender,
    /// Tasks of the reads that have not been answered.
    pending_reads: BTreeMap<ReadId, AbortHandle>,
}

impl LogLink {
    /// Creates a link without requests.
    pub fn new(
        client: HttpClient,
        address: SocketAddr,
        stream: LogStream,
        events: EventSender,
    ) -> Self {
        Self {
            client,
            address,
            stream,
            events,
            pending_reads: BTreeMap::new(),
        }
    }

    /// Removes a read that has been answered.
    pub fn finish_read(&mut self, read: ReadId) {
        self.pending_reads.remove(&read);
    }

    /// Executes a request.
    pub fn send(&mut self, request: LogRequest) {
        match request {
            LogRequest::Read {
                read,
                from,
                limit,
                wait,
                is_connection_new,
            } => {
                if is_connection_new {
                    // The existing connections may have stopped responding without an error.
                    self.client = HttpClient::default();
                }
                let request = ReadRequest {
                    from: from.0,
                    limit,
                    wait,
                    timeout: RESPONSE_TIMEOUT,
                };
                self.send_read(read, request);
            }
            LogRequest::AbandonRead { read } => {
                if let Some(task) = self.pending_reads.remove(&read) {
                    task.abort();
                }
            }
            LogRequest::Append { append, records } => self.send_append(append, records),
        }
    }

    fn send_read(&mut self, read: ReadId, request: ReadRequest) {
        let (client, address) = (self.client.clone(), self.address);
        let (stream, events) = (self.stream.clone(), self.events.clone());
        let task = spawn_local(async move {
            let result = read_page(&client, address, &stream.name(), request).await;
            let outcome = if result.is_ok() { "done" } else { "failed" };
            counter!(LOG_READS, "stream" => stream.name(), "outcome" => outcome).increment(1);
            let result = result.map_err(|error| read_error(&error));
            // Sending fails only if the loop has ended; it follows no log then.
            let _ = events.send(HostEvent::LogRead {
                stream,
                read,
                result,
            });
        });
        self.pending_reads.insert(read, task.abort_handle());
    }

    fn send_append(&self, append: AppendId, records: Vec<NewRecord>) {
        let (client, address) = (self.client.clone(), self.address);
        let (stream, events) = (self.stream.clone(), self.events.clone());
        spawn_local(async move {
            let name = stream.name();
            let result = append_records(&client, address, &name, records, RESPONSE_TIMEOUT).await;
            let outcome = if result.is_ok() { "done" } else { "failed" };
            counter!(LOG_APPENDS, "stream" => stream.name(), "outcome" => outcome).increment(1);
            let result = result.map_err(append_error);
            // Sending fails only if the loop has ended; it writes no log then.
            let _ = events.send(HostEvent::LogAppended {
                stream,
                append,
                result,
            });
        });
    }
}

fn read_error(error: &ExchangeError) -> ReadError {
    match error {
        ExchangeError::TooLarge { .. } => ReadError::TooLarge,
        ExchangeError::Unreachable { .. }
        | ExchangeError::NoAnswer { .. }
        | ExchangeError::Status { .. }
        | ExchangeError::Malformed { .. } => ReadError::Unavailable,
    }
}

/// Only a client error shows that the log examined the request and refused it; a
/// server error may come after the write.
fn append_error(error: ExchangeError) -> AppendError {
    const REFUSED_CODES: [u16; 3] = [400, 413, 422];
    match error {
        ExchangeError::Unreachable { .. } => AppendError::NotSent,
        ExchangeError::Status { status, body, .. } if REFUSED_CODES.contains(&status.as_u16()) => {
            AppendError::Refused(body)
        }
        ExchangeError::Status { .. }
        | ExchangeError::NoAnswer { .. }
        | ExchangeError::TooLarge { .. }
        | ExchangeError::Malformed { .. } => AppendError::Unknown,
    }
}
