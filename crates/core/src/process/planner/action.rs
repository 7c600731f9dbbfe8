//! Actions that the planner requests. The node executes each action and reports
//! the response as an event; it also reports an action that it could not execute.

use crate::prelude::*;
use crate::process::planner::event::TaskKey;

/// Resources that one task requires.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskDemand {
    /// Execution slots.
    pub slots: u32,
    /// Accelerators, adjacent within the worker.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
}

/// What a worker needs to know to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// Customer of the job.
    pub customer: CustomerName,
    /// Job class.
    pub class: ClassName,
    /// Service of the class.
    pub service: ServiceName,
    /// Tasks in the gang.
    pub members: u32,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can save and resume its state.
    pub checkpoint: bool,
    /// Checkpoint to resume from.
    pub resume_from: Option<String>,
}

/// How a job ended. Each job has exactly one ending.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobEnding {
    /// Every member finished.
    Finished,
    /// The job ran and failed, for this reason.
    Failed(String),
    /// The caller cancelled it.
    Cancelled,
    /// The job did not run, for this reason.
    Refused(String),
}

/// A request from the planner to the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlannerAction {
    /// Request the list of tasks on a worker.
    ListTasks {
        /// Worker that lists its tasks.
        worker: WorkerName,
    },
    /// Reserve resources for one member.
    Reserve {
        /// Worker that receives the request.
        worker: WorkerName,
        /// Task to reserve for.
        task: TaskKey,
        /// Resources to reserve.
        demand: TaskDemand,
        /// Lease length.
        lease: Duration,
    },
    /// Release a reservation.
    Release {
        /// Worker that holds it.
        worker: WorkerName,
        /// Task of the reservation.
        task: TaskKey,
    },
    /// Append the record of a start. It must be in the log before the first
    /// `Start` of the attempt is sent.
    RecordStart {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// Worker of each member, in member order.
        workers: Vec<WorkerName>,
    },
    /// Start a reserved task.
    Start {
        /// Worker that holds the reservation.
        worker: WorkerName,
        /// Task to start.
        task: TaskKey,
        /// What to run.
        order: StartOrder,
        /// Lease length.
        lease: Duration,
    },
    /// Extend leases on one worker.
    Renew {
        /// Worker that holds them.
        worker: WorkerName,
        /// Tasks whose leases to extend.
        tasks: Vec<TaskKey>,
        /// Lease length.
        lease: Duration,
    },
    /// Save the state of a task, then stop it.
    Checkpoint {
        /// Worker that runs it.
        worker: WorkerName,
        /// The task.
        task: TaskKey,
    },
    /// Limit the processor share of a task.
    Throttle {
        /// Worker that runs it.
        worker: WorkerName,
        /// The task.
        task: TaskKey,
        /// Processor share in percent.
        percent: u32,
    },
    /// Stop a task.
    Stop {
        /// Worker that runs it.
        worker: WorkerName,
        /// The task.
        task: TaskKey,
    },
    /// Append the ending of a job.
    RecordEnd {
        /// The job.
        job: JobId,
        /// How it ended.
        ending: JobEnding,
    },
}
