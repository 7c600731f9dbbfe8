//! Gaining leadership. The planner must adopt the running jobs from the task lists of the
//! workers and must not start anything before; otherwise a job could run twice.

#[path = "support/planner_zone.rs"]
#[allow(
    dead_code,
    reason = "each test file uses its own part of the fake zone"
)]
mod planner_zone;

use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::PlannerEvent;
use flamingowalk_core::process::planner::job_entry::JobPhase;
use flamingowalk_core::process::planner::state::{PlannerPolicy, PlannerState};
use planner_zone::{FakeZone, RequestOutcome};
use rstest::rstest;

fn open_zone() -> FakeZone {
    let mut zone = FakeZone::new(1, 4, PlannerPolicy::FirstFit);
    zone.open();
    zone
}

/// Replaces the planner by a new one that knows only the workers and the log records.
fn change_planner(zone: &mut FakeZone, jobs: &[(&str, &str, u32)]) {
    zone.state = PlannerState::with_policy("zone-a".into(), 8, PlannerPolicy::FirstFit);
    zone.pending.clear();
    let records: Vec<_> = zone.workers.values().map(|w| w.record.clone()).collect();
    for worker in records {
        zone.send(PlannerEvent::WorkerUpdated { worker });
    }
    zone.adopt();
    for (id, class, attempts_started) in jobs {
        let mut job = zone.accepted(id, class);
        job.attempts_started = *attempts_started;
        zone.send(PlannerEvent::JobAccepted { job });
    }
    zone.gain_leadership();
}

#[test]
fn rebuild_running_gang_is_adopted() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    zone.run();
    change_planner(&mut zone, &[("j1", "once", 1), ("j2", "small", 0)]);
    let only_lists = |a: &PlannerAction| matches!(a, PlannerAction::ListTasks { .. });
    assert!(
        zone.pending.iter().all(only_lists),
        "acted before the workers answered"
    );
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
    assert_eq!(zone.phase("j2"), Some(JobPhase::Running));
    zone.run_seconds(70);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
    assert_eq!(zone.sent_starts.len(), 3);
}

#[rstest]
#[case::idempotent("gang", "finished", 4)]
#[case::non_idempotent("once", "failed", 2)]
fn rebuild_half_started_gang(#[case] class: &str, #[case] expected: &str, #[case] starts: usize) {
    let mut zone = open_zone();
    zone.submit("j1", class);
    while zone.sent_starts.is_empty() {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    zone.sent_starts.push(zone.sent_starts[0].clone());
    change_planner(&mut zone, &[("j1", class, 1)]);
    zone.run();
    zone.run_seconds(90);
    let ending = match zone.ending("j1") {
        Some(JobEnding::Finished) => "finished",
        Some(JobEnding::Failed(_)) => "failed",
        _ => "other",
    };
    assert_eq!(ending, expected);
    assert_eq!(zone.sent_starts.len(), starts);
}

/// A recorded start may have been sent although no worker lists a started task. A start
/// without a record was certainly not sent.
#[rstest]
#[case::recorded(1, "failed", 0)]
#[case::not_recorded(0, "finished", 2)]
fn rebuild_reserved_only(
    #[case] attempts_started: u32,
    #[case] expected: &str,
    #[case] starts: usize,
) {
    let mut zone = open_zone();
    zone.log_is_up = false;
    zone.submit("j1", "once");
    zone.run();
    zone.unwritten.clear();
    zone.log_is_up = true;
    change_planner(&mut zone, &[("j1", "once", attempts_started)]);
    zone.run();
    zone.run_seconds(90);
    let ending = match zone.ending("j1") {
        Some(JobEnding::Finished) => "finished",
        Some(JobEnding::Failed(_)) => "failed",
        _ => "other",
    };
    assert_eq!(ending, expected);
    assert_eq!(zone.sent_starts.len(), starts);
}

#[test]
fn rebuild_waits_for_leases_of_unreachable_worker() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    zone.run();
    zone.kill("w00");
    change_planner(&mut zone, &[("j1", "once", 1), ("j2", "small", 0)]);
    zone.run();
    zone.run_seconds(2);
    assert_eq!(
        zone.phase("j2"),
        Some(JobPhase::Running),
        "others need not wait"
    );
    assert_eq!(
        zone.ending("j1"),
        None,
        "it may still run on the unreachable worker"
    );
    zone.run_seconds(20);
    assert_eq!(zone.ending("j1"), None, "its lease has not lapsed");
    zone.run_seconds(15);
    assert!(matches!(zone.ending("j1"), Some(JobEnding::Failed(_))));
}

#[test]
fn rebuild_unrecorded_task_is_stopped() {
    let mut zone = open_zone();
    zone.submit("j1", "gang");
    zone.run();
    change_planner(&mut zone, &[]);
    zone.run();
    assert_eq!(zone.live_tasks(), 0);
}

#[test]
fn rebuild_ending_is_recorded_again() {
    let mut zone = open_zone();
    zone.submit("j1", "small");
    zone.run();
    zone.log_is_up = false;
    zone.run_seconds(70);
    assert_eq!(zone.phase("j1"), Some(JobPhase::Ending));
    zone.log_is_up = true;
    zone.send(PlannerEvent::LeadershipLost);
    zone.gain_leadership();
    zone.run();
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
}

#[test]
fn leadership_lost_starts_nothing() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    while !matches!(zone.pending[0], PlannerAction::RecordStart { .. }) {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    zone.send(PlannerEvent::LeadershipLost);
    zone.submit("j2", "small");
    zone.run();
    zone.run_seconds(30);
    assert!(zone.sent_starts.is_empty());
}

/// Guards against acting on incomplete lists: nothing is reserved while the list of one
/// worker has neither arrived nor failed.
#[test]
fn rebuild_waits_for_every_list() {
    let mut zone = open_zone();
    change_planner(&mut zone, &[("j1", "small", 0)]);
    let last = zone.pending.pop_back().unwrap();
    zone.run();
    assert_eq!(
        zone.live_tasks(),
        0,
        "reserved before the last worker answered"
    );
    zone.execute(last, RequestOutcome::Answered);
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
}
