//! Tests of learned run times and of measured paces.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::estimate::RunTimes;
use flamingowalk_domain::process::planner::speed::MemberProgress;

const START: MonotonicTime = MonotonicTime::from_secs(100);

/// Records twenty runs of 3 to 5 s that start together.
fn short_runs(queue: &QueueName) -> RunTimes {
    let mut run_times = RunTimes::default();
    for number in 0..20 {
        let run_time = Duration::from_millis(3_000 + number * 100);
        run_times.record_run(START + run_time, queue, 5_000, run_time);
    }
    run_times
}

/// Of runs that start together the short ones complete first. If their durations alone
/// bounded plausible run times, the workers of the longer runs would count as slowed down.
#[test]
fn max_plausible_none_while_longer_runs_may_be_active() {
    let queue = QueueName::from("queue");
    let run_times = short_runs(&queue);
    let early = START + Duration::from_secs(6);
    assert_eq!(run_times.max_plausible(early, &queue, 5_000), None);
}

#[test]
fn max_plausible_known_once_longer_runs_would_have_ended() {
    let queue = QueueName::from("queue");
    let run_times = short_runs(&queue);
    let late = START + Duration::from_secs(20);
    let bound = run_times
        .max_plausible(late, &queue, 5_000)
        .expect("a bound");
    assert!(bound >= Duration::from_millis(2 * 4_900 - 200), "{bound:?}");
}

/// Without a pace from the first listing, a run that has just started counts as one
/// without progress and is moved when its worker is found to be slow.
#[test]
fn pace_since_measured_from_first_listing() {
    let mut progress = MemberProgress::default();
    progress.start_from_zero(WorkerClock(1_000));
    let listed_at = START + Duration::from_millis(200);
    assert_eq!(progress.update(listed_at, WorkerClock(1_200), 4), None);
    let pace = progress.pace_since(START);
    assert!((pace - 20.0).abs() < 0.001, "{pace}");
}
