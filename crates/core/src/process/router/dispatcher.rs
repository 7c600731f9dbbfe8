//! The call desk: admission, routing, retries and health of all calls of this
//! host. It is told events and gives orders; it owns no connection and no clock.
//! Every admitted call holds its place until its last attempt has ended, also
//! when the caller is gone, since the target still runs it.

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
use crate::request::outcome::{CallOutcome, ConnectionAge, FailureBlame, FailurePoint, RepeatRule};
use crate::request::progress::{CallProgress, NextStep};

/// Time after which a call without a target with room looks again.
const ROOM_PAUSE: Duration = Duration::from_millis(5);

/// Where an open call is.
#[derive(Debug)]
enum CallStage {
    /// Waits for admission, at most until the given time.
    Queued(MonotonicTime),
    /// Admitted; waits for a target with room, at most until the given time.
    Parked(MonotonicTime),
    /// At a target.
    Attempting(AttemptTicket),
}

/// One open call.
#[derive(Debug)]
struct OpenCall {
    arrival: CallArrival,
    progress: CallProgress,
    stage: CallStage,
    /// Where the next attempt goes, if it is a repetition.
    repeat: Option<(RepeatRule, TargetIndex)>,
}

/// All open calls and what they share.
#[derive(Debug)]
pub struct CallDispatcher {
    /// Targets.
    pub table: TargetTable,
    /// Admission.
    pub admission: AdmissionQueue,
    /// Repetitions.
    pub budget: RetryBudget,
    paces: BTreeMap<ServiceName, ServicePace>,
    calls: BTreeMap<CallTicket, OpenCall>,
    rng: ChaCha8Rng,
    next_ticket: u64,
}

impl CallDispatcher {
    /// A desk without customers; until they are set, every call is refused.
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

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes in a call and gives its first order. `End` means that it is refused.
    pub fn arrive(&mut self, arrival: CallArrival, now: MonotonicTime) -> AddressedOrder {
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
        let answer = self
            .admission
            .offer(ticket, &arrival.customer, &arrival.deadline, now)
            .map_err(EndCause::NotAdmitted)?;
        self.budget.record_call(now);
        let stage = match answer {
            AdmissionDecision::Admitted => CallStage::Parked(arrival.deadline.queue_until(now)),
            AdmissionDecision::Queued(until) => CallStage::Queued(until),
        };
        let progress = CallProgress::new(arrival.safety);
        let call = OpenCall {
            arrival,
            progress,
            stage,
            repeat: None,
        };
        self.calls.insert(ticket, call);
        Ok(match answer {
            AdmissionDecision::Admitted => self.route(ticket, now),
            AdmissionDecision::Queued(until) => CallOrder::Wait(until),
        })
    }

    /// Takes in what happened to a call. Orders may be for other calls as well:
    /// the end of one makes room for the next.
    pub fn handle(
        &mut self,
        ticket: CallTicket,
        event: CallEvent,
        now: MonotonicTime,
    ) -> Vec<AddressedOrder> {
        let own = self.handle_own(ticket, event, now);
        let mut orders: Vec<_> = own
            .into_iter()
            .map(|order| AddressedOrder { ticket, order })
            .collect();
        self.admission.set_capacity(self.table.capacity());
        while let Some(ticket) = self.admission.admit_next() {
            orders.push(AddressedOrder {
                ticket,
                order: self.begin_admitted(ticket, now),
            });
        }
        orders
    }

    fn handle_own(
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
                self.end_attempt(ticket, AttemptResult::Failed(FailureBlame::Nobody), now);
                self.close(ticket);
                None
            }
            _ if !is_attempting => {
                debug_assert!(false, "{ticket} reports an attempt that it does not make");
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
                Some(self.repeat_or_end(ticket, point, connection, now))
            }
        }
    }

    fn begin_admitted(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        if let Some(call) = self.calls.get_mut(&ticket) {
            call.stage = CallStage::Parked(call.arrival.deadline.queue_until(now));
        }
        self.route(ticket, now)
    }

    /// A wait is over: look again, or end the call.
    fn end_wait(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        let call = &self.calls[&ticket];
        match call.stage {
            CallStage::Queued(until) if now < until => CallOrder::Wait(until),
            CallStage::Queued(_) => {
                let cause = EndCause::NotAdmitted(AdmissionRefusal::WaitTimedOut);
                self.end(ticket, CallOutcome::NotRun, cause)
            }
            CallStage::Parked(_) | CallStage::Attempting(_) => self.route(ticket, now),
        }
    }

    /// Finds a target for an admitted call that is at none.
    fn route(&mut self, ticket: CallTicket, now: MonotonicTime) -> CallOrder {
        let call = &self.calls[&ticket];
        let CallStage::Parked(until) = call.stage else {
            debug_assert!(false, "{ticket} is not waiting for a target");
            return CallOrder::Continue;
        };
        let is_expired = call.arrival.deadline.header_millis(now).is_none();
        let is_late = now >= until || is_expired;
        match self.choose(ticket, now) {
            Ok(index) if !is_expired => self.begin_attempt(ticket, index, now),
            Err(RouteRefusal::AllFull) if !is_late => {
                CallOrder::Wait((now + ROOM_PAUSE).min(until))
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
        if let Some((RepeatRule::FreshConnection, index)) = call.repeat {
            let same = self.table.entry(index);
            if same.is_some_and(|entry| entry.is_present() && entry.has_capacity(now)) {
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
        let needs_fresh = matches!(call.repeat.take(), Some((RepeatRule::FreshConnection, _)));
        let pace = self
            .paces
            .get(&call.arrival.service)
            .and_then(ServicePace::late_after);
        let late_after = call
            .progress
            .may_repeat_unconfirmed()
            .then(|| call.arrival.deadline.late_after(now, pace));
        CallOrder::Attempt(AttemptOrder {
            worker,
            incarnation,
            address,
            needs_fresh,
            late_after,
        })
    }

    /// Replaces an attempt that is late, if there is both budget and a target.
    fn replace_late(
        &mut self,
        ticket: CallTicket,
        connection: ConnectionAge,
        now: MonotonicTime,
    ) -> CallOrder {
        let call = &self.calls[&ticket];
        let may_repeat = call.progress.may_repeat_unconfirmed();
        if !may_repeat || self.choose(ticket, now).is_err() || !self.budget.try_repeat(now) {
            return CallOrder::Continue;
        }
        self.fail_attempt(ticket, FailurePoint::LateAnswer, connection, now);
        self.begin_admitted(ticket, now)
    }

    fn repeat_or_end(
        &mut self,
        ticket: CallTicket,
        point: FailurePoint,
        connection: ConnectionAge,
        now: MonotonicTime,
    ) -> CallOrder {
        match self.fail_attempt(ticket, point, connection, now) {
            NextStep::End(outcome) => self.end(ticket, outcome, EndCause::AttemptFailed(point)),
            NextStep::Repeat(_) if self.budget.try_repeat(now) => self.begin_admitted(ticket, now),
            NextStep::Repeat(_) => self.end(ticket, point.outcome(), EndCause::BudgetSpent(point)),
        }
    }

    /// Ends the attempt in flight as failed; the call is parked after it.
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
        call.repeat = match (step, index) {
            (NextStep::Repeat(rule), Some(index)) => Some((rule, index)),
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
        let stage = std::mem::replace(&mut call.stage, CallStage::Parked(now));
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
            .map_or(last, |call| call.progress.ending(last));
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
