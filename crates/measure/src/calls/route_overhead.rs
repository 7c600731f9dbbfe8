//! Overhead of an entry host, measured with calls that take no time at the worker: latency
//! compared with direct calls sent at the same time, calls per second on the host's single
//! thread, processor time per call, and memory per idle connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::CallMeasureError;
use super::bench::{BenchPlan, CallBench, new_runtime, start_error};
use super::direct_route::{CallResult, DirectRoute, RoutePolicy};
use super::fault_case::FaultCase;
use super::load_run::{new_histogram, planned_call, wait_until_ready};
use super::thread_usage::{resident_bytes, thread_time};

/// Concurrent callers, each with one call in flight, during the throughput measurement.
const CALLERS: usize = 64;
/// Calls per second of the light load.
const LIGHT_LOAD_RATE: f64 = 1_000.0;
/// Threads that send the calls of a latency run; several, so that the generator is not
/// the bottleneck.
const GENERATORS: u64 = 3;
/// One call in this many of a latency run is sent directly.
const DIRECT_CALL_DIVISOR: usize = 5;
/// Idle connections opened to measure the memory per connection.
const IDLE_CONNECTIONS: usize = 2_000;

/// Measured overhead of an entry host.
#[derive(Clone, Debug)]
pub(crate) struct RouteOverhead {
    /// Answered calls per second while every caller has a call in flight.
    pub calls_per_second: f64,
    /// Processor time of the host's thread per call; `None` if the system does not report it.
    pub thread_time_per_call: Option<Duration>,
    /// Latencies at a light load and at half of the measured throughput.
    pub latencies: Vec<LatencyRun>,
    /// Resident memory per idle connection in bytes; `None` if the system does not report it.
    pub bytes_per_connection: Option<u64>,
}

/// Measures the overhead with healthy workers.
pub(crate) fn measure_overhead(
    seed: u64,
    length: Duration,
) -> Result<RouteOverhead, CallMeasureError> {
    let plan = BenchPlan {
        call_time: Duration::ZERO,
        case: FaultCase::Healthy,
    };
    let bench = CallBench::start(plan)?;
    let host = DirectRoute::to_host(bench.host_address());
    let workers = bench.worker_addresses();
    let direct = DirectRoute::to_workers(RoutePolicy::RoundRobin, workers, seed);
    let runtime = new_runtime()?;
    runtime.block_on(wait_until_ready(&host))?;
    let (calls, elapsed, thread_time_per_call) =
        runtime.block_on(measure_throughput(&bench, &host, length));
    let calls_per_second = calls as f64 / elapsed.as_secs_f64();
    let bytes_per_connection = measure_idle_memory(&bench);
    let mut latencies = Vec::new();
    for rate in [LIGHT_LOAD_RATE, calls_per_second / 2.0] {
        latencies.push(run_latency(&host, &direct, rate, seed, length)?);
    }
    Ok(RouteOverhead {
        calls_per_second,
        thread_time_per_call,
        latencies,
        bytes_per_connection,
    })
}

/// Keeps one call of every caller in flight. Returns the answered calls, the elapsed time
/// and the processor time of the host's thread per call.
async fn measure_throughput(
    bench: &CallBench,
    host: &DirectRoute,
    length: Duration,
) -> (usize, Duration, Option<Duration>) {
    let used = || bench.host_thread().and_then(thread_time);
    let before = used();
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let host = host.clone();
        callers.spawn(async move {
            let mut answered = 0;
            for number in 0.. {
                if started_at.elapsed() >= length {
                    break;
                }
                let call = planned_call(caller, number % 2 == 0);
                answered += usize::from(host.send(&call).await == CallResult::Answered);
            }
            answered
        });
    }
    let calls: usize = callers.join_all().await.into_iter().sum();
    let time = used()
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before));
    let per_call = time.map(|time| time / calls.max(1) as u32);
    (calls, started_at.elapsed(), per_call)
}

/// Latencies at one rate.
#[derive(Clone, Debug)]
pub(crate) struct LatencyRun {
    /// Calls per second through the host.
    pub rate: f64,
    /// Latencies of direct calls in microseconds.
    pub direct: Histogram<u64>,
    /// Latencies through the host in microseconds.
    pub routed: Histogram<u64>,
    /// Results of the calls, routed or direct, that were not answered, in the order of
    /// sending within each generator.
    pub unanswered: Vec<CallResult>,
}

/// Sends calls through the host and, at the same time, one in [`DIRECT_CALL_DIVISOR`]
/// directly, from several generator threads.
fn run_latency(
    host: &DirectRoute,
    direct: &DirectRoute,
    rate: f64,
    seed: u64,
    length: Duration,
) -> Result<LatencyRun, CallMeasureError> {
    let generator_rate = rate / GENERATORS as f64;
    let start = |number: u64| {
        let (host, direct) = (host.with_new_client(), direct.with_new_client());
        thread::spawn(move || {
            let sent = generate_calls(host, direct, generator_rate, seed + number, length);
            Ok::<_, CallMeasureError>(new_runtime()?.block_on(sent))
        })
    };
    let threads: Vec<_> = (0..GENERATORS).map(start).collect();
    let mut run = LatencyRun {
        rate,
        direct: new_histogram(),
        routed: new_histogram(),
        unanswered: Vec::new(),
    };
    for generator in threads {
        let ended = generator
            .join()
            .map_err(|_panic| start_error("a generator panicked"))?;
        for call in ended? {
            run.record(&call);
        }
    }
    Ok(run)
}

/// Completed call of a latency run.
struct TimedCall {
    is_direct: bool,
    result: CallResult,
    latency: Duration,
}

async fn generate_calls(
    host: DirectRoute,
    direct: DirectRoute,
    rate: f64,
    seed: u64,
    length: Duration,
) -> Vec<TimedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    let total_rate = rate * DIRECT_CALL_DIVISOR as f64 / (DIRECT_CALL_DIVISOR - 1) as f64;
    while due < length {
        tokio::time::sleep_until(started_at + due).await;
        let is_direct = calls.len() % DIRECT_CALL_DIVISOR == 0;
        let target = if is_direct {
            direct.clone()
        } else {
            host.clone()
        };
        let call = planned_call(calls.len(), rng.random_bool(0.5));
        calls.spawn(async move {
            let sent = Instant::now();
            let result = target.send(&call).await;
            TimedCall {
                is_direct,
                result,
                latency: sent.elapsed(),
            }
        });
        due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-12).ln() / total_rate);
    }
    calls.join_all().await
}

impl LatencyRun {
    fn record(&mut self, call: &TimedCall) {
        if call.result != CallResult::Answered {
            self.unanswered.push(call.result);
            return;
        }
        let histogram = if call.is_direct {
            &mut self.direct
        } else {
            &mut self.routed
        };
        histogram.saturating_record(call.latency.as_micros() as u64);
    }
}

/// Returns the growth of resident memory per idle connection that has carried one request.
/// The callers' ends of the connections are in this process too, but their buffers are in
/// the kernel and do not count.
fn measure_idle_memory(bench: &CallBench) -> Option<u64> {
    let before = resident_bytes()?;
    let open = || {
        let mut stream = TcpStream::connect(bench.host_address()).ok()?;
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: e\r\n\r\n")
            .ok()?;
        let mut buffer = [0; 1024];
        (stream.read(&mut buffer).ok()? > 0).then_some(stream)
    };
    let connections: Vec<TcpStream> = (0..IDLE_CONNECTIONS).map_while(|_| open()).collect();
    let after = resident_bytes()?;
    let count = connections.len() as u64;
    (count > 0).then(|| after.saturating_sub(before) / count)
}
