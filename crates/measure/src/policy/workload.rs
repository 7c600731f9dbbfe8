//! Arrivals and faults of one example, drawn from a seed. Every planner variant
//! receives exactly the same ones.

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::{JobClass, JobPriority, SystemSettings};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Length of a day. Time zero is six in the morning.
pub const DAY: Duration = Duration::from_hours(24);
/// Part of a day in which people work, from time zero.
const WORKING_HOURS: Duration = Duration::from_hours(12);
/// Time after the working hours in which overnight batches arrive.
const BATCH_WINDOW: Duration = Duration::from_hours(2);
/// Share of arrivals within their usual part of the day.
const USUAL_SHARE: f64 = 0.8;
/// Largest factor between declared and real run times, in both directions.
const DECLARED_ERROR: f64 = 10.0;
/// Spread of real run times of one customer and class around their own mean.
const RUN_SPREAD: f64 = 0.3;
/// Real run times stay within these bounds.
const SHORTEST_RUN: Duration = Duration::from_secs(5);
const LONGEST_RUN: Duration = Duration::from_hours(6);
/// Share of jobs that fail wherever they run.
const FAILING_SHARE: f64 = 0.01;
/// Share of jobs whose tasks are larger than any worker.
const TOO_LARGE_SHARE: f64 = 0.01;
/// Accelerators of a task that no worker can hold.
const TOO_LARGE: u32 = 63;
/// Class of the jobs that no worker can hold.
const TOO_LARGE_CLASS: &str = "too-large";
/// Largest burst of urgent jobs.
const URGENT_BURST: u32 = 8;
/// Jobs per day and zone of each class that needs no accelerator.
const PLAIN_JOBS_PER_DAY: f64 = 40.0;
/// Weight of a zone where the customer's guarantee holds the job, against one.
const GUARANTEED_ZONE_WEIGHT: f64 = 3.0;
/// Times of day of the cancel waves.
const CANCEL_TIMES: [Duration; 3] = [
    Duration::from_hours(4),
    Duration::from_hours(9),
    Duration::from_hours(15),
];
/// A wave cancels jobs that arrived within this time before it.
const CANCEL_WINDOW: Duration = Duration::from_hours(3);
/// Share of such jobs of one customer that a wave cancels.
const CANCEL_SHARE: f64 = 0.4;
/// Time for which a crashed worker is away.
const CRASH_TIME: Duration = Duration::from_mins(10);
/// Time for which a faulty worker fails all it starts.
const FAULTY_TIME: Duration = Duration::from_hours(1);

/// Sizes of jobs by the accelerators of the whole gang.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SizeClass {
    /// No accelerator.
    Plain,
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
        Self::Plain,
        Self::Small,
        Self::Medium,
        Self::Large,
        Self::Huge,
    ];

    /// Size of a gang.
    pub const fn of(accelerators: u32) -> Self {
        match accelerators {
            0 => Self::Plain,
            1..=2 => Self::Small,
            3..=8 => Self::Medium,
            9..=16 => Self::Large,
            _ => Self::Huge,
        }
    }

    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Plain => "0",
            Self::Small => "1-2",
            Self::Medium => "3-8",
            Self::Large => "9-16",
            Self::Huge => "17-32",
        }
    }

    /// Share of the offered accelerator time.
    const fn work_share(self) -> f64 {
        match self {
            Self::Plain => 0.0,
            Self::Small => 0.02,
            Self::Medium | Self::Large => 0.28,
            Self::Huge => 0.42,
        }
    }
}

/// One job that arrives.
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
    /// Whether every attempt fails at once.
    pub fails: bool,
    /// Whether no worker could ever hold one of its tasks.
    pub is_too_large: bool,
    /// When its caller gives up, if it has not ended by then.
    pub cancel_at: Option<MonotonicTime>,
}

impl JobArrival {
    /// Whether it can finish.
    pub const fn can_run(&self) -> bool {
        !self.fails && !self.is_too_large
    }
}

/// What goes wrong with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerFaultKind {
    /// It is gone with all its tasks, and comes back empty.
    Crash,
    /// It fails every task that it starts.
    FailsAll,
}

/// One fault of a worker.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    /// Zone of the worker.
    pub zone: ZoneName,
    /// Index of the worker in its zone.
    pub worker: u32,
    /// What goes wrong.
    pub kind: WorkerFaultKind,
    /// From when.
    pub from: MonotonicTime,
    /// Until when.
    pub until: MonotonicTime,
}

/// Everything that happens to one example.
#[derive(Clone, Debug, Default)]
pub struct PolicyWorkload {
    /// Jobs in the order of arrival.
    pub arrivals: Vec<JobArrival>,
    /// Faults of workers.
    pub faults: Vec<WorkerFault>,
}

/// Draws a workload whose real accelerator time is `load` times the capacity.
#[derive(Debug)]
struct WorkloadDraw<'a> {
    settings: &'a SystemSettings,
    load: f64,
    days: u32,
    random: ChaCha8Rng,
    /// Apart from the other draws, so that every load has the same biases.
    biases: ChaCha8Rng,
}

/// Adds the class of the jobs that no worker can hold. The check of a folder
/// refuses such a class, but a zone may shrink after the check.
pub fn add_too_large_class(settings: &mut SystemSettings) {
    let Some(class) = settings.classes.values().next() else {
        return;
    };
    let class = JobClass {
        customer: None,
        tasks: 1,
        accelerators: TOO_LARGE,
        priority: JobPriority::Normal,
        ..class.clone()
    };
    settings
        .classes
        .insert(ClassName::from(TOO_LARGE_CLASS), class);
}

/// Draws arrivals and faults. The settings are those of the folder, without the
/// class of jobs that are too large.
pub fn draw_workload(settings: &SystemSettings, load: f64, days: u32, seed: u64) -> PolicyWorkload {
    let mut draw = WorkloadDraw {
        settings,
        load,
        days,
        random: ChaCha8Rng::seed_from_u64(seed),
        biases: ChaCha8Rng::seed_from_u64(seed),
    };
    let mut arrivals = draw.arrivals();
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = JobId::from(format!("job-{index:06}"));
    }
    draw.cancel(&mut arrivals);
    let faults = draw.faults();
    PolicyWorkload { arrivals, faults }
}

impl WorkloadDraw<'_> {
    fn arrivals(&mut self) -> Vec<JobArrival> {
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
                self.add_kind(name, class, customer, share, &mut arrivals);
            }
        }
        arrivals
    }

    /// Adds the jobs of one customer and class.
    fn add_kind(
        &mut self,
        name: &ClassName,
        class: &JobClass,
        customer: &CustomerName,
        share: f64,
        arrivals: &mut Vec<JobArrival>,
    ) {
        let bias = DECLARED_ERROR.powf(self.biases.random_range(-1.0..1.0));
        let mean = clamp_run(class.run_time.mul_f64(bias));
        let count = self.job_count(class, mean, share);
        let mut left = count;
        while left > 0 {
            let burst = match class.priority {
                JobPriority::Urgent => self.random.random_range(1..=URGENT_BURST).min(left),
                _ => 1,
            };
            left -= burst;
            let at = self.arrival_time(class.priority);
            for _ in 0..burst {
                let arrival = self.job(name, class, customer, mean, at);
                arrivals.push(arrival);
            }
        }
    }

    fn job(
        &mut self,
        name: &ClassName,
        class: &JobClass,
        customer: &CustomerName,
        mean: Duration,
        at: MonotonicTime,
    ) -> JobArrival {
        let spread = self.random.random_range(1.0 - RUN_SPREAD..1.0 + RUN_SPREAD);
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
            zone: self.home_zone(customer, class),
            run_time: clamp_run(mean.mul_f64(spread)),
            fails: self.random.random_bool(FAILING_SHARE),
            is_too_large,
            cancel_at: None,
        }
    }

    /// Jobs of one kind whose work makes up its share of the load.
    fn job_count(&self, class: &JobClass, mean: Duration, share: f64) -> u32 {
        let gang = class.tasks * class.accelerators;
        let days = f64::from(self.days);
        let size = SizeClass::of(gang);
        if size == SizeClass::Plain {
            let zones = self.settings.zones.len() as f64;
            return (PLAIN_JOBS_PER_DAY * zones * days * share).round() as u32;
        }
        let classes = self.settings.classes.values();
        let same_size = classes
            .filter(|other| SizeClass::of(other.tasks * other.accelerators) == size)
            .count();
        let capacity = f64::from(capacity(self.settings)) * DAY.as_secs_f64() * days;
        let work = capacity * self.load * size.work_share() * share / same_size as f64;
        (work / (f64::from(gang) * mean.as_secs_f64())).round() as u32
    }

    fn arrival_time(&mut self, priority: JobPriority) -> MonotonicTime {
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

    /// Prefers zones in which a guaranteed block of the customer holds the gang.
    fn home_zone(&mut self, customer: &CustomerName, class: &JobClass) -> ZoneName {
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

    fn cancel(&mut self, arrivals: &mut [JobArrival]) {
        let customers: Vec<&CustomerName> = self.settings.customers.keys().collect();
        for day in 0..self.days {
            for time in CANCEL_TIMES {
                let wave = MonotonicTime::default() + DAY * day + time;
                let chosen = customers.choose(&mut self.random);
                let customer = *chosen.expect("a checked folder has customers");
                for arrival in arrivals.iter_mut() {
                    let recent = arrival.at <= wave && arrival.at + CANCEL_WINDOW > wave;
                    let hit = recent && arrival.customer == *customer;
                    if hit && self.random.random_bool(CANCEL_SHARE) {
                        arrival.cancel_at = Some(wave);
                    }
                }
            }
        }
    }

    /// One crash and one faulty worker per zone and day.
    fn faults(&mut self) -> Vec<WorkerFault> {
        let mut faults = Vec::new();
        let kinds = [
            (WorkerFaultKind::Crash, CRASH_TIME),
            (WorkerFaultKind::FailsAll, FAULTY_TIME),
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

/// Accelerators of all zones.
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

fn clamp_run(run: Duration) -> Duration {
    run.clamp(SHORTEST_RUN, LONGEST_RUN)
}
