//! The loop of a host: takes one event after the other, hands it to the state, and
//! lets tasks carry out what the state asks for.

use std::rc::Rc;

use flamingowalk_core::prelude::*;
use flamingowalk_domain::process::action::HostAction;
use flamingowalk_domain::process::event::HostEvent;
use flamingowalk_domain::process::host::{DomainHost, HostIdentity};
use flamingowalk_domain::request::caller_request::{
    CallerError, CallerOperation, CallerRequest, CallerResponse, RequestTicket,
};
use flamingowalk_node::process::host_clock::HostClock;
use metrics::histogram;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::ports::DomainPorts;

/// Time between two ticks; a bound on how late a timeout of the state is noticed.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Delay of a tick from which the host counts as held up in the log.
const LATE_TICK: Duration = Duration::from_millis(500);
/// Delay of ticks, in seconds.
pub const TICK_DELAY: &str = "flamingowalk_domain_tick_delay_seconds";

/// What reaches the loop.
#[derive(Debug)]
enum LoopEvent {
    /// Something for the state.
    Host(HostEvent),
    /// A caller's request, and where its answer goes.
    Request(CallerRequest, oneshot::Sender<CallerResponse>),
    /// Whether the host takes requests.
    ReadyAsked(oneshot::Sender<bool>),
    /// Whether nothing is left to do.
    DrainedAsked(oneshot::Sender<bool>),
    /// The state as text.
    DumpAsked(oneshot::Sender<String>),
}

/// A way to the loop.
#[derive(Clone, Debug)]
pub struct DomainHandle {
    events: mpsc::UnboundedSender<LoopEvent>,
}

/// What a request asks, before it has a ticket.
#[derive(Debug)]
pub struct RequestParts {
    /// Host name that it addresses.
    pub host: Arc<str>,
    /// Its path, without query.
    pub path: Arc<str>,
    /// Key of the customer.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// What it asks.
    pub operation: CallerOperation,
}

impl DomainHandle {
    /// Asks for something and waits for the answer.
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
        // A loop that has ended answers nothing: what it did of the request is open.
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

    /// Whether the host takes requests; false once the loop has ended.
    pub async fn is_ready(&self) -> bool {
        self.ask(LoopEvent::ReadyAsked).await.unwrap_or(false)
    }

    /// Whether the host shuts down and has nothing left to do.
    pub async fn is_drained(&self) -> bool {
        self.ask(LoopEvent::DrainedAsked).await.unwrap_or(true)
    }

    /// The state as text; empty once the loop has ended.
    pub async fn dump(&self) -> String {
        self.ask(LoopEvent::DumpAsked).await.unwrap_or_default()
    }

    /// Begins to shut down.
    pub fn drain(&self) {
        // A loop that has ended needs no shutdown.
        let _ = self.events.send(LoopEvent::Host(HostEvent::DrainRequested));
    }

    async fn ask<T, F>(&self, question: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> LoopEvent,
    {
        let (reply, answer) = oneshot::channel();
        self.events.send(question(reply)).ok()?;
        answer.await.ok()
    }
}

struct HostLoop {
    host: DomainHost,
    ports: Rc<DomainPorts>,
    events: mpsc::UnboundedSender<LoopEvent>,
    replies: BTreeMap<RequestTicket, oneshot::Sender<CallerResponse>>,
    next_request: u64,
    clock: HostClock,
}

/// Starts the loop of a host; must run inside a `LocalSet`.
pub fn start_domain(identity: HostIdentity, ports: DomainPorts) -> DomainHandle {
    let (events, arrivals) = mpsc::unbounded_channel();
    let clock = HostClock::start();
    let state = HostLoop {
        host: DomainHost::new(identity, clock.now()),
        ports: Rc::new(ports),
        events: events.clone(),
        replies: BTreeMap::new(),
        next_request: 0,
        clock,
    };
    tokio::task::spawn_local(run_loop(state, arrivals));
    DomainHandle { events }
}

async fn run_loop(mut state: HostLoop, mut arrivals: mpsc::UnboundedReceiver<LoopEvent>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    loop {
        tokio::select! {
            event = arrivals.recv() => match event {
                Some(event) => state.take(event),
                None => return,
            },
            _ = ticks.tick() => {
                note_delay(last_tick.elapsed());
                last_tick = Instant::now();
                state.handle(HostEvent::Ticked);
            }
        }
    }
}

/// Notes how late a tick is, and says so when the process was held up.
fn note_delay(elapsed: Duration) {
    let delay = elapsed.saturating_sub(TICK_INTERVAL);
    histogram!(TICK_DELAY).record(delay.as_secs_f64());
    if delay >= LATE_TICK {
        log::warn!(delay_ms = delay.as_millis() as u64; "the process was held up");
    }
}

impl HostLoop {
    fn take(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Host(event) => self.handle(event),
            LoopEvent::Request(mut request, reply) => {
                self.next_request += 1;
                request.ticket = RequestTicket(self.next_request);
                self.replies.insert(request.ticket, reply);
                self.handle(HostEvent::Requested(request));
            }
            // Whoever asked may be gone.
            LoopEvent::ReadyAsked(reply) => {
                let _ = reply.send(self.host.is_ready(self.clock.now()));
            }
            LoopEvent::DrainedAsked(reply) => {
                let _ = reply.send(self.host.is_drained());
            }
            LoopEvent::DumpAsked(reply) => {
                let _ = reply.send(self.host.to_string());
            }
        }
    }

    fn handle(&mut self, event: HostEvent) {
        let actions = self.host.handle(self.clock.now(), HostClock::wall(), event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: HostAction) {
        let events = self.events.clone();
        let ports = Rc::clone(&self.ports);
        match action {
            HostAction::Read(order) => spawn_call(events, async move {
                HostEvent::Read(order.ticket, (ports.read)(order).await)
            }),
            HostAction::ReadNewest(order) => spawn_call(events, async move {
                let ticket = order.ticket;
                HostEvent::ReadNewest(ticket, (ports.read_newest)(order).await)
            }),
            HostAction::Append {
                ticket,
                order,
                timeout,
            } => spawn_call(events, async move {
                HostEvent::Appended(ticket, (ports.append)(order, timeout).await)
            }),
            HostAction::Worker(call) => spawn_call(events, async move {
                let ticket = call.ticket;
                HostEvent::WorkerAnswered(ticket, (ports.worker)(call).await)
            }),
            HostAction::Advise(order) => spawn_call(events, async move {
                let ticket = order.ticket;
                HostEvent::Advised(ticket, (ports.advise)(order).await)
            }),
            HostAction::ListMachines(order) => spawn_call(events, async move {
                let ticket = order.ticket;
                HostEvent::MachinesListed(ticket, (ports.list_machines)(order).await)
            }),
            HostAction::Upkeep(order) => spawn_call(events, async move {
                let ticket = order.ticket;
                HostEvent::UpkeepAnswered(ticket, (ports.upkeep)(order).await)
            }),
            HostAction::Reply(ticket, answer) => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    // The caller may be gone.
                    let _ = reply.send(answer);
                }
            }
        }
    }
}

fn spawn_call<F>(events: mpsc::UnboundedSender<LoopEvent>, call: F)
where
    F: Future<Output = HostEvent> + 'static,
{
    tokio::task::spawn_local(async move {
        let event = call.await;
        // A loop that has ended needs no answers.
        let _ = events.send(LoopEvent::Host(event));
    });
}
