//! Scheduling policy: admission and order of jobs, reservations and backfill, attribution
//! of failures to workers and jobs, overruns, and the cost of scheduling passes.

#[path = "support/planner_zone.rs"]
#[allow(
    dead_code,
    reason = "each test file uses its own part of the fake zone"
)]
mod planner_zone;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::{PlannerEvent, TaskKey};
use flamingowalk_core::process::planner::job_entry::JobPhase;
use flamingowalk_core::process::planner::state::PlannerPolicy;
use flamingowalk_core::version::settings::{BlockAdjacency, JobClass, JobPriority};
use planner_zone::{FakeZone, class};
use rstest::rstest;

fn zone_with(classes: &[(&str, JobClass)]) -> FakeZone {
    let mut zone = FakeZone::new(2, 2, PlannerPolicy::Guarantees);
    zone.run_time = Duration::from_hours(2);
    for (name, class) in classes {
        zone.settings.classes.insert((*name).into(), class.clone());
    }
    zone.open();
    zone
}

fn refusal(zone: &FakeZone, id: &str) -> String {
    match zone.ending(id) {
        Some(JobEnding::Refused(reason)) => reason.clone(),
        other => panic!("{id} was not refused: {other:?}"),
    }
}

#[rstest]
#[case::too_many_accelerators(class(1, 9))]
#[case::too_many_cores(JobClass { cores: 33, ..class(1, 1) })]
#[case::too_much_memory(JobClass { memory_mb: 65_537, ..class(1, 1) })]
#[case::too_many_tasks(class(5, 8))]
#[case::wider_than_a_worker(JobClass { adjacency: BlockAdjacency::Worker, ..class(2, 8) })]
#[case::wider_than_a_rack(JobClass { adjacency: BlockAdjacency::Rack, ..class(3, 8) })]
fn admit_impossible_is_refused(#[case] class: JobClass) {
    let mut zone = zone_with(&[("huge", class)]);
    zone.submit("j1", "huge");
    zone.run();
    assert!(refusal(&zone, "j1").contains("even when it is empty"));
    assert!(zone.sent_starts.is_empty());
}

#[rstest]
#[case::whole_zone(class(4, 8))]
#[case::whole_rack(JobClass { adjacency: BlockAdjacency::Rack, ..class(2, 8) })]
#[case::whole_worker(JobClass { adjacency: BlockAdjacency::Worker, ..class(8, 1) })]
fn admit_largest_runs(#[case] class: JobClass) {
    let mut zone = zone_with(&[("large", class)]);
    zone.submit("j1", "large");
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
}

#[test]
fn admit_unknown_class_is_refused() {
    let mut zone = zone_with(&[]);
    zone.submit("j1", "nonesuch");
    zone.run();
    assert!(refusal(&zone, "j1").contains("is not declared"));
}

#[test]
fn admit_full_queue_is_refused() {
    let mut zone = zone_with(&[("full", class(4, 8))]);
    zone.settings
        .customers
        .get_mut(&"north".into())
        .unwrap()
        .max_queued_jobs = 3;
    zone.adopt();
    for index in 0..5 {
        zone.submit(&format!("j{index}"), "full");
        zone.run();
    }
    assert!(refusal(&zone, "j4").contains("retry in"));
    assert_eq!(zone.phase("j3"), Some(JobPhase::Queued));
}

#[test]
fn admit_late_start_is_refused() {
    let mut zone = zone_with(&[("full", class(4, 8))]);
    zone.submit("j0", "full");
    zone.run();
    let mut job = zone.accepted("j1", "full");
    job.start_within = Some(Duration::from_secs(5));
    zone.send(PlannerEvent::JobAccepted { job });
    zone.run_seconds(4);
    assert_eq!(zone.phase("j1"), Some(JobPhase::Queued));
    zone.run_seconds(2);
    assert!(refusal(&zone, "j1").contains("could not start"));
}

/// The customer that holds the least beyond its guarantee is served first, then the older
/// job.
#[test]
fn order_by_share() {
    let mut zone = zone_with(&[("full", class(4, 8)), ("most", class(3, 8))]);
    zone.run_time = Duration::from_secs(10);
    zone.submit_for("east", "e0", "full");
    zone.run();
    zone.submit_for("west", "w0", "most");
    zone.submit_for("west", "w1", "whole");
    zone.submit_for("east", "e1", "whole");
    zone.submit_for("west", "w2", "whole");
    zone.run_seconds(11);
    assert_eq!(zone.phase("w0"), Some(JobPhase::Running));
    assert_eq!(
        zone.phase("e1"),
        Some(JobPhase::Running),
        "west holds more than east"
    );
    assert_eq!(zone.phase("w1"), Some(JobPhase::Queued));
}

#[rstest]
#[case::urgent_first(JobPriority::Urgent, "late")]
#[case::batch_last(JobPriority::Batch, "early")]
fn order_by_priority(#[case] priority: JobPriority, #[case] first: &str) {
    let ranked = JobClass {
        priority,
        ..class(4, 8)
    };
    let mut zone = zone_with(&[("full", class(4, 8)), ("ranked", ranked)]);
    zone.run_time = Duration::from_secs(10);

    zone.submit_for("west", "busy", "full");
    zone.run();
    zone.submit_for("west", "early", "full");
    zone.submit_for("west", "late", "ranked");
    zone.run_seconds(30);
    let started = zone
        .sent_starts
        .iter()
        .find(|key| key.job.as_str() != "busy");
    assert_eq!(started.map(|key| key.job.as_str()), Some(first));
}

/// Guards against starvation of a waiting gang. Small jobs are backfilled only if they end
/// before the gang could start, and not at all once it is older than the age bound.
#[rstest]
#[case::short_passes(30, 0, JobPhase::Running)]
#[case::long_waits(9_000, 0, JobPhase::Queued)]
#[case::aged_gang_is_not_passed(30, 3_700, JobPhase::Queued)]
fn backfill_beside_gang(#[case] run_secs: u64, #[case] age: u64, #[case] expected: JobPhase) {
    let long = JobClass {
        run_time: Duration::from_hours(2),
        ..class(2, 8)
    };
    let wide = JobClass {
        run_time: Duration::from_hours(2),
        ..class(4, 8)
    };
    let filler = JobClass {
        run_time: Duration::from_secs(run_secs) / 10,
        ..class(1, 1)
    };
    let classes = [("long", long), ("wide4", wide), ("filler", filler)];
    let mut zone = zone_with(&classes);
    zone.submit_for("west", "long", "long");
    zone.run();
    zone.submit_for("west", "wide", "wide4");
    zone.run();
    zone.run_seconds(age);
    assert_eq!(zone.phase("wide"), Some(JobPhase::Queued));
    zone.submit_for("west", "filler", "filler");
    zone.run();
    zone.run_seconds(1);
    assert_eq!(zone.phase("filler"), Some(expected));
}

#[test]
fn blame_worker_that_fails_everything() {
    let mut zone = zone_with(&[]);
    zone.workers
        .get_mut(&"w03".into())
        .unwrap()
        .fails_everything = true;
    zone.run_time = Duration::from_secs(3);
    for index in 0..8 {
        zone.submit_for("west", &format!("j{index}"), "whole");
        zone.submit_for("east", &format!("h{index}"), "half");
    }
    zone.run();
    zone.run_seconds(120);
    for index in 0..8 {
        assert_eq!(
            zone.ending(&format!("j{index}")),
            Some(&JobEnding::Finished)
        );
        assert_eq!(
            zone.ending(&format!("h{index}")),
            Some(&JobEnding::Finished)
        );
    }
    let dump = zone.state.to_string();
    assert!(dump.contains("w03 incarnation 1 listed true leaving false gone false quarantined"));
}

#[test]
fn blame_job_that_fails_everywhere() {
    let mut zone = zone_with(&[]);
    for worker in zone.workers.values_mut() {
        worker.fails_everything = true;
    }
    zone.submit_for("west", "bad", "whole");
    zone.run();
    zone.run_seconds(120);
    assert!(matches!(zone.ending("bad"), Some(JobEnding::Failed(_))));
    let tried: BTreeSet<&TaskKey> = zone.starts.keys().collect();
    assert_eq!(tried.len(), 3, "one try on each of three workers");
    assert!(!zone.state.to_string().contains("quarantined"));
}

#[rstest]
#[case::within(1_200, 0, "running")]
#[case::throttled(1_300, 1, "running")]
#[case::failed(2_100, 0, "failed")]
fn overrun_of_memory(#[case] memory_mb: u64, #[case] throttles: usize, #[case] expected: &str) {
    let mut zone = zone_with(&[]);
    zone.submit("j1", "small");
    zone.run();
    let task = TaskKey {
        job: "j1".into(),
        attempt: 1,
        member: 0,
    };
    zone.send(PlannerEvent::UsageReported {
        task: task.clone(),
        memory_mb,
    });
    zone.send(PlannerEvent::UsageReported { task, memory_mb });
    let is_throttle = |a: &&PlannerAction| matches!(a, PlannerAction::Throttle { .. });
    assert_eq!(zone.pending.iter().filter(is_throttle).count(), throttles);
    zone.run();
    let state = match zone.ending("j1") {
        Some(JobEnding::Failed(_)) => "failed",
        None => "running",
        _ => "other",
    };
    assert_eq!(state, expected);
}

#[rstest]
#[case::nobody_waits(false, "small", "running")]
#[case::fails_for_others(true, "small", "failed")]
#[case::saves_for_others(true, "saver", "queued")]
fn overrun_of_time(#[case] others: bool, #[case] class_name: &str, #[case] expected: &str) {
    let saver = JobClass {
        checkpoint: true,
        ..class(1, 1)
    };
    let mut zone = zone_with(&[("saver", saver), ("full", class(4, 8))]);
    zone.submit_for("west", "j1", class_name);
    zone.run();
    zone.run_seconds(1_700);
    if others {
        zone.submit_for("west", "waits", "full");
    }
    zone.run_seconds(110);
    let state = match (zone.ending("j1"), zone.phase("j1")) {
        (Some(JobEnding::Failed(_)), _) => "failed",
        (None, Some(JobPhase::Running)) => "running",
        (None, Some(JobPhase::Queued)) => "queued",
        _ => "other",
    };
    assert_eq!(state, expected);
}

/// Guards against passes whose cost grows with the queue. Scheduling examines kinds of
/// jobs rather than jobs, so the steps of a pass grow far less than the queue.
#[test]
fn placement_steps_by_queue_length() {
    let mut steps = Vec::new();
    for queued in [10_u64, 100, 1_000, 10_000] {
        steps.push(placement_steps_with(queued));
    }
    for pair in steps.windows(2) {
        let ratio = pair[1] as f64 / pair[0] as f64;
        assert!(
            ratio <= 10.0 * 4.0_f64.log(3.0),
            "steps {steps:?} grow faster than n log n"
        );
    }
    assert!(
        steps[3] <= 116 * 3 * 440,
        "steps {steps:?} exceed kinds times workers"
    );
}

/// Returns the placement steps of one tick in a zone of 440 workers with `queued` jobs
/// waiting.
fn placement_steps_with(queued: u64) -> u64 {
    let mut zone = FakeZone::new(44, 10, PlannerPolicy::Guarantees);
    zone.run_time = Duration::from_hours(2);
    zone.settings.classes.insert("fill".into(), class(440, 8));
    zone.adopt();
    zone.submit_for("north", "fill", "fill");
    for index in 0..queued {
        let customer = format!("team{:02}", index % 58);
        let class = if index % 116 < 58 { "half" } else { "gang" };
        zone.submit_for(&customer, &format!("q{index:05}"), class);
    }
    zone.gain_leadership();
    zone.run();
    assert_eq!(zone.phase("fill"), Some(JobPhase::Running));
    let before = zone.state.placement_steps();
    zone.send(PlannerEvent::Tick);
    zone.state.placement_steps() - before
}

#[rstest]
#[case::idle_zone(false, JobPhase::Running)]
#[case::rack_in_use(true, JobPhase::Queued)]
fn deferral_before_breaking_a_rack(#[case] in_use: bool, #[case] expected: JobPhase) {
    let run_time = Duration::from_hours(2);
    let whole_rack = JobClass {
        adjacency: BlockAdjacency::Rack,
        run_time,
        ..class(2, 8)
    };
    let part = JobClass {
        adjacency: BlockAdjacency::Rack,
        run_time,
        ..class(1, 8)
    };
    let mut zone = zone_with(&[("rack", whole_rack), ("part", part)]);
    let mut settings = zone.settings.clone();
    settings.policy.weight = 0.0;
    zone.settings = settings;
    zone.adopt();
    if in_use {
        zone.submit("j0", "rack");
        zone.run();
    }
    zone.submit("j1", "part");
    zone.run_seconds(3);
    assert_eq!(zone.phase("j1"), Some(expected));
}

#[test]
fn placement_steps_without_change() {
    let large = JobClass {
        run_time: Duration::from_hours(2),
        ..class(4, 8)
    };
    let mut zone = zone_with(&[("large", large)]);
    zone.submit("j0", "large");
    zone.submit("j1", "large");
    zone.run_seconds(3);
    assert_eq!(zone.phase("j1"), Some(JobPhase::Queued));
    let before = zone.state.placement_steps();
    zone.advance(Duration::from_secs(2));
    zone.send(PlannerEvent::Tick);
    let pass_steps = zone.state.placement_steps() - before;
    assert!(pass_steps > 0, "a pass is due every 2 s by time alone");
    zone.run();
    let before = zone.state.placement_steps();
    zone.run_seconds(10);
    let passes = (zone.state.placement_steps() - before) / pass_steps;
    assert!(
        passes <= 6,
        "lists without changes caused {passes} passes in 10 s"
    );
}
