//! Learned run times. Callers' estimates are rough, by a factor that differs between
//! queues, so they are corrected by what earlier runs of the queue took.

use crate::prelude::*;

/// Weight of the newest run in the averages of a queue.
const NEWEST_WEIGHT: f64 = 0.1;
/// Runs of a queue from which its averages are used.
const LEAST_RUNS: u32 = 3;
/// Part of the queue's own average in an expected time; the rest is the corrected
/// estimate.
const AVERAGE_PART: f64 = 0.5;

/// Averages of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct QueueAverage {
    runs: u32,
    /// Mean run time in milliseconds.
    mean_ms: f64,
    /// Mean of run time over estimate.
    ratio: f64,
}

/// Run times by queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTimes {
    queues: BTreeMap<QueueName, QueueAverage>,
}

impl RunTimes {
    /// Takes a whole run that was done.
    pub fn note_run(&mut self, queue: &QueueName, estimate_ms: u64, ran: Duration) {
        let ran_ms = ran.as_millis() as f64;
        let ratio = ran_ms / estimate_ms.max(1) as f64;
        let average = self.queues.entry(queue.clone()).or_default();
        average.runs += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(average.runs));
        average.mean_ms += (ran_ms - average.mean_ms) * weight;
        average.ratio += (ratio - average.ratio) * weight;
    }

    /// Time that a run of a queue is expected to take on a sound worker.
    pub fn expected(&self, queue: &QueueName, estimate_ms: u64) -> Duration {
        let estimate = estimate_ms.max(1) as f64;
        let millis = match self.queues.get(queue) {
            Some(average) if average.runs >= LEAST_RUNS => {
                let corrected = estimate * average.ratio;
                average.mean_ms * AVERAGE_PART + corrected * (1.0 - AVERAGE_PART)
            }
            _ => estimate,
        };
        Duration::from_millis(millis as u64)
    }
}
