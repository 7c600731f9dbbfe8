//! Random sequences of requests, faults and changes of leader. The verifier checks the
//! planner's state after each step; at the end the state of the fake workers is checked
//! as well.

#[path = "support/planner_zone.rs"]
#[allow(
    dead_code,
    reason = "each test file uses its own part of the fake zone"
)]
mod planner_zone;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::{PlannerEvent, TargetError, TaskKey};
use flamingowalk_core::process::planner::state::PlannerPolicy;
use flamingowalk_core::process::planner::verifier::verify_state;
use flamingowalk_core::version::settings::BlockAdjacency;
use planner_zone::{FakeZone, RequestOutcome, customer};
use proptest::prelude::*;

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum ZoneStep {
    Submit(usize),
    Cancel(usize),
    Execute(RequestOutcome),
    ExecuteLast(RequestOutcome),
    DeliverDelayed,
    AdvanceSeconds(u64),
    Kill(usize),
    Restart(usize),
    StartDraining(usize),
    ChangeLeader,
    RepeatAccept(usize),
    LogUp(bool),
}

const CLASSES: [&str; 9] = [
    "small",
    "gang",
    "once",
    "saved",
    "light",
    "urgent",
    "lent",
    "half",
    "once-half",
];
const CUSTOMERS: [&str; 4] = ["north", "south", "west", "east"];
const WORKERS: usize = 4;

fn outcomes() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        12 => Just(RequestOutcome::Answered),
        1 => Just(RequestOutcome::AnswerLost),
        1 => Just(RequestOutcome::RequestLost),
        1 => Just(RequestOutcome::AnsweredTwice),
        1 => Just(RequestOutcome::Delayed),
        1 => Just(RequestOutcome::Refused(TargetError::Full)),
        1 => Just(RequestOutcome::Refused(TargetError::Unreachable)),
    ]
}

fn steps() -> impl Strategy<Value = ZoneStep> {
    prop_oneof![
        4 => (0..CLASSES.len()).prop_map(ZoneStep::Submit),
        1 => (0..20_usize).prop_map(ZoneStep::Cancel),
        20 => outcomes().prop_map(ZoneStep::Execute),
        4 => outcomes().prop_map(ZoneStep::ExecuteLast),
        2 => Just(ZoneStep::DeliverDelayed),
        6 => (1..4_u64).prop_map(ZoneStep::AdvanceSeconds),
        1 => (0..WORKERS).prop_map(ZoneStep::Kill),
        2 => (0..WORKERS).prop_map(ZoneStep::Restart),
        1 => (0..WORKERS).prop_map(ZoneStep::StartDraining),
        1 => Just(ZoneStep::ChangeLeader),
        1 => (0..20_usize).prop_map(ZoneStep::RepeatAccept),
        1 => any::<bool>().prop_map(ZoneStep::LogUp),
    ]
}

/// A zone with the jobs submitted to it, and the checks on them.
struct PropertyRun {
    zone: FakeZone,
    jobs: Vec<(JobId, &'static str)>,
}

impl PropertyRun {
    fn new(policy: PlannerPolicy) -> Self {
        let mut zone = FakeZone::new(2, 2, policy);
        zone.run_time = Duration::from_secs(20);
        let east = customer(1, 4, BlockAdjacency::Worker);
        zone.settings.customers.insert("east".into(), east);
        zone.open();
        Self {
            zone,
            jobs: Vec::new(),
        }
    }

    fn apply(&mut self, step: &ZoneStep) {
        match step {
            ZoneStep::Submit(index) => self.submit(CLASSES[*index]),
            ZoneStep::Cancel(index) => {
                if let Some((job, _)) = self.jobs.get(*index) {
                    let job = job.clone();
                    self.zone.send(PlannerEvent::JobCancelled { job });
                }
            }
            ZoneStep::Execute(outcome) => {
                if let Some(action) = self.zone.pending.pop_front() {
                    self.zone.execute(action, *outcome);
                }
            }
            ZoneStep::ExecuteLast(outcome) => {
                if let Some(action) = self.zone.pending.pop_back() {
                    self.zone.execute(action, *outcome);
                }
            }
            ZoneStep::DeliverDelayed => self.zone.deliver_delayed(),
            ZoneStep::AdvanceSeconds(seconds) => {
                self.zone.advance(Duration::from_secs(*seconds));
                self.zone.send(PlannerEvent::Tick);
            }
            ZoneStep::Kill(index) => self.zone.kill(&format!("w{index:02}")),
            ZoneStep::Restart(index) => self.zone.restart(&format!("w{index:02}")),
            ZoneStep::StartDraining(index) => self.zone.start_draining(&format!("w{index:02}")),
            ZoneStep::ChangeLeader => self.change_leader(),
            ZoneStep::RepeatAccept(index) => self.repeat_accept(*index),
            ZoneStep::LogUp(is_up) => self.zone.set_log(*is_up),
        }
        assert_eq!(verify_state(&self.zone.state), Vec::new());
    }

    fn submit(&mut self, class: &'static str) {
        let id = format!("j{:02}", self.jobs.len());
        let customer = CUSTOMERS[self.jobs.len() % CUSTOMERS.len()];
        self.zone.submit_for(customer, &id, class);
        self.jobs.push((JobId::from(id), class));
    }

    /// Loses and regains leadership. Outstanding requests and unwritten records are
    /// dropped.
    fn change_leader(&mut self) {
        self.zone.send(PlannerEvent::LeadershipLost);
        self.zone.pending.clear();
        self.zone.delayed.clear();
        self.zone.unwritten.clear();
        for index in 0..self.jobs.len() {
            self.repeat_accept(index);
        }
        self.zone.gain_leadership();
    }

    fn repeat_accept(&mut self, index: usize) {
        let Some((id, class)) = self.jobs.get(index).cloned() else {
            return;
        };
        let mut job = self.zone.accepted(id.as_str(), class);
        job.customer = CUSTOMERS[index % CUSTOMERS.len()].into();
        let starts = self.zone.recorded_starts.get(&id);
        job.attempts_started = starts.copied().unwrap_or(0);
        if !self.zone.endings.contains_key(&id) {
            self.zone.send(PlannerEvent::JobAccepted { job });
        }
    }

    /// Ends all faults and runs until every job must have ended.
    fn run_to_completion(&mut self) {
        self.zone.set_log(true);
        for index in 0..WORKERS {
            self.zone.restart(&format!("w{index:02}"));
        }
        for _ in 0..40 {
            self.zone.deliver_delayed();
        }
        self.zone.run();
        self.zone.run_seconds(900);
    }

    fn check(&self) {
        for (id, class) in &self.jobs {
            let endings = self.zone.endings.get(id).map_or(0, Vec::len);
            assert_eq!(
                endings, 1,
                "{id} of {class} ended {endings} times\n{}",
                self.zone.state
            );
        }
        assert_eq!(self.zone.live_tasks(), 0, "tasks left\n{}", self.zone.state);
        for (task, starts) in &self.zone.starts {
            assert_eq!(*starts, 1, "{task} was started twice");
        }
        self.check_single_runs();
    }

    fn check_single_runs(&self) {
        let mut attempts: BTreeMap<(&JobId, u32), BTreeSet<u32>> = BTreeMap::new();
        for TaskKey {
            job,
            attempt,
            member,
        } in &self.zone.sent_starts
        {
            attempts.entry((job, *member)).or_default().insert(*attempt);
        }
        for ((job, member), attempts) in attempts {
            let class = self.jobs.iter().find(|(id, _)| id == job).unwrap().1;
            let is_once = matches!(class, "once" | "light" | "once-half");
            assert!(
                !is_once || attempts.len() == 1,
                "{job} member {member}: {attempts:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_guarantees(steps in prop::collection::vec(steps(), 1..150)) {
        let mut run = PropertyRun::new(PlannerPolicy::Guarantees);
        for step in &steps {
            run.apply(step);
        }
        run.run_to_completion();
        run.check();
    }

    #[test]
    fn random_events_first_fit(steps in prop::collection::vec(steps(), 1..150)) {
        let mut run = PropertyRun::new(PlannerPolicy::FirstFit);
        for step in &steps {
            run.apply(step);
        }
        run.run_to_completion();
        run.check();
    }
}
