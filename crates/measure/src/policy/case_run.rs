//! Runs cases. A case is an example at one load with one planner variant.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::state::{PlannerPolicy, PlannerState};
use flamingowalk_core::version::settings::SystemSettings;

use super::case_summary::CaseSummary;
use super::job_outcome::ZoneOutcome;
use super::workload::{DAY, add_too_large_class, draw_workload};
use super::zone_run::{JobFeed, RunLength, ZoneSetup, run_zone};

/// Cases that run in parallel.
const THREADS: usize = 4;
/// Longest time that a run continues after the last arrival; jobs that still wait then stay
/// open.
const DRAIN_TIME: Duration = Duration::from_hours(12);

/// Planner under measurement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlannerVariant {
    /// Strict first-come-first-served on the first workers that have capacity.
    FirstComeFirstServed,
    /// First fit that skips jobs that do not fit; the policy of the planner's first version.
    SkippingFirstFit,
    /// The planner with its default policy.
    Current,
}

impl PlannerVariant {
    /// All variants.
    pub const ALL: [Self; 3] = [
        Self::FirstComeFirstServed,
        Self::SkippingFirstFit,
        Self::Current,
    ];

    /// Returns the name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstComeFirstServed => "FCFS first fit",
            Self::SkippingFirstFit => "first version",
            Self::Current => "current",
        }
    }

    const fn feed(self) -> JobFeed {
        match self {
            Self::FirstComeFirstServed => JobFeed::InOrder,
            Self::SkippingFirstFit | Self::Current => JobFeed::Direct,
        }
    }

    fn planner(self, zone: &ZoneName, seed: u64) -> PlannerState {
        match self {
            Self::FirstComeFirstServed | Self::SkippingFirstFit => {
                PlannerState::with_policy(zone.clone(), seed, PlannerPolicy::FirstFit)
            }
            Self::Current => PlannerState::new(zone.clone(), seed),
        }
    }
}

/// Parameters of a case.
#[derive(Clone, Debug)]
pub struct CaseKey {
    /// Name of the example.
    pub example: &'static str,
    /// Settings of the example.
    pub settings: SystemSettings,
    /// Offered accelerator time as a share of the capacity.
    pub load: f64,
    /// Planner variant.
    pub variant: PlannerVariant,
    /// Seed of the workload and of the planner.
    pub seed: u64,
    /// Days of arrivals.
    pub days: u32,
}

/// Case with its metrics.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// Parameters of the case.
    pub key: CaseKey,
    /// Metrics of the case.
    pub summary: CaseSummary,
}

/// Runs all zones of a case and returns their outcomes.
pub fn run_case(key: &CaseKey, length: RunLength) -> Vec<ZoneOutcome> {
    let workload = draw_workload(&key.settings, key.load, key.days, key.seed);
    let mut settings = key.settings.clone();
    add_too_large_class(&mut settings);
    let settings = Arc::new(settings);
    let zones = key.settings.zones.keys();
    let outcomes = zones.map(|zone| {
        run_zone(ZoneSetup {
            zone: zone.clone(),
            settings: Arc::clone(&settings),
            workload: &workload,
            length,
            feed: key.variant.feed(),
            planner: key.variant.planner(zone, key.seed),
        })
    });
    outcomes.collect()
}

/// Runs cases on [`THREADS`] threads. The results are in the order of the cases.
pub fn run_cases(cases: &[CaseKey]) -> Vec<CaseResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(index) = take_index(&next, cases.len()) {
                    let result = summarize(&cases[index]);
                    let mut results = results.lock().expect("no run panics with the lock");
                    results.insert(index, result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no run panics with the lock");
    results.into_values().collect()
}

fn take_index(next: &AtomicUsize, count: usize) -> Option<usize> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    (index < count).then_some(index)
}

fn summarize(key: &CaseKey) -> CaseResult {
    let length = RunLength {
        arrivals: DAY * key.days,
        drain: DRAIN_TIME,
    };
    let outcomes = run_case(key, length);
    CaseResult {
        key: key.clone(),
        summary: CaseSummary::of(&outcomes, &key.settings),
    }
}
