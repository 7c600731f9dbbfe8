//! Contract of the caller interface: every invalid request gets a typed error that
//! names the remedy, and has no effect on the log or on a worker. A job that is
//! submitted several times under one identifier runs once.

use bytes::Bytes;
use flamingowalk_cli::try_platform::{TrialPlatform, example_folder};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

const GANG_JOB: &str = r#"{"id":"j","customer":"lope-drava","class":"night-render"}"#;

/// Parts of a request that a test sends.
struct BadRequest<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: String,
}

fn runtime() -> Runtime {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime")
}

async fn ready_platform() -> TrialPlatform {
    let example = example_folder("podlaga").expect("the example");
    let platform = TrialPlatform::start(&example.settings)
        .await
        .expect("a platform");
    platform.publish(&example);
    platform.wait_ready().await.expect("ready hosts");
    platform
}

async fn send(platform: &TrialPlatform, request: &BadRequest<'_>) -> String {
    let uri = format!("http://{}{}", platform.addresses()[0], request.path);
    let mut builder = Request::builder().method(request.method).uri(uri);
    for (name, value) in request.headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::from(request.body.clone()));
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(builder.body(body).expect("a request")).await;
    let response = response.expect("an answer");
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body")
        .to_bytes();
    format!("{status} {}", String::from_utf8_lossy(&body))
}

fn job_body(customer: &str, class: &str, id: &str, rest: &str) -> String {
    format!(r#"{{"id":"{id}","customer":"{customer}","class":"{class}"{rest}}}"#)
}

#[rstest]
#[case("body_no_json", "{".to_owned())]
#[case("body_lacks_class", r#"{"id":"j","customer":"lope-drava"}"#.to_owned())]
#[case("id_empty", job_body("lope-drava", "night-render", "", ""))]
#[case("id_with_slash", job_body("lope-drava", "night-render", "a/b", ""))]
#[case("customer_unknown", job_body("nobody", "night-render", "j", ""))]
#[case("class_unknown", job_body("lope-drava", "moon-render", "j", ""))]
#[case(
    "zone_unknown",
    job_body("lope-drava", "night-render", "j", r#","zone":"oslo""#)
)]
#[case(
    "deadline_negative",
    job_body("lope-drava", "night-render", "j", r#","start_within_ms":-5"#)
)]
fn submit_bad(#[case] name: &str, #[case] body: String) {
    LocalSet::new().block_on(&runtime(), async {
        let platform = ready_platform().await;
        let request = BadRequest {
            method: "POST",
            path: "/v1/jobs",
            headers: &[],
            body,
        };
        insta::assert_snapshot!(
            format!("submit_bad_{name}"),
            send(&platform, &request).await
        );
        assert!(
            platform.log.records("jobs").is_empty(),
            "a bad submission reached the log"
        );
    });
}

#[rstest]
#[case("customer_missing", "podlaga-plan", &[("flamingowalk-request-id", "r")], 0)]
#[case("customer_unknown", "podlaga-plan", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "nobody")], 0)]
#[case("service_unknown", "ferry", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "lope-drava")], 0)]
#[case("deadline_negative", "podlaga-plan", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "lope-drava"), ("flamingowalk-deadline-ms", "-1")], 0)]
#[case("flag_invalid", "podlaga-plan", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "lope-drava"), ("flamingowalk-idempotent", "maybe")], 0)]
#[case("body_over_service_limit", "podlaga-plan", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "lope-drava")], 600 * 1024)]
#[case("body_over_host_limit", "podlaga-plan", &[("flamingowalk-request-id", "r"), ("flamingowalk-customer", "lope-drava")], 5 * 1024 * 1024)]
fn call_bad(
    #[case] name: &str,
    #[case] service: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body_bytes: usize,
) {
    LocalSet::new().block_on(&runtime(), async {
        let platform = ready_platform().await;
        let path = format!("/v1/call/{service}");
        let body = "x".repeat(body_bytes);
        let request = BadRequest {
            method: "POST",
            path: &path,
            headers,
            body,
        };
        insta::assert_snapshot!(format!("call_bad_{name}"), send(&platform, &request).await);
        let ran = platform
            .workers
            .iter()
            .any(|worker| !worker.call_runs().is_empty());
        assert!(!ran, "a bad call reached a worker");
    });
}

#[rstest]
#[case("route_unknown", "GET", "/v2/jobs")]
#[case("method_wrong", "PUT", "/v1/jobs/j")]
#[case("job_unknown", "GET", "/v1/jobs/j")]
#[case("cancel_unknown", "DELETE", "/v1/jobs/j")]
fn route_bad(#[case] name: &str, #[case] method: &str, #[case] path: &str) {
    LocalSet::new().block_on(&runtime(), async {
        let platform = ready_platform().await;
        let request = BadRequest {
            method,
            path,
            headers: &[],
            body: String::new(),
        };
        insta::assert_snapshot!(format!("route_bad_{name}"), send(&platform, &request).await);
    });
}

#[test]
fn submit_before_configuration() {
    LocalSet::new().block_on(&runtime(), async {
        let example = example_folder("podlaga").expect("the example");
        let platform = TrialPlatform::start(&example.settings)
            .await
            .expect("a platform");
        let body = GANG_JOB.to_owned();
        let request = BadRequest {
            method: "POST",
            path: "/v1/jobs",
            headers: &[],
            body,
        };
        insta::assert_snapshot!(send(&platform, &request).await);
        assert!(platform.log.records("jobs").is_empty());
    });
}

#[test]
fn submit_retried_runs_once() {
    LocalSet::new().block_on(&runtime(), async {
        let platform = ready_platform().await;
        let body = GANG_JOB.to_owned();
        let request = BadRequest {
            method: "POST",
            path: "/v1/jobs",
            headers: &[],
            body,
        };
        let (first, second) = tokio::join!(send(&platform, &request), send(&platform, &request));
        let third = send(&platform, &request).await;
        for response in [first, second, third] {
            assert!(response.starts_with("200 "), "{response}");
        }
        let ended = || {
            platform
                .log
                .records("jobs")
                .iter()
                .any(|r| r.record.kind == "job-ended")
        };
        while !ended() {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let runs: u32 = platform
            .workers
            .iter()
            .flat_map(|w| w.task_runs().into_values())
            .sum();
        assert_eq!(runs, 4, "each of the four members ran once");
    });
}
