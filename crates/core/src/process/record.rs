//! Records of the platform's log in the form that decisions use. The border
//! converts them; a body that it cannot read arrives as `Unreadable`, so that
//! no record of the log can stop a host.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::ElectionRecord;
use crate::process::planner::action::JobEnding;
use crate::process::planner::event::LeaderTerm;
use crate::version::settings::ConfigVersion;

/// Place of a record in the stream. Increases; gaps are possible.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// The next possible offset.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Display for LogOffset {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "offset{}", self.0)
    }
}

/// A record with its place in the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredEntry {
    /// Place in the stream.
    pub offset: LogOffset,
    /// Identifier; the same for every copy of one record.
    pub id: RecordId,
    /// Unix time of the append by the platform's clock.
    pub appended_at: WallTime,
    /// What the record says.
    pub entry: LogEntry,
}

/// What a record says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEntry {
    /// A published configuration.
    Config(ConfigEntry),
    /// A job was taken over.
    JobAccepted(AcceptedEntry),
    /// The caller asked for the end of a job.
    JobCancelled(CancelledEntry),
    /// An attempt of a job may have started.
    JobStarted(StartedEntry),
    /// A job ended.
    JobEnded(EndedEntry),
    /// A job has another home zone.
    JobMoved(MovedEntry),
    /// An operator declared a zone lost.
    ZoneLost(LostEntry),
    /// A record of a zone's planner seat.
    Election(ElectionEntry),
    /// A part of a snapshot.
    Snapshot(SnapshotChunk),
    /// A record of an unknown kind or schema, or with a malformed body.
    Unreadable {
        /// Kind that the record names.
        kind: String,
    },
}

/// A published configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigEntry {
    /// Version the publisher worked from; zero before the first.
    pub base: ConfigVersion,
    /// SHA-256 of `settings` in hexadecimal.
    pub content_hash: String,
    /// Merged folder in canonical text.
    pub settings: Arc<str>,
    /// Who published.
    pub publisher: String,
}

/// The acceptance of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedEntry {
    /// Idempotency key.
    pub job: JobId,
    /// Customer of the job.
    pub customer: CustomerName,
    /// Job class.
    pub class: ClassName,
    /// Home zone.
    pub zone: ZoneName,
    /// Configuration by which the job was checked.
    pub config: ConfigVersion,
    /// Unix time at the accepting host.
    pub accepted_at: WallTime,
    /// Unix time after which the job must not start.
    pub start_before: Option<WallTime>,
}

impl AcceptedEntry {
    /// Whether both ask for the same work, whoever accepted it and when.
    pub fn is_same_work(&self, other: &Self) -> bool {
        self.customer == other.customer && self.class == other.class
    }
}

/// The request to end a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CancelledEntry {
    /// The job.
    pub job: JobId,
    /// Unix time of the request.
    pub requested_at: WallTime,
}

/// Written before the first start of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedEntry {
    /// The job.
    pub job: JobId,
    /// Attempt, counted from one.
    pub attempt: u32,
    /// Term of the planner.
    pub term: LeaderTerm,
    /// Zone that starts the job.
    pub zone: ZoneName,
    /// Worker of each member.
    pub workers: Vec<WorkerName>,
    /// Unix time.
    pub started_at: WallTime,
}

/// The ending of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedEntry {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub ending: JobEnding,
    /// Term of the planner.
    pub term: LeaderTerm,
    /// Unix time.
    pub ended_at: WallTime,
}

/// A home zone gave a job up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovedEntry {
    /// The job.
    pub job: JobId,
    /// Home zone until now.
    pub from: ZoneName,
    /// Home zone from now on.
    pub to: ZoneName,
    /// Term of the planner that gave the job up.
    pub term: LeaderTerm,
}

/// An operator's word that a zone is lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostEntry {
    /// The zone.
    pub zone: ZoneName,
    /// Who declared it.
    pub operator: String,
    /// Unix time.
    pub declared_at: WallTime,
}

/// A record of a zone's planner seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ElectionEntry {
    /// The zone.
    pub zone: ZoneName,
    /// What it says about the seat.
    pub record: ElectionRecord,
}

/// Part of the live state at one offset, appended again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// Offset before which all records are covered.
    pub covers_until: LogOffset,
    /// Run of the host that wrote it; chunks of one snapshot share it.
    pub writer: String,
    /// Index of the chunk; below `chunks`.
    pub chunk: u32,
    /// Chunks in the snapshot; at least one.
    pub chunks: u32,
    /// Records that still matter, with their first offsets, oldest first.
    pub records: Vec<StoredEntry>,
}
