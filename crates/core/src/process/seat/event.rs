//! What the seat is told.

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::record::{RosterMember, SeatRecord};

/// Everything the seat reacts to. Times at which requests were sent are taken
/// before the request leaves, on the same monotonic clock as `now`.
#[derive(Clone, Debug)]
pub enum SeatEvent {
    /// A record of the zone's seat stream was read, in the order of offsets.
    LogRecord {
        /// Its offset.
        offset: u64,
        /// The record.
        record: SeatRecord,
    },
    /// A read reached the end of the log; all records before the end were
    /// handed over before this event.
    LogTailRead {
        /// When the read was sent.
        sent_at: MonotonicTime,
    },
    /// A read or an append failed or had no answer. An append may still have
    /// taken effect, or may yet.
    LogFailed,
    /// Answer to `AskPromise`.
    PromiseAnswered {
        /// Host that answered.
        from: HostName,
        /// Incarnation that answered.
        incarnation: u64,
        /// Term of the request.
        term: SeatTerm,
        /// When the request was sent.
        sent_at: MonotonicTime,
        /// Whether the member promises.
        granted: bool,
    },
    /// The holder of a term asks this host for a promise.
    PromiseAsked {
        /// Host that asks.
        from: HostName,
        /// Term of the holder.
        term: SeatTerm,
        /// Incarnation that the holder means to ask.
        incarnation: u64,
        /// Number to echo.
        request: u64,
    },
    /// A claimant asks this host to promise nothing to a term any more.
    RefusalAsked {
        /// Host that asks.
        from: HostName,
        /// Term that is to lose its promises.
        term: SeatTerm,
        /// Number to echo.
        request: u64,
    },
    /// Answer to `AskRefusal`.
    RefusalAnswered {
        /// Host that answered.
        from: HostName,
        /// Incarnation that answered.
        incarnation: u64,
        /// Term of the request.
        term: SeatTerm,
        /// Whether the member has stopped promising to that term and all before.
        refused: bool,
    },
    /// A peer of the zone is alive. Soft: never decides safety.
    MemberSeen {
        /// The peer.
        member: RosterMember,
    },
    /// A peer of the zone is silent or gone. Soft: never decides safety.
    MemberGone {
        /// Name of the peer.
        host: HostName,
    },
    /// This host is about to stop.
    YieldRequested,
    /// Time passed; sent at least four times per `t`.
    Tick,
}
