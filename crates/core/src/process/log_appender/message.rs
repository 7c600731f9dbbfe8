//! What the appender is told, what it asks for and what it reports.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

use crate::prelude::*;
use crate::process::log_appender::{MAX_QUEUED_RECORDS, MAX_RECORD_BYTES};
use crate::process::record::{LogEntry, LogOffset};

/// Number of an append request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AppendId(pub u64);

impl Display for AppendId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "append{}", self.0)
    }
}

/// A record to append.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRecord {
    /// Identifier, new for every record.
    pub id: RecordId,
    /// What it says.
    pub entry: LogEntry,
    /// Bytes on the wire.
    pub bytes: usize,
    /// When it is no longer wanted; never for records that must not be lost,
    /// such as endings.
    pub expires_at: Option<MonotonicTime>,
}

/// Why a record was not taken.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SubmitError {
    /// Too many records wait.
    #[error("{MAX_QUEUED_RECORDS} records wait for the log; try again when it answers")]
    QueueFull,
    /// The record is larger than readers take.
    #[error("the record has {bytes} bytes; make it smaller than {MAX_RECORD_BYTES}")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// Why an append gave no offsets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendError {
    /// No connection could be made: certainly not written.
    NotSent,
    /// The log refused the request as such: certainly not written.
    Refused(String),
    /// Anything else: written, or not, or later.
    Unknown,
}

/// What the appender is told.
#[derive(Clone, Debug, PartialEq)]
pub enum AppenderEvent {
    /// An append was answered.
    Answered {
        /// The append.
        append: AppendId,
        /// Offset of its first record.
        first: LogOffset,
        /// Offset after its last record.
        next: LogOffset,
    },
    /// An append failed.
    Failed {
        /// The append.
        append: AppendId,
        /// How.
        error: AppendError,
    },
    /// The follower handed out a record.
    Followed {
        /// Its identifier.
        id: RecordId,
        /// Its offset.
        offset: LogOffset,
    },
    /// The follower has handed out all that was in the log at a time.
    CaughtUp {
        /// When the read was sent.
        at: MonotonicTime,
    },
    /// Time passed; sent at least every 100 ms.
    Tick,
}

/// What the appender asks for and reports.
#[derive(Clone, Debug, PartialEq)]
pub enum AppenderAction {
    /// Append records, all or none.
    Append {
        /// Number of the append.
        append: AppendId,
        /// Records in order.
        records: Vec<OutgoingRecord>,
    },
    /// A record is in the log. Reported once.
    Written {
        /// Its identifier.
        id: RecordId,
        /// Its offset, unless the log's answer leaves it open; the follower
        /// tells it later.
        offset: Option<LogOffset>,
    },
    /// A record is not in the log and will not be. Reported once.
    NotWritten {
        /// Its identifier.
        id: RecordId,
        /// Why.
        reason: NotWrittenReason,
    },
    /// A record's time is over and it is unknown whether it was written. It is
    /// not sent again. `Written` may follow.
    Unresolved {
        /// Its identifier.
        id: RecordId,
    },
}

/// Why a record is certainly not in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotWrittenReason {
    /// Its time was over before it was sent.
    Expired,
    /// The log refused it.
    Refused(String),
}

/// Counters of an appender.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppenderCounters {
    /// Appends sent.
    pub appends: u64,
    /// Records sent, repetitions included.
    pub records: u64,
    /// Records sent again.
    pub repeated: u64,
    /// Appends without a usable answer.
    pub unanswered: u64,
    /// Records settled by reading the log.
    pub resolved_by_reading: u64,
}
