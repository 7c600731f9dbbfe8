//! The state of an entry host as text and JSON, typed and ordered, for operators and
//! tests.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

/// Full state of an entry host.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Host, zone and readiness.
    pub host: HostSection,
    /// Leader election of the zone.
    pub seat: ElectionSection,
    /// Log streams in order of name.
    pub streams: Vec<StreamSection>,
    /// Entry hosts in order of name.
    pub members: Vec<MemberSection>,
    /// Connections that the host keeps open.
    pub connections: ConnectionSection,
    /// Targets in order of name.
    pub targets: Vec<TargetSection>,
    /// Jobs that have not ended, in order of identifier.
    pub jobs: Vec<JobSection>,
    /// Dump of the planner, if this host is the leader.
    pub planner: Option<String>,
}

/// Host, zone and readiness.
#[derive(Clone, Debug, Serialize)]
pub struct HostSection {
    /// Name of the host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Calls in flight.
    pub calls: u32,
    /// Configuration version in force; zero before the first.
    pub config_version: u64,
}

/// Leader election of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct ElectionSection {
    /// Newest term; zero if there is none.
    pub term: u64,
    /// Host that holds it.
    pub holder: Option<String>,
    /// Whether this host may start work now.
    pub may_start: bool,
}

/// One followed stream.
#[derive(Clone, Debug, Serialize)]
pub struct StreamSection {
    /// Name of the stream.
    pub name: String,
    /// Next offset to read.
    pub next: u64,
    /// Milliseconds since the newest read that reached the tail was sent; `None` while
    /// records are missing.
    pub age_ms: Option<u64>,
    /// Records of this host that are not known to be in the log.
    pub open: usize,
}

/// One entry host.
#[derive(Clone, Debug, Serialize)]
pub struct MemberSection {
    /// Name of the host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Authenticated incarnation while a link is open.
    pub incarnation: Option<u64>,
    /// Whether this host keeps a link to it.
    pub linked: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Connections that the host keeps open.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConnectionSection {
    /// Idle connections to targets.
    pub idle_to_targets: usize,
    /// Open links to other entry hosts.
    pub open_links: usize,
}

/// One target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSection {
    /// Name of the target.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Calls in flight from this host.
    pub in_flight: u32,
    /// Execution slots.
    pub slots: u32,
    /// Whether it is draining, so that it receives no new calls.
    pub leaving: bool,
    /// Whether it is in quarantine, and why.
    pub health: String,
}

/// One open job.
#[derive(Clone, Debug, Serialize)]
pub struct JobSection {
    /// Identifier.
    pub id: String,
    /// Customer.
    pub customer: String,
    /// Job class.
    pub class: String,
    /// Home zone.
    pub zone: String,
    /// Phase of the job, as reported to callers.
    pub phase: String,
}

impl Display for StateDump {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let host = &self.host;
        writeln!(
            f,
            "host {} zone {} incarnation {} ready {} draining {} calls {} config{}",
            host.name,
            host.zone,
            host.incarnation,
            host.ready,
            host.draining,
            host.calls,
            host.config_version
        )?;
        let holder = self.seat.holder.as_deref().unwrap_or("none");
        writeln!(
            f,
            "seat term{} holder {holder} may-start {}",
            self.seat.term, self.seat.may_start
        )?;
        for stream in &self.streams {
            let age = stream
                .age_ms
                .map_or_else(|| "never".to_owned(), |age| format!("{age}ms"));
            let (name, next, open) = (&stream.name, stream.next, stream.open);
            writeln!(f, "stream {name} next {next} read {age} open {open}")?;
        }
        for member in &self.members {
            let leaving = if member.leaving { " leaving" } else { "" };
            let (name, zone) = (&member.name, &member.zone);
            let link = match (member.linked, member.incarnation) {
                (_, Some(incarnation)) => format!("linked incarnation {incarnation}"),
                (true, None) => "no link".to_owned(),
                (false, None) => "not linked by this host".to_owned(),
            };
            writeln!(f, "member {name} zone {zone} {link}{leaving}")?;
        }
        let connections = &self.connections;
        let (idle, links) = (connections.idle_to_targets, connections.open_links);
        writeln!(f, "connections idle to targets {idle} open links {links}")?;
        for target in &self.targets {
            let leaving = if target.leaving { " leaving" } else { "" };
            let (name, zone) = (&target.name, &target.zone);
            let (calls, slots) = (target.in_flight, target.slots);
            writeln!(
                f,
                "target {name} zone {zone} calls {calls}/{slots} {}{leaving}",
                target.health
            )?;
        }
        for job in &self.jobs {
            let (id, customer, class) = (&job.id, &job.customer, &job.class);
            writeln!(
                f,
                "job {id} {customer} {class} zone {} {}",
                job.zone, job.phase
            )?;
        }
        if let Some(planner) = &self.planner {
            writeln!(f, "{}", planner.trim_end())?;
        }
        Ok(())
    }
}
