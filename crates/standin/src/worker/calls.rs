//! Calls on a stand-in worker. A call holds a slot while it runs, is counted under
//! its request identifier, and returns text derived from the request.

use std::time::Duration;

use bytes::Bytes;
use flamingowalk_wire::target::TargetRefusal;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::time::sleep;

use super::SharedWorker;
use super::state::{WorkerState, draining_refusal, no_capacity_refusal, unsupported_refusal};
use crate::reply::{self, Reply};
use crate::server::BufferedRequest;

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("flamingowalk-request-id");
/// Response header that confirms that a failed call did run.
const RAN_HEADER: HeaderName = HeaderName::from_static("flamingowalk-ran");

/// Frees the slot of a call on drop, also when the connection closes early.
struct CallSlot<'a> {
    shared: &'a SharedWorker,
}

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.shared.with_state(|state| state.calls_in_flight -= 1);
    }
}

/// Parameters of an admitted call, fixed at its admission.
struct AdmittedCall {
    run_time: Duration,
    is_failing: bool,
    worker: String,
}

/// Runs a call in a slot, or refuses it without an effect. Either reply echoes the
/// request identifier.
pub(super) async fn run(shared: &SharedWorker, service: &str, request: &BufferedRequest) -> Reply {
    let id = request.headers.get(&REQUEST_ID_HEADER);
    let text = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let mut reply = match shared.with_state(|state| admit(state, service, text)) {
        Ok(call) => execute(shared, &call, service, request).await,
        Err(refusal) => reply::json(StatusCode::SERVICE_UNAVAILABLE, &refusal),
    };
    if let Some(id) = id {
        reply.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
    reply
}

async fn execute(
    shared: &SharedWorker,
    call: &AdmittedCall,
    service: &str,
    request: &BufferedRequest,
) -> Reply {
    let slot = CallSlot { shared };
    sleep(call.run_time).await;
    drop(slot);
    if call.is_failing {
        failure_reply(call)
    } else {
        success_reply(call, service, &request.body)
    }
}

fn admit(state: &mut WorkerState, service: &str, id: &str) -> Result<AdmittedCall, TargetRefusal> {
    if !state.options.services.iter().any(|known| known == service) {
        return Err(unsupported_refusal(
            "worker does not run this service; use a worker that lists it",
        ));
    }
    if state.draining {
        return Err(draining_refusal());
    }
    if state.free_slots() == 0 {
        return Err(no_capacity_refusal());
    }
    state.calls_in_flight += 1;
    *state.call_runs.entry(id.to_owned()).or_default() += 1;
    Ok(AdmittedCall {
        run_time: state.options.call_time * state.slowness,
        is_failing: state.failing_starts,
        worker: state.options.name.clone(),
    })
}

fn success_reply(call: &AdmittedCall, service: &str, body: &Bytes) -> Reply {
    let text = String::from_utf8_lossy(body);
    let worker = &call.worker;
    let text = format!("{service} on {worker}: {} bytes: {text}", body.len());
    Response::new(Full::new(Bytes::from(text)))
}

fn failure_reply(call: &AdmittedCall) -> Reply {
    let text = format!("call failed on {}", call.worker);
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    reply
        .headers_mut()
        .insert(RAN_HEADER, HeaderValue::from_static("true"));
    reply
}
