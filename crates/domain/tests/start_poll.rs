//! Decisions about starts that wait for answers of their workers.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::start_poll::{
    PollResult, RECENT_ANSWER_TIME, START_POLL_TIMEOUT, poll_result,
};
use flamingowalk_domain::process::planner::worker::WorkerLink;

const ASKED_AT: MonotonicTime = MonotonicTime(10_000_000);

fn link(answered_at: Option<MonotonicTime>, failures: u32) -> WorkerLink {
    WorkerLink {
        answered_at,
        failures,
        ..WorkerLink::default()
    }
}

fn result_of(now: MonotonicTime, links: &[WorkerLink]) -> PollResult {
    let names: Vec<WorkerName> = (0..links.len())
        .map(|index| format!("worker-{index}").as_str().into())
        .collect();
    poll_result(now, ASKED_AT, names.iter().zip(links))
}

/// Guards against a delay of starts on workers that answered just before the start.
#[test]
fn poll_result_recent_answer_stands_for_poll() {
    let recent = link(Some(ASKED_AT - RECENT_ANSWER_TIME), 0);
    assert_eq!(result_of(ASKED_AT, &[recent]), PollResult::Answered);
}

/// Guards against starts on workers whose newest answer is old or was followed by a failure.
#[test]
fn poll_result_old_answer_waits_then_withholds() {
    let old = link(
        Some(ASKED_AT - RECENT_ANSWER_TIME - Duration::from_millis(1)),
        0,
    );
    let failing = link(Some(ASKED_AT), 1);
    let answering = link(Some(ASKED_AT + Duration::from_millis(2)), 0);
    let links = [old, failing, answering, link(None, 0)];
    let before = ASKED_AT + START_POLL_TIMEOUT - Duration::from_millis(1);
    assert_eq!(result_of(before, &links), PollResult::Pending);
    let silent = ["worker-0", "worker-1", "worker-3"];
    let silent = silent.into_iter().map(WorkerName::from).collect();
    let after = ASKED_AT + START_POLL_TIMEOUT;
    assert_eq!(result_of(after, &links), PollResult::Silent(silent));
}
