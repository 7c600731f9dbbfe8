//! The planner seat of the zone as the log tells it. The offset of a claim is
//! its term; a claim counts only if it names the term it replaces.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::SeatTerm;
use flamingowalk_wire::records as wire;

use crate::border::log::{NewRecord, StoredRecord};
use crate::process::host_clock::HostClock;
use crate::process::job_desk::new_record;

/// Times the holder's proof must be missing before another host claims.
const CLAIM_AFTER: u32 = 2;

/// What this host knows of its zone's seat.
#[derive(Clone, Debug)]
pub struct SeatPort {
    zone: ZoneName,
    host: HostName,
    incarnation: u64,
    /// Time for which a read of the log's tail carries the holder.
    seat_time: Duration,
    /// Newest valid claim.
    pub term: SeatTerm,
    /// Its holder.
    pub holder: Option<wire::RosterMember>,
    /// When this host's own wait after its claim is over.
    active_at: Option<MonotonicTime>,
    /// When the newest read that reached the tail was sent.
    tail_read_at: Option<MonotonicTime>,
    /// Since when the holder is not listed.
    missing_since: Option<MonotonicTime>,
    /// Whether a claim of this host is under way.
    claiming: bool,
}

impl SeatPort {
    /// A port that knows of no claim.
    pub fn new(zone: ZoneName, host: HostName, incarnation: u64, seat_time: Duration) -> Self {
        Self {
            zone,
            host,
            incarnation,
            seat_time,
            term: SeatTerm(0),
            holder: None,
            active_at: None,
            tail_read_at: None,
            missing_since: None,
            claiming: false,
        }
    }

    /// Applies a record of the seat's stream.
    pub fn apply(&mut self, stored: &StoredRecord, now: MonotonicTime) {
        if stored.record.kind != "seat-claim" {
            return;
        }
        let body = stored.record.body.clone();
        let Ok(claim) = serde_json::from_value::<wire::SeatClaim>(body) else { return };
        if claim.base_term != self.term.0 || claim.zone != self.zone.as_str() {
            return;
        }
        let first = self.term == SeatTerm(0);
        self.term = SeatTerm(stored.offset + 1);
        let own = claim.holder.host == self.host.as_str()
            && claim.holder.incarnation == self.incarnation;
        let wait = if first { Duration::ZERO } else { self.seat_time };
        self.active_at = own.then(|| now + wait);
        self.holder = Some(claim.holder);
        self.missing_since = None;
        self.claiming = false;
    }

    /// Notes a read that reached the tail.
    pub fn note_tail(&mut self, sent_at: MonotonicTime) {
        self.tail_read_at = self.tail_read_at.max(Some(sent_at));
    }

    /// Whether this host holds the seat and may start work at `now`.
    pub fn may_start(&self, now: MonotonicTime) -> bool {
        let active = self.active_at.is_some_and(|at| now >= at);
        let proved = self.tail_read_at.is_some_and(|at| now.since(at) < self.seat_time);
        active && proved
    }

    /// The claim to append, if the seat is free or its holder is gone.
    pub fn next_claim(&mut self, now: MonotonicTime, live: &[(String, u64)]) -> Option<NewRecord> {
        self.tail_read_at?;
        if self.claiming || self.active_at.is_some() {
            return None;
        }
        let listed = self.holder.as_ref().is_some_and(|holder| {
            live.iter().any(|(name, incarnation)| {
                *name == holder.host && *incarnation == holder.incarnation
            })
        });
        if listed {
            self.missing_since = None;
            return None;
        }
        let since = *self.missing_since.get_or_insert(now);
        if self.holder.is_some() && now.since(since) < self.seat_time * CLAIM_AFTER {
            return None;
        }
        self.claiming = true;
        let own = wire::RosterMember {
            host: self.host.to_string(),
            incarnation: self.incarnation,
            address: String::new(),
        };
        let claim = wire::SeatClaim {
            zone: self.zone.to_string(),
            base_term: self.term.0,
            holder: own.clone(),
            roster: vec![own],
            claimed_at_ms: HostClock::wall().0,
        };
        let id = format!("claim/{}/{}/{}", self.host, self.incarnation, self.term.0);
        Some(new_record(id, "seat-claim", &claim))
    }
}
