//! The outcome of one attempt at a call and whether it may be retried, by the point
//! of failure and whether the call is idempotent. `NotRun` is returned only where it
//! is certain; whatever may have reached the target is `OutcomeUnknown`.

use std::fmt::{self, Display, Formatter};

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetrySafety {
    /// The call may run more than once.
    Idempotent,
    /// The call must run at most once.
    NonIdempotent,
}

/// How a call or one attempt at it ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The complete answer to this request was received.
    Answer,
    /// The target reports that the call ran and failed.
    Failed,
    /// It is certain that the call did not start.
    NotRun,
    /// The call may or may not have run.
    OutcomeUnknown,
}

/// Point at which an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailurePoint {
    /// No target or connection was available.
    BeforeConnect,
    /// The connection could not be established.
    DuringConnect,
    /// The connection ended before any byte of the request was written.
    NothingWritten,
    /// The connection ended when a part of the request had been written.
    PartiallyWritten,
    /// The connection ended when the request had been written, before any byte of an
    /// answer.
    NoAnswer,
    /// The connection ended after the answer's headers, before its body.
    HeadersOnly,
    /// The connection ended within the answer's body.
    TruncatedBody,
    /// The answer carries the identifier of another request, or none.
    WrongId,
    /// The answer is larger than the service allows, or declares no length.
    AnswerTooLarge,
    /// No complete answer arrived within the time for this attempt.
    LateAnswer,
    /// No complete answer arrived within the caller's deadline.
    AfterDeadline,
    /// The target refused the request because it has no free capacity.
    TargetFull,
    /// The target refused the request because it accepts no new work.
    TargetDraining,
    /// The target refused the request for another reason that it gave.
    TargetRefused,
    /// The target reports that the call ran and failed.
    RanAndFailed,
    /// The target sent an error status that does not confirm whether the call ran.
    UnconfirmedError,
    /// The caller disconnected while the request was with the target.
    CallerDisconnected,
}

impl FailurePoint {
    /// All points of failure, roughly in the order in which a request reaches them.
    pub const ALL: [Self; 17] = [
        Self::BeforeConnect,
        Self::DuringConnect,
        Self::NothingWritten,
        Self::PartiallyWritten,
        Self::NoAnswer,
        Self::HeadersOnly,
        Self::TruncatedBody,
        Self::WrongId,
        Self::AnswerTooLarge,
        Self::LateAnswer,
        Self::AfterDeadline,
        Self::TargetFull,
        Self::TargetDraining,
        Self::TargetRefused,
        Self::RanAndFailed,
        Self::UnconfirmedError,
        Self::CallerDisconnected,
    ];

    /// Returns the outcome of the call as far as an attempt that failed here shows it.
    pub const fn outcome(self) -> CallOutcome {
        match self {
            Self::BeforeConnect
            | Self::DuringConnect
            | Self::NothingWritten
            | Self::TargetFull
            | Self::TargetDraining
            | Self::TargetRefused => CallOutcome::NotRun,
            Self::RanAndFailed => CallOutcome::Failed,
            Self::PartiallyWritten
            | Self::NoAnswer
            | Self::HeadersOnly
            | Self::TruncatedBody
            | Self::WrongId
            | Self::AnswerTooLarge
            | Self::LateAnswer
            | Self::AfterDeadline
            | Self::UnconfirmedError
            | Self::CallerDisconnected => CallOutcome::OutcomeUnknown,
        }
    }

    /// Returns whether the call may be retried after it failed here, and where.
    pub const fn retry_rule(self, safety: RetrySafety, connection: ConnectionAge) -> RetryRule {
        if matches!(self, Self::AfterDeadline | Self::CallerDisconnected) {
            return RetryRule::Never;
        }
        let is_not_run = matches!(self.outcome(), CallOutcome::NotRun);
        if !is_not_run && matches!(safety, RetrySafety::NonIdempotent) {
            return RetryRule::Never;
        }
        if self.is_connection_suspect() && matches!(connection, ConnectionAge::Reused) {
            return RetryRule::FreshConnection;
        }
        RetryRule::OtherTarget
    }

    /// Returns what a failure here is attributed to.
    pub const fn blame(self, connection: ConnectionAge) -> FailureBlame {
        match self {
            Self::BeforeConnect
            | Self::AfterDeadline
            | Self::CallerDisconnected
            | Self::TargetFull
            | Self::TargetDraining
            | Self::TargetRefused
            | Self::AnswerTooLarge => FailureBlame::Neutral,
            Self::DuringConnect => FailureBlame::Path,
            Self::NothingWritten | Self::PartiallyWritten | Self::NoAnswer | Self::LateAnswer => {
                match connection {
                    ConnectionAge::Reused => FailureBlame::Connection,
                    ConnectionAge::Fresh => FailureBlame::Target,
                }
            }
            Self::HeadersOnly
            | Self::TruncatedBody
            | Self::WrongId
            | Self::RanAndFailed
            | Self::UnconfirmedError => FailureBlame::Target,
        }
    }

    /// Returns whether a connection that stopped responding or was closed can explain the
    /// failure.
    const fn is_connection_suspect(self) -> bool {
        matches!(
            self,
            Self::NothingWritten | Self::PartiallyWritten | Self::NoAnswer | Self::LateAnswer
        )
    }
}

impl Display for FailurePoint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::BeforeConnect => "no target or connection was available",
            Self::DuringConnect => "the connection to the target could not be made",
            Self::NothingWritten => "the connection ended before the request was written",
            Self::PartiallyWritten => "the connection ended while the request was written",
            Self::NoAnswer => "the connection ended without an answer",
            Self::HeadersOnly => "the connection ended before the answer's body",
            Self::TruncatedBody => "the connection ended within the answer's body",
            Self::WrongId => "the answer belongs to another request",
            Self::AnswerTooLarge => "the answer is too large or its length is not declared",
            Self::LateAnswer => "no whole answer came in time for this attempt",
            Self::AfterDeadline => "no whole answer came within the deadline",
            Self::TargetFull => "the target has no free capacity",
            Self::TargetDraining => "the target takes no new work",
            Self::TargetRefused => "the target refused the request",
            Self::RanAndFailed => "the target ran the call and failed",
            Self::UnconfirmedError => "the target answered with an error that proves nothing",
            Self::CallerDisconnected => "the caller went away",
        };
        f.write_str(text)
    }
}

/// Whether the connection of an attempt had carried an answer before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionAge {
    /// The connection was opened for this attempt.
    Fresh,
    /// The connection was kept open after an earlier request.
    Reused,
}

/// Where a call may be retried.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryRule {
    /// The call may not be retried.
    Never,
    /// On the same target over a new connection, since the old one may have stopped
    /// responding.
    FreshConnection,
    /// On a target that this call has not tried.
    OtherTarget,
}

/// What a failure is attributed to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureBlame {
    /// Nothing in particular, since the failure is no evidence about the target.
    Neutral,
    /// The connection, which is closed.
    Connection,
    /// The network path to the target.
    Path,
    /// The target.
    Target,
}
