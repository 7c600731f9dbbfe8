//! Claims on guarantees. A job that finds no free room takes back its customer's
//! own blocks from work that can be stopped; urgent jobs also take what others
//! borrow. Victims are those that lose least work, then the newest, then those of
//! the customer that borrows most.

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::event::TaskKey;
use crate::process::planner::guarantee::{add, share_of};
use crate::process::planner::job_entry::{JobEntry, JobStage, StopPurpose};
use crate::process::planner::ledger::{
    AcceleratorSet, TaskHolding, WorkerCapacity, covers, subtract,
};
use crate::process::planner::schedule::{JobDemand, ReservedCapacity, SchedulePass};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobPriority};

/// What stopping some jobs costs; the least is best.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct VictimCost {
    /// Accelerator seconds of work that is lost.
    lost: u64,
    /// Seconds that the jobs have run.
    run: u64,
    /// Shares over guarantee of their customers, negated.
    unborrowed: i64,
}

/// A holding that may be taken.
#[derive(Clone, Debug)]
struct TakenHolding {
    job: JobId,
    accelerators: AcceleratorSet,
    demand: TaskDemand,
}

/// One worker while members are placed on it.
#[derive(Clone, Debug)]
struct ClaimRoom {
    name: WorkerName,
    rack: RackName,
    /// Free accelerators that nothing is kept on, less those placed on so far.
    free: AcceleratorSet,
    spare: TaskDemand,
    takeable: Vec<TakenHolding>,
    /// Most members it may take.
    most: u32,
}

/// Where one member would go, and at whose expense.
#[derive(Clone, Debug)]
struct MemberSpot {
    cost: VictimCost,
    accelerators: AcceleratorSet,
    victims: BTreeSet<JobId>,
}

/// What a claim came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ClaimOutcome {
    /// There is nothing to claim.
    None,
    /// What the job needs is being cleared.
    Clearing,
    /// These workers have room, kept for others on the customer's own blocks.
    Free(Vec<WorkerName>),
}

/// A way to place every member.
#[derive(Clone, Debug)]
struct ClaimChoice {
    cost: VictimCost,
    spots: Vec<ClaimSpot>,
    victims: BTreeSet<JobId>,
}

/// One member's place.
#[derive(Clone, Debug)]
struct ClaimSpot {
    worker: WorkerName,
    accelerators: AcceleratorSet,
}

impl PlannerState {
    /// Takes back what a job may claim, and keeps its space meanwhile.
    pub(super) fn claim(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        pass: &mut SchedulePass,
        actions: &mut Vec<PlannerAction>,
    ) -> ClaimOutcome {
        let is_urgent = job.class.priority == JobPriority::Urgent;
        if !is_urgent && !self.plan.has_blocks(&job.customer) {
            return ClaimOutcome::None;
        }
        let rooms = self.claim_rooms(job, pass);
        let Some(choice) = self.choose_claim(now, job, &rooms) else {
            return ClaimOutcome::None;
        };
        if choice.victims.is_empty() {
            let mut workers: Vec<WorkerName> =
                choice.spots.into_iter().map(|spot| spot.worker).collect();
            workers.sort();
            return ClaimOutcome::Free(workers);
        }
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.claimed = choice
                .spots
                .iter()
                .map(|spot| spot.worker.clone())
                .collect();
        }
        for spot in choice.spots {
            let space = ReservedCapacity {
                accelerators: spot.accelerators,
                demand: job.demand,
                until: None,
                is_claim: true,
            };
            pass.reserve(spot.worker, space);
        }
        for victim in &choice.victims {
            self.stop_job(now, victim, StopPurpose::Retry, actions);
        }
        ClaimOutcome::Clearing
    }

    fn claim_rooms(&self, job: &JobDemand, pass: &SchedulePass) -> Vec<ClaimRoom> {
        self.usable_workers(&job.class)
            .filter(|(name, _)| !job.avoided.contains(*name))
            .map(|(name, capacity)| self.claim_room(name, capacity, job, pass))
            .filter(|room| room.most > 0)
            .collect()
    }

    fn claim_room(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        job: &JobDemand,
        pass: &SchedulePass,
    ) -> ClaimRoom {
        let mut reserved_set = AcceleratorSet::default();
        let mut spare = capacity.spare;
        let own = self.plan.owned_by(name, &job.customer);
        for reserved in pass.reserved_against(name, job.ends_by) {
            let on_own = reserved.accelerators.intersection(own);
            if !reserved.is_claim && !on_own.is_empty() {
                reserved_set = reserved_set.union(reserved.accelerators.difference(own));
                continue;
            }
            reserved_set = reserved_set.union(reserved.accelerators);
            spare = subtract(spare, reserved.demand);
        }
        if !job.reclaimable {
            reserved_set = reserved_set.union(self.plan.owned_by_others(name, &job.customer));
        }
        let mut owed = BTreeMap::new();
        let takeable = capacity
            .holdings
            .iter()
            .filter(|(_, holding)| holding.accelerators.intersection(reserved_set).is_empty())
            .filter(|(key, holding)| self.may_take(name, capacity, job, key, holding, &mut owed))
            .map(|(key, holding)| TakenHolding {
                job: key.job.clone(),
                accelerators: holding.accelerators,
                demand: holding.demand,
            })
            .collect();
        let most = if job.reclaimable {
            job.class.tasks
        } else {
            self.count_pinned(name, capacity, job, job.class.tasks)
        };
        ClaimRoom {
            name: name.clone(),
            rack: capacity.record.rack.clone(),
            free: capacity.free.difference(reserved_set),
            spare,
            takeable,
            most,
        }
    }

    /// Whether a job may take a holding: on its customer's own blocks from anybody
    /// else; an urgent one also what is borrowed, and lower work of its customer.
    /// `owed` keeps, for this worker, which customers hold no more than is theirs.
    fn may_take<'a>(
        &'a self,
        worker: &WorkerName,
        capacity: &WorkerCapacity,
        job: &JobDemand,
        key: &TaskKey,
        holding: &TaskHolding,
        owed: &mut BTreeMap<&'a CustomerName, bool>,
    ) -> bool {
        let Some(victim) = self.job_of(key) else {
            return true;
        };
        if matches!(victim.stage, JobStage::Stopping(_)) {
            return true;
        }
        let Some(class) = &victim.class else {
            return false;
        };
        if !self.is_reclaimable(class) {
            return false;
        }
        let customer = &victim.job.customer;
        let is_urgent =
            job.class.priority == JobPriority::Urgent && class.priority > JobPriority::Urgent;
        if *customer == job.customer {
            return is_urgent;
        }
        let own = self.plan.owned_by(worker, &job.customer);
        let theirs = self.plan.owned_by(worker, customer);
        if holding.accelerators.is_empty() {
            let is_owed = *owed
                .entry(customer)
                .or_insert_with(|| self.is_within_share(capacity, customer, theirs.count()));
            return !is_owed && (is_urgent || !own.is_empty());
        }
        let is_on_own = !holding.accelerators.intersection(own).is_empty();
        let is_borrowed = holding.accelerators.intersection(theirs).is_empty()
            && self.share_over_guarantee(customer) > 0;
        is_on_own || (is_urgent && is_borrowed)
    }

    /// Whether a customer holds no more of a worker than goes with its blocks.
    fn is_within_share(
        &self,
        capacity: &WorkerCapacity,
        customer: &CustomerName,
        owned: u32,
    ) -> bool {
        let mut used = TaskDemand::default();
        for (key, holding) in &capacity.holdings {
            if self
                .job_of(key)
                .is_some_and(|entry| entry.job.customer == *customer)
            {
                used = add(used, holding.demand);
            }
        }
        covers(&share_of(capacity.total(), owned), &used)
    }

    /// The cheapest way to place every member as close as the class asks.
    fn choose_claim(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        rooms: &[ClaimRoom],
    ) -> Option<ClaimChoice> {
        self.placement_steps += rooms.len() as u64;
        let mut domains: BTreeMap<&str, Vec<&ClaimRoom>> = BTreeMap::new();
        for room in rooms {
            let domain = match job.class.adjacency {
                BlockAdjacency::Worker => room.name.as_str(),
                BlockAdjacency::Rack => room.rack.as_str(),
                BlockAdjacency::Zone => "",
            };
            domains.entry(domain).or_default().push(room);
        }
        let choices = domains
            .values()
            .filter_map(|rooms| self.claim_in(now, job, rooms));
        choices.min_by_key(|choice| choice.cost)
    }

    fn claim_in(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        rooms: &[&ClaimRoom],
    ) -> Option<ClaimChoice> {
        let mut rooms: Vec<ClaimRoom> = rooms.iter().map(|room| (*room).clone()).collect();
        let mut choice = ClaimChoice {
            cost: VictimCost::default(),
            spots: Vec::new(),
            victims: BTreeSet::new(),
        };
        let mut spots: Vec<Option<MemberSpot>> = rooms
            .iter()
            .map(|room| self.member_spot(now, job, room))
            .collect();
        for _ in 0..job.class.tasks {
            let best = spots
                .iter()
                .enumerate()
                .filter_map(|(index, spot)| spot.as_ref().map(|spot| (spot.cost, index)));
            let (_, index) = best.min()?;
            let spot = spots[index].take()?;
            choice.cost = choice.cost.plus(spot.cost);
            let room = &mut rooms[index];
            room.occupy(job, &spot);
            choice.spots.push(ClaimSpot {
                worker: room.name.clone(),
                accelerators: spot.accelerators,
            });
            let fresh = spot.victims.iter().any(|job| !choice.victims.contains(job));
            choice.victims.extend(spot.victims);
            if fresh {
                free_victims(&mut rooms, &choice.victims);
                spots = rooms
                    .iter()
                    .map(|room| self.member_spot(now, job, room))
                    .collect();
            } else {
                spots[index] = self.member_spot(now, job, &rooms[index]);
            }
        }
        Some(choice)
    }

    /// The cheapest place for one member on a worker.
    fn member_spot(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        room: &ClaimRoom,
    ) -> Option<MemberSpot> {
        let size = job.demand.accelerators;
        if room.most == 0 {
            return None;
        }
        let takeable = room.takeable.iter();
        let open = takeable.fold(room.free, |open, taken| open.union(taken.accelerators));
        let windows = open.runs().into_iter().flat_map(|run| {
            let count = if size == 0 {
                1
            } else {
                (run.length + 1).saturating_sub(size)
            };
            (run.first..run.first + count).map(|first| AcceleratorSet::block(first, size))
        });
        let windows: Vec<AcceleratorSet> = if size == 0 {
            vec![AcceleratorSet::default()]
        } else {
            windows.collect()
        };
        let spots = windows
            .into_iter()
            .filter_map(|window| self.spot_at(now, job, room, window));
        spots.min_by_key(|spot| spot.cost)
    }

    fn spot_at(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        room: &ClaimRoom,
        window: AcceleratorSet,
    ) -> Option<MemberSpot> {
        let mut spare = room.spare;
        spare.accelerators = job.demand.accelerators;
        let mut victims = BTreeSet::new();
        let hits = |taken: &&TakenHolding| !taken.accelerators.intersection(window).is_empty();
        for taken in room.takeable.iter().filter(hits) {
            spare = add(spare, taken.demand);
            victims.insert(taken.job.clone());
        }
        let mut others: Vec<&TakenHolding> =
            room.takeable.iter().filter(|taken| !hits(taken)).collect();
        others.sort_by_key(|taken| self.victim_cost(now, &taken.job));
        for taken in others {
            if covers(&spare, &job.demand) {
                break;
            }
            spare = add(spare, taken.demand);
            victims.insert(taken.job.clone());
        }
        if !covers(&spare, &job.demand) {
            return None;
        }
        let costs = victims.iter().map(|job| self.victim_cost(now, job));
        Some(MemberSpot {
            cost: costs.fold(VictimCost::default(), VictimCost::plus),
            accelerators: window,
            victims,
        })
    }

    /// What stopping one job costs; nothing if it is being stopped already.
    fn victim_cost(&self, now: MonotonicTime, id: &JobId) -> VictimCost {
        let Some(entry) = self.jobs.get(id) else {
            return VictimCost::default();
        };
        if matches!(entry.stage, JobStage::Stopping(_)) {
            return VictimCost::default();
        }
        let run = run_time(now, entry).as_secs();
        let class = entry.class.as_ref();
        let size = class.map_or(1, |class| {
            u64::from(class.tasks * class.accelerators.max(1))
        });
        let saves = class.is_some_and(|class| class.checkpoint);
        VictimCost {
            lost: if saves { 0 } else { run * size },
            run,
            unborrowed: -self.share_over_guarantee(&entry.job.customer),
        }
    }
}

impl VictimCost {
    const fn plus(self, other: Self) -> Self {
        Self {
            lost: self.lost + other.lost,
            run: self.run + other.run,
            unborrowed: self.unborrowed + other.unborrowed,
        }
    }
}

impl ClaimRoom {
    /// Takes a member's place out of the room.
    fn occupy(&mut self, job: &JobDemand, spot: &MemberSpot) {
        self.release(&spot.victims);
        self.most -= 1;
        self.free = self.free.difference(spot.accelerators);
        self.spare = subtract(self.spare, job.demand);
    }

    /// Frees what jobs hold that will be stopped.
    fn release(&mut self, victims: &BTreeSet<JobId>) {
        for taken in self
            .takeable
            .extract_if(.., |taken| victims.contains(&taken.job))
        {
            self.free = self.free.union(taken.accelerators);
            self.spare = add(self.spare, taken.demand);
        }
    }
}

fn free_victims(rooms: &mut [ClaimRoom], victims: &BTreeSet<JobId>) {
    for room in rooms {
        room.release(victims);
    }
}

/// Time since the newest attempt of a job got under way.
pub(super) fn run_time(now: MonotonicTime, entry: &JobEntry) -> Duration {
    match entry.stage {
        JobStage::Running => now.since(entry.since),
        _ => Duration::ZERO,
    }
}
