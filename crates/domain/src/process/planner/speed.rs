//! Speeds of the workers. The units of a gang have the same work, so the paces of its
//! members give the relative speeds of their workers, whatever the work is. A worker
//! whose pace falls far below its usual speed counts as slowed down for a while; this
//! does not change its usual speed.

use crate::prelude::*;

/// Minimum time over which a pace is measured, since listings give whole percents.
const MIN_SPAN: Duration = Duration::from_millis(500);
/// Minimum weight of a new sample in the usual speed.
const MIN_GAIN: f64 = 0.15;
/// Logarithm of the ratio of a pace to the expected one beyond which it is an outlier
/// that does not count for the usual speed: about half or twice as fast.
const OUTLIER_LOG: f64 = 0.7;
/// Initial time for which a worker counts as slowed down after its last slow pace.
const INITIAL_SLOWDOWN: Duration = Duration::from_secs(3);
/// Limit of this time, which doubles with each consecutive slowdown.
const MAX_SLOWDOWN: Duration = Duration::from_secs(12);
/// Width of a speed tier in the logarithm of the speed.
const TIER_LOG: f64 = 0.14;
/// Limit of the logarithm of a usual speed: about four times as fast or slow as others.
const MAX_LOG_SPEED: f64 = 1.4;

/// Usual speed and slowdowns of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    /// Logarithm of the usual speed relative to other workers, zero for average.
    log_speed: f64,
    /// Number of samples in the usual speed.
    samples: u32,
    /// The worker counts as slowed down until this time.
    slowed_until: MonotonicTime,
    /// Slowdowns since the last sample of the usual speed.
    consecutive_slowdowns: u32,
}

/// Progress of one member of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberProgress {
    /// Newest listing that the pace is measured from.
    last_sample: Option<ProgressSample>,
    /// Percentage at the newest listing.
    pub percent: u32,
    /// When the percentage last rose; `None` while it is zero.
    pub advanced_at: Option<MonotonicTime>,
    /// When the member was last listed.
    pub listed_at: Option<MonotonicTime>,
    /// Newest pace in percent per second, once it can be measured.
    pub pace: Option<f64>,
    /// Whether the run was a sample for the speed of its worker; each run is one only once.
    pub is_sampled: bool,
    /// Whether this sample was far slower than expected from its start on, while nothing else
    /// on the worker was: the run is long.
    pub is_long: bool,
}

/// A listed percentage with the time of the listing by the worker's clock, since this
/// host may handle the listing late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ProgressSample {
    percent: u32,
    clock: WorkerClock,
}

/// A new pace of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceChange {
    /// Pace in percent per second.
    pub pace: f64,
    /// Previous pace, if there was one.
    pub previous: Option<f64>,
    /// Percent over which it was measured.
    pub rise: u32,
    /// Time over which it was measured.
    pub span: Duration,
}

impl MemberProgress {
    /// Starts measuring from zero percent, so that the first listing gives a pace.
    pub const fn start_from_zero(&mut self, clock: WorkerClock) {
        self.last_sample = Some(ProgressSample { percent: 0, clock });
    }

    /// Records a percentage listed at `clock` by the worker's clock. Returns the new pace
    /// if one can be measured.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        clock: WorkerClock,
        percent: u32,
    ) -> Option<PaceChange> {
        if percent > self.percent {
            self.advanced_at = Some(now);
        }
        self.listed_at = Some(now);
        self.percent = percent;
        let Some(last_sample) = self.last_sample else {
            self.last_sample = Some(ProgressSample { percent, clock });
            return None;
        };
        let span = Duration::from_millis(clock.0.saturating_sub(last_sample.clock.0));
        // A member at 100 percent waits for the others and has no pace.
        if span < MIN_SPAN || percent >= 100 {
            return None;
        }
        let rise = percent.saturating_sub(last_sample.percent);
        let pace = f64::from(rise) / span.as_secs_f64();
        let previous = self.pace.replace(pace);
        self.last_sample = Some(ProgressSample { percent, clock });
        Some(PaceChange {
            pace,
            previous,
            rise,
            span,
        })
    }

    /// Returns the newest pace in percent per second, or the mean pace since the start if
    /// none was measured yet.
    pub fn pace_since(&self, started_at: MonotonicTime) -> f64 {
        self.pace.unwrap_or_else(|| {
            let span = self.listed_at.map(|at| at.since(started_at));
            let seconds = span.unwrap_or_default().as_secs_f64();
            if seconds > 0.0 {
                f64::from(self.percent) / seconds
            } else {
                0.0
            }
        })
    }
}

impl PaceChange {
    /// Whether the pace fell below about half of the previous one.
    pub fn is_fall(&self) -> bool {
        self.previous
            .is_some_and(|previous| log_ratio(self.pace, previous) < -OUTLIER_LOG)
    }

    /// Whether the pace certainly fell below half of the previous one, as far as whole
    /// percents show: a long run rises by one or two percent between listings.
    pub fn is_certain_fall(&self) -> bool {
        self.previous.is_some_and(|previous| {
            let expected = previous * self.span.as_secs_f64();
            f64::from(self.rise) + 1.0 < expected / 2.0
        })
    }

    /// Whether the pace rose above about twice the previous one.
    pub fn is_rise(&self) -> bool {
        self.previous
            .is_some_and(|previous| log_ratio(self.pace, previous) > OUTLIER_LOG)
    }
}

fn log_ratio(pace: f64, other: f64) -> f64 {
    (pace.max(0.01) / other.max(0.01)).ln()
}

impl WorkerSpeed {
    /// Returns the usual speed relative to other workers, one for average.
    pub fn factor(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Whether the worker counts as far slower than usual now.
    pub fn is_slowed(&self, now: MonotonicTime) -> bool {
        now < self.slowed_until
    }

    /// Returns the tier of the usual speed, zero for average and higher for faster.
    pub fn tier(&self) -> i32 {
        (self.log_speed / TIER_LOG).round() as i32
    }

    /// Returns the logarithm of the usual speed.
    pub const fn log_factor(&self) -> f64 {
        self.log_speed
    }

    /// Marks the worker as slowed down, for twice as long with each consecutive slowdown.
    pub fn mark_slowed(&mut self, now: MonotonicTime) {
        if !self.is_slowed(now) {
            self.consecutive_slowdowns += 1;
        }
        let factor = 2_u32.saturating_pow(self.consecutive_slowdowns.saturating_sub(1).min(8));
        let duration = INITIAL_SLOWDOWN.saturating_mul(factor).min(MAX_SLOWDOWN);
        self.slowed_until = self.slowed_until.max(now + duration);
    }

    /// Ends the slowdown of the worker.
    pub const fn mark_recovered(&mut self, now: MonotonicTime) {
        self.slowed_until = now;
    }

    /// Records the ratio of the worker's pace to that of a worker of average speed with
    /// the same work. Returns whether the worker is slowed down.
    pub fn observe_ratio(&mut self, now: MonotonicTime, ratio: f64) -> bool {
        let observed_log = ratio.max(0.001).ln();
        if observed_log - self.log_speed < -OUTLIER_LOG {
            self.mark_slowed(now);
            return true;
        }
        // Far faster than the others: they are slowed down, so the ratio is no sample.
        if observed_log - self.log_speed > OUTLIER_LOG {
            return false;
        }
        let gain = MIN_GAIN.max(1.0 / (f64::from(self.samples) + 1.5));
        self.log_speed = (self.log_speed + gain * (observed_log - self.log_speed))
            .clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        self.samples += 1;
        self.consecutive_slowdowns = 0;
        false
    }
}
