//! Records of the planner seat in the log, schema version 1.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::record::SeatEntry;
use flamingowalk_core::process::seat::{RosterMember, RosterOffset, SeatRecord};
use flamingowalk_wire::records as wire;
use serde::Serialize;

use crate::border::log::StoredRecord;
use crate::process::host_clock::HostClock;

/// Reads a record of a zone's seat; nothing for another kind or a malformed body.
pub fn read_seat_record(stored: &StoredRecord) -> Option<SeatEntry> {
    if !stored.record.kind.starts_with("seat-") {
        return None;
    }
    let body = stored.record.body.clone();
    let (zone, record) = match stored.record.kind.as_str() {
        "seat-claim" => {
            let claim: wire::SeatClaim = serde_json::from_value(body).ok()?;
            let record = SeatRecord::Claim {
                base_term: SeatTerm(claim.base_term),
                holder: read_member(&claim.holder)?,
                roster: read_roster(&claim.roster)?,
            };
            (claim.zone, record)
        }
        "seat-active" => {
            let active: wire::SeatActive = serde_json::from_value(body).ok()?;
            (
                active.zone,
                SeatRecord::Active {
                    term: SeatTerm(active.term),
                },
            )
        }
        "seat-roster" => {
            let change: wire::SeatRoster = serde_json::from_value(body).ok()?;
            let record = SeatRecord::Roster {
                term: SeatTerm(change.term),
                base_roster: RosterOffset(change.base_roster),
                roster: read_roster(&change.roster)?,
            };
            (change.zone, record)
        }
        "seat-yield" => {
            let end: wire::SeatYield = serde_json::from_value(body).ok()?;
            let successor = end.successor.map(Into::into);
            (
                end.zone,
                SeatRecord::Yield {
                    term: SeatTerm(end.term),
                    successor,
                },
            )
        }
        _ => return None,
    };
    let zone = zone.into();
    Some(SeatEntry { zone, record })
}

fn read_member(member: &wire::RosterMember) -> Option<RosterMember> {
    Some(RosterMember {
        host: member.host.as_str().into(),
        incarnation: member.incarnation,
        address: member.address.parse().ok()?,
    })
}

fn read_roster(roster: &[wire::RosterMember]) -> Option<Vec<RosterMember>> {
    roster.iter().map(read_member).collect()
}

/// Kind and body of a record of a zone's seat.
pub fn write_seat_record(entry: &SeatEntry) -> (&'static str, serde_json::Value) {
    let zone = entry.zone.to_string();
    match &entry.record {
        SeatRecord::Claim {
            base_term,
            holder,
            roster,
        } => {
            let body = wire::SeatClaim {
                zone,
                base_term: base_term.0,
                holder: write_member(holder),
                roster: roster.iter().map(write_member).collect(),
                claimed_at_ms: HostClock::wall().0,
            };
            ("seat-claim", to_value(&body))
        }
        SeatRecord::Active { term } => {
            let body = wire::SeatActive { zone, term: term.0 };
            ("seat-active", to_value(&body))
        }
        SeatRecord::Roster {
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
            ("seat-roster", to_value(&body))
        }
        SeatRecord::Yield { term, successor } => {
            let body = wire::SeatYield {
                zone,
                term: term.0,
                successor: successor.as_ref().map(HostName::to_string),
            };
            ("seat-yield", to_value(&body))
        }
    }
}

fn to_value<T: Serialize>(body: &T) -> serde_json::Value {
    serde_json::to_value(body).unwrap_or_default()
}

/// A member as records name it.
fn write_member(member: &RosterMember) -> wire::RosterMember {
    wire::RosterMember {
        address: member.address.to_string(),
        host: member.host.to_string(),
        incarnation: member.incarnation,
    }
}
