//! The two-phase start of a gang and its end: reserve all members, record the
//! start, start all members, stop those that remain, and record one ending.

use rand::Rng;

use crate::prelude::*;
use crate::process::planner::action::{JobEnding, PlannerAction};
use crate::process::planner::event::{TargetError, TaskKey};
use crate::process::planner::holdings::checkpoint_timeout;
use crate::process::planner::job_entry::{
    GangMember, JobEntry, JobStage, MemberState, StopPurpose, task_demand,
};
use crate::process::planner::ledger::AcceleratorSet;
use crate::process::planner::state::PlannerState;

/// Base of the exponential backoff between attempts of a job. The backoff doubles with
/// each retry; the first one is twice the base before jitter.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Upper limit of the backoff before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Added to a lease before it counts as expired on the worker. It covers requests in
/// flight and clocks that run at different speeds.
pub const LEASE_EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// Lease time that every member must have left for a start to be sent.
const MIN_LEASE_LEFT: Duration = Duration::from_secs(1);
/// Time after which a stop without a response is sent again.
pub const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl PlannerState {
    pub(super) fn lease(&self) -> Duration {
        self.settings.policy.task_lease
    }

    /// Requests the reservations of all members, in the order of workers. The job must
    /// be queued and every member must fit on its worker.
    pub(super) fn reserve_members(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        workers: Vec<WorkerName>,
        actions: &mut Vec<PlannerAction>,
    ) {
        debug_assert!(workers.is_sorted(), "members reserve in worker order");
        self.dequeue(id);
        let lease = self.lease();
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(demand) = entry.class.as_deref().map(task_demand) else {
            return;
        };
        entry.attempt = entry.attempt.max(entry.listed_attempt) + 1;
        entry.saved.clear();
        entry.enter(JobStage::Reserving, now);
        entry.members = workers
            .into_iter()
            .map(|worker| GangMember::reserving(worker, now, lease))
            .collect();
        for (index, member) in entry.members.iter().enumerate() {
            let task = entry.key(index);
            let is_held = self.ledger.hold(&member.worker, &task, demand);
            debug_assert!(is_held, "member placed where it does not fit");
            actions.push(PlannerAction::Reserve {
                worker: member.worker.clone(),
                task,
                demand,
                lease,
            });
        }
    }

    pub(super) fn handle_reserve_response(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        result: Result<Vec<u32>, TargetError>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let lease = self.lease();
        let Some((entry, index)) = find_member(&mut self.jobs, task) else {
            return;
        };
        let is_stopping = matches!(entry.stage, JobStage::Stopping(_));
        let member = &mut entry.members[index];
        if member.state != MemberState::ReserveAsked {
            return;
        }
        match result {
            Ok(numbers) => {
                member.valid_until = member.since + lease;
                member.enter(MemberState::Held, now);
                self.ledger
                    .grant(task, AcceleratorSet::from_numbers(&numbers));
                if is_stopping {
                    self.stop_members(now, &task.job, actions);
                } else if !self.keeps_guarantees(task) {
                    self.stop_job(now, &task.job, StopPurpose::Retry, actions);
                } else {
                    self.record_start_if_held(now, &task.job, actions);
                }
            }
            Err(TargetError::OutcomeUnknown) => {
                member.enter(MemberState::Held, now);
                self.stop_job(now, &task.job, StopPurpose::Retry, actions);
            }
            Err(error) => {
                let worker = member.worker.clone();
                member.enter(MemberState::Gone, now);
                self.ledger.release(task);
                self.handle_target_error(now, &worker, error, actions);
                self.stop_job(now, &task.job, StopPurpose::Retry, actions);
            }
        }
    }

    /// Updates the worker's state after a refusal: it is draining or unreachable, or
    /// its task list is out of date.
    fn handle_target_error(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        error: TargetError,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match error {
            TargetError::Leaving => entry.draining = true,
            TargetError::Full | TargetError::UnknownLease => self.list_tasks(now, worker, actions),
            TargetError::Unreachable => {
                entry.listed = false;
                entry.list_failed = true;
            }
            TargetError::StaleTerm | TargetError::OutcomeUnknown => {}
        }
    }

    fn record_start_if_held(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let all_hold = entry.members.iter().all(|m| m.state == MemberState::Held);
        if entry.stage != JobStage::Reserving || !all_hold {
            return;
        }
        entry.enter(JobStage::Recording, now);
        actions.push(PlannerAction::RecordStart {
            job: id.clone(),
            attempt: entry.attempt,
            workers: entry.members.iter().map(|m| m.worker.clone()).collect(),
        });
    }

    /// Starts every member once the record of the start is in the log, if all
    /// reservations are still valid. Otherwise, or while starts are paused, the
    /// reservations are released and the job is retried later.
    pub(super) fn start_gang(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        attempt: u32,
        actions: &mut Vec<PlannerAction>,
    ) {
        let lease = self.lease();
        let is_active = self.is_active();
        let is_paused = self.starts_paused;
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if !is_active || entry.stage != JobStage::Recording || entry.attempt != attempt {
            return;
        }
        let holds =
            |m: &GangMember| m.state == MemberState::Held && m.valid_until > now + MIN_LEASE_LEFT;
        if is_paused || !entry.members.iter().all(holds) {
            self.stop_job(now, id, StopPurpose::Retry, actions);
            return;
        }
        entry.starts += 1;
        entry.enter(JobStage::Starting, now);
        for index in 0..entry.members.len() {
            let Some(order) = entry.start_order(index) else {
                continue;
            };
            let task = entry.key(index);
            let member = &mut entry.members[index];
            member.may_have_started = true;
            member.enter(MemberState::StartAsked, now);
            member.expired_by = now + lease + LEASE_EXPIRY_MARGIN;
            actions.push(PlannerAction::Start {
                worker: member.worker.clone(),
                task,
                order,
                lease,
            });
        }
    }

    pub(super) fn handle_start_response(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        result: Result<(), TargetError>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let lease = self.lease();
        let Some((entry, index)) = find_member(&mut self.jobs, task) else {
            return;
        };
        let is_stopping = matches!(entry.stage, JobStage::Stopping(_));
        let member = &mut entry.members[index];
        if member.state != MemberState::StartAsked {
            return;
        }
        let worker = member.worker.clone();
        match result {
            Ok(()) => {
                member.valid_until = member.valid_until.max(member.since + lease);
                member.enter(MemberState::Running, now);
                self.schedule_list_soon(now, &worker);
            }
            Err(TargetError::OutcomeUnknown) => {
                member.enter(MemberState::StartUnknown, now);
                self.list_tasks(now, &worker, actions);
            }
            Err(error) => {
                member.may_have_started = false;
                let released = error == TargetError::UnknownLease;
                let state = if released {
                    MemberState::Gone
                } else {
                    MemberState::Held
                };
                member.enter(state, now);
                if released {
                    self.ledger.release(task);
                }
                self.handle_target_error(now, &worker, error, actions);
                let reason = format!("{worker} refused to start the task: {error:?}");
                self.stop_job(now, &task.job, StopPurpose::Fail(reason), actions);
                return;
            }
        }
        if is_stopping {
            self.stop_members(now, &task.job, actions);
        } else {
            self.run_if_started(now, &task.job, actions);
        }
    }

    /// Moves a job to the running stage once every member has started, and ends it once
    /// every member has finished.
    pub(super) fn run_if_started(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let started =
            |m: &GangMember| matches!(m.state, MemberState::Running | MemberState::Finished);
        if entry.stage == JobStage::Starting && entry.members.iter().all(started) {
            entry.enter(JobStage::Running, now);
            entry.retries = 0;
        }
        let is_started = matches!(entry.stage, JobStage::Starting | JobStage::Running);
        let finished = |m: &GangMember| m.state == MemberState::Finished;
        if is_started && entry.members.iter().all(finished) {
            let run_time = now.since(entry.since);
            let memory_mb = entry.peak_memory_mb;
            self.estimates
                .observe(&entry.job.customer, &entry.job.class, run_time, memory_mb);
            self.record_success(now, id);
            self.end_job(now, id, JobEnding::Finished, actions);
        }
    }

    /// Stops or releases every member of a job. Of the purposes of a stop, a close
    /// precedes a cancellation, which precedes all others. A job that is already ending
    /// can only be closed.
    pub(super) fn stop_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        purpose: StopPurpose,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        match (&entry.stage, &purpose) {
            (JobStage::Ending(_) | JobStage::Unsettled, StopPurpose::Close) => {
                self.close_job(id);
                return;
            }
            (JobStage::Unsettled, StopPurpose::Cancel) => {
                entry.cancelled = true;
                return;
            }
            (JobStage::Ending(_) | JobStage::Unsettled, _) => return,
            (JobStage::Stopping(before), after) if !overrides(after, before) => {
                self.stop_members(now, id, actions);
                return;
            }
            (JobStage::Queued, _) => self.dequeue(id),
            _ => {}
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.enter(JobStage::Stopping(purpose), now);
        self.stop_members(now, id, actions);
    }

    /// Releases every reserved member and stops every running one. Members with
    /// another request in flight are skipped until its response arrives.
    pub(super) fn stop_members(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let timeout = checkpoint_timeout(&self.settings.policy);
        let saves_state = entry.class.as_ref().is_some_and(|class| class.checkpoint)
            && entry.stage == JobStage::Stopping(StopPurpose::Retry)
            && !timeout.is_zero();
        for index in 0..entry.members.len() {
            let task = entry.key(index);
            let member = &mut entry.members[index];
            let worker = member.worker.clone();
            let action = match member.state {
                MemberState::StartUnknown | MemberState::Running if saves_state => {
                    member.enter(MemberState::SaveAsked, now);
                    member.save_deadline = now + timeout;
                    actions.push(PlannerAction::Checkpoint { worker, task });
                    continue;
                }
                MemberState::Held => PlannerAction::Release { worker, task },
                MemberState::SaveAsked if saves_state && member.save_deadline > now => continue,
                MemberState::StartUnknown | MemberState::Running | MemberState::SaveAsked => {
                    PlannerAction::Stop { worker, task }
                }
                _ => continue,
            };
            member.enter(MemberState::StopAsked, now);
            member.due_at = now + STOP_RETRY_INTERVAL;
            actions.push(action);
        }
        self.finish_if_stopped(now, id, actions);
    }

    pub(super) fn handle_stop_response(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        result: Result<(), TargetError>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some((entry, index)) = find_member(&mut self.jobs, task) else {
            return;
        };
        let member = &mut entry.members[index];
        let is_released = matches!(result, Ok(()) | Err(TargetError::UnknownLease));
        if member.state != MemberState::StopAsked || !is_released {
            return;
        }
        member.enter(MemberState::Gone, now);
        self.ledger.release(task);
        self.finish_if_stopped(now, &task.job, actions);
    }

    pub(super) fn handle_checkpoint_response(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        result: Result<String, TargetError>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some((entry, index)) = find_member(&mut self.jobs, task) else {
            return;
        };
        let member = &mut entry.members[index];
        if !matches!(
            member.state,
            MemberState::SaveAsked | MemberState::StopAsked
        ) {
            return;
        }
        if let Ok(name) = result {
            member.enter(MemberState::Gone, now);
            entry.saved.insert(task.member, name);
            self.ledger.release(task);
            self.finish_if_stopped(now, &task.job, actions);
            return;
        }
        if member.state == MemberState::SaveAsked {
            member.save_deadline = now;
            self.stop_members(now, &task.job, actions);
        }
    }

    /// Closes, ends or retries a job that is stopping, once none of its members holds
    /// resources.
    pub(super) fn finish_if_stopped(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let JobStage::Stopping(purpose) = &entry.stage else {
            return;
        };
        if !entry.members.iter().all(GangMember::is_over) {
            return;
        }
        let next = next_step(entry, purpose);
        match next {
            NextStep::Close => self.close_job(id),
            NextStep::End(ending) => {
                if matches!(ending, JobEnding::Failed(_)) {
                    self.discount_job_failures(id);
                }
                self.end_job(now, id, ending, actions);
            }
            NextStep::Retry { is_counted } => self.retry_later(now, id, is_counted),
        }
    }

    fn retry_later(&mut self, now: MonotonicTime, id: &JobId, is_counted: bool) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if !is_counted {
            entry.starts = entry.starts.saturating_sub(1);
        }
        if entry.saved.len() == entry.members.len() {
            entry.checkpoints = std::mem::take(&mut entry.saved);
        }
        entry.saved.clear();
        entry.members.clear();
        entry.retries += 1;
        let doubled = BACKOFF_BASE * (1 << entry.retries.min(8));
        let backoff = doubled.min(MAX_BACKOFF);
        let jitter = self.random.random_range(0.5..1.5);
        self.enqueue_later(now, id, now + backoff.mul_f64(jitter));
    }

    /// Requests the record of a job's ending, at most once.
    pub(super) fn end_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        ending: JobEnding,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if matches!(entry.stage, JobStage::Ending(_)) {
            return;
        }
        entry.members.clear();
        entry.enter(JobStage::Ending(ending.clone()), now);
        actions.push(PlannerAction::RecordEnd {
            job: id.clone(),
            ending,
        });
    }
}

impl GangMember {
    /// Creates a member whose reservation has been requested.
    fn reserving(worker: WorkerName, now: MonotonicTime, lease: Duration) -> Self {
        Self {
            worker,
            state: MemberState::ReserveAsked,
            since: now,
            valid_until: now,
            expired_by: now + lease + LEASE_EXPIRY_MARGIN,
            due_at: now + lease / 3,
            save_deadline: now,
            throttled: false,
            may_have_started: false,
        }
    }
}

/// Returns the member that a task names, if it belongs to its job's current attempt.
pub(super) fn find_member<'a>(
    jobs: &'a mut BTreeMap<JobId, JobEntry>,
    task: &TaskKey,
) -> Option<(&'a mut JobEntry, usize)> {
    let entry = jobs.get_mut(&task.job)?;
    let index = entry.member_index(task)?;
    Some((entry, index))
}

/// Whether a new purpose replaces the one for which members are being stopped.
const fn overrides(after: &StopPurpose, before: &StopPurpose) -> bool {
    match after {
        StopPurpose::Close => true,
        StopPurpose::Cancel => !matches!(before, StopPurpose::Close),
        StopPurpose::Exceed(_) => {
            matches!(before, StopPurpose::Retry | StopPurpose::Fail(_))
        }
        StopPurpose::Retry | StopPurpose::Fail(_) => false,
    }
}

/// How a stopped job continues.
enum NextStep {
    Close,
    End(JobEnding),
    Retry { is_counted: bool },
}

fn next_step(entry: &JobEntry, purpose: &StopPurpose) -> NextStep {
    let ran = entry.members.iter().any(|m| m.may_have_started);
    let all_finished = ran
        && entry
            .members
            .iter()
            .all(|m| m.state == MemberState::Finished);
    let all_saved = entry.saved.len() == entry.members.len();
    let may_run_again = entry.is_idempotent() || all_saved;
    match purpose {
        StopPurpose::Close => NextStep::Close,
        _ if all_finished => NextStep::End(JobEnding::Finished),
        StopPurpose::Cancel => NextStep::End(JobEnding::Cancelled),
        StopPurpose::Retry if !ran => NextStep::Retry { is_counted: true },
        StopPurpose::Retry if may_run_again => NextStep::Retry { is_counted: false },
        StopPurpose::Retry => {
            let reason = "stopped to give capacity back, and it may not run twice";
            NextStep::End(JobEnding::Failed(reason.into()))
        }
        StopPurpose::Fail(_) if entry.may_start_again() => NextStep::Retry { is_counted: true },
        StopPurpose::Fail(reason) if !ran => NextStep::End(JobEnding::Refused(reason.clone())),
        StopPurpose::Exceed(reason) | StopPurpose::Fail(reason) => {
            NextStep::End(JobEnding::Failed(reason.clone()))
        }
    }
}
