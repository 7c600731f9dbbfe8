//! Evacuation of availability zones: decides whether a unit may start on a worker, by the zones
//! that the operator has closed and by the age of what is known of the operator's orders.
//!
//! The load that this addresses: the operator closes one, several or all zones at once, while
//! starts are being recorded and sent, and while the planner may be paused, cut off or replaced.

use std::fmt::{self, Formatter};

use crate::prelude::*;
use crate::request::submission::UnitDemand;

/// Part of the bound that is left for a start to reach its worker, as a divisor. An order is
/// waited for no longer than 0.6 s, so a quarter of the platform's 5 s leaves room for a slow
/// host.
const MARGIN_PARTS: u32 = 4;
/// Share of the longest permitted age of the orders, in quarters, from which an additional read
/// is requested. A read that waits at the tail confirms the orders once in about two seconds.
const REFRESH_QUARTERS: u32 = 3;

/// Counter of recorded starts that were not sent because of the operator's orders, by `cause`.
pub const STARTS_BARRED: &str = "flamingowalk_domain_starts_barred_total";

/// A zone in which nothing may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClosedZone {
    /// Offset of the newest order to evacuate the zone.
    pub offset: StreamOffset,
    /// When this host read the first order since the zone was open, by its wall clock.
    pub since: WallTime,
}

/// Closed zones by name.
pub type ClosedZones = BTreeMap<ZoneName, ClosedZone>;

/// Why nothing may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartBar {
    /// The operator's orders were not read to their end yet.
    OrdersUnread,
    /// The newest complete read of the operator's orders is too old.
    OrdersOutdated,
    /// The operator has closed the worker's zone.
    ZoneClosed,
}

impl StartBar {
    /// Returns the label in log lines and counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::OrdersUnread => "orders-unread",
            Self::OrdersOutdated => "orders-outdated",
            Self::ZoneClosed => "zone-closed",
        }
    }
}

/// What a planner knows of the operator's orders, as far as they concern starts.
#[derive(Clone, Debug, Default)]
pub struct StartGate {
    closed: ClosedZones,
    /// When the newest read that reached the end of the operator's orders was sent. Orders
    /// that were confirmed before are known.
    read_at: Option<MonotonicTime>,
    /// Time after the confirmation of an evacuation within which starts have to end; `None` if
    /// the deployment sets none.
    bound: Option<Duration>,
    /// Bar for all zones that was logged last.
    logged: Option<StartBar>,
}

impl StartGate {
    /// Returns the gate of a planner that knows no orders yet.
    pub const fn new(bound: Option<Duration>) -> Self {
        Self {
            closed: BTreeMap::new(),
            read_at: None,
            bound,
            logged: None,
        }
    }

    /// Returns the closed zones.
    pub const fn closed(&self) -> &ClosedZones {
        &self.closed
    }

    /// Replaces the closed zones. Returns whether they have changed.
    pub fn set_closed(&mut self, closed: &ClosedZones) -> bool {
        let has_changed = self.closed != *closed;
        self.closed.clone_from(closed);
        has_changed
    }

    /// Records when the newest read that reached the end of the operator's orders was sent.
    pub fn set_read_at(&mut self, read_at: Option<MonotonicTime>) {
        self.read_at = self.read_at.max(read_at);
    }

    /// Whether the operator has closed a zone.
    pub fn is_closed(&self, zone: &ZoneName) -> bool {
        self.closed.contains_key(zone)
    }

    /// Returns why nothing may be started in any zone now, if so. An order that a read sent at
    /// `read_at` did not return was confirmed after that.
    pub fn orders_bar(&self, now: MonotonicTime) -> Option<StartBar> {
        let Some(read_at) = self.read_at else {
            return Some(StartBar::OrdersUnread);
        };
        let max_age = max_orders_age(self.bound?);
        (now.since(read_at) > max_age).then_some(StartBar::OrdersOutdated)
    }

    /// Logs once that nothing may be started in any zone, and once that this has ended.
    pub fn log_change(&mut self, now: MonotonicTime) {
        let bar = self.orders_bar(now);
        if bar == self.logged {
            return;
        }
        self.logged = bar;
        let cause = bar.map_or("none", StartBar::label);
        let age_ms = self
            .read_at
            .map_or(-1, |at| now.since(at).as_millis() as i64);
        log::info!(target: "evacuation", cause, age_ms; "bar to all starts changed");
    }

    /// Returns why nothing may be started on a worker of a zone now, if so. Whatever the way
    /// on which a unit begins, this decides.
    pub fn start_bar(&self, now: MonotonicTime, zone: &ZoneName) -> Option<StartBar> {
        let closed = self.is_closed(zone).then_some(StartBar::ZoneClosed);
        self.orders_bar(now).or(closed)
    }
}

/// Returns the age of the newest complete read of the orders up to which starts may be sent.
fn max_orders_age(bound: Duration) -> Duration {
    bound.saturating_sub(bound / MARGIN_PARTS)
}

/// Whether the capacities of some workers suffice for a number of units.
pub fn has_room(
    capacities: impl Iterator<Item = UnitDemand>,
    demand: &UnitDemand,
    count: u32,
) -> bool {
    let slots = capacities.map(|capacity| demand.count_fitting(&capacity, count));
    slots.sum::<u32>() >= count
}

/// Whether the operator's orders have to be read now rather than when the read that waits for
/// the next one ends, so that starts need not wait.
pub fn needs_orders_read(
    now: MonotonicTime,
    read_at: Option<MonotonicTime>,
    bound: Option<Duration>,
) -> bool {
    let max_age = bound.map(max_orders_age);
    let due = max_age.map(|max_age| max_age * REFRESH_QUARTERS / 4);
    due.zip(read_at)
        .is_some_and(|(due, read_at)| now.since(read_at) >= due)
}

/// Writes the closed zones, one a line, for the state dump.
pub(in crate::process) fn write_closed(zones: &ClosedZones, f: &mut Formatter<'_>) -> fmt::Result {
    for (zone, closed) in zones {
        let (since, offset) = (closed.since.0, closed.offset.0);
        writeln!(f, "zone {zone} closed since-ms {since} offset {offset}")?;
    }
    Ok(())
}
