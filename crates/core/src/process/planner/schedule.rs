//! One pass over the waiting jobs under guarantees: in order of rank, each job is
//! placed on free capacity, or claims its guarantee, or has space kept for it that
//! jobs behind it may use only until it is needed.

use std::ops::Bound;

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::failure::WORKER_AVOIDANCE_DURATION;
use crate::process::planner::job_entry::{JobEntry, task_demand};
use crate::process::planner::job_queue::{JobKind, QueuedJob};
use crate::process::planner::ledger::{AcceleratorSet, covers};
use crate::process::planner::placement_search::PlacementSearch;
use crate::process::planner::reclaim::ClaimOutcome;
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobClass, JobPriority};

/// Most waiting jobs that space is kept for in one pass.
const MAX_RESERVED_JOBS: usize = 4;

/// Order of waiting jobs; the least is first. Aged jobs are ordered by arrival
/// alone, so that shares and priorities cannot push one back for ever.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobRank {
    /// Claimants whose space is being cleared come first, so that nobody takes it.
    standing: JobStanding,
    /// Whether the customer would exceed its guarantee.
    exceeds: bool,
    /// Priority class.
    priority: JobPriority,
    /// Dominant share over guarantee, by weight, in millionths.
    share: i64,
    /// Order of arrival.
    job: QueuedJob,
}

/// What sets a waiting job before others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum JobStanding {
    Claimant,
    Urgent,
    Aged,
    Ordinary,
}

/// One waiting job and what it asks for.
#[derive(Clone, Debug)]
pub(super) struct JobDemand {
    pub id: JobId,
    pub customer: CustomerName,
    pub class: Arc<JobClass>,
    /// Resources of each task.
    pub demand: TaskDemand,
    /// Whether its capacity can be taken back.
    pub reclaimable: bool,
    /// When it will have ended, as few runs exceed.
    pub ends_by: MonotonicTime,
    /// Workers on which it failed before.
    pub avoided: BTreeSet<WorkerName>,
}

/// Space of one worker that is kept for a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedCapacity {
    pub accelerators: AcceleratorSet,
    pub demand: TaskDemand,
    /// When it is needed; jobs that end before may use it. Nothing if no job may.
    pub until: Option<MonotonicTime>,
    /// Whether it is being cleared by a claim. Other space gives way to claims of
    /// those whose blocks it is on.
    pub is_claim: bool,
}

/// What one pass has decided so far.
#[derive(Debug, Default)]
pub(super) struct SchedulePass {
    pub reserved: BTreeMap<WorkerName, Vec<ReservedCapacity>>,
    reserved_jobs: usize,
    /// What found no room. Room only shrinks during a pass, so whatever asks for as
    /// much finds none either.
    full: Vec<FullShape>,
}

/// What found no room in a pass.
#[derive(Clone, Debug)]
struct FullShape {
    service: ServiceName,
    adjacency: BlockAdjacency,
    tasks: u32,
    demand: TaskDemand,
    ends_by: MonotonicTime,
}

impl FullShape {
    /// Whether a job asks for as much as this shape, or more.
    fn is_within(&self, job: &JobDemand) -> bool {
        job.class.service == self.service
            && job.class.adjacency == self.adjacency
            && job.class.tasks >= self.tasks
            && covers(&job.demand, &self.demand)
            && job.ends_by >= self.ends_by
    }
}

impl SchedulePass {
    /// Space that a job which ends by a time may not use.
    pub fn reserved_against(
        &self,
        worker: &WorkerName,
        ends_by: MonotonicTime,
    ) -> impl Iterator<Item = &ReservedCapacity> {
        let reserved = self.reserved.get(worker).into_iter().flatten();
        reserved.filter(move |space| space.until.is_none_or(|until| until < ends_by))
    }

    /// Whether an earlier search shows that there is no room for a job.
    fn is_full_for(&self, job: &JobDemand) -> bool {
        self.full.iter().any(|shape| shape.is_within(job))
    }

    /// Notes a search that found no room, unless it was for that job alone.
    fn note_full(&mut self, job: &JobDemand) {
        if job.reclaimable && job.avoided.is_empty() && !self.is_full_for(job) {
            self.full.push(FullShape {
                service: job.class.service.clone(),
                adjacency: job.class.adjacency,
                tasks: job.class.tasks,
                demand: job.demand,
                ends_by: job.ends_by,
            });
        }
    }

    pub fn reserve(&mut self, worker: WorkerName, space: ReservedCapacity) {
        self.reserved.entry(worker).or_default().push(space);
    }
}

impl PlannerState {
    pub(super) fn schedule_guarantees(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<PlannerAction>,
    ) {
        let mut pass = SchedulePass::default();
        let kinds: Vec<JobKind> = self.queue.kinds().keys().cloned().collect();
        let mut heads: BTreeMap<JobRank, JobKind> = BTreeMap::new();
        for kind in kinds {
            let first = self
                .queue
                .kinds()
                .get(&kind)
                .and_then(BTreeSet::first)
                .cloned();
            self.add_head(now, &mut heads, kind, first);
        }
        while let Some((rank, kind)) = heads.pop_first() {
            let Some(current) = self.rank(now, &rank.job) else {
                continue;
            };
            if current > rank
                && heads
                    .first_key_value()
                    .is_some_and(|(next, _)| *next < current)
            {
                heads.insert(current, kind);
                continue;
            }
            self.placement_steps += 1;
            if !self.try_job(now, &rank.job.id, &mut pass, actions) {
                continue;
            }
            let next = self.next_of(&kind, &rank.job);
            self.add_head(now, &mut heads, kind, next);
        }
    }

    fn add_head(
        &self,
        now: MonotonicTime,
        heads: &mut BTreeMap<JobRank, JobKind>,
        kind: JobKind,
        job: Option<QueuedJob>,
    ) {
        if let Some(rank) = job.and_then(|job| self.rank(now, &job)) {
            heads.insert(rank, kind);
        }
    }

    fn next_of(&self, kind: &JobKind, job: &QueuedJob) -> Option<QueuedJob> {
        let jobs = self.queue.kinds().get(kind)?;
        jobs.range((Bound::Excluded(job), Bound::Unbounded))
            .next()
            .cloned()
    }

    /// Rank of a waiting job; nothing while its class is not known.
    fn rank(&self, now: MonotonicTime, job: &QueuedJob) -> Option<JobRank> {
        let entry = self.jobs.get(&job.id)?;
        let class = entry.class.as_ref()?;
        let is_aged = now.since(entry.accepted_at) >= self.settings.policy.gang_age_bound;
        let standing = if !entry.claimed.is_empty() {
            JobStanding::Claimant
        } else if class.priority == JobPriority::Urgent {
            JobStanding::Urgent
        } else if is_aged {
            JobStanding::Aged
        } else {
            JobStanding::Ordinary
        };
        let customer = &entry.job.customer;
        if standing == JobStanding::Aged {
            return Some(JobRank {
                standing,
                exceeds: false,
                priority: JobPriority::Normal,
                share: 0,
                job: job.clone(),
            });
        }
        Some(JobRank {
            standing,
            exceeds: self.exceeds_guarantee(customer, class),
            priority: class.priority,
            share: self.share_over_guarantee(customer),
            job: job.clone(),
        })
    }

    /// Places a job, or starts what it takes to place it. Whether the next job of
    /// its kind is worth a look.
    fn try_job(
        &mut self,
        now: MonotonicTime,
        id: &JobId,
        pass: &mut SchedulePass,
        actions: &mut Vec<PlannerAction>,
    ) -> bool {
        let Some(job) = self
            .jobs
            .get(id)
            .and_then(|entry| self.job_demand(now, entry))
        else {
            return false;
        };
        let search = if pass.is_full_for(&job) {
            PlacementSearch::NoCapacity
        } else {
            self.find_placement(now, &job, pass)
        };
        if search == PlacementSearch::NoCapacity {
            pass.note_full(&job);
        }
        if search == PlacementSearch::Deferred {
            return false;
        }
        if let PlacementSearch::Found(workers) = search {
            self.place(now, &job, workers, actions);
            return true;
        }
        match self.claim(now, &job, pass, actions) {
            ClaimOutcome::None => {}
            ClaimOutcome::Clearing => return true,
            ClaimOutcome::Free(workers) => {
                self.place(now, &job, workers, actions);
                return true;
            }
        }
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.claimed.clear();
        }
        if pass.reserved_jobs < MAX_RESERVED_JOBS && self.reserve_capacity(now, &job, pass) {
            pass.reserved_jobs += 1;
        }
        false
    }

    /// Places a job on workers that have room for it.
    fn place(
        &mut self,
        now: MonotonicTime,
        job: &JobDemand,
        workers: Vec<WorkerName>,
        actions: &mut Vec<PlannerAction>,
    ) {
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            entry.claimed.clear();
            entry.reserved_on.clear();
        }
        for _ in &workers {
            self.add_customer_use(&job.customer, job.demand);
        }
        self.reserve_members(now, &job.id, workers, actions);
    }

    pub(super) fn job_demand(&self, now: MonotonicTime, entry: &JobEntry) -> Option<JobDemand> {
        let class = entry.class.clone()?;
        let customer = &entry.job.customer;
        let estimate = self
            .estimates
            .estimate(customer, &entry.job.class, class.run_time);
        Some(JobDemand {
            id: entry.job.id.clone(),
            customer: customer.clone(),
            demand: task_demand(&class),
            reclaimable: self.is_reclaimable(&class),
            ends_by: now + estimate.high,
            avoided: if now.since(entry.failed_at) < WORKER_AVOIDANCE_DURATION {
                entry.failed_on.clone()
            } else {
                BTreeSet::new()
            },
            class,
        })
    }
}
