//! Choice of the home zone of a job that may run in several zones. It is made once, at
//! acceptance, from published state that may be out of date. A wrong choice costs time
//! but never safety, since only the home zone's planner decides about the job.

use crate::prelude::*;

/// State of one zone as its planner last published it.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeZoneView {
    /// The zone.
    pub zone: ZoneName,
    /// Age of this state.
    pub age: Duration,
    /// Whether a job of the class fits into the zone when it is empty.
    pub can_hold: bool,
    /// Whether it would fit now without reclaiming capacity.
    pub fits_now: bool,
    /// Accelerators that the customer is guaranteed there and does not use.
    pub unused_guarantee: u32,
    /// Expected time until the waiting work of the same priority has started.
    pub queue_time: Duration,
    /// Adjacent accelerators that would be left over in the block used.
    pub leftover: u32,
}

/// Age beyond which a zone is chosen only if no zone with a newer view can hold the
/// job.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(10);

/// Rank of a zone; the lowest is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HomeZoneRank {
    is_stale: bool,
    exceeds_guarantee: bool,
    must_wait: bool,
    queue_time: Duration,
    leftover: u32,
    is_other_zone: bool,
}

/// Chooses the home zone for a job that needs `accelerators` in total and was accepted
/// in `accepted_in`. The criteria, in this order, are: a recent view; the customer's
/// unused guarantee covers the job; it fits now; the shortest queue time; the tightest
/// fit; the zone that accepted the job; the zone's name. Returns `None` if no zone
/// could ever hold the job.
pub fn choose_home_zone(
    views: &[HomeZoneView],
    accelerators: u32,
    accepted_in: &ZoneName,
) -> Option<ZoneName> {
    let rank = |view: &HomeZoneView| HomeZoneRank {
        is_stale: view.age > MAX_VIEW_AGE,
        exceeds_guarantee: view.unused_guarantee < accelerators,
        must_wait: !view.fits_now,
        queue_time: view.queue_time,
        leftover: view.leftover,
        is_other_zone: view.zone != *accepted_in,
    };
    let candidates = views.iter().filter(|view| view.can_hold);
    let best = candidates.min_by(|one, other| {
        let by_rank = rank(one).cmp(&rank(other));
        by_rank.then_with(|| one.zone.cmp(&other.zone))
    });
    best.map(|view| view.zone.clone())
}
