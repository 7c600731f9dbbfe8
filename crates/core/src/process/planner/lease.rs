//! What the passing of time brings about: polling of task lists, renewal of
//! leases at a third of their length, leases that lapse, and stops asked again.

use crate::prelude::*;
use crate::process::planner::action::PlannerAction;
use crate::process::planner::event::{TargetError, TaskKey};
use crate::process::planner::gang::{LAPSE_MARGIN, STOP_RETRY, find_member};
use crate::process::planner::job_entry::{
    GangMember, JobEntry, JobStage, MemberState, StopPurpose,
};
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker_entry::{RenewRequest, WorkerEntry};
use crate::version::settings::JobPriority;

/// Time between two lists of a worker that holds tasks, or did not answer.
const BUSY_POLL: Duration = Duration::from_secs(1);
/// Time between two lists of a worker that holds nothing.
const IDLE_POLL: Duration = Duration::from_secs(30);
/// Time for which due lists of workers that hold nothing come after those of others.
const IDLE_GRACE: Duration = Duration::from_secs(5);
/// Time after which a list without an answer is asked for again.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Lists asked for in a second, apart from those of workers with urgent tasks. It
/// bounds what a zone of many busy workers sends; renewals tell of ends as well.
const LISTS_PER_SECOND: u32 = 2;
/// Time after which waiting jobs are looked at again although nothing changed, for
/// what age alone decides.
const REPASS_INTERVAL: Duration = Duration::from_secs(2);

impl PlannerState {
    pub(super) fn handle_tick(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        if self.leadership.is_none() {
            return;
        }
        if now.since(self.last_timed_pass_at) >= REPASS_INTERVAL {
            self.last_timed_pass_at = now;
            self.last_pass_changes = None;
        }
        self.poll_lists(now, actions);
        self.lapse_members(now, actions);
        self.stop_again(now, actions);
        self.end_saves(now, actions);
        self.end_quarantines(now);
        self.stop_overruns(now, actions);
        self.renew_leases(now, actions);
    }

    /// Asks for the lists that are due, those due for longest first. Ends of tasks
    /// that are not urgent may be noticed later where many workers are busy.
    fn poll_lists(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let urgent = self.urgent_workers();
        let mut due: Vec<(MonotonicTime, WorkerName)> = self
            .workers
            .iter()
            .filter(|(_, entry)| entry.next_list_at <= now)
            .filter(|(_, entry)| {
                entry
                    .list_requested_at
                    .is_none_or(|at| now.since(at) >= LIST_TIMEOUT)
            })
            .map(|(name, entry)| (self.list_rank(name, entry), name.clone()))
            .collect();
        due.sort();
        let step = BUSY_POLL / LISTS_PER_SECOND;
        let mut slot = self.next_list_slot.max(now - BUSY_POLL);
        for (_, worker) in due {
            if !urgent.contains(&worker) {
                if slot + step > now {
                    continue;
                }
                slot = slot + step;
            }
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.list_requested_at = None;
            }
            self.list_tasks(now, &worker, actions);
        }
        self.next_list_slot = slot;
    }

    /// Time by which due lists are ordered: a worker that holds nothing gives way to
    /// busy ones for a while, but not for ever.
    fn list_rank(&self, name: &WorkerName, entry: &WorkerEntry) -> MonotonicTime {
        let capacity = self.ledger.worker(name);
        let is_idle = capacity.is_none_or(|capacity| capacity.holdings.is_empty());
        let grace = if is_idle { IDLE_GRACE } else { Duration::ZERO };
        entry.next_list_at + grace
    }

    /// Workers that hold a task of an urgent job.
    fn urgent_workers(&self) -> BTreeSet<WorkerName> {
        let is_urgent = |entry: &&JobEntry| {
            let class = entry.class.as_ref();
            class.is_some_and(|class| class.priority == JobPriority::Urgent)
        };
        let urgent = self.jobs.values().filter(is_urgent);
        let members = urgent.flat_map(|entry| &entry.members);
        members.map(|member| member.worker.clone()).collect()
    }

    /// Asks a worker for its tasks unless that is on its way.
    pub(super) fn list_tasks(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self.leadership.is_none() {
            return;
        }
        let is_busy = self
            .ledger
            .worker(worker)
            .is_some_and(|w| !w.holdings.is_empty());
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.list_requested_at.is_some() {
            return;
        }
        entry.list_requested_at = Some(now);
        let poll = if is_busy { BUSY_POLL } else { IDLE_POLL };
        entry.next_list_at = now + poll;
        actions.push(PlannerAction::ListTasks {
            worker: worker.clone(),
        });
    }

    /// Makes the list of a worker due soon, since it now holds something.
    pub(super) fn poll_soon(&mut self, now: MonotonicTime, worker: &WorkerName) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.next_list_at = entry.next_list_at.min(now + BUSY_POLL);
        }
    }

    /// Gives up members whose lease is over.
    fn lapse_members(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.members.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.lapse_job(now, &id, actions);
        }
    }

    fn lapse_job(&mut self, now: MonotonicTime, id: &JobId, actions: &mut Vec<PlannerAction>) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let mut lost = None;
        let mut is_changed = false;
        for index in 0..entry.members.len() {
            let key = entry.key(index);
            let member = &mut entry.members[index];
            if member.is_over() {
                continue;
            }
            if member.is_renewed() && member.valid_until <= now {
                lost = Some(member.worker.clone());
            }
            if member.lapse_by <= now {
                lost = Some(member.worker.clone());
                member.enter(MemberState::Gone, now);
                self.ledger.release(&key);
                is_changed = true;
            }
        }
        let was_started = matches!(entry.stage, JobStage::Starting | JobStage::Running);
        if let Some(worker) = lost {
            let purpose = if was_started {
                StopPurpose::Fail(format!("the lease of the task on {worker} lapsed"))
            } else {
                StopPurpose::Retry
            };
            self.stop_job(now, id, purpose, actions);
        }
        if is_changed {
            self.finish_if_stopped(now, id, actions);
        }
    }

    /// Asks again for stops that were not answered.
    fn stop_again(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let stopping = self
            .jobs
            .values_mut()
            .filter(|entry| matches!(entry.stage, JobStage::Stopping(_)));
        for entry in stopping {
            for index in 0..entry.members.len() {
                let task = entry.key(index);
                let member = &mut entry.members[index];
                if member.state != MemberState::StopAsked || member.due_at > now {
                    continue;
                }
                member.due_at = now + STOP_RETRY;
                actions.push(PlannerAction::Stop {
                    worker: member.worker.clone(),
                    task,
                });
            }
        }
    }

    /// Stops members that take too long to save their state.
    fn end_saves(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let is_late = |m: &GangMember| m.state == MemberState::SaveAsked && m.save_until <= now;
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.members.iter().any(is_late))
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            self.stop_members(now, &id, actions);
        }
    }

    /// Renews the leases that are due, one request for each worker.
    fn renew_leases(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let lease = self.lease();
        let mut due: BTreeMap<WorkerName, Vec<TaskKey>> = BTreeMap::new();
        for entry in self.jobs.values_mut() {
            for index in 0..entry.members.len() {
                let key = entry.key(index);
                let member = &mut entry.members[index];
                if !member.is_renewed() || member.due_at > now {
                    continue;
                }
                member.due_at = now + lease / 3;
                member.lapse_by = now + lease + LAPSE_MARGIN;
                due.entry(member.worker.clone()).or_default().push(key);
            }
        }
        for (worker, tasks) in due {
            let Some(entry) = self.workers.get_mut(&worker) else {
                continue;
            };
            let extends_from = entry.renewal.as_ref().map_or(now, |r| r.extends_from);
            entry.renewal = Some(RenewRequest {
                extends_from,
                sent_at: now,
                tasks: tasks.clone(),
            });
            actions.push(PlannerAction::Renew {
                worker,
                tasks,
                lease,
            });
        }
    }

    pub(super) fn handle_renew_response(
        &mut self,
        now: MonotonicTime,
        worker: &WorkerName,
        result: Result<Vec<TaskKey>, TargetError>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let lease = self.lease();
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(request) = entry.renewal.take() else {
            return;
        };
        let Ok(unknown) = result else {
            self.retry_renewal(now, &request);
            return;
        };
        for task in &request.tasks {
            if unknown.contains(task) {
                continue;
            }
            if let Some((job, index)) = find_member(&mut self.jobs, task) {
                extend(&mut job.members[index], request.extends_from + lease);
            }
        }
        if !unknown.is_empty() {
            self.list_tasks(now, worker, actions);
        }
    }

    fn retry_renewal(&mut self, now: MonotonicTime, request: &RenewRequest) {
        for task in &request.tasks {
            if let Some((job, index)) = find_member(&mut self.jobs, task) {
                job.members[index].due_at = now;
            }
        }
    }
}

fn extend(member: &mut GangMember, until: MonotonicTime) {
    if member.is_renewed() {
        member.valid_until = member.valid_until.max(until);
    }
}
