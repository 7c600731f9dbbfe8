//! Output of the leader election. Every append and request is repeated until its
//! effect is observed, so the node may drop any of them.

use crate::prelude::*;
use crate::process::election::record::{VoterIdentity, VoterSetOffset};
use crate::process::planner::event::LeaderTerm;

/// A request of the leader election to its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionAction {
    /// Append a claim by this host.
    AppendClaim {
        /// Term that the claim replaces.
        base_term: LeaderTerm,
        /// Voters of the new term, this host among them.
        voters: Vec<VoterIdentity>,
    },
    /// Append that this host is the active leader, since the lease of the previous
    /// leader has expired.
    AppendActive {
        /// Term of this host.
        term: LeaderTerm,
    },
    /// Append a new voter set.
    AppendVoterSet {
        /// Term of this host.
        term: LeaderTerm,
        /// Voter set that is replaced.
        base_voter_set: VoterSetOffset,
        /// New voters, this host among them.
        voters: Vec<VoterIdentity>,
    },
    /// Append that this host has resigned.
    AppendResignation {
        /// Term of this host.
        term: LeaderTerm,
        /// Host that should claim next.
        successor: Option<HostName>,
    },
    /// Ask a voter to grant the leader lease. The node takes the time of the request
    /// before it sends it.
    RequestGrant {
        /// Voter that receives the request.
        to: VoterIdentity,
        /// Term of this host.
        term: LeaderTerm,
    },
    /// Answer `GrantRequested`.
    AnswerGrant {
        /// Host that sent the request.
        to: HostName,
        /// Term of the request.
        term: LeaderTerm,
        /// Number of the request.
        request: u64,
        /// Whether this host grants the lease.
        granted: bool,
        /// Incarnation of this host.
        incarnation: u64,
    },
    /// Ask a voter to refuse a term all further grants.
    RequestRefusal {
        /// Voter that receives the request.
        to: VoterIdentity,
        /// Term that is to be refused.
        term: LeaderTerm,
    },
    /// Answer `RefusalRequested`.
    AnswerRefusal {
        /// Host that sent the request.
        to: HostName,
        /// Term of the request.
        term: LeaderTerm,
        /// Number of the request.
        request: u64,
        /// Whether this host refuses the term, which it then does permanently.
        refused: bool,
        /// Incarnation of this host.
        incarnation: u64,
    },
    /// This host may start jobs from now on, provided that
    /// `LeaderElection::may_start` holds just before each send.
    Gained {
        /// Term of this host.
        term: LeaderTerm,
    },
    /// This host may start nothing from now on.
    Lost,
}
