//! Tests of the estimates of run time and memory.

use proptest::prelude::*;
use rstest::rstest;

use super::*;

const DECLARED: Duration = Duration::from_mins(10);

fn names() -> (CustomerName, ClassName) {
    (CustomerName::from("customer"), ClassName::from("class"))
}

fn table_of(runs: &[u64]) -> EstimateTable {
    let (customer, class) = names();
    let mut table = EstimateTable::default();
    for secs in runs {
        table.observe(&customer, &class, Duration::from_secs(*secs), *secs);
    }
    table
}

fn estimate(table: &EstimateTable) -> RunEstimate {
    let (customer, class) = names();
    table.estimate(&customer, &class, DECLARED)
}

#[test]
fn estimate_nothing_observed() {
    let estimate = estimate(&EstimateTable::default());
    assert_eq!(estimate.median, DECLARED);
    assert_eq!(estimate.high, DECLARED * 10);
    assert_eq!((estimate.samples, estimate.memory_high_mb), (0, None));
}

#[rstest]
#[case::ten_times_shorter(60)]
#[case::ten_times_longer(6_000)]
fn estimate_declared_far_off(#[case] secs: u64) {
    let real = Duration::from_secs(secs);
    let after_one = estimate(&table_of(&[secs]));
    assert_eq!(after_one.median, real);
    assert!(after_one.high >= real * 5, "one run confirms little");
    let after_many = estimate(&table_of(&vec![secs; 30]));
    assert_eq!(after_many.median, real);
    assert!(after_many.high < real * 3 / 2);
    assert_eq!(after_many.memory_high_mb, Some(secs));
}

#[rstest]
#[case::grows(100, 1_000)]
#[case::shrinks(1_000, 100)]
fn estimate_follows_change(#[case] before: u64, #[case] after: u64) {
    let mut runs = vec![before; 64];
    runs.extend(vec![after; 18]);
    let median = estimate(&table_of(&runs)).median;
    assert_eq!(median, Duration::from_secs(after));
}

#[test]
fn estimate_single_outlier() {
    let mut runs = vec![100; 40];
    runs.push(10_000);
    let estimate = estimate(&table_of(&runs));
    assert_eq!(estimate.median, Duration::from_secs(100));
    assert!(estimate.high < Duration::from_secs(200));
}

#[test]
fn observe_keys_bounded() {
    let (customer, _) = names();
    let mut table = EstimateTable::default();
    for number in 0..=MAX_KEYS {
        let class = ClassName::from(format!("class-{number}"));
        table.observe(&customer, &class, DECLARED, 1);
    }
    assert_eq!(table.len(), MAX_KEYS);
    let first = table.estimate(&customer, &ClassName::from("class-0"), DECLARED);
    let second = table.estimate(&customer, &ClassName::from("class-1"), DECLARED);
    assert_eq!((first.samples, second.samples), (0, 1));
}

#[test]
fn observe_customers_apart() {
    let table = table_of(&[1]);
    let other = CustomerName::from("other");
    let estimate = table.estimate(&other, &names().1, DECLARED);
    assert_eq!(estimate.samples, 0);
}

proptest! {
    #[test]
    fn estimate_within_observed(runs in prop::collection::vec(1_u64..100_000, 1..200)) {
        let estimate = estimate(&table_of(&runs));
        let window = &runs[runs.len().saturating_sub(64)..];
        let lowest = Duration::from_secs(*window.iter().min().unwrap());
        let highest = Duration::from_secs(*window.iter().max().unwrap());
        prop_assert!(lowest <= estimate.median && estimate.median <= highest);
        prop_assert!(estimate.median <= estimate.high);
    }

    #[test]
    fn restore_gives_same_estimates(runs in prop::collection::vec(1_u64..100_000, 1..200)) {
        let table = table_of(&runs);
        let snapshot = table.snapshot();
        let restored = EstimateTable::restore(&snapshot);
        prop_assert_eq!(estimate(&restored), estimate(&table));
        prop_assert_eq!(restored.snapshot(), snapshot);
    }
}
