//! Drain of an entry host over real connections. Guards against requests that are aborted
//! before the drain limit or run twice, in whatever state the drain finds them.

use std::net::SocketAddr;

use flamingowalk_core::version::{FolderFile, content_hash, merge_folder};
use flamingowalk_node::{EntryHandle, HostSettings, start_host};
use flamingowalk_standin::{HostsStandin, LogStandin};
use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState, WorkerCapacity};
use flamingowalk_wire::log::LogRecord;
use flamingowalk_wire::records::ConfigRecord;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet};

use crate::faulty_target::{TargetFault, TargetScript};

const FOLDER: [(&str, &str); 4] = [
    (
        "00.ini",
        include_str!("../../../../examples/podlaga/00-zones.ini"),
    ),
    (
        "10.ini",
        include_str!("../../../../examples/podlaga/10-services.ini"),
    ),
    (
        "20.ini",
        include_str!("../../../../examples/podlaga/20-customers.ini"),
    ),
    (
        "40.ini",
        include_str!("../../../../examples/podlaga/40-policy.ini"),
    ),
];

/// A host whose only target has one slot.
struct DrainTest {
    script: TargetScript,
    handle: Option<EntryHandle>,
    address: SocketAddr,
    /// Stand-ins of the log and the host list, kept alive for the duration of the test.
    _platform: (LogStandin, HostsStandin),
}

impl DrainTest {
    async fn start(limit_ms: u64) -> Self {
        let (log, hosts) = (
            LogStandin::start().await.unwrap(),
            HostsStandin::start().await.unwrap(),
        );
        log.append("config", vec![config_record()]);
        let script = TargetScript::default();
        hosts.add(worker_entry(script.start().await));
        let text = format!(
            "[host]\nname = e\nzone = maribor-a\nregion = sl-east\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
             [platform]\nlog = {}\nhosts = {}\nhosts-interval-ms = 50\n\
             [peer]\nsecret = s\n[drain]\nwait-ms = 100\nlimit-ms = {limit_ms}\n",
            log.address(),
            hosts.address()
        );
        let settings = HostSettings::parse("e.ini", &text).unwrap();
        let handle = start_host(settings, None).await.unwrap();
        let address = handle.address;
        let started = Self {
            script,
            handle: Some(handle),
            address,
            _platform: (log, hosts),
        };
        while !started.is_ready().await {}
        started
    }

    async fn is_ready(&self) -> bool {
        let mut caller = RawCaller::connect(self.address).await.unwrap();
        caller.send("GET /readyz HTTP/1.1\r\nhost: e\r\n\r\n").await;
        caller.read_response().await.starts_with("HTTP/1.1 200")
    }

    /// Starts the drain; the returned task finishes when the host has stopped.
    fn drain(&mut self) -> JoinHandle<()> {
        let handle = self.handle.take().unwrap();
        handle.drain();
        tokio::task::spawn_local(handle.finished())
    }

    /// Waits until the host accepts no new connections.
    async fn wait_closed(&self) {
        while RawCaller::connect(self.address).await.is_some() {
            tokio::task::yield_now().await;
        }
    }
}

fn config_record() -> LogRecord {
    let file = |(name, text): (&str, &str)| FolderFile {
        name: name.into(),
        text: text.into(),
    };
    let settings = merge_folder(&FOLDER.map(file)).unwrap().to_string();
    let content_hash = content_hash(&settings);
    let record = ConfigRecord {
        base_version: 0,
        content_hash,
        publisher: "test".into(),
        settings,
    };
    LogRecord {
        id: "config/0".into(),
        kind: "config".into(),
        schema: 1,
        body: serde_json::to_value(record).unwrap(),
    }
}

fn worker_entry(address: SocketAddr) -> HostEntry {
    let capacity = WorkerCapacity {
        accelerators: 8,
        connections: 4,
        cores: 32,
        memory_mb: 65_536,
        rack: "r".into(),
        services: vec!["podlaga-plan".into()],
        slots: 1,
    };
    HostEntry {
        address: address.to_string(),
        capacity: Some(capacity),
        incarnation: 1,
        name: "w".into(),
        region: "sl-east".into(),
        role: HostRole::Worker,
        state: HostState::Live,
        zone: "maribor-a".into(),
    }
}

/// A caller that controls which bytes of a request are sent when.
struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Self { stream })
    }

    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads head and body of one response; returns an empty text if the connection ended
    /// before it.
    async fn read_response(&mut self) -> String {
        let mut text = String::new();
        let mut buffer = [0; 4096];
        loop {
            let is_complete = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
                let lines = head.lines();
                let mut lengths = lines.filter_map(|line| line.strip_prefix("content-length: "));
                lengths
                    .next()
                    .is_some_and(|length| body.len() >= length.parse().unwrap())
            });
            let count = if is_complete {
                0
            } else {
                self.stream.read(&mut buffer).await.unwrap_or(0)
            };
            if count == 0 {
                return text;
            }
            text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        }
    }
}

fn call_head(id: &str, length: usize) -> String {
    format!(
        "POST /v1/call/podlaga-plan HTTP/1.1\r\nhost: e\r\n\
         flamingowalk-customer: lope-drava\r\nflamingowalk-request-id: {id}\r\n\
         flamingowalk-deadline-ms: 60000\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test]
async fn drain_requests_in_every_state() {
    let test = async {
        let mut test = DrainTest::start(60_000).await;
        let mut held = RawCaller::connect(test.address).await.unwrap();
        let mut queued = RawCaller::connect(test.address).await.unwrap();
        let mut sending = RawCaller::connect(test.address).await.unwrap();
        let mut idle = RawCaller::connect(test.address).await.unwrap();

        test.script.push(TargetFault::Held);
        held.send(&(call_head("held", 1) + "x")).await;
        test.script.call_started.notified().await;
        queued.send(&(call_head("queued", 1) + "x")).await;
        sending.send(&(call_head("sending", 4) + "xx")).await;
        idle.send("GET /healthz HTTP/1.1\r\nhost: e\r\n\r\n").await;
        assert!(idle.read_response().await.ends_with("alive"));

        let finished = test.drain();
        assert!(!test.is_ready().await, "the balancer is notified first");
        test.wait_closed().await;
        assert_eq!(idle.read_response().await, "", "an idle connection ends");
        sending.send("xx").await;
        test.script.release.notify_one();
        for (id, caller) in [("held", held), ("queued", queued), ("sending", sending)] {
            let mut caller = caller;
            let response = caller.read_response().await;
            assert!(response.starts_with("HTTP/1.1 200"), "{id}: {response}");
            assert!(
                response.ends_with(&format!("answer to {id}")),
                "{id}: {response}"
            );
            assert_eq!(test.script.runs(id), 1, "{id}");
        }
        finished.await.unwrap();
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn drain_limit_aborts_calls() {
    let test = async {
        let mut test = DrainTest::start(200).await;
        let mut silent = RawCaller::connect(test.address).await.unwrap();
        test.script.push(TargetFault::Silent);
        silent.send(&(call_head("silent", 1) + "x")).await;
        test.script.call_started.notified().await;
        test.drain().await.unwrap();
        assert_eq!(silent.read_response().await, "");
        assert_eq!(test.script.runs("silent"), 1);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn drain_caller_disconnected_attempt_finishes() {
    let test = async {
        let mut test = DrainTest::start(60_000).await;
        let mut disconnected = RawCaller::connect(test.address).await.unwrap();
        test.script.push(TargetFault::Held);
        disconnected.send(&(call_head("gone", 1) + "x")).await;
        test.script.call_started.notified().await;
        drop(disconnected);
        let finished = test.drain();
        test.wait_closed().await;
        tokio::task::yield_now().await;
        assert!(!finished.is_finished(), "the target still runs the call");
        test.script.release.notify_one();
        finished.await.unwrap();
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn caller_slow_and_idle_connections() {
    let test = async {
        let test = DrainTest::start(60_000).await;
        let mut idle = Vec::new();
        for _ in 0..200 {
            idle.push(RawCaller::connect(test.address).await.unwrap());
        }
        let mut slow = RawCaller::connect(test.address).await.unwrap();
        for byte in (call_head("slow", 2) + "xx").chars() {
            slow.send(&byte.to_string()).await;
            tokio::task::yield_now().await;
        }
        assert!(slow.read_response().await.ends_with("answer to slow"));
        let mut huge = RawCaller::connect(test.address).await.unwrap();
        let head = format!(
            "GET /healthz HTTP/1.1\r\nhost: e\r\nx: {}\r\n\r\n",
            "y".repeat(70_000)
        );
        // The host may close the connection before it has read the whole head.
        let _ = huge.stream.write_all(head.as_bytes()).await;
        let response = huge.read_response().await;
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 431"),
            "{response}"
        );
        for caller in &mut idle {
            caller.send(&(call_head("kept", 1) + "x")).await;
            assert!(caller.read_response().await.ends_with("answer to kept"));
        }
        assert_eq!(test.script.runs("kept"), 200);
    };
    LocalSet::new().run_until(test).await;
}
