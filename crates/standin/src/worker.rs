//! Stand-in of a worker: tasks under leases, usage reports and calls.
//! [`WorkerState`] holds the tasks and takes the time as an argument, so that it can
//! also run on a virtual clock.

mod calls;
mod held;
mod options;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use flamingowalk_wire::hosts::HostEntry;
use flamingowalk_wire::target::{TargetRefusal, TaskList};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

pub use self::options::{RunTime, TaskPredicate, WorkerOptions};
pub use self::state::WorkerState;
use crate::error::StandinError;
use crate::fault::{FaultSwitches, lock};
use crate::reply::{self, Reply};
use crate::server::{BufferedRequest, HttpServer};

const CALLS_PATH: &str = "/v1/calls/";

/// State of one worker that its connections share.
#[derive(Debug)]
struct SharedWorker {
    state: Mutex<WorkerState>,
    started: Instant,
}

impl SharedWorker {
    /// Brings the state up to now and runs `apply` on it.
    fn with_state<T>(&self, apply: impl FnOnce(&mut WorkerState) -> T) -> T {
        let mut state = lock(&self.state);
        state.advance(self.started.elapsed());
        apply(&mut state)
    }
}

/// A worker on a loopback port.
#[derive(Debug)]
pub struct WorkerStandin {
    server: HttpServer,
    shared: Arc<SharedWorker>,
    entry: HostEntry,
}

impl WorkerStandin {
    /// Starts a worker without tasks inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start(options: WorkerOptions) -> Result<Self, StandinError> {
        let connections = options.connections as usize;
        let options = Arc::new(options);
        let shared = Arc::new(SharedWorker {
            state: Mutex::new(WorkerState::new(Arc::clone(&options))),
            started: Instant::now(),
        });
        let handler = Arc::clone(&shared);
        let handle = move |request| handle(Arc::clone(&handler), request);
        let server = HttpServer::start(connections, handle).await?;
        let entry = options.host_entry(server.address);
        Ok(Self {
            server,
            shared,
            entry,
        })
    }

    /// Address of the worker.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the worker's entry in the host list.
    pub fn entry(&self) -> HostEntry {
        self.entry.clone()
    }

    /// Fault switches of the worker's connections.
    pub fn faults(&self) -> &FaultSwitches {
        &self.server.faults
    }

    /// Sets whether the worker drains. It then refuses new work with the kind `Leaving`.
    pub fn set_draining(&self, draining: bool) {
        self.shared.with_state(|state| state.draining = draining);
    }

    /// Sets whether tasks fail as soon as they start, and calls once they have run.
    pub fn set_failing_starts(&self, failing: bool) {
        self.shared
            .with_state(|state| state.failing_starts = failing);
    }

    /// Sets whether tasks fail when they reach the end of their run time.
    pub fn set_failing_ends(&self, failing: bool) {
        self.shared.with_state(|state| state.failing_ends = failing);
    }

    /// Multiplies the run time of tasks and calls that start from now on.
    pub fn set_slowness(&self, factor: u32) {
        self.shared.with_state(|state| state.slowness = factor);
    }

    /// Sets the memory that tasks report, in percent of their reservation.
    pub fn set_memory_use(&self, percent: u64) {
        self.shared
            .with_state(|state| state.memory_percent = percent);
    }

    /// Returns the task list as the worker would send it; injected faults do not
    /// apply.
    pub fn tasks(&self) -> TaskList {
        self.shared.with_state(|state| state.list())
    }

    /// Number of starts of each task, by task identifier; never evicted.
    pub fn task_runs(&self) -> BTreeMap<String, u32> {
        self.shared.with_state(|state| state.task_runs.clone())
    }

    /// Number of runs of each call, by request identifier; never evicted.
    pub fn call_runs(&self) -> BTreeMap<String, u32> {
        self.shared.with_state(|state| state.call_runs.clone())
    }
}

async fn handle(shared: Arc<SharedWorker>, request: BufferedRequest) -> Reply {
    if let Some(service) = request.path.strip_prefix(CALLS_PATH) {
        if request.method != Method::POST {
            return reply::empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        return calls::run(&shared, service, &request).await;
    }
    match request.method {
        Method::GET => handle_get(&shared, &request.path),
        Method::POST => handle_post(&shared, &request),
        _ => reply::empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn handle_get(shared: &SharedWorker, path: &str) -> Reply {
    match path {
        "/v1/tasks" => reply::json(StatusCode::OK, &shared.with_state(|state| state.list())),
        "/v1/usage" => reply::json(StatusCode::OK, &shared.with_state(|state| state.usage())),
        "/v1/probe" => reply::empty(StatusCode::NO_CONTENT),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

fn handle_post(shared: &SharedWorker, request: &BufferedRequest) -> Reply {
    match request.path.as_str() {
        "/v1/tasks/reserve" => apply(shared, request, |state, body| state.reserve(&body)),
        "/v1/tasks/start" => apply(shared, request, WorkerState::start),
        "/v1/tasks/renew" => apply(shared, request, |state, body| state.renew(&body)),
        "/v1/tasks/release" => release(shared, request),
        "/v1/tasks/checkpoint" => apply(shared, request, |state, body| state.checkpoint(&body)),
        "/v1/tasks/throttle" => apply(shared, request, |state, body| state.throttle(&body)),
        "/v1/tasks/stop" => apply(shared, request, |state, body| state.stop(&body)),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

fn apply<B: DeserializeOwned, T: Serialize>(
    shared: &SharedWorker,
    request: &BufferedRequest,
    apply: impl FnOnce(&mut WorkerState, B) -> Result<T, TargetRefusal>,
) -> Reply {
    let body = match reply::parse::<B>(&request.body) {
        Ok(body) => body,
        Err(message) => return reply::json(StatusCode::BAD_REQUEST, &message),
    };
    match shared.with_state(|state| apply(state, body)) {
        Ok(value) => reply::json(StatusCode::OK, &value),
        Err(refusal) => reply::json(StatusCode::CONFLICT, &refusal),
    }
}

fn release(shared: &SharedWorker, request: &BufferedRequest) -> Reply {
    let reply = apply(shared, request, |state, body| state.release(&body));
    if reply.status() == StatusCode::OK {
        return reply::empty(StatusCode::NO_CONTENT);
    }
    reply
}
