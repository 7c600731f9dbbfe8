//! What the holder of the seat does next: its active record, its yield, a new
//! roster, and promises while the log is silent.

use crate::prelude::*;
use crate::process::seat::action::SeatAction;
use crate::process::seat::authority::PendingRoster;
use crate::process::seat::ledger::SeatTenure;
use crate::process::seat::state::{SeatState, same_members};

impl SeatState {
    pub(super) fn act_as_holder(&mut self, now: MonotonicTime, actions: &mut Vec<SeatAction>) {
        let Some(tenure) = self.own_tenure().cloned() else {
            return;
        };
        if tenure.yielded {
            return;
        }
        if !tenure.active {
            self.append_active(now, &tenure, actions);
        } else if self.draining {
            self.append_yield(now, &tenure, actions);
        } else {
            self.append_roster(now, &tenure, actions);
            self.ask_promises(now, &tenure, actions);
        }
    }

    fn append_active(
        &mut self,
        now: MonotonicTime,
        tenure: &SeatTenure,
        actions: &mut Vec<SeatAction>,
    ) {
        let guard = self.ledger.guard();
        let ends_at = self.candidate.wait_ends_at(guard, &self.own, self.times);
        if ends_at.is_none_or(|ends_at| now < ends_at) {
            if let Some(guard) = guard.cloned() {
                self.ask_words(now, &guard, tenure.term, actions);
            }
            return;
        }
        if self.append_due(now) {
            actions.push(SeatAction::AppendActive { term: tenure.term });
        }
    }

    fn append_yield(
        &mut self,
        now: MonotonicTime,
        tenure: &SeatTenure,
        actions: &mut Vec<SeatAction>,
    ) {
        if !self.append_due(now) {
            return;
        }
        let successor = tenure
            .other_members()
            .find(|member| self.sees_member(member))
            .map(|member| member.host.clone());
        actions.push(SeatAction::AppendYield {
            term: tenure.term,
            successor,
        });
    }

    fn append_roster(
        &mut self,
        now: MonotonicTime,
        tenure: &SeatTenure,
        actions: &mut Vec<SeatAction>,
    ) {
        if self.authority.pending.is_none() {
            let roster = self.live_roster();
            let log_answers = self.authority.carried_by_log(now, self.times);
            if same_members(&roster, &tenure.roster) || !log_answers {
                return;
            }
            self.authority.pending = Some(PendingRoster {
                base: tenure.roster_offset,
                roster,
            });
        }
        if !self.append_due(now) {
            return;
        }
        if let Some(pending) = &self.authority.pending {
            actions.push(SeatAction::AppendRoster {
                term: tenure.term,
                base_roster: pending.base,
                roster: pending.roster.clone(),
            });
        }
    }

    /// Promises are asked for once the log has been silent for one interval, so
    /// that they are there before the newest read no longer carries the holder.
    fn ask_promises(
        &mut self,
        now: MonotonicTime,
        tenure: &SeatTenure,
        actions: &mut Vec<SeatAction>,
    ) {
        let interval = self.times.promise_interval();
        let log_silent = self
            .authority
            .log_sent_at
            .is_none_or(|sent_at| now >= sent_at + interval);
        if !log_silent || !self.ask_due(now) {
            return;
        }
        for member in self.authority.needed_members(tenure) {
            actions.push(SeatAction::AskPromise {
                to: member.clone(),
                term: tenure.term,
            });
        }
    }
}
