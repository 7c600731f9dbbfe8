//! What carries the holder: its newest log read, and the promises of the other
//! candidates. Everything counts from the moment a request was sent.

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::record::{VoterIdentity, VoterSetOffset};
use crate::process::election::times::ElectionTimes;
use crate::process::planner::event::LeaderTerm;

/// One run of a host, without its address.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostIncarnation {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its process.
    pub incarnation: u64,
}

impl From<&VoterIdentity> for HostIncarnation {
    fn from(member: &VoterIdentity) -> Self {
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
pub struct PendingVoterSet {
    /// Roster that it replaces.
    pub base: VoterSetOffset,
    /// New candidates.
    pub voters: Vec<VoterIdentity>,
}

/// Evidence of one host that it may act.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// When the newest read that reached the end of the log was sent.
    pub log_sent_at: Option<MonotonicTime>,
    /// When the newest granted promise request was sent, for `term` only.
    promises: BTreeMap<HostIncarnation, MonotonicTime>,
    /// Term that the promises were given to.
    term: LeaderTerm,
    /// Roster change under way in `term`.
    pub pending: Option<PendingVoterSet>,
}

impl LeaderLease {
    /// Notes that a read sent at `sent_at` reached the end of the log.
    pub fn record_tail_read(&mut self, sent_at: MonotonicTime) {
        self.log_sent_at = self.log_sent_at.max(Some(sent_at));
    }

    /// Forgets all promises and starts anew for `term`.
    pub fn start_term(&mut self, term: LeaderTerm) {
        self.term = term;
        self.promises.clear();
        self.pending = None;
    }

    /// Notes a promise to `term` that was requested at `sent_at`.
    pub fn record_grant(&mut self, run: HostIncarnation, term: LeaderTerm, sent_at: MonotonicTime) {
        if term != self.term {
            return;
        }
        let newest = self.promises.entry(run).or_insert(sent_at);
        *newest = sent_at.max(*newest);
    }

    /// Whether the newest log read still carries a holder at `now`.
    pub fn is_valid_by_log(&self, now: MonotonicTime, times: ElectionTimes) -> bool {
        self.log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.lease_duration)
    }

    /// Whether promises still carry the holder of `entry` at `now`.
    pub fn is_valid_by_grants(
        &self,
        now: MonotonicTime,
        times: ElectionTimes,
        entry: &TermEntry,
    ) -> bool {
        let within_w = self
            .log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.max_log_outage);
        within_w
            && self.term == entry.term
            && self
                .required_voters(entry)
                .all(|member| self.has_promise(now, times, member))
    }

    /// Time at which what carries a holder now will have run out, if nothing newer
    /// comes.
    pub fn valid_until(&self, times: ElectionTimes, entry: &TermEntry) -> Option<MonotonicTime> {
        let sent_at = self.log_sent_at?;
        let by_log = sent_at + times.lease_duration;
        let request_of = |member| self.promises.get(&HostIncarnation::from(member)).copied();
        let promises: Option<Vec<MonotonicTime>> =
            self.required_voters(entry).map(request_of).collect();
        let by_w = sent_at + times.max_log_outage;
        let by_promises = promises
            .filter(|_| self.term == entry.term)
            .map(|promises| {
                let oldest = promises.into_iter().min();
                oldest.map_or(by_w, |oldest| by_w.min(oldest + times.lease_duration))
            });
        Some(by_promises.map_or(by_log, |by_promises| by_log.max(by_promises)))
    }

    /// Members whose promises the holder needs: those of the roster in force and
    /// those of a roster record that may be in force.
    pub fn required_voters<'a>(
        &'a self,
        entry: &'a TermEntry,
    ) -> impl Iterator<Item = &'a VoterIdentity> {
        let pending = self.pending.iter().flat_map(|pending| &pending.voters);
        let pending = pending.filter(|member| !member.is_same_incarnation(&entry.holder));
        entry.other_voters().chain(pending)
    }

    fn has_promise(
        &self,
        now: MonotonicTime,
        times: ElectionTimes,
        member: &VoterIdentity,
    ) -> bool {
        self.promises
            .get(&HostIncarnation::from(member))
            .is_some_and(|sent_at| now < *sent_at + times.lease_duration)
    }
}
