//! The newest runs of one key and their weighted quantiles. Newer runs have more
//! weight, so an estimate follows a change within a few runs. A window of samples is
//! used rather than a decaying histogram because it needs no bounds on the values and
//! its snapshot is its contents.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Most runs in a window.
const WINDOW_RUNS: usize = 64;
/// Ratio of a run's weight to that of the next newer run; the weight halves in about 17
/// runs.
const WEIGHT_DECAY: f64 = 0.96;
/// Quantile that few runs exceed.
const HIGH_QUANTILE: f64 = 0.95;

/// One finished run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunSample {
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Peak memory in mebibytes.
    pub memory_mb: u64,
}

/// Window of the newest runs of one key.
#[derive(Clone, Debug)]
pub(super) struct RunSamples {
    /// Oldest first; between one and [`WINDOW_RUNS`].
    window: VecDeque<RunSample>,
    /// Quantiles of the window. They are updated with each run, since they are read far
    /// more often than runs finish.
    median_ms: u64,
    high_ms: u64,
    memory_high_mb: u64,
}

impl RunSamples {
    /// Creates a window with one run.
    pub(super) fn new(sample: RunSample) -> Self {
        Self {
            window: VecDeque::from([sample]),
            median_ms: sample.run_ms,
            high_ms: sample.run_ms,
            memory_high_mb: sample.memory_mb,
        }
    }

    /// Adds a run; a full window drops its oldest run.
    pub(super) fn push(&mut self, sample: RunSample) {
        if self.window.len() == WINDOW_RUNS {
            self.window.pop_front();
        }
        self.window.push_back(sample);
        let run_times = self.weighted(|sample| sample.run_ms);
        self.median_ms = quantile(&run_times, 0.5);
        self.high_ms = quantile(&run_times, HIGH_QUANTILE);
        let sizes = self.weighted(|sample| sample.memory_mb);
        self.memory_high_mb = quantile(&sizes, HIGH_QUANTILE);
    }

    /// Returns the values in ascending order, each with the weight for its age.
    fn weighted(&self, value: impl Fn(&RunSample) -> u64) -> Vec<WeightedValue> {
        let mut weight = 1.0;
        let mut values = Vec::with_capacity(self.window.len());
        for sample in self.window.iter().rev() {
            values.push(WeightedValue {
                value: value(sample),
                weight,
            });
            weight *= WEIGHT_DECAY;
        }
        values.sort_by_key(|weighted| weighted.value);
        values
    }

    /// Returns the runs in the window, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RunSample> {
        self.window.iter()
    }

    /// Returns the number of runs in the window.
    pub(super) fn count(&self) -> u32 {
        self.window.len() as u32
    }

    /// Returns the weighted median of the run times.
    pub(super) fn median(&self) -> Duration {
        Duration::from_millis(self.median_ms)
    }

    /// Returns the run time that few runs exceed.
    pub(super) fn high(&self) -> Duration {
        Duration::from_millis(self.high_ms)
    }

    /// Returns the memory in mebibytes that few runs exceed.
    pub(super) fn memory_high_mb(&self) -> u64 {
        self.memory_high_mb
    }
}

#[derive(Clone, Copy, Debug)]
struct WeightedValue {
    value: u64,
    weight: f64,
}

/// Returns the smallest value for which the values up to it have at least `share` of the
/// total weight.
fn quantile(ascending: &[WeightedValue], share: f64) -> u64 {
    let total: f64 = ascending.iter().map(|weighted| weighted.weight).sum();
    let mut below = 0.0;
    for weighted in ascending {
        below += weighted.weight;
        if below >= total * share {
            return weighted.value;
        }
    }
    ascending.last().map_or(0, |weighted| weighted.value)
}
