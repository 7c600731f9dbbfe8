//! Settings of one entry host, read from an INI file. All errors are reported at
//! once, each with its line, key and remedy.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;

use crate::process::settings_reader::{KnownKey, SettingsReader, optional, required};
pub use crate::process::settings_reader::{SettingsError, SettingsErrors};

/// Settings that an entry host needs to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostSettings {
    /// Name of the host; unique among the live hosts.
    pub name: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Address for callers, operators and the balancer; port zero lets the system pick.
    pub caller_address: SocketAddr,
    /// Address for other entry hosts; port zero lets the system pick.
    pub peer_address: SocketAddr,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's host list.
    pub list_address: SocketAddr,
    /// Interval between reads of the host list; above zero.
    pub list_interval: Duration,
    /// Minimum time for which the log keeps records; live state is written again well
    /// before it has passed.
    pub log_retention: Duration,
    /// Limit of the bytes buffered for callers: bodies and large responses.
    pub buffered_bytes: usize,
    /// Limit of the connections of callers, operators and the balancer.
    pub client_connections: usize,
    /// Limit of the connections that peers have opened.
    pub peer_connections: usize,
    /// Secret shared by all entry hosts; a peer without it is refused.
    pub peer_secret: String,
    /// Time between the moment `/readyz` stops reporting ready and the closing of the
    /// listener.
    pub drain_wait: Duration,
    /// Maximum duration of a drain; requests still in flight are aborted after it.
    pub drain_limit: Duration,
    /// Duration of the leader lease, within which the leader must confirm its term.
    pub leader_lease_duration: Duration,
    /// Maximum time for which grants of the voters alone keep the leader lease valid
    /// while the log is unreachable.
    pub max_log_outage: Duration,
    /// Bound on how far two monotonic clocks diverge within `max_log_outage`.
    pub max_clock_drift: Duration,
}

/// Every key that the settings file may hold, in the order of the operator
/// documentation.
pub const KNOWN_KEYS: [KnownKey; 18] = [
    required("host", "name"),
    required("host", "zone"),
    required("host", "region"),
    required("listen", "caller"),
    required("listen", "peer"),
    required("platform", "log"),
    required("platform", "hosts"),
    optional("platform", "hosts-interval-ms", "1000"),
    optional("platform", "log-retention-ms", "86400000"),
    required("peer", "secret"),
    optional("peer", "connections", "1024"),
    optional("clients", "buffer-kb", "65536"),
    optional("clients", "connections", "2048"),
    optional("drain", "wait-ms", "2000"),
    optional("drain", "limit-ms", "60000"),
    optional("seat", "time-ms", "4000"),
    optional("seat", "outage-ms", "5400000"),
    optional("seat", "drift-ms", "1000"),
];

impl HostSettings {
    /// Reads settings from INI text; `file` is used only in errors.
    ///
    /// # Errors
    /// Returns all errors in the text at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::open(file, text, &KNOWN_KEYS)?;
        reader.record_unknown_keys();
        let settings = Self {
            name: reader.text("host", "name").as_str().into(),
            zone: reader.text("host", "zone").as_str().into(),
            region: reader.text("host", "region").as_str().into(),
            caller_address: reader.address("listen", "caller"),
            peer_address: reader.address("listen", "peer"),
            log_address: reader.address("platform", "log"),
            list_address: reader.address("platform", "hosts"),
            list_interval: reader.millis("platform", "hosts-interval-ms"),
            log_retention: reader.millis("platform", "log-retention-ms"),
            peer_secret: reader.text("peer", "secret"),
            peer_connections: reader.count("peer", "connections"),
            buffered_bytes: reader.count("clients", "buffer-kb").saturating_mul(1024),
            client_connections: reader.count("clients", "connections"),
            drain_wait: reader.millis("drain", "wait-ms"),
            drain_limit: reader.millis("drain", "limit-ms"),
            leader_lease_duration: reader.millis("seat", "time-ms"),
            max_log_outage: reader.millis("seat", "outage-ms"),
            max_clock_drift: reader.millis("seat", "drift-ms"),
        };
        check_durations(&mut reader, &settings);
        if reader.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsErrors {
                errors: reader.errors,
            })
        }
    }
}

fn check_durations(reader: &mut SettingsReader, settings: &HostSettings) {
    if settings.drain_limit < settings.drain_wait {
        let problem = "the limit is below drain.wait-ms";
        reader.record_error(
            "drain",
            "limit-ms",
            problem,
            "raise the limit or lower the wait",
        );
    }
    if settings.max_log_outage <= settings.leader_lease_duration {
        let problem = "the outage time is not above seat.time-ms";
        reader.record_error("seat", "outage-ms", problem, "raise it above seat.time-ms");
    }
}
