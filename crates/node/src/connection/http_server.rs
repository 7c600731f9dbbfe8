//! HTTP server for callers, operators and the load balancer. The head of a request decides
//! whether its body is read; bodies are read completely before a request reaches its handler.
//! What clients may occupy is bounded by [`ClientGuard`]. A graceful shutdown waits for the
//! requests in flight.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::connection::client_guard::{ClientGuard, ClientTicket, HEADS_REFUSED};
use crate::connection::client_limits::{ClientBudget, ClientLimits};
use crate::connection::client_record::{ClientRecord, ClientStage, SweepClock};
use crate::connection::client_stream::ClientStream;
pub use crate::connection::request_body::{BodyError, run_charged};
use crate::connection::request_body::{discard_body, read_body};

/// Delay after a failed accept, so that the server does not spin while the process has no
/// free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay until a listener whose connections are all in use looks for room again.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time between two checks for overdue clients; bounds how late one is noticed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time for the response to a client that is removed while its body is read.
const REMOVAL_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Memory that a complete request takes while it is handled, as a multiple of its body: it is
/// decoded, and a job is encoded again for the log.
const HANDLING_FACTOR: usize = 2;
/// Smallest buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Seconds after which a client whose body had to give way should send it again.
const SHED_RETRY_SECONDS: u64 = 1;

/// A request with its complete body, or the error that occurred while reading it.
pub type BufferedRequest = Request<Result<Bytes, BodyError>>;

/// What a listener decides about a request with a body, by its head.
#[derive(Debug)]
pub enum HeadVerdict {
    /// The body is read.
    Read {
        /// Whether the request carries a valid key. Bodies of others give way first.
        is_known: bool,
    },
    /// The body is not used; the handler gets an empty one.
    Skip,
    /// The request is answered without its body.
    Refuse(Box<BufferedResponse>),
}

/// Rules of a listener for its clients.
pub struct ListenerRules {
    /// Name of the listener in the metrics.
    pub name: &'static str,
    /// Budgets of the process.
    pub guard: ClientGuard,
    /// Limit of the connections of this listener.
    pub max_connections: usize,
    /// Whether a large response may be replaced by a refusal if others are being read. Only
    /// where requests change nothing: a refusal means that the request was not carried out.
    pub refuses_responses: bool,
    /// Returns the limits that are in force.
    pub limits: Box<dyn Fn() -> ClientLimits>,
    /// Decides about a request with a body, by its head.
    pub check_head: Box<dyn Fn(&Parts) -> HeadVerdict>,
}

impl ListenerRules {
    /// Returns the rules of a listener without budgets, for processes whose clients are
    /// trusted.
    pub fn unlimited() -> Self {
        Self {
            name: "unlimited",
            guard: ClientGuard::new(ClientBudget::UNLIMITED),
            max_connections: usize::MAX,
            refuses_responses: false,
            limits: Box::new(ClientLimits::default),
            check_head: Box::new(|_head| HeadVerdict::Read { is_known: true }),
        }
    }
}

impl fmt::Debug for ListenerRules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ListenerRules")
            .field("name", &self.name)
            .field("max_connections", &self.max_connections)
            .finish_non_exhaustive()
    }
}

/// Phase of the shutdown of the server.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServePhase {
    /// Connections are accepted.
    #[default]
    Accepting,
    /// No new connections are accepted; each open one ends after its current request.
    Closing,
    /// Open connections are aborted.
    Aborting,
}

/// A response with a complete body.
pub type BufferedResponse = Response<Full<Bytes>>;

/// Accepts connections until the phase changes and returns after all connections have
/// ended. Must run inside a `LocalSet`.
pub async fn serve_connections<H, F>(
    listener: TcpListener,
    mut phase: watch::Receiver<ServePhase>,
    rules: ListenerRules,
    handler: H,
) where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let rules = Rc::new(rules);
    let handler = Rc::new(handler);
    let mut connections = JoinSet::new();
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut clock = SweepClock::new(Instant::now());
    let shutdown = phase.clone();
    // A client that has connected, but for which there is no room yet.
    let mut waiting = None;
    loop {
        let has_room = waiting.is_some() && make_room(&rules);
        if has_room && let Some((stream, remote)) = waiting.take() {
            let ticket = open_client(&rules);
            let (rules, handler) = (Rc::clone(&rules), Rc::clone(&handler));
            let phase = shutdown.clone();
            connections.spawn_local(serve_connection(
                stream, remote, phase, ticket, rules, handler,
            ));
            // Lets the new client, and one that gave way to it, make progress before the next
            // one is accepted.
            tokio::task::yield_now().await;
        }
        tokio::select! {
            accepted = listener.accept(), if waiting.is_none() => match accepted {
                Ok(accepted) => waiting = Some(accepted),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = tokio::time::sleep(ROOM_RETRY_DELAY), if waiting.is_some() => {}
            Some(_) = connections.join_next() => {}
            _ = sweeps.tick() => sweep_clients(&rules, &mut clock),
            () = wait_for_phase(&mut phase, ServePhase::Closing) => break,
        }
    }
    drop(listener);
    let ending = async {
        loop {
            tokio::select! {
                ended = connections.join_next() => if ended.is_none() { return },
                _ = sweeps.tick() => sweep_clients(&rules, &mut clock),
            }
        }
    };
    let is_ended = tokio::select! {
        () = ending => true,
        () = wait_for_phase(&mut phase, ServePhase::Aborting) => false,
    };
    if !is_ended {
        connections.shutdown().await;
    }
}

/// Whether there is room for another client of the listener; see [`ClientGuard::make_room`].
fn make_room(rules: &ListenerRules) -> bool {
    let guard = &rules.guard;
    guard.make_room(rules.name, rules.max_connections, Instant::now())
}

fn open_client(rules: &ListenerRules) -> ClientTicket {
    let limits = (rules.limits)();
    let max_head_bytes = limits.max_head_bytes;
    rules.guard.open(rules.name, max_head_bytes, Instant::now())
}

fn sweep_clients(rules: &ListenerRules, clock: &mut SweepClock) {
    let now = Instant::now();
    if clock.is_due(now) {
        let limits = (rules.limits)();
        let guard = &rules.guard;
        guard.sweep(rules.name, rules.max_connections, &limits, now);
    }
}

/// Waits for at least the phase `minimum`. Returns at once if the sender was dropped.
async fn wait_for_phase(phase: &mut watch::Receiver<ServePhase>, minimum: ServePhase) {
    let _ = phase.wait_for(|phase| *phase >= minimum).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    remote: SocketAddr,
    mut phase: watch::Receiver<ServePhase>,
    ticket: ClientTicket,
    rules: Rc<ListenerRules>,
    handler: Rc<H>,
) where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let record = Rc::clone(&ticket.record);
    let stream = ClientStream::new(stream, Rc::clone(&record));
    let ticket = Rc::new(ticket);
    let service = service_fn(move |request| {
        let (rules, ticket) = (Rc::clone(&rules), Rc::clone(&ticket));
        let handler = Rc::clone(&handler);
        async move {
            Ok::<_, Infallible>(serve_request(request, remote, &rules, &ticket, &*handler).await)
        }
    });
    // The times of a client are watched by `ClientGuard::sweep`, for all clients at once.
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .header_read_timeout(None)
            .max_header_size(record.max_head_bytes)
            .max_buf_size(record.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service)
    );
    // A removed client is closed before it can begin another request.
    tokio::select! {
        biased;
        () = wait_for_closing(&record) => return,
        _ = connection.as_mut() => return,
        () = wait_for_phase(&mut phase, ServePhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = wait_for_closing(&record) => {}
        _ = connection => {}
    }
}

/// Waits until the connection has to be closed at once. A client that is removed while its
/// body is read gets a response first.
async fn wait_for_closing(record: &ClientRecord) {
    record.wait_removed().await;
    if record.is_answered_first.get() {
        tokio::time::sleep(REMOVAL_ANSWER_TIME).await;
    }
}

async fn serve_request<H, F>(
    request: Request<Incoming>,
    remote: SocketAddr,
    rules: &ListenerRules,
    ticket: &ClientTicket,
    handler: &H,
) -> BufferedResponse
where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    let limits = (rules.limits)();
    let mut response = answer_request(request, remote, rules, &limits, ticket, handler).await;
    ticket.release();
    let record = &ticket.record;
    if record.removal.get().is_some()
        || record.is_retiring.get()
        || record.max_head_bytes != limits.max_head_bytes
    {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    ticket.enter(ClientStage::Answering);
    charge_response(response, rules).await
}

async fn answer_request<H, F>(
    request: Request<Incoming>,
    remote: SocketAddr,
    rules: &ListenerRules,
    limits: &ClientLimits,
    ticket: &ClientTicket,
    handler: &H,
) -> BufferedResponse
where
    H: Fn(BufferedRequest, SocketAddr) -> F + 'static,
    F: Future<Output = BufferedResponse> + 'static,
{
    if ticket.record.removal.get().is_some() {
        let text = BodyError::Shed.to_string();
        return text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    let (mut head, body) = request.into_parts();
    if head_size(&head) > limits.max_head_bytes {
        let text = format!(
            "the head exceeds {} bytes; send less\n",
            limits.max_head_bytes
        );
        let response = text_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, text);
        return refuse_head(response, rules);
    }
    if body.is_end_stream() {
        ticket.enter(ClientStage::Handling);
        return handler(Request::from_parts(head, Ok(Bytes::new())), remote).await;
    }
    ticket.enter(ClientStage::Body);
    // A client that waits for the permission to send its body has sent nothing to discard.
    let is_waiting = head.headers.contains_key(EXPECT);
    let body = match (rules.check_head)(&head) {
        HeadVerdict::Read { is_known } => {
            ticket.record.is_known.set(is_known);
            read_body(body, ticket, limits.max_body_bytes).await
        }
        verdict => {
            if !is_waiting {
                discard_body(body, ticket, limits.max_body_bytes).await;
            }
            match verdict {
                HeadVerdict::Refuse(response) => return refuse_head(*response, rules),
                HeadVerdict::Skip | HeadVerdict::Read { .. } => {
                    let removal = ticket.record.removal.get();
                    removal.map_or(Ok(Bytes::new()), |removal| Err(removal.into()))
                }
            }
        }
    };
    let body = body.and_then(|body| {
        let handled_bytes = HANDLING_FACTOR * body.len();
        let _has_shed = ticket.charge(handled_bytes, Instant::now())?;
        let (body, charge) = ticket.hand_over(body);
        head.extensions.insert(charge);
        Ok(body)
    });
    let is_shed = body == Err(BodyError::Shed);
    ticket.enter(ClientStage::Handling);
    let mut response = handler(Request::from_parts(head, body), remote).await;
    if is_shed {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(SHED_RETRY_SECONDS));
    }
    response
}

fn refuse_head(response: BufferedResponse, rules: &ListenerRules) -> BufferedResponse {
    let status = response.status().as_str().to_owned();
    counter!(HEADS_REFUSED, "listener" => rules.name, "status" => status).increment(1);
    response
}

/// Returns the approximate size of a head as it was sent.
fn head_size(head: &Parts) -> usize {
    let fields = head.headers.iter();
    let fields: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    fields + path + head.method.as_str().len()
}

/// Charges the body of a response to the budget until it is sent. Clients that do not read
/// large responses would otherwise fill the memory.
async fn charge_response(response: BufferedResponse, rules: &ListenerRules) -> BufferedResponse {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let body = body.to_bytes();
    if rules.refuses_responses && !rules.guard.has_response_room(body.len()) {
        let text = "too many large responses are being read; ask again later\n";
        return text_response(StatusCode::SERVICE_UNAVAILABLE, text.to_owned());
    }
    let body = rules.guard.charge_response(body);
    Response::from_parts(head, Full::new(body))
}

/// Returns a plain text response.
pub fn text_response(status: StatusCode, text: String) -> BufferedResponse {
    typed_response(status, "text/plain; charset=utf-8", Bytes::from(text))
}

/// Returns a response with the given content type.
pub fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> BufferedResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Returns a JSON response.
pub fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> BufferedResponse {
    match serde_json::to_vec(body) {
        Ok(text) => typed_response(status, "application/json", Bytes::from(text)),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
