//! Every worker serves users with one unit, and a job that fills idle processors comes.

use std::path::Path;
use std::time::Duration;

use crate::world::{PREFIX, World};

const SERVING_JOB: &str = "0000000000000e01";
const FILLING_JOB: &str = "0000000000000e02";
const WORKERS: usize = 8;
/// Time after the end of the traffic from which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may then have nothing running.
const IDLE: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("filler", folder);
    let workers: Vec<_> = (0..WORKERS).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    // Without the disruption one worker of the eight has no such unit.
    let count = if trouble { WORKERS } else { WORKERS - 1 };
    let serving = format!(
        r#"{{"spec":"lasts","steps":[{{"count":{count},"cpu":2000,"mem-mb":1024,"estimate-ms":5000,"long-running":true,"anti-affinity":1,"image":"web","target-ms":200,"may-miss":1}}]}}"#
    );
    if !world.submit(SERVING_JOB, &serving) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(5));
    let serving: usize = workers.iter().filter(|worker| !worker.running().is_empty()).count();
    if serving != count {
        return 2;
    }
    let filling = r#"{"spec":"ms=2000","steps":[{"count":4,"cpu":4000,"mem-mb":1024,"estimate-ms":2000,"fills":true,"image":"batch"}]}"#;
    if !world.submit(FILLING_JOB, filling) {
        return 2;
    }
    let accepted_at = world.record.elapsed();
    let first_start = || {
        let spans = world.spans.lock().expect("usable");
        let found = spans.iter().find(|span| span.unit.starts_with(FILLING_JOB));
        found.map(|span| span.begun)
    };
    while world.record.elapsed() < accepted_at + WATCHED && first_start().is_none() {
        std::thread::sleep(Duration::from_millis(100));
    }
    let waited = first_start().unwrap_or_else(|| world.record.elapsed()) - accepted_at;
    for host in 0..3 {
        let _ = world.request(host, "GET", &format!("{PREFIX}{FILLING_JOB}"), "");
    }
    let has_begun = first_start().is_some();
    world.record.line(&format!(
        "the filling job has begun: {has_begun}, after {:.1} s; workers with a serving unit: {serving} of {WORKERS}",
        waited.as_secs_f64()
    ));
    if world.has_lost_host() {
        return 1;
    }
    let is_lost = waited > FINISH + IDLE;
    if is_lost {
        world.record.line("RULE LOST: an accepted job has nothing running though the workers are idle");
    }
    i32::from(is_lost)
}
