//! Limits within which the planner works. They come from the settings of the host,
//! since they differ between deployments.

use crate::prelude::*;

/// Limits of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanLimits {
    /// Longest lease that a worker grants.
    pub lease_limit: Duration,
    /// Time within which a stopped run has ended.
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
    /// Time for which the state of an ended job can be queried.
    pub status_retention: Duration,
    /// How long before its due time an occurrence may start.
    pub early_tolerance: Duration,
    /// Minimum time between orders of two planners for one machine.
    pub machine_lease: Duration,
    /// Time after the confirmation of an evacuation within which starts in the zone have to end;
    /// `None` if the deployment sets none.
    pub evacuation_bound: Option<Duration>,
    /// Whether speeds that are learned from all runs decide placements once they differ.
    pub adapts_to_speeds: bool,
    /// What the deployment does when its capacity is insufficient.
    pub overload: OverloadLimits,
}

/// What a deployment does when its capacity is insufficient. Each switch works on its own;
/// with all of them off, orders and decisions are those of a deployment without the section.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one switch of the settings"
)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OverloadLimits {
    /// Whether the jobs that cost callers least are delayed where not all can be in time.
    pub orders_by_cost: bool,
    /// Whether runs are stopped by what is lost, and only if waiting does not suffice.
    pub limits_stops: bool,
    /// Whether jobs that can no longer be of use are rejected.
    pub rejects_jobs: bool,
    /// Whether contested capacity is shared between the customers.
    pub shares_capacity: bool,
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
            evacuation_bound: None,
            overload: OverloadLimits::default(),
            adapts_to_speeds: true,
        }
    }
}

/// Time without a confirmation from the log after which a planner stops renewing the leases
/// of its workers.
///
/// A successor that cannot reach a worker waits for this duration and the longest lease
/// before it runs the worker's units elsewhere, so a longer one delays those units and
/// they may miss their objective. Runs survive an outage of the log for as long; outages
/// of a few seconds are common.
pub const LEADER_LEASE_DURATION: Duration = Duration::from_secs(4);

/// Returns the longest time for which a worker that a new planner cannot reach may go on
/// with the work of the previous planner, which renewed leases for at most `leader_lease`.
/// Includes the drift of a worker's clock that runs slow.
pub fn max_inherited_lease(limits: &PlanLimits, leader_lease: Duration) -> Duration {
    with_drift(leader_lease + limits.lease_limit)
}

/// Returns the longest time that a duration on a worker's clock may take by this host's
/// clock.
pub fn with_drift(duration: Duration) -> Duration {
    let parts = crate::keys::CLOCK_DRIFT_PARTS as u32;
    duration + duration / (parts - 1)
}

/// Returns the shortest time that a duration on this host's clock may take by a worker's
/// clock.
pub fn without_drift(duration: Duration) -> Duration {
    duration.saturating_sub(duration / crate::keys::CLOCK_DRIFT_PARTS as u32)
}
