//! The state of an entry host, which the event loop owns and no other task sees.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_table::ConfigTable;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::version::settings::{ConfigVersion, SystemSettings};
use flamingowalk_wire::caller::HostStatus;
use tokio::sync::watch;

use crate::border::hosts::{HostListing, ListedHost};
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallPort;
use crate::process::election_port::ElectionPort;
use crate::process::host_clock::HostClock;
use crate::process::host_event::LogStream;
use crate::process::host_settings::HostSettings;
use crate::process::job_handler::{JobHandler, job_status};
use crate::process::log_link::LogLink;
use crate::process::log_port::LogPort;
use crate::process::peer_port::PeerPort;
use crate::process::planner_port::PlannerPort;
use crate::process::state_dump::{
    ConnectionSection, ElectionSection, HostSection, JobSection, MemberSection, StateDump,
    StreamSection, TargetSection,
};

/// A stream of the log.
#[derive(Debug)]
pub struct StreamState {
    /// Follower, appender and snapshot schedule of the stream.
    pub port: LogPort,
    /// Connections to the log.
    pub link: LogLink,
}

/// A term in which this host is the leader of its zone's planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldTerm {
    /// The term.
    pub term: LeaderTerm,
    /// When this host learned that it holds the term.
    pub since: MonotonicTime,
}

/// The planner while this host is the leader.
#[derive(Debug)]
pub struct ActivePlanner {
    /// State machine that makes the decisions.
    pub state: PlannerState,
    /// Executes the actions of the planner.
    pub port: PlannerPort,
    /// When the resource usage of the tasks was last requested.
    pub usage_requested_at: MonotonicTime,
    /// Whether the planner is paused, so that it starts nothing.
    pub is_paused: bool,
}

/// State of an entry host.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the host; fixed for the process.
    pub settings: HostSettings,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Clocks of the host.
    pub clock: HostClock,
    /// Configuration version in force; never decreases.
    pub config_version: ConfigVersion,
    /// Settings of the version in force.
    pub system: Arc<SystemSettings>,
    /// Links to other entry hosts.
    pub peers: PeerPort,
    /// Configurations in the log; `config_version` and `system` belong to the adopted one.
    pub config: ConfigTable,
    /// Streams of the log that this host reads and writes.
    pub streams: BTreeMap<LogStream, StreamState>,
    /// Newest listing of hosts and workers.
    pub listing: HostListing,
    /// Dispatcher of calls and the table of their targets.
    pub calls: CallPort,
    /// Jobs in the log.
    pub jobs: JobHandler,
    /// Leader election of the zone.
    pub election: ElectionPort,
    /// Term that this host holds, and since when.
    pub held_term: Option<HeldTerm>,
    /// Planner; present only while this host is the leader.
    pub planner: Option<ActivePlanner>,
    /// When the drain started.
    pub drain_since: Option<MonotonicTime>,
    /// Sends the phase of the shutdown to the server.
    pub phase: watch::Sender<ServePhase>,
    /// Whether the last connection of a caller has ended.
    pub server_ended: bool,
}

impl HostState {
    /// Returns whether the host is ready for requests: a configuration is in force, the
    /// host list has been read, and no drain has started. Every stream has been read to
    /// its tail unless the log fails to answer; the host does not wait for such a log,
    /// since calls do not need it.
    pub fn is_ready(&self) -> bool {
        let is_read_or_failing =
            |stream: &StreamState| stream.port.caught_up_at().is_some() || stream.port.is_failing();
        self.config_version > ConfigVersion(0)
            && !self.listing.workers.is_empty()
            && self.drain_since.is_none()
            && self.streams.values().all(is_read_or_failing)
    }

    /// Returns whether every stream has been read to its tail, which job requests and
    /// the planner need.
    pub fn is_caught_up(&self) -> bool {
        self.streams
            .values()
            .all(|stream| stream.port.caught_up_at().is_some())
    }

    /// Returns the address of a worker, or `None` if it is not listed.
    pub fn worker_address(&self, name: &WorkerName) -> Option<SocketAddr> {
        self.calls.target_address(name)
    }

    /// Returns the summary for callers and operators.
    pub fn status(&self) -> HostStatus {
        HostStatus {
            host: self.settings.name.to_string(),
            zone: self.settings.zone.to_string(),
            ready: self.is_ready(),
            draining: self.drain_since.is_some(),
            config_version: self.config_version.0,
            seat_holder: self.election.holder().map(|holder| holder.host.to_string()),
            seat_term: self.election.term().0,
            jobs: self.jobs.statuses(),
        }
    }

    /// Returns the full state for a dump.
    pub fn dump(&self, idle_to_targets: usize) -> StateDump {
        let now = self.clock.now();
        StateDump {
            host: self.host_section(),
            seat: ElectionSection {
                term: self.election.term().0,
                holder: self.election.holder().map(|holder| holder.host.to_string()),
                may_start: self.election.may_start(now),
            },
            streams: self.stream_sections(now),
            members: self.member_sections(),
            connections: ConnectionSection {
                idle_to_targets,
                open_links: self.peers.open_links(),
            },
            targets: self.target_sections(),
            jobs: self.job_sections(),
            planner: self
                .planner
                .as_ref()
                .map(|planner| planner.state.to_string()),
        }
    }

    fn host_section(&self) -> HostSection {
        HostSection {
            name: self.settings.name.to_string(),
            zone: self.settings.zone.to_string(),
            incarnation: self.incarnation,
            ready: self.is_ready(),
            draining: self.drain_since.is_some(),
            calls: self.calls.open_calls(),
            config_version: self.config_version.0,
        }
    }

    fn stream_sections(&self, now: MonotonicTime) -> Vec<StreamSection> {
        let age = |at: MonotonicTime| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let section = |(stream, state): (&LogStream, &StreamState)| StreamSection {
            name: stream.name(),
            next: state.port.position().0,
            age_ms: state.port.caught_up_at().map(age),
            open: state.port.open_records(),
        };
        self.streams.iter().map(section).collect()
    }

    fn target_sections(&self) -> Vec<TargetSection> {
        let targets = self.calls.dispatcher.table.entries().values();
        let sections = targets.map(|entry| TargetSection {
            name: entry.record.name.to_string(),
            zone: entry.record.zone.to_string(),
            in_flight: entry.in_flight,
            slots: entry.record.slots,
            leaving: entry.record.draining,
            health: entry.health.state().to_string(),
        });
        sections.collect()
    }

    fn member_sections(&self) -> Vec<MemberSection> {
        let section = |host: &ListedHost| {
            let entry = self.peers.peers.get(&host.name);
            MemberSection {
                name: host.name.to_string(),
                zone: host.zone.to_string(),
                incarnation: entry.and_then(|entry| entry.incarnation),
                linked: entry.is_some(),
                leaving: host.draining,
            }
        };
        self.listing.hosts.iter().map(section).collect()
    }

    fn job_sections(&self) -> Vec<JobSection> {
        let open = self.jobs.table.open_jobs();
        let sections = open.map(|(id, job)| JobSection {
            id: id.to_string(),
            customer: job.accepted.entry.customer.to_string(),
            class: job.accepted.entry.class.to_string(),
            zone: job.home().to_string(),
            phase: job_status(job).phase.to_string(),
        });
        sections.collect()
    }
}
