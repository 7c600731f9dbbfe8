//! Steps of a host that does not hold the newest term: once the holder has resigned or
//! been lost for long enough, it requests refusals from the voters if it needs one, and
//! claims leadership.

use crate::prelude::*;
use crate::process::election::action::ElectionAction;
use crate::process::election::history::TermEntry;
use crate::process::election::state::LeaderElection;
use crate::process::planner::event::LeaderTerm;

/// Number of claim delays for which a candidate outside the voter set waits for a
/// voter's refusal before it claims without one.
const REFUSAL_TIMEOUT_FACTOR: u32 = 3;

impl LeaderElection {
    pub(super) fn act_as_candidate(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<ElectionAction>,
    ) {
        if self.draining || self.is_history_lost(now) || !self.is_claim_due(now) {
            return;
        }
        let base_term = self.history.term();
        if !self.has_refusal_or_timed_out(now)
            && let Some(entry) = self.claim_predecessor().cloned()
        {
            self.request_refusals(now, &entry, base_term, actions);
            return;
        }
        let is_log_reachable = self.lease.is_valid_by_log(now, self.times);
        if !is_log_reachable || !self.start_append_if_due(now) {
            return;
        }
        // The claim may take effect from here on, so this host grants nothing more to the
        // terms that it replaces.
        self.refused_until = self.refused_until.max(base_term);
        actions.push(ElectionAction::AppendClaim {
            base_term,
            voters: self.live_voters(),
        });
    }

    /// Returns the term whose leader lease must expire before a claim of this host could
    /// become active; `None` if there is none.
    fn claim_predecessor(&self) -> Option<&TermEntry> {
        let current = self.history.current()?;
        if current.active {
            return (!current.resigned).then_some(current);
        }
        self.history.predecessor()
    }

    /// Whether a claim would have to wait for no more than the expiry of grants, or the
    /// time to wait for a voter's refusal is over.
    fn has_refusal_or_timed_out(&self, now: MonotonicTime) -> bool {
        let Some(predecessor) = self.claim_predecessor() else {
            return true;
        };
        let ended_at = self.candidate.grants_ended_at(predecessor, &self.own, now);
        ended_at.is_some()
            || self.leaderless_for(now) >= self.claim_delay() * REFUSAL_TIMEOUT_FACTOR
    }

    /// Whether this host may claim now. A resigned term is open to its successor or, if
    /// none is named, to every host. A host claims at once after its own restart, unless
    /// its claims were superseded. Otherwise, the holder must have been lost for the
    /// claim delay.
    fn is_claim_due(&self, now: MonotonicTime) -> bool {
        let Some(entry) = self.history.current() else {
            return true;
        };
        let is_successor = entry.successor.as_ref() == Some(&self.own.host);
        let is_open_to_claim = entry.resigned && (entry.successor.is_none() || is_successor);
        let is_own_host = entry.holder.host == self.own.host;
        if is_open_to_claim || (is_own_host && self.candidate.superseded_claims == 0) {
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
        predecessor: &TermEntry,
        newest: LeaderTerm,
        actions: &mut Vec<ElectionAction>,
    ) {
        if predecessor.has_voter(&self.own) || !self.start_request_if_due(now) {
            return;
        }
        // The refusal is requested for the newest term that is to be replaced. A host that
        // holds the newest term itself has its predecessor refused.
        let is_candidate = self.own_entry().is_none();
        let term = if is_candidate {
            newest
        } else {
            predecessor.term
        };
        for voter in predecessor.other_voters() {
            actions.push(ElectionAction::RequestRefusal {
                to: voter.clone(),
                term,
            });
        }
    }
}
