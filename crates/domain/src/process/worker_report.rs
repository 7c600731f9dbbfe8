//! Report of a worker about itself in the workers stream.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::request::submission::UnitDemand;

/// A worker as it reports itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Name of the worker. It stays the same when the worker returns as another incarnation.
    pub name: WorkerName,
    /// Incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Address at which it accepts orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it accepts no new work.
    pub is_draining: bool,
    /// Total capacity of the worker.
    pub capacity: UnitDemand,
    /// Its kind, its rack and further properties that a job may require.
    pub labels: BTreeSet<LabelName>,
    /// Rack; a worker without one counts as sharing its rack with no other worker.
    pub rack: Option<RackName>,
    /// Its clock at the time of the report, which may be a heartbeat or more ago.
    pub clock: WorkerClock,
    /// Time for which it certainly keeps running while it drains.
    pub remaining: Option<Duration>,
    /// Time for which it stays slow after its start; zero if it runs at its usual speed.
    pub cold_remaining: Duration,
}
