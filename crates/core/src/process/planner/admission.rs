//! Admission control. The planner refuses a job that would not fit even into the
//! empty zone, a job that exceeds its customer's limit of queued jobs, and a job whose
//! start deadline has passed. A refused job has not run.

use crate::prelude::*;
use crate::process::planner::action::{JobEnding, PlannerAction, TaskDemand};
use crate::process::planner::guarantee::{GuaranteePlan, PinnedUse, ZoneView, add};
use crate::process::planner::job_entry::{JobStage, task_demand};
use crate::process::planner::job_queue::{DelayedJob, JobKind};
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity};
use crate::process::planner::placement_search::count_fitting;
use crate::process::planner::schedule::JobDemand;
use crate::process::planner::state::{PlannerPolicy, PlannerState};
use crate::version::settings::{BlockAdjacency, JobClass, ZoneSettings};

/// Interval at which an expired start deadline is checked again while the job reserves,
/// records its start or stops.
const DEADLINE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest retry delay that a refusal suggests.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

impl PlannerState {
    /// Refuses a new job that cannot be queued. Returns whether it was refused.
    pub(super) fn refuse_new(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) -> bool {
        let reason = self
            .impossible_reason(now, id)
            .or_else(|| self.queue_full_reason(id));
        let Some(reason) = reason else {
            return false;
        };
        self.end_job(now, id, JobEnding::Refused(reason), actions);
        true
    }

    /// Refuses a job that could never run. Returns whether it was refused.
    pub(super) fn refuse_impossible_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        actions: &mut Vec<PlannerAction>,
    ) -> bool {
        let Some(reason) = self.impossible_reason(now, id) else {
            return false;
        };
        self.end_job(now, id, JobEnding::Refused(reason), actions);
        true
    }

    /// Refuses queued jobs that new settings or workers have made impossible.
    pub(super) fn refuse_impossible_jobs(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<PlannerAction>,
    ) {
        let kinds: Vec<JobKind> = self.queue.kinds().keys().cloned().collect();
        for kind in kinds {
            let jobs = self.queue.kinds().get(&kind).cloned().unwrap_or_default();
            for job in jobs {
                let is_new = self
                    .jobs
                    .get(&job.id)
                    .is_some_and(|entry| entry.starts == 0);
                let Some(reason) = self.impossible_reason(now, &job.id).filter(|_| is_new) else {
                    break;
                };
                self.dequeue(&job.id);
                self.end_job(now, &job.id, JobEnding::Refused(reason), actions);
            }
        }
    }

    /// Refuses jobs that have not started by their deadline.
    pub(super) fn refuse_overdue_jobs(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<PlannerAction>,
    ) {
        while let Some(due) = self.queue.pop_deadline(now) {
            let Some(entry) = self.jobs.get(&due.id) else {
                continue;
            };
            if entry.starts > 0 || entry.start_by.is_none() {
                continue;
            }
            match entry.stage {
                JobStage::Queued => {
                    self.dequeue(&due.id);
                    let reason = "it could not start within the time asked for; allow more time";
                    self.end_job(now, &due.id, JobEnding::Refused(reason.into()), actions);
                }
                JobStage::Reserving | JobStage::Recording | JobStage::Stopping(_) => {
                    let until = now + DEADLINE_RETRY_INTERVAL;
                    self.queue.add_deadline(DelayedJob { until, id: due.id });
                }
                _ => {}
            }
        }
    }

    /// Returns why a job could never run in this zone, or `None` if it could.
    fn impossible_reason(&self, now: MonotonicTime, id: &JobId) -> Option<String> {
        let entry = self.jobs.get(id)?;
        let Some(class) = entry.class.clone() else {
            let class = &entry.job.class;
            return Some(format!(
                "class {class} is not declared; publish it or use another"
            ));
        };
        let demand = task_demand(&class);
        let declared = self.settings.zones.get(&self.zone);
        let has_workers = !self.ledger.workers().is_empty();
        if declared.is_none() && !has_workers {
            return None;
        }
        if !declared.is_some_and(|zone| fits_declared(zone, &class))
            && !self.fits_known_workers(&class)
        {
            return Some(format!(
                "no shape of zone {} holds {} tasks with {} accelerators, {} cores and {} MiB \
                 each, even when it is empty; ask for less",
                self.zone, class.tasks, demand.accelerators, demand.cores, demand.memory_mb
            ));
        }
        if self.policy == PlannerPolicy::FirstFit || self.is_reclaimable(&class) {
            return None;
        }
        let job = self.job_demand(now, entry)?;
        if self.has_declared_workers(declared) && !self.fits_beside_guarantees(&job) {
            return Some(format!(
                "it may not run twice or save its state, and beside the guarantees of others \
                 zone {} has no room for its {} tasks, even when it is empty; ask for a guarantee",
                self.zone, class.tasks
            ));
        }
        None
    }

    /// Whether at least as many workers are present as the settings declare.
    fn has_declared_workers(&self, declared: Option<&ZoneSettings>) -> bool {
        let workers = declared.map_or(1, |zone| zone.racks * zone.workers_per_rack);
        self.zone_view().len() >= workers as usize
    }

    /// Whether a class would fit on the known workers if they were empty.
    fn fits_known_workers(&self, class: &JobClass) -> bool {
        let demand = task_demand(class);
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for (name, capacity) in self.ledger.workers() {
            let domain = match class.adjacency {
                BlockAdjacency::Worker => name.as_str(),
                BlockAdjacency::Rack => capacity.record.rack.as_str(),
                BlockAdjacency::Zone => "",
            };
            *counts.entry(domain).or_default() += tasks_per_empty_worker(capacity.total(), &demand);
        }
        counts.into_values().any(|count| count >= class.tasks)
    }

    /// Whether the empty zone has capacity for a non-reclaimable job beside all
    /// guarantees.
    fn fits_beside_guarantees(&self, job: &JobDemand) -> bool {
        let empty: BTreeMap<WorkerName, WorkerCapacity> = self
            .zone_view()
            .keys()
            .filter_map(|name| self.ledger.worker(name))
            .map(|capacity| (capacity.record.name.clone(), capacity.record.clone()))
            .map(|(name, record)| (name, WorkerCapacity::new(record)))
            .collect();
        let view = empty
            .iter()
            .map(|(name, capacity)| (name.clone(), self.worker_view(capacity)))
            .collect();
        if self.place_in_empty_zone(job, &empty).is_some() {
            return true;
        }
        self.adjust_plan_for(job, &empty, &view).is_some()
    }

    /// Returns workers for a non-reclaimable job and the guarantee plan that moves
    /// blocks out of its way. `None` if a guarantee would lose its place.
    pub(super) fn adjust_plan_for(
        &self,
        job: &JobDemand,
        capacities: &BTreeMap<WorkerName, WorkerCapacity>,
        view: &ZoneView,
    ) -> Option<AdjustedPlan> {
        let workers = self.choose_ignoring_blocks(job, capacities)?;
        let mut view = view.clone();
        let mut free: BTreeMap<&WorkerName, AcceleratorSet> = BTreeMap::new();
        for worker in &workers {
            let free = free
                .entry(worker)
                .or_insert_with(|| capacities[worker].free);
            let block = free.best_block(job.demand.accelerators)?;
            *free = free.difference(block);
            let pinned = view
                .get_mut(worker)?
                .pinned
                .entry(job.customer.clone())
                .or_default();
            *pinned = PinnedUse {
                accelerators: pinned.accelerators.union(block),
                demand: add(pinned.demand, job.demand),
            };
        }
        let mut plan = self.plan.clone();
        plan.repair(&view);
        let has_shares = workers
            .iter()
            .all(|name| plan.leaves_shares(name, &view[name], None));
        let keeps_guarantees = plan.unbound() <= self.plan.unbound() && has_shares;
        keeps_guarantees.then_some(AdjustedPlan { workers, plan })
    }

    /// Returns why a customer may not queue another job, or `None` if it may.
    fn queue_full_reason(&self, id: &JobId) -> Option<String> {
        let entry = self.jobs.get(id)?;
        let customer = &entry.job.customer;
        let limit = self.settings.customers.get(customer)?.max_queued_jobs;
        let mut waiting = 0;
        let mut work = 0.0;
        for (kind, jobs) in self.queue.kinds_of(customer) {
            waiting += jobs.len();
            let Some(class) = self.settings.classes.get(&kind.class) else {
                continue;
            };
            let run_time = self
                .estimates
                .estimate(customer, &kind.class, class.run_time)
                .median;
            let size = f64::from(class.tasks * class.accelerators.max(1));
            work += run_time.as_secs_f64() * size * jobs.len() as f64;
        }
        if waiting < limit as usize {
            return None;
        }
        let capacity = f64::from(self.total.accelerators.max(1));
        let per_job = work / capacity / waiting.max(1) as f64;
        let wait = Duration::from_secs_f64(per_job)
            .max(MIN_RETRY_DELAY)
            .as_secs();
        Some(format!(
            "customer {customer} has {waiting} jobs waiting, the most allowed; retry in {wait} s"
        ))
    }
}

/// Workers for a job and the guarantee plan adjusted to that placement.
pub(super) struct AdjustedPlan {
    pub workers: Vec<WorkerName>,
    pub plan: GuaranteePlan,
}

/// Whether a class fits the declared zone when it is empty.
fn fits_declared(zone: &ZoneSettings, class: &JobClass) -> bool {
    let worker = TaskDemand {
        slots: zone.slots_per_worker,
        accelerators: zone.accelerators_per_worker,
        cores: zone.cores_per_worker,
        memory_mb: zone.memory_mb_per_worker,
    };
    let workers = match class.adjacency {
        BlockAdjacency::Worker => 1,
        BlockAdjacency::Rack => zone.workers_per_rack,
        BlockAdjacency::Zone => zone.racks * zone.workers_per_rack,
    };
    tasks_per_empty_worker(worker, &task_demand(class)).saturating_mul(workers) >= class.tasks
}

/// Returns how many tasks fit on an empty worker.
fn tasks_per_empty_worker(total: TaskDemand, demand: &TaskDemand) -> u32 {
    count_fitting(AcceleratorSet::block(0, total.accelerators), &total, demand)
}
