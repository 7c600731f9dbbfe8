//! Pool of idle connections to all targets. The most recently used connection is reused
//! first, so that surplus ones stay idle and are closed. Each is checked on its own: an
//! unresponsive connection is replaced and does not count against the health of its target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingowalk_core::connection::liveness::{LivenessRules, ReuseDecision};
use flamingowalk_core::prelude::*;
use flamingowalk_core::request::outcome::{FailurePoint, RetrySafety};
use metrics::counter;

use crate::connection::target_connection::TargetConnection;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Number of failed probes of idle connections after which a new one is opened.
const MAX_FAILED_PROBES: u32 = 2;

/// Counter of idle connections that were closed instead of reused, by `cause`.
const CONNECTIONS_DROPPED: &str = "flamingowalk_target_connections_dropped_total";

/// Pool of idle connections, shared by the tasks of one thread.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    /// Idle connections by target, most recently used last. Never borrowed across an
    /// `await`.
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<TargetConnection>>>>,
    rules: LivenessRules,
}

impl TargetPool {
    /// Creates an empty pool.
    pub fn new(rules: LivenessRules) -> Self {
        Self {
            idle: Rc::default(),
            rules,
        }
    }

    /// Returns the number of idle connections to all targets.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Returns a connection that was used recently, has just been probed, or is new. With
    /// `needs_fresh` it is always new.
    ///
    /// # Errors
    /// Returns `DuringConnect`; nothing was sent.
    pub async fn check_out(
        &self,
        address: SocketAddr,
        safety: RetrySafety,
        needs_fresh: bool,
        now: impl Fn() -> MonotonicTime + Copy,
    ) -> Result<TargetConnection, FailurePoint> {
        let mut failed_probes = 0;
        while !needs_fresh && failed_probes < MAX_FAILED_PROBES {
            let Some(connection) = self.pop(address) else {
                break;
            };
            match connection.reuse_decision(&self.rules, safety, now()) {
                ReuseDecision::Discard(_) => discard(connection, "unfit"),
                ReuseDecision::Ready => return Ok(connection),
                ReuseDecision::Probe => {
                    if let Some(probed) = connection.probe(self.rules.probe_timeout, now).await {
                        return Ok(probed);
                    }
                    counter!(CONNECTIONS_DROPPED, "cause" => "silent").increment(1);
                    failed_probes += 1;
                }
            }
        }
        TargetConnection::open(address, CONNECT_TIMEOUT, now).await
    }

    /// Returns a connection to the pool for the next request.
    pub fn check_in(&self, connection: TargetConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Returns whether a target responds to a probe on a new connection, and keeps that
    /// connection in the pool.
    pub async fn probe_target(
        &self,
        address: SocketAddr,
        now: impl Fn() -> MonotonicTime + Copy,
    ) -> bool {
        let Ok(connection) = TargetConnection::open(address, CONNECT_TIMEOUT, now).await else {
            return false;
        };
        let probed = connection.probe(self.rules.probe_timeout, now).await;
        let is_live = probed.is_some();
        if let Some(connection) = probed {
            self.check_in(connection);
        }
        is_live
    }

    /// Closes connections that can no longer be reused. Called at regular intervals.
    pub fn sweep(&self, now: MonotonicTime) {
        let is_reusable = |connection: &TargetConnection| {
            let decision = connection.reuse_decision(&self.rules, RetrySafety::Idempotent, now);
            !connection.is_closed() && !matches!(decision, ReuseDecision::Discard(_))
        };
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(is_reusable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn pop(&self, address: SocketAddr) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
            discard(connection, "closed");
        }
        None
    }
}

fn discard(connection: TargetConnection, cause: &'static str) {
    counter!(CONNECTIONS_DROPPED, "cause" => cause).increment(1);
    drop(connection);
}
