//! Markdown page of the call measurement.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::direct_route::CallResult;
use super::fault_case::BASE_RATE;
use super::load_run::CaseSummary;
use super::route_overhead::RouteOverhead;

/// Quantiles of the latency table with their names.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

/// Renders all results as Markdown.
pub(crate) fn render_page(
    seed: u64,
    seconds: u64,
    overhead: &RouteOverhead,
    summaries: &[CaseSummary],
) -> String {
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        page,
        "# Calls\n\n\
         Written by `cargo run --release -p flamingowalk-measure -- calls --seed {seed} \
         --seconds {seconds}`.\n\
         One entry host on one thread, 48 stand-in workers of 8 slots in three zones, the\n\
         caller and everything else in the same process, over loopback. Arrivals, faults and\n\
         choices follow the seed; times are real and depend on what else the machine does,\n\
         so only figures of one run can be compared.\n"
    );
    write_overhead(&mut page, overhead);
    write_cases(&mut page, summaries);
    page
}

fn write_overhead(page: &mut String, overhead: &RouteOverhead) {
    let thread_time = overhead.thread_time_per_call.map_or_else(unknown, micros);
    let memory = overhead
        .bytes_per_connection
        .map_or_else(unknown, |size| format!("{size} bytes"));
    let _ = writeln!(
        page,
        "## What an entry host adds\n\n\
         Calls that take no time at the worker, half of them non-idempotent.\n\n\
         - Calls per second with 64 busy callers: {:.0}\n\
         - Processor time of the host's thread per call: {thread_time}\n\
         - Resident memory per idle connection of a caller: {memory}\n\n\
         One call in five goes directly to a worker, at the same time. The generators' timers\n\
         send calls in batches every millisecond, which the host handles one after another.\n\n\
         | calls per second | quantile | direct | through the host | added |\n\
         | --- | --- | --- | --- | --- |",
        overhead.calls_per_second
    );
    for run in &overhead.latencies {
        for (name, quantile) in QUANTILES {
            let direct = run.direct.value_at_quantile(quantile);
            let routed = run.routed.value_at_quantile(quantile);
            let added = routed.saturating_sub(direct);
            let rate = run.rate;
            let _ = writeln!(
                page,
                "| {rate:.0} | {name} | {direct} µs | {routed} µs | {added} µs |"
            );
        }
    }
    let ends = || overhead.latencies.iter().flat_map(|run| &run.unanswered);
    let count = |result: CallResult| ends().filter(|one| **one == result).count();
    let _ = writeln!(
        page,
        "\nCalls not answered in these runs: {} failed, {} not run, {} unknown.\n",
        count(CallResult::Failed),
        count(CallResult::NotRun),
        count(CallResult::Unknown)
    );
}

fn write_cases(page: &mut String, summaries: &[CaseSummary]) {
    let _ = writeln!(
        page,
        "## Under faults\n\n\
         Calls of 20 ms, {BASE_RATE:.0} a second, deadline 1 s, half of them \
         non-idempotent. *Doubled*\n\
         counts non-idempotent calls that ran more than once; *wrongly not run* counts calls\n\
         reported as not run that did run; *extra runs* are the runs beyond the first of each\n\
         call, as a share of the calls. The two simple policies call the workers directly from\n\
         the caller, without the hop through a host.\n\n\
         | case | route | calls | answered | idempotent answered | failed | not run | unknown \
         | p50 ms | p99 ms | doubled | wrongly not run | extra runs |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for one in summaries {
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            one.case.title(),
            one.route.title(),
            one.calls,
            share(one.answered, one.calls),
            share(one.idempotent_answered, one.idempotent),
            one.failed,
            one.not_run,
            one.unknown,
            millis(&one.latency, 0.5),
            millis(&one.latency, 0.99),
            one.duplicated,
            one.wrongly_not_run,
            share(one.repeated_runs, one.calls),
        );
    }
}

fn share(part: usize, whole: usize) -> String {
    format!("{:.2}%", 100.0 * part as f64 / whole.max(1) as f64)
}

fn millis(latency: &Histogram<u64>, quantile: f64) -> String {
    format!(
        "{:.1}",
        latency.value_at_quantile(quantile) as f64 / 1_000.0
    )
}

fn micros(time: Duration) -> String {
    format!("{:.1} µs", time.as_secs_f64() * 1e6)
}

fn unknown() -> String {
    "not known on this system".to_owned()
}
