//! Tests of the policy measurement.

use rstest::rstest;

use std::path::Path;

use flamingowalk_core::prelude::*;

use super::case_run::{CaseKey, PlannerVariant, run_case};
use super::case_summary::CaseSummary;
use super::fragmentation::{WorkerOccupancy, measure_fragmentation};
use super::guarantee_fit::fits_blocks;
use super::job_outcome::EndKind;
use super::read_example;
use super::workload::{SizeClass, capacity, draw_workload};
use super::zone_run::RunLength;

/// Returns a case of an example reduced to one zone of one rack.
fn tiny_case(variant: PlannerVariant) -> CaseKey {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/podlaga");
    let mut settings = read_example(&root).unwrap();
    settings
        .zones
        .retain(|name, _| name.as_str() == "maribor-a");
    for zone in settings.zones.values_mut() {
        zone.racks = 1;
    }
    CaseKey {
        example: "podlaga",
        settings,
        load: 0.8,
        variant,
        seed: 7,
        days: 1,
    }
}

/// The first 15 minutes of arrivals, and 5 more minutes for the remaining jobs.
const SHORT_RUN: RunLength = RunLength {
    arrivals: Duration::from_mins(15),
    drain: Duration::from_mins(5),
};

#[test]
fn run_case_repeats_for_seed() {
    let case = tiny_case(PlannerVariant::Current);
    assert_eq!(run_case(&case, SHORT_RUN), run_case(&case, SHORT_RUN));
}

#[rstest]
#[case::strict(PlannerVariant::FirstComeFirstServed)]
#[case::first(PlannerVariant::SkippingFirstFit)]
#[case::current(PlannerVariant::Current)]
fn run_case_keeps_invariants(#[case] variant: PlannerVariant) {
    let outcomes = run_case(&tiny_case(variant), SHORT_RUN);
    let outcome = &outcomes[0];
    assert!(outcome.jobs.iter().any(|job| job.end.is_some()));
    assert_eq!((outcome.repeated_ends, outcome.repeated_starts), (0, 0));
    assert!(
        outcome
            .samples
            .iter()
            .all(|sample| sample.partial_gangs == 0)
    );
}

#[test]
fn draw_workload_offers_load() {
    let case = tiny_case(PlannerVariant::Current);
    let workload = draw_workload(&case.settings, 0.8, 4, 7);
    let work: f64 = workload
        .arrivals
        .iter()
        .map(|job| f64::from(job.accelerators) * job.run_time.as_secs_f64())
        .sum();
    let offered = f64::from(capacity(&case.settings)) * 4.0 * 24.0 * 3_600.0;
    let load = work / offered;
    assert!((0.7..0.9).contains(&load), "load {load}");
}

#[rstest]
#[case::empty(&[8], &[], true)]
#[case::exact(&[8, 32], &[32, 4, 4], true)]
#[case::too_many(&[8, 32], &[32, 4, 5], false)]
#[case::too_large(&[8, 8], &[16], false)]
fn fits_blocks_table(#[case] blocks: &[u32], #[case] gangs: &[u32], #[case] fits: bool) {
    assert_eq!(fits_blocks(blocks, gangs), fits);
}

fn occupancy(rack: &str, held: &[u32]) -> WorkerOccupancy {
    WorkerOccupancy {
        rack: rack.into(),
        total: 8,
        held: held.to_vec(),
        running: 0,
    }
}

#[rstest]
#[case::all_free(&[occupancy("a", &[]), occupancy("a", &[]), occupancy("b", &[])], 16, 16)]
#[case::spread(&[occupancy("a", &[3]), occupancy("a", &[4]), occupancy("b", &[0])], 7, 16)]
#[case::across_racks(&[occupancy("a", &[]), occupancy("b", &[])], 8, 8)]
#[case::small_rest(&[occupancy("a", &[0, 1, 2, 3, 4, 6])], 1, 2)]
fn measure_fragmentation_table(
    #[case] workers: &[WorkerOccupancy],
    #[case] largest: u32,
    #[case] best: u32,
) {
    let sample = measure_fragmentation(workers);
    assert_eq!((sample.largest_block, sample.best_block), (largest, best));
}

#[test]
fn size_class_covers_all() {
    let sizes = [0, 1, 3, 9, 17].map(SizeClass::of);
    assert_eq!(sizes, SizeClass::ALL);
}

#[test]
fn read_example_missing_folder() {
    let error = read_example(Path::new("no-such-folder")).unwrap_err();
    assert!(error.to_string().contains("run from the root"));
}

#[test]
fn case_summary_times_of_run() {
    let case = tiny_case(PlannerVariant::Current);
    let outcomes = run_case(&case, SHORT_RUN);
    let summary = CaseSummary::of(&outcomes, &case.settings);
    let small = summary.completion[&SizeClass::Small];
    let jobs = outcomes[0].jobs.iter();
    let finished = jobs.filter(|job| job.end == Some(EndKind::Finished));
    assert_eq!(summary.ends.finished, finished.count() as u64);
    assert!(small.count > 0 && small.median > Duration::ZERO);
    assert!(small.median <= small.p99 && small.p99 <= small.longest);
}
