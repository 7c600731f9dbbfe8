//! The fault table of calls: point of failure, idempotent or not, kept or new
//! connection, against outcome, repetition and blame.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::table::TargetIndex;
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::CallOutcome::{Failed, NotRun, OutcomeUnknown};
use flamingowalk_core::request::outcome::ConnectionAge::{Fresh, Reused};
use flamingowalk_core::request::outcome::FailureBlame::{Connection, Nobody, Path, Target};
use flamingowalk_core::request::outcome::RepeatRule::{FreshConnection, Never, OtherTarget};
use flamingowalk_core::request::outcome::RepeatSafety::{Idempotent, NonIdempotent};
use flamingowalk_core::request::outcome::{
    CallOutcome, FailureBlame, FailurePoint, RepeatRule, RepeatSafety,
};
use flamingowalk_core::request::progress::{CallProgress, MAX_ATTEMPTS, NextStep};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case(FailurePoint::BeforeConnect, NotRun, OtherTarget, OtherTarget, Nobody)]
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
    Nobody
)]
#[case(
    FailurePoint::LateAnswer,
    OutcomeUnknown,
    FreshConnection,
    Never,
    Connection
)]
#[case(FailurePoint::AfterDeadline, OutcomeUnknown, Never, Never, Nobody)]
#[case(FailurePoint::TargetFull, NotRun, OtherTarget, OtherTarget, Nobody)]
#[case(FailurePoint::TargetDraining, NotRun, OtherTarget, OtherTarget, Nobody)]
#[case(FailurePoint::TargetRefused, NotRun, OtherTarget, OtherTarget, Nobody)]
#[case(FailurePoint::RanAndFailed, Failed, OtherTarget, Never, Target)]
#[case(
    FailurePoint::UnconfirmedError,
    OutcomeUnknown,
    OtherTarget,
    Never,
    Target
)]
#[case(FailurePoint::CallerDisconnected, OutcomeUnknown, Never, Never, Nobody)]
fn failure_point_on_kept_connection(
    #[case] point: FailurePoint,
    #[case] outcome: CallOutcome,
    #[case] idempotent: RepeatRule,
    #[case] non_idempotent: RepeatRule,
    #[case] blame: FailureBlame,
) {
    assert_eq!(point.outcome(), outcome);
    assert_eq!(point.repeat(Idempotent, Reused), idempotent);
    assert_eq!(point.repeat(NonIdempotent, Reused), non_idempotent);
    assert_eq!(point.blame(Reused), blame);
}

#[rstest]
#[case(FailurePoint::NothingWritten, OtherTarget, OtherTarget)]
#[case(FailurePoint::PartiallyWritten, OtherTarget, Never)]
#[case(FailurePoint::NoAnswer, OtherTarget, Never)]
#[case(FailurePoint::LateAnswer, OtherTarget, Never)]
fn failure_point_on_new_connection(
    #[case] point: FailurePoint,
    #[case] idempotent: RepeatRule,
    #[case] non_idempotent: RepeatRule,
) {
    assert_eq!(point.repeat(Idempotent, Fresh), idempotent);
    assert_eq!(point.repeat(NonIdempotent, Fresh), non_idempotent);
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
    assert_eq!(progress.ending(NotRun), OutcomeUnknown);
}

#[test]
fn progress_failed_on_two_targets() {
    let mut progress = CallProgress::new(Idempotent);
    assert_eq!(
        fail(&mut progress, 0, FailurePoint::RanAndFailed),
        NextStep::Repeat(OtherTarget)
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
        let safety = if is_idempotent { Idempotent } else { RepeatSafety::NonIdempotent };
        let connection = if is_reused { Reused } else { Fresh };
        let mut progress = CallProgress::new(safety);
        let mut perhaps_run = 0;
        let mut ending = None;
        for (target, point) in (0..).zip(points) {
            perhaps_run += u32::from(point.outcome() != NotRun);
            let now = MonotonicTime::from_secs(1);
            let target = Some(TargetIndex(target));
            let step = progress.record_failure(target, point, connection, &deadline(), now);
            if let NextStep::End(outcome) = step {
                ending = Some(outcome);
                break;
            }
            prop_assert!(!progress.is_repeat_forbidden());
        }
        prop_assert!(progress.attempts() <= MAX_ATTEMPTS);
        prop_assert!(is_idempotent || perhaps_run <= 1);
        prop_assert!(ending != Some(NotRun) || perhaps_run == 0);
        prop_assert!(progress.ending(NotRun) != NotRun || perhaps_run == 0);
    }
}
