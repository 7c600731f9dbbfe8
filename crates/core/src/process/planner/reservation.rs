//! Backfill reservations: capacity reserved for a job that does not fit yet. It is
//! reserved where the job is estimated to fit first. Jobs that end before that time
//! may use it. Once the job is older than the age bound, no other job may use it and
//! its workers stay the same, so that the job cannot starve.

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

/// Time from which a number of tasks fit on a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CapacityStep {
    at: MonotonicTime,
    worker: WorkerName,
    count: u32,
}

/// Where and when a job is expected to fit.
#[derive(Clone, Debug)]
struct ReservationChoice {
    at: MonotonicTime,
    counts: BTreeMap<WorkerName, u32>,
}

impl PlannerState {
    /// Reserves capacity for a job where it will fit first. Returns false if it fits
    /// nowhere.
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
        let previous = entry.reserved_on.clone();
        let mut choice = None;
        if is_aged && !previous.is_empty() {
            choice = self.find_reservation(now, job, pass, Some(&previous));
        }
        let Some(choice) = choice.or_else(|| self.find_reservation(now, job, pass, None)) else {
            return false;
        };
        self.placement_steps += self.workers.len() as u64;
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.reserved_on = choice.counts.keys().cloned().collect();
        }
        let until = if is_aged { None } else { Some(choice.at) };
        for (worker, count) in choice.counts {
            if let Some(reservation) = self.capacity_at(now, job, &worker, count, choice.at) {
                pass.reserve(
                    worker,
                    ReservedCapacity {
                        until,
                        ..reservation
                    },
                );
            }
        }
        true
    }

    /// Returns the earliest time at which all members fit, on the allowed workers or, if
    /// `allowed` is `None`, on any.
    fn find_reservation(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        pass: &SchedulePass,
        allowed: Option<&BTreeSet<WorkerName>>,
    ) -> Option<ReservationChoice> {
        let mut domains: BTreeMap<&str, Vec<CapacityStep>> = BTreeMap::new();
        for (name, capacity) in self.usable_workers(&job.class) {
            if allowed.is_some_and(|allowed| !allowed.contains(name)) || job.avoided.contains(name)
            {
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
            let steps = self.capacity_steps(now, job, name, capacity);
            domains.entry(domain).or_default().extend(steps);
        }
        let choices = domains
            .into_values()
            .filter_map(|steps| first_fitting(job, steps));
        choices.min_by_key(|choice| choice.at)
    }

    /// Returns the times at which more tasks fit on a worker.
    fn capacity_steps(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        name: &WorkerName,
        capacity: &WorkerCapacity,
    ) -> Vec<CapacityStep> {
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
        let mut max_count = 0;
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
            if count > max_count {
                max_count = count;
                steps.push(CapacityStep {
                    at,
                    worker: name.clone(),
                    count,
                });
            }
        }
        steps
    }

    /// Returns when a job is expected to end, by its median run time. A job that has
    /// exceeded the median is expected to run on for as long as it has exceeded it.
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

    /// Returns the capacity of a worker that `count` tasks will use from the time `at`.
    fn capacity_at(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        worker: &WorkerName,
        count: u32,
        at: MonotonicTime,
    ) -> Option<ReservedCapacity> {
        let capacity = self.ledger.worker(worker)?;
        let mut open = capacity.free;
        let mut released = TaskDemand::default();
        for (key, holding) in &capacity.holdings {
            if self.expected_end(now, &key.job) <= at {
                open = open.union(holding.accelerators);
                released = add(released, holding.demand);
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
            demand: subtract(demand, released),
            until: None,
            is_claim: false,
        })
    }
}

/// Returns the earliest steps of one placement domain that together fit every member.
fn first_fitting(job: &JobDemand, mut steps: Vec<CapacityStep>) -> Option<ReservationChoice> {
    steps.sort();
    let mut counts: BTreeMap<WorkerName, u32> = BTreeMap::new();
    let mut total = 0;
    for step in steps {
        let count = counts.entry(step.worker).or_default();
        total += step.count - *count;
        *count = step.count;
        if total >= job.class.tasks {
            return Some(ReservationChoice {
                at: step.at,
                counts,
            });
        }
    }
    None
}
