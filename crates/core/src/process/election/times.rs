//! Durations of the leader election protocol.

use crate::prelude::*;

/// Durations that every host of a zone must agree on. They are deployment settings
/// rather than configuration: a change requires all hosts of the zone to be stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ElectionTimes {
    /// How long one log read or one grant keeps the leader lease valid, counted from the
    /// moment the request was sent. Less than `max_log_outage`.
    pub lease_duration: Duration,
    /// Longest time that grants keep the leader lease valid without a log read. Longer
    /// than the longest partition that planning is to survive.
    pub max_log_outage: Duration,
    /// Bound on how far two monotonic clocks diverge over `max_log_outage`.
    pub max_clock_drift: Duration,
}

impl ElectionTimes {
    /// Returns how long a candidate waits if it knows when the previous holder lost a
    /// grant that it needs.
    pub fn grant_expiry_wait(self) -> Duration {
        self.lease_duration + self.max_clock_drift
    }

    /// Returns how long a candidate waits if it knows nothing about the grants to the
    /// previous holder.
    pub fn lease_expiry_wait(self) -> Duration {
        self.max_log_outage + self.max_clock_drift
    }

    /// Returns the interval between two requests to the same voter.
    pub fn grant_interval(self) -> Duration {
        self.lease_duration / 4
    }
}

impl Default for ElectionTimes {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(4),
            max_log_outage: Duration::from_mins(90),
            max_clock_drift: Duration::from_secs(1),
        }
    }
}
