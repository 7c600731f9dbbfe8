//! Estimates of run time and memory per customer and job class, learned from finished
//! runs. Declared run times are far off in both directions, so the planner uses them
//! only until a run has been observed. The size of the table is bounded, and the same
//! observations give the same estimates.

mod run_samples;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub use self::run_samples::RunSample;
use self::run_samples::RunSamples;

/// Most pairs of customer and class; beyond it the least recently observed pair is
/// evicted.
pub const MAX_KEYS: usize = 4_096;
/// Factor by which a run may exceed a declared run time if no run has been observed.
const DECLARED_SPREAD: f64 = 10.0;

/// Expected run time and memory of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunEstimate {
    /// Run time that half of the runs stay below.
    pub median: Duration,
    /// Run time that few runs exceed; never below the median.
    pub high: Duration,
    /// Number of observed runs behind the estimate; zero if it is based on the declared run
    /// time.
    pub samples: u32,
    /// Memory in mebibytes that few runs exceed; `None` before the first run.
    pub memory_high_mb: Option<u64>,
}

/// Customer and class; runs with the same key are assumed to be similar.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct EstimateKey {
    customer: CustomerName,
    class: ClassName,
}

/// Samples of one key and when it was last observed.
#[derive(Clone, Debug)]
struct EstimateEntry {
    /// Value of the table's observation counter when this key was last observed.
    observed: u64,
    samples: RunSamples,
}

/// Samples of one key in a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotEntry {
    /// Customer.
    pub customer: CustomerName,
    /// Job class.
    pub class: ClassName,
    /// Its runs, oldest first.
    pub samples: Vec<RunSample>,
}

/// All samples in the form that is stored, so that they survive a restart.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EstimateSnapshot {
    /// Keys, least recently observed first.
    pub entries: Vec<SnapshotEntry>,
}

/// Table of learned run times and memory sizes.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    /// At most [`MAX_KEYS`].
    entries: BTreeMap<EstimateKey, EstimateEntry>,
    /// Number of observations so far; determines the order in which keys are evicted.
    observations: u64,
}

impl EstimateTable {
    /// Creates a table from a snapshot.
    pub fn restore(snapshot: &EstimateSnapshot) -> Self {
        let mut table = Self::default();
        for entry in &snapshot.entries {
            for sample in &entry.samples {
                table.add(&entry.customer, &entry.class, *sample);
            }
        }
        table
    }

    /// Returns a snapshot from which [`EstimateTable::restore`] creates an equal table.
    pub fn snapshot(&self) -> EstimateSnapshot {
        let mut ordered: Vec<_> = self.entries.iter().collect();
        ordered.sort_by_key(|(_, entry)| entry.observed);
        let entries = ordered.into_iter().map(|(key, entry)| SnapshotEntry {
            customer: key.customer.clone(),
            class: key.class.clone(),
            samples: entry.samples.iter().copied().collect(),
        });
        EstimateSnapshot {
            entries: entries.collect(),
        }
    }

    /// Adds a finished run. Runs that were stopped or failed say nothing about the run
    /// time and must not be added.
    pub fn observe(
        &mut self,
        customer: &CustomerName,
        class: &ClassName,
        run: Duration,
        memory_mb: u64,
    ) {
        let run_ms = u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
        self.add(customer, class, RunSample { run_ms, memory_mb });
    }

    fn add(&mut self, customer: &CustomerName, class: &ClassName, sample: RunSample) {
        self.observations += 1;
        let key = EstimateKey {
            customer: customer.clone(),
            class: class.clone(),
        };
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.observed = self.observations;
                entry.samples.push(sample);
            }
            None => self.insert(key, sample),
        }
    }

    fn insert(&mut self, key: EstimateKey, sample: RunSample) {
        if self.entries.len() >= MAX_KEYS {
            self.evict_oldest();
        }
        let entry = EstimateEntry {
            observed: self.observations,
            samples: RunSamples::new(sample),
        };
        self.entries.insert(key, entry);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.observed);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }

    /// Returns the estimate for a run whose declared run time is `declared`.
    pub fn estimate(
        &self,
        customer: &CustomerName,
        class: &ClassName,
        declared: Duration,
    ) -> RunEstimate {
        let key = EstimateKey {
            customer: customer.clone(),
            class: class.clone(),
        };
        match self.entries.get(&key) {
            Some(entry) => estimate_from_samples(&entry.samples),
            None => RunEstimate {
                median: declared,
                high: declared.mul_f64(DECLARED_SPREAD),
                samples: 0,
                memory_high_mb: None,
            },
        }
    }

    /// Returns the number of pairs of customer and class with an observed run.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no run has been observed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn estimate_from_samples(samples: &RunSamples) -> RunEstimate {
    let median = samples.median();
    let spread = sample_spread(samples.count());
    RunEstimate {
        median,
        high: samples.high().max(median.mul_f64(spread)),
        samples: samples.count(),
        memory_high_mb: Some(samples.memory_high_mb()),
    }
}

/// Returns the least factor between the median and the high estimate for a number of
/// samples. It falls from [`DECLARED_SPREAD`] towards one as samples are added.
fn sample_spread(samples: u32) -> f64 {
    1.0 + (DECLARED_SPREAD - 1.0) / f64::from(samples + 1)
}
