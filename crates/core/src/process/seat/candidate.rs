//! What a host knows on its way to the seat: the words of members that stopped
//! promising, its own claims, and how long its own term must wait.

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::authority::MemberRun;
use crate::process::seat::ledger::SeatTenure;
use crate::process::seat::record::RosterMember;
use crate::process::seat::times::SeatTimes;

/// Most doublings of a claimant's patience.
const PATIENCE_DOUBLINGS: u32 = 10;

/// The word of a member that it promises nothing to `term` or any before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RefusalWord {
    term: SeatTerm,
    received_at: MonotonicTime,
}

/// Evidence of one host that the former holder has stopped.
#[derive(Clone, Debug, Default)]
pub struct CandidateState {
    words: BTreeMap<MemberRun, RefusalWord>,
    /// When this host read its own claim, if it holds the newest term.
    pub claim_read_at: Option<MonotonicTime>,
    /// Claims of this host that another claim replaced before they were active.
    pub overtaken: u32,
}

impl CandidateState {
    /// Notes the word of `run`; an earlier word for the same or a later term stays.
    pub fn note_word(&mut self, run: MemberRun, term: SeatTerm, received_at: MonotonicTime) {
        let word = RefusalWord { term, received_at };
        let newest = self.words.entry(run).or_insert(word);
        if term > newest.term {
            *newest = word;
        }
    }

    /// When the promises to the holder of `guard` ended for lack of a member that
    /// the holder needs: at `claim_read_at` for a member itself, otherwise with
    /// the first word of a member other than the holder.
    pub fn promises_ended_at(
        &self,
        guard: &SeatTenure,
        own: &RosterMember,
        claim_read_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if guard.has_member(own) {
            return Some(claim_read_at);
        }
        guard
            .other_members()
            .filter_map(|member| self.words.get(&MemberRun::from(member)))
            .filter(|word| word.term >= guard.term)
            .map(|word| word.received_at.max(claim_read_at))
            .min()
    }

    /// When this host's own term may become active.
    pub fn wait_ends_at(
        &self,
        guard: Option<&SeatTenure>,
        own: &RosterMember,
        times: SeatTimes,
    ) -> Option<MonotonicTime> {
        let read_at = self.claim_read_at?;
        let Some(guard) = guard else {
            return Some(read_at);
        };
        let long = read_at + times.long_wait();
        let short = self
            .promises_ended_at(guard, own, read_at)
            .map(|ended_at| ended_at + times.short_wait());
        Some(short.map_or(long, |short| short.min(long)))
    }

    /// How long the holder must be silent before this host claims. It doubles
    /// with each claim that came to nothing, so that two hosts that see the log
    /// but not each other do not take the seat from one another for ever.
    pub fn patience(&self, times: SeatTimes) -> Duration {
        let doublings = self.overtaken.min(PATIENCE_DOUBLINGS);
        times.t.saturating_mul(1 << doublings).min(times.w)
    }
}
