//! The seat of a zone against tables of records, answers and times.

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
    drift: Duration::from_secs(1),
};

fn member(host: &str, incarnation: u64) -> VoterIdentity {
    VoterIdentity {
        host: HostName::from(host),
        incarnation,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000),
    }
}

fn voters(names: &[&str]) -> Vec<VoterIdentity> {
    names.iter().map(|name| member(name, 1)).collect()
}

fn claim(base: u64, holder: &str, names: &[&str]) -> ElectionRecord {
    ElectionRecord::Claim {
        base_term: LeaderTerm(base),
        holder: member(holder, 1),
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

/// One host with its clock in seconds and the offset of the next record.
struct ElectionBench {
    state: LeaderElection,
    offset: u64,
}

impl ElectionBench {
    fn new(host: &str) -> Self {
        let state = LeaderElection::new(member(host, 1), ZoneName::from("celje-b"), TIMES);
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

    fn tail(&mut self, secs: u64, sent_secs: u64) -> Vec<ElectionAction> {
        let sent_at = MonotonicTime::from_secs(sent_secs);
        self.at(secs, ElectionEvent::LogTailRead { sent_at })
    }

    fn grant(&mut self, secs: u64, from: &str, run: u64, term: u64, sent: u64) {
        let event = ElectionEvent::GrantAnswered {
            from: HostName::from(from),
            incarnation: run,
            term: LeaderTerm(term),
            sent_at: MonotonicTime::from_secs(sent),
            granted: true,
        };
        self.at(secs, event);
    }

    fn refusal(&mut self, secs: u64, from: &str, run: u64, term: u64) -> Vec<ElectionAction> {
        let event = ElectionEvent::RefusalAnswered {
            from: HostName::from(from),
            incarnation: run,
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

    /// Host `a` as the active holder of term 1, its log read sent at `secs`.
    fn holder(names: &[&str], secs: u64) -> Self {
        let mut bench = Self::new("a");
        for name in names.iter().filter(|name| **name != "a") {
            bench.see(0, name, 1);
        }
        bench.read(0, claim(0, "a", names));
        bench.read(0, active(1));
        bench.tail(secs, secs);
        bench
    }

    fn see(&mut self, secs: u64, host: &str, run: u64) -> Vec<ElectionAction> {
        let member = member(host, run);
        self.at(secs, ElectionEvent::PeerAlive { member })
    }
}

#[test]
fn claim_single_host() {
    let mut bench = ElectionBench::new("a");
    let claimed = bench.tail(1, 1);
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
    assert_eq!(bench.tail(1, 1).len(), 1);
    assert_eq!(bench.at(2, ElectionEvent::LogFailed), []);
    assert_eq!(bench.tail(3, 3), [], "the first append may yet take effect");
    assert_eq!(bench.tail(5, 5).len(), 1, "repeated after one interval");
    bench.read(6, claim(0, "a", &["a"]));
    bench.read(6, claim(0, "a", &["a"]));
    assert_eq!(bench.state.history().term(), LeaderTerm(1));
    assert_eq!(bench.state.history().rejected_records(), 1);
}

/// What happened before host `b` read its own claim at 10 s, and when its wait
/// ends; the words are from (host, run, term, time).
#[rstest]
#[case::first_claim(&[], &[], 10)]
#[case::member(&[claim(0, "a", &["a", "b"]), active(1)], &[], 15)]
#[case::over_yield(&[claim(0, "a", &["a"]), active(1), resigned(1)], &[], 10)]
#[case::stranger(&[claim(0, "a", &["a", "c"]), active(1)], &[], 111)]
#[case::refusal(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 1, 9)], 15)]
#[case::word_late(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 1, 12)], 17)]
#[case::word_other_run(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 2, 1, 9)], 111)]
#[case::word_of_holder(&[claim(0, "a", &["a", "c"]), active(1)], &[("a", 1, 1, 9)], 111)]
#[case::word_of_stranger(&[claim(0, "a", &["a", "c"]), active(1)], &[("d", 1, 1, 9)], 111)]
#[case::word_older_term(&[claim(0, "a", &["a", "c"]), active(1)], &[("c", 1, 0, 9)], 111)]
#[case::dropped(
    &[claim(0, "a", &["a", "b"]), active(1), voter_set_record(1, 0, &["a", "c"])], &[], 111
)]
#[case::added(
    &[claim(0, "a", &["a"]), active(1), voter_set_record(1, 0, &["a", "b"])], &[], 15
)]
#[case::over_waiting_member(
    &[claim(0, "a", &["a", "b"]), active(1), claim(1, "c", &["c"])], &[], 15
)]
#[case::over_waiting_stranger(
    &[claim(0, "a", &["a", "c"]), active(1), claim(1, "c", &["b", "c"])], &[], 111
)]
#[case::over_waiting_yield(
    &[claim(0, "a", &["a"]), active(1), claim(1, "c", &["b", "c"]), resigned(3)], &[], 111
)]
fn wait_table(
    #[case] records: &[ElectionRecord],
    #[case] words: &[(&str, u64, u64, u64)],
    #[case] ends_secs: u64,
) {
    let mut bench = ElectionBench::new("b");
    for record in records {
        bench.read(1, record.clone());
    }
    for (host, run, term, secs) in words.iter().filter(|refusal| refusal.3 <= 10) {
        bench.refusal(*secs, host, *run, *term);
    }
    let base = bench.state.history().term();
    // The claim is fed without the append having been asked for, so the member
    // stops promising here.
    assert!(bench.request_refusal(10, base.0));
    let mut seen = bench.read(10, claim(base.0, "b", &["b"]));
    for (host, run, term, secs) in words.iter().filter(|refusal| refusal.3 > 10) {
        bench.refusal(*secs, host, *run, *term);
    }
    for secs in 13..ends_secs {
        assert!(
            !has_active(&bench.at(secs, ElectionEvent::Tick)),
            "at {secs} s"
        );
    }
    if ends_secs > 10 {
        seen = bench.at(ends_secs, ElectionEvent::Tick);
    }
    assert!(has_active(&seen));
}

fn has_active(actions: &[ElectionAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, ElectionAction::AppendActive { .. }))
}

/// Last second at which `a` may start, its log read sent at 10 s, after promises
/// of (host, run, term, sent, received).
#[rstest]
#[case::log_only(&["a", "b"], &[], 13)]
#[case::alone(&["a"], &[], 109)]
#[case::grant(&["a", "b"], &[("b", 1, 1, 12, 13)], 15)]
#[case::promise_of_one(&["a", "b", "c"], &[("b", 1, 1, 12, 13)], 13)]
#[case::promise_of_all(&["a", "b", "c"], &[("b", 1, 1, 12, 13), ("c", 1, 1, 13, 13)], 15)]
#[case::promise_other_run(&["a", "b"], &[("b", 2, 1, 12, 13)], 13)]
#[case::promise_other_term(&["a", "b"], &[("b", 1, 2, 12, 13)], 13)]
#[case::promise_reordered(&["a", "b"], &[("b", 1, 1, 12, 12), ("b", 1, 1, 11, 13)], 15)]
fn may_start_table(
    #[case] names: &[&str],
    #[case] promises: &[(&str, u64, u64, u64, u64)],
    #[case] last_secs: u64,
) {
    let mut bench = ElectionBench::holder(names, 10);
    for (host, run, term, sent, received) in promises {
        bench.grant(*received, host, *run, *term, *sent);
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
        "nothing is left at the end"
    );
}

#[test]
fn may_start_grants_until_max_log_outage() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    for secs in 11..=110 {
        bench.grant(secs, "b", 1, 1, secs);
    }
    assert!(bench.may_start(109));
    assert!(!bench.may_start(110), "promises carry for w at most");
}

#[test]
fn may_start_paused() {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let late = bench.tail(60, 11);
    assert_eq!(late[0], ElectionAction::Lost, "the pause is reported");
    assert!(
        !bench.may_start(60),
        "a late answer carries from its request"
    );
    let regained = bench.tail(61, 60);
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

/// Member `b` restarted as its run 2, so the roster is being replaced.
#[rstest]
#[case::old_only(&[1], false, 13)]
#[case::new_only(&[2], false, 13)]
#[case::both(&[1, 2], false, 15)]
#[case::read_back_new(&[2], true, 15)]
#[case::read_back_old(&[1], true, 13)]
fn voter_set_change_table(#[case] runs: &[u64], #[case] read_back: bool, #[case] last_secs: u64) {
    let mut bench = ElectionBench::holder(&["a", "b"], 10);
    let changed = bench.see(10, "b", 2);
    let voters = vec![member("a", 1), member("b", 2)];
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
    for run in runs {
        bench.grant(12, "b", *run, 1, 12);
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
    let changed = bench.see(10, "c", 1);
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
#[case::other_run(1, 2, false)]
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
    assert!(!bench.request_grant(1, 1, 1), "a later term was heard of");
}

#[test]
fn grant_requested_after_claim() {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    bench.at(1, ElectionEvent::Tick);
    let claimed = bench.tail(5, 5);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
    assert!(!bench.request_grant(6, 1, 1), "the claim may be in the log");
    bench.see(6, "a", 1);
    assert!(!bench.request_grant(7, 1, 1), "for good");
}

#[test]
fn refusal_requested_for_good() {
    let mut bench = ElectionBench::new("b");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.see(1, "a", 1);
    assert!(!bench.request_refusal(1, 1), "the holder is alive");
    bench.at(2, ElectionEvent::PeerLost { host: "a".into() });
    assert!(bench.request_refusal(2, 1));
    bench.see(3, "a", 1);
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
    bench.see(0, "a", 1);
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    assert_eq!(bench.tail(10, 10), [], "the holder is alive");
    bench.at(11, ElectionEvent::PeerLost { host: "a".into() });
    assert_eq!(bench.tail(14, 14), [], "not silent for long");
    let claimed = bench.tail(15, 15);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
}

#[test]
fn claim_non_voter_requests_refusal_first() {
    let mut bench = ElectionBench::new("x");
    bench.read(0, claim(0, "a", &["a", "b"]));
    bench.read(0, active(1));
    let asked = bench.tail(5, 5);
    let expected = ElectionAction::RequestRefusal {
        to: member("b", 1),
        term: LeaderTerm(1),
    };
    assert_eq!(asked, [expected]);
    bench.tail(8, 8);
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
        "nothing starts once a yield may be read"
    );
    bench.at(12, ElectionEvent::LogFailed);
    assert!(!bench.tail(13, 13).contains(&ElectionAction::Gained {
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
#[case::roster_old_base(voter_set_record(1, 9, &["a", "b"]))]
#[case::roster_without_holder(voter_set_record(1, 0, &["b"]))]
#[case::roster_old_term(voter_set_record(0, 0, &["a", "b"]))]
#[case::yield_old_term(resigned(0))]
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

/// Host `a` held the seat when records before its next one were lost at 10 s; the
/// last second at which it must not claim.
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
    let lost = bench.tail(10, 10);
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
        assert_eq!(bench.tail(secs, secs), [], "at {secs} s");
    }
    let secs = last_secs.unwrap_or(10) + 1;
    let claimed = bench.tail(secs, secs);
    assert!(matches!(claimed[0], ElectionAction::AppendClaim { .. }));
    assert!(!bench.may_start(secs));
}
