//! Settings of the whole system, converted from the operator folder. A value of these
//! types has passed all checks and never changes. Requests in flight keep the version
//! with which they started.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;

/// Version of a configuration: the offset of its log record plus one; zero if there is
/// none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(pub u64);

impl Display for ConfigVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "config{}", self.0)
    }
}

/// All settings that operators declare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SystemSettings {
    /// Availability zones and the capacity declared for each.
    pub zones: BTreeMap<ZoneName, ZoneSettings>,
    /// Services that callers may call and jobs may run.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Customers; every guarantee fits the declared capacity of its zone, together with
    /// all others of that zone.
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
    /// Connections that each worker accepts.
    pub connections_per_worker: u32,
}

/// A service that workers run.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Deadline of a call if the caller sets none.
    pub default_deadline: Duration,
    /// Maximum size of a request or response body.
    pub max_body_bytes: u64,
    /// Whether idempotent calls may be hedged.
    pub hedging: bool,
}

/// Limits and guarantees of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// Relative share of the capacity that is not guaranteed to anyone; at least one.
    pub weight: u32,
    /// Maximum number of calls in flight at one entry host; zero means that the customer
    /// has no limit of its own.
    pub max_calls: u32,
    /// Maximum number of waiting jobs.
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
    /// Required adjacency of the accelerators of one block.
    pub adjacency: BlockAdjacency,
}

/// Required adjacency of accelerators or tasks.
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
    /// Considered before all others.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Considered last, for work that can be delayed.
    Batch,
}

/// A kind of job that customers submit.
#[derive(Clone, Debug, PartialEq)]
pub struct JobClass {
    /// Only customer that may submit the job; `None` for any customer.
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
    /// Required adjacency of the tasks of one gang.
    pub adjacency: BlockAdjacency,
    /// Declared run time, which is often far from the actual one.
    pub run_time: Duration,
    /// Priority among waiting jobs.
    pub priority: JobPriority,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can save its state and resume from it.
    pub checkpoint: bool,
    /// Maximum number of attempts before the job ends as failed; one unless idempotent.
    pub attempts: u32,
}

/// Scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Weight of completion time against fragmentation, between 0 and 1. One considers
    /// completion time alone, zero fragmentation alone.
    pub weight: f64,
    /// Maximum time from a claim on a guarantee until the capacity is free. Longer than
    /// the task lease, since the lease of an unreachable worker has to expire first.
    pub reclaim_bound: Duration,
    /// Duration of a task lease. Two thirds of it outlast a change of the planner's
    /// leader, so that running tasks survive the failure of an entry host.
    pub task_lease: Duration,
    /// Age after which smaller jobs may no longer overtake a waiting gang.
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
