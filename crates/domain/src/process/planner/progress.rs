//! Detects runs that stall or slow down while their workers keep answering, as on a
//! worker that hangs or becomes slow. Such a run is stopped and planned again on other
//! workers if it is expected to complete sooner that way.

use crate::prelude::*;
use crate::process::event::RunningUnit;
use crate::process::planner::evacuation::has_room;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanGroup, PlanJob, PlanMember};
use crate::process::planner::speed::PaceChange;
use crate::process::planner::state::{PlanContext, PlannerState};

/// Least time without progress after which a run counts as stalled: a long poll that
/// was held for its full time showed no further percent.
const MIN_STALL_DURATION: Duration = Duration::from_millis(1_900);
/// Limit of the doublings of this time, one for each run of the group that seemed to stall: a
/// run whose estimate is far too low rises by less than a percent within it on any worker.
const MAX_STALL_DOUBLINGS: u32 = 5;
/// Interval between two checks for stalled and slowed runs, whose detection takes seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the expected run time that has to pass without progress as well, so that
/// the percentage would have risen at the usual pace.
const MIN_STALL_FRACTION: f64 = 0.12;
/// Time after which a slowed-down worker is assumed to recover when the gain of a move is
/// estimated; such slowdowns last some seconds.
const EXPECTED_SLOWDOWN: Duration = Duration::from_secs(6);
/// Factor by which continuing has to take longer than a restart elsewhere, for non-urgent
/// work: a move loses the work done.
const MOVE_FACTOR: f64 = 2.0;
/// The same for urgent work, whose objectives are a few seconds.
const URGENT_MOVE_FACTOR: f64 = 1.2;
/// Time by which continuing has to take longer in addition to the factor.
const MOVE_MARGIN: Duration = Duration::from_millis(500);

/// Causes of moves in log lines.
const STALLED: &str = "stalled";
const SLOWED: &str = "slowed down";

/// Percent that a run would have risen by at its own earlier pace while it counts as stalled.
const MIN_STALL_PERCENT: f64 = 3.0;
/// Least such pace in percent per second that is assumed.
const MIN_STALL_PACE: f64 = 0.2;

/// What is left of a run when a move is weighed.
#[derive(Clone, Copy, Debug)]
struct RemainingWork {
    /// Expected time of a whole run.
    expected: Duration,
    has_checkpoints: bool,
    /// Whether its worker may become as fast as before.
    may_recover: bool,
}

/// A run to be moved, and the member that delays it.
#[derive(Clone, Copy, Debug)]
struct MoveOrder {
    key: GroupKey,
    member: usize,
    cause: &'static str,
    /// Whether the run is long rather than its worker slow.
    is_long: bool,
}

impl PlannerState {
    /// Updates the progress of a member from its worker's listing.
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
        } else if self.speeds.spread.differ {
            // A pace that was low from the start is that of a long run, unless other runs on
            // the worker are slow as well.
            if change.is_certain_fall() {
                self.mark_worker_slowed(now, &name, "low pace");
            }
        } else if change.is_fall() || self.is_implausible(now, key, &change) {
            self.mark_worker_slowed(now, &name, "low pace");
        }
        if !self.speeds.spread.differ {
            self.update_speed(now, key, index, change.pace);
        }
        self.learn_from_pace(now, key, index, &change);
    }

    pub(super) fn mark_worker_slowed(
        &mut self,
        now: MonotonicTime,
        name: &WorkerName,
        by: &'static str,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            if !worker.speed.is_slowed(now) {
                log::info!(target: "worker", worker = name.as_str(), by; "worker is slowed down");
            }
            worker.speed.mark_slowed(now);
        }
    }

    /// Whether a run at this pace would take longer than is plausible for its queue.
    fn is_implausible(&self, now: MonotonicTime, key: &GroupKey, change: &PaceChange) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(shape) = job.shape(key.step) else {
            return false;
        };
        let queue = &job.accepted.queue;
        let max_run_time = self.run_times.max_plausible(now, queue, shape.estimate_ms);
        max_run_time.is_some_and(|max_run_time| change.pace * max_run_time.as_secs_f64() < 100.0)
    }

    /// Updates the speed of a worker by the pace of its gang member relative to the other
    /// members.
    fn update_speed(&mut self, now: MonotonicTime, key: &GroupKey, index: usize, pace: f64) {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return;
        };
        let Some(member) = group.members.get(index) else {
            return;
        };
        // Logarithm of the pace on a worker of average speed, from each other member.
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
        // The upper median, since some of the others may be slowed down and the member
        // has to be compared with those that are not.
        let median = others[others.len() / 2];
        let name = member.worker.clone();
        let ratio = pace / median.exp();
        let is_slowed = self
            .workers
            .get_mut(&name)
            .is_some_and(|worker| worker.speed.observe_ratio(now, ratio));
        if is_slowed {
            log::info!(target: "worker", worker = name.as_str(), ratio; "worker is slower than its gang");
        }
    }

    /// Stops runs that stall or slow down, to move them to other workers.
    pub(super) fn check_progress(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        if now < self.next_progress_check_at {
            return;
        }
        self.next_progress_check_at = now + CHECK_INTERVAL;
        let mut orders = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_closing) {
            for (key, group) in job.groups() {
                if group.phase == GroupPhase::Active {
                    orders.extend(self.find_move(now, job, &key, group));
                }
            }
        }
        for order in orders {
            if self.may_leave_zone(now, &order) {
                self.move_group(now, order);
            }
        }
    }

    /// Whether the run may be moved as far as evacuations are concerned: in a closed zone its
    /// capacity is lost, so it stays there unless it has room elsewhere. One run leaves at a
    /// time, since they would count on the same room.
    fn may_leave_zone(&self, now: MonotonicTime, order: &MoveOrder) -> bool {
        let job = self.jobs.get(&order.key.job);
        let found =
            job.and_then(|job| Some((job, job.shape(order.key.step)?, job.group(&order.key)?)));
        let Some((job, shape, group)) = found else {
            return false;
        };
        let is_evacuated = |member: &PlanMember| {
            let worker = self.workers.get(&member.worker);
            worker.is_some_and(|worker| self.is_evacuated(worker))
        };
        if !group.members.iter().any(is_evacuated) {
            return true;
        }
        let mut groups = self.jobs.values().flat_map(PlanJob::groups);
        if groups.any(|(_, group)| is_being_moved(now, group)) {
            return false;
        }
        // A stalled urgent run may stop others for its place.
        let may_stop_others = job.accepted.priority == 0 && order.cause == STALLED;
        let open = self.workers.values().filter(|worker| {
            let bar = self.start_gate.start_bar(now, &worker.report.zone);
            worker.accepts_starts()
                && bar.is_none()
                && worker.report.service == job.accepted.service
        });
        let capacities = open.map(|worker| {
            if may_stop_others {
                worker.report.capacity
            } else {
                worker.free_capacity_for(None)
            }
        });
        has_room(
            capacities,
            &shape.reserved_demand(),
            u32::from(shape.group_size()),
        )
    }

    fn move_group(&mut self, now: MonotonicTime, order: MoveOrder) {
        let name = self.member_worker(&order.key, order.member);
        log::info!(
            target: "stop", group = order.key.to_string().as_str(), member = order.member,
            worker = name.as_ref().map_or("none", WorkerName::as_str), cause = order.cause;
            "run is moved"
        );
        if order.is_long {
            if let Some(group) = self.group_mut(&order.key) {
                group.was_long = true;
            }
        } else {
            self.avoid_member_worker(now, &order.key, order.member);
            if let Some(name) = name {
                self.mark_worker_slowed(now, &name, order.cause);
            }
        }
        self.count_stopped_work(now, &order.key, order.cause);
        if order.cause == STALLED
            && let Some(group) = self.group_mut(&order.key)
        {
            group.stalls += 1;
        }
        self.stop_group(now, order.key);
    }

    /// Returns the member that delays a run, if moving the run is worthwhile.
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
        let min_stall = MIN_STALL_DURATION
            .max(expected.mul_f64(MIN_STALL_FRACTION))
            .saturating_mul(1 << group.stalls.min(MAX_STALL_DOUBLINGS));
        for (index, member) in group.members.iter().enumerate() {
            let progress = &member.progress;
            let Some(listed_at) = progress.listed_at.filter(|_| progress.percent < 100) else {
                continue;
            };
            let advanced_at = progress.advanced_at.unwrap_or(group.started_at);
            let stall = listed_at.since(advanced_at);
            let is_stalled = if self.speeds.spread.differ {
                let mean_pace = f64::from(progress.percent)
                    / advanced_at.since(group.started_at).as_secs_f64().max(0.001);
                let own_stall = MIN_STALL_PERCENT / mean_pace.max(MIN_STALL_PACE);
                stall >= min_stall && (progress.percent == 0 || stall.as_secs_f64() >= own_stall)
            } else {
                stall >= min_stall
            };
            let may_repeat = progress.is_long && !group.was_long && self.speeds.repeats.is_useful();
            let is_slowed = self
                .workers
                .get(&member.worker)
                .is_some_and(|worker| worker.speed.is_slowed(now));
            if !(is_stalled || is_slowed || may_repeat) {
                continue;
            }
            let may_recover = is_stalled || is_slowed;
            let work = RemainingWork {
                expected,
                has_checkpoints: shape.has_checkpoints,
                may_recover,
            };
            if self.has_move_gain(job, group, index, &work) {
                let cause = if is_stalled {
                    STALLED
                } else if is_slowed {
                    SLOWED
                } else {
                    "long"
                };
                return Some(MoveOrder {
                    key: *key,
                    member: index,
                    cause,
                    is_long: !may_recover,
                });
            }
        }
        None
    }

    /// Whether a run is expected to complete sooner if it is restarted elsewhere.
    fn has_move_gain(
        &self,
        job: &PlanJob,
        group: &PlanGroup,
        index: usize,
        work: &RemainingWork,
    ) -> bool {
        let expected = work.expected;
        let Some(member) = group.members.get(index) else {
            return false;
        };
        let left = f64::from(100_u32.saturating_sub(member.progress.percent)) / 100.0;
        let pace = member.progress.pace_since(group.started_at);
        let at_current_pace = left * 100.0 / pace.max(0.1);
        let after_recovery = EXPECTED_SLOWDOWN.as_secs_f64() + expected.as_secs_f64() * left;
        let continuing = if work.may_recover {
            at_current_pace.min(after_recovery)
        } else {
            at_current_pace
        };
        let remaining_work = if work.has_checkpoints {
            expected.mul_f64(left) + self.limits.checkpoint_interval + self.limits.restore_time
        } else {
            expected
        };
        let restarting = remaining_work + self.limits.stop_grace;
        let factor = if job.accepted.priority == 0 {
            URGENT_MOVE_FACTOR
        } else {
            MOVE_FACTOR
        };
        continuing > restarting.as_secs_f64() * factor + MOVE_MARGIN.as_secs_f64()
    }
}

/// Whether a group was moved and does not run again yet.
fn is_being_moved(now: MonotonicTime, group: &PlanGroup) -> bool {
    let is_stopped = matches!(group.phase, GroupPhase::Stopping | GroupPhase::Waiting);
    is_stopped && now < group.avoids_until
}
