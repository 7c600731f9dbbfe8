//! Processor time, memory and network traffic of a real entry host that is the leader of the
//! planner in a zone with running tasks.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_node::{HostSettings, start_host};
use flamingowalk_standin::TrafficCount;
use flamingowalk_wire::caller::{HostStatus, JobPhase, JobStatus, JobSubmission};
use hyper::Method;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::MeasuredSlope;
use super::process_usage::{resident_bytes, thread_time};
use super::reference_folder::{CUSTOMERS, GANG_SIZE, WORKERS_PER_RACK, reference_folder};
use super::slope::SlopeFit;
use super::stand_in_platform::{PlatformView, StandInPlatform};
use crate::error::MeasureError;
use crate::plot::PlotPoint;

/// Racks of the zone in each run.
const RACKS: [u32; 3] = [1, 3, 5];
/// Length of the measurement.
const WINDOW: Duration = Duration::from_secs(15);
/// Time between the start of the last job and the beginning of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit on the time until the host is ready, and on the time until all jobs run.
const START_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Resource usage of one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostUsage {
    /// Processor time in percent of one core.
    core_percent: f64,
    /// Growth of the process's resident memory by the host, in MiB.
    memory_mib: f64,
    /// Bytes per second exchanged with the host list.
    list_rate: f64,
    /// Bytes per second exchanged with the workers.
    worker_rate: f64,
    /// Bytes per second exchanged with the log.
    log_rate: f64,
}

/// Measures all slopes of the host.
pub(super) fn measure() -> Result<Vec<MeasuredSlope>, MeasureError> {
    let mut usages = Vec::new();
    for racks in RACKS {
        usages.push((f64::from(racks * WORKERS_PER_RACK), measure_host(racks)?));
    }
    let slope = |name, unit, file, value: fn(&HostUsage) -> f64| {
        let points = usages.iter().map(|(x, usage)| PlotPoint {
            x: *x,
            y: value(usage),
        });
        MeasuredSlope {
            name,
            size: "workers with 5 tasks",
            unit,
            file,
            fit: SlopeFit::of(points.collect()),
        }
    };
    Ok(vec![
        slope(
            "leader host processor time",
            "% of a core",
            "host-time",
            |u| u.core_percent,
        ),
        slope("leader host memory", "MiB", "host-memory", |u| u.memory_mib),
        slope("host list traffic", "bytes/s", "host-list-bytes", |u| {
            u.list_rate
        }),
        slope("worker traffic", "bytes/s", "host-worker-bytes", |u| {
            u.worker_rate
        }),
        slope("idle log traffic", "bytes/s", "host-log-bytes", |u| {
            u.log_rate
        }),
    ])
}

fn measure_host(racks: u32) -> Result<HostUsage, MeasureError> {
    let platform = StandInPlatform::start(reference_folder(racks, CUSTOMERS));
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| MeasureError::Host {
        reason: error.to_string(),
    })?;
    let jobs = racks * WORKERS_PER_RACK * 5 / GANG_SIZE;
    LocalSet::new().block_on(&runtime, measure_usage(&platform.view, jobs))
}

async fn measure_usage(view: &PlatformView, jobs: u32) -> Result<HostUsage, MeasureError> {
    let empty = resident_bytes()?;
    let settings = host_settings(view)?;
    let handle = start_host(settings, None).await.map_err(host_error)?;
    let client = HttpClient::default();
    wait_ready(&client, handle.address).await?;
    for number in 0..jobs {
        submit(&client, handle.address, number).await?;
    }
    wait_running(&client, handle.address, jobs).await?;
    sleep(SETTLE_TIME).await;
    let before = Reading::take(view)?;
    sleep(WINDOW).await;
    let after = Reading::take(view)?;
    let mut usage = after.since(&before);
    usage.memory_mib = resident_bytes()?.saturating_sub(empty) as f64 / f64::from(1 << 20);
    Ok(usage)
}

/// Values of all counters at one time.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    time: Duration,
    list: u64,
    workers: u64,
    log: u64,
}

impl Reading {
    fn take(view: &PlatformView) -> Result<Self, MeasureError> {
        Ok(Self {
            at: Instant::now(),
            time: thread_time()?,
            list: view.list_traffic.total(),
            workers: view.worker_traffic.iter().map(TrafficCount::total).sum(),
            log: view.log_traffic.total(),
        })
    }

    fn since(&self, before: &Self) -> HostUsage {
        let secs = (self.at - before.at).as_secs_f64();
        let rate = |now: u64, then: u64| (now - then) as f64 / secs;
        let spent = self.time.saturating_sub(before.time);
        HostUsage {
            core_percent: spent.as_secs_f64() / secs * 100.0,
            memory_mib: 0.0,
            list_rate: rate(self.list, before.list),
            worker_rate: rate(self.workers, before.workers),
            log_rate: rate(self.log, before.log),
        }
    }
}

fn host_error(error: impl std::fmt::Display) -> MeasureError {
    MeasureError::Host {
        reason: error.to_string(),
    }
}

fn host_settings(view: &PlatformView) -> Result<HostSettings, MeasureError> {
    let text = format!(
        "[host]\nname = entry-1\nzone = zone-a\nregion = region-1\n\
         [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
         [platform]\nlog = {}\nhosts = {}\n[peer]\nsecret = capacity\n\
         [drain]\nwait-ms = 1\nlimit-ms = 1000\n",
        view.log, view.list
    );
    HostSettings::parse("capacity", &text).map_err(host_error)
}

async fn wait_ready(client: &HttpClient, address: SocketAddr) -> Result<(), MeasureError> {
    let limit = Instant::now() + START_TIMEOUT;
    while Instant::now() < limit {
        let status: HostStatus = get(client, address, "/v1/status").await?;
        if status.ready {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(host_error("the host did not become ready"))
}

async fn submit(client: &HttpClient, address: SocketAddr, number: u32) -> Result<(), MeasureError> {
    let job = JobSubmission {
        class: "gang".into(),
        customer: format!("team-{:03}", number % CUSTOMERS),
        id: format!("job-{number}"),
        start_within_ms: None,
        zone: None,
    };
    let answer = client
        .exchange_json(
            address,
            Method::POST,
            "/v1/jobs",
            Some(&job),
            REQUEST_TIMEOUT,
        )
        .await;
    let _: JobStatus = answer.map_err(host_error)?;
    Ok(())
}

async fn wait_running(
    client: &HttpClient,
    address: SocketAddr,
    jobs: u32,
) -> Result<(), MeasureError> {
    let limit = Instant::now() + START_TIMEOUT;
    let mut running = 0;
    while Instant::now() < limit {
        running = 0;
        for number in 0..jobs {
            let path = format!("/v1/jobs/job-{number}");
            let status: JobStatus = get(client, address, &path).await?;
            running += u32::from(status.phase == JobPhase::Running);
        }
        if running == jobs {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(host_error(format!("only {running} of {jobs} jobs run")))
}

async fn get<T: serde::de::DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, MeasureError> {
    let answer = client
        .exchange_json(address, Method::GET, path, None::<&()>, REQUEST_TIMEOUT)
        .await;
    answer.map_err(host_error)
}
