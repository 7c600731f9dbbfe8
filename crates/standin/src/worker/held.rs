//! State of one task on a stand-in worker, from its reservation to its end.

use std::time::Duration;

use flamingowalk_wire::target::{ReserveRequest, TaskPayload, TaskState, TaskStatus};

/// Processor share of a task that is not throttled.
pub(super) const FULL_SHARE_PERCENT: u32 = 100;

/// A task or reservation that a worker holds, or one that ended and is still listed. All
/// times count from the start of the worker.
#[derive(Clone, Debug)]
pub(super) struct HeldTask {
    /// Request that made the reservation.
    pub request: ReserveRequest,
    /// State of the task; only `reserved` and `running` hold resources.
    pub state: TaskState,
    /// Numbers of the accelerators granted.
    pub accelerators: Vec<u32>,
    /// Time at which the lease expires.
    pub lease_until: Duration,
    /// Payload that the task runs; `None` until it has started.
    pub payload: Option<TaskPayload>,
    /// Time of the start.
    pub started_at: Duration,
    /// Work done before `progress_at`, in run time at full share.
    pub work_done: Duration,
    /// Total work, in run time at full share.
    pub total_work: Duration,
    /// Time at which `work_done` was last brought up to date.
    pub progress_at: Duration,
    /// Processor share in percent.
    pub share_percent: u32,
    /// Time of the end.
    pub ended_at: Duration,
    /// Name of the newest checkpoint.
    pub checkpoint: Option<String>,
    /// Reason of the failure, if the task failed.
    pub failure: Option<String>,
}

impl HeldTask {
    /// Creates a reservation whose lease starts now.
    pub(super) fn new(request: ReserveRequest, accelerators: Vec<u32>, now: Duration) -> Self {
        let lease_until = now + Duration::from_millis(request.lease_ms);
        Self {
            request,
            state: TaskState::Reserved,
            accelerators,
            lease_until,
            payload: None,
            started_at: Duration::ZERO,
            work_done: Duration::ZERO,
            total_work: Duration::ZERO,
            progress_at: now,
            share_percent: FULL_SHARE_PERCENT,
            ended_at: Duration::ZERO,
            checkpoint: None,
            failure: None,
        }
    }

    /// Returns whether the task holds resources.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, TaskState::Reserved | TaskState::Running)
    }

    /// Returns when the run reaches its end; `None` unless it is making progress.
    fn finish_time(&self) -> Option<Duration> {
        if self.state != TaskState::Running || self.share_percent == 0 {
            return None;
        }
        let left = self.total_work.saturating_sub(self.work_done);
        Some(self.progress_at + left * FULL_SHARE_PERCENT / self.share_percent)
    }

    /// Brings the task up to `now`: it finishes or its lease expires, whichever
    /// comes first.
    pub(super) fn advance(&mut self, now: Duration, fails_at_end: bool) {
        if !self.is_live() {
            return;
        }
        let finish = self.finish_time().filter(|time| *time <= now);
        match finish {
            Some(time) if time <= self.lease_until => self.finish(time, fails_at_end),
            _ if self.lease_until <= now => self.end(TaskState::Lapsed, self.lease_until),
            _ => {}
        }
    }

    fn finish(&mut self, time: Duration, fails_at_end: bool) {
        if fails_at_end {
            self.failure = Some("task failed at its end".into());
        }
        let state = match self.failure {
            Some(_) => TaskState::Failed,
            None => TaskState::Finished,
        };
        self.end(state, time);
    }

    /// Ends the task and frees its resources.
    pub(super) fn end(&mut self, state: TaskState, now: Duration) {
        self.record_progress(now);
        self.state = state;
        self.ended_at = now;
    }

    /// Adds the work done since `progress_at`.
    pub(super) fn record_progress(&mut self, now: Duration) {
        if self.state == TaskState::Running {
            self.work_done +=
                now.saturating_sub(self.progress_at) * self.share_percent / FULL_SHARE_PERCENT;
        }
        self.progress_at = now;
    }

    /// Returns the task's entry in the worker's list.
    pub(super) fn status(&self, now: Duration) -> TaskStatus {
        let until = if self.is_live() { now } else { self.ended_at };
        let run_time = match self.payload {
            Some(_) => until.saturating_sub(self.started_at),
            None => Duration::ZERO,
        };
        let lease_left = if self.is_live() {
            self.lease_until.saturating_sub(now)
        } else {
            Duration::ZERO
        };
        TaskStatus {
            accelerators: if self.is_live() {
                self.accelerators.clone()
            } else {
                Vec::new()
            },
            checkpoint: self.checkpoint.clone(),
            cores: self.request.cores,
            failure: self.failure.clone(),
            lease_id: self.request.lease_id.clone(),
            lease_left_ms: lease_left.as_millis() as u64,
            memory_mb: self.request.memory_mb,
            payload: self.payload.clone(),
            run_ms: run_time.as_millis() as u64,
            slots: self.request.slots,
            state: self.state,
            task_id: self.request.task_id.clone(),
            term: self.request.term,
        }
    }
}
