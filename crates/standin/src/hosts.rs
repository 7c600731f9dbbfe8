//! Stand-in of the platform's host list, with an adjustable lag.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingowalk_wire::hosts::{HostEntry, HostList, HostState};
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use crate::error::StandinError;
use crate::fault::{FaultSwitches, lock};
use crate::reply::{self, Reply};
use crate::server::{BufferedRequest, HttpServer};

const HOSTS_PATH: &str = "/v1/hosts";
const MAX_CONNECTIONS: usize = 4_096;

#[derive(Debug)]
struct ListHistory {
    hosts: BTreeMap<String, HostEntry>,
    /// Every list so far with the time of its creation, oldest first; never empty.
    lists: Vec<(Instant, HostList)>,
    lag: Duration,
}

impl ListHistory {
    fn new() -> Self {
        let empty = HostList {
            hosts: Vec::new(),
            revision: 0,
        };
        Self {
            hosts: BTreeMap::new(),
            lists: vec![(Instant::now(), empty)],
            lag: Duration::ZERO,
        }
    }

    fn update(&mut self, edit: impl FnOnce(&mut BTreeMap<String, HostEntry>)) {
        edit(&mut self.hosts);
        let list = HostList {
            hosts: self.hosts.values().cloned().collect(),
            revision: self.lists.len() as u64,
        };
        self.lists.push((Instant::now(), list));
    }

    /// Returns the newest list that is at least as old as the lag.
    fn visible(&self) -> &HostList {
        let now = Instant::now();
        let old_enough = |(at, _): &&(Instant, HostList)| *at + self.lag <= now;
        let newest = self.lists.iter().rev().find(old_enough);
        &newest.unwrap_or(&self.lists[0]).1
    }
}

/// A host list on a loopback port.
#[derive(Debug)]
pub struct HostsStandin {
    server: HttpServer,
    history: Arc<Mutex<ListHistory>>,
}

impl HostsStandin {
    /// Starts an empty list inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start() -> Result<Self, StandinError> {
        let history = Arc::new(Mutex::new(ListHistory::new()));
        let shared = Arc::clone(&history);
        let handle = move |request| std::future::ready(handle(&shared, &request));
        let server = HttpServer::start(MAX_CONNECTIONS, handle).await?;
        Ok(Self { server, history })
    }

    /// Address that serves the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Fault switches of the list.
    pub fn faults(&self) -> &FaultSwitches {
        &self.server.faults
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn add(&self, host: HostEntry) {
        let name = host.name.clone();
        lock(&self.history).update(|hosts| {
            hosts.insert(name, host);
        });
    }

    /// Marks a host as leaving, the wire's state for a host that drains. An unknown
    /// name changes only the revision.
    pub fn mark_draining(&self, name: &str) {
        lock(&self.history).update(|hosts| {
            if let Some(host) = hosts.get_mut(name) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        lock(&self.history).update(|hosts| {
            hosts.remove(name);
        });
    }

    /// Serves the list as it was `lag` ago from now on.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.history).lag = lag;
    }
}

fn handle(history: &Mutex<ListHistory>, request: &BufferedRequest) -> Reply {
    if request.path != HOSTS_PATH {
        return reply::empty(StatusCode::NOT_FOUND);
    }
    if request.method != Method::GET {
        return reply::empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let history = lock(history);
    let list = history.visible();
    if request.query_number("unless-revision") == Some(list.revision) {
        return reply::empty(StatusCode::NOT_MODIFIED);
    }
    reply::json(StatusCode::OK, list)
}
