//! The platform's log as the domain sees it: five streams of keyed records, of which
//! the newest record of each key is kept for good.

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
    /// What workers say of themselves; read only.
    Workers,
    /// Jobs of the domain and the planner's signs of life.
    Jobs,
    /// Claims of the planner's seat.
    Seat,
    /// What the operator is told; written only.
    Status,
}

impl StreamName {
    /// Word for log lines and counters.
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
    /// Position.
    pub offset: StreamOffset,
    /// What it says.
    pub body: StreamBody,
}

/// Content of a record.
#[derive(Clone, Debug)]
pub enum StreamBody {
    /// A version of the configuration.
    Manifest(Arc<DomainManifest>),
    /// What a worker says of itself; nothing when its entry was removed.
    Worker(WorkerName, Option<Arc<WorkerReport>>),
    /// A wave of upkeep; nothing when it was withdrawn.
    Wave(WaveNumber, Option<Arc<WaveOrder>>),
    /// A record of the domain's own, still encoded.
    Encoded(Arc<str>, Option<Bytes>),
    /// A record that cannot be used, and why.
    Skipped(Arc<str>),
}

/// Records read from an offset on.
#[derive(Clone, Debug, Default)]
pub struct StreamPage {
    /// Records in order; may end before the stream does.
    pub records: Vec<StreamRecord>,
    /// Offset after the last record of the page.
    pub next: StreamOffset,
    /// Offset after the last record of the stream.
    pub end: StreamOffset,
}

/// The newest records of some keys. Pages are not a snapshot: whatever was written
/// after the first page's `end` has to be read as well.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Records in order of their keys.
    pub records: Vec<StreamRecord>,
    /// Key after which the next page begins; nothing on the last page.
    pub next_after: Option<Arc<str>>,
    /// Offset after the last record of the stream.
    pub end: StreamOffset,
}

/// Records to append, all or none.
#[derive(Clone, Debug)]
pub struct AppendOrder {
    /// Stream.
    pub stream: StreamName,
    /// Records; none to announce a writer's epoch only.
    pub records: Vec<KeyedRecord>,
    /// Condition under which it takes effect.
    pub condition: AppendCondition,
}

/// Condition of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendCondition {
    /// None; the records mean the same however often they are appended.
    None,
    /// The stream ends here.
    At(StreamOffset),
    /// No writer of a higher epoch has appended, and this is its next append.
    Writer {
        /// Tenure of the planner that writes.
        epoch: LeaderEpoch,
        /// Number of the append within the epoch.
        sequence: u64,
    },
}

/// Where appended records are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AppendedAt {
    /// Offset of the first record.
    pub first: StreamOffset,
    /// Offset after the last record.
    pub next: StreamOffset,
}

/// Why a call to the log did not do what it should.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The records asked for are no longer kept.
    #[error("records before {first} are gone; read the newest of each key")]
    Truncated {
        /// Oldest offset that is kept.
        first: StreamOffset,
    },
    /// The log refused the call; nothing was done.
    #[error("the log refused the call ({status}); try again later")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No connection was made; nothing was done.
    #[error("no connection to the log; check its address and the network")]
    Unreachable,
    /// The call may have been carried out, or still be.
    #[error("no answer from the log; read back what it may have done")]
    NoAnswer,
    /// The condition of the append did not hold; nothing was done.
    #[error("the stream ends at {end} instead; read on and decide again")]
    EndMismatch {
        /// Where the stream ends.
        end: StreamOffset,
    },
    /// A writer of a higher epoch has appended; nothing was done.
    #[error("a planner of a higher epoch has written; stop planning")]
    Fenced,
    /// The append is not the writer's next one; nothing was done.
    #[error("the log expects append {expected} of this writer; claim the seat again")]
    Sequence {
        /// Number expected next.
        expected: u64,
    },
    /// The answer cannot be read.
    #[error("the log's answer cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl StreamError {
    /// Whether the call certainly had no effect and will have none.
    pub const fn is_definite(&self) -> bool {
        !matches!(self, Self::NoAnswer | Self::Malformed { .. })
    }

    /// Word for log lines and counters.
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
