//! Estimates of latency. That of a target is an exponentially weighted mean that rises
//! fast and falls slowly, so that a target that becomes slow loses traffic at once.
//! That of a service is the time within which nearly all its calls are answered.

use crate::prelude::*;

/// Weight of a sample above the peak-sensitive estimate.
const RISE_WEIGHT: f64 = 0.3;

/// Weight of a sample below the peak-sensitive estimate.
const FALL_WEIGHT: f64 = 0.1;

/// Weight of a sample in the plain mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Latency of a target as measured by this host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// Peak-sensitive estimate in microseconds; meaningless without samples.
    peak: f64,
    /// Plain mean in microseconds; meaningless without samples.
    mean: f64,
    /// Number of samples since the last reset.
    samples: u64,
}

impl LatencyEstimate {
    /// Records the time until a complete answer.
    pub fn record(&mut self, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.peak = micros;
            self.mean = micros;
            return;
        }
        let weight = if micros > self.peak {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.peak += weight * (micros - self.peak);
        let mean_weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean += mean_weight * (micros - self.mean);
    }

    /// Returns the peak-sensitive estimate in microseconds, or `None` without samples.
    pub fn peak_micros(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.peak)
    }

    /// Returns the plain mean in microseconds once `samples` samples, and at least one,
    /// have been recorded.
    pub fn mean_micros(&self, samples: u64) -> Option<f64> {
        (self.samples >= samples.max(1)).then_some(self.mean)
    }

    /// Discards all samples, when the target leaves quarantine.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Number of samples below which the pace of a service is unknown.
const MIN_PACE_SAMPLES: u64 = 20;

/// Weight of a sample in the pace of a service.
const PACE_WEIGHT: f64 = 0.05;

/// Number of mean deviations above the mean that nearly all answers stay below.
const PACE_DEVIATIONS: f64 = 8.0;

/// Minimum time after which an attempt counts as late.
const MIN_PACE: Duration = Duration::from_millis(50);

/// Mean and mean deviation of the time until a service answers, as used for the
/// retransmission timer of TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePace {
    /// Mean in microseconds.
    mean: f64,
    /// Mean deviation in microseconds.
    deviation: f64,
    samples: u64,
}

impl ServicePace {
    /// Records the time until a complete answer.
    pub fn record(&mut self, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples += 1;
        let weight = PACE_WEIGHT.max(1.0 / self.samples as f64);
        let error = micros - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }

    /// Returns the time after which an attempt is late, or `None` if there are too few
    /// samples.
    pub fn late_after(&self) -> Option<Duration> {
        let micros = PACE_DEVIATIONS.mul_add(self.deviation, self.mean);
        let pace = Duration::from_secs_f64(micros / 1e6);
        (self.samples >= MIN_PACE_SAMPLES).then_some(pace.max(MIN_PACE))
    }
}
