//! State machine of the leader election on one host. It handles typed events and
//! returns typed actions, without input, output or a clock of its own.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::action::ElectionAction;
use crate::process::election::candidate::CandidateState;
use crate::process::election::event::ElectionEvent;
use crate::process::election::history::{ElectionHistory, PlacedRecord, TermEntry};
use crate::process::election::leader_lease::{HostIncarnation, LeaderLease};
use crate::process::election::record::{ElectionRecord, VoterIdentity};
use crate::process::election::times::ElectionTimes;
use crate::process::planner::event::LeaderTerm;

/// Leader election of one zone, as seen by one incarnation of one entry host.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    pub(crate) own: VoterIdentity,
    pub(super) zone: ZoneName,
    pub(super) times: ElectionTimes,
    pub(crate) history: ElectionHistory,
    pub(crate) lease: LeaderLease,
    pub(crate) candidate: CandidateState,
    /// Live peers of the zone. A hint: safety does not depend on it.
    pub(super) peers: BTreeMap<HostName, VoterIdentity>,
    /// This host grants nothing to this term or any term before it; never lowered.
    pub(crate) refused_until: LeaderTerm,
    /// Newest term that this host has learned of, from the log or a peer; never lowered.
    pub(crate) newest_seen: LeaderTerm,
    /// When this host found that the newest holder is lost or has resigned; `None` if
    /// neither is the case.
    pub(super) leaderless_since: Option<MonotonicTime>,
    /// When the last append was requested. The next one waits for `lease_duration`, unless
    /// a record of the stream is read in between.
    pub(super) appended_at: Option<MonotonicTime>,
    /// When grants or refusals were last requested.
    pub(super) requested_at: Option<MonotonicTime>,
    /// When records before the first one of the history were found to be lost. A holder
    /// that the history does not show may have a valid lease for `max_log_outage` from
    /// then on.
    history_lost_at: Option<MonotonicTime>,
    /// Whether this host is about to stop; never reset.
    pub(super) draining: bool,
    /// Whether the last report to the planner was `Gained` rather than `Lost`.
    pub(crate) is_gain_reported: bool,
    /// Time of the last event.
    pub(crate) last_event_at: MonotonicTime,
}

impl LeaderElection {
    /// Creates the state of a host that has read nothing and granted nothing.
    pub fn new(own: VoterIdentity, zone: ZoneName, times: ElectionTimes) -> Self {
        debug_assert!(
            times.lease_duration < times.max_log_outage,
            "max_log_outage must exceed lease_duration"
        );
        Self {
            own,
            zone,
            times,
            history: ElectionHistory::default(),
            lease: LeaderLease::default(),
            candidate: CandidateState::default(),
            peers: BTreeMap::new(),
            refused_until: LeaderTerm(0),
            newest_seen: LeaderTerm(0),
            leaderless_since: None,
            appended_at: None,
            requested_at: None,
            history_lost_at: None,
            draining: false,
            is_gain_reported: false,
            last_event_at: MonotonicTime::default(),
        }
    }

    /// Returns the state of the election according to the log.
    pub fn history(&self) -> &ElectionHistory {
        &self.history
    }

    /// Returns the durations of the protocol.
    pub fn times(&self) -> ElectionTimes {
        self.times
    }

    /// Returns the identity of this incarnation of this host.
    pub fn own(&self) -> &VoterIdentity {
        &self.own
    }

    /// Returns the active term that this host holds, whether or not its leader lease is
    /// still valid.
    pub fn held_term(&self) -> Option<LeaderTerm> {
        self.own_entry()
            .filter(|entry| entry.active && !entry.resigned)
            .map(|entry| entry.term)
    }

    /// Whether this host may start a job at `now`. Callers check it after every wait and
    /// just before every send, with the time read at that moment.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        let Some(entry) = self.own_entry() else {
            return false;
        };
        if !entry.active || entry.resigned || self.draining {
            return false;
        }
        if self.lease.is_valid_by_log(now, self.times) {
            return true;
        }
        self.lease.is_valid_by_grants(now, self.times, entry)
    }

    /// Returns the time until which `may_start` holds by what is known at `now`, or `now`
    /// if it does not hold. A request that leaves later needs another check.
    pub fn may_start_until(&self, now: MonotonicTime) -> MonotonicTime {
        let entry = self.own_entry().filter(|_| self.may_start(now));
        let until = entry.and_then(|entry| self.lease.valid_until(self.times, entry));
        let until = until.unwrap_or(now);
        debug_assert!(
            until == now || !self.may_start(until),
            "the leader lease ends later than returned"
        );
        until
    }

    /// Whether this host is stopping and has nothing left to append.
    pub fn is_drained(&self) -> bool {
        self.draining && self.held_term().is_none()
    }

    /// Handles one event and adds the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: ElectionEvent,
        actions: &mut Vec<ElectionAction>,
    ) {
        debug_assert!(
            now >= self.last_event_at,
            "the monotonic clock went backwards"
        );
        self.last_event_at = now;
        self.report_loss(now, actions);
        self.handle_event(now, event, actions);
        // `Lost` precedes any append that lets another host claim.
        self.report_loss(now, actions);
        self.update_leaderless_since(now);
        if self.own_entry().is_some() {
            self.act_as_holder(now, actions);
        } else {
            self.act_as_candidate(now, actions);
        }
        self.report_gain(now, actions);
    }

    fn handle_event(
        &mut self,
        now: MonotonicTime,
        event: ElectionEvent,
        actions: &mut Vec<ElectionAction>,
    ) {
        match event {
            ElectionEvent::LogRecord { offset, record } => self.apply_record(now, offset, &record),
            ElectionEvent::LogTailRead { sent_at } => {
                debug_assert!(sent_at <= now, "a read cannot end before it was sent");
                self.lease.record_tail_read(sent_at);
            }
            ElectionEvent::GrantAnswered {
                from,
                incarnation,
                term,
                sent_at,
                granted,
            } => {
                let voter = HostIncarnation {
                    host: from,
                    incarnation,
                };
                if granted {
                    self.lease.record_grant(voter, term, sent_at);
                }
            }
            ElectionEvent::GrantRequested {
                from,
                term,
                incarnation,
                request,
            } => {
                let granted = self.try_grant(term, incarnation);
                actions.push(ElectionAction::AnswerGrant {
                    to: from,
                    term,
                    request,
                    granted,
                    incarnation: self.own.incarnation,
                });
            }
            ElectionEvent::RefusalRequested {
                from,
                term,
                request,
            } => {
                let refused = self.try_refuse(term);
                actions.push(ElectionAction::AnswerRefusal {
                    to: from,
                    term,
                    request,
                    refused,
                    incarnation: self.own.incarnation,
                });
            }
            ElectionEvent::RefusalAnswered {
                from,
                incarnation,
                term,
                refused,
            } => {
                let voter = HostIncarnation {
                    host: from,
                    incarnation,
                };
                if refused {
                    self.candidate.record_refusal(voter, term, now);
                }
            }
            ElectionEvent::PeerAlive { peer } => {
                if peer.host != self.own.host {
                    self.peers.insert(peer.host.clone(), peer);
                }
            }
            ElectionEvent::PeerLost { host } => {
                self.peers.remove(&host);
            }
            ElectionEvent::ResignationRequested => self.draining = true,
            ElectionEvent::LogFailed | ElectionEvent::Tick => {}
        }
    }

    fn apply_record(&mut self, now: MonotonicTime, offset: u64, record: &ElectionRecord) {
        let was_waiting = self.own_entry().is_some_and(|entry| !entry.active);
        let before = self.history.term();
        if !self.history.apply(offset, record) {
            return;
        }
        self.appended_at = None;
        let term = self.history.term();
        self.newest_seen = self.newest_seen.max(term);
        if term != before {
            self.start_term(now, was_waiting);
        }
        self.resolve_pending_voter_set();
    }

    /// Replaces the records before `next_offset` by those of a snapshot.
    pub fn restore(&mut self, now: MonotonicTime, records: &[PlacedRecord], next_offset: u64) {
        let was_waiting = self.own_entry().is_some_and(|entry| !entry.active);
        let before = self.history.term();
        if self.history_lost_at.is_some() {
            self.history = ElectionHistory::default();
        }
        if !records.is_empty() {
            self.history_lost_at = None;
        }
        self.history.restore(records, next_offset);
        self.appended_at = None;
        let term = self.history.term();
        self.newest_seen = self.newest_seen.max(term);
        if term != before {
            self.start_term(now, was_waiting);
        }
        self.resolve_pending_voter_set();
    }

    /// Starts over with an empty history, because records before the next one are lost
    /// and no snapshot has been read. This host holds no term from here on, and claims
    /// none until the lease of a holder that the history does not show has expired for
    /// lack of a log read.
    pub fn reset_history(&mut self, now: MonotonicTime) {
        self.history = ElectionHistory::default();
        self.history_lost_at = Some(now);
        self.start_term(now, false);
        self.resolve_pending_voter_set();
    }

    pub(super) fn is_history_lost(&self, now: MonotonicTime) -> bool {
        self.history_lost_at
            .is_some_and(|lost_at| now < lost_at + self.times.lease_expiry_wait())
    }

    fn start_term(&mut self, now: MonotonicTime, was_waiting: bool) {
        self.lease.start_term(self.history.term());
        self.leaderless_since = None;
        self.candidate.claim_read_at = self.own_entry().is_some().then_some(now);
        if was_waiting {
            self.candidate.superseded_claims = self.candidate.superseded_claims.saturating_add(1);
        }
    }

    /// Removes the pending voter set once the log shows another voter set than its base.
    fn resolve_pending_voter_set(&mut self) {
        let in_force = self.history.current().map(|entry| entry.voter_set_offset);
        let pending = self.lease.pending.as_ref();
        if pending.is_some_and(|pending| Some(pending.base) != in_force) {
            self.lease.pending = None;
        }
    }

    /// Decides on a request for a grant. Only the newest term gets a grant, only if the
    /// request is meant for this incarnation, and never if this host has refused the term.
    fn try_grant(&mut self, term: LeaderTerm, incarnation: u64) -> bool {
        self.newest_seen = self.newest_seen.max(term);
        incarnation == self.own.incarnation
            && term >= self.newest_seen
            && term > self.refused_until
            && !self.draining
    }

    /// Decides on a request for a refusal. A voter refuses only if it considers the
    /// holder lost, or knows of a later term. A refusal is permanent.
    fn try_refuse(&mut self, term: LeaderTerm) -> bool {
        if term <= self.refused_until {
            return true;
        }
        let is_own = self.own_entry().is_some_and(|own| own.term == term);
        if is_own || !self.is_holder_lost(term) {
            return false;
        }
        self.refused_until = term;
        true
    }

    pub(super) fn is_holder_lost(&self, term: LeaderTerm) -> bool {
        match self.history.current() {
            Some(entry) if entry.term == term => !self.is_holder_alive(entry),
            _ => self.newest_seen > term,
        }
    }

    pub(super) fn own_entry(&self) -> Option<&TermEntry> {
        self.history
            .current()
            .filter(|entry| entry.holder.is_same_incarnation(&self.own))
    }

    pub(super) fn is_holder_alive(&self, entry: &TermEntry) -> bool {
        !entry.resigned && self.is_peer_alive(&entry.holder)
    }

    pub(super) fn is_peer_alive(&self, voter: &VoterIdentity) -> bool {
        self.peers
            .get(&voter.host)
            .is_some_and(|peer| peer.is_same_incarnation(voter))
    }

    fn update_leaderless_since(&mut self, now: MonotonicTime) {
        let Some(entry) = self.history.current() else {
            return;
        };
        if entry.holder.is_same_incarnation(&self.own) && !entry.resigned {
            self.leaderless_since = None;
        } else if self.is_holder_alive(entry) {
            self.leaderless_since = None;
            if entry.active {
                self.candidate.superseded_claims = 0;
            }
        } else if self.leaderless_since.is_none() {
            self.leaderless_since = Some(now);
        }
    }

    /// Returns this host and every live peer of the zone, ordered by name.
    pub(super) fn live_voters(&self) -> Vec<VoterIdentity> {
        let mut voters: Vec<_> = self.peers.values().cloned().collect();
        voters.push(self.own.clone());
        voters.sort();
        voters
    }

    /// Whether an append is due; if so, records `now` as its time.
    pub(super) fn start_append_if_due(&mut self, now: MonotonicTime) -> bool {
        let due = self
            .appended_at
            .is_none_or(|at| now >= at + self.times.lease_duration);
        if due {
            self.appended_at = Some(now);
        }
        due
    }

    /// Whether requests to the voters are due; if so, records `now` as their time.
    pub(super) fn start_request_if_due(&mut self, now: MonotonicTime) -> bool {
        let interval = self.times.grant_interval();
        let due = self.requested_at.is_none_or(|at| now >= at + interval);
        if due {
            self.requested_at = Some(now);
        }
        due
    }

    /// Reports the loss of leadership. It is called before an event that may restore the
    /// leader lease, so that the planner learns of every gap in it.
    fn report_loss(&mut self, now: MonotonicTime, actions: &mut Vec<ElectionAction>) {
        if self.is_gain_reported && !self.may_start(now) {
            self.is_gain_reported = false;
            actions.push(ElectionAction::Lost);
        }
    }

    fn report_gain(&mut self, now: MonotonicTime, actions: &mut Vec<ElectionAction>) {
        if !self.is_gain_reported
            && self.may_start(now)
            && let Some(term) = self.held_term()
        {
            self.is_gain_reported = true;
            actions.push(ElectionAction::Gained { term });
        }
    }
}

pub(super) fn is_same_voter_set(left: &[VoterIdentity], right: &[VoterIdentity]) -> bool {
    left.len() == right.len()
        && left
            .iter()
            .all(|voter| right.iter().any(|other| other.is_same_incarnation(voter)))
}

impl Display for LeaderElection {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let may_start = self.may_start(self.last_event_at);
        writeln!(f, "seat of {} at {}", self.zone, self.own)?;
        write!(f, "{}", self.history)?;
        writeln!(
            f,
            "  refused until {}, newest seen {}",
            self.refused_until, self.newest_seen
        )?;
        match self.lease.log_sent_at {
            Some(sent_at) => writeln!(f, "  log read {sent_at}")?,
            None => writeln!(f, "  log never read")?,
        }
        if let Some(pending) = &self.lease.pending {
            writeln!(f, "  roster change pending on {}", pending.base)?;
        }
        if let Some(lost_at) = self.history_lost_at {
            writeln!(f, "  history lost at {lost_at}")?;
        }
        for peer in self.peers.values() {
            writeln!(f, "  sees {peer}")?;
        }
        writeln!(f, "  may start {may_start}, draining {}", self.draining)
    }
}
