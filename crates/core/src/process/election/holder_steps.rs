//! Steps of the host that holds the newest term: it appends that its term is active,
//! that it resigns, or a new voter set, and requests grants while the log is silent.

use crate::prelude::*;
use crate::process::election::action::ElectionAction;
use crate::process::election::history::TermEntry;
use crate::process::election::leader_lease::PendingVoterSet;
use crate::process::election::state::{LeaderElection, is_same_voter_set};

impl LeaderElection {
    pub(super) fn act_as_holder(&mut self, now: MonotonicTime, actions: &mut Vec<ElectionAction>) {
        let Some(entry) = self.own_entry().cloned() else {
            return;
        };
        if entry.resigned {
            return;
        }
        if !entry.active {
            self.append_active(now, &entry, actions);
        } else if self.draining {
            self.append_resignation(now, &entry, actions);
        } else {
            self.append_voter_set(now, &entry, actions);
            self.request_grants(now, &entry, actions);
        }
    }

    fn append_active(
        &mut self,
        now: MonotonicTime,
        entry: &TermEntry,
        actions: &mut Vec<ElectionAction>,
    ) {
        let predecessor = self.history.predecessor();
        let ends_at = self
            .candidate
            .wait_ends_at(predecessor, &self.own, self.times);
        if ends_at.is_none_or(|ends_at| now < ends_at) {
            if let Some(predecessor) = predecessor.cloned() {
                self.request_refusals(now, &predecessor, entry.term, actions);
            }
            return;
        }
        if self.start_append_if_due(now) {
            actions.push(ElectionAction::AppendActive { term: entry.term });
        }
    }

    fn append_resignation(
        &mut self,
        now: MonotonicTime,
        entry: &TermEntry,
        actions: &mut Vec<ElectionAction>,
    ) {
        if !self.start_append_if_due(now) {
            return;
        }
        let successor = entry
            .other_voters()
            .find(|voter| self.is_peer_alive(voter))
            .map(|voter| voter.host.clone());
        actions.push(ElectionAction::AppendResignation {
            term: entry.term,
            successor,
        });
    }

    fn append_voter_set(
        &mut self,
        now: MonotonicTime,
        entry: &TermEntry,
        actions: &mut Vec<ElectionAction>,
    ) {
        if self.lease.pending.is_none() {
            let voters = self.live_voters();
            let is_log_reachable = self.lease.is_valid_by_log(now, self.times);
            if is_same_voter_set(&voters, &entry.voters) || !is_log_reachable {
                return;
            }
            self.lease.pending = Some(PendingVoterSet {
                base: entry.voter_set_offset,
                voters,
            });
        }
        if !self.start_append_if_due(now) {
            return;
        }
        if let Some(pending) = &self.lease.pending {
            actions.push(ElectionAction::AppendVoterSet {
                term: entry.term,
                base_voter_set: pending.base,
                voters: pending.voters.clone(),
            });
        }
    }

    /// Requests grants once the log has been silent for one interval, so that they
    /// arrive before the lease by the newest log read expires.
    fn request_grants(
        &mut self,
        now: MonotonicTime,
        entry: &TermEntry,
        actions: &mut Vec<ElectionAction>,
    ) {
        let interval = self.times.grant_interval();
        let is_log_silent = self
            .lease
            .log_sent_at
            .is_none_or(|sent_at| now >= sent_at + interval);
        if !is_log_silent || !self.start_request_if_due(now) {
            return;
        }
        for voter in self.lease.required_voters(entry) {
            actions.push(ElectionAction::RequestGrant {
                to: voter.clone(),
                term: entry.term,
            });
        }
    }
}
