//! Learned run times and sizes per customer and job class. Declared values are
//! far off in both directions, so the planner uses them only until runs have been
//! observed. Memory is bounded, and the same observations give the same estimates.

mod run_samples;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

pub use self::run_samples::RunSample;
use self::run_samples::RunSamples;

/// Pairs of customer and class that are kept; beyond it the one observed least
/// recently is forgotten.
pub const MAX_KEYS: usize = 4_096;
/// Factor by which a run may exceed a declared value that no run has confirmed.
const DECLARED_SPREAD: f64 = 10.0;

/// What is expected of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunEstimate {
    /// Run time that half of the runs stay below.
    pub median: Duration,
    /// Run time that few runs exceed; never below the median.
    pub high: Duration,
    /// Observed runs behind the estimate; zero if it is the declared value.
    pub samples: u32,
    /// Memory in mebibytes that few runs exceed; nothing before the first run.
    pub memory_high_mb: Option<u64>,
}

/// Customer and class whose runs are alike.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct EstimateKey {
    customer: CustomerName,
    class: ClassName,
}

/// Samples of one key with their place in the order of observation.
#[derive(Clone, Debug)]
struct EstimateEntry {
    /// Count of all observations when this key was last observed.
    observed: u64,
    samples: RunSamples,
}

/// One key of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotEntry {
    /// Customer.
    pub customer: CustomerName,
    /// Job class.
    pub class: ClassName,
    /// Its runs, oldest first.
    pub samples: Vec<RunSample>,
}

/// All estimates in the form that outlives the process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EstimateSnapshot {
    /// Keys, least recently observed first.
    pub entries: Vec<SnapshotEntry>,
}

/// Learned run times and sizes.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    /// At most [`MAX_KEYS`].
    entries: BTreeMap<EstimateKey, EstimateEntry>,
    /// Observations so far; gives the order in which keys are forgotten.
    observations: u64,
}

impl EstimateTable {
    /// A table that continues from a snapshot.
    pub fn restore(snapshot: &EstimateSnapshot) -> Self {
        let mut table = Self::default();
        for entry in &snapshot.entries {
            for sample in &entry.samples {
                table.add(&entry.customer, &entry.class, *sample);
            }
        }
        table
    }

    /// The form that outlives the process.
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

    /// Learns from a run that finished. Runs that were stopped or failed say
    /// nothing about the run time and must not be passed.
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
            self.forget_oldest();
        }
        let entry = EstimateEntry {
            observed: self.observations,
            samples: RunSamples::new(sample),
        };
        self.entries.insert(key, entry);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.observed);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }

    /// What to expect of a run whose declared run time is `declared`.
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
            Some(entry) => learned(&entry.samples),
            None => RunEstimate {
                median: declared,
                high: declared.mul_f64(DECLARED_SPREAD),
                samples: 0,
                memory_high_mb: None,
            },
        }
    }

    /// Pairs of customer and class with an observed run.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn learned(samples: &RunSamples) -> RunEstimate {
    let median = samples.median();
    let spread = sample_spread(samples.count());
    RunEstimate {
        median,
        high: samples.high().max(median.mul_f64(spread)),
        samples: samples.count(),
        memory_high_mb: Some(samples.memory_high_mb()),
    }
}

/// Factor from the median to the high estimate that a number of samples allows.
/// It narrows from the spread of declared values towards one.
fn sample_spread(samples: u32) -> f64 {
    1.0 + (DECLARED_SPREAD - 1.0) / f64::from(samples + 1)
}
