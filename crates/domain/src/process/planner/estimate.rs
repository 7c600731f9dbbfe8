//! Learned run times. Callers' estimates are rough, by a factor and a spread that
//! differ between queues, so an expected time is made of the corrected estimate and of
//! the queue's own average, each by how well it told earlier runs.

use crate::prelude::*;

/// Weight of the newest run in the averages of a queue.
const NEWEST_WEIGHT: f64 = 0.1;
/// Runs of a queue from which its averages are used.
const LEAST_RUNS: u32 = 3;
/// Runs of a queue from which its longest run bounds what is plausible.
const LEAST_RUNS_FOR_BOUND: u32 = 20;
/// Factor over the longest run of a queue above which a run time is implausible.
const IMPLAUSIBLE_FACTOR: f64 = 2.0;
/// Factor over the corrected estimate above which it is implausible as well.
const IMPLAUSIBLE_ESTIMATE: f64 = 3.0;
/// Part of the longest run time that is kept with each further run.
const LONGEST_DECAY: f64 = 0.999;
/// Squared logarithmic error that a queue starts with, for either way of telling.
const FIRST_ERROR: f64 = 0.25;
/// Least squared logarithmic error; listings and starts take a few percent of a run.
const LEAST_ERROR: f64 = 0.001;

/// Averages of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueueAverage {
    runs: u32,
    /// Mean logarithm of the run time in milliseconds.
    mean_log: f64,
    /// Mean logarithm of run time over estimate.
    ratio_log: f64,
    /// Mean squared error of the logarithm when told by the mean.
    mean_error: f64,
    /// Mean squared error of the logarithm when told by the corrected estimate.
    ratio_error: f64,
    /// Longest run time in milliseconds.
    longest_ms: f64,
    /// When the first run of those seen began.
    seen_since: MonotonicTime,
}

impl Default for QueueAverage {
    fn default() -> Self {
        Self {
            runs: 0,
            mean_log: 0.0,
            ratio_log: 0.0,
            mean_error: FIRST_ERROR,
            ratio_error: FIRST_ERROR,
            longest_ms: 0.0,
            seen_since: MonotonicTime::default(),
        }
    }
}

/// Run times by queue, on a worker of usual speed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTimes {
    queues: BTreeMap<QueueName, QueueAverage>,
}

impl RunTimes {
    /// Takes a whole run that was done now.
    pub fn record_run(
        &mut self,
        now: MonotonicTime,
        queue: &QueueName,
        estimate_ms: u64,
        ran: Duration,
    ) {
        let ran_ms = ran.as_millis().max(1) as f64;
        let log = ran_ms.ln();
        let ratio_log = log - (estimate_ms.max(1) as f64).ln();
        let average = self.queues.entry(queue.clone()).or_default();
        if average.runs == 0 {
            average.seen_since = now - ran;
        }
        average.runs += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(average.runs));
        if average.runs > 1 {
            let mean_error = (log - average.mean_log).powi(2);
            average.mean_error += (mean_error - average.mean_error) * weight;
            let ratio_error = (ratio_log - average.ratio_log).powi(2);
            average.ratio_error += (ratio_error - average.ratio_error) * weight;
        }
        average.mean_log += (log - average.mean_log) * weight;
        average.ratio_log += (ratio_log - average.ratio_log) * weight;
        average.longest_ms = (average.longest_ms * LONGEST_DECAY).max(ran_ms);
    }

    /// Time that a run of a queue is expected to take on a worker of usual speed.
    pub fn expected(&self, queue: &QueueName, estimate_ms: u64) -> Duration {
        let estimate = estimate_ms.max(1) as f64;
        let millis = match self.queues.get(queue) {
            Some(average) if average.runs >= LEAST_RUNS => {
                let trust = 1.0 / average.ratio_error.max(LEAST_ERROR);
                let mean_trust = 1.0 / average.mean_error.max(LEAST_ERROR);
                let corrected = estimate.ln() + average.ratio_log;
                let sum = corrected * trust + average.mean_log * mean_trust;
                (sum / (trust + mean_trust)).exp()
            }
            _ => estimate,
        };
        Duration::from_millis(millis as u64)
    }

    /// Longest time that a run of a queue plausibly takes; nothing before enough runs
    /// were seen, for long enough that one of that length would have been among them.
    pub fn max_plausible(
        &self,
        now: MonotonicTime,
        queue: &QueueName,
        estimate_ms: u64,
    ) -> Option<Duration> {
        let average = self.queues.get(queue)?;
        let corrected = estimate_ms as f64 * average.ratio_log.exp();
        let millis =
            (average.longest_ms * IMPLAUSIBLE_FACTOR).max(corrected * IMPLAUSIBLE_ESTIMATE);
        let bound = Duration::from_millis(millis as u64);
        let is_known =
            average.runs >= LEAST_RUNS_FOR_BOUND && now.since(average.seen_since) >= bound;
        is_known.then_some(bound)
    }
}
