//! A client that misbehaves submits one small request for a job with many tiny units.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::worker::Worker;
use crate::world::{PREFIX, World};

const LASTING_JOB: &str = "00000000000000f1";
const WIDE_JOB: &str = "00000000000000f2";
const LASTING_UNITS: usize = 3;
const SMALL_JOBS: usize = 10;
const JOB_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the end of the traffic from which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may then have nothing running.
const IDLE: Duration = Duration::from_secs(3);
/// From its last run on, a unit that lasts has this long to run again: 6 s, and 3 s more.
const LASTING_BOUND: Duration = Duration::from_secs(9);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("stall", folder);
    let workers: Vec<Arc<Worker>> = (0..12).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    let lasting = format!(
        r#"{{"spec":"lasts","steps":[{{"count":{LASTING_UNITS},"cpu":4000,"mem-mb":1024,"gpu":1,"estimate-ms":5000,"long-running":true}}]}}"#
    );
    if !world.submit(LASTING_JOB, &lasting) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let unit = |index: usize| format!("{LASTING_JOB}.0.0.{index}");
    let is_at_work = |unit: &str| workers.iter().any(|worker| worker.running().contains(unit));
    if !(0..LASTING_UNITS).all(|index| is_at_work(&unit(index))) {
        return 2;
    }
    if trouble {
        let step = r#"{"count":10000,"cpu":1,"estimate-ms":1000}"#;
        let body = format!(r#"{{"spec":"ms=1000","steps":[{step},{step},{step},{step}]}}"#);
        world.record.line(&format!("one request of {} bytes follows", body.len()));
        let _ = world.request(0, "POST", &format!("{PREFIX}{WIDE_JOB}"), &body);
    }
    let small = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem-mb":100,"gpu":1,"estimate-ms":500}]}"#;
    let mut jobs = Vec::new();
    let mut next_job = Instant::now();
    let mut traffic_end = world.record.elapsed();
    let mut missing_since = [None; LASTING_UNITS];
    let mut longest = Duration::ZERO;
    let mut lost = Vec::new();
    while world.record.elapsed() < traffic_end + FINISH + IDLE {
        if jobs.len() < SMALL_JOBS && Instant::now() >= next_job {
            next_job = Instant::now() + JOB_INTERVAL;
            let id = format!("{:016x}", 0xa000 + jobs.len());
            if !world.submit(&id, small) {
                world.record.line("no host accepts a job for 10 s");
                break;
            }
            jobs.push(id);
            traffic_end = world.record.elapsed();
        }
        std::thread::sleep(Duration::from_millis(50));
        let now = world.record.elapsed();
        for (index, since) in missing_since.iter_mut().enumerate() {
            if is_at_work(&unit(index)) {
                *since = None;
            } else {
                longest = longest.max(now - *since.get_or_insert(now));
            }
        }
    }
    let spans = world.spans.lock().expect("usable").clone();
    for id in &jobs {
        if !spans.iter().any(|span| span.unit.starts_with(id.as_str())) {
            lost.push(id.clone());
            let _ = world.request(0, "GET", &format!("{PREFIX}{id}"), "");
        }
    }
    let wide = spans.iter().filter(|span| span.unit.starts_with(WIDE_JOB)).count();
    let lapsed = spans.iter().filter(|span| {
        span.unit.starts_with(LASTING_JOB) && span.ended.as_ref().is_some_and(|end| end.1 == "lapsed")
    });
    world.record.line(&format!(
        "small jobs that never began: {} of {}; runs of the wide job: {wide}; units that last lapsed: {}; longest time without one of them: {:.1} s; planners: {}",
        lost.len(),
        jobs.len(),
        lapsed.count(),
        longest.as_secs_f64(),
        world.log.end("keyed.seat")
    ));
    let is_lost = !lost.is_empty() || longest > LASTING_BOUND || jobs.len() < SMALL_JOBS;
    if is_lost {
        world.record.line("RULE LOST: accepted jobs have nothing running though the workers are idle");
    }
    drop(workers);
    i32::from(is_lost)
}
