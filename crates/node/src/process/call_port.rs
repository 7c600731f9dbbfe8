//! The call dispatcher in the event loop: handles the messages of the tasks that
//! forward calls, and sends each task its orders.

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
use flamingowalk_core::request::outcome::RetrySafety;
use flamingowalk_core::version::settings::SystemSettings;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::request::call_request::CallError;

/// Sends replies to the task of one call.
pub type CallReplySender = mpsc::UnboundedSender<CallReply>;

/// Message from the task of a call or a probe to the event loop.
#[derive(Debug)]
pub enum CallMessage {
    /// A call arrived.
    Arrived {
        /// The call.
        call: ArrivedCall,
        /// Sender for the replies to its task.
        orders: CallReplySender,
    },
    /// An open call made progress, ended or failed.
    Event {
        /// The call.
        ticket: CallTicket,
        /// The event.
        event: CallEvent,
    },
    /// A probe of an unreachable target ended.
    Probed {
        /// The target.
        index: TargetIndex,
        /// Whether the target answered.
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
    pub safety: RetrySafety,
    /// Time that the caller allows, if it sent a deadline.
    pub allowed: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Size of the body in bytes.
    pub body_size: u64,
    /// When the whole request had arrived.
    pub arrived_at: MonotonicTime,
}

/// Reply of the event loop to the task of a call.
#[derive(Clone, Debug)]
pub enum CallReply {
    /// The call is open; orders follow.
    Opened {
        /// Its ticket.
        ticket: CallTicket,
        /// Its deadline.
        deadline: CallDeadline,
        /// Largest response body in bytes.
        body_limit: u64,
    },
    /// The next step of the call.
    Order(CallOrder),
    /// The call is refused and did not run.
    Refused(CallError),
}

/// A target that is due for a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueProbe {
    /// The target.
    pub index: TargetIndex,
    /// Its address.
    pub address: SocketAddr,
}

/// The call dispatcher and the channels to the tasks of its calls.
#[derive(Debug)]
pub struct CallPort {
    /// Decides how each call proceeds.
    pub dispatcher: CallDispatcher,
    /// Settings in force.
    system: Arc<SystemSettings>,
    /// Sender for the replies to the task of each open call.
    reply_senders: BTreeMap<CallTicket, CallReplySender>,
    /// Targets whose probe has not finished.
    probing: BTreeSet<TargetIndex>,
}

impl CallPort {
    /// Creates a port without targets, under the default settings.
    pub fn new(zone: ZoneName, rng: ChaCha8Rng, now: MonotonicTime) -> Self {
        let system = Arc::new(SystemSettings::default());
        let share = system.policy.quarantine_share;
        let table = TargetTable::new(zone, HealthRules::default(), share);
        let budget = RetryBudget::new(system.policy.retry_share, now);
        Self {
            dispatcher: CallDispatcher::new(table, budget, rng),
            system,
            reply_senders: BTreeMap::new(),
            probing: BTreeSet::new(),
        }
    }

    /// Applies new settings. Calls in flight keep their deadline and limits.
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

    /// Applies a complete listing of the workers. The connections that a worker
    /// accepts are divided evenly among `entry_hosts`.
    pub fn apply_listing(&mut self, mut records: Vec<TargetRecord>, entry_hosts: u32) {
        for record in &mut records {
            record.connections = (record.connections / entry_hosts.max(1)).max(1);
        }
        self.dispatcher.table.apply_listing(records);
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> u32 {
        u32::try_from(self.dispatcher.open_calls()).unwrap_or(u32::MAX)
    }

    /// Returns the address of a worker, or `None` if it is not listed.
    pub fn target_address(&self, name: &WorkerName) -> Option<SocketAddr> {
        let table = &self.dispatcher.table;
        let entry = table.find(name).and_then(|index| table.entry(index));
        entry.map(|entry| entry.record.address)
    }

    /// Handles a message from a task.
    pub fn handle(&mut self, message: CallMessage, now: MonotonicTime) {
        match message {
            CallMessage::Arrived { call, orders } => self.open_call(call, orders, now),
            CallMessage::Event { ticket, event } => {
                let orders = self.dispatcher.handle(ticket, event, now);
                if ends_call(event) {
                    self.reply_senders.remove(&ticket);
                }
                for order in orders {
                    self.send_order(order);
                }
            }
            CallMessage::Probed { index, is_answered } => {
                self.probing.remove(&index);
                self.dispatcher.table.record_probe(index, is_answered, now);
            }
        }
    }

    /// Returns the targets to probe now. A target is not due again before its probe is
    /// reported by [`CallMessage::Probed`].
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

    fn open_call(&mut self, call: ArrivedCall, orders: CallReplySender, now: MonotonicTime) {
        match self.check_call(call) {
            Err(error) => {
                // Sending fails only if the caller has disconnected, which ends the task.
                let _ = orders.send(CallReply::Refused(error));
            }
            Ok((arrival, body_limit)) => {
                let deadline = arrival.deadline;
                let first_order = self.dispatcher.handle_arrival(arrival, now);
                let ticket = first_order.ticket;
                let _ = orders.send(CallReply::Opened {
                    ticket,
                    deadline,
                    body_limit,
                });
                self.reply_senders.insert(ticket, orders);
                self.send_order(first_order);
            }
        }
    }

    fn check_call(&self, call: ArrivedCall) -> Result<(CallArrival, u64), CallError> {
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

    fn send_order(&mut self, order: AddressedOrder) {
        let is_end = matches!(order.order, CallOrder::End(_));
        if let Some(orders) = self.reply_senders.get(&order.ticket) {
            let _ = orders.send(CallReply::Order(order.order));
        }
        if is_end {
            self.reply_senders.remove(&order.ticket);
        }
    }
}

/// Returns whether the task of the call expects no order after this event.
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
