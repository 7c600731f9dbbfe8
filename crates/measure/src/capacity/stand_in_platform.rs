//! Stand-ins of the platform on their own thread, so that their processor time does not
//! count as that of the entry host.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::content_hash;
use flamingowalk_core::version::settings::ZoneSettings;
use flamingowalk_standin::{
    HostsStandin, LogStandin, StandinError, TrafficCount, WorkerOptions, WorkerStandin,
};
use flamingowalk_wire::log::LogRecord;
use flamingowalk_wire::records::ConfigRecord;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use super::reference_folder::ReferenceFolder;

/// Run time of every task. It is longer than a measurement, so no task ends during one.
const RUN_TIME: Duration = Duration::from_hours(1);

/// Addresses and byte counters of the running stand-ins.
#[derive(Clone, Debug)]
pub(super) struct PlatformView {
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the host list.
    pub list: SocketAddr,
    /// Byte counter of the log.
    pub log_traffic: TrafficCount,
    /// Byte counter of the host list.
    pub list_traffic: TrafficCount,
    /// Byte counter of each worker.
    pub worker_traffic: Vec<TrafficCount>,
}

/// Running stand-ins; they stop when this is dropped.
#[derive(Debug)]
pub(super) struct StandInPlatform {
    /// Addresses and counters.
    pub view: PlatformView,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for StandInPlatform {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread has already printed its panic, if any.
            let _: thread::Result<()> = thread.join();
        }
    }
}

/// Stand-ins that run until they are dropped.
#[derive(Debug)]
struct StandIns {
    log: LogStandin,
    list: HostsStandin,
    workers: Vec<WorkerStandin>,
}

impl StandInPlatform {
    /// Starts the log with the folder's configuration published, the host list and all
    /// workers.
    pub(super) fn start(folder: ReferenceFolder) -> Self {
        let (ready, wait_ready) = mpsc::channel();
        let (stop, wait_stop) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let stand_ins = start_all(&folder).await.expect("loopback ports");
                ready.send(stand_ins.view()).expect("the starter waits");
                // The sender never sends; dropping it ends the wait.
                let _: Result<(), oneshot::error::RecvError> = wait_stop.await;
            });
        });
        Self {
            view: wait_ready.recv().expect("the thread starts"),
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl StandIns {
    fn view(&self) -> PlatformView {
        let traffic = self
            .workers
            .iter()
            .map(|worker| worker.faults().traffic().clone());
        PlatformView {
            log: self.log.address(),
            list: self.list.address(),
            log_traffic: self.log.faults().traffic().clone(),
            list_traffic: self.list.faults().traffic().clone(),
            worker_traffic: traffic.collect(),
        }
    }
}

async fn start_all(folder: &ReferenceFolder) -> Result<StandIns, StandinError> {
    let log = LogStandin::start().await?;
    log.append("config", vec![config_record(folder)]);
    let list = HostsStandin::start().await?;
    let mut workers = Vec::new();
    for (name, zone) in &folder.settings.zones {
        for number in 0..zone.racks * zone.workers_per_rack {
            let worker = WorkerStandin::start(worker_options(name, zone, number)).await?;
            list.add(worker.entry());
            workers.push(worker);
        }
    }
    Ok(StandIns { log, list, workers })
}

fn worker_options(name: &ZoneName, zone: &ZoneSettings, number: u32) -> WorkerOptions {
    WorkerOptions {
        name: format!("{name}-w{number:03}"),
        zone: name.to_string(),
        region: zone.region.to_string(),
        rack: format!("{name}-r{}", number / zone.workers_per_rack),
        services: vec!["train".into()],
        slots: zone.slots_per_worker,
        connections: zone.connections_per_worker,
        cores: zone.cores_per_worker,
        memory_mb: zone.memory_mb_per_worker,
        accelerators: zone.accelerators_per_worker,
        run_time: Arc::new(|_| RUN_TIME),
        ..WorkerOptions::default()
    }
}

fn config_record(folder: &ReferenceFolder) -> LogRecord {
    let settings = folder.merged.to_string();
    let content_hash = content_hash(&settings);
    let id = format!("config/0/{content_hash}");
    let record = ConfigRecord {
        base_version: 0,
        content_hash,
        publisher: "capacity".into(),
        settings,
    };
    LogRecord {
        id,
        kind: "config".into(),
        schema: 1,
        body: serde_json::to_value(record).expect("border types serialise"),
    }
}
