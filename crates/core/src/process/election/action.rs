//! What the seat asks for. Every append and question is repeated until its
//! effect is seen, so the node may drop any of them.

use crate::prelude::*;
use crate::process::election::record::{VoterIdentity, VoterSetOffset};
use crate::process::planner::event::LeaderTerm;

/// Everything the seat can ask of its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionAction {
    /// Append a claim by this host.
    AppendClaim {
        /// Term that the claim replaces.
        base_term: LeaderTerm,
        /// Candidates, this host among them.
        voters: Vec<VoterIdentity>,
    },
    /// Append that this host's wait is over.
    AppendActive {
        /// Term of this host.
        term: LeaderTerm,
    },
    /// Append new candidates.
    AppendVoterSet {
        /// Term of this host.
        term: LeaderTerm,
        /// Roster that is replaced.
        base_voter_set: VoterSetOffset,
        /// New candidates.
        voters: Vec<VoterIdentity>,
    },
    /// Append that this host has stopped.
    AppendResignation {
        /// Term of this host.
        term: LeaderTerm,
        /// Host that should claim next.
        successor: Option<HostName>,
    },
    /// Ask a member for a promise; the time is taken before sending.
    RequestGrant {
        /// Member to ask.
        to: VoterIdentity,
        /// Term of this host.
        term: LeaderTerm,
    },
    /// Answer `GrantRequested`.
    AnswerGrant {
        /// Host that asked.
        to: HostName,
        /// Term of the request.
        term: LeaderTerm,
        /// Number of the request.
        request: u64,
        /// Whether this host promises.
        granted: bool,
        /// Incarnation of this host.
        incarnation: u64,
    },
    /// Ask a member to promise nothing to a term any more.
    RequestRefusal {
        /// Member to ask.
        to: VoterIdentity,
        /// Term that is to lose its promises.
        term: LeaderTerm,
    },
    /// Answer `RefusalRequested`.
    AnswerRefusal {
        /// Host that asked.
        to: HostName,
        /// Term of the request.
        term: LeaderTerm,
        /// Number of the request.
        request: u64,
        /// Whether this host has stopped promising, for good.
        refused: bool,
        /// Incarnation of this host.
        incarnation: u64,
    },
    /// This host may start jobs from now on, as long as `SeatState::may_start`
    /// says so just before each send.
    Gained {
        /// Term of this host.
        term: LeaderTerm,
    },
    /// This host may start nothing from now on.
    Lost,
}
