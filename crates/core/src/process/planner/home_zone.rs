//! Choice of the home zone of a job that may run in several. It is made once, at
//! acceptance, from soft state that may be old; a wrong choice costs time, never
//! safety, since the home zone's planner decides alone.

use crate::prelude::*;

/// What is known of one zone, as its planner last published it.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeZoneView {
    /// The zone.
    pub zone: ZoneName,
    /// Age of this knowledge.
    pub age: Duration,
    /// Whether a job of the class fits into the zone when it is empty.
    pub can_hold: bool,
    /// Whether it would fit now without taking anything back.
    pub fits_now: bool,
    /// Accelerators that the customer is guaranteed there and does not use.
    pub unused_guarantee: u32,
    /// Expected time until the waiting work of the same priority has started.
    pub queue_time: Duration,
    /// Adjacent accelerators that would be left over in the block used.
    pub leftover: u32,
}

/// Age beyond which a zone's outlook counts only if no other zone has a newer one.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(10);

/// Rank of a zone; the least is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HomeZoneRank {
    is_old: bool,
    exceeds_guarantee: bool,
    must_wait: bool,
    queue_time: Duration,
    leftover: u32,
    is_foreign: bool,
}

/// The best home zone for a job of `accelerators` in all that was accepted in
/// `accepted_in`: one that is heard from, where the customer's guarantee covers the
/// job, then where it fits now, then where it waits least, then the tightest fit.
/// Nothing if no zone could ever hold it.
pub fn choose_home_zone(
    views: &[HomeZoneView],
    accelerators: u32,
    accepted_in: &ZoneName,
) -> Option<ZoneName> {
    let rank = |view: &HomeZoneView| HomeZoneRank {
        is_old: view.age > MAX_VIEW_AGE,
        exceeds_guarantee: view.unused_guarantee < accelerators,
        must_wait: !view.fits_now,
        queue_time: view.queue_time,
        leftover: view.leftover,
        is_foreign: view.zone != *accepted_in,
    };
    let able = views.iter().filter(|view| view.can_hold);
    let best = able.min_by(|one, other| {
        let by_rank = rank(one).cmp(&rank(other));
        by_rank.then_with(|| one.zone.cmp(&other.zone))
    });
    best.map(|view| view.zone.clone())
}
