//! Faults of the platform and of hosts on the whole path, alone and in pairs: every
//! accepted job ends once, idempotent jobs finish, a non-idempotent job runs at
//! most once, and what was refused as not run did not run.

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
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
const END_LIMIT: Duration = Duration::from_mins(2);

/// A fault of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PathFault {
    None,
    LogAnswersLost,
    LogSlow,
    LogDown,
    HolderKilled,
    HolderDrained,
    WorkerKilled,
    WorkersSilent,
}

/// Runs of each task on workers that are gone.
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
    let own = platform
        .entries
        .iter()
        .filter(|entry| entry.zone.as_str() == ZONE);
    own.map(|entry| entry.handle.address).collect()
}

/// Submits until the answer is certain; whether the job was accepted.
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
        let answer = client
            .exchange_json(
                host,
                Method::POST,
                "/v1/jobs",
                Some(&submission),
                ANSWER_LIMIT,
            )
            .await;
        match answer.map_err(CommandError::from) {
            Ok::<JobStatus, _>(_) => return true,
            Err(CommandError::Refused(body)) if body.contains("not-run") => return false,
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
    unreachable!("the loop ends with an answer")
}

async fn holder_place(platform: &TrialPlatform) -> usize {
    let client = HttpClient::default();
    let hosts = zone_hosts(platform);
    let path = "/v1/status";
    let answer = client.exchange_json(hosts[0], Method::GET, path, None::<&()>, ANSWER_LIMIT);
    let status: flamingowalk_wire::caller::HostStatus = answer.await.expect("a status");
    let holder = status.seat_holder.expect("a holder");
    let place = platform
        .entries
        .iter()
        .position(|entry| entry.name == holder);
    place.expect("the holder is an entry host")
}

fn begin(fault: PathFault, platform: &TrialPlatform) {
    match fault {
        PathFault::LogAnswersLost => platform.log.faults().lose_responses(5),
        PathFault::LogSlow => platform.log.faults().set_delay(Duration::from_millis(600)),
        _ => {}
    }
}

async fn strike(fault: PathFault, platform: &mut TrialPlatform, lost: &mut LostRuns) {
    match fault {
        PathFault::LogDown => platform.log.faults().set_down(true),
        PathFault::HolderKilled => {
            let place = holder_place(platform).await;
            drop(platform.entries.remove(place));
        }
        PathFault::HolderDrained => {
            let place = holder_place(platform).await;
            let entry = platform.entries.remove(place);
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
        PathFault::None | PathFault::LogAnswersLost | PathFault::LogSlow => {}
    }
}

fn runs_of(platform: &TrialPlatform, lost: &LostRuns, id: &str) -> u32 {
    let prefix = format!("{id}/");
    let live = platform.workers.iter().flat_map(WorkerStandin::task_runs);
    let all = live.chain(lost.iter().cloned());
    all.filter(|(task, _)| task.starts_with(&prefix))
        .map(|(_, runs)| runs)
        .sum()
}

/// State of the zone's hosts, for the message of a failure.
async fn dump_zone(platform: &TrialPlatform) -> String {
    let client = HttpClient::default();
    let mut text = String::new();
    for host in zone_hosts(platform) {
        let answer = client
            .exchange(
                host,
                Method::GET,
                "/debug/state",
                Bytes::new(),
                ANSWER_LIMIT,
            )
            .await;
        let body = answer.map(|(_, body)| body).unwrap_or_default();
        text.push_str(&String::from_utf8_lossy(&body));
    }
    text
}

async fn wait_end(platform: &TrialPlatform, id: &str) -> JobStatus {
    let client = HttpClient::default();
    let end = Instant::now() + END_LIMIT;
    let open = [JobPhase::Accepted, JobPhase::Starting, JobPhase::Running];
    loop {
        let path = format!("/v1/jobs/{id}");
        let host = zone_hosts(platform)[0];
        let answer: Result<JobStatus, _> = client
            .exchange_json(host, Method::GET, &path, None::<&()>, ANSWER_LIMIT)
            .await;
        if let Ok(status) = answer
            && !open.contains(&status.phase)
        {
            return status;
        }
        let is_over = Instant::now() >= end;
        assert!(
            !is_over,
            "{id} has not ended\n{}",
            dump_zone(platform).await
        );
        sleep(Duration::from_millis(100)).await;
    }
}

#[rstest]
#[case::none(PathFault::None, PathFault::None)]
#[case::answers_lost(PathFault::LogAnswersLost, PathFault::None)]
#[case::slow(PathFault::LogSlow, PathFault::None)]
#[case::down(PathFault::LogDown, PathFault::None)]
#[case::killed(PathFault::HolderKilled, PathFault::None)]
#[case::drained(PathFault::HolderDrained, PathFault::None)]
#[case::worker(PathFault::WorkerKilled, PathFault::None)]
#[case::silent(PathFault::WorkersSilent, PathFault::None)]
#[case::answers_lost_killed(PathFault::LogAnswersLost, PathFault::HolderKilled)]
#[case::answers_lost_worker(PathFault::LogAnswersLost, PathFault::WorkerKilled)]
#[case::slow_killed(PathFault::LogSlow, PathFault::HolderKilled)]
#[case::slow_worker(PathFault::LogSlow, PathFault::WorkerKilled)]
#[case::down_killed(PathFault::LogDown, PathFault::HolderKilled)]
#[case::down_drained(PathFault::LogDown, PathFault::HolderDrained)]
#[case::down_worker(PathFault::LogDown, PathFault::WorkerKilled)]
#[case::down_silent(PathFault::LogDown, PathFault::WorkersSilent)]
#[case::killed_worker(PathFault::HolderKilled, PathFault::WorkerKilled)]
#[case::killed_silent(PathFault::HolderKilled, PathFault::WorkersSilent)]
#[case::drained_worker(PathFault::HolderDrained, PathFault::WorkerKilled)]
#[case::drained_silent(PathFault::HolderDrained, PathFault::WorkersSilent)]
fn jobs_under_faults(#[case] first: PathFault, #[case] second: PathFault) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let mut platform = start_platform().await;
        let mut lost = LostRuns::new();
        for fault in [first, second] {
            begin(fault, &platform);
        }
        let mut accepted = Vec::new();
        for (number, class) in CLASSES.into_iter().enumerate() {
            let id = format!("job-{number}");
            accepted.push((id.clone(), class, submit(&platform, &id, class).await));
        }
        sleep(Duration::from_millis(500)).await;
        for fault in [first, second] {
            strike(fault, &mut platform, &mut lost).await;
        }
        sleep(Duration::from_secs(3)).await;
        platform.log.faults().set_down(false);
        for (id, class, is_accepted) in accepted {
            if !is_accepted {
                assert_eq!(
                    runs_of(&platform, &lost, &id),
                    0,
                    "{id} was refused as not run"
                );
                continue;
            }
            let status = wait_end(&platform, &id).await;
            let runs = runs_of(&platform, &lost, &id);
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
