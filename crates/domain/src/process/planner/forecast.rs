//! Forecasts of run times. Load that this addresses: run times with a long tail on workers of
//! unequal speed, where the expected remaining time of a run depends on how long it has been
//! executing. The functions depend on their arguments only.

use crate::prelude::*;
use crate::process::planner::estimate::RunTimes;

/// Minimum expected remaining time, for a run that should have ended already.
pub const MIN_REMAINING: Duration = Duration::from_millis(500);
/// Range of the speeds that a forecast accepts, so that it stays finite.
const SPEED_RANGE: (f64, f64) = (0.05, 20.0);

/// Returns the expected duration of a run on a worker of a speed, one for average.
pub fn expected_run(times: &RunTimes, queue: &QueueName, estimate_ms: u64, speed: f64) -> Duration {
    times
        .typical_run(queue, estimate_ms)
        .div_f64(bounded(speed))
}

/// Returns the expected remaining duration of a run that has been executing for `elapsed` on a
/// worker of a speed. It is never zero. A run beyond its expected time is one of the long ones:
/// the time that those took is what is expected of it.
pub fn expected_remaining(
    times: &RunTimes,
    queue: &QueueName,
    estimate_ms: u64,
    elapsed: Duration,
    speed: f64,
) -> Duration {
    let speed = bounded(speed);
    let remaining = times.remaining(queue, estimate_ms, elapsed.mul_f64(speed));
    remaining.div_f64(speed).max(MIN_REMAINING)
}

fn bounded(speed: f64) -> f64 {
    speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
}
