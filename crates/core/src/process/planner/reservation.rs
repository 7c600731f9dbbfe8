//! Space kept for a job that fits nowhere yet. It is where the job will fit first,
//! as far as run times can be told. Jobs that end before may use it; once the job
//! is older than the age bound nobody may, and the place stays the same, so nothing
//! can push the job back for ever.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::guarantee::add;
use crate::process::planner::job_entry::JobStage;
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity, subtract};
use crate::process::planner::placement_search::count_fitting;
use crate::process::planner::reclaim::run_time;
use crate::process::planner::schedule::{JobDemand, ReservedCapacity, SchedulePass};
use crate::process::planner::state::PlannerState;
use crate::version::settings::BlockAdjacency;

/// A time at which a worker will have room for a number of tasks.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct DrainStep {
    at: MonotonicTime,
    worker: WorkerName,
    count: u32,
}

/// Where and when a job will fit.
#[derive(Clone, Debug)]
struct DrainChoice {
    at: MonotonicTime,
    counts: BTreeMap<WorkerName, u32>,
}

impl PlannerState {
    /// Keeps space for a job where it will fit first. Whether there is any.
    pub(super) fn reserve_capacity(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        pass: &mut SchedulePass,
    ) -> bool {
        let Some(entry) = self.jobs.get(&job.id) else {
            return false;
        };
        let is_aged = now.since(entry.accepted_at) >= self.settings.policy.gang_age_bound;
        let chosen = entry.reserved_on.clone();
        let mut choice = None;
        if is_aged && !chosen.is_empty() {
            choice = self.find_drain(now, job, pass, Some(&chosen));
        }
        let Some(choice) = choice.or_else(|| self.find_drain(now, job, pass, None)) else {
            return false;
        };
        self.placement_steps += self.workers.len() as u64;
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.reserved_on = choice.counts.keys().cloned().collect();
        }
        let until = if is_aged { None } else { Some(choice.at) };
        for (worker, count) in choice.counts {
            if let Some(space) = self.drain_space(now, job, &worker, count, choice.at) {
                pass.reserve(worker, ReservedCapacity { until, ..space });
            }
        }
        true
    }

    /// The earliest time at which all members fit, on the given workers or any.
    fn find_drain(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        pass: &SchedulePass,
        among: Option<&BTreeSet<WorkerName>>,
    ) -> Option<DrainChoice> {
        let mut domains: BTreeMap<&str, Vec<DrainStep>> = BTreeMap::new();
        for (name, capacity) in self.usable_workers(&job.class) {
            if among.is_some_and(|among| !among.contains(name)) || job.avoided.contains(name) {
                continue;
            }
            if pass.reserved_against(name, job.ends_by).next().is_some() {
                continue;
            }
            let domain = match job.class.adjacency {
                BlockAdjacency::Worker => name.as_str(),
                BlockAdjacency::Rack => capacity.record.rack.as_str(),
                BlockAdjacency::Zone => "",
            };
            let steps = self.drain_steps(now, job, name, capacity);
            domains.entry(domain).or_default().extend(steps);
        }
        let choices = domains
            .into_values()
            .filter_map(|steps| first_fitting(job, steps));
        choices.min_by_key(|choice| choice.at)
    }

    /// Times at which a worker gets room for more tasks.
    fn drain_steps(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        name: &WorkerName,
        capacity: &WorkerCapacity,
    ) -> Vec<DrainStep> {
        let mut ends: Vec<(MonotonicTime, AcceleratorSet, TaskDemand)> = capacity
            .holdings
            .iter()
            .map(|(key, holding)| {
                let end = self.expected_end(now, &key.job);
                (end, holding.accelerators, holding.demand)
            })
            .collect();
        ends.sort_by_key(|(end, ..)| *end);
        let mut free = capacity.free;
        let mut spare = capacity.spare;
        let mut steps = Vec::new();
        let mut most = 0;
        let others = self.plan.owned_by_others(name, &job.customer);
        let initial = std::iter::once((now, AcceleratorSet::default(), TaskDemand::default()));
        for (at, accelerators, demand) in initial.chain(ends) {
            free = free.union(accelerators);
            spare = add(spare, demand);
            let open = if job.reclaimable {
                free
            } else {
                free.difference(others)
            };
            let count = count_fitting(open, &spare, &job.demand).min(job.class.tasks);
            if count > most {
                most = count;
                steps.push(DrainStep {
                    at,
                    worker: name.clone(),
                    count,
                });
            }
        }
        steps
    }

    /// When a job will have ended, as half of the runs do. One that has exceeded
    /// this is expected to take as long again as it has taken beyond it.
    fn expected_end(&self, now: MonotonicTime, id: &JobId) -> MonotonicTime {
        let Some(entry) = self.jobs.get(id) else {
            return now;
        };
        let Some(class) = &entry.class else {
            return now;
        };
        if matches!(entry.stage, JobStage::Stopping(_)) {
            return now;
        }
        let customer = &entry.job.customer;
        let estimate = self
            .estimates
            .estimate(customer, &entry.job.class, class.run_time);
        let run = run_time(now, entry);
        let left = estimate.median.saturating_sub(run);
        if left.is_zero() {
            now + run.saturating_sub(estimate.median)
        } else {
            now + left
        }
    }

    /// The space on a worker that a number of tasks will take at a time.
    fn drain_space(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        worker: &WorkerName,
        count: u32,
        at: MonotonicTime,
    ) -> Option<ReservedCapacity> {
        let capacity = self.ledger.worker(worker)?;
        let mut open = capacity.free;
        let mut ending = TaskDemand::default();
        for (key, holding) in &capacity.holdings {
            if self.expected_end(now, &key.job) <= at {
                open = open.union(holding.accelerators);
                ending = add(ending, holding.demand);
            }
        }
        let mut accelerators = AcceleratorSet::default();
        let mut demand = TaskDemand::default();
        for _ in 0..count {
            demand = add(demand, job.demand);
            let block = open.best_block(job.demand.accelerators).unwrap_or_default();
            open = open.difference(block);
            accelerators = accelerators.union(block);
        }
        Some(ReservedCapacity {
            accelerators,
            demand: subtract(demand, ending),
            until: None,
            is_claim: false,
        })
    }
}

/// The earliest steps of one domain that together take every member.
fn first_fitting(job: &JobDemand, mut steps: Vec<DrainStep>) -> Option<DrainChoice> {
    steps.sort();
    let mut counts: BTreeMap<WorkerName, u32> = BTreeMap::new();
    let mut total = 0;
    for step in steps {
        let count = counts.entry(step.worker).or_default();
        total += step.count - *count;
        *count = step.count;
        if total >= job.class.tasks {
            return Some(DrainChoice {
                at: step.at,
                counts,
            });
        }
    }
    None
}
