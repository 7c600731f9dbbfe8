//! Queues whose steps may run only on approved workers: approvals are requested, sent with
//! starts, and requested again after they expire.

use crate::support::{ADVISED, BATCH, all_done, gang, job, ready_world, step};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::request::submission::JobSubmission;
use flamingowalk_domain_sim::SimWorld;

/// Time within which the job of each test must be done.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Submits a job for which some workers are not approved.
fn submit(world: &mut SimWorld, submission: &JobSubmission, work: Duration, denied: &[&str]) {
    let denied = denied.iter().map(|name| WorkerName::from(*name)).collect();
    world.advice.denied.insert(JobKey(1), denied);
    world.submit(0, ADVISED, JobKey(1), submission, work);
}

#[track_caller]
fn check_done(world: &mut SimWorld) {
    let is_done = |world: &SimWorld| world.jobs[&JobKey(1)].is_accepted && all_done(world);
    assert!(world.run_until(TIMEOUT, is_done), "the job is not done");
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn advice_denied_workers_get_nothing() {
    let mut world = ready_world(61, 3, 4);
    let work = Duration::from_secs(2);
    let denied = ["worker-000", "worker-002"];
    submit(&mut world, &job(vec![step(4, 8)]), work, &denied);
    world.run_for(Duration::from_secs(1));
    for (name, worker) in &world.workers {
        let expected = usize::from(!denied.contains(&name.as_str()));
        assert_eq!(worker.running.len(), expected, "{name}");
    }
    check_done(&mut world);
    assert_eq!(world.advice.refused_starts, 0);
    assert_eq!(world.advice.calls.first(), Some(&4));
}

#[test]
fn advice_gang_runs_on_approved() {
    let mut world = ready_world(62, 3, 8);
    let denied = ["worker-000", "worker-004"];
    let work = Duration::from_secs(1);
    submit(&mut world, &job(vec![gang(3, 8)]), work, &denied);
    check_done(&mut world);
    assert_eq!(world.advice.refused_starts, 0);
}

#[test]
fn advice_expired_requested_again() {
    let mut world = ready_world(63, 3, 1);
    let work = Duration::from_secs(3);
    submit(&mut world, &job(vec![step(3, 8)]), work, &[]);
    check_done(&mut world);
    assert_eq!(world.advice.refused_starts, 0);
    assert!(world.advice.calls.len() >= 2);
}

#[test]
fn advice_of_earlier_incarnation_not_used() {
    let mut world = ready_world(64, 3, 1);
    let work = Duration::from_secs(2);
    submit(&mut world, &job(vec![step(2, 8)]), work, &[]);
    world.run_for(Duration::from_secs(1));
    world.crash_worker(&"worker-000".into());
    world.restart_worker(&"worker-000".into());
    check_done(&mut world);
    assert_eq!(world.advice.refused_starts, 0);
}

#[test]
fn advice_prefetched_for_later_steps() {
    let mut world = ready_world(65, 3, 4);
    let mut second = step(2, 8);
    second.after = vec![0];
    let work = Duration::from_secs(2);
    submit(&mut world, &job(vec![step(2, 8), second]), work, &[]);
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.advice.calls.len(), 2, "one call per step");
    check_done(&mut world);
}

#[test]
fn advice_service_down_others_run() {
    let mut world = ready_world(66, 3, 4);
    world.advice.is_up = false;
    let work = Duration::from_secs(1);
    submit(&mut world, &job(vec![step(2, 8)]), work, &[]);
    world.submit(0, BATCH, JobKey(2), &job(vec![step(2, 8)]), work);
    world.run_for(Duration::from_secs(3));
    assert!(world.jobs[&JobKey(2)].done_at.is_some());
    assert!(world.jobs[&JobKey(1)].began_at.is_none());
    world.advice.is_up = true;
    check_done(&mut world);
}
