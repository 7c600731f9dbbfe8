//! What a host knows on its way to the seat: the words of members that stopped
//! promising, its own claims, and how long its own term must wait.

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::leader_lease::HostIncarnation;
use crate::process::election::record::VoterIdentity;
use crate::process::election::times::ElectionTimes;
use crate::process::planner::event::LeaderTerm;

/// Most doublings of a claimant's patience.
const PATIENCE_DOUBLINGS: u32 = 10;

/// The word of a member that it promises nothing to `term` or any before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RefusalWord {
    term: LeaderTerm,
    received_at: MonotonicTime,
}

/// Evidence of one host that the former holder has stopped.
#[derive(Clone, Debug, Default)]
pub struct CandidateState {
    words: BTreeMap<HostIncarnation, RefusalWord>,
    /// When this host read its own claim, if it holds the newest term.
    pub claim_read_at: Option<MonotonicTime>,
    /// Claims of this host that another claim replaced before they were active.
    pub superseded_claims: u32,
}

impl CandidateState {
    /// Notes the word of `run`; an earlier word for the same or a later term stays.
    pub fn record_refusal(
        &mut self,
        run: HostIncarnation,
        term: LeaderTerm,
        received_at: MonotonicTime,
    ) {
        let word = RefusalWord { term, received_at };
        let newest = self.words.entry(run).or_insert(word);
        if term > newest.term {
            *newest = word;
        }
    }

    /// When the promises to the holder of `predecessor` ended for lack of a member that
    /// the holder needs: at `claim_read_at` for a member itself, otherwise with
    /// the first word of a member other than the holder.
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
            .filter_map(|member| self.words.get(&HostIncarnation::from(member)))
            .filter(|word| word.term >= predecessor.term)
            .map(|word| word.received_at.max(claim_read_at))
            .min()
    }

    /// When this host's own term may become active.
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
        let long = read_at + times.lease_expiry_wait();
        let short = self
            .grants_ended_at(predecessor, own, read_at)
            .map(|ended_at| ended_at + times.grant_expiry_wait());
        Some(short.map_or(long, |short| short.min(long)))
    }

    /// How long the holder must be silent before this host claims. It doubles
    /// with each claim that came to nothing, so that two hosts that see the log
    /// but not each other do not take the seat from one another for ever.
    pub fn claim_delay(&self, times: ElectionTimes) -> Duration {
        let doublings = self.superseded_claims.min(PATIENCE_DOUBLINGS);
        times
            .lease_duration
            .saturating_mul(1 << doublings)
            .min(times.max_log_outage)
    }
}
