//! What the planner asks for. The node carries each action out and reports the
//! answer as an event; an action that cannot be carried out is reported too.

use crate::prelude::*;
use crate::process::planner::event::TaskKey;

/// Resources of one task.
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

/// What a started task runs.
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

/// The only ending of a job.
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

/// Everything the planner asks the node to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlannerAction {
    /// Ask a worker for its tasks.
    ListTasks {
        /// Worker to ask.
        worker: WorkerName,
    },
    /// Reserve resources for one member.
    Reserve {
        /// Worker to ask.
        worker: WorkerName,
        /// Task to reserve for.
        task: TaskKey,
        /// Resources.
        demand: TaskDemand,
        /// Lease length.
        lease: Duration,
    },
    /// Give a reservation back.
    Release {
        /// Worker that holds it.
        worker: WorkerName,
        /// Task of the reservation.
        task: TaskKey,
    },
    /// Append the record of a start; asked before the first `Start` of an attempt.
    RecordStart {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// Worker of each member, in order.
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
    /// Save the state of a task and end it.
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
    /// End a task.
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
