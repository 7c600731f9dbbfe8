//! Claims on guarantees. A job without free capacity preempts reclaimable work on
//! its customer's own blocks; an urgent job also preempts what other customers
//! borrow beyond their guarantees. Victims are the jobs that lose the least work,
//! then the newest, then those of the customer that borrows the most.

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::event::TaskKey;
use crate::process::planner::guarantee::{add, proportional_share};
use crate::process::planner::job_entry::{JobEntry, JobStage, StopPurpose};
use crate::process::planner::ledger::{
    AcceleratorSet, TaskHolding, WorkerCapacity, covers, subtract,
};
use crate::process::planner::schedule::{JobDemand, ReservedCapacity, SchedulePass};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobPriority};

/// Cost of stopping a set of jobs; the smallest is best.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct VictimCost {
    /// Work that is lost, in accelerator seconds.
    lost_work: u64,
    /// Time for which the jobs have run, in seconds.
    run: u64,
    /// Negated sum of the shares that their customers use beyond their guarantees.
    negated_share: i64,
}

/// A holding that the claiming job may preempt.
#[derive(Clone, Debug)]
struct PreemptibleHolding {
    job: JobId,
    accelerators: AcceleratorSet,
    demand: TaskDemand,
}

/// Free and preemptible capacity of one worker, updated as members are placed on it.
#[derive(Clone, Debug)]
struct ClaimableCapacity {
    name: WorkerName,
    rack: RackName,
    /// Free accelerators without a reservation, less those of members placed so far.
    free: AcceleratorSet,
    spare: TaskDemand,
    preemptible: Vec<PreemptibleHolding>,
    /// Number of members that may still be placed on it.
    max_members: u32,
}

/// A possible placement of one member and the jobs that it would preempt.
#[derive(Clone, Debug)]
struct MemberCandidate {
    cost: VictimCost,
    accelerators: AcceleratorSet,
    victims: BTreeSet<JobId>,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ClaimOutcome {
    /// The job cannot claim any capacity.
    None,
    /// Jobs are being stopped to free the capacity.
    Preempting,
    /// These workers have free capacity, which was reserved for other jobs on the
    /// customer's own blocks.
    Available(Vec<WorkerName>),
}

/// A placement of every member.
#[derive(Clone, Debug)]
struct ClaimChoice {
    cost: VictimCost,
    placements: Vec<MemberPlacement>,
    victims: BTreeSet<JobId>,
}

/// Placement of one member.
#[derive(Clone, Debug)]
struct MemberPlacement {
    worker: WorkerName,
    accelerators: AcceleratorSet,
}

impl PlannerState {
    /// Claims capacity for a job: stops the jobs that it may preempt and reserves their
    /// capacity until they have ended.
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
        let options = self.claimable_capacities(job, pass);
        let Some(choice) = self.choose_claim(now, job, &options) else {
            return ClaimOutcome::None;
        };
        if choice.victims.is_empty() {
            let mut workers: Vec<WorkerName> = choice
                .placements
                .into_iter()
                .map(|member| member.worker)
                .collect();
            workers.sort();
            return ClaimOutcome::Available(workers);
        }
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.claimed = choice
                .placements
                .iter()
                .map(|member| member.worker.clone())
                .collect();
        }
        for member in choice.placements {
            let reservation = ReservedCapacity {
                accelerators: member.accelerators,
                demand: job.demand,
                until: None,
                is_claim: true,
            };
            pass.reserve(member.worker, reservation);
        }
        for victim in &choice.victims {
            self.stop_job(now, victim, StopPurpose::Retry, actions);
        }
        ClaimOutcome::Preempting
    }

    fn claimable_capacities(&self, job: &JobDemand, pass: &SchedulePass) -> Vec<ClaimableCapacity> {
        self.usable_workers(&job.class)
            .filter(|(name, _)| !job.avoided.contains(*name))
            .map(|(name, capacity)| self.claimable_capacity(name, capacity, job, pass))
            .filter(|option| option.max_members > 0)
            .collect()
    }

    fn claimable_capacity(
        &self,
        name: &WorkerName,
        capacity: &WorkerCapacity,
        job: &JobDemand,
        pass: &SchedulePass,
    ) -> ClaimableCapacity {
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
        let preemptible = capacity
            .holdings
            .iter()
            .filter(|(_, holding)| holding.accelerators.intersection(reserved_set).is_empty())
            .filter(|(key, holding)| self.may_preempt(name, capacity, job, key, holding, &mut owed))
            .map(|(key, holding)| PreemptibleHolding {
                job: key.job.clone(),
                accelerators: holding.accelerators,
                demand: holding.demand,
            })
            .collect();
        let max_members = if job.reclaimable {
            job.class.tasks
        } else {
            self.count_pinned(name, capacity, job, job.class.tasks)
        };
        ClaimableCapacity {
            name: name.clone(),
            rack: capacity.record.rack.clone(),
            free: capacity.free.difference(reserved_set),
            spare,
            preemptible,
            max_members,
        }
    }

    /// Returns whether a job may preempt a holding. Any job may preempt other customers
    /// on its customer's own blocks. An urgent job may also preempt borrowed capacity
    /// and work of lower priority of its own customer. `owed` caches which customers
    /// use no more of this worker than the share that goes with their blocks.
    fn may_preempt<'a>(
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

    /// Returns whether a customer uses no more of a worker than the share that goes with
    /// its blocks.
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
        covers(&proportional_share(capacity.total(), owned), &used)
    }

    /// Returns the cheapest placement of every member with the adjacency that the class
    /// requires.
    fn choose_claim(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        options: &[ClaimableCapacity],
    ) -> Option<ClaimChoice> {
        self.placement_steps += options.len() as u64;
        let mut domains: BTreeMap<&str, Vec<&ClaimableCapacity>> = BTreeMap::new();
        for option in options {
            let domain = match job.class.adjacency {
                BlockAdjacency::Worker => option.name.as_str(),
                BlockAdjacency::Rack => option.rack.as_str(),
                BlockAdjacency::Zone => "",
            };
            domains.entry(domain).or_default().push(option);
        }
        let choices = domains
            .values()
            .filter_map(|options| self.claim_in(now, job, options));
        choices.min_by_key(|choice| choice.cost)
    }

    fn claim_in(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        options: &[&ClaimableCapacity],
    ) -> Option<ClaimChoice> {
        let mut options: Vec<ClaimableCapacity> =
            options.iter().map(|option| (*option).clone()).collect();
        let mut choice = ClaimChoice {
            cost: VictimCost::default(),
            placements: Vec::new(),
            victims: BTreeSet::new(),
        };
        let mut candidates: Vec<Option<MemberCandidate>> = options
            .iter()
            .map(|option| self.best_candidate(now, job, option))
            .collect();
        for _ in 0..job.class.tasks {
            let best = candidates
                .iter()
                .enumerate()
                .filter_map(|(index, entry)| entry.as_ref().map(|entry| (entry.cost, index)));
            let (_, index) = best.min()?;
            let candidate = candidates[index].take()?;
            choice.cost = choice.cost.plus(candidate.cost);
            let option = &mut options[index];
            option.occupy(job, &candidate);
            choice.placements.push(MemberPlacement {
                worker: option.name.clone(),
                accelerators: candidate.accelerators,
            });
            let has_new_victims = candidate
                .victims
                .iter()
                .any(|job| !choice.victims.contains(job));
            choice.victims.extend(candidate.victims);
            if has_new_victims {
                release_victims(&mut options, &choice.victims);
                candidates = options
                    .iter()
                    .map(|option| self.best_candidate(now, job, option))
                    .collect();
            } else {
                candidates[index] = self.best_candidate(now, job, &options[index]);
            }
        }
        Some(choice)
    }

    /// Returns the cheapest candidate for one member on a worker.
    fn best_candidate(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        option: &ClaimableCapacity,
    ) -> Option<MemberCandidate> {
        let size = job.demand.accelerators;
        if option.max_members == 0 {
            return None;
        }
        let preemptible = option.preemptible.iter();
        let open = preemptible.fold(option.free, |open, h| open.union(h.accelerators));
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
        let candidates = windows
            .into_iter()
            .filter_map(|window| self.candidate_at(now, job, option, window));
        candidates.min_by_key(|candidate| candidate.cost)
    }

    fn candidate_at(
        &self,
        now: MonotonicTime,
        job: &JobDemand,
        option: &ClaimableCapacity,
        window: AcceleratorSet,
    ) -> Option<MemberCandidate> {
        let mut spare = option.spare;
        spare.accelerators = job.demand.accelerators;
        let mut victims = BTreeSet::new();
        let overlaps = |h: &&PreemptibleHolding| !h.accelerators.intersection(window).is_empty();
        for holding in option.preemptible.iter().filter(overlaps) {
            spare = add(spare, holding.demand);
            victims.insert(holding.job.clone());
        }
        let mut others: Vec<&PreemptibleHolding> = option
            .preemptible
            .iter()
            .filter(|holding| !overlaps(holding))
            .collect();
        others.sort_by_key(|holding| self.victim_cost(now, &holding.job));
        for holding in others {
            if covers(&spare, &job.demand) {
                break;
            }
            spare = add(spare, holding.demand);
            victims.insert(holding.job.clone());
        }
        if !covers(&spare, &job.demand) {
            return None;
        }
        let costs = victims.iter().map(|job| self.victim_cost(now, job));
        Some(MemberCandidate {
            cost: costs.fold(VictimCost::default(), VictimCost::plus),
            accelerators: window,
            victims,
        })
    }

    /// Returns the cost of stopping one job; zero if it is already being stopped.
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
        let can_checkpoint = class.is_some_and(|class| class.checkpoint);
        VictimCost {
            lost_work: if can_checkpoint { 0 } else { run * size },
            run,
            negated_share: -self.share_over_guarantee(&entry.job.customer),
        }
    }
}

impl VictimCost {
    const fn plus(self, other: Self) -> Self {
        Self {
            lost_work: self.lost_work + other.lost_work,
            run: self.run + other.run,
            negated_share: self.negated_share + other.negated_share,
        }
    }
}

impl ClaimableCapacity {
    /// Removes the capacity of a placed member and frees that of its victims.
    fn occupy(&mut self, job: &JobDemand, candidate: &MemberCandidate) {
        self.release(&candidate.victims);
        self.max_members -= 1;
        self.free = self.free.difference(candidate.accelerators);
        self.spare = subtract(self.spare, job.demand);
    }

    /// Frees the holdings of jobs that will be stopped.
    fn release(&mut self, victims: &BTreeSet<JobId>) {
        for holding in self
            .preemptible
            .extract_if(.., |holding| victims.contains(&holding.job))
        {
            self.free = self.free.union(holding.accelerators);
            self.spare = add(self.spare, holding.demand);
        }
    }
}

fn release_victims(options: &mut [ClaimableCapacity], victims: &BTreeSet<JobId>) {
    for option in options {
        option.release(victims);
    }
}

/// Returns how long a job has been running; zero if it is not running.
pub(super) fn run_time(now: MonotonicTime, entry: &JobEntry) -> Duration {
    match entry.stage {
        JobStage::Running => now.since(entry.since),
        _ => Duration::ZERO,
    }
}
