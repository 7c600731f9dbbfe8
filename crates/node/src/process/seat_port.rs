//! Connects the seat's state machine with the log and the peers: records and
//! answers in, appends and questions out.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::seat::{RosterMember, SeatAction, SeatEvent, SeatState};
use flamingowalk_wire::peer::{PromiseAnswer, RefusalAnswer};
use flamingowalk_wire::records as wire;
use metrics::counter;

use crate::border::log::{NewRecord, StoredRecord};
use crate::border::peer::PeerMessage;
use crate::border::seat::{read_seat_record, write_member};
use crate::process::counters::RECORDS_SKIPPED;
use crate::process::host_clock::HostClock;
use crate::process::job_desk::new_record;

/// What the seat asks of the node.
#[derive(Clone, Debug)]
pub enum SeatOutput {
    /// Append a record to the zone's seat stream.
    Append(NewRecord),
    /// Ask a member for a promise.
    AskPromise {
        /// Member to ask.
        to: RosterMember,
        /// Term of this host.
        term: SeatTerm,
    },
    /// Ask a member to promise nothing to a term any more.
    AskRefusal {
        /// Member to ask.
        to: RosterMember,
        /// Term that is to lose its promises.
        term: SeatTerm,
    },
}

/// The seat of the zone and its way to the log and the peers.
#[derive(Debug)]
pub struct SeatPort {
    /// Decisions.
    pub state: SeatState,
    zone: ZoneName,
    /// Actions that wait to be carried out; kept to save allocation.
    actions: Vec<SeatAction>,
}

impl SeatPort {
    /// A port around a new state machine.
    pub fn new(state: SeatState, zone: ZoneName) -> Self {
        Self {
            state,
            zone,
            actions: Vec::new(),
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

    /// What the actions so far ask of the node.
    pub fn take_outputs(&mut self) -> Vec<SeatOutput> {
        let actions = std::mem::take(&mut self.actions);
        actions
            .into_iter()
            .filter_map(|action| self.seat_output(action))
            .collect()
    }

    /// Answer to the peer's question that was just handled.
    pub fn take_answer(&mut self) -> Option<PeerMessage> {
        let is_answer = |action: &SeatAction| {
            matches!(
                action,
                SeatAction::AnswerPromise { .. } | SeatAction::AnswerRefusal { .. }
            )
        };
        let place = self.actions.iter().position(is_answer)?;
        let action = self.actions.remove(place);
        self.answer_message(&action)
    }

    fn answer_message(&self, action: &SeatAction) -> Option<PeerMessage> {
        let zone = self.zone.to_string();
        match action {
            SeatAction::AnswerPromise {
                term,
                request,
                granted,
                incarnation,
                ..
            } => {
                let (term, request) = (term.0, *request);
                let answer = PromiseAnswer {
                    granted: *granted,
                    incarnation: *incarnation,
                    request,
                    term,
                    zone,
                };
                Some(PeerMessage::PromiseAnswer(answer))
            }
            SeatAction::AnswerRefusal {
                term,
                request,
                refused,
                incarnation,
                ..
            } => {
                let (term, request) = (term.0, *request);
                let answer = RefusalAnswer {
                    incarnation: *incarnation,
                    refused: *refused,
                    request,
                    term,
                    zone,
                };
                Some(PeerMessage::RefusalAnswer(answer))
            }
            _ => None,
        }
    }

    fn seat_output(&self, action: SeatAction) -> Option<SeatOutput> {
        match action {
            SeatAction::AskPromise { to, term } => Some(SeatOutput::AskPromise { to, term }),
            SeatAction::AskRefusal { to, term } => Some(SeatOutput::AskRefusal { to, term }),
            other => self.seat_record(other).map(SeatOutput::Append),
        }
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
