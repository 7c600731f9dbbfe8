//! Records of the planner seat in the log, schema version 1.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_core::process::seat::{RosterMember, RosterOffset, SeatRecord};
use flamingowalk_wire::records as wire;

use crate::border::log::StoredRecord;

/// Reads a record of a seat stream; nothing for another zone, an unknown kind or
/// a malformed body.
pub fn read_seat_record(stored: &StoredRecord, zone: &ZoneName) -> Option<SeatRecord> {
    let body = stored.record.body.clone();
    let (named, record) = match stored.record.kind.as_str() {
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
    (named == zone.as_str()).then_some(record)
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

/// A member as records name it.
pub fn write_member(member: &RosterMember) -> wire::RosterMember {
    wire::RosterMember {
        address: member.address.to_string(),
        host: member.host.to_string(),
        incarnation: member.incarnation,
    }
}
