//! Events, actions and errors of the log follower.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{LogOffset, StoredEntry};
use crate::process::snapshot::Snapshot;

/// Identifier of a read request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

impl Display for ReadId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "read{}", self.0)
    }
}

/// Response of the log to a read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadPage {
    /// Records in the order of their offsets.
    pub records: Vec<StoredEntry>,
    /// Oldest offset that retention has kept in the log.
    pub first: LogOffset,
    /// Offset to read from next.
    pub next: LogOffset,
    /// Offset after the newest record.
    pub tail: LogOffset,
}

/// Why a read returned no page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// No response, or one without a page.
    Unavailable,
    /// The page is larger than a host accepts.
    TooLarge,
}

/// Input of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEvent {
    /// A read was answered.
    ReadAnswered {
        /// Identifier of the read.
        read: ReadId,
        /// Page that it returned.
        page: ReadPage,
    },
    /// A read failed.
    ReadFailed {
        /// Identifier of the read.
        read: ReadId,
        /// Why it failed.
        error: ReadError,
    },
    /// Timer tick, sent at least every 100 ms.
    Tick,
}

/// Output of the follower: reads of the log, records and changes of state.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Read a page.
    Read {
        /// Identifier of the read.
        read: ReadId,
        /// Offset of the first record to return.
        from: LogOffset,
        /// Maximum number of records to return.
        limit: u32,
        /// Time for which the log may hold the read until there is a record.
        wait: Duration,
        /// Whether to open a new connection, since the present one may have stopped
        /// responding.
        is_connection_new: bool,
    },
    /// The response to a read is no longer needed; its connection can be closed.
    AbandonRead {
        /// Identifier of the read.
        read: ReadId,
    },
    /// The next record in order.
    Apply(StoredEntry),
    /// Retention removed records that were not read. State built from earlier records
    /// is out of date until a snapshot replaces it.
    Truncated {
        /// Lowest offset that was not read.
        from: LogOffset,
        /// Oldest offset left in the log.
        first: LogOffset,
    },
    /// The snapshot replaces all state; records follow from its offset on.
    Restore(Snapshot),
    /// No snapshot was found in time; records follow from the oldest one left in the
    /// log. State that only the removed records held is lost. The next snapshot is
    /// restored whichever host writes it, so that hosts that missed different records
    /// converge again.
    RestoreAbandoned {
        /// Oldest offset left in the log.
        first: LogOffset,
    },
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FollowerCounters {
    /// Records delivered.
    pub applied: u64,
    /// Records that were read again and not delivered twice.
    pub duplicates: u64,
    /// Records skipped because they are larger than readers accept.
    pub oversized: u64,
    /// Reads that failed.
    pub failed: u64,
    /// Reads sent because an earlier one timed out.
    pub timed_out: u64,
    /// Responses in which the log ends before records that it returned earlier.
    pub regressed: u64,
    /// Times that retention removed records that were not read.
    pub truncated: u64,
}
