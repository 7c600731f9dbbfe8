//! Backfill reservations for large groups that do not fit yet. Without them, small groups
//! would use all capacity that becomes free, and a gang that needs whole workers would
//! starve as long as small groups arrive. Units that end before the reserved capacity is
//! needed may still use it.

use crate::prelude::*;
use crate::process::planner::forecast::expected_remaining;
use crate::process::planner::job::MemberStage;
use crate::process::planner::place::{CapacityReservation, CapacityView, EndGoal, PlaceRequest};
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker_figures::tier_of;
use crate::request::submission::UnitDemand;

/// Logarithm by which the run of a group that waits for faster workers is expected to be shorter
/// than its objective requires: ends of other runs are uncertain.
const WAIT_MARGIN_LOG: f64 = 0.2;
/// Share of a worker's capacity from which a single unit counts as large.
const LARGE_UNIT_SHARE: f64 = 0.5;
/// Remaining time that is assumed for a run that should have ended already.
const OVERDUE_REMAINING_TIME: Duration = Duration::from_millis(500);

/// Capacity that is expected to become free on a worker.
#[derive(Clone, Copy, Debug)]
struct CapacityRelease {
    at: MonotonicTime,
    demand: UnitDemand,
}

/// A slot for a member of a group on a worker, and when it is expected to become free.
#[derive(Clone, Copy, Debug)]
struct SlotTime {
    row: usize,
    at: MonotonicTime,
}

impl PlannerState {
    /// Reserves the capacity that becomes free first for a group that does not fit now.
    /// Returns whether anything was reserved: only large groups get a reservation.
    pub(super) fn reserve_capacity_for(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
    ) -> bool {
        let is_large =
            |demand: &UnitDemand, total: &UnitDemand| demand.share_of(total) >= LARGE_UNIT_SHARE;
        let eligible = view.eligible_rows(request);
        let needs_reservation = request.count > 1
            || eligible.first().is_some_and(|row| {
                is_large(&request.shape.demand, &view.rows[*row].report.capacity)
            });
        if !needs_reservation {
            return false;
        }
        let Some(slots) = self.earliest_slots(now, request, view, &eligible) else {
            return false;
        };
        let from = slots.iter().map(|slot| slot.at).max().unwrap_or(now);
        for slot in slots {
            view.rows[slot.row].reservations.push(CapacityReservation {
                demand: request.shape.reserved_demand(),
                from,
                is_urgent: request.is_urgent,
                is_reclaim: false,
            });
        }
        true
    }

    /// Returns when a group is expected to find room as runs end by themselves; `None` if there
    /// are too few workers for it.
    pub(super) fn room_expected_at(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) -> Option<MonotonicTime> {
        let eligible = view.eligible_rows(request);
        let slots = self.earliest_slots(now, request, view, &eligible)?;
        slots.iter().map(|slot| slot.at).max()
    }

    /// Reserves capacity for an urgent group on workers on which it meets its goal if it waits
    /// for them. Returns whether there is such capacity.
    pub(super) fn reserve_faster(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        goal: &EndGoal,
        view: &mut CapacityView,
    ) -> bool {
        let Some(needed) = goal.needed_log(0.0) else {
            return false;
        };
        let mut eligible = view.eligible_rows(request);
        let mut found = None;
        // Each attempt leaves the slowest workers out, on which the run would take longest.
        let mut least = tier_of(needed);
        while found.is_none() && !eligible.is_empty() {
            eligible.retain(|index| view.rows[*index].tier >= least);
            let slots = self.earliest_slots(now, request, view, &eligible);
            let Some(slots) = slots else {
                return false;
            };
            let from = slots.iter().map(|slot| slot.at).max().unwrap_or(now);
            let logs = slots.iter().map(|slot| view.rows[slot.row].cautious_log());
            let slowest = logs.min_by(f64::total_cmp).unwrap_or(0.0);
            if from + goal.run_time_at(slowest - WAIT_MARGIN_LOG) <= goal.end_by {
                found = Some((slots, from));
            }
            least = tier_of(slowest) + 1;
        }
        let Some((slots, from)) = found else {
            return false;
        };
        for slot in slots {
            view.rows[slot.row].reservations.push(CapacityReservation {
                demand: request.shape.reserved_demand(),
                from,
                is_urgent: request.is_urgent,
                is_reclaim: false,
            });
        }
        true
    }

    /// Returns when a group that does not fit now is expected to find enough free capacity, if
    /// the runs of the pool end as expected.
    pub(super) fn expected_start(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) -> Option<MonotonicTime> {
        let expected_at = self.room_expected_at(now, request, view);
        expected_at.filter(|at| *at < MonotonicTime(u64::MAX))
    }

    /// Returns the slots that become free first, within one rack if the group requires one.
    /// Returns `None` if there are too few.
    fn earliest_slots(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
        eligible: &[usize],
    ) -> Option<Vec<SlotTime>> {
        let shape = request.shape;
        let needs_rack = shape.same_rack && request.count > 1;
        let mut racks: BTreeMap<Option<&RackName>, Vec<SlotTime>> = BTreeMap::new();
        for index in eligible {
            let row = &view.rows[*index];
            let is_near = shape
                .data_rack
                .as_ref()
                .is_none_or(|rack| row.report.rack.as_ref() == Some(rack));
            if is_near {
                let rack = row.report.rack.as_ref().filter(|_| needs_rack);
                let times = self.slot_times(now, request, view, *index);
                racks.entry(rack).or_default().extend(times);
            }
        }
        let count = usize::from(request.count);
        racks
            .into_values()
            .filter(|slots| slots.len() >= count)
            .map(|mut slots| {
                slots.sort_by_key(|slot| slot.at);
                slots.truncate(count);
                slots
            })
            .min_by_key(|slots| slots.last().map(|slot| slot.at))
    }

    /// Returns when the slots of a worker become free, one after the other.
    fn slot_times(
        &self,
        now: MonotonicTime,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
        index: usize,
    ) -> Vec<SlotTime> {
        let row = &view.rows[index];
        let max_slots = row.allowed_units(request);
        let mut available = row.unreserved(request);
        let mut slots = request
            .shape
            .reserved_demand()
            .count_fitting(&available, max_slots);
        let mut times: Vec<SlotTime> = (0..slots)
            .map(|_| SlotTime {
                row: index,
                at: now,
            })
            .collect();
        for release in self.expected_releases(now, &row.report.name) {
            available = available.plus(&release.demand);
            let fitting = request
                .shape
                .reserved_demand()
                .count_fitting(&available, max_slots);
            for _ in slots..fitting {
                times.push(SlotTime {
                    row: index,
                    at: release.at,
                });
            }
            slots = slots.max(fitting);
        }
        times
    }

    /// Returns the expected ends of the units on a worker, in order.
    fn expected_releases(&self, now: MonotonicTime, name: &WorkerName) -> Vec<CapacityRelease> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let mut releases: Vec<CapacityRelease> = worker
            .holdings
            .values()
            .map(|holding| CapacityRelease {
                at: self.expected_end(now, &holding.group, holding.member),
                demand: holding.demand,
            })
            .collect();
        releases.sort_by_key(|release| release.at);
        releases
    }

    /// Returns when a member of a run is expected to end; the greatest time for a long-running
    /// one that is not being stopped.
    pub(super) fn expected_end(
        &self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
    ) -> MonotonicTime {
        let soon = now + OVERDUE_REMAINING_TIME;
        let Some(job) = self.jobs.get(&key.job) else {
            return soon;
        };
        let (Some(group), Some(shape)) = (job.group(key), job.shape(key.step)) else {
            return soon;
        };
        let Some(member) = group.members.get(index) else {
            return soon;
        };
        if matches!(
            member.stage,
            MemberStage::Stopping | MemberStage::Stopped(_) | MemberStage::Released
        ) {
            return now + self.limits.stop_grace;
        }
        if shape.is_long_running {
            return MonotonicTime(u64::MAX);
        }
        let progress = &member.progress;
        let paced = progress.pace.zip(progress.listed_at);
        let end = if let Some((pace, listed_at)) = paced.filter(|(pace, _)| *pace > 0.0) {
            let remaining = f64::from(100_u32.saturating_sub(progress.percent));
            listed_at + Duration::from_secs_f64(remaining / pace)
        } else {
            let queue = &job.accepted.queue;
            if self.speeds.spread.differ {
                let elapsed = now.since(group.started_at);
                let speed = self.speed_factor(&member.worker);
                let estimate_ms = shape.estimate_ms;
                let times = &self.run_times;
                return now + expected_remaining(times, queue, estimate_ms, elapsed, speed);
            }
            group.started_at + self.run_times.expected(queue, shape.estimate_ms)
        };
        end.max(soon)
    }
}
