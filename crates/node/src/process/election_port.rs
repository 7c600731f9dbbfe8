//! Connects the state machine of the leader election with the log and the peers.
//! Records and answers go in; appends and requests come out.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{
    ElectionAction, ElectionEvent, ElectionRecord, LeaderElection, PlacedRecord, VoterIdentity,
};
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::{ElectionEntry, LogEntry, LogOffset, StoredEntry};
use flamingowalk_core::process::snapshot::Snapshot;
use flamingowalk_wire::peer::{PromiseAnswer, RefusalAnswer};

use crate::border::peer::PeerMessage;

/// Action of the leader election that the event loop executes.
#[derive(Clone, Debug)]
pub enum ElectionOutput {
    /// Append a record to the `seat` stream of the zone.
    Append(ElectionEntry),
    /// Request a grant of the leader lease from a voter.
    RequestGrant {
        /// Voter that receives the request.
        to: VoterIdentity,
        /// Term of this host.
        term: LeaderTerm,
    },
    /// Request that a voter makes no further grants to a term.
    RequestRefusal {
        /// Voter that receives the request.
        to: VoterIdentity,
        /// Term that must not receive further grants.
        term: LeaderTerm,
    },
}

/// The leader election of the zone, with the outputs that wait for the event loop.
#[derive(Debug)]
pub struct ElectionPort {
    /// State machine that makes the decisions.
    pub state: LeaderElection,
    zone: ZoneName,
    /// Actions that wait for execution.
    actions: Vec<ElectionAction>,
}

impl ElectionPort {
    /// Creates a port around a new state machine.
    pub fn new(state: LeaderElection, zone: ZoneName) -> Self {
        Self {
            state,
            zone,
            actions: Vec::new(),
        }
    }

    /// Returns whether this host may start work at `now`.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        self.state.may_start(now)
    }

    /// Returns the newest term in the log.
    pub fn term(&self) -> LeaderTerm {
        self.state.history().term()
    }

    /// Returns the holder of the newest term.
    pub fn holder(&self) -> Option<&VoterIdentity> {
        self.state.history().current().map(|entry| &entry.holder)
    }

    /// Returns the records from which the state of the election can be restored.
    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let records = self.state.history().live_records();
        let stored = records.into_iter().zip(0..).map(|(placed, index)| {
            let id = format!("seat/{}/{}/{index}", self.zone, placed.offset);
            StoredEntry {
                offset: LogOffset(placed.offset),
                id: RecordId::from(id),
                appended_at: WallTime(0),
                entry: LogEntry::Election(self.entry(placed.record)),
            }
        });
        stored.collect()
    }

    /// Replaces the state from earlier records by that of the snapshot.
    pub fn restore(&mut self, now: MonotonicTime, snapshot: &Snapshot) {
        let records = snapshot.records.iter().filter_map(|stored| {
            let LogEntry::Election(entry) = &stored.entry else {
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

    /// Resets the state because earlier records are lost.
    pub fn reset_history(&mut self, now: MonotonicTime) {
        self.state.reset_history(now);
    }

    /// Passes an event to the state machine.
    pub fn handle(&mut self, now: MonotonicTime, event: ElectionEvent) {
        self.state.handle(now, event, &mut self.actions);
    }

    /// Takes the outputs of all events handled so far.
    pub fn take_outputs(&mut self) -> Vec<ElectionOutput> {
        let actions = std::mem::take(&mut self.actions);
        actions
            .into_iter()
            .filter_map(|action| self.election_output(action))
            .collect()
    }

    /// Takes the answer to the peer's request that was handled last, if there is one.
    pub fn take_answer(&mut self) -> Option<PeerMessage> {
        let is_answer = |action: &ElectionAction| {
            matches!(
                action,
                ElectionAction::AnswerGrant { .. } | ElectionAction::AnswerRefusal { .. }
            )
        };
        let position = self.actions.iter().position(is_answer)?;
        let action = self.actions.remove(position);
        self.answer_message(&action)
    }

    fn answer_message(&self, action: &ElectionAction) -> Option<PeerMessage> {
        let zone = self.zone.to_string();
        match action {
            ElectionAction::AnswerGrant {
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
            ElectionAction::AnswerRefusal {
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

    fn election_output(&self, action: ElectionAction) -> Option<ElectionOutput> {
        match action {
            ElectionAction::RequestGrant { to, term } => {
                Some(ElectionOutput::RequestGrant { to, term })
            }
            ElectionAction::RequestRefusal { to, term } => {
                Some(ElectionOutput::RequestRefusal { to, term })
            }
            other => {
                let record = self.election_record(other)?;
                Some(ElectionOutput::Append(self.entry(record)))
            }
        }
    }

    fn entry(&self, record: ElectionRecord) -> ElectionEntry {
        ElectionEntry {
            zone: self.zone.clone(),
            record,
        }
    }

    fn election_record(&self, action: ElectionAction) -> Option<ElectionRecord> {
        match action {
            ElectionAction::AppendClaim { base_term, voters } => Some(ElectionRecord::Claim {
                base_term,
                holder: self.state.own().clone(),
                voters,
            }),
            ElectionAction::AppendActive { term } => Some(ElectionRecord::Active { term }),
            ElectionAction::AppendVoterSet {
                term,
                base_voter_set,
                voters,
            } => Some(ElectionRecord::VoterSet {
                term,
                base_voter_set,
                voters,
            }),
            ElectionAction::AppendResignation { term, successor } => {
                Some(ElectionRecord::Resign { term, successor })
            }
            ElectionAction::RequestGrant { .. }
            | ElectionAction::AnswerGrant { .. }
            | ElectionAction::RequestRefusal { .. }
            | ElectionAction::AnswerRefusal { .. }
            | ElectionAction::Gained { .. }
            | ElectionAction::Lost => None,
        }
    }
}
