//! Bounds within which the planner works. They come from the settings of the host,
//! since every deployment has its own.

use crate::prelude::*;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanLimits {
    /// Longest lease that a worker grants.
    pub lease_limit: Duration,
    /// Time within which a stopped run is gone.
    pub stop_grace: Duration,
    /// Time for which members of a gang wait for the others.
    pub gang_timeout: Duration,
    /// Time within which an urgent job within its customer's guarantee must run.
    pub reclaim_bound: Duration,
    /// Factor by which units slow down away from their data or their gang's rack.
    pub remote_factor: u32,
    /// Work between two checkpoints.
    pub checkpoint_interval: Duration,
    /// Time that resuming from a checkpoint takes.
    pub restore_time: Duration,
    /// Time for which the state of an ended job is told.
    pub status_retention: Duration,
    /// Time by which an occurrence may start before it is due.
    pub early_tolerance: Duration,
    /// Least time between orders of two planners for one machine.
    pub machine_lease: Duration,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            lease_limit: Duration::from_secs(10),
            stop_grace: Duration::from_millis(900),
            gang_timeout: Duration::from_secs(3),
            reclaim_bound: Duration::from_millis(3_400),
            remote_factor: 3,
            checkpoint_interval: Duration::from_secs(1),
            restore_time: Duration::from_millis(250),
            status_retention: Duration::from_mins(2),
            early_tolerance: Duration::ZERO,
            machine_lease: Duration::from_secs(3),
        }
    }
}

/// Time without a word of the log after which a planner renews no lease any more. A
/// successor that cannot reach a worker waits for this and the longest lease before it
/// runs the worker's units elsewhere, while runs outlast an outage of the log for as
/// long: a few seconds of outage are common, and a unit that waits may miss its
/// objective.
pub const LEADER_LEASE_DURATION: Duration = Duration::from_secs(4);

/// Longest time for which a worker that a new planner cannot reach may go on with
/// the work of the planner before, which renewed leases for `leader_lease` at most; by a
/// clock that runs slow.
pub fn max_inherited_lease(limits: &PlanLimits, leader_lease: Duration) -> Duration {
    with_drift(leader_lease + limits.lease_limit)
}

/// A duration on a worker's clock as it may last on this host's.
pub fn with_drift(duration: Duration) -> Duration {
    let parts = crate::keys::CLOCK_DRIFT_PARTS as u32;
    duration + duration / (parts - 1)
}
