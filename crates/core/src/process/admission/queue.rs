//! The admission queue. The number of calls in flight is bounded; further calls wait.
//! The waiting calls of a customer are admitted earliest deadline first, and customers
//! share the capacity by weight (weighted fair queuing), so that a burst of one customer
//! delays only that customer.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

use crate::prelude::*;
use crate::request::deadline::CallDeadline;

/// Most waiting calls of one customer at one host.
pub const MAX_WAITING_CALLS: usize = 1024;

/// Identifier of a queued or admitted call; unique within the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

impl Display for CallTicket {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "call{}", self.0)
    }
}

/// A customer's share of the call capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerShare {
    /// Relative share under contention; at least one.
    pub weight: u32,
    /// Most calls in flight; zero if the customer has no limit of its own.
    pub max_calls: u32,
}

/// Decision on an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The call may start.
    Admitted,
    /// The call is queued and waits at most until the given time.
    Queued(MonotonicTime),
}

/// Why a call was not admitted. A call that is refused did not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AdmissionRefusal {
    /// The customer is not declared.
    #[error("the customer is not declared; add it to the operator folder")]
    UnknownCustomer,
    /// Too many calls of the customer are waiting.
    #[error("{MAX_WAITING_CALLS} calls of this customer wait already; send fewer at once")]
    QueueFull,
    /// The call waited as long as its deadline allows.
    #[error("no capacity became free in time; send the call again later")]
    WaitTimedOut,
}

/// Calls in flight and waiting calls of one customer.
#[derive(Clone, Debug)]
struct CustomerQueue {
    share: CustomerShare,
    in_flight: u32,
    /// Waiting calls by deadline, then in order of arrival (by ticket).
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
    /// Number of calls in flight of all customers.
    in_flight: u32,
    /// Most calls in flight of all customers.
    capacity: u32,
    /// Virtual start time of the last admission; never decreases.
    virtual_time: f64,
}

impl AdmissionQueue {
    /// Sets the declared customers and their shares. A customer that is no longer declared
    /// is removed, unless it has calls in flight or waiting. It then stays until this method
    /// is called again when it has none.
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

    /// Sets the capacity. Calls in flight beyond a smaller capacity continue.
    pub const fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Returns the number of calls in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.customers
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Offers a call, which is admitted or queued.
    ///
    /// # Errors
    /// Returns an [`AdmissionRefusal`] if the call is refused; it did not run.
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
        if queue.waiting.len() >= MAX_WAITING_CALLS {
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

    /// Records the end of an admitted call.
    pub fn finish(&mut self, customer: &CustomerName) {
        debug_assert!(self.in_flight > 0, "a call ended that was not admitted");
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
        }
    }

    /// Withdraws a waiting call. Returns false if it is no longer waiting.
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

    /// Admits the next waiting call if there is capacity: the call with the earliest
    /// deadline of the customer with the earliest virtual start time.
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
