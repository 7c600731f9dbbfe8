//! Routes of the HTTP port of an entry host.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::oneshot;

use crate::border::caller::{CallHeaders, REQUEST_HEADER};
use crate::connection::client_guard::BodyCharge;
use crate::connection::http_server::{
    BufferedRequest, BufferedResponse, HeadVerdict, json_response, text_response, typed_response,
};
use crate::process::host_event::{EventSender, HostEvent};
use crate::request::call::{CallContext, serve_call};
use crate::request::call_request::{CallError, CallRequest, error_response};
use crate::request::job_request::{cancel_job, query_job, submit_job};

/// Decides by its head whether the body of a request is read: only calls and submissions have
/// one.
pub fn check_head(head: &Parts) -> HeadVerdict {
    let path = head.uri.path();
    let takes_body = path.starts_with("/v1/call/") || path == "/v1/jobs";
    if head.method == Method::POST && takes_body {
        // The port has no keys.
        HeadVerdict::Read { is_known: true }
    } else {
        HeadVerdict::Skip
    }
}

/// Dispatches a request to the handler of its route.
pub async fn route_request(
    request: BufferedRequest,
    _remote: SocketAddr,
    calls: CallContext,
    recorder: Option<PrometheusHandle>,
) -> BufferedResponse {
    let events = calls.events.clone();
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(service) = path.strip_prefix("/v1/call/") {
        return route_call(request, service, &method, calls).await;
    }
    if let Some(id) = path.strip_prefix("/v1/jobs/") {
        return match method {
            Method::GET => query_job(id, events).await,
            Method::DELETE => cancel_job(id, events).await,
            _ => method_not_allowed("GET or DELETE"),
        };
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/jobs") => {
            let charge = request.extensions().get::<BodyCharge>().cloned();
            match request.into_body() {
                Ok(body) => submit_job(body, charge, events).await,
                Err(error) => {
                    let text = format!("{error}. The request was not run");
                    text_response(error.status(), text)
                }
            }
        }
        (Method::GET, "/v1/status") => {
            reply_with(&events, |reply| HostEvent::StatusRequested { reply }).await
        }
        (Method::GET, "/debug/state") => dump_state(&request, &events).await,
        (Method::POST, "/v1/drain") => {
            let sent = events.send(HostEvent::DrainRequested).is_ok();
            let text = if sent { "draining" } else { "already stopped" };
            text_response(StatusCode::ACCEPTED, text.to_owned())
        }
        (Method::GET, "/healthz") => text_response(StatusCode::OK, "alive".to_owned()),
        (Method::GET, "/readyz") => report_readiness(&events).await,
        (Method::GET, "/metrics") => {
            let text = recorder.map(|handle| handle.render()).unwrap_or_default();
            typed_response(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                Bytes::from(text),
            )
        }
        _ => text_response(
            StatusCode::NOT_FOUND,
            format!("there is nothing at {path}; docs/INTERFACES.md lists the routes"),
        ),
    }
}

async fn route_call(
    request: BufferedRequest,
    service: &str,
    method: &Method,
    calls: CallContext,
) -> BufferedResponse {
    if method != Method::POST {
        return method_not_allowed("POST");
    }
    let (head, body) = request.into_parts();
    let id = head
        .headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok());
    let reject = |error| error_response(id.unwrap_or_default(), &error);
    let headers = match CallHeaders::parse(&head.headers) {
        Ok(headers) => headers,
        Err(error) => return reject(CallError::Invalid(error.to_string())),
    };
    match body {
        Ok(body) => {
            let service = service.into();
            serve_call(
                CallRequest {
                    service,
                    headers,
                    body,
                },
                calls,
            )
            .await
        }
        Err(error) => reject(CallError::BadBody(error)),
    }
}

async fn request_reply<T>(
    events: &EventSender,
    event: impl FnOnce(oneshot::Sender<T>) -> HostEvent,
) -> Option<T> {
    let (reply, response) = oneshot::channel();
    events.send(event(reply)).ok()?;
    response.await.ok()
}

async fn reply_with<T: serde::Serialize>(
    events: &EventSender,
    event: impl FnOnce(oneshot::Sender<T>) -> HostEvent,
) -> BufferedResponse {
    match request_reply(events, event).await {
        Some(body) => json_response(StatusCode::OK, &body),
        None => stopping_response(),
    }
}

async fn dump_state(request: &BufferedRequest, events: &EventSender) -> BufferedResponse {
    let Some(dump) = request_reply(events, |reply| HostEvent::DumpRequested { reply }).await else {
        return stopping_response();
    };
    let wants_json = request
        .uri()
        .query()
        .is_some_and(|query| query.contains("format=json"));
    if wants_json {
        json_response(StatusCode::OK, &dump)
    } else {
        text_response(StatusCode::OK, dump.to_string())
    }
}

async fn report_readiness(events: &EventSender) -> BufferedResponse {
    let ready = request_reply(events, |reply| HostEvent::ReadinessRequested { reply }).await;
    if ready == Some(true) {
        text_response(StatusCode::OK, "ready".to_owned())
    } else {
        text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "starting or draining".to_owned(),
        )
    }
}

fn stopping_response() -> BufferedResponse {
    let text = "the host is stopping; use another host".to_owned();
    text_response(StatusCode::SERVICE_UNAVAILABLE, text)
}

fn method_not_allowed(allowed: &str) -> BufferedResponse {
    text_response(
        StatusCode::METHOD_NOT_ALLOWED,
        format!("use {allowed} here"),
    )
}
