//! A worker as the planner sees it: what it has, what occupies it, and how the
//! exchange with it stands.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::action::CallTicket;
use crate::process::planner::health::WorkerHealth;
use crate::process::planner::limits::with_drift;
use crate::process::planner::sharing::UnitShare;
use crate::process::planner::speed::WorkerSpeed;
use crate::process::worker_report::WorkerReport;
use crate::request::submission::{StepShape, UnitDemand};

/// What occupies a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Group.
    pub group: GroupKey,
    /// Place among the group's members.
    pub member: usize,
    /// What it takes.
    pub demand: UnitDemand,
    /// How it shares the worker.
    pub share: UnitShare,
    /// Whether an order to start it may have been sent.
    pub is_sent: bool,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct PlanWorker {
    /// What it last said of itself.
    pub report: Arc<WorkerReport>,
    /// Time before which it did not say that, if known.
    pub reported_after: Option<MonotonicTime>,
    /// Whether its entry is still in the workers stream.
    pub is_listed: bool,
    /// Whether nothing may be started on it, since its machine is to have its upkeep.
    pub is_cordoned: bool,
    /// Whether any source said that it is leaving; stays for its life.
    pub is_draining: bool,
    /// What occupies it, by unit. A unit has at most one holding in the domain.
    pub holdings: BTreeMap<UnitKey, Holding>,
    /// Runs that it lists and that nobody asked for; being stopped.
    pub unrecorded: BTreeMap<UnitKey, RunNumber>,
    /// Capacity less the holdings. Kept up to date by [`Self::hold`] and [`Self::release`].
    pub free: UnitDemand,
    /// Room kept for a group that others were stopped for.
    pub reserved: BTreeMap<GroupKey, UnitDemand>,
    /// State of the exchange.
    pub link: WorkerLink,
    /// What its results say of it.
    pub health: WorkerHealth,
    /// How fast it is.
    pub speed: WorkerSpeed,
}

/// A look that is under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingPoll {
    /// Ticket.
    pub ticket: CallTicket,
    /// Number up to which the worker is told to forget ends.
    pub acknowledged: u64,
}

/// State of the exchange with a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerLink {
    /// Whether it was looked at in this tenure, so that all its runs are known.
    pub has_complete_listing: bool,
    /// Look that waits for an end.
    pub long_poll: Option<PendingPoll>,
    /// Look that is answered at once.
    pub short_poll: Option<PendingPoll>,
    /// When a quick look is due; nothing when none is wanted.
    pub short_poll_at: Option<MonotonicTime>,
    /// Highest number of an end that was handled.
    pub handled_end: u64,
    /// Highest number of an end whose effect is in the log.
    pub recorded_end: u64,
    /// Highest number of an end that the worker was told to forget, in an answered look.
    pub acknowledged_end: u64,
    /// Worker's clock at the newest answer, and when that answer came.
    pub clock: Option<ClockReading>,
    /// Worker's time of the newest listing that was taken.
    pub listed_clock: WorkerClock,
    /// Latest worker's time to which a lease may reach.
    pub lease_until: WorkerClock,
    /// Time by this host's clock after which nothing of this life runs there unless
    /// its lease is extended.
    pub lease_bound: MonotonicTime,
    /// Exchanges in a row that brought no answer.
    pub failures: u32,
    /// When the newest answer came.
    pub answered_at: Option<MonotonicTime>,
}

/// A worker's clock at a moment of this host's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// Worker's time.
    pub clock: WorkerClock,
    /// When this host received it; the worker read it before.
    pub read_at: MonotonicTime,
}

impl Holding {
    /// The holding of a member of a step's group.
    pub const fn new(group: GroupKey, member: usize, shape: &StepShape, is_sent: bool) -> Self {
        Self {
            group,
            member,
            demand: shape.reserved_demand(),
            share: UnitShare::of(shape),
            is_sent,
        }
    }
}

impl PlanWorker {
    /// A worker that was not looked at yet.
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
            is_listed: true,
            is_cordoned: false,
            is_draining: report.is_draining,
            holdings: BTreeMap::new(),
            unrecorded: BTreeMap::new(),
            free: report.capacity,
            reserved: BTreeMap::new(),
            link: WorkerLink {
                clock: Some(clock),
                ..WorkerLink::default()
            },
            health: WorkerHealth::default(),
            speed: WorkerSpeed::default(),
            report,
        }
    }

    /// Where it takes orders.
    pub fn address(&self) -> SocketAddr {
        self.report.address
    }

    /// Its life.
    pub fn incarnation(&self) -> WorkerIncarnation {
        self.report.incarnation
    }

    /// Occupies room for a unit.
    pub fn hold(&mut self, unit: UnitKey, holding: Holding) {
        let before = self.holdings.insert(unit, holding);
        debug_assert!(before.is_none(), "{unit} is held twice");
        self.recount();
    }

    /// Frees the room of a unit.
    pub fn release(&mut self, unit: &UnitKey) -> Option<Holding> {
        let holding = self.holdings.remove(unit);
        self.recount();
        holding
    }

    /// Counts the free room from the holdings.
    pub fn recount(&mut self) {
        let mut used = UnitDemand::default();
        for holding in self.holdings.values() {
            used = used.plus(&holding.demand);
        }
        self.free = self.report.capacity.minus(&used);
    }

    /// Room that a group may use: what is free and not kept for others.
    pub fn free_capacity_for(&self, group: Option<&GroupKey>) -> UnitDemand {
        let mut available = self.free;
        for (owner, demand) in &self.reserved {
            if Some(owner) != group {
                available = available.minus(demand);
            }
        }
        available
    }

    /// Whether something may be started on it now.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        self.is_listed
            && !self.is_draining
            && !self.is_cordoned
            && self.unrecorded.is_empty()
            && self.link.has_complete_listing
            && self.link.failures == 0
            && self.health.is_open(now)
            && !self.speed.is_slowed(now)
    }

    /// Whether something may run or has to be settled on it.
    pub fn is_occupied(&self) -> bool {
        !self.unrecorded.is_empty() || self.holdings.values().any(|holding| holding.is_sent)
    }
}

impl WorkerLink {
    /// Worker's time now, or a little less.
    pub fn clock_now(&self, now: MonotonicTime) -> WorkerClock {
        self.clock.map_or(WorkerClock(0), |reading| {
            let passed = now.since(reading.read_at).as_millis() as u64;
            WorkerClock(reading.clock.0 + passed)
        })
    }

    /// Worker's time until which an order sent now extends the lease. The bound counts
    /// from here on, whether or not the order arrives.
    pub fn extend_lease(&mut self, now: MonotonicTime, lease: Duration) -> WorkerClock {
        let until = WorkerClock(self.clock_now(now).0 + lease.as_millis() as u64);
        self.lease_until = self.lease_until.max(until);
        // The worker's clock may have run slow since it was read, and may go on so.
        let age = self
            .clock
            .map_or(Duration::ZERO, |reading| now.since(reading.read_at));
        let bound = now + with_drift(lease + age).saturating_sub(age);
        self.lease_bound = self.lease_bound.max(bound);
        self.lease_until
    }

    /// Takes the worker's time from an answer that came now. It was read before, so
    /// the worker's present time is never taken to be later than it is, but for drift.
    pub const fn update_clock(&mut self, now: MonotonicTime, clock: WorkerClock) {
        self.clock = Some(ClockReading {
            clock,
            read_at: now,
        });
    }
}
