//! One worker on the virtual clock: the stand-in's task state without a network,
//! with answers in the planner's own types.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{StartOrder, TaskDemand};
use flamingowalk_core::process::planner::event::{
    ListedState, ListedTask, TargetError, TaskKey, WorkerRecord,
};
use flamingowalk_standin::{WorkerOptions, WorkerState};
use flamingowalk_wire::target::{
    RenewRequest, ReserveRequest, StartRequest, TargetRefusal, TargetRefusalKind, TaskPayload,
    TaskRequest, TaskState, TaskStatus,
};

/// Term of the only planner seat.
const TERM: u64 = 1;

/// A worker that answers at once.
#[derive(Debug)]
pub(super) struct VirtualWorker {
    options: WorkerOptions,
    state: WorkerState,
    /// Whether it is reached.
    pub is_up: bool,
}

impl VirtualWorker {
    /// An empty worker.
    pub(super) fn new(options: WorkerOptions) -> Self {
        Self {
            state: WorkerState::new(Arc::new(options.clone())),
            options,
            is_up: true,
        }
    }

    /// Loses all tasks and comes back as the next incarnation when it is up again.
    pub(super) fn crash(&mut self, now: MonotonicTime) {
        self.options.incarnation += 1;
        self.state = WorkerState::new(Arc::new(self.options.clone()));
        self.state.advance(since_start(now));
        self.is_up = false;
    }

    /// Whether every task fails right after its start.
    pub(super) fn set_failing(&mut self, failing: bool) {
        self.state.failing_starts = failing;
    }

    /// The worker as the host list shows it.
    pub(super) fn record(&self) -> WorkerRecord {
        let options = &self.options;
        WorkerRecord {
            name: WorkerName::from(options.name.as_str()),
            rack: RackName::from(options.rack.as_str()),
            incarnation: options.incarnation,
            draining: false,
            services: options.services.iter().map(|s| s.as_str().into()).collect(),
            slots: options.slots,
            cores: options.cores,
            memory_mb: options.memory_mb,
            accelerators: options.accelerators,
        }
    }

    fn reach(&mut self, now: MonotonicTime) -> Result<&mut WorkerState, TargetError> {
        if !self.is_up {
            return Err(TargetError::Unreachable);
        }
        self.state.advance(since_start(now));
        Ok(&mut self.state)
    }

    pub(super) fn reserve(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        demand: TaskDemand,
        lease: Duration,
    ) -> Result<Vec<u32>, TargetError> {
        let request = ReserveRequest {
            accelerators: demand.accelerators,
            cores: demand.cores,
            lease_id: task.to_string(),
            lease_ms: millis(lease),
            memory_mb: demand.memory_mb,
            slots: demand.slots,
            task_id: task.to_string(),
            term: TERM,
        };
        let answer = self.reach(now)?.reserve(&request);
        Ok(answer.map_err(fault)?.accelerators)
    }

    pub(super) fn start(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        order: &StartOrder,
        lease: Duration,
    ) -> Result<(), TargetError> {
        let request = StartRequest {
            lease_id: task.to_string(),
            lease_ms: millis(lease),
            payload: payload(task, order),
            task_id: task.to_string(),
            term: TERM,
        };
        self.reach(now)?.start(request).map_err(fault)?;
        Ok(())
    }

    /// Tasks whose leases are no longer known.
    pub(super) fn renew(
        &mut self,
        now: MonotonicTime,
        tasks: &[TaskKey],
        lease: Duration,
    ) -> Result<Vec<TaskKey>, TargetError> {
        let request = RenewRequest {
            lease_ids: tasks.iter().map(ToString::to_string).collect(),
            lease_ms: millis(lease),
            term: TERM,
        };
        let response = self.reach(now)?.renew(&request).map_err(fault)?;
        let unknown = response.unknown.iter();
        Ok(unknown.filter_map(|id| TaskKey::parse(id)).collect())
    }

    pub(super) fn release(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
    ) -> Result<(), TargetError> {
        self.reach(now)?
            .release(&address(task, None))
            .map_err(fault)
    }

    /// Ends a task; one that is unknown holds nothing.
    pub(super) fn stop(&mut self, now: MonotonicTime, task: &TaskKey) -> Result<(), TargetError> {
        match self.reach(now)?.stop(&address(task, None)) {
            Err(refusal) if refusal.kind != TargetRefusalKind::UnknownTask => Err(fault(refusal)),
            _ => Ok(()),
        }
    }

    pub(super) fn checkpoint(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
    ) -> Result<String, TargetError> {
        let answer = self.reach(now)?.checkpoint(&address(task, None));
        let name = answer.map_err(fault)?.checkpoint;
        name.ok_or(TargetError::UnknownLease)
    }

    pub(super) fn throttle(&mut self, now: MonotonicTime, task: &TaskKey, percent: u32) {
        if let Ok(state) = self.reach(now) {
            // The planner learns of a refusal from the next list.
            let _: Result<TaskStatus, TargetRefusal> =
                state.throttle(&address(task, Some(percent)));
        }
    }

    /// Its own list; nothing while it is down.
    pub(super) fn list(&mut self, now: MonotonicTime) -> Option<Vec<ListedTask>> {
        let list = self.reach(now).ok()?.list();
        Some(list.tasks.iter().filter_map(listed).collect())
    }

    /// All its tasks as the worker itself sees them.
    pub(super) fn statuses(&mut self, now: MonotonicTime) -> Vec<TaskStatus> {
        self.state.advance(since_start(now));
        self.state.list().tasks
    }

    /// Incarnation of the worker.
    pub(super) fn incarnation(&self) -> u64 {
        self.options.incarnation
    }
}

fn since_start(now: MonotonicTime) -> Duration {
    now.since(MonotonicTime::default())
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn address(task: &TaskKey, throttle_percent: Option<u32>) -> TaskRequest {
    TaskRequest {
        lease_id: task.to_string(),
        task_id: task.to_string(),
        term: TERM,
        throttle_percent,
    }
}

fn payload(task: &TaskKey, order: &StartOrder) -> TaskPayload {
    TaskPayload {
        attempt: task.attempt,
        checkpoint: order.checkpoint,
        class: order.class.to_string(),
        customer: order.customer.to_string(),
        idempotent: order.idempotent,
        job_id: task.job.to_string(),
        member: task.member,
        members: order.members,
        resume_from: order.resume_from.clone(),
        service: order.service.to_string(),
    }
}

#[allow(clippy::needless_pass_by_value, reason = "fits map_err")]
fn fault(refusal: TargetRefusal) -> TargetError {
    match refusal.kind {
        TargetRefusalKind::Full => TargetError::Full,
        TargetRefusalKind::Leaving => TargetError::Leaving,
        TargetRefusalKind::StaleTerm => TargetError::StaleTerm,
        TargetRefusalKind::UnknownLease
        | TargetRefusalKind::UnknownTask
        | TargetRefusalKind::Unsupported => TargetError::UnknownLease,
    }
}

fn listed(status: &TaskStatus) -> Option<ListedTask> {
    let state = match status.state {
        TaskState::Reserved => ListedState::Reserved,
        TaskState::Running => ListedState::Running,
        TaskState::Checkpointed => ListedState::Checkpointed(status.checkpoint.clone()?),
        TaskState::Finished => ListedState::Finished,
        TaskState::Failed => ListedState::Failed(status.failure.clone().unwrap_or_default()),
        TaskState::Stopped => ListedState::Stopped,
        TaskState::Lapsed => ListedState::Lapsed,
    };
    Some(ListedTask {
        key: TaskKey::parse(&status.task_id)?,
        state,
        accelerators: status.accelerators.clone(),
        cores: status.cores,
        memory_mb: status.memory_mb,
        run_time: Duration::from_millis(status.run_ms),
        lease_left: Duration::from_millis(status.lease_left_ms),
    })
}
