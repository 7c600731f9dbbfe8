//! Runs that stand still or crawl: stopped and planned again elsewhere, where that
//! brings them to their end sooner. Answers workers that hang or turn slow while they
//! go on answering.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanGroup, PlanJob};
use crate::process::planner::state::{PlanContext, PlannerState};

/// Least time without progress after which a run stands still: one look that waited
/// its full time saw no percent pass.
const STALL_TIME: Duration = Duration::from_millis(1_900);
/// Part of a run's expected time that has to pass without progress as well, so that a
/// percent would have been seen.
const STALL_PART: f64 = 0.12;
/// Factor by which going on has to take longer than starting anew elsewhere.
const MOVE_FACTOR: f64 = 2.0;
/// Time by which it has to take longer beside the factor.
const MOVE_MARGIN: Duration = Duration::from_secs(1);

/// Why a run is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MoveCause {
    Stalled,
    Slowed,
}

/// A run to be moved, and the member that holds it up.
#[derive(Clone, Copy, Debug)]
struct MoveOrder {
    key: GroupKey,
    member: usize,
    cause: MoveCause,
}

impl PlannerState {
    /// Stops runs that stand still or crawl.
    pub(super) fn check_progress(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let mut orders = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_closing) {
            for key in job.group_keys() {
                let group = job.group(&key);
                if let Some(group) = group.filter(|group| group.phase == GroupPhase::Active) {
                    orders.extend(self.find_move(now, job, &key, group));
                }
            }
        }
        for order in orders {
            self.move_group(now, order);
        }
    }

    fn move_group(&mut self, now: MonotonicTime, order: MoveOrder) {
        let name = self.member_worker(&order.key, order.member);
        log::info!(
            target: "stop", group = order.key.to_string().as_str(), member = order.member,
            worker = name.as_ref().map_or("none", WorkerName::as_str),
            cause = match order.cause {
                MoveCause::Stalled => "stands still",
                MoveCause::Slowed => "slowed down",
            };
            "run is moved"
        );
        self.avoid_member_worker(&order.key, order.member);
        if order.cause == MoveCause::Stalled
            && let Some(worker) = name.and_then(|name| self.workers.get_mut(&name))
        {
            worker.health.set_aside(now);
        }
        self.clear_group(now, order.key);
    }

    /// The member that holds a run up, if moving the run is worth it.
    fn find_move(
        &self,
        now: MonotonicTime,
        job: &PlanJob,
        key: &GroupKey,
        group: &PlanGroup,
    ) -> Option<MoveOrder> {
        let shape = job.shape(key.step).filter(|shape| !shape.is_long_running)?;
        let expected = self
            .run_times
            .expected(&job.accepted.queue, shape.estimate_ms);
        let is_running = |stage: MemberStage| matches!(stage, MemberStage::Running(_));
        if !group.members.iter().all(|member| is_running(member.stage)) {
            return None;
        }
        for (index, member) in group.members.iter().enumerate() {
            let Some(worker) = self.workers.get(&member.worker) else {
                continue;
            };
            let listed_at = member.progress.listed_at?;
            let risen_at = member.progress.risen_at.unwrap_or(group.started_at);
            let least = STALL_TIME.max(expected.mul_f64(STALL_PART));
            let is_still = member.progress.percent < 100 && listed_at.since(risen_at) >= least;
            if is_still {
                return Some(MoveOrder {
                    key: *key,
                    member: index,
                    cause: MoveCause::Stalled,
                });
            }
            let is_worth_it = worker.speed.is_slowed(now)
                && self.is_move_worth_it(group, index, shape.has_checkpoints, expected);
            if is_worth_it {
                return Some(MoveOrder {
                    key: *key,
                    member: index,
                    cause: MoveCause::Slowed,
                });
            }
        }
        None
    }

    /// Whether a run ends sooner when it is stopped and started elsewhere.
    fn is_move_worth_it(
        &self,
        group: &PlanGroup,
        index: usize,
        has_checkpoints: bool,
        expected: Duration,
    ) -> bool {
        let Some(member) = group.members.get(index) else {
            return false;
        };
        let left = f64::from(100_u32.saturating_sub(member.progress.percent)) / 100.0;
        let Some(pace) = member.progress.pace else {
            return false;
        };
        let going_on = left * 100.0 / pace.max(0.1);
        let work = if has_checkpoints {
            expected.mul_f64(left) + self.limits.checkpoint_interval + self.limits.restore_time
        } else {
            expected
        };
        let anew = work + self.limits.stop_grace;
        going_on > anew.as_secs_f64() * MOVE_FACTOR + MOVE_MARGIN.as_secs_f64()
    }
}
