//! Contract of a worker over HTTP.

use std::sync::Arc;
use std::time::Duration;

use flamingowalk_standin::{WorkerOptions, WorkerStandin};
use flamingowalk_wire::target::{
    RenewRequest, RenewResponse, Reservation, ReserveRequest, StartRequest, TargetRefusal,
    TargetRefusalKind, TaskPayload, TaskRequest, TaskState, TaskStatus,
};
use hyper::StatusCode;
use rstest::rstest;

use super::support::{TestClient, TestResponse};

/// Longer than any test runs.
const LONG_MS: u64 = 3_600_000;

async fn start_worker() -> WorkerStandin {
    let options = WorkerOptions {
        run_time: Arc::new(|_| Duration::from_millis(LONG_MS)),
        ..WorkerOptions::default()
    };
    WorkerStandin::start(options).await.unwrap()
}

fn reserve(task: &str, accelerators: u32) -> ReserveRequest {
    ReserveRequest {
        accelerators,
        cores: 1,
        lease_id: task.into(),
        lease_ms: LONG_MS,
        memory_mb: 1_024,
        slots: 1,
        task_id: task.into(),
        term: 5,
    }
}

fn start(task: &str) -> StartRequest {
    StartRequest {
        lease_id: task.into(),
        lease_ms: LONG_MS,
        payload: TaskPayload {
            attempt: 1,
            checkpoint: true,
            class: "class".into(),
            customer: "customer".into(),
            idempotent: true,
            job_id: "job".into(),
            member: 0,
            members: 1,
            resume_from: None,
            service: "service".into(),
        },
        task_id: task.into(),
        term: 5,
    }
}

fn task(id: &str) -> TaskRequest {
    TaskRequest {
        lease_id: id.into(),
        task_id: id.into(),
        term: 5,
        throttle_percent: Some(50),
    }
}

fn assert_refused(reply: &TestResponse, kind: TargetRefusalKind) {
    assert_eq!(reply.status, StatusCode::CONFLICT, "{reply:?}");
    assert_eq!(reply.parse::<TargetRefusal>().kind, kind);
}

async fn start_task(client: &mut TestClient, id: &str) {
    client
        .post("/v1/tasks/reserve", &reserve(id, 2))
        .await
        .unwrap();
    let reply = client.post("/v1/tasks/start", &start(id)).await.unwrap();
    assert_eq!(reply.parse::<TaskStatus>().state, TaskState::Running);
}

#[tokio::test]
async fn reserve_retried_gives_same_block() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    let path = "/v1/tasks/reserve";
    let first: Reservation = client.post(path, &reserve("a", 3)).await.unwrap().parse();
    let again: Reservation = client.post(path, &reserve("a", 3)).await.unwrap().parse();
    assert_eq!(first, again);
    assert_eq!(first.accelerators, [0, 1, 2]);
    assert_eq!(worker.tasks().tasks.len(), 1);
}

#[tokio::test]
async fn reserve_block_not_adjacent() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    for id in ["a", "b", "c", "d"] {
        client
            .post("/v1/tasks/reserve", &reserve(id, 2))
            .await
            .unwrap();
    }
    for id in ["a", "c"] {
        let reply = client.post("/v1/tasks/release", &task(id)).await.unwrap();
        assert_eq!(reply.status, StatusCode::NO_CONTENT);
    }
    let reply = client
        .post("/v1/tasks/reserve", &reserve("e", 3))
        .await
        .unwrap();
    assert_refused(&reply, TargetRefusalKind::Full);
}

#[rstest]
#[case::slots(ReserveRequest { slots: 9, ..reserve("a", 0) }, TargetRefusalKind::Full)]
#[case::cores(ReserveRequest { cores: 33, ..reserve("a", 0) }, TargetRefusalKind::Full)]
#[case::memory(ReserveRequest { memory_mb: 65_537, ..reserve("a", 0) }, TargetRefusalKind::Full)]
#[case::accelerators(reserve("a", 9), TargetRefusalKind::Full)]
#[case::term(ReserveRequest { term: 4, ..reserve("a", 1) }, TargetRefusalKind::StaleTerm)]
#[tokio::test]
async fn reserve_refused(#[case] request: ReserveRequest, #[case] kind: TargetRefusalKind) {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    client
        .post("/v1/tasks/reserve", &reserve("first", 0))
        .await
        .unwrap();
    let reply = client.post("/v1/tasks/reserve", &request).await.unwrap();
    assert_refused(&reply, kind);
    assert_eq!(worker.tasks().tasks.len(), 1);
}

#[tokio::test]
async fn start_retried_runs_once() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    client
        .post("/v1/tasks/reserve", &reserve("a", 1))
        .await
        .unwrap();
    worker.faults().lose_responses(1);
    assert!(client.post("/v1/tasks/start", &start("a")).await.is_none());
    let mut client = TestClient::connect(worker.address()).await;
    let reply = client.post("/v1/tasks/start", &start("a")).await.unwrap();
    assert_eq!(reply.parse::<TaskStatus>().state, TaskState::Running);
    client.post("/v1/tasks/stop", &task("a")).await.unwrap();
    let reply = client.post("/v1/tasks/start", &start("a")).await.unwrap();
    assert_eq!(reply.parse::<TaskStatus>().state, TaskState::Stopped);
    let reply = client
        .post("/v1/tasks/reserve", &reserve("a", 1))
        .await
        .unwrap();
    assert_refused(&reply, TargetRefusalKind::UnknownLease);
    assert_eq!(worker.task_runs()["a"], 1);
}

#[tokio::test]
async fn start_after_lease_expiry() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    let short = ReserveRequest {
        lease_ms: 0,
        ..reserve("a", 1)
    };
    client.post("/v1/tasks/reserve", &short).await.unwrap();
    let reply = client.post("/v1/tasks/start", &start("a")).await.unwrap();
    assert_refused(&reply, TargetRefusalKind::UnknownLease);
    assert_eq!(worker.tasks().tasks[0].state, TaskState::Lapsed);
}

#[tokio::test]
async fn renew_sorts_known_from_unknown() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    start_task(&mut client, "a").await;
    let request = RenewRequest {
        lease_ids: vec!["a".into(), "b".into()],
        lease_ms: 0,
        term: 5,
    };
    let reply = client.post("/v1/tasks/renew", &request).await.unwrap();
    let response: RenewResponse = reply.parse();
    assert_eq!(response.renewed, ["a"]);
    assert_eq!(response.unknown, ["b"]);
    assert_eq!(worker.tasks().tasks[0].state, TaskState::Lapsed);
}

#[tokio::test]
async fn checkpoint_resumes_after_throttle() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    start_task(&mut client, "a").await;
    let reply = client.post("/v1/tasks/throttle", &task("a")).await.unwrap();
    assert_eq!(reply.parse::<TaskStatus>().state, TaskState::Running);
    let reply = client
        .post("/v1/tasks/checkpoint", &task("a"))
        .await
        .unwrap();
    assert_eq!(reply.parse::<TaskStatus>().state, TaskState::Checkpointed);
    client
        .post("/v1/tasks/reserve", &reserve("b", 2))
        .await
        .unwrap();
    let mut resumed = start("b");
    resumed.payload.resume_from = Some(format!("a@{LONG_MS}"));
    client.post("/v1/tasks/start", &resumed).await.unwrap();
    let states: Vec<_> = worker.tasks().tasks.iter().map(|task| task.state).collect();
    assert_eq!(states, [TaskState::Checkpointed, TaskState::Finished]);
}

#[rstest]
#[case::at_start(|worker: &WorkerStandin| worker.set_failing_starts(true))]
#[case::at_end(|worker: &WorkerStandin| worker.set_failing_ends(true))]
#[tokio::test]
async fn task_fails(#[case] fault: fn(&WorkerStandin)) {
    let options = WorkerOptions {
        run_time: Arc::new(|_| Duration::ZERO),
        ..WorkerOptions::default()
    };
    let worker = WorkerStandin::start(options).await.unwrap();
    fault(&worker);
    let mut client = TestClient::connect(worker.address()).await;
    client
        .post("/v1/tasks/reserve", &reserve("a", 1))
        .await
        .unwrap();
    client.post("/v1/tasks/start", &start("a")).await.unwrap();
    let status = worker.tasks().tasks.remove(0);
    assert_eq!(status.state, TaskState::Failed);
    assert!(status.failure.is_some());
}

#[tokio::test]
async fn call_echoes_identifier_and_counts_run() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    let reply = client.call("service", "id-1", "slab").await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.request_id.as_deref(), Some("id-1"));
    assert_eq!(reply.body, "service on worker-1: 4 bytes: slab");
    assert_eq!(worker.call_runs()["id-1"], 1);
}

#[rstest]
#[case::leaving("service", true, 0, TargetRefusalKind::Leaving)]
#[case::full("service", false, 8, TargetRefusalKind::Full)]
#[case::unknown_service("other", false, 0, TargetRefusalKind::Unsupported)]
#[tokio::test]
async fn call_refused(
    #[case] service: &str,
    #[case] leaving: bool,
    #[case] slots: u32,
    #[case] kind: TargetRefusalKind,
) {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    let request = ReserveRequest {
        slots,
        ..reserve("a", 0)
    };
    client.post("/v1/tasks/reserve", &request).await.unwrap();
    worker.set_draining(leaving);
    let reply = client.call(service, "id-1", "slab").await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.parse::<TargetRefusal>().kind, kind);
    assert!(worker.call_runs().is_empty());
}

#[tokio::test]
async fn probe_and_usage_respond() {
    let worker = start_worker().await;
    let mut client = TestClient::connect(worker.address()).await;
    start_task(&mut client, "a").await;
    worker.set_memory_use(300);
    let reply = client.get("/v1/probe").await.unwrap();
    assert_eq!(reply.status, StatusCode::NO_CONTENT);
    let report: flamingowalk_wire::target::UsageReport =
        client.get("/v1/usage").await.unwrap().parse();
    assert_eq!(report.tasks[0].memory_mb, 3_072);
}
