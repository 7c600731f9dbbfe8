//! What the log says about jobs, as a fold over its records. The order of the
//! records decides: the first acceptance of an identifier and the first ending
//! count. Applying a copy of a record again, at any later offset, changes
//! nothing, so copies by retried appends are harmless.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{
    AcceptedEntry, CancelledEntry, EndedEntry, LogEntry, LogOffset, LostEntry, MovedEntry,
    StartedEntry, StoredEntry,
};

/// Most time between the accepting host's clock and the platform's when an
/// acceptance is appended. A record outside is void for every reader, so a copy
/// cannot surface after its job was forgotten.
pub const ACCEPTANCE_WINDOW: Duration = Duration::from_hours(1);

/// Time for which an ended job is remembered; longer than the log keeps records
/// and than twice `ACCEPTANCE_WINDOW`.
pub const ENDED_JOB_RETENTION: Duration = Duration::from_hours(48);

/// Why a record had no effect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RejectionReason {
    /// A copy, or it says what other records said before.
    Repeated,
    /// The identifier belongs to a job that asks for other work.
    OtherWork,
    /// The accepting host's clock is too far from the platform's.
    ClockSkew,
    /// No record accepts the job.
    UnknownJob,
    /// The job has ended before.
    EndedJob,
    /// The record comes from a zone that is not the job's home.
    OtherZone,
}

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobChange {
    /// The job is accepted.
    Accepted(JobId),
    /// The job is to end.
    Cancelled(JobId),
    /// An attempt may have started.
    Started(JobId),
    /// The job ended.
    Ended(JobId),
    /// The job has another home zone.
    Moved {
        /// The job.
        job: JobId,
        /// Home zone until now.
        from: ZoneName,
    },
    /// An operator declared a zone lost.
    ZoneLost(ZoneName),
    /// Nothing.
    Rejected(RejectionReason),
}

/// What a snapshot changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoreChange {
    /// Jobs that were open and are no more: they ended, or were forgotten, by
    /// records that are lost.
    pub closed: Vec<JobId>,
    /// Jobs that are open and were not known as such.
    pub opened: Vec<JobId>,
    /// Open jobs whose records differ from those known.
    pub changed: Vec<JobId>,
}

/// A part of a job's history and the record that says it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recorded<T> {
    /// First offset of the record.
    pub offset: LogOffset,
    /// Identifier of the record.
    pub id: RecordId,
    /// Unix time of the append.
    pub appended_at: WallTime,
    /// What it says.
    pub entry: T,
}

/// Everything the log says about one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRecord {
    /// Acceptance; its offset gives the order of arrival.
    pub accepted: Recorded<AcceptedEntry>,
    /// Moves that counted, oldest first; each starts where the one before ended.
    pub moves: Vec<Recorded<MovedEntry>>,
    /// Start of the latest attempt that may have run.
    pub started: Option<Recorded<StartedEntry>>,
    /// First request to end the job.
    pub cancelled: Option<Recorded<CancelledEntry>>,
    /// Ending; final.
    pub ended: Option<Recorded<EndedEntry>>,
}

impl JobRecord {
    /// Home zone of the job.
    pub fn home(&self) -> &ZoneName {
        self.moves
            .last()
            .map_or(&self.accepted.entry.zone, |moved| &moved.entry.to)
    }

    /// Attempts that may have started.
    pub fn attempts_started(&self) -> u32 {
        self.started.as_ref().map_or(0, |start| start.entry.attempt)
    }

    /// Whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Records from which the job can be restored.
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

/// All jobs that records speak of. Hosts that have applied the records up to
/// the same offset hold equal books.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobTable {
    jobs: BTreeMap<JobId, JobRecord>,
    /// Ended jobs in the order in which they are forgotten.
    ended: BTreeSet<EndedKey>,
    /// Latest time of an append seen; never goes back. Forgetting goes by it, so
    /// that it depends on the records alone.
    log_time: WallTime,
    /// Latest word that a zone is lost, by zone.
    lost_zones: BTreeMap<ZoneName, StoredEntry>,
    rejected: BTreeMap<RejectionReason, u64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EndedKey {
    appended_at: WallTime,
    job: JobId,
}

impl JobTable {
    /// The job, unless it is unknown or forgotten.
    pub fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.jobs.get(job)
    }

    /// All jobs by identifier, ended ones included until they are forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter()
    }

    /// Jobs that have not ended, by identifier.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter().filter(|(_, job)| job.is_open())
    }

    /// Zones that operators declared lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.lost_zones.keys()
    }

    /// Records without effect, by reason.
    pub fn rejected_records(&self) -> &BTreeMap<RejectionReason, u64> {
        &self.rejected
    }

    /// Latest time of an append that the book has seen.
    pub fn log_time(&self) -> WallTime {
        self.log_time
    }

    /// Applies a record about jobs; nothing for any other record. Records must
    /// come in the order of their offsets.
    pub fn apply(&mut self, record: &StoredEntry) -> Option<JobChange> {
        self.advance(record.appended_at);
        let change = match &record.entry {
            LogEntry::JobAccepted(entry) => self.accept(record, entry),
            LogEntry::JobCancelled(entry) => self.cancel(record, entry),
            LogEntry::JobStarted(entry) => self.start(record, entry),
            LogEntry::JobEnded(entry) => self.end(record, entry),
            LogEntry::JobMoved(entry) => self.move_home(record, entry),
            LogEntry::ZoneLost(entry) => Ok(self.lose_zone(record, entry)),
            _ => return None,
        };
        Some(self.counted(change))
    }

    /// Records from which an equal book can be made, oldest first.
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

    /// Replaces everything by the records of a snapshot, oldest first. Counters of
    /// void records go on.
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

    fn lose_zone(&mut self, record: &StoredEntry, entry: &LostEntry) -> JobChange {
        self.lost_zones.insert(entry.zone.clone(), record.clone());
        JobChange::ZoneLost(entry.zone.clone())
    }

    /// Forgets ended jobs. A job is kept while the log may still hold a copy of
    /// its acceptance.
    fn advance(&mut self, now: WallTime) {
        self.log_time = self.log_time.max(now);
        let horizon = self
            .log_time
            .0
            .saturating_sub(ENDED_JOB_RETENTION.as_millis() as u64);
        while let Some(oldest) = self.ended.first()
            && oldest.appended_at.0 < horizon
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
        if skew > ACCEPTANCE_WINDOW.as_millis() as u64 {
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

    /// A start from another zone counts: the attempt may have run all the same,
    /// and that must be known before the job runs again.
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

    /// A copy of an older move could name the present home again by chance, so
    /// moves are told apart by the identifiers of their records.
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

    fn counted(&mut self, change: Result<JobChange, RejectionReason>) -> JobChange {
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
