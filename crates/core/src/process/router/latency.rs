//! The learned latency of one target: an exponentially weighted mean that rises
//! fast and falls slowly, so that a target that turns slow loses traffic at once.

use crate::prelude::*;

/// Weight of a sample above the estimate.
const RISE: f64 = 0.3;

/// Weight of a sample below the estimate.
const FALL: f64 = 0.1;

/// Weight of a sample in the plain mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Latency of a target as seen by this host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// Peak-sensitive estimate in microseconds; meaningless without samples.
    peak: f64,
    /// Plain mean in microseconds; meaningless without samples.
    mean: f64,
    /// Samples taken in since the last reset.
    samples: u64,
}

impl LatencyEstimate {
    /// Takes in the time of a whole answer.
    pub fn record(&mut self, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.peak = micros;
            self.mean = micros;
            return;
        }
        let weight = if micros > self.peak { RISE } else { FALL };
        self.peak += weight * (micros - self.peak);
        let mean_weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean += mean_weight * (micros - self.mean);
    }

    /// Peak-sensitive estimate in microseconds.
    pub fn peak_micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.peak)
    }

    /// Plain mean in microseconds, once `samples` have been taken in.
    pub fn mean_micros(&self, samples: u64) -> Option<f64> {
        (self.samples >= samples.max(1)).then_some(self.mean)
    }

    /// Forgets everything: the target restarted, or returns from quarantine.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
