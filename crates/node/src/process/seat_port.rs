//! Connects the seat's state machine with the log: records in, appends out.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::record::{LogEntry, LogOffset, SeatEntry, StoredEntry};
use flamingowalk_core::process::seat::{
    PlacedRecord, RosterMember, SeatAction, SeatEvent, SeatRecord, SeatState,
};
use flamingowalk_core::process::snapshot::Snapshot;

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
    pub fn take_entries(&mut self) -> Vec<SeatEntry> {
        let actions = std::mem::take(&mut self.actions);
        let records = actions.into_iter().filter_map(|a| self.seat_record(a));
        let entries = records.map(|record| self.entry(record));
        entries.collect()
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
