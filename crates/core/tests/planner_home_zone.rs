//! Choice of a job's home zone from the views of two zones.

use std::time::Duration;

use flamingowalk_core::process::planner::home_zone::{HomeZoneView, choose_home_zone};
use rstest::rstest;

fn view(zone: &str) -> HomeZoneView {
    HomeZoneView {
        zone: zone.into(),
        age: Duration::from_secs(1),
        can_hold: true,
        fits_now: true,
        unused_guarantee: 0,
        queue_time: Duration::ZERO,
        leftover: 0,
    }
}

#[rstest]
#[case::equal_stays(|_: &mut HomeZoneView, _: &mut HomeZoneView| {}, Some("a"))]
#[case::cannot_hold(|a: &mut HomeZoneView, _: &mut HomeZoneView| a.can_hold = false, Some("b"))]
#[case::full_now(|a: &mut HomeZoneView, _: &mut HomeZoneView| a.fits_now = false, Some("b"))]
#[case::tighter_fit(|a: &mut HomeZoneView, _: &mut HomeZoneView| a.leftover = 4, Some("b"))]
#[case::not_heard_from(
    |a: &mut HomeZoneView, _: &mut HomeZoneView| a.age = Duration::from_mins(1),
    Some("b")
)]
#[case::guarantee_before_fit(
    |a: &mut HomeZoneView, _: &mut HomeZoneView| { a.unused_guarantee = 8; a.fits_now = false },
    Some("a")
)]
#[case::guarantee_too_small(|_: &mut HomeZoneView, b: &mut HomeZoneView| b.unused_guarantee = 7, Some("a"))]
#[case::shorter_queue(
    |a: &mut HomeZoneView, b: &mut HomeZoneView| {
        a.fits_now = false;
        b.fits_now = false;
        a.queue_time = Duration::from_secs(9);
    },
    Some("b")
)]
#[case::nowhere(
    |a: &mut HomeZoneView, b: &mut HomeZoneView| { a.can_hold = false; b.can_hold = false },
    None
)]
fn choose_home_zone_of_two(
    #[case] change: impl Fn(&mut HomeZoneView, &mut HomeZoneView),
    #[case] expected: Option<&str>,
) {
    let mut a = view("a");
    let mut b = view("b");
    change(&mut a, &mut b);
    let chosen = choose_home_zone(&[b, a], 8, &"a".into());
    assert_eq!(chosen, expected.map(Into::into));
}
