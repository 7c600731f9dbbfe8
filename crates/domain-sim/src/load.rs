//! Synthetic loads, drawn from a seed: classes of jobs with arrival rates, numbers of
//! units and run times, modelled on the loads that users of the scheduler describe.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::request::submission::{JobSubmission, StepShape, UnitDemand};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Class of jobs.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// Queue of the class.
    pub queue: QueueName,
    /// Mean number of jobs that arrive in a second.
    pub rate: f64,
    /// Mean number of units of a step.
    pub width: f64,
    /// Largest number of units of a step.
    pub max_width: u16,
    /// Mean run time of a unit.
    pub run_time: Duration,
    /// Spread of run times over jobs, as a fraction of the mean.
    pub run_time_spread: f64,
    /// Longest run time.
    pub max_run_time: Duration,
    /// Spread of estimates around the true run time, as a fraction of it.
    pub estimate_spread: f64,
    /// Demand of a unit except for accelerators.
    pub demand: UnitDemand,
    /// Numbers of accelerators of a unit, each equally likely.
    pub accelerators: Vec<u32>,
    /// Whether the units of a step are a gang.
    pub is_gang: bool,
    /// Probability that a gang must be placed in one rack.
    pub same_rack_share: f64,
    /// Probability that a job keeps checkpoints.
    pub checkpoint_share: f64,
    /// Value of a job of mean work if it is done in time, and if it is late.
    pub value: (f64, f64),
}

/// A job of a load.
#[derive(Clone, Debug)]
pub struct LoadJob {
    /// Identifier.
    pub key: JobKey,
    /// Index of its class in the plan.
    pub class: usize,
    /// When it is submitted.
    pub at: MonotonicTime,
    /// Submission of the job.
    pub submission: JobSubmission,
    /// True run time of each unit on a worker of normal speed.
    pub work: Duration,
}

/// Jobs of a load with their classes.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Classes of jobs.
    pub classes: Vec<LoadClass>,
    /// Jobs in the order of their submission.
    pub jobs: Vec<LoadJob>,
}

impl LoadPlan {
    /// Draws the jobs of a time span. `burst` returns the factor on the rate of a class at
    /// a time.
    pub fn draw(
        seed: u64,
        classes: Vec<LoadClass>,
        begin: MonotonicTime,
        end: MonotonicTime,
        burst: impl Fn(usize, MonotonicTime) -> f64,
    ) -> Self {
        const TIME_STEP: Duration = Duration::from_millis(50);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        let mut at = begin;
        while at < end {
            for (index, class) in classes.iter().enumerate() {
                let expected = class.rate * burst(index, at) * TIME_STEP.as_secs_f64();
                if random.random_bool(expected.min(1.0)) {
                    let job = draw_job(&mut random, class, index, at, jobs.len() as u64);
                    jobs.push(job);
                }
            }
            at = at + TIME_STEP;
        }
        Self { classes, jobs }
    }
}

fn draw_job(
    random: &mut ChaCha8Rng,
    class: &LoadClass,
    index: usize,
    at: MonotonicTime,
    number: u64,
) -> LoadJob {
    // Widths and run times are skewed: many small, few large.
    let skew: f64 = -random.random_range(0.02_f64..1.0).ln();
    let width = (class.width * skew)
        .round()
        .clamp(1.0, f64::from(class.max_width));
    let factor = 1.0 + class.run_time_spread * random.random_range(-1.5..1.5);
    let work = class
        .run_time
        .mul_f64(factor.max(0.2))
        .min(class.max_run_time);
    let error = 1.0 + class.estimate_spread * random.random_range(-1.0..1.0);
    let accelerators = class.accelerators.choose(random).copied().unwrap_or(0);
    let shape = StepShape {
        count: width as u16,
        demand: UnitDemand {
            accelerators,
            ..class.demand
        },
        estimate_ms: work.mul_f64(error.max(0.1)).as_millis() as u64,
        after: Vec::new(),
        is_gang: class.is_gang,
        same_rack: class.is_gang && random.random_bool(class.same_rack_share),
        has_checkpoints: random.random_bool(class.checkpoint_share),
        label: None,
        data_rack: None,
        worker_limit: None,
        is_speculative: false,
        is_long_running: false,
        image: None,
        tail_target_ms: None,
        is_filler: false,
        may_miss: None,
    };
    LoadJob {
        key: JobKey(number * 7_919 + 1),
        class: index,
        at,
        submission: JobSubmission {
            spec: "spec".into(),
            steps: vec![shape],
            schedule: None,
        },
        work,
    }
}
