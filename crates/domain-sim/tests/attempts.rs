//! Attempts: a job fails after `max_attempts` failed runs of one unit or gang, whatever
//! order their ends arrive in and however many planners handle them.

use crate::support::{
    BATCH, busy_worker, check_all_done, gang, job, planner_of, ready_world, step,
};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::request::caller_request::{CallerResponse, JobPhase};
use flamingowalk_domain_sim::SimWorld;

/// Time within which the next run of a failed unit is started.
const RESTART_TIMEOUT: Duration = Duration::from_secs(4);

/// Checks that a job has failed, with `starts` starts in all.
#[track_caller]
fn check_failed(world: &mut SimWorld, key: JobKey, starts: u64) {
    world.run_for(Duration::from_secs(6));
    assert_eq!(world.starts, starts, "starts");
    let query = world.query(0, BATCH, key);
    world.run_for(Duration::from_millis(200));
    let phase = &world.responses[&query];
    assert_eq!(*phase, CallerResponse::Phase(JobPhase::Failed));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against failed runs of a gang that do not count, since the end of another member
/// arrived before the failed one.
#[test]
fn attempts_failed_member_listed_last() {
    let mut world = world_of_failing_workers(91, 8);
    let work = Duration::from_millis(500);
    world.submit(0, BATCH, JobKey(1), &job(vec![gang(2, 8)]), work);
    for attempt in 1..=3 {
        let is_started = world.run_until(RESTART_TIMEOUT, |world| world.starts == attempt * 2);
        assert!(is_started, "attempt {attempt} was not started");
        // The run on the first worker fails, which breaks the run on the other.
        let name = busy_worker(&world);
        set_reachable(&mut world, &name, false);
        world.run_for(Duration::from_millis(900));
        set_reachable(&mut world, &name, true);
    }
    check_failed(&mut world, JobKey(1), 6);
}

/// Guards against failed runs that count twice, since the end is listed to the next planner
/// again if the planner that recorded it did not acknowledge it.
#[test]
fn attempts_end_listed_to_next_planner() {
    let mut world = world_of_failing_workers(92, 2);
    let work = Duration::from_millis(500);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    for attempt in 1..=3 {
        let is_started = world.run_until(RESTART_TIMEOUT, |world| world.starts == attempt);
        assert!(is_started, "attempt {attempt} was not started");
        world.run_for(work + Duration::from_millis(60));
        let index = planner_of(&world);
        world.kill_host(index);
        world.start_host(index);
    }
    check_failed(&mut world, JobKey(1), 3);
}

/// Guards against failed runs that do not count, since their end was listed after the lease
/// had expired and the next run had started.
#[test]
fn attempts_end_listed_after_restart() {
    let mut world = world_of_failing_workers(93, 4);
    let work = Duration::from_millis(500);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    assert!(world.run_until(RESTART_TIMEOUT, |world| world.starts == 1));
    let name = busy_worker(&world);
    set_reachable(&mut world, &name, false);
    let lease_timeout = world.limits.lease_limit + RESTART_TIMEOUT;
    assert!(world.run_until(lease_timeout, |world| world.starts == 2));
    world.run_for(work / 2);
    set_reachable(&mut world, &name, true);
    check_failed(&mut world, JobKey(1), 3);
}

/// Guards against a unit that runs on after its last attempt, which an earlier run was by its
/// end that was listed late.
#[test]
fn attempts_last_end_listed_stops_newer_run() {
    let mut world = world_of_failing_workers(94, 4);
    let work = Duration::from_millis(500);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    assert!(world.run_until(RESTART_TIMEOUT, |world| world.starts == 3));
    let name = busy_worker(&world);
    set_reachable(&mut world, &name, false);
    for worker in world.workers.values_mut() {
        worker.fails_all = false;
        worker.speed = 0.01;
    }
    let lease_timeout = world.limits.lease_limit + RESTART_TIMEOUT;
    assert!(world.run_until(lease_timeout, |world| world.starts == 4));
    set_reachable(&mut world, &name, true);
    check_failed(&mut world, JobKey(1), 4);
    let mut workers = world.workers.values();
    assert!(workers.all(|worker| worker.running.is_empty()));
}

/// Guards against a gang that waits for ever after a failure: workers on which a member failed
/// were left out although the others together are too small for the gang.
#[test]
fn attempts_gang_needs_every_worker() {
    let mut world = world_of_failing_workers(95, 2);
    let work = Duration::from_millis(500);
    world.submit(0, BATCH, JobKey(1), &job(vec![gang(2, 8)]), work);
    assert!(world.run_until(RESTART_TIMEOUT, |world| world.starts == 2));
    for worker in world.workers.values_mut() {
        worker.fails_all = false;
    }
    let is_restarted = world.run_until(RESTART_TIMEOUT, |world| world.starts == 4);
    assert!(is_restarted, "the gang was not started again");
    check_all_done(world);
}

/// Returns a world in which every run fails.
fn world_of_failing_workers(seed: u64, count: usize) -> SimWorld {
    let mut world = ready_world(seed, 3, count);
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    world
}

fn set_reachable(world: &mut SimWorld, name: &WorkerName, is_reachable: bool) {
    if let Some(worker) = world.workers.get_mut(name) {
        worker.is_reachable = is_reachable;
    }
}

/// Guards against a job that waits beside idle workers which are all in quarantine, for up to
/// half a minute after what they failed for is over.
#[test]
fn attempts_quarantined_workers_used_if_others_are_too_few() {
    let mut world = world_of_failing_workers(93, 2);
    let work = Duration::from_millis(200);
    for number in 1..=8 {
        world.submit(0, BATCH, JobKey(number), &job(vec![step(1, 8)]), work);
        world.run_for(Duration::from_secs(2));
    }
    for worker in world.workers.values_mut() {
        worker.fails_all = false;
    }
    let starts = world.starts;
    world.submit(0, BATCH, JobKey(9), &job(vec![step(1, 8)]), work);
    let is_started = |world: &SimWorld| world.jobs[&JobKey(9)].began_at.is_some();
    assert!(
        world.run_until(Duration::from_secs(3), is_started),
        "no start beside idle workers after {starts} failed ones"
    );
}
