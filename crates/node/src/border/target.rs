//! Client of the task interface of workers, version 1. Each method executes one planner
//! action and returns its result as internal types.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{StartOrder, TaskDemand};
use flamingowalk_core::process::planner::event::{
    LeaderTerm, ListedState, ListedTask, PlannerEvent, TargetError, TaskKey,
};
use flamingowalk_wire::target as wire;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::http_client::{ExchangeError, HttpClient};

/// Timeout of a task request.
const TASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a reservation or a start. Nothing is sent after it, so a leader lease that
/// is valid for longer covers the whole request.
pub const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a checkpoint, in which the worker saves the state of a task.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(20);

/// Client for the task requests to one worker.
#[derive(Clone, Debug)]
pub struct TargetClient {
    /// HTTP client, shared by all workers.
    pub client: HttpClient,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Leader term that fences every request with an effect.
    pub term: LeaderTerm,
}

/// Tasks of a worker, with the incarnation that reported them.
#[derive(Clone, Debug)]
pub struct ListedTasks {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Whether the worker reports that it is draining.
    pub draining: bool,
    /// Tasks of this system on the worker.
    pub tasks: Vec<ListedTask>,
}

impl TargetClient {
    /// Reserves resources and returns the granted accelerators.
    ///
    /// # Errors
    /// Returns a [`TargetError`]; all but `OutcomeUnknown` guarantee that nothing is reserved.
    pub async fn reserve(
        &self,
        task: &TaskKey,
        demand: TaskDemand,
        lease: Duration,
    ) -> Result<Vec<u32>, TargetError> {
        let request = wire::ReserveRequest {
            task_id: task.to_string(),
            lease_id: task.to_string(),
            term: self.term.0,
            slots: demand.slots,
            accelerators: demand.accelerators,
            cores: demand.cores,
            memory_mb: demand.memory_mb,
            lease_ms: whole_millis(lease),
        };
        let response: wire::Reservation = self.post("reserve", &request, START_TIMEOUT).await?;
        Ok(response.accelerators)
    }

    /// Starts a reserved task.
    ///
    /// # Errors
    /// Returns a [`TargetError`]; all but `OutcomeUnknown` guarantee that nothing was started.
    pub async fn start(
        &self,
        task: &TaskKey,
        order: &StartOrder,
        lease: Duration,
    ) -> Result<(), TargetError> {
        let request = wire::StartRequest {
            task_id: task.to_string(),
            lease_id: task.to_string(),
            term: self.term.0,
            lease_ms: whole_millis(lease),
            payload: wire::TaskPayload {
                job_id: task.job.to_string(),
                customer: order.customer.to_string(),
                class: order.class.to_string(),
                service: order.service.to_string(),
                attempt: task.attempt,
                member: task.member,
                members: order.members,
                idempotent: order.idempotent,
                checkpoint: order.checkpoint,
                resume_from: order.resume_from.clone(),
            },
        };
        let _: serde_json::Value = self.post("start", &request, START_TIMEOUT).await?;
        Ok(())
    }

    /// Renews leases and returns the tasks whose lease the worker does not know.
    ///
    /// # Errors
    /// Returns a [`TargetError`] if the worker did not respond or rejected the term.
    pub async fn renew(
        &self,
        tasks: &[TaskKey],
        lease: Duration,
    ) -> Result<Vec<TaskKey>, TargetError> {
        let request = wire::RenewRequest {
            lease_ids: tasks.iter().map(TaskKey::to_string).collect(),
            term: self.term.0,
            lease_ms: whole_millis(lease),
        };
        let response: wire::RenewResponse = self.post("renew", &request, TASK_TIMEOUT).await?;
        Ok(response
            .unknown
            .iter()
            .filter_map(|id| TaskKey::parse(id))
            .collect())
    }

    /// Releases a reservation.
    ///
    /// # Errors
    /// Returns a [`TargetError`]; `UnknownLease` means that the worker holds no such
    /// reservation.
    pub async fn release(&self, task: &TaskKey) -> Result<(), TargetError> {
        let request = self.task_request(task, None);
        let _: serde_json::Value = self.post("release", &request, TASK_TIMEOUT).await?;
        Ok(())
    }

    /// Stops a task.
    ///
    /// # Errors
    /// Returns a [`TargetError`]; `UnknownLease` means that the worker has no such task.
    pub async fn stop(&self, task: &TaskKey) -> Result<(), TargetError> {
        let request = self.task_request(task, None);
        let _: serde_json::Value = self.post("stop", &request, TASK_TIMEOUT).await?;
        Ok(())
    }

    /// Limits the processor share of a task to `percent`.
    ///
    /// # Errors
    /// Returns a [`TargetError`] if the worker did not respond or rejected the request.
    pub async fn throttle(&self, task: &TaskKey, percent: u32) -> Result<(), TargetError> {
        let request = self.task_request(task, Some(percent));
        let _: serde_json::Value = self.post("throttle", &request, TASK_TIMEOUT).await?;
        Ok(())
    }

    /// Saves the state of a task, stops it and returns the name of the checkpoint.
    ///
    /// # Errors
    /// Returns a [`TargetError`] if the worker did not respond or cannot save the state.
    pub async fn checkpoint(&self, task: &TaskKey) -> Result<String, TargetError> {
        let request = self.task_request(task, None);
        let status: wire::TaskStatus = self
            .post("checkpoint", &request, CHECKPOINT_TIMEOUT)
            .await?;
        status.checkpoint.ok_or(TargetError::UnknownLease)
    }

    /// Lists all tasks of the worker.
    ///
    /// # Errors
    /// Returns a [`TargetError`] if the list was not received completely.
    pub async fn list_tasks(&self) -> Result<ListedTasks, TargetError> {
        let response: Result<wire::TaskList, ExchangeError> = self
            .client
            .exchange_json(
                self.address,
                Method::GET,
                "/v1/tasks",
                None::<&()>,
                TASK_TIMEOUT,
            )
            .await;
        let list = response.map_err(|error| target_error(&error))?;
        Ok(ListedTasks {
            incarnation: list.incarnation,
            draining: list.leaving,
            tasks: list.tasks.iter().filter_map(listed_task).collect(),
        })
    }

    /// Reads the resource use of the worker's tasks as planner events.
    ///
    /// # Errors
    /// Returns a [`TargetError`] if the report was not received completely.
    pub async fn usage(&self) -> Result<Vec<PlannerEvent>, TargetError> {
        let (method, path) = (Method::GET, "/v1/usage");
        let response: Result<wire::UsageReport, ExchangeError> = self
            .client
            .exchange_json(self.address, method, path, None::<&()>, TASK_TIMEOUT)
            .await;
        let report = response.map_err(|error| target_error(&error))?;
        let to_event = |usage: &wire::TaskUsage| {
            let task = TaskKey::parse(&usage.task_id)?;
            let memory_mb = usage.memory_mb;
            Some(PlannerEvent::UsageReported { task, memory_mb })
        };
        Ok(report.tasks.iter().filter_map(to_event).collect())
    }

    fn task_request(&self, task: &TaskKey, throttle_percent: Option<u32>) -> wire::TaskRequest {
        wire::TaskRequest {
            task_id: task.to_string(),
            lease_id: task.to_string(),
            term: self.term.0,
            throttle_percent,
        }
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        operation: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, TargetError> {
        let path = format!("/v1/tasks/{operation}");
        let response = self
            .client
            .exchange_json(self.address, Method::POST, &path, Some(request), timeout)
            .await;
        response.map_err(|error| target_error(&error))
    }
}

fn target_error(error: &ExchangeError) -> TargetError {
    match error {
        ExchangeError::Unreachable { .. } => TargetError::Unreachable,
        ExchangeError::NoAnswer { .. }
        | ExchangeError::TooLarge { .. }
        | ExchangeError::Malformed { .. } => TargetError::OutcomeUnknown,
        ExchangeError::Status { body, .. } => refusal_error(body),
    }
}

fn refusal_error(body: &str) -> TargetError {
    let Ok(refusal) = serde_json::from_str::<wire::TargetRefusal>(body) else {
        return TargetError::OutcomeUnknown;
    };
    match refusal.kind {
        wire::TargetRefusalKind::Full => TargetError::Full,
        wire::TargetRefusalKind::Leaving => TargetError::Leaving,
        wire::TargetRefusalKind::StaleTerm => TargetError::StaleTerm,
        wire::TargetRefusalKind::UnknownLease
        | wire::TargetRefusalKind::UnknownTask
        | wire::TargetRefusalKind::Unsupported => TargetError::UnknownLease,
    }
}

fn listed_task(status: &wire::TaskStatus) -> Option<ListedTask> {
    let key = TaskKey::parse(&status.task_id)?;
    let state = match status.state {
        wire::TaskState::Reserved => ListedState::Reserved,
        wire::TaskState::Running => ListedState::Running,
        wire::TaskState::Checkpointed => {
            ListedState::Checkpointed(status.checkpoint.clone().unwrap_or_default())
        }
        wire::TaskState::Finished => ListedState::Finished,
        wire::TaskState::Failed => ListedState::Failed(
            status
                .failure
                .clone()
                .unwrap_or_else(|| "no reason given".into()),
        ),
        wire::TaskState::Stopped => ListedState::Stopped,
        wire::TaskState::Lapsed => ListedState::Lapsed,
    };
    Some(ListedTask {
        key,
        state,
        accelerators: status.accelerators.clone(),
        cores: status.cores,
        memory_mb: status.memory_mb,
        run_time: Duration::from_millis(status.run_ms),
        lease_left: Duration::from_millis(status.lease_left_ms),
    })
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
