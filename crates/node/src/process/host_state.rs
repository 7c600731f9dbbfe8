//! The state of an entry host: what the event loop owns and no other task sees.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::version::settings::{ConfigVersion, SystemSettings};
use flamingowalk_wire::caller::HostStatus;
use flamingowalk_wire::records::ConfigRecord;
use tokio::sync::{mpsc, watch};

use crate::border::hosts::{HostListing, ListedHost};
use crate::border::log::NewRecord;
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallPort;
use crate::process::host_clock::HostClock;
use crate::process::host_event::LogStream;
use crate::process::host_settings::HostSettings;
use crate::process::job_desk::JobDesk;
use crate::process::peer_port::PeerPort;
use crate::process::planner_port::PlannerPort;
use crate::process::seat_port::SeatPort;
use crate::process::state_dump::{
    HostSection, JobSection, MemberSection, SeatSection, StateDump, StreamSection, TargetSection,
};

/// How far a stream has been read.
#[derive(Clone, Debug, Default)]
pub struct StreamPosition {
    /// Next offset to read.
    pub next: u64,
    /// When the newest read that reached the tail was sent.
    pub tail_read_at: Option<MonotonicTime>,
    /// Whether the newest read failed.
    pub is_failing: bool,
}

/// The planner while this host holds the seat.
#[derive(Debug)]
pub struct SeatedPlanner {
    /// Decisions.
    pub state: PlannerState,
    /// Carries out its actions.
    pub port: PlannerPort,
}

/// State of an entry host.
#[derive(Debug)]
pub struct HostState {
    /// Settings; fixed for the process.
    pub settings: HostSettings,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Clocks.
    pub clock: HostClock,
    /// Version in force; never decreases.
    pub config_version: ConfigVersion,
    /// Settings of the version in force.
    pub system: Arc<SystemSettings>,
    /// Record of the version in force, for peers that are cut off from the log.
    pub config_record: Option<ConfigRecord>,
    /// Links to other entry hosts.
    pub peers: PeerPort,
    /// Positions of the followed streams.
    pub streams: BTreeMap<LogStream, StreamPosition>,
    /// Writers of the streams.
    pub writers: BTreeMap<LogStream, mpsc::UnboundedSender<NewRecord>>,
    /// Newest reading of the host list.
    pub listing: HostListing,
    /// Calls and their targets.
    pub calls: CallPort,
    /// Jobs of the log.
    pub jobs: JobDesk,
    /// Seat of the zone.
    pub seat: SeatPort,
    /// Planner; present only while the seat is held.
    pub planner: Option<SeatedPlanner>,
    /// When the drain began.
    pub drain_since: Option<MonotonicTime>,
    /// Tells the server how far the shutdown is.
    pub phase: watch::Sender<ServePhase>,
    /// Whether the last connection of a caller has ended.
    pub server_ended: bool,
}

impl HostState {
    /// Whether the host takes requests: a configuration is in force, the host
    /// list has been read, and no drain has begun. A log that answers has been read
    /// to its tail; one that does not is not waited for, since calls do without.
    pub fn is_ready(&self) -> bool {
        let is_settled =
            |position: &StreamPosition| position.tail_read_at.is_some() || position.is_failing;
        self.config_version > ConfigVersion(0)
            && !self.listing.workers.is_empty()
            && self.drain_since.is_none()
            && self.streams.values().all(is_settled)
    }

    /// Whether every stream has been read to its tail once, which job requests
    /// and the planner need.
    pub fn is_caught_up(&self) -> bool {
        self.streams
            .values()
            .all(|position| position.tail_read_at.is_some())
    }

    /// Appends a record through its stream's writer.
    pub fn append(&self, stream: &LogStream, record: NewRecord) {
        let sent = self.writers.get(stream).map(|writer| writer.send(record));
        debug_assert!(sent.is_some(), "stream {} has no writer", stream.name());
    }

    /// Address of a listed worker.
    pub fn worker_address(&self, name: &WorkerName) -> Option<SocketAddr> {
        self.calls.target_address(name)
    }

    /// Summary for callers and operators.
    pub fn status(&self) -> HostStatus {
        HostStatus {
            host: self.settings.name.to_string(),
            zone: self.settings.zone.to_string(),
            ready: self.is_ready(),
            draining: self.drain_since.is_some(),
            config_version: self.config_version.0,
            seat_holder: self.seat.holder().map(|holder| holder.host.to_string()),
            seat_term: self.seat.term().0,
            jobs: self
                .jobs
                .jobs
                .values()
                .map(super::job_desk::JobEntry::status)
                .collect(),
        }
    }

    /// Everything a dump shows.
    pub fn dump(&self) -> StateDump {
        let now = self.clock.now();
        StateDump {
            host: self.host_section(),
            seat: SeatSection {
                term: self.seat.term().0,
                holder: self.seat.holder().map(|holder| holder.host.to_string()),
                may_start: self.seat.may_start(now),
            },
            streams: self.stream_sections(now),
            members: self.member_sections(),
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
        let section = |(stream, position): (&LogStream, &StreamPosition)| StreamSection {
            name: stream.name(),
            next: position.next,
            age_ms: position.tail_read_at.map(age),
        };
        self.streams.iter().map(section).collect()
    }

    fn target_sections(&self) -> Vec<TargetSection> {
        let targets = self.calls.desk.table.entries().values();
        let sections = targets.map(|entry| TargetSection {
            name: entry.record.name.to_string(),
            zone: entry.record.zone.to_string(),
            in_flight: entry.in_flight,
            slots: entry.record.slots,
            leaving: entry.record.leaving,
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
                leaving: host.leaving,
            }
        };
        self.listing.hosts.iter().map(section).collect()
    }

    fn job_sections(&self) -> Vec<JobSection> {
        let open = self
            .jobs
            .jobs
            .values()
            .filter(|entry| entry.ended.is_none());
        let sections = open.map(|entry| JobSection {
            id: entry.accepted.job_id.clone(),
            customer: entry.accepted.customer.clone(),
            class: entry.accepted.class.clone(),
            zone: entry.accepted.zone.clone(),
            phase: entry.status().phase.to_string(),
        });
        sections.collect()
    }
}
