//! Target table: draining targets, choice of targets, spill-over to other zones,
//! quarantine and return from it.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::health::{HealthRules, HealthState, QuarantineCause};
use flamingowalk_core::process::router::choice::{RouteQuery, RouteRefusal};
use flamingowalk_core::process::router::table::{
    AttemptResult, AttemptTicket, TargetIndex, TargetRecord, TargetTable,
};
use flamingowalk_core::request::outcome::FailureBlame;
use flamingowalk_core::request::outcome::RetrySafety::{Idempotent, NonIdempotent};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const MILLI: Duration = Duration::from_millis(1);

fn record(zone: &str, number: u32, incarnation: u64, draining: bool) -> TargetRecord {
    TargetRecord {
        name: format!("{zone}-{number}").into(),
        zone: zone.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation,
        draining,
        services: BTreeSet::from(["plan".into()]),
        slots: 2,
        connections: 8,
    }
}

/// Creates the table of a host in zone a, with targets in zones a and b.
fn table(own: u32, other: u32) -> TargetTable {
    let mut table = TargetTable::new("a".into(), HealthRules::default(), 0.25);
    let own = (0..own).map(|number| record("a", number, 1, false));
    let other = (0..other).map(|number| record("b", number, 1, false));
    table.apply_listing(own.chain(other).collect());
    table
}

struct Chooser {
    table: TargetTable,
    rng: ChaCha8Rng,
    now: MonotonicTime,
}

impl Chooser {
    fn new(table: TargetTable) -> Self {
        let now = MonotonicTime::from_secs(100);
        Self {
            table,
            rng: ChaCha8Rng::seed_from_u64(7),
            now,
        }
    }

    fn choose(&mut self, key: Option<&str>) -> Result<TargetIndex, RouteRefusal> {
        let service = ServiceName::from("plan");
        let tried = BTreeSet::new();
        let query = RouteQuery {
            service: &service,
            safety: Idempotent,
            tried: &tried,
            key,
        };
        self.table.choose(&query, self.now, &mut self.rng)
    }

    fn begin(&mut self) -> AttemptTicket {
        let index = self.choose(None).unwrap();
        self.table.begin_attempt(index).unwrap()
    }

    fn end(&mut self, ticket: &AttemptTicket, result: AttemptResult) {
        self.now = self.now + MILLI * 100;
        self.table.end_attempt(ticket, result, self.now);
    }

    /// Runs calls one by one with a result that depends on the target. Returns the number
    /// of calls that each target got.
    fn run(
        &mut self,
        calls: u32,
        result: impl Fn(TargetIndex) -> AttemptResult,
    ) -> BTreeMap<TargetIndex, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..calls {
            let ticket = self.begin();
            *counts.entry(ticket.index).or_default() += 1;
            self.end(&ticket, result(ticket.index));
        }
        counts
    }

    fn cause(&self, index: u32) -> Option<QuarantineCause> {
        match self.table.entry(TargetIndex(index)).unwrap().health.state() {
            HealthState::Healthy => None,
            HealthState::Quarantined { cause, .. } => Some(cause),
        }
    }
}

const GOOD: AttemptResult = AttemptResult::Answered(Duration::from_millis(10));
const BAD: AttemptResult = AttemptResult::Failed(FailureBlame::Target);

#[test]
fn choose_own_zone_first_then_spill() {
    let mut chooser = Chooser::new(table(2, 2));
    let tickets: Vec<_> = (0..8).map(|_| chooser.begin()).collect();
    let zone_of = |ticket: &AttemptTicket| ticket.index.0 / 2;
    assert!(
        tickets[..4].iter().all(|ticket| zone_of(ticket) == 0),
        "{tickets:?}"
    );
    assert!(
        tickets[4..].iter().all(|ticket| zone_of(ticket) == 1),
        "{tickets:?}"
    );
    assert_eq!(chooser.choose(None), Err(RouteRefusal::AllFull));
}

#[rstest]
#[case(&[0], 0)]
#[case(&[0, 1], 1)]
#[case(&[0, 4], 0)]
fn choose_after_failures_in_one_zone(#[case] tried: &[u32], #[case] zone: u32) {
    let mut chooser = Chooser::new(table(4, 4));
    let service = ServiceName::from("plan");
    let tried = tried.iter().copied().map(TargetIndex).collect();
    let query = RouteQuery {
        service: &service,
        safety: Idempotent,
        tried: &tried,
        key: None,
    };
    for _ in 0..20 {
        let index = chooser
            .table
            .choose(&query, chooser.now, &mut chooser.rng)
            .unwrap();
        assert_eq!(index.0 / 4, zone);
        assert!(!tried.contains(&index));
    }
}

#[test]
fn choose_no_service() {
    assert_eq!(
        Chooser::new(table(0, 0)).choose(None),
        Err(RouteRefusal::NoTarget)
    );
}

#[test]
fn choose_prefers_fast() {
    let mut chooser = Chooser::new(table(4, 0));
    let latency = |index: TargetIndex| if index.0 == 0 { 30 } else { 10 };
    let counts = chooser.run(400, |index| AttemptResult::Answered(MILLI * latency(index)));
    assert!(counts[&TargetIndex(0)] < 20, "{counts:?}");
}

#[test]
fn choose_key_ignores_zone_and_load() {
    let mut left = Chooser::new(table(3, 3));
    let mut right = Chooser::new(table(3, 3));
    right.table.own_zone = "b".into();
    for key in ["x", "y", "z", "w"] {
        assert_eq!(left.choose(Some(key)), right.choose(Some(key)));
    }
    let pinned = left.choose(Some("x")).unwrap();
    let _first = left.table.begin_attempt(pinned);
    let _second = left.table.begin_attempt(pinned);
    assert_eq!(
        left.choose(Some("x")),
        Err(RouteRefusal::AllFull),
        "never another target"
    );
}

#[test]
fn full_target_gets_no_calls() {
    let mut chooser = Chooser::new(table(1, 0));
    let ticket = chooser.begin();
    chooser.end(&ticket, AttemptResult::Full);
    assert_eq!(chooser.choose(None), Err(RouteRefusal::AllFull));
    chooser.now = chooser.now + Duration::from_millis(5);
    assert_eq!(chooser.choose(None), Ok(TargetIndex(0)));
}

#[rstest]
#[case(BAD, QuarantineCause::Failing)]
#[case(
    AttemptResult::Answered(Duration::from_millis(100)),
    QuarantineCause::Slow
)]
#[case(
    AttemptResult::Failed(FailureBlame::Path),
    QuarantineCause::Unreachable
)]
fn quarantine_one_bad_target(#[case] bad: AttemptResult, #[case] cause: QuarantineCause) {
    let mut chooser = Chooser::new(table(8, 0));
    chooser.run(600, |index| if index.0 == 3 { bad } else { GOOD });
    let causes: Vec<_> = (0..8).filter_map(|index| chooser.cause(index)).collect();
    assert_eq!((chooser.cause(3), causes.len()), (Some(cause), 1));
}

#[test]
fn failing_zone_gets_no_calls_until_recovered() {
    let mut chooser = Chooser::new(table(8, 8));
    chooser.run(400, |_| GOOD);
    let own_calls = |counts: &BTreeMap<TargetIndex, u32>| -> u32 {
        counts
            .iter()
            .filter(|(index, _)| index.0 < 8)
            .map(|(_, calls)| calls)
            .sum()
    };
    let failing = |index: TargetIndex| if index.0 < 8 { BAD } else { GOOD };
    let before = own_calls(&chooser.run(300, failing));
    assert!(before < 120, "{before} calls until the zone was left");
    let after = own_calls(&chooser.run(300, failing));
    assert!(after < 90, "{after} probe calls in 30 s");
    chooser.run(300, |_| GOOD);
    assert_eq!(own_calls(&chooser.run(100, |_| GOOD)), 100);
}

#[test]
fn quarantine_bad_calls_everywhere() {
    let mut chooser = Chooser::new(table(8, 0));
    chooser.run(600, |_| BAD);
    assert!((0..8).filter_map(|index| chooser.cause(index)).count() <= 2);
}

#[test]
fn quarantine_cap() {
    let mut chooser = Chooser::new(table(8, 0));
    chooser.run(2_000, |index| if index.0 < 6 { BAD } else { GOOD });
    assert_eq!((0..8).filter_map(|index| chooser.cause(index)).count(), 2);
}

#[test]
fn quarantine_return_needs_good_probe_calls() {
    let mut chooser = Chooser::new(table(4, 0));
    chooser.run(600, |index| if index.0 == 1 { BAD } else { GOOD });
    assert_eq!(chooser.cause(1), Some(QuarantineCause::Failing));
    chooser.now = chooser.now + Duration::from_secs(40);
    let probe_calls = chooser.run(2, |_| GOOD);
    assert_eq!(probe_calls, BTreeMap::from([(TargetIndex(1), 2)]));
    assert_eq!(chooser.cause(1), Some(QuarantineCause::Failing));
    let first = chooser.begin();
    let second = chooser.begin();
    assert_eq!(first.index, TargetIndex(1));
    assert_ne!(second.index, TargetIndex(1), "one probe call at a time");
    chooser.end(&first, GOOD);
    assert_eq!(chooser.cause(1), None);
}

#[test]
fn quarantine_spares_non_idempotent_calls() {
    let mut chooser = Chooser::new(table(4, 0));
    chooser.run(600, |index| if index.0 == 1 { BAD } else { GOOD });
    let health = &chooser.table.entry(TargetIndex(1)).unwrap().health;
    let rules = HealthRules::default();
    let HealthState::Quarantined { until, .. } = health.state() else {
        panic!("{health:?}")
    };
    assert!(!health.is_probe_call_due(&rules, NonIdempotent, until));
    assert!(health.is_probe_call_due(&rules, Idempotent, until));
}

#[test]
fn unreachable_returns_by_probe() {
    let mut chooser = Chooser::new(table(2, 0));
    let unreachable = AttemptResult::Failed(FailureBlame::Path);
    chooser.run(50, |index| if index.0 == 0 { unreachable } else { GOOD });
    chooser.now = chooser.now + Duration::from_secs(30);
    assert!(
        !chooser.run(20, |_| GOOD).contains_key(&TargetIndex(0)),
        "no call is a probe call"
    );
    assert_eq!(chooser.table.due_probes(chooser.now), [TargetIndex(0)]);
    chooser
        .table
        .record_probe(TargetIndex(0), false, chooser.now);
    assert_eq!(chooser.table.due_probes(chooser.now), []);
    chooser.now = chooser.now + Duration::from_secs(30);
    chooser
        .table
        .record_probe(TargetIndex(0), true, chooser.now);
    assert_eq!(chooser.cause(0), None);
}

#[test]
fn restart_ends_old_attempts_silently() {
    let mut chooser = Chooser::new(table(1, 0));
    let ticket = chooser.begin();
    chooser.table.apply_listing(vec![record("a", 0, 2, false)]);
    chooser.end(&ticket, BAD);
    let entry = chooser.table.entry(TargetIndex(0)).unwrap();
    assert_eq!((entry.in_flight, entry.health.recent()), (0, (0, 0)));
}

#[test]
fn unlisted_target_stays_until_idle() {
    let mut chooser = Chooser::new(table(1, 0));
    let ticket = chooser.begin();
    chooser.table.apply_listing(Vec::new());
    assert_eq!(chooser.choose(None), Err(RouteRefusal::NoTarget));
    chooser.end(&ticket, GOOD);
    chooser.table.apply_listing(Vec::new());
    assert!(chooser.table.entries().is_empty());
}

/// Report of one source about worker a-0.
#[derive(Clone, Debug)]
enum StateReport {
    Listed { incarnation: u64, draining: bool },
    Unlisted,
    Draining { incarnation: u64 },
}

fn state_report() -> impl Strategy<Value = StateReport> {
    prop_oneof![
        (1..4_u64, any::<bool>()).prop_map(|(incarnation, draining)| StateReport::Listed {
            incarnation,
            draining
        }),
        Just(StateReport::Unlisted),
        (1..4_u64).prop_map(|incarnation| StateReport::Draining { incarnation }),
    ]
}

proptest! {
    #[test]
    fn draining_is_never_undone(reports in prop::collection::vec(state_report(), 1..24)) {
        let mut chooser = Chooser::new(table(0, 0));
        let mut max_drained = 0;
        for report in reports {
            match report {
                StateReport::Listed { incarnation, draining } => {
                    max_drained = max_drained.max(if draining { incarnation } else { 0 });
                    chooser.table.apply_listing(vec![record("a", 0, incarnation, draining)]);
                }
                StateReport::Unlisted => chooser.table.apply_listing(Vec::new()),
                StateReport::Draining { incarnation } => {
                    max_drained = max_drained.max(incarnation);
                    chooser.table.mark_draining(&"a-0".into(), incarnation);
                }
            }
            if let Ok(index) = chooser.choose(None) {
                let entry = chooser.table.entry(index).unwrap();
                prop_assert!(entry.record.incarnation > max_drained);
            }
        }
    }
}
