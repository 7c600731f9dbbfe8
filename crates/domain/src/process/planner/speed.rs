//! How fast workers are. Units of a gang have the same work, so the pace of its
//! members tells the speeds of their workers, whatever the work is. A worker that
//! falls far behind counts as slowed down for a while; its usual speed is kept.

use crate::prelude::*;

/// Least time over which a pace is taken: listings tell whole percents.
const LEAST_SPAN: Duration = Duration::from_millis(500);
/// Least weight of a new pace in the usual speed.
const LEAST_GAIN: f64 = 0.15;
/// Difference of the logarithms of a pace and the expected one that no usual speed
/// explains: half or twice as fast as it should be.
const ODD_LOG: f64 = 0.7;
/// First time for which a worker counts as slowed down after it was last seen to be.
const FIRST_SLOWED: Duration = Duration::from_secs(3);
/// Longest such time.
const LONGEST_SLOWED: Duration = Duration::from_secs(12);
/// Logarithm of the speed that one tier spans.
const TIER_LOG: f64 = 0.14;
/// Limit of the logarithm of a usual speed: four times as fast or slow as others.
const LOG_LIMIT: f64 = 1.4;

/// What is known of a worker's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    /// Logarithm of the usual speed, zero for a worker like the others.
    log: f64,
    /// Paces taken.
    paces: u32,
    /// It counts as slowed down before.
    slowed_until: MonotonicTime,
    /// How often in a row it was found slowed down.
    slowed_times: u32,
}

/// Progress of one member of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberProgress {
    /// Percent of the newest listing that a pace was taken from.
    mark: Option<ProgressMark>,
    /// Percent at the newest listing.
    pub percent: u32,
    /// When the percent last rose; nothing while it is zero.
    pub risen_at: Option<MonotonicTime>,
    /// When it was last listed.
    pub listed_at: Option<MonotonicTime>,
    /// Percent a second, once it can be told.
    pub pace: Option<f64>,
}

/// A listed percent, and the worker's time of the listing: this host may be late to
/// take it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ProgressMark {
    percent: u32,
    clock: WorkerClock,
}

/// A new pace of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceChange {
    /// Percent a second.
    pub pace: f64,
    /// The pace before, if there was one.
    pub before: Option<f64>,
}

impl MemberProgress {
    /// Begins with nothing done: the first listing then tells a pace.
    pub const fn begin(&mut self, clock: WorkerClock) {
        self.mark = Some(ProgressMark { percent: 0, clock });
    }

    /// Takes a percent, listed at the worker's time `clock`; the new pace, if one can
    /// be told.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        clock: WorkerClock,
        percent: u32,
    ) -> Option<PaceChange> {
        if percent > self.percent {
            self.risen_at = Some(now);
        }
        self.listed_at = Some(now);
        self.percent = percent;
        let Some(mark) = self.mark else {
            self.mark = Some(ProgressMark { percent, clock });
            return None;
        };
        let span = Duration::from_millis(clock.0.saturating_sub(mark.clock.0));
        // A member that has done all its work waits for the others.
        if span < LEAST_SPAN || percent >= 100 {
            return None;
        }
        let rise = percent.saturating_sub(mark.percent);
        let pace = f64::from(rise) / span.as_secs_f64();
        let before = self.pace.replace(pace);
        self.mark = Some(ProgressMark { percent, clock });
        Some(PaceChange { pace, before })
    }

    /// Percent a second: the newest pace, or what was done since the start while none
    /// could be told.
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
    /// Whether the pace fell to less than half.
    pub fn is_fall(&self) -> bool {
        self.before
            .is_some_and(|before| log_ratio(self.pace, before) < -ODD_LOG)
    }

    /// Whether the pace rose to more than twice.
    pub fn is_rise(&self) -> bool {
        self.before
            .is_some_and(|before| log_ratio(self.pace, before) > ODD_LOG)
    }
}

fn log_ratio(pace: f64, other: f64) -> f64 {
    (pace.max(0.01) / other.max(0.01)).ln()
}

impl WorkerSpeed {
    /// Usual speed; one for a worker like the others.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Whether it is far slower than usual at present.
    pub fn is_slowed(&self, now: MonotonicTime) -> bool {
        now < self.slowed_until
    }

    /// Step of the usual speed; zero for a worker like the others, higher for faster.
    pub fn tier(&self) -> i32 {
        (self.log / TIER_LOG).round() as i32
    }

    /// Logarithm of the usual speed.
    pub const fn log_factor(&self) -> f64 {
        self.log
    }

    /// Counts the worker as slowed down, longer each time in a row.
    pub fn mark_slowed(&mut self, now: MonotonicTime) {
        if !self.is_slowed(now) {
            self.slowed_times += 1;
        }
        let factor = 2_u32.saturating_pow(self.slowed_times.saturating_sub(1).min(8));
        let time = FIRST_SLOWED.saturating_mul(factor).min(LONGEST_SLOWED);
        self.slowed_until = self.slowed_until.max(now + time);
    }

    /// The worker is as fast as usual again.
    pub const fn mark_recovered(&mut self, now: MonotonicTime) {
        self.slowed_until = now;
    }

    /// Takes how the worker's pace stands to that of sound workers with the same work;
    /// whether the worker is slowed down.
    pub fn observe_ratio(&mut self, now: MonotonicTime, ratio: f64) -> bool {
        let log = ratio.max(0.001).ln();
        if log - self.log < -ODD_LOG {
            self.mark_slowed(now);
            return true;
        }
        // Far faster than the others: they are slowed down, and teach nothing.
        if log - self.log > ODD_LOG {
            return false;
        }
        let gain = LEAST_GAIN.max(1.0 / (f64::from(self.paces) + 1.5));
        self.log = (self.log + gain * (log - self.log)).clamp(-LOG_LIMIT, LOG_LIMIT);
        self.paces += 1;
        self.slowed_times = 0;
        false
    }
}
