//! Events, actions and errors of the log appender.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

use crate::prelude::*;
use crate::process::log_appender::{MAX_QUEUED_RECORDS, MAX_RECORD_BYTES};
use crate::process::record::{LogEntry, LogOffset};

/// Identifier of an append request.
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
    /// Identifier, unique to the record.
    pub id: RecordId,
    /// Content.
    pub entry: LogEntry,
    /// Size on the wire in bytes.
    pub bytes: usize,
    /// When the appender stops trying to write the record; `None` for records that
    /// must not be lost, such as the end of a job.
    pub expires_at: Option<MonotonicTime>,
}

/// Why a record was not queued.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SubmitError {
    /// Too many records are open.
    #[error("{MAX_QUEUED_RECORDS} records wait for the log; try again when it answers")]
    QueueFull,
    /// The record is larger than readers accept.
    #[error("the record has {bytes} bytes; make it smaller than {MAX_RECORD_BYTES}")]
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
    },
}

/// Why an append returned no offsets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendError {
    /// No connection could be made: the records are certainly not written.
    NotSent,
    /// The log refused the request as a whole: the records are certainly not written.
    Refused(String),
    /// Unknown outcome: the records may be written, may still be written later, or are
    /// lost.
    Unknown,
}

/// Input of the appender.
#[derive(Clone, Debug, PartialEq)]
pub enum AppenderEvent {
    /// An append was answered.
    Answered {
        /// Identifier of the append.
        append: AppendId,
        /// Offset of its first record.
        first: LogOffset,
        /// Offset after its last record.
        next: LogOffset,
    },
    /// An append failed.
    Failed {
        /// Identifier of the append.
        append: AppendId,
        /// Why it failed.
        error: AppendError,
    },
    /// The follower read a record from the log.
    Followed {
        /// Identifier of the record.
        id: RecordId,
        /// Offset of the record.
        offset: LogOffset,
    },
    /// The follower has delivered all records that were in the log at a given time.
    CaughtUp {
        /// When the read was sent.
        at: MonotonicTime,
    },
    /// Timer tick, sent at least every 100 ms.
    Tick,
}

/// Output of the appender: requests to the log and reports on records.
#[derive(Clone, Debug, PartialEq)]
pub enum AppenderAction {
    /// Append all of these records or none.
    Append {
        /// Identifier of the append.
        append: AppendId,
        /// Records in the order in which they are to be written.
        records: Vec<OutgoingRecord>,
    },
    /// A record is in the log. Reported once.
    Written {
        /// Identifier of the record.
        id: RecordId,
        /// Offset of the record; `None` if the log's response does not determine it,
        /// in which case the follower delivers it later.
        offset: Option<LogOffset>,
    },
    /// A record is not in the log and will not be. Reported once.
    NotWritten {
        /// Identifier of the record.
        id: RecordId,
        /// Why it was not written.
        reason: NotWrittenReason,
    },
    /// A record expired while it was unknown whether it was written. It is not sent
    /// again. `Written` may follow.
    Unresolved {
        /// Identifier of the record.
        id: RecordId,
    },
}

/// Why a record is certainly not in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotWrittenReason {
    /// It expired before it was sent.
    Expired,
    /// The log refused it with this message.
    Refused(String),
}

/// Counters of an appender.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppenderCounters {
    /// Appends sent.
    pub appends: u64,
    /// Records sent, including retries.
    pub records: u64,
    /// Records sent again.
    pub retried: u64,
    /// Appends whose outcome became unknown.
    pub unanswered: u64,
    /// Records found to be written by reading the log.
    pub resolved_by_reading: u64,
}
