//! Records of a zone's election stream, decoded into the types that decisions use.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::planner::event::LeaderTerm;

/// One incarnation of an entry host, as a voter. A restarted host is another voter,
/// since it has lost its record of what it granted and refused.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VoterIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its process; differs after every restart.
    pub incarnation: u64,
    /// Address at which peers reach it. Not part of its identity.
    pub address: SocketAddr,
}

impl VoterIdentity {
    /// Whether both name the same incarnation of the same host.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation == other.incarnation
    }
}

impl Display for VoterIdentity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// Offset of the record that named a voter set: a claim or a voter set record.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct VoterSetOffset(pub u64);

impl Display for VoterSetOffset {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "roster{}", self.0)
    }
}

/// One record of the election stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionRecord {
    /// A host claims leadership. Has no effect unless `base_term` is the newest term.
    Claim {
        /// Term that the claim replaces; zero if there was none.
        base_term: LeaderTerm,
        /// Claiming host.
        holder: VoterIdentity,
        /// Voters whose grants count, the holder among them.
        voters: Vec<VoterIdentity>,
    },
    /// The holder is the active leader: the previous leader's lease has expired. Has no
    /// effect unless `term` is the newest term.
    Active {
        /// Term that became active.
        term: LeaderTerm,
    },
    /// The holder names a new voter set. Has no effect unless `term` is the newest term
    /// and `base_voter_set` its newest voter set.
    VoterSet {
        /// Term of the holder.
        term: LeaderTerm,
        /// Voter set that this one replaces.
        base_voter_set: VoterSetOffset,
        /// New voters, the holder among them.
        voters: Vec<VoterIdentity>,
    },
    /// The holder has resigned and starts no more jobs. Has no effect unless `term` is
    /// the newest term.
    Resign {
        /// Term that ended.
        term: LeaderTerm,
        /// Host that should claim next; `None` if the holder knows no live voter.
        successor: Option<HostName>,
    },
}
