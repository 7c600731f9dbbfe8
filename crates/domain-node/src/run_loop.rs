//! The event loop of a host. It passes one event after the other to the state machine of
//! the host and spawns tasks that execute the resulting actions.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use flamingowalk_core::prelude::*;
use flamingowalk_domain::process::action::{CallTicket, HostAction};
use flamingowalk_domain::process::event::{AdviceError, HostEvent, WorkerError};
use flamingowalk_domain::process::host::explain::{ExplainError, ExplainRequest};
use flamingowalk_domain::process::host::{DomainHost, HostIdentity};
use flamingowalk_domain::process::machine::MachineError;
use flamingowalk_domain::process::planner::explain::report::JobExplanation;
use flamingowalk_domain::process::stream::StreamError;
use flamingowalk_domain::request::caller_request::{
    CallerError, CallerOperation, CallerRequest, CallerResponse, RequestTicket,
};
use flamingowalk_domain::version::manifest::DomainManifest;
use flamingowalk_node::process::host_clock::HostClock;
use metrics::{counter, histogram};
use tokio::sync::{mpsc, oneshot, watch};

use crate::boot_clock::BootClock;
use crate::ports::{DomainPorts, ReadProgress};

/// Time between two ticks; bounds how late an expired timeout of the host is noticed.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Delay of a tick from which a stall of the process is logged.
const LATE_TICK_THRESHOLD: Duration = Duration::from_millis(500);
/// Name of the histogram of tick delays, in seconds.
pub const TICK_DELAY_METRIC: &str = "flamingowalk_domain_tick_delay_seconds";

/// Counter of panics that were caught, by `place`.
pub const PANICS: &str = "flamingowalk_domain_panics_total";

/// Explanation of a job, or why there is none.
pub type ExplainResult = Result<JobExplanation, ExplainError>;

/// An event for the loop. The loop sends the reply through the sender in the event.
#[derive(Debug)]
enum LoopEvent {
    /// An event for the state machine of the host.
    Host(HostEvent),
    /// A caller's request.
    Request(CallerRequest, oneshot::Sender<CallerResponse>),
    /// Asks whether the host accepts requests.
    ReadinessRequested(oneshot::Sender<bool>),
    /// Asks whether the host has drained.
    DrainStatusRequested(oneshot::Sender<bool>),
    /// Asks for the state as text.
    DumpRequested(oneshot::Sender<String>),
    /// Asks where a job would go.
    ExplainRequested(ExplainRequest, oneshot::Sender<ExplainResult>),
}

/// Handle that sends events to the loop.
#[derive(Clone, Debug)]
pub struct DomainHandle {
    events: mpsc::UnboundedSender<LoopEvent>,
    manifest: watch::Receiver<Option<Arc<DomainManifest>>>,
}

/// The content of a caller's request, before the loop has assigned a ticket to it.
#[derive(Debug)]
pub struct RequestParts {
    /// Host name to which the request is addressed.
    pub host: Arc<str>,
    /// Path of the request, without the query.
    pub path: Arc<str>,
    /// Key of the customer.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Requested operation.
    pub operation: CallerOperation,
}

impl DomainHandle {
    /// Sends a caller's request to the loop and waits for the response.
    pub async fn request(&self, parts: RequestParts) -> CallerResponse {
        let (reply, answer) = oneshot::channel();
        let request = CallerRequest {
            ticket: RequestTicket(0),
            host: parts.host,
            path: parts.path,
            key: parts.key,
            timeout: parts.timeout,
            operation: parts.operation,
        };
        // If the loop has ended, it is unknown whether the request took effect.
        if self
            .events
            .send(LoopEvent::Request(request, reply))
            .is_err()
        {
            return CallerResponse::Refused(CallerError::OutcomeUnknown);
        }
        answer
            .await
            .unwrap_or(CallerResponse::Refused(CallerError::OutcomeUnknown))
    }

    /// Returns the configuration in force, for decisions before a request is complete.
    pub fn manifest(&self) -> Option<Arc<DomainManifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns whether the host accepts requests; false once the loop has ended.
    pub async fn is_ready(&self) -> bool {
        self.query(LoopEvent::ReadinessRequested)
            .await
            .unwrap_or(false)
    }

    /// Returns whether the host is shutting down and has no work left; true once the loop has
    /// ended.
    pub async fn is_drained(&self) -> bool {
        self.query(LoopEvent::DrainStatusRequested)
            .await
            .unwrap_or(true)
    }

    /// Returns the state as text; empty once the loop has ended.
    pub async fn dump(&self) -> String {
        self.query(LoopEvent::DumpRequested)
            .await
            .unwrap_or_default()
    }

    /// Explains where a job would go if it were submitted now.
    ///
    /// # Errors
    /// The host does not plan, or the job would be refused as invalid.
    pub async fn explain(&self, request: ExplainRequest) -> ExplainResult {
        let answer = self.query(|reply| LoopEvent::ExplainRequested(request, reply));
        answer.await.unwrap_or(Err(ExplainError::Failed))
    }

    /// Starts the shutdown of the host.
    pub fn drain(&self) {
        // A loop that has ended needs no shutdown.
        let _ = self.events.send(LoopEvent::Host(HostEvent::DrainRequested));
    }

    async fn query<T, F>(&self, make_event: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> LoopEvent,
    {
        let (reply, answer) = oneshot::channel();
        self.events.send(make_event(reply)).ok()?;
        answer.await.ok()
    }
}

struct HostLoop {
    host: DomainHost,
    ports: Rc<DomainPorts>,
    events: mpsc::UnboundedSender<LoopEvent>,
    /// Announces the configuration in force.
    manifest: watch::Sender<Option<Arc<DomainManifest>>>,
    replies: BTreeMap<RequestTicket, oneshot::Sender<CallerResponse>>,
    next_request: u64,
    clock: BootClock,
}

/// Starts the loop of a host. Must run inside a `LocalSet`.
pub fn start_domain(identity: HostIdentity, ports: DomainPorts) -> DomainHandle {
    let (events, arrivals) = mpsc::unbounded_channel();
    let (manifest, manifests) = watch::channel(None);
    let clock = BootClock::start();
    let state = HostLoop {
        host: DomainHost::new(identity, clock.now()),
        ports: Rc::new(ports),
        events: events.clone(),
        manifest,
        replies: BTreeMap::new(),
        next_request: 0,
        clock,
    };
    tokio::task::spawn_local(run_loop(state, arrivals));
    DomainHandle {
        events,
        manifest: manifests,
    }
}

async fn run_loop(mut state: HostLoop, mut arrivals: mpsc::UnboundedReceiver<LoopEvent>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = state.clock.now();
    loop {
        tokio::select! {
            event = arrivals.recv() => match event {
                Some(event) => state.dispatch(event),
                None => return,
            },
            _ = ticks.tick() => {
                let now = state.clock.now();
                record_tick_delay(now.since(last_tick));
                last_tick = now;
                state.handle(HostEvent::Ticked);
            }
        }
    }
}

/// Records the delay of a tick, and logs it if it reaches [`LATE_TICK_THRESHOLD`].
fn record_tick_delay(elapsed: Duration) {
    let delay = elapsed.saturating_sub(TICK_INTERVAL);
    histogram!(TICK_DELAY_METRIC).record(delay.as_secs_f64());
    if delay >= LATE_TICK_THRESHOLD {
        log::warn!(delay_ms = delay.as_millis() as u64; "event loop was stalled");
    }
}

impl HostLoop {
    fn dispatch(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Host(event) => self.handle(event),
            LoopEvent::Request(mut request, reply) => {
                self.next_request += 1;
                request.ticket = RequestTicket(self.next_request);
                self.replies.insert(request.ticket, reply);
                self.handle(HostEvent::Requested(request));
            }
            // The receivers of these replies may have been dropped.
            LoopEvent::ReadinessRequested(reply) => {
                let _ = reply.send(self.host.is_ready(self.clock.now()));
            }
            LoopEvent::DrainStatusRequested(reply) => {
                let _ = reply.send(self.host.is_drained());
            }
            LoopEvent::DumpRequested(reply) => {
                let _ = reply.send(self.host.to_string());
            }
            LoopEvent::ExplainRequested(request, reply) => {
                let _ = reply.send(self.explain(request));
            }
        }
    }

    fn handle(&mut self, event: HostEvent) {
        let (now, wall) = (self.clock.now(), HostClock::wall_time());
        let host = &mut self.host;
        match catch_unwind(AssertUnwindSafe(|| host.handle(now, wall, event))) {
            Ok(actions) => {
                for action in actions {
                    self.execute_action(action);
                }
            }
            Err(_) => self.restart_host(),
        }
        self.announce_manifest();
    }

    /// Explains a job. A panic does not affect the host, whose state is only read.
    fn explain(&self, request: ExplainRequest) -> ExplainResult {
        let (now, wall) = (self.clock.now(), HostClock::wall_time());
        let explained = AssertUnwindSafe(|| self.host.explain(now, wall, request));
        catch_unwind(explained).unwrap_or_else(|_| {
            counter!(PANICS, "place" => "explain").increment(1);
            log::error!("the explanation of a job caused a panic");
            Err(ExplainError::Failed)
        })
    }

    /// Announces the configuration if another one is in force.
    fn announce_manifest(&self) {
        let current = self.host.manifest();
        self.manifest.send_if_modified(|announced| {
            let is_same = match (current, &*announced) {
                (Some(current), Some(announced)) => Arc::ptr_eq(current, announced),
                (None, None) => true,
                _ => false,
            };
            if !is_same {
                *announced = current.cloned();
            }
            !is_same
        });
    }

    /// Replaces the state of the host, of which a panic may have left only a part changed, by
    /// that of a host that has read nothing yet.
    fn restart_host(&mut self) {
        counter!(PANICS, "place" => "host").increment(1);
        log::error!(requests = self.replies.len(); "an event caused a panic; the host starts anew from the log");
        self.host = self.host.restarted(rand::random(), self.clock.now());
        for reply in std::mem::take(&mut self.replies).into_values() {
            // The caller may have disconnected.
            let _ = reply.send(CallerResponse::Refused(CallerError::OutcomeUnknown));
        }
    }

    fn execute_action(&mut self, action: HostAction) {
        let events = self.events.clone();
        let ports = Rc::clone(&self.ports);
        match action {
            HostAction::Read(order) => {
                let on_panic = HostEvent::Read(order.ticket, Err(panicked_call()));
                let progress = progress_reporter(&events, order.ticket);
                spawn_call(events, on_panic, async move {
                    HostEvent::Read(order.ticket, (ports.read)(order, progress).await)
                });
            }
            HostAction::ReadNewest(order) => {
                let ticket = order.ticket;
                let on_panic = HostEvent::ReadNewest(ticket, Err(panicked_call()));
                let progress = progress_reporter(&events, ticket);
                spawn_call(events, on_panic, async move {
                    HostEvent::ReadNewest(ticket, (ports.read_newest)(order, progress).await)
                });
            }
            HostAction::Append {
                ticket,
                order,
                timeout,
            } => {
                let on_panic = HostEvent::Appended(ticket, Err(StreamError::NoAnswer));
                spawn_call(events, on_panic, async move {
                    HostEvent::Appended(ticket, (ports.append)(order, timeout).await)
                });
            }
            HostAction::Worker(call) => {
                let ticket = call.ticket;
                let on_panic = HostEvent::WorkerAnswered(ticket, Err(WorkerError::NoAnswer));
                spawn_call(events, on_panic, async move {
                    HostEvent::WorkerAnswered(ticket, (ports.worker)(call).await)
                });
            }
            HostAction::Advise(order) => {
                let ticket = order.ticket;
                let on_panic = HostEvent::Advised(ticket, Err(AdviceError::NoAnswer));
                spawn_call(events, on_panic, async move {
                    HostEvent::Advised(ticket, (ports.advise)(order).await)
                });
            }
            HostAction::ListMachines(order) => {
                let ticket = order.ticket;
                let on_panic = HostEvent::MachinesListed(ticket, Err(MachineError::NoAnswer));
                spawn_call(events, on_panic, async move {
                    HostEvent::MachinesListed(ticket, (ports.list_machines)(order).await)
                });
            }
            HostAction::Upkeep(order) => {
                let ticket = order.ticket;
                let on_panic = HostEvent::UpkeepAnswered(ticket, Err(MachineError::NoAnswer));
                spawn_call(events, on_panic, async move {
                    HostEvent::UpkeepAnswered(ticket, (ports.upkeep)(order).await)
                });
            }
            HostAction::Reply(ticket, answer) => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = reply.send(answer);
                }
            }
        }
    }
}

/// Spawns a call and sends its result to the loop, or `on_panic` if it panics: the host waits
/// for the result of each call.
fn spawn_call<F>(events: mpsc::UnboundedSender<LoopEvent>, on_panic: HostEvent, call: F)
where
    F: Future<Output = HostEvent> + 'static,
{
    let call = tokio::task::spawn_local(call);
    tokio::task::spawn_local(async move {
        let event = call.await.unwrap_or_else(|error| {
            counter!(PANICS, "place" => "call").increment(1);
            log::error!(error = error.to_string().as_str(); "a call panicked");
            on_panic
        });
        // The result is not needed once the loop has ended.
        let _ = events.send(LoopEvent::Host(event));
    });
}

/// Returns a closure that sends the progress of a read to the loop.
fn progress_reporter(
    events: &mpsc::UnboundedSender<LoopEvent>,
    ticket: CallTicket,
) -> ReadProgress {
    let events = events.clone();
    Box::new(move || {
        // The progress is not needed once the loop has ended.
        let _ = events.send(LoopEvent::Host(HostEvent::ReadProgressed(ticket)));
    })
}

fn panicked_call() -> StreamError {
    StreamError::Malformed {
        detail: "the call panicked".to_owned(),
    }
}
