//! Admission queue: fair shares by weight, limits per customer, bounded waits and order
//! by deadline.

use std::sync::atomic::{AtomicU64, Ordering};

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::admission::queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, CallTicket, CustomerShare,
    MAX_WAITING_CALLS,
};
use flamingowalk_core::request::deadline::CallDeadline;
use proptest::prelude::*;

const NOW: MonotonicTime = MonotonicTime::from_secs(1);

fn queue(capacity: u32, customers: &[(&str, u32, u32)]) -> AdmissionQueue {
    let share = |weight, max_calls| CustomerShare { weight, max_calls };
    let shares = customers
        .iter()
        .map(|(name, weight, max_calls)| ((*name).into(), share(*weight, *max_calls)))
        .collect();
    let mut queue = AdmissionQueue::default();
    queue.set_customers(&shares);
    queue.set_capacity(capacity);
    queue
}

fn within(millis: u64) -> CallDeadline {
    CallDeadline::new(NOW, Duration::from_millis(millis))
}

fn offer(queue: &mut AdmissionQueue, customer: &str, millis: u64) -> (CallTicket, bool) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let ticket = CallTicket(NEXT.fetch_add(1, Ordering::Relaxed));
    match queue
        .offer(ticket, &customer.into(), &within(millis), NOW)
        .unwrap()
    {
        AdmissionDecision::Admitted => (ticket, true),
        AdmissionDecision::Queued(until) => {
            assert_eq!(until, NOW + Duration::from_millis(millis) / 4);
            (ticket, false)
        }
    }
}

#[test]
fn offer_unknown_customer() {
    let refusal = queue(1, &[]).offer(CallTicket(u64::MAX), &"x".into(), &within(100), NOW);
    assert_eq!(refusal, Err(AdmissionRefusal::UnknownCustomer));
}

#[test]
fn offer_own_limit() {
    let mut queue = queue(10, &[("a", 1, 2), ("b", 1, 0)]);
    let admitted: Vec<_> = (0..3).map(|_| offer(&mut queue, "a", 100).1).collect();
    assert_eq!(admitted, [true, true, false]);
    assert!(
        offer(&mut queue, "b", 100).1,
        "another customer is not held up"
    );
    queue.finish(&"b".into());
    assert_eq!(
        queue.admit_next(),
        None,
        "the customer is still at its limit"
    );
    queue.finish(&"a".into());
    assert!(queue.admit_next().is_some());
}

#[test]
fn offer_queue_full() {
    let mut queue = queue(0, &[("a", 1, 0)]);
    let tickets: BTreeSet<_> = (0..MAX_WAITING_CALLS)
        .map(|_| offer(&mut queue, "a", 100).0)
        .collect();
    assert_eq!(tickets.len(), MAX_WAITING_CALLS);
    let refusal = queue.offer(CallTicket(u64::MAX), &"a".into(), &within(100), NOW);
    assert_eq!(refusal, Err(AdmissionRefusal::QueueFull));
}

#[test]
fn admit_earliest_deadline() {
    let mut queue = queue(0, &[("a", 1, 0)]);
    let tickets = [9_000, 50, 700].map(|millis| offer(&mut queue, "a", millis).0);
    assert!(queue.withdraw(&"a".into(), tickets[2], &within(700)));
    assert!(!queue.withdraw(&"a".into(), tickets[2], &within(700)));
    queue.set_capacity(5);
    assert_eq!(queue.admit_next(), Some(tickets[1]));
    assert_eq!(queue.admit_next(), Some(tickets[0]));
    assert_eq!(queue.admit_next(), None);
}

#[test]
fn admit_by_weight_under_burst() {
    let mut queue = queue(1, &[("burst", 1, 0), ("heavy", 3, 0)]);
    let (_, is_admitted) = offer(&mut queue, "burst", 100);
    assert!(is_admitted);
    let burst: BTreeSet<_> = (0..300).map(|_| offer(&mut queue, "burst", 10).0).collect();
    let heavy: BTreeSet<_> = (0..300)
        .map(|_| offer(&mut queue, "heavy", 1_000).0)
        .collect();
    let mut running = CustomerName::from("burst");
    let mut burst_admitted = 0;
    for _ in 0..200 {
        queue.finish(&running);
        let ticket = queue.admit_next().unwrap();
        let is_burst = burst.contains(&ticket);
        assert!(
            is_burst || heavy.contains(&ticket),
            "no ticket is admitted twice"
        );
        running = if is_burst { "burst" } else { "heavy" }.into();
        burst_admitted += u32::from(is_burst);
    }
    assert!((49..=51).contains(&burst_admitted), "{burst_admitted}");
}

proptest! {
    #[test]
    fn admit_within_capacity(
        steps in prop::collection::vec((0..3_u8, 0..3_usize, 1..500_u64), 1..200),
        capacity in 0..6_u32,
    ) {
        let names = ["a", "b", "c"];
        let mut queue = queue(capacity, &[("a", 1, 0), ("b", 2, 2), ("c", 5, 0)]);
        let mut owners = BTreeMap::new();
        let mut running: Vec<CallTicket> = Vec::new();
        for (step, customer, millis) in steps {
            match step {
                0 | 1 => {
                    let (ticket, is_admitted) = offer(&mut queue, names[customer], millis);
                    owners.insert(ticket, names[customer]);
                    running.extend(is_admitted.then_some(ticket));
                }
                _ => {
                    if let Some(ticket) = running.pop() {
                        queue.finish(&owners[&ticket].into());
                    }
                }
            }
            running.extend(std::iter::from_fn(|| queue.admit_next()));
            prop_assert!(running.len() <= capacity as usize);
            prop_assert!(running.iter().filter(|ticket| owners[ticket] == "b").count() <= 2);
            prop_assert_eq!(queue.in_flight() as usize, running.len());
        }
    }
}
