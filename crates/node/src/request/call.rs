//! Carries one call to its target and back. The target's echo of the request
//! identifier proves that an answer belongs to this call.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::border::caller::{
    CUSTOMER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, KEY_HEADER, REQUEST_HEADER,
};
use crate::connection::http_server::{BODY_LIMIT, WholeResponse};
use crate::process::counters::CALLS_ENDED;
use crate::process::host_event::{EventSender, HostEvent};
use crate::request::call_request::{
    CallFault, CallRequest, CallTarget, answer_response, fault_response,
};

/// Serves one call from arrival to response.
pub async fn serve_call(request: CallRequest, events: EventSender) -> WholeResponse {
    let request_id = request.headers.request_id.clone();
    let result = route_call(request, &events).await;
    let outcome = result
        .as_ref()
        .map_or_else(CallFault::label, |_answer| "answered");
    counter!(CALLS_ENDED, "outcome" => outcome).increment(1);
    match result {
        Ok(body) => answer_response(&request_id, body),
        Err(fault) => fault_response(&request_id, &fault),
    }
}

async fn route_call(request: CallRequest, events: &EventSender) -> Result<Bytes, CallFault> {
    let stopped = || CallFault::NotRun("the host is stopping; use another host".to_owned());
    let (reply, answer) = oneshot::channel();
    let arrival = HostEvent::CallArrived {
        request: request.clone(),
        reply,
    };
    events.send(arrival).map_err(|_closed| stopped())?;
    let target = answer.await.map_err(|_closed| stopped())??;
    let deadline = target.deadline;
    let exchange = exchange_call(&request, &target);
    let result = tokio::time::timeout(deadline, exchange)
        .await
        .unwrap_or_else(|_elapsed| {
            let text =
                format!("no answer within {deadline:?}; check whether it ran before repeating");
            Err(CallFault::OutcomeUnknown(text))
        });
    let _ = events.send(HostEvent::CallEnded { target });
    result
}

async fn exchange_call(request: &CallRequest, target: &CallTarget) -> Result<Bytes, CallFault> {
    let worker = &target.worker;
    let unknown = |detail: &str| {
        CallFault::OutcomeUnknown(format!("{worker} {detail}; check before repeating"))
    };
    let stream = TcpStream::connect(target.address).await.map_err(|error| {
        CallFault::NotRun(format!(
            "no connection to {worker} ({error}); send it again"
        ))
    })?;
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake
        .map_err(|error| CallFault::NotRun(format!("no connection to {worker} ({error})")))?;
    let driver = tokio::task::spawn_local(connection);
    let sent = sender.send_request(target_request(request, target)?).await;
    let response = sent.map_err(|error| unknown(&format!("gave no answer ({error})")))?;
    let (head, body) = response.into_parts();
    let whole = Limited::new(body, BODY_LIMIT).collect().await;
    let whole = whole.map_err(|error| unknown(&format!("cut its answer ({error})")))?;
    driver.abort();
    let echoed = head
        .headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok());
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(CallFault::NotRun(format!(
            "{worker} takes no calls now; send it again"
        )));
    }
    if echoed != Some(request.headers.request_id.as_str()) {
        return Err(unknown("answered another request"));
    }
    if head.status.is_success() {
        Ok(whole.to_bytes())
    } else {
        let text = String::from_utf8_lossy(&whole.to_bytes()).into_owned();
        Err(CallFault::Failed(format!(
            "{worker} answered {}: {text}",
            head.status
        )))
    }
}

fn target_request(
    request: &CallRequest,
    target: &CallTarget,
) -> Result<Request<Full<Bytes>>, CallFault> {
    let headers = &request.headers;
    let mut builder = Request::post(format!("/v1/calls/{}", request.service))
        .header("host", target.address.to_string())
        .header(CUSTOMER_HEADER, headers.customer.as_str())
        .header(REQUEST_HEADER, &headers.request_id)
        .header(DEADLINE_HEADER, target.deadline.as_millis().to_string())
        .header(IDEMPOTENT_HEADER, headers.idempotent.to_string());
    if let Some(key) = &headers.key {
        builder = builder.header(KEY_HEADER, key);
    }
    let body = Full::new(request.body.clone());
    builder
        .body(body)
        .map_err(|error| CallFault::Invalid(error.to_string()))
}
