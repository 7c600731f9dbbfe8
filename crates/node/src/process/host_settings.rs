//! Settings of one entry host, read from an INI file. All faults are reported at
//! once, each with its line, key and remedy.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use ini::Ini;
use thiserror::Error;

/// Everything an entry host has to know before it starts.
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
    /// Interval between readings of the host list; above zero.
    pub list_interval: Duration,
    /// Time for which the log keeps records at least; live state is written again
    /// well before.
    pub log_retention: Duration,
    /// Secret shared by all entry hosts; a peer without it gets nothing.
    pub peer_secret: String,
    /// Time between `/readyz` turning off and the listener closing.
    pub drain_wait: Duration,
    /// Longest time a drain may take; requests still in flight are cut after it.
    pub drain_limit: Duration,
    /// Time within which the holder of the planner seat proves itself.
    pub seat_time: Duration,
    /// Time for which promises alone carry the seat while the log is unreachable.
    pub seat_outage: Duration,
    /// Bound on how far two monotonic clocks diverge over the outage time.
    pub seat_drift: Duration,
}

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{file}:{line}: [{section}] {key}: {problem}; {remedy}")]
pub struct SettingsFault {
    /// File as named on the command line.
    pub file: String,
    /// Line, counted from one; zero when the key is absent.
    pub line: usize,
    /// Section of the key.
    pub section: String,
    /// Key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// All faults of a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct SettingsFaults {
    /// The faults in the order in which they were found; never empty.
    pub faults: Vec<SettingsFault>,
}

impl Display for SettingsFaults {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// A key that a settings file may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownKey {
    /// Section of the key.
    pub section: &'static str,
    /// Key.
    pub key: &'static str,
    /// Value when the key is absent; a key without one is required.
    pub default: Option<&'static str>,
}

const fn required(section: &'static str, key: &'static str) -> KnownKey {
    KnownKey {
        section,
        key,
        default: None,
    }
}

const fn optional(section: &'static str, key: &'static str, default: &'static str) -> KnownKey {
    KnownKey {
        section,
        key,
        default: Some(default),
    }
}

/// Every key, in the order of the operators' page.
pub const KNOWN_KEYS: [KnownKey; 15] = [
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
    optional("drain", "wait-ms", "2000"),
    optional("drain", "limit-ms", "60000"),
    optional("seat", "time-ms", "4000"),
    optional("seat", "outage-ms", "5400000"),
    optional("seat", "drift-ms", "1000"),
];

impl HostSettings {
    /// Reads settings from INI text; `file` is used in faults only.
    ///
    /// # Errors
    /// All faults of the text at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsFaults> {
        let mut reader = SettingsReader::open(file, text)?;
        reader.check_known();
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
            drain_wait: reader.millis("drain", "wait-ms"),
            drain_limit: reader.millis("drain", "limit-ms"),
            seat_time: reader.millis("seat", "time-ms"),
            seat_outage: reader.millis("seat", "outage-ms"),
            seat_drift: reader.millis("seat", "drift-ms"),
        };
        reader.check_times(&settings);
        if reader.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsFaults {
                faults: reader.faults,
            })
        }
    }
}

/// Reads keys and collects faults.
struct SettingsReader {
    file: String,
    lines: Vec<String>,
    ini: Ini,
    faults: Vec<SettingsFault>,
}

impl SettingsReader {
    fn open(file: &str, text: &str) -> Result<Self, SettingsFaults> {
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                lines: text.lines().map(str::to_owned).collect(),
                ini,
                faults: Vec::new(),
            }),
            Err(error) => Err(SettingsFaults {
                faults: vec![SettingsFault {
                    file: file.to_owned(),
                    line: error.line + 1,
                    section: String::new(),
                    key: String::new(),
                    problem: error.msg.to_string(),
                    remedy: "write the file as INI sections of `key = value` lines".to_owned(),
                }],
            }),
        }
    }

    fn fault(&mut self, section: &str, key: &str, problem: &str, remedy: &str) {
        let fault = SettingsFault {
            file: self.file.clone(),
            line: self.line_of(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        };
        self.faults.push(fault);
    }

    /// Line of a key counted from one; zero if it is absent.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut current = "";
        for (index, line) in self.lines.iter().enumerate() {
            let line = line.trim();
            if let Some(header) = line.strip_prefix('[') {
                current = header.trim_end_matches(']').trim();
            } else if current == section
                && line
                    .split('=')
                    .next()
                    .is_some_and(|name| name.trim() == key)
            {
                return index + 1;
            }
        }
        0
    }

    fn check_known(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !KNOWN_KEYS
                    .iter()
                    .any(|known| known.section == section && known.key == key)
                {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.fault(
                &section,
                &key,
                "unknown key",
                "remove it or correct its spelling",
            );
        }
    }

    fn text(&mut self, section: &str, key: &str) -> String {
        let known = KNOWN_KEYS
            .iter()
            .find(|known| known.section == section && known.key == key);
        debug_assert!(known.is_some(), "key {section}.{key} is not declared");
        let default = known.and_then(|known| known.default);
        let value = self
            .ini
            .get_from(Some(section), key)
            .or(default)
            .unwrap_or_default();
        let value = value.trim().to_owned();
        if value.is_empty() {
            self.fault(section, key, "no value", "add the key with a value");
        }
        value
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let value = self.text(section, key);
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        if value.is_empty() {
            return fallback;
        }
        value.parse().unwrap_or_else(|_error| {
            let problem = format!("{value:?} is not an address");
            self.fault(
                section,
                key,
                &problem,
                "write an IP number and port, as 127.0.0.1:7000",
            );
            fallback
        })
    }

    fn millis(&mut self, section: &str, key: &str) -> Duration {
        let value = self.text(section, key);
        let millis = value.parse::<u64>().ok().filter(|millis| *millis > 0);
        Duration::from_millis(millis.unwrap_or_else(|| {
            let problem = format!("{value:?} is not a whole number above zero");
            self.fault(section, key, &problem, "write milliseconds, as 1000");
            1
        }))
    }

    fn check_times(&mut self, settings: &HostSettings) {
        if settings.drain_limit < settings.drain_wait {
            let problem = "the limit is below drain.wait-ms";
            self.fault(
                "drain",
                "limit-ms",
                problem,
                "raise the limit or lower the wait",
            );
        }
        if settings.seat_outage <= settings.seat_time {
            let problem = "the outage time is not above seat.time-ms";
            self.fault("seat", "outage-ms", problem, "raise it above seat.time-ms");
        }
    }
}
