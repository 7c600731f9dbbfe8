//! Events that the planner handles. Every response of a worker arrives as an event
//! that names the task it belongs to, so late and repeated responses are recognised.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::version::settings::{ConfigVersion, SystemSettings};

/// Fencing term of the planner's leadership: one more than the offset of the record
/// that claimed leadership.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaderTerm(pub u64);

impl Display for LeaderTerm {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "term{}", self.0)
    }
}

/// One member of one attempt of a job. Displayed as `job/attempt/member`, which
/// is the task identifier on the worker; the lease identifier is the same text.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Job of the task.
    pub job: JobId,
    /// Attempt of the job, counted from one.
    pub attempt: u32,
    /// Index in the gang, counted from zero.
    pub member: u32,
}

impl Display for TaskKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.attempt, self.member)
    }
}

impl TaskKey {
    /// Parses the text that `Display` writes. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, '/');
        let member = parts.next()?.parse().ok()?;
        let attempt = parts.next()?.parse().ok()?;
        let job = JobId::from(parts.next()?);
        Some(Self {
            job,
            attempt,
            member,
        })
    }
}

/// Resources of a worker as the host list reports them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRecord {
    /// Name of the worker.
    pub name: WorkerName,
    /// Rack within the zone.
    pub rack: RackName,
    /// Incarnation of the worker's process; increases with each restart.
    pub incarnation: u64,
    /// Whether the worker is to receive no new work. Never reset for one incarnation.
    pub draining: bool,
    /// Services that the worker runs.
    pub services: BTreeSet<ServiceName>,
    /// Execution slots.
    pub slots: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators, numbered from zero; neighbours in number are adjacent.
    pub accelerators: u32,
}

/// A job whose acceptance is in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedJob {
    /// Idempotency key of the job.
    pub id: JobId,
    /// Customer on whose account it runs.
    pub customer: CustomerName,
    /// Declared class.
    pub class: ClassName,
    /// Home zone.
    pub zone: ZoneName,
    /// Offset of the acceptance record; gives the order of arrival.
    pub offset: u64,
    /// Unix time of acceptance.
    pub accepted_at: WallTime,
    /// Time left at the moment of the event until the job must have started.
    pub start_within: Option<Duration>,
    /// Attempts that records say may have started.
    pub attempts_started: u32,
}

/// Why a worker did not carry out a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetError {
    /// Not enough free capacity; nothing was started.
    Full,
    /// The worker is draining and accepts no new work; nothing was started.
    Leaving,
    /// The worker has seen a later term; nothing was started.
    StaleTerm,
    /// The lease expired or never existed; nothing was started.
    UnknownLease,
    /// No response arrived: the request may or may not have taken effect.
    OutcomeUnknown,
    /// The connection could not be made; nothing was started.
    Unreachable,
}

/// State of a task as listed by its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// Resources are held; nothing runs.
    Reserved,
    /// The task runs.
    Running,
    /// The task saved its state under this name and ended.
    Checkpointed(String),
    /// The task finished.
    Finished,
    /// The task failed, for this reason.
    Failed(String),
    /// The task was stopped on request.
    Stopped,
    /// The lease expired and the worker stopped the task.
    Lapsed,
}

/// One task as listed by its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedTask {
    /// Key of the task.
    pub key: TaskKey,
    /// State on the worker.
    pub state: ListedState,
    /// Accelerators held; empty once the task has ended.
    pub accelerators: Vec<u32>,
    /// Processor cores held.
    pub cores: u32,
    /// Memory held in mebibytes.
    pub memory_mb: u64,
    /// Time since the start.
    pub run_time: Duration,
    /// Time until the lease expires.
    pub lease_left: Duration,
}

/// An event that the planner handles.
#[derive(Clone, Debug)]
pub enum PlannerEvent {
    /// A configuration came into force.
    ConfigAdopted {
        /// Its number; never lower than the one before.
        version: ConfigVersion,
        /// Its settings.
        settings: Arc<SystemSettings>,
    },
    /// This planner became the leader, so its actions may start work. It first
    /// requests the task list of every worker.
    LeadershipGained {
        /// Term of the leadership.
        term: LeaderTerm,
    },
    /// Leadership was lost: no action may start work from now on.
    LeadershipLost,
    /// Starts were paused or resumed. While paused, running tasks keep their leases
    /// and nothing new is reserved or started.
    StartsPaused {
        /// Whether starts are paused.
        paused: bool,
    },
    /// A worker was added to the host list, or its entry changed.
    WorkerUpdated {
        /// Its entry.
        worker: WorkerRecord,
    },
    /// A worker was removed from the host list.
    WorkerRemoved {
        /// Its name.
        worker: WorkerName,
    },
    /// The complete list of tasks that a worker sent.
    TasksListed {
        /// Worker that sent the list.
        worker: WorkerName,
        /// Its incarnation.
        incarnation: u64,
        /// All its tasks, including those that ended recently.
        tasks: Vec<ListedTask>,
    },
    /// A worker did not respond to the request for its task list.
    ListFailed {
        /// Worker that did not respond.
        worker: WorkerName,
    },
    /// A job was accepted with this zone as its home.
    JobAccepted {
        /// The job.
        job: AcceptedJob,
    },
    /// The caller cancelled a job.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// A record says that the job has ended or has moved to another zone. The planner
    /// no longer manages it.
    JobClosed {
        /// The job.
        job: JobId,
    },
    /// Response to `Reserve`.
    ReserveAnswered {
        /// Task of the request.
        task: TaskKey,
        /// Accelerators granted, or why none were.
        result: Result<Vec<u32>, TargetError>,
    },
    /// The record of an attempt's start is in the log.
    StartRecorded {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Response to `Start`.
    StartAnswered {
        /// Task of the request.
        task: TaskKey,
        /// Whether it started.
        result: Result<(), TargetError>,
    },
    /// Response to `Renew`.
    RenewAnswered {
        /// Worker that received the request.
        worker: WorkerName,
        /// Tasks whose lease the worker no longer knows, or why there was no response.
        result: Result<Vec<TaskKey>, TargetError>,
    },
    /// Response to `Checkpoint`.
    CheckpointAnswered {
        /// Task of the request.
        task: TaskKey,
        /// Name of the checkpoint, or why there is none.
        result: Result<String, TargetError>,
    },
    /// Response to `Stop` or `Release`.
    StopAnswered {
        /// Task of the request.
        task: TaskKey,
        /// Whether the worker holds nothing for it any more.
        result: Result<(), TargetError>,
    },
    /// The record of a job's ending is in the log.
    EndRecorded {
        /// The job.
        job: JobId,
    },
    /// Memory use of a running task, reported with a delay.
    UsageReported {
        /// The task.
        task: TaskKey,
        /// Resident memory in mebibytes.
        memory_mb: u64,
    },
    /// Time passed; sent at least once a second.
    Tick,
}
