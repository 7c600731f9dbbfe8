//! Budgets of a process for the clients of all its listeners: the bytes buffered for them and
//! their connections. If a budget is exhausted, the clients least likely to complete their
//! request give way, one at a time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};
use tokio::time::Instant;

use crate::connection::client_limits::{ClientBudget, ClientLimits};
use crate::connection::client_record::{
    ClientRecord, ClientRemoval, ClientStage, SMALL_BODY_BYTES,
};

/// Counter of clients that were rejected or whose connection was closed, by `listener` and
/// `reason`.
pub const CLIENTS_REMOVED: &str = "flamingowalk_clients_removed_total";
/// Counter of requests that were answered by their head, by `listener` and `status`.
pub const HEADS_REFUSED: &str = "flamingowalk_heads_refused_total";
/// Gauge of the connections of clients, by `listener`.
pub const CLIENT_CONNECTIONS: &str = "flamingowalk_client_connections";
/// Gauge of the limit of these connections, by `listener`.
pub const CLIENT_CONNECTION_LIMIT: &str = "flamingowalk_client_connection_limit";
/// Gauge of the bytes buffered for clients.
pub const CLIENT_BYTES: &str = "flamingowalk_client_buffered_bytes";
/// Gauge of the limit of these bytes.
pub const CLIENT_BYTE_LIMIT: &str = "flamingowalk_client_buffered_bytes_limit";

/// Time without a client that had to give way after which the pressure counts as over.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Part of the byte budget that only small bodies may use, so that an ordinary small request
/// finds room between large ones.
const SMALL_RESERVE_DIVISOR: usize = 8;
/// Part of the byte budget that several large responses may use at once.
const RESPONSE_DIVISOR: usize = 4;
/// Size from which a response is charged to the budget. Smaller ones are bounded by the
/// number of connections.
const CHARGED_RESPONSE_BYTES: usize = 4 * 1024;

/// The budgets and the clients of a process.
#[derive(Clone, Debug)]
pub struct ClientGuard {
    shared: Rc<GuardState>,
}

#[derive(Debug)]
struct GuardState {
    budget: ClientBudget,
    clients: RefCell<BTreeMap<u64, Rc<ClientRecord>>>,
    next_client: Cell<u64>,
    /// Bytes charged for bodies that are being read.
    body_bytes: Cell<usize>,
    /// Bytes charged for complete bodies that their handlers hold.
    handled_bytes: Arc<AtomicUsize>,
    /// Bytes charged for responses. Atomic, since the buffers of responses are shared with
    /// the server, which requires them to be sendable.
    response_bytes: Arc<AtomicUsize>,
    /// When a client last had to give way, while that is recent.
    pressed_at: Cell<Option<Instant>>,
    /// Clients that had to give way since the pressure began.
    shed_count: Cell<u64>,
}

/// A client in the guard; it leaves when this is dropped.
#[derive(Debug)]
pub struct ClientTicket {
    guard: ClientGuard,
    number: u64,
    /// State of the connection.
    pub record: Rc<ClientRecord>,
}

impl ClientGuard {
    /// Returns a guard without clients.
    pub fn new(budget: ClientBudget) -> Self {
        gauge!(CLIENT_BYTE_LIMIT).set(budget.buffered_bytes as f64);
        Self {
            shared: Rc::new(GuardState {
                budget,
                clients: RefCell::default(),
                next_client: Cell::new(0),
                body_bytes: Cell::new(0),
                handled_bytes: Arc::default(),
                response_bytes: Arc::default(),
                pressed_at: Cell::new(None),
                shed_count: Cell::new(0),
            }),
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> ClientBudget {
        self.shared.budget
    }

    /// Returns the bytes buffered for clients.
    pub fn buffered_bytes(&self) -> usize {
        self.shared.body_bytes.get()
            + self.shared.handled_bytes.load(Ordering::Relaxed)
            + self.shared.response_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections of a listener, without those that are ending.
    pub fn connections(&self, listener: &'static str) -> usize {
        let clients = self.shared.clients.borrow();
        let is_open = |record: &&Rc<ClientRecord>| {
            record.listener == listener && record.removal.get().is_none()
        };
        clients.values().filter(is_open).count()
    }

    /// Whether another connection of the listener may be accepted. If `limit` is reached, the
    /// client that is least likely to complete its request gives way. If none can, one that was
    /// already answered ends after its next response, and the listener has to wait: a client
    /// with many pipelined requests is never unused.
    pub fn make_room(&self, listener: &'static str, limit: usize, now: Instant) -> bool {
        if self.connections(listener) < limit {
            return true;
        }
        let clients = self.shared.clients.borrow();
        let own = clients
            .values()
            .filter(|record| record.listener == listener);
        let ranked = own.filter_map(|record| Some((record.connection_rank(now)?, record)));
        let Some((_, victim)) = ranked.min_by_key(|(rank, _)| *rank) else {
            // Numbers ascend, so the first one is the oldest connection.
            let mut own = clients
                .values()
                .filter(|record| record.listener == listener);
            let retiring = own.find(|record| {
                record.has_served.get()
                    && !record.is_retiring.get()
                    && record.removal.get().is_none()
            });
            if let Some(retiring) = retiring {
                retiring.is_retiring.set(true);
                count_removal(retiring, ClientRemoval::Connections);
                self.note_pressure(ClientRemoval::Connections, now);
            }
            return false;
        };
        let victim = Rc::clone(victim);
        drop(clients);
        self.remove(&victim, ClientRemoval::Connections, now);
        true
    }

    /// Adds a client that has connected.
    pub fn open(
        &self,
        listener: &'static str,
        max_head_bytes: usize,
        now: Instant,
    ) -> ClientTicket {
        let number = self.shared.next_client.get();
        self.shared.next_client.set(number + 1);
        let record = Rc::new(ClientRecord::new(listener, max_head_bytes, now));
        let mut clients = self.shared.clients.borrow_mut();
        clients.insert(number, Rc::clone(&record));
        ClientTicket {
            guard: self.clone(),
            number,
            record,
        }
    }

    /// Removes the overdue clients of a listener, and sets the gauges.
    pub fn sweep(&self, listener: &'static str, limit: usize, limits: &ClientLimits, now: Instant) {
        let overdue: Vec<_> = {
            let clients = self.shared.clients.borrow();
            let own = clients
                .values()
                .filter(|record| record.listener == listener);
            own.filter_map(|record| Some((Rc::clone(record), record.overdue(limits, now)?)))
                .collect()
        };
        for (record, removal) in overdue {
            self.remove(&record, removal, now);
        }
        gauge!(CLIENT_CONNECTIONS, "listener" => listener).set(self.connections(listener) as f64);
        gauge!(CLIENT_CONNECTION_LIMIT, "listener" => listener).set(limit as f64);
        gauge!(CLIENT_BYTES).set(self.buffered_bytes() as f64);
        self.note_calm(now);
    }

    /// Whether a response of this size may be sent. A single large one always may; several
    /// share a part of the budget.
    pub fn has_response_room(&self, size: usize) -> bool {
        let charged_bytes = self.shared.response_bytes.load(Ordering::Relaxed);
        let limit = self.shared.budget.buffered_bytes / RESPONSE_DIVISOR;
        let is_small = size < CHARGED_RESPONSE_BYTES;
        is_small || charged_bytes == 0 || charged_bytes.saturating_add(size) <= limit
    }

    /// Charges a response until it is sent or discarded.
    pub fn charge_response(&self, body: Bytes) -> Bytes {
        let size = body.len();
        if size < CHARGED_RESPONSE_BYTES {
            return body;
        }
        Bytes::from_owner(ChargedBody {
            body,
            _charge: BodyCharge::new(size, &self.shared.response_bytes),
        })
    }

    fn remove(&self, record: &ClientRecord, removal: ClientRemoval, now: Instant) {
        if record.removal.get().is_some() {
            return;
        }
        count_removal(record, removal);
        record.remove(removal);
        // The task that holds the buffer ends once it is scheduled.
        self.release(record);
        if removal.is_shedding() {
            self.note_pressure(removal, now);
        }
    }

    fn release(&self, record: &ClientRecord) {
        let bytes = record.charged_bytes.replace(0);
        let body_bytes = &self.shared.body_bytes;
        body_bytes.set(body_bytes.get().saturating_sub(bytes));
    }

    fn note_pressure(&self, removal: ClientRemoval, now: Instant) {
        if self.shared.pressed_at.replace(Some(now)).is_none() {
            self.shared.shed_count.set(0);
            log::warn!(
                target: "clients", short_of = removal.label(), buffered = self.buffered_bytes(),
                clients = self.shared.clients.borrow().len();
                "clients exceed the budget; the slowest are closed"
            );
        }
        self.shared.shed_count.set(self.shared.shed_count.get() + 1);
    }

    fn note_calm(&self, now: Instant) {
        let pressed_at = self.shared.pressed_at.get();
        if pressed_at.is_some_and(|pressed_at| now.duration_since(pressed_at) >= CALM_TIME) {
            self.shared.pressed_at.set(None);
            log::info!(
                target: "clients", closed = self.shared.shed_count.get();
                "clients are within the budget again"
            );
        }
    }
}

fn count_removal(record: &ClientRecord, removal: ClientRemoval) {
    counter!(CLIENTS_REMOVED, "listener" => record.listener, "reason" => removal.label())
        .increment(1);
}

impl ClientTicket {
    /// Charges the body of this client up to `bytes` in total. If the budget is exhausted,
    /// unfinished bodies give way, the ones that are least likely to be completed first.
    /// Returns whether some did; their memory is released once their tasks run.
    ///
    /// # Errors
    /// This body gives way itself.
    pub fn charge(&self, bytes: usize, now: Instant) -> Result<bool, ClientRemoval> {
        let shared = &self.guard.shared;
        if let Some(removal) = self.record.removal.get() {
            return Err(removal);
        }
        let added = bytes.saturating_sub(self.record.charged_bytes.get());
        self.record
            .charged_bytes
            .set(self.record.charged_bytes.get() + added);
        shared.body_bytes.set(shared.body_bytes.get() + added);
        let budget = shared.budget.buffered_bytes;
        let limit = if bytes <= SMALL_BODY_BYTES {
            budget
        } else {
            budget - budget / SMALL_RESERVE_DIVISOR
        };
        let mut has_shed = false;
        while self.guard.buffered_bytes() > limit {
            let clients = shared.clients.borrow();
            let ranked = clients
                .values()
                .filter_map(|record| Some((record.memory_rank(now)?, record)));
            let victim = ranked
                .min_by_key(|(rank, _)| *rank)
                .map_or(&self.record, |(_, record)| record);
            let victim = Rc::clone(victim);
            drop(clients);
            self.guard.remove(&victim, ClientRemoval::Memory, now);
            if Rc::ptr_eq(&victim, &self.record) {
                return Err(ClientRemoval::Memory);
            }
            has_shed = true;
        }
        Ok(has_shed)
    }

    /// Moves the charge of this client to its complete body. It is released with the last copy of
    /// the body and of the returned charge, since handlers continue after their client has
    /// disconnected.
    pub fn hand_over(&self, body: Bytes) -> (Bytes, BodyCharge) {
        let size = self.record.charged_bytes.get();
        self.release();
        let charge = BodyCharge::new(size, &self.guard.shared.handled_bytes);
        let body = Bytes::from_owner(ChargedBody {
            body,
            _charge: charge.clone(),
        });
        (body, charge)
    }

    /// Enters a stage.
    pub fn enter(&self, stage: ClientStage) {
        self.record.enter(stage, Instant::now());
    }

    /// Releases the charge of the body.
    pub fn release(&self) {
        self.guard.release(&self.record);
    }
}

impl Drop for ClientTicket {
    fn drop(&mut self) {
        self.release();
        self.guard.shared.clients.borrow_mut().remove(&self.number);
    }
}

/// A charge to the budget that is released when its last copy is dropped. The extensions of a
/// request with a body have it, for handlers that need the body no more.
#[derive(Clone, Debug)]
pub struct BodyCharge {
    _amount: Arc<ChargedAmount>,
}

impl BodyCharge {
    fn new(size: usize, charged_bytes: &Arc<AtomicUsize>) -> Self {
        charged_bytes.fetch_add(size, Ordering::Relaxed);
        let charged_bytes = Arc::clone(charged_bytes);
        Self {
            _amount: Arc::new(ChargedAmount {
                size,
                charged_bytes,
            }),
        }
    }
}

#[derive(Debug)]
struct ChargedAmount {
    size: usize,
    charged_bytes: Arc<AtomicUsize>,
}

impl Drop for ChargedAmount {
    fn drop(&mut self) {
        self.charged_bytes.fetch_sub(self.size, Ordering::Relaxed);
    }
}

/// A body with its charge.
struct ChargedBody {
    body: Bytes,
    _charge: BodyCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
