//! Checks of the seat's invariants, apart from the code that keeps them. It
//! reports every fault it finds.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::state::LeaderElection;
use crate::process::planner::event::LeaderTerm;

/// A broken invariant of one host's seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionError {
    /// A roster lacks the holder that needs it.
    HolderMissing(LeaderTerm),
    /// A roster names one host twice.
    DuplicateHost(LeaderTerm),
    /// The guard is not older than the newest term, or was never active.
    BadPredecessor(LeaderTerm),
    /// A host knows a record that is newer than the newest term it has heard of.
    SeenTooLow(LeaderTerm),
    /// A host may start although the log names another holder, or a waiting one.
    StartsWithoutTerm,
    /// A host may start on evidence older than the longest that counts.
    StartsWithoutEvidence,
    /// A claimant still promises to the term that it replaced.
    GrantsAfterClaim(LeaderTerm),
}

impl Display for ElectionError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::HolderMissing(term) => write!(f, "roster of {term} lacks its holder"),
            Self::DuplicateHost(term) => write!(f, "roster of {term} names a host twice"),
            Self::BadPredecessor(term) => write!(f, "guard {term} is not an older active term"),
            Self::SeenTooLow(term) => write!(f, "newest seen term is below {term}"),
            Self::StartsWithoutTerm => f.write_str("may start without an active term"),
            Self::StartsWithoutEvidence => f.write_str("may start on lapsed evidence"),
            Self::GrantsAfterClaim(term) => write!(f, "may promise to {term} after a claim"),
        }
    }
}

/// All faults of `state` at `now`.
pub fn verify_election(state: &LeaderElection, now: MonotonicTime) -> Vec<ElectionError> {
    let mut faults = Vec::new();
    let history = state.history();
    for entry in history.current().into_iter().chain(history.predecessor()) {
        verify_roster(entry, &mut faults);
    }
    if let Some(predecessor) = history.predecessor()
        && (predecessor.term >= history.term() || !predecessor.active || predecessor.resigned)
    {
        faults.push(ElectionError::BadPredecessor(predecessor.term));
    }
    if state.newest_seen < history.term() {
        faults.push(ElectionError::SeenTooLow(history.term()));
    }
    verify_claim(state, &mut faults);
    if state.may_start(now) {
        verify_start(state, now, &mut faults);
    }
    faults
}

fn verify_roster(entry: &TermEntry, faults: &mut Vec<ElectionError>) {
    if !entry.has_voter(&entry.holder) {
        faults.push(ElectionError::HolderMissing(entry.term));
    }
    let hosts: BTreeSet<_> = entry.voters.iter().map(|member| &member.host).collect();
    if hosts.len() != entry.voters.len() {
        faults.push(ElectionError::DuplicateHost(entry.term));
    }
}

fn verify_claim(state: &LeaderElection, faults: &mut Vec<ElectionError>) {
    let Some(predecessor) = state.history().predecessor() else {
        return;
    };
    let holder = state.history().current().map(|entry| &entry.holder);
    let is_claimant = holder.is_some_and(|holder| holder.is_same_incarnation(state.own()));
    if is_claimant && state.refused_until < predecessor.term {
        faults.push(ElectionError::GrantsAfterClaim(predecessor.term));
    }
}

fn verify_start(state: &LeaderElection, now: MonotonicTime, faults: &mut Vec<ElectionError>) {
    let holds = state.history().current().is_some_and(|entry| {
        entry.holder.is_same_incarnation(state.own()) && entry.active && !entry.resigned
    });
    if !holds {
        faults.push(ElectionError::StartsWithoutTerm);
    }
    let age = state.lease.log_sent_at.map(|sent_at| now.since(sent_at));
    if age.is_none_or(|age| age >= state.times().max_log_outage) {
        faults.push(ElectionError::StartsWithoutEvidence);
    }
}
