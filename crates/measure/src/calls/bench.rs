//! Test bench of a run: 16 stand-in workers in each of three zones, a log with one
//! published configuration, a host list, and one entry host on its own thread.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use flamingowalk_core::version::{FolderFile, content_hash, merge_folder};
use flamingowalk_node::{HostSettings, start_host};
use flamingowalk_standin::{HostsStandin, LogStandin, WorkerOptions, WorkerStandin};
use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState};
use flamingowalk_wire::log::LogRecord;
use flamingowalk_wire::records::ConfigRecord;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use super::CallMeasureError;
use super::fault_case::FaultCase;
use super::thread_usage::current_thread_id;

/// Availability zones of the example folder; the host is in the first one.
const ZONES: [&str; 3] = ["maribor-a", "celje-b", "ptuj-c"];
/// Workers of each zone.
const WORKERS_PER_ZONE: usize = 16;
/// Entry hosts listed besides the measured one. The connection limits of the workers are
/// shared among all listed hosts.
const OTHER_HOSTS: usize = 6;
/// Factor on the run time of a call at a slow worker.
const SLOW_WORKER_FACTOR: u32 = 10;
/// Service that all workers provide.
pub(crate) const SERVICE: &str = "podlaga-plan";
/// Customers of the calls, in turn.
pub(crate) const CUSTOMERS: [&str; 3] = ["lope-drava", "lope-savinja", "lope-sava"];

/// Files of the operator folder that is published.
const EXAMPLE_FOLDER: [(&str, &str); 4] = [
    (
        "00",
        include_str!("../../../../examples/podlaga/00-zones.ini"),
    ),
    (
        "10",
        include_str!("../../../../examples/podlaga/10-services.ini"),
    ),
    (
        "20",
        include_str!("../../../../examples/podlaga/20-customers.ini"),
    ),
    (
        "40",
        include_str!("../../../../examples/podlaga/40-policy.ini"),
    ),
];

/// Behavior of the workers in a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchPlan {
    /// Run time of a call on a healthy worker.
    pub call_time: Duration,
    /// Injected fault.
    pub case: FaultCase,
}

/// Everything that a run communicates with; dropping it stops the host and the stand-ins.
#[derive(Debug)]
pub(crate) struct CallBench {
    workers: Vec<WorkerStandin>,
    _log: LogStandin,
    _hosts: HostsStandin,
    host: HostThread,
    /// Threads of the stand-ins: one for the log and the host list, two for the workers of
    /// each zone. Dropped last, because the stand-ins run on them.
    _threads: Vec<StandinThread>,
}

/// Thread that drives stand-ins until it is dropped.
#[derive(Debug)]
struct StandinThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl StandinThread {
    /// Starts stand-ins on a new runtime and keeps that runtime running on its own thread.
    fn start<T, F: Future<Output = Result<T, CallMeasureError>>>(
        standins: F,
    ) -> Result<(T, Self), CallMeasureError> {
        let runtime = new_runtime()?;
        let started = runtime.block_on(standins)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || drop(runtime.block_on(stopped)));
        Ok((
            started,
            Self {
                stop: Some(stop),
                thread: Some(thread),
            },
        ))
    }
}

impl Drop for StandinThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread has already printed a panic of a stand-in.
            let _ = thread.join();
        }
    }
}

/// Returns a single-threaded runtime.
pub(crate) fn new_runtime() -> Result<Runtime, CallMeasureError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(start_error)
}

#[derive(Debug)]
struct HostThread {
    address: SocketAddr,
    thread_id: Option<u32>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for HostThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread has already printed a panic of the host.
            let _ = thread.join();
        }
    }
}

impl CallBench {
    /// Starts the stand-ins, publishes the configuration and starts the host.
    pub(crate) fn start(plan: BenchPlan) -> Result<Self, CallMeasureError> {
        let ((log, hosts), first) = StandinThread::start(start_platform())?;
        let mut threads = vec![first];
        let mut workers = Vec::new();
        for (zone, half) in ZONES.into_iter().flat_map(|zone| [(zone, 0), (zone, 1)]) {
            let (started, thread) = StandinThread::start(start_half(plan, zone, half))?;
            for worker in &started {
                hosts.add(worker.entry());
            }
            workers.extend(started);
            threads.push(thread);
        }
        log.append("config", vec![config_record()?]);
        let host = start_host_thread(log.address(), hosts.address())?;
        Ok(Self {
            workers,
            _log: log,
            _hosts: hosts,
            host,
            _threads: threads,
        })
    }

    /// Returns the address at which the entry host accepts callers.
    pub(crate) const fn host_address(&self) -> SocketAddr {
        self.host.address
    }

    /// Returns the thread identifier of the entry host, if known.
    pub(crate) const fn host_thread(&self) -> Option<u32> {
        self.host.thread_id
    }

    /// Returns all workers, zone by zone.
    pub(crate) fn workers(&self) -> &[WorkerStandin] {
        &self.workers
    }

    /// Returns the workers of the host's zone.
    pub(crate) fn own_zone_workers(&self) -> &[WorkerStandin] {
        &self.workers[..WORKERS_PER_ZONE]
    }

    /// Returns the addresses of all workers.
    pub(crate) fn worker_addresses(&self) -> Vec<SocketAddr> {
        self.workers.iter().map(WorkerStandin::address).collect()
    }
}

async fn start_platform() -> Result<(LogStandin, HostsStandin), CallMeasureError> {
    let log = LogStandin::start().await.map_err(start_error)?;
    let hosts = HostsStandin::start().await.map_err(start_error)?;
    for number in 0..OTHER_HOSTS {
        hosts.add(other_host(number));
    }
    Ok((log, hosts))
}

async fn start_half(
    plan: BenchPlan,
    zone: &str,
    half: usize,
) -> Result<Vec<WorkerStandin>, CallMeasureError> {
    let mut workers = Vec::new();
    for number in (half..WORKERS_PER_ZONE).step_by(2) {
        workers.push(start_worker(plan, zone, number).await?);
    }
    Ok(workers)
}

async fn start_worker(
    plan: BenchPlan,
    zone: &str,
    number: usize,
) -> Result<WorkerStandin, CallMeasureError> {
    let is_faulty = plan.case.is_faulty(number);
    let fails_fast = is_faulty && plan.case == FaultCase::FailingFast;
    let options = WorkerOptions {
        name: format!("{zone}-w{number}"),
        zone: zone.to_owned(),
        region: "sl-east".to_owned(),
        rack: format!("{zone}-r{}", number / 8),
        services: vec![SERVICE.to_owned()],
        // The direct routes ignore the worker's connection limit, so it is raised where
        // they are compared with the host on healthy workers.
        connections: if plan.case == FaultCase::Healthy {
            1024
        } else {
            64
        },
        call_time: if fails_fast {
            Duration::ZERO
        } else {
            plan.call_time
        },
        ..WorkerOptions::default()
    };
    let worker = WorkerStandin::start(options).await.map_err(start_error)?;
    worker.set_failing_starts(fails_fast);
    if is_faulty && plan.case == FaultCase::Slow {
        worker.set_slowness(SLOW_WORKER_FACTOR);
    }
    Ok(worker)
}

fn other_host(number: usize) -> HostEntry {
    HostEntry {
        address: format!("127.0.0.1:{}", number + 1),
        capacity: None,
        incarnation: 1,
        name: format!("other{number}"),
        region: "sl-east".to_owned(),
        role: HostRole::Entry,
        state: HostState::Live,
        zone: ZONES[1 + number % 2].to_owned(),
    }
}

fn config_record() -> Result<LogRecord, CallMeasureError> {
    let file = |(name, text): (&str, &str)| FolderFile {
        name: name.into(),
        text: text.into(),
    };
    let settings = merge_folder(&EXAMPLE_FOLDER.map(file))
        .map_err(start_error)?
        .to_string();
    let content_hash = content_hash(&settings);
    let record = ConfigRecord {
        base_version: 0,
        content_hash,
        publisher: "measure".into(),
        settings,
    };
    let body = serde_json::to_value(record).map_err(start_error)?;
    Ok(LogRecord {
        id: "config/0".into(),
        kind: "config".into(),
        schema: 1,
        body,
    })
}

fn start_host_thread(log: SocketAddr, hosts: SocketAddr) -> Result<HostThread, CallMeasureError> {
    let zone = ZONES[0];
    let text = format!(
        "[host]\nname = measured\nzone = {zone}\nregion = sl-east\n\
         [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
         [platform]\nlog = {log}\nhosts = {hosts}\nhosts-interval-ms = 200\n\
         [peer]\nsecret = measure\n[drain]\nwait-ms = 100\nlimit-ms = 2000\n"
    );
    let settings = HostSettings::parse("measured.ini", &text).map_err(start_error)?;
    let (started, address) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = thread::spawn(move || run_host(settings, &started, stopped));
    let (address, thread_id) = address.recv().map_err(start_error)??;
    Ok(HostThread {
        address,
        thread_id,
        stop: Some(stop),
        thread: Some(thread),
    })
}

type HostStartResult = Result<(SocketAddr, Option<u32>), CallMeasureError>;

fn run_host(
    settings: HostSettings,
    started: &mpsc::Sender<HostStartResult>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = match new_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(error))),
    };
    LocalSet::new().block_on(&runtime, async move {
        match start_host(settings, None).await {
            Ok(handle) => {
                // The receiver waits for exactly this message, so sending cannot fail.
                let _ = started.send(Ok((handle.address, current_thread_id())));
                let _ = stopped.await;
            }
            Err(error) => drop(started.send(Err(start_error(error)))),
        }
    });
}

/// Returns the error for a component that did not start.
pub(crate) fn start_error(error: impl std::fmt::Display) -> CallMeasureError {
    CallMeasureError::Start(error.to_string())
}
