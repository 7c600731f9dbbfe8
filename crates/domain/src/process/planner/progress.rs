//! Runs that stand still or crawl: stopped and planned again elsewhere, where that
//! brings them to their end sooner. Answers workers that hang or turn slow while they
//! go on answering.

use crate::prelude::*;
use crate::process::event::RunningUnit;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanGroup, PlanJob};
use crate::process::planner::speed::PaceChange;
use crate::process::planner::state::{PlanContext, PlannerState};

/// Least time without progress after which a run stands still: one look that waited
/// its full time saw no percent pass.
const STALL_TIME: Duration = Duration::from_millis(1_900);
/// Part of a run's expected time that has to pass without progress as well, so that a
/// percent would have been seen.
const STALL_PART: f64 = 0.12;
/// Time after which a slowed worker is taken to be sound again when it is weighed
/// whether to move a run; such troubles last some seconds.
const SLOW_SPELL: Duration = Duration::from_secs(6);
/// Factor by which going on has to take longer than starting anew elsewhere, for work
/// that can wait: what was done is lost.
const MOVE_FACTOR: f64 = 2.0;
/// The same for urgent work, which has seconds only.
const URGENT_MOVE_FACTOR: f64 = 1.2;
/// Time by which going on has to take longer beside the factor.
const MOVE_MARGIN: Duration = Duration::from_millis(500);

/// A run to be moved, and the member that holds it up.
#[derive(Clone, Copy, Debug)]
struct MoveOrder {
    key: GroupKey,
    member: usize,
    cause: &'static str,
}

impl PlannerState {
    /// Takes the progress of a member as its worker lists it.
    pub(super) fn update_progress(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        clock: WorkerClock,
        listed: &RunningUnit,
    ) {
        let Some(group) = self.group_mut(key) else {
            return;
        };
        if listed.saved.is_some() {
            group.saved.clone_from(&listed.saved);
        }
        let Some(member) = group.members.get_mut(index) else {
            return;
        };
        log::debug!(
            target: "progress", unit = listed.unit.to_string().as_str(),
            worker = member.worker.as_str(), percent = listed.percent;
            "progress listed"
        );
        let name = member.worker.clone();
        let Some(change) = member.progress.update(now, clock, listed.percent) else {
            return;
        };
        if change.is_rise() {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.speed.mark_recovered(now);
            }
        } else if change.is_fall() || self.is_implausible(now, key, &change) {
            self.slow_worker(now, &name, "its pace");
        }
        self.learn_speed(now, key, index, change.pace);
    }

    fn slow_worker(&mut self, now: MonotonicTime, name: &WorkerName, by: &'static str) {
        if let Some(worker) = self.workers.get_mut(name) {
            if !worker.speed.is_slowed(now) {
                log::info!(target: "worker", worker = name.as_str(), by; "worker is slowed down");
            }
            worker.speed.mark_slowed(now);
        }
    }

    /// Whether a run at this pace would take longer than any run of its queue.
    fn is_implausible(&self, now: MonotonicTime, key: &GroupKey, change: &PaceChange) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(shape) = job.shape(key.step) else {
            return false;
        };
        let queue = &job.accepted.queue;
        let plausible = self.run_times.max_plausible(now, queue, shape.estimate_ms);
        plausible.is_some_and(|plausible| change.pace * plausible.as_secs_f64() < 100.0)
    }

    /// Compares the pace of a gang's member with that of the others.
    fn learn_speed(&mut self, now: MonotonicTime, key: &GroupKey, index: usize, pace: f64) {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return;
        };
        let Some(member) = group.members.get(index) else {
            return;
        };
        // What a worker of usual speed would do, by each of the other members.
        let mut others: Vec<f64> = group
            .members
            .iter()
            .filter(|other| other.worker != member.worker)
            .filter_map(|other| {
                let speed = self.workers.get(&other.worker)?.speed;
                let pace = other.progress.pace.filter(|pace| *pace > 0.0)?;
                Some(pace.ln() - speed.log_factor())
            })
            .collect();
        if others.is_empty() {
            return;
        }
        others.sort_by(f64::total_cmp);
        // The upper middle, since a member of which a few are slowed down has to be
        // compared with the sound ones.
        let middle = others[others.len() / 2];
        let name = member.worker.clone();
        let ratio = pace / middle.exp();
        let is_slowed = self
            .workers
            .get_mut(&name)
            .is_some_and(|worker| worker.speed.observe_ratio(now, ratio));
        if is_slowed {
            log::info!(target: "worker", worker = name.as_str(), ratio; "worker is slower than its gang");
        }
    }

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
            worker = name.as_ref().map_or("none", WorkerName::as_str), cause = order.cause;
            "run is moved"
        );
        self.avoid_member_worker(&order.key, order.member);
        if let Some(name) = name {
            self.slow_worker(now, &name, order.cause);
        }
        self.stop_group(now, order.key);
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
        let least = STALL_TIME.max(expected.mul_f64(STALL_PART));
        for (index, member) in group.members.iter().enumerate() {
            let progress = &member.progress;
            let Some(listed_at) = progress.listed_at.filter(|_| progress.percent < 100) else {
                continue;
            };
            let risen_at = progress.risen_at.unwrap_or(group.started_at);
            let is_still = listed_at.since(risen_at) >= least;
            let is_slowed = self
                .workers
                .get(&member.worker)
                .is_some_and(|worker| worker.speed.is_slowed(now));
            let has_gain = self.has_move_gain(job, group, index, shape.has_checkpoints, expected);
            if has_gain && (is_still || is_slowed) {
                return Some(MoveOrder {
                    key: *key,
                    member: index,
                    cause: if is_still {
                        "stands still"
                    } else {
                        "slowed down"
                    },
                });
            }
        }
        None
    }

    /// Whether a run ends sooner when it is stopped and started elsewhere.
    fn has_move_gain(
        &self,
        job: &PlanJob,
        group: &PlanGroup,
        index: usize,
        has_checkpoints: bool,
        expected: Duration,
    ) -> bool {
        let Some(member) = group.members.get(index) else {
            return false;
        };
        let left = f64::from(100_u32.saturating_sub(member.progress.percent)) / 100.0;
        let pace = member.progress.pace_since(group.started_at);
        let crawling = left * 100.0 / pace.max(0.1);
        let recovering = SLOW_SPELL.as_secs_f64() + expected.as_secs_f64() * left;
        let going_on = crawling.min(recovering);
        let work = if has_checkpoints {
            expected.mul_f64(left) + self.limits.checkpoint_interval + self.limits.restore_time
        } else {
            expected
        };
        let anew = work + self.limits.stop_grace;
        let factor = if job.accepted.priority == 0 {
            URGENT_MOVE_FACTOR
        } else {
            MOVE_FACTOR
        };
        going_on > anew.as_secs_f64() * factor + MOVE_MARGIN.as_secs_f64()
    }
}
