//! Run times learned from completed runs. Callers' estimates are rough, with a bias and
//! a spread that differ between queues, so an expected run time combines the estimate,
//! corrected for its bias, with the average of the queue. Each is weighted by the inverse
//! of its squared error for earlier runs.

use crate::prelude::*;

/// Least weight of the newest run in the averages of a queue.
const MIN_NEWEST_WEIGHT: f64 = 0.1;
/// Number of runs of a queue from which its averages are used.
const MIN_RUNS: u32 = 3;
/// Number of runs of a queue from which its longest run bounds plausible run times.
const MIN_RUNS_FOR_BOUND: u32 = 20;
/// Greatest plausible run time as a multiple of the longest run of the queue.
const MAX_FACTOR_OF_LONGEST: f64 = 2.0;
/// Greatest plausible run time as a multiple of the corrected estimate; a run time is
/// implausible only above both limits.
const MAX_FACTOR_OF_ESTIMATE: f64 = 3.0;
/// Factor by which the longest run time of a queue decays with each further run.
const LONGEST_DECAY: f64 = 0.999;
/// Squared logarithmic error assumed for both predictors before the second run of a
/// queue.
const INITIAL_SQUARED_ERROR: f64 = 0.25;
/// Minimum squared logarithmic error of a predictor, since measured run times include
/// starts and the delay of listings, a few percent of a run.
const MIN_SQUARED_ERROR: f64 = 0.001;

/// Averages of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueueAverage {
    runs: u32,
    /// Mean logarithm of the run time in milliseconds.
    mean_log: f64,
    /// Mean logarithm of the ratio of run time to estimate.
    ratio_log: f64,
    /// Mean squared error of the logarithm when predicted by the mean.
    mean_error: f64,
    /// Mean squared error of the logarithm when predicted by the corrected estimate.
    ratio_error: f64,
    /// Longest run time in milliseconds, decayed with each run.
    longest_ms: f64,
    /// Start of the first observed run.
    observed_since: MonotonicTime,
}

impl Default for QueueAverage {
    fn default() -> Self {
        Self {
            runs: 0,
            mean_log: 0.0,
            ratio_log: 0.0,
            mean_error: INITIAL_SQUARED_ERROR,
            ratio_error: INITIAL_SQUARED_ERROR,
            longest_ms: 0.0,
            observed_since: MonotonicTime::default(),
        }
    }
}

/// Run times by queue, normalized to a worker of average speed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTimes {
    queues: BTreeMap<QueueName, QueueAverage>,
}

impl RunTimes {
    /// Adds a run that has just completed and that was observed from start to end.
    pub fn record_run(
        &mut self,
        now: MonotonicTime,
        queue: &QueueName,
        estimate_ms: u64,
        run_time: Duration,
    ) {
        let run_time_ms = run_time.as_millis().max(1) as f64;
        let run_time_log = run_time_ms.ln();
        let ratio_log = run_time_log - (estimate_ms.max(1) as f64).ln();
        let average = self.queues.entry(queue.clone()).or_default();
        if average.runs == 0 {
            average.observed_since = now - run_time;
        }
        average.runs += 1;
        let weight = MIN_NEWEST_WEIGHT.max(1.0 / f64::from(average.runs));
        if average.runs > 1 {
            let mean_error = (run_time_log - average.mean_log).powi(2);
            average.mean_error += (mean_error - average.mean_error) * weight;
            let ratio_error = (ratio_log - average.ratio_log).powi(2);
            average.ratio_error += (ratio_error - average.ratio_error) * weight;
        }
        average.mean_log += (run_time_log - average.mean_log) * weight;
        average.ratio_log += (ratio_log - average.ratio_log) * weight;
        average.longest_ms = (average.longest_ms * LONGEST_DECAY).max(run_time_ms);
    }

    /// Returns the expected duration of a run on a worker of average speed.
    pub fn expected(&self, queue: &QueueName, estimate_ms: u64) -> Duration {
        let estimate = estimate_ms.max(1) as f64;
        let millis = match self.queues.get(queue) {
            Some(average) if average.runs >= MIN_RUNS => {
                let ratio_weight = 1.0 / average.ratio_error.max(MIN_SQUARED_ERROR);
                let mean_weight = 1.0 / average.mean_error.max(MIN_SQUARED_ERROR);
                let corrected = estimate.ln() + average.ratio_log;
                let sum = corrected * ratio_weight + average.mean_log * mean_weight;
                (sum / (ratio_weight + mean_weight)).exp()
            }
            _ => estimate,
        };
        Duration::from_millis(millis as u64)
    }

    /// Returns the greatest plausible duration of a run of a queue. `None` until enough
    /// runs were observed, over a time in which a run of that duration could have
    /// completed.
    pub fn max_plausible(
        &self,
        now: MonotonicTime,
        queue: &QueueName,
        estimate_ms: u64,
    ) -> Option<Duration> {
        let average = self.queues.get(queue)?;
        let corrected = estimate_ms as f64 * average.ratio_log.exp();
        let millis =
            (average.longest_ms * MAX_FACTOR_OF_LONGEST).max(corrected * MAX_FACTOR_OF_ESTIMATE);
        let bound = Duration::from_millis(millis as u64);
        let has_evidence =
            average.runs >= MIN_RUNS_FOR_BOUND && now.since(average.observed_since) >= bound;
        has_evidence.then_some(bound)
    }
}
