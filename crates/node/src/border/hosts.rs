//! Host list of the platform, interface version 1. The list lags behind the actual
//! state: it shows which hosts may exist, but a host that is missing from it is not
//! necessarily down.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::WorkerRecord;
use flamingowalk_wire::hosts as wire;
use hyper::{Method, StatusCode};

use crate::connection::http_client::{ExchangeError, HttpClient};

/// Timeout of a request for the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Entry of a worker in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedWorker {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for calls and task requests.
    pub address: SocketAddr,
    /// Number of connections that the worker accepts.
    pub connections: u32,
    /// Identity and resources of the worker.
    pub record: WorkerRecord,
}

/// Entry of an entry host in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Name.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Peer address.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether the host is shutting down.
    pub draining: bool,
}

/// Contents of the host list as read at one time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostListing {
    /// Revision of the list; a lower revision is older.
    pub revision: u64,
    /// Workers of all zones.
    pub workers: Vec<ListedWorker>,
    /// Entry hosts of all zones.
    pub hosts: Vec<ListedHost>,
    /// Size of the encoded list in bytes.
    pub size: u64,
    /// Number of entries skipped because their address cannot be parsed or a worker has no
    /// capacity.
    pub malformed: u64,
}

/// Reads the host list; returns `None` if its revision is still `known`. A server that
/// ignores the revision in the request always sends the whole list.
///
/// # Errors
/// Returns an [`ExchangeError`] if the list cannot be read; the previous listing stays
/// in use.
pub async fn read_hosts(
    client: &HttpClient,
    address: SocketAddr,
    known: Option<u64>,
) -> Result<Option<HostListing>, ExchangeError> {
    let path = match known {
        Some(revision) => format!("/v1/hosts?unless-revision={revision}"),
        None => "/v1/hosts".to_owned(),
    };
    let body = Bytes::new();
    let response = client
        .exchange(address, Method::GET, &path, body, HOST_LIST_TIMEOUT)
        .await;
    let (status, text) = response?;
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    if !status.is_success() {
        let body = String::from_utf8_lossy(&text).into_owned();
        return Err(ExchangeError::Status {
            address,
            status,
            body,
        });
    }
    let list: wire::HostList = serde_json::from_slice(&text).map_err(|error| {
        let detail = error.to_string();
        ExchangeError::Malformed { address, detail }
    })?;
    let mut listing = HostListing {
        revision: list.revision,
        size: text.len() as u64,
        ..HostListing::default()
    };
    for entry in &list.hosts {
        add_entry(&mut listing, entry);
    }
    Ok(Some(listing))
}

fn add_entry(listing: &mut HostListing, entry: &wire::HostEntry) {
    let Ok(address) = entry.address.parse() else {
        listing.malformed += 1;
        return;
    };
    let draining = matches!(entry.state, wire::HostState::Leaving);
    match (&entry.role, &entry.capacity) {
        (wire::HostRole::Entry, _) => listing.hosts.push(ListedHost {
            name: entry.name.as_str().into(),
            zone: entry.zone.as_str().into(),
            address,
            incarnation: entry.incarnation,
            draining,
        }),
        (wire::HostRole::Worker, Some(capacity)) => listing.workers.push(ListedWorker {
            zone: entry.zone.as_str().into(),
            address,
            connections: capacity.connections,
            record: WorkerRecord {
                name: entry.name.as_str().into(),
                rack: capacity.rack.as_str().into(),
                incarnation: entry.incarnation,
                draining,
                services: capacity
                    .services
                    .iter()
                    .map(|name| name.as_str().into())
                    .collect(),
                slots: capacity.slots,
                cores: capacity.cores,
                memory_mb: capacity.memory_mb,
                accelerators: capacity.accelerators,
            },
        }),
        (wire::HostRole::Worker, None) => listing.malformed += 1,
    }
}
