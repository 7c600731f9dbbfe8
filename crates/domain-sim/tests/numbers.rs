//! Extreme numbers from outside: whatever a caller, the configuration, a worker's report or a
//! wave says, no planner stops, and the jobs of other callers run.

use crate::support::{BATCH, URGENT, gang, job, manifest, step, workers};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::request::submission::{JobSubmission, OccurrenceSchedule, StepShape};
use flamingowalk_domain::version::wave::WaveOrder;
use flamingowalk_domain_sim::SimWorld;
use proptest::prelude::*;

/// Number of worlds for each of the properties; each takes some 20 ms.
const CASES: u32 = 48;
/// Units on workers up to which the planner is verified after each event. Submissions may start
/// 5,000 units at once; verified after each event, these alone took 42 s.
const VERIFIED_HOLDINGS: usize = 500;

/// Returns numbers at the ends of their range, and usual ones.
fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        Just(u64::MAX - 1),
        Just(u64::MAX / 3),
        Just(1 << 53),
        0..1_000_000_u64,
    ]
}

fn any_small_number() -> impl Strategy<Value = u32> {
    any_number().prop_map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

prop_compose! {
    fn any_step()(
        count in 1..4_u16,
        numbers in [any_number(), any_number(), any_number(), any_number()],
        accelerators in any_small_number(),
        limits in proptest::option::of((any_small_number(), any_small_number())),
        flags in any::<[bool; 5]>(),
    ) -> StepShape {
        let [cpu_millis, memory_mb, estimate_ms, target] = numbers;
        let mut shape = step(count, accelerators);
        shape.demand.cpu_millis = cpu_millis;
        shape.demand.memory_mb = memory_mb;
        shape.estimate_ms = estimate_ms;
        shape.worker_limit = limits.map(|(limit, _)| limit.clamp(1, 65_535) as u16);
        shape.may_miss = limits.map(|(_, missing)| missing.min(65_535) as u16);
        shape.tail_target_ms = flags[4].then_some(target.max(1));
        [shape.is_gang, shape.same_rack, shape.is_long_running, shape.is_filler, _] = flags;
        shape
    }
}

prop_compose! {
    fn any_submission()(
        mut steps in proptest::collection::vec(any_step(), 1..5),
        is_chain in any::<bool>(),
        schedule in proptest::option::of((any_number(), any_number(), any_small_number())),
    ) -> JobSubmission {
        for (index, shape) in steps.iter_mut().enumerate().skip(1) {
            shape.after = if is_chain { vec![index as u16 - 1] } else { Vec::new() };
        }
        let schedule = schedule.map(|(first_at, interval_ms, count)| OccurrenceSchedule {
            first_at,
            interval_ms,
            count: count.max(1),
        });
        JobSubmission { schedule, ..job(steps) }
    }
}

/// Checks that usual jobs run beside what a world was given.
fn check_usual_jobs(mut world: SimWorld) {
    let work = Duration::from_millis(500);
    world.submit(0, URGENT, JobKey(91), &job(vec![gang(2, 4)]), work);
    world.submit(0, BATCH, JobKey(92), &job(vec![step(4, 1)]), work);
    world.run_for(Duration::from_secs(4));
    for number in [91, 92] {
        let report = &world.jobs[&JobKey(number)];
        assert!(report.done_at.is_some(), "job {number} is not done");
    }
}

/// Guards against a random case that runs for minutes: a schedule in the past opens thousands of
/// occurrences at once, and all of their units start, since they need no capacity.
#[test]
fn schedule_in_past_without_demand() {
    let mut shape = step(1, 0);
    shape.demand.cpu_millis = 0;
    shape.demand.memory_mb = 0;
    let submission = JobSubmission {
        schedule: Some(OccurrenceSchedule {
            first_at: 0,
            interval_ms: 1,
            count: u32::MAX,
        }),
        ..job(vec![shape])
    };
    let mut world = SimWorld::new(4, manifest(1), 1, workers(4));
    world.verified_holdings = VERIFIED_HOLDINGS;
    world.run_for(Duration::from_secs(4));
    world.submit(0, BATCH, JobKey(1), &submission, Duration::from_mins(1));
    world.run_for(Duration::from_millis(500));
    assert!(world.starts >= 4_000, "{} starts", world.starts);
    world.cancel(0, BATCH, JobKey(1));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.violations, Vec::<String>::new());
    check_usual_jobs(world);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(CASES) })]

    #[test]
    fn numbers_of_submission_stop_nothing(
        submission in any_submission(),
        is_urgent in any::<bool>(),
        stretch in prop_oneof![Just(0.0), Just(3.0), Just(-1.0), Just(1e300), Just(f64::MAX)],
        target in any_number(),
        guaranteed in any_small_number(),
    ) {
        let mut settings = manifest(1);
        for queue in settings.queues.values_mut() {
            queue.stretch = stretch;
            queue.target_latency = Duration::from_millis(target);
        }
        for customer in settings.customers.values_mut() {
            customer.guaranteed_accelerators = guaranteed;
        }
        let mut world = SimWorld::new(1, settings, 1, workers(4));
        world.verified_holdings = VERIFIED_HOLDINGS;
        world.run_for(Duration::from_secs(4));
        let path = if is_urgent { URGENT } else { BATCH };
        world.submit(0, path, JobKey(1), &submission, Duration::from_millis(300));
        world.run_for(Duration::from_secs(1));
        world.cancel(0, path, JobKey(1));
        world.run_for(Duration::from_secs(2));
        check_usual_jobs(world);
    }

    #[test]
    fn numbers_of_report_stop_nothing(
        numbers in [any_number(), any_number(), any_number(), any_number()],
        accelerators in any_small_number(),
        is_draining in any::<bool>(),
    ) {
        let [cpu_millis, memory_mb, clock, remaining] = numbers;
        let mut reports = workers(4);
        reports[0].capacity.cpu_millis = cpu_millis;
        reports[0].capacity.memory_mb = memory_mb;
        reports[0].capacity.accelerators = accelerators;
        reports[0].clock = WorkerClock(clock);
        reports[0].remaining = Some(Duration::from_millis(remaining));
        reports[0].is_draining = is_draining;
        let mut world = SimWorld::new(2, manifest(1), 1, reports);
        world.run_for(Duration::from_secs(4));
        check_usual_jobs(world);
    }

    #[test]
    fn numbers_of_wave_stop_nothing(number in any_number(), seconds in any_number(), cap in any_number()) {
        let mut world = SimWorld::new(3, manifest(1), 1, workers(4));
        let names: Vec<_> = world.workers.keys().take(2).cloned().collect();
        world.machines.add_workers(names.into_iter());
        let order = WaveOrder {
            number: WaveNumber(number),
            machines: world.machines.machines.keys().cloned().collect(),
            duration: Duration::from_secs(seconds),
            cap: cap as usize,
        };
        world.log.put_wave(WaveNumber(number), Some(order));
        world.run_for(Duration::from_secs(8));
        check_usual_jobs(world);
    }
}
