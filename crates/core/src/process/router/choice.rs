//! The choice of a target for one attempt: of two random targets the one with the lower
//! expected cost, preferably in the host's own zone. Other zones are used when no target
//! of the own zone has free capacity, when the own zone as a whole fails, or when the
//! call has failed on several of its targets. A quarantined target gets one probe call
//! at a time. Apart from these, quarantined targets carry calls only when there is no
//! healthy target, or, if they are only slow, when all healthy targets are full.

use std::cmp::Ordering;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::prelude::*;
use crate::process::health::{HealthState, QuarantineCause};
use crate::process::router::table::{TargetEntry, TargetIndex, TargetTable};
use crate::request::outcome::RetrySafety;

/// Lower bound of the success share by which the cost of a target is divided.
const MIN_SUCCESS_SHARE: f64 = 0.05;

/// Minimum number of known outcomes of a zone for it to count as failing.
const MIN_ZONE_OUTCOMES: u32 = 10;

/// Failure share from which a zone counts as failing.
const FAILING_ZONE_SHARE: f64 = 0.4;

/// Number of targets of one zone that a call tries before it goes to another zone.
const MAX_ZONE_ATTEMPTS: usize = 2;

/// Requirements of an attempt on its target.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Whether the call may run more than once.
    pub safety: RetrySafety,
    /// Targets that the call has tried.
    pub tried: &'a BTreeSet<TargetIndex>,
    /// Idempotency key that pins the call to one target, the same on every host.
    pub key: Option<&'a str>,
}

/// Why there is no target for an attempt. The request was not sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RouteRefusal {
    /// No listed target runs the service.
    #[error("no live worker runs the service; declare one or wait for one to be listed")]
    NoTarget,
    /// Targets run the service, but none of them has free capacity.
    #[error("every worker of the service is full; send the call again later")]
    AllFull,
}

impl TargetTable {
    /// Chooses the target of an attempt.
    ///
    /// # Errors
    /// Returns a [`RouteRefusal`] if there is no target; `AllFull` may no longer apply
    /// once another call has ended.
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
        let failing = failing_zones(&candidates);
        let is_working = |candidate: &&Candidate<'_>| !failing.contains(candidate.zone());
        let is_own = |candidate: &&Candidate<'_>| *candidate.zone() == self.own_zone;
        let is_ready = |candidate: &&Candidate<'_>| {
            candidate.entry.health.is_healthy() && candidate.entry.has_capacity(now)
        };
        let ready = || candidates.iter().filter(is_ready);
        let working = || ready().filter(is_working);
        let zone_probe = || zone_probe(ready().filter(|one| !is_working(one)), query, now);
        let better = |choices: Vec<&Candidate<'_>>, rng: &mut _| better_of_two(&choices, now, rng);
        let tried = self.tried_zones(query);
        if tried.len() == 1 && query.tried.len() >= MAX_ZONE_ATTEMPTS {
            let is_other = |one: &&Candidate<'_>| !tried.contains(one.zone());
            if let Some(index) = better(working().filter(is_other).collect(), rng) {
                return Ok(index);
            }
        }
        self.due_probe_call(candidates.iter().filter(is_own), query, now)
            .or_else(zone_probe)
            .or_else(|| better(working().filter(is_own).collect(), rng))
            .or_else(|| self.due_probe_call(candidates.iter(), query, now))
            .or_else(|| better(working().collect(), rng))
            .or_else(|| better(ready().collect(), rng))
            .or_else(|| quarantined_fallback(&candidates, now, rng))
            .ok_or(RouteRefusal::AllFull)
    }

    fn tried_zones(&self, query: &RouteQuery<'_>) -> BTreeSet<&ZoneName> {
        let tried = query.tried.iter().filter_map(|index| self.entry(*index));
        tried.map(|entry| &entry.record.zone).collect()
    }

    /// Whether any target accepts calls of the service, even if it is full now.
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

    /// Returns the targets that the call has not tried. If it has tried every target,
    /// or if a key pins it, returns all, since a call with a key must be retried on the same
    /// target.
    fn candidates<'a>(&'a self, query: &'a RouteQuery<'_>) -> impl Iterator<Item = Candidate<'a>> {
        let untried = |candidate: &Candidate<'_>| !query.tried.contains(&candidate.index);
        let has_untried = query.key.is_none()
            && self
                .serving(query.service)
                .any(|candidate| untried(&candidate));
        self.serving(query.service)
            .filter(move |candidate| !has_untried || untried(candidate))
    }

    /// Returns a quarantined target for which a probe call is due. Only the first attempt
    /// of a call is used as a probe call.
    fn due_probe_call<'a>(
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

/// A target that may receive the call.
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

/// Returns the zones whose targets together fail so often that calls are better sent to
/// other zones. Quarantine does not cover this case, since no single target fails more
/// than the rest of its zone.
fn failing_zones<'a>(candidates: &[Candidate<'a>]) -> BTreeSet<&'a ZoneName> {
    let mut counts = BTreeMap::new();
    for candidate in candidates {
        let (failures, known) = candidate.entry.health.recent();
        let sum: &mut (u32, u32) = counts.entry(candidate.zone()).or_default();
        *sum = (sum.0 + failures, sum.1 + known);
    }
    let is_failing = |(_, (failures, known)): &(_, (u32, u32))| {
        *known >= MIN_ZONE_OUTCOMES
            && f64::from(*failures) >= f64::from(*known) * FAILING_ZONE_SHARE
    };
    counts
        .into_iter()
        .filter(is_failing)
        .map(|(zone, _)| zone)
        .collect()
}

/// Returns a target of a failing zone without a recent outcome. An idempotent call sent
/// to it shows whether the zone works again.
fn zone_probe<'a>(
    mut candidates: impl Iterator<Item = &'a Candidate<'a>>,
    query: &RouteQuery<'_>,
    now: MonotonicTime,
) -> Option<TargetIndex> {
    let may_probe = query.safety == RetrySafety::Idempotent && query.tried.is_empty();
    let is_due = |entry: &TargetEntry| entry.is_stale(now) && entry.in_flight == 0;
    candidates
        .find(|candidate| may_probe && is_due(candidate.entry))
        .map(|candidate| candidate.index)
}

/// Returns the one of two distinct random candidates with the lower cost.
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

/// Compares the expected cost of one more call at each target: the latency times the
/// calls in flight, divided by the share of calls that succeed. Stale latencies and
/// outcomes are ignored, so that every target is tried again at some time. Unless the
/// latency of both targets is known, only load and success share are compared.
fn cost_order(left: &TargetEntry, right: &TargetEntry, now: MonotonicTime) -> Ordering {
    let load = |entry: &TargetEntry| {
        let share = if entry.is_stale(now) {
            1.0
        } else {
            entry.health.success_share()
        };
        f64::from(entry.in_flight + 1) / share.max(MIN_SUCCESS_SHARE)
    };
    let latency =
        |entry: &TargetEntry| entry.latency.peak_micros().filter(|_| !entry.is_stale(now));
    let pair = latency(left).zip(latency(right));
    let (left_micros, right_micros) = pair.unwrap_or((1.0, 1.0));
    (load(left) * left_micros).total_cmp(&(load(right) * right_micros))
}

/// Returns a quarantined target with free capacity for a call that no healthy target can
/// take: any of them if there are no healthy targets, otherwise only one that is
/// quarantined as slow.
fn quarantined_fallback(
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

/// Returns the target with the highest hash of key and name (rendezvous hashing). Health,
/// load and zone are not considered, since they differ between hosts.
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
