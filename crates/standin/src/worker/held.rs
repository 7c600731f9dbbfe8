//! One task on a stand-in worker, from its reservation to its end.

use std::time::Duration;

use flamingowalk_wire::target::{ReserveRequest, TaskPayload, TaskState, TaskStatus};

/// Full processor share in percent.
pub(super) const FULL_SHARE: u32 = 100;

/// A task or reservation that a worker holds or held. All times count from the
/// start of the worker.
#[derive(Clone, Debug)]
pub(super) struct HeldTask {
    /// What was reserved.
    pub request: ReserveRequest,
    /// State; only `reserved` and `running` hold resources.
    pub state: TaskState,
    /// Accelerators granted.
    pub accelerators: Vec<u32>,
    /// Time at which the lease lapses.
    pub lease_until: Duration,
    /// What it runs, once started.
    pub payload: Option<TaskPayload>,
    /// Time of the start.
    pub started_at: Duration,
    /// Work done before `progress_at`, in run time at full share.
    pub done: Duration,
    /// Work in all, in run time at full share.
    pub work: Duration,
    /// Time at which `done` was last brought up to date.
    pub progress_at: Duration,
    /// Processor share in percent.
    pub share: u32,
    /// Time of the end.
    pub ended_at: Duration,
    /// Newest checkpoint.
    pub checkpoint: Option<String>,
    /// Why it failed.
    pub failure: Option<String>,
}

impl HeldTask {
    /// A new reservation.
    pub(super) fn new(request: ReserveRequest, accelerators: Vec<u32>, now: Duration) -> Self {
        let lease_until = now + Duration::from_millis(request.lease_ms);
        Self {
            request,
            state: TaskState::Reserved,
            accelerators,
            lease_until,
            payload: None,
            started_at: Duration::ZERO,
            done: Duration::ZERO,
            work: Duration::ZERO,
            progress_at: now,
            share: FULL_SHARE,
            ended_at: Duration::ZERO,
            checkpoint: None,
            failure: None,
        }
    }

    /// Whether it holds resources.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, TaskState::Reserved | TaskState::Running)
    }

    /// Time at which the run reaches its end; nothing unless it is under way.
    fn finish_time(&self) -> Option<Duration> {
        if self.state != TaskState::Running || self.share == 0 {
            return None;
        }
        let left = self.work.saturating_sub(self.done);
        Some(self.progress_at + left * FULL_SHARE / self.share)
    }

    /// Brings the task up to `now`: it finishes, or its lease lapses, whichever
    /// comes first.
    pub(super) fn advance(&mut self, now: Duration, failing: bool) {
        if !self.is_live() {
            return;
        }
        let finish = self.finish_time().filter(|time| *time <= now);
        match finish {
            Some(time) if time <= self.lease_until => self.finish(time, failing),
            _ if self.lease_until <= now => self.end(TaskState::Lapsed, self.lease_until),
            _ => {}
        }
    }

    fn finish(&mut self, time: Duration, failing: bool) {
        if failing {
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

    /// Adds the work done since the last call.
    pub(super) fn record_progress(&mut self, now: Duration) {
        if self.state == TaskState::Running {
            self.done += now.saturating_sub(self.progress_at) * self.share / FULL_SHARE;
        }
        self.progress_at = now;
    }

    /// The task as the worker lists it.
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
