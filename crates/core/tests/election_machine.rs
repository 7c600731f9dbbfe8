//! Random runs of the leader election on several hosts, over a fake log and fake links
//! with delays, losses, partitions, pauses, restarts and clocks of different speed.

#[path = "election_machine/zone.rs"]
mod zone;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use zone::{FakeZone, HOSTS, ZoneFault};

/// Quanta of a run with faults, about two minutes.
const FAULTY_QUANTA: u64 = 1_200;
/// Quanta within which a healed zone must have a leader.
const HEALED_QUANTA: u64 = 1_500;

fn any_fault() -> impl Strategy<Value = ZoneFault> {
    let host = 0..HOSTS;
    prop_oneof![
        1 => (1..400_u64).prop_map(ZoneFault::LogDown),
        1 => (1..150_u64).prop_map(ZoneFault::LogSlow),
        1 => (host.clone(), 1..300_u64).prop_map(|(host, quanta)| ZoneFault::Pause(host, quanta)),
        1 => (host.clone(), 1..300_u64).prop_map(|(host, quanta)| ZoneFault::CutLog(host, quanta)),
        2 => (host.clone(), host.clone(), 1..300_u64)
            .prop_map(|(one, other, quanta)| ZoneFault::CutLink(one, other, quanta)),
        1 => host.clone().prop_map(ZoneFault::Restart),
        1 => host.clone().prop_map(ZoneFault::Resign),
        4 => (host.clone(), 50..400_u64)
            .prop_map(|(host, quanta)| ZoneFault::CutPeers(host, quanta)),
        4 => (20..200_u64).prop_map(ZoneFault::CutHolderLog),
        1 => Just(ZoneFault::RestartHolder),
        1 => Just(ZoneFault::LoseMessages),
    ]
}

fn run_cases(cases: u32, seed: [u8; 32]) -> Result<u64, String> {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let term_count = std::cell::Cell::new(0);
    let plan = proptest::collection::vec((0..FAULTY_QUANTA, any_fault()), 4..24);
    let strategy = (any::<u64>(), plan);
    runner
        .run(&strategy, |(seed, mut plan)| {
            plan.sort_by_key(|(at, _)| *at);
            let mut zone = FakeZone::new(seed);
            let mut faults = plan.into_iter().peekable();
            for quantum in 0..FAULTY_QUANTA {
                while let Some((_, fault)) = faults.next_if(|(at, _)| *at == quantum) {
                    zone.inject(fault);
                }
                zone.step().map_err(TestCaseError::fail)?;
            }
            zone.heal();
            for _ in 0..HEALED_QUANTA {
                zone.step().map_err(TestCaseError::fail)?;
            }
            prop_assert_eq!(
                zone.leader_count(),
                1,
                "not one leader after healing:\n{}",
                zone
            );
            term_count.set(term_count.get() + zone.terms());
            Ok(())
        })
        .map_err(|error| error.to_string())?;
    Ok(term_count.get())
}

#[test]
fn one_leader_random_faults() {
    let terms = run_cases(96, [7; 32]).unwrap();
    assert!(
        terms > 96 * 2,
        "the runs must change leaders, saw {terms} terms"
    );
}

#[test]
fn one_leader_valid_by_grants() {
    let mut zone = FakeZone::new(1);
    for _ in 0..150 {
        zone.step().unwrap();
    }
    let terms = zone.terms();
    zone.inject(ZoneFault::LogDown(150));
    for quantum in 0..150 {
        zone.step().unwrap();
        assert_eq!(zone.leader_count(), 1, "at quantum {quantum}:\n{zone}");
    }
    assert_eq!(
        zone.terms(),
        terms,
        "the leader must stay through the outage"
    );
}

#[test]
fn one_leader_resignation_hands_over() {
    let mut zone = FakeZone::new(2);
    for _ in 0..150 {
        zone.step().unwrap();
    }
    zone.inject(ZoneFault::ResignHolder);
    for _ in 0..100 {
        zone.step().unwrap();
    }
    assert_eq!(zone.leader_count(), 1, "{zone}");
    assert_eq!(zone.terms(), 2, "{zone}");
}

/// A zone whose leader restarts must have a leader again within bounds. The time consists
/// of the claim delay, the claim, the wait for grants to expire and the active record;
/// each record may be lost.
#[test]
fn takeover_after_restart() {
    let mut longest = 0;
    for seed in 0..32 {
        let mut zone = FakeZone::new(seed);
        for _ in 0..150 {
            zone.step().unwrap();
        }
        zone.inject(ZoneFault::RestartHolder);
        let mut quanta = 0;
        while zone.leader_count() == 0 {
            zone.step().unwrap();
            quanta += 1;
            assert!(quanta < HEALED_QUANTA, "{zone}");
        }
        longest = longest.max(quanta);
    }
    assert!((90..=250).contains(&longest), "took {longest} quanta");
}
