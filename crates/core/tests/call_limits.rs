//! Limits on time and traffic: deadlines, liveness of connections, the retry budget,
//! latency estimates and adaptive concurrency.

use flamingowalk_core::connection::liveness::{
    ConnectionRecord, DiscardReason, LivenessRules, ReuseDecision,
};
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::budget::RetryBudget;
use flamingowalk_core::process::router::latency::{LatencyEstimate, ServicePace};
use flamingowalk_core::process::router::limit::ConcurrencyLimit;
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::RetrySafety::{self, Idempotent, NonIdempotent};
use rstest::rstest;

const fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[rstest]
#[case(0, Some(1_000))]
#[case(999, Some(1))]
#[case(1_000, None)]
#[case(5_000, None)]
fn deadline_header(#[case] now: u64, #[case] sent: Option<u64>) {
    let deadline = CallDeadline::new(millis(0), Duration::from_secs(1));
    assert_eq!(deadline.header_millis(millis(now)), sent);
    assert_eq!(deadline.is_expired(millis(now)), sent.is_none());
}

#[rstest]
#[case(None, 400)]
#[case(Some(10), 10)]
#[case(Some(700), 400)]
fn deadline_late_after(#[case] pace: Option<u64>, #[case] time: u64) {
    let deadline = CallDeadline::new(millis(0), Duration::from_secs(1));
    let late = deadline.late_after(millis(200), pace.map(Duration::from_millis));
    assert_eq!(late, Duration::from_millis(time));
}

#[test]
fn pace_of_few_and_steady_answers() {
    let mut pace = ServicePace::default();
    (0..19).for_each(|_| pace.record(Duration::from_millis(200)));
    assert_eq!(pace.late_after(), None);
    (0..200).for_each(|at| pace.record(Duration::from_millis(200 + at % 2 * 20)));
    let late = pace.late_after().unwrap();
    assert!(
        late > Duration::from_millis(250) && late < Duration::from_millis(400),
        "{late:?}"
    );
}

#[rstest]
#[case(5, NonIdempotent, ReuseDecision::Ready)]
#[case(6, NonIdempotent, ReuseDecision::Probe)]
#[case(50, Idempotent, ReuseDecision::Ready)]
#[case(600, Idempotent, ReuseDecision::Probe)]
#[case(21_000, Idempotent, ReuseDecision::Discard(DiscardReason::Idle))]
#[case(601_000, Idempotent, ReuseDecision::Discard(DiscardReason::Old))]
fn liveness_silence(
    #[case] silence: u64,
    #[case] safety: RetrySafety,
    #[case] decision: ReuseDecision,
) {
    let record = ConnectionRecord::new(millis(0));
    assert_eq!(
        record.reuse_decision(&LivenessRules::default(), safety, millis(silence)),
        decision
    );
}

#[test]
fn liveness_after_answer_and_failure() {
    let rules = LivenessRules::default();
    let mut record = ConnectionRecord::new(millis(0));
    record.record_answer(millis(5_000));
    assert_eq!(
        record.reuse_decision(&rules, NonIdempotent, millis(5_002)),
        ReuseDecision::Ready
    );
    record.record_failure();
    let failed = ReuseDecision::Discard(DiscardReason::Failed);
    assert_eq!(
        record.reuse_decision(&rules, Idempotent, millis(5_010)),
        failed
    );
}

fn granted(budget: &mut RetryBudget, now: MonotonicTime) -> usize {
    (0..1_000).take_while(|_| budget.try_retry(now)).count()
}

#[rstest]
#[case(0, 3)]
#[case(100, 13)]
#[case(1_000, 103)]
fn budget_share_of_calls(#[case] calls: usize, #[case] retries: usize) {
    let mut budget = RetryBudget::new(0.1, millis(0));
    (0..calls).for_each(|_| budget.record_call(millis(1)));
    assert_eq!(granted(&mut budget, millis(2)), retries);
    assert_eq!(
        granted(&mut budget, millis(5_500)),
        0,
        "the window still contains the retries"
    );
    assert_eq!(
        granted(&mut budget, millis(60_000)),
        3,
        "old calls don't add to the budget"
    );
}

#[test]
fn latency_rises_faster_than_it_falls() {
    let mut estimate = LatencyEstimate::default();
    estimate.record(Duration::from_millis(10));
    estimate.record(Duration::from_millis(100));
    let risen = estimate.peak_micros().unwrap();
    estimate.record(Duration::from_millis(10));
    let fallen = estimate.peak_micros().unwrap();
    assert!(
        risen - 10_000.0 > 2.0 * (risen - fallen),
        "{risen} {fallen}"
    );
    assert_eq!(estimate.mean_micros(4), None);
}

#[test]
fn limit_full_then_answers() {
    let mut limit = ConcurrencyLimit::new(8);
    assert_eq!(limit.allowed(), 8);
    limit.record_full(millis(0));
    limit.record_full(millis(1));
    assert_eq!(limit.allowed(), 6, "one slowdown counts once");
    (0..40).for_each(|at| limit.record_answer(1_000.0, None, millis(at)));
    assert_eq!(limit.allowed(), 8);
}

#[rstest]
#[case(Some(1_000.0), 1)]
#[case(Some(9_000.0), 8)]
#[case(None, 8)]
fn limit_slow_target(#[case] others: Option<f64>, #[case] allowed: u32) {
    let mut limit = ConcurrencyLimit::new(8);
    limit.record_answer(1_000.0, others, millis(0));
    (1..30).for_each(|at| limit.record_answer(9_000.0, others, millis(at * 200)));
    assert_eq!(limit.allowed(), allowed);
}
