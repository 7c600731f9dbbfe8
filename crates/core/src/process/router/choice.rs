//! The choice of a target for one attempt: the better of two random targets by
//! expected cost, own zone first. Other zones are used when no target of the own
//! zone has room, or when the own zone as a whole fails. Quarantined targets get
//! one trial at a time, and carry calls only when no healthy target is left at all.

use std::cmp::Ordering;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::prelude::*;
use crate::process::health::{HealthState, QuarantineCause};
use crate::process::router::table::{TargetEntry, TargetIndex, TargetTable};
use crate::request::outcome::RepeatSafety;

/// Lowest share of good outcomes that the cost of a target is divided by.
const LEAST_SUCCESS: f64 = 0.05;

/// Outcomes that must be known of a zone before it can be doubtful.
const DOUBT_OUTCOMES: u32 = 10;

/// Failure share from which a zone is doubtful.
const DOUBT_SHARE: f64 = 0.4;

/// Targets of one zone that a call tries before it goes to another zone.
const ZONE_ATTEMPTS: usize = 2;

/// What an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Whether the call may run more than once.
    pub safety: RepeatSafety,
    /// Targets that the call has tried.
    pub tried: &'a BTreeSet<TargetIndex>,
    /// Idempotency key that pins the call to one target, on every host the same.
    pub key: Option<&'a str>,
}

/// Why there is no target for an attempt. Nothing was sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RouteRefusal {
    /// No listed target runs the service.
    #[error("no live worker runs the service; declare one or wait for one to be listed")]
    NoTarget,
    /// Targets are there, but none has room.
    #[error("every worker of the service is full; send the call again later")]
    AllFull,
}

impl TargetTable {
    /// Chooses a target.
    ///
    /// # Errors
    /// A [`RouteRefusal`]; `AllFull` may pass when a call ends.
    pub fn choose(
        &self,
        query: &RouteQuery<'_>,
        now: MonotonicTime,
        rng: &mut ChaCha8Rng,
    ) -> Result<TargetIndex, RouteRefusal> {
        let candidates: Vec<Candidate<'_>> = self.candidates(query).collect();
        if candidates.is_empty() {
            return Err(RouteRefusal::NoTarget);
        }
        if let Some(key) = query.key {
            return pinned_target(&candidates, key, now);
        }
        let doubtful = doubtful_zones(&candidates);
        let is_sound = |candidate: &&Candidate<'_>| !doubtful.contains(candidate.zone());
        let is_own = |candidate: &&Candidate<'_>| *candidate.zone() == self.own_zone;
        let is_ready = |candidate: &&Candidate<'_>| {
            candidate.entry.health.is_healthy() && candidate.entry.has_capacity(now)
        };
        let ready = || candidates.iter().filter(is_ready);
        let sound = || ready().filter(is_sound);
        let zone_trial = || zone_trial(ready().filter(|one| !is_sound(one)), query, now);
        let better = |choices: Vec<&Candidate<'_>>, rng: &mut _| better_of_two(&choices, now, rng);
        let tried = self.tried_zones(query);
        if tried.len() == 1 && query.tried.len() >= ZONE_ATTEMPTS {
            let is_other = |one: &&Candidate<'_>| !tried.contains(one.zone());
            if let Some(index) = better(sound().filter(is_other).collect(), rng) {
                return Ok(index);
            }
        }
        self.due_trial(candidates.iter().filter(is_own), query, now)
            .or_else(zone_trial)
            .or_else(|| better(sound().filter(is_own).collect(), rng))
            .or_else(|| self.due_trial(candidates.iter(), query, now))
            .or_else(|| better(sound().collect(), rng))
            .or_else(|| better(ready().collect(), rng))
            .or_else(|| last_resort(&candidates, now, rng))
            .ok_or(RouteRefusal::AllFull)
    }

    fn tried_zones(&self, query: &RouteQuery<'_>) -> BTreeSet<&ZoneName> {
        let tried = query.tried.iter().filter_map(|index| self.entry(*index));
        tried.map(|entry| &entry.record.zone).collect()
    }

    /// Whether any target may take calls of the service, now or later.
    pub fn is_served(&self, service: &ServiceName) -> bool {
        self.serving(service).next().is_some()
    }

    fn serving<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = Candidate<'a>> {
        self.entries()
            .iter()
            .filter(|(_, entry)| entry.is_present() && entry.record.services.contains(service))
            .map(|(index, entry)| Candidate {
                index: *index,
                entry,
            })
    }

    /// Targets that the call has not tried; all of them once it has tried each, or
    /// when a key pins it, since a pin that moves would pin nothing.
    fn candidates<'a>(&'a self, query: &'a RouteQuery<'_>) -> impl Iterator<Item = Candidate<'a>> {
        let untried = |candidate: &Candidate<'_>| !query.tried.contains(&candidate.index);
        let has_untried = query.key.is_none()
            && self
                .serving(query.service)
                .any(|candidate| untried(&candidate));
        self.serving(query.service)
            .filter(move |candidate| !has_untried || untried(candidate))
    }

    /// A quarantined target whose trial is due; only first attempts are trials.
    fn due_trial<'a>(
        &self,
        mut candidates: impl Iterator<Item = &'a Candidate<'a>>,
        query: &RouteQuery<'_>,
        now: MonotonicTime,
    ) -> Option<TargetIndex> {
        if !query.tried.is_empty() {
            return None;
        }
        let is_due = |entry: &TargetEntry| {
            entry.has_capacity(now)
                && entry
                    .health
                    .is_probe_call_due(&self.rules, query.safety, now)
        };
        candidates
            .find(|candidate| is_due(candidate.entry))
            .map(|candidate| candidate.index)
    }
}

/// A target that may take the call.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    index: TargetIndex,
    entry: &'a TargetEntry,
}

impl<'a> Candidate<'a> {
    const fn zone(&self) -> &'a ZoneName {
        &self.entry.record.zone
    }
}

/// Zones whose targets together fail so much that calls are better sent elsewhere.
/// No single target stands out in them, so that none is in quarantine.
fn doubtful_zones<'a>(candidates: &[Candidate<'a>]) -> BTreeSet<&'a ZoneName> {
    let mut counts = BTreeMap::new();
    for candidate in candidates {
        let (failures, known) = candidate.entry.health.recent();
        let sum: &mut (u32, u32) = counts.entry(candidate.zone()).or_default();
        *sum = (sum.0 + failures, sum.1 + known);
    }
    let is_doubtful = |(_, (failures, known)): &(_, (u32, u32))| {
        *known >= DOUBT_OUTCOMES && f64::from(*failures) >= f64::from(*known) * DOUBT_SHARE
    };
    counts
        .into_iter()
        .filter(is_doubtful)
        .map(|(zone, _)| zone)
        .collect()
}

/// A target of a doubtful zone that has not been judged for a while. Idempotent
/// calls find out in this way whether the zone works again.
fn zone_trial<'a>(
    mut candidates: impl Iterator<Item = &'a Candidate<'a>>,
    query: &RouteQuery<'_>,
    now: MonotonicTime,
) -> Option<TargetIndex> {
    let may_try = query.safety == RepeatSafety::Idempotent && query.tried.is_empty();
    let is_due = |entry: &TargetEntry| entry.is_stale(now) && entry.in_flight == 0;
    candidates
        .find(|candidate| may_try && is_due(candidate.entry))
        .map(|candidate| candidate.index)
}

/// The cheaper of two distinct random candidates.
fn better_of_two(
    candidates: &[&Candidate<'_>],
    now: MonotonicTime,
    rng: &mut ChaCha8Rng,
) -> Option<TargetIndex> {
    let count = candidates.len();
    if count < 2 {
        return candidates.first().map(|candidate| candidate.index);
    }
    let first = rng.random_range(0..count);
    let step = rng.random_range(1..count);
    let (left, right) = (candidates[first], candidates[(first + step) % count]);
    let is_left = cost_order(left.entry, right.entry, now).is_le();
    Some(if is_left { left.index } else { right.index })
}

/// Compares the expected cost of one more call: its latency times the calls that
/// share the target, divided by the share of calls that end well. What has not
/// been refreshed for a while does not count, so that every target is tried again;
/// without latency on both sides only the load counts.
fn cost_order(left: &TargetEntry, right: &TargetEntry, now: MonotonicTime) -> Ordering {
    let load = |entry: &TargetEntry| {
        let share = if entry.is_stale(now) {
            1.0
        } else {
            entry.health.success_share()
        };
        f64::from(entry.in_flight + 1) / share.max(LEAST_SUCCESS)
    };
    let latency =
        |entry: &TargetEntry| entry.latency.peak_micros().filter(|_| !entry.is_stale(now));
    let pair = latency(left).zip(latency(right));
    let (left_micros, right_micros) = pair.unwrap_or((1.0, 1.0));
    (load(left) * left_micros).total_cmp(&(load(right) * right_micros))
}

/// With no healthy target at all, quarantined ones carry calls rather than none.
/// Otherwise only slow ones do, and only when the healthy ones have no room.
fn last_resort(
    candidates: &[Candidate<'_>],
    now: MonotonicTime,
    rng: &mut ChaCha8Rng,
) -> Option<TargetIndex> {
    let has_healthy = candidates
        .iter()
        .any(|candidate| candidate.entry.health.is_healthy());
    let is_usable = |candidate: &&Candidate<'_>| {
        let HealthState::Quarantined { cause, .. } = candidate.entry.health.state() else {
            return false;
        };
        candidate.entry.has_capacity(now) && (!has_healthy || cause == QuarantineCause::Slow)
    };
    better_of_two(
        &candidates.iter().filter(is_usable).collect::<Vec<_>>(),
        now,
        rng,
    )
}

/// The target with the highest hash of key and name. Health, load and zone are
/// left out, since other hosts see them differently.
fn pinned_target(
    candidates: &[Candidate<'_>],
    key: &str,
    now: MonotonicTime,
) -> Result<TargetIndex, RouteRefusal> {
    let weight = |candidate: &&Candidate<'_>| {
        let digest = Sha256::new()
            .chain_update(key.as_bytes())
            .chain_update([0])
            .chain_update(candidate.entry.record.name.as_str().as_bytes());
        <[u8; 32]>::from(digest.finalize())
    };
    let pinned = candidates
        .iter()
        .max_by_key(weight)
        .ok_or(RouteRefusal::NoTarget)?;
    if pinned.entry.has_capacity(now) {
        Ok(pinned.index)
    } else {
        Err(RouteRefusal::AllFull)
    }
}
