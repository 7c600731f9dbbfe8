//! A small deployment: the log, workers, hosts and a client.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemon::{CaseFolder, Daemon, Deployment, await_ready, repository};
use crate::http::call;
use crate::log::Log;
use crate::record::Record;
use crate::worker::{SERVICE, Spans, Worker, WorkerPlace};

pub const HOST_NAME: &str = "queue.example";
pub const PREFIX: &str = "/jobs/";
pub const KEY: &str = "key-of-tenant-1";
/// Queue of priority 0.
pub const URGENT_PREFIX: &str = "/urgent/";
/// Key of a tenant without a guarantee.
pub const OTHER_KEY: &str = "key-of-tenant-2";
/// Accelerators that are guaranteed to tenant 1.
pub const GUARANTEED: usize = 8;
/// Longest lease (`hold-max-ms`).
pub const LEASE_MS: u64 = 10_000;

pub struct World {
    pub record: Arc<Record>,
    pub log: Log,
    pub spans: Spans,
    pub folder: CaseFolder,
    pub deployment: Deployment,
    pub daemons: Vec<Daemon>,
}

impl World {
    /// Starts the log with the operator's first manifest.
    pub fn new(name: &str, case_folder: &Path) -> Self {
        let record = Arc::new(Record::create(&case_folder.join("record.txt")));
        let log = Log::start();
        log.put("keyed.op", "config", Some(&manifest(7)));
        let folder = CaseFolder::create(name);
        let deployment = Deployment {
            root: repository(),
            folder: folder.path.clone(),
            log: log.server.address,
            machines: None,
            bounds: vec![
                ("hold-max-ms", LEASE_MS.to_string()),
                ("stop-grace-ms", "900".to_owned()),
                ("gang-timeout-ms", "3000".to_owned()),
                ("reclaim-ms", "3400".to_owned()),
                ("remote-factor", "3".to_owned()),
                ("checkpoint-s", "1".to_owned()),
                ("restore-ms", "250".to_owned()),
                ("status_s", "120".to_owned()),
                ("lease-ms", "3000".to_owned()),
                ("early_ms", "250".to_owned()),
                ("grace-s", "6".to_owned()),
            ],
        };
        let spans = Arc::new(Mutex::new(Vec::new()));
        Self { record, log, spans, folder, deployment, daemons: Vec::new() }
    }

    /// Starts one life of a worker on a machine.
    pub fn start_worker(&self, number: usize) -> Arc<Worker> {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let place = WorkerPlace {
            id: format!("i-{number:04}"),
            machine: format!("m-{number:04}"),
            zone: zones[number % zones.len()].to_owned(),
            rack: format!("r1-{}", number / 8),
            lease_limit: LEASE_MS,
        };
        let (record, spans) = (Arc::clone(&self.record), Arc::clone(&self.spans));
        Worker::start(place, self.log.writer(), record, spans)
    }

    /// Starts hosts and waits until they are ready and one of them has begun to plan.
    pub fn start_hosts(&mut self, count: usize) -> bool {
        for number in 0..count {
            let name = format!("front-{number}");
            let daemon = Daemon::start(&self.deployment, &name);
            self.record.line(&format!("host {name} started, process {}", daemon.pid()));
            self.daemons.push(daemon);
        }
        let is_ready = await_ready(&self.daemons, Duration::from_secs(20));
        std::thread::sleep(Duration::from_secs(3));
        is_ready
    }

    /// Sends a request of the client to a host.
    pub fn request(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        self.request_with(KEY, host, method, path, body)
    }

    /// Sends a request with the key of a tenant.
    pub fn request_with(
        &self,
        key: &str,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [
            ("host", HOST_NAME),
            ("content-type", "application/json"),
            ("x-credential", key),
            ("x-deadline-ms", "3000"),
        ];
        let caller = self.daemons[host].caller;
        let answer = call(caller, method, path, &headers, body, Duration::from_secs(3));
        let shown = match &answer {
            Some((status, text)) => format!("{status} {}", text.trim()),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client {method} {path} {body} -> {shown}"));
        answer
    }

    /// Submits a job until a host accepts it.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        let mut host = 0;
        while Instant::now() < until {
            let answer = self.request(host, "POST", &format!("{PREFIX}{id}"), body);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            host = (host + 1) % self.daemons.len();
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Whether a process has ended by itself.
    pub fn has_lost_host(&mut self) -> bool {
        self.daemons.iter_mut().any(Daemon::has_ended)
    }
}

fn manifest(version: u64) -> String {
    let route = |name: &str, prefix: &str, priority: u8, target: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST_NAME}","path-prefix":"{prefix}","kind":"unsafe","timeout-ms":3000,"target-latency-ms":{target},"priority":{priority},"service":"{SERVICE}","max-attempts":4,"stretch":3.0,"public":false}}"#
        )
    };
    let routes = [route("r-1", PREFIX, 1, 1_000), route("r-0", URGENT_PREFIX, 0, 250)].join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{SERVICE}","health-path":"/health","admission-check":false}}],"tenants":[{{"name":"tenant-1","api-keys":["{KEY}"],"guaranteed":{{"gpu":{GUARANTEED}}}}},{{"name":"tenant-2","api-keys":["{OTHER_KEY}"]}}],"limits":{{}}}}"#
    )
}
