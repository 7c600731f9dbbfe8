//! The seat as one host sees it: typed events in, typed actions out.

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

/// Seat of one zone as one run of one entry host sees it.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    pub(crate) own: VoterIdentity,
    pub(super) zone: ZoneName,
    pub(super) times: ElectionTimes,
    pub(crate) history: ElectionHistory,
    pub(crate) lease: LeaderLease,
    pub(crate) candidate: CandidateState,
    /// Live peers of the zone. Soft.
    pub(super) peers: BTreeMap<HostName, VoterIdentity>,
    /// This host promises nothing to this term or any before it; never lowered.
    pub(crate) refused_until: LeaderTerm,
    /// Newest term this host has heard of in any way; never lowered.
    pub(crate) newest_seen: LeaderTerm,
    /// Since when the newest holder has been silent or has yielded.
    pub(super) leaderless_since: Option<MonotonicTime>,
    /// When the last append was asked for; the next waits `lease_duration`, unless a record of
    /// the stream came in between.
    pub(super) appended_at: Option<MonotonicTime>,
    /// When members were last asked for promises or words.
    pub(super) requested_at: Option<MonotonicTime>,
    /// Since when records from before the ledger's first may be missing. A holder
    /// that the ledger does not know may be carried for `max_log_outage` from here.
    past_lost_at: Option<MonotonicTime>,
    /// Whether this host is about to stop; never reset.
    pub(super) draining: bool,
    /// Whether `Gained` was the last of `Gained` and `Lost`.
    pub(crate) held: bool,
    /// Latest time that an event brought.
    pub(crate) last_now: MonotonicTime,
}

impl LeaderElection {
    /// A host that has read nothing and promised nothing.
    pub fn new(own: VoterIdentity, zone: ZoneName, times: ElectionTimes) -> Self {
        debug_assert!(
            times.lease_duration < times.max_log_outage,
            "promises must outlast one log read"
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
            past_lost_at: None,
            draining: false,
            held: false,
            last_now: MonotonicTime::default(),
        }
    }

    /// What the log says.
    pub fn history(&self) -> &ElectionHistory {
        &self.history
    }

    /// Durations of the protocol.
    pub fn times(&self) -> ElectionTimes {
        self.times
    }

    /// This run of this host.
    pub fn own(&self) -> &VoterIdentity {
        &self.own
    }

    /// Term that this host holds and that is active, whether or not it is still
    /// carried by evidence.
    pub fn held_term(&self) -> Option<LeaderTerm> {
        self.own_entry()
            .filter(|entry| entry.active && !entry.resigned)
            .map(|entry| entry.term)
    }

    /// Whether this host may start a job at `now`. To be asked after every wait
    /// and just before every send, with a clock read at that moment.
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

    /// Time up to which `may_start` holds by what is known at `now`; `now` when it
    /// does not hold. A request that leaves later needs the question asked again.
    pub fn may_start_until(&self, now: MonotonicTime) -> MonotonicTime {
        let entry = self.own_entry().filter(|_| self.may_start(now));
        let until = entry.and_then(|entry| self.lease.valid_until(self.times, entry));
        let until = until.unwrap_or(now);
        debug_assert!(
            until == now || !self.may_start(until),
            "authority ends later than told"
        );
        until
    }

    /// Whether a stopping host has nothing left to append.
    pub fn is_drained(&self) -> bool {
        self.draining && self.held_term().is_none()
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: ElectionEvent,
        actions: &mut Vec<ElectionAction>,
    ) {
        debug_assert!(now >= self.last_now, "the monotonic clock went backwards");
        self.last_now = now;
        self.note_lapse(now, actions);
        self.take_event(now, event, actions);
        // `Lost` goes before any append that lets another host claim.
        self.note_lapse(now, actions);
        self.note_vacancy(now);
        if self.own_entry().is_some() {
            self.act_as_holder(now, actions);
        } else {
            self.act_as_candidate(now, actions);
        }
        self.note_gain(now, actions);
    }

    fn take_event(
        &mut self,
        now: MonotonicTime,
        event: ElectionEvent,
        actions: &mut Vec<ElectionAction>,
    ) {
        match event {
            ElectionEvent::LogRecord { offset, record } => self.take_record(now, offset, &record),
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
                let run = HostIncarnation {
                    host: from,
                    incarnation,
                };
                if granted {
                    self.lease.record_grant(run, term, sent_at);
                }
            }
            ElectionEvent::GrantRequested {
                from,
                term,
                incarnation,
                request,
            } => {
                let granted = self.grant_promise(term, incarnation);
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
                let refused = self.grant_refusal(term);
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
                let run = HostIncarnation {
                    host: from,
                    incarnation,
                };
                if refused {
                    self.candidate.record_refusal(run, term, now);
                }
            }
            ElectionEvent::PeerAlive { member } => {
                if member.host != self.own.host {
                    self.peers.insert(member.host.clone(), member);
                }
            }
            ElectionEvent::PeerLost { host } => {
                self.peers.remove(&host);
            }
            ElectionEvent::ResignationRequested => self.draining = true,
            ElectionEvent::LogFailed | ElectionEvent::Tick => {}
        }
    }

    fn take_record(&mut self, now: MonotonicTime, offset: u64, record: &ElectionRecord) {
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
        self.settle_pending();
    }

    /// Replaces what records before `next_offset` said by the records of a snapshot.
    pub fn restore(&mut self, now: MonotonicTime, records: &[PlacedRecord], next_offset: u64) {
        let was_waiting = self.own_entry().is_some_and(|entry| !entry.active);
        let before = self.history.term();
        if self.past_lost_at.is_some() {
            self.history = ElectionHistory::default();
        }
        if !records.is_empty() {
            self.past_lost_at = None;
        }
        self.history.restore(records, next_offset);
        self.appended_at = None;
        let term = self.history.term();
        self.newest_seen = self.newest_seen.max(term);
        if term != before {
            self.start_term(now, was_waiting);
        }
        self.settle_pending();
    }

    /// Begins anew because records before the next one are lost and no snapshot
    /// has come. This host holds nothing from here on, and claims nothing until a
    /// holder that it cannot know of has stopped for lack of a log read.
    pub fn reset_history(&mut self, now: MonotonicTime) {
        self.history = ElectionHistory::default();
        self.past_lost_at = Some(now);
        self.start_term(now, false);
        self.settle_pending();
    }

    pub(super) fn is_history_lost(&self, now: MonotonicTime) -> bool {
        self.past_lost_at
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

    /// A pending roster ends once the log has another roster than its base.
    fn settle_pending(&mut self) {
        let in_force = self.history.current().map(|entry| entry.voter_set_offset);
        let pending = self.lease.pending.as_ref();
        if pending.is_some_and(|pending| Some(pending.base) != in_force) {
            self.lease.pending = None;
        }
    }

    /// A promise goes to the newest term only, by the very run that was asked,
    /// and never to a term that this host has refused.
    fn grant_promise(&mut self, term: LeaderTerm, incarnation: u64) -> bool {
        self.newest_seen = self.newest_seen.max(term);
        incarnation == self.own.incarnation
            && term >= self.newest_seen
            && term > self.refused_until
            && !self.draining
    }

    /// A member gives its word only when it does not itself see the holder, or
    /// knows of a later term. The word is for good.
    fn grant_refusal(&mut self, term: LeaderTerm) -> bool {
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

    pub(super) fn is_peer_alive(&self, member: &VoterIdentity) -> bool {
        self.peers
            .get(&member.host)
            .is_some_and(|peer| peer.is_same_incarnation(member))
    }

    fn note_vacancy(&mut self, now: MonotonicTime) {
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

    /// This host and every live peer of the zone, in the order of names.
    pub(super) fn live_voters(&self) -> Vec<VoterIdentity> {
        let mut voters: Vec<_> = self.peers.values().cloned().collect();
        voters.push(self.own.clone());
        voters.sort();
        voters
    }

    pub(super) fn append_due(&mut self, now: MonotonicTime) -> bool {
        let due = self
            .appended_at
            .is_none_or(|at| now >= at + self.times.lease_duration);
        if due {
            self.appended_at = Some(now);
        }
        due
    }

    pub(super) fn request_due(&mut self, now: MonotonicTime) -> bool {
        let interval = self.times.grant_interval();
        let due = self.requested_at.is_none_or(|at| now >= at + interval);
        if due {
            self.requested_at = Some(now);
        }
        due
    }

    /// Reports a lapse before the event that might end it, so that the planner
    /// learns of every gap in its authority.
    fn note_lapse(&mut self, now: MonotonicTime, actions: &mut Vec<ElectionAction>) {
        if self.held && !self.may_start(now) {
            self.held = false;
            actions.push(ElectionAction::Lost);
        }
    }

    fn note_gain(&mut self, now: MonotonicTime, actions: &mut Vec<ElectionAction>) {
        if !self.held
            && self.may_start(now)
            && let Some(term) = self.held_term()
        {
            self.held = true;
            actions.push(ElectionAction::Gained { term });
        }
    }
}

pub(super) fn is_same_voter_set(left: &[VoterIdentity], right: &[VoterIdentity]) -> bool {
    left.len() == right.len()
        && left
            .iter()
            .all(|member| right.iter().any(|other| other.is_same_incarnation(member)))
}

impl Display for LeaderElection {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let may_start = self.may_start(self.last_now);
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
        if let Some(lost_at) = self.past_lost_at {
            writeln!(f, "  past lost at {lost_at}")?;
        }
        for peer in self.peers.values() {
            writeln!(f, "  sees {peer}")?;
        }
        writeln!(f, "  may start {may_start}, draining {}", self.draining)
    }
}
