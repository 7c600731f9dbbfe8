//! HTTP server of the metrics, the state dump and the dry run of submissions, for operators.

use std::net::SocketAddr;

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::host::explain::{ExplainError, ExplainRequest};
use flamingowalk_domain::request::submission::JobSubmission;
use flamingowalk_node::connection::client_guard::ClientGuard;
use flamingowalk_node::connection::client_limits::ClientLimits;
use flamingowalk_node::connection::http_server::{
    BufferedRequest, BufferedResponse, HeadVerdict, ListenerRules, ServePhase, serve_connections,
    text_response, typed_response,
};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::run_loop::DomainHandle;

/// Decodes the body of a submission. The error describes why it is not a valid job.
pub type JobDecoder = fn(&[u8]) -> Result<JobSubmission, String>;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
pub const DUMP_PATH: &str = "/dump";
/// Path of the dry run of a submission. The query names the `queue`, and may name the
/// `customer` and the `format` of the response, `json` or `table`.
pub const EXPLAIN_PATH: &str = "/explain";

/// Serves the metrics, the state dump and the dry run until `phase` leaves [`ServePhase::Accepting`].
/// The clients share the budgets of `guard` with those of the other listeners.
/// Must run inside a `LocalSet`.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve_status(
    address: SocketAddr,
    handle: DomainHandle,
    recorder: Option<PrometheusHandle>,
    decode_job: JobDecoder,
    guard: ClientGuard,
    phase: watch::Receiver<ServePhase>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let limits_handle = handle.clone();
    let rules = ListenerRules {
        name: "status",
        max_connections: guard.budget().operators,
        guard,
        refuses_responses: true,
        limits: Box::new(move || client_limits(&limits_handle)),
        check_head: Box::new(check_head),
    };
    tokio::task::spawn_local(serve_connections(
        listener,
        phase,
        rules,
        move |request: BufferedRequest, _remote| {
            let handle = handle.clone();
            let recorder = recorder.clone();
            async move { handle_status_request(request, &handle, recorder.as_ref(), decode_job).await }
        },
    ));
    Ok(())
}

/// Returns the limits of requests. A job is bounded like one that is submitted.
fn client_limits(handle: &DomainHandle) -> ClientLimits {
    let default = ClientLimits::default();
    let manifest = handle.manifest();
    let max_body_bytes = manifest.and_then(|manifest| manifest.caller_limits.max_body_bytes);
    ClientLimits {
        max_body_bytes: max_body_bytes.map_or(default.max_body_bytes, |bytes| bytes as usize),
        ..default
    }
}

/// Only the dry run has a body that is read.
fn check_head(head: &Parts) -> HeadVerdict {
    if head.method == Method::POST && head.uri.path() == EXPLAIN_PATH {
        HeadVerdict::Read { is_known: false }
    } else {
        HeadVerdict::Skip
    }
}

async fn handle_status_request(
    request: BufferedRequest,
    handle: &DomainHandle,
    recorder: Option<&PrometheusHandle>,
    decode_job: JobDecoder,
) -> BufferedResponse {
    match request.uri().path() {
        METRICS_PATH => {
            let text = recorder.map(PrometheusHandle::render).unwrap_or_default();
            text_response(StatusCode::OK, text)
        }
        DUMP_PATH => text_response(StatusCode::OK, handle.dump().await),
        EXPLAIN_PATH if request.method() == Method::POST => {
            explain_job(request, handle, decode_job).await
        }
        EXPLAIN_PATH => text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            format!("send the job to {EXPLAIN_PATH} with POST\n"),
        ),
        _ => text_response(
            StatusCode::NOT_FOUND,
            format!("no such page; ask for {METRICS_PATH}, {DUMP_PATH} or {EXPLAIN_PATH}\n"),
        ),
    }
}

async fn explain_job(
    request: BufferedRequest,
    handle: &DomainHandle,
    decode_job: JobDecoder,
) -> BufferedResponse {
    let (head, body) = request.into_parts();
    let body = match body {
        Ok(body) => body,
        Err(error) => return text_response(error.status(), format!("{error}\n")),
    };
    let Some(queue) = query_value(&head, "queue") else {
        let text = format!("no queue is named; ask for {EXPLAIN_PATH}?queue=NAME\n");
        return text_response(StatusCode::BAD_REQUEST, text);
    };
    let explained = handle.explain(ExplainRequest {
        queue: queue.into(),
        customer: query_value(&head, "customer").map(CustomerName::from),
        submission: decode_job(&body),
    });
    match explained.await {
        Ok(explanation) if query_value(&head, "format") == Some("json") => {
            let text = serde_json::to_string_pretty(&explanation).unwrap_or_default();
            typed_response(StatusCode::OK, "application/json", text.into())
        }
        Ok(explanation) => text_response(StatusCode::OK, explanation.to_string()),
        Err(error) => text_response(error_status(&error), format!("{error}\n")),
    }
}

/// Returns the value of a field of the query. Names of queues and customers need no escapes.
fn query_value<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    let fields = head.uri.query()?.split('&');
    let mut fields = fields.filter_map(|field| field.split_once('='));
    let found = fields.find(|(key, value)| *key == name && !value.is_empty());
    found.map(|(_, value)| value)
}

const fn error_status(error: &ExplainError) -> StatusCode {
    match error {
        ExplainError::NotPlanner(_) => StatusCode::MISDIRECTED_REQUEST,
        ExplainError::NoPlanner | ExplainError::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
        ExplainError::UnknownQueue(_) | ExplainError::UnknownCustomer(_) => StatusCode::NOT_FOUND,
        ExplainError::Malformed(_) => StatusCode::BAD_REQUEST,
        ExplainError::Failed => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
