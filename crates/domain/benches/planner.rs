//! Time of one planning pass in a full pool, by the number of workers and of waiting groups, and
//! of one dry run.

#![allow(
    missing_docs,
    reason = "the macros of criterion generate undocumented public functions"
)]

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{HostAction, WorkerOrder};
use flamingowalk_domain::process::event::{RunningUnit, WorkerAnswer, WorkerListing};
use flamingowalk_domain::process::planner::explain::explain_job;
use flamingowalk_domain::process::planner::state::PlanContext;
use flamingowalk_domain::process::planner::{PlanLimits, PlannerState};
use flamingowalk_domain::process::record::{AcceptedJob, RunTimesRecord, SpeedRecord, SpeedRow};
use flamingowalk_domain::process::stream::AppendedAt;
use flamingowalk_domain::process::worker_report::WorkerReport;
use flamingowalk_domain::request::submission::{JobSubmission, StepShape, UnitDemand};
use flamingowalk_domain::version::manifest::{DomainManifest, QueueSettings, ServiceSettings};

const START: MonotonicTime = MonotonicTime::from_secs(1_000);
/// Wall clock of the host in milliseconds.
const WALL: u64 = 1_790_000_000_000;
const WORKERS_PER_RACK: usize = 20;
/// Queues by priority: small urgent gangs, wide gangs, and wide steps of single units.
const QUEUES: [&str; 3] = ["urgent", "gang", "batch"];

/// A planner with the workers that it talks to; workers answer at once and runs never end.
#[derive(Clone)]
struct FullPool {
    planner: PlannerState,
    manifest: Arc<DomainManifest>,
    running: BTreeMap<WorkerName, BTreeMap<UnitKey, RunNumber>>,
    now: MonotonicTime,
    last_ticket: u64,
    appended: u64,
}

impl FullPool {
    fn new(workers: usize) -> Self {
        let manifest = Arc::new(manifest());
        let planner = PlannerState::new(
            LeaderEpoch(1),
            "host".into(),
            PlanLimits::default(),
            Arc::clone(&manifest),
            START,
            START,
        );
        let mut pool = Self {
            planner,
            manifest,
            running: BTreeMap::new(),
            now: START,
            last_ticket: 0,
            appended: 0,
        };
        for index in 0..workers {
            let report = Arc::new(report(index));
            pool.act(|planner, context| {
                planner.apply_report(context, &report.name.clone(), Some(report), None);
            });
        }
        pool.settle();
        pool
    }

    /// Calls the planner and returns the resulting actions.
    fn act(
        &mut self,
        call: impl FnOnce(&mut PlannerState, &mut PlanContext<'_>),
    ) -> Vec<HostAction> {
        // Nothing starts before the planner has read the operator's orders recently.
        self.planner.confirm_orders(Some(self.now));
        let mut actions = Vec::new();
        let mut context = PlanContext {
            now: self.now,
            wall: WallTime(WALL),
            last_ticket: &mut self.last_ticket,
            actions: &mut actions,
        };
        call(&mut self.planner, &mut context);
        actions
    }

    /// Answers the planner's calls until it makes no more. Long polls stay pending.
    fn settle(&mut self) {
        let mut open = Vec::new();
        for _ in 0..200 {
            self.now = self.now + Duration::from_millis(25);
            open.extend(self.act(|planner, context| {
                planner.tick(context);
                planner.flush(context);
            }));
            if open.is_empty() {
                return;
            }
            for action in std::mem::take(&mut open) {
                self.answer(&action);
            }
        }
    }

    fn answer(&mut self, action: &HostAction) {
        match action {
            HostAction::Append { ticket, order, .. } => {
                let first = StreamOffset(self.appended);
                self.appended += order.records.len() as u64;
                let next = StreamOffset(self.appended);
                let result = Ok(AppendedAt { first, next });
                self.act(|planner, context| {
                    planner.handle_append_result(context, *ticket, &result);
                });
            }
            HostAction::Worker(call) => {
                let clock = WorkerClock(self.now.since(START).as_millis() as u64);
                let runs = self.running.entry(call.worker.clone()).or_default();
                let answer = match &call.order {
                    WorkerOrder::Start(start) => {
                        runs.insert(start.unit, start.run);
                        WorkerAnswer::Done { clock }
                    }
                    WorkerOrder::Stop { unit, .. } => {
                        runs.remove(unit);
                        WorkerAnswer::Done { clock }
                    }
                    WorkerOrder::Poll(poll) if !poll.wait.is_zero() => return,
                    WorkerOrder::Poll(_) => WorkerAnswer::Listed(listing(clock, runs)),
                };
                self.act(|planner, context| {
                    planner.handle_worker_answer(context, call.ticket, Ok(answer));
                });
            }
            _ => {}
        }
    }

    /// Gives the workers speeds of 0.6, 1.0 and 1.6 in turn, as if an earlier planner had
    /// learned them.
    fn restore_speeds(&mut self, workers: usize) {
        let rows = (0..workers).map(|index| {
            let log = [-51, 0, 47][index % 3];
            SpeedRow(report(index).name, log, 8)
        });
        let records: BTreeMap<u8, SpeedRecord> = [(0, SpeedRecord(WALL, rows.collect()))].into();
        let run_times = RunTimesRecord::default();
        let (now, wall) = (self.now, WallTime(WALL));
        self.act(|planner, _| planner.restore_figures(now, wall, &records, &run_times));
    }

    /// Adds jobs of all queues until the pool is full and about `waiting` groups wait.
    fn fill(&mut self, waiting: usize) {
        let mut number = 0;
        loop {
            for _ in 0..20 {
                number += 1;
                let job = Arc::new(accepted_job(number));
                self.act(|planner, context| planner.add_job(context, JobKey(number), &job));
            }
            if number.is_multiple_of(100) {
                self.settle();
                let steps = self.planner.waiting(self.now);
                let count: usize = steps.iter().map(|step| step.groups.len()).sum();
                if count >= waiting {
                    // A part of the workers is kept free for urgent work.
                    let workers = self.planner.workers();
                    let idle = workers.values().filter(|worker| worker.holdings.is_empty());
                    let idle = idle.count();
                    assert!(idle * 2 < workers.len(), "{idle} workers are idle");
                    return;
                }
            }
        }
    }

    /// Plans once, and returns the number of resulting actions.
    fn pass(&mut self) -> usize {
        self.now = self.now + Duration::from_millis(50);
        let manifest = Arc::clone(&self.manifest);
        let actions = self.act(|planner, context| {
            planner.set_manifest(manifest);
            planner.flush(context);
        });
        assert!(!self.planner.is_pass_due(), "no pass was made");
        actions.len()
    }
}

fn listing(clock: WorkerClock, runs: &BTreeMap<UnitKey, RunNumber>) -> WorkerListing {
    let running = runs.iter().map(|(unit, run)| RunningUnit {
        unit: *unit,
        run: *run,
        saved: None,
        percent: 10,
        load: None,
    });
    WorkerListing {
        incarnation: Some(WorkerIncarnation(1)),
        clock,
        running: running.collect(),
        ended: Vec::new(),
    }
}

fn manifest() -> DomainManifest {
    let mut manifest = DomainManifest {
        version: 1,
        ..DomainManifest::default()
    };
    for (priority, name) in QUEUES.into_iter().enumerate() {
        let queue = QueueSettings {
            host: "jobs.example".into(),
            path_prefix: format!("/{name}/").into(),
            service: "service".into(),
            priority: priority as u8,
            max_attempts: 3,
            stretch: if priority == 0 { 1.5 } else { 3.0 },
            target_latency: Duration::from_secs(1),
            is_public: false,
            advice: None,
        };
        manifest.queues.insert(name.into(), queue);
    }
    let service = ServiceSettings::default();
    manifest.services.insert("service".into(), service);
    manifest
}

fn report(index: usize) -> WorkerReport {
    let rack = format!("rack-{:03}", index / WORKERS_PER_RACK);
    WorkerReport {
        name: format!("worker-{index:05}").into(),
        incarnation: WorkerIncarnation(1),
        service: "service".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: format!("zone-{}", index % 5).into(),
        is_draining: false,
        capacity: UnitDemand {
            cpu_millis: 32_000,
            memory_mb: 131_072,
            accelerators: 8,
        },
        labels: ["a".into(), LabelName::from(rack.as_str())].into(),
        rack: Some(rack.as_str().into()),
        clock: WorkerClock(0),
        remaining: None,
        cold_remaining: Duration::ZERO,
    }
}

/// Returns a job like those of a large deployment, by its number.
fn accepted_job(number: u64) -> AcceptedJob {
    let accelerators = [1, 2, 4, 8, 8][(number % 5) as usize];
    let (priority, count, cpu_millis, memory_mb, accelerators, estimate_ms) = match number % 20 {
        0..10 => (0, 8, 3_700, 20_000, accelerators, 2_500),
        10..14 => (1, 26, 13_000, 38_000, accelerators, 6_800),
        _ => (2, 78, 2_800, 15_000, 1, 9_500),
    };
    let shape = StepShape {
        count,
        demand: UnitDemand {
            cpu_millis,
            memory_mb,
            accelerators,
        },
        estimate_ms,
        after: Vec::new(),
        is_gang: priority < 2,
        same_rack: priority < 2 && number % 10 < 7,
        has_checkpoints: number.is_multiple_of(2),
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
    AcceptedJob {
        queue: QUEUES[priority].into(),
        service: "service".into(),
        customer: None,
        priority: priority as u8,
        max_attempts: 3,
        stretch: if priority == 0 { 1.5 } else { 3.0 },
        target_latency_ms: 1_000,
        accepted_at: WALL,
        submission: JobSubmission {
            spec: "spec".into(),
            steps: vec![shape],
            schedule: None,
        },
    }
}

fn bench_pass(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pass");
    group.sample_size(20);
    for (workers, waiting) in [(48, 200), (350, 600), (1_100, 2_000), (2_200, 4_000)] {
        for (name, has_speeds) in [("full-pool", false), ("three-speeds", true)] {
            let mut pool = FullPool::new(workers);
            if has_speeds {
                pool.restore_speeds(workers);
            }
            pool.fill(waiting);
            let id = BenchmarkId::new(name, format!("{workers}-{waiting}"));
            group.bench_function(id, |bencher| {
                bencher.iter_batched_ref(
                    || pool.clone(),
                    |pool| black_box(pool.pass()),
                    BatchSize::PerIteration,
                );
            });
        }
    }
    group.finish();
}

/// Measures a dry run, which copies the planner's state and makes the decisions of a pass.
fn bench_dry_run(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dry-run");
    group.sample_size(20);
    let (workers, waiting) = (1_100, 2_000);
    let mut pool = FullPool::new(workers);
    pool.restore_speeds(workers);
    pool.fill(waiting);
    // The last in the order, so that all groups come before it.
    let job = accepted_job(19);
    group.bench_function("three-speeds/1100-2000", |bencher| {
        bencher.iter(|| {
            let explained = explain_job(&pool.planner, pool.now, WallTime(WALL), job.clone());
            black_box(explained)
        });
    });
    group.finish();
}

criterion_group!(planner, bench_pass, bench_dry_run);
criterion_main!(planner);
