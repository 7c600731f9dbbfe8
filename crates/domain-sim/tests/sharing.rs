//! Units that share workers: fillers, units that serve users, and long-running steps of
//! which only some units may be unavailable.

use crate::support::{BATCH, URGENT, gang, job, ready_world, step};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::request::submission::StepShape;
use flamingowalk_domain_sim::{SimWorker, SimWorld};

/// Work of units that must not end during a test.
const LONG_WORK: Duration = Duration::from_mins(1);

/// Returns a long-running step.
fn long_running(count: u16, accelerators: u32) -> StepShape {
    StepShape {
        is_long_running: true,
        ..step(count, accelerators)
    }
}

fn filler(count: u16, cpu_millis: u64) -> StepShape {
    let mut filler = step(count, 0);
    filler.is_filler = true;
    filler.demand.cpu_millis = cpu_millis;
    filler
}

fn serving(count: u16) -> StepShape {
    StepShape {
        tail_target_ms: Some(50),
        ..long_running(count, 8)
    }
}

fn runs_of(worker: &SimWorker, job: u64) -> usize {
    let of_job = |unit: &&UnitKey| unit.job == JobKey(job);
    worker.running.keys().filter(of_job).count()
}

fn running(world: &SimWorld, job: u64) -> usize {
    let workers = world.workers.values();
    workers.map(|worker| runs_of(worker, job)).sum()
}

#[test]
fn filler_processor_time_not_counted() {
    let mut world = ready_world(51, 3, 1);
    let shape = filler(4, 8_000);
    world.submit(0, BATCH, JobKey(1), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(1));
    assert_eq!(running(&world, 1), 4);
    let mut full_cpu = step(1, 1);
    full_cpu.demand.cpu_millis = 32_000;
    world.submit(0, BATCH, JobKey(2), &job(vec![full_cpu]), LONG_WORK);
    world.run_for(Duration::from_secs(4));
    assert_eq!(running(&world, 2), 1);
    assert_eq!(running(&world, 1), 4);
}

#[test]
fn filler_never_beside_serving() {
    let mut world = ready_world(52, 3, 4);
    world.submit(0, BATCH, JobKey(1), &job(vec![serving(3)]), LONG_WORK);
    world.run_for(Duration::from_secs(1));
    let shape = filler(6, 8_000);
    world.submit(0, BATCH, JobKey(2), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(2));
    assert_eq!(
        running(&world, 2),
        4,
        "fillers must run on the one free worker"
    );
    for worker in world.workers.values() {
        assert!(runs_of(worker, 1) == 0 || runs_of(worker, 2) == 0);
    }
}

#[test]
fn filler_preempted_by_serving() {
    let mut world = ready_world(53, 3, 2);
    let shape = filler(8, 8_000);
    world.submit(0, BATCH, JobKey(1), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(1));
    world.submit(0, BATCH, JobKey(2), &job(vec![serving(1)]), LONG_WORK);
    for _ in 0..60 {
        world.run_for(Duration::from_millis(50));
        for worker in world.workers.values() {
            assert!(runs_of(worker, 1) == 0 || runs_of(worker, 2) == 0);
        }
    }
    assert_eq!(running(&world, 2), 1);
}

/// Guards against urgent work that stops all units of a long-running step of which only
/// one may be unavailable.
#[test]
fn long_running_step_keeps_required_units() {
    let mut world = ready_world(54, 3, 4);
    let mut shape = long_running(4, 8);
    shape.may_miss = Some(1);
    world.submit(0, BATCH, JobKey(1), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(2));
    assert_eq!(running(&world, 1), 4);
    world.submit(0, URGENT, JobKey(2), &job(vec![step(3, 8)]), LONG_WORK);
    for _ in 0..100 {
        world.run_for(Duration::from_millis(50));
        assert!(
            running(&world, 1) >= 3,
            "more units are unavailable than allowed"
        );
    }
    assert_eq!(running(&world, 2), 1);
}

/// Guards against fillers that return to a worker before the last of them has stopped there, so
/// that the serving unit which they were stopped for never starts.
#[test]
fn serving_starts_although_stops_of_fillers_differ() {
    let mut world = ready_world(55, 3, 4);
    let mut shape = filler(16, 8_000);
    shape.is_long_running = true;
    world.submit(0, BATCH, JobKey(1), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(2));
    assert_eq!(running(&world, 1), 16);
    for worker in world.workers.values_mut() {
        let delays = [850, 550, 300, 50].map(Duration::from_millis);
        worker.stop_delays = delays.repeat(20);
    }
    world.submit(0, BATCH, JobKey(2), &job(vec![serving(2)]), LONG_WORK);
    let are_serving = |world: &SimWorld| running(world, 2) == 2;
    assert!(
        world.run_until(Duration::from_secs(3), are_serving),
        "no worker is emptied for the serving units"
    );
}

/// Guards against a long-running job that is given up, since an end of its objective has
/// passed that means nothing for it.
#[test]
fn serving_starts_late_in_pool_of_fillers() {
    let mut world = ready_world(56, 3, 2);
    let mut occupied = long_running(2, 8);
    occupied.tail_target_ms = None;
    world.submit(0, BATCH, JobKey(1), &job(vec![occupied]), LONG_WORK);
    world.run_for(Duration::from_secs(1));
    let mut shape = filler(8, 8_000);
    shape.is_long_running = true;
    world.submit(0, BATCH, JobKey(2), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(1));
    assert_eq!(running(&world, 2), 8);
    world.submit(0, BATCH, JobKey(3), &job(vec![serving(1)]), LONG_WORK);
    world.run_for(Duration::from_mins(2));
    assert_eq!(running(&world, 3), 0);
    world.cancel(0, BATCH, JobKey(1));
    let is_serving = |world: &SimWorld| running(world, 3) == 1;
    assert!(
        world.run_until(Duration::from_secs(3), is_serving),
        "the serving unit is not started"
    );
}

/// Guards against urgent units beyond the limit of their step on a worker where other work was
/// stopped for them.
#[test]
fn worker_limit_kept_where_capacity_is_reclaimed() {
    let mut world = ready_world(57, 3, 8);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(32, 2)]), LONG_WORK);
    world.run_for(Duration::from_secs(2));
    assert_eq!(running(&world, 1), 32);
    let mut limited = step(3, 2);
    limited.worker_limit = Some(1);
    let work = Duration::from_secs(3);
    world.submit(1, URGENT, JobKey(2), &job(vec![limited]), work);
    let are_running = |world: &SimWorld| running(world, 2) == 3;
    assert!(world.run_until(Duration::from_secs(3), are_running));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against planned work that stops a unit while another one of its step is lost with its
/// worker, whose runs are not known to be gone yet.
#[test]
fn long_running_unit_on_silent_worker_counts_as_unavailable() {
    let mut world = ready_world(58, 3, 4);
    let mut shape = long_running(4, 8);
    shape.may_miss = Some(1);
    world.submit(0, BATCH, JobKey(1), &job(vec![shape]), LONG_WORK);
    world.run_for(Duration::from_secs(3));
    let has_last = |worker: &SimWorker| worker.running.keys().any(|unit| unit.index == 3);
    let mut found = world.workers.iter().filter(|(_, worker)| has_last(worker));
    let lost = found.next().expect("the last unit runs").0.clone();
    world.crash_worker(&lost);
    world.run_for(Duration::from_secs(3));
    world.submit(0, URGENT, JobKey(2), &job(vec![step(1, 8)]), LONG_WORK);
    let alive = |world: &SimWorld| {
        let up = world.workers.values().filter(|worker| worker.is_up);
        up.map(|worker| runs_of(worker, 1)).sum::<usize>()
    };
    for _ in 0..60 {
        world.run_for(Duration::from_millis(50));
        assert!(alive(&world) >= 3, "a second unit is stopped");
    }
}

/// Guards against a gang that waits for capacity which long-running units hold, and keeps all
/// other work off the workers that are idle.
#[test]
fn gang_waiting_for_long_running_work_blocks_no_other() {
    let mut world = ready_world(59, 3, 8);
    world.submit(
        0,
        BATCH,
        JobKey(1),
        &job(vec![long_running(3, 8)]),
        LONG_WORK,
    );
    world.run_for(Duration::from_secs(2));
    let work = Duration::from_secs(2);
    world.submit(0, BATCH, JobKey(2), &job(vec![gang(6, 8)]), work);
    world.run_for(Duration::from_secs(1));
    world.submit(0, BATCH, JobKey(3), &job(vec![step(2, 4)]), work);
    world.run_for(Duration::from_secs(3));
    assert_eq!(running(&world, 2), 0);
    assert!(
        world.jobs[&JobKey(3)].began_at.is_some(),
        "work that fits waits behind the gang"
    );
}
