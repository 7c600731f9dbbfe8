//! Arrivals and faults of one example, drawn from a seed. All planner variants receive the
//! same workload.

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::{JobClass, JobPriority, SystemSettings};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Length of a day. A run starts at six in the morning.
pub const DAY: Duration = Duration::from_hours(24);
/// Working hours, from the start of a day of the run.
const WORKING_HOURS: Duration = Duration::from_hours(12);
/// Time after the working hours within which overnight batch jobs arrive.
const BATCH_WINDOW: Duration = Duration::from_hours(2);
/// Share of jobs that arrive in the usual part of the day for their priority.
const USUAL_SHARE: f64 = 0.8;
/// Largest factor between declared and real run time, in both directions.
const MAX_DECLARED_TIME_FACTOR: f64 = 10.0;
/// Relative spread of the real run times of a customer and class around their mean.
const RUN_TIME_SPREAD: f64 = 0.3;
/// Lower bound on real run times.
const MIN_RUN_TIME: Duration = Duration::from_secs(5);
/// Upper bound on real run times.
const MAX_RUN_TIME: Duration = Duration::from_hours(6);
/// Share of jobs that fail on every worker.
const FAILING_SHARE: f64 = 0.01;
/// Share of jobs whose tasks are larger than any worker.
const TOO_LARGE_SHARE: f64 = 0.01;
/// Accelerators of a task that no worker can hold.
const TOO_LARGE_ACCELERATORS: u32 = 63;
/// Job class of the tasks that no worker can hold.
const TOO_LARGE_CLASS: &str = "too-large";
/// Most urgent jobs that arrive at the same time.
const MAX_URGENT_BURST: u32 = 8;
/// Jobs per day and zone of each class that needs no accelerators.
const CPU_ONLY_JOBS_PER_DAY: f64 = 40.0;
/// Weight of a home zone in which a guaranteed block of the customer holds the job; other
/// zones have weight one.
const GUARANTEED_ZONE_WEIGHT: f64 = 3.0;
/// Times after the start of a day at which a customer cancels many jobs.
const CANCEL_TIMES: [Duration; 3] = [
    Duration::from_hours(4),
    Duration::from_hours(9),
    Duration::from_hours(15),
];
/// A cancellation affects jobs that arrived within this time before it.
const CANCEL_WINDOW: Duration = Duration::from_hours(3);
/// Share of the customer's recent jobs that are cancelled.
const CANCEL_SHARE: f64 = 0.4;
/// Time for which a crashed worker is unavailable.
const CRASH_DURATION: Duration = Duration::from_mins(10);
/// Time for which a faulty worker fails every task.
const FAULTY_DURATION: Duration = Duration::from_hours(1);

/// Size of a job by the accelerators of the whole gang.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SizeClass {
    /// No accelerator.
    CpuOnly,
    /// One or two accelerators.
    Small,
    /// Three to eight accelerators.
    Medium,
    /// Nine to sixteen accelerators.
    Large,
    /// More than sixteen accelerators.
    Huge,
}

impl SizeClass {
    /// All sizes in ascending order.
    pub const ALL: [Self; 5] = [
        Self::CpuOnly,
        Self::Small,
        Self::Medium,
        Self::Large,
        Self::Huge,
    ];

    /// Returns the size of a gang.
    pub const fn of(accelerators: u32) -> Self {
        match accelerators {
            0 => Self::CpuOnly,
            1..=2 => Self::Small,
            3..=8 => Self::Medium,
            9..=16 => Self::Large,
            _ => Self::Huge,
        }
    }

    /// Returns the name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::CpuOnly => "0",
            Self::Small => "1-2",
            Self::Medium => "3-8",
            Self::Large => "9-16",
            Self::Huge => "17-32",
        }
    }

    /// Returns the share of the offered accelerator time.
    const fn work_share(self) -> f64 {
        match self {
            Self::CpuOnly => 0.0,
            Self::Small => 0.02,
            Self::Medium | Self::Large => 0.28,
            Self::Huge => 0.42,
        }
    }
}

/// Job that arrives.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// Identifier, unique in the workload.
    pub id: JobId,
    /// Time of its acceptance.
    pub at: MonotonicTime,
    /// Customer.
    pub customer: CustomerName,
    /// Class.
    pub class: ClassName,
    /// Accelerators of the whole gang.
    pub accelerators: u32,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Home zone.
    pub zone: ZoneName,
    /// Real run time.
    pub run_time: Duration,
    /// Whether every attempt fails immediately.
    pub fails: bool,
    /// Whether no worker could ever hold one of its tasks.
    pub is_too_large: bool,
    /// Time at which the caller cancels the job if it has not ended by then.
    pub cancel_at: Option<MonotonicTime>,
}

impl JobArrival {
    /// Returns whether the job can finish.
    pub const fn can_run(&self) -> bool {
        !self.fails && !self.is_too_large
    }
}

/// Kind of a worker fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerFaultKind {
    /// The worker is lost with all its tasks and restarts empty.
    Crash,
    /// The worker fails every task that it starts.
    FailsAll,
}

/// Fault of a worker.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// Zone of the worker.
    pub zone: ZoneName,
    /// Index of the worker in its zone.
    pub worker: u32,
    /// Kind of the fault.
    pub kind: WorkerFaultKind,
    /// Start of the fault.
    pub from: MonotonicTime,
    /// End of the fault.
    pub until: MonotonicTime,
}

/// Arrivals and faults of one example.
#[derive(Clone, Debug, Default)]
pub struct PolicyWorkload {
    /// Jobs in the order of arrival.
    pub arrivals: Vec<JobArrival>,
    /// Faults of workers.
    pub faults: Vec<WorkerFault>,
}

/// Generator of a workload whose real accelerator time is `load` times the capacity.
#[derive(Debug)]
struct WorkloadDraw<'a> {
    settings: &'a SystemSettings,
    load: f64,
    days: u32,
    random: ChaCha8Rng,
    /// Generator of the ratios between real and declared run times. It is separate from
    /// `random`, so that the ratios are the same at every load.
    biases: ChaCha8Rng,
}

/// Adds the job class that no worker can hold. The folder check rejects such a class, but a
/// class becomes too large if its zone shrinks after the check.
pub fn add_too_large_class(settings: &mut SystemSettings) {
    let Some(class) = settings.classes.values().next() else {
        return;
    };
    let class = JobClass {
        customer: None,
        tasks: 1,
        accelerators: TOO_LARGE_ACCELERATORS,
        priority: JobPriority::Normal,
        ..class.clone()
    };
    settings
        .classes
        .insert(ClassName::from(TOO_LARGE_CLASS), class);
}

/// Draws arrivals and faults. `settings` must not contain the class added by
/// [`add_too_large_class`].
pub fn draw_workload(settings: &SystemSettings, load: f64, days: u32, seed: u64) -> PolicyWorkload {
    let mut draw = WorkloadDraw {
        settings,
        load,
        days,
        random: ChaCha8Rng::seed_from_u64(seed),
        biases: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut arrivals = draw.draw_arrivals();
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = JobId::from(format!("job-{index:06}"));
    }
    draw.assign_cancellations(&mut arrivals);
    let faults = draw.draw_faults();
    PolicyWorkload { arrivals, faults }
}

impl WorkloadDraw<'_> {
    fn draw_arrivals(&mut self) -> Vec<JobArrival> {
        let mut arrivals = Vec::new();
        let settings = self.settings;
        for (name, class) in &settings.classes {
            let customers = customers_of(settings, class);
            let weights: u32 = customers
                .iter()
                .map(|customer| settings.customers[customer].weight)
                .sum();
            for customer in &customers {
                let share = f64::from(settings.customers[customer].weight) / f64::from(weights);
                self.add_jobs(name, class, customer, share, &mut arrivals);
            }
        }
        arrivals
    }

    /// Adds the jobs of one customer and class. `share` is the customer's part of the class.
    fn add_jobs(
        &mut self,
        name: &ClassName,
        class: &JobClass,
        customer: &CustomerName,
        share: f64,
        arrivals: &mut Vec<JobArrival>,
    ) {
        let bias = MAX_DECLARED_TIME_FACTOR.powf(self.biases.random_range(-1.0..1.0));
        let mean = clamp_run_time(class.run_time.mul_f64(bias));
        let count = self.job_count(class, mean, share);
        let mut left = count;
        while left > 0 {
            let burst = match class.priority {
                JobPriority::Urgent => self.random.random_range(1..=MAX_URGENT_BURST).min(left),
                _ => 1,
            };
            left -= burst;
            let at = self.draw_arrival_time(class.priority);
            for _ in 0..burst {
                let arrival = self.draw_job(name, class, customer, mean, at);
                arrivals.push(arrival);
            }
        }
    }

    fn draw_job(
        &mut self,
        name: &ClassName,
        class: &JobClass,
        customer: &CustomerName,
        mean: Duration,
        at: MonotonicTime,
    ) -> JobArrival {
        let spread = self
            .random
            .random_range(1.0 - RUN_TIME_SPREAD..1.0 + RUN_TIME_SPREAD);
        let is_too_large = self.random.random_bool(TOO_LARGE_SHARE);
        JobArrival {
            id: JobId::from(""),
            at,
            customer: customer.clone(),
            class: if is_too_large {
                ClassName::from(TOO_LARGE_CLASS)
            } else {
                name.clone()
            },
            accelerators: class.tasks * class.accelerators,
            urgent: class.priority == JobPriority::Urgent,
            zone: self.draw_home_zone(customer, class),
            run_time: clamp_run_time(mean.mul_f64(spread)),
            fails: self.random.random_bool(FAILING_SHARE),
            is_too_large,
            cancel_at: None,
        }
    }

    /// Returns the number of jobs of a customer and class whose work adds up to their share
    /// of the load.
    fn job_count(&self, class: &JobClass, mean: Duration, share: f64) -> u32 {
        let gang = class.tasks * class.accelerators;
        let days = f64::from(self.days);
        let size = SizeClass::of(gang);
        if size == SizeClass::CpuOnly {
            let zones = self.settings.zones.len() as f64;
            return (CPU_ONLY_JOBS_PER_DAY * zones * days * share).round() as u32;
        }
        let classes = self.settings.classes.values();
        let same_size = classes
            .filter(|other| SizeClass::of(other.tasks * other.accelerators) == size)
            .count();
        let capacity = f64::from(capacity(self.settings)) * DAY.as_secs_f64() * days;
        let work = capacity * self.load * size.work_share() * share / same_size as f64;
        (work / (f64::from(gang) * mean.as_secs_f64())).round() as u32
    }

    fn draw_arrival_time(&mut self, priority: JobPriority) -> MonotonicTime {
        let day = DAY * self.random.random_range(0..self.days);
        let usual = self.random.random_bool(USUAL_SHARE);
        let (from, length) = match (priority, usual) {
            (_, false) => (Duration::ZERO, DAY),
            (JobPriority::Batch, true) => (WORKING_HOURS, BATCH_WINDOW),
            (_, true) => (Duration::ZERO, WORKING_HOURS),
        };
        let within = length.mul_f64(self.random.random_range(0.0..1.0));
        MonotonicTime::default() + day + from + within
    }

    /// Draws a home zone, preferring zones in which a guaranteed block of the customer holds
    /// the gang.
    fn draw_home_zone(&mut self, customer: &CustomerName, class: &JobClass) -> ZoneName {
        let gang = class.tasks * class.accelerators;
        let shapes = &self.settings.customers[customer].guarantees;
        let zones: Vec<&ZoneName> = self.settings.zones.keys().collect();
        let weight = |zone: &&ZoneName| {
            let holds = shapes.iter().any(|s| s.zone == **zone && s.size >= gang);
            if holds && gang > 0 {
                GUARANTEED_ZONE_WEIGHT
            } else {
                1.0
            }
        };
        let zone = zones.choose_weighted(&mut self.random, weight);
        (*zone.expect("a checked folder has zones")).clone()
    }

    fn assign_cancellations(&mut self, arrivals: &mut [JobArrival]) {
        let customers: Vec<&CustomerName> = self.settings.customers.keys().collect();
        for day in 0..self.days {
            for time in CANCEL_TIMES {
                let cancel_at = MonotonicTime::default() + DAY * day + time;
                let chosen = customers.choose(&mut self.random);
                let customer = *chosen.expect("a checked folder has customers");
                for arrival in arrivals.iter_mut() {
                    let recent = arrival.at <= cancel_at && arrival.at + CANCEL_WINDOW > cancel_at;
                    let is_affected = recent && arrival.customer == *customer;
                    if is_affected && self.random.random_bool(CANCEL_SHARE) {
                        arrival.cancel_at = Some(cancel_at);
                    }
                }
            }
        }
    }

    /// Draws one crashed and one faulty worker per zone and day.
    fn draw_faults(&mut self) -> Vec<WorkerFault> {
        let mut faults = Vec::new();
        let kinds = [
            (WorkerFaultKind::Crash, CRASH_DURATION),
            (WorkerFaultKind::FailsAll, FAULTY_DURATION),
        ];
        for (name, zone) in &self.settings.zones {
            for day in 0..self.days {
                for (kind, length) in kinds {
                    let from = DAY * day + DAY.mul_f64(self.random.random_range(0.0..0.9));
                    faults.push(WorkerFault {
                        zone: name.clone(),
                        worker: self
                            .random
                            .random_range(0..zone.racks * zone.workers_per_rack),
                        kind,
                        from: MonotonicTime::default() + from,
                        until: MonotonicTime::default() + from + length,
                    });
                }
            }
        }
        faults
    }
}

/// Returns the number of accelerators of all zones.
pub fn capacity(settings: &SystemSettings) -> u32 {
    let zones = settings.zones.values();
    zones
        .map(|zone| zone.racks * zone.workers_per_rack * zone.accelerators_per_worker)
        .sum()
}

fn customers_of(settings: &SystemSettings, class: &JobClass) -> Vec<CustomerName> {
    match &class.customer {
        Some(customer) => vec![customer.clone()],
        None => settings.customers.keys().cloned().collect(),
    }
}

fn clamp_run_time(run: Duration) -> Duration {
    run.clamp(MIN_RUN_TIME, MAX_RUN_TIME)
}
