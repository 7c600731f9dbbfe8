//! Connects the seat's state machine with the log and the peers: records and
//! answers in, appends and questions out.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::record::{LogEntry, LogOffset, SeatEntry, StoredEntry};
use flamingowalk_core::process::seat::{
    PlacedRecord, RosterMember, SeatAction, SeatEvent, SeatRecord, SeatState,
};
use flamingowalk_core::process::snapshot::Snapshot;
use flamingowalk_wire::peer::{PromiseAnswer, RefusalAnswer};

use crate::border::peer::PeerMessage;

/// What the seat asks of the node.
#[derive(Clone, Debug)]
pub enum SeatOutput {
    /// Append a record to the zone's seat stream.
    Append(SeatEntry),
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

    /// Records from which the seat's state can be restored.
    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let records = self.state.ledger().live_records();
        let stored = records.into_iter().zip(0..).map(|(placed, index)| {
            let id = format!("seat/{}/{}/{index}", self.zone, placed.offset);
            StoredEntry {
                offset: LogOffset(placed.offset),
                id: RecordId::from(id),
                appended_at: WallTime(0),
                entry: LogEntry::Seat(self.entry(placed.record)),
            }
        });
        stored.collect()
    }

    /// Replaces what the records before the snapshot said.
    pub fn restore(&mut self, now: MonotonicTime, snapshot: &Snapshot) {
        let records = snapshot.records.iter().filter_map(|stored| {
            let LogEntry::Seat(entry) = &stored.entry else {
                return None;
            };
            (entry.zone == self.zone).then(|| PlacedRecord {
                offset: stored.offset.0,
                record: entry.record.clone(),
            })
        });
        let records: Vec<PlacedRecord> = records.collect();
        self.state.restore(now, &records, snapshot.covers_until.0);
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
            other => {
                let record = self.seat_record(other)?;
                Some(SeatOutput::Append(self.entry(record)))
            }
        }
    }

    fn entry(&self, record: SeatRecord) -> SeatEntry {
        SeatEntry {
            zone: self.zone.clone(),
            record,
        }
    }

    fn seat_record(&self, action: SeatAction) -> Option<SeatRecord> {
        match action {
            SeatAction::AppendClaim { base_term, roster } => Some(SeatRecord::Claim {
                base_term,
                holder: self.state.own().clone(),
                roster,
            }),
            SeatAction::AppendActive { term } => Some(SeatRecord::Active { term }),
            SeatAction::AppendRoster {
                term,
                base_roster,
                roster,
            } => Some(SeatRecord::Roster {
                term,
                base_roster,
                roster,
            }),
            SeatAction::AppendYield { term, successor } => {
                Some(SeatRecord::Yield { term, successor })
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
