//! The platform's log as the domain uses it: five streams of keyed records. The log retains
//! the newest record of each key permanently.

use bytes::Bytes;
use thiserror::Error;

use crate::prelude::*;
use crate::process::record::KeyedRecord;
use crate::process::worker_report::WorkerReport;
use crate::version::manifest::DomainManifest;
use crate::version::wave::WaveOrder;

/// A stream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StreamName {
    /// The operator's configuration; read only.
    Config,
    /// Reports of the workers; read only.
    Workers,
    /// Jobs of the domain and the planner's heartbeats.
    Jobs,
    /// Claims of leadership of the planner.
    Seat,
    /// Status for the operator; written only.
    Status,
}

impl StreamName {
    /// Returns the label in log lines and counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Workers => "workers",
            Self::Jobs => "jobs",
            Self::Seat => "seat",
            Self::Status => "status",
        }
    }
}

/// One record of a stream.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// Position in the stream.
    pub offset: StreamOffset,
    /// Content of the record.
    pub body: StreamBody,
}

/// Content of a record.
#[derive(Clone, Debug)]
pub enum StreamBody {
    /// A version of the configuration.
    Manifest(Arc<DomainManifest>),
    /// Report of a worker; `None` if its entry was removed.
    Worker(WorkerName, Option<Arc<WorkerReport>>),
    /// A wave of upkeep; `None` if it was withdrawn.
    Wave(WaveNumber, Option<Arc<WaveOrder>>),
    /// An order to evacuate a zone; `false` if it was withdrawn.
    Evacuation(ZoneName, bool),
    /// A record that the domain itself wrote, still encoded.
    Encoded(Arc<str>, Option<Bytes>),
    /// A record that cannot be used, and why.
    Skipped(Arc<str>),
}

/// Records read from an offset on.
#[derive(Clone, Debug, Default)]
pub struct StreamPage {
    /// Records in order. The page may end before the stream does.
    pub records: Vec<StreamRecord>,
    /// Offset after the last record of the page.
    pub next: StreamOffset,
    /// Offset after the last record of the stream.
    pub end: StreamOffset,
}

/// The newest records of some keys. The pages are not a consistent snapshot: records from the
/// first page's `end` on have to be read as well.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Records in order of their keys.
    pub records: Vec<StreamRecord>,
    /// Key after which the next page begins; `None` on the last page.
    pub next_after: Option<Arc<str>>,
    /// Offset after the last record of the stream.
    pub end: StreamOffset,
}

/// An atomic append of records.
#[derive(Clone, Debug)]
pub struct AppendOrder {
    /// Stream.
    pub stream: StreamName,
    /// Records; empty to announce only the epoch of the writer.
    pub records: Vec<KeyedRecord>,
    /// Condition under which the append takes effect.
    pub condition: AppendCondition,
}

/// Condition of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendCondition {
    /// No condition. Appending the records repeatedly has the same effect as once.
    None,
    /// The stream ends at this offset.
    At(StreamOffset),
    /// No writer of a higher epoch has appended, and this is the next append of the writer.
    Writer {
        /// Epoch of the planner that writes.
        epoch: LeaderEpoch,
        /// Number of the append within the epoch.
        sequence: u64,
    },
}

/// Offsets of appended records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AppendedAt {
    /// Offset of the first record.
    pub first: StreamOffset,
    /// Offset after the last record.
    pub next: StreamOffset,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The requested records are no longer retained.
    #[error("records before {first} are no longer retained; read the newest of each key")]
    Truncated {
        /// Oldest retained offset.
        first: StreamOffset,
    },
    /// The log refused the call, which had no effect.
    #[error("the log refused the call ({status}); try again later")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// No connection was made, so the call had no effect.
    #[error("no connection to the log; check its address and the network")]
    Unreachable,
    /// No response came. The call may have been carried out or may still be.
    #[error("no answer from the log; read back whether the call took effect")]
    NoAnswer,
    /// The condition of the append did not hold, so it had no effect.
    #[error("the stream ends at {end} instead; read on and decide again")]
    EndMismatch {
        /// End of the stream.
        end: StreamOffset,
    },
    /// A writer of a higher epoch has appended, so the append had no effect.
    #[error("a planner of a higher epoch has written; stop planning")]
    Fenced,
    /// The append is not the next one of the writer, so it had no effect.
    #[error("the log expects append {expected} of this writer; claim leadership again")]
    Sequence {
        /// Number of the append that the log expects next.
        expected: u64,
    },
    /// The response cannot be decoded.
    #[error("the log's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Description of the error.
        detail: String,
    },
}

impl StreamError {
    /// Whether the call certainly had no effect and will have none.
    pub const fn is_definite(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Malformed { .. })
    }

    /// Returns the label in log lines and counters.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Truncated { .. } => "gone",
            Self::Refused { .. } => "refused",
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::EndMismatch { .. } => "moved",
            Self::Fenced => "fenced",
            Self::Sequence { .. } => "sequence",
            Self::Malformed { .. } => "malformed",
        }
    }
}
