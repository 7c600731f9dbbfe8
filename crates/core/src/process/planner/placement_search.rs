//! Placement on free capacity: finds the workers on which a job fits and prefers
//! those that leave the largest blocks free for other jobs.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::guarantee::add;
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity, subtract};
use crate::process::planner::schedule::{JobDemand, SchedulePass};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobPriority};

/// Share of its expected run time for which a job may wait to avoid placing part of
/// a wholly free rack. It applies in full at policy weight 0, where only
/// fragmentation counts.
const MAX_DEFERRAL_SHARE: f64 = 0.1;
/// Longest time for which a job waits to avoid using a wholly free rack.
const MAX_DEFERRAL: Duration = Duration::from_mins(10);

/// Cost of placing a task on a worker; the smallest is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PlacementRank {
    /// Accelerators in other customers' blocks that the placement would use.
    foreign: u32,
    /// Whether the placement would use part of a wholly free rack.
    breaks_rack: bool,
    /// Whether the placement would use part of a wholly free worker.
    breaks_worker: bool,
    /// Adjacent accelerators that would stay free beside the task.
    leftover: u32,
    /// Spare cores of the worker before the placement.
    cores: u32,
}

/// Outcome of a search for free capacity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PlacementSearch {
    /// Workers of all members, in worker order.
    Found(Vec<WorkerName>),
    /// The job fits, but waits for a while to avoid using part of a free rack.
    Deferred,
    /// The job does not fit.
    NoCapacity,
}

/// Free capacity for a job's tasks on one worker.
#[derive(Clone, Debug)]
pub(super) struct FreeCapacity {
    pub name: WorkerName,
    pub rack: RackName,
    /// Number of tasks that fit; at least one.
    pub count: u32,
    pub rank: PlacementRank,
}

impl PlannerState {
    /// Finds workers with free capacity for all members of a job, in worker order.
    pub(super) fn find_placement(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        pass: &SchedulePass,
    ) -> PlacementSearch {
        let idle = self.idle_racks();
        let options: Vec<FreeCapacity> = self
            .usable_workers(&job.class)
            .filter(|(name, _)| !job.avoided.contains(*name))
            .filter_map(|(name, capacity)| self.free_capacity(name, capacity, job, pass, &idle))
            .collect();
        self.placement_steps += self.workers.len() as u64;
        match choose_workers(&options, job) {
            Some((_, true)) if self.should_defer(now, job) => PlacementSearch::Deferred,
            Some((workers, _)) => PlacementSearch::Found(workers),
            None if job.reclaimable => PlacementSearch::NoCapacity,
            None => self.find_placement_moving_blocks(job, pass),
        }
    }

    /// Finds workers for a job that is not reclaimable by moving guaranteed blocks to
    /// other accelerators.
    fn find_placement_moving_blocks(
        &mut self,
        job: &JobDemand,
        pass: &SchedulePass,
    ) -> PlacementSearch {
        let open: BTreeMap<WorkerName, WorkerCapacity> = self
            .usable_workers(&job.class)
            .filter(|(name, _)| !job.avoided.contains(*name))
            .filter(|(name, _)| pass.reserved_against(name, job.ends_by).next().is_none())
            .map(|(name, capacity)| (name.clone(), capacity.clone()))
            .collect();
        let view = self.zone_view();
        let Some(adjusted) = self.adjust_plan_for(job, &open, &view) else {
            return PlacementSearch::NoCapacity;
        };
        self.plan = adjusted.plan;
        PlacementSearch::Found(adjusted.workers)
    }

    /// Returns workers for all members of a job in an empty zone under the current plan.
    pub(super) fn place_in_empty_zone(
        &self,
        job: &JobDemand,
        empty: &BTreeMap<WorkerName, WorkerCapacity>,
    ) -> Option<Vec<WorkerName>> {
        let idle = BTreeSet::new();
        let pass = SchedulePass::default();
        let options: Vec<FreeCapacity> = empty
            .iter()
            .filter_map(|(name, capacity)| self.free_capacity(name, capacity, job, &pass, &idle))
            .collect();
        choose_workers(&options, job).map(|(workers, _)| workers)
    }

    /// Returns workers for all members of a job regardless of other customers'
    /// blocks; workers with the fewest accelerators in such blocks come first.
    pub(super) fn choose_ignoring_blocks(
        &self,
        job: &JobDemand,
        capacities: &BTreeMap<WorkerName, WorkerCapacity>,
    ) -> Option<Vec<WorkerName>> {
        let options: Vec<FreeCapacity> = capacities
            .iter()
            .filter_map(|(name, capacity)| {
                let fitting = count_fitting(capacity.free, &capacity.spare, &job.demand);
                let others = self.plan.owned_by_others(name, &job.customer);
                let rank = PlacementRank {
                    foreign: others.count(),
                    breaks_rack: false,
                    breaks_worker: capacity.holdings.is_empty(),
                    leftover: capacity.free.count(),
                    cores: capacity.spare.cores,
                };
                (fitting > 0).then(|| FreeCapacity {
                    name: name.clone(),
                    rack: capacity.record.rack.clone(),
                    count: fitting.min(job.class.tasks),
                    rank,
                })
            })
            .collect();
        choose_workers(&options, job).map(|(workers, _)| workers)
    }

    /// Returns the racks on which no resources are held.
    fn idle_racks(&self) -> BTreeSet<RackName> {
        let mut idle = BTreeSet::new();
        let mut busy = BTreeSet::new();
        for capacity in self.ledger.workers().values() {
            let racks = if capacity.holdings.is_empty() {
                &mut idle
            } else {
                &mut busy
            };
            racks.insert(capacity.record.rack.clone());
        }
        idle.difference(&busy).cloned().collect()
    }

    /// Returns the free capacity for a job on one worker, less what is reserved for
    /// other jobs, or `None` if no task fits.
    fn free_capacity(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        job: &JobDemand,
        pass: &SchedulePass,
        idle: &BTreeSet<RackName>,
    ) -> Option<FreeCapacity> {
        let mut free = capacity.free;
        let mut spare = capacity.spare;
        for reserved in pass.reserved_against(name, job.ends_by) {
            free = free.difference(reserved.accelerators);
            spare = subtract(spare, reserved.demand);
        }
        let others = self.plan.owned_by_others(name, &job.customer);
        if !job.reclaimable {
            free = free.difference(others);
        }
        spare.accelerators = spare.accelerators.min(free.count());
        let mut count = count_fitting(free, &spare, &job.demand).min(job.class.tasks);
        if !job.reclaimable {
            count = self.count_pinned(name, capacity, job, count);
        }
        if count == 0 {
            return None;
        }
        let own = free.difference(others);
        let fits_own = own.best_block(job.demand.accelerators).is_some();
        let chosen_set = if fits_own { own } else { free };
        let run = smallest_run(chosen_set, job.demand.accelerators);
        let is_empty = capacity.holdings.is_empty();
        let rank = PlacementRank {
            foreign: if fits_own { 0 } else { job.demand.accelerators },
            breaks_rack: is_empty && idle.contains(&capacity.record.rack),
            breaks_worker: is_empty && job.demand.accelerators < capacity.total().accelerators,
            leftover: run - job.demand.accelerators.min(run),
            cores: spare.cores,
        };
        Some(FreeCapacity {
            name: name.clone(),
            rack: capacity.record.rack.clone(),
            count,
            rank,
        })
    }

    /// Returns how many tasks of a job that is not reclaimable, at most `max_count`, fit
    /// while every customer keeps the share of the worker that goes with its blocks.
    pub(super) fn count_pinned(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        job: &JobDemand,
        max_count: u32,
    ) -> u32 {
        let view = self.worker_view(capacity);
        let mut pinned = TaskDemand::default();
        for count in 0..max_count {
            pinned = add(pinned, job.demand);
            if !self
                .plan
                .leaves_shares(name, &view, Some((&job.customer, pinned)))
            {
                return count;
            }
        }
        max_count
    }

    /// Returns whether a job should wait to avoid using part of a free rack.
    fn should_defer(&self, now: MonotonicTime, job: &JobDemand) -> bool {
        let Some(entry) = self.jobs.get(&job.id) else {
            return false;
        };
        if job.class.priority == JobPriority::Urgent || job.class.accelerators == 0 {
            return false;
        }
        // If every rack is free, waiting for capacity on a rack in use is pointless.
        let mut workers = self.ledger.workers().values();
        if workers.all(|capacity| capacity.holdings.is_empty()) {
            return false;
        }
        let class = &entry.job.class;
        let expected = self
            .estimates
            .estimate(&job.customer, class, job.class.run_time);
        let share = MAX_DEFERRAL_SHARE * (1.0 - self.settings.policy.weight);
        let deferral = expected
            .median
            .mul_f64(share.clamp(0.0, 1.0))
            .min(MAX_DEFERRAL);
        now.since(entry.accepted_at) < deferral
    }
}

/// Returns how many tasks fit into the given free accelerators and resources.
pub(super) fn count_fitting(free: AcceleratorSet, spare: &TaskDemand, demand: &TaskDemand) -> u32 {
    let blocks = if demand.accelerators == 0 {
        u32::MAX
    } else {
        free.runs()
            .iter()
            .map(|run| run.length / demand.accelerators)
            .sum()
    };
    let memory = spare
        .memory_mb
        .checked_div(demand.memory_mb)
        .unwrap_or(u64::from(u32::MAX));
    blocks
        .min(
            spare
                .accelerators
                .checked_div(demand.accelerators)
                .unwrap_or(u32::MAX),
        )
        .min(spare.slots.checked_div(demand.slots).unwrap_or(u32::MAX))
        .min(spare.cores.checked_div(demand.cores).unwrap_or(u32::MAX))
        .min(u32::try_from(memory).unwrap_or(u32::MAX))
}

fn smallest_run(free: AcceleratorSet, count: u32) -> u32 {
    let runs = free.runs();
    let lengths = runs
        .iter()
        .map(|run| run.length)
        .filter(|length| *length >= count);
    if count == 0 {
        return free.count();
    }
    lengths.min().unwrap_or(count)
}

/// Returns the best workers for all members, and whether the placement breaks up a
/// free rack. A gang over several workers breaks up a rack only if it fills less
/// than half of the rack's free capacity.
fn choose_workers(options: &[FreeCapacity], job: &JobDemand) -> Option<(Vec<WorkerName>, bool)> {
    let tasks = job.class.tasks;
    if tasks == 1 || job.class.adjacency == BlockAdjacency::Worker {
        let fitting = options.iter().filter(|option| option.count >= tasks);
        let best = fitting.min_by_key(|option| option.rank)?;
        let workers = vec![best.name.clone(); tasks as usize];
        return Some((workers, best.rank.breaks_rack));
    }
    let mut racks: BTreeMap<&RackName, Vec<&FreeCapacity>> = BTreeMap::new();
    for option in options {
        racks.entry(&option.rack).or_default().push(option);
    }
    let count = |options: &[&FreeCapacity]| options.iter().map(|option| option.count).sum::<u32>();
    let fitting = racks.values().filter(|options| count(options) >= tasks);
    let best = fitting.min_by_key(|options| {
        let foreign: u32 = fill(options, tasks)
            .iter()
            .map(|(option, n)| option.rank.foreign * n)
            .sum();
        (foreign, count(options))
    });
    if let Some(options) = best {
        let breaks = options.iter().any(|option| option.rank.breaks_rack);
        let half = count(options) / 2;
        return Some((names(&fill(options, tasks)), breaks && tasks < half));
    }
    if job.class.adjacency == BlockAdjacency::Rack {
        return None;
    }
    let mut by_size: Vec<&Vec<&FreeCapacity>> = racks.values().collect();
    by_size.sort_by_key(|options| std::cmp::Reverse(count(options)));
    let mut filled = Vec::new();
    let mut missing = tasks;
    for options in by_size {
        let part = fill(options, missing);
        missing -= part.iter().map(|(_, n)| n).sum::<u32>();
        filled.extend(part);
        if missing == 0 {
            return Some((names(&filled), false));
        }
    }
    None
}

/// Distributes at most `tasks` tasks over the workers of a rack, best workers first.
fn fill<'a>(options: &[&'a FreeCapacity], tasks: u32) -> Vec<(&'a FreeCapacity, u32)> {
    let mut ordered = options.to_vec();
    ordered.sort_by_key(|option| option.rank);
    let mut missing = tasks;
    let mut filled = Vec::new();
    for option in ordered {
        let count = option.count.min(missing);
        missing -= count;
        if count > 0 {
            filled.push((option, count));
        }
    }
    filled
}

fn names(filled: &[(&FreeCapacity, u32)]) -> Vec<WorkerName> {
    let mut workers: Vec<WorkerName> = filled
        .iter()
        .flat_map(|(option, count)| std::iter::repeat_n(option.name.clone(), *count as usize))
        .collect();
    workers.sort();
    workers
}
