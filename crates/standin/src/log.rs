//! Stand-in of the platform's log: in-memory streams of records with long polls at
//! the tail and retention by number of records.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flamingowalk_wire::log::{
    AppendRequest, AppendResponse, LogError, LogRecord, ReadResponse, StoredRecord,
};
use hyper::{Method, StatusCode};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::error::StandinError;
use crate::fault::{FaultSwitches, lock};
use crate::reply::{self, Reply};
use crate::server::{BufferedRequest, HttpServer};

const STREAMS_PATH: &str = "/v1/streams/";
const DEFAULT_READ_LIMIT: u64 = 1_000;
const MAX_CONNECTIONS: usize = 4_096;

#[derive(Debug, Default)]
struct StreamState {
    /// Retained records in order of offset, without gaps.
    records: VecDeque<StoredRecord>,
    /// Offset after the newest record; never decreases.
    tail: u64,
}

impl StreamState {
    fn first_offset(&self) -> u64 {
        self.tail - self.records.len() as u64
    }

    fn append(&mut self, records: Vec<LogRecord>, now_ms: u64) -> AppendResponse {
        let first_offset = self.tail;
        for record in records {
            self.records.push_back(StoredRecord {
                offset: self.tail,
                appended_at_ms: now_ms,
                record,
            });
            self.tail += 1;
        }
        AppendResponse {
            first_offset,
            next_offset: self.tail,
        }
    }

    fn retain_newest(&mut self, count: usize) {
        while self.records.len() > count {
            self.records.pop_front();
        }
    }

    /// Reads from the oldest retained record if the one at `from` has expired.
    fn read(&self, from: u64, limit: u64) -> ReadResponse {
        let first_offset = self.first_offset();
        let start = from.max(first_offset);
        let skipped = (start - first_offset) as usize;
        let records = self.records.iter().skip(skipped).take(limit as usize);
        let records: Vec<StoredRecord> = records.cloned().collect();
        ReadResponse {
            first_offset,
            next_offset: start + records.len() as u64,
            records,
            tail_offset: self.tail,
        }
    }
}

#[derive(Debug)]
struct LogState {
    streams: Mutex<BTreeMap<String, StreamState>>,
    /// Maximum number of records that one stream retains.
    retention: Mutex<usize>,
    /// Number of appends so far; readers at a tail wait for it to change.
    appends: watch::Sender<u64>,
    started: Instant,
    started_unix: Duration,
}

impl LogState {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            streams: Mutex::default(),
            retention: Mutex::new(usize::MAX),
            appends: watch::Sender::new(0),
            started: Instant::now(),
            started_unix: unix.unwrap_or_default(),
        }
    }

    fn now_ms(&self) -> u64 {
        (self.started_unix + self.started.elapsed()).as_millis() as u64
    }

    fn append(&self, stream: &str, records: Vec<LogRecord>) -> AppendResponse {
        let now_ms = self.now_ms();
        let retention = *lock(&self.retention);
        let mut streams = lock(&self.streams);
        let state = streams.entry(stream.to_owned()).or_default();
        let response = state.append(records, now_ms);
        state.retain_newest(retention);
        drop(streams);
        self.appends.send_modify(|count| *count += 1);
        response
    }

    fn read(&self, stream: &str, from: u64, limit: u64) -> ReadResponse {
        match lock(&self.streams).get(stream) {
            Some(state) => state.read(from, limit),
            None => StreamState::default().read(from, limit),
        }
    }

    /// Reads from `from`, waiting up to `wait` for a record if that is the tail.
    async fn read_waiting(
        &self,
        stream: &str,
        from: u64,
        limit: u64,
        wait: Duration,
    ) -> ReadResponse {
        let deadline = Instant::now() + wait;
        let mut appends = self.appends.subscribe();
        loop {
            let response = self.read(stream, from, limit);
            if !response.records.is_empty() {
                return response;
            }
            let changed = timeout_at(deadline, appends.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return response;
            }
        }
    }
}

/// A log on a loopback port. Offsets of each stream start at zero.
#[derive(Debug)]
pub struct LogStandin {
    server: HttpServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Starts an empty log inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start() -> Result<Self, StandinError> {
        let state = Arc::new(LogState::new());
        let shared = Arc::clone(&state);
        let handle = move |request| handle(Arc::clone(&shared), request);
        let server = HttpServer::start(MAX_CONNECTIONS, handle).await?;
        Ok(Self { server, state })
    }

    /// Address of the log.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Fault switches of the log.
    pub fn faults(&self) -> &FaultSwitches {
        &self.server.faults
    }

    /// Retains only the newest `count` records of each stream from now on.
    pub fn set_retention(&self, count: usize) {
        *lock(&self.state.retention) = count;
        for stream in lock(&self.state.streams).values_mut() {
            stream.retain_newest(count);
        }
    }

    /// Appends directly, without a request; injected faults do not apply.
    pub fn append(&self, stream: &str, records: Vec<LogRecord>) -> AppendResponse {
        self.state.append(stream, records)
    }

    /// Returns the retained records of a stream; injected faults do not apply.
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        self.state.read(stream, 0, u64::MAX).records
    }

    /// Number of appends so far, over all streams.
    pub fn append_count(&self) -> u64 {
        *self.state.appends.borrow()
    }
}

fn error_reply(status: StatusCode, message: String) -> Reply {
    reply::json(status, &LogError { message })
}

async fn handle(state: Arc<LogState>, request: BufferedRequest) -> Reply {
    let Some(rest) = request.path.strip_prefix(STREAMS_PATH) else {
        return error_reply(
            StatusCode::NOT_FOUND,
            "unknown path; see docs/INTERFACES.md".into(),
        );
    };
    match (&request.method, rest.strip_suffix("/append")) {
        (&Method::POST, Some(stream)) => append(&state, stream, &request),
        (&Method::GET, None) => read(&state, rest, &request).await,
        _ => error_reply(
            StatusCode::METHOD_NOT_ALLOWED,
            "use POST to append, GET to read".into(),
        ),
    }
}

fn append(state: &LogState, stream: &str, request: &BufferedRequest) -> Reply {
    match reply::parse::<AppendRequest>(&request.body) {
        Err(message) => error_reply(StatusCode::BAD_REQUEST, message),
        Ok(body) if body.records.is_empty() => error_reply(
            StatusCode::BAD_REQUEST,
            "no records; send one at least".into(),
        ),
        Ok(body) => reply::json(StatusCode::OK, &state.append(stream, body.records)),
    }
}

async fn read(state: &LogState, stream: &str, request: &BufferedRequest) -> Reply {
    let from = request.query_number("from").unwrap_or(0);
    let limit = request.query_number("limit").unwrap_or(DEFAULT_READ_LIMIT);
    let wait = Duration::from_millis(request.query_number("wait-ms").unwrap_or(0));
    let response = state.read_waiting(stream, from, limit.max(1), wait).await;
    reply::json(StatusCode::OK, &response)
}
