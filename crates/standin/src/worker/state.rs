//! Tasks and resources of a stand-in worker. Requests of an older planner term are
//! refused, leases expire, and a task that has started once never starts again. Time is
//! an argument, so that measurements can run it on a virtual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flamingowalk_wire::target::{
    RenewRequest, RenewResponse, Reservation, ReserveRequest, StartRequest, TargetRefusal,
    TargetRefusalKind, TaskList, TaskPayload, TaskRequest, TaskState, TaskStatus, TaskUsage,
    UsageReport,
};

use super::held::{FULL_SHARE_PERCENT, HeldTask};
use super::options::WorkerOptions;

/// Time for which an ended task stays in the list.
const ENDED_TASK_RETENTION: Duration = Duration::from_mins(1);
/// Age that every usage report states.
const USAGE_REPORT_AGE_MS: u64 = 2_000;

/// State of a worker at one point in time.
#[derive(Debug)]
pub struct WorkerState {
    /// Options of the worker.
    pub options: Arc<WorkerOptions>,
    /// Whether the worker drains and refuses new work.
    pub draining: bool,
    /// Whether tasks fail right after their start, and calls after their run time.
    pub failing_starts: bool,
    /// Whether tasks fail at the end of their run time.
    pub failing_ends: bool,
    /// Factor on the run time of new tasks and calls.
    pub slowness: u32,
    /// Memory use that tasks report, in percent of their reservation.
    pub memory_percent: u64,
    /// Number of starts by task identifier, at most one each; never evicted.
    pub task_runs: BTreeMap<String, u32>,
    /// Number of calls run by request identifier; never evicted.
    pub call_runs: BTreeMap<String, u32>,
    /// Calls running now; each holds a slot.
    pub calls_in_flight: u32,
    /// Highest planner term seen; requests of a lower term are refused.
    highest_term: u64,
    /// Tasks by identifier; ended ones stay for [`ENDED_TASK_RETENTION`].
    tasks: BTreeMap<String, HeldTask>,
    /// Time since the start of the worker; never decreases.
    now: Duration,
}

fn refusal(kind: TargetRefusalKind, message: &str) -> TargetRefusal {
    TargetRefusal {
        kind,
        message: message.into(),
    }
}

/// Refusal of new work by a draining worker.
pub(super) fn draining_refusal() -> TargetRefusal {
    refusal(
        TargetRefusalKind::Leaving,
        "worker is leaving; use another worker",
    )
}

/// Refusal for lack of free capacity.
pub(super) fn no_capacity_refusal() -> TargetRefusal {
    refusal(
        TargetRefusalKind::Full,
        "not enough free capacity; use another worker or retry later",
    )
}

/// Refusal of an operation that the worker or task does not support.
pub(super) fn unsupported_refusal(message: &str) -> TargetRefusal {
    refusal(TargetRefusalKind::Unsupported, message)
}

fn lease_refusal() -> TargetRefusal {
    refusal(
        TargetRefusalKind::UnknownLease,
        "lease lapsed or never existed; reserve again under a new task",
    )
}

impl WorkerState {
    /// Creates a worker without tasks.
    pub fn new(options: Arc<WorkerOptions>) -> Self {
        Self {
            options,
            draining: false,
            failing_starts: false,
            failing_ends: false,
            slowness: 1,
            memory_percent: 100,
            task_runs: BTreeMap::new(),
            call_runs: BTreeMap::new(),
            calls_in_flight: 0,
            highest_term: 0,
            tasks: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// Brings every task up to `now` and evicts those that ended too long ago to be
    /// listed.
    pub fn advance(&mut self, now: Duration) {
        debug_assert!(now >= self.now, "time of a worker went back");
        self.now = now;
        for task in self.tasks.values_mut() {
            task.advance(now, self.failing_ends);
        }
        self.tasks
            .retain(|_, task| task.is_live() || task.ended_at + ENDED_TASK_RETENTION > now);
    }

    fn check_term(&mut self, term: u64) -> Result<(), TargetRefusal> {
        if term < self.highest_term {
            return Err(refusal(
                TargetRefusalKind::StaleTerm,
                "a later planner term was seen; give up the seat",
            ));
        }
        self.highest_term = term;
        Ok(())
    }

    fn live_tasks(&self) -> impl Iterator<Item = &HeldTask> {
        self.tasks.values().filter(|task| task.is_live())
    }

    /// Returns the number of slots that neither a task nor a call holds.
    pub(super) fn free_slots(&self) -> u32 {
        let held: u32 = self.live_tasks().map(|task| task.request.slots).sum();
        self.options
            .slots
            .saturating_sub(held + self.calls_in_flight)
    }

    fn has_capacity_for(&self, request: &ReserveRequest) -> bool {
        let cores: u32 = self.live_tasks().map(|task| task.request.cores).sum();
        let memory: u64 = self.live_tasks().map(|task| task.request.memory_mb).sum();
        request.slots <= self.free_slots()
            && cores + request.cores <= self.options.cores
            && memory + request.memory_mb <= self.options.memory_mb
    }

    /// Returns `count` adjacent free accelerators, from the smallest free block that
    /// has as many; `None` if there is no such block.
    fn adjacent_block(&self, count: u32) -> Option<Vec<u32>> {
        if count == 0 {
            return Some(Vec::new());
        }
        let held: Vec<u32> = self
            .live_tasks()
            .flat_map(|task| task.accelerators.iter().copied())
            .collect();
        let free: Vec<u32> = (0..self.options.accelerators)
            .filter(|number| !held.contains(number))
            .collect();
        let runs = free.chunk_by(|left, right| left + 1 == *right);
        let fitting = runs.filter(|run| run.len() >= count as usize);
        let smallest = fitting.min_by_key(|run| run.len())?;
        Some(smallest[..count as usize].to_vec())
    }

    /// Reserves resources under a lease; a retry of the request gets the same
    /// response.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn reserve(&mut self, request: &ReserveRequest) -> Result<Reservation, TargetRefusal> {
        self.check_term(request.term)?;
        if let Some(task) = self
            .tasks
            .get(&request.task_id)
            .filter(|task| task.is_live())
        {
            if task.request.lease_id != request.lease_id {
                return Err(lease_refusal());
            }
            return Ok(reservation(task));
        }
        if self.task_runs.contains_key(&request.task_id) {
            return Err(lease_refusal());
        }
        if self.draining {
            return Err(draining_refusal());
        }
        if !self.has_capacity_for(request) {
            return Err(no_capacity_refusal());
        }
        let block = self.adjacent_block(request.accelerators);
        let block = block.ok_or_else(no_capacity_refusal)?;
        let task = HeldTask::new(request.clone(), block, self.now);
        let granted = reservation(&task);
        self.tasks.insert(request.task_id.clone(), task);
        Ok(granted)
    }

    /// Starts a reserved task; one that has started before is left unchanged.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn start(&mut self, request: StartRequest) -> Result<TaskStatus, TargetRefusal> {
        self.check_term(request.term)?;
        let now = self.now;
        let work = self.run_time(&request.payload);
        let fails_at_start = self.failing_starts || (self.options.always_fails)(&request.payload);
        let draining = self.draining;
        let task = self
            .tasks
            .get_mut(&request.task_id)
            .filter(|task| task.request.lease_id == request.lease_id)
            .ok_or_else(lease_refusal)?;
        if task.payload.is_some() {
            return Ok(task.status(now));
        }
        if task.state != TaskState::Reserved {
            return Err(lease_refusal());
        }
        if draining {
            return Err(draining_refusal());
        }
        task.state = TaskState::Running;
        task.started_at = now;
        task.progress_at = now;
        task.lease_until = now + Duration::from_millis(request.lease_ms);
        task.request.term = request.term;
        task.work_done = resumed_work(&request.payload);
        task.total_work = work;
        task.payload = Some(request.payload);
        if fails_at_start {
            task.failure = Some("task failed at its start".into());
            task.end(TaskState::Failed, now);
        }
        *self.task_runs.entry(request.task_id).or_default() += 1;
        Ok(task.status(now))
    }

    fn run_time(&self, payload: &TaskPayload) -> Duration {
        (self.options.run_time)(payload) * self.slowness
    }

    /// Extends the leases that have not expired and reports the others as unknown.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn renew(&mut self, request: &RenewRequest) -> Result<RenewResponse, TargetRefusal> {
        self.check_term(request.term)?;
        let until = self.now + Duration::from_millis(request.lease_ms);
        let mut response = RenewResponse::default();
        for lease in &request.lease_ids {
            let mut live = self.tasks.values_mut().filter(|task| task.is_live());
            match live.find(|task| task.request.lease_id == *lease) {
                Some(task) => {
                    task.lease_until = until;
                    response.renewed.push(lease.clone());
                }
                None => response.unknown.push(lease.clone()),
            }
        }
        Ok(response)
    }

    /// Releases a reservation; an unknown one counts as released already.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn release(&mut self, request: &TaskRequest) -> Result<(), TargetRefusal> {
        self.check_term(request.term)?;
        let held = self.tasks.get(&request.task_id);
        let Some(task) = held.filter(|task| task.request.lease_id == request.lease_id) else {
            return Ok(());
        };
        if task.state == TaskState::Running {
            return Err(unsupported_refusal("task runs; stop it instead"));
        }
        if task.payload.is_none() {
            self.tasks.remove(&request.task_id);
        }
        Ok(())
    }

    fn find_task(&mut self, request: &TaskRequest) -> Result<&mut HeldTask, TargetRefusal> {
        self.check_term(request.term)?;
        let held = self.tasks.get_mut(&request.task_id);
        held.filter(|task| task.request.lease_id == request.lease_id)
            .ok_or_else(|| {
                refusal(
                    TargetRefusalKind::UnknownTask,
                    "worker has no such task; read its task list",
                )
            })
    }

    /// Saves the state of a running task and ends it.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn checkpoint(&mut self, request: &TaskRequest) -> Result<TaskStatus, TargetRefusal> {
        let now = self.now;
        let task = self.find_task(request)?;
        let can_checkpoint = task
            .payload
            .as_ref()
            .is_some_and(|payload| payload.checkpoint);
        if !can_checkpoint {
            return Err(unsupported_refusal(
                "task cannot checkpoint; stop it instead",
            ));
        }
        if task.state == TaskState::Running {
            task.end(TaskState::Checkpointed, now);
            let done = task.work_done.as_millis();
            task.checkpoint = Some(format!("{}@{done}", task.request.task_id));
        }
        Ok(task.status(now))
    }

    /// Limits the processor share of a running task; zero suspends it.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn throttle(&mut self, request: &TaskRequest) -> Result<TaskStatus, TargetRefusal> {
        let now = self.now;
        let task = self.find_task(request)?;
        let Some(percent) = request.throttle_percent else {
            return Err(unsupported_refusal("no share; give throttle_percent"));
        };
        task.record_progress(now);
        task.share_percent = percent.min(FULL_SHARE_PERCENT);
        Ok(task.status(now))
    }

    /// Ends a task or reservation.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which changes nothing but the highest term.
    pub fn stop(&mut self, request: &TaskRequest) -> Result<TaskStatus, TargetRefusal> {
        let now = self.now;
        let task = self.find_task(request)?;
        if task.is_live() {
            task.end(TaskState::Stopped, now);
        }
        Ok(task.status(now))
    }

    /// Returns the task list, with recently ended tasks included.
    pub fn list(&self) -> TaskList {
        TaskList {
            highest_term: self.highest_term,
            incarnation: self.options.incarnation,
            leaving: self.draining,
            tasks: self
                .tasks
                .values()
                .map(|task| task.status(self.now))
                .collect(),
            worker: self.options.name.clone(),
        }
    }

    /// Returns the usage report of the running tasks.
    pub fn usage(&self) -> UsageReport {
        let running = self.live_tasks().filter(|task| task.payload.is_some());
        let tasks = running.map(|task| TaskUsage {
            cpu_percent: task.request.cores * task.share_percent,
            memory_mb: task.request.memory_mb * self.memory_percent / 100,
            task_id: task.request.task_id.clone(),
        });
        UsageReport {
            age_ms: USAGE_REPORT_AGE_MS,
            tasks: tasks.collect(),
            worker: self.options.name.clone(),
        }
    }
}

fn reservation(task: &HeldTask) -> Reservation {
    Reservation {
        accelerators: task.accelerators.clone(),
        lease_id: task.request.lease_id.clone(),
        lease_ms: task.request.lease_ms,
    }
}

/// Returns the work saved in the checkpoint that the payload resumes from; zero if
/// there is none. A checkpoint's name ends in `@` and that work in milliseconds.
fn resumed_work(payload: &TaskPayload) -> Duration {
    let name = payload.resume_from.as_deref().unwrap_or_default();
    let millis = name
        .rsplit_once('@')
        .and_then(|(_, done)| done.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}
