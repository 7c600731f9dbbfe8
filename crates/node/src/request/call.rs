//! Runs one call as the call dispatcher orders. The call runs in a task of its own: if
//! the caller disconnects, an attempt in flight is completed, occupies its slot until
//! then, and is not retried.

use std::cell::Cell;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::admission::queue::CallTicket;
use flamingowalk_core::process::router::dispatcher::message::{AttemptOrder, CallEvent, CallOrder};
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::{ConnectionAge, FailurePoint, RetrySafety};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use metrics::counter;
use tokio::sync::{mpsc, oneshot};

use crate::border::caller::{
    CUSTOMER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, REQUEST_HEADER,
};
use crate::connection::http_server::BufferedResponse;
use crate::connection::target_connection::{ExchangeOutcome, TargetConnection};
use crate::connection::target_pool::TargetPool;
use crate::connection::target_request::TargetRequest;
use crate::process::call_port::{ArrivedCall, CallMessage, CallReply};
use crate::process::counters::CALLS_ENDED;
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent};
use crate::request::call_request::{CallError, CallRequest, error_response, success_response};

/// Shared state of the host that every call uses.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Sender of events to the event loop.
    pub events: EventSender,
    /// Pool of idle connections to targets.
    pub pool: TargetPool,
    /// Clock of the host.
    pub clock: HostClock,
}

/// Serves one call from arrival to response. Must run inside a `LocalSet`.
pub async fn serve_call(request: CallRequest, context: CallContext) -> BufferedResponse {
    let request_id = request.headers.request_id.clone();
    let (reply, result) = oneshot::channel();
    tokio::task::spawn_local(run_call(request, context, reply));
    let result = result
        .await
        .unwrap_or_else(|_closed| Err(CallError::stopping()));
    let outcome = result
        .as_ref()
        .map_or_else(CallError::label, |_answer| "answered");
    counter!(CALLS_ENDED, "outcome" => outcome).increment(1);
    match result {
        Ok(body) => success_response(&request_id, body),
        Err(error) => error_response(&request_id, &error),
    }
}

async fn run_call(
    request: CallRequest,
    context: CallContext,
    reply: oneshot::Sender<Result<Bytes, CallError>>,
) {
    match CallTask::open(request, context).await {
        Ok(task) => task.run(reply).await,
        Err(error) => {
            // The send fails if the caller has disconnected.
            let _ = reply.send(Err(error));
        }
    }
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptStage {
    /// No part of the request has been sent.
    Connecting,
    /// The request was passed to a connection of this age.
    Sent(ConnectionAge),
}

/// Task that runs one open call.
struct CallTask {
    request: CallRequest,
    context: CallContext,
    inbox: mpsc::UnboundedReceiver<CallReply>,
    ticket: CallTicket,
    deadline: CallDeadline,
    body_limit: u64,
}

impl CallTask {
    async fn open(request: CallRequest, context: CallContext) -> Result<Self, CallError> {
        let (orders, mut inbox) = mpsc::unbounded_channel();
        let headers = &request.headers;
        let call = ArrivedCall {
            customer: headers.customer.clone(),
            service: request.service.clone(),
            safety: retry_safety(headers.idempotent),
            allowed: headers.deadline,
            key: headers.key.clone(),
            body_size: request.body.len() as u64,
            arrived_at: context.clock.now(),
        };
        let arrived = CallMessage::Arrived { call, orders };
        context
            .events
            .send(HostEvent::Call(arrived))
            .map_err(|_closed| CallError::stopping())?;
        match inbox.recv().await {
            Some(CallReply::Opened {
                ticket,
                deadline,
                body_limit,
            }) => Ok(Self {
                request,
                context,
                inbox,
                ticket,
                deadline,
                body_limit,
            }),
            Some(CallReply::Refused(error)) => Err(error),
            Some(CallReply::Order(_)) | None => Err(CallError::stopping()),
        }
    }

    /// Executes orders until the call has ended.
    async fn run(mut self, mut reply: oneshot::Sender<Result<Bytes, CallError>>) {
        let mut order = self.next_order().await;
        loop {
            order = match order {
                Some(CallOrder::Wait(until)) => self.wait(until, &mut reply).await,
                Some(CallOrder::Attempt(attempt)) => match self.attempt(attempt, &reply).await {
                    AttemptOutcome::Next(next) => next,
                    AttemptOutcome::Answered(body, latency) => {
                        let _ = reply.send(Ok(body));
                        return self.report(CallEvent::Answered(latency));
                    }
                },
                Some(CallOrder::End(ending)) => {
                    let _ = reply.send(Err(CallError::from_ending(&ending)));
                    return;
                }
                Some(CallOrder::Continue) | None => {
                    debug_assert!(order.is_none(), "continue order without an attempt");
                    return;
                }
            };
        }
    }

    /// Waits for the next order; returns `None` if the caller has disconnected.
    async fn wait(
        &mut self,
        until: MonotonicTime,
        reply: &mut oneshot::Sender<Result<Bytes, CallError>>,
    ) -> Option<CallOrder> {
        let clock = self.context.clock;
        tokio::select! {
            next = self.next_order() => return next,
            () = sleep_until(until, clock) => {}
            () = reply.closed() => {
                self.report(CallEvent::CallerDisconnected);
                return None;
            }
        }
        self.report(CallEvent::WaitEnded);
        self.next_order().await
    }

    async fn attempt(
        &mut self,
        order: AttemptOrder,
        reply: &oneshot::Sender<Result<Bytes, CallError>>,
    ) -> AttemptOutcome {
        let stage = Cell::new(AttemptStage::Connecting);
        let clock = self.context.clock;
        let started = clock.now();
        let exchange = run_attempt(
            self.context.pool.clone(),
            clock,
            PreparedAttempt::new(&self.request, &order, self.deadline, self.body_limit),
            &stage,
        );
        let mut exchange = std::pin::pin!(exchange);
        let mut late_at = order.late_after.map(|after| started + after);
        loop {
            let next_check = late_at
                .unwrap_or(self.deadline.expires_at)
                .min(self.deadline.expires_at);
            tokio::select! {
                outcome = &mut exchange => return self.finish_attempt(outcome, started, reply).await,
                () = sleep_until(next_check, clock) => {}
            }
            if self.deadline.is_expired(clock.now()) {
                return self.fail(deadline_failure(stage.get()), reply).await;
            }
            late_at = None;
            let AttemptStage::Sent(age) = stage.get() else {
                // Connecting has its own timeout, so the delay for a late response restarts now.
                late_at = order.late_after.map(|after| clock.now() + after);
                continue;
            };
            if reply.is_closed() {
                continue;
            }
            self.report(CallEvent::AttemptLate(age));
            match self.next_order().await {
                Some(CallOrder::Continue) | None => {}
                other => return AttemptOutcome::Next(other),
            }
        }
    }

    async fn finish_attempt(
        &mut self,
        outcome: ExchangeOutcome,
        started: MonotonicTime,
        reply: &oneshot::Sender<Result<Bytes, CallError>>,
    ) -> AttemptOutcome {
        if let Some(connection) = outcome.connection {
            self.context.pool.check_in(connection);
        }
        match outcome.result {
            Ok(body) => AttemptOutcome::Answered(body, self.context.clock.now().since(started)),
            Err(point) => self.fail((point, outcome.age), reply).await,
        }
    }

    async fn fail(
        &mut self,
        (point, age): (FailurePoint, ConnectionAge),
        reply: &oneshot::Sender<Result<Bytes, CallError>>,
    ) -> AttemptOutcome {
        let is_disconnected = reply.is_closed();
        if is_disconnected {
            self.report(CallEvent::CallerDisconnected);
        }
        self.report(CallEvent::Failed(point, age));
        AttemptOutcome::Next(if is_disconnected {
            None
        } else {
            self.next_order().await
        })
    }

    fn report(&self, event: CallEvent) {
        let message = CallMessage::Event {
            ticket: self.ticket,
            event,
        };
        // Sending fails only if the event loop has ended; it counts no calls then.
        let _ = self.context.events.send(HostEvent::Call(message));
    }

    async fn next_order(&mut self) -> Option<CallOrder> {
        match self.inbox.recv().await? {
            CallReply::Order(order) => Some(order),
            CallReply::Opened { .. } | CallReply::Refused(_) => None,
        }
    }
}

/// Outcome of one attempt for its call.
enum AttemptOutcome {
    /// The target sent a complete response after this time.
    Answered(Bytes, Duration),
    /// The next order of the dispatcher; `None` if the call is over.
    Next(Option<CallOrder>),
}

/// Data of one attempt, independent of the task of its call.
struct PreparedAttempt {
    order: AttemptOrder,
    headers: HeaderMap,
    path: Option<Uri>,
    body: Bytes,
    safety: RetrySafety,
    deadline: CallDeadline,
    body_limit: u64,
}

impl PreparedAttempt {
    fn new(
        request: &CallRequest,
        order: &AttemptOrder,
        deadline: CallDeadline,
        body_limit: u64,
    ) -> Self {
        Self {
            order: order.clone(),
            headers: target_headers(request),
            path: format!("/v1/calls/{}", request.service).parse().ok(),
            body: request.body.clone(),
            safety: retry_safety(request.headers.idempotent),
            deadline,
            body_limit,
        }
    }

    fn into_request(self, now: MonotonicTime) -> Option<TargetRequest> {
        let millis = self.deadline.header_millis(now)?;
        let mut headers = self.headers;
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
        let address = self.order.address;
        Some(TargetRequest::new(
            Method::POST,
            self.path?,
            address,
            headers,
            self.body,
        ))
    }
}

async fn run_attempt(
    pool: TargetPool,
    clock: HostClock,
    prepared: PreparedAttempt,
    stage: &Cell<AttemptStage>,
) -> ExchangeOutcome {
    let now = move || clock.now();
    let (address, needs_fresh) = (prepared.order.address, prepared.order.needs_fresh);
    let opened = pool
        .check_out(address, prepared.safety, needs_fresh, now)
        .await;
    let connection = match opened {
        Ok(connection) => connection,
        Err(point) => return unsent(point, None),
    };
    let body_limit = prepared.body_limit;
    let Some(request) = prepared.into_request(clock.now()) else {
        return unsent(FailurePoint::BeforeConnect, Some(connection));
    };
    stage.set(AttemptStage::Sent(connection.age()));
    connection.exchange(request, body_limit, now).await
}

const fn unsent(point: FailurePoint, connection: Option<TargetConnection>) -> ExchangeOutcome {
    ExchangeOutcome {
        result: Err(point),
        age: ConnectionAge::Fresh,
        connection,
    }
}

/// Returns the point of failure of an attempt that the deadline interrupts.
const fn deadline_failure(stage: AttemptStage) -> (FailurePoint, ConnectionAge) {
    match stage {
        AttemptStage::Connecting => (FailurePoint::BeforeConnect, ConnectionAge::Fresh),
        AttemptStage::Sent(age) => (FailurePoint::AfterDeadline, age),
    }
}

fn target_headers(request: &CallRequest) -> HeaderMap {
    let source = &request.headers;
    let idempotent = if source.idempotent { "true" } else { "false" };
    let mut headers = HeaderMap::new();
    let mut insert = |name: &'static str, value: &str| {
        // The values were received as headers, so they are valid.
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert(CUSTOMER_HEADER, source.customer.as_str());
    insert(REQUEST_HEADER, &source.request_id);
    insert(IDEMPOTENT_HEADER, idempotent);
    if let Some(key) = &source.key {
        insert(IDEMPOTENCY_KEY_HEADER, key);
    }
    headers
}

const fn retry_safety(is_idempotent: bool) -> RetrySafety {
    if is_idempotent {
        RetrySafety::Idempotent
    } else {
        RetrySafety::NonIdempotent
    }
}

async fn sleep_until(time: MonotonicTime, clock: HostClock) {
    tokio::time::sleep(time.since(clock.now())).await;
}
