//! Metrics of one case over all its zones.

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::SystemSettings;
use hdrhistogram::Histogram;

use super::job_outcome::{EndKind, JobOutcome, ZoneOutcome, ZoneSample};
use super::workload::SizeClass;

/// Significant digits of the quantiles.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Fewest free accelerators with which a sample counts for fragmentation.
const MIN_FREE_ACCELERATORS: u32 = 8;
/// Fewest accelerators of a gang that counts as large.
const MIN_LARGE_GANG: u32 = 16;

/// Quantiles of a set of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationSummary {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub median: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Longest.
    pub longest: Duration,
}

impl DurationSummary {
    fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("valid precision");
        for time in times {
            let millis = time.as_millis() as u64;
            histogram
                .record(millis)
                .expect("a histogram without a limit");
        }
        Self {
            count: histogram.len(),
            median: Duration::from_millis(histogram.value_at_quantile(0.5)),
            p99: Duration::from_millis(histogram.value_at_quantile(0.99)),
            longest: Duration::from_millis(histogram.max()),
        }
    }
}

/// Number of jobs by kind of end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndCounts {
    /// Jobs that arrived.
    pub arrived: u64,
    /// Finished.
    pub finished: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Refused.
    pub refused: u64,
    /// Not ended when the run ended.
    pub open: u64,
}

/// Metrics of one case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaseSummary {
    /// Completion times of jobs that can run and were not cancelled, by size.
    pub completion: BTreeMap<SizeClass, DurationSummary>,
    /// Waiting times of urgent jobs.
    pub urgent_wait: DurationSummary,
    /// Waiting times of gangs of 17 to 32 accelerators.
    pub huge_wait: DurationSummary,
    /// Waiting times of jobs within their customer's guaranteed blocks.
    pub claim_wait: DurationSummary,
    /// Share of these jobs that started within the reclaim bound.
    pub claims_in_bound: f64,
    /// Mean ratio of the largest free block to the largest that the same number of free
    /// accelerators could form.
    pub block_ratio: f64,
    /// Share of gangs of 16 and more that started on one rack.
    pub one_rack: f64,
    /// Mean share of accelerators that ran a task while jobs arrived.
    pub utilisation: f64,
    /// Number of jobs by kind of end.
    pub ends: EndCounts,
    /// Requests to record the end of a job that had already ended; must be zero.
    pub repeated_ends: u32,
    /// Repeated starts of non-idempotent jobs; must be zero.
    pub repeated_starts: u32,
    /// Gangs that were incomplete in two consecutive samples; must be zero.
    pub partial_gangs: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
}

/// Job with the time at which its run ended.
#[derive(Clone, Copy, Debug)]
struct RunJob<'a> {
    job: &'a JobOutcome,
    run_end: MonotonicTime,
}

impl RunJob<'_> {
    fn wait(&self) -> Duration {
        self.job.wait(self.run_end)
    }
}

impl CaseSummary {
    /// Returns the metrics of a case from the outcomes of its zones.
    pub fn of(zones: &[ZoneOutcome], settings: &SystemSettings) -> Self {
        let bound = settings.policy.reclaim_bound;
        let jobs: Vec<RunJob<'_>> = zones.iter().flat_map(run_jobs).collect();
        let runnable = || jobs.iter().filter(|entry| entry.job.can_run);
        let claims = || runnable().filter(|entry| entry.job.is_guaranteed_claim);
        let huge =
            runnable().filter(|entry| SizeClass::of(entry.job.accelerators) == SizeClass::Huge);
        let in_bound = claims().filter(|entry| entry.wait() <= bound);
        let samples = || zones.iter().flat_map(|zone| &zone.samples);
        Self {
            completion: completion(&jobs),
            urgent_wait: DurationSummary::of(
                runnable()
                    .filter(|entry| entry.job.urgent)
                    .map(RunJob::wait),
            ),
            huge_wait: DurationSummary::of(huge.map(RunJob::wait)),
            claim_wait: DurationSummary::of(claims().map(RunJob::wait)),
            claims_in_bound: share(in_bound.count(), claims().count()),
            block_ratio: block_ratio(samples()),
            one_rack: one_rack(&jobs),
            utilisation: utilisation(samples()),
            ends: end_counts(&jobs),
            repeated_ends: zones.iter().map(|zone| zone.repeated_ends).sum(),
            repeated_starts: zones.iter().map(|zone| zone.repeated_starts).sum(),
            partial_gangs: samples().map(|sample| sample.partial_gangs).sum(),
            checkpoints: zones.iter().map(|zone| zone.checkpoints).sum(),
        }
    }
}

fn run_jobs(zone: &ZoneOutcome) -> impl Iterator<Item = RunJob<'_>> {
    zone.jobs.iter().map(|job| RunJob {
        job,
        run_end: zone.run_end,
    })
}

fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

fn completion(jobs: &[RunJob<'_>]) -> BTreeMap<SizeClass, DurationSummary> {
    let of_size = |size: SizeClass| {
        let jobs = jobs.iter().filter(move |entry| {
            let is_size = SizeClass::of(entry.job.accelerators) == size;
            is_size && entry.job.can_run && entry.job.end != Some(EndKind::Cancelled)
        });
        DurationSummary::of(jobs.map(|entry| entry.job.completion(entry.run_end)))
    };
    SizeClass::ALL
        .into_iter()
        .map(|size| (size, of_size(size)))
        .collect()
}

fn block_ratio<'a>(samples: impl Iterator<Item = &'a ZoneSample>) -> f64 {
    let ratios: Vec<f64> = samples
        .filter(|sample| sample.free >= MIN_FREE_ACCELERATORS && sample.best_block > 0)
        .map(|sample| f64::from(sample.largest_block) / f64::from(sample.best_block))
        .collect();
    if ratios.is_empty() {
        return 1.0;
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

fn one_rack(jobs: &[RunJob<'_>]) -> f64 {
    let started = jobs.iter().filter(|entry| entry.job.started_at.is_some());
    let large: Vec<_> = started
        .filter(|entry| entry.job.accelerators >= MIN_LARGE_GANG)
        .collect();
    let on_one = large.iter().filter(|entry| entry.job.racks == 1);
    share(on_one.count(), large.len())
}

fn utilisation<'a>(samples: impl Iterator<Item = &'a ZoneSample>) -> f64 {
    let mut running = 0_u64;
    let mut total = 0_u64;
    for sample in samples {
        running += u64::from(sample.running);
        total += u64::from(sample.total);
    }
    running as f64 / total.max(1) as f64
}

fn end_counts(jobs: &[RunJob<'_>]) -> EndCounts {
    let count = |end| jobs.iter().filter(|entry| entry.job.end == end).count() as u64;
    EndCounts {
        arrived: jobs.len() as u64,
        finished: count(Some(EndKind::Finished)),
        failed: count(Some(EndKind::Failed)),
        cancelled: count(Some(EndKind::Cancelled)),
        refused: count(Some(EndKind::Refused)),
        open: count(None),
    }
}
