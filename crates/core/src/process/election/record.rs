//! Records of a zone's seat stream, in the form that decisions use.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::planner::event::LeaderTerm;

/// One run of an entry host's process. A restarted host is another member: it
/// has forgotten what it promised and refused.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VoterIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its process; differs for every run.
    pub incarnation: u64,
    /// Where peers reach it. Not part of its identity.
    pub address: SocketAddr,
}

impl VoterIdentity {
    /// Whether both name the same run of the same host.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation == other.incarnation
    }
}

impl Display for VoterIdentity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// Offset of the record that named a roster: a claim or a roster record.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct VoterSetOffset(pub u64);

impl Display for VoterSetOffset {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "roster{}", self.0)
    }
}

/// One record of the seat stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionRecord {
    /// A host claims the seat. Void unless `base_term` is the newest term.
    Claim {
        /// Term that the claim replaces; zero when there was none.
        base_term: LeaderTerm,
        /// Claiming host.
        holder: VoterIdentity,
        /// Candidates whose promises count, the holder among them.
        voters: Vec<VoterIdentity>,
    },
    /// The holder's wait is over. Void unless `term` is the newest term.
    Active {
        /// Term that became active.
        term: LeaderTerm,
    },
    /// The holder names new candidates. Void unless `term` is the newest term and
    /// `base_voter_set` its newest roster.
    VoterSet {
        /// Term of the holder.
        term: LeaderTerm,
        /// Roster that this one replaces.
        base_voter_set: VoterSetOffset,
        /// New candidates, the holder among them.
        voters: Vec<VoterIdentity>,
    },
    /// The holder has stopped starting jobs for good. Void unless `term` is the
    /// newest term.
    Resign {
        /// Term that ended.
        term: LeaderTerm,
        /// Host that should claim next, if the holder knows one.
        successor: Option<HostName>,
    },
}
