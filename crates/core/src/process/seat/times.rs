//! Durations of the seat protocol.

use crate::prelude::*;

/// Durations that every host of a zone must agree on. They are deployment
/// settings, not configuration: a change needs a stop of all hosts of the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeatTimes {
    /// How long one log read or one promise carries the holder, counted from the
    /// moment the request was sent. Less than `w`.
    pub t: Duration,
    /// Longest time that promises carry a holder without a log read. Longer than
    /// the longest partition that planning is to survive.
    pub w: Duration,
    /// Bound on how far two monotonic clocks diverge over `w`.
    pub drift: Duration,
}

impl SeatTimes {
    /// Wait of a claimant that knows that the promises to the former holder ended.
    pub fn short_wait(self) -> Duration {
        self.t + self.drift
    }

    /// Wait of a claimant that knows nothing about promises to the former holder.
    pub fn long_wait(self) -> Duration {
        self.w + self.drift
    }

    /// Interval between two promise requests to the same member.
    pub fn promise_interval(self) -> Duration {
        self.t / 4
    }
}

impl Default for SeatTimes {
    fn default() -> Self {
        Self {
            t: Duration::from_secs(4),
            w: Duration::from_mins(90),
            drift: Duration::from_secs(1),
        }
    }
}
