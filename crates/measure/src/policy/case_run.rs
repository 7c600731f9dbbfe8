//! Runs every case: an example at a load with one planner variant.

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

/// Cases that run at once.
const THREADS: usize = 4;
/// Time after the last arrival until a run ends, whatever still waits.
const DRAIN: Duration = Duration::from_hours(12);

/// A planner under measurement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlannerVariant {
    /// Strict first-come-first-served on the first workers that have room.
    FirstComeFirstServed,
    /// The first version of this project's planner.
    FirstVersion,
    /// The planner as it is.
    Current,
}

impl PlannerVariant {
    /// All variants.
    pub const ALL: [Self; 3] = [
        Self::FirstComeFirstServed,
        Self::FirstVersion,
        Self::Current,
    ];

    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstComeFirstServed => "FCFS first fit",
            Self::FirstVersion => "first version",
            Self::Current => "current",
        }
    }

    const fn feed(self) -> JobFeed {
        match self {
            Self::FirstComeFirstServed => JobFeed::InOrder,
            Self::FirstVersion | Self::Current => JobFeed::Direct,
        }
    }

    fn planner(self, zone: &ZoneName, seed: u64) -> PlannerState {
        match self {
            Self::FirstComeFirstServed | Self::FirstVersion => {
                PlannerState::with_policy(zone.clone(), seed, PlannerPolicy::FirstFit)
            }
            Self::Current => PlannerState::new(zone.clone(), seed),
        }
    }
}

/// One case.
#[derive(Clone, Debug)]
pub struct CaseKey {
    /// Name of the example.
    pub example: &'static str,
    /// Its settings.
    pub settings: SystemSettings,
    /// Offered accelerator time against the capacity.
    pub load: f64,
    /// Planner.
    pub variant: PlannerVariant,
    /// Seed of the workload and of the planner.
    pub seed: u64,
    /// Days of arrivals.
    pub days: u32,
}

/// A case with what it gave.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// The case.
    pub key: CaseKey,
    /// What it gave.
    pub summary: CaseSummary,
}

/// Runs all zones of a case.
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

/// Runs cases on a few threads; the results are in the order of the cases.
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
        drain: DRAIN,
    };
    let outcomes = run_case(key, length);
    CaseResult {
        key: key.clone(),
        summary: CaseSummary::of(&outcomes, &key.settings),
    }
}
