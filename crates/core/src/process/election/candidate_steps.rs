//! What a host that does not hold the seat does next: it looks whether a holder is
//! there, asks for words, and claims.

use crate::prelude::*;
use crate::process::election::action::ElectionAction;
use crate::process::election::history::TermEntry;
use crate::process::election::state::LeaderElection;
use crate::process::planner::event::LeaderTerm;

/// Claimants outside the roster look this many times as long for a member's word
/// before they claim without one.
const WORD_PATIENCE: u32 = 3;

impl LeaderElection {
    pub(super) fn act_as_candidate(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<ElectionAction>,
    ) {
        if self.draining || self.is_history_lost(now) || !self.claim_due(now) {
            return;
        }
        let base_term = self.history.term();
        if !self.has_evidence(now)
            && let Some(entry) = self.former_entry().cloned()
        {
            self.request_refusals(now, &entry, base_term, actions);
            return;
        }
        let log_answers = self.lease.is_valid_by_log(now, self.times);
        if !log_answers || !self.append_due(now) {
            return;
        }
        // From here on this host promises nothing to the terms that it replaces.
        self.refused_until = self.refused_until.max(base_term);
        actions.push(ElectionAction::AppendClaim {
            base_term,
            voters: self.live_voters(),
        });
    }

    /// Tenure whose holder a claim of this host would have to outwait.
    fn former_entry(&self) -> Option<&TermEntry> {
        let current = self.history.current()?;
        if current.active {
            return (!current.resigned).then_some(current);
        }
        self.history.predecessor()
    }

    /// Whether a claim would have to wait no longer than the short wait, or this
    /// host has looked long enough for a member's word.
    fn has_evidence(&self, now: MonotonicTime) -> bool {
        let Some(former) = self.former_entry() else {
            return true;
        };
        let ended_at = self.candidate.grants_ended_at(former, &self.own, now);
        ended_at.is_some() || self.leaderless_for(now) >= self.claim_delay() * WORD_PATIENCE
    }

    fn claim_due(&self, now: MonotonicTime) -> bool {
        let Some(entry) = self.history.current() else {
            return true;
        };
        let is_named = entry.successor.as_ref() == Some(&self.own.host);
        let is_open = entry.resigned && (entry.successor.is_none() || is_named);
        let is_own_past = entry.holder.host == self.own.host;
        if is_open || (is_own_past && self.candidate.superseded_claims == 0) {
            return true;
        }
        self.leaderless_since.is_some() && self.leaderless_for(now) >= self.claim_delay()
    }

    fn leaderless_for(&self, now: MonotonicTime) -> Duration {
        self.leaderless_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    fn claim_delay(&self) -> Duration {
        self.candidate.claim_delay(self.times)
    }

    pub(super) fn request_refusals(
        &mut self,
        now: MonotonicTime,
        former: &TermEntry,
        newest: LeaderTerm,
        actions: &mut Vec<ElectionAction>,
    ) {
        if former.has_voter(&self.own) || !self.request_due(now) {
            return;
        }
        // The word is asked for the newest term that is to be replaced.
        let is_replaced = self.own_entry().is_none();
        let term = if is_replaced { newest } else { former.term };
        for member in former.other_voters() {
            actions.push(ElectionAction::RequestRefusal {
                to: member.clone(),
                term,
            });
        }
    }
}
