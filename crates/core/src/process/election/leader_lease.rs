//! The leader lease: how long the holder of a term may act. It is valid by the newest
//! read of the log or, for a limited time after that read, by the grants of all other
//! voters. Both count from the moment that the request was sent, so that the delay of
//! an answer does not extend the lease.

use crate::prelude::*;
use crate::process::election::history::TermEntry;
use crate::process::election::record::{VoterIdentity, VoterSetOffset};
use crate::process::election::times::ElectionTimes;
use crate::process::planner::event::LeaderTerm;

/// One incarnation of a host, without its address.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostIncarnation {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its process.
    pub incarnation: u64,
}

impl From<&VoterIdentity> for HostIncarnation {
    fn from(voter: &VoterIdentity) -> Self {
        Self {
            host: voter.host.clone(),
            incarnation: voter.incarnation,
        }
    }
}

/// A voter set record whose place in the log is not known yet. It may have taken
/// effect or may do so later, so it is never abandoned: it ends when any voter set
/// record with the same base is read, or with the term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingVoterSet {
    /// Voter set that it replaces.
    pub base: VoterSetOffset,
    /// New voters.
    pub voters: Vec<VoterIdentity>,
}

/// Log reads and grants that allow one host to act as leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// When the newest read that reached the end of the log was sent.
    pub log_sent_at: Option<MonotonicTime>,
    /// When the newest granted request to each voter was sent, for `term` only.
    grants: BTreeMap<HostIncarnation, MonotonicTime>,
    /// Term that the grants are for.
    term: LeaderTerm,
    /// Pending change of the voter set in `term`.
    pub pending: Option<PendingVoterSet>,
}

impl LeaderLease {
    /// Records that a read sent at `sent_at` reached the end of the log.
    pub fn record_tail_read(&mut self, sent_at: MonotonicTime) {
        self.log_sent_at = self.log_sent_at.max(Some(sent_at));
    }

    /// Removes all grants and the pending voter set, and starts `term`.
    pub fn start_term(&mut self, term: LeaderTerm) {
        self.term = term;
        self.grants.clear();
        self.pending = None;
    }

    /// Records a grant to `term` that was requested at `sent_at`. Grants to another term
    /// are ignored.
    pub fn record_grant(
        &mut self,
        voter: HostIncarnation,
        term: LeaderTerm,
        sent_at: MonotonicTime,
    ) {
        if term != self.term {
            return;
        }
        let newest = self.grants.entry(voter).or_insert(sent_at);
        *newest = sent_at.max(*newest);
    }

    /// Whether the lease is valid by the newest log read at `now`.
    pub fn is_valid_by_log(&self, now: MonotonicTime, times: ElectionTimes) -> bool {
        self.log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.lease_duration)
    }

    /// Whether the lease of the holder of `entry` is valid by grants at `now`.
    pub fn is_valid_by_grants(
        &self,
        now: MonotonicTime,
        times: ElectionTimes,
        entry: &TermEntry,
    ) -> bool {
        let is_within_max_outage = self
            .log_sent_at
            .is_some_and(|sent_at| now < sent_at + times.max_log_outage);
        is_within_max_outage
            && self.term == entry.term
            && self
                .required_voters(entry)
                .all(|voter| self.has_grant(now, times, voter))
    }

    /// Returns when the lease of the holder of `entry` expires if no further log read or
    /// grant arrives; `None` if the log was never read to its end.
    pub fn valid_until(&self, times: ElectionTimes, entry: &TermEntry) -> Option<MonotonicTime> {
        let sent_at = self.log_sent_at?;
        let log_lease_end = sent_at + times.lease_duration;
        let grant_sent_at = |voter| self.grants.get(&HostIncarnation::from(voter)).copied();
        let grants: Option<Vec<MonotonicTime>> =
            self.required_voters(entry).map(grant_sent_at).collect();
        let max_end = sent_at + times.max_log_outage;
        let grants_end = grants.filter(|_| self.term == entry.term).map(|grants| {
            let oldest = grants.into_iter().min();
            oldest.map_or(max_end, |oldest| max_end.min(oldest + times.lease_duration))
        });
        Some(grants_end.map_or(log_lease_end, |grants_end| log_lease_end.max(grants_end)))
    }

    /// Returns the voters whose grants the holder needs: those of the voter set in force
    /// and those of a pending voter set, which may be in force.
    pub fn required_voters<'a>(
        &'a self,
        entry: &'a TermEntry,
    ) -> impl Iterator<Item = &'a VoterIdentity> {
        let pending = self.pending.iter().flat_map(|pending| &pending.voters);
        let pending = pending.filter(|voter| !voter.is_same_incarnation(&entry.holder));
        entry.other_voters().chain(pending)
    }

    fn has_grant(&self, now: MonotonicTime, times: ElectionTimes, voter: &VoterIdentity) -> bool {
        self.grants
            .get(&HostIncarnation::from(voter))
            .is_some_and(|sent_at| now < *sent_at + times.lease_duration)
    }
}
