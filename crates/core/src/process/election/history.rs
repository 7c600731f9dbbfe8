//! State of the election according to the log, as a fold over the records of the
//! election stream. Every host computes the same history from the same records,
//! whatever else it knows.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::election::record::{ElectionRecord, VoterIdentity, VoterSetOffset};
use crate::process::planner::event::LeaderTerm;

/// A term of the leader, from its claim on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermEntry {
    /// Offset of the claim plus one.
    pub term: LeaderTerm,
    /// Incarnation of the host that claimed.
    pub holder: VoterIdentity,
    /// Voters whose grants the holder needs, the holder among them.
    pub voters: Vec<VoterIdentity>,
    /// Record that named the voter set; never lower than the claim's offset.
    pub voter_set_offset: VoterSetOffset,
    /// Whether the holder has finished waiting for the previous leader's lease to
    /// expire. A holder starts nothing before that.
    pub active: bool,
    /// Whether the holder has resigned, which it cannot take back.
    pub resigned: bool,
    /// Host that the holder named to claim leadership next.
    pub successor: Option<HostName>,
}

impl TermEntry {
    /// Whether that incarnation of that host is a voter of this term.
    pub fn has_voter(&self, voter: &VoterIdentity) -> bool {
        self.voters
            .iter()
            .any(|other| other.is_same_incarnation(voter))
    }

    /// Returns the voters other than the holder, whose grants the holder needs.
    pub fn other_voters(&self) -> impl Iterator<Item = &VoterIdentity> {
        self.voters
            .iter()
            .filter(|voter| !voter.is_same_incarnation(&self.holder))
    }
}

impl Display for TermEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} held by {}", self.term, self.holder)?;
        let state = match (self.active, self.resigned) {
            (_, true) => "yielded",
            (true, false) => "active",
            (false, false) => "waiting",
        };
        write!(f, " {state}, {} [", self.voter_set_offset)?;
        for (index, voter) in self.voters.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{voter}")?;
        }
        f.write_str("]")
    }
}

/// A record with its place in the election stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedRecord {
    /// Offset of the record, or a number that gives the same order among live records.
    pub offset: u64,
    /// The record.
    pub record: ElectionRecord,
}

fn entry_records(entry: &TermEntry, base_term: LeaderTerm) -> Vec<PlacedRecord> {
    let claim_offset = entry.term.0.saturating_sub(1);
    let voter_set_offset = entry.voter_set_offset.0.max(claim_offset);
    let placed = |offset, record| PlacedRecord { offset, record };
    let claim = ElectionRecord::Claim {
        base_term,
        holder: entry.holder.clone(),
        voters: entry.voters.clone(),
    };
    let active = ElectionRecord::Active { term: entry.term };
    let voters = ElectionRecord::VoterSet {
        term: entry.term,
        base_voter_set: VoterSetOffset(claim_offset),
        voters: entry.voters.clone(),
    };
    let resignation = ElectionRecord::Resign {
        term: entry.term,
        successor: entry.successor.clone(),
    };
    let mut records = vec![placed(claim_offset, claim)];
    records.extend(entry.active.then(|| placed(claim_offset, active)));
    let is_changed = voter_set_offset > claim_offset;
    records.extend(is_changed.then(|| placed(voter_set_offset, voters)));
    records.extend(
        entry
            .resigned
            .then(|| placed(voter_set_offset, resignation)),
    );
    records
}

/// State of the election according to the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ElectionHistory {
    current: Option<TermEntry>,
    /// Latest term before the current one that became active and did not resign. Its
    /// holder may still act. Present only while the current holder is waiting.
    predecessor: Option<TermEntry>,
    /// Lowest offset not applied yet.
    next_offset: u64,
    /// Records that had no effect by the rules of the stream.
    rejected_records: u64,
}

impl ElectionHistory {
    /// Returns the newest term with its holder and voters.
    pub fn current(&self) -> Option<&TermEntry> {
        self.current.as_ref()
    }

    /// Returns the term whose holder may still act while the newest holder waits.
    pub fn predecessor(&self) -> Option<&TermEntry> {
        self.predecessor.as_ref()
    }

    /// Returns the number of the newest term, zero if no host ever claimed.
    pub fn term(&self) -> LeaderTerm {
        self.current
            .as_ref()
            .map_or(LeaderTerm(0), |entry| entry.term)
    }

    /// Returns the number of records that were read but had no effect.
    pub fn rejected_records(&self) -> u64 {
        self.rejected_records
    }

    /// Applies the record at `offset` and returns whether it had an effect. A record at
    /// or below an offset that was already applied is ignored.
    pub fn apply(&mut self, offset: u64, record: &ElectionRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        let valid = self.apply_next(offset, record);
        if !valid {
            self.rejected_records += 1;
        }
        valid
    }

    /// Returns the records that still matter, in the order that `restore` expects. They
    /// replace all records read so far: each base term and base voter set is that of a
    /// record within the list.
    pub fn live_records(&self) -> Vec<PlacedRecord> {
        let mut records = Vec::new();
        let mut base_term = LeaderTerm(0);
        for entry in self.predecessor.iter().chain(&self.current) {
            records.extend(entry_records(entry, base_term));
            base_term = entry.term;
        }
        records
    }

    /// Replaces the history by one whose records before `next_offset` are `records`.
    /// Does nothing if this history has read further already.
    pub fn restore(&mut self, records: &[PlacedRecord], next_offset: u64) {
        if next_offset < self.next_offset {
            return;
        }
        let mut restored = Self {
            rejected_records: self.rejected_records,
            ..Self::default()
        };
        for placed in records {
            restored.apply_next(placed.offset, &placed.record);
        }
        restored.next_offset = next_offset;
        *self = restored;
    }

    fn apply_next(&mut self, offset: u64, record: &ElectionRecord) -> bool {
        match record {
            ElectionRecord::Claim {
                base_term,
                holder,
                voters,
            } => self.apply_claim(offset, *base_term, holder, voters),
            ElectionRecord::Active { term } => self.apply_active(*term),
            ElectionRecord::VoterSet {
                term,
                base_voter_set,
                voters,
            } => self.apply_voter_set(offset, *term, *base_voter_set, voters),
            ElectionRecord::Resign { term, successor } => self.apply_end(*term, successor.as_ref()),
        }
    }

    fn apply_claim(
        &mut self,
        offset: u64,
        base: LeaderTerm,
        holder: &VoterIdentity,
        voters: &[VoterIdentity],
    ) -> bool {
        if base != self.term() {
            return false;
        }
        if !voters.iter().any(|voter| voter.is_same_incarnation(holder)) {
            return false;
        }
        if let Some(replaced) = self.current.take()
            && replaced.active
        {
            self.predecessor = (!replaced.resigned).then_some(replaced);
        }
        self.current = Some(TermEntry {
            term: LeaderTerm(offset + 1),
            holder: holder.clone(),
            voters: voters.to_vec(),
            voter_set_offset: VoterSetOffset(offset),
            active: false,
            resigned: false,
            successor: None,
        });
        true
    }

    fn apply_active(&mut self, term: LeaderTerm) -> bool {
        let Some(entry) = self.current_mut(term) else {
            return false;
        };
        if entry.active || entry.resigned {
            return false;
        }
        entry.active = true;
        self.predecessor = None;
        true
    }

    fn apply_voter_set(
        &mut self,
        offset: u64,
        term: LeaderTerm,
        base: VoterSetOffset,
        voters: &[VoterIdentity],
    ) -> bool {
        let Some(entry) = self.current_mut(term) else {
            return false;
        };
        let has_holder = voters
            .iter()
            .any(|voter| voter.is_same_incarnation(&entry.holder));
        if entry.voter_set_offset != base || !has_holder {
            return false;
        }
        entry.voters = voters.to_vec();
        entry.voter_set_offset = VoterSetOffset(offset);
        true
    }

    fn apply_end(&mut self, term: LeaderTerm, successor: Option<&HostName>) -> bool {
        let Some(entry) = self.current_mut(term) else {
            return false;
        };
        if entry.resigned {
            return false;
        }
        entry.resigned = true;
        entry.successor = successor.cloned();
        true
    }

    fn current_mut(&mut self, term: LeaderTerm) -> Option<&mut TermEntry> {
        self.current.as_mut().filter(|entry| entry.term == term)
    }
}

impl Display for ElectionHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.current {
            Some(entry) => writeln!(f, "  newest {entry}")?,
            None => writeln!(f, "  never claimed")?,
        }
        if let Some(predecessor) = &self.predecessor {
            writeln!(f, "  predecessor {predecessor}")?;
        }
        writeln!(
            f,
            "  next offset {}, void {}",
            self.next_offset, self.rejected_records
        )
    }
}
