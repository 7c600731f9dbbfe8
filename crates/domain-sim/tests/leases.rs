//! Runs whose worker leaves, or cannot be reached: moved or counted as lost at once
//! where that is certain, and waited for until no lease of any planner can hold else.

use crate::support::{
    BATCH, all_done, busy_worker, check_all_done, job, planner_of, ready_world, step,
};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain_sim::SimWorld;
use rstest::rstest;

/// A worker that left for good while looks at it were repeated: each look moved the
/// bound after which its runs count as lost, so they never ran again.
#[test]
fn lease_silent_worker_not_extended() {
    let mut world = ready_world(21, 3, 2);
    let work = Duration::from_secs(3);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(2, 8)]), work);
    world.run_for(Duration::from_secs(1));
    world.crash_worker(&"worker-000".into());
    let limit = world.limits.lease_limit + Duration::from_secs(1);
    let is_restarted = world.run_until(limit, |world| world.starts == 3);
    assert!(is_restarted, "the unit was not started elsewhere");
    check_all_done(world);
}

/// Runs of a worker that had left were waited for until their leases lapsed, though
/// the removal of its entry said that they were gone; a unit was late or lost by it.
#[test]
fn removal_of_draining_worker_restarts_runs_at_once() {
    let mut world = ready_world(22, 3, 6);
    world.run_for(Duration::from_secs(6));
    let work = Duration::from_secs(4);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    world.run_for(Duration::from_secs(2));
    let name = busy_worker(&world);
    world.drain_worker(&name);
    world.run_for(Duration::from_millis(1_500));
    world.remove_worker(&name);
    let is_restarted = world.run_until(Duration::from_secs(4), |world| world.starts == 2);
    assert!(is_restarted, "the unit was not started elsewhere");
    check_all_done(world);
}

/// A log that drops entries while it is down removes those of workers that run on.
#[test]
fn removal_during_log_outage_waits_for_lease() {
    let mut world = ready_world(26, 3, 2);
    world.run_for(Duration::from_secs(6));
    let work = Duration::from_secs(8);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    world.run_for(Duration::from_secs(2));
    let name = cut_off_busy_worker(&mut world);
    world.store.put_worker(&name, None);
    check_all_done(world);
}

/// A planner in a process that began a short while ago took the removal of a silent
/// worker's entry for the sign that the worker had left: the steady clock was young.
#[test]
fn removal_after_host_restart_waits_for_lease() {
    let mut world = ready_world(24, 3, 2);
    let work = Duration::from_secs(9);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    world.run_for(Duration::from_secs(2));
    cut_off_busy_worker(&mut world);
    for index in 0..3 {
        world.kill_host(index);
    }
    world.run_for(Duration::from_secs(2));
    for index in 0..3 {
        world.start_host(index);
    }
    check_all_done(world);
}

/// A planner that followed one which had ended took no account of the planner before
/// that one, which was cut from the log and still renewed a lease.
#[rstest]
fn lease_of_earlier_planner_awaited(#[values(25, 26, 27, 28, 29, 30)] seed: u64) {
    let mut world = ready_world(seed, 4, 2);
    let work = Duration::from_secs(17);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    world.run_for(Duration::from_secs(2));
    world.run_for(Duration::from_millis(seed % 5 * 400));
    let first = planner_of(&world);
    world.hosts[first].reaches_store = false;
    let name = busy_worker(&world);
    if let Some(worker) = world.workers.get_mut(&name) {
        worker.only_host = Some(first);
    }
    let has_next = |world: &SimWorld| {
        let planner = world.planner();
        let hosts = world.hosts.iter().filter_map(|host| host.host.as_ref());
        planner.is_some() && hosts.filter(|host| host.planner().is_some()).count() == 2
    };
    assert!(world.run_until(Duration::from_secs(4), has_next));
    let next = (0..4).find(|index| {
        let host = world.hosts[*index].host.as_ref();
        *index != first && host.is_some_and(|host| host.planner().is_some())
    });
    let next = next.expect("a second planner");
    world.drain_host(next);
    check_all_done(world);
}

/// A run on a leaving worker stayed until the worker was gone, though it had a
/// checkpoint and others had room.
#[test]
fn drain_run_with_checkpoint_moves() {
    let mut world = ready_world(23, 3, 2);
    let mut long = step(1, 8);
    long.has_checkpoints = true;
    long.estimate_ms = 8_000;
    let work = Duration::from_secs(8);
    world.submit(0, BATCH, JobKey(1), &job(vec![long]), work);
    world.run_for(Duration::from_secs(3));
    let name = busy_worker(&world);
    world.drain_worker(&name);
    let is_moved = world.run_until(Duration::from_secs(3), |world| world.starts == 2);
    assert!(is_moved, "the unit was not moved");
    let rest = Duration::from_secs(8);
    assert!(world.run_until(rest, all_done), "the checkpoint was lost");
    check_all_done(world);
}

/// A planner that had looked for a cut-off worker in vain for some seconds asked it so
/// seldom that it learned of an end two seconds after the cut was over.
#[rstest]
fn partition_end_of_run_learned_soon(#[values(4_000, 4_400, 4_800, 5_200, 5_600)] cut_ms: u64) {
    let mut world = ready_world(31, 3, 2);
    let work = Duration::from_secs(2);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
    world.run_for(Duration::from_secs(1));
    let name = busy_worker(&world);
    set_reachable(&mut world, &name, false);
    world.run_for(Duration::from_millis(cut_ms));
    set_reachable(&mut world, &name, true);
    let is_learned = |world: &SimWorld| {
        let planner = world.hosts[planner_of(world)].host.as_ref();
        let planner = planner.and_then(|host| host.planner());
        planner.is_some_and(|planner| planner.jobs().is_empty())
    };
    let limit = Duration::from_millis(1_100);
    assert!(world.run_until(limit, is_learned), "the end is not known");
    check_all_done(world);
}

fn set_reachable(world: &mut SimWorld, name: &WorkerName, is_reachable: bool) {
    if let Some(worker) = world.workers.get_mut(name) {
        worker.is_reachable = is_reachable;
    }
}

/// A planner that was frozen between the record of a start and its answer sent the
/// start when it woke, long after its successor had taken over.
#[test]
fn lease_start_of_resumed_planner_not_sent() {
    for millis in 8..30 {
        let mut world = ready_world(41, 3, 2);
        let first = planner_of(&world);
        for worker in world.workers.values_mut() {
            worker.only_host = Some(first);
        }
        let work = Duration::from_secs(25);
        world.submit(first, BATCH, JobKey(1), &job(vec![step(1, 8)]), work);
        world.run_for(Duration::from_millis(millis));
        world.hosts[first].frozen_until = world.now() + Duration::from_secs(9);
        world.run_for(Duration::from_secs(11));
        let name = world.workers.iter().find_map(|(name, worker)| {
            let is_idle = worker.running.is_empty();
            is_idle.then(|| name.clone())
        });
        if let Some(worker) = name.and_then(|name| world.workers.get_mut(&name)) {
            worker.only_host = None;
        }
        world.run_for(Duration::from_secs(12));
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "frozen after {millis} ms"
        );
    }
}

/// Cuts the first worker that runs something off from hosts and log.
fn cut_off_busy_worker(world: &mut SimWorld) -> WorkerName {
    let name = busy_worker(world);
    if let Some(worker) = world.workers.get_mut(&name) {
        worker.is_reachable = false;
        worker.reaches_store = false;
    }
    name
}
