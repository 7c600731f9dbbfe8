//! What the seat stream says, as a fold over its records. Every host computes
//! the same ledger from the same records, whatever it knows besides.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::event::SeatTerm;
use crate::process::seat::record::{RosterMember, RosterOffset, SeatRecord};

/// One holder's time in the seat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatTenure {
    /// Offset of the claim plus one.
    pub term: SeatTerm,
    /// Run of the host that claimed.
    pub holder: RosterMember,
    /// Candidates whose promises the holder needs, the holder among them.
    pub roster: Vec<RosterMember>,
    /// Record that named the roster; never lower than the claim's offset.
    pub roster_offset: RosterOffset,
    /// Whether the holder's wait is over. A holder starts nothing before that.
    pub active: bool,
    /// Whether the holder has stopped for good.
    pub yielded: bool,
    /// Host that the holder asked to claim next.
    pub successor: Option<HostName>,
}

impl SeatTenure {
    /// Whether that run of that host is a candidate of this tenure.
    pub fn has_member(&self, member: &RosterMember) -> bool {
        self.roster.iter().any(|other| other.is_same_run(member))
    }

    /// Roster without the holder: those whose promises the holder needs.
    pub fn other_members(&self) -> impl Iterator<Item = &RosterMember> {
        self.roster
            .iter()
            .filter(|member| !member.is_same_run(&self.holder))
    }
}

impl Display for SeatTenure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} held by {}", self.term, self.holder)?;
        let state = match (self.active, self.yielded) {
            (_, true) => "yielded",
            (true, false) => "active",
            (false, false) => "waiting",
        };
        write!(f, " {state}, {} [", self.roster_offset)?;
        for (index, member) in self.roster.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{member}")?;
        }
        f.write_str("]")
    }
}

/// A record with its place in the seat stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedRecord {
    /// Offset, or one that gives the same order among live records.
    pub offset: u64,
    /// The record.
    pub record: SeatRecord,
}

fn tenure_records(tenure: &SeatTenure, base_term: SeatTerm) -> Vec<PlacedRecord> {
    let claim_offset = tenure.term.0.saturating_sub(1);
    let roster_offset = tenure.roster_offset.0.max(claim_offset);
    let placed = |offset, record| PlacedRecord { offset, record };
    let claim = SeatRecord::Claim {
        base_term,
        holder: tenure.holder.clone(),
        roster: tenure.roster.clone(),
    };
    let active = SeatRecord::Active { term: tenure.term };
    let roster = SeatRecord::Roster {
        term: tenure.term,
        base_roster: RosterOffset(claim_offset),
        roster: tenure.roster.clone(),
    };
    let end = SeatRecord::Yield {
        term: tenure.term,
        successor: tenure.successor.clone(),
    };
    let mut records = vec![placed(claim_offset, claim)];
    records.extend(tenure.active.then(|| placed(claim_offset, active)));
    let is_changed = roster_offset > claim_offset;
    records.extend(is_changed.then(|| placed(roster_offset, roster)));
    records.extend(tenure.yielded.then(|| placed(roster_offset, end)));
    records
}

/// State of the seat according to the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SeatLedger {
    current: Option<SeatTenure>,
    /// Latest tenure before the current one that was active and did not yield;
    /// its holder may still act. Present only while the current one is waiting.
    guard: Option<SeatTenure>,
    /// Lowest offset not applied yet.
    next_offset: u64,
    /// Records that the stream's rules made void.
    void_records: u64,
}

impl SeatLedger {
    /// Newest tenure.
    pub fn current(&self) -> Option<&SeatTenure> {
        self.current.as_ref()
    }

    /// Tenure whose holder may still act while the newest holder waits.
    pub fn guard(&self) -> Option<&SeatTenure> {
        self.guard.as_ref()
    }

    /// Newest term, zero when nobody ever claimed.
    pub fn term(&self) -> SeatTerm {
        self.current
            .as_ref()
            .map_or(SeatTerm(0), |tenure| tenure.term)
    }

    /// Records that were read but had no effect.
    pub fn void_records(&self) -> u64 {
        self.void_records
    }

    /// Applies the record at `offset` and tells whether it had an effect.
    /// Offsets below one already applied are ignored.
    pub fn apply(&mut self, offset: u64, record: &SeatRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        let valid = self.apply_next(offset, record);
        if !valid {
            self.void_records += 1;
        }
        valid
    }

    /// Records that still matter, in an order in which `restore` takes them. They
    /// stand for all records before: bases are those within the list.
    pub fn live_records(&self) -> Vec<PlacedRecord> {
        let mut records = Vec::new();
        let mut base_term = SeatTerm(0);
        for tenure in self.guard.iter().chain(&self.current) {
            records.extend(tenure_records(tenure, base_term));
            base_term = tenure.term;
        }
        records
    }

    /// Replaces the ledger by one whose records before `next_offset` are these.
    /// A ledger that has read further keeps what it knows.
    pub fn restore(&mut self, records: &[PlacedRecord], next_offset: u64) {
        if next_offset < self.next_offset {
            return;
        }
        let mut restored = Self {
            void_records: self.void_records,
            ..Self::default()
        };
        for placed in records {
            restored.apply_next(placed.offset, &placed.record);
        }
        restored.next_offset = next_offset;
        *self = restored;
    }

    fn apply_next(&mut self, offset: u64, record: &SeatRecord) -> bool {
        match record {
            SeatRecord::Claim {
                base_term,
                holder,
                roster,
            } => self.apply_claim(offset, *base_term, holder, roster),
            SeatRecord::Active { term } => self.apply_active(*term),
            SeatRecord::Roster {
                term,
                base_roster,
                roster,
            } => self.apply_roster(offset, *term, *base_roster, roster),
            SeatRecord::Yield { term, successor } => self.apply_yield(*term, successor.as_ref()),
        }
    }

    fn apply_claim(
        &mut self,
        offset: u64,
        base: SeatTerm,
        holder: &RosterMember,
        roster: &[RosterMember],
    ) -> bool {
        if base != self.term() {
            return false;
        }
        if !roster.iter().any(|member| member.is_same_run(holder)) {
            return false;
        }
        if let Some(former) = self.current.take()
            && former.active
        {
            self.guard = (!former.yielded).then_some(former);
        }
        self.current = Some(SeatTenure {
            term: SeatTerm(offset + 1),
            holder: holder.clone(),
            roster: roster.to_vec(),
            roster_offset: RosterOffset(offset),
            active: false,
            yielded: false,
            successor: None,
        });
        true
    }

    fn apply_active(&mut self, term: SeatTerm) -> bool {
        let Some(tenure) = self.newest_mut(term) else {
            return false;
        };
        if tenure.active || tenure.yielded {
            return false;
        }
        tenure.active = true;
        self.guard = None;
        true
    }

    fn apply_roster(
        &mut self,
        offset: u64,
        term: SeatTerm,
        base: RosterOffset,
        roster: &[RosterMember],
    ) -> bool {
        let Some(tenure) = self.newest_mut(term) else {
            return false;
        };
        let has_holder = roster
            .iter()
            .any(|member| member.is_same_run(&tenure.holder));
        if tenure.roster_offset != base || !has_holder {
            return false;
        }
        tenure.roster = roster.to_vec();
        tenure.roster_offset = RosterOffset(offset);
        true
    }

    fn apply_yield(&mut self, term: SeatTerm, successor: Option<&HostName>) -> bool {
        let Some(tenure) = self.newest_mut(term) else {
            return false;
        };
        if tenure.yielded {
            return false;
        }
        tenure.yielded = true;
        tenure.successor = successor.cloned();
        true
    }

    fn newest_mut(&mut self, term: SeatTerm) -> Option<&mut SeatTenure> {
        self.current.as_mut().filter(|tenure| tenure.term == term)
    }
}

impl Display for SeatLedger {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.current {
            Some(tenure) => writeln!(f, "  newest {tenure}")?,
            None => writeln!(f, "  never claimed")?,
        }
        if let Some(guard) = &self.guard {
            writeln!(f, "  guard {guard}")?;
        }
        writeln!(
            f,
            "  next offset {}, void {}",
            self.next_offset, self.void_records
        )
    }
}
