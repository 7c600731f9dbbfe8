//! Choice of the home zone.

use std::time::Duration;

use flamingowalk_core::process::planner::home_zone::{ZoneOutlook, choose_home_zone};
use rstest::rstest;

fn outlook(zone: &str) -> ZoneOutlook {
    ZoneOutlook {
        zone: zone.into(),
        age: Duration::from_secs(1),
        can_hold: true,
        fits_now: true,
        unclaimed: 0,
        queue_time: Duration::ZERO,
        leftover: 0,
    }
}

#[rstest]
#[case::equal_stays(|_: &mut ZoneOutlook, _: &mut ZoneOutlook| {}, Some("a"))]
#[case::cannot_hold(|a: &mut ZoneOutlook, _: &mut ZoneOutlook| a.can_hold = false, Some("b"))]
#[case::full_now(|a: &mut ZoneOutlook, _: &mut ZoneOutlook| a.fits_now = false, Some("b"))]
#[case::tighter_fit(|a: &mut ZoneOutlook, _: &mut ZoneOutlook| a.leftover = 4, Some("b"))]
#[case::not_heard_from(
    |a: &mut ZoneOutlook, _: &mut ZoneOutlook| a.age = Duration::from_mins(1),
    Some("b")
)]
#[case::guarantee_before_fit(
    |a: &mut ZoneOutlook, _: &mut ZoneOutlook| { a.unclaimed = 8; a.fits_now = false },
    Some("a")
)]
#[case::guarantee_too_small(|_: &mut ZoneOutlook, b: &mut ZoneOutlook| b.unclaimed = 7, Some("a"))]
#[case::shorter_queue(
    |a: &mut ZoneOutlook, b: &mut ZoneOutlook| {
        a.fits_now = false;
        b.fits_now = false;
        a.queue_time = Duration::from_secs(9);
    },
    Some("b")
)]
#[case::nowhere(
    |a: &mut ZoneOutlook, b: &mut ZoneOutlook| { a.can_hold = false; b.can_hold = false },
    None
)]
fn choose_home_zone_of_two(
    #[case] change: impl Fn(&mut ZoneOutlook, &mut ZoneOutlook),
    #[case] expected: Option<&str>,
) {
    let mut a = outlook("a");
    let mut b = outlook("b");
    change(&mut a, &mut b);
    let chosen = choose_home_zone(&[b, a], 8, &"a".into());
    assert_eq!(chosen, expected.map(Into::into));
}
