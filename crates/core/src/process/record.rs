//! Records of the platform's log, decoded from the wire format. A body that cannot
//! be decoded is represented as `Unreadable`, so that no record can stop a host.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::ElectionRecord;
use crate::process::planner::action::JobEnding;
use crate::process::planner::event::LeaderTerm;
use crate::version::settings::ConfigVersion;

/// Position of a record in the stream. Offsets increase and may have gaps.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// Returns the next possible offset.
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

/// A record with its position in the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredEntry {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Identifier, shared by all copies of one record.
    pub id: RecordId,
    /// Unix time of the append by the platform's clock.
    pub appended_at: WallTime,
    /// Content of the record.
    pub entry: LogEntry,
}

/// Content of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEntry {
    /// A published configuration.
    Config(ConfigEntry),
    /// A job was accepted.
    JobAccepted(AcceptedEntry),
    /// The caller requested the cancellation of a job.
    JobCancelled(CancelledEntry),
    /// An attempt of a job may have started.
    JobStarted(StartedEntry),
    /// A job ended.
    JobEnded(EndedEntry),
    /// A job moved to another home zone.
    JobMoved(MovedEntry),
    /// An operator declared a zone lost.
    ZoneLost(LostEntry),
    /// A record of the leader election of a zone's planner.
    Election(ElectionEntry),
    /// A part of a snapshot.
    Snapshot(SnapshotChunk),
    /// A record of an unknown kind or schema, or with a malformed body.
    Unreadable {
        /// Kind of the record as written.
        kind: String,
    },
}

/// A published configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigEntry {
    /// Version on which the publisher based the change; zero if there was none.
    pub base: ConfigVersion,
    /// SHA-256 of `settings` in hexadecimal.
    pub content_hash: String,
    /// Canonical text of the merged folder.
    pub settings: Arc<str>,
    /// Name of the publisher.
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
    /// Version of the configuration against which the job was checked.
    pub config: ConfigVersion,
    /// Unix time at the accepting host.
    pub accepted_at: WallTime,
    /// Unix time after which the job must not start.
    pub start_before: Option<WallTime>,
}

impl AcceptedEntry {
    /// Returns whether both request the same work, regardless of when and where it was
    /// accepted.
    pub fn is_same_work(&self, other: &Self) -> bool {
        self.customer == other.customer && self.class == other.class
    }
}

/// The request to cancel a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CancelledEntry {
    /// The job.
    pub job: JobId,
    /// Unix time of the request.
    pub requested_at: WallTime,
}

/// The start of an attempt, written before its first task is started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedEntry {
    /// The job.
    pub job: JobId,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
    /// Term of the planner that wrote the record.
    pub term: LeaderTerm,
    /// Zone that starts the job.
    pub zone: ZoneName,
    /// Worker of each member.
    pub workers: Vec<WorkerName>,
    /// Unix time of the start.
    pub started_at: WallTime,
}

/// The end of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedEntry {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub ending: JobEnding,
    /// Term of the planner that wrote the record.
    pub term: LeaderTerm,
    /// Unix time of the end.
    pub ended_at: WallTime,
}

/// The move of a job to another home zone, written by the zone that releases it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovedEntry {
    /// The job.
    pub job: JobId,
    /// Home zone before the move.
    pub from: ZoneName,
    /// Home zone after the move.
    pub to: ZoneName,
    /// Term of the planner that released the job.
    pub term: LeaderTerm,
}

/// An operator's declaration that a zone is lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostEntry {
    /// The zone.
    pub zone: ZoneName,
    /// Name of the operator.
    pub operator: String,
    /// Unix time of the declaration.
    pub declared_at: WallTime,
}

/// A record of the leader election of a zone's planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ElectionEntry {
    /// The zone.
    pub zone: ZoneName,
    /// Content of the record.
    pub record: ElectionRecord,
}

/// Part of a snapshot: records that were live at one offset, appended again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// Offset before which the snapshot covers all records.
    pub covers_until: LogOffset,
    /// Incarnation of the host that wrote it, shared by all chunks of one snapshot.
    pub writer: String,
    /// Index of the chunk, less than `chunks`.
    pub chunk: u32,
    /// Number of chunks in the snapshot; at least one.
    pub chunks: u32,
    /// Live records with their original offsets, oldest first.
    pub records: Vec<StoredEntry>,
}
