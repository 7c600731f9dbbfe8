//! Waiting jobs, by kind. Jobs of one customer and class want the same, so one
//! look at the oldest of each kind decides for all of them, and every change
//! costs O(log n).

use crate::prelude::*;

/// Customer and class of a job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobKind {
    /// Customer of the job.
    pub customer: CustomerName,
    /// Class of the job.
    pub class: ClassName,
}

/// One waiting job, in order of arrival.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuedJob {
    /// Offset of its acceptance record.
    pub offset: u64,
    /// The job.
    pub id: JobId,
}

/// A job that is not to be tried before a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DelayedJob {
    /// Earliest time of the next try.
    pub until: MonotonicTime,
    /// The job.
    pub id: JobId,
}

/// Waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    /// Jobs that may be tried now; no kind is empty.
    kinds: BTreeMap<JobKind, BTreeSet<QueuedJob>>,
    /// Jobs that wait for a time; none of them is in `kinds`.
    delayed: BTreeSet<DelayedJob>,
    /// Latest start times of jobs; also of some that no longer wait.
    deadlines: BTreeSet<DelayedJob>,
    /// Jobs added so far.
    changes: u64,
}

impl JobQueue {
    /// Jobs that may be tried now, by kind, oldest first.
    pub const fn kinds(&self) -> &BTreeMap<JobKind, BTreeSet<QueuedJob>> {
        &self.kinds
    }

    /// Jobs added so far.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds a job that may be tried now.
    pub fn push(&mut self, kind: JobKind, job: QueuedJob) {
        self.changes += 1;
        self.kinds.entry(kind).or_default().insert(job);
    }

    /// Removes a job that may be tried now.
    pub fn remove(&mut self, kind: &JobKind, job: &QueuedJob) {
        let Some(jobs) = self.kinds.get_mut(kind) else {
            return;
        };
        jobs.remove(job);
        if jobs.is_empty() {
            self.kinds.remove(kind);
        }
    }

    /// Adds a job that waits for a time.
    pub fn delay(&mut self, job: DelayedJob) {
        self.delayed.insert(job);
    }

    /// Removes a job that waits for a time.
    pub fn remove_delayed(&mut self, job: &DelayedJob) {
        self.delayed.remove(job);
    }

    /// Takes out one job whose time has come.
    pub fn pop_due(&mut self, now: MonotonicTime) -> Option<DelayedJob> {
        let first = self.delayed.first()?;
        if first.until > now {
            return None;
        }
        self.delayed.pop_first()
    }

    /// Jobs of one customer that may be tried now, by kind.
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

    /// Adds the latest start time of a job.
    pub fn add_deadline(&mut self, job: DelayedJob) {
        self.deadlines.insert(job);
    }

    /// Takes out one job whose latest start time has come.
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

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        let ready: usize = self.kinds.values().map(BTreeSet::len).sum();
        ready + self.delayed.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty() && self.delayed.is_empty()
    }
}
