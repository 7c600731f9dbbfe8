//! The adaptive concurrency limit of one target. It starts at the declared slots,
//! falls by a factor when the target refuses, or slows down by itself, and rises by
//! one after each limit's worth of answers. When all targets slow down together,
//! this host or the network is slow, and fewer calls at once would only add to it.

use crate::prelude::*;

/// Factor on a refusal or slowdown.
const DECREASE: f64 = 0.75;

/// Least time between two decreases: one slowdown is seen by many calls.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);

/// Slowdown against the best recent mean that counts as congestion.
const CONGESTION_FACTOR: f64 = 3.0;

/// Slowdown against the other targets of the zone that counts as the target's own.
const STANDOUT_FACTOR: f64 = 2.0;

/// Share by which the remembered best mean rises with every answer, so that a
/// lasting change of the workload is not taken for congestion for ever.
const BASELINE_DRIFT: f64 = 0.001;

/// Calls that one target may be given at once by this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    /// Current limit, between one and `ceiling`.
    limit: f64,
    /// Slots of the target, at least one.
    ceiling: f64,
    /// Lowest recent mean latency in microseconds.
    baseline: Option<f64>,
    decreased_at: Option<MonotonicTime>,
}

impl ConcurrencyLimit {
    /// The limit of a target with that many slots.
    pub fn new(slots: u32) -> Self {
        let ceiling = f64::from(slots.max(1));
        Self {
            limit: ceiling,
            ceiling,
            baseline: None,
            decreased_at: None,
        }
    }

    /// Most calls at once, at least one.
    pub const fn allowed(&self) -> u32 {
        self.limit as u32
    }

    /// Takes in an answer, with the target's mean latency after it and the median of
    /// the other targets of its zone.
    pub fn record_answer(&mut self, mean_micros: f64, others: Option<f64>, now: MonotonicTime) {
        let baseline = match self.baseline {
            Some(best) => (best * (1.0 + BASELINE_DRIFT)).min(mean_micros),
            None => mean_micros,
        };
        self.baseline = Some(baseline);
        let stands_out = others.is_some_and(|median| mean_micros > median * STANDOUT_FACTOR);
        if stands_out && mean_micros > baseline * CONGESTION_FACTOR {
            self.decrease(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Takes in a refusal for lack of capacity.
    pub fn record_full(&mut self, now: MonotonicTime) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: MonotonicTime) {
        let is_recent = self
            .decreased_at
            .is_some_and(|at| now.since(at) < DECREASE_PAUSE);
        if is_recent {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
