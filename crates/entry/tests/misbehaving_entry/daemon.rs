//! The entry daemon as a child process, its ordinary callers, and a peer.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use flamingowalk_node::connection::peer_link::{LinkIdentity, PeerLink};
use tokio::task::LocalSet;

use crate::process::{DaemonProcess, HostLimits, OrdinaryRequest, free_addresses, wait_for};

/// Time for which a peer repeats its attempt; long enough that a test does not fail on a busy
/// machine.
const PEER_PATIENCE: Duration = Duration::from_mins(1);
/// Secret of the peers.
const SECRET: &str = "s";

/// A running entry daemon; it is killed when this is dropped.
pub struct EntryDaemon {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub process: DaemonProcess,
}

impl EntryDaemon {
    /// Starts a daemon and waits until it answers. Nothing listens at the addresses of its log
    /// and its host list.
    pub fn start(limits: HostLimits) -> Self {
        let [callers, peers] = free_addresses();
        // The shares that docs/operators/misbehaving-clients.md names.
        let connections = (limits.max_files / 4).min(limits.memory_mb * 3);
        let (peers_max, buffer_kb) = (connections / 2, limits.memory_mb * 1_000 / 12);
        let text = format!(
            "[host]\nname = a-entry0\nzone = a\nregion = r\n\
             [listen]\ncaller = {callers}\npeer = {peers}\n\
             [platform]\nlog = 127.0.0.1:9\nhosts = 127.0.0.1:9\n[peer]\nsecret = {SECRET}\n\
             connections = {peers_max}\n\
             [clients]\nbuffer-kb = {buffer_kb}\nconnections = {connections}\n"
        );
        let file = format!("misbehaving-entry-{}.ini", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&path, &text).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_flamingowalk-entry"));
        command.arg("--settings").arg(&path);
        let daemon = Self {
            callers,
            peers,
            process: DaemonProcess::spawn(command, limits),
        };
        daemon.wait_alive();
        daemon
    }

    /// Waits until the health check and a query through the event loop are answered.
    pub fn wait_alive(&self) {
        for path in ["/healthz", "/v1/status"] {
            let request = OrdinaryRequest {
                method: "GET",
                path,
                fields: "",
                body: "",
            };
            wait_for(self.callers, request, |status, _| status == 200);
        }
    }

    /// Waits until a call with a body is decided. Its customer is not declared.
    pub fn wait_call_decided(&self) {
        let request = OrdinaryRequest {
            method: "POST",
            path: "/v1/call/absent",
            fields: "flamingowalk-customer: c\r\nflamingowalk-request-id: r\r\n\
                     flamingowalk-idempotent: true\r\n",
            body: "ordinary body",
        };
        wait_for(self.callers, request, |status, text| {
            status == 400 && text.contains("customer c is not declared")
        });
    }

    /// Waits until a peer with the secret opens a link.
    pub fn wait_peer_linked(&self) {
        let identity = LinkIdentity {
            host: "a-entry1".to_owned(),
            zone: "a".to_owned(),
            incarnation: 1,
            secret: SECRET.to_owned(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let linking = async {
            let begun = Instant::now();
            loop {
                match PeerLink::connect(self.peers, &identity).await {
                    Ok(_link) => return,
                    Err(error) => assert!(begun.elapsed() < PEER_PATIENCE, "no link: {error}"),
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        LocalSet::new().block_on(&runtime, linking);
    }
}
