//! Checks of the seat's invariants, apart from the code that keeps them. It
//! reports every fault it finds.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::ledger::SeatTenure;
use crate::process::seat::state::SeatState;

/// A broken invariant of one host's seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SeatFault {
    /// A roster lacks the holder that needs it.
    HolderMissing(SeatTerm),
    /// A roster names one host twice.
    HostTwice(SeatTerm),
    /// The guard is not older than the newest term, or was never active.
    GuardMisplaced(SeatTerm),
    /// A host knows a record that is newer than the newest term it has heard of.
    SeenTooLow(SeatTerm),
    /// A host may start although the log names another holder, or a waiting one.
    StartsWithoutTerm,
    /// A host may start on evidence older than the longest that counts.
    StartsWithoutEvidence,
    /// A claimant still promises to the term that it replaced.
    PromisesAfterClaim(SeatTerm),
}

impl Display for SeatFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::HolderMissing(term) => write!(f, "roster of {term} lacks its holder"),
            Self::HostTwice(term) => write!(f, "roster of {term} names a host twice"),
            Self::GuardMisplaced(term) => write!(f, "guard {term} is not an older active term"),
            Self::SeenTooLow(term) => write!(f, "newest seen term is below {term}"),
            Self::StartsWithoutTerm => f.write_str("may start without an active term"),
            Self::StartsWithoutEvidence => f.write_str("may start on lapsed evidence"),
            Self::PromisesAfterClaim(term) => write!(f, "may promise to {term} after a claim"),
        }
    }
}

/// All faults of `state` at `now`.
pub fn verify_seat(state: &SeatState, now: MonotonicTime) -> Vec<SeatFault> {
    let mut faults = Vec::new();
    let ledger = state.ledger();
    for tenure in ledger.current().into_iter().chain(ledger.guard()) {
        verify_roster(tenure, &mut faults);
    }
    if let Some(guard) = ledger.guard()
        && (guard.term >= ledger.term() || !guard.active || guard.yielded)
    {
        faults.push(SeatFault::GuardMisplaced(guard.term));
    }
    if state.newest_seen < ledger.term() {
        faults.push(SeatFault::SeenTooLow(ledger.term()));
    }
    verify_claim(state, &mut faults);
    if state.may_start(now) {
        verify_start(state, now, &mut faults);
    }
    faults
}

fn verify_roster(tenure: &SeatTenure, faults: &mut Vec<SeatFault>) {
    if !tenure.has_member(&tenure.holder) {
        faults.push(SeatFault::HolderMissing(tenure.term));
    }
    let hosts: BTreeSet<_> = tenure.roster.iter().map(|member| &member.host).collect();
    if hosts.len() != tenure.roster.len() {
        faults.push(SeatFault::HostTwice(tenure.term));
    }
}

fn verify_claim(state: &SeatState, faults: &mut Vec<SeatFault>) {
    let Some(guard) = state.ledger().guard() else {
        return;
    };
    let holder = state.ledger().current().map(|tenure| &tenure.holder);
    let is_claimant = holder.is_some_and(|holder| holder.is_same_run(state.own()));
    if is_claimant && state.refused_until < guard.term {
        faults.push(SeatFault::PromisesAfterClaim(guard.term));
    }
}

fn verify_start(state: &SeatState, now: MonotonicTime, faults: &mut Vec<SeatFault>) {
    let holds = state.ledger().current().is_some_and(|tenure| {
        tenure.holder.is_same_run(state.own()) && tenure.active && !tenure.yielded
    });
    if !holds {
        faults.push(SeatFault::StartsWithoutTerm);
    }
    let age = state
        .authority
        .log_sent_at
        .map(|sent_at| now.since(sent_at));
    if age.is_none_or(|age| age >= state.times().w) {
        faults.push(SeatFault::StartsWithoutEvidence);
    }
}
