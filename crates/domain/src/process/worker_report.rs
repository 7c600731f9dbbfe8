//! What a worker says of itself in the workers stream.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::request::submission::UnitDemand;

/// A worker as it reports itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Name of the worker; may return with another life.
    pub name: WorkerName,
    /// Life of the worker.
    pub incarnation: WorkerIncarnation,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Everything that it has.
    pub capacity: UnitDemand,
    /// Its kind, its rack and whatever else a job may ask for.
    pub labels: BTreeSet<LabelName>,
    /// Rack; workers without one share none.
    pub rack: Option<RackName>,
    /// Its clock when it reported, a heartbeat or more ago.
    pub clock: WorkerClock,
    /// Time for which it certainly goes on while it drains.
    pub remaining: Option<Duration>,
}
