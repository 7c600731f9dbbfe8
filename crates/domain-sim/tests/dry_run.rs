//! Compares what a dry run reports with what a pass does with the same job at the same moment, on
//! pools of one and of three speeds, with and without the section `[overload]`.

use std::fmt::Debug;

use crate::support::{BATCH, URGENT, gang, job, manifest, step, workers};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::explain::explain_job;
use flamingowalk_domain::process::planner::explain::report::{StepExplanation, WaitCause};
use flamingowalk_domain::process::planner::job::GroupPhase;
use flamingowalk_domain::process::planner::state::PlanContext;
use flamingowalk_domain::process::planner::{OverloadLimits, PlanLimits, PlannerState};
use flamingowalk_domain::process::record::AcceptedJob;
use flamingowalk_domain::request::submission::{JobSubmission, StepShape, UnitDemand};
use flamingowalk_domain_sim::{LoadClass, LoadPlan, SimWorld};
use rstest::rstest;

/// Number of workers of the pool, with 8 accelerators each.
const WORKERS: usize = 24;
/// Time during which jobs are submitted.
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Time of the load until the first comparison: the speeds are known by then.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Time between two comparisons; no divisor of any period of the planner.
const COMPARE_INTERVAL: Duration = Duration::from_millis(173);
/// The job of a comparison; the greatest key, which the dry run uses too.
const CANDIDATE: JobKey = JobKey(u64::MAX);

const OVERLOAD_ON: OverloadLimits = OverloadLimits {
    orders_by_cost: true,
    limits_stops: true,
    rejects_jobs: true,
    shares_capacity: true,
};

/// Numbers of comparisons, by what the dry run reported.
#[derive(Clone, Copy, Debug, Default)]
struct CompareCount {
    starts: usize,
    awaits_faster: usize,
    kept_free: usize,
    no_room: usize,
    awaits_rack: usize,
    stops: usize,
    /// Moments at which other groups stopped runs in the same pass, or an append was pending.
    skipped: usize,
}

fn class(queue: &str, rate: f64, width: f64, seconds: f64) -> LoadClass {
    LoadClass {
        queue: queue.into(),
        rate,
        width,
        max_width: (width * 2.0) as u16,
        run_time: Duration::from_secs_f64(seconds),
        run_time_spread: 0.3,
        max_run_time: Duration::from_secs_f64(seconds * 2.0),
        estimate_spread: 0.5,
        demand: UnitDemand {
            cpu_millis: 2_000,
            memory_mb: 4_000,
            accelerators: 0,
        },
        accelerators: vec![2, 4, 8],
        is_gang: queue == "urgent",
        same_rack_share: 0.0,
        checkpoint_share: 0.3,
        value: (1.0, 0.2),
    }
}

fn accepted_job(queue: &str, wall: WallTime, submission: JobSubmission) -> AcceptedJob {
    let manifest = manifest(1);
    let settings = &manifest.queues[&QueueName::from(queue)];
    AcceptedJob {
        queue: queue.into(),
        service: settings.service.clone(),
        customer: Some("customer".into()),
        priority: settings.priority,
        max_attempts: settings.max_attempts,
        stretch: settings.stretch,
        target_latency_ms: settings.target_latency.as_millis() as u64,
        accepted_at: wall.0,
        submission,
    }
}

/// Returns steps that use the pool in different ways.
fn candidates() -> Vec<(&'static str, StepShape)> {
    let mut short_gang = gang(3, 8);
    short_gang.estimate_ms = 1_000;
    let mut long_gang = gang(3, 8);
    long_gang.estimate_ms = 4_000;
    let mut wide_gang = gang(8, 4);
    wide_gang.estimate_ms = 6_000;
    let mut rack_gang = gang(3, 4);
    rack_gang.same_rack = true;
    vec![
        ("urgent", short_gang),
        ("urgent", long_gang.clone()),
        ("urgent", gang(2, 1)),
        ("batch", long_gang),
        ("batch", wide_gang),
        ("batch", rack_gang),
        ("batch", step(12, 2)),
    ]
}

fn act(
    planner: &mut PlannerState,
    (now, wall): (MonotonicTime, WallTime),
    call: impl FnOnce(&mut PlannerState, &mut PlanContext<'_>),
) {
    let (mut last_ticket, mut actions) = (u64::MAX / 2, Vec::new());
    let mut context = PlanContext {
        now,
        wall,
        last_ticket: &mut last_ticket,
        actions: &mut actions,
    };
    call(planner, &mut context);
}

/// Returns the groups whose runs are being stopped.
fn stopping_groups(planner: &PlannerState) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (key, job) in planner.jobs() {
        for (number, occurrence) in &job.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let is_gang = job.accepted.submission.steps[index].is_gang;
                for (group, state) in step.groups.iter().enumerate() {
                    if state.phase == GroupPhase::Stopping {
                        let key = GroupKey {
                            job: *key,
                            occurrence: *number,
                            step: index as u16,
                            index: (!is_gang).then_some(group as u16),
                        };
                        found.insert(key.to_string());
                    }
                }
            }
        }
    }
    found
}

/// Returns the groups other than the candidate's that runs are stopped for.
fn claims_of_others(planner: &PlannerState) -> Vec<GroupKey> {
    let claims = planner.claims().keys();
    claims.filter(|key| key.job != CANDIDATE).copied().collect()
}

/// Returns the workers of each group of the candidate that the pass started.
fn started_groups(planner: &PlannerState) -> Vec<Vec<WorkerName>> {
    let groups = &planner.jobs()[&CANDIDATE].occurrences[&0].steps[0].groups;
    let started = groups
        .iter()
        .filter(|group| group.phase == GroupPhase::Recording);
    started
        .map(|group| {
            let members = group.members.iter();
            members.map(|member| member.worker.clone()).collect()
        })
        .collect()
}

fn assert_same<T: Debug + PartialEq>(what: &str, reported: &T, done: &T, step: &StepExplanation) {
    assert_eq!(reported, done, "{what}: dry run, then pass\n{step}");
}

/// Compares the dry run of a step with a pass that has it, on copies of the planner.
fn compare(world: &SimWorld, queue: &str, shape: StepShape, count: &mut CompareCount) {
    let Some(index) = world.planner() else {
        return;
    };
    let (now, wall) = world.hosts[index].clocks(world.now());
    // The minimum time between two passes is over.
    let clocks = (now + Duration::from_millis(3), wall);
    let host = world.hosts[index].host.as_ref().expect("the host runs");
    let mut before = host.planner().expect("it plans").clone();
    act(&mut before, clocks, PlannerState::tick);
    let accepted = accepted_job(queue, wall, job(vec![shape]));
    let explained = explain_job(&before, clocks.0, wall, accepted.clone());
    let step = &explained.first_steps[0];

    let mut without = before.clone();
    act(&mut without, clocks, PlannerState::flush);
    let mut planner = before.clone();
    act(&mut planner, clocks, |planner, context| {
        planner.add_job(context, CANDIDATE, &Arc::new(accepted));
        planner.flush(context);
    });
    if planner.is_pass_due() || stopping_groups(&without) != stopping_groups(&before) {
        count.skipped += 1;
        return;
    }
    assert_same("starts", &step.starts, &started_groups(&planner), step);
    let stopped: BTreeSet<String> = stopping_groups(&planner)
        .difference(&stopping_groups(&before))
        .cloned()
        .collect();
    let reported: BTreeSet<String> = step
        .stops
        .iter()
        .flat_map(|stops| stops.groups.iter().cloned())
        .collect();
    if claims_of_others(&planner) == claims_of_others(&without) {
        assert_same("stops", &reported, &stopped, step);
    } else {
        // Another group lost its room to the candidate, and stops runs in its turn.
        assert!(stopped.is_superset(&reported), "{stopped:?}\n{step}");
    }
    let claim = planner
        .claims()
        .iter()
        .find(|(key, _)| key.job == CANDIDATE);
    let claimed = claim.map(|(_, claim)| claim.placement.workers.clone());
    let reported = step.stops.as_ref().map(|stops| stops.workers.clone());
    assert_same("claim", &reported, &claimed, step);
    let has_waiting = step.starts.len() < step.groups;
    assert_same("wait", &step.wait.is_some(), &has_waiting, step);
    match step.wait {
        None => count.starts += 1,
        Some(WaitCause::FasterWorkers { .. }) => {
            let text = explained.to_string();
            assert!(text.contains("waits for faster workers"), "{text}");
            count.awaits_faster += 1;
        }
        Some(WaitCause::KeptForUrgent) => count.kept_free += 1,
        Some(WaitCause::Locality { .. }) => count.awaits_rack += 1,
        Some(_) if step.stops.is_some() => count.stops += 1,
        Some(_) => count.no_room += 1,
    }
}

/// Runs a load on workers of these speeds, and compares at regular times during it.
fn compare_in_load(speeds: &[f64], overload: OverloadLimits, seed: u64, count: &mut CompareCount) {
    let limits = PlanLimits {
        overload,
        ..PlanLimits::default()
    };
    let mut world = SimWorld::with_limits(seed, manifest(1), 1, workers(WORKERS), limits);
    for (index, worker) in world.workers.values_mut().enumerate() {
        worker.speed = speeds[index % speeds.len()];
    }
    world.verifies_planner = false;
    world.run_for(Duration::from_secs(4));
    let begin = world.now();
    let classes = vec![
        class("urgent", 1.2, 4.0, 2.0),
        class("batch", 1.0, 8.0, 5.0),
    ];
    let plan = LoadPlan::draw(seed, classes, begin, begin + LOAD_TIME, |_, _| 1.0);
    let candidates = candidates();
    let mut shapes = candidates.iter().cycle();
    let mut compare_at = begin + WARM_UP_TIME;
    for load in &plan.jobs {
        while compare_at < load.at {
            world.run_for(compare_at.since(world.now()));
            if let Some((queue, shape)) = shapes.next() {
                compare(&world, queue, shape.clone(), count);
            }
            compare_at = compare_at + COMPARE_INTERVAL;
        }
        world.run_for(load.at.since(world.now()));
        let path = if load.class == 0 { URGENT } else { BATCH };
        world.submit(0, path, load.key, &load.submission, load.work);
    }
    let host = world.hosts[0].host.as_ref().expect("the host runs");
    let planner = host.planner().expect("it plans");
    assert_eq!(planner.speeds().spread.differ, speeds.len() > 1);
}

/// Guards against a dry run that reports other starts, waits or stops than a pass decides on: it
/// ignored the goal of placement in a pool of unequal speeds, and the order of `[overload]`.
#[rstest]
#[case::absent(OverloadLimits::default())]
#[case::order_reject_shares(OverloadLimits { limits_stops: false, ..OVERLOAD_ON })]
#[case::with_stops(OVERLOAD_ON)]
fn explain_job_as_pass(
    #[case] overload: OverloadLimits,
    #[values(&[1.0], &[0.6, 1.0, 1.6])] speeds: &[f64],
) {
    let mut count = CompareCount::default();
    for seed in [1, 2] {
        compare_in_load(speeds, overload, seed, &mut count);
    }
    println!(
        "speeds {speeds:?} stops {}: {count:?}",
        overload.limits_stops
    );
    // Each kind of decision has to occur, or the comparison says nothing about it.
    let kinds = [count.starts, count.kept_free, count.no_room, count.stops];
    assert!(kinds.iter().all(|kind| *kind >= 5), "{count:?}");
    assert!(count.awaits_rack > 0, "{count:?}");
    assert_eq!(count.awaits_faster > 0, speeds.len() > 1, "{count:?}");
}
