//! The clocks of an entry host. The monotonic clock follows the runtime's, so
//! tests with a paused clock control every lease and timeout.

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
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Monotonic time since the origin.
    pub fn now(&self) -> MonotonicTime {
        let micros = self.origin.elapsed().as_micros();
        MonotonicTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Unix time; zero if the host's clock is before 1970.
    pub fn wall() -> WallTime {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
