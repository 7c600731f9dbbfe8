//! Starts an entry host: binds its ports, starts the event loop with the tasks around
//! it, and returns a handle. Must run inside a `tokio::task::LocalSet`.

use std::io;
use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_table::ConfigTable;
use flamingowalk_core::process::election::{ElectionTimes, LeaderElection, VoterIdentity};
use flamingowalk_core::process::snapshot::SnapshotTimes;
use flamingowalk_core::version::settings::{ConfigVersion, SystemSettings};
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

use crate::border::hosts::HostListing;
use crate::connection::client_guard::ClientGuard;
use crate::connection::client_limits::{ClientBudget, ClientLimits};
use crate::connection::http_client::HttpClient;
use crate::connection::http_server::{ListenerRules, ServePhase, serve_connections};
use crate::connection::peer_link::LinkIdentity;
use crate::connection::target_pool::TargetPool;
use crate::process::call_port::CallPort;
use crate::process::election_port::ElectionPort;
use crate::process::event_loop::run_loop;
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent, LogStream};
use crate::process::host_poll::poll_hosts;
use crate::process::host_settings::HostSettings;
use crate::process::host_state::{HostState, StreamState};
use crate::process::job_handler::JobHandler;
use crate::process::log_link::LogLink;
use crate::process::log_port::LogPort;
use crate::process::peer_port::PeerPort;
use crate::process::peer_server::serve_peers;
use crate::request::call::CallContext;
use crate::request::route::{check_head, route_request};

/// Interval between ticks of the loop.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why a host did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The host cannot listen on an address of its settings.
    #[error("cannot listen on {address} ({error}); free the port or change [listen] {key}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Key of the setting.
        key: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHandle {
    /// Address for callers, with the port that the system picked.
    pub address: SocketAddr,
    /// Address for peers, with the port that the system picked.
    pub peer_address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: u64,
    events: EventSender,
    /// Finishes when the shutdown is over.
    event_loop: JoinHandle<()>,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryHandle {
    /// Starts a graceful shutdown.
    pub fn drain(&self) {
        let _ = self.events.send(HostEvent::DrainRequested);
    }

    /// Waits until the shutdown is over: every connection of a caller and every call has
    /// ended, or the time limit of the drain has passed.
    pub async fn finished(mut self) {
        self.wait_finished().await;
    }

    /// Waits as [`Self::finished`] does, but leaves the handle usable. Must not be
    /// called again once it has returned.
    pub async fn wait_finished(&mut self) {
        let _ = (&mut self.event_loop).await;
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.event_loop.abort();
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts an entry host.
///
/// # Errors
/// Returns a [`StartError`], which names the setting to change.
pub async fn start_host(
    settings: HostSettings,
    recorder: Option<PrometheusHandle>,
) -> Result<EntryHandle, StartError> {
    let peer_listener = bind_listener(settings.peer_address, "peer").await?;
    let peer_address = peer_listener.local_addr().unwrap_or(settings.peer_address);
    let settings = HostSettings {
        peer_address,
        ..settings
    };
    let listener = bind_listener(settings.caller_address, "caller").await?;
    let address = listener.local_addr().unwrap_or(settings.caller_address);
    let incarnation = HostClock::wall_time().0;
    let clock = HostClock::start();
    let client = HttpClient::default();
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (phase, phase_watch) = watch::channel(ServePhase::default());
    let identity = LinkIdentity {
        host: settings.name.to_string(),
        zone: settings.zone.to_string(),
        incarnation,
        secret: settings.peer_secret.clone(),
    };
    let peers = PeerPort::new(identity.clone(), events.clone());
    let budget = ClientBudget::for_entry(settings.buffered_bytes, settings.client_connections);
    let guard = ClientGuard::new(budget);
    let peer_connections = settings.peer_connections;
    let mut state = new_state(settings, incarnation, clock, phase, peers);
    start_streams(&mut state, &client, &events);
    let mut tasks = Vec::new();
    let interval = state.settings.list_interval;
    let list_address = state.settings.list_address;
    tasks.push(spawn_local(poll_hosts(
        client.clone(),
        list_address,
        interval,
        events.clone(),
    )));
    tasks.push(spawn_local(send_ticks(events.clone())));
    tasks.push(spawn_local(serve_peers(
        peer_listener,
        identity,
        events.clone(),
        guard.clone(),
        peer_connections,
    )));
    let pool = TargetPool::default();
    let calls = CallContext {
        events: events.clone(),
        pool,
        clock,
    };
    let event_loop = spawn_local(run_loop(state, client, calls.clone(), event_receiver));
    let server_events = events.clone();
    let rules = ListenerRules {
        name: "callers",
        max_connections: guard.budget().callers,
        guard,
        refuses_responses: false,
        limits: Box::new(ClientLimits::default),
        check_head: Box::new(check_head),
    };
    let serving = serve_connections(listener, phase_watch, rules, move |request, remote| {
        route_request(request, remote, calls.clone(), recorder.clone())
    });
    let server = spawn_local(async move {
        serving.await;
        // Sending fails only if the loop has already ended.
        let _ = server_events.send(HostEvent::ServerEnded);
    });
    Ok(EntryHandle {
        address,
        peer_address,
        incarnation,
        events,
        event_loop,
        server,
        tasks,
    })
}

async fn bind_listener(address: SocketAddr, key: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StartError::Listen {
        address,
        key,
        error,
    })
}

fn new_state(
    settings: HostSettings,
    incarnation: u64,
    clock: HostClock,
    phase: watch::Sender<ServePhase>,
    peers: PeerPort,
) -> HostState {
    let zone = settings.zone.clone();
    let election = ElectionPort::new(new_election(&settings, incarnation), zone.clone());
    HostState {
        incarnation,
        clock,
        config_version: ConfigVersion(0),
        system: Arc::new(SystemSettings::default()),
        peers,
        config: ConfigTable::default(),
        streams: BTreeMap::new(),
        listing: HostListing::default(),
        calls: CallPort::new(zone, ChaCha8Rng::seed_from_u64(incarnation), clock.now()),
        jobs: JobHandler::default(),
        election,
        planner: None,
        held_term: None,
        drain_since: None,
        phase,
        server_ended: false,
        settings,
    }
}

fn new_election(settings: &HostSettings, incarnation: u64) -> LeaderElection {
    let own = VoterIdentity {
        host: settings.name.clone(),
        incarnation,
        address: settings.peer_address,
    };
    let times = ElectionTimes {
        lease_duration: settings.leader_lease_duration,
        max_log_outage: settings.max_log_outage,
        max_clock_drift: settings.max_clock_drift,
    };
    LeaderElection::new(own, settings.zone.clone(), times)
}

fn start_streams(state: &mut HostState, client: &HttpClient, events: &EventSender) {
    let settings = &state.settings;
    let streams = [
        LogStream::Config,
        LogStream::Jobs,
        LogStream::Seat(settings.zone.clone()),
    ];
    let writer = format!("{}/{}", settings.name, state.incarnation);
    let times = SnapshotTimes::for_retention(settings.log_retention);
    let address = settings.log_address;
    let now = state.clock.now();
    for stream in streams {
        let port = LogPort::new(now, writer.clone(), state.incarnation, times);
        let link = LogLink::new(client.clone(), address, stream.clone(), events.clone());
        let stream_state = StreamState { port, link };
        state.streams.insert(stream, stream_state);
    }
}

async fn send_ticks(events: EventSender) {
    while events.send(HostEvent::Ticked).is_ok() {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
