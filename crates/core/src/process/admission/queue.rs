//! The admission queue. Calls in flight are bounded; calls beyond wait, earliest
//! deadline first within a customer, and customers take turns by weight, so that
//! one customer's burst delays only that customer.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

use crate::prelude::*;
use crate::request::deadline::CallDeadline;

/// Most waiting calls of one customer at one host.
pub const QUEUE_LIMIT: usize = 1024;

/// One call in the queue or admitted by it; unique for the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

impl Display for CallTicket {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "call{}", self.0)
    }
}

/// Share of a customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerShare {
    /// Relative share under contention; at least one.
    pub weight: u32,
    /// Most calls in flight; zero means no limit of its own.
    pub max_calls: u32,
}

/// Answer to an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The call may begin.
    Admitted,
    /// The call waits, at most until the given time.
    Queued(MonotonicTime),
}

/// Why a call is not admitted. It did not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AdmissionRefusal {
    /// The customer is not declared.
    #[error("the customer is not declared; add it to the operator folder")]
    UnknownCustomer,
    /// Too many calls of the customer wait.
    #[error("{QUEUE_LIMIT} calls of this customer wait already; send fewer at once")]
    QueueFull,
    /// The call waited as long as its deadline allows.
    #[error("no capacity became free in time; send the call again later")]
    WaitTimedOut,
}

/// Calls of one customer.
#[derive(Clone, Debug)]
struct CustomerQueue {
    share: CustomerShare,
    in_flight: u32,
    /// Waiting calls by deadline, then arrival.
    waiting: BTreeSet<(MonotonicTime, CallTicket)>,
    /// Virtual time at which the customer's next call starts; grows by
    /// `1 / weight` with each admission.
    next_start: f64,
}

impl CustomerQueue {
    const fn is_below_limit(&self) -> bool {
        self.share.max_calls == 0 || self.in_flight < self.share.max_calls
    }
}

/// Admits calls up to a capacity that changes with the targets' limits.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    customers: BTreeMap<CustomerName, CustomerQueue>,
    /// Calls in flight of all customers.
    in_flight: u32,
    /// Most calls in flight.
    capacity: u32,
    /// Virtual start time of the last admission; never decreases.
    virtual_time: f64,
}

impl AdmissionQueue {
    /// Declares customers. Undeclared ones get no further admission, but calls in
    /// flight or waiting keep their place.
    pub fn set_customers(&mut self, shares: &BTreeMap<CustomerName, CustomerShare>) {
        for (name, share) in shares {
            let share = CustomerShare {
                weight: share.weight.max(1),
                ..*share
            };
            let queue = self
                .customers
                .entry(name.clone())
                .or_insert_with(|| CustomerQueue {
                    share,
                    in_flight: 0,
                    waiting: BTreeSet::new(),
                    next_start: 0.0,
                });
            queue.share = share;
        }
        self.customers.retain(|name, queue| {
            shares.contains_key(name) || queue.in_flight > 0 || !queue.waiting.is_empty()
        });
    }

    /// Changes the capacity. Calls in flight are never cut by it.
    pub const fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Calls in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.customers
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Offers a call.
    ///
    /// # Errors
    /// An [`AdmissionRefusal`]: the call did not run.
    pub fn offer(
        &mut self,
        ticket: CallTicket,
        customer: &CustomerName,
        deadline: &CallDeadline,
        now: MonotonicTime,
    ) -> Result<AdmissionDecision, AdmissionRefusal> {
        let has_waiting = self.has_admissible();
        let queue = self
            .customers
            .get_mut(customer)
            .ok_or(AdmissionRefusal::UnknownCustomer)?;
        if queue.waiting.len() >= QUEUE_LIMIT {
            return Err(AdmissionRefusal::QueueFull);
        }
        let is_free = self.in_flight < self.capacity && !has_waiting;
        if is_free && queue.waiting.is_empty() && queue.is_below_limit() {
            self.admit(customer);
            return Ok(AdmissionDecision::Admitted);
        }
        queue.waiting.insert((deadline.expires_at, ticket));
        Ok(AdmissionDecision::Queued(deadline.queue_until(now)))
    }

    /// Ends an admitted call.
    pub fn finish(&mut self, customer: &CustomerName) {
        debug_assert!(self.in_flight > 0, "a call ended that was not admitted");
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
    }

    /// Withdraws a waiting call; false if it is not waiting any more.
    pub fn withdraw(
        &mut self,
        customer: &CustomerName,
        ticket: CallTicket,
        deadline: &CallDeadline,
    ) -> bool {
        self.customers
            .get_mut(customer)
            .is_some_and(|queue| queue.waiting.remove(&(deadline.expires_at, ticket)))
    }

    /// Admits the next waiting call, if there is capacity: the customer with the
    /// earliest virtual start, then its earliest deadline.
    pub fn admit_next(&mut self) -> Option<CallTicket> {
        if self.in_flight >= self.capacity {
            return None;
        }
        let customer = self
            .customers
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty() && queue.is_below_limit())
            .min_by(|(_, left), (_, right)| left.next_start.total_cmp(&right.next_start))
            .map(|(name, _)| name.clone())?;
        let (_, ticket) = self.customers.get_mut(&customer)?.waiting.pop_first()?;
        self.admit(&customer);
        Some(ticket)
    }

    fn has_admissible(&self) -> bool {
        self.customers
            .values()
            .any(|queue| !queue.waiting.is_empty() && queue.is_below_limit())
    }

    fn admit(&mut self, customer: &CustomerName) {
        self.in_flight += 1;
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.in_flight += 1;
            let start = queue.next_start.max(self.virtual_time);
            self.virtual_time = start;
            queue.next_start = start + 1.0 / f64::from(queue.share.weight);
        }
    }
}
