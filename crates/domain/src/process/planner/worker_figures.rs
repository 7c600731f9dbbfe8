//! Speeds of the workers as learned from single runs. Load that this addresses: pools of
//! workers of unequal speed, run times with a long tail and estimates that are far off.
//!
//! A run gives one sample: the logarithm of its run time, by its pace or its end. It is
//! compared with the other runs of its step, whose work is alike, or with the figures of the
//! queue while there are none. Both the worker's estimate and that of the step move by their
//! share of the difference, in inverse proportion to how well they are known. A sample far
//! from what is expected is a run that is long by nature or a worker that is slow for a
//! while; it does not change the usual speed unless such samples go on for long.

use crate::prelude::*;
use crate::process::planner::figures_record::RecordedFigures;

/// Variance of the logarithm of the speed of a worker without samples: a factor of 1.5.
const PRIOR_VARIANCE: f64 = 0.16;
/// Minimum variance of an estimate, so that it follows a worker that changes.
const MIN_VARIANCE: f64 = 0.003;
/// Variance added before each sample, for the same reason.
const DRIFT_VARIANCE: f64 = 0.001;
/// Minimum variance of the run time of a step. Its error is common to all of its runs, so it
/// must not seem to vanish with their number.
const MIN_STEP_VARIANCE: f64 = 0.02;
/// Variance of a sample beyond that of its percentages: starts and the delay of listings.
const BASE_NOISE: f64 = 0.0016;
/// Standard deviation of a rise that is measured in whole percents.
const PERCENT_ERROR: f64 = 0.45;
/// Least rise in percent from which a pace is a sample.
pub const MIN_SAMPLE_RISE: u32 = 8;
/// Difference, in standard deviations, beyond which a sample is an outlier.
const OUTLIER_DEVIATIONS: f64 = 2.5;
/// Difference of logarithms beyond which a sample is an outlier in any case. Long runs take
/// seven times as long, 1.95; the fastest and the slowest usual workers differ by about one.
const OUTLIER_LOG: f64 = 1.3;
/// Difference of logarithms up to which a sample is never an outlier.
const MIN_OUTLIER_LOG: f64 = 0.25;
/// Variance of a step's run time up to which an outlier counts: beyond it the estimate is the
/// likelier cause.
const MAX_OUTLIER_VARIANCE: f64 = 0.3;
/// Number of consecutive outliers from which a worker counts as slowed down: of two runs in a
/// row, both are long in one case in a thousand.
pub const SLOWED_OUTLIERS: u32 = 2;
/// Number of consecutive outliers in one direction, and the time over which they have to
/// occur, after which the worker's usual speed is learned anew. Slow phases of workers last
/// some seconds.
const RELEARN_OUTLIERS: u32 = 4;
const RELEARN_SPAN: Duration = Duration::from_secs(15);
/// Limit of the logarithm of a speed: about four times as fast or slow as others.
const MAX_LOG: f64 = 1.4;
/// Standard deviation up to which a speed counts as known.
const KNOWN_ERROR: f64 = 0.2;
/// Number of workers from which the speeds are compared.
const MIN_COMPARED: usize = 4;
/// Number of samples beyond one for each worker from which the speeds are compared.
const MIN_REPEATED: f64 = 6.0;
/// Least standard deviation of the logarithms of the speeds with which the speeds of a pool
/// differ, and the one below which they no longer do. Smaller differences are within the errors
/// of the callers' estimates; there the tiers that are learned from gangs are used.
const MIN_SPREAD: f64 = 0.25;
const ALIKE_SPREAD: f64 = 0.2;
/// Share of the mean of all speeds by which they are centered in each comparison.
const CENTER_SHARE: f64 = 0.1;
/// Least significance of the difference, in standard deviations. The comparison is repeated
/// twice a second, so the chance of a wrong one has to be far below one in a million.
const MIN_SIGNIFICANCE: f64 = 6.0;
/// Least variance within workers, as a share of what their noise makes expected: a few samples
/// may agree by chance.
const MIN_WITHIN: f64 = 0.1;
/// Limit of the difference of a sample from those before.
const MAX_CONTRAST: f64 = 1.0;
/// Factor by which the weight of earlier samples of a worker decays with each sample.
const TALLY_DECAY: f64 = 0.98;
/// Width of a speed tier in the logarithm of the speed.
const TIER_LOG: f64 = 0.14;
/// Variance of the run time of a step, as a logarithm, by the caller's estimate alone.
const ESTIMATE_VARIANCE: f64 = 0.8;

/// Number of repeated runs of either length that are assumed before any was seen.
const INITIAL_REPEATS: f64 = 1.0;
/// Factor by which the numbers of repeated runs decay with each one.
const REPEAT_DECAY: f64 = 0.95;
/// Minimum time between two comparisons of the speeds of all workers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Speeds of all workers.
#[derive(Clone, Debug, Default)]
pub struct PoolSpeeds {
    /// Estimates of the workers with samples, by name: a restarted worker keeps its own.
    pub workers: BTreeMap<WorkerName, SpeedEstimate>,
    /// Whether the speeds differ.
    pub spread: SpeedSpread,
    /// Time of the next comparison.
    next_compare_at: MonotonicTime,
    /// What was recorded for the next planner.
    pub recorded: RecordedFigures,
    /// Whether long runs are shorter when they are started again.
    pub repeats: RepeatedRuns,
}

/// Long runs that were started again: whether they were long once more. If the work of a unit
/// is long, a further run is no shorter, and the first one is better left to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatedRuns {
    /// Number of those that were of usual length then; it decays with each one.
    pub shorter: f64,
    /// Number of those that were long again.
    pub as_long: f64,
}

impl Default for RepeatedRuns {
    fn default() -> Self {
        Self {
            shorter: INITIAL_REPEATS,
            as_long: INITIAL_REPEATS,
        }
    }
}

impl RepeatedRuns {
    /// Records the length of a repeated run.
    pub fn record(&mut self, is_long: bool) {
        self.shorter = self.shorter * REPEAT_DECAY + f64::from(u8::from(!is_long));
        self.as_long = self.as_long * REPEAT_DECAY + f64::from(u8::from(is_long));
    }

    /// Whether a long run is rather shorter if it is started again.
    pub fn is_useful(&self) -> bool {
        self.shorter >= self.as_long
    }
}

impl PoolSpeeds {
    /// Returns the estimate of a worker.
    pub fn estimate(&self, name: &WorkerName) -> SpeedEstimate {
        self.workers.get(name).copied().unwrap_or_default()
    }

    /// Restores the estimates of an earlier planner. The speeds count as different if those
    /// that are known differ by as much as a comparison requires.
    pub fn restore(&mut self, estimates: BTreeMap<WorkerName, SpeedEstimate>) {
        self.workers = estimates;
        let known = self.workers.values().filter(|speed| speed.is_known());
        let logs: Vec<f64> = known.map(|speed| speed.log).collect();
        let count = logs.len() as f64;
        let mean = logs.iter().sum::<f64>() / count.max(1.0);
        let squares: f64 = logs.iter().map(|log| (log - mean).powi(2)).sum();
        let deviation = (squares / count.max(1.0)).sqrt();
        self.spread = SpeedSpread {
            compared: 0,
            deviation,
            differ: logs.len() >= MIN_COMPARED && deviation >= MIN_SPREAD,
        };
    }

    /// Compares the speeds, if that is due. Returns whether the result changed.
    pub fn compare(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_compare_at {
            return false;
        }
        self.next_compare_at = now + COMPARE_INTERVAL;
        let before = self.spread;
        self.spread = if before.differ {
            self.center();
            check_difference(self.workers.values(), before)
        } else {
            compare_speeds(self.workers.values(), before)
        };
        self.spread.differ != before.differ
    }

    /// Moves the mean of the known speeds towards that of an average worker. Samples tell only
    /// how workers compare with others, so all estimates may drift together, while objectives
    /// are relative to an average worker.
    fn center(&mut self) {
        let known = self.workers.values().filter(|speed| speed.is_known());
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), speed| {
            (count + 1.0, sum + speed.log)
        });
        if count >= MIN_COMPARED as f64 {
            let change = sum / count * CENTER_SHARE;
            for speed in self.workers.values_mut() {
                speed.log -= change;
            }
        }
    }
}

/// Estimate of the usual speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Logarithm of the speed relative to an average worker.
    pub log: f64,
    /// Variance of this logarithm.
    pub variance: f64,
    /// Number of samples.
    pub samples: u32,
    /// Number of consecutive outliers, and when the first of them occurred.
    pub slow_outliers: u32,
    outliers_since: MonotonicTime,
    /// Samples by their differences from others of their steps.
    tally: ContrastTally,
}

/// Weighted sums of differences of samples from others.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ContrastTally {
    count: f64,
    weight: f64,
    sum: f64,
    squares: f64,
}

impl ContrastTally {
    const EMPTY: Self = Self {
        count: 0.0,
        weight: 0.0,
        sum: 0.0,
        squares: 0.0,
    };

    fn add(&mut self, contrast: f64, variance: f64) {
        let contrast = contrast.clamp(-MAX_CONTRAST, MAX_CONTRAST);
        let weight = 1.0 / variance;
        self.count = self.count * TALLY_DECAY + 1.0;
        self.weight = self.weight * TALLY_DECAY + weight;
        self.sum = self.sum * TALLY_DECAY + weight * contrast;
        self.squares = self.squares * TALLY_DECAY + weight * contrast * contrast;
    }
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self::new(0.0, PRIOR_VARIANCE)
    }
}

/// Expected run time of the units of a step on a worker of average speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepPace {
    /// Logarithm of the run time in milliseconds.
    pub log: f64,
    /// Variance of this logarithm.
    pub variance: f64,
    /// Number of samples that counted, and the mean of their logarithms.
    count: u32,
    mean: f64,
}

/// Run time of one run as a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSample {
    /// Logarithm of the run time in milliseconds.
    pub log: f64,
    /// Variance of this logarithm by itself, that of alike units included.
    pub noise: f64,
}

/// What a sample showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleResult {
    /// It was within the expected range and counts.
    Counted,
    /// The run is far slower than expected.
    Slow,
    /// The run is far faster than expected; the expectation of the step was wrong.
    Fast,
}

/// Whether the speeds of a pool differ.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSpread {
    /// Number of workers that were compared.
    pub compared: usize,
    /// Standard deviation of the logarithms of their speeds.
    pub deviation: f64,
    /// Whether the speeds differ.
    pub differ: bool,
}

impl RunSample {
    /// Returns the sample of a pace in percent per second that was measured over a rise of
    /// `rise` percent. `None` if the rise is too small.
    pub fn from_pace(pace: f64, rise: u32, unit_noise: f64) -> Option<Self> {
        if rise < MIN_SAMPLE_RISE || pace <= 0.0 {
            return None;
        }
        let percent_noise = (PERCENT_ERROR / f64::from(rise)).powi(2);
        Some(Self {
            log: (100_000.0 / pace).ln(),
            noise: BASE_NOISE + percent_noise + unit_noise,
        })
    }

    /// Returns the sample of a completed run.
    pub fn from_run(run_time: Duration, unit_noise: f64) -> Self {
        Self {
            log: (run_time.as_millis().max(1) as f64).ln(),
            noise: BASE_NOISE + unit_noise,
        }
    }
}

impl StepPace {
    /// Returns the pace of a step of which no run was measured yet, from the expected run
    /// time and the variance of its logarithm, if the queue's figures give one.
    pub fn new(expected: Duration, variance: Option<f64>) -> Self {
        Self {
            log: (expected.as_millis().max(1) as f64).ln(),
            variance: variance.unwrap_or(ESTIMATE_VARIANCE).min(ESTIMATE_VARIANCE),
            count: 0,
            mean: 0.0,
        }
    }

    /// Adds a sample. Returns its difference from the mean of those before, or from the
    /// expected run time if it is the first one, and the variance of this difference. The
    /// differences of the samples of a step have independent errors.
    fn add_contrast(&mut self, sample: RunSample) -> (f64, f64) {
        let before = f64::from(self.count);
        let contrast = if self.count == 0 {
            (sample.log - self.log, self.variance + sample.noise)
        } else {
            let variance = sample.noise * (1.0 + 1.0 / before);
            (sample.log - self.mean, variance)
        };
        self.mean = (self.mean * before + sample.log) / (before + 1.0);
        self.count += 1;
        contrast
    }
}

impl SpeedEstimate {
    /// Restores an estimate from a record; values out of range are limited.
    pub fn restored(log: f64, variance: f64) -> Self {
        let variance = variance.clamp(MIN_VARIANCE, PRIOR_VARIANCE);
        Self::new(log.clamp(-MAX_LOG, MAX_LOG), variance)
    }

    /// Creates an estimate without samples.
    pub const fn new(log: f64, variance: f64) -> Self {
        Self {
            log,
            variance,
            samples: 0,
            slow_outliers: 0,
            outliers_since: MonotonicTime(0),
            tally: ContrastTally::EMPTY,
        }
    }

    /// Returns the speed relative to an average worker.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the standard error of the logarithm.
    pub fn error(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Whether the speed is known well enough to rely on it.
    pub fn is_known(&self) -> bool {
        self.error() <= KNOWN_ERROR
    }

    /// Returns the logarithm of a speed that the worker reaches in five of six cases.
    pub fn cautious_log(&self) -> f64 {
        self.log - self.error()
    }

    /// Records the sample of a run of a step. Both estimates move by their share of the
    /// difference.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        step: &mut StepPace,
        sample: RunSample,
    ) -> SampleResult {
        self.variance = (self.variance + DRIFT_VARIANCE).min(PRIOR_VARIANCE);
        let difference = sample.log - (step.log - self.log);
        let total = step.variance + self.variance + sample.noise;
        let limit = (OUTLIER_DEVIATIONS * total.sqrt()).clamp(MIN_OUTLIER_LOG, OUTLIER_LOG);
        if difference > limit {
            if step.variance <= MAX_OUTLIER_VARIANCE {
                self.record_slow_outlier(now);
            }
            return SampleResult::Slow;
        }
        if difference < -limit {
            // Runs are longer than others, never far shorter: those before were long.
            step.log = sample.log + self.log;
            step.variance = self.variance + sample.noise;
            step.count = 0;
            return SampleResult::Fast;
        }
        let contrast = step.add_contrast(sample);
        self.tally.add(-contrast.0, contrast.1);
        let (step_share, own_share) = (step.variance / total, self.variance / total);
        step.log += step_share * difference;
        step.variance = (step.variance * (1.0 - step_share)).max(MIN_STEP_VARIANCE);
        self.log = (self.log - own_share * difference).clamp(-MAX_LOG, MAX_LOG);
        self.variance = (self.variance * (1.0 - own_share)).max(MIN_VARIANCE);
        self.samples = self.samples.saturating_add(1);
        self.slow_outliers = 0;
        SampleResult::Counted
    }

    fn record_slow_outlier(&mut self, now: MonotonicTime) {
        if self.slow_outliers == 0 {
            self.outliers_since = now;
        }
        self.slow_outliers += 1;
        let span = now.since(self.outliers_since);
        if self.slow_outliers >= RELEARN_OUTLIERS && span >= RELEARN_SPAN {
            self.variance = PRIOR_VARIANCE;
            self.slow_outliers = 0;
        }
    }
}

/// Returns the tier of a logarithm of a speed, zero for average and higher for faster.
pub fn tier_of(log: f64) -> i32 {
    (log / TIER_LOG).round() as i32
}

/// Returns whether the speeds of a pool still differ, by the estimates: steps run on workers of
/// similar speed then, so their runs no longer show the differences.
fn check_difference<'a>(
    estimates: impl Iterator<Item = &'a SpeedEstimate>,
    before: SpeedSpread,
) -> SpeedSpread {
    let known = estimates.filter(|speed| speed.is_known());
    let known: Vec<(f64, f64)> = known.map(|speed| (speed.log, speed.variance)).collect();
    if known.len() < MIN_COMPARED {
        return SpeedSpread {
            compared: known.len(),
            ..before
        };
    }
    let count = known.len() as f64;
    let mean = known.iter().map(|(log, _)| log).sum::<f64>() / count;
    let squares = known
        .iter()
        .map(|(log, variance)| (log - mean).powi(2) - variance);
    let deviation = (squares.sum::<f64>() / count).max(0.0).sqrt();
    SpeedSpread {
        compared: known.len(),
        deviation,
        differ: deviation >= ALIKE_SPREAD,
    }
}

/// Returns whether the speeds of a pool differ. `before` is the result of the previous
/// comparison.
///
/// This is an analysis of variance. Each sample counts by its difference from the samples of
/// its step before it, since an error in the expected run time of the step is common to all of
/// them. The differences between the workers are compared with those between the samples of the
/// same worker, so units that differ among themselves, however much, do not make speeds differ.
pub fn compare_speeds<'a>(
    estimates: impl Iterator<Item = &'a SpeedEstimate>,
    before: SpeedSpread,
) -> SpeedSpread {
    let mut total = ContrastTally::EMPTY;
    let (mut compared, mut between, mut within, mut square_weights) = (0, 0.0, 0.0, 0.0);
    for tally in estimates.map(|speed| &speed.tally) {
        if tally.weight <= 0.0 {
            continue;
        }
        compared += 1;
        total.count += tally.count;
        total.weight += tally.weight;
        total.sum += tally.sum;
        let explained = tally.sum * tally.sum / tally.weight;
        between += explained;
        within += (tally.squares - explained).max(0.0);
        square_weights += tally.weight * tally.weight;
    }
    let groups = f64::from(compared) - 1.0;
    let repeated = total.count - f64::from(compared);
    if (compared as usize) < MIN_COMPARED || repeated < MIN_REPEATED {
        return SpeedSpread {
            compared: compared as usize,
            ..before
        };
    }
    between = (between - total.sum * total.sum / total.weight) / groups;
    within = (within / repeated).max(MIN_WITHIN);
    let mean_weight = (total.weight - square_weights / total.weight) / groups;
    let deviation = ((between - within) / mean_weight.max(f64::MIN_POSITIVE))
        .max(0.0)
        .sqrt();
    let significance = significance_of(between / within, groups, repeated);
    let differ = deviation >= MIN_SPREAD && significance >= MIN_SIGNIFICANCE;
    SpeedSpread {
        compared: compared as usize,
        deviation,
        differ,
    }
}

/// Returns how many standard deviations of a normal distribution a ratio of variances with
/// these degrees of freedom is above what chance gives, by the approximation of Paulson.
fn significance_of(ratio: f64, groups: f64, repeated: f64) -> f64 {
    let root = ratio.max(0.0).cbrt();
    let (above, below) = (2.0 / (9.0 * groups), 2.0 / (9.0 * repeated));
    ((1.0 - below) * root - (1.0 - above)) / (above + below * root * root).sqrt()
}
