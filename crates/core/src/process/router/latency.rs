//! Learned latency: of one target, as an exponentially weighted mean that rises
//! fast and falls slowly, so that a target that turns slow loses traffic at once;
//! and of one service, as the time by which nearly all its answers are there.

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

/// Samples needed before a service's pace counts.
const PACE_SAMPLES: u64 = 20;

/// Weight of a sample in a service's pace.
const PACE_WEIGHT: f64 = 0.05;

/// Mean deviations above the mean that nearly all answers stay below.
const PACE_DEVIATIONS: f64 = 8.0;

/// Least time after which an answer counts as late.
const LEAST_PACE: Duration = Duration::from_millis(50);

/// Mean and mean deviation of a service's answers, as in TCP's retransmission
/// timer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePace {
    /// Mean in microseconds.
    mean: f64,
    /// Mean deviation in microseconds.
    deviation: f64,
    samples: u64,
}

impl ServicePace {
    /// Takes in the time of a whole answer.
    pub fn record(&mut self, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples += 1;
        let weight = PACE_WEIGHT.max(1.0 / self.samples as f64);
        let error = micros - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }

    /// Time after which an answer is late; nothing while too little is known.
    pub fn late_after(&self) -> Option<Duration> {
        let micros = PACE_DEVIATIONS.mul_add(self.deviation, self.mean);
        let pace = Duration::from_secs_f64(micros / 1e6);
        (self.samples >= PACE_SAMPLES).then_some(pace.max(LEAST_PACE))
    }
}
