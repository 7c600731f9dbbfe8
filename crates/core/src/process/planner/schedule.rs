//! One pass over the waiting jobs under guarantees: in order of rank, each job is
//! placed on free capacity, or claims its guarantee, or has space kept for it that
//! jobs behind it may use only until it is needed.

use std::ops::Bound;

use crate::prelude::*;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::failure::AVOID_TIME;
use crate::process::planner::job_entry::{JobEntry, task_demand};
use crate::process::planner::job_queue::{JobKind, QueuedJob};
use crate::process::planner::ledger::{AcceleratorSet, covers};
use crate::process::planner::room::RoomSearch;
use crate::process::planner::state::PlannerState;
use crate::version::settings::{BlockAdjacency, JobClass, JobPriority};

/// Most waiting jobs that space is kept for in one pass.
const MAX_KEPT: usize = 2;

/// Order of waiting jobs; the least is first.
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
pub(super) struct JobNeed {
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
pub(super) struct KeptSpace {
    pub accelerators: AcceleratorSet,
    pub demand: TaskDemand,
    /// When it is needed; jobs that end before may use it. Nothing if no job may.
    pub until: Option<MonotonicTime>,
}

/// What one pass has decided so far.
#[derive(Debug, Default)]
pub(super) struct SchedulePass {
    pub kept: BTreeMap<WorkerName, Vec<KeptSpace>>,
    kept_jobs: usize,
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
    fn is_within(&self, need: &JobNeed) -> bool {
        need.class.service == self.service
            && need.class.adjacency == self.adjacency
            && need.class.tasks >= self.tasks
            && covers(&need.demand, &self.demand)
            && need.ends_by >= self.ends_by
    }
}

impl SchedulePass {
    /// Space that a job which ends by a time may not use.
    pub fn kept_from(
        &self,
        worker: &WorkerName,
        ends_by: MonotonicTime,
    ) -> impl Iterator<Item = &KeptSpace> {
        let kept = self.kept.get(worker).into_iter().flatten();
        kept.filter(move |space| space.until.is_none_or(|until| until < ends_by))
    }

    /// Whether an earlier search shows that there is no room for a job.
    fn is_full_for(&self, need: &JobNeed) -> bool {
        self.full.iter().any(|shape| shape.is_within(need))
    }

    /// Notes a search that found no room, unless it was for that job alone.
    fn note_full(&mut self, need: &JobNeed) {
        if need.reclaimable && need.avoided.is_empty() && !self.is_full_for(need) {
            self.full.push(FullShape {
                service: need.class.service.clone(),
                adjacency: need.class.adjacency,
                tasks: need.class.tasks,
                demand: need.demand,
                ends_by: need.ends_by,
            });
        }
    }

    pub fn keep(&mut self, worker: WorkerName, space: KeptSpace) {
        self.kept.entry(worker).or_default().push(space);
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
            self.work += 1;
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
        let Some(need) = self.jobs.get(id).and_then(|entry| self.need(now, entry)) else {
            return false;
        };
        let room = if pass.is_full_for(&need) {
            RoomSearch::Full
        } else {
            self.find_room(now, &need, pass)
        };
        if room == RoomSearch::Full {
            pass.note_full(&need);
        }
        if room == RoomSearch::Patient {
            return false;
        }
        if let RoomSearch::Found(workers) = room {
            let count = workers.len() as u32;
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.claimed.clear();
                entry.drained.clear();
            }
            self.begin_reserve(now, id, workers, actions);
            for _ in 0..count {
                self.note_use(&need.customer, need.demand);
            }
            return true;
        }
        if self.claim(now, &need, pass, actions) {
            return true;
        }
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.claimed.clear();
        }
        if pass.kept_jobs < MAX_KEPT && self.keep_space(now, &need, pass) {
            pass.kept_jobs += 1;
        }
        false
    }

    pub(super) fn need(&self, now: MonotonicTime, entry: &JobEntry) -> Option<JobNeed> {
        let class = entry.class.clone()?;
        let customer = &entry.job.customer;
        let estimate = self
            .estimates
            .estimate(customer, &entry.job.class, class.run_time);
        Some(JobNeed {
            id: entry.job.id.clone(),
            customer: customer.clone(),
            demand: task_demand(&class),
            reclaimable: self.is_reclaimable(&class),
            ends_by: now + estimate.high,
            avoided: if now.since(entry.failed_at) < AVOID_TIME {
                entry.failed_on.clone()
            } else {
                BTreeSet::new()
            },
            class,
        })
    }
}
