//! What the follower is told and what it asks for.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{LogOffset, StoredEntry};
use crate::process::snapshot::Snapshot;

/// Number of a read request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

impl Display for ReadId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "read{}", self.0)
    }
}

/// An answer of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadPage {
    /// Records in the order of their offsets.
    pub records: Vec<StoredEntry>,
    /// Oldest offset that retention has kept.
    pub first: LogOffset,
    /// Offset to read from next.
    pub next: LogOffset,
    /// Offset after the newest record.
    pub tail: LogOffset,
}

/// Why a read gave no page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// No answer, or one that says nothing about the records.
    Unavailable,
    /// The page is larger than a host will hold.
    TooLarge,
}

/// What the follower is told.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEvent {
    /// A page came.
    ReadAnswered {
        /// The read.
        read: ReadId,
        /// Its page.
        page: ReadPage,
    },
    /// A read failed.
    ReadFailed {
        /// The read.
        read: ReadId,
        /// Why.
        error: ReadError,
    },
    /// Time passed; sent at least every 100 ms.
    Tick,
}

/// What the follower asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Read a page.
    Read {
        /// Number of the read.
        read: ReadId,
        /// First offset wanted.
        from: LogOffset,
        /// Most records wanted.
        limit: u32,
        /// Time for which the log may hold the read until there is a record.
        wait: Duration,
        /// Whether to open a new connection: one before it may have gone silent.
        is_connection_new: bool,
    },
    /// A read has no use any more; its connection can be closed.
    AbandonRead {
        /// The read.
        read: ReadId,
    },
    /// The next record in order.
    Apply(StoredEntry),
    /// Records were lost to retention; what was applied before is out of date
    /// until a snapshot replaces it.
    Truncated {
        /// First offset that was not read.
        from: LogOffset,
        /// Oldest offset that is left.
        first: LogOffset,
    },
    /// Replaces all state; records follow from its offset on.
    Restore(Snapshot),
    /// No snapshot came in time; records follow from the oldest one left. State
    /// that only lost records held is lost. The next snapshot is restored, whoever
    /// writes it, so that hosts that lost different records agree again.
    RestoreAbandoned {
        /// Oldest offset that is left.
        first: LogOffset,
    },
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FollowerCounters {
    /// Records handed out.
    pub applied: u64,
    /// Records that came again or out of order.
    pub repeated: u64,
    /// Records skipped since they are larger than any reader takes.
    pub oversized: u64,
    /// Reads that failed.
    pub failed: u64,
    /// Reads sent since another went without an answer.
    pub timed_out: u64,
    /// Answers by which the log ends before records that it gave earlier.
    pub regressed: u64,
    /// Times that records were lost to retention.
    pub truncated: u64,
}
