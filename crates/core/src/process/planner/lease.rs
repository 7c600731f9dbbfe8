//! Periodic work of the planner: polling of task lists, renewal of leases at a third
//! of their length, expiry of leases, and retries of stops.

use crate::prelude::*;
use crate::process::planner::action::PlannerAction;
use crate::process::planner::event::{TargetError, TaskKey};
use crate::process::planner::gang::{LEASE_EXPIRY_MARGIN, STOP_RETRY_INTERVAL, find_member};
use crate::process::planner::job_entry::{
    GangMember, JobEntry, JobStage, MemberState, StopPurpose,
};
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker_entry::{RenewRequest, WorkerEntry};
use crate::version::settings::JobPriority;

/// Interval between two lists of a worker that holds tasks.
const BUSY_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two lists of a worker that holds no tasks.
const IDLE_LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Time by which due lists of workers without tasks are ordered behind those of others.
const IDLE_LIST_DELAY: Duration = Duration::from_secs(5);
/// Time after which a list request without a response is sent again.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Lists requested per second, apart from those of workers with urgent tasks. It
/// limits the traffic of a zone with many busy workers. Ended tasks are also noticed
/// by the responses to renewals.
const ROUTINE_LISTS_PER_SECOND: u32 = 2;
/// Interval after which a placement pass runs although nothing changed, for decisions
/// that depend only on the age of a job.
const TIMED_PASS_INTERVAL: Duration = Duration::from_secs(2);

impl PlannerState {
    pub(super) fn handle_tick(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        if self.leadership.is_none() {
            return;
        }
        if now.since(self.last_timed_pass_at) >= TIMED_PASS_INTERVAL {
            self.last_timed_pass_at = now;
            self.last_pass_changes = None;
        }
        self.poll_lists(now, actions);
        self.expire_members(now, actions);
        self.retry_stops(now, actions);
        self.stop_late_checkpoints(now, actions);
        self.end_quarantines(now);
        self.stop_overrun_jobs(now, actions);
        self.renew_leases(now, actions);
    }

    /// Requests the lists that are due, those due longest first. If many workers are
    /// busy, ends of tasks that are not urgent may be noticed later.
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
            .map(|(name, entry)| (self.list_order_time(name, entry), name.clone()))
            .collect();
        due.sort();
        let interval = BUSY_LIST_INTERVAL / ROUTINE_LISTS_PER_SECOND;
        let mut slot = self.next_list_slot.max(now - BUSY_LIST_INTERVAL);
        for (_, worker) in due {
            if !urgent.contains(&worker) {
                if slot + interval > now {
                    continue;
                }
                slot = slot + interval;
            }
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.list_requested_at = None;
            }
            self.list_tasks(now, &worker, actions);
        }
        self.next_list_slot = slot;
    }

    /// Returns the time by which due lists are ordered. A worker without tasks is
    /// ordered behind busy ones, but only by a bounded time, so it is listed eventually.
    fn list_order_time(&self, name: &WorkerName, entry: &WorkerEntry) -> MonotonicTime {
        let capacity = self.ledger.worker(name);
        let is_idle = capacity.is_none_or(|capacity| capacity.holdings.is_empty());
        let delay = if is_idle {
            IDLE_LIST_DELAY
        } else {
            Duration::ZERO
        };
        entry.next_list_at + delay
    }

    /// Returns the workers that hold a task of an urgent job.
    fn urgent_workers(&self) -> BTreeSet<WorkerName> {
        let is_urgent = |entry: &&JobEntry| {
            let class = entry.class.as_ref();
            class.is_some_and(|class| class.priority == JobPriority::Urgent)
        };
        let urgent = self.jobs.values().filter(is_urgent);
        let members = urgent.flat_map(|entry| &entry.members);
        members.map(|member| member.worker.clone()).collect()
    }

    /// Requests a worker's task list unless a request is already in flight.
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
        let interval = if is_busy {
            BUSY_LIST_INTERVAL
        } else {
            IDLE_LIST_INTERVAL
        };
        entry.next_list_at = now + interval;
        actions.push(PlannerAction::ListTasks {
            worker: worker.clone(),
        });
    }

    /// Makes the list of a worker due soon, since it now holds a task.
    pub(super) fn schedule_list_soon(&mut self, now: MonotonicTime, worker: &WorkerName) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.next_list_at = entry.next_list_at.min(now + BUSY_LIST_INTERVAL);
        }
    }

    /// Releases members whose lease has expired and stops their jobs.
    fn expire_members(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.members.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.expire_job_members(now, &id, actions);
        }
    }

    fn expire_job_members(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let mut lost_worker = None;
        let mut has_released = false;
        for index in 0..entry.members.len() {
            let key = entry.key(index);
            let member = &mut entry.members[index];
            if member.is_over() {
                continue;
            }
            if member.needs_renewal() && member.valid_until <= now {
                lost_worker = Some(member.worker.clone());
            }
            if member.expired_by <= now {
                lost_worker = Some(member.worker.clone());
                member.enter(MemberState::Gone, now);
                self.ledger.release(&key);
                has_released = true;
            }
        }
        let was_started = matches!(entry.stage, JobStage::Starting | JobStage::Running);
        if let Some(worker) = lost_worker {
            let purpose = if was_started {
                StopPurpose::Fail(format!("the lease of the task on {worker} lapsed"))
            } else {
                StopPurpose::Retry
            };
            self.stop_job(now, id, purpose, actions);
        }
        if has_released {
            self.finish_if_stopped(now, id, actions);
        }
    }

    /// Sends stops again that had no response.
    fn retry_stops(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
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
                member.due_at = now + STOP_RETRY_INTERVAL;
                actions.push(PlannerAction::Stop {
                    worker: member.worker.clone(),
                    task,
                });
            }
        }
    }

    /// Stops members that exceed the deadline for saving their state.
    fn stop_late_checkpoints(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let is_late = |m: &GangMember| m.state == MemberState::SaveAsked && m.save_deadline <= now;
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

    /// Renews the leases that are due, with one request per worker.
    fn renew_leases(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let lease = self.lease();
        let mut due: BTreeMap<WorkerName, Vec<TaskKey>> = BTreeMap::new();
        for entry in self.jobs.values_mut() {
            for index in 0..entry.members.len() {
                let key = entry.key(index);
                let member = &mut entry.members[index];
                if !member.needs_renewal() || member.due_at > now {
                    continue;
                }
                member.due_at = now + lease / 3;
                member.expired_by = now + lease + LEASE_EXPIRY_MARGIN;
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
                extend_lease(&mut job.members[index], request.extends_from + lease);
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

fn extend_lease(member: &mut GangMember, until: MonotonicTime) {
    if member.needs_renewal() {
        member.valid_until = member.valid_until.max(until);
    }
}
