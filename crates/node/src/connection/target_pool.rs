//! The kept connections to all targets. The most recently used one goes first, so
//! that spare ones grow idle and are closed; each is judged by itself, and one
//! that went silent is replaced without a word against its target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingowalk_core::connection::liveness::{LivenessRules, ReuseDecision};
use flamingowalk_core::prelude::*;
use flamingowalk_core::request::outcome::{FailurePoint, RepeatSafety};
use metrics::counter;

use crate::connection::target_connection::TargetConnection;

/// Longest time for making a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Most kept connections to one target.
const IDLE_LIMIT: usize = 8;

/// Probes of kept connections that may fail before a new one is made.
const PROBE_LIMIT: u32 = 2;

/// Connections that were not used again, by `cause`.
const CONNECTIONS_DROPPED: &str = "flamingowalk_target_connections_dropped_total";

/// Kept connections, shared by the tasks of one thread.
#[derive(Clone, Debug, Default)]
pub struct TargetPool {
    /// Idle connections by target, most recently used last. Never borrowed across
    /// a wait.
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<TargetConnection>>>>,
    rules: LivenessRules,
}

impl TargetPool {
    /// An empty pool.
    pub fn new(rules: LivenessRules) -> Self {
        Self {
            idle: Rc::default(),
            rules,
        }
    }

    /// Idle connections of all targets.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// A connection that is live as far as can be known: just used, probed, or new.
    ///
    /// # Errors
    /// `DuringConnect`; nothing was sent.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        safety: RepeatSafety,
        needs_fresh: bool,
        now: impl Fn() -> MonotonicTime + Copy,
    ) -> Result<TargetConnection, FailurePoint> {
        let mut failed_probes = 0;
        while !needs_fresh && failed_probes < PROBE_LIMIT {
            let Some(connection) = self.pop(address) else {
                break;
            };
            match connection.judge(&self.rules, safety, now()) {
                ReuseDecision::Discard(_) => drop_counted(connection, "unfit"),
                ReuseDecision::Ready => return Ok(connection),
                ReuseDecision::Probe => {
                    if let Some(live) = connection.probe(self.rules.probe_timeout, now).await {
                        return Ok(live);
                    }
                    counter!(CONNECTIONS_DROPPED, "cause" => "silent").increment(1);
                    failed_probes += 1;
                }
            }
        }
        TargetConnection::open(address, CONNECT_TIMEOUT, now).await
    }

    /// Keeps a connection for the next request.
    pub fn check_in(&self, connection: TargetConnection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address()).or_default();
        if kept.len() < IDLE_LIMIT {
            kept.push(connection);
        }
    }

    /// Whether a target can be reached: makes a connection, probes and keeps it.
    pub async fn probe_target(
        &self,
        address: SocketAddr,
        now: impl Fn() -> MonotonicTime + Copy,
    ) -> bool {
        let Ok(connection) = TargetConnection::open(address, CONNECT_TIMEOUT, now).await else {
            return false;
        };
        let live = connection.probe(self.rules.probe_timeout, now).await;
        let is_live = live.is_some();
        if let Some(connection) = live {
            self.check_in(connection);
        }
        is_live
    }

    /// Closes connections that may not be used again. Called at an interval.
    pub fn sweep(&self, now: MonotonicTime) {
        let is_fit = |connection: &TargetConnection| {
            let verdict = connection.judge(&self.rules, RepeatSafety::Idempotent, now);
            !connection.is_closed() && !matches!(verdict, ReuseDecision::Discard(_))
        };
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(is_fit);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn pop(&self, address: SocketAddr) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
            drop_counted(connection, "closed");
        }
        None
    }
}

fn drop_counted(connection: TargetConnection, cause: &'static str) {
    counter!(CONNECTIONS_DROPPED, "cause" => cause).increment(1);
    drop(connection);
}
