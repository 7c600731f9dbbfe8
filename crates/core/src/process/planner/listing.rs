//! Reconciles the planner's state with the task list of a worker. The list decides
//! what the worker holds; only outstanding requests and changes made after the list
//! was requested take precedence over it.

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::event::{ListedState, ListedTask, TaskKey};
use crate::process::planner::gang::find_member;
use crate::process::planner::job_entry::{JobStage, MemberState, StopPurpose};
use crate::process::planner::ledger::AcceleratorSet;
use crate::process::planner::state::PlannerState;

/// Delay before a list is requested again after a failed request.
const LIST_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl PlannerState {
    pub(super) fn handle_list_failure(&mut self, now: MonotonicTime, worker: &WorkerName) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.listed = false;
            entry.list_failed = true;
            entry.list_requested_at = None;
            entry.next_list_at = now + LIST_RETRY_INTERVAL;
        }
    }

    pub(super) fn handle_task_list(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        incarnation: u64,
        tasks: &[ListedTask],
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(leadership) = self.leadership else {
            return;
        };
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(requested_at) = entry.list_requested_at else {
            return;
        };
        if incarnation < entry.incarnation {
            return;
        }
        if incarnation > entry.incarnation {
            entry.incarnation = incarnation;
            entry.draining = false;
        }
        entry.list_requested_at = None;
        entry.listed = true;
        entry.listed_tasks = tasks.to_vec();
        if !leadership.rebuilt {
            return;
        }
        self.reconcile_tasks(now, worker, requested_at, tasks, actions);
        self.remove_worker_if_empty(worker);
    }

    /// Updates members and holdings from a task list, and stops unrecorded tasks.
    pub(super) fn reconcile_tasks(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        requested_at: MonotonicTime,
        tasks: &[ListedTask],
        actions: &mut Vec<PlannerAction>,
    ) {
        for task in tasks {
            if self.is_member_on(&task.key, worker) {
                self.update_member(now, task, actions);
            } else {
                self.handle_unrecorded_task(worker, task, actions);
            }
        }
        self.release_absent_tasks(now, worker, requested_at, tasks, actions);
    }

    fn is_member_on(&self, key: &TaskKey, worker: &WorkerName) -> bool {
        let Some(entry) = self.jobs.get(&key.job) else {
            return false;
        };
        entry.member_index(key).is_some_and(|index| {
            let member = &entry.members[index];
            member.worker == *worker && !member.is_over()
        })
    }

    fn update_member(
        &mut self,
        now: MonotonicTime,
        task: &ListedTask,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some((entry, index)) = find_member(&mut self.jobs, &task.key) else {
            return;
        };
        let member = &mut entry.members[index];
        let id = task.key.job.clone();
        let worker = member.worker.clone();
        match &task.state {
            ListedState::Reserved => {
                if member.state == MemberState::StartUnknown {
                    let reason = format!("{worker} did not answer the start of the task");
                    self.stop_job(now, &id, StopPurpose::Fail(reason), actions);
                }
                return;
            }
            ListedState::Running => {
                let is_start = matches!(
                    member.state,
                    MemberState::StartAsked | MemberState::StartUnknown
                );
                if is_start && !matches!(entry.stage, JobStage::Stopping(_)) {
                    member.enter(MemberState::Running, now);
                    self.run_if_started(now, &id, actions);
                }
                return;
            }
            ListedState::Finished => member.enter(MemberState::Finished, now),
            ListedState::Checkpointed(name) => {
                entry.saved.insert(task.key.member, name.clone());
                entry.members[index].enter(MemberState::Gone, now);
            }
            ListedState::Failed(_) | ListedState::Stopped | ListedState::Lapsed => {
                member.enter(MemberState::Gone, now);
            }
        }
        self.ledger.release(&task.key);
        if matches!(task.state, ListedState::Failed(_)) {
            self.record_failure(now, &worker, &id);
        }
        if let Some(reason) = failure_reason(&task.state, &worker) {
            self.stop_job(now, &id, StopPurpose::Fail(reason), actions);
        }
        self.run_if_started(now, &id, actions);
        self.finish_if_stopped(now, &id, actions);
    }

    /// Stops a task that no open job has a record of. Its resources count as held until
    /// the worker no longer lists it as reserved or running.
    pub(super) fn handle_unrecorded_task(
        &mut self,
        worker: &WorkerName,
        task: &ListedTask,
        actions: &mut Vec<PlannerAction>,
    ) {
        let action = match task.state {
            ListedState::Reserved => PlannerAction::Release {
                worker: worker.clone(),
                task: task.key.clone(),
            },
            ListedState::Running => PlannerAction::Stop {
                worker: worker.clone(),
                task: task.key.clone(),
            },
            _ => {
                if self.ledger.holders().get(&task.key) == Some(worker) {
                    self.ledger.release(&task.key);
                }
                return;
            }
        };
        let demand = listed_demand(task);
        let accelerators = AcceleratorSet::from_numbers(&task.accelerators);
        self.ledger.observe(worker, &task.key, demand, accelerators);
        if let Some(entry) = self.jobs.get_mut(&task.key.job) {
            if entry.stage == JobStage::Unsettled {
                return;
            }
            entry.listed_attempt = entry.listed_attempt.max(task.key.attempt);
        }
        actions.push(action);
    }

    /// Releases members and holdings that are missing from a list.
    fn release_absent_tasks(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        requested_at: MonotonicTime,
        tasks: &[ListedTask],
        actions: &mut Vec<PlannerAction>,
    ) {
        let listed: BTreeSet<&TaskKey> = tasks.iter().map(|task| &task.key).collect();
        let Some(capacity) = self.ledger.worker(worker) else {
            return;
        };
        let absent: Vec<TaskKey> = capacity
            .holdings
            .keys()
            .filter(|key| !listed.contains(key))
            .cloned()
            .collect();
        for key in absent {
            self.release_absent_task(now, worker, requested_at, &key, actions);
        }
    }

    fn release_absent_task(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        requested_at: MonotonicTime,
        key: &TaskKey,
        actions: &mut Vec<PlannerAction>,
    ) {
        if !self.is_member_on(key, worker) {
            self.ledger.release(key);
            return;
        }
        let Some((entry, index)) = find_member(&mut self.jobs, key) else {
            return;
        };
        let member = &mut entry.members[index];
        let is_unanswered = matches!(
            member.state,
            MemberState::ReserveAsked | MemberState::StartAsked
        );
        if is_unanswered || member.since > requested_at {
            return;
        }
        let was_started = member.may_have_started;
        member.enter(MemberState::Gone, now);
        self.ledger.release(key);
        let purpose = if was_started {
            StopPurpose::Fail(format!("{worker} lost the task"))
        } else {
            StopPurpose::Retry
        };
        self.stop_job(now, &key.job, purpose, actions);
        self.finish_if_stopped(now, &key.job, actions);
    }
}

/// Returns why a listed state makes the attempt fail, or `None` if it does not.
fn failure_reason(state: &ListedState, worker: &WorkerName) -> Option<String> {
    match state {
        ListedState::Failed(reason) => Some(reason.clone()),
        ListedState::Checkpointed(_) | ListedState::Stopped => {
            Some(format!("{worker} ended the task on its own"))
        }
        ListedState::Lapsed => Some(format!("the lease of the task on {worker} lapsed")),
        ListedState::Reserved | ListedState::Running | ListedState::Finished => None,
    }
}

/// Returns the resources that a listed task holds.
pub fn listed_demand(task: &ListedTask) -> TaskDemand {
    TaskDemand {
        slots: 1,
        accelerators: task.accelerators.len() as u32,
        cores: task.cores,
        memory_mb: task.memory_mb,
    }
}
