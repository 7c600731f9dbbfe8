//! Entry points of scheduling, which decides which waiting job starts next and on which
//! workers.

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::job_entry::task_demand;
use crate::process::planner::job_queue::{JobKind, QueuedJob};
use crate::process::planner::ledger::WorkerCapacity;
use crate::process::planner::placement_search::count_fitting;
use crate::process::planner::state::{PlannerPolicy, PlannerState};
use crate::process::planner::worker_entry::WorkerEntry;
use crate::version::settings::{BlockAdjacency, JobClass};

impl PlannerState {
    /// Starts the waiting jobs that can be placed now.
    pub(super) fn schedule(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        if !self.may_start() {
            return;
        }
        while let Some(job) = self.queue.pop_due(now) {
            self.enqueue(now, &job.id);
        }
        match self.policy {
            PlannerPolicy::FirstFit => self.schedule_first_fit(now, actions),
            PlannerPolicy::Guarantees => self.schedule_if_changed(now, actions),
        }
    }

    /// Runs a scheduling pass if the queue or the ledger changed since the last one, or
    /// if a pass is due by time.
    fn schedule_if_changed(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        self.refuse_overdue_jobs(now, actions);
        if self.plan_stale || (self.last_pass_changes.is_none() && !self.plan.is_fully_bound()) {
            self.repair_plan();
            self.refuse_impossible_jobs(now, actions);
            self.plan_stale = false;
            self.last_pass_changes = None;
        }
        let changes = self.ledger.changes() + self.queue.changes();
        if self.last_pass_changes == Some(changes) || self.queue.kinds().is_empty() {
            return;
        }
        self.recount_customer_use();
        self.schedule_guarantees(now, actions);
        self.last_pass_changes = Some(self.ledger.changes() + self.queue.changes());
    }

    /// Places waiting jobs in order of arrival and skips those that do not fit. If one
    /// does not fit, the remaining jobs of its kind are skipped, as they need the same.
    fn schedule_first_fit(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        let mut heads: BTreeMap<QueuedJob, JobKind> = self
            .queue
            .kinds()
            .iter()
            .filter_map(|(kind, jobs)| Some((jobs.first()?.clone(), kind.clone())))
            .collect();
        while let Some((job, kind)) = heads.pop_first() {
            let Some(class) = self.jobs.get(&job.id).and_then(|entry| entry.class.clone()) else {
                continue;
            };
            let Some(workers) = self.first_fit(&class) else {
                continue;
            };
            self.reserve_members(now, &job.id, workers, actions);
            let next = self.queue.kinds().get(&kind).and_then(BTreeSet::first);
            if let Some(next) = next {
                heads.insert(next.clone(), kind);
            }
        }
    }

    /// Returns the first workers, in name order, that together fit every member.
    fn first_fit(&self, class: &JobClass) -> Option<Vec<WorkerName>> {
        let demand = task_demand(class);
        let mut by_domain: BTreeMap<&str, Vec<WorkerName>> = BTreeMap::new();
        for (name, capacity) in self.usable_workers(class) {
            let domain = match class.adjacency {
                BlockAdjacency::Worker => name.as_str(),
                BlockAdjacency::Rack => capacity.record.rack.as_str(),
                BlockAdjacency::Zone => "",
            };
            let members = by_domain.entry(domain).or_default();
            let missing = class.tasks as usize - members.len();
            let fitting = (fit_count(capacity, &demand) as usize).min(missing);
            members.extend(std::iter::repeat_n(name.clone(), fitting));
            if members.len() == class.tasks as usize {
                return by_domain.remove(domain);
            }
        }
        None
    }

    /// Returns the workers that accept new work of a class, in name order.
    pub(super) fn usable_workers(
        &self,
        class: &JobClass,
    ) -> impl Iterator<Item = (&WorkerName, &WorkerCapacity)> {
        self.ledger
            .workers()
            .iter()
            .filter(|(name, _)| self.workers.get(*name).is_some_and(WorkerEntry::is_usable))
            .filter(|(_, capacity)| capacity.record.services.contains(&class.service))
    }
}

/// Returns how many tasks with this demand fit into the free capacity of a worker.
pub fn fit_count(capacity: &WorkerCapacity, demand: &TaskDemand) -> u32 {
    count_fitting(capacity.free, &capacity.spare, demand)
}
