//! Guarantees: each customer can claim its guaranteed blocks at any time, and no other
//! customer can claim them.

#[path = "support/planner_zone.rs"]
#[allow(
    dead_code,
    reason = "each test file uses its own part of the fake zone"
)]
mod planner_zone;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::ListedState;
use flamingowalk_core::process::planner::job_entry::JobPhase;
use flamingowalk_core::process::planner::state::PlannerPolicy;
use flamingowalk_core::version::settings::BlockAdjacency;
use planner_zone::{FakeZone, RequestOutcome, customer};
use rstest::rstest;

/// Creates two racks of two workers; north is guaranteed one worker, south one rack.
fn open_zone() -> FakeZone {
    let mut zone = FakeZone::new(2, 2, PlannerPolicy::Guarantees);
    zone.run_time = Duration::from_hours(2);
    zone.open();
    zone
}

fn running(zone: &FakeZone) -> usize {
    let views = zone.state.job_views();
    views
        .iter()
        .filter(|view| view.phase == JobPhase::Running)
        .count()
}

#[test]
fn plan_binds_all_shapes() {
    let zone = open_zone();
    insta::assert_snapshot!(zone.state.plan().to_string(), @r"
    block north 8 Worker w02[0,1,2,3,4,5,6,7]
    block south 16 Rack w00[0,1,2,3,4,5,6,7] w01[0,1,2,3,4,5,6,7]
    ");
}

#[rstest]
#[case::whole_worker("north", "whole")]
#[case::rack("south", "gang")]
#[case::saved_lender("south", "lent")]
fn claim_reclaims_borrowed(#[case] customer: &str, #[case] class: &str) {
    let mut zone = open_zone();
    for index in 0..4 {
        zone.submit_for("west", &format!("b{index}"), "whole");
    }
    zone.run();
    assert_eq!(running(&zone), 4, "idle capacity is lent");
    zone.submit_for(customer, "claim", class);
    zone.run();
    assert_eq!(zone.phase("claim"), Some(JobPhase::Running));
    assert!(
        zone.endings.is_empty(),
        "preempted jobs are queued and run again"
    );
}

#[rstest]
#[case::no_guarantee("west")]
#[case::guarantee_of_others("south")]
fn claim_beyond_guarantee_waits(#[case] customer: &str) {
    let mut zone = open_zone();
    zone.submit_for("north", "n0", "whole");
    zone.submit_for("south", "s0", "gang");
    zone.submit_for("west", "b0", "whole");
    zone.run();
    assert_eq!(running(&zone), 3);
    zone.submit_for(customer, "more", "whole");
    zone.run();
    zone.run_seconds(5);
    assert_eq!(zone.phase("more"), Some(JobPhase::Queued));
    assert_eq!(running(&zone), 3, "no running job is stopped for it");
}

#[test]
fn pinned_work_keeps_off_guarantees() {
    let mut zone = open_zone();
    for index in 0..40 {
        zone.submit_for("west", &format!("once{index:02}"), "light");
    }
    zone.submit_for("west", "pair", "once");
    zone.run();
    let ending = zone.ending("pair");
    assert!(
        matches!(ending, Some(JobEnding::Refused(_))),
        "it needs two workers: {ending:?}"
    );
    for key in &zone.sent_starts {
        let holder = zone
            .workers
            .iter()
            .find(|(_, worker)| worker.tasks.contains_key(key));
        let (name, _) = holder.unwrap();
        assert_eq!(name.as_str(), "w03", "{key} is on a guaranteed worker");
    }
    zone.submit_for("south", "claim", "gang");
    zone.run();
    assert_eq!(zone.phase("claim"), Some(JobPhase::Running));
}

#[test]
fn pinned_work_on_own_block() {
    let mut zone = open_zone();
    zone.submit_for("south", "pair", "once");
    zone.run();
    assert_eq!(zone.phase("pair"), Some(JobPhase::Running));
}

#[rstest]
#[case::saves(RequestOutcome::Answered, 0)]
#[case::answer_lost(RequestOutcome::AnswerLost, 2)]
#[case::never_saves(RequestOutcome::Delayed, 30)]
fn reclaim_within_bound(#[case] outcome: RequestOutcome, #[case] seconds: u64) {
    let mut zone = open_zone();
    zone.submit_for("west", "b0", "lent");
    zone.submit_for("west", "b1", "lent");
    zone.run();
    zone.submit_for("south", "claim", "gang");
    while let Some(action) = zone.pending.pop_front() {
        let is_save = matches!(action, PlannerAction::Checkpoint { .. });
        let outcome = if is_save {
            outcome
        } else {
            RequestOutcome::Answered
        };
        zone.execute(action, outcome);
    }
    zone.run_seconds(seconds);
    assert_eq!(zone.phase("claim"), Some(JobPhase::Running));
}

#[test]
fn reclaim_saved_job_resumes() {
    let mut zone = open_zone();
    zone.submit_for("west", "b0", "lent");
    zone.submit_for("west", "b1", "lent");
    zone.run();
    zone.submit_for("south", "claim", "gang");
    zone.run();
    let saved = zone
        .workers
        .values()
        .flat_map(|worker| worker.tasks.values());
    let count = saved
        .filter(|task| matches!(task.state, ListedState::Checkpointed(_)))
        .count();
    assert_eq!(count, 2, "both tasks of one lender saved their state");
    zone.run_time = Duration::from_secs(5);
    zone.run_seconds(60);
    for job in ["b0", "b1", "claim"] {
        assert_eq!(zone.ending(job), Some(&JobEnding::Finished), "{job}");
    }
}

/// Guards against preempting a job that loses more work than another: the job with the
/// least lost work is preempted first, then the newest.
#[test]
fn reclaim_victim_order() {
    let mut zone = open_zone();
    zone.submit_for("west", "old", "gang");
    zone.run();
    zone.run_seconds(60);
    zone.submit_for("west", "new", "gang");
    zone.run();
    assert_eq!(running(&zone), 2);
    zone.submit_for("north", "urgent", "urgent");
    zone.run();
    assert_eq!(zone.phase("urgent"), Some(JobPhase::Running));
    assert_eq!(zone.phase("old"), Some(JobPhase::Running));
    assert_eq!(zone.phase("new"), Some(JobPhase::Queued));
}

#[test]
fn worker_lost_blocks_move() {
    let mut zone = open_zone();
    zone.start_draining("w02");
    zone.run_seconds(1);
    assert_eq!(zone.state.plan().unbound(), 0);
    let plan = zone.state.plan().to_string();
    assert!(plan.contains("block north 8 Worker w03"), "{plan}");
}

/// Guards against a guaranteed block that overlaps work that is not reclaimable. The
/// worker chooses the accelerators, so a block on them has to move.
#[test]
fn pinned_work_moves_block() {
    let mut zone = FakeZone::new(1, 1, PlannerPolicy::Guarantees);
    zone.settings.customers.clear();
    let north = customer(1, 4, BlockAdjacency::Worker);
    zone.settings.customers.insert("north".into(), north);
    zone.open();
    let before = zone.state.plan().to_string();
    assert_eq!(before, "block north 4 Worker w00[0,1,2,3]\n");
    zone.submit_for("west", "pinned", "once-half");
    zone.run();
    assert_eq!(zone.phase("pinned"), Some(JobPhase::Running));
    let after = zone.state.plan().to_string();
    assert_eq!(after, "block north 4 Worker w00[4,5,6,7]\n");
}

/// Guards against lending a guaranteed block to work that is not reclaimable. Only one
/// job fits beside the block; the other waits.
#[test]
fn pinned_work_second_waits() {
    let mut zone = FakeZone::new(1, 1, PlannerPolicy::Guarantees);
    zone.settings.customers.clear();
    let north = customer(1, 4, BlockAdjacency::Worker);
    zone.settings.customers.insert("north".into(), north);
    zone.open();
    zone.submit_for("west", "first", "once-half");
    zone.submit_for("west", "second", "once-half");
    zone.run();
    zone.run_seconds(5);
    assert_eq!(running(&zone), 1);
    zone.submit_for("north", "claim", "half");
    zone.run();
    assert_eq!(zone.phase("claim"), Some(JobPhase::Running));
}
