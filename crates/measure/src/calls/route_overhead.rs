//! What an entry host adds to a call that takes no time: latency beside direct
//! calls in the same seconds, calls per second of its one thread, its processor
//! time per call, and memory per idle connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::CallMeasureError;
use super::direct_route::{CallEnd, DirectRoute, RoutePolicy};
use super::fault_case::FaultCase;
use super::load_run::{new_histogram, planned_call, wait_settled};
use super::thread_usage::{resident_bytes, thread_time};
use super::world::{CallWorld, WorldPlan, new_runtime};

/// Callers that each have one call in flight when the throughput is measured.
const CALLERS: usize = 64;
/// Calls per second of the light load.
const LIGHT_RATE: f64 = 1_000.0;
/// One call in so many of the latency run is a direct one.
const DIRECT_SHARE: usize = 5;
/// Idle connections opened for the memory per connection.
const IDLE_CONNECTIONS: usize = 2_000;

/// What was measured.
#[derive(Clone, Debug)]
pub(crate) struct RouteOverhead {
    /// Answered calls per second with every caller busy.
    pub calls_per_second: f64,
    /// Processor time of the host's thread per call, where it is known.
    pub thread_time_per_call: Option<Duration>,
    /// Latencies at a light load and at half of the throughput.
    pub latencies: Vec<LatencyRun>,
    /// Resident memory per idle connection in bytes, where it is known.
    pub bytes_per_connection: Option<u64>,
}

/// Measures on healthy workers.
pub(crate) fn measure_overhead(
    seed: u64,
    length: Duration,
) -> Result<RouteOverhead, CallMeasureError> {
    let plan = WorldPlan {
        call_time: Duration::ZERO,
        case: FaultCase::Healthy,
    };
    let world = CallWorld::start(plan)?;
    let host = DirectRoute::to_host(world.host_address());
    let workers = world.worker_addresses();
    let direct = DirectRoute::to_workers(RoutePolicy::RoundRobin, workers, seed);
    let runtime = new_runtime()?;
    runtime.block_on(wait_settled(&host))?;
    let (calls, elapsed, thread_time_per_call) = runtime.block_on(run_busy(&world, &host, length));
    let calls_per_second = calls as f64 / elapsed.as_secs_f64();
    let mut latencies = Vec::new();
    for rate in [LIGHT_RATE, calls_per_second / 2.0] {
        let run = run_latency(&host, &direct, rate, seed, length);
        latencies.push(runtime.block_on(run));
    }
    let bytes_per_connection = idle_memory(&world);
    Ok(RouteOverhead {
        calls_per_second,
        thread_time_per_call,
        latencies,
        bytes_per_connection,
    })
}

/// Keeps every caller busy; gives answered calls, time, and thread time per call.
async fn run_busy(
    world: &CallWorld,
    host: &DirectRoute,
    length: Duration,
) -> (usize, Duration, Option<Duration>) {
    let used = || world.host_thread().and_then(thread_time);
    let before = used();
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let host = host.clone();
        callers.spawn(async move {
            let mut answered = 0;
            for number in 0.. {
                if began.elapsed() >= length {
                    break;
                }
                let call = planned_call(caller, number % 2 == 0);
                answered += usize::from(host.send(&call).await == CallEnd::Answered);
            }
            answered
        });
    }
    let calls: usize = callers.join_all().await.into_iter().sum();
    let time = used()
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before));
    let per_call = time.map(|time| time / calls.max(1) as u32);
    (calls, began.elapsed(), per_call)
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
    /// Calls that were not answered.
    pub unanswered: usize,
}

/// Sends calls through the host, and one in some directly, in the same seconds.
async fn run_latency(
    host: &DirectRoute,
    direct: &DirectRoute,
    rate: f64,
    seed: u64,
    length: Duration,
) -> LatencyRun {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let all_rate = rate * DIRECT_SHARE as f64 / (DIRECT_SHARE - 1) as f64;
    while due < length {
        tokio::time::sleep_until(began + due).await;
        let is_direct = calls.len() % DIRECT_SHARE == 0;
        let target = if is_direct {
            direct.clone()
        } else {
            host.clone()
        };
        let call = planned_call(calls.len(), rng.random_bool(0.5));
        calls.spawn(async move {
            let sent = Instant::now();
            let end = target.send(&call).await;
            (is_direct, end, sent.elapsed())
        });
        due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-12).ln() / all_rate);
    }
    let mut run = LatencyRun {
        rate,
        direct: new_histogram(),
        routed: new_histogram(),
        unanswered: 0,
    };
    for (is_direct, end, latency) in calls.join_all().await {
        if end != CallEnd::Answered {
            run.unanswered += 1;
            continue;
        }
        let histogram = if is_direct {
            &mut run.direct
        } else {
            &mut run.routed
        };
        histogram.saturating_record(latency.as_micros() as u64);
    }
    run
}

/// Growth of the process per connection that has carried one request and is idle.
/// The callers' ends hold no memory of the process, only of the system.
fn idle_memory(world: &CallWorld) -> Option<u64> {
    let before = resident_bytes()?;
    let open = || {
        let mut stream = TcpStream::connect(world.host_address()).ok()?;
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
