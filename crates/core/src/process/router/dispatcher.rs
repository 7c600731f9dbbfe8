//! The call dispatcher: admission, routing and retries of all calls of this host, and
//! the health of their targets. It handles events and returns orders for the tasks
//! that carry the calls; it owns no connections and reads no clock. An admitted call
//! counts against the capacity until its last attempt has ended, even if the caller
//! has disconnected, since the target may still run it.

pub mod message;

use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::process::admission::queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, CallTicket,
};
use crate::process::router::budget::RetryBudget;
use crate::process::router::choice::{RouteQuery, RouteRefusal};
use crate::process::router::dispatcher::message::{
    AddressedOrder, AttemptOrder, CallArrival, CallEnding, CallEvent, CallOrder, EndCause,
};
use crate::process::router::latency::ServicePace;
use crate::process::router::table::{AttemptResult, AttemptTicket, TargetIndex, TargetTable};
use crate::request::outcome::{CallOutcome, ConnectionAge, FailureBlame, FailurePoint, RetryRule};
use crate::request::progress::{CallProgress, NextStep};

/// Delay after which a call is routed again when all targets were full.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Stage of an open call.
#[derive(Debug)]
enum CallStage {
    /// Waits for admission until the given time at the latest.
    Queued(MonotonicTime),
    /// Is admitted and waits for a target with free capacity until the given time at
    /// the latest.
    Routing(MonotonicTime),
    /// Has an attempt in flight.
    Attempting(AttemptTicket),
}

/// A call that has not ended.
#[derive(Debug)]
struct OpenCall {
    arrival: CallArrival,
    progress: CallProgress,
    stage: CallStage,
    /// Rule for the next attempt and the target of the previous one, if the next
    /// attempt is a retry.
    retry: Option<(RetryRule, TargetIndex)>,
}

/// All open calls, with the targets, admission and retry budget that they share.
#[derive(Debug)]
pub struct CallDispatcher {
    /// Targets of calls.
    pub table: TargetTable,
    /// Admission of calls, by customer.
    pub admission: AdmissionQueue,
    /// Budget for retries.
    pub budget: RetryBudget,
    paces: BTreeMap<ServiceName, ServicePace>,
    calls: BTreeMap<CallTicket, OpenCall>,
    rng: ChaCha8Rng,
    next_ticket: u64,
}

impl CallDispatcher {
    /// Creates a dispatcher without customers, which refuses every call until they are
    /// set.
    pub fn new(table: TargetTable, budget: RetryBudget, rng: ChaCha8Rng) -> Self {
        Self {
            table,
            admission: AdmissionQueue::default(),
            budget,
            paces: BTreeMap::new(),
            calls: BTreeMap::new(),
            rng,
            next_ticket: 0,
        }
    }

    /// Returns the number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Handles the arrival of a call and returns its first order. `End` means that the
    /// call is refused.
    pub fn handle_arrival(&mut self, arrival: CallArrival, now: MonotonicTime) -> AddressedOrder {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        let order = match self.offer(ticket, arrival, now) {
            Ok(order) => order,
            Err(cause) => CallOrder::End(CallEnding {
                outcome: CallOutcome::NotRun,
                cause,
            }),
        };
        AddressedOrder { ticket, order }
    }

    fn offer(
        &mut self,
        ticket: CallTicket,
        arrival: CallArrival,
        now: MonotonicTime,
    ) -> Result<CallOrder, EndCause> {
        if !self.table.is_served(&arrival.service) {
            return Err(EndCause::NotRouted(RouteRefusal::NoTarget));
        }
        self.admission.set_capacity(self.table.capacity());
        let decision = self
            .admission
            .offer(ticket, &arrival.customer, &arrival.deadline, now)
            .map_err(EndCause::NotAdmitted)?;
        self.budget.record_call(now);
        let stage = match decision {
            AdmissionDecision::Admitted => CallStage::Routing(arrival.deadline.queue_until(now)),
            AdmissionDecision::Queued(until) => CallStage::Queued(until),
        };
        let progress = CallProgress::new(arrival.safety);
        let call = OpenCall {
            arrival,
            progress,
            stage,
            retry: None,
        };
        self.calls.insert(ticket, call);
        Ok(match decision {
            AdmissionDecision::Admitted => self.route(ticket, now),
            AdmissionDecision::Queued(until) => CallOrder::Wait(until),
        })
    }

    /// Handles an event of a call. The orders returned may be for other calls as well,
    /// since the end of one call frees capacity for the next.
    pub fn handle(
        &mut self,
        ticket: CallTicket,
        event: CallEvent,
        now: MonotonicTime,
    ) -> Vec<AddressedOrder> {
        let own_order = self.handle_event(ticket, event, now);
        let mut orders: Vec<_> = own_order
            .into_iter()
            .map(|order| AddressedOrder { ticket, order })
            .collect();
        self.admission.set_capacity(self.table.capacity());
        while let Some(ticket) = self.admission.admit_next() {
            orders.push(AddressedOrder {
                ticket,
                order: self.route_admitted(ticket, now),
            });
        }
        orders
    }

    fn handle_event(
        &mut self,
        ticket: CallTicket,
        event: CallEvent,
        now: MonotonicTime,
    ) -> Option<CallOrder> {
        let call = self.calls.get(&ticket)?;
        let is_attempting = matches!(call.stage, CallStage::Attempting(_));
        match event {
            CallEvent::WaitEnded if is_attempting => None,
            CallEvent::WaitEnded => Some(self.end_wait(ticket, now)),
            CallEvent::CallerDisconnected => {
                self.end_attempt(ticket, AttemptResult::Failed(FailureBlame::Neutral), now);
                self.close(ticket);
                None
            }
            _ if !is_attempting => {
                debug_assert!(false, "{ticket} reports an attempt but has none in flight");
                None
            }
            CallEvent::AttemptLate(connection) => Some(self.replace_late(ticket, connection, now)),
            CallEvent::Answered(latency) => {
                let service = call.arrival.service.clone();
                self.paces.entry(service).or_default().record(latency);
                self.end_attempt(ticket, AttemptResult::Answered(latency), now);
                self.close(ticket);
                None
            }
            CallEvent::FailedAfterDisconnect(point, connection) => {
                self.fail_attempt(ticket, point, connection, now);
                self.close(ticket);
                None
            }
            CallEvent::Failed(point, connection) => {
                Some(self.retry_or_end(ticket, point, connection, now))
            }
        }
    }

    fn route_admitted(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        if let Some(call) = self.calls.get_mut(&ticket) {
            call.stage = CallStage::Routing(call.arrival.deadline.queue_until(now));
        }
        self.route(ticket, now)
    }

    /// Handles the end of a wait: routes the call, lets it wait on, or ends it.
    fn end_wait(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        let call = &self.calls[&ticket];
        match call.stage {
            CallStage::Queued(until) if now < until => CallOrder::Wait(until),
            CallStage::Queued(_) => {
                let cause = EndCause::NotAdmitted(AdmissionRefusal::WaitTimedOut);
                self.end(ticket, CallOutcome::NotRun, cause)
            }
            CallStage::Routing(_) | CallStage::Attempting(_) => self.route(ticket, now),
        }
    }

    /// Finds a target for an admitted call that has no attempt in flight.
    fn route(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        let call = &self.calls[&ticket];
        let CallStage::Routing(until) = call.stage else {
            debug_assert!(false, "{ticket} is not waiting for a target");
            return CallOrder::Continue;
        };
        let is_expired = call.arrival.deadline.header_millis(now).is_none();
        let is_late = now >= until || is_expired;
        match self.choose(ticket, now) {
            Ok(index) if !is_expired => self.begin_attempt(ticket, index, now),
            Err(RouteRefusal::AllFull) if !is_late => {
                CallOrder::Wait((now + CAPACITY_RETRY_DELAY).min(until))
            }
            Ok(_) => {
                let cause = EndCause::NotAdmitted(AdmissionRefusal::WaitTimedOut);
                self.end(ticket, CallOutcome::NotRun, cause)
            }
            Err(refusal) => self.end(ticket, CallOutcome::NotRun, EndCause::NotRouted(refusal)),
        }
    }

    fn choose(
        &mut self,
        ticket: CallTicket,
        now: MonotonicTime,
    ) -> Result<TargetIndex, RouteRefusal> {
        let call = &self.calls[&ticket];
        if let Some((RetryRule::FreshConnection, index)) = call.retry {
            let same_target = self.table.entry(index);
            if same_target.is_some_and(|entry| entry.is_present() && entry.has_capacity(now)) {
                return Ok(index);
            }
        }
        let query = RouteQuery {
            service: &call.arrival.service,
            safety: call.arrival.safety,
            tried: call.progress.tried(),
            key: call.arrival.key.as_deref(),
        };
        self.table.choose(&query, now, &mut self.rng)
    }

    fn begin_attempt(
        &mut self,
        ticket: CallTicket,
        index: TargetIndex,
        now: MonotonicTime,
    ) -> CallOrder {
        let attempt = self.table.begin_attempt(index);
        let (Some(attempt), Some(entry)) = (attempt, self.table.entry(index)) else {
            let cause = EndCause::NotRouted(RouteRefusal::NoTarget);
            return self.end(ticket, CallOutcome::NotRun, cause);
        };
        let record = &entry.record;
        let (worker, incarnation, address) =
            (record.name.clone(), record.incarnation, record.address);
        let Some(call) = self.calls.get_mut(&ticket) else {
            return CallOrder::Continue;
        };
        call.stage = CallStage::Attempting(attempt);
        let needs_fresh = matches!(call.retry.take(), Some((RetryRule::FreshConnection, _)));
        let pace = self
            .paces
            .get(&call.arrival.service)
            .and_then(ServicePace::late_after);
        let late_after = call
            .progress
            .may_retry_unconfirmed()
            .then(|| call.arrival.deadline.late_after(now, pace));
        CallOrder::Attempt(AttemptOrder {
            worker,
            incarnation,
            address,
            needs_fresh,
            late_after,
        })
    }

    /// Replaces a late attempt if both a target and retry budget are available.
    fn replace_late(
        &mut self,
        ticket: CallTicket,
        connection: ConnectionAge,
        now: MonotonicTime,
    ) -> CallOrder {
        let call = &self.calls[&ticket];
        let may_retry = call.progress.may_retry_unconfirmed();
        if !may_retry || self.choose(ticket, now).is_err() || !self.budget.try_retry(now) {
            return CallOrder::Continue;
        }
        self.fail_attempt(ticket, FailurePoint::LateAnswer, connection, now);
        self.route_admitted(ticket, now)
    }

    fn retry_or_end(
        &mut self,
        ticket: CallTicket,
        point: FailurePoint,
        connection: ConnectionAge,
        now: MonotonicTime,
    ) -> CallOrder {
        match self.fail_attempt(ticket, point, connection, now) {
            NextStep::End(outcome) => self.end(ticket, outcome, EndCause::AttemptFailed(point)),
            NextStep::Retry(_) if self.budget.try_retry(now) => self.route_admitted(ticket, now),
            NextStep::Retry(_) => self.end(ticket, point.outcome(), EndCause::BudgetSpent(point)),
        }
    }

    /// Ends the attempt in flight as failed, which leaves the call in the stage
    /// `Routing`.
    fn fail_attempt(
        &mut self,
        ticket: CallTicket,
        point: FailurePoint,
        connection: ConnectionAge,
        now: MonotonicTime,
    ) -> NextStep {
        let result = match point {
            FailurePoint::TargetFull => AttemptResult::Full,
            _ => AttemptResult::Failed(point.blame(connection)),
        };
        let index = self.end_attempt(ticket, result, now);
        if point == FailurePoint::TargetDraining
            && let Some(entry) = index.and_then(|index| self.table.entry(index))
        {
            let (name, incarnation) = (entry.record.name.clone(), entry.record.incarnation);
            self.table.mark_draining(&name, incarnation);
        }
        let Some(call) = self.calls.get_mut(&ticket) else {
            return NextStep::End(point.outcome());
        };
        let deadline = call.arrival.deadline;
        let step = call
            .progress
            .record_failure(index, point, connection, &deadline, now);
        call.retry = match (step, index) {
            (NextStep::Retry(rule), Some(index)) => Some((rule, index)),
            _ => None,
        };
        step
    }

    fn end_attempt(
        &mut self,
        ticket: CallTicket,
        result: AttemptResult,
        now: MonotonicTime,
    ) -> Option<TargetIndex> {
        let call = self.calls.get_mut(&ticket)?;
        let stage = std::mem::replace(&mut call.stage, CallStage::Routing(now));
        let CallStage::Attempting(attempt) = stage else {
            call.stage = stage;
            return None;
        };
        self.table.end_attempt(&attempt, result, now);
        Some(attempt.index)
    }

    fn end(&mut self, ticket: CallTicket, last: CallOutcome, cause: EndCause) -> CallOrder {
        let outcome = self
            .calls
            .get(&ticket)
            .map_or(last, |call| call.progress.final_outcome(last));
        self.close(ticket);
        CallOrder::End(CallEnding { outcome, cause })
    }

    fn close(&mut self, ticket: CallTicket) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        debug_assert!(
            !matches!(call.stage, CallStage::Attempting(_)),
            "an attempt is in flight"
        );
        let customer = &call.arrival.customer;
        if matches!(call.stage, CallStage::Queued(_)) {
            self.admission
                .withdraw(customer, ticket, &call.arrival.deadline);
        } else {
            self.admission.finish(customer);
        }
    }
}
