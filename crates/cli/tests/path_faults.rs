//! Injects faults of the platform, of entry hosts and of workers, alone and in pairs,
//! into a complete system that runs jobs. Every accepted job must end once, idempotent
//! jobs must finish, a non-idempotent job must run at most once, and a job that was
//! refused as not run must not have run.

use std::time::Duration;

use bytes::Bytes;
use flamingowalk_cli::exit::CommandError;
use flamingowalk_cli::try_platform::{TrialPlatform, TrialTimes, example_with};
use flamingowalk_core::version::FolderFile;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_standin::WorkerStandin;
use flamingowalk_wire::caller::{JobPhase, JobStatus, JobSubmission};
use hyper::Method;
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const ZONE: &str = "maribor-a";
const CLASSES: [&str; 4] = ["night-render", "pour-order", "load-run", "pour-order"];
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
const JOB_END_TIMEOUT: Duration = Duration::from_mins(2);

/// A fault injected into one part of the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PathFault {
    None,
    LogResponsesLost,
    LogSlow,
    LogDown,
    LeaderKilled,
    LeaderDrained,
    WorkerKilled,
    WorkersSilent,
}

/// Number of runs of each task on the workers that were killed.
type LostRuns = Vec<(String, u32)>;

async fn start_platform() -> TrialPlatform {
    let text = "[policy]\ntask-lease-s = 12\nreclaim-bound-s = 30\n".to_owned();
    let extra = FolderFile {
        name: "99-test.ini".to_owned(),
        text,
    };
    let example = example_with("podlaga", &[extra]).expect("the example");
    let times = TrialTimes {
        task_run: Duration::from_millis(1_500),
        leader_lease_duration: Duration::from_secs(2),
        max_clock_drift: Duration::from_millis(200),
    };
    let platform = TrialPlatform::start_with(&example.settings, &times).await;
    let platform = platform.expect("a platform");
    platform.publish(&example);
    platform.wait_ready().await.expect("ready hosts");
    platform
}

fn zone_hosts(platform: &TrialPlatform) -> Vec<std::net::SocketAddr> {
    let in_zone = platform
        .entries
        .iter()
        .filter(|entry| entry.zone.as_str() == ZONE);
    in_zone.map(|entry| entry.handle.address).collect()
}

/// Submits a job until the outcome is known; returns whether it was accepted.
async fn submit(platform: &TrialPlatform, id: &str, class: &str) -> bool {
    let submission = JobSubmission {
        class: class.to_owned(),
        customer: "lope-drava".to_owned(),
        id: id.to_owned(),
        start_within_ms: None,
        zone: Some(ZONE.to_owned()),
    };
    let client = HttpClient::default();
    for attempt in 0.. {
        let hosts = zone_hosts(platform);
        let host = hosts[attempt % hosts.len()];
        let response = client
            .exchange_json(
                host,
                Method::POST,
                "/v1/jobs",
                Some(&submission),
                RESPONSE_TIMEOUT,
            )
            .await;
        match response.map_err(CommandError::from) {
            Ok::<JobStatus, _>(_) => return true,
            Err(CommandError::Refused(body)) if body.contains("not-run") => return false,
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
    unreachable!("the loop ends with a response")
}

async fn leader_index(platform: &TrialPlatform) -> usize {
    let client = HttpClient::default();
    let hosts = zone_hosts(platform);
    let path = "/v1/status";
    let response = client.exchange_json(hosts[0], Method::GET, path, None::<&()>, RESPONSE_TIMEOUT);
    let status: flamingowalk_wire::caller::HostStatus = response.await.expect("a status");
    let leader = status.seat_holder.expect("a leader");
    let index = platform
        .entries
        .iter()
        .position(|entry| entry.name == leader);
    index.expect("the leader is an entry host")
}

fn inject_before_jobs(fault: PathFault, platform: &TrialPlatform) {
    match fault {
        PathFault::LogResponsesLost => platform.log.faults().lose_responses(5),
        PathFault::LogSlow => platform.log.faults().set_delay(Duration::from_millis(600)),
        _ => {}
    }
}

async fn inject_during_jobs(fault: PathFault, platform: &mut TrialPlatform, lost: &mut LostRuns) {
    match fault {
        PathFault::LogDown => platform.log.faults().set_down(true),
        PathFault::LeaderKilled => {
            let index = leader_index(platform).await;
            drop(platform.entries.remove(index));
        }
        PathFault::LeaderDrained => {
            let index = leader_index(platform).await;
            let entry = platform.entries.remove(index);
            entry.handle.drain();
            entry.handle.finished().await;
        }
        PathFault::WorkerKilled => {
            let running = platform
                .workers
                .iter()
                .position(|w| !w.task_runs().is_empty());
            let worker = platform.workers.remove(running.unwrap_or_default());
            lost.extend(worker.task_runs());
        }
        PathFault::WorkersSilent => {
            for worker in &platform.workers {
                worker.faults().silence_connections();
            }
        }
        PathFault::None | PathFault::LogResponsesLost | PathFault::LogSlow => {}
    }
}

fn count_runs(platform: &TrialPlatform, lost: &LostRuns, id: &str) -> u32 {
    let prefix = format!("{id}/");
    let on_workers = platform.workers.iter().flat_map(WorkerStandin::task_runs);
    let all = on_workers.chain(lost.iter().cloned());
    all.filter(|(task, _)| task.starts_with(&prefix))
        .map(|(_, runs)| runs)
        .sum()
}

/// Dumps the state of the zone's hosts for the message of a failed assertion.
async fn dump_zone(platform: &TrialPlatform) -> String {
    let client = HttpClient::default();
    let mut text = String::new();
    for host in zone_hosts(platform) {
        let response = client
            .exchange(
                host,
                Method::GET,
                "/debug/state",
                Bytes::new(),
                RESPONSE_TIMEOUT,
            )
            .await;
        let body = response.map(|(_, body)| body).unwrap_or_default();
        text.push_str(&String::from_utf8_lossy(&body));
    }
    text
}

async fn wait_end(platform: &TrialPlatform, id: &str) -> JobStatus {
    let client = HttpClient::default();
    let deadline = Instant::now() + JOB_END_TIMEOUT;
    let active = [JobPhase::Accepted, JobPhase::Starting, JobPhase::Running];
    loop {
        let path = format!("/v1/jobs/{id}");
        let host = zone_hosts(platform)[0];
        let response: Result<JobStatus, _> = client
            .exchange_json(host, Method::GET, &path, None::<&()>, RESPONSE_TIMEOUT)
            .await;
        if let Ok(status) = response
            && !active.contains(&status.phase)
        {
            return status;
        }
        let is_timed_out = Instant::now() >= deadline;
        assert!(
            !is_timed_out,
            "{id} has not ended\n{}",
            dump_zone(platform).await
        );
        sleep(Duration::from_millis(100)).await;
    }
}

#[rstest]
#[case::none(PathFault::None, PathFault::None)]
#[case::answers_lost(PathFault::LogResponsesLost, PathFault::None)]
#[case::slow(PathFault::LogSlow, PathFault::None)]
#[case::down(PathFault::LogDown, PathFault::None)]
#[case::killed(PathFault::LeaderKilled, PathFault::None)]
#[case::drained(PathFault::LeaderDrained, PathFault::None)]
#[case::worker(PathFault::WorkerKilled, PathFault::None)]
#[case::silent(PathFault::WorkersSilent, PathFault::None)]
#[case::answers_lost_killed(PathFault::LogResponsesLost, PathFault::LeaderKilled)]
#[case::answers_lost_worker(PathFault::LogResponsesLost, PathFault::WorkerKilled)]
#[case::slow_killed(PathFault::LogSlow, PathFault::LeaderKilled)]
#[case::slow_worker(PathFault::LogSlow, PathFault::WorkerKilled)]
#[case::down_killed(PathFault::LogDown, PathFault::LeaderKilled)]
#[case::down_drained(PathFault::LogDown, PathFault::LeaderDrained)]
#[case::down_worker(PathFault::LogDown, PathFault::WorkerKilled)]
#[case::down_silent(PathFault::LogDown, PathFault::WorkersSilent)]
#[case::killed_worker(PathFault::LeaderKilled, PathFault::WorkerKilled)]
#[case::killed_silent(PathFault::LeaderKilled, PathFault::WorkersSilent)]
#[case::drained_worker(PathFault::LeaderDrained, PathFault::WorkerKilled)]
#[case::drained_silent(PathFault::LeaderDrained, PathFault::WorkersSilent)]
fn jobs_under_faults(#[case] first: PathFault, #[case] second: PathFault) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut platform = start_platform().await;
        let mut lost = LostRuns::new();
        for fault in [first, second] {
            inject_before_jobs(fault, &platform);
        }
        let mut accepted = Vec::new();
        for (number, class) in CLASSES.into_iter().enumerate() {
            let id = format!("job-{number}");
            accepted.push((id.clone(), class, submit(&platform, &id, class).await));
        }
        sleep(Duration::from_millis(500)).await;
        for fault in [first, second] {
            inject_during_jobs(fault, &mut platform, &mut lost).await;
        }
        sleep(Duration::from_secs(3)).await;
        platform.log.faults().set_down(false);
        for (id, class, is_accepted) in accepted {
            if !is_accepted {
                assert_eq!(
                    count_runs(&platform, &lost, &id),
                    0,
                    "{id} was refused as not run"
                );
                continue;
            }
            let status = wait_end(&platform, &id).await;
            let runs = count_runs(&platform, &lost, &id);
            match status.phase {
                JobPhase::Finished => assert!(runs > 0, "{id} did not run"),
                JobPhase::Refused => assert_eq!(runs, 0, "{id} ran: {:?}", status.reason),
                _ => assert_eq!(class, "pour-order", "{id} ended: {:?}", status.reason),
            }
            if class == "pour-order" {
                assert!(runs <= 1, "{id} ran {runs} times");
            } else {
                assert_eq!(
                    status.phase,
                    JobPhase::Finished,
                    "{id}: {:?}",
                    status.reason
                );
            }
        }
    });
}
