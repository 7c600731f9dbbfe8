//! The state of all jobs, built by applying the records of the log in order. The first
//! acceptance of an identifier and the first ending of a job count. Applying a copy of
//! a record at any later offset changes nothing, so duplicates from retried appends are
//! harmless.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{
    AcceptedEntry, CancelledEntry, EndedEntry, LogEntry, LogOffset, LostEntry, MovedEntry,
    StartedEntry, StoredEntry,
};

/// Largest difference between the clocks of the accepting host and of the platform when
/// an acceptance is appended. Every reader rejects a record beyond it, so a copy cannot
/// reopen a job after the job was removed from the table.
pub const MAX_ACCEPTANCE_SKEW: Duration = Duration::from_hours(1);

/// Time for which an ended job stays in the table; longer than the log keeps records
/// and than twice `MAX_ACCEPTANCE_SKEW`.
pub const ENDED_JOB_RETENTION: Duration = Duration::from_hours(48);

/// Why a record had no effect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RejectionReason {
    /// The record is a copy or repeats what earlier records say.
    Repeated,
    /// The identifier belongs to a job with a different request.
    OtherWork,
    /// The accepting host's clock is too far from the platform's.
    ClockSkew,
    /// No record accepts the job.
    UnknownJob,
    /// The job has already ended.
    EndedJob,
    /// The record comes from a zone that is not the job's home.
    OtherZone,
}

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobChange {
    /// The job is accepted.
    Accepted(JobId),
    /// The end of the job was requested.
    Cancelled(JobId),
    /// An attempt may have started.
    Started(JobId),
    /// The job ended.
    Ended(JobId),
    /// The job moved to another home zone.
    Moved {
        /// The job.
        job: JobId,
        /// Previous home zone.
        from: ZoneName,
    },
    /// An operator declared a zone lost.
    ZoneLost(ZoneName),
    /// The record had no effect.
    Rejected(RejectionReason),
}

/// How restoring a snapshot changed the open jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoreChange {
    /// Jobs that are no longer open: they ended, or were removed from the table, by records
    /// that are lost.
    pub closed: Vec<JobId>,
    /// Jobs that are open and were not open before.
    pub opened: Vec<JobId>,
    /// Open jobs whose records differ from those before.
    pub changed: Vec<JobId>,
}

/// The content of a record together with its metadata.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recorded<T> {
    /// First offset of the record.
    pub offset: LogOffset,
    /// Identifier of the record.
    pub id: RecordId,
    /// Unix time of the append.
    pub appended_at: WallTime,
    /// Content of the record.
    pub entry: T,
}

/// The effective log records of one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRecord {
    /// Acceptance; its offset determines the order of arrival.
    pub accepted: Recorded<AcceptedEntry>,
    /// Effective moves, oldest first; each starts at the zone where the previous one ended.
    pub moves: Vec<Recorded<MovedEntry>>,
    /// Start of the latest attempt that may have run.
    pub started: Option<Recorded<StartedEntry>>,
    /// First request to end the job.
    pub cancelled: Option<Recorded<CancelledEntry>>,
    /// Ending; final.
    pub ended: Option<Recorded<EndedEntry>>,
}

impl JobRecord {
    /// Returns the home zone of the job.
    pub fn home(&self) -> &ZoneName {
        self.moves
            .last()
            .map_or(&self.accepted.entry.zone, |moved| &moved.entry.to)
    }

    /// Returns the number of attempts that may have started.
    pub fn attempts_started(&self) -> u32 {
        self.started.as_ref().map_or(0, |start| start.entry.attempt)
    }

    /// Returns whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Returns the records from which the job can be restored.
    fn live_entries(&self) -> Vec<StoredEntry> {
        let mut entries = vec![stored(&self.accepted, LogEntry::JobAccepted)];
        let moves = self.moves.iter().map(|r| stored(r, LogEntry::JobMoved));
        entries.extend(moves);
        let start = self.started.iter().map(|r| stored(r, LogEntry::JobStarted));
        entries.extend(start);
        let cancel = self.cancelled.iter();
        entries.extend(cancel.map(|r| stored(r, LogEntry::JobCancelled)));
        let end = self.ended.iter().map(|r| stored(r, LogEntry::JobEnded));
        entries.extend(end);
        entries
    }
}

fn stored<T: Clone>(record: &Recorded<T>, wrap: impl Fn(T) -> LogEntry) -> StoredEntry {
    StoredEntry {
        offset: record.offset,
        id: record.id.clone(),
        appended_at: record.appended_at,
        entry: wrap(record.entry.clone()),
    }
}

fn recorded<T: Clone>(stored: &StoredEntry, entry: &T) -> Recorded<T> {
    Recorded {
        offset: stored.offset,
        id: stored.id.clone(),
        appended_at: stored.appended_at,
        entry: entry.clone(),
    }
}

/// All jobs in the log. Hosts that have applied the records up to the same offset hold
/// equal tables.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobTable {
    jobs: BTreeMap<JobId, JobRecord>,
    /// Ended jobs in the order in which they are removed from the table.
    ended: BTreeSet<EndedKey>,
    /// Latest append time seen; never decreases. Ended jobs expire by this time, so that
    /// their removal depends on the records alone.
    log_time: WallTime,
    /// Latest declaration that a zone is lost, by zone.
    lost_zones: BTreeMap<ZoneName, StoredEntry>,
    rejected: BTreeMap<RejectionReason, u64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EndedKey {
    appended_at: WallTime,
    job: JobId,
}

impl JobTable {
    /// Returns the job, or `None` if it is unknown or was removed from the table.
    pub fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.jobs.get(job)
    }

    /// Returns all jobs by identifier, including ended ones until they are removed.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter()
    }

    /// Returns the jobs that have not ended, by identifier.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter().filter(|(_, job)| job.is_open())
    }

    /// Returns the zones that operators declared lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.lost_zones.keys()
    }

    /// Returns the number of records without effect, by reason.
    pub fn rejected_records(&self) -> &BTreeMap<RejectionReason, u64> {
        &self.rejected
    }

    /// Returns the latest append time among the applied records.
    pub fn log_time(&self) -> WallTime {
        self.log_time
    }

    /// Applies a record about jobs or lost zones and returns the change, or `None` for any
    /// other record. Records must be applied in the order of their offsets.
    pub fn apply(&mut self, record: &StoredEntry) -> Option<JobChange> {
        self.evict_expired(record.appended_at);
        let change = match &record.entry {
            LogEntry::JobAccepted(entry) => self.accept(record, entry),
            LogEntry::JobCancelled(entry) => self.cancel(record, entry),
            LogEntry::JobStarted(entry) => self.start(record, entry),
            LogEntry::JobEnded(entry) => self.end(record, entry),
            LogEntry::JobMoved(entry) => self.move_home(record, entry),
            LogEntry::ZoneLost(entry) => Ok(self.record_lost_zone(record, entry)),
            _ => return None,
        };
        Some(self.count_rejection(change))
    }

    /// Returns the records from which an equal table can be restored, oldest first.
    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let mut entries: Vec<StoredEntry> = self
            .jobs
            .values()
            .flat_map(JobRecord::live_entries)
            .collect();
        entries.extend(self.lost_zones.values().cloned());
        entries.sort_by_key(|entry| entry.offset);
        entries
    }

    /// Replaces the contents by the records of a snapshot, which come oldest first. The
    /// counters of rejected records are kept.
    pub fn restore(&mut self, records: &[StoredEntry]) -> RestoreChange {
        let mut restored = Self::default();
        for record in records {
            restored.apply(record);
        }
        restored.log_time = restored.log_time.max(self.log_time);
        restored.rejected = std::mem::take(&mut self.rejected);
        let before = std::mem::replace(self, restored);
        self.compare(&before)
    }

    fn compare(&self, before: &Self) -> RestoreChange {
        let mut change = RestoreChange::default();
        let is_open = |table: &Self, id: &JobId| table.get(id).is_some_and(JobRecord::is_open);
        let closed = before.open_jobs().filter(|(id, _)| !is_open(self, id));
        change.closed = closed.map(|(id, _)| id.clone()).collect();
        for (id, job) in self.open_jobs() {
            if !is_open(before, id) {
                change.opened.push(id.clone());
            } else if before.get(id) != Some(job) {
                change.changed.push(id.clone());
            }
        }
        change
    }

    fn record_lost_zone(&mut self, record: &StoredEntry, entry: &LostEntry) -> JobChange {
        self.lost_zones.insert(entry.zone.clone(), record.clone());
        JobChange::ZoneLost(entry.zone.clone())
    }

    /// Advances the log time and removes expired ended jobs. A job is kept while the log
    /// may still contain a copy of its acceptance.
    fn evict_expired(&mut self, now: WallTime) {
        self.log_time = self.log_time.max(now);
        let retained_since = self
            .log_time
            .0
            .saturating_sub(ENDED_JOB_RETENTION.as_millis() as u64);
        while let Some(oldest) = self.ended.first()
            && oldest.appended_at.0 < retained_since
        {
            if let Some(oldest) = self.ended.pop_first() {
                self.jobs.remove(&oldest.job);
            }
        }
    }

    fn accept(
        &mut self,
        record: &StoredEntry,
        entry: &AcceptedEntry,
    ) -> Result<JobChange, RejectionReason> {
        if let Some(known) = self.jobs.get(&entry.job) {
            return Err(repeated_acceptance(&known.accepted.entry, entry));
        }
        let skew = record.appended_at.0.abs_diff(entry.accepted_at.0);
        if skew > MAX_ACCEPTANCE_SKEW.as_millis() as u64 {
            return Err(RejectionReason::ClockSkew);
        }
        let job = JobRecord {
            accepted: recorded(record, entry),
            moves: Vec::new(),
            started: None,
            cancelled: None,
            ended: None,
        };
        self.jobs.insert(entry.job.clone(), job);
        Ok(JobChange::Accepted(entry.job.clone()))
    }

    fn cancel(
        &mut self,
        record: &StoredEntry,
        entry: &CancelledEntry,
    ) -> Result<JobChange, RejectionReason> {
        let job = self.open_job(&entry.job)?;
        if job.cancelled.is_some() {
            return Err(RejectionReason::Repeated);
        }
        job.cancelled = Some(recorded(record, entry));
        Ok(JobChange::Cancelled(entry.job.clone()))
    }

    /// A start recorded by another zone also counts: the attempt may have run, and that
    /// must be known before the job runs again.
    fn start(
        &mut self,
        record: &StoredEntry,
        entry: &StartedEntry,
    ) -> Result<JobChange, RejectionReason> {
        let job = self.open_job(&entry.job)?;
        if entry.attempt <= job.attempts_started() {
            return Err(RejectionReason::Repeated);
        }
        job.started = Some(recorded(record, entry));
        Ok(JobChange::Started(entry.job.clone()))
    }

    fn end(
        &mut self,
        record: &StoredEntry,
        entry: &EndedEntry,
    ) -> Result<JobChange, RejectionReason> {
        let job = self.open_job(&entry.job)?;
        job.ended = Some(recorded(record, entry));
        self.ended.insert(EndedKey {
            appended_at: record.appended_at,
            job: entry.job.clone(),
        });
        Ok(JobChange::Ended(entry.job.clone()))
    }

    /// Moves are identified by their record identifiers, because a copy of an older move
    /// may start at the zone that is the current home again.
    fn move_home(
        &mut self,
        record: &StoredEntry,
        entry: &MovedEntry,
    ) -> Result<JobChange, RejectionReason> {
        let job = self.open_job(&entry.job)?;
        if job.moves.iter().any(|moved| moved.id == record.id) {
            return Err(RejectionReason::Repeated);
        }
        if job.home() != &entry.from {
            return Err(RejectionReason::OtherZone);
        }
        job.moves.push(recorded(record, entry));
        Ok(JobChange::Moved {
            job: entry.job.clone(),
            from: entry.from.clone(),
        })
    }

    fn open_job(&mut self, job: &JobId) -> Result<&mut JobRecord, RejectionReason> {
        let job = self.jobs.get_mut(job).ok_or(RejectionReason::UnknownJob)?;
        if job.is_open() {
            Ok(job)
        } else {
            Err(RejectionReason::EndedJob)
        }
    }

    fn count_rejection(&mut self, change: Result<JobChange, RejectionReason>) -> JobChange {
        change.unwrap_or_else(|reason| {
            *self.rejected.entry(reason).or_default() += 1;
            JobChange::Rejected(reason)
        })
    }
}

fn repeated_acceptance(known: &AcceptedEntry, entry: &AcceptedEntry) -> RejectionReason {
    if known.is_same_work(entry) {
        RejectionReason::Repeated
    } else {
        RejectionReason::OtherWork
    }
}

impl Display for JobTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "jobs at {}", self.log_time)?;
        for (id, job) in &self.jobs {
            write!(f, "  {id} in {}", job.home())?;
            write!(
                f,
                ", {} of {}",
                job.accepted.entry.class, job.accepted.entry.customer
            )?;
            write!(f, ", {} started", job.attempts_started())?;
            let cancelled = if job.cancelled.is_some() {
                ", cancelled"
            } else {
                ""
            };
            f.write_str(cancelled)?;
            match &job.ended {
                Some(ended) => writeln!(f, ", ended {:?}", ended.entry.ending)?,
                None => writeln!(f)?,
            }
        }
        for zone in self.lost_zones.keys() {
            writeln!(f, "  zone {zone} declared lost")?;
        }
        Ok(())
    }
}
