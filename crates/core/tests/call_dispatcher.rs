//! The call dispatcher: the orders that follow from each event, and that no sequence of
//! events runs a non-idempotent call twice or leaks capacity.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::admission::queue::{AdmissionRefusal, CallTicket, CustomerShare};
use flamingowalk_core::process::health::HealthRules;
use flamingowalk_core::process::router::budget::RetryBudget;
use flamingowalk_core::process::router::choice::RouteRefusal;
use flamingowalk_core::process::router::dispatcher::CallDispatcher;
use flamingowalk_core::process::router::dispatcher::message::{
    AddressedOrder, AttemptOrder, CallArrival, CallEnding, CallEvent, CallOrder, EndCause,
};
use flamingowalk_core::process::router::table::{TargetRecord, TargetTable};
use flamingowalk_core::request::deadline::CallDeadline;
use flamingowalk_core::request::outcome::ConnectionAge::{Fresh, Reused};
use flamingowalk_core::request::outcome::RetrySafety::{self, Idempotent, NonIdempotent};
use flamingowalk_core::request::outcome::{CallOutcome, FailurePoint};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: MonotonicTime = MonotonicTime::from_secs(10);

fn dispatcher(workers: u32, slots: u32) -> CallDispatcher {
    let mut table = TargetTable::new("a".into(), HealthRules::default(), 0.25);
    let record = |number| TargetRecord {
        name: format!("w{number}").into(),
        zone: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        draining: false,
        services: BTreeSet::from(["plan".into()]),
        slots,
        connections: 8,
    };
    table.apply_listing((0..workers).map(record).collect());
    let rng = ChaCha8Rng::seed_from_u64(3);
    let mut dispatcher = CallDispatcher::new(table, RetryBudget::new(0.1, NOW), rng);
    let share = CustomerShare {
        weight: 1,
        max_calls: 0,
    };
    dispatcher
        .admission
        .set_customers(&BTreeMap::from([("c".into(), share)]));
    dispatcher
}

fn arrival(safety: RetrySafety) -> CallArrival {
    CallArrival {
        customer: "c".into(),
        service: "plan".into(),
        safety,
        deadline: CallDeadline::new(NOW, Duration::from_secs(1)),
        key: None,
    }
}

fn attempt(order: &AddressedOrder) -> (CallTicket, AttemptOrder) {
    match &order.order {
        CallOrder::Attempt(attempt) => (order.ticket, attempt.clone()),
        other => panic!("expected an attempt: {other:?}"),
    }
}

fn refusal(order: &AddressedOrder) -> EndCause {
    match order.order {
        CallOrder::End(CallEnding {
            outcome: CallOutcome::NotRun,
            cause,
        }) => cause,
        ref other => panic!("expected a refusal: {other:?}"),
    }
}

#[test]
fn arrive_unserved_and_undeclared() {
    let refused = dispatcher(0, 1).handle_arrival(arrival(Idempotent), NOW);
    assert_eq!(
        refusal(&refused),
        EndCause::NotRouted(RouteRefusal::NoTarget)
    );
    let unknown_customer = CallArrival {
        customer: "x".into(),
        ..arrival(Idempotent)
    };
    let refused = dispatcher(1, 1).handle_arrival(unknown_customer, NOW);
    assert_eq!(
        refusal(&refused),
        EndCause::NotAdmitted(AdmissionRefusal::UnknownCustomer)
    );
}

#[test]
fn late_attempt_new_connection_then_other_target() {
    let mut dispatcher = dispatcher(4, 2);
    let (ticket, first) = attempt(&dispatcher.handle_arrival(arrival(Idempotent), NOW));
    let orders = dispatcher.handle(ticket, CallEvent::AttemptLate(Reused), NOW);
    let (_, second) = attempt(&orders[0]);
    assert_eq!((&second.worker, second.needs_fresh), (&first.worker, true));
    let orders = dispatcher.handle(ticket, CallEvent::AttemptLate(Fresh), NOW);
    assert_ne!(attempt(&orders[0]).1.worker, first.worker);
}

#[test]
fn late_attempt_without_budget_continues() {
    let mut dispatcher = dispatcher(4, 2);
    while dispatcher.budget.try_retry(NOW) {}
    let (ticket, _) = attempt(&dispatcher.handle_arrival(arrival(Idempotent), NOW));
    let orders = dispatcher.handle(ticket, CallEvent::AttemptLate(Reused), NOW);
    assert_eq!(
        orders,
        [AddressedOrder {
            ticket,
            order: CallOrder::Continue
        }]
    );
    assert!(
        dispatcher
            .handle(ticket, CallEvent::Answered(Duration::from_millis(9)), NOW)
            .is_empty()
    );
    assert_eq!(dispatcher.open_calls(), 0);
}

#[test]
fn draining_refusal_removes_target() {
    let mut dispatcher = dispatcher(2, 2);
    let (ticket, first) = attempt(&dispatcher.handle_arrival(arrival(NonIdempotent), NOW));
    let draining = CallEvent::Failed(FailurePoint::TargetDraining, Fresh);
    let (_, second) = attempt(&dispatcher.handle(ticket, draining, NOW)[0]);
    assert_ne!(first.worker, second.worker);
    let (_, third) = attempt(&dispatcher.handle_arrival(arrival(NonIdempotent), NOW));
    assert_eq!(third.worker, second.worker);
}

#[test]
fn caller_disconnected_before_failure() {
    let mut dispatcher = dispatcher(2, 1);
    let (ticket, _) = attempt(&dispatcher.handle_arrival(arrival(Idempotent), NOW));
    let failed = CallEvent::FailedAfterDisconnect(FailurePoint::TargetFull, Fresh);
    assert_eq!(
        dispatcher.handle(ticket, failed, NOW),
        [],
        "no retry after the caller disconnected"
    );
    assert_eq!(dispatcher.open_calls(), 0);
}

#[test]
fn queued_call_is_admitted_or_refused() {
    let mut dispatcher = dispatcher(1, 1);
    let (running, _) = attempt(&dispatcher.handle_arrival(arrival(Idempotent), NOW));
    let until = NOW + Duration::from_millis(250);
    let waiting = [0, 1].map(|_| {
        let order = dispatcher.handle_arrival(arrival(NonIdempotent), NOW);
        assert_eq!(order.order, CallOrder::Wait(until));
        order.ticket
    });
    let orders = dispatcher.handle(running, CallEvent::Answered(Duration::from_millis(1)), NOW);
    assert_eq!(attempt(&orders[0]).0, waiting[0]);
    let orders = dispatcher.handle(waiting[1], CallEvent::WaitEnded, until);
    let cause = EndCause::NotAdmitted(AdmissionRefusal::WaitTimedOut);
    let ending = CallEnding {
        outcome: CallOutcome::NotRun,
        cause,
    };
    let ticket = waiting[1];
    assert_eq!(
        orders,
        [AddressedOrder {
            ticket,
            order: CallOrder::End(ending)
        }]
    );
}

/// An open call as seen by the task that carries it.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    ticket: CallTicket,
    safety: RetrySafety,
    attempting: bool,
    /// Number of attempts that may have run, apart from those replaced as late.
    possible_runs: u32,
}

fn step() -> impl Strategy<Value = (u8, usize, FailurePoint, u64)> {
    let point = prop::sample::select(FailurePoint::ALL.to_vec());
    (0..8_u8, any::<usize>(), point, 0..40_u64)
}

proptest! {
    #[test]
    fn dispatcher_any_events(
        steps in prop::collection::vec(step(), 1..150),
        workers in 1..4_u32,
        slots in 1..3_u32,
    ) {
        let mut dispatcher = dispatcher(workers, slots);
        let mut now = NOW;
        let mut open: Vec<OpenCall> = Vec::new();
        let drain_steps = std::iter::repeat_n((7, 0, FailurePoint::NoAnswer, 40), 2_000);
        for (kind, pick, point, delay) in steps.into_iter().chain(drain_steps) {
            now = now + Duration::from_millis(delay);
            let mut orders = Vec::new();
            if kind < 2 {
                let safety = if kind == 0 { Idempotent } else { NonIdempotent };
                let deadline = CallDeadline::new(now, Duration::from_millis(200));
                let arrival = CallArrival { deadline, ..arrival(safety) };
                let order = dispatcher.handle_arrival(arrival, now);
                let ticket = order.ticket;
                let (attempting, possible_runs) = (false, 0);
                open.push(OpenCall { ticket, safety, attempting, possible_runs });
                orders.push(order);
            } else if !open.is_empty() {
                let at = pick % open.len();
                let call = &mut open[at];
                let event = match (kind, call.attempting) {
                    (2 | 3, true) => CallEvent::Answered(Duration::from_millis(delay)),
                    (4, true) if call.safety == Idempotent => CallEvent::AttemptLate(Reused),
                    (5, true) => CallEvent::FailedAfterDisconnect(point, Fresh),
                    (5, false) | (6, _) => CallEvent::CallerDisconnected,
                    (_, true) => CallEvent::Failed(point, Fresh),
                    (_, false) => CallEvent::WaitEnded,
                };
                let is_unknown = point.outcome() != CallOutcome::NotRun;
                match event {
                    CallEvent::Answered(_) => call.possible_runs += 1,
                    CallEvent::Failed(..) => call.possible_runs += u32::from(is_unknown),
                    _ => {}
                }
                let continues = matches!(event, CallEvent::AttemptLate(_) | CallEvent::WaitEnded);
                call.attempting &= continues;
                let is_done = !continues && !matches!(event, CallEvent::Failed(..));
                let ticket = call.ticket;
                orders = dispatcher.handle(ticket, event, now);
                if is_done {
                    open.remove(at);
                }
            }
            for AddressedOrder { ticket, order } in orders {
                let at = open.iter().position(|call| call.ticket == ticket);
                prop_assert!(at.is_some(), "an order for a call that has ended: {:?}", order);
                let call = &mut open[at.unwrap()];
                match order {
                    CallOrder::Attempt(_) => {
                        prop_assert!(call.safety == Idempotent || call.possible_runs == 0);
                        call.attempting = true;
                    }
                    CallOrder::End(ending) => {
                        let may_have_run = ending.outcome != CallOutcome::NotRun;
                        prop_assert!(may_have_run || call.possible_runs == 0);
                        open.remove(at.unwrap());
                    }
                    CallOrder::Wait(until) => prop_assert!(until >= now),
                    CallOrder::Continue => prop_assert!(call.attempting),
                }
            }
            let attempting = open.iter().filter(|call| call.attempting).count();
            let in_flight: u32 = dispatcher.table.entries().values().map(|entry| entry.in_flight).sum();
            prop_assert_eq!(in_flight as usize, attempting);
        }
        prop_assert_eq!(dispatcher.open_calls(), 0);
        prop_assert_eq!((dispatcher.admission.in_flight(), dispatcher.admission.waiting()), (0, 0));
    }
}
