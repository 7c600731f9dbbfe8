//! What a host that does not hold the seat does next: it looks whether a holder is
//! there, asks for words, and claims.

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::action::SeatAction;
use crate::process::seat::ledger::SeatTenure;
use crate::process::seat::state::SeatState;

/// Claimants outside the roster look this many times as long for a member's word
/// before they claim without one.
const WORD_PATIENCE: u32 = 3;

impl SeatState {
    pub(super) fn act_as_candidate(&mut self, now: MonotonicTime, actions: &mut Vec<SeatAction>) {
        if self.draining || self.is_past_lost(now) || !self.claim_due(now) {
            return;
        }
        let base_term = self.ledger.term();
        if !self.has_evidence(now)
            && let Some(tenure) = self.former_tenure().cloned()
        {
            self.ask_words(now, &tenure, base_term, actions);
            return;
        }
        let log_answers = self.authority.carried_by_log(now, self.times);
        if !log_answers || !self.append_due(now) {
            return;
        }
        // From here on this host promises nothing to the terms that it replaces.
        self.refused_until = self.refused_until.max(base_term);
        actions.push(SeatAction::AppendClaim {
            base_term,
            roster: self.live_roster(),
        });
    }

    /// Tenure whose holder a claim of this host would have to outwait.
    fn former_tenure(&self) -> Option<&SeatTenure> {
        let current = self.ledger.current()?;
        if current.active {
            return (!current.yielded).then_some(current);
        }
        self.ledger.guard()
    }

    /// Whether a claim would have to wait no longer than the short wait, or this
    /// host has looked long enough for a member's word.
    fn has_evidence(&self, now: MonotonicTime) -> bool {
        let Some(former) = self.former_tenure() else {
            return true;
        };
        let ended_at = self.candidate.promises_ended_at(former, &self.own, now);
        ended_at.is_some() || self.vacant_for(now) >= self.patience() * WORD_PATIENCE
    }

    fn claim_due(&self, now: MonotonicTime) -> bool {
        let Some(tenure) = self.ledger.current() else {
            return true;
        };
        let is_named = tenure.successor.as_ref() == Some(&self.own.host);
        let is_open = tenure.yielded && (tenure.successor.is_none() || is_named);
        let is_own_past = tenure.holder.host == self.own.host;
        if is_open || (is_own_past && self.candidate.overtaken == 0) {
            return true;
        }
        self.vacant_since.is_some() && self.vacant_for(now) >= self.patience()
    }

    fn vacant_for(&self, now: MonotonicTime) -> Duration {
        self.vacant_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    fn patience(&self) -> Duration {
        self.candidate.patience(self.times)
    }

    pub(super) fn ask_words(
        &mut self,
        now: MonotonicTime,
        former: &SeatTenure,
        newest: SeatTerm,
        actions: &mut Vec<SeatAction>,
    ) {
        if former.has_member(&self.own) || !self.ask_due(now) {
            return;
        }
        // The word is asked for the newest term that is to be replaced.
        let is_replaced = self.own_tenure().is_none();
        let term = if is_replaced { newest } else { former.term };
        for member in former.other_members() {
            actions.push(SeatAction::AskRefusal {
                to: member.clone(),
                term,
            });
        }
    }
}
