//! Run times learned from completed runs. Callers' estimates are rough, with a bias and
//! a spread that differ between queues, so an expected run time combines the estimate,
//! corrected for its bias, with the average of the queue. Each is weighted by the inverse
//! of its squared error for earlier runs.

use std::sync::LazyLock;

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
/// Limit of the logarithmic deviation of a run that counts for the typical run time: runs
/// that are several times as long as others are rare and say little about the others.
const MAX_TYPICAL_DEVIATION: f64 = 0.8;
/// Variance of the logarithm of the run times of alike units before any was observed.
const INITIAL_UNIT_NOISE: f64 = 0.01;
/// Weight of the newest run in this variance.
const UNIT_NOISE_WEIGHT: f64 = 0.05;
/// Limit of this variance: alike units differ by less than a factor of two.
const MAX_UNIT_NOISE: f64 = 0.25;
/// Number of classes of the ratio of a run time to the expected one.
pub const RATIO_CLASSES: usize = 20;
/// Width of a class in the logarithm of the ratio.
const CLASS_LOG: f64 = 0.25;
/// Class of a run that takes as long as expected.
const EXPECTED_CLASS: usize = 5;
/// Factor by which the counts of the classes decay with each run.
const CLASS_DECAY: f64 = 0.998;
/// Weight of the assumed distribution, in runs.
const ASSUMED_RUNS: f64 = 4.0;
/// Assumed distribution of runs over the classes around the expected one.
const ASSUMED_CLASSES: [(usize, f64); 5] = [
    (EXPECTED_CLASS - 1, 0.2),
    (EXPECTED_CLASS, 0.5),
    (EXPECTED_CLASS + 1, 0.2),
    (EXPECTED_CLASS + 3, 0.07),
    (EXPECTED_CLASS + 8, 0.03),
];
/// Sum of the weights of the classes below which nothing was observed there: a run that was
/// observed more than two thousand runs ago has decayed to less.
const LEAST_CLASS_WEIGHT: f64 = 0.01;
/// Expected remaining time, as a share of the elapsed one, of a run that is already longer
/// than any that was observed.
const BEYOND_SHARE: f64 = 0.5;

/// Limit of an expected remaining time.
const MAX_REMAINING: Duration = Duration::from_hours(24);

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
    /// Figures that long runs hardly change.
    typical: TypicalFigures,
}

/// Figures of a queue in which rare long runs count little, for the speeds of the workers and
/// for forecasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalFigures {
    /// Number of runs.
    pub runs: u32,
    /// Mean logarithm of the run time in milliseconds.
    pub mean_log: f64,
    /// Mean logarithm of the ratio of run time to estimate.
    pub ratio_log: f64,
    /// Mean squared error of the logarithm when predicted by the mean.
    pub mean_error: f64,
    /// Mean squared error of the logarithm when predicted by the corrected estimate.
    pub ratio_error: f64,
    /// Variance of the logarithm of the run times of units of the same step.
    pub unit_noise: f64,
    /// Number of runs by their ratio to the expected run time, decayed with each run.
    pub classes: [f64; RATIO_CLASSES],
}

impl Default for TypicalFigures {
    fn default() -> Self {
        Self {
            runs: 0,
            mean_log: 0.0,
            ratio_log: 0.0,
            mean_error: INITIAL_SQUARED_ERROR,
            ratio_error: INITIAL_SQUARED_ERROR,
            unit_noise: INITIAL_UNIT_NOISE,
            classes: [0.0; RATIO_CLASSES],
        }
    }
}

impl TypicalFigures {
    fn record_run(&mut self, estimate_ms: u64, run_time: Duration) {
        let run_time_log = (run_time.as_millis().max(1) as f64).ln();
        let ratio_log = run_time_log - (estimate_ms.max(1) as f64).ln();
        if self.runs >= MIN_RUNS {
            let expected = self.expected_log(estimate_ms);
            for count in &mut self.classes {
                *count *= CLASS_DECAY;
            }
            self.classes[class_of(run_time_log - expected)] += 1.0;
        }
        self.runs = self.runs.saturating_add(1);
        let weight = MIN_NEWEST_WEIGHT.max(1.0 / f64::from(self.runs));
        let limit = if self.runs > MIN_RUNS {
            MAX_TYPICAL_DEVIATION
        } else {
            f64::MAX
        };
        let mean_deviation = (run_time_log - self.mean_log).clamp(-limit, limit);
        let ratio_deviation = (ratio_log - self.ratio_log).clamp(-limit, limit);
        if self.runs > 1 {
            self.mean_error += (mean_deviation.powi(2) - self.mean_error) * weight;
            self.ratio_error += (ratio_deviation.powi(2) - self.ratio_error) * weight;
        }
        self.mean_log += mean_deviation * weight;
        self.ratio_log += ratio_deviation * weight;
    }

    /// Returns the logarithm of the expected run time in milliseconds.
    fn expected_log(&self, estimate_ms: u64) -> f64 {
        let estimate_log = (estimate_ms.max(1) as f64).ln();
        if self.runs < MIN_RUNS {
            return estimate_log;
        }
        let ratio_weight = 1.0 / self.ratio_error.max(MIN_SQUARED_ERROR);
        let mean_weight = 1.0 / self.mean_error.max(MIN_SQUARED_ERROR);
        let sum = (estimate_log + self.ratio_log) * ratio_weight + self.mean_log * mean_weight;
        sum / (ratio_weight + mean_weight)
    }

    /// Returns the variance of the logarithm of a run time around the expected one; `None`
    /// until enough runs were observed.
    fn variance(&self) -> Option<f64> {
        // The errors of both predictors are alike in part, so their mean is not better than
        // the better one.
        (self.runs >= MIN_RUNS)
            .then(|| self.ratio_error.min(self.mean_error).max(MIN_SQUARED_ERROR))
    }

    /// Returns the weight of a class, with that of the assumed distribution.
    fn class_weight(&self, class: usize) -> f64 {
        let assumed = ASSUMED_CLASSES.iter().find(|(index, _)| *index == class);
        self.classes[class] + assumed.map_or(0.0, |(_, share)| share * ASSUMED_RUNS)
    }

    /// Returns the ratio to the expected run time that a share of the runs does not exceed.
    pub fn ratio_quantile(&self, share: f64) -> f64 {
        let total: f64 = (0..RATIO_CLASSES)
            .map(|class| self.class_weight(class))
            .sum();
        let mut sum = 0.0;
        for class in 0..RATIO_CLASSES {
            sum += self.class_weight(class);
            if sum >= total * share {
                return CLASS_RATIOS[class];
            }
        }
        CLASS_RATIOS[RATIO_CLASSES - 1]
    }

    /// Returns the expected remaining time of a run as a ratio to the expected run time, given
    /// the elapsed time as such a ratio: the mean over the runs that took longer than that.
    fn remaining_ratio(&self, elapsed: f64) -> f64 {
        let (mut weights, mut sum) = (0.0, 0.0);
        for (class, ratio) in CLASS_RATIOS.iter().enumerate() {
            if *ratio > elapsed {
                let weight = self.class_weight(class);
                weights += weight;
                sum += weight * (ratio - elapsed);
            }
        }
        if weights > LEAST_CLASS_WEIGHT {
            sum / weights
        } else {
            elapsed * BEYOND_SHARE
        }
    }
}

/// Returns the class of a run by the logarithm of its ratio to the expected run time.
fn class_of(ratio_log: f64) -> usize {
    let class = (ratio_log / CLASS_LOG).round() + EXPECTED_CLASS as f64;
    class.clamp(0.0, (RATIO_CLASSES - 1) as f64) as usize
}

/// Ratios in the middle of the classes. Computed once, since a pass looks at all runs.
static CLASS_RATIOS: LazyLock<[f64; RATIO_CLASSES]> = LazyLock::new(|| {
    std::array::from_fn(|class| ((class as f64 - EXPECTED_CLASS as f64) * CLASS_LOG).exp())
});

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
            typical: TypicalFigures::default(),
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
        average.typical.record_run(estimate_ms, run_time);
    }

    /// Returns the figures of a queue in which rare long runs count little.
    pub fn typical(&self, queue: &QueueName) -> Option<&TypicalFigures> {
        self.queues.get(queue).map(|average| &average.typical)
    }

    /// Returns these figures of all queues.
    pub fn typical_by_queue(&self) -> impl Iterator<Item = (&QueueName, &TypicalFigures)> {
        let queues = self.queues.iter();
        queues.map(|(queue, average)| (queue, &average.typical))
    }

    /// Restores the figures of a queue that an earlier planner learned, unless runs of the
    /// queue were observed since.
    pub fn restore(&mut self, now: MonotonicTime, queue: &QueueName, typical: TypicalFigures) {
        let average = self.queues.entry(queue.clone()).or_default();
        if average.runs > 0 {
            return;
        }
        *average = QueueAverage {
            runs: typical.runs.min(MIN_RUNS_FOR_BOUND - 1),
            mean_log: typical.mean_log,
            ratio_log: typical.ratio_log,
            mean_error: typical.mean_error,
            ratio_error: typical.ratio_error,
            longest_ms: (typical.mean_log.exp() * typical.ratio_quantile(1.0)).max(1.0),
            observed_since: now,
            typical,
        };
    }

    /// Returns the typical duration of a run on a worker of average speed: rare long runs
    /// hardly change it.
    pub fn typical_run(&self, queue: &QueueName, estimate_ms: u64) -> Duration {
        let log = self.typical(queue).map_or_else(
            || (estimate_ms.max(1) as f64).ln(),
            |typical| typical.expected_log(estimate_ms),
        );
        Duration::from_millis(log.exp() as u64)
    }

    /// Returns the variance of the logarithm of a run time around the typical one; `None`
    /// until enough runs of the queue were observed.
    pub fn run_variance(&self, queue: &QueueName) -> Option<f64> {
        self.typical(queue)?.variance()
    }

    /// Returns the variance of the logarithm of the run times of units of the same step.
    pub fn unit_noise(&self, queue: &QueueName) -> f64 {
        self.typical(queue)
            .map_or(INITIAL_UNIT_NOISE, |typical| typical.unit_noise)
    }

    /// Records the part of a squared difference between units of a step that their workers'
    /// speeds do not explain.
    pub fn record_unit_noise(&mut self, queue: &QueueName, variance: f64) {
        let typical = &mut self.queues.entry(queue.clone()).or_default().typical;
        let variance = variance.clamp(0.0, MAX_UNIT_NOISE);
        typical.unit_noise += (variance - typical.unit_noise) * UNIT_NOISE_WEIGHT;
    }

    /// Returns the expected remaining time of a run on a worker of average speed that has been
    /// executing for `elapsed`, from the distribution of the run times of its queue.
    pub fn remaining(&self, queue: &QueueName, estimate_ms: u64, elapsed: Duration) -> Duration {
        let expected = self
            .typical_run(queue, estimate_ms)
            .as_secs_f64()
            .max(0.001);
        let default = TypicalFigures::default();
        let typical = self.typical(queue).unwrap_or(&default);
        let ratio = typical.remaining_ratio(elapsed.as_secs_f64() / expected);
        Duration::from_secs_f64((ratio * expected).min(MAX_REMAINING.as_secs_f64()))
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
