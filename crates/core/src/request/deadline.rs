//! The deadline of a call. Callers and targets give and get relative times, so
//! that clocks of different hosts are never compared.

use crate::prelude::*;

/// Largest part of the remaining time that a call may wait for admission.
const QUEUE_SHARE: u32 = 4;

/// When a call ends, on the clock of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallDeadline {
    /// Arrival of the request's headers.
    pub received_at: MonotonicTime,
    /// Time after which no answer is passed on; not before `received_at`.
    pub expires_at: MonotonicTime,
}

impl CallDeadline {
    /// The deadline of a call received at `now` that may take `allowed`.
    pub fn new(now: MonotonicTime, allowed: Duration) -> Self {
        Self {
            received_at: now,
            expires_at: now + allowed,
        }
    }

    /// Time left; zero once expired.
    pub const fn left(&self, now: MonotonicTime) -> Duration {
        self.expires_at.since(now)
    }

    /// Whether no time is left.
    pub const fn is_expired(&self, now: MonotonicTime) -> bool {
        self.left(now).is_zero()
    }

    /// Latest time at which a call waiting for admission is refused. It keeps most
    /// of the remaining time for the run itself.
    pub fn queue_until(&self, now: MonotonicTime) -> MonotonicTime {
        now + self.left(now) / QUEUE_SHARE
    }

    /// Whole milliseconds left, rounded down, to be sent to the target. Nothing
    /// when less than one is left: such a call is not worth sending.
    pub fn header_millis(&self, now: MonotonicTime) -> Option<u64> {
        let millis = u64::try_from(self.left(now).as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(millis)
    }

    /// Time after which an attempt at a call that may be repeated is late: half of
    /// the remaining time is kept for the repetition. `pace` is the time by which
    /// nearly all answers of the service are there.
    pub fn late_after(&self, now: MonotonicTime, pace: Option<Duration>) -> Duration {
        let half = self.left(now) / 2;
        pace.map_or(half, |pace| pace.min(half))
    }
}
