//! The platform and the entry hosts of a trial run, all in one process on loopback
//! ports chosen by the operating system.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::{SystemSettings, ZoneSettings};
use flamingowalk_core::version::{
    FolderFile, MergedFolder, check_folder, content_hash, merge_folder,
};
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_node::{EntryHandle, HostSettings, start_host};
use flamingowalk_standin::{HostsStandin, LogStandin, WorkerOptions, WorkerStandin};
use flamingowalk_wire::caller::HostStatus;
use flamingowalk_wire::hosts::{HostEntry, HostRole, HostState};
use flamingowalk_wire::log::LogRecord;
use flamingowalk_wire::records::ConfigRecord;
use hyper::Method;

use crate::exit::CommandError;

/// Entry hosts in each zone.
pub const HOSTS_PER_ZONE: u32 = 2;
/// Timeout for a host to become ready and for a job to finish.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Secret that the entry hosts of a trial run share.
const TRIAL_SECRET: &str = "trial";

/// Example, file name and text of the example folders' files, built in so that a trial
/// run needs no path.
const EXAMPLE_FILES: [(&str, &str, &str); 10] = [
    (
        "podlaga",
        "00-zones.ini",
        include_str!("../../../examples/podlaga/00-zones.ini"),
    ),
    (
        "podlaga",
        "10-services.ini",
        include_str!("../../../examples/podlaga/10-services.ini"),
    ),
    (
        "podlaga",
        "20-customers.ini",
        include_str!("../../../examples/podlaga/20-customers.ini"),
    ),
    (
        "podlaga",
        "30-jobs.ini",
        include_str!("../../../examples/podlaga/30-jobs.ini"),
    ),
    (
        "podlaga",
        "40-policy.ini",
        include_str!("../../../examples/podlaga/40-policy.ini"),
    ),
    (
        "escolta",
        "00-zones.ini",
        include_str!("../../../examples/escolta/00-zones.ini"),
    ),
    (
        "escolta",
        "10-services.ini",
        include_str!("../../../examples/escolta/10-services.ini"),
    ),
    (
        "escolta",
        "20-customers.ini",
        include_str!("../../../examples/escolta/20-customers.ini"),
    ),
    (
        "escolta",
        "30-jobs.ini",
        include_str!("../../../examples/escolta/30-jobs.ini"),
    ),
    (
        "escolta",
        "40-policy.ini",
        include_str!("../../../examples/escolta/40-policy.ini"),
    ),
];

/// An example folder that has passed all checks.
#[derive(Clone, Debug)]
pub struct ExampleFolder {
    /// The merged folder.
    pub merged: MergedFolder,
    /// Settings of the folder.
    pub settings: SystemSettings,
}

/// Reads a built-in example.
///
/// # Errors
/// Returns [`CommandError::Refused`] if there is no such example or it has errors.
pub fn example_folder(name: &str) -> Result<ExampleFolder, CommandError> {
    example_with(name, &[])
}

/// Reads a built-in example together with additional files.
///
/// # Errors
/// Returns [`CommandError::Refused`] if there is no such example or it has errors.
pub fn example_with(name: &str, extra: &[FolderFile]) -> Result<ExampleFolder, CommandError> {
    let selected = EXAMPLE_FILES.iter().filter(|file| file.0 == name);
    let mut files: Vec<_> = selected
        .map(|file| FolderFile {
            name: file.1.to_owned(),
            text: file.2.to_owned(),
        })
        .collect();
    if files.is_empty() {
        let text = format!("there is no example {name:?}; use podlaga or escolta");
        return Err(CommandError::Refused(text));
    }
    files.extend_from_slice(extra);
    let refused = |errors: flamingowalk_core::version::FolderErrors| {
        CommandError::Refused(errors.to_string())
    };
    let merged = merge_folder(&files).map_err(refused)?;
    let settings = check_folder(&merged).map_err(refused)?;
    Ok(ExampleFolder { merged, settings })
}

/// Times of a trial run.
#[derive(Clone, Copy, Debug)]
pub struct TrialTimes {
    /// Run time of every task.
    pub task_run: Duration,
    /// Duration of the planner's leader lease.
    pub leader_lease_duration: Duration,
    /// Maximum drift between the clocks of the hosts.
    pub max_clock_drift: Duration,
}

impl Default for TrialTimes {
    fn default() -> Self {
        Self {
            task_run: Duration::from_millis(300),
            leader_lease_duration: Duration::from_secs(4),
            max_clock_drift: Duration::from_secs(1),
        }
    }
}

/// The running platform of a trial run.
#[derive(Debug)]
pub struct TrialPlatform {
    /// Stand-in of the log.
    pub log: LogStandin,
    /// Stand-in of the host list.
    pub hosts: HostsStandin,
    /// Stand-ins of the workers of all zones.
    pub workers: Vec<WorkerStandin>,
    /// Running entry hosts of all zones, in order of name.
    pub entries: Vec<TrialHost>,
    times: TrialTimes,
}

/// One running entry host.
#[derive(Debug)]
pub struct TrialHost {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Handle of the host.
    pub handle: EntryHandle,
}

impl TrialPlatform {
    /// Starts the stand-ins and entry hosts of all zones with the default times.
    ///
    /// # Errors
    /// Returns [`CommandError::Refused`] if a port cannot be bound.
    pub async fn start(settings: &SystemSettings) -> Result<Self, CommandError> {
        Self::start_with(settings, &TrialTimes::default()).await
    }

    /// Starts the stand-ins and entry hosts of all zones with the given times.
    ///
    /// # Errors
    /// Returns [`CommandError::Refused`] if a port cannot be bound.
    pub async fn start_with(
        settings: &SystemSettings,
        times: &TrialTimes,
    ) -> Result<Self, CommandError> {
        let mut platform = Self::start_standins(settings, times).await?;
        for (zone, declared) in &settings.zones {
            platform.start_entry_hosts(zone, declared).await?;
        }
        Ok(platform)
    }

    /// Starts the stand-ins of all zones without any entry host.
    ///
    /// # Errors
    /// Returns [`CommandError::Refused`] if a port cannot be bound.
    pub async fn start_standins(
        settings: &SystemSettings,
        times: &TrialTimes,
    ) -> Result<Self, CommandError> {
        let log = LogStandin::start().await.map_err(refused)?;
        let hosts = HostsStandin::start().await.map_err(refused)?;
        let mut platform = Self {
            log,
            hosts,
            workers: Vec::new(),
            entries: Vec::new(),
            times: *times,
        };
        for (zone, declared) in &settings.zones {
            platform.start_workers(zone, declared, settings).await?;
        }
        Ok(platform)
    }

    async fn start_workers(
        &mut self,
        zone: &ZoneName,
        declared: &ZoneSettings,
        settings: &SystemSettings,
    ) -> Result<(), CommandError> {
        for rack in 0..declared.racks {
            for index in 0..declared.workers_per_rack {
                let task_run = self.times.task_run;
                let options = WorkerOptions {
                    run_time: Arc::new(move |_| task_run),
                    name: format!("{zone}-r{rack}-w{index}"),
                    zone: zone.to_string(),
                    region: declared.region.to_string(),
                    rack: format!("{zone}-r{rack}"),
                    services: settings
                        .services
                        .keys()
                        .map(ServiceName::to_string)
                        .collect(),
                    slots: declared.slots_per_worker,
                    connections: declared.connections_per_worker,
                    cores: declared.cores_per_worker,
                    memory_mb: declared.memory_mb_per_worker,
                    accelerators: declared.accelerators_per_worker,
                    ..WorkerOptions::default()
                };
                let worker = WorkerStandin::start(options).await.map_err(refused)?;
                self.hosts.add(worker.entry());
                self.workers.push(worker);
            }
        }
        Ok(())
    }

    async fn start_entry_hosts(
        &mut self,
        zone: &ZoneName,
        declared: &ZoneSettings,
    ) -> Result<(), CommandError> {
        for number in 0..HOSTS_PER_ZONE {
            let name = format!("{zone}-entry{number}");
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let text = host_settings(self, &name, zone, &declared.region, any_port, any_port);
            let settings = HostSettings::parse(&name, &text)
                .map_err(|errors| CommandError::Refused(errors.to_string()))?;
            let handle = start_host(settings, None).await.map_err(refused)?;
            let (address, incarnation) = (handle.peer_address, handle.incarnation);
            self.hosts.add(host_list_entry(
                &name,
                zone,
                &declared.region,
                address,
                incarnation,
            ));
            self.entries.push(TrialHost {
                name,
                zone: zone.clone(),
                handle,
            });
        }
        Ok(())
    }

    /// Appends an example folder to the log as the first configuration.
    pub fn publish(&self, example: &ExampleFolder) {
        let settings = example.merged.to_string();
        let content_hash = content_hash(&settings);
        let id = format!("config/0/{content_hash}");
        let publisher = "try".to_owned();
        let record = ConfigRecord {
            base_version: 0,
            content_hash,
            publisher,
            settings,
        };
        let body = serde_json::to_value(record).unwrap_or_default();
        let record = LogRecord {
            id,
            kind: "config".to_owned(),
            schema: 1,
            body,
        };
        self.log.append("config", vec![record]);
    }

    /// Polls the entry hosts until each is ready or its timeout is over, and returns the
    /// configuration version of the last one.
    ///
    /// # Errors
    /// Returns a [`CommandError`] if a host does not respond.
    pub async fn wait_ready(&self) -> Result<u64, CommandError> {
        let client = HttpClient::default();
        let mut version = 0;
        for address in self.addresses() {
            let ready = poll_until(|| host_status(&client, address), |status| status.ready).await?;
            version = ready.config_version;
        }
        Ok(version)
    }

    /// Returns the addresses of the entry hosts for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.handle.address)
            .collect()
    }
}

async fn host_status(client: &HttpClient, address: SocketAddr) -> Result<HostStatus, CommandError> {
    let response = client
        .exchange_json(
            address,
            Method::GET,
            "/v1/status",
            None::<&()>,
            REQUEST_TIMEOUT,
        )
        .await;
    Ok(response?)
}

/// Repeats a request until `is_done` holds for its response or the timeout of a trial
/// run is over; returns the last response.
///
/// # Errors
/// Returns the error of the first request that fails.
pub async fn poll_until<T, F: Future<Output = Result<T, CommandError>>>(
    request: impl Fn() -> F,
    is_done: impl Fn(&T) -> bool,
) -> Result<T, CommandError> {
    let deadline = tokio::time::Instant::now() + TRIAL_TIMEOUT;
    loop {
        let response = request().await?;
        if is_done(&response) || tokio::time::Instant::now() >= deadline {
            return Ok(response);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Renders the settings of an entry host of a trial run as INI text.
pub fn host_settings(
    platform: &TrialPlatform,
    name: &str,
    zone: &ZoneName,
    region: &RegionName,
    caller: SocketAddr,
    peer: SocketAddr,
) -> String {
    let (log, hosts) = (platform.log.address(), platform.hosts.address());
    format!(
        "[host]\nname = {name}\nzone = {zone}\nregion = {region}\n\
         [listen]\ncaller = {caller}\npeer = {peer}\n\
         [platform]\nlog = {log}\nhosts = {hosts}\nhosts-interval-ms = 200\n\
         [peer]\nsecret = {TRIAL_SECRET}\n[drain]\nwait-ms = 100\nlimit-ms = 5000\n\
         [seat]\ntime-ms = {}\ndrift-ms = {}\n",
        platform.times.leader_lease_duration.as_millis(),
        platform.times.max_clock_drift.as_millis()
    )
}

/// Builds the entry of an entry host in the platform's host list. An `incarnation` of
/// zero means unknown.
pub fn host_list_entry(
    name: &str,
    zone: &ZoneName,
    region: &RegionName,
    address: SocketAddr,
    incarnation: u64,
) -> HostEntry {
    HostEntry {
        address: address.to_string(),
        capacity: None,
        incarnation,
        name: name.to_owned(),
        region: region.to_string(),
        role: HostRole::Entry,
        state: HostState::Live,
        zone: zone.to_string(),
    }
}

fn refused(error: impl std::fmt::Display) -> CommandError {
    CommandError::Refused(error.to_string())
}
