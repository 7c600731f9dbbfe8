//! Open work of a planning domain, measured against the pool that has to do it, and the choice
//! of the work that is delayed where not all can be in time.
//!
//! The load that this answers: demand above the capacity of the pool for longer than the
//! objectives of the jobs. In the order of deadlines alone every job is then served after its
//! objective, since each waits behind others that are late already.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::prelude::*;
use crate::process::planner::cost::{CallerTerms, caller_weight, delay_cost};
use crate::process::planner::estimate::RunTimes;
use crate::process::planner::job::{GroupPhase, PlanGroup, PlanJob};
use crate::process::planner::order::{
    critical_path_time, late_objective, objective, remaining_time,
};
use crate::request::submission::{StepShape, UnitDemand};

/// Share of a pool that work can use. The rest is kept free for urgent work, is lost between two
/// runs, and to units and gangs that do not fill the workers. In an earlier form of the choice,
/// with 0.85 and twice the demand the largest tenth of the jobs had 0.58 of the service of all,
/// with 0.7 it had 0.68.
pub const USABLE_SHARE: f64 = 0.7;
/// Remaining time that is assumed for a run that should have ended already.
const MIN_REMAINING: Duration = Duration::from_millis(500);
/// Steps in which densities are compared; smaller differences are within the error of the
/// estimates, and the earlier deadline decides.
const DENSITY_STEPS: f64 = 20.0;

/// Share of the large occurrences that stay chosen, relative to all of their priority. Callers
/// require half; more are chosen, since a large one that is chosen is in time less often.
const MIN_LARGE_SHARE: f64 = 1.0;

/// Identifies an occurrence of a job.
pub type OccurrenceKey = (JobKey, u32);

/// Work of an occurrence that is not done.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenWork {
    /// Job and number of the occurrence.
    pub key: OccurrenceKey,
    /// Service whose pool does it.
    pub service: ServiceName,
    /// Queue of the job.
    pub queue: QueueName,
    /// Customer of the job.
    pub customer: Option<CustomerName>,
    /// What the job promises its caller.
    pub terms: CallerTerms,
    /// Expected time of the longest chain of its remaining steps.
    pub chain: Duration,
    /// The same for all its steps.
    pub full_chain: Duration,
    /// When it was due to start.
    pub ready_at: MonotonicTime,
    /// Time for which the whole pool would be busy with the remaining work, in seconds; zero
    /// for work without an end.
    pub remaining: f64,
    /// The same for all work of the occurrence.
    pub total: f64,
    /// Share of the pool that work without an end holds.
    pub endless_share: f64,
}

impl OpenWork {
    /// Returns the late objective, from when the occurrence was due to start.
    pub fn late_in(&self) -> Duration {
        self.terms.late_by.since(self.ready_at)
    }
}

/// Capacity of the workers on which units may be started, by service.
pub type PoolSizes = BTreeMap<ServiceName, UnitDemand>;

/// Returns the open work of all jobs.
pub fn open_work(
    now: MonotonicTime,
    jobs: &BTreeMap<JobKey, PlanJob>,
    times: &RunTimes,
    guaranteed: &BTreeSet<JobKey>,
    pools: &PoolSizes,
) -> Vec<OpenWork> {
    let mut open = Vec::new();
    for job in jobs.values().filter(|job| !job.is_closing) {
        let accepted = &job.accepted;
        let Some(pool) = pools.get(&accepted.service) else {
            continue;
        };
        let objective = objective(job, times);
        for (number, occurrence) in &job.occurrences {
            let mut work = OpenWork {
                key: (job.key, *number),
                service: accepted.service.clone(),
                queue: accepted.queue.clone(),
                customer: accepted.customer.clone(),
                terms: CallerTerms {
                    priority: accepted.priority,
                    due_by: occurrence.due_at + objective,
                    late_by: occurrence.due_at + late_objective(objective),
                    is_guaranteed: guaranteed.contains(&job.key),
                    has_end: !accepted.submission.is_long_running(),
                },
                chain: remaining_time(job, occurrence, times),
                full_chain: critical_path_time(job, times),
                ready_at: occurrence.due_at,
                remaining: 0.0,
                total: 0.0,
                endless_share: 0.0,
            };
            for (shape, step) in accepted.submission.steps.iter().zip(&occurrence.steps) {
                let members = f64::from(shape.group_size());
                let share = shape.reserved_demand().share_of(pool) * members;
                if shape.is_long_running {
                    work.endless_share += share * step.groups.len() as f64;
                    continue;
                }
                let expected = times.expected(&accepted.queue, shape.estimate_ms);
                work.total += share * expected.as_secs_f64() * step.groups.len() as f64;
                let groups = step.groups.iter();
                let left = groups.map(|group| group_remaining(now, shape, group, expected));
                work.remaining += share * left.sum::<f64>();
            }
            if work.remaining > 0.0 || work.endless_share > 0.0 {
                open.push(work);
            }
        }
    }
    open
}

/// Returns the expected remaining time of a group in seconds.
fn group_remaining(
    now: MonotonicTime,
    shape: &StepShape,
    group: &PlanGroup,
    expected: Duration,
) -> f64 {
    match group.phase {
        GroupPhase::Done => 0.0,
        GroupPhase::Recording | GroupPhase::Active => {
            let elapsed = now.since(group.started_at);
            remaining_run(expected, elapsed).as_secs_f64()
        }
        GroupPhase::Waiting | GroupPhase::Stopping => {
            let is_resumed = shape.has_checkpoints && group.saved.is_some();
            // A checkpoint does not say how much of the work it holds.
            expected.as_secs_f64() * if is_resumed { 0.5 } else { 1.0 }
        }
    }
}

/// Returns the expected remaining time of a run.
fn remaining_run(expected: Duration, elapsed: Duration) -> Duration {
    expected.saturating_sub(elapsed).max(MIN_REMAINING)
}

/// Occurrences that are delayed, and whether each is among the largest three tenths of its
/// priority.
pub type DelayedWork = BTreeMap<OccurrenceKey, bool>;

/// Returns the occurrences that are delayed, so that the others are in time: where the pool of
/// a service cannot do all work of a priority within its objectives, those that cost callers
/// least for the work that they still need. Nothing is delayed while there is room for all.
/// Work within a guarantee is never delayed.
pub fn choose_delayed(now: MonotonicTime, open: &[OpenWork]) -> DelayedWork {
    let mut pools: BTreeMap<&ServiceName, Vec<&OpenWork>> = BTreeMap::new();
    for work in open {
        pools.entry(&work.service).or_default().push(work);
    }
    let mut delayed = DelayedWork::new();
    for mut pool in pools.into_values() {
        let rate = pool_rate(&pool);
        pool.retain(|work| work.terms.has_end);
        pool.sort_by_key(|work| (work.terms.priority, work.terms.due_by, work.key));
        let mut ahead = 0.0;
        for class in pool.chunk_by(|left, right| left.terms.priority == right.terms.priority) {
            // Urgent groups keep their order: they stop others and have room kept for them, so
            // their end does not follow from the work ahead.
            if class.iter().all(|work| work.terms.priority > 0) {
                delay_in_class(now, class, ahead / rate, rate, &mut delayed);
            }
            ahead += class.iter().map(|work| work.remaining).sum::<f64>();
        }
    }
    delayed
}

/// Returns the share of a pool that is left for work that ends.
pub fn pool_rate(pool: &[&OpenWork]) -> f64 {
    let endless: f64 = pool.iter().map(|work| work.endless_share).sum();
    (USABLE_SHARE - endless).max(0.05)
}

/// Whether an occurrence cannot meet its objective even on a free pool.
fn is_late(now: MonotonicTime, work: &OpenWork) -> bool {
    now + work.chain > work.terms.due_by
}

fn delay_in_class(
    now: MonotonicTime,
    class: &[&OpenWork],
    wait: f64,
    rate: f64,
    delayed: &mut DelayedWork,
) {
    let until = |time: MonotonicTime| time.since(now).as_secs_f64();
    let mut end = wait;
    let mut has_room = true;
    for work in class {
        end += work.remaining / rate;
        has_room &= is_late(now, work) || end <= until(work.terms.due_by);
    }
    if has_room {
        return;
    }
    let ranks = size_ranks(class);
    let mut items: Vec<usize> = (0..class.len()).collect();
    items.sort_by_key(|index| (deadline(now, class[*index]), class[*index].key));
    let mut choice = ClassChoice::default();
    let mut end = wait;
    for index in items {
        let work = class[index];
        end += work.remaining / rate;
        if work.terms.is_guaranteed {
            continue;
        }
        let entry = (density(now, work), lot(work.key), index);
        choice.add(ranks[index], entry);
        while end > until(deadline(now, work))
            && let Some(index) = choice.remove_cheapest()
        {
            end -= class[index].remaining / rate;
            delayed.insert(class[index].key, ranks[index] > 0);
        }
    }
}

/// Returns the time up to which an occurrence that is not delayed has to end: its objective, or
/// its late objective if that is all that it can meet.
fn deadline(now: MonotonicTime, work: &OpenWork) -> MonotonicTime {
    if is_late(now, work) {
        work.terms.late_by
    } else {
        work.terms.due_by
    }
}

/// Returns the size rank of each occurrence: 2 for the largest tenth of the class, 1 for the
/// fifth below it, and 0 for the others.
fn size_ranks(class: &[&OpenWork]) -> Vec<usize> {
    let mut by_size: Vec<usize> = (0..class.len()).collect();
    by_size.sort_by(|left, right| class[*right].total.total_cmp(&class[*left].total));
    let mut ranks = vec![0; class.len()];
    for (place, index) in by_size.into_iter().enumerate() {
        ranks[index] = match place * 10 / class.len() {
            0 => 2,
            1 | 2 => 1,
            _ => 0,
        };
    }
    ranks
}

/// Occurrences that are chosen to be in time, by size rank, the one that costs least for its
/// remaining work on top.
#[derive(Debug, Default)]
struct ClassChoice {
    chosen: [BinaryHeap<Reverse<ChoiceEntry>>; 3],
    seen: [usize; 3],
}

/// Density, lot and index of an occurrence.
type ChoiceEntry = (u64, u64, usize);

impl ClassChoice {
    fn add(&mut self, rank: usize, entry: ChoiceEntry) {
        self.chosen[rank].push(Reverse(entry));
        self.seen[rank] += 1;
    }

    /// Removes the occurrence that costs least to delay, and returns its index. A large one is
    /// removed only while the large ones of its rank are chosen about as often as all.
    fn remove_cheapest(&mut self) -> Option<usize> {
        let kept: usize = self.chosen.iter().map(BinaryHeap::len).sum();
        let seen: usize = self.seen.iter().sum();
        let all = kept as f64 / seen.max(1) as f64;
        let may_remove = |rank: &usize| {
            let left = self.chosen[*rank].len().saturating_sub(1) as f64;
            *rank == 0 || left / self.seen[*rank].max(1) as f64 >= all * MIN_LARGE_SHARE
        };
        let by_cost = |rank: &usize| self.chosen[*rank].peek().map(|Reverse(entry)| *entry);
        let has_entry = |rank: &usize| !self.chosen[*rank].is_empty();
        let allowed = (0..3).filter(has_entry).filter(may_remove);
        let rank = allowed
            .min_by_key(by_cost)
            .or_else(|| (0..3).find(has_entry))?;
        self.chosen[rank].pop().map(|Reverse((_, _, index))| index)
    }
}

/// Returns what a caller loses by the delay for each unit of the work that is still needed, in
/// steps: the work that was done already would be lost with the job.
fn density(now: MonotonicTime, work: &OpenWork) -> u64 {
    let terms = &work.terms;
    let at_stake = caller_weight(terms) - delay_cost(terms, now + work.chain);
    let needed = work.remaining.max(work.total * 0.01).max(1e-9);
    (at_stake * (work.total / needed) * DENSITY_STEPS) as u64
}

/// Returns a number by which occurrences of equal density are chosen. It does not depend on
/// the work of the job: by their deadlines the large ones would be delayed first, since a small
/// one fits into the rest of the capacity.
fn lot(key: OccurrenceKey) -> u64 {
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (key.0.0 ^ u64::from(key.1) << 32).wrapping_mul(MULTIPLIER);
    (mixed ^ mixed >> 32).wrapping_mul(MULTIPLIER)
}
