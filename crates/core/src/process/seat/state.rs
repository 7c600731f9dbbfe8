//! The seat as one host sees it: typed events in, typed actions out.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::action::SeatAction;
use crate::process::seat::authority::{AuthorityState, MemberRun};
use crate::process::seat::candidate::CandidateState;
use crate::process::seat::event::SeatEvent;
use crate::process::seat::ledger::{PlacedRecord, SeatLedger, SeatTenure};
use crate::process::seat::record::{RosterMember, SeatRecord};
use crate::process::seat::times::SeatTimes;

/// Seat of one zone as one run of one entry host sees it.
#[derive(Clone, Debug)]
pub struct SeatState {
    pub(crate) own: RosterMember,
    pub(super) zone: ZoneName,
    pub(super) times: SeatTimes,
    pub(crate) ledger: SeatLedger,
    pub(crate) authority: AuthorityState,
    pub(crate) candidate: CandidateState,
    /// Live peers of the zone. Soft.
    pub(super) peers: BTreeMap<HostName, RosterMember>,
    /// This host promises nothing to this term or any before it; never lowered.
    pub(crate) refused_until: SeatTerm,
    /// Newest term this host has heard of in any way; never lowered.
    pub(crate) newest_seen: SeatTerm,
    /// Since when the newest holder has been silent or has yielded.
    pub(super) vacant_since: Option<MonotonicTime>,
    /// When the last append was asked for; the next waits `t`, unless a record of
    /// the stream came in between.
    pub(super) appended_at: Option<MonotonicTime>,
    /// When members were last asked for promises or words.
    pub(super) asked_at: Option<MonotonicTime>,
    /// Since when records from before the ledger's first may be missing. A holder
    /// that the ledger does not know may be carried for `w` from here.
    past_lost_at: Option<MonotonicTime>,
    /// Whether this host is about to stop; never reset.
    pub(super) draining: bool,
    /// Whether `Gained` was the last of `Gained` and `Lost`.
    pub(crate) held: bool,
    /// Latest time that an event brought.
    pub(crate) last_now: MonotonicTime,
}

impl SeatState {
    /// A host that has read nothing and promised nothing.
    pub fn new(own: RosterMember, zone: ZoneName, times: SeatTimes) -> Self {
        debug_assert!(times.t < times.w, "promises must outlast one log read");
        Self {
            own,
            zone,
            times,
            ledger: SeatLedger::default(),
            authority: AuthorityState::default(),
            candidate: CandidateState::default(),
            peers: BTreeMap::new(),
            refused_until: SeatTerm(0),
            newest_seen: SeatTerm(0),
            vacant_since: None,
            appended_at: None,
            asked_at: None,
            past_lost_at: None,
            draining: false,
            held: false,
            last_now: MonotonicTime::default(),
        }
    }

    /// What the log says.
    pub fn ledger(&self) -> &SeatLedger {
        &self.ledger
    }

    /// Durations of the protocol.
    pub fn times(&self) -> SeatTimes {
        self.times
    }

    /// This run of this host.
    pub fn own(&self) -> &RosterMember {
        &self.own
    }

    /// Term that this host holds and that is active, whether or not it is still
    /// carried by evidence.
    pub fn held_term(&self) -> Option<SeatTerm> {
        self.own_tenure()
            .filter(|tenure| tenure.active && !tenure.yielded)
            .map(|tenure| tenure.term)
    }

    /// Whether this host may start a job at `now`. To be asked after every wait
    /// and just before every send, with a clock read at that moment.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        let Some(tenure) = self.own_tenure() else {
            return false;
        };
        if !tenure.active || tenure.yielded || self.draining {
            return false;
        }
        if self.authority.carried_by_log(now, self.times) {
            return true;
        }
        self.authority.carried_by_promises(now, self.times, tenure)
    }

    /// Time up to which `may_start` holds by what is known at `now`; `now` when it
    /// does not hold. A request that leaves later needs the question asked again.
    pub fn starts_until(&self, now: MonotonicTime) -> MonotonicTime {
        let tenure = self.own_tenure().filter(|_| self.may_start(now));
        let until = tenure.and_then(|tenure| self.authority.carried_until(self.times, tenure));
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
    pub fn handle(&mut self, now: MonotonicTime, event: SeatEvent, actions: &mut Vec<SeatAction>) {
        debug_assert!(now >= self.last_now, "the monotonic clock went backwards");
        self.last_now = now;
        self.note_lapse(now, actions);
        self.take_event(now, event, actions);
        // `Lost` goes before any append that lets another host claim.
        self.note_lapse(now, actions);
        self.note_vacancy(now);
        if self.own_tenure().is_some() {
            self.act_as_holder(now, actions);
        } else {
            self.act_as_candidate(now, actions);
        }
        self.note_gain(now, actions);
    }

    fn take_event(&mut self, now: MonotonicTime, event: SeatEvent, actions: &mut Vec<SeatAction>) {
        match event {
            SeatEvent::LogRecord { offset, record } => self.take_record(now, offset, &record),
            SeatEvent::LogTailRead { sent_at } => {
                debug_assert!(sent_at <= now, "a read cannot end before it was sent");
                self.authority.note_tail(sent_at);
            }
            SeatEvent::PromiseAnswered {
                from,
                incarnation,
                term,
                sent_at,
                granted,
            } => {
                let run = MemberRun {
                    host: from,
                    incarnation,
                };
                if granted {
                    self.authority.note_promise(run, term, sent_at);
                }
            }
            SeatEvent::PromiseAsked {
                from,
                term,
                incarnation,
                request,
            } => {
                let granted = self.grant_promise(term, incarnation);
                actions.push(SeatAction::AnswerPromise {
                    to: from,
                    term,
                    request,
                    granted,
                    incarnation: self.own.incarnation,
                });
            }
            SeatEvent::RefusalAsked {
                from,
                term,
                request,
            } => {
                let refused = self.grant_refusal(term);
                actions.push(SeatAction::AnswerRefusal {
                    to: from,
                    term,
                    request,
                    refused,
                    incarnation: self.own.incarnation,
                });
            }
            SeatEvent::RefusalAnswered {
                from,
                incarnation,
                term,
                refused,
            } => {
                let run = MemberRun {
                    host: from,
                    incarnation,
                };
                if refused {
                    self.candidate.note_word(run, term, now);
                }
            }
            SeatEvent::MemberSeen { member } => {
                if member.host != self.own.host {
                    self.peers.insert(member.host.clone(), member);
                }
            }
            SeatEvent::MemberGone { host } => {
                self.peers.remove(&host);
            }
            SeatEvent::YieldRequested => self.draining = true,
            SeatEvent::LogFailed | SeatEvent::Tick => {}
        }
    }

    fn take_record(&mut self, now: MonotonicTime, offset: u64, record: &SeatRecord) {
        let was_waiting = self.own_tenure().is_some_and(|tenure| !tenure.active);
        let before = self.ledger.term();
        if !self.ledger.apply(offset, record) {
            return;
        }
        self.appended_at = None;
        let term = self.ledger.term();
        self.newest_seen = self.newest_seen.max(term);
        if term != before {
            self.begin_term(now, was_waiting);
        }
        self.settle_pending();
    }

    /// Replaces what records before `next_offset` said by the records of a snapshot.
    pub fn restore(&mut self, now: MonotonicTime, records: &[PlacedRecord], next_offset: u64) {
        let was_waiting = self.own_tenure().is_some_and(|tenure| !tenure.active);
        let before = self.ledger.term();
        if self.past_lost_at.is_some() {
            self.ledger = SeatLedger::default();
        }
        if !records.is_empty() {
            self.past_lost_at = None;
        }
        self.ledger.restore(records, next_offset);
        self.appended_at = None;
        let term = self.ledger.term();
        self.newest_seen = self.newest_seen.max(term);
        if term != before {
            self.begin_term(now, was_waiting);
        }
        self.settle_pending();
    }

    /// Begins anew because records before the next one are lost and no snapshot
    /// has come. This host holds nothing from here on, and claims nothing until a
    /// holder that it cannot know of has stopped for lack of a log read.
    pub fn lose_past(&mut self, now: MonotonicTime) {
        self.ledger = SeatLedger::default();
        self.past_lost_at = Some(now);
        self.begin_term(now, false);
        self.settle_pending();
    }

    pub(super) fn is_past_lost(&self, now: MonotonicTime) -> bool {
        self.past_lost_at
            .is_some_and(|lost_at| now < lost_at + self.times.long_wait())
    }

    fn begin_term(&mut self, now: MonotonicTime, was_waiting: bool) {
        self.authority.begin_term(self.ledger.term());
        self.vacant_since = None;
        self.candidate.claim_read_at = self.own_tenure().is_some().then_some(now);
        if was_waiting {
            self.candidate.overtaken = self.candidate.overtaken.saturating_add(1);
        }
    }

    /// A pending roster ends once the log has another roster than its base.
    fn settle_pending(&mut self) {
        let in_force = self.ledger.current().map(|tenure| tenure.roster_offset);
        let pending = self.authority.pending.as_ref();
        if pending.is_some_and(|pending| Some(pending.base) != in_force) {
            self.authority.pending = None;
        }
    }

    /// A promise goes to the newest term only, by the very run that was asked,
    /// and never to a term that this host has refused.
    fn grant_promise(&mut self, term: SeatTerm, incarnation: u64) -> bool {
        self.newest_seen = self.newest_seen.max(term);
        incarnation == self.own.incarnation
            && term >= self.newest_seen
            && term > self.refused_until
            && !self.draining
    }

    /// A member gives its word only when it does not itself see the holder, or
    /// knows of a later term. The word is for good.
    fn grant_refusal(&mut self, term: SeatTerm) -> bool {
        if term <= self.refused_until {
            return true;
        }
        let is_own = self.own_tenure().is_some_and(|own| own.term == term);
        if is_own || !self.misses_holder(term) {
            return false;
        }
        self.refused_until = term;
        true
    }

    pub(super) fn misses_holder(&self, term: SeatTerm) -> bool {
        match self.ledger.current() {
            Some(tenure) if tenure.term == term => !self.sees_holder(tenure),
            _ => self.newest_seen > term,
        }
    }

    pub(super) fn own_tenure(&self) -> Option<&SeatTenure> {
        self.ledger
            .current()
            .filter(|tenure| tenure.holder.is_same_run(&self.own))
    }

    pub(super) fn sees_holder(&self, tenure: &SeatTenure) -> bool {
        !tenure.yielded && self.sees_member(&tenure.holder)
    }

    pub(super) fn sees_member(&self, member: &RosterMember) -> bool {
        self.peers
            .get(&member.host)
            .is_some_and(|peer| peer.is_same_run(member))
    }

    fn note_vacancy(&mut self, now: MonotonicTime) {
        let Some(tenure) = self.ledger.current() else {
            return;
        };
        if tenure.holder.is_same_run(&self.own) && !tenure.yielded {
            self.vacant_since = None;
        } else if self.sees_holder(tenure) {
            self.vacant_since = None;
            if tenure.active {
                self.candidate.overtaken = 0;
            }
        } else if self.vacant_since.is_none() {
            self.vacant_since = Some(now);
        }
    }

    /// This host and every live peer of the zone, in the order of names.
    pub(super) fn live_roster(&self) -> Vec<RosterMember> {
        let mut roster: Vec<_> = self.peers.values().cloned().collect();
        roster.push(self.own.clone());
        roster.sort();
        roster
    }

    pub(super) fn append_due(&mut self, now: MonotonicTime) -> bool {
        let due = self.appended_at.is_none_or(|at| now >= at + self.times.t);
        if due {
            self.appended_at = Some(now);
        }
        due
    }

    pub(super) fn ask_due(&mut self, now: MonotonicTime) -> bool {
        let interval = self.times.promise_interval();
        let due = self.asked_at.is_none_or(|at| now >= at + interval);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Reports a lapse before the event that might end it, so that the planner
    /// learns of every gap in its authority.
    fn note_lapse(&mut self, now: MonotonicTime, actions: &mut Vec<SeatAction>) {
        if self.held && !self.may_start(now) {
            self.held = false;
            actions.push(SeatAction::Lost);
        }
    }

    fn note_gain(&mut self, now: MonotonicTime, actions: &mut Vec<SeatAction>) {
        if !self.held
            && self.may_start(now)
            && let Some(term) = self.held_term()
        {
            self.held = true;
            actions.push(SeatAction::Gained { term });
        }
    }
}

pub(super) fn same_members(left: &[RosterMember], right: &[RosterMember]) -> bool {
    left.len() == right.len()
        && left
            .iter()
            .all(|member| right.iter().any(|other| other.is_same_run(member)))
}

impl Display for SeatState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let may_start = self.may_start(self.last_now);
        writeln!(f, "seat of {} at {}", self.zone, self.own)?;
        write!(f, "{}", self.ledger)?;
        writeln!(
            f,
            "  refused until {}, newest seen {}",
            self.refused_until, self.newest_seen
        )?;
        match self.authority.log_sent_at {
            Some(sent_at) => writeln!(f, "  log read {sent_at}")?,
            None => writeln!(f, "  log never read")?,
        }
        if let Some(pending) = &self.authority.pending {
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
