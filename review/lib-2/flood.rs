//! Clients that misbehave submit small requests for jobs with many units.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::world::{PREFIX, World};

/// Memory of a process in the settings (`memory-mb`); the platform kills one that exceeds it.
const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;
/// Delay after which a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Requests that the clients send.
const REQUESTS: u64 = 60;
/// Ends of one host's process from which the rule counts it.
const ENDS: usize = 3;
/// Hosts from which the rule is broken: a tenth of them, two at least.
const HOSTS: usize = 2;
const WATCHED: Duration = Duration::from_secs(80);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new("flood", folder);
    let workers: Vec<_> = (0..8).map(|number| world.start_worker(number)).collect();
    if !world.start_hosts(3) {
        return 2;
    }
    if trouble {
        let step = r#"{"count":10000,"cpu":1000,"mem-mb":100,"gpu":9,"estimate-ms":1000}"#;
        let body = format!(r#"{{"spec":"ms=1000","steps":[{step},{step},{step},{step}]}}"#);
        world.record.line(&format!("{REQUESTS} requests of {} bytes follow", body.len()));
        for number in 0..REQUESTS {
            let path = format!("{PREFIX}{:016x}", 0xf000 + number);
            let _ = world.request((number % 3) as usize, "POST", &path, &body);
        }
    }
    let until = Instant::now() + WATCHED;
    let mut ends = [0; 3];
    let mut highest = [0; 3];
    let mut restarts: [Option<Instant>; 3] = [None; 3];
    let mut next_job = Instant::now();
    let mut jobs = Vec::new();
    while Instant::now() < until {
        for (index, daemon) in world.daemons.iter_mut().enumerate() {
            if let Some(at) = restarts[index] {
                if Instant::now() >= at {
                    daemon.restart();
                    restarts[index] = None;
                }
                continue;
            }
            let memory = daemon.memory();
            highest[index] = memory.max(highest[index]);
            if memory > MEMORY_LIMIT {
                daemon.kill();
                ends[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART_DELAY);
                let text = format!("platform kills {}: {} MB", daemon.name, memory >> 20);
                world.record.line(&text);
            }
        }
        if Instant::now() >= next_job {
            next_job += Duration::from_secs(8);
            let id = format!("{:016x}", 0xa000 + jobs.len());
            let body = r#"{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem-mb":100,"gpu":1,"estimate-ms":500}]}"#;
            let path = format!("{PREFIX}{id}");
            let answers = (0..3).filter(|host| restarts[*host].is_none()).find_map(|host| {
                let (status, _) = world.request(host, "POST", &path, body)?;
                (status == 200).then_some(())
            });
            if answers.is_some() {
                jobs.push((id, world.record.elapsed()));
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let spans = world.spans.lock().expect("usable").clone();
    for (id, accepted_at) in &jobs {
        let begun = spans.iter().find(|span| span.unit.starts_with(id.as_str()));
        let text = match begun {
            Some(span) => format!("job {id} began {:.1} s after its acceptance", (span.begun - *accepted_at).as_secs_f64()),
            None => format!("job {id}, accepted at {:.1} s, never began", accepted_at.as_secs_f64()),
        };
        world.record.line(&text);
    }
    let highest = highest.map(|bytes| bytes >> 20);
    world.record.line(&format!("ends by memory: {ends:?}; highest memory in MB: {highest:?}"));
    drop(workers);
    let broken = ends.iter().filter(|count| **count >= ENDS).count() >= HOSTS;
    if broken {
        world.record.line("RULE Fault: processes of two hosts ended by themselves three times");
    }
    i32::from(broken)
}
