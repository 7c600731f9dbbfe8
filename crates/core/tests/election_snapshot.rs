//! A snapshot of the election stream must be equivalent to all records before it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{
    ElectionHistory, ElectionRecord, VoterIdentity, VoterSetOffset,
};
use flamingowalk_core::process::planner::event::LeaderTerm;
use proptest::prelude::*;

/// A record that a host would append in the current state of the history. The number
/// selects terms and hosts, including stale ones.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(u8),
    Active(u8),
    VoterSet(u8),
    Resign(u8),
    /// An offset without a record.
    Gap,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<u8>().prop_map(Step::Claim),
        any::<u8>().prop_map(Step::Active),
        any::<u8>().prop_map(Step::VoterSet),
        any::<u8>().prop_map(Step::Resign),
        Just(Step::Gap),
    ]
}

fn voter(number: u8) -> VoterIdentity {
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
            holder: voter(pick),
            voters: (0..3).map(voter).collect(),
        },
        Step::Active(pick) => ElectionRecord::Active { term: term(pick) },
        Step::VoterSet(pick) => ElectionRecord::VoterSet {
            term: term(pick),
            base_voter_set: history
                .current()
                .map_or(VoterSetOffset(0), |entry| entry.voter_set_offset),
            voters: vec![voter(pick), history.current()?.holder.clone()],
        },
        Step::Resign(pick) => ElectionRecord::Resign {
            term: term(pick),
            successor: Some(HostName::from("h1")),
        },
        Step::Gap => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn history_from_snapshot(
        steps in proptest::collection::vec(any_step(), 1..60),
        snapshot_offset in 0..60_u64,
    ) {
        let mut whole = ElectionHistory::default();
        let mut restored = ElectionHistory::default();
        for (offset, step) in (0..).zip(steps) {
            if offset == snapshot_offset {
                restored.restore(&whole.live_records(), offset);
            }
            if let Some(record) = next_record(&whole, step) {
                whole.apply(offset, &record);
                if offset >= snapshot_offset {
                    restored.apply(offset, &record);
                }
            }
            if offset >= snapshot_offset {
                prop_assert_eq!(restored.current(), whole.current());
                prop_assert_eq!(restored.predecessor(), whole.predecessor());
            }
        }
    }
}

/// A snapshot that is older than the history must not reset it.
#[test]
fn history_restore_older_snapshot() {
    let mut history = ElectionHistory::default();
    let claim = |base| ElectionRecord::Claim {
        base_term: LeaderTerm(base),
        holder: voter(0),
        voters: vec![voter(0)],
    };
    history.apply(0, &claim(0));
    let older = history.live_records();
    history.apply(4, &claim(1));
    history.restore(&older, 1);
    assert_eq!(history.term(), LeaderTerm(5));
}
