//! Client side of peer links: unresponsive links, lost peers and heartbeat sizes.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_node::border::peer::{PeerMessage, encode_message};
use flamingowalk_node::connection::peer_link::{LinkIdentity, PeerLink};
use flamingowalk_node::process::host_event::HostEvent;
use flamingowalk_node::process::peer_client::{HEARTBEAT_INTERVAL, PeerClient, PeerReport};
use flamingowalk_wire::peer::{PeerHeartbeat, ZoneDigest};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

fn identity(host: &str, incarnation: u64) -> LinkIdentity {
    LinkIdentity {
        host: host.to_owned(),
        zone: "maribor-a".to_owned(),
        incarnation,
        secret: "s".to_owned(),
    }
}

/// A client of the peer at `address`, with the events that it reports and the senders that
/// keep it running.
struct ClientBench {
    events: mpsc::UnboundedReceiver<HostEvent>,
    requests: mpsc::UnboundedSender<PeerMessage>,
    _digest: watch::Sender<Option<ZoneDigest>>,
}

impl ClientBench {
    fn start(address: SocketAddr) -> Self {
        let (events_in, events) = mpsc::unbounded_channel();
        let (requests, requests_out) = mpsc::unbounded_channel();
        let (digest_in, digest) = watch::channel(Some(digest(0)));
        let client = PeerClient {
            host: HostName::from("a1"),
            address,
            identity: identity("a0", 1),
            digest,
            events: events_in,
        };
        tokio::task::spawn_local(client.run(requests_out));
        Self {
            events,
            requests,
            _digest: digest_in,
        }
    }

    async fn report(&mut self) -> PeerReport {
        match self.events.recv().await {
            Some(HostEvent::PeerReported { report, .. }) => report,
            other => panic!("unexpected event {other:?}"),
        }
    }
}

fn digest(leaving: usize) -> ZoneDigest {
    let name = |index| format!("celje-b-worker-{index:03}#1796382621000");
    ZoneDigest {
        config_version: 980_000,
        draining: false,
        host: "celje-b-entry-2".to_owned(),
        leaving: (0..leaving).map(name).collect(),
        queued_jobs: 660,
        seat_term: 1_000_000,
        zone: "celje-b".to_owned(),
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn accept(listener: &TcpListener, incarnation: u64) -> PeerLink {
    let (stream, _) = listener.accept().await.expect("a connection");
    let link = PeerLink::accept(stream, &identity("a1", incarnation)).await;
    link.expect("a link")
}

#[tokio::test]
async fn run_silent_link() {
    let bench = async {
        let (listener, address) = listen().await;
        let mut bench = ClientBench::start(address);
        let silent = accept(&listener, 1).await;
        assert!(matches!(
            bench.report().await,
            PeerReport::Opened { incarnation: 1 }
        ));
        // Nothing is sent on the first link, so the client opens another one before it
        // reports the peer as lost.
        let second = accept(&listener, 1).await;
        assert!(matches!(
            bench.report().await,
            PeerReport::Opened { incarnation: 1 }
        ));
        drop((silent, second, listener));
        assert!(matches!(bench.report().await, PeerReport::Lost));
    };
    LocalSet::new().run_until(bench).await;
}

#[tokio::test]
async fn run_restarted_peer() {
    let bench = async {
        let (listener, address) = listen().await;
        let mut bench = ClientBench::start(address);
        drop(accept(&listener, 1).await);
        assert!(matches!(
            bench.report().await,
            PeerReport::Opened { incarnation: 1 }
        ));
        let _second = accept(&listener, 2).await;
        assert!(matches!(
            bench.report().await,
            PeerReport::Opened { incarnation: 2 }
        ));
    };
    LocalSet::new().run_until(bench).await;
}

#[tokio::test]
async fn run_other_host_answers() {
    let bench = async {
        let (listener, address) = listen().await;
        let mut bench = ClientBench::start(address);
        let (stream, _) = listener.accept().await.expect("a connection");
        let _link = PeerLink::accept(stream, &identity("a2", 1)).await;
        assert!(matches!(bench.report().await, PeerReport::Lost));
    };
    LocalSet::new().run_until(bench).await;
}

#[tokio::test]
async fn run_request_while_lost() {
    let bench = async {
        let (listener, address) = listen().await;
        let mut bench = ClientBench::start(address);
        let message = PeerMessage::PeerHeartbeat(PeerHeartbeat {
            digest: None,
            sequence: 99,
        });
        bench.requests.send(message.clone()).expect("a client");
        drop(listener.accept().await.expect("a connection"));
        assert!(matches!(bench.report().await, PeerReport::Lost));
        let mut link = accept(&listener, 1).await;
        let first = link.receive().await.expect("a message");
        assert_ne!(first, message, "a request that waited is stale");
    };
    LocalSet::new().run_until(bench).await;
}

/// Returns the size of a message in its WebSocket frame, masked as a client sends it.
fn frame_bytes(message: &PeerMessage) -> usize {
    let payload = encode_message(message).expect("encoded").len();
    let length = if payload < 126 { 2 } else { 4 };
    payload + length + 4
}

#[rstest]
#[case::bare(None, 64)]
#[case::digest(Some(0), 256)]
#[case::leaving(Some(64), 4_096)]
fn heartbeat_bytes(#[case] leaving: Option<usize>, #[case] limit: usize) {
    let message = PeerMessage::PeerHeartbeat(PeerHeartbeat {
        digest: leaving.map(digest),
        sequence: 1_000_000,
    });
    let bytes = frame_bytes(&message);
    assert!(bytes <= limit, "{bytes} bytes");
    assert!(bytes > limit / 4, "the limit is loose: {bytes} bytes");
}

/// Eight zones of three hosts: 16 links opened by this host and 16 by its peers, each with
/// one heartbeat and its response per interval, every fifth with a digest.
#[test]
fn heartbeat_bytes_of_a_host() {
    let frame = |digest| {
        let sequence = 1_000_000;
        frame_bytes(&PeerMessage::PeerHeartbeat(PeerHeartbeat {
            digest,
            sequence,
        }))
    };
    let five_heartbeats = 4 * frame(None) + frame(Some(digest(0)));
    let links = 2 + 7 * 2;
    let per_second = links * 2 * 2 * five_heartbeats / 5;
    assert_eq!(HEARTBEAT_INTERVAL, Duration::from_secs(1));
    insta::assert_snapshot!(format!(
        "bare {} B, with digest {} B, both ways of all links {per_second} B/s",
        frame(None),
        frame(Some(digest(0)))
    ));
}
