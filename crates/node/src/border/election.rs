//! Records of the planner seat in the log, schema version 1.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{ElectionRecord, VoterIdentity, VoterSetOffset};
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::ElectionEntry;
use flamingowalk_wire::records as wire;
use serde::Serialize;

use crate::border::log::StoredRecord;
use crate::process::host_clock::HostClock;

/// Reads a record of a zone's seat; nothing for another kind or a malformed body.
pub fn read_election_record(stored: &StoredRecord) -> Option<ElectionEntry> {
    if !stored.record.kind.starts_with("seat-") {
        return None;
    }
    let body = stored.record.body.clone();
    let (zone, record) = match stored.record.kind.as_str() {
        "seat-claim" => {
            let claim: wire::SeatClaim = serde_json::from_value(body).ok()?;
            let record = ElectionRecord::Claim {
                base_term: LeaderTerm(claim.base_term),
                holder: read_member(&claim.holder)?,
                voters: read_roster(&claim.roster)?,
            };
            (claim.zone, record)
        }
        "seat-active" => {
            let active: wire::SeatActive = serde_json::from_value(body).ok()?;
            (
                active.zone,
                ElectionRecord::Active {
                    term: LeaderTerm(active.term),
                },
            )
        }
        "seat-roster" => {
            let change: wire::SeatRoster = serde_json::from_value(body).ok()?;
            let record = ElectionRecord::VoterSet {
                term: LeaderTerm(change.term),
                base_voter_set: VoterSetOffset(change.base_roster),
                voters: read_roster(&change.roster)?,
            };
            (change.zone, record)
        }
        "seat-yield" => {
            let end: wire::SeatYield = serde_json::from_value(body).ok()?;
            let successor = end.successor.map(Into::into);
            (
                end.zone,
                ElectionRecord::Resign {
                    term: LeaderTerm(end.term),
                    successor,
                },
            )
        }
        _ => return None,
    };
    let zone = zone.into();
    Some(ElectionEntry { zone, record })
}

fn read_member(member: &wire::RosterMember) -> Option<VoterIdentity> {
    Some(VoterIdentity {
        host: member.host.as_str().into(),
        incarnation: member.incarnation,
        address: member.address.parse().ok()?,
    })
}

fn read_roster(roster: &[wire::RosterMember]) -> Option<Vec<VoterIdentity>> {
    roster.iter().map(read_member).collect()
}

/// Kind and body of a record of a zone's seat.
pub fn write_election_record(entry: &ElectionEntry) -> (&'static str, serde_json::Value) {
    let zone = entry.zone.to_string();
    match &entry.record {
        ElectionRecord::Claim {
            base_term,
            holder,
            voters,
        } => {
            let body = wire::SeatClaim {
                zone,
                base_term: base_term.0,
                holder: write_member(holder),
                roster: voters.iter().map(write_member).collect(),
                claimed_at_ms: HostClock::wall().0,
            };
            ("seat-claim", to_value(&body))
        }
        ElectionRecord::Active { term } => {
            let body = wire::SeatActive { zone, term: term.0 };
            ("seat-active", to_value(&body))
        }
        ElectionRecord::VoterSet {
            term,
            base_voter_set,
            voters,
        } => {
            let body = wire::SeatRoster {
                zone,
                term: term.0,
                base_roster: base_voter_set.0,
                roster: voters.iter().map(write_member).collect(),
            };
            ("seat-roster", to_value(&body))
        }
        ElectionRecord::Resign { term, successor } => {
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
fn write_member(member: &VoterIdentity) -> wire::RosterMember {
    wire::RosterMember {
        address: member.address.to_string(),
        host: member.host.to_string(),
        incarnation: member.incarnation,
    }
}
