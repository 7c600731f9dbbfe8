//! Options of a stand-in worker.

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState, WorkerCapacity};
use flamingowalk_wire::target::TaskPayload;

/// Computes the real run time of a task from its payload.
pub type RunTime = Arc<dyn Fn(&TaskPayload) -> Duration + Send + Sync>;

/// Tests a property of a task's payload.
pub type TaskPredicate = Arc<dyn Fn(&TaskPayload) -> bool + Send + Sync>;

const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);
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
    /// Incarnation of the worker process.
    pub incarnation: u64,
    /// Services that the worker runs.
    pub services: Vec<String>,
    /// Execution slots.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Real run time of each task.
    pub run_time: RunTime,
    /// Selects the tasks that fail right after every start.
    pub always_fails: TaskPredicate,
    /// Run time of each call.
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
    /// Returns the worker's entry in the host list.
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
