//! Start and end of gangs. A gang starts in two steps, reservation and start, so that it
//! never runs in part; the tests fail or lose requests at each step.

#[path = "support/planner_zone.rs"]
#[allow(
    dead_code,
    reason = "each test file uses its own part of the fake zone"
)]
mod planner_zone;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::{PlannerEvent, TargetError};
use flamingowalk_core::process::planner::job_entry::JobPhase;
use flamingowalk_core::process::planner::state::PlannerPolicy;
use planner_zone::{FakeZone, RequestOutcome};
use rstest::rstest;

fn open_zone() -> FakeZone {
    let mut zone = FakeZone::new(1, 4, PlannerPolicy::FirstFit);
    zone.open();
    zone
}

#[test]
fn start_waits_for_all_reservations() {
    let mut zone = open_zone();
    zone.submit("j1", "gang");
    let reserves: Vec<PlannerAction> = zone.pending.drain(..).collect();
    assert!(
        reserves
            .iter()
            .all(|a| matches!(a, PlannerAction::Reserve { .. }))
    );
    assert_eq!(reserves.len(), 2);
    let mut reserves = reserves.into_iter();
    zone.execute(reserves.next().unwrap(), RequestOutcome::Answered);
    assert!(
        zone.pending.is_empty(),
        "no action may follow while the reservation of one member is outstanding"
    );
    zone.execute(reserves.next().unwrap(), RequestOutcome::Answered);
    assert!(matches!(zone.pending[0], PlannerAction::RecordStart { .. }));
    assert_eq!(zone.pending.len(), 1, "no start before its record");
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
    zone.run_seconds(70);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
    assert_eq!(zone.phase("j1"), None);
}

#[rstest]
#[case::full(RequestOutcome::Refused(TargetError::Full))]
#[case::leaving(RequestOutcome::Refused(TargetError::Leaving))]
#[case::unreachable(RequestOutcome::Refused(TargetError::Unreachable))]
#[case::answer_lost(RequestOutcome::AnswerLost)]
#[case::request_lost(RequestOutcome::RequestLost)]
fn reserve_one_member_fails(#[case] outcome: RequestOutcome) {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    let second = zone.pending.pop_back().unwrap();
    zone.execute(second, outcome);
    zone.run();
    assert_eq!(
        zone.sent_starts.len(),
        0,
        "a gang started without all members"
    );
    assert_eq!(zone.live_tasks(), 0, "a reservation was kept");
    zone.run_seconds(80);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
    assert_eq!(zone.sent_starts.len(), 2);
}

#[rstest]
#[case::idempotent_unknown("gang", RequestOutcome::RequestLost, "finished")]
#[case::idempotent_refused("gang", RequestOutcome::Refused(TargetError::UnknownLease), "finished")]
#[case::once_unknown("once", RequestOutcome::RequestLost, "failed")]
#[case::once_refused("once", RequestOutcome::Refused(TargetError::UnknownLease), "failed")]
#[case::once_answer_lost("once", RequestOutcome::AnswerLost, "finished")]
fn start_second_member_fails(
    #[case] class: &str,
    #[case] outcome: RequestOutcome,
    #[case] expected: &str,
) {
    let mut zone = open_zone();
    zone.submit("j1", class);
    while !matches!(zone.pending[0], PlannerAction::Start { .. }) {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    let second = zone.pending.pop_back().unwrap();
    zone.execute(second, outcome);
    zone.run();
    zone.run_seconds(100);
    let ending = match zone.ending("j1") {
        Some(JobEnding::Finished) => "finished",
        Some(JobEnding::Failed(_)) => "failed",
        _ => "other",
    };
    assert_eq!(ending, expected);
    if class == "once" {
        assert_eq!(zone.sent_starts.len(), 2, "a second start was sent");
    }
}

#[test]
fn start_refused_by_all_did_not_run() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    while !matches!(zone.pending[0], PlannerAction::Start { .. }) {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    let starts: Vec<PlannerAction> = zone.pending.drain(..).collect();
    for start in starts {
        zone.execute(start, RequestOutcome::Refused(TargetError::Unreachable));
    }
    zone.run();
    assert!(matches!(zone.ending("j1"), Some(JobEnding::Refused(_))));
    assert!(zone.starts.is_empty());
}

#[rstest]
#[case::idempotent("gang", 4)]
#[case::non_idempotent("once", 2)]
fn member_lost_stops_the_others(#[case] class: &str, #[case] starts: usize) {
    let mut zone = open_zone();
    zone.submit("j1", class);
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
    zone.kill("w00");
    zone.run_seconds(130);
    assert_eq!(zone.sent_starts.len(), starts);
    match class {
        "gang" => assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished)),
        _ => assert!(matches!(zone.ending("j1"), Some(JobEnding::Failed(_)))),
    }
}

#[test]
fn record_delayed_keeps_reservations() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    zone.log_is_up = false;
    zone.run();
    zone.run_seconds(60);
    assert_eq!(zone.phase("j1"), Some(JobPhase::Reserving));
    assert_eq!(zone.live_tasks(), 2);
    zone.log_is_up = true;
    let job = JobId::from("j1");
    zone.send(PlannerEvent::StartRecorded { job, attempt: 1 });
    zone.run();
    assert_eq!(zone.phase("j1"), Some(JobPhase::Running));
}

#[rstest]
#[case::queued(0)]
#[case::reserving(1)]
#[case::recording(3)]
#[case::starting(4)]
#[case::running(5)]
fn cancel_at_each_stage(#[case] actions: usize) {
    let mut zone = open_zone();
    for name in ["f1", "f2"] {
        zone.submit(name, "gang");
    }
    zone.run();
    if actions > 0 {
        zone.run_seconds(61);
    }
    zone.submit("j1", "once");
    for _ in 0..actions {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    let job = JobId::from("j1");
    zone.send(PlannerEvent::JobCancelled { job });
    zone.run();
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Cancelled));
    assert_eq!(zone.phase("j1"), None);
}

#[test]
fn accept_repeated_after_end() {
    let mut zone = open_zone();
    let job = zone.accepted("j1", "small");
    zone.send(PlannerEvent::JobAccepted { job: job.clone() });
    zone.run();
    zone.run_seconds(70);
    zone.send(PlannerEvent::JobAccepted { job });
    zone.run_seconds(70);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
    assert_eq!(zone.sent_starts.len(), 1);
}

#[test]
fn dump_running_gang() {
    let mut zone = open_zone();
    zone.submit("j1", "gang");
    zone.run();
    insta::assert_snapshot!(zone.state.to_string());
}

#[test]
fn end_noticed_after_idle_list() {
    let mut zone = open_zone();
    zone.run_seconds(2);
    zone.run_time = Duration::from_millis(300);
    zone.submit("j1", "small");
    zone.run();
    zone.run_seconds(2);
    assert_eq!(
        zone.ending("j1"),
        Some(&JobEnding::Finished),
        "a worker that holds a task is listed every second"
    );
}

#[test]
fn starts_paused_keeps_leases() {
    let mut zone = open_zone();
    zone.submit("j1", "gang");
    zone.run();
    zone.send(PlannerEvent::StartsPaused { paused: true });
    zone.submit("j2", "small");
    zone.run_seconds(40);
    assert_eq!(
        zone.phase("j1"),
        Some(JobPhase::Running),
        "its leases were renewed"
    );
    assert_eq!(
        zone.phase("j2"),
        Some(JobPhase::Queued),
        "nothing starts while paused"
    );
    zone.send(PlannerEvent::StartsPaused { paused: false });
    zone.run_seconds(2);
    assert_eq!(zone.phase("j2"), Some(JobPhase::Running));
    zone.run_seconds(70);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
}

#[test]
fn starts_paused_after_record() {
    let mut zone = open_zone();
    zone.submit("j1", "once");
    while !matches!(zone.pending[0], PlannerAction::RecordStart { .. }) {
        let action = zone.pending.pop_front().unwrap();
        zone.execute(action, RequestOutcome::Answered);
    }
    zone.send(PlannerEvent::StartsPaused { paused: true });
    zone.run();
    zone.run_seconds(3);
    assert!(zone.sent_starts.is_empty(), "a start was sent while paused");
    assert_eq!(zone.live_tasks(), 0, "a reservation was kept");
    zone.send(PlannerEvent::StartsPaused { paused: false });
    zone.run_seconds(90);
    assert_eq!(zone.ending("j1"), Some(&JobEnding::Finished));
    assert_eq!(zone.sent_starts.len(), 2);
}

#[test]
fn lists_paced_in_busy_zone() {
    let mut zone = FakeZone::new(2, 8, PlannerPolicy::FirstFit);
    zone.open();
    for number in 0..16 {
        zone.submit(&format!("j{number}"), "gang");
    }
    zone.run();
    zone.run_seconds(3);
    let mut lists = 0;
    for _ in 0..10 {
        zone.advance(Duration::from_secs(1));
        zone.send(PlannerEvent::Tick);
        let is_list = |a: &&PlannerAction| matches!(a, PlannerAction::ListTasks { .. });
        lists += zone.pending.iter().filter(is_list).count();
        zone.run();
    }
    assert_eq!(lists, 20, "two routine lists a second");
}
