//! Complete entry hosts with the stand-in of the log. Guards against a host that knows no
//! configuration or jobs because it starts after retention has removed the first records
//! of the log: it must restore them from snapshots.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use flamingowalk_core::prelude::RecordId;
use flamingowalk_core::process::record::{ConfigEntry, LogEntry};
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_core::version::{FolderFile, content_hash, merge_folder};
use flamingowalk_node::border::records::write_record;
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_node::{EntryHandle, HostSettings, start_host};
use flamingowalk_standin::{HostsStandin, LogStandin};
use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState, WorkerCapacity};
use hyper::Method;
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn example_config() -> LogEntry {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/podlaga");
    let entries = std::fs::read_dir(folder).expect("the example");
    let files = entries.map(|entry| {
        let entry = entry.expect("an entry of the folder");
        FolderFile {
            name: entry.file_name().to_string_lossy().into_owned(),
            text: std::fs::read_to_string(entry.path()).expect("a text"),
        }
    });
    let files: Vec<FolderFile> = files.collect();
    let settings = merge_folder(&files).expect("a valid folder").to_string();
    LogEntry::Config(ConfigEntry {
        base: ConfigVersion(0),
        content_hash: content_hash(&settings),
        settings: settings.into(),
        publisher: "test".to_owned(),
    })
}

/// A worker that cannot be reached, so that jobs stay open.
fn unreachable_worker() -> HostEntry {
    HostEntry {
        address: "127.0.0.1:9".to_owned(),
        capacity: Some(WorkerCapacity {
            accelerators: 8,
            connections: 64,
            cores: 32,
            memory_mb: 65_536,
            rack: "r0".to_owned(),
            services: vec!["podlaga-plan".to_owned()],
            slots: 8,
        }),
        incarnation: 1,
        name: "w0".to_owned(),
        region: "sl-east".to_owned(),
        role: HostRole::Worker,
        state: HostState::Live,
        zone: "maribor-a".to_owned(),
    }
}

async fn start(zone: &str, log: &LogStandin, hosts: &HostsStandin) -> EntryHandle {
    let text = format!(
        "[host]\nname = {zone}-e\nzone = {zone}\nregion = sl-east\n\
         [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
         [platform]\nlog = {}\nhosts = {}\nhosts-interval-ms = 50\n[peer]\nsecret = s\n",
        log.address(),
        hosts.address()
    );
    let settings = HostSettings::parse("e.ini", &text).expect("valid settings");
    let handle = start_host(settings, None).await.expect("a host");
    wait_until(async || request(handle.address, Method::GET, "/readyz", "").await.0 == 200).await;
    handle
}

async fn request(host: SocketAddr, method: Method, path: &str, body: &str) -> (u16, String) {
    let client = HttpClient::default();
    let body = Bytes::copy_from_slice(body.as_bytes());
    let response = client.exchange(host, method, path, body, TIMEOUT).await;
    let (status, body) = response.expect("a response");
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

async fn wait_until(is_done: impl AsyncFn() -> bool) {
    let wait = async {
        while !is_done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("done within the limit");
}

fn kinds(log: &LogStandin, stream: &str) -> Vec<String> {
    let records = log.records(stream);
    records
        .into_iter()
        .map(|stored| stored.record.kind)
        .collect()
}

fn submission(class: &str) -> String {
    format!(r#"{{"id":"plot-7","customer":"lope-sava","class":"{class}"}}"#)
}

#[test]
fn host_starts_after_retention() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let log = LogStandin::start().await.expect("a log");
        let hosts = HostsStandin::start().await.expect("a host list");
        hosts.add(unreachable_worker());
        let config = write_record(&RecordId::from("config/0"), &example_config());
        log.append("config", vec![config]);

        let first = start("maribor-a", &log, &hosts).await;
        let body = submission("pour-order");
        let accepted = request(first.address, Method::POST, "/v1/jobs", &body).await;
        assert_eq!(accepted.0, 200, "{}", accepted.1);
        for stream in ["config", "jobs"] {
            wait_until(async || kinds(&log, stream).last().is_some_and(|k| k == "snapshot")).await;
        }
        drop(first);
        log.set_retention(1);
        assert_eq!((kinds(&log, "config"), kinds(&log, "jobs")), {
            let snapshot = vec!["snapshot".to_owned()];
            (snapshot.clone(), snapshot)
        });

        let second = start("celje-b", &log, &hosts).await;
        let known = request(second.address, Method::GET, "/v1/jobs/plot-7", "").await;
        assert_eq!(known.0, 200, "{}", known.1);
        assert!(known.1.contains(r#""zone":"maribor-a""#), "{}", known.1);
        let again = request(second.address, Method::POST, "/v1/jobs", &body).await;
        assert_eq!(again, known, "the same job, not a second one");
        let other = submission("site-drawing");
        let other = request(second.address, Method::POST, "/v1/jobs", &other).await;
        assert_eq!(other.0, 400, "{}", other.1);
        let is_accepted = |kind: &String| kind == "job-accepted";
        assert!(!kinds(&log, "jobs").iter().any(is_accepted));
    });
}
