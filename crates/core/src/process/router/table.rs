//! The target table: all workers that can receive calls, with their load, latency and
//! health as measured by this host. Only `apply_listing` and `mark_draining` change which
//! workers may receive new work. An incarnation that drains never accepts work again.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::health::{HealthRules, HealthState, QuarantineCause, TargetHealth};
use crate::process::router::latency::LatencyEstimate;
use crate::process::router::limit::ConcurrencyLimit;
use crate::request::outcome::FailureBlame;

/// Time for which a target that refused a call for lack of capacity gets no calls.
const FULL_TARGET_DELAY: Duration = Duration::from_millis(5);

/// Time since the last outcome after which the latency and outcomes of a target no
/// longer affect the choice of targets.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// Index of a target in the table; never reused for another worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetIndex(pub u32);

impl Display for TargetIndex {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "target{}", self.0)
    }
}

/// A worker as a target of calls, as described by any source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name of the worker.
    pub name: WorkerName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address to which calls are sent.
    pub address: SocketAddr,
    /// Incarnation of the worker's process; increases with each restart.
    pub incarnation: u64,
    /// Whether the worker is draining, so that it accepts no new work.
    pub draining: bool,
    /// Services that the worker runs.
    pub services: BTreeSet<ServiceName>,
    /// Number of calls that the worker runs concurrently.
    pub slots: u32,
    /// Number of connections that this host may open to the worker; at least one.
    pub connections: u32,
}

impl TargetRecord {
    /// Returns the number of calls that this host may have in flight at the worker.
    fn ceiling(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// A target and its state as measured by this host.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Newest record of the worker; its incarnation never decreases.
    pub record: TargetRecord,
    /// Whether the newest listing contains the target.
    pub listed: bool,
    /// Number of calls of this host in flight at the target.
    pub in_flight: u32,
    /// Estimate of the target's latency.
    pub latency: LatencyEstimate,
    /// Limit on the calls in flight at the target.
    pub limit: ConcurrencyLimit,
    /// Recent outcomes and quarantine.
    pub health: TargetHealth,
    /// Time before which the target gets no calls, since it has refused one for lack of
    /// capacity.
    pub full_until: MonotonicTime,
    /// Time of the last answer, or failure attributed to the target.
    pub last_outcome_at: MonotonicTime,
}

impl TargetEntry {
    fn new(record: TargetRecord, rules: &HealthRules) -> Self {
        Self {
            limit: ConcurrencyLimit::new(record.ceiling()),
            record,
            listed: true,
            in_flight: 0,
            latency: LatencyEstimate::default(),
            health: TargetHealth::new(rules),
            full_until: MonotonicTime::default(),
            last_outcome_at: MonotonicTime::default(),
        }
    }

    /// Whether the target is listed and accepts new work.
    pub const fn is_present(&self) -> bool {
        self.listed && !self.record.draining
    }

    /// Whether the target's latency and outcomes are too old to be considered.
    pub fn is_stale(&self, now: MonotonicTime) -> bool {
        now.since(self.last_outcome_at) > STALE_AFTER
    }

    /// Whether the target may receive one more call at `now`.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        self.in_flight < self.limit.allowed() && now >= self.full_until
    }
}

/// An attempt in flight. The type is not `Clone`, so that each attempt ends once.
#[derive(Debug)]
pub struct AttemptTicket {
    /// Target of the attempt.
    pub index: TargetIndex,
    /// Incarnation of the target when the attempt began.
    incarnation: u64,
    /// Whether the attempt is a probe call to a quarantined target.
    is_probe_call: bool,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A complete answer arrived after this time.
    Answered(Duration),
    /// The target refused for lack of capacity.
    Full,
    /// The attempt failed otherwise; the blame says what the failure is attributed to.
    Failed(FailureBlame),
}

/// All targets of calls.
#[derive(Clone, Debug)]
pub struct TargetTable {
    /// Zone of this host.
    pub own_zone: ZoneName,
    /// Rules for quarantine.
    pub rules: HealthRules,
    /// Share of a zone's targets that may be quarantined as failing or slow.
    pub quarantine_share: f64,
    /// Entries by index, removed when they are unlisted and have no calls in
    /// flight.
    entries: BTreeMap<TargetIndex, TargetEntry>,
    /// Index of each worker in `entries`.
    indices: BTreeMap<WorkerName, TargetIndex>,
    /// Highest incarnation of each worker that any source reported as draining. Kept
    /// when the worker is no longer listed, so that an older listing cannot restore it.
    draining: BTreeMap<WorkerName, u64>,
    next_index: u32,
}

impl TargetTable {
    /// Creates an empty table for a host in `own_zone`.
    pub const fn new(own_zone: ZoneName, rules: HealthRules, quarantine_share: f64) -> Self {
        Self {
            own_zone,
            rules,
            quarantine_share,
            entries: BTreeMap::new(),
            indices: BTreeMap::new(),
            draining: BTreeMap::new(),
            next_index: 0,
        }
    }

    /// Returns all entries by index.
    pub const fn entries(&self) -> &BTreeMap<TargetIndex, TargetEntry> {
        &self.entries
    }

    /// Returns the entry with this index.
    pub fn entry(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.entries.get(&index)
    }

    /// Returns the index of a worker.
    pub fn find(&self, name: &WorkerName) -> Option<TargetIndex> {
        self.indices.get(name).copied()
    }

    /// Applies a complete listing. Records of an incarnation older than the known one are
    /// ignored; workers that are not listed get no new work.
    pub fn apply_listing(&mut self, records: Vec<TargetRecord>) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for record in records {
            self.apply_record(record);
        }
        let is_removable = |entry: &TargetEntry| !entry.listed && entry.in_flight == 0;
        self.entries.retain(|_, entry| !is_removable(entry));
        let entries = &self.entries;
        self.indices.retain(|_, index| entries.contains_key(index));
    }

    fn apply_record(&mut self, mut record: TargetRecord) {
        if record.draining {
            self.record_draining(&record.name, record.incarnation);
        }
        record.draining = self.is_draining(&record.name, record.incarnation);
        let Some(entry) = self
            .find(&record.name)
            .and_then(|at| self.entries.get_mut(&at))
        else {
            let index = TargetIndex(self.next_index);
            self.next_index += 1;
            self.indices.insert(record.name.clone(), index);
            self.entries
                .insert(index, TargetEntry::new(record, &self.rules));
            return;
        };
        entry.listed = true;
        if record.incarnation < entry.record.incarnation {
            return;
        }
        if record.incarnation > entry.record.incarnation {
            let in_flight = entry.in_flight;
            *entry = TargetEntry::new(record, &self.rules);
            entry.in_flight = in_flight;
            return;
        }
        if record.ceiling() != entry.record.ceiling() {
            entry.limit = ConcurrencyLimit::new(record.ceiling());
        }
        entry.record = record;
    }

    /// Marks this incarnation of a worker, and so every earlier one, as draining. Any
    /// source may report it.
    pub fn mark_draining(&mut self, name: &WorkerName, incarnation: u64) {
        self.record_draining(name, incarnation);
        let Some(entry) = self.find(name).and_then(|at| self.entries.get_mut(&at)) else {
            return;
        };
        entry.record.draining |= entry.record.incarnation <= incarnation;
    }

    fn record_draining(&mut self, name: &WorkerName, incarnation: u64) {
        let highest = self.draining.entry(name.clone()).or_insert(incarnation);
        *highest = (*highest).max(incarnation);
    }

    fn is_draining(&self, name: &WorkerName, incarnation: u64) -> bool {
        self.draining
            .get(name)
            .is_some_and(|highest| incarnation <= *highest)
    }

    /// Counts an attempt that is about to begin. Its ticket must be passed to
    /// `end_attempt` however the attempt ends.
    pub fn begin_attempt(&mut self, index: TargetIndex) -> Option<AttemptTicket> {
        let entry = self.entries.get_mut(&index)?;
        entry.in_flight += 1;
        let is_probe_call = !entry.health.is_healthy();
        if is_probe_call {
            entry.health.start_probe_call();
        }
        let incarnation = entry.record.incarnation;
        Some(AttemptTicket {
            index,
            incarnation,
            is_probe_call,
        })
    }

    /// Records the end of an attempt. The result of one that began under an earlier
    /// incarnation is ignored.
    pub fn end_attempt(
        &mut self,
        ticket: &AttemptTicket,
        result: AttemptResult,
        now: MonotonicTime,
    ) {
        let rules = self.rules;
        let Some(entry) = self.entries.get_mut(&ticket.index) else {
            debug_assert!(
                false,
                "{} was removed with an attempt in flight",
                ticket.index
            );
            return;
        };
        debug_assert!(
            entry.in_flight > 0,
            "an attempt ended that was not in flight"
        );
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if entry.record.incarnation != ticket.incarnation {
            return;
        }
        match result {
            AttemptResult::Answered(latency) => self.record_answer(ticket, latency, now),
            AttemptResult::Full => {
                entry.health.record_neutral(ticket.is_probe_call);
                entry.limit.record_full(now);
                entry.full_until = now + FULL_TARGET_DELAY;
            }
            AttemptResult::Failed(FailureBlame::Target) => {
                entry.last_outcome_at = now;
                entry
                    .health
                    .record_failure(&rules, ticket.is_probe_call, now);
                self.quarantine_if_failing(ticket.index, now);
            }
            AttemptResult::Failed(FailureBlame::Path) => {
                if entry.health.record_connect_failure(&rules) {
                    entry
                        .health
                        .quarantine(&rules, QuarantineCause::Unreachable, now);
                }
            }
            AttemptResult::Failed(FailureBlame::Neutral | FailureBlame::Connection) => {
                entry.health.record_neutral(ticket.is_probe_call);
            }
        }
    }

    /// Returns the unreachable targets for which a probe is due.
    pub fn due_probes(&self, now: MonotonicTime) -> Vec<TargetIndex> {
        let is_due = |entry: &TargetEntry| entry.is_present() && entry.health.is_probe_due(now);
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(index, _)| *index).collect()
    }

    /// Records the end of a probe of an unreachable target.
    pub fn record_probe(&mut self, index: TargetIndex, is_answered: bool, now: MonotonicTime) {
        let rules = self.rules;
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.health.record_probe(&rules, is_answered, now);
        }
    }

    /// Returns the number of calls that this host may have in flight at all healthy targets
    /// together, or at all targets if none is healthy.
    pub fn capacity(&self) -> u32 {
        let present = || self.entries.values().filter(|entry| entry.is_present());
        let allowed = |entry: &TargetEntry| entry.limit.allowed();
        if present().any(|entry| entry.health.is_healthy()) {
            present()
                .filter(|entry| entry.health.is_healthy())
                .map(allowed)
                .sum()
        } else {
            present().map(allowed).sum()
        }
    }

    fn record_answer(&mut self, ticket: &AttemptTicket, latency: Duration, now: MonotonicTime) {
        let rules = self.rules;
        let median = self.median_of_others(ticket.index);
        let Some(entry) = self.entries.get_mut(&ticket.index) else {
            return;
        };
        if entry.is_stale(now) {
            entry.health.clear_outcomes();
        }
        entry.last_outcome_at = now;
        let micros = latency.as_secs_f64() * 1e6;
        let is_slow = |value: f64| median.is_some_and(|median| value > median * rules.slow_factor);
        let is_quarantined_slow = matches!(
            entry.health.state(),
            HealthState::Quarantined {
                cause: QuarantineCause::Slow,
                ..
            }
        );
        if is_quarantined_slow && ticket.is_probe_call && is_slow(micros) {
            entry.health.record_slow_probe_call(&rules, now);
            return;
        }
        if entry.health.record_success(&rules, ticket.is_probe_call) {
            entry.latency.reset();
        }
        entry.latency.record(latency);
        let Some(mean) = entry.latency.mean_micros(rules.min_answers) else {
            return;
        };
        entry.limit.record_answer(mean, median, now);
        if entry.health.is_healthy() && is_slow(mean) {
            self.quarantine_within_cap(ticket.index, QuarantineCause::Slow, now);
        }
    }

    fn quarantine_if_failing(&mut self, index: TargetIndex, now: MonotonicTime) {
        let rules = self.rules;
        let Some(entry) = self.entries.get(&index) else {
            return;
        };
        if !entry.health.is_healthy() || !entry.health.is_suspect(&rules) {
            return;
        }
        let failure_share = 1.0 - entry.health.success_share();
        if failure_share - self.failure_share_of_others(index) >= rules.margin {
            self.quarantine_within_cap(index, QuarantineCause::Failing, now);
        }
    }

    /// Quarantines a target unless more than `quarantine_share` of its zone would then be
    /// quarantined as failing or slow. One target of a zone with several may always be
    /// quarantined.
    fn quarantine_within_cap(
        &mut self,
        index: TargetIndex,
        cause: QuarantineCause,
        now: MonotonicTime,
    ) {
        let rules = self.rules;
        let zone = self.entries[&index].record.zone.clone();
        let in_zone = || self.present_in(&zone);
        let total = in_zone().count();
        let counts_toward_cap = |entry: &&TargetEntry| match entry.health.state() {
            HealthState::Healthy => false,
            HealthState::Quarantined { cause, .. } => cause != QuarantineCause::Unreachable,
        };
        let quarantined = in_zone().filter(counts_toward_cap).count();
        let cap = (total as f64 * self.quarantine_share).floor() as usize;
        if quarantined >= cap.max(1) || total < 2 {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.health.quarantine(&rules, cause, now);
        }
    }

    fn present_in<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a TargetEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.is_present() && entry.record.zone == *zone)
    }

    /// Returns the other healthy targets of the same zone.
    fn others(&self, index: TargetIndex) -> impl Iterator<Item = &TargetEntry> {
        let zone = self.entries.get(&index).map(|entry| &entry.record.zone);
        self.entries.iter().filter_map(move |(other, entry)| {
            let counts = *other != index
                && entry.is_present()
                && entry.health.is_healthy()
                && Some(&entry.record.zone) == zone;
            counts.then_some(entry)
        })
    }

    fn median_of_others(&self, index: TargetIndex) -> Option<f64> {
        let min_samples = self.rules.min_answers;
        let mut means: Vec<f64> = self
            .others(index)
            .filter_map(|entry| entry.latency.mean_micros(min_samples))
            .collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Returns the failure share of the other healthy targets of the zone. It is zero if
    /// none of their outcomes is known, so that a single failing target is still detected.
    fn failure_share_of_others(&self, index: TargetIndex) -> f64 {
        let (failures, known) = self
            .others(index)
            .map(|entry| entry.health.recent())
            .fold((0, 0), |(failures, known), recent| {
                (failures + recent.0, known + recent.1)
            });
        if known == 0 {
            0.0
        } else {
            f64::from(failures) / f64::from(known)
        }
    }
}
