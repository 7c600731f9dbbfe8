//! Which waiting job starts next, and on which workers.

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
    /// Starts what can be started.
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

    /// Runs a pass if queue or ledger changed since the last one, or time passed.
    fn schedule_if_changed(&mut self, now: MonotonicTime, actions: &mut Vec<PlannerAction>) {
        self.refuse_late(now, actions);
        if self.plan_stale || (self.last_pass_changes.is_none() && !self.plan.is_whole()) {
            self.repair_plan();
            self.refuse_impossible(now, actions);
            self.plan_stale = false;
            self.last_pass_changes = None;
        }
        let changes = self.ledger.changes() + self.queue.changes();
        if self.last_pass_changes == Some(changes) || self.queue.kinds().is_empty() {
            return;
        }
        self.recount_use();
        self.schedule_guarantees(now, actions);
        self.last_pass_changes = Some(self.ledger.changes() + self.queue.changes());
    }

    /// Takes waiting jobs in order of arrival and passes over those that do not
    /// fit; one that does not fit speaks for all of its kind.
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

    /// The first workers, in name order, that together take every member.
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

    /// Workers that may take new work of a class, in name order.
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

/// How many tasks with this demand fit into what is free on a worker.
pub fn fit_count(capacity: &WorkerCapacity, demand: &TaskDemand) -> u32 {
    count_fitting(capacity.free, &capacity.spare, demand)
}
