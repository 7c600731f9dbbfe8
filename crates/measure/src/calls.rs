//! Measures calls over loopback: the overhead of an entry host compared with direct calls,
//! and the outcomes of calls under faults compared with two simple routing policies.
//! Arrivals, faults and choices are seeded. Times are real, so only ratios within one run
//! can be compared.

mod bench;
mod direct_route;
mod fault_case;
mod load_run;
mod page;
mod route_overhead;
mod thread_usage;

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use thiserror::Error;

use self::bench::{BenchPlan, CallBench};
use self::direct_route::{DirectRoute, RoutePolicy};
use self::fault_case::FaultCase;
use self::load_run::{CaseSummary, LoadPlan, run_load};
use self::page::render_page;
use self::route_overhead::measure_overhead;

/// Run time of a call on a healthy worker in the fault cases.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Reason why the measurement of calls failed.
#[derive(Debug, Error)]
pub enum CallMeasureError {
    /// A stand-in, the host or the runtime did not start.
    #[error("{0}; free ports, memory or file handles and run it again")]
    Start(String),
    /// The page could not be written.
    #[error("{path}: {source}; run from the root of the repository")]
    File {
        /// The page.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// How the calls of a run are routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallRoute {
    /// Through an entry host.
    EntryHost,
    /// Directly from the caller to a worker, by a simple policy.
    Plain(RoutePolicy),
}

impl CallRoute {
    const ALL: [Self; 3] = [
        Self::EntryHost,
        Self::Plain(RoutePolicy::RandomOnce),
        Self::Plain(RoutePolicy::RoundRobin),
    ];

    const fn title(self) -> &'static str {
        match self {
            Self::EntryHost => "entry host",
            Self::Plain(RoutePolicy::RandomOnce) => "random, no retry",
            Self::Plain(RoutePolicy::RoundRobin) => "round robin, 3 retries",
        }
    }
}

/// Runs all cases, prints the page and writes it to `output`.
///
/// # Errors
/// Returns a [`CallMeasureError`] that names the remedy.
pub fn measure(seed: u64, seconds: u64, output: &Path) -> Result<(), CallMeasureError> {
    let length = Duration::from_secs(seconds);
    let overhead = measure_overhead(seed, length)?;
    let mut summaries = Vec::new();
    for case in FaultCase::ALL {
        for route in CallRoute::ALL {
            eprintln!("{}: {}", case.title(), route.title());
            summaries.push(run_case(seed, length, case, route)?);
        }
    }
    let page = render_page(seed, seconds, &overhead, &summaries);
    println!("{page}");
    let written = fs::write(output, page);
    written.map_err(|source| CallMeasureError::File {
        path: output.to_owned(),
        source,
    })
}

fn run_case(
    seed: u64,
    length: Duration,
    case: FaultCase,
    route: CallRoute,
) -> Result<CaseSummary, CallMeasureError> {
    let plan = BenchPlan {
        call_time: CALL_TIME,
        case,
    };
    let bench = CallBench::start(plan)?;
    let target = match route {
        CallRoute::EntryHost => DirectRoute::to_host(bench.host_address()),
        CallRoute::Plain(policy) => DirectRoute::to_workers(policy, bench.worker_addresses(), seed),
    };
    let load = LoadPlan {
        seed,
        length,
        case,
        rate: fault_case::BASE_RATE,
    };
    run_load(&bench, &target, &load, route)
}
