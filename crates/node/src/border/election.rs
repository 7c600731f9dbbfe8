//! Log records of the planner's leader election, schema version 1. Their kinds and
//! fields use the words "seat" for leadership, "roster" for the voter set and "yield"
//! for a resignation.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{ElectionRecord, VoterIdentity, VoterSetOffset};
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::ElectionEntry;
use flamingowalk_wire::records as wire;
use serde::Serialize;

use crate::border::log::StoredRecord;
use crate::process::host_clock::HostClock;

/// Decodes an election record of a zone; returns `None` for a record of another kind or
/// with a malformed body.
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
                holder: read_voter(&claim.holder)?,
                voters: read_voters(&claim.roster)?,
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
                voters: read_voters(&change.roster)?,
            };
            (change.zone, record)
        }
        "seat-yield" => {
            let resignation: wire::SeatYield = serde_json::from_value(body).ok()?;
            let successor = resignation.successor.map(Into::into);
            (
                resignation.zone,
                ElectionRecord::Resign {
                    term: LeaderTerm(resignation.term),
                    successor,
                },
            )
        }
        _ => return None,
    };
    let zone = zone.into();
    Some(ElectionEntry { zone, record })
}

fn read_voter(voter: &wire::RosterMember) -> Option<VoterIdentity> {
    Some(VoterIdentity {
        host: voter.host.as_str().into(),
        incarnation: voter.incarnation,
        address: voter.address.parse().ok()?,
    })
}

fn read_voters(voters: &[wire::RosterMember]) -> Option<Vec<VoterIdentity>> {
    voters.iter().map(read_voter).collect()
}

/// Returns the kind and the encoded body of an election record.
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
                holder: write_voter(holder),
                roster: voters.iter().map(write_voter).collect(),
                claimed_at_ms: HostClock::wall_time().0,
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
                roster: voters.iter().map(write_voter).collect(),
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

/// Encodes the identity of a voter.
fn write_voter(voter: &VoterIdentity) -> wire::RosterMember {
    wire::RosterMember {
        address: voter.address.to_string(),
        host: voter.host.to_string(),
        incarnation: voter.incarnation,
    }
}
