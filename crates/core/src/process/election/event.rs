//! What the seat is told.

use crate::prelude::*;
use crate::process::election::record::{ElectionRecord, VoterIdentity};
use crate::process::planner::event::LeaderTerm;

/// Everything the seat reacts to. Times at which requests were sent are taken
/// before the request leaves, on the same monotonic clock as `now`.
#[derive(Clone, Debug)]
pub enum ElectionEvent {
    /// A record of the zone's seat stream was read, in the order of offsets.
    LogRecord {
        /// Its offset.
        offset: u64,
        /// The record.
        record: ElectionRecord,
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
    /// Answer to `RequestGrant`.
    GrantAnswered {
        /// Host that answered.
        from: HostName,
        /// Incarnation that answered.
        incarnation: u64,
        /// Term of the request.
        term: LeaderTerm,
        /// When the request was sent.
        sent_at: MonotonicTime,
        /// Whether the member promises.
        granted: bool,
    },
    /// The holder of a term asks this host for a promise.
    GrantRequested {
        /// Host that asks.
        from: HostName,
        /// Term of the holder.
        term: LeaderTerm,
        /// Incarnation that the holder means to ask.
        incarnation: u64,
        /// Number to echo.
        request: u64,
    },
    /// A claimant asks this host to promise nothing to a term any more.
    RefusalRequested {
        /// Host that asks.
        from: HostName,
        /// Term that is to lose its promises.
        term: LeaderTerm,
        /// Number to echo.
        request: u64,
    },
    /// Answer to `RequestRefusal`.
    RefusalAnswered {
        /// Host that answered.
        from: HostName,
        /// Incarnation that answered.
        incarnation: u64,
        /// Term of the request.
        term: LeaderTerm,
        /// Whether the member has stopped promising to that term and all before.
        refused: bool,
    },
    /// A peer of the zone is alive. Soft: never decides safety.
    PeerAlive {
        /// The peer.
        member: VoterIdentity,
    },
    /// A peer of the zone is silent or gone. Soft: never decides safety.
    PeerLost {
        /// Name of the peer.
        host: HostName,
    },
    /// This host is about to stop.
    ResignationRequested,
    /// Time passed; sent at least four times per `lease_duration`.
    Tick,
}
