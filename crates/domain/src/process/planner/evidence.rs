//! Evidence on which the planner frees the capacity of a run. Evidence that turns out wrong
//! lets a unit run twice or fills a worker beyond its capacity, so each release is counted
//! by its evidence.

/// Counter of released runs, by `evidence`.
pub const RUNS_RELEASED: &str = "flamingowalk_domain_runs_released_total";

/// Why a run certainly no longer occupies its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseEvidence {
    /// Its start was never sent.
    Unsent,
    /// The worker listed its end.
    Ended,
    /// Its stop was answered, and a later listing does not contain it.
    Stopped,
    /// It was running, and a later listing contains neither the run nor its end.
    Vanished,
    /// The worker refused to start it.
    Refused,
    /// The order to start it did not leave this host.
    Unreachable,
    /// No lease that any planner granted to the worker is left.
    LeaseExpired,
    /// The worker has left.
    Departed,
    /// The worker has another incarnation.
    IncarnationChanged,
}

impl ReleaseEvidence {
    /// Returns the name that log lines and the counter show.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Ended => "ended",
            Self::Stopped => "stopped",
            Self::Vanished => "vanished",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::LeaseExpired => "lease-expired",
            Self::Departed => "departed",
            Self::IncarnationChanged => "incarnation-changed",
        }
    }

    /// Whether the evidence is that a listing does not contain the run: a start that was not
    /// answered may still be carried out.
    pub const fn is_by_absence(self) -> bool {
        matches!(self, Self::Stopped | Self::Vanished)
    }

    /// Whether the planner inferred that the run is over, and no answer about the run itself
    /// says so.
    pub const fn is_inferred(self) -> bool {
        matches!(
            self,
            Self::Vanished | Self::LeaseExpired | Self::Departed | Self::IncarnationChanged
        )
    }
}
