//! Durations of the seat protocol.

use crate::prelude::*;

/// Durations that every host of a zone must agree on. They are deployment
/// settings, not configuration: a change needs a stop of all hosts of the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ElectionTimes {
    /// How long one log read or one promise carries the holder, counted from the
    /// moment the request was sent. Less than `max_log_outage`.
    pub lease_duration: Duration,
    /// Longest time that promises carry a holder without a log read. Longer than
    /// the longest partition that planning is to survive.
    pub max_log_outage: Duration,
    /// Bound on how far two monotonic clocks diverge over `max_log_outage`.
    pub drift: Duration,
}

impl ElectionTimes {
    /// Wait of a claimant that knows that the promises to the former holder ended.
    pub fn grant_expiry_wait(self) -> Duration {
        self.lease_duration + self.drift
    }

    /// Wait of a claimant that knows nothing about promises to the former holder.
    pub fn lease_expiry_wait(self) -> Duration {
        self.max_log_outage + self.drift
    }

    /// Interval between two promise requests to the same member.
    pub fn grant_interval(self) -> Duration {
        self.lease_duration / 4
    }
}

impl Default for ElectionTimes {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(4),
            max_log_outage: Duration::from_mins(90),
            drift: Duration::from_secs(1),
        }
    }
}
