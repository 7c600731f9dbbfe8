//! A worker is lost for good just before jobs come.

use std::path::Path;
use std::time::Duration;

use crate::json::Json;
use crate::world::{PREFIX, World};

const WORKERS: usize = 8;
/// Age from which a job that has not begun counts: `visible_ms` and 2 s.
const AGE: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(16);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("pending", folder);
    let workers: Vec<_> = (0..WORKERS).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    if trouble {
        workers[3].crash();
    }
    let body = r#"{"spec":"ms=2000","steps":[{"count":1,"cpu":30000,"mem-mb":1000,"gpu":8,"estimate-ms":2000}]}"#;
    let mut jobs = Vec::new();
    for number in 0..WORKERS {
        let id = format!("{:016x}", 0xc000 + number);
        if !world.submit(&id, body) {
            return 2;
        }
        jobs.push((id, world.record.elapsed()));
    }
    let until = world.record.elapsed() + WATCHED;
    let mut wrong = 0;
    while world.record.elapsed() < until {
        std::thread::sleep(Duration::from_millis(500));
        for host in 0..3 {
            let spans = world.spans.lock().expect("usable").clone();
            let now = world.record.elapsed();
            let waiting: Vec<_> = jobs
                .iter()
                .filter(|(id, at)| {
                    now > *at + AGE && !spans.iter().any(|span| span.unit.starts_with(id.as_str()))
                })
                .map(|(id, _)| id.clone())
                .collect();
            if waiting.is_empty() {
                continue;
            }
            let Some((200, text)) = world.request(host, "GET", PREFIX, "") else {
                continue;
            };
            let pending = Json::parse(&text).and_then(|body| body.number("pending"));
            let Some(pending) = pending else {
                continue;
            };
            if pending * 2.0 < waiting.len() as f64 {
                wrong += 1;
                let text = format!("RULE MIXED: host {host} says {pending} pending, but {waiting:?} have not begun");
                world.record.line(&text);
                let _ = world.request(host, "GET", &format!("{PREFIX}{}", waiting[0]), "");
            }
        }
    }
    world.record.line(&format!("wrong answers: {wrong}"));
    if world.has_lost_host() {
        return 1;
    }
    i32::from(wrong > 0)
}
