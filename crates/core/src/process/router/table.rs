//! The target table: every worker that calls may go to, with its load, latency
//! and health as seen by this host. Only `apply_listing` and `mark_draining` change
//! who may receive new work; a leaving word holds for an incarnation for good.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::health::{HealthRules, HealthState, QuarantineCause, TargetHealth};
use crate::process::router::latency::LatencyEstimate;
use crate::process::router::limit::ConcurrencyLimit;
use crate::request::outcome::FailureBlame;

/// Time for which a target that refused for lack of capacity is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// Age after which latency and outcomes no longer keep calls away from a target.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// A target's place in the table; never given to another worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetIndex(pub u32);

impl Display for TargetIndex {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "target{}", self.0)
    }
}

/// A worker as a target of calls, from any source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name of the worker.
    pub name: WorkerName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Incarnation of the worker's process; increases with each restart.
    pub incarnation: u64,
    /// Whether the source says that the worker takes no new work.
    pub leaving: bool,
    /// Services that the worker runs.
    pub services: BTreeSet<ServiceName>,
    /// Calls that the worker runs at once.
    pub slots: u32,
    /// Connections that this host may open to the worker; at least one.
    pub connections: u32,
}

impl TargetRecord {
    /// Calls that this host may have at the worker at once.
    fn ceiling(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// One target and what this host has learned of it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Newest record; its incarnation never decreases.
    pub record: TargetRecord,
    /// Whether the newest listing names the target.
    pub listed: bool,
    /// Calls of this host at the target now.
    pub in_flight: u32,
    /// Learned latency.
    pub latency: LatencyEstimate,
    /// Calls that the target may be given at once.
    pub limit: ConcurrencyLimit,
    /// Health.
    pub health: TargetHealth,
    /// No call before this time: the target has just refused one.
    pub full_until: MonotonicTime,
    /// Last answer or failure of the target itself.
    pub judged_at: MonotonicTime,
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
            judged_at: MonotonicTime::default(),
        }
    }

    /// Whether new work may go to the target at all.
    pub const fn is_present(&self) -> bool {
        self.listed && !self.record.leaving
    }

    /// Whether the latency and outcomes known of the target are too old to count.
    pub fn is_stale(&self, now: MonotonicTime) -> bool {
        now.since(self.judged_at) > STALE_AFTER
    }

    /// Whether the target may be given one more call now.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        self.in_flight < self.limit.allowed() && now >= self.full_until
    }
}

/// One attempt in flight. It is not cloned, so each attempt ends once.
#[derive(Debug)]
pub struct AttemptTicket {
    /// Target of the attempt.
    pub index: TargetIndex,
    /// Incarnation of the target when the attempt began.
    incarnation: u64,
    /// Whether the attempt tries a quarantined target.
    is_trial: bool,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A whole answer after this time.
    Answered(Duration),
    /// The target refused for lack of capacity.
    Full,
    /// Any other failure, with what it is counted against.
    Failed(FailureBlame),
}

/// All targets.
#[derive(Clone, Debug)]
pub struct TargetTable {
    /// Zone of this host.
    pub own_zone: ZoneName,
    /// Rules of quarantine.
    pub rules: HealthRules,
    /// Share of a zone's targets that may be in quarantine for failing or slowness.
    pub quarantine_share: f64,
    /// Entries by index; removed only when unlisted, idle and without a leaving word.
    entries: BTreeMap<TargetIndex, TargetEntry>,
    /// Index of each known name.
    indices: BTreeMap<WorkerName, TargetIndex>,
    /// Highest incarnation of each worker that any source called leaving. Kept
    /// when the worker vanishes, so that an older list cannot bring it back.
    leaving: BTreeMap<WorkerName, u64>,
    next_index: u32,
}

impl TargetTable {
    /// An empty table of a host in `own_zone`.
    pub const fn new(own_zone: ZoneName, rules: HealthRules, quarantine_share: f64) -> Self {
        Self {
            own_zone,
            rules,
            quarantine_share,
            entries: BTreeMap::new(),
            indices: BTreeMap::new(),
            leaving: BTreeMap::new(),
            next_index: 0,
        }
    }

    /// All entries in order of index.
    pub const fn entries(&self) -> &BTreeMap<TargetIndex, TargetEntry> {
        &self.entries
    }

    /// One entry.
    pub fn entry(&self, index: TargetIndex) -> Option<&TargetEntry> {
        self.entries.get(&index)
    }

    /// Index of a worker by name.
    pub fn find(&self, name: &WorkerName) -> Option<TargetIndex> {
        self.indices.get(name).copied()
    }

    /// Takes in a complete listing. Records of an older incarnation than known are
    /// ignored; workers not named take no new work.
    pub fn apply_listing(&mut self, records: Vec<TargetRecord>) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for record in records {
            self.apply_record(record);
        }
        let idle = |entry: &TargetEntry| !entry.listed && entry.in_flight == 0;
        self.entries.retain(|_, entry| !idle(entry));
        let entries = &self.entries;
        self.indices.retain(|_, index| entries.contains_key(index));
    }

    fn apply_record(&mut self, mut record: TargetRecord) {
        if record.leaving {
            self.note_leaving(&record.name, record.incarnation);
        }
        record.leaving = self.is_leaving(&record.name, record.incarnation);
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

    /// Takes in the word of any source that this incarnation, and so every earlier
    /// one, takes no new work.
    pub fn mark_draining(&mut self, name: &WorkerName, incarnation: u64) {
        self.note_leaving(name, incarnation);
        let Some(entry) = self.find(name).and_then(|at| self.entries.get_mut(&at)) else {
            return;
        };
        entry.record.leaving |= entry.record.incarnation <= incarnation;
    }

    fn note_leaving(&mut self, name: &WorkerName, incarnation: u64) {
        let highest = self.leaving.entry(name.clone()).or_insert(incarnation);
        *highest = (*highest).max(incarnation);
    }

    fn is_leaving(&self, name: &WorkerName, incarnation: u64) -> bool {
        self.leaving
            .get(name)
            .is_some_and(|highest| incarnation <= *highest)
    }

    /// Counts an attempt that is about to begin. The ticket goes back to
    /// `end_attempt` however the attempt ends.
    pub fn begin_attempt(&mut self, index: TargetIndex) -> Option<AttemptTicket> {
        let entry = self.entries.get_mut(&index)?;
        entry.in_flight += 1;
        let is_trial = !entry.health.is_healthy();
        if is_trial {
            entry.health.start_probe_call();
        }
        let incarnation = entry.record.incarnation;
        Some(AttemptTicket {
            index,
            incarnation,
            is_trial,
        })
    }

    /// Takes in the end of an attempt. One that began with an earlier incarnation
    /// says nothing of the present one.
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
        debug_assert!(entry.in_flight > 0, "an attempt ended that never began");
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if entry.record.incarnation != ticket.incarnation {
            return;
        }
        match result {
            AttemptResult::Answered(latency) => self.record_answer(ticket, latency, now),
            AttemptResult::Full => {
                entry.health.record_neutral(ticket.is_trial);
                entry.limit.record_full(now);
                entry.full_until = now + FULL_PAUSE;
            }
            AttemptResult::Failed(FailureBlame::Target) => {
                entry.judged_at = now;
                entry.health.record_failure(&rules, ticket.is_trial, now);
                self.judge_failures(ticket.index, now);
            }
            AttemptResult::Failed(FailureBlame::Path) => {
                if entry.health.record_connect_failure(&rules) {
                    entry
                        .health
                        .quarantine(&rules, QuarantineCause::Unreachable, now);
                }
            }
            AttemptResult::Failed(FailureBlame::Nobody | FailureBlame::Connection) => {
                entry.health.record_neutral(ticket.is_trial);
            }
        }
    }

    /// Unreachable targets that are to be probed now.
    pub fn due_probes(&self, now: MonotonicTime) -> Vec<TargetIndex> {
        let is_due = |entry: &TargetEntry| entry.is_present() && entry.health.is_probe_due(now);
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(index, _)| *index).collect()
    }

    /// Takes in the end of a probe of an unreachable target.
    pub fn record_probe(&mut self, index: TargetIndex, is_answered: bool, now: MonotonicTime) {
        let rules = self.rules;
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.health.record_probe(&rules, is_answered, now);
        }
    }

    /// Calls that all healthy targets together may be given by this host; of all
    /// targets when none is healthy.
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
        entry.judged_at = now;
        let micros = latency.as_secs_f64() * 1e6;
        let is_slow = |value: f64| median.is_some_and(|median| value > median * rules.slow_factor);
        let is_held_slow = matches!(
            entry.health.state(),
            HealthState::Quarantined {
                cause: QuarantineCause::Slow,
                ..
            }
        );
        if is_held_slow && ticket.is_trial && is_slow(micros) {
            entry.health.record_slow_probe_call(&rules, now);
            return;
        }
        if entry.health.record_success(&rules, ticket.is_trial) {
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

    fn judge_failures(&mut self, index: TargetIndex, now: MonotonicTime) {
        let rules = self.rules;
        let Some(entry) = self.entries.get(&index) else {
            return;
        };
        if !entry.health.is_healthy() || !entry.health.is_suspect(&rules) {
            return;
        }
        let own_share = 1.0 - entry.health.success_share();
        if own_share - self.failure_share_of_others(index) >= rules.margin {
            self.quarantine_within_cap(index, QuarantineCause::Failing, now);
        }
    }

    /// Quarantines a target unless that would take more of its zone out of service
    /// than the stated share; one target may always go.
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
        let is_capped = |entry: &&TargetEntry| match entry.health.state() {
            HealthState::Healthy => false,
            HealthState::Quarantined { cause, .. } => cause != QuarantineCause::Unreachable,
        };
        let quarantined = in_zone().filter(is_capped).count();
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

    /// Other healthy targets of the same zone.
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
        let least = self.rules.min_answers;
        let mut means: Vec<f64> = self
            .others(index)
            .filter_map(|entry| entry.latency.mean_micros(least))
            .collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied()
    }

    /// Failure share of the rest of the zone; zero when nothing is known, so that
    /// a lone failing target is still found.
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
