//! How fast workers are. Units of a gang have the same work, so the pace of its
//! members tells the speeds of their workers, whatever the work is. A worker that
//! falls far behind counts as slowed down for a while; its usual speed is kept.

use crate::prelude::*;

/// Least time over which a pace is taken: listings tell whole percents.
const LEAST_SPAN: Duration = Duration::from_millis(700);
/// Least weight of a new pace in the usual speed.
const LEAST_GAIN: f64 = 0.15;
/// Logarithm of the pace, over the expected one, below which a worker is slowed down:
/// less than half as fast as it should be.
const SLOWED_LOG: f64 = -0.7;
/// Time for which a worker counts as slowed down after it was last seen to be.
const SLOWED_TIME: Duration = Duration::from_secs(3);
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
}

/// Progress of one member of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberProgress {
    /// Percent of the newest listing that a pace was taken from, and when it came.
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

/// A listed percent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ProgressMark {
    percent: u32,
    at: MonotonicTime,
}

impl MemberProgress {
    /// Takes a listed percent; whether a new pace is known.
    pub fn note(&mut self, now: MonotonicTime, percent: u32) -> bool {
        if percent > self.percent {
            self.risen_at = Some(now);
        }
        self.listed_at = Some(now);
        self.percent = percent;
        let Some(mark) = self.mark else {
            self.mark = Some(ProgressMark { percent, at: now });
            return false;
        };
        let span = now.since(mark.at);
        // A member that has done all its work waits for the others.
        if span < LEAST_SPAN || percent >= 100 {
            return false;
        }
        let rise = percent.saturating_sub(mark.percent);
        self.pace = Some(f64::from(rise) / span.as_secs_f64());
        self.mark = Some(ProgressMark { percent, at: now });
        true
    }
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
    pub const fn log(&self) -> f64 {
        self.log
    }

    /// Takes how the worker's pace stands to that of sound workers with the same work;
    /// whether the worker counts as slowed down.
    pub fn note_ratio(&mut self, now: MonotonicTime, ratio: f64) -> bool {
        let log = ratio.max(0.001).ln();
        if log - self.log < SLOWED_LOG {
            self.slowed_until = now + SLOWED_TIME;
            return true;
        }
        let gain = LEAST_GAIN.max(1.0 / (f64::from(self.paces) + 1.5));
        self.log = (self.log + gain * (log - self.log)).clamp(-LOG_LIMIT, LOG_LIMIT);
        self.paces += 1;
        false
    }
}
