//! What the seat asks for. Every append and question is repeated until its
//! effect is seen, so the node may drop any of them.

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::record::{RosterMember, RosterOffset};

/// Everything the seat can ask of its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SeatAction {
    /// Append a claim by this host.
    AppendClaim {
        /// Term that the claim replaces.
        base_term: SeatTerm,
        /// Candidates, this host among them.
        roster: Vec<RosterMember>,
    },
    /// Append that this host's wait is over.
    AppendActive {
        /// Term of this host.
        term: SeatTerm,
    },
    /// Append new candidates.
    AppendRoster {
        /// Term of this host.
        term: SeatTerm,
        /// Roster that is replaced.
        base_roster: RosterOffset,
        /// New candidates.
        roster: Vec<RosterMember>,
    },
    /// Append that this host has stopped.
    AppendYield {
        /// Term of this host.
        term: SeatTerm,
        /// Host that should claim next.
        successor: Option<HostName>,
    },
    /// Ask a member for a promise; the time is taken before sending.
    AskPromise {
        /// Member to ask.
        to: RosterMember,
        /// Term of this host.
        term: SeatTerm,
    },
    /// Answer `PromiseAsked`.
    AnswerPromise {
        /// Host that asked.
        to: HostName,
        /// Term of the request.
        term: SeatTerm,
        /// Number of the request.
        request: u64,
        /// Whether this host promises.
        granted: bool,
        /// Incarnation of this host.
        incarnation: u64,
    },
    /// Ask a member to promise nothing to a term any more.
    AskRefusal {
        /// Member to ask.
        to: RosterMember,
        /// Term that is to lose its promises.
        term: SeatTerm,
    },
    /// Answer `RefusalAsked`.
    AnswerRefusal {
        /// Host that asked.
        to: HostName,
        /// Term of the request.
        term: SeatTerm,
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
        term: SeatTerm,
    },
    /// This host may start nothing from now on.
    Lost,
}
