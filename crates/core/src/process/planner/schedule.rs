//! A scheduling pass over the waiting jobs under guarantees. In order of rank, each
//! job is placed on free capacity, claims its guarantee, or gets a reservation. Jobs
//! of lower rank may use reserved capacity only until it is needed (backfill).

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

/// Most waiting jobs that get a reservation in one pass.
const MAX_RESERVED_JOBS: usize = 4;

/// Order of waiting jobs; the smallest is first. Jobs older than the age bound are
/// ordered by arrival alone, so that shares and priorities cannot starve them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobRank {
    /// Jobs whose claimed capacity is being freed come first, so that no other job takes
    /// it.
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

/// Class of a waiting job that ranks before all other criteria.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum JobStanding {
    Claimant,
    Urgent,
    Aged,
    Ordinary,
}

/// One waiting job and its demand.
#[derive(Clone, Debug)]
pub(super) struct JobDemand {
    pub id: JobId,
    pub customer: CustomerName,
    pub class: Arc<JobClass>,
    /// Resources of each task.
    pub demand: TaskDemand,
    /// Whether the job can be stopped to take its capacity back.
    pub reclaimable: bool,
    /// When it will have ended by its high run time estimate, which few runs exceed.
    pub ends_by: MonotonicTime,
    /// Workers on which it failed before.
    pub avoided: BTreeSet<WorkerName>,
}

/// Capacity of one worker that is reserved for a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedCapacity {
    pub accelerators: AcceleratorSet,
    pub demand: TaskDemand,
    /// When it is needed. Jobs that end before may use it; if `None`, no job may.
    pub until: Option<MonotonicTime>,
    /// Whether it belongs to a claim whose victims are being stopped. Any other
    /// reservation yields to claims of the customers on whose blocks it is.
    pub is_claim: bool,
}

/// Decisions of one pass so far.
#[derive(Debug, Default)]
pub(super) struct SchedulePass {
    pub reserved: BTreeMap<WorkerName, Vec<ReservedCapacity>>,
    reserved_jobs: usize,
    /// Shapes of jobs that did not fit. Free capacity only shrinks during a pass, so a job
    /// with at least the same demand does not fit either.
    unplaceable: Vec<UnplaceableShape>,
}

/// Shape of a job that did not fit in a pass.
#[derive(Clone, Debug)]
struct UnplaceableShape {
    service: ServiceName,
    adjacency: BlockAdjacency,
    tasks: u32,
    demand: TaskDemand,
    ends_by: MonotonicTime,
}

impl UnplaceableShape {
    /// Returns whether a job demands at least as much as this shape.
    fn is_covered_by(&self, job: &JobDemand) -> bool {
        job.class.service == self.service
            && job.class.adjacency == self.adjacency
            && job.class.tasks >= self.tasks
            && covers(&job.demand, &self.demand)
            && job.ends_by >= self.ends_by
    }
}

impl SchedulePass {
    /// Returns the reservations on a worker that a job which ends by `ends_by` may not
    /// use.
    pub fn reserved_against(
        &self,
        worker: &WorkerName,
        ends_by: MonotonicTime,
    ) -> impl Iterator<Item = &ReservedCapacity> {
        let reserved = self.reserved.get(worker).into_iter().flatten();
        reserved.filter(move |capacity| capacity.until.is_none_or(|until| until < ends_by))
    }

    /// Returns whether an earlier search of this pass shows that a job does not fit.
    fn is_unplaceable(&self, job: &JobDemand) -> bool {
        self.unplaceable
            .iter()
            .any(|shape| shape.is_covered_by(job))
    }

    /// Records the shape of a job that did not fit, unless limits of that job alone can be
    /// the reason: it is not reclaimable, or it avoids some workers.
    fn record_unplaceable(&mut self, job: &JobDemand) {
        if job.reclaimable && job.avoided.is_empty() && !self.is_unplaceable(job) {
            self.unplaceable.push(UnplaceableShape {
                service: job.class.service.clone(),
                adjacency: job.class.adjacency,
                tasks: job.class.tasks,
                demand: job.demand,
                ends_by: job.ends_by,
            });
        }
    }

    pub fn reserve(&mut self, worker: WorkerName, capacity: ReservedCapacity) {
        self.reserved.entry(worker).or_default().push(capacity);
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
            let next = self.next_in_kind(&kind, &rank.job);
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

    fn next_in_kind(&self, kind: &JobKind, job: &QueuedJob) -> Option<QueuedJob> {
        let jobs = self.queue.kinds().get(kind)?;
        jobs.range((Bound::Excluded(job), Bound::Unbounded))
            .next()
            .cloned()
    }

    /// Returns the rank of a waiting job, or `None` while its class is unknown.
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

    /// Places a job, claims capacity for it or reserves capacity. Returns whether to try
    /// the next job of its kind.
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
        let search = if pass.is_unplaceable(&job) {
            PlacementSearch::NoCapacity
        } else {
            self.find_placement(now, &job, pass)
        };
        if search == PlacementSearch::NoCapacity {
            pass.record_unplaceable(&job);
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
            ClaimOutcome::Preempting => return true,
            ClaimOutcome::Available(workers) => {
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

    /// Places a job on workers on which it fits.
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
