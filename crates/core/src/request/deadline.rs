//! The deadline of a call. Callers send, and targets receive, relative times, so that
//! clocks of different hosts are never compared.

use crate::prelude::*;

/// A call waits for admission, or for a target with free capacity, for at most the
/// remaining time divided by this.
const QUEUE_WAIT_DIVISOR: u32 = 4;

/// Deadline of a call on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallDeadline {
    /// When the headers of the request arrived.
    pub received_at: MonotonicTime,
    /// When the deadline expires: no later answer is passed on. Not before
    /// `received_at`.
    pub expires_at: MonotonicTime,
}

impl CallDeadline {
    /// Creates the deadline of a call received at `now` with the time limit `allowed`.
    pub fn new(now: MonotonicTime, allowed: Duration) -> Self {
        Self {
            received_at: now,
            expires_at: now + allowed,
        }
    }

    /// Returns the remaining time, or zero once the deadline has expired.
    pub const fn left(&self, now: MonotonicTime) -> Duration {
        self.expires_at.since(now)
    }

    /// Returns whether the deadline has expired.
    pub const fn is_expired(&self, now: MonotonicTime) -> bool {
        self.left(now).is_zero()
    }

    /// Returns the time at which a call that still waits for admission or a target is
    /// refused. Most of the remaining time is left for the execution itself.
    pub fn queue_until(&self, now: MonotonicTime) -> MonotonicTime {
        now + self.left(now) / QUEUE_WAIT_DIVISOR
    }

    /// Returns the remaining time to send to the target, in whole milliseconds rounded
    /// down. `None` if less than one is left: such a call is not worth sending.
    pub fn header_millis(&self, now: MonotonicTime) -> Option<u64> {
        let millis = u64::try_from(self.left(now).as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(millis)
    }

    /// Returns the time after which an attempt at a call that may be retried counts as
    /// late: at most half of the remaining time, so that the other half is left for the
    /// retry. `pace` is the time within which nearly all calls of the service are
    /// answered.
    pub fn late_after(&self, now: MonotonicTime, pace: Option<Duration>) -> Duration {
        let half = self.left(now) / 2;
        pace.map_or(half, |pace| pace.min(half))
    }
}
