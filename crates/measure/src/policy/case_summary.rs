//! The figures of one case over all its zones.

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::SystemSettings;
use hdrhistogram::Histogram;

use super::job_outcome::{EndKind, JobOutcome, ZoneOutcome, ZoneSample};
use super::workload::SizeClass;

/// Significant digits of a quantile.
const DIGITS: u8 = 3;
/// Free accelerators from which a sample counts for fragmentation.
const LEAST_FREE: u32 = 8;
/// Accelerators from which a gang is large.
const LARGE_GANG: u32 = 16;

/// Quantiles of a set of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeSpread {
    /// How many.
    pub count: u64,
    /// Median.
    pub median: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Longest.
    pub longest: Duration,
}

impl TimeSpread {
    fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new(DIGITS).expect("valid precision");
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

/// Endings of all jobs.
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
    /// Without an ending when the run was over.
    pub open: u64,
}

/// Figures of one case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaseSummary {
    /// Completion times of jobs that can run and were not cancelled, by size.
    pub completion: BTreeMap<SizeClass, TimeSpread>,
    /// Waits of urgent jobs for their start.
    pub urgent_wait: TimeSpread,
    /// Waits of gangs of 17 to 32 accelerators.
    pub huge_wait: TimeSpread,
    /// Waits of jobs within their customer's guaranteed blocks.
    pub claim_wait: TimeSpread,
    /// Share of those that started within the reclaim bound.
    pub claims_in_bound: f64,
    /// Mean of the largest free block against the best possible.
    pub block_ratio: f64,
    /// Share of gangs of 16 and more that started on one rack.
    pub one_rack: f64,
    /// Mean share of accelerators that ran a task while jobs arrived.
    pub utilisation: f64,
    /// Endings.
    pub ends: EndCounts,
    /// Endings asked for after the first of a job; must be zero.
    pub repeated_ends: u32,
    /// Starts of non-idempotent jobs after the first; must be zero.
    pub repeated_starts: u32,
    /// Gangs seen incomplete in two samples in a row; must be zero.
    pub partial_gangs: u32,
    /// Checkpoints taken.
    pub checkpoints: u32,
}

/// A job with the end of its run.
#[derive(Clone, Copy, Debug)]
struct SeenJob<'a> {
    job: &'a JobOutcome,
    run_end: MonotonicTime,
}

impl SeenJob<'_> {
    fn wait(&self) -> Duration {
        self.job.wait(self.run_end)
    }
}

impl CaseSummary {
    /// Sums up the zones of a case.
    pub fn of(zones: &[ZoneOutcome], settings: &SystemSettings) -> Self {
        let bound = settings.policy.reclaim_bound;
        let jobs: Vec<SeenJob<'_>> = zones.iter().flat_map(seen_jobs).collect();
        let able = || jobs.iter().filter(|seen| seen.job.can_run);
        let claims = || able().filter(|seen| seen.job.is_claim);
        let huge = able().filter(|seen| SizeClass::of(seen.job.accelerators) == SizeClass::Huge);
        let in_bound = claims().filter(|seen| seen.wait() <= bound);
        let samples = || zones.iter().flat_map(|zone| &zone.samples);
        Self {
            completion: completion(&jobs),
            urgent_wait: TimeSpread::of(able().filter(|seen| seen.job.urgent).map(SeenJob::wait)),
            huge_wait: TimeSpread::of(huge.map(SeenJob::wait)),
            claim_wait: TimeSpread::of(claims().map(SeenJob::wait)),
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

fn seen_jobs(zone: &ZoneOutcome) -> impl Iterator<Item = SeenJob<'_>> {
    zone.jobs.iter().map(|job| SeenJob {
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

fn completion(jobs: &[SeenJob<'_>]) -> BTreeMap<SizeClass, TimeSpread> {
    let of_size = |size: SizeClass| {
        let jobs = jobs.iter().filter(move |seen| {
            let is_size = SizeClass::of(seen.job.accelerators) == size;
            is_size && seen.job.can_run && seen.job.end != Some(EndKind::Cancelled)
        });
        TimeSpread::of(jobs.map(|seen| seen.job.completion(seen.run_end)))
    };
    SizeClass::ALL
        .into_iter()
        .map(|size| (size, of_size(size)))
        .collect()
}

fn block_ratio<'a>(samples: impl Iterator<Item = &'a ZoneSample>) -> f64 {
    let ratios: Vec<f64> = samples
        .filter(|sample| sample.free >= LEAST_FREE && sample.best_block > 0)
        .map(|sample| f64::from(sample.largest_block) / f64::from(sample.best_block))
        .collect();
    if ratios.is_empty() {
        return 1.0;
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

fn one_rack(jobs: &[SeenJob<'_>]) -> f64 {
    let started = jobs.iter().filter(|seen| seen.job.started_at.is_some());
    let large: Vec<_> = started
        .filter(|seen| seen.job.accelerators >= LARGE_GANG)
        .collect();
    let on_one = large.iter().filter(|seen| seen.job.racks == 1);
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

fn end_counts(jobs: &[SeenJob<'_>]) -> EndCounts {
    let count = |end| jobs.iter().filter(|seen| seen.job.end == end).count() as u64;
    EndCounts {
        arrived: jobs.len() as u64,
        finished: count(Some(EndKind::Finished)),
        failed: count(Some(EndKind::Failed)),
        cancelled: count(Some(EndKind::Cancelled)),
        refused: count(Some(EndKind::Refused)),
        open: count(None),
    }
}
