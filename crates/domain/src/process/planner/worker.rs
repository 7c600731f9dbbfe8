//! The planner's view of a worker: its capacity, the units that hold it, and the state of
//! the exchange with it.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::action::CallTicket;
use crate::process::planner::health::WorkerHealth;
use crate::process::planner::limits::{PlanLimits, with_drift, without_drift};
use crate::process::planner::sharing::UnitShare;
use crate::process::planner::speed::WorkerSpeed;
use crate::process::worker_report::WorkerReport;
use crate::request::submission::{StepShape, UnitDemand};

/// Time that a worker takes to restart, at least. An answer by which its incarnation is known
/// holds for as long.
pub(super) const MIN_RESTART_TIME: Duration = Duration::from_millis(500);
/// Longest lease of a worker with long-running units. A unit that is lost with its worker
/// starts again once the lease has expired, and has to run within nine seconds; the rest is
/// for the drift of clocks and the start.
const MAX_LONG_RUNNING_LEASE: Duration = Duration::from_secs(8);

/// Tiers by which a cold worker ranks below its usual speed: it counts as about half as fast.
/// Reports say how long it is slow, not how slow.
const COLD_TIERS: i32 = 5;
/// Limit of the time for which a report lets a worker count as cold, against absurd values.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);

/// Capacity of a worker that is held for a member of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Group of the member.
    pub group: GroupKey,
    /// Index among the group's members.
    pub member: usize,
    /// Capacity that the member occupies.
    pub demand: UnitDemand,
    /// How the member shares the worker.
    pub share: UnitShare,
    /// Whether its step limits the number of its units on a worker.
    pub is_limited: bool,
    /// Whether the member runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether an order to start the member may have been sent.
    pub is_sent: bool,
}

/// Units of a group that a worker is claimed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimedUnits {
    /// Number of units.
    pub count: u16,
    /// Capacity that they will occupy together.
    pub demand: UnitDemand,
    /// How each of them will share the worker.
    pub share: UnitShare,
    /// Whether their step limits the number of its units on a worker.
    pub is_limited: bool,
}

/// A worker, as the planner knows it.
#[derive(Clone, Debug)]
pub struct PlanWorker {
    /// Newest report of the worker.
    pub report: Arc<WorkerReport>,
    /// Time before which the newest report was not written, if known.
    pub reported_after: Option<MonotonicTime>,
    /// When its name became known to this planner.
    pub known_since: MonotonicTime,
    /// Whether its entry is still in the workers stream.
    pub is_listed: bool,
    /// Whether nothing may be started on it, since its machine is due for upkeep. Set anew by
    /// each step of the waves.
    pub is_cordoned: bool,
    /// Whether any source reported that it is draining. Stays set for its incarnation.
    pub is_draining: bool,
    /// Holdings by unit. A unit has at most one holding in the domain.
    pub holdings: BTreeMap<UnitKey, Holding>,
    /// Runs that it lists but of which the planner has no record; they are being stopped. Each
    /// listing replaces them.
    pub unrecorded: BTreeMap<UnitKey, RunNumber>,
    /// Capacity less the holdings. Kept up to date by [`Self::hold`] and [`Self::release`].
    pub free: UnitDemand,
    /// Units that claims will bring, by the groups that other runs were stopped for. Ends with
    /// the claim of the group.
    pub claimed: BTreeMap<GroupKey, ClaimedUnits>,
    /// State of the exchange.
    pub link: WorkerLink,
    /// Health by the results of its runs.
    pub health: WorkerHealth,
    /// Speed relative to other workers.
    pub speed: WorkerSpeed,
    /// Until when it counts as cold: slow since it has started a short while ago.
    pub cold_until: MonotonicTime,
    /// Runs that began before this time say nothing about its usual speed. Unlike `cold_until`,
    /// this is known in each deployment, and decides no placement.
    pub unsampled_until: MonotonicTime,
}

/// Workers by name.
pub type PlanWorkers = BTreeMap<WorkerName, PlanWorker>;

/// A poll that has not been answered yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingPoll {
    /// Ticket of the call.
    pub ticket: CallTicket,
    /// Number up to which the poll acknowledges ends, so that the worker may discard them.
    pub acknowledged: u64,
}

/// State of the exchange with a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerLink {
    /// Whether the worker has listed its runs in this term, so that all of them are known.
    pub has_complete_listing: bool,
    /// Pending poll that the worker answers once a run ends.
    pub long_poll: Option<PendingPoll>,
    /// Pending poll that the worker answers at once.
    pub short_poll: Option<PendingPoll>,
    /// When a short poll is due; `None` if none is needed.
    pub short_poll_at: Option<MonotonicTime>,
    /// Highest number of an end that the planner has handled.
    pub handled_end: u64,
    /// Highest number of an end whose effect is recorded in the log.
    pub recorded_end: u64,
    /// Highest number of an end that an answered poll has acknowledged.
    pub acknowledged_end: u64,
    /// Reading of the worker's clock, from an answer or from a report.
    pub clock: Option<ClockReading>,
    /// Worker's time of the newest listing that was applied.
    pub listed_clock: WorkerClock,
    /// Latest expiry, by the worker's clock, of any lease sent to it.
    pub lease_until: WorkerClock,
    /// Time by this host's clock after which no run of this incarnation is left there
    /// unless its lease is extended.
    pub lease_bound: MonotonicTime,
    /// Number of consecutive exchanges without an answer.
    pub failures: u32,
    /// When the newest answer arrived.
    pub answered_at: Option<MonotonicTime>,
    /// When the newest listing of this incarnation arrived; other answers do not tell which
    /// incarnation gave them.
    pub identified_at: Option<MonotonicTime>,
}

/// A reading of a worker's clock, with the time of this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// Worker's time.
    pub clock: WorkerClock,
    /// When this host received the reading; the worker read its clock before that.
    pub read_at: MonotonicTime,
}

impl Holding {
    /// Creates the holding of a member of a step's group.
    pub const fn new(group: GroupKey, member: usize, shape: &StepShape, is_sent: bool) -> Self {
        Self {
            group,
            member,
            demand: shape.reserved_demand(),
            share: UnitShare::of(shape),
            is_limited: shape.worker_limit.is_some(),
            is_long_running: shape.is_long_running,
            is_sent,
        }
    }
}

impl PlanWorker {
    /// Creates a worker that has not been polled yet.
    pub fn new(
        report: Arc<WorkerReport>,
        now: MonotonicTime,
        reported_after: Option<MonotonicTime>,
    ) -> Self {
        let clock = ClockReading {
            clock: report.clock,
            read_at: now,
        };
        Self {
            reported_after,
            known_since: now,
            is_listed: true,
            is_cordoned: false,
            is_draining: report.is_draining,
            holdings: BTreeMap::new(),
            unrecorded: BTreeMap::new(),
            free: report.capacity,
            claimed: BTreeMap::new(),
            link: WorkerLink {
                clock: Some(clock),
                ..WorkerLink::default()
            },
            health: WorkerHealth::default(),
            speed: WorkerSpeed::default(),
            cold_until: MonotonicTime(0),
            unsampled_until: MonotonicTime(0),
            report,
        }
    }

    /// Returns the address that accepts orders.
    pub fn address(&self) -> SocketAddr {
        self.report.address
    }

    /// Returns the incarnation of the newest report.
    pub fn incarnation(&self) -> WorkerIncarnation {
        self.report.incarnation
    }

    /// Holds capacity for a unit.
    pub fn hold(&mut self, unit: UnitKey, holding: Holding) {
        let before = self.holdings.insert(unit, holding);
        debug_assert!(before.is_none(), "{unit} is held twice");
        self.recount();
    }

    /// Releases the capacity of a unit.
    pub fn release(&mut self, unit: &UnitKey) -> Option<Holding> {
        let holding = self.holdings.remove(unit);
        self.recount();
        holding
    }

    /// Recomputes the free capacity from the holdings.
    pub fn recount(&mut self) {
        let mut used = UnitDemand::default();
        for holding in self.holdings.values() {
            used = used.plus(&holding.demand);
        }
        self.free = self.report.capacity.minus(&used);
    }

    /// Returns the capacity that a group may use: what is free and not claimed for other
    /// groups.
    pub fn free_capacity_for(&self, group: Option<&GroupKey>) -> UnitDemand {
        let mut available = self.free;
        for (_, claimed) in self.claimed_except(group) {
            available = available.minus(&claimed.demand);
        }
        available
    }

    /// Returns the units that the claims of other groups will bring.
    pub fn claimed_except(
        &self,
        group: Option<&GroupKey>,
    ) -> impl Iterator<Item = (&GroupKey, &ClaimedUnits)> {
        let claimed = self.claimed.iter();
        claimed.filter(move |(owner, _)| Some(*owner) != group)
    }

    /// Claims the worker for one more unit of a group.
    pub fn claim(&mut self, group: GroupKey, shape: &StepShape) {
        let claimed = self.claimed.entry(group).or_insert(ClaimedUnits {
            count: 0,
            demand: UnitDemand::default(),
            share: UnitShare::of(shape),
            is_limited: shape.worker_limit.is_some(),
        });
        claimed.count += 1;
        claimed.demand = claimed.demand.plus(&shape.reserved_demand());
    }

    /// Whether units may be started on it now.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        self.accepts_starts() && !self.is_set_aside(now)
    }

    /// Whether a unit that is started on it now would run there, well or badly.
    pub fn accepts_starts(&self) -> bool {
        self.is_listed
            && !self.is_draining
            && !self.is_cordoned
            && self.unrecorded.is_empty()
            && self.link.has_complete_listing
            && self.link.failures == 0
    }

    /// Whether it may never accept starts again: it does not answer, or is about to leave.
    pub const fn is_lost(&self) -> bool {
        !self.is_listed || self.is_draining || self.is_cordoned || self.link.failures > 0
    }

    /// Whether it is used only if the others are too few, since runs failed or slowed down
    /// there. Ends by time alone.
    pub fn is_set_aside(&self, now: MonotonicTime) -> bool {
        !self.health.is_available(now) || self.speed.is_slowed(now)
    }

    /// Updates until when it is cold from the report that was read now.
    pub fn refresh_cold(&mut self, now: MonotonicTime) {
        self.cold_until = now + self.report.cold_remaining.min(MAX_COLD_TIME);
    }

    /// Updates until when its runs are no samples, from the report that was read now.
    pub fn refresh_unsampled(&mut self, now: MonotonicTime) {
        let cold = self.report.cold_remaining.min(MAX_COLD_TIME);
        if !cold.is_zero() {
            self.unsampled_until = now + cold;
        }
    }

    /// Returns the tier by which it is ranked for new units, lower while it is cold.
    pub fn tier(&self, now: MonotonicTime) -> i32 {
        let usual = self.speed.tier();
        if now < self.cold_until {
            usual - COLD_TIERS
        } else {
            usual
        }
    }

    /// Returns the lease that orders to it grant.
    pub fn lease(&self, limits: &PlanLimits) -> Duration {
        let mut holdings = self.holdings.values();
        if holdings.any(|holding| holding.is_long_running) {
            limits.lease_limit.min(MAX_LONG_RUNNING_LEASE)
        } else {
            limits.lease_limit
        }
    }

    /// Whether units may run on it, or runs without a record are being stopped.
    pub fn is_occupied(&self) -> bool {
        !self.unrecorded.is_empty() || self.holdings.values().any(|holding| holding.is_sent)
    }
}

impl WorkerLink {
    /// Returns a lower bound of the worker's current time: its clock may have run slow since
    /// the newest reading.
    pub fn clock_now(&self, now: MonotonicTime) -> WorkerClock {
        self.clock.map_or(WorkerClock(0), |reading| {
            let passed = without_drift(now.since(reading.read_at)).as_millis() as u64;
            WorkerClock(reading.clock.0.saturating_add(passed))
        })
    }

    /// Returns the number up to which a poll may acknowledge ends now; zero if another
    /// incarnation may receive it, whose ends are numbered anew and would be forgotten unseen.
    pub fn acknowledgeable_end(&self, now: MonotonicTime) -> u64 {
        let is_identified = self
            .identified_at
            .is_some_and(|at| now.since(at) <= MIN_RESTART_TIME);
        if is_identified { self.recorded_end } else { 0 }
    }

    /// Extends the lease and returns its expiry by the worker's clock, to be sent with an
    /// order now. The lease bound is raised whether or not the order arrives.
    pub fn extend_lease(&mut self, now: MonotonicTime, lease: Duration) -> WorkerClock {
        let clock = self.clock_now(now).0;
        let until = WorkerClock(clock.saturating_add(lease.as_millis() as u64));
        self.lease_until = self.lease_until.max(until);
        self.lease_bound = self.lease_bound.max(now + with_drift(lease));
        self.lease_until
    }

    /// Raises the lease bound for a run that may be there now on a lease that the orders to
    /// this incarnation do not bound: a worker grants no longer lease than `lease`.
    pub fn bound_foreign_lease(&mut self, now: MonotonicTime, lease: Duration) {
        self.lease_bound = self.lease_bound.max(now + with_drift(lease));
    }

    /// Updates the worker's time from a report that was read now, unless a newer reading
    /// gives a later time.
    pub fn refresh_clock(&mut self, now: MonotonicTime, reported: WorkerClock) {
        if reported > self.clock_now(now) {
            self.update_clock(now, reported);
        }
    }

    /// Updates the worker's time from an answer that arrived now. The clock was read before
    /// that, so the worker's current time is never overestimated.
    pub const fn update_clock(&mut self, now: MonotonicTime, clock: WorkerClock) {
        self.clock = Some(ClockReading {
            clock,
            read_at: now,
        });
    }
}
