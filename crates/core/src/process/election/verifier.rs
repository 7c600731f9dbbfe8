//! Checks the invariants of the leader election, independently of the code that
//! maintains them, and returns every violation.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::state::LeaderElection;
use crate::process::planner::event::LeaderTerm;

/// A violated invariant of the leader election on one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ElectionError {
    /// A voter set lacks the holder of its term.
    HolderMissing(LeaderTerm),
    /// A voter set names one host twice.
    DuplicateHost(LeaderTerm),
    /// The predecessor is not older than the newest term, was never active or has resigned.
    BadPredecessor(LeaderTerm),
    /// The history of a host has a newer term than the newest one that it has learned of.
    NewestSeenTooLow(LeaderTerm),
    /// A host may start jobs although the log names another holder, or one that is not
    /// active.
    StartsWithoutActiveTerm,
    /// A host may start jobs although it has no log read within the last `max_log_outage`.
    StartsWithoutLease,
    /// A candidate would still grant the lease to the term that it replaced.
    GrantsAfterClaim(LeaderTerm),
}

impl Display for ElectionError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::HolderMissing(term) => write!(f, "voter set of {term} lacks its holder"),
            Self::DuplicateHost(term) => write!(f, "voter set of {term} names a host twice"),
            Self::BadPredecessor(term) => write!(f, "{term} is not an older active predecessor"),
            Self::NewestSeenTooLow(term) => write!(f, "newest seen term is below {term}"),
            Self::StartsWithoutActiveTerm => f.write_str("may start without an active term"),
            Self::StartsWithoutLease => f.write_str("may start on an expired leader lease"),
            Self::GrantsAfterClaim(term) => write!(f, "may grant to {term} after a claim"),
        }
    }
}

/// Returns all violations in `state` at `now`.
pub fn verify_election(state: &LeaderElection, now: MonotonicTime) -> Vec<ElectionError> {
    let mut errors = Vec::new();
    let history = state.history();
    for entry in history.current().into_iter().chain(history.predecessor()) {
        verify_voter_set(entry, &mut errors);
    }
    if let Some(predecessor) = history.predecessor()
        && (predecessor.term >= history.term() || !predecessor.active || predecessor.resigned)
    {
        errors.push(ElectionError::BadPredecessor(predecessor.term));
    }
    if state.newest_seen < history.term() {
        errors.push(ElectionError::NewestSeenTooLow(history.term()));
    }
    verify_claim(state, &mut errors);
    if state.may_start(now) {
        verify_start(state, now, &mut errors);
    }
    errors
}

fn verify_voter_set(entry: &TermEntry, errors: &mut Vec<ElectionError>) {
    if !entry.has_voter(&entry.holder) {
        errors.push(ElectionError::HolderMissing(entry.term));
    }
    let hosts: BTreeSet<_> = entry.voters.iter().map(|voter| &voter.host).collect();
    if hosts.len() != entry.voters.len() {
        errors.push(ElectionError::DuplicateHost(entry.term));
    }
}

fn verify_claim(state: &LeaderElection, errors: &mut Vec<ElectionError>) {
    let Some(predecessor) = state.history().predecessor() else {
        return;
    };
    let holder = state.history().current().map(|entry| &entry.holder);
    let is_holder = holder.is_some_and(|holder| holder.is_same_incarnation(state.own()));
    if is_holder && state.refused_until < predecessor.term {
        errors.push(ElectionError::GrantsAfterClaim(predecessor.term));
    }
}

fn verify_start(state: &LeaderElection, now: MonotonicTime, errors: &mut Vec<ElectionError>) {
    let is_leader = state.history().current().is_some_and(|entry| {
        entry.holder.is_same_incarnation(state.own()) && entry.active && !entry.resigned
    });
    if !is_leader {
        errors.push(ElectionError::StartsWithoutActiveTerm);
    }
    let age = state.lease.log_sent_at.map(|sent_at| now.since(sent_at));
    if age.is_none_or(|age| age >= state.times().max_log_outage) {
        errors.push(ElectionError::StartsWithoutLease);
    }
}
