//! The call desk in the event loop: takes the messages of the tasks that carry
//! calls, and sends each task its orders.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::admission::queue::{CallTicket, CustomerShare};
use flamingowalk_core::process::health::HealthRules;
use flamingowalk_core::process::router::budget::RetryBudget;
use flamingowalk_core::process::router::dispatcher::CallDispatcher;
use flamingowalk_core::process::router::dispatcher::message::{
    AddressedOrder, CallArrival, CallEvent, CallOrder,
};
use flamingowalk_core::process::router::table::{TargetIndex, TargetRecord, TargetTable};
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::RepeatSafety;
use flamingowalk_core::version::settings::SystemSettings;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::request::call_request::CallError;

/// Sends orders to the task of one call.
pub type OrderSender = mpsc::UnboundedSender<CallReply>;

/// What the task of a call tells the loop.
#[derive(Debug)]
pub enum CallMessage {
    /// A call arrived.
    Arrived {
        /// The call.
        call: ArrivedCall,
        /// Where its orders go.
        orders: OrderSender,
    },
    /// Something happened to an open call.
    Event {
        /// The call.
        ticket: CallTicket,
        /// What happened.
        event: CallEvent,
    },
    /// A probe of an unreachable target ended.
    Probed {
        /// The target.
        index: TargetIndex,
        /// Whether it answered.
        is_answered: bool,
    },
}

/// A call as its headers describe it.
#[derive(Clone, Debug)]
pub struct ArrivedCall {
    /// Customer.
    pub customer: CustomerName,
    /// Service.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub safety: RepeatSafety,
    /// Time that the caller allows, if it said so.
    pub allowed: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Size of the body in bytes.
    pub body_size: u64,
    /// When the whole request had arrived.
    pub arrived_at: MonotonicTime,
}

/// What the loop tells the task of a call.
#[derive(Clone, Debug)]
pub enum CallReply {
    /// The call is open; orders follow.
    Opened {
        /// Its ticket.
        ticket: CallTicket,
        /// Its deadline.
        deadline: CallDeadline,
        /// Largest answer in bytes.
        body_limit: u64,
    },
    /// The next step.
    Order(CallOrder),
    /// The call is refused; it did not run.
    Refused(CallError),
}

/// A target to be probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueProbe {
    /// The target.
    pub index: TargetIndex,
    /// Its address.
    pub address: SocketAddr,
}

/// The desk and the tasks of its calls.
#[derive(Debug)]
pub struct CallPort {
    /// Decisions.
    pub dispatcher: CallDispatcher,
    /// Settings in force.
    system: Arc<SystemSettings>,
    /// Where the orders of each open call go.
    carriers: BTreeMap<CallTicket, OrderSender>,
    /// Targets whose probe has not ended.
    probing: BTreeSet<TargetIndex>,
}

impl CallPort {
    /// A port without targets and settings.
    pub fn new(zone: ZoneName, rng: ChaCha8Rng, now: MonotonicTime) -> Self {
        let system = Arc::new(SystemSettings::default());
        let share = system.policy.quarantine_share;
        let table = TargetTable::new(zone, HealthRules::default(), share);
        let budget = RetryBudget::new(system.policy.retry_share, now);
        Self {
            dispatcher: CallDispatcher::new(table, budget, rng),
            system,
            carriers: BTreeMap::new(),
            probing: BTreeSet::new(),
        }
    }

    /// Takes over settings. Calls in flight keep their deadline and limits.
    pub fn adopt(&mut self, system: Arc<SystemSettings>) {
        let share =
            |(name, customer): (&CustomerName, &_)| (name.clone(), customer_share(customer));
        self.dispatcher
            .admission
            .set_customers(&system.customers.iter().map(share).collect());
        self.dispatcher.budget.set_share(system.policy.retry_share);
        self.dispatcher.table.quarantine_share = system.policy.quarantine_share;
        self.system = system;
    }

    /// Takes in a complete listing of the workers. Their connections are shared
    /// evenly among `entry_hosts`.
    pub fn update(&mut self, mut records: Vec<TargetRecord>, entry_hosts: u32) {
        for record in &mut records {
            record.connections = (record.connections / entry_hosts.max(1)).max(1);
        }
        self.dispatcher.table.apply_listing(records);
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> u32 {
        u32::try_from(self.dispatcher.open_calls()).unwrap_or(u32::MAX)
    }

    /// Address of a known worker.
    pub fn target_address(&self, name: &WorkerName) -> Option<SocketAddr> {
        let table = &self.dispatcher.table;
        let entry = table.find(name).and_then(|index| table.entry(index));
        entry.map(|entry| entry.record.address)
    }

    /// Takes in a message of a task.
    pub fn handle(&mut self, message: CallMessage, now: MonotonicTime) {
        match message {
            CallMessage::Arrived { call, orders } => self.open(call, orders, now),
            CallMessage::Event { ticket, event } => {
                let orders = self.dispatcher.handle(ticket, event, now);
                if ends_call(event) {
                    self.carriers.remove(&ticket);
                }
                for order in orders {
                    self.send(order);
                }
            }
            CallMessage::Probed { index, is_answered } => {
                self.probing.remove(&index);
                self.dispatcher.table.record_probe(index, is_answered, now);
            }
        }
    }

    /// Targets to be probed now; each is reported by `Probed` before it is due again.
    pub fn due_probes(&mut self, now: MonotonicTime) -> Vec<DueProbe> {
        let mut due = Vec::new();
        for index in self.dispatcher.table.due_probes(now) {
            let Some(entry) = self.dispatcher.table.entry(index) else {
                continue;
            };
            if self.probing.insert(index) {
                due.push(DueProbe {
                    index,
                    address: entry.record.address,
                });
            }
        }
        due
    }

    fn open(&mut self, call: ArrivedCall, orders: OrderSender, now: MonotonicTime) {
        match self.check(call) {
            Err(error) => {
                // The task is gone only with its caller.
                let _ = orders.send(CallReply::Refused(error));
            }
            Ok((arrival, body_limit)) => {
                let deadline = arrival.deadline;
                let first = self.dispatcher.arrive(arrival, now);
                let ticket = first.ticket;
                let _ = orders.send(CallReply::Opened {
                    ticket,
                    deadline,
                    body_limit,
                });
                self.carriers.insert(ticket, orders);
                self.send(first);
            }
        }
    }

    fn check(&self, call: ArrivedCall) -> Result<(CallArrival, u64), CallError> {
        if !self.system.customers.contains_key(&call.customer) {
            let customer = &call.customer;
            let text =
                format!("customer {customer} is not declared; add it to the operator folder");
            return Err(CallError::Invalid(text));
        }
        let service = self.system.services.get(&call.service);
        let service = service.ok_or_else(|| CallError::UnknownService(call.service.clone()))?;
        if call.body_size > service.max_body_bytes {
            return Err(CallError::TooLarge {
                limit: service.max_body_bytes,
            });
        }
        let allowed = call.allowed.unwrap_or(service.default_deadline);
        let arrival = CallArrival {
            customer: call.customer,
            service: call.service,
            safety: call.safety,
            deadline: CallDeadline::new(call.arrived_at, allowed),
            key: call.key,
        };
        Ok((arrival, service.max_body_bytes))
    }

    fn send(&mut self, order: AddressedOrder) {
        let is_end = matches!(order.order, CallOrder::End(_));
        if let Some(orders) = self.carriers.get(&order.ticket) {
            let _ = orders.send(CallReply::Order(order.order));
        }
        if is_end {
            self.carriers.remove(&order.ticket);
        }
    }
}

/// Whether the task of the call expects no order after this event.
const fn ends_call(event: CallEvent) -> bool {
    matches!(
        event,
        CallEvent::Answered(_)
            | CallEvent::FailedAfterDisconnect(..)
            | CallEvent::CallerDisconnected
    )
}

fn customer_share(
    customer: &flamingowalk_core::version::settings::CustomerSettings,
) -> CustomerShare {
    CustomerShare {
        weight: customer.weight,
        max_calls: customer.max_calls,
    }
}
