//! Worker on the virtual clock: the task state of the stand-in worker without a network,
//! with responses in the planner's types.

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

/// Term of the only leader of the planner.
const TERM: u64 = 1;

/// Worker that responds immediately.
#[derive(Debug)]
pub(super) struct VirtualWorker {
    options: WorkerOptions,
    state: WorkerState,
    /// Whether the worker can be reached.
    pub is_up: bool,
}

impl VirtualWorker {
    /// Returns a worker without tasks.
    pub(super) fn new(options: WorkerOptions) -> Self {
        Self {
            state: WorkerState::new(Arc::new(options.clone())),
            options,
            is_up: true,
        }
    }

    /// Loses all tasks and becomes unreachable. The worker is the next incarnation when it is
    /// up again.
    pub(super) fn crash(&mut self, now: MonotonicTime) {
        self.options.incarnation += 1;
        self.state = WorkerState::new(Arc::new(self.options.clone()));
        self.state.advance(since_start(now));
        self.is_up = false;
    }

    /// Sets whether every task fails right after its start.
    pub(super) fn set_failing(&mut self, failing: bool) {
        self.state.failing_starts = failing;
    }

    /// Returns the entry of the worker in the host list.
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

    fn reachable_state(&mut self, now: MonotonicTime) -> Result<&mut WorkerState, TargetError> {
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
            lease_ms: to_millis(lease),
            memory_mb: demand.memory_mb,
            slots: demand.slots,
            task_id: task.to_string(),
            term: TERM,
        };
        let response = self.reachable_state(now)?.reserve(&request);
        Ok(response.map_err(error)?.accelerators)
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
            lease_ms: to_millis(lease),
            payload: payload(task, order),
            task_id: task.to_string(),
            term: TERM,
        };
        self.reachable_state(now)?.start(request).map_err(error)?;
        Ok(())
    }

    /// Renews leases; returns the tasks whose leases the worker does not know.
    pub(super) fn renew(
        &mut self,
        now: MonotonicTime,
        tasks: &[TaskKey],
        lease: Duration,
    ) -> Result<Vec<TaskKey>, TargetError> {
        let request = RenewRequest {
            lease_ids: tasks.iter().map(ToString::to_string).collect(),
            lease_ms: to_millis(lease),
            term: TERM,
        };
        let response = self.reachable_state(now)?.renew(&request).map_err(error)?;
        let unknown = response.unknown.iter();
        Ok(unknown.filter_map(|id| TaskKey::parse(id)).collect())
    }

    pub(super) fn release(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
    ) -> Result<(), TargetError> {
        self.reachable_state(now)?
            .release(&task_request(task, None))
            .map_err(error)
    }

    /// Stops a task. An unknown task holds nothing, so it counts as stopped.
    pub(super) fn stop(&mut self, now: MonotonicTime, task: &TaskKey) -> Result<(), TargetError> {
        match self.reachable_state(now)?.stop(&task_request(task, None)) {
            Err(refusal) if refusal.kind != TargetRefusalKind::UnknownTask => Err(error(refusal)),
            _ => Ok(()),
        }
    }

    pub(super) fn checkpoint(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
    ) -> Result<String, TargetError> {
        let response = self
            .reachable_state(now)?
            .checkpoint(&task_request(task, None));
        let name = response.map_err(error)?.checkpoint;
        name.ok_or(TargetError::UnknownLease)
    }

    pub(super) fn throttle(&mut self, now: MonotonicTime, task: &TaskKey, percent: u32) {
        if let Ok(state) = self.reachable_state(now) {
            // The planner sees from the next task list that a throttle was refused.
            let _: Result<TaskStatus, TargetRefusal> =
                state.throttle(&task_request(task, Some(percent)));
        }
    }

    /// Returns the task list; `None` while the worker is down.
    pub(super) fn list(&mut self, now: MonotonicTime) -> Option<Vec<ListedTask>> {
        let list = self.reachable_state(now).ok()?.list();
        Some(list.tasks.iter().filter_map(listed_task).collect())
    }

    /// Returns all tasks of the worker, whether or not it can be reached.
    pub(super) fn statuses(&mut self, now: MonotonicTime) -> Vec<TaskStatus> {
        self.state.advance(since_start(now));
        self.state.list().tasks
    }

    /// Returns the incarnation of the worker.
    pub(super) fn incarnation(&self) -> u64 {
        self.options.incarnation
    }
}

fn since_start(now: MonotonicTime) -> Duration {
    now.since(MonotonicTime::default())
}

fn to_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn task_request(task: &TaskKey, throttle_percent: Option<u32>) -> TaskRequest {
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
fn error(refusal: TargetRefusal) -> TargetError {
    match refusal.kind {
        TargetRefusalKind::Full => TargetError::Full,
        TargetRefusalKind::Leaving => TargetError::Leaving,
        TargetRefusalKind::StaleTerm => TargetError::StaleTerm,
        TargetRefusalKind::UnknownLease
        | TargetRefusalKind::UnknownTask
        | TargetRefusalKind::Unsupported => TargetError::UnknownLease,
    }
}

fn listed_task(status: &TaskStatus) -> Option<ListedTask> {
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
