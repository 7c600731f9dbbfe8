//! Gaining and losing leadership. A new leader knows only the records of the log. It
//! learns which tasks run from the task lists of the workers, and starts nothing
//! before it has them.

use crate::prelude::*;
use crate::process::planner::action::{JobEnding, PlannerAction};
use crate::process::planner::event::{LeaderTerm, ListedState, ListedTask, TaskKey};
use crate::process::planner::gang::LEASE_EXPIRY_MARGIN;
use crate::process::planner::job_entry::{
    GangMember, JobEntry, JobStage, MemberState, StopPurpose,
};
use crate::process::planner::ledger::AcceleratorSet;
use crate::process::planner::listing::listed_demand;
use crate::process::planner::state::{HeldLeadership, PlannerState};

/// A task and the worker that listed it.
#[derive(Clone, Debug)]
struct FoundTask {
    worker: WorkerName,
    task: ListedTask,
}

impl PlannerState {
    pub(super) fn gain_leadership(
        &mut self,
        now: MonotonicTime,
        term: LeaderTerm,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self
            .leadership
            .is_some_and(|leadership| leadership.term >= term)
        {
            return;
        }
        self.lose_leadership();
        self.leadership = Some(HeldLeadership {
            term,
            gained_at: now,
            rebuilt: false,
        });
        let workers: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.list_tasks(now, &worker, actions);
        }
    }

    pub(super) fn lose_leadership(&mut self) {
        self.leadership = None;
        self.queue.clear();
        self.ledger.clear_holdings();
        for entry in self.workers.values_mut() {
            entry.clear_term_state();
        }
        for entry in self.jobs.values_mut() {
            mark_unresolved(entry);
        }
    }

    /// Adopts the running jobs once the list of every worker has arrived or failed, or all
    /// leases that this planner did not renew have expired. Jobs whose state stays unknown
    /// are resolved once every worker has answered or these leases have expired.
    pub(super) fn rebuild(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let Some(leadership) = self.leadership else {
            return;
        };
        let mut workers = self.workers.values().filter(|entry| !entry.removed);
        let leases_expired = now >= leadership.gained_at + self.lease() + LEASE_EXPIRY_MARGIN;
        let all_listed = workers.clone().all(|entry| entry.listed);
        let all_tried = workers.all(|entry| entry.listed || entry.list_failed);
        if !leadership.rebuilt && !all_tried && !leases_expired {
            return;
        }
        let is_conclusive = all_listed || leases_expired;
        let has_unresolved = self
            .jobs
            .values()
            .any(|entry| entry.stage == JobStage::Unsettled);
        if leadership.rebuilt && !(has_unresolved && is_conclusive) {
            return;
        }
        if !leadership.rebuilt {
            self.retry_recording_ends(actions);
            self.leadership = Some(HeldLeadership {
                rebuilt: true,
                ..leadership
            });
        }
        self.adopt_jobs(now, is_conclusive, actions);
        self.plan_stale = true;
        self.stop_unrecorded_tasks(now, actions);
    }

    fn adopt_jobs(
        &mut self,
        now: MonotonicTime,
        is_conclusive: bool,
        actions: &mut Vec<PlannerAction>,
    ) {
        let mut found = self.found_tasks();
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.stage == JobStage::Unsettled)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let tasks = found.remove(&id).unwrap_or_default();
            self.adopt_job(now, &id, tasks, is_conclusive, actions);
        }
    }

    /// Returns the listed tasks by job.
    fn found_tasks(&self) -> BTreeMap<JobId, Vec<FoundTask>> {
        let mut found: BTreeMap<JobId, Vec<FoundTask>> = BTreeMap::new();
        for (worker, entry) in &self.workers {
            for task in &entry.listed_tasks {
                let tasks = found.entry(task.key.job.clone()).or_default();
                tasks.push(FoundTask {
                    worker: worker.clone(),
                    task: task.clone(),
                });
            }
        }
        found
    }

    fn adopt_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        tasks: Vec<FoundTask>,
        is_conclusive: bool,
        actions: &mut Vec<PlannerAction>,
    ) {
        let lease = self.lease();
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let highest = tasks.iter().map(|found| found.task.key.attempt).max();
        let size = entry.class.as_ref().map_or(0, |class| class.tasks) as usize;
        let mut current: Vec<Option<FoundTask>> = vec![None; size];
        for found in tasks {
            let member = found.task.key.member as usize;
            if Some(found.task.key.attempt) == highest && member < size {
                current[member] = Some(found);
            }
        }
        let is_complete = size > 0 && current.iter().all(Option::is_some);
        if !is_complete && entry.starts > 0 && !is_conclusive {
            return;
        }
        if current.iter().all(Option::is_none) {
            self.resolve_unlisted_job(now, id, actions);
            return;
        }
        entry.listed_attempt = entry.listed_attempt.max(entry.attempt);
        entry.attempt = highest.unwrap_or(entry.attempt);
        if !current.iter().flatten().all(is_reserved) {
            entry.starts = entry.starts.max(1);
        }
        let may_have_started = entry.starts > 0;
        entry.members = current
            .iter()
            .map(|found| member_from_listing(found.as_ref(), may_have_started, now, lease))
            .collect();
        for found in current.iter().flatten() {
            self.adopt_task(found);
        }
        self.resume_job(now, id, &current, actions);
    }

    fn adopt_task(&mut self, found: &FoundTask) {
        let task = &found.task;
        match &task.state {
            ListedState::Reserved | ListedState::Running => {
                let accelerators = AcceleratorSet::from_numbers(&task.accelerators);
                let demand = listed_demand(task);
                self.ledger
                    .observe(&found.worker, &task.key, demand, accelerators);
            }
            ListedState::Checkpointed(name) => {
                if let Some(entry) = self.jobs.get_mut(&task.key.job) {
                    entry.saved.insert(task.key.member, name.clone());
                }
            }
            _ => {}
        }
    }

    /// Decides what happens to a job of which no worker listed a task.
    fn resolve_unlisted_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if entry.cancelled {
            self.end_job(now, id, JobEnding::Cancelled, actions);
        } else if entry.may_start_again() {
            let is_refused = entry.starts == 0 && self.refuse_impossible_job(now, id, actions);
            if !is_refused {
                self.enqueue(now, id);
            }
        } else {
            let reason = "may have started before a change of planner; no worker knows it";
            self.end_job(now, id, JobEnding::Failed(reason.into()), actions);
        }
    }

    /// Continues a job of which members were listed.
    fn resume_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        current: &[Option<FoundTask>],
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.enter(JobStage::Running, now);
        if entry.cancelled {
            self.stop_job(now, id, StopPurpose::Cancel, actions);
            return;
        }
        let is_reserved = |found: &Option<FoundTask>| {
            found
                .as_ref()
                .is_some_and(|f| f.task.state == ListedState::Reserved)
        };
        let is_saved = entry.saved.len() == entry.members.len();
        if current.iter().all(is_reserved) {
            entry.starts = entry.starts.saturating_sub(1);
            self.stop_job(now, id, StopPurpose::Retry, actions);
            return;
        }
        if is_saved {
            self.stop_job(now, id, StopPurpose::Retry, actions);
            return;
        }
        let runs = |m: &GangMember| matches!(m.state, MemberState::Running | MemberState::Finished);
        if !entry.members.iter().all(runs) {
            let reason = current.iter().flatten().find_map(failed_reason);
            let reason = reason.unwrap_or_else(|| "part of the gang was lost".into());
            self.stop_job(now, id, StopPurpose::Fail(reason), actions);
            return;
        }
        self.run_if_started(now, id, actions);
    }

    /// Requests again to record endings whose record may not have been written.
    fn retry_recording_ends(&self, actions: &mut Vec<PlannerAction>) {
        for (id, entry) in &self.jobs {
            if let JobStage::Ending(ending) = &entry.stage {
                actions.push(PlannerAction::RecordEnd {
                    job: id.clone(),
                    ending: ending.clone(),
                });
            }
        }
    }

    /// Stops listed tasks that belong to no open job.
    fn stop_unrecorded_tasks(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(entry) = self.workers.get_mut(&name) else {
                continue;
            };
            let found = entry.listed_tasks.clone();
            for task in &found {
                if !self.is_adopted(&task.key, &name) {
                    self.handle_unrecorded_task(&name, task, actions);
                }
            }
            self.schedule_list_soon(now, &name);
        }
    }

    fn is_adopted(&self, key: &TaskKey, worker: &WorkerName) -> bool {
        self.jobs.get(&key.job).is_some_and(|entry| {
            let member = entry.member_index(key).map(|index| &entry.members[index]);
            member.is_some_and(|m| m.worker == *worker)
        })
    }
}

fn mark_unresolved(entry: &mut JobEntry) {
    match &entry.stage {
        JobStage::Ending(_) => return,
        JobStage::Stopping(StopPurpose::Cancel) => entry.cancelled = true,
        JobStage::Recording => entry.starts += 1,
        _ => {}
    }
    entry.stage = JobStage::Unsettled;
    entry.members.clear();
    entry.saved.clear();
    entry.delayed_until = None;
    entry.claimed.clear();
    entry.reserved_on.clear();
}

fn is_reserved(found: &FoundTask) -> bool {
    found.task.state == ListedState::Reserved
}

fn failed_reason(found: &FoundTask) -> Option<String> {
    match &found.task.state {
        ListedState::Failed(reason) => Some(reason.clone()),
        _ => None,
    }
}

fn member_from_listing(
    found: Option<&FoundTask>,
    may_have_started: bool,
    now: MonotonicTime,
    lease: Duration,
) -> GangMember {
    let state = match found.map(|found| &found.task.state) {
        Some(ListedState::Reserved) => MemberState::Held,
        Some(ListedState::Running) => MemberState::Running,
        Some(ListedState::Finished) => MemberState::Finished,
        _ => MemberState::Gone,
    };
    let lease_left = found.map_or(Duration::ZERO, |found| found.task.lease_left);
    GangMember {
        worker: found.map_or_else(|| WorkerName::from(""), |found| found.worker.clone()),
        state,
        since: now,
        valid_until: now + lease_left,
        expired_by: now + lease_left.max(lease) + LEASE_EXPIRY_MARGIN,
        due_at: now,
        save_deadline: now,
        throttled: false,
        may_have_started,
    }
}
