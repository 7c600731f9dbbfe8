//! Outcome, retry rule and blame for each point of failure of a call, with idempotent and
//! non-idempotent calls over reused and new connections.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::table::TargetIndex;
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::CallOutcome::{Failed, NotRun, OutcomeUnknown};
use flamingowalk_core::request::outcome::ConnectionAge::{Fresh, Reused};
use flamingowalk_core::request::outcome::FailureBlame::{Connection, Neutral, Path, Target};
use flamingowalk_core::request::outcome::RetryRule::{FreshConnection, Never, OtherTarget};
use flamingowalk_core::request::outcome::RetrySafety::{Idempotent, NonIdempotent};
use flamingowalk_core::request::outcome::{
    CallOutcome, FailureBlame, FailurePoint, RetryRule, RetrySafety,
};
use flamingowalk_core::request::progress::{CallProgress, MAX_ATTEMPTS, NextStep};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case(FailurePoint::BeforeConnect, NotRun, OtherTarget, OtherTarget, Neutral)]
#[case(FailurePoint::DuringConnect, NotRun, OtherTarget, OtherTarget, Path)]
#[case(
    FailurePoint::NothingWritten,
    NotRun,
    FreshConnection,
    FreshConnection,
    Connection
)]
#[case(
    FailurePoint::PartiallyWritten,
    OutcomeUnknown,
    FreshConnection,
    Never,
    Connection
)]
#[case(
    FailurePoint::NoAnswer,
    OutcomeUnknown,
    FreshConnection,
    Never,
    Connection
)]
#[case(FailurePoint::HeadersOnly, OutcomeUnknown, OtherTarget, Never, Target)]
#[case(
    FailurePoint::TruncatedBody,
    OutcomeUnknown,
    OtherTarget,
    Never,
    Target
)]
#[case(FailurePoint::WrongId, OutcomeUnknown, OtherTarget, Never, Target)]
#[case(
    FailurePoint::AnswerTooLarge,
    OutcomeUnknown,
    OtherTarget,
    Never,
    Neutral
)]
#[case(
    FailurePoint::LateAnswer,
    OutcomeUnknown,
    FreshConnection,
    Never,
    Connection
)]
#[case(FailurePoint::AfterDeadline, OutcomeUnknown, Never, Never, Neutral)]
#[case(FailurePoint::TargetFull, NotRun, OtherTarget, OtherTarget, Neutral)]
#[case(
    FailurePoint::TargetDraining,
    NotRun,
    OtherTarget,
    OtherTarget,
    Neutral
)]
#[case(FailurePoint::TargetRefused, NotRun, OtherTarget, OtherTarget, Neutral)]
#[case(FailurePoint::RanAndFailed, Failed, OtherTarget, Never, Target)]
#[case(
    FailurePoint::UnconfirmedError,
    OutcomeUnknown,
    OtherTarget,
    Never,
    Target
)]
#[case(
    FailurePoint::CallerDisconnected,
    OutcomeUnknown,
    Never,
    Never,
    Neutral
)]
fn failure_point_on_reused_connection(
    #[case] point: FailurePoint,
    #[case] outcome: CallOutcome,
    #[case] idempotent: RetryRule,
    #[case] non_idempotent: RetryRule,
    #[case] blame: FailureBlame,
) {
    assert_eq!(point.outcome(), outcome);
    assert_eq!(point.retry_rule(Idempotent, Reused), idempotent);
    assert_eq!(point.retry_rule(NonIdempotent, Reused), non_idempotent);
    assert_eq!(point.blame(Reused), blame);
}

#[rstest]
#[case(FailurePoint::NothingWritten, OtherTarget, OtherTarget)]
#[case(FailurePoint::PartiallyWritten, OtherTarget, Never)]
#[case(FailurePoint::NoAnswer, OtherTarget, Never)]
#[case(FailurePoint::LateAnswer, OtherTarget, Never)]
fn failure_point_on_new_connection(
    #[case] point: FailurePoint,
    #[case] idempotent: RetryRule,
    #[case] non_idempotent: RetryRule,
) {
    assert_eq!(point.retry_rule(Idempotent, Fresh), idempotent);
    assert_eq!(point.retry_rule(NonIdempotent, Fresh), non_idempotent);
    assert_eq!(point.blame(Fresh), Target);
}

fn deadline() -> CallDeadline {
    CallDeadline::new(MonotonicTime::default(), Duration::from_secs(10))
}

fn fail(progress: &mut CallProgress, target: u32, point: FailurePoint) -> NextStep {
    let target = Some(TargetIndex(target));
    progress.record_failure(
        target,
        point,
        Fresh,
        &deadline(),
        MonotonicTime::from_secs(1),
    )
}

#[test]
fn progress_refusal_after_unknown() {
    let mut progress = CallProgress::new(Idempotent);
    fail(&mut progress, 0, FailurePoint::NoAnswer);
    fail(&mut progress, 1, FailurePoint::TargetFull);
    assert_eq!(progress.final_outcome(NotRun), OutcomeUnknown);
}

#[test]
fn progress_failed_on_two_targets() {
    let mut progress = CallProgress::new(Idempotent);
    assert_eq!(
        fail(&mut progress, 0, FailurePoint::RanAndFailed),
        NextStep::Retry(OtherTarget)
    );
    assert_eq!(
        fail(&mut progress, 1, FailurePoint::RanAndFailed),
        NextStep::End(Failed)
    );
}

#[test]
fn progress_deadline_passed() {
    let mut progress = CallProgress::new(Idempotent);
    let late = MonotonicTime::from_secs(10);
    let point = FailurePoint::TargetFull;
    let step = progress.record_failure(Some(TargetIndex(0)), point, Fresh, &deadline(), late);
    assert_eq!(step, NextStep::End(NotRun));
}

proptest! {
    #[test]
    fn progress_any_failures(
        points in prop::collection::vec(prop::sample::select(FailurePoint::ALL.to_vec()), 1..12),
        is_idempotent: bool,
        is_reused: bool,
    ) {
        let safety = if is_idempotent { Idempotent } else { RetrySafety::NonIdempotent };
        let connection = if is_reused { Reused } else { Fresh };
        let mut progress = CallProgress::new(safety);
        let mut possible_runs = 0;
        let mut ending = None;
        for (target, point) in (0..).zip(points) {
            possible_runs += u32::from(point.outcome() != NotRun);
            let now = MonotonicTime::from_secs(1);
            let target = Some(TargetIndex(target));
            let step = progress.record_failure(target, point, connection, &deadline(), now);
            if let NextStep::End(outcome) = step {
                ending = Some(outcome);
                break;
            }
            prop_assert!(!progress.is_retry_forbidden());
        }
        prop_assert!(progress.attempts() <= MAX_ATTEMPTS);
        prop_assert!(is_idempotent || possible_runs <= 1);
        prop_assert!(ending != Some(NotRun) || possible_runs == 0);
        prop_assert!(progress.final_outcome(NotRun) != NotRun || possible_runs == 0);
    }
}
