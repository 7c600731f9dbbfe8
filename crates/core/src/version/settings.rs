//! The settings of the whole system, as merged from the operator folder. A value
//! of these types has passed every check and never changes; requests in flight
//! keep the version they began with.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;

/// Number of a configuration: offset of its log record plus one, zero for none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(pub u64);

impl Display for ConfigVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "config{}", self.0)
    }
}

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SystemSettings {
    /// Availability zones and the capacity declared for each.
    pub zones: BTreeMap<ZoneName, ZoneSettings>,
    /// Services that callers may call and jobs may run.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Customers; every guarantee fits the declared capacity of its zone,
    /// together with all others of that zone.
    pub customers: BTreeMap<CustomerName, CustomerSettings>,
    /// Job classes; each names a declared service and, if any, a declared customer.
    pub classes: BTreeMap<ClassName, JobClass>,
    /// Scheduling policy.
    pub policy: PolicySettings,
}

/// Declared capacity of one availability zone. Workers of a zone are alike.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSettings {
    /// Region of the zone.
    pub region: RegionName,
    /// Racks in the zone; at least one.
    pub racks: u32,
    /// Workers in each rack; at least one.
    pub workers_per_rack: u32,
    /// Accelerators of each worker.
    pub accelerators_per_worker: u32,
    /// Processor cores of each worker.
    pub cores_per_worker: u32,
    /// Memory of each worker in mebibytes.
    pub memory_mb_per_worker: u64,
    /// Execution slots of each worker.
    pub slots_per_worker: u32,
    /// Connections that each worker takes.
    pub connections_per_worker: u32,
}

/// A service that workers run.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Longest time a call may take when the caller gives no deadline.
    pub default_deadline: Duration,
    /// Largest request or answer body in bytes.
    pub max_body_bytes: u64,
    /// Whether idempotent calls may be hedged.
    pub hedging: bool,
}

/// A customer and what it is owed.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// Relative share of capacity that nobody is guaranteed; at least one.
    pub weight: u32,
    /// Most calls in flight at one entry host; zero means no limit of its own.
    pub max_calls: u32,
    /// Most jobs waiting at once.
    pub max_queued_jobs: u32,
    /// Guaranteed shapes.
    pub guarantees: Vec<GuaranteedShape>,
}

/// Capacity that a customer can always reclaim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteedShape {
    /// Zone of the shape.
    pub zone: ZoneName,
    /// Number of blocks; at least one.
    pub blocks: u32,
    /// Accelerators in each block; at least one.
    pub size: u32,
    /// How close the accelerators of one block are.
    pub adjacency: BlockAdjacency,
}

/// How close the accelerators of one block are to each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BlockAdjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one zone.
    Zone,
}

/// Order in which waiting jobs are considered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobPriority {
    /// Starts before all others.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Work that may wait for the night.
    Batch,
}

/// A kind of job that customers submit.
#[derive(Clone, Debug, PartialEq)]
pub struct JobClass {
    /// The only customer that may submit it; any customer when absent.
    pub customer: Option<CustomerName>,
    /// Service that the tasks run.
    pub service: ServiceName,
    /// Tasks of the gang; at least one. All start together or none does.
    pub tasks: u32,
    /// Accelerators of each task, adjacent within one worker.
    pub accelerators: u32,
    /// Processor cores of each task.
    pub cores: u32,
    /// Memory of each task in mebibytes.
    pub memory_mb: u64,
    /// How close the tasks of one gang are.
    pub adjacency: BlockAdjacency,
    /// Declared run time; often far off.
    pub run_time: Duration,
    /// Order among waiting jobs.
    pub priority: JobPriority,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can save and resume its state.
    pub checkpoint: bool,
    /// Most attempts before the job ends as failed; one unless idempotent.
    pub attempts: u32,
}

/// Scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Weight of completion time against fragmentation, between 0 and 1.
    /// One looks at completion time alone, zero at fragmentation alone.
    pub weight: f64,
    /// Longest time from a claim on a guarantee to the capacity being free; longer
    /// than the task lease, since the lease of a silent worker has to lapse first.
    pub reclaim_bound: Duration,
    /// Length of a task lease. Two thirds of it outlast the takeover of the planner
    /// seat, so that running tasks survive the failure of an entry host.
    pub task_lease: Duration,
    /// Age after which a waiting gang is no longer passed by smaller jobs.
    pub gang_age_bound: Duration,
    /// Share of a zone's workers that may be in quarantine, between 0 and 1.
    pub quarantine_share: f64,
    /// Retries allowed as a share of recent calls, between 0 and 1.
    pub retry_share: f64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            weight: 0.5,
            reclaim_bound: Duration::from_mins(1),
            task_lease: Duration::from_secs(30),
            gang_age_bound: Duration::from_hours(1),
            quarantine_share: 0.25,
            retry_share: 0.1,
        }
    }
}
