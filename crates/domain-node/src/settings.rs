//! Settings of a host of a planning domain, read from an INI file. All errors are reported
//! at once, each with its line, key and remedy.

use std::net::SocketAddr;
use std::time::Duration;

use flamingowalk_core::prelude::HostName;
use flamingowalk_domain::process::planner::{OverloadLimits, PlanLimits};
use flamingowalk_node::process::settings_reader::{
    KnownKey, SettingsErrors, SettingsReader, optional, required,
};

/// Largest number of a setting, in seconds for a time; prevents overflow in the arithmetic
/// on times.
const MAX_SECONDS: f64 = 1_000_000.0;
/// Time before the end of a drain by which the process gives up work that is left: the process
/// is killed at the end, and answers that are ready would be lost.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Settings that a host of a domain needs to start.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSettings {
    /// Name of the host; unique among the live hosts.
    pub name: HostName,
    /// Share of a core that the host may use, zero or more.
    pub cpu_share: f64,
    /// Memory of the host in megabytes.
    pub memory_mb: u64,
    /// File descriptors that the host may open.
    pub max_files: u64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// Address of the metrics and of the state dump.
    pub status_address: SocketAddr,
    /// Address of the log.
    pub log_address: SocketAddr,
    /// Address of the advice service; `None` if no queue needs approval of its workers.
    pub advice_address: Option<SocketAddr>,
    /// Address of the machine service, if there is one.
    pub machines_address: Option<SocketAddr>,
    /// Limits of the planner in this deployment.
    pub limits: PlanLimits,
    /// Time between becoming unready and closing the listener for callers.
    pub drain_wait: Duration,
    /// Maximum duration of a drain, after which work in flight is aborted.
    pub drain_limit: Duration,
}

/// Every key, in the order of the operators' reference of the settings.
pub const KNOWN_KEYS: [KnownKey; 28] = [
    required("host", "name"),
    optional("host", "cpu-share", "1"),
    optional("host", "memory-mb", "120"),
    optional("host", "max-files", "3075"),
    required("listen", "caller"),
    required("listen", "ready"),
    required("listen", "status"),
    required("platform", "log"),
    optional("platform", "orders", "request"),
    optional("platform", "advice", "none"),
    optional("platform", "machines", "none"),
    optional("bounds", "lease-s", "10"),
    optional("bounds", "stop-grace-s", "1"),
    optional("bounds", "gang-timeout-s", "3"),
    optional("bounds", "reclaim-s", "3"),
    optional("bounds", "remote-factor", "3"),
    optional("bounds", "checkpoint-s", "1"),
    optional("bounds", "restore-s", "0.25"),
    optional("bounds", "status-s", "120"),
    optional("bounds", "early-s", "0"),
    optional("bounds", "machine-lease-s", "3"),
    optional("bounds", "evacuate-s", "none"),
    optional("overload", "order", "off"),
    optional("overload", "stops", "off"),
    optional("overload", "reject", "off"),
    optional("overload", "shares", "off"),
    optional("drain", "wait-s", "2.5"),
    optional("drain", "limit-s", "6"),
];

impl DomainSettings {
    /// Returns the time after which a drain gives up work that is left.
    pub fn drain_time(&self) -> Duration {
        self.drain_limit.saturating_sub(EXIT_MARGIN)
    }

    /// Parses settings from INI text; `file` is only used in error messages.
    ///
    /// # Errors
    /// Returns all errors of the text at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = SettingsReader::open(file, text, &KNOWN_KEYS)?;
        reader.record_unknown_keys();
        let settings = Self {
            name: reader.text("host", "name").as_str().into(),
            cpu_share: number(&mut reader, "host", "cpu-share"),
            memory_mb: number(&mut reader, "host", "memory-mb") as u64,
            max_files: number(&mut reader, "host", "max-files") as u64,
            caller_address: reader.address("listen", "caller"),
            ready_address: reader.address("listen", "ready"),
            status_address: reader.address("listen", "status"),
            log_address: reader.address("platform", "log"),
            advice_address: optional_address(&mut reader, "platform", "advice"),
            machines_address: optional_address(&mut reader, "platform", "machines"),
            limits: PlanLimits {
                lease_limit: seconds(&mut reader, "bounds", "lease-s"),
                stop_grace: seconds(&mut reader, "bounds", "stop-grace-s"),
                gang_timeout: seconds(&mut reader, "bounds", "gang-timeout-s"),
                reclaim_bound: seconds(&mut reader, "bounds", "reclaim-s"),
                remote_factor: number(&mut reader, "bounds", "remote-factor").ceil() as u32,
                checkpoint_interval: seconds(&mut reader, "bounds", "checkpoint-s"),
                restore_time: seconds(&mut reader, "bounds", "restore-s"),
                status_retention: seconds(&mut reader, "bounds", "status-s"),
                early_tolerance: seconds(&mut reader, "bounds", "early-s"),
                machine_lease: seconds(&mut reader, "bounds", "machine-lease-s"),
                evacuation_bound: optional_seconds(&mut reader, "bounds", "evacuate-s"),
                overload: OverloadLimits {
                    orders_by_cost: switch(&mut reader, "overload", "order"),
                    limits_stops: switch(&mut reader, "overload", "stops"),
                    rejects_jobs: switch(&mut reader, "overload", "reject"),
                    shares_capacity: switch(&mut reader, "overload", "shares"),
                },
                adapts_to_speeds: true,
            },
            drain_wait: seconds(&mut reader, "drain", "wait-s"),
            drain_limit: seconds(&mut reader, "drain", "limit-s"),
        };
        if reader.text("platform", "orders") != "request" {
            let problem = "workers that take their orders with heartbeats are not supported";
            let remedy = "run on workers that take orders by request, and write request";
            reader.record_error("platform", "orders", problem, remedy);
        }
        if settings.drain_limit < settings.drain_wait {
            let problem = "the limit is below drain.wait-s";
            let remedy = "raise the limit or lower the wait";
            reader.record_error("drain", "limit-s", problem, remedy);
        }
        if reader.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsErrors {
                errors: reader.errors,
            })
        }
    }
}

/// Returns the value of a key as an address, or `None` for the value `none`.
fn optional_address(reader: &mut SettingsReader, section: &str, key: &str) -> Option<SocketAddr> {
    let is_absent = reader.text(section, key) == "none";
    (!is_absent).then(|| reader.address(section, key))
}

/// Returns the value of a key as a number from zero to [`MAX_SECONDS`].
fn number(reader: &mut SettingsReader, section: &str, key: &str) -> f64 {
    let text = reader.text(section, key);
    let number = text.parse::<f64>().ok();
    let valid = number.filter(|number| (0.0..=MAX_SECONDS).contains(number));
    valid.unwrap_or_else(|| {
        if !text.is_empty() {
            let problem = format!("{text:?} is not a number from 0 to {MAX_SECONDS}");
            reader.record_error(section, key, &problem, "write a number, as 1.5");
        }
        1.0
    })
}

/// Returns the value of a key as a time, or `None` for the value `none`.
fn optional_seconds(reader: &mut SettingsReader, section: &str, key: &str) -> Option<Duration> {
    let is_absent = reader.text(section, key) == "none";
    (!is_absent).then(|| seconds(reader, section, key))
}

fn seconds(reader: &mut SettingsReader, section: &str, key: &str) -> Duration {
    Duration::from_secs_f64(number(reader, section, key))
}

/// Returns whether a key is `on`.
fn switch(reader: &mut SettingsReader, section: &str, key: &str) -> bool {
    let text = reader.text(section, key);
    if text != "on" && text != "off" {
        let problem = format!("{text:?} is neither on nor off");
        reader.record_error(section, key, &problem, "write on or off");
    }
    text == "on"
}
