//! Learned run times and paces.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::estimate::RunTimes;
use flamingowalk_domain::process::planner::speed::MemberProgress;

const BEGIN: MonotonicTime = MonotonicTime::from_secs(100);

/// Twenty runs of 3 to 5 s that begin together; the long ones go on.
fn short_runs(queue: &QueueName) -> RunTimes {
    let mut times = RunTimes::default();
    for number in 0..20 {
        let ran = Duration::from_millis(3_000 + number * 100);
        times.record_run(BEGIN + ran, queue, 5_000, ran);
    }
    times
}

/// Of runs that begin together the short ones end first: workers with the long ones
/// were taken to be slowed down.
#[test]
fn plausible_first_ends_bound_nothing() {
    let queue = QueueName::from("queue");
    let times = short_runs(&queue);
    let early = BEGIN + Duration::from_secs(6);
    assert_eq!(times.max_plausible(early, &queue, 5_000), None);
}

#[test]
fn plausible_bound_once_longer_runs_would_have_ended() {
    let queue = QueueName::from("queue");
    let times = short_runs(&queue);
    let late = BEGIN + Duration::from_secs(20);
    let bound = times.max_plausible(late, &queue, 5_000).expect("a bound");
    assert!(bound >= Duration::from_millis(2 * 4_900 - 200), "{bound:?}");
}

/// A run that had just begun counted as one without any progress, and was moved when
/// its worker was found to be slow.
#[test]
fn pace_told_by_first_listing() {
    let mut progress = MemberProgress::default();
    progress.begin(WorkerClock(1_000));
    let listed_at = BEGIN + Duration::from_millis(200);
    assert_eq!(progress.update(listed_at, WorkerClock(1_200), 4), None);
    let pace = progress.pace_since(BEGIN);
    assert!((pace - 20.0).abs() < 0.001, "{pace}");
}
