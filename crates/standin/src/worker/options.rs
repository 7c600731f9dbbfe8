//! How a stand-in worker is set up.

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState, WorkerCapacity};
use flamingowalk_wire::target::TaskPayload;

/// Real run time of a task, from what it runs.
pub type RunTime = Arc<dyn Fn(&TaskPayload) -> Duration + Send + Sync>;

/// Whether a task has some property, from what it runs.
pub type TaskTest = Arc<dyn Fn(&TaskPayload) -> bool + Send + Sync>;

/// Run time of a task when nothing else is set.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);
/// Time that a call takes when nothing else is set.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(5);

/// Names, resources and timing of a stand-in worker.
#[derive(Clone)]
pub struct WorkerOptions {
    /// Name of the worker.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Rack within the zone.
    pub rack: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Services that it runs.
    pub services: Vec<String>,
    /// Execution slots.
    pub slots: u32,
    /// Most connections open at once.
    pub connections: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Real run time of each task.
    pub run_time: RunTime,
    /// Tasks that fail at once wherever they start.
    pub always_fails: TaskTest,
    /// Time that a call takes.
    pub call_time: Duration,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            name: "worker-1".into(),
            zone: "zone-a".into(),
            region: "region-1".into(),
            rack: "rack-1".into(),
            incarnation: 1,
            services: vec!["service".into()],
            slots: 8,
            connections: 64,
            cores: 32,
            memory_mb: 65_536,
            accelerators: 8,
            run_time: Arc::new(|_| DEFAULT_RUN_TIME),
            always_fails: Arc::new(|_| false),
            call_time: DEFAULT_CALL_TIME,
        }
    }
}

impl Debug for WorkerOptions {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerOptions")
            .field("name", &self.name)
            .field("zone", &self.zone)
            .field("rack", &self.rack)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl WorkerOptions {
    /// The worker as the host list shows it.
    pub fn host_entry(&self, address: SocketAddr) -> HostEntry {
        HostEntry {
            address: address.to_string(),
            capacity: Some(WorkerCapacity {
                accelerators: self.accelerators,
                connections: self.connections,
                cores: self.cores,
                memory_mb: self.memory_mb,
                rack: self.rack.clone(),
                services: self.services.clone(),
                slots: self.slots,
            }),
            incarnation: self.incarnation,
            name: self.name.clone(),
            region: self.region.clone(),
            role: HostRole::Worker,
            state: HostState::Live,
            zone: self.zone.clone(),
        }
    }
}
