//! Tests of the current speed of a pool.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::pool_speed::{PaceSample, pool_speed, worker_speeds};
use rstest::rstest;

fn samples(ratios: &[f64], age_ms: u64) -> Vec<PaceSample> {
    let sample = |ratio: &f64| PaceSample {
        pace: 10.0 * ratio,
        expected: 10.0,
        age: Duration::from_millis(age_ms),
    };
    ratios.iter().map(sample).collect()
}

/// Guards against a speed from a few runs with wrong estimates, against old paces of workers
/// that have recovered since, and against a calm pool that counts as slow by the spread of its
/// run times.
#[rstest]
#[case::none(&[], 100, 1.0)]
#[case::too_few(&[0.2; 7], 100, 1.0)]
#[case::enough(&[0.2; 8], 100, 0.2)]
#[case::old(&[0.2; 30], 2_600, 1.0)]
#[case::calm(&[0.6, 0.7, 0.75, 0.8, 0.9, 0.95, 1.0, 1.1, 1.6], 100, 1.0)]
#[case::most_slow(&[0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 1.0, 1.0, 1.0], 100, 0.2)]
#[case::some_slow(&[0.2, 0.2, 0.2, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0], 100, 1.0)]
#[case::stalled(&[0.0; 8], 100, 0.05)]
#[case::faster(&[3.0; 8], 100, 1.0)]
fn pool_speed_from_paces(#[case] ratios: &[f64], #[case] age_ms: u64, #[case] expected: f64) {
    let speed = pool_speed(&samples(ratios, age_ms));
    assert!((speed - expected).abs() < 1e-9, "{speed}");
}

/// Guards against a pool that stays slow while old paces outnumber those after the recovery.
#[test]
fn pool_speed_after_recovery() {
    let mut paces = samples(&[0.2; 30], 2_600);
    paces.extend(samples(&[1.0; 8], 300));
    assert!((pool_speed(&paces) - 1.0).abs() < 1e-9);
}

/// Guards against a division by the pace of a run without an expected one.
#[test]
fn pool_speed_without_expected_pace() {
    let mut paces = samples(&[0.5; 8], 100);
    for sample in &mut paces {
        sample.expected = 0.0;
    }
    assert!((pool_speed(&paces) - 1.0).abs() < 1e-9);
}

/// Guards against workers that count as slow by the wrong estimate of one run, and against a
/// speed from paces of a worker that no longer answers.
#[test]
fn worker_speeds_from_paces() {
    let mut paces = Vec::new();
    for (name, ratios, age_ms) in [
        ("calm", [0.6, 0.55, 0.9], 100),
        ("slow", [0.2, 0.1, 1.0], 100),
        ("lost", [0.2, 0.2, 0.2], 2_600),
    ] {
        let own = samples(&ratios, age_ms).into_iter();
        paces.extend(own.map(|sample| (WorkerName::from(name), sample)));
    }
    let speeds = worker_speeds(&paces);
    let expected = [("calm", 1.0), ("slow", 0.2)].map(|(name, speed)| (name.into(), speed));
    assert_eq!(speeds, BTreeMap::from(expected));
}
