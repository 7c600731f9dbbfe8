//! The outcome of one attempt to carry a call out, as a table of the point of
//! failure and whether the call is idempotent. `NotRun` stands only where it is
//! proved; everything that may have reached the target is `OutcomeUnknown`.

use std::fmt::{self, Display, Formatter};

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RepeatSafety {
    /// The call may run again.
    Idempotent,
    /// The call runs at most once.
    NonIdempotent,
}

/// How a call or one attempt of it ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The whole answer to this request is there.
    Answer,
    /// The target says that the call ran and failed.
    Failed,
    /// Proved: the call never started.
    NotRun,
    /// The call may or may not have run.
    OutcomeUnknown,
}

/// Where an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailurePoint {
    /// No target or connection was available.
    BeforeConnect,
    /// The connection could not be made.
    DuringConnect,
    /// The connection ended before any byte of the request was written.
    NothingWritten,
    /// The connection ended with a part of the request written.
    PartiallyWritten,
    /// The connection ended with the request written and no byte of an answer.
    NoAnswer,
    /// The connection ended after the answer's headers, before its body.
    HeadersOnly,
    /// The connection ended within the answer's body.
    TruncatedBody,
    /// The answer carries the identifier of another request, or none.
    WrongId,
    /// The answer is larger than the service allows, or of undeclared length.
    AnswerTooLarge,
    /// No whole answer came within the time for this attempt.
    LateAnswer,
    /// No whole answer came within the caller's deadline.
    AfterDeadline,
    /// The target refused: no free capacity.
    TargetFull,
    /// The target refused: it takes no new work.
    TargetDraining,
    /// The target refused for another stated reason.
    TargetRefused,
    /// The target says that the call ran and failed.
    RanAndFailed,
    /// An error status without proof of what happened.
    UnconfirmedError,
    /// The caller went away while the request was with the target.
    CallerDisconnected,
}

impl FailurePoint {
    /// Every point of failure, in the order of a request's life.
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

    /// What an attempt that failed here says about the call.
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

    /// Whether the call may be sent again after failing here, and where to.
    pub const fn repeat(self, safety: RepeatSafety, connection: ConnectionAge) -> RepeatRule {
        if matches!(self, Self::AfterDeadline | Self::CallerDisconnected) {
            return RepeatRule::Never;
        }
        let proved = matches!(self.outcome(), CallOutcome::NotRun);
        if !proved && matches!(safety, RepeatSafety::NonIdempotent) {
            return RepeatRule::Never;
        }
        if self.is_connection_doubtful() && matches!(connection, ConnectionAge::Reused) {
            return RepeatRule::FreshConnection;
        }
        RepeatRule::OtherTarget
    }

    /// What to hold responsible for a failure here.
    pub const fn blame(self, connection: ConnectionAge) -> FailureBlame {
        match self {
            Self::BeforeConnect
            | Self::AfterDeadline
            | Self::CallerDisconnected
            | Self::TargetFull
            | Self::TargetDraining
            | Self::TargetRefused
            | Self::AnswerTooLarge => FailureBlame::Nobody,
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

    /// Whether a connection that went silent or was closed explains the failure.
    const fn is_connection_doubtful(self) -> bool {
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
    /// Opened for this attempt.
    Fresh,
    /// Kept from an earlier request.
    Reused,
}

/// Where a call may be sent again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RepeatRule {
    /// Nowhere.
    Never,
    /// To the same target over a new connection: the old one may have gone silent.
    FreshConnection,
    /// To a target that this call has not tried.
    OtherTarget,
}

/// What a failure is counted against.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureBlame {
    /// Nothing: the failure says nothing about the target.
    Nobody,
    /// The connection, which is dropped.
    Connection,
    /// The network path to the target.
    Path,
    /// The target.
    Target,
}
