//! One run of a fault case: open-loop arrivals with exponential gaps, half of the calls
//! non-idempotent. Afterwards the outcomes reported to callers are compared with the runs
//! that the workers counted.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::bench::{CUSTOMERS, CallBench, new_runtime, start_error};
use super::direct_route::{CallResult, DirectRoute, PlannedCall};
use super::fault_case::FaultCase;
use super::{CallMeasureError, CallRoute};

/// Deadline of every call.
const DEADLINE: Duration = Duration::from_secs(1);
/// Limit on the time in which the host reads its configuration and the host list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that a histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Load to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPlan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Injected fault.
    pub case: FaultCase,
    /// Calls per second outside bursts.
    pub rate: f64,
}

/// Counts of one run.
#[derive(Clone, Debug)]
pub(crate) struct CaseSummary {
    /// Injected fault.
    pub case: FaultCase,
    /// Route of the calls.
    pub route: CallRoute,
    /// Calls sent.
    pub calls: usize,
    /// Idempotent calls sent.
    pub idempotent: usize,
    /// Calls answered.
    pub answered: usize,
    /// Idempotent calls answered.
    pub idempotent_answered: usize,
    /// Calls reported to callers as failed.
    pub failed: usize,
    /// Calls reported to callers as not run.
    pub not_run: usize,
    /// Calls whose outcome was reported to callers as unknown.
    pub unknown: usize,
    /// Non-idempotent calls that ran more than once.
    pub duplicated: usize,
    /// Calls reported as not run that did run.
    pub wrongly_not_run: usize,
    /// Runs beyond the first of each call.
    pub repeated_runs: usize,
    /// Latencies of answered calls in microseconds.
    pub latency: Histogram<u64>,
}

/// Completed call.
#[derive(Clone, Debug)]
struct EndedCall {
    call: PlannedCall,
    end: CallResult,
    latency: Duration,
}

/// Sends the calls of a plan and counts their results.
pub(crate) fn run_load(
    bench: &CallBench,
    target: &DirectRoute,
    plan: &LoadPlan,
    route: CallRoute,
) -> Result<CaseSummary, CallMeasureError> {
    let runtime = new_runtime()?;
    let ended = runtime.block_on(async {
        wait_until_ready(target).await?;
        Ok::<_, CallMeasureError>(send_all(bench, target, plan).await)
    })?;
    Ok(summarize(bench, plan.case, route, &ended))
}

/// Sends calls until one is answered.
pub(crate) async fn wait_until_ready(target: &DirectRoute) -> Result<(), CallMeasureError> {
    let call = planned_call(usize::MAX, true);
    let started_at = Instant::now();
    while started_at.elapsed() < READY_TIMEOUT {
        if target.send(&call).await == CallResult::Answered {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(start_error("no call is answered"))
}

/// Returns the call with this number. The number makes its identifier unique in a run.
pub(crate) fn planned_call(number: usize, idempotent: bool) -> PlannedCall {
    PlannedCall {
        id: format!("call-{number}"),
        customer: CUSTOMERS[number % CUSTOMERS.len()],
        idempotent,
        deadline: DEADLINE,
    }
}

async fn send_all(bench: &CallBench, target: &DirectRoute, plan: &LoadPlan) -> Vec<EndedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut calls = JoinSet::new();
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let mut next_apply = FaultCase::apply_interval();
    let mut step = 0;
    while due < plan.length {
        tokio::time::sleep_until(started_at + due).await;
        if due >= next_apply {
            plan.case.apply(bench, due, plan.length, step);
            next_apply += FaultCase::apply_interval();
            step += 1;
        }
        let call = planned_call(calls.len(), rng.random_bool(0.5));
        calls.spawn(send_one(target.clone(), call));
        let rate = plan.case.rate(plan.rate, due, plan.length);
        due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-12).ln() / rate);
    }
    calls.join_all().await
}

async fn send_one(target: DirectRoute, call: PlannedCall) -> EndedCall {
    let started_at = Instant::now();
    let end = target.send(&call).await;
    EndedCall {
        call,
        end,
        latency: started_at.elapsed(),
    }
}

fn summarize(
    bench: &CallBench,
    case: FaultCase,
    route: CallRoute,
    ended: &[EndedCall],
) -> CaseSummary {
    let runs = total_runs(bench);
    let runs_of = |ended: &EndedCall| runs.get(&ended.call.id).copied().unwrap_or_default();
    let count = |test: &dyn Fn(&EndedCall) -> bool| ended.iter().filter(|one| test(one)).count();
    let with_end = |end: CallResult| count(&|one| one.end == end);
    let mut latency = new_histogram();
    for one in ended.iter().filter(|one| one.end == CallResult::Answered) {
        latency.saturating_record(one.latency.as_micros() as u64);
    }
    CaseSummary {
        case,
        route,
        calls: ended.len(),
        idempotent: count(&|one| one.call.idempotent),
        answered: with_end(CallResult::Answered),
        idempotent_answered: count(&|one| one.call.idempotent && one.end == CallResult::Answered),
        failed: with_end(CallResult::Failed),
        not_run: with_end(CallResult::NotRun),
        unknown: with_end(CallResult::Unknown),
        duplicated: count(&|one| !one.call.idempotent && runs_of(one) > 1),
        wrongly_not_run: count(&|one| one.end == CallResult::NotRun && runs_of(one) > 0),
        repeated_runs: ended
            .iter()
            .map(|one| runs_of(one).saturating_sub(1) as usize)
            .sum(),
        latency,
    }
}

fn total_runs(bench: &CallBench) -> BTreeMap<String, u32> {
    let mut total = BTreeMap::new();
    for worker in bench.workers() {
        for (id, runs) in worker.call_runs() {
            *total.entry(id).or_default() += runs;
        }
    }
    total
}

/// Returns an empty histogram of microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are constants that fit")
}
