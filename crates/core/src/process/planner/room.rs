//! Placement on free capacity: which workers have room for a job, and which of
//! them leave the largest blocks to others.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::guarantee::add;
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity, subtract};
use crate::process::planner::schedule::{JobNeed, SchedulePass};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobPriority};

/// Part of its expected run time that a job may wait rather than break a rack that
/// is wholly free, where fragmentation alone counts.
const PATIENCE_SHARE: f64 = 0.1;
/// Longest such wait.
const PATIENCE_MAX: Duration = Duration::from_mins(10);

/// How a task would sit on a worker; the least is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RoomRank {
    /// Accelerators of other customers' blocks that the worker would have to use.
    foreign: u32,
    /// Whether a rack that is wholly free would be broken.
    breaks_rack: bool,
    /// Whether a worker that is wholly free would be broken.
    breaks_worker: bool,
    /// Adjacent accelerators left over beside the task.
    leftover: u32,
    /// Cores left over.
    cores: u32,
}

/// Outcome of a search for room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum RoomSearch {
    /// Workers of all members, in worker order.
    Found(Vec<WorkerName>),
    /// There is room, but the job waits a little rather than break a free rack.
    Patient,
    /// There is no room.
    Full,
}

/// Room for a job's tasks on one worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerRoom {
    pub name: WorkerName,
    pub rack: RackName,
    /// Tasks that fit; at least one.
    pub count: u32,
    pub rank: RoomRank,
}

impl PlannerState {
    /// Workers for all members of a job on free capacity, in worker order.
    pub(super) fn find_room(
        &mut self,
        now: MonotonicTime,
        need: &JobNeed,
        pass: &SchedulePass,
    ) -> RoomSearch {
        let whole = self.whole_racks();
        let rooms: Vec<WorkerRoom> = self
            .usable_workers(&need.class)
            .filter(|(name, _)| !need.avoided.contains(*name))
            .filter_map(|(name, capacity)| self.room(name, capacity, need, pass, &whole))
            .collect();
        self.work += self.workers.len() as u64;
        match choose_workers(&rooms, need) {
            Some((_, true)) if self.is_patient(now, need) => RoomSearch::Patient,
            Some((workers, _)) => RoomSearch::Found(workers),
            None if need.reclaimable => RoomSearch::Full,
            None => self.find_moved_room(need, pass),
        }
    }

    /// Room for a job that cannot be taken back, where guaranteed blocks move to
    /// other places to make way for it.
    fn find_moved_room(&mut self, need: &JobNeed, pass: &SchedulePass) -> RoomSearch {
        let open: BTreeMap<WorkerName, WorkerCapacity> = self
            .usable_workers(&need.class)
            .filter(|(name, _)| !need.avoided.contains(*name))
            .filter(|(name, _)| pass.kept_from(name, need.ends_by).next().is_none())
            .map(|(name, capacity)| (name.clone(), capacity.clone()))
            .collect();
        let view = self.zone_view();
        let Some(moved) = self.moved_plan(need, &open, &view) else {
            return RoomSearch::Full;
        };
        self.plan = moved.plan;
        RoomSearch::Found(moved.workers)
    }

    /// Workers for all members of a job in the empty zone, as the plan stands.
    pub(super) fn empty_room(
        &self,
        need: &JobNeed,
        empty: &BTreeMap<WorkerName, WorkerCapacity>,
    ) -> Option<Vec<WorkerName>> {
        let whole = BTreeSet::new();
        let pass = SchedulePass::default();
        let rooms: Vec<WorkerRoom> = empty
            .iter()
            .filter_map(|(name, capacity)| self.room(name, capacity, need, &pass, &whole))
            .collect();
        choose_workers(&rooms, need).map(|(workers, _)| workers)
    }

    /// Workers for all members of a job, whosever blocks are there; those with the
    /// smallest part of blocks first.
    pub(super) fn choose_any(
        &self,
        need: &JobNeed,
        capacities: &BTreeMap<WorkerName, WorkerCapacity>,
    ) -> Option<Vec<WorkerName>> {
        let rooms: Vec<WorkerRoom> = capacities
            .iter()
            .filter_map(|(name, capacity)| {
                let fitting = count_fitting(capacity.free, &capacity.spare, &need.demand);
                let others = self.plan.owned_by_others(name, &need.customer);
                let rank = RoomRank {
                    foreign: others.count(),
                    breaks_rack: false,
                    breaks_worker: capacity.holdings.is_empty(),
                    leftover: capacity.free.count(),
                    cores: capacity.spare.cores,
                };
                (fitting > 0).then(|| WorkerRoom {
                    name: name.clone(),
                    rack: capacity.record.rack.clone(),
                    count: fitting.min(need.class.tasks),
                    rank,
                })
            })
            .collect();
        choose_workers(&rooms, need).map(|(workers, _)| workers)
    }

    /// Racks on which nothing is held.
    fn whole_racks(&self) -> BTreeSet<RackName> {
        let mut whole = BTreeSet::new();
        let mut broken = BTreeSet::new();
        for capacity in self.ledger.workers().values() {
            let racks = if capacity.holdings.is_empty() {
                &mut whole
            } else {
                &mut broken
            };
            racks.insert(capacity.record.rack.clone());
        }
        whole.difference(&broken).cloned().collect()
    }

    /// Room for a job on one worker, less what is kept for others.
    fn room(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        need: &JobNeed,
        pass: &SchedulePass,
        whole: &BTreeSet<RackName>,
    ) -> Option<WorkerRoom> {
        let mut free = capacity.free;
        let mut spare = capacity.spare;
        for kept in pass.kept_from(name, need.ends_by) {
            free = free.difference(kept.accelerators);
            spare = subtract(spare, kept.demand);
        }
        let others = self.plan.owned_by_others(name, &need.customer);
        if !need.reclaimable {
            free = free.difference(others);
        }
        spare.accelerators = spare.accelerators.min(free.count());
        let mut count = count_fitting(free, &spare, &need.demand).min(need.class.tasks);
        if !need.reclaimable {
            count = self.count_pinned(name, capacity, need, count);
        }
        if count == 0 {
            return None;
        }
        let own = free.difference(others);
        let fits_own = own.best_block(need.demand.accelerators).is_some();
        let kept_run = if fits_own { own } else { free };
        let run = smallest_run(kept_run, need.demand.accelerators);
        let is_empty = capacity.holdings.is_empty();
        let rank = RoomRank {
            foreign: if fits_own {
                0
            } else {
                need.demand.accelerators
            },
            breaks_rack: is_empty && whole.contains(&capacity.record.rack),
            breaks_worker: is_empty && need.demand.accelerators < capacity.total().accelerators,
            leftover: run - need.demand.accelerators.min(run),
            cores: spare.cores,
        };
        Some(WorkerRoom {
            name: name.clone(),
            rack: capacity.record.rack.clone(),
            count,
            rank,
        })
    }

    /// How many tasks that cannot be taken back leave every customer its share.
    pub(super) fn count_pinned(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        need: &JobNeed,
        most: u32,
    ) -> u32 {
        let view = self.worker_view(capacity);
        let mut pinned = TaskDemand::default();
        for count in 0..most {
            pinned = add(pinned, need.demand);
            if !self
                .plan
                .leaves_shares(name, &view, Some((&need.customer, pinned)))
            {
                return count;
            }
        }
        most
    }

    /// Whether a job is to wait a little rather than break a free rack.
    fn is_patient(&self, now: MonotonicTime, need: &JobNeed) -> bool {
        let Some(entry) = self.jobs.get(&need.id) else {
            return false;
        };
        if need.class.priority == JobPriority::Urgent || need.class.accelerators == 0 {
            return false;
        }
        // Without a rack in use there is none that could take the job later.
        let mut workers = self.ledger.workers().values();
        if workers.all(|capacity| capacity.holdings.is_empty()) {
            return false;
        }
        let class = &entry.job.class;
        let expected = self
            .estimates
            .estimate(&need.customer, class, need.class.run_time);
        let share = PATIENCE_SHARE * (1.0 - self.settings.policy.weight);
        let patience = expected
            .median
            .mul_f64(share.clamp(0.0, 1.0))
            .min(PATIENCE_MAX);
        now.since(entry.accepted_at) < patience
    }
}

/// How many tasks fit into some free accelerators and resources.
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

/// The best workers for all members, and whether they break a free rack that the
/// job would not fill to half.
fn choose_workers(rooms: &[WorkerRoom], need: &JobNeed) -> Option<(Vec<WorkerName>, bool)> {
    let tasks = need.class.tasks;
    if tasks == 1 || need.class.adjacency == BlockAdjacency::Worker {
        let fitting = rooms.iter().filter(|room| room.count >= tasks);
        let best = fitting.min_by_key(|room| room.rank)?;
        let workers = vec![best.name.clone(); tasks as usize];
        return Some((workers, best.rank.breaks_rack));
    }
    let mut racks: BTreeMap<&RackName, Vec<&WorkerRoom>> = BTreeMap::new();
    for room in rooms {
        racks.entry(&room.rack).or_default().push(room);
    }
    let count = |rooms: &[&WorkerRoom]| rooms.iter().map(|room| room.count).sum::<u32>();
    let fitting = racks.values().filter(|rooms| count(rooms) >= tasks);
    let best = fitting.min_by_key(|rooms| {
        let foreign: u32 = fill(rooms, tasks)
            .iter()
            .map(|(room, n)| room.rank.foreign * n)
            .sum();
        (foreign, count(rooms))
    });
    if let Some(rooms) = best {
        let breaks = rooms.iter().any(|room| room.rank.breaks_rack);
        let half = count(rooms) / 2;
        return Some((names(&fill(rooms, tasks)), breaks && tasks < half));
    }
    if need.class.adjacency == BlockAdjacency::Rack {
        return None;
    }
    let mut by_size: Vec<&Vec<&WorkerRoom>> = racks.values().collect();
    by_size.sort_by_key(|rooms| std::cmp::Reverse(count(rooms)));
    let mut filled = Vec::new();
    let mut missing = tasks;
    for rooms in by_size {
        let part = fill(rooms, missing);
        missing -= part.iter().map(|(_, n)| n).sum::<u32>();
        filled.extend(part);
        if missing == 0 {
            return Some((names(&filled), false));
        }
    }
    None
}

/// Tasks on the best workers of a rack, at most `tasks`.
fn fill<'a>(rooms: &[&'a WorkerRoom], tasks: u32) -> Vec<(&'a WorkerRoom, u32)> {
    let mut ordered = rooms.to_vec();
    ordered.sort_by_key(|room| room.rank);
    let mut missing = tasks;
    let mut filled = Vec::new();
    for room in ordered {
        let count = room.count.min(missing);
        missing -= count;
        if count > 0 {
            filled.push((room, count));
        }
    }
    filled
}

fn names(filled: &[(&WorkerRoom, u32)]) -> Vec<WorkerName> {
    let mut workers: Vec<WorkerName> = filled
        .iter()
        .flat_map(|(room, count)| std::iter::repeat_n(room.name.clone(), *count as usize))
        .collect();
    workers.sort();
    workers
}
