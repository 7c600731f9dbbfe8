//! What carries the holder: its newest log read, and the promises of the other
//! candidates. Everything counts from the moment a request was sent.

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::ledger::SeatTenure;
use crate::process::seat::record::{RosterMember, RosterOffset};
use crate::process::seat::times::SeatTimes;

/// One run of a host, without its address.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemberRun {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its process.
    pub incarnation: u64,
}

impl From<&RosterMember> for MemberRun {
    fn from(member: &RosterMember) -> Self {
        Self {
            host: member.host.clone(),
            incarnation: member.incarnation,
        }
    }
}

/// A roster record whose place in the log is not known yet. It may have taken
/// effect or may yet, so it is never given up: it ends when any roster record
/// with the same base is read, or with the term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRoster {
    /// Roster that it replaces.
    pub base: RosterOffset,
    /// New candidates.
    pub roster: Vec<RosterMember>,
}

/// Evidence of one host that it may act.
#[derive(Clone, Debug, Default)]
pub struct AuthorityState {
    /// When the newest read that reached the end of the log was sent.
    pub log_sent_at: Option<MonotonicTime>,
    /// When the newest granted promise request was sent, for `term` only.
    promises: BTreeMap<MemberRun, MonotonicTime>,
    /// Term that the promises were given to.
    term: SeatTerm,
    /// Roster change under way in `term`.
    pub pending: Option<PendingRoster>,
}

impl AuthorityState {
    /// Notes that a read sent at `sent_at` reached the end of the log.
    pub fn note_tail(&mut self, sent_at: MonotonicTime) {
        self.log_sent_at = self.log_sent_at.max(Some(sent_at));
    }

    /// Forgets all promises and starts anew for `term`.
    pub fn begin_term(&mut self, term: SeatTerm) {
        self.term = term;
        self.promises.clear();
        self.pending = None;
    }

    /// Notes a promise to `term` that was requested at `sent_at`.
    pub fn note_promise(&mut self, run: MemberRun, term: SeatTerm, sent_at: MonotonicTime) {
        if term != self.term {
            return;
        }
        let newest = self.promises.entry(run).or_insert(sent_at);
        *newest = sent_at.max(*newest);
    }

    /// Whether the newest log read still carries a holder at `now`.
    pub fn carried_by_log(&self, now: MonotonicTime, times: SeatTimes) -> bool {
        self.log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.t)
    }

    /// Whether promises still carry the holder of `tenure` at `now`.
    pub fn carried_by_promises(
        &self,
        now: MonotonicTime,
        times: SeatTimes,
        tenure: &SeatTenure,
    ) -> bool {
        let within_w = self
            .log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.w);
        within_w
            && self.term == tenure.term
            && self
                .needed_members(tenure)
                .all(|member| self.has_promise(now, times, member))
    }

    /// Time at which what carries a holder now will have run out, if nothing newer
    /// comes.
    pub fn carried_until(&self, times: SeatTimes, tenure: &SeatTenure) -> Option<MonotonicTime> {
        let sent_at = self.log_sent_at?;
        let by_log = sent_at + times.t;
        let request_of = |member| self.promises.get(&MemberRun::from(member)).copied();
        let promises: Option<Vec<MonotonicTime>> =
            self.needed_members(tenure).map(request_of).collect();
        let by_w = sent_at + times.w;
        let by_promises = promises
            .filter(|_| self.term == tenure.term)
            .map(|promises| {
                let oldest = promises.into_iter().min();
                oldest.map_or(by_w, |oldest| by_w.min(oldest + times.t))
            });
        Some(by_promises.map_or(by_log, |by_promises| by_log.max(by_promises)))
    }

    /// Members whose promises the holder needs: those of the roster in force and
    /// those of a roster record that may be in force.
    pub fn needed_members<'a>(
        &'a self,
        tenure: &'a SeatTenure,
    ) -> impl Iterator<Item = &'a RosterMember> {
        let pending = self.pending.iter().flat_map(|pending| &pending.roster);
        let pending = pending.filter(|member| !member.is_same_run(&tenure.holder));
        tenure.other_members().chain(pending)
    }

    fn has_promise(&self, now: MonotonicTime, times: SeatTimes, member: &RosterMember) -> bool {
        self.promises
            .get(&MemberRun::from(member))
            .is_some_and(|sent_at| now < *sent_at + times.t)
    }
}
