//! Input of the leader election.

use crate::prelude::*;
use crate::process::election::record::{ElectionRecord, VoterIdentity};
use crate::process::planner::event::LeaderTerm;

/// An event that the leader election handles. Times at which requests were sent are
/// taken before the request leaves, on the same monotonic clock as `now`.
#[derive(Clone, Debug)]
pub enum ElectionEvent {
    /// A record of the zone's election stream was read. Records come in the order of
    /// their offsets.
    LogRecord {
        /// Offset of the record.
        offset: u64,
        /// The record.
        record: ElectionRecord,
    },
    /// A read reached the end of the log. All records before the end were passed in
    /// before this event.
    LogTailRead {
        /// When the read was sent.
        sent_at: MonotonicTime,
    },
    /// A read or an append failed or had no answer. The append may have taken effect
    /// or may do so later.
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
        /// Whether the voter grants the lease.
        granted: bool,
    },
    /// The holder of a term requests a grant of the leader lease from this host.
    GrantRequested {
        /// Host that sent the request.
        from: HostName,
        /// Term of the holder.
        term: LeaderTerm,
        /// Incarnation that the request is meant for.
        incarnation: u64,
        /// Number that the answer repeats.
        request: u64,
    },
    /// A candidate requests that this host refuse a term all further grants.
    RefusalRequested {
        /// Host that sent the request.
        from: HostName,
        /// Term that is to be refused.
        term: LeaderTerm,
        /// Number that the answer repeats.
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
        /// Whether the voter refuses that term and all terms before it.
        refused: bool,
    },
    /// A peer of the zone is alive. This is a hint: safety does not depend on it.
    PeerAlive {
        /// The peer.
        peer: VoterIdentity,
    },
    /// A peer of the zone is silent or has stopped. This is a hint: safety does not
    /// depend on it.
    PeerLost {
        /// Name of the peer.
        host: HostName,
    },
    /// This host is about to stop.
    ResignationRequested,
    /// Time passed. Sent at least four times per `lease_duration`.
    Tick,
}
