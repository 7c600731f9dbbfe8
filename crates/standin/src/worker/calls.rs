//! Calls on a stand-in worker. Each holds a slot while it runs, is counted by its
//! request identifier, and answers with text derived from the request.

use std::time::Duration;

use bytes::Bytes;
use flamingowalk_wire::target::TargetRefusal;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::time::sleep;

use super::SharedWorker;
use super::state::{WorkerState, full_refusal, leaving_refusal, unsupported_refusal};
use crate::reply::{self, Reply};
use crate::server::WholeRequest;

const REQUEST_ID: HeaderName = HeaderName::from_static("flamingowalk-request-id");
/// Proves that a call which failed had run.
const RAN: HeaderName = HeaderName::from_static("flamingowalk-ran");

/// Frees the slot of a call, also when its connection breaks off.
struct CallSlot<'a> {
    shared: &'a SharedWorker,
}

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.shared.with_state(|state| state.calls_in_flight -= 1);
    }
}

/// How an admitted call is to run.
struct CallPlan {
    time: Duration,
    failing: bool,
    worker: String,
}

/// Runs a call on its slot, or refuses it without an effect. Either reply carries
/// the identifier of its request.
pub(super) async fn run(shared: &SharedWorker, service: &str, request: &WholeRequest) -> Reply {
    let id = request.headers.get(&REQUEST_ID);
    let text = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let mut reply = match shared.with_state(|state| admit(state, service, text)) {
        Ok(plan) => carry_out(shared, &plan, service, request).await,
        Err(refusal) => reply::json(StatusCode::SERVICE_UNAVAILABLE, &refusal),
    };
    if let Some(id) = id {
        reply.headers_mut().insert(REQUEST_ID, id.clone());
    }
    reply
}

async fn carry_out(
    shared: &SharedWorker,
    plan: &CallPlan,
    service: &str,
    request: &WholeRequest,
) -> Reply {
    let slot = CallSlot { shared };
    sleep(plan.time).await;
    drop(slot);
    if plan.failing {
        failure(plan)
    } else {
        answer(plan, service, &request.body)
    }
}

fn admit(state: &mut WorkerState, service: &str, id: &str) -> Result<CallPlan, TargetRefusal> {
    if !state.options.services.iter().any(|known| known == service) {
        return Err(unsupported_refusal(
            "worker does not run this service; use a worker that lists it",
        ));
    }
    if state.leaving {
        return Err(leaving_refusal());
    }
    if state.free_slots() == 0 {
        return Err(full_refusal());
    }
    state.calls_in_flight += 1;
    *state.call_runs.entry(id.to_owned()).or_default() += 1;
    Ok(CallPlan {
        time: state.options.call_time * state.slowness,
        failing: state.failing_starts,
        worker: state.options.name.clone(),
    })
}

fn answer(plan: &CallPlan, service: &str, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let worker = &plan.worker;
    let text = format!("{service} on {worker}: {} bytes: {text}", body.len());
    Response::new(Full::new(Bytes::from(text)))
}

fn failure(plan: &CallPlan) -> Reply {
    let text = format!("call failed on {}", plan.worker);
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    reply
        .headers_mut()
        .insert(RAN, HeaderValue::from_static("true"));
    reply
}
