//! Outcomes of calls over real connections: for each point of failure of an idempotent
//! and a non-idempotent call, checks the response to the caller and the number of runs.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::connection::liveness::LivenessRules;
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::router::table::TargetRecord;
use flamingowalk_core::version::settings::{CustomerSettings, ServiceSettings, SystemSettings};
use flamingowalk_node::border::caller::CallHeaders;
use flamingowalk_node::connection::http_server::BufferedResponse;
use flamingowalk_node::connection::target_pool::TargetPool;
use flamingowalk_node::process::call_port::CallPort;
use flamingowalk_node::process::host_clock::HostClock;
use flamingowalk_node::process::host_event::HostEvent;
use flamingowalk_node::request::call::{CallContext, serve_call};
use flamingowalk_node::request::call_request::CallRequest;
use http_body_util::BodyExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::faulty_target::{TargetFault, TargetScript};

const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Larger than the socket buffers, so that it is not sent completely while the target does
/// not read.
const HUGE_BODY_BYTES: usize = 24 * 1024 * 1024;

fn settings() -> SystemSettings {
    let service = ServiceSettings {
        default_deadline: Duration::from_secs(5),
        max_body_bytes: MAX_BODY_BYTES,
        hedging: false,
    };
    let customer = CustomerSettings {
        weight: 1,
        max_calls: 0,
        max_queued_jobs: 1,
        guarantees: Vec::new(),
    };
    SystemSettings {
        services: BTreeMap::from([("plan".into(), service)]),
        customers: BTreeMap::from([("dock".into(), customer)]),
        ..SystemSettings::default()
    }
}

/// Starts the call path with workers at these addresses. Every idle connection is probed
/// before a non-idempotent call.
fn start_call_path(addresses: &[SocketAddr]) -> CallContext {
    let clock = HostClock::start();
    let rng = ChaCha8Rng::seed_from_u64(11);
    let mut port = CallPort::new("a".into(), rng, clock.now());
    port.adopt(Arc::new(settings()));
    let record = |(number, address): (usize, &SocketAddr)| TargetRecord {
        name: format!("w{number}").into(),
        zone: "a".into(),
        address: *address,
        incarnation: 1,
        draining: false,
        services: BTreeSet::from(["plan".into()]),
        slots: 2,
        connections: 8,
    };
    port.apply_listing(addresses.iter().enumerate().map(record).collect(), 1);
    let (events, mut inbox) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while let Some(HostEvent::Call(message)) = inbox.recv().await {
            port.handle(message, clock.now());
        }
    });
    let rules = LivenessRules {
        fresh_non_idempotent: Duration::ZERO,
        ..LivenessRules::default()
    };
    CallContext {
        events,
        pool: TargetPool::new(rules),
        clock,
    }
}

fn call(id: &str, idempotent: bool, deadline_ms: u64, body_bytes: usize) -> CallRequest {
    let headers = CallHeaders {
        customer: "dock".into(),
        request_id: id.to_owned(),
        deadline: Some(Duration::from_millis(deadline_ms)),
        idempotent,
        key: None,
    };
    CallRequest {
        service: "plan".into(),
        headers,
        body: Bytes::from(vec![b'x'; body_bytes]),
    }
}

async fn read(response: BufferedResponse) -> (u16, String) {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[rstest]
#[case(TargetFault::CutRequest, 504)]
#[case(TargetFault::NoAnswer, 504)]
#[case(TargetFault::Silent, 504)]
#[case(TargetFault::HeadersOnly, 504)]
#[case(TargetFault::TruncatedBody, 504)]
#[case(TargetFault::WrongId, 504)]
#[case(TargetFault::NoId, 504)]
#[case(TargetFault::NoLength, 504)]
#[case(TargetFault::TooLarge, 504)]
#[case(TargetFault::Late(Duration::from_mins(1)), 504)]
#[case(TargetFault::RanAndFailed, 502)]
#[case(TargetFault::UnconfirmedError, 504)]
#[case(TargetFault::Full, 200)]
#[case(TargetFault::Draining, 200)]
#[tokio::test]
async fn target_fault(#[case] fault: TargetFault, #[case] expected_status: u16) {
    let test = async {
        let script = TargetScript::default();
        let addresses = [
            script.start().await,
            script.start().await,
            script.start().await,
        ];
        let context = start_call_path(&addresses);
        let is_slow = matches!(fault, TargetFault::Silent | TargetFault::Late(_));
        let deadline = if is_slow { 400 } else { 20_000 };
        let body = if fault == TargetFault::CutRequest {
            HUGE_BODY_BYTES
        } else {
            10
        };

        script.push(fault);
        let response = serve_call(call("once", false, deadline, body), context.clone()).await;
        let (status, text) = read(response).await;
        assert_eq!(status, expected_status, "{text}");
        let successful_runs = u32::from(expected_status == 200);
        assert_eq!(script.runs("once"), fault.runs() + successful_runs);

        script.push(fault);
        let response = serve_call(call("again", true, deadline, body), context).await;
        assert_eq!(read(response).await, (200, "answer to again".to_owned()));
        assert_eq!(script.runs("again"), fault.runs() + 1);
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn target_unreachable(#[case] idempotent: bool) {
    let test = async {
        let script = TargetScript::default();
        // A bound socket that does not listen keeps its port from other tests.
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let down = socket.local_addr().unwrap();
        let response = serve_call(call("x", idempotent, 5_000, 1), start_call_path(&[down])).await;
        assert_eq!(read(response).await.0, 503);
        let context = start_call_path(&[down, down, script.start().await]);
        for id in ["a", "b", "c", "d"] {
            let response = serve_call(call(id, idempotent, 5_000, 1), context.clone()).await;
            assert_eq!(read(response).await, (200, format!("answer to {id}")));
            assert_eq!(script.runs(id), 1);
        }
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn idle_connection_silent(#[case] idempotent: bool) {
    let test = async {
        let script = TargetScript::default();
        let context = start_call_path(&[script.start().await]);
        let first = serve_call(call("first", idempotent, 2_000, 1), context.clone()).await;
        assert_eq!(read(first).await.0, 200);
        script.silence_connections();
        let second = serve_call(call("second", idempotent, 2_000, 1), context).await;
        assert_eq!(read(second).await, (200, "answer to second".to_owned()));
        assert_eq!((script.runs("second"), script.accepted()), (1, 2));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn idle_connection_reused() {
    let test = async {
        let script = TargetScript::default();
        let context = start_call_path(&[script.start().await]);
        for number in 0..20 {
            let id = format!("call-{number}");
            let response = serve_call(call(&id, number % 2 == 0, 5_000, 1), context.clone()).await;
            assert_eq!(read(response).await, (200, format!("answer to {id}")));
        }
        assert_eq!((script.accepted(), context.pool.idle_count()), (1, 1));
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn caller_disconnected_in_flight(#[case] idempotent: bool) {
    let test = async {
        let script = TargetScript::default();
        let context = start_call_path(&[script.start().await]);
        script.push(TargetFault::Held);
        let caller = tokio::task::spawn_local(serve_call(
            call("gone", idempotent, 9_000, 1),
            context.clone(),
        ));
        script.call_started.notified().await;
        caller.abort();
        assert!(caller.await.unwrap_err().is_cancelled());
        script.release.notify_one();
        let next = serve_call(call("next", false, 9_000, 1), context).await;
        assert_eq!(read(next).await, (200, "answer to next".to_owned()));
        assert_eq!((script.runs("gone"), script.runs("next")), (1, 1));
    };
    LocalSet::new().run_until(test).await;
}

#[rstest]
#[case("nowhere", "dock", 1, 404)]
#[case("plan", "stranger", 1, 400)]
#[case("plan", "dock", MAX_BODY_BYTES as usize + 1, 413)]
#[tokio::test]
async fn refused_before_any_target(
    #[case] service: &str,
    #[case] customer: &str,
    #[case] body: usize,
    #[case] status: u16,
) {
    let test = async {
        let script = TargetScript::default();
        let context = start_call_path(&[script.start().await]);
        let mut request = call("refused", false, 5_000, body);
        request.service = service.into();
        request.headers.customer = customer.into();
        let (actual_status, text) = read(serve_call(request, context).await).await;
        assert_eq!(actual_status, status, "{text}");
        assert!(text.contains(r#""kind":"not-run""#), "{text}");
        assert_eq!(script.accepted(), 0);
    };
    LocalSet::new().run_until(test).await;
}
