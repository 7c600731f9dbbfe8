//! State of a host on its way to leadership: the refusals that it has received, its
//! own claims, and how long its own term must wait before it may become active.

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::leader_lease::HostIncarnation;
use crate::process::election::record::VoterIdentity;
use crate::process::election::times::ElectionTimes;
use crate::process::planner::event::LeaderTerm;

/// Maximum number of doublings of the claim delay, which is also at most
/// `max_log_outage`.
const MAX_CLAIM_DELAY_DOUBLINGS: u32 = 10;

/// A voter's statement that it grants nothing more to `term` or any term before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Refusal {
    term: LeaderTerm,
    received_at: MonotonicTime,
}

/// State from which a candidate decides when to claim leadership, and when the leader
/// lease of the predecessor has expired.
#[derive(Clone, Debug, Default)]
pub struct CandidateState {
    /// Newest refusal of each voter.
    refusals: BTreeMap<HostIncarnation, Refusal>,
    /// When this host read its own claim; `None` unless it holds the newest term.
    pub claim_read_at: Option<MonotonicTime>,
    /// Consecutive claims of this host that another claim replaced before they became
    /// active.
    pub superseded_claims: u32,
}

impl CandidateState {
    /// Records the refusal of `voter`, unless an earlier one covers the same or a later
    /// term.
    pub fn record_refusal(
        &mut self,
        voter: HostIncarnation,
        term: LeaderTerm,
        received_at: MonotonicTime,
    ) {
        let refusal = Refusal { term, received_at };
        let newest = self.refusals.entry(voter).or_insert(refusal);
        if term > newest.term {
            *newest = refusal;
        }
    }

    /// Returns when the holder of `predecessor` lost a grant that it needs, or `None` if
    /// that is not known. A candidate that is itself a voter stopped granting by
    /// `claim_read_at`; any other waits for the first refusal of a voter other than the
    /// holder.
    pub fn grants_ended_at(
        &self,
        predecessor: &TermEntry,
        own: &VoterIdentity,
        claim_read_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if predecessor.has_voter(own) {
            return Some(claim_read_at);
        }
        predecessor
            .other_voters()
            .filter_map(|voter| self.refusals.get(&HostIncarnation::from(voter)))
            .filter(|refusal| refusal.term >= predecessor.term)
            .map(|refusal| refusal.received_at.max(claim_read_at))
            .min()
    }

    /// Returns when this host's own term may become active, which is once the leader
    /// lease of `predecessor` has expired; `None` unless this host has read its claim.
    pub fn wait_ends_at(
        &self,
        predecessor: Option<&TermEntry>,
        own: &VoterIdentity,
        times: ElectionTimes,
    ) -> Option<MonotonicTime> {
        let read_at = self.claim_read_at?;
        let Some(predecessor) = predecessor else {
            return Some(read_at);
        };
        let lease_end = read_at + times.lease_expiry_wait();
        let grants_end = self
            .grants_ended_at(predecessor, own, read_at)
            .map(|ended_at| ended_at + times.grant_expiry_wait());
        Some(grants_end.map_or(lease_end, |grants_end| grants_end.min(lease_end)))
    }

    /// Returns how long the holder must be silent before this host claims. The delay
    /// doubles with each superseded claim, so that two hosts that reach the log but not
    /// each other do not replace one another forever.
    pub fn claim_delay(&self, times: ElectionTimes) -> Duration {
        let doublings = self.superseded_claims.min(MAX_CLAIM_DELAY_DOUBLINGS);
        times
            .lease_duration
            .saturating_mul(1 << doublings)
            .min(times.max_log_outage)
    }
}
