//! Connects the seat's state machine with the log: records in, appends out.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::seat::{RosterMember, SeatAction, SeatEvent, SeatState};
use flamingowalk_wire::records as wire;
use metrics::counter;

use crate::border::log::{NewRecord, StoredRecord};
use crate::border::seat::{read_seat_record, write_member};
use crate::process::counters::RECORDS_SKIPPED;
use crate::process::host_clock::HostClock;
use crate::process::job_desk::new_record;

/// The seat of the zone and its way to the log.
#[derive(Debug)]
pub struct SeatPort {
    /// Decisions.
    pub state: SeatState,
    zone: ZoneName,
    /// Actions that wait to be carried out; kept to save allocation.
    actions: Vec<SeatAction>,
    /// Peers last told to the state machine.
    peers: BTreeMap<HostName, RosterMember>,
}

impl SeatPort {
    /// A port around a new state machine.
    pub fn new(state: SeatState, zone: ZoneName) -> Self {
        Self {
            state,
            zone,
            actions: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Whether this host may start work at `now`.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        self.state.may_start(now)
    }

    /// Newest term that the log has.
    pub fn term(&self) -> SeatTerm {
        self.state.ledger().term()
    }

    /// Holder of the newest term.
    pub fn holder(&self) -> Option<&RosterMember> {
        self.state.ledger().current().map(|tenure| &tenure.holder)
    }

    /// Applies a record of the seat's stream.
    pub fn apply(&mut self, stored: &StoredRecord, now: MonotonicTime) {
        match read_seat_record(stored, &self.zone) {
            Some(record) => {
                self.handle(
                    now,
                    SeatEvent::LogRecord {
                        offset: stored.offset,
                        record,
                    },
                );
            }
            None => {
                counter!(RECORDS_SKIPPED, "stream" => "seat", "cause" => "kind").increment(1);
            }
        }
    }

    /// Passes an event on.
    pub fn handle(&mut self, now: MonotonicTime, event: SeatEvent) {
        self.state.handle(now, event, &mut self.actions);
    }

    /// Passes on which hosts of the zone are listed.
    pub fn update_peers(&mut self, now: MonotonicTime, peers: Vec<RosterMember>) {
        let newer: BTreeMap<_, _> = peers
            .into_iter()
            .map(|peer| (peer.host.clone(), peer))
            .collect();
        let older = std::mem::replace(&mut self.peers, newer.clone());
        for host in older.into_keys().filter(|host| !newer.contains_key(host)) {
            self.handle(now, SeatEvent::MemberGone { host });
        }
        for member in newer.into_values() {
            self.handle(now, SeatEvent::MemberSeen { member });
        }
    }

    /// Records to append for the actions so far. Messages to other hosts wait for
    /// the peer links and are dropped; the seat then rests on the log alone.
    pub fn take_records(&mut self) -> Vec<NewRecord> {
        let actions = std::mem::take(&mut self.actions);
        actions
            .into_iter()
            .filter_map(|action| self.seat_record(action))
            .collect()
    }

    fn seat_record(&self, action: SeatAction) -> Option<NewRecord> {
        let zone = self.zone.to_string();
        let own = self.state.own();
        let run = format!("{}/{}", own.host, own.incarnation);
        let wall = HostClock::wall().0;
        match action {
            SeatAction::AppendClaim { base_term, roster } => {
                let body = wire::SeatClaim {
                    zone,
                    base_term: base_term.0,
                    holder: write_member(own),
                    roster: roster.iter().map(write_member).collect(),
                    claimed_at_ms: wall,
                };
                Some(new_record(
                    format!("claim/{run}/{}/{wall}", base_term.0),
                    "seat-claim",
                    &body,
                ))
            }
            SeatAction::AppendActive { term } => {
                let body = wire::SeatActive { zone, term: term.0 };
                Some(new_record(
                    format!("active/{run}/{}/{wall}", term.0),
                    "seat-active",
                    &body,
                ))
            }
            SeatAction::AppendRoster {
                term,
                base_roster,
                roster,
            } => {
                let body = wire::SeatRoster {
                    zone,
                    term: term.0,
                    base_roster: base_roster.0,
                    roster: roster.iter().map(write_member).collect(),
                };
                let id = format!("roster/{run}/{}/{}/{wall}", term.0, base_roster.0);
                Some(new_record(id, "seat-roster", &body))
            }
            SeatAction::AppendYield { term, successor } => {
                let successor = successor.map(|host| host.to_string());
                let body = wire::SeatYield {
                    zone,
                    term: term.0,
                    successor,
                };
                Some(new_record(
                    format!("yield/{run}/{}/{wall}", term.0),
                    "seat-yield",
                    &body,
                ))
            }
            SeatAction::AskPromise { .. }
            | SeatAction::AnswerPromise { .. }
            | SeatAction::AskRefusal { .. }
            | SeatAction::AnswerRefusal { .. }
            | SeatAction::Gained { .. }
            | SeatAction::Lost => None,
        }
    }
}
