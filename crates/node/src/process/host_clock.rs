//! The clocks of an entry host. The monotonic clock follows that of the runtime, so
//! tests with a paused clock control every lease and timeout. It does not count the time
//! for which the machine is suspended.

use std::time::{SystemTime, UNIX_EPOCH};

use flamingowalk_core::prelude::*;
use tokio::time::Instant;

/// Reads the monotonic and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    /// Origin of the monotonic clock; fixed for the process.
    origin: Instant,
}

impl HostClock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the monotonic time since the origin.
    pub fn now(&self) -> MonotonicTime {
        let micros = self.origin.elapsed().as_micros();
        MonotonicTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the Unix time, or zero if the clock of the host is before 1970.
    pub fn wall_time() -> WallTime {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
