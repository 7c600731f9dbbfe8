//! A snapshot of the seat stands for all records before it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{
    ElectionHistory, ElectionRecord, VoterIdentity, VoterSetOffset,
};
use flamingowalk_core::process::planner::event::LeaderTerm;
use proptest::prelude::*;

/// What a host would append in the present state of the ledger; the number picks
/// terms and hosts, stale ones included.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(u8),
    Active(u8),
    Roster(u8),
    Yield(u8),
    /// An offset without a record.
    Gap,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<u8>().prop_map(Step::Claim),
        any::<u8>().prop_map(Step::Active),
        any::<u8>().prop_map(Step::Roster),
        any::<u8>().prop_map(Step::Yield),
        Just(Step::Gap),
    ]
}

fn member(number: u8) -> VoterIdentity {
    VoterIdentity {
        host: HostName::from(format!("h{}", number % 3)),
        incarnation: 1,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000),
    }
}

fn next_record(history: &ElectionHistory, step: Step) -> Option<ElectionRecord> {
    let is_stale = |pick: u8| pick.is_multiple_of(5);
    let term = |pick| LeaderTerm(history.term().0.saturating_sub(u64::from(is_stale(pick))));
    Some(match step {
        Step::Claim(pick) => ElectionRecord::Claim {
            base_term: term(pick),
            holder: member(pick),
            voters: (0..3).map(member).collect(),
        },
        Step::Active(pick) => ElectionRecord::Active { term: term(pick) },
        Step::Roster(pick) => ElectionRecord::VoterSet {
            term: term(pick),
            base_voter_set: history
                .current()
                .map_or(VoterSetOffset(0), |entry| entry.voter_set_offset),
            voters: vec![member(pick), history.current()?.holder.clone()],
        },
        Step::Yield(pick) => ElectionRecord::Resign {
            term: term(pick),
            successor: Some(HostName::from("h1")),
        },
        Step::Gap => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn history_from_snapshot(steps in proptest::collection::vec(any_step(), 1..60), cut in 0..60_u64) {
        let mut whole = ElectionHistory::default();
        let mut restored = ElectionHistory::default();
        for (offset, step) in (0..).zip(steps) {
            if offset == cut {
                restored.restore(&whole.live_records(), offset);
            }
            if let Some(record) = next_record(&whole, step) {
                whole.apply(offset, &record);
                if offset >= cut {
                    restored.apply(offset, &record);
                }
            }
            if offset >= cut {
                prop_assert_eq!(restored.current(), whole.current());
                prop_assert_eq!(restored.predecessor(), whole.predecessor());
            }
        }
    }
}

/// A ledger that has read further is not set back.
#[test]
fn history_restore_older_snapshot() {
    let mut history = ElectionHistory::default();
    let claim = |base| ElectionRecord::Claim {
        base_term: LeaderTerm(base),
        holder: member(0),
        voters: vec![member(0)],
    };
    history.apply(0, &claim(0));
    let older = history.live_records();
    history.apply(4, &claim(1));
    history.restore(&older, 1);
    assert_eq!(history.term(), LeaderTerm(5));
}
