//! Queue of waiting jobs, grouped by kind. Jobs of one customer and class have the
//! same demand, so a placement pass tries the oldest of each kind on behalf of all of
//! them. Every change costs O(log n).

use crate::prelude::*;

/// Customer and class of a job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobKind {
    /// Customer of the job.
    pub customer: CustomerName,
    /// Class of the job.
    pub class: ClassName,
}

/// A waiting job. Jobs are ordered by arrival.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuedJob {
    /// Offset of its acceptance record.
    pub offset: u64,
    /// The job.
    pub id: JobId,
}

/// A job with a time: the earliest time of its next attempt, or its start deadline.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DelayedJob {
    /// The time.
    pub until: MonotonicTime,
    /// The job.
    pub id: JobId,
}

/// Queue of waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    /// Jobs that may be placed now; no kind is empty.
    kinds: BTreeMap<JobKind, BTreeSet<QueuedJob>>,
    /// Jobs whose next attempt is delayed; none of them is in `kinds`.
    delayed: BTreeSet<DelayedJob>,
    /// Start deadlines of jobs, including some that no longer wait.
    deadlines: BTreeSet<DelayedJob>,
    /// Number of jobs added so far.
    changes: u64,
}

impl JobQueue {
    /// Returns the jobs that may be placed now, by kind and oldest first.
    pub const fn kinds(&self) -> &BTreeMap<JobKind, BTreeSet<QueuedJob>> {
        &self.kinds
    }

    /// Returns the number of jobs added so far.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds a job that may be placed now.
    pub fn push(&mut self, kind: JobKind, job: QueuedJob) {
        self.changes += 1;
        self.kinds.entry(kind).or_default().insert(job);
    }

    /// Removes a job that may be placed now.
    pub fn remove(&mut self, kind: &JobKind, job: &QueuedJob) {
        let Some(jobs) = self.kinds.get_mut(kind) else {
            return;
        };
        jobs.remove(job);
        if jobs.is_empty() {
            self.kinds.remove(kind);
        }
    }

    /// Adds a job whose next attempt is delayed.
    pub fn delay(&mut self, job: DelayedJob) {
        self.delayed.insert(job);
    }

    /// Removes a job whose next attempt is delayed.
    pub fn remove_delayed(&mut self, job: &DelayedJob) {
        self.delayed.remove(job);
    }

    /// Removes and returns one delayed job that is due.
    pub fn pop_due(&mut self, now: MonotonicTime) -> Option<DelayedJob> {
        let first = self.delayed.first()?;
        if first.until > now {
            return None;
        }
        self.delayed.pop_first()
    }

    /// Returns the jobs of one customer that may be placed now, by kind.
    pub fn kinds_of<'a>(
        &'a self,
        customer: &'a CustomerName,
    ) -> impl Iterator<Item = (&'a JobKind, &'a BTreeSet<QueuedJob>)> {
        let first = JobKind {
            customer: customer.clone(),
            class: ClassName::from(""),
        };
        self.kinds
            .range(first..)
            .take_while(move |(kind, _)| kind.customer == *customer)
    }

    /// Adds the start deadline of a job.
    pub fn add_deadline(&mut self, job: DelayedJob) {
        self.deadlines.insert(job);
    }

    /// Removes and returns one job whose start deadline has passed.
    pub fn pop_deadline(&mut self, now: MonotonicTime) -> Option<DelayedJob> {
        let first = self.deadlines.first()?;
        if first.until > now {
            return None;
        }
        self.deadlines.pop_first()
    }

    /// Removes every job.
    pub fn clear(&mut self) {
        self.kinds.clear();
        self.delayed.clear();
        self.deadlines.clear();
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        let ready: usize = self.kinds.values().map(BTreeSet::len).sum();
        ready + self.delayed.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty() && self.delayed.is_empty()
    }
}
