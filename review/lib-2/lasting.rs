//! A unit that lasts ends as `done`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::worker::Worker;
use crate::world::World;

const JOB: &str = "00000000000000a1";
/// From its last run on, a unit that lasts has this long to run again, and then 3 s more.
const BOUND: Duration = Duration::from_secs(9);
const WATCHED: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("lasting", folder);
    let workers: Vec<Arc<Worker>> = (0..6).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    let body = r#"{"spec":"lasts","steps":[{"count":3,"cpu":4000,"mem-mb":1024,"gpu":1,"estimate-ms":5000,"long-running":true}]}"#;
    if !world.submit(JOB, body) {
        return 2;
    }
    let unit = |index: usize| format!("{JOB}.0.0.{index}");
    std::thread::sleep(Duration::from_secs(4));
    let is_at_work = |unit: &str| workers.iter().any(|worker| worker.running().contains(unit));
    if !(0..3).all(|index| is_at_work(&unit(index))) {
        world.record.line("the units did not start");
        return 2;
    }
    if trouble {
        // One ends as failed, for comparison, and one as done.
        for (index, how) in [(1, "failed"), (2, "done")] {
            if !workers.iter().any(|worker| worker.end_unit(&unit(index), how)) {
                return 2;
            }
        }
    }
    let ended_at = world.record.elapsed();
    let mut missing_since = [None; 3];
    let mut broken = false;
    while world.record.elapsed() < ended_at + WATCHED {
        std::thread::sleep(Duration::from_millis(100));
        let now = world.record.elapsed();
        for (index, since) in missing_since.iter_mut().enumerate() {
            if is_at_work(&unit(index)) {
                *since = None;
                continue;
            }
            let since = since.get_or_insert(now);
            if now - *since > BOUND && !broken {
                broken = true;
                let seconds = (now - *since).as_secs_f64();
                let text = format!("RULE LOST: unit {} has not run for {seconds:.1} s", unit(index));
                world.record.line(&text);
            }
        }
    }
    for host in 0..3 {
        let _ = world.request(host, "GET", &format!("{}{JOB}", crate::world::PREFIX), "");
    }
    let running: Vec<_> = (0..3).filter(|index| is_at_work(&unit(*index))).collect();
    world.record.line(&format!("units at work at the end: {running:?} of [0, 1, 2]"));
    if world.has_lost_host() {
        world.record.line("a host has ended by itself");
        return 1;
    }
    i32::from(broken)
}
