//! Rejection of jobs that can no longer be of use: of each queue and customer, the forecast of
//! the end of a job that is submitted now, and the list of full queues for the hosts.
//!
//! The load that this answers: demand above the capacity of the pool for longer than the late
//! objectives, where most accepted jobs end without being of use and no caller is told so.
//!
//! Nothing is listed while a part of the pool is free, for a customer that has not used its
//! guarantee, or for one that asks for less than its equal share of the pool. Accepted work is
//! never dropped.

use crate::prelude::*;
use crate::process::planner::backlog::{OpenWork, pool_rate};
use crate::process::record::FullQueue;

/// Share of a pool that has to be held before any of its queues may be full. Other work leaves
/// up to 15% of the workers free for urgent work, and gangs leave more between them.
const MIN_HELD_SHARE: f64 = 0.7;
/// Time for which a forecast has to say that a job is of no use before its queue is full: a
/// burst shorter than this leaves no trace in the late objectives.
const FULL_DELAY: Duration = Duration::from_secs(1);
/// Share of the late objective at which the forecast has to be again before the queue accepts
/// jobs again, so that it does not alternate with each job that ends.
const REOPEN_SHARE: f64 = 0.7;
/// Least and greatest delay that callers are asked to wait. A forecast over a longer time says
/// little, since other callers give up.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Queue and customer that may be full; `None` for callers without a key.
pub type AdmissionKey = (QueueName, Option<CustomerName>);

/// Forecast for a job that is submitted now.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionForecast {
    /// Queue and customer.
    pub key: AdmissionKey,
    /// Expected time until its end.
    pub ends_in: Duration,
    /// Its late objective.
    pub late_in: Duration,
}

/// State of one service's pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolUse {
    /// Share of the pool that runs hold, from 0 to 1.
    pub held: f64,
}

/// Queues that are full or about to be, with hysteresis.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionState {
    marks: BTreeMap<AdmissionKey, FullMark>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct FullMark {
    /// Since when the forecast says that a job is of no use.
    since: MonotonicTime,
    is_full: bool,
    retry_after: Duration,
}

/// A queue that began or ended to be full for a customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionChange {
    /// Queue and customer.
    pub key: AdmissionKey,
    /// Whether it is full now.
    pub is_full: bool,
}

/// Returns the forecasts for each queue and each customer that has open work in it, of the
/// pools that are held. `covered` are customers whose guarantee has room left.
pub fn forecasts(
    now: MonotonicTime,
    open: &[OpenWork],
    pools: &BTreeMap<ServiceName, PoolUse>,
    covered: &BTreeSet<CustomerName>,
) -> Vec<AdmissionForecast> {
    let mut found = Vec::new();
    for (service, pool) in pools {
        if pool.held < MIN_HELD_SHARE {
            continue;
        }
        let work: Vec<&OpenWork> = open
            .iter()
            .filter(|work| work.service == *service)
            .collect();
        let queues: BTreeSet<&QueueName> = work.iter().map(|work| &work.queue).collect();
        for queue in queues {
            found.extend(queue_forecasts(now, queue, &work, covered));
        }
    }
    found
}

fn queue_forecasts(
    now: MonotonicTime,
    queue: &QueueName,
    pool: &[&OpenWork],
    covered: &BTreeSet<CustomerName>,
) -> Vec<AdmissionForecast> {
    let own: Vec<&&OpenWork> = pool
        .iter()
        .filter(|work| work.queue == *queue && work.terms.has_end)
        .collect();
    let Some(first) = own.first() else {
        return Vec::new();
    };
    let priority = first.terms.priority;
    // A job of the queue as callers submit them now.
    let jobs = own.len() as u32;
    let chain = own.iter().map(|work| work.full_chain).sum::<Duration>() / jobs;
    let late_in = own.iter().map(|work| work.late_in()).sum::<Duration>() / jobs;
    let rate = pool_rate(pool);
    // Work that can be of no use any more comes after a new job.
    let is_ahead = |work: &&&OpenWork| work.terms.has_end && now + work.chain <= work.terms.late_by;
    let ahead: Vec<&&OpenWork> = pool.iter().filter(is_ahead).collect();
    let above: f64 = sum(ahead.iter().filter(|work| work.terms.priority < priority));
    let beside: f64 = sum(ahead.iter().filter(|work| work.terms.priority == priority));
    let customers: BTreeSet<&Option<CustomerName>> =
        own.iter().map(|work| &work.customer).collect();
    let peers: BTreeSet<&Option<CustomerName>> = ahead
        .iter()
        .filter(|work| work.terms.priority == priority)
        .map(|work| &work.customer)
        .collect();
    let mut found = Vec::new();
    for customer in customers {
        let is_covered = customer
            .as_ref()
            .is_some_and(|customer| covered.contains(customer));
        if priority == 0 && is_covered {
            continue;
        }
        // The customer's own work at its equal share of what the priorities above leave: one
        // that asks for less is not rejected for the work of others.
        let of_customer =
            |work: &&&&OpenWork| work.terms.priority == priority && work.customer == *customer;
        let own_work = sum(ahead.iter().filter(of_customer)) * peers.len().max(1) as f64;
        let wait = (above + beside.min(own_work)) / rate;
        found.push(AdmissionForecast {
            key: (queue.clone(), customer.clone()),
            ends_in: Duration::from_secs_f64(wait.min(1e6)).saturating_add(chain),
            late_in,
        });
    }
    found
}

fn sum<'a>(work: impl Iterator<Item = &'a &'a &'a OpenWork>) -> f64 {
    work.map(|work| work.remaining).sum()
}

impl AdmissionState {
    /// Applies the newest forecasts; a queue without one is not full. Returns what changed.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        forecasts: &[AdmissionForecast],
    ) -> Vec<AdmissionChange> {
        let mut changes = Vec::new();
        let mut marks = BTreeMap::new();
        for forecast in forecasts {
            let known = self.marks.get(&forecast.key).copied();
            let reopens_at = forecast.late_in.mul_f64(REOPEN_SHARE);
            let was_full = known.is_some_and(|mark| mark.is_full);
            let bound = if was_full {
                reopens_at
            } else {
                forecast.late_in
            };
            if forecast.ends_in <= bound {
                continue;
            }
            let since = known.map_or(now, |mark| mark.since);
            let (least, greatest) = RETRY_RANGE;
            let mark = FullMark {
                since,
                is_full: was_full || now.since(since) >= FULL_DELAY,
                retry_after: forecast
                    .ends_in
                    .saturating_sub(reopens_at)
                    .clamp(least, greatest),
            };
            if mark.is_full && !was_full {
                let key = forecast.key.clone();
                changes.push(AdmissionChange { key, is_full: true });
            }
            marks.insert(forecast.key.clone(), mark);
        }
        for (key, mark) in &self.marks {
            if mark.is_full && !marks.contains_key(key) {
                let key = key.clone();
                changes.push(AdmissionChange {
                    key,
                    is_full: false,
                });
            }
        }
        self.marks = marks;
        changes
    }

    /// Returns the full queues for the planner's heartbeat.
    pub fn full_queues(&self) -> Vec<FullQueue> {
        let full = self.marks.iter().filter(|(_, mark)| mark.is_full);
        full.map(|((queue, customer), mark)| FullQueue {
            queue: queue.clone(),
            retry_after_ms: mark.retry_after.as_millis() as u64,
            customer: customer.clone(),
        })
        .collect()
    }
}
