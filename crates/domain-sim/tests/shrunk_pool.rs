//! Pools that have lost most of their workers, so that the guarantees exceed what is left.

use crate::support::{BATCH, URGENT, gang, job, manifest, step, workers};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::version::manifest::CustomerEntry;
use flamingowalk_domain_sim::SimWorld;
use rstest::rstest;

/// Accelerators of the workers that are left.
const ACCELERATORS_LEFT: u32 = 16;
/// Time within which urgent work inside a guarantee must start, as users require.
const RECLAIM_BOUND: Duration = Duration::from_millis(2_700);
/// Interval at which the use of the pool is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a world of ten workers that has lost eight of them for good. The first and the second
/// customer have a guarantee of all that is left, the third one has none.
fn shrunk_world(seed: u64) -> SimWorld {
    let _ = env_logger::builder().is_test(true).try_init();
    let mut manifest = manifest(1);
    let guarantees = [ACCELERATORS_LEFT, ACCELERATORS_LEFT, 0];
    for (name, guaranteed_accelerators) in ["first", "second", "third"].iter().zip(guarantees) {
        manifest
            .keys
            .insert(format!("{name}-key").into(), (*name).into());
        let entry = CustomerEntry {
            guaranteed_accelerators,
        };
        manifest.customers.insert((*name).into(), entry);
    }
    let mut world = SimWorld::new(seed, manifest, 3, workers(10));
    world.run_for(Duration::from_secs(4));
    let names: Vec<_> = world.workers.keys().cloned().collect();
    for name in &names[2..] {
        world.crash_worker(name);
    }
    world.run_for(Duration::from_secs(12));
    world
}

fn used_accelerators(world: &SimWorld) -> u32 {
    let workers = world.workers.values();
    workers.map(|worker| worker.used().accelerators).sum()
}

/// Guards against a group within its guarantee that stops all other work as soon as it arrives,
/// although it has to wait for runs that it may not stop: the emptied workers are idle until
/// these end.
#[rstest]
fn shrunk_pool_stops_wait_for_runs_that_go_on(#[values(1, 2, 3)] seed: u64) {
    let mut world = shrunk_world(seed);
    world.caller_key = "second-key".into();
    let mut guaranteed = step(1, 2);
    guaranteed.estimate_ms = 4_000;
    let work = Duration::from_secs(4);
    world.submit(0, URGENT, JobKey(1), &job(vec![guaranteed]), work);
    world.run_for(Duration::from_millis(1_300));
    world.caller_key = "third-key".into();
    let mut batch = step(14, 1);
    batch.estimate_ms = 1_500;
    let work = Duration::from_millis(1_500);
    world.submit(0, BATCH, JobKey(2), &job(vec![batch]), work);
    world.run_for(Duration::from_millis(200));
    assert_eq!(used_accelerators(&world), ACCELERATORS_LEFT, "pool in use");
    let starts = world.starts;
    world.caller_key = "first-key".into();
    let work = Duration::from_secs(1);
    world.submit(0, URGENT, JobKey(3), &job(vec![gang(2, 8)]), work);
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.starts, starts + 2, "batch units were stopped");
    let report = &world.jobs[&JobKey(3)];
    let wait = report.began_at.map(|at| at.since(report.sent_at));
    let is_in_time = wait.is_some_and(|wait| wait <= RECLAIM_BOUND);
    assert!(is_in_time, "the gang began after {wait:?}");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a sequence of gangs within guarantees that keeps most of the pool idle while
/// other work waits: each stopped the runs that had begun after the one before.
#[rstest]
fn shrunk_pool_in_use_beside_waiting_gangs(#[values(1, 2, 3)] seed: u64) {
    let mut world = shrunk_world(seed);
    world.long_run_share = 0.3;
    world.long_run_factor = 3.0;
    world.caller_key = "third-key".into();
    let mut batch = step(4, 1);
    batch.estimate_ms = 4_000;
    for number in 0..12 {
        let work = Duration::from_secs(4);
        world.submit(
            0,
            BATCH,
            JobKey(1_000 + number),
            &job(vec![batch.clone()]),
            work,
        );
    }
    world.run_for(Duration::from_secs(1));
    let (mut idle, mut longest) = (Duration::ZERO, Duration::ZERO);
    for sample in 0..200_u64 {
        if sample < 100 && sample % 10 == 0 {
            let number = sample as usize / 10;
            let key = ["first-key", "second-key"][number % 2];
            let shapes = [gang(3, 4), step(1, 4), gang(4, 2), gang(2, 8)];
            let shape = shapes[number % 4].clone();
            let job_key = JobKey(11 + number as u64);
            world.caller_key = key.into();
            let work = Duration::from_secs(2);
            world.submit(0, URGENT, job_key, &job(vec![shape]), work);
        }
        world.run_for(SAMPLE_INTERVAL);
        let is_idle = used_accelerators(&world) * 2 < ACCELERATORS_LEFT;
        idle = if is_idle {
            idle + SAMPLE_INTERVAL
        } else {
            Duration::ZERO
        };
        longest = longest.max(idle);
    }
    // Stops take as long at most; until then the stopped runs hold their workers.
    let bound = world.limits.stop_grace;
    assert!(
        longest <= bound,
        "most of the pool was idle for {longest:?}"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}
