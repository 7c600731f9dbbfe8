//! Calls for the upkeep of machines get no answer and are carried out late, while a wave runs.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::machines::{CallFate, Machines, Wave};
use crate::worker::{Worker, WorkerPlace};
use crate::world::{LEASE_MS, World};

const JOB: &str = "00000000000000b1";
const MACHINES: usize = 10;
const UNITS: usize = 6;
const CAP: usize = 1;
/// Units of the job that may be away through planned work (`may-miss`).
const MAY_MISS: usize = 1;
/// Length of the disruption, from the first order on.
const TROUBLE: Duration = Duration::from_millis(5_500);
/// How late the calls without an answer are carried out.
const LATE: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(75);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("upkeep", folder);
    let workers: Vec<Arc<Worker>> = (0..MACHINES).map(|number| world.start_worker(number)).collect();
    let lives = AtomicUsize::new(MACHINES);
    let (log, record, spans) = (world.log.writer(), Arc::clone(&world.record), Arc::clone(&world.spans));
    let start_life = move |machine: &str| {
        let number: usize = machine.trim_start_matches("m-").parse().unwrap_or(0);
        let zones = ["zone-a", "zone-b", "zone-c"];
        let place = WorkerPlace {
            id: format!("i-{:04}", lives.fetch_add(1, Ordering::Relaxed)),
            machine: machine.to_owned(),
            zone: zones[number % zones.len()].to_owned(),
            rack: format!("r1-{}", number / 8),
            lease_limit: LEASE_MS,
        };
        Worker::start(place, log.clone(), Arc::clone(&record), Arc::clone(&spans))
    };
    let first = Mutex::new(None);
    let calls = AtomicUsize::new(0);
    let choose_fate = move |_machine: &str| {
        let first = *first.lock().expect("usable").get_or_insert_with(Instant::now);
        let is_second = calls.fetch_add(1, Ordering::Relaxed) % 2 == 1;
        if trouble && first.elapsed() < TROUBLE && !is_second {
            CallFate::Late(LATE)
        } else {
            CallFate::Answered
        }
    };
    let record = Arc::clone(&world.record);
    let spans = Arc::clone(&world.spans);
    let unavailable = Arc::new(Mutex::new(0));
    let counted = Arc::clone(&unavailable);
    let before_upkeep = move |worker: &Worker| {
        let running = worker.running();
        if running.is_empty() {
            return;
        }
        let spans = spans.lock().expect("usable");
        let at_work: Vec<_> = spans
            .iter()
            .filter(|span| span.unit.starts_with(JOB) && span.ended.is_none())
            .map(|span| span.unit.clone())
            .collect();
        let away = UNITS.saturating_sub(at_work.len());
        record.line(&format!("upkeep ends {running:?}; {away} other units of the job are away"));
        if away >= MAY_MISS {
            record.line("RULE AVAIL: an upkeep ends a unit beyond may-miss");
            *counted.lock().expect("usable") += 1;
        }
    };
    let (machines, server) = Machines::start(
        &workers,
        Arc::clone(&world.record),
        Box::new(start_life),
        Box::new(choose_fate),
        Box::new(before_upkeep),
    );
    drop(workers);
    world.deployment.machines = Some(server.address);
    if !world.start_hosts(3) {
        return 2;
    }
    let body = format!(
        r#"{{"spec":"lasts","steps":[{{"count":{UNITS},"cpu":4000,"mem-mb":1024,"gpu":1,"estimate-ms":5000,"long-running":true,"anti-affinity":1,"may-miss":{MAY_MISS}}}]}}"#
    );
    if !world.submit(JOB, &body) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(5));
    let names: Vec<String> = (0..MACHINES).map(|number| format!("m-{number:04}")).collect();
    machines.add_wave(Wave { number: 1, machines: names.clone(), cap: CAP });
    let list = names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
    let order = format!(r#"{{"wave":1,"machines":[{list}],"duration-s":60,"cap":{CAP}}}"#);
    world.record.line(&format!("operator writes op/wave/1 {order}"));
    world.log.put("keyed.op", "wave/1", Some(&order));
    let until = Instant::now() + WATCHED;
    let mut is_completed = false;
    while Instant::now() < until && !is_completed {
        std::thread::sleep(Duration::from_millis(100));
        let status = world.log.newest("keyed.status", "wave/1").unwrap_or_default();
        is_completed = status.contains("completed");
    }
    world.record.line(&format!(
        "wave completed: {is_completed}; machines left: {:?}; runs ended by upkeep: {}",
        machines.open_machines(1),
        machines.ended_runs.lock().expect("usable")
    ));
    std::thread::sleep(Duration::from_secs(3));
    if world.has_lost_host() {
        return 1;
    }
    let over = machines.over_limit.lock().expect("usable").len();
    let beyond = *unavailable.lock().expect("usable");
    world.record.line(&format!("LIMIT broken {over} times, AVAIL broken {beyond} times"));
    i32::from(over > 0 || beyond > 0)
}
