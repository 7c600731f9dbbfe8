//! A tenant without a guarantee fills the pool with units that last, and another tenant claims
//! its guarantee.

use std::path::Path;
use std::time::Duration;

use crate::world::{GUARANTEED, OTHER_KEY, PREFIX, URGENT_PREFIX, World};

const FILLING_JOB: &str = "0000000000000a01";
const URGENT_JOB: &str = "0000000000000a02";
const WORKERS: usize = 8;
const GPUS: usize = 8;
/// Time within which all units of an urgent job within the guarantee begin (`reclaim-ms`).
const BOUND: Duration = Duration::from_millis(3_400);
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("guarantee", folder);
    let workers: Vec<_> = (0..WORKERS).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    if trouble {
        let count = WORKERS * GPUS;
        let body = format!(
            r#"{{"spec":"lasts","steps":[{{"count":{count},"cpu":2000,"mem-mb":1024,"gpu":1,"estimate-ms":5000,"long-running":true,"may-miss":1}}]}}"#
        );
        let path = format!("{PREFIX}{FILLING_JOB}");
        let answer = world.request_with(OTHER_KEY, 0, "POST", &path, &body);
        if answer.is_none_or(|(status, _)| status != 200) {
            return 2;
        }
        // All units are at work, and the planner has seen that.
        std::thread::sleep(Duration::from_secs(8));
        let running: usize = workers.iter().map(|worker| worker.running().len()).sum();
        world.record.line(&format!("{running} of {count} units of the filling job are at work"));
    }
    let body = format!(
        r#"{{"spec":"ms=60000","steps":[{{"count":{GUARANTEED},"cpu":1000,"mem-mb":100,"gpu":1,"estimate-ms":60000}}]}}"#
    );
    let path = format!("{URGENT_PREFIX}{URGENT_JOB}");
    let answer = world.request(0, "POST", &path, &body);
    if answer.is_none_or(|(status, _)| status != 200) {
        return 2;
    }
    let accepted_at = world.record.elapsed();
    let begun = || {
        let spans = world.spans.lock().expect("usable");
        spans.iter().filter(|span| span.unit.starts_with(URGENT_JOB)).count()
    };
    let mut in_time = 0;
    while world.record.elapsed() < accepted_at + WATCHED {
        std::thread::sleep(Duration::from_millis(50));
        if world.record.elapsed() <= accepted_at + BOUND {
            in_time = begun();
        }
    }
    let text = format!(
        "units of the urgent job that began: {in_time} of {GUARANTEED} within 3.4 s, {} within 30 s",
        begun()
    );
    world.record.line(&text);
    if world.has_lost_host() {
        return 1;
    }
    if in_time < GUARANTEED {
        world.record.line("RULE RECLAIM: a job within the guarantee has not begun in time");
    }
    i32::from(in_time < GUARANTEED)
}
