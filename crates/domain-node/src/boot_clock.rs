//! The clock by which a host of a planning domain decides. It counts the time for which the
//! machine is suspended, unlike the clock of the runtime: a planner has to know how long ago
//! the log confirmed its epoch, since its successor counts that time too.

use flamingowalk_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the boot of the machine, suspensions included.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Time from the boot to the origin of the clock; fixed for the process.
    origin: Duration,
}

impl BootClock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: Self::uptime(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(0) + Self::uptime().saturating_sub(self.origin)
    }

    /// Returns the time since the boot of the machine.
    pub fn uptime() -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}
