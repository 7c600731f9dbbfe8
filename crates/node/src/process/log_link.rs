//! Connections to one stream of the log. Each request runs as a task whose answer
//! comes back as an event; a read that is given up takes its connection with it.

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

/// Time for an answer; the follower and the appender lose patience sooner.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// Way to one stream.
#[derive(Debug)]
pub struct LogLink {
    client: HttpClient,
    address: SocketAddr,
    stream: LogStream,
    events: EventSender,
    /// Reads without an answer.
    reads: BTreeMap<ReadId, AbortHandle>,
}

impl LogLink {
    /// A link without requests.
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
            reads: BTreeMap::new(),
        }
    }

    /// Notes that a read has been answered.
    pub fn finish_read(&mut self, read: ReadId) {
        self.reads.remove(&read);
    }

    /// Carries a request out.
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
                    // The connections so far may have gone silent.
                    self.client = HttpClient::default();
                }
                let request = ReadRequest {
                    from: from.0,
                    limit,
                    wait,
                    timeout: ANSWER_TIME,
                };
                self.read(read, request);
            }
            LogRequest::AbandonRead { read } => {
                if let Some(task) = self.reads.remove(&read) {
                    task.abort();
                }
            }
            LogRequest::Append { append, records } => self.append(append, records),
        }
    }

    fn read(&mut self, read: ReadId, request: ReadRequest) {
        let (client, address) = (self.client.clone(), self.address);
        let (stream, events) = (self.stream.clone(), self.events.clone());
        let task = spawn_local(async move {
            let result = read_page(&client, address, &stream.name(), request).await;
            let outcome = if result.is_ok() { "done" } else { "failed" };
            counter!(LOG_READS, "stream" => stream.name(), "outcome" => outcome).increment(1);
            let result = result.map_err(|error| read_error(&error));
            // A loop that has ended follows no log.
            let _ = events.send(HostEvent::LogRead {
                stream,
                read,
                result,
            });
        });
        self.reads.insert(read, task.abort_handle());
    }

    fn append(&self, append: AppendId, records: Vec<NewRecord>) {
        let (client, address) = (self.client.clone(), self.address);
        let (stream, events) = (self.stream.clone(), self.events.clone());
        spawn_local(async move {
            let name = stream.name();
            let result = append_records(&client, address, &name, records, ANSWER_TIME).await;
            let outcome = if result.is_ok() { "done" } else { "failed" };
            counter!(LOG_APPENDS, "stream" => stream.name(), "outcome" => outcome).increment(1);
            let result = result.map_err(append_error);
            // A loop that has ended writes no log.
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

/// Only a client error says that the log looked at the request and did not take
/// it; a server error may come after the write.
fn append_error(error: ExchangeError) -> AppendError {
    const REFUSALS: [u16; 3] = [400, 413, 422];
    match error {
        ExchangeError::Unreachable { .. } => AppendError::NotSent,
        ExchangeError::Status { status, body, .. } if REFUSALS.contains(&status.as_u16()) => {
            AppendError::Refused(body)
        }
        ExchangeError::Status { .. }
        | ExchangeError::NoAnswer { .. }
        | ExchangeError::TooLarge { .. }
        | ExchangeError::Malformed { .. } => AppendError::Unknown,
    }
}
