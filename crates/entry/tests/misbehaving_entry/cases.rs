//! The cases: each kind of load at each listener.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use rstest::rstest;

use crate::crowd::{Crowd, CrowdPlan, Load, reset_connections};
use crate::daemon::EntryDaemon;
use crate::process::HostLimits;

/// Clients of a crowd.
const CLIENTS: usize = 300;
/// Clients of the crowd that is larger than the number of descriptors.
const MANY_CLIENTS: usize = 600;
/// Limits of the host in all cases but one: half the memory and all descriptors of the
/// smallest host. The bound of the memory is half of it.
const LIMITS: HostLimits = HostLimits {
    memory_mb: 60,
    max_files: 3_075,
};
/// Limits of the host in the cases with more clients than descriptors. Peers without a proof
/// are closed after 2 s, so that fewer than all of a crowd are connected at once.
const FEW_FILES: HostLimits = HostLimits {
    memory_mb: 60,
    max_files: 200,
};
/// Connections that are reset one after the other.
const RESETS: usize = 2_000;
/// Turns after which a crowd stops sending. Bounds the duration of a test.
const MAX_TURNS: usize = 4_000;

/// Listener that the crowd addresses, and the path there.
#[derive(Clone, Copy, Debug)]
enum Place {
    Call,
    Jobs,
    NoRoute,
    Ready,
    Metrics,
    Peer,
}

impl Place {
    const ALL: [Self; 6] = [
        Self::Call,
        Self::Jobs,
        Self::NoRoute,
        Self::Ready,
        Self::Metrics,
        Self::Peer,
    ];

    const fn path(self) -> &'static str {
        match self {
            Self::Call => "/v1/call/plan",
            Self::Jobs => "/v1/jobs",
            Self::NoRoute => "/none/",
            Self::Ready => "/readyz",
            Self::Metrics => "/metrics",
            Self::Peer => "/peer",
        }
    }

    const fn address(self, daemon: &EntryDaemon) -> SocketAddr {
        match self {
            Self::Peer => daemon.peers,
            _ => daemon.callers,
        }
    }
}

/// Only one test runs at a time, since each measures the memory of a process under load.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a crowd against one host, and returns the violated bounds.
fn run_case(load: Load, place: Place, clients: usize, limits: HostLimits) -> Vec<String> {
    let mut daemon = EntryDaemon::start(limits);
    let plan = CrowdPlan {
        clients,
        load,
        path: place.path(),
        has_key: false,
    };
    let mut crowd = Crowd::connect(place.address(&daemon), plan);
    send_all(&mut daemon, &mut crowd);
    let violations = check_host(&mut daemon);
    let (answered, connected) = (crowd.answered(), crowd.len());
    println!(
        "{load:?} at {place:?}: {}; {answered} of {connected} clients answered or closed",
        daemon.process.figures()
    );
    let describe = |text| format!("{load:?} at {place:?}: {text}");
    violations.into_iter().map(describe).collect()
}

/// Lets the crowd send, and observes the process meanwhile.
fn send_all(daemon: &mut EntryDaemon, crowd: &mut Crowd) {
    for turn in 0..MAX_TURNS {
        let has_more = crowd.send_turn();
        if turn % 16 == 0 {
            daemon.process.observe_files();
        }
        if !has_more {
            break;
        }
    }
}

/// Checks that ordinary requests and a peer are served while the crowd is still connected, and
/// returns the violated bounds.
fn check_host(daemon: &mut EntryDaemon) -> Vec<String> {
    daemon.process.wait_settled();
    daemon.process.observe_files();
    let violations = daemon.process.violations();
    if violations.iter().any(|text| text.contains("ended")) {
        return violations;
    }
    daemon.wait_alive();
    daemon.wait_call_decided();
    daemon.wait_peer_linked();
    daemon.process.observe_files();
    daemon.process.violations()
}

/// Guards against memory that grows with the number of clients and of the bytes that they
/// send, at each listener of the entry daemon.
#[rstest]
#[case::whole_bodies(Load::Whole)]
#[case::bodies_in_pieces(Load::Pieces)]
#[case::chunked_bodies(Load::Chunks)]
#[case::chunks_of_one_byte(Load::ByteChunks)]
#[case::announced_bodies(Load::Announced)]
#[case::endless_bodies(Load::Endless)]
#[case::many_small_steps(Load::SmallSteps)]
#[case::many_short_fields(Load::ShortFields)]
#[case::pipelined_requests(Load::Pipelined)]
#[case::slow_heads(Load::SlowHead)]
#[case::slow_bodies(Load::SlowBody)]
#[case::stalled_chunks(Load::ChunkStalls)]
#[case::stopped_upgrades(Load::UpgradeStops)]
#[case::upgraded_messages(Load::UpgradedMessage)]
#[case::garbage(Load::Garbage)]
fn entry_crowd_of_one_kind(#[case] load: Load) {
    let _alone = run_alone();
    let run = |place| run_case(load, place, CLIENTS, LIMITS);
    let violations: Vec<_> = Place::ALL.into_iter().flat_map(run).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against connections that are reset at any byte of a request and leave a descriptor, a
/// charge or a waiting listener behind.
#[test]
fn entry_connections_reset_in_a_loop() {
    let _alone = run_alone();
    let mut violations = Vec::new();
    for place in [Place::Call, Place::Peer] {
        let mut daemon = EntryDaemon::start(FEW_FILES);
        reset_connections(place.address(&daemon), place.path(), RESETS);
        let found = check_host(&mut daemon);
        println!("resets at {place:?}: {}", daemon.process.figures());
        violations.extend(found.into_iter().map(|text| format!("{place:?}: {text}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against clients that use up the descriptors which the host needs for the log, the
/// workers and its peers.
#[rstest]
#[case::silent(Load::Silent)]
#[case::stopped_upgrades(Load::UpgradeStops)]
fn entry_crowd_larger_than_descriptors(#[case] load: Load) {
    let _alone = run_alone();
    let run = |place| run_case(load, place, MANY_CLIENTS, FEW_FILES);
    let places = [Place::Call, Place::Peer];
    let violations: Vec<_> = places.into_iter().flat_map(run).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
