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
