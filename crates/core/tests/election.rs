//! Leader election on one host, against tables of records, answers and times.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::verifier::verify_election;
use flamingowalk_core::process::election::{
    ElectionAction, ElectionEvent, ElectionHistory, ElectionRecord, ElectionTimes, LeaderElection,
    PlacedRecord, VoterIdentity, VoterSetOffset,
};
use flamingowalk_core::process::planner::event::LeaderTerm;
use rstest::rstest;

const TIMES: ElectionTimes = ElectionTimes {
    lease_duration: Duration::from_secs(4),
    max_log_outage: Duration::from_secs(100),
    max_clock_drift: Duration::from_secs(1),
};

fn voter(host: &str, incarnation: u64) -> VoterIdentity {
    VoterIdentity {
        host: HostName::from(host),
        incarnation,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000),
    }
}

fn voters(names: &[&str]) -> Vec<VoterIdentity> {
    names.iter().map(|name| voter(name, 1)).collect()
}

fn claim(base: u64, holder: &str, names: &[&str]) -> ElectionRecord {
    ElectionRecord::Claim {
        base_term: LeaderTerm(base),
        holder: voter(holder, 1),
        voters: voters(names),
    }
}

fn active(term: u64) -> ElectionRecord {
    ElectionRecord::Active {
        term: LeaderTerm(term),
    }
}

fn resigned(term: u64) -> ElectionRecord {
    ElectionRecord::Resign {
        term: LeaderTerm(term),
        successor: None,
    }
}

fn voter_set_record(term: u64, base: u64, names: &[&str]) -> ElectionRecord {
    ElectionRecord::VoterSet {
        term: LeaderTerm(term),
        base_voter_set: VoterSetOffset(base),
        voters: voters(names),
    }
}

/// One host that is driven with times in seconds, and the offset of the next record.
struct ElectionBench {
    state: LeaderElection,
    offset: u64,
}

impl ElectionBench {
    fn new(host: &str) -> Self {
        let state = LeaderElection::new(voter(host, 1), ZoneName::from("celje-b"), TIMES);
        Self { state, offset: 0 }
    }

    fn at(&mut self, secs: u64, event: ElectionEvent) -> Vec<ElectionAction> {
        let now = MonotonicTime::from_secs(secs);
        let mut actions = Vec::new();
        self.state.handle(now, event, &mut actions);
        assert_eq!(verify_election(&self.state, now), []);
        actions
    }

    fn read(&mut self, secs: u64, record: ElectionRecord) -> Vec<ElectionAction> {
        let offset = self.offset;
        self.offset += 1;
        self.at(secs, ElectionEvent::LogRecord { offset, record })
    }

    fn read_tail(&mut self, secs: u64, sent_secs: u64) -> Vec<ElectionAction> {
        let sent_at = MonotonicTime::from_secs(sent_secs);
        self.at(secs, ElectionEvent::LogTailRead { sent_at })
    }

    fn grant(&mut self, secs: u64, from: &str, from_incarnation: u64, term: u64, sent_secs: u64) {
        let event = ElectionEvent::GrantAnswered {
            from: HostName::from(from),
            incarnation: from_incarnation,
            term: LeaderTerm(term),
            sent_at: MonotonicTime::from_secs(sent_secs),
            granted: true,
        };
        self.at(secs, event);
    }

    fn refusal(
        &mut self,
        secs: u64,
        from: &str,
        from_incarnation: u64,
        term: u64,
    ) -> Vec<ElectionAction> {
        let event = ElectionEvent::RefusalAnswered {
            from: HostName::from(from),
            incarnation: from_incarnation,
            term: LeaderTerm(term),
            refused: true,
        };
        self.at(secs, event)
    }

    fn request_grant(&mut self, secs: u64, term: u64, incarnation: u64) -> bool {
        let event = ElectionEvent::GrantRequested {
            from: HostName::from("a"),
            term: LeaderTerm(term),
            incarnation,
            request: 9,
        };
        let actions = self.at(secs, event);
        actions.iter().any(|action| {
            matches!(action, ElectionAction::AnswerGrant { granted, request: 9, .. } if *granted)
        })
    }

    fn request_refusal(&mut self, secs: u64, term: u64) -> bool {
        let event = ElectionEvent::RefusalRequested {
            from: HostName::from("x"),
            term: LeaderTerm(term),
            request: 9,
        };
        let actions = self.at(secs, event);
        actions.iter().any(|action| {
            matches!(action, ElectionAction::AnswerRefusal { refused, request: 9, .. } if *refused)
        })
    }

    fn may_start(&self, secs: u64) -> bool {
        self.state.may_start(MonotonicTime::from_secs(secs))
    }

    /// Creates host `a` as the active holder of term 1, with its log read sent at `secs`.
    fn holder(names: &[&str], secs: u64) -> Self {
        let mut bench = Self::new("a");
        for name in names.iter().filter(|name| **name != "a") {
            bench.observe_peer(0, name, 1);
        }
        bench.read(0, claim(0, "a", names));
        bench.read(0, active(1));
        bench.read_tail(secs, secs);
        bench
    }

    fn observe_peer(&mut self, secs: u64, host: &str, incarnation: u64) -> Vec<ElectionAction> {
        let peer = voter(host, incarnation);
        self.at(secs, ElectionEvent::PeerAlive { peer })
    }
}

#[test]
fn claim_single_host() {
    let mut bench = ElectionBench::new("a");
    let claimed = bench.read_tail(1, 1);
    let own = voters(&["a"]);
    let expected = ElectionAction::AppendClaim {
        base_term: LeaderTerm(0),
        voters: own,
    };
    assert_eq!(claimed, [expected]);
    assert!(!bench.may_start(1));
    let waited = bench.read(2, claim(0, "a", &["a"]));
    assert_eq!(
        waited,
        [ElectionAction::AppendActive {
            term: LeaderTerm(1)
        }]
    );
    assert!(!bench.may_start(2));
    let gained = bench.read(3, active(1));
    assert_eq!(
        gained,
        [ElectionAction::Gained {
            term: LeaderTerm(1)
        }]
    );
    assert!(bench.may_start(3));
    insta::assert_snapshot!(bench.state.to_string());
}

#[test]
fn claim_answer_lost() {
    let mut bench = ElectionBench::new("a");
    assert_eq!(bench.read_tail(1, 1).len(), 1);
    assert_eq!(bench.at(2, ElectionEvent::LogFailed), []);
    assert_eq!(
        bench.read_tail(3, 3),
        [],
        "the first append may yet take effect"
    );
    assert_eq!(
        bench.read_tail(5, 5).len(),
        1,
        "repeated after one interval"
    );
    bench.read(6, claim(0, "a", &["a"]));
    bench.read(6, claim(0, "a", &["a"]));
    assert_eq!(bench.state.history().term(), LeaderTerm(1));
    assert_eq!(bench.state.history().rejected_records(), 1);
}

/// A candidate must not become active before the previous leader's lease has expired.
/// Each case gives the records that host `b` read before its own claim at 10 s, the
/// refusals that it received as (host, incarnation, term, seconds), and the second at
/// which its wait ends.
#[rstest]
#[case::no_predecessor(&[], &[], 10)]
#[case::voter(&[claim(0, "a", &["a", "b"]), active(1)], &[], 15)]
#[case::predecessor_resigned(&[claim(0, "a", &["a"]), active(1), resigned(1)], &[], 10)]
#[case::non_voter(&[claim(0, "a", &["a", "c"]), active(1)], &[], 111)]
#[case::refusal(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 1, 9)], 15)]
#[case::refusal_late(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 1, 12)], 17)]
#[case::refusal_other_incarnation(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 2, 1, 9)], 111)]
#[case::refusal_of_holder(&[claim(0, "a", &["a", "c"]), active(1)], &[("a", 1, 1, 9)], 111)]
#[case::refusal_of_non_voter(&[claim(0, "a", &["a", "c"]), active(1)], &[("d", 1, 1, 9)], 111)]
#[case::refusal_older_term(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 0, 9)], 111)]
#[case::voter_removed(
    &[claim(0, "a", &["a", "b"]), active(1), voter_set_record(1, 0, &["a", "c"])], &[], 111
)]
#[case::voter_added(
    &[claim(0, "a", &["a"]), active(1), voter_set_record(1, 0, &["a", "b"])], &[], 15
)]
#[case::waiting_holder_replaced_by_voter(
    &[claim(0, "a", &["a", "b"]), active(1), claim(1, "c", &["c"])], &[], 15
)]
#[case::waiting_holder_replaced_by_non_voter(
    &[claim(0, "a", &["a", "c"]), active(1), claim(1, "c", &["b", "c"])], &[], 111
)]
#[case::waiting_holder_resigned(
    &[claim(0, "a", &["a"]), active(1), claim(1, "c", &["b", "c"]), resigned(3)], &[], 111
)]
fn claim_wait_table(
    #[case] records: &[ElectionRecord],
    #[case] refusals: &[(&str, u64, u64, u64)],
    #[case] ends_secs: u64,
) {
    let mut bench = ElectionBench::new("b");
    for record in records {
        bench.read(1, record.clone());
    }
    for (host, incarnation, term, secs) in refusals.iter().filter(|refusal| refusal.3 <= 10) {
        bench.refusal(*secs, host, *incarnation, *term);
    }
    let base = bench.state.history().term();
    // This host reads its claim without having appended it, so only the refusal ends its
    // grants.
    assert!(bench.request_refusal(10, base.0));
    let mut actions = bench.read(10, claim(base.0, "b", &["b"]));
    for (host, incarnation, term, secs) in refusals.iter().filter(|refusal| refusal.3 > 10) {
        bench.refusal(*secs, host, *incarnation, *term);
    }
    for secs in 13..ends_secs {
        assert!(
            !has_active(&bench.at(secs, ElectionEvent::Tick)),
            "at {secs} s"
        );
    }
    if ends_secs > 10 {
        actions = bench.at(ends_secs, ElectionEvent::Tick);
    }
    assert!(has_active(&actions));
}

fn has_active(actions: &[ElectionAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, ElectionAction::AppendActive { .. }))
}

/// A leader must not start jobs without a valid lease. Each case gives the grants to host
/// `a` as (host, incarnation, term, sent, received), and the last second at which it may
/// start jobs after a log read that was sent at 10 s.
#[rstest]
#[case::log_only(&["a", "b"], &[], 13)]
#[case::sole_voter(&["a"], &[], 109)]
#[case::grant_of_sole_peer(&["a", "b"], &[("b", 1, 1, 12, 13)], 15)]
#[case::grant_of_one(&["a", "b", "c"], &[("b", 1, 1, 12, 13)], 13)]
#[case::grants_of_all(&["a", "b", "c"], &[("b", 1, 1, 12, 13), ("c", 1, 1, 13, 13)], 15)]
#[case::grant_other_incarnation(&["a", "b"], &[("b", 2, 1, 12, 13)], 13)]
#[case::grant_other_term(&["a", "b"], &[("b", 1, 2, 12, 13)], 13)]
#[case::grants_reordered(&["a", "b"], &[("b", 1, 1, 12, 12), ("b", 1, 1, 11, 13)], 15)]
fn may_start_table(
    #[case] names: &[&str],
    #[case] grants: &[(&str, u64, u64, u64, u64)],
    #[case] last_secs: u64,
) {
    let mut bench = ElectionBench::holder(names, 10);
    for (host, incarnation, term, sent, received) in grants {
        bench.grant(*received, host, *incarnation, *term, *sent);
    }
    assert!(bench.may_start(last_secs));
    assert!(!bench.may_start(last_secs + 1));
    let end = MonotonicTime::from_secs(last_secs + 1);
    assert_eq!(
        bench.state.may_start_until(MonotonicTime::from_secs(13)),
        end
    );
    assert_eq!(
        bench.state.may_start_until(end),
        end,
        "no time is left at the end"
    );
}

#[test]
fn may_start_grants_until_max_log_outage() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    for secs in 11..=110 {
        bench.grant(secs, "b", 1, 1, secs);
    }
    assert!(bench.may_start(109));
    assert!(
        !bench.may_start(110),
        "grants are valid for max_log_outage at most"
    );
}

#[test]
fn may_start_paused() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let late = bench.read_tail(60, 11);
    assert_eq!(late[0], ElectionAction::Lost, "the pause is reported");
    assert!(
        !bench.may_start(60),
        "the lease by a late answer counts from its request"
    );
    let regained = bench.read_tail(61, 60);
    assert!(regained.contains(&ElectionAction::Gained {
        term: LeaderTerm(1)
    }));
}

#[test]
fn may_start_later_claim_read() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let lost = bench.read(10, claim(1, "b", &["a", "b"]));
    assert_eq!(lost[0], ElectionAction::Lost);
    bench.grant(10, "b", 1, 1, 10);
    assert!(!bench.may_start(10));
}

/// Voter `b` has restarted as incarnation 2, so the voter set is being replaced. While the
/// outcome of the append is unknown, the leader needs the grants of both voter sets.
#[rstest]
#[case::old_only(&[1], false, 13)]
#[case::new_only(&[2], false, 13)]
#[case::both(&[1, 2], false, 15)]
#[case::read_back_new(&[2], true, 15)]
#[case::read_back_old(&[1], true, 13)]
fn voter_set_change_table(
    #[case] incarnations: &[u64],
    #[case] read_back: bool,
    #[case] last_secs: u64,
) {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let changed = bench.observe_peer(10, "b", 2);
    let voters = vec![voter("a", 1), voter("b", 2)];
    let expected = ElectionAction::AppendVoterSet {
        term: LeaderTerm(1),
        base_voter_set: VoterSetOffset(0),
        voters: voters.clone(),
    };
    assert_eq!(changed, [expected]);
    bench.at(11, ElectionEvent::LogFailed);
    if read_back {
        let record = ElectionRecord::VoterSet {
            term: LeaderTerm(1),
            base_voter_set: VoterSetOffset(0),
            voters,
        };
        bench.read(12, record);
    }
    for incarnation in incarnations {
        bench.grant(12, "b", *incarnation, 1, 12);
    }
    assert!(bench.may_start(last_secs));
    assert!(!bench.may_start(last_secs + 1));
}

#[rstest]
#[case::repeated(voter_set_record(1, 0, &["a", "c"]), false)]
#[case::same_base(voter_set_record(1, 0, &["a", "d"]), false)]
#[case::other_base(voter_set_record(1, 1, &["a", "d"]), true)]
fn voter_set_pending_resolved(#[case] record: ElectionRecord, #[case] pending: bool) {
    let mut bench = ElectionBench::holder(&["a"], 10);
    let changed = bench.observe_peer(10, "c", 1);
    assert!(matches!(changed[0], ElectionAction::AppendVoterSet { .. }));
    bench.at(11, ElectionEvent::LogFailed);
    bench.at(14, ElectionEvent::Tick);
    bench.at(14, ElectionEvent::PeerLost { host: "c".into() });
    bench.read(14, record);
    assert_eq!(bench.state.to_string().contains("pending"), pending);
}

#[rstest]
#[case::newest(1, 1, true)]
#[case::unknown_later(5, 1, true)]
#[case::other_incarnation(1, 2, false)]
fn grant_requested(#[case] term: u64, #[case] incarnation: u64, #[case] granted: bool) {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    assert_eq!(bench.request_grant(1, term, incarnation), granted);
}

#[test]
fn grant_requested_after_later_term() {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    assert!(bench.request_grant(1, 2, 1));
    assert!(!bench.request_grant(1, 1, 1), "a later term is known");
}

#[test]
fn grant_requested_after_claim() {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    bench.at(1, ElectionEvent::Tick);
    let claimed = bench.read_tail(5, 5);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
    assert!(!bench.request_grant(6, 1, 1), "the claim may be in the log");
    bench.observe_peer(6, "a", 1);
    assert!(!bench.request_grant(7, 1, 1), "the refusal is permanent");
}

#[test]
fn refusal_requested_is_permanent() {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.observe_peer(1, "a", 1);
    assert!(!bench.request_refusal(1, 1), "the holder is alive");
    bench.at(2, ElectionEvent::PeerLost { host: "a".into() });
    assert!(bench.request_refusal(2, 1));
    bench.observe_peer(3, "a", 1);
    assert!(!bench.request_grant(3, 1, 1));
    assert!(bench.request_refusal(3, 1));
}

#[test]
fn refusal_requested_of_holder() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    assert!(!bench.request_refusal(10, 1));
    assert!(bench.may_start(10));
}

#[test]
fn claim_holder_silent() {
    let mut bench = ElectionBench::new("b");
    bench.observe_peer(0, "a", 1);
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    assert_eq!(bench.read_tail(10, 10), [], "the holder is alive");
    bench.at(11, ElectionEvent::PeerLost { host: "a".into() });
    assert_eq!(
        bench.read_tail(14, 14),
        [],
        "silent for less than the claim delay"
    );
    let claimed = bench.read_tail(15, 15);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
}

#[test]
fn claim_non_voter_requests_refusal_first() {
    let mut bench = ElectionBench::new("x");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    let requests = bench.read_tail(5, 5);
    let expected = ElectionAction::RequestRefusal {
        to: voter("b", 1),
        term: LeaderTerm(1),
    };
    assert_eq!(requests, [expected]);
    bench.read_tail(8, 8);
    let claimed = bench.refusal(9, "b", 1, 1);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
    assert!(!bench.request_grant(10, 1, 1));
}

#[test]
fn resignation_before_claim() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let stopped = bench.at(11, ElectionEvent::ResignationRequested);
    let expected = ElectionAction::AppendResignation {
        term: LeaderTerm(1),
        successor: Some(HostName::from("b")),
    };
    assert_eq!(stopped, [ElectionAction::Lost, expected]);
    assert!(
        !bench.may_start(11),
        "nothing starts once the resignation may be read"
    );
    bench.at(12, ElectionEvent::LogFailed);
    assert!(!bench.read_tail(13, 13).contains(&ElectionAction::Gained {
        term: LeaderTerm(1)
    }));
    assert!(!bench.state.is_drained());
    bench.read(14, resigned(1));
    assert!(bench.state.is_drained());
}

#[rstest]
#[case::claim_old_base(claim(0, "b", &["b"]))]
#[case::claim_future_base(claim(7, "b", &["b"]))]
#[case::claim_without_holder(claim(1, "b", &["a"]))]
#[case::active_old_term(active(0))]
#[case::active_twice(active(1))]
#[case::voter_set_old_base(voter_set_record(1, 9, &["a", "b"]))]
#[case::voter_set_without_holder(voter_set_record(1, 0, &["b"]))]
#[case::voter_set_old_term(voter_set_record(0, 0, &["a", "b"]))]
#[case::resignation_old_term(resigned(0))]
fn history_rejected_record(#[case] record: ElectionRecord) {
    let mut history = ElectionHistory::default();
    assert!(history.apply(0, &claim(0, "a", &["a"])));
    assert!(history.apply(1, &active(1)));
    let before = history.current().cloned();
    assert!(!history.apply(2, &record));
    assert_eq!(history.current().cloned(), before);
    assert_eq!(history.rejected_records(), 1);
}

#[test]
fn history_repeated_offset() {
    let mut history = ElectionHistory::default();
    assert!(history.apply(4, &claim(0, "a", &["a"])));
    assert!(!history.apply(4, &claim(5, "b", &["b"])));
    assert_eq!(history.term(), LeaderTerm(5));
}

/// Host `a` was the leader when records before its next one were lost at 10 s, so that a
/// leader that it has not read of may hold a lease. Each case gives the snapshot and the
/// last second at which `a` must not claim.
#[rstest]
#[case::empty_snapshot(&[], Some(110))]
#[case::snapshot(&[claim(0, "b", &["b"]), active(1), resigned(1)], None)]
fn reset_history_claims_late(#[case] snapshot: &[ElectionRecord], #[case] last_secs: Option<u64>) {
    let mut bench = ElectionBench::holder(&["a"], 10);
    bench.state.reset_history(MonotonicTime::from_secs(10));
    assert!(
        !bench.may_start(10),
        "a later claim may be among the lost records"
    );
    let lost = bench.read_tail(10, 10);
    assert_eq!(lost, [ElectionAction::Lost]);
    let records: Vec<_> = snapshot
        .iter()
        .map(|record| PlacedRecord {
            offset: 0,
            record: record.clone(),
        })
        .collect();
    bench
        .state
        .restore(MonotonicTime::from_secs(10), &records, 20);
    for secs in 11..=last_secs.unwrap_or(10) {
        assert_eq!(bench.read_tail(secs, secs), [], "at {secs} s");
    }
    let secs = last_secs.unwrap_or(10) + 1;
    let claimed = bench.read_tail(secs, secs);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
    assert!(!bench.may_start(secs));
}
