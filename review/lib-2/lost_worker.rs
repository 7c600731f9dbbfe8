//! A worker with a unit that lasts is lost for good while small jobs come.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::worker::Worker;
use crate::world::World;

const JOB: &str = "00000000000000d1";
const UNIT: &str = "00000000000000d1.0.0.0";
const WORKERS: usize = 8;
/// From its last run on, a unit that lasts has this long to run again: 6 s, and 3 s more.
const BOUND: Duration = Duration::from_secs(9);
/// Time between two small jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(1_800);
const WATCHED: Duration = Duration::from_secs(25);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("lost-worker", folder);
    let workers: Vec<Arc<Worker>> = (0..WORKERS).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    let body = r#"{"spec":"lasts","steps":[{"count":1,"cpu":4000,"mem-mb":1024,"gpu":1,"estimate-ms":5000,"long-running":true}]}"#;
    if !world.submit(JOB, body) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some(holder) = workers.iter().find(|worker| worker.running().contains(UNIT)) else {
        return 2;
    };
    let small = r#"{"spec":"ms=300","steps":[{"count":1,"cpu":1000,"mem-mb":100,"gpu":1,"estimate-ms":300}]}"#;
    // Small jobs come all the time; the worker is lost shortly after one of them has ended.
    let mut number = 0;
    let submit = |number: &mut usize| {
        *number += 1;
        world.submit(&format!("{:016x}", 0xe000 + *number), small)
    };
    for _ in 0..3 {
        if !submit(&mut number) {
            return 2;
        }
        std::thread::sleep(JOB_INTERVAL);
    }
    if !submit(&mut number) {
        return 2;
    }
    let mut next_job = Instant::now() + JOB_INTERVAL + Duration::from_millis(600);
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        holder.crash();
    }
    let lost_at = world.record.elapsed();
    let mut missing_since = None;
    let mut longest = Duration::ZERO;
    while world.record.elapsed() < lost_at + WATCHED {
        if Instant::now() >= next_job {
            next_job += JOB_INTERVAL;
            if !submit(&mut number) {
                return 2;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
        let now = world.record.elapsed();
        if workers.iter().any(|worker| worker.running().contains(UNIT)) {
            missing_since = None;
        } else {
            longest = longest.max(now - *missing_since.get_or_insert(now));
        }
    }
    world.record.line(&format!("longest time without a run of {UNIT}: {:.2} s", longest.as_secs_f64()));
    if world.has_lost_host() {
        return 1;
    }
    if longest > BOUND {
        world.record.line("RULE LOST: a unit that lasts has not run for over 9 s");
    }
    i32::from(longest > BOUND)
}
