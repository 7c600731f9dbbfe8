//! The adaptive concurrency limit of one target: additive increase, multiplicative
//! decrease. The limit starts at the declared slots. It falls by a factor when the
//! target refuses a call, or slows down while the other targets of its zone do not, and
//! rises by one for every `limit` answers. When all targets slow down together, the cause
//! is this host or the network, and a lower limit would only delay calls further.

use crate::prelude::*;

/// Factor on the limit after a refusal or slowdown.
const DECREASE_FACTOR: f64 = 0.75;

/// Minimum time between two decreases, since one slowdown affects many calls.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Mean latency relative to the lowest recent mean above which a target counts as
/// congested.
const CONGESTION_FACTOR: f64 = 3.0;

/// Mean latency relative to the median of the zone's other targets above which the
/// slowdown is attributed to the target.
const OUTLIER_FACTOR: f64 = 2.0;

/// Share by which the lowest recent mean rises with every answer, so that a lasting
/// change of the workload does not count as congestion forever.
const BASELINE_GROWTH: f64 = 0.001;

/// Limit on the calls that this host has in flight at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    /// Current limit, between one and `ceiling`.
    limit: f64,
    /// Upper bound of the limit: the slots of the target, at least one.
    ceiling: f64,
    /// Lowest recent mean latency in microseconds.
    baseline: Option<f64>,
    decreased_at: Option<MonotonicTime>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target with `slots` slots.
    pub fn new(slots: u32) -> Self {
        let ceiling = f64::from(slots.max(1));
        Self {
            limit: ceiling,
            ceiling,
            baseline: None,
            decreased_at: None,
        }
    }

    /// Returns the maximum number of concurrent calls, at least one.
    pub const fn allowed(&self) -> u32 {
        self.limit as u32
    }

    /// Records an answer, with the target's mean latency after it and the median of the
    /// means of the other targets of its zone.
    pub fn record_answer(&mut self, mean_micros: f64, others: Option<f64>, now: MonotonicTime) {
        let baseline = match self.baseline {
            Some(previous) => (previous * (1.0 + BASELINE_GROWTH)).min(mean_micros),
            None => mean_micros,
        };
        self.baseline = Some(baseline);
        let is_outlier = others.is_some_and(|median| mean_micros > median * OUTLIER_FACTOR);
        if is_outlier && mean_micros > baseline * CONGESTION_FACTOR {
            self.decrease(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Records a refusal for lack of capacity.
    pub fn record_full(&mut self, now: MonotonicTime) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: MonotonicTime) {
        let is_recent = self
            .decreased_at
            .is_some_and(|at| now.since(at) < MIN_DECREASE_INTERVAL);
        if is_recent {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
