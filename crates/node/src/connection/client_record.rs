//! State of one client's connection, and the decisions which connection is overdue and which
//! one gives way. They address clients that stall at any byte and crowds of clients: those
//! least likely to complete their request go first, one at a time.

use std::cell::Cell;
use std::cmp::Reverse;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::client_limits::ClientLimits;

/// Rate in bytes a second below which a client counts as too slow, beyond the idle timeout.
/// With 10 Mbit/s shared by 50 clients each still has 25 kB/s.
const MIN_BYTES_PER_SECOND: u64 = 16 * 1024;
/// Age of the last byte from which a client counts as stalled when there is a lack of room.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Age below which a connection does not give way to newer ones, so that a client can send its
/// request at all: its first bytes arrive with the end of the handshake. It also bounds the rate
/// at which a full listener accepts.
const MIN_AGE: Duration = Duration::from_millis(50);
/// Size up to which a body counts as small: such bodies are shed last.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Time between two checks for overdue clients from which the process counts as stalled.
const STALL_TOLERANCE: Duration = Duration::from_secs(1);

/// Decides which checks for overdue clients take place. A check after a stall of the process is
/// skipped, since what the clients sent meanwhile may not have been read yet; but not two in
/// a row, so that a process that is always short of processor time still removes them.
#[derive(Clone, Copy, Debug)]
pub struct SweepClock {
    last_at: Instant,
    was_skipped: bool,
}

impl SweepClock {
    /// Returns a clock whose first check is due from `now` on.
    pub const fn new(now: Instant) -> Self {
        Self {
            last_at: now,
            was_skipped: false,
        }
    }

    /// Whether the check at `now` takes place.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(std::mem::replace(&mut self.last_at, now));
        self.was_skipped = elapsed > STALL_TOLERANCE && !self.was_skipped;
        !self.was_skipped
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientStage {
    /// Between two requests, or before the first one.
    Idle,
    /// A head has begun.
    Head,
    /// The body is read.
    Body,
    /// The complete request is with its handler.
    Handling,
    /// The response is sent.
    Answering,
}

/// Why a client was rejected or its connection closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientRemoval {
    /// The connection was unused for too long.
    Idle,
    /// The head took too long.
    SlowHead,
    /// The body took too long.
    SlowBody,
    /// The response was not read in time.
    SlowReader,
    /// Others needed its connection.
    Connections,
    /// Others needed its memory.
    Memory,
    /// A configuration with larger heads needs larger buffers.
    NewLimits,
}

impl ClientRemoval {
    /// Returns the label of the counter.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow-head",
            Self::SlowBody => "slow-body",
            Self::SlowReader => "slow-reader",
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::NewLimits => "new-limits",
        }
    }

    /// Whether the client had to give way to others.
    pub const fn is_shedding(self) -> bool {
        matches!(self, Self::Connections | Self::Memory)
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientRecord {
    /// Listener that accepted the connection.
    pub listener: &'static str,
    /// Largest head that the buffers of the connection can hold.
    pub max_head_bytes: usize,
    /// What the connection is doing.
    pub stage: Cell<ClientStage>,
    /// When the stage began.
    pub stage_since: Cell<Instant>,
    /// When the last byte arrived, or when the connection was opened.
    pub received_at: Cell<Instant>,
    /// Bytes received or, while answering, sent in this stage.
    pub moved_bytes: Cell<u64>,
    /// Bytes charged to the budget for the body.
    pub charged_bytes: Cell<usize>,
    /// Whether the request carries a valid key.
    pub is_known: Cell<bool>,
    /// Whether a request was answered on this connection.
    pub has_served: Cell<bool>,
    /// Whether the connection ends after its current response, since others wait for it.
    pub is_retiring: Cell<bool>,
    /// Set at most once, when the client is removed.
    pub removal: Cell<Option<ClientRemoval>>,
    /// Whether the client was removed while its body was read, so that it gets a response before
    /// its connection is closed.
    pub is_answered_first: Cell<bool>,
    /// Wakes the tasks that read the body and serve the connection.
    pub removed: Notify,
}

impl ClientRecord {
    /// Returns the record of a connection that was just opened.
    pub fn new(listener: &'static str, max_head_bytes: usize, now: Instant) -> Self {
        Self {
            listener,
            max_head_bytes,
            stage: Cell::new(ClientStage::Idle),
            stage_since: Cell::new(now),
            received_at: Cell::new(now),
            moved_bytes: Cell::new(0),
            charged_bytes: Cell::new(0),
            is_known: Cell::new(false),
            has_served: Cell::new(false),
            is_retiring: Cell::new(false),
            removal: Cell::new(None),
            is_answered_first: Cell::new(false),
            removed: Notify::new(),
        }
    }

    /// Begins a stage.
    pub fn enter(&self, stage: ClientStage, now: Instant) {
        self.stage.set(stage);
        self.stage_since.set(now);
        self.moved_bytes.set(0);
    }

    /// Notes bytes that arrived.
    pub fn note_received(&self, bytes: u64, now: Instant) {
        self.received_at.set(now);
        match self.stage.get() {
            ClientStage::Idle => self.enter(ClientStage::Head, now),
            ClientStage::Body => self.moved_bytes.set(self.moved_bytes.get() + bytes),
            ClientStage::Head | ClientStage::Handling | ClientStage::Answering => {}
        }
    }

    /// Notes bytes that were sent.
    pub fn note_sent(&self, bytes: u64) {
        if self.stage.get() == ClientStage::Answering {
            self.moved_bytes.set(self.moved_bytes.get() + bytes);
        }
    }

    /// Notes that everything buffered was sent.
    pub fn note_flushed(&self, now: Instant) {
        if self.stage.get() == ClientStage::Answering {
            self.has_served.set(true);
            self.enter(ClientStage::Idle, now);
        }
    }

    /// Removes the client: its body is not read further, or its connection is closed.
    pub fn remove(&self, removal: ClientRemoval) {
        if self.removal.get().is_none() {
            self.is_answered_first
                .set(self.stage.get() == ClientStage::Body);
            self.removal.set(Some(removal));
            self.removed.notify_waiters();
        }
    }

    /// Waits until the client is removed.
    pub async fn wait_removed(&self) -> ClientRemoval {
        loop {
            let removed = self.removed.notified();
            if let Some(removal) = self.removal.get() {
                return removal;
            }
            removed.await;
        }
    }

    /// Returns why the connection has to end by now.
    pub fn overdue(&self, limits: &ClientLimits, now: Instant) -> Option<ClientRemoval> {
        let age = now.duration_since(self.stage_since.get());
        let seconds_moved = self.moved_bytes.get() as f64 / MIN_BYTES_PER_SECOND as f64;
        let is_slow = age > limits.idle_timeout + Duration::from_secs_f64(seconds_moved);
        match self.stage.get() {
            ClientStage::Idle if age > limits.idle_timeout => Some(ClientRemoval::Idle),
            ClientStage::Idle if self.max_head_bytes < limits.max_head_bytes => {
                Some(ClientRemoval::NewLimits)
            }
            ClientStage::Head if age > limits.head_timeout => Some(ClientRemoval::SlowHead),
            ClientStage::Body
                if is_slow || now.duration_since(self.received_at.get()) > limits.idle_timeout =>
            {
                Some(ClientRemoval::SlowBody)
            }
            ClientStage::Answering if is_slow => Some(ClientRemoval::SlowReader),
            _ => None,
        }
    }

    /// Returns the rank in which connections give way to a new one, the lowest first; `None`
    /// for one that does not give way. A request that is with its handler never does: its
    /// job may already be accepted.
    pub fn connection_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let silence = now.duration_since(self.received_at.get());
        let age = now.duration_since(self.stage_since.get());
        if self.removal.get().is_some() || age < MIN_AGE {
            return None;
        }
        let is_stalled = silence >= STALL_THRESHOLD;
        let class = match self.stage.get() {
            ClientStage::Answering if age >= STALL_THRESHOLD => 0,
            ClientStage::Handling | ClientStage::Answering => return None,
            ClientStage::Body if is_stalled && !self.is_known.get() => 1,
            ClientStage::Head => 1,
            ClientStage::Idle if !self.has_served.get() => 2,
            ClientStage::Body if is_stalled => 3,
            ClientStage::Idle => 4,
            ClientStage::Body => 5,
        };
        Some((class, self.received_at.get()))
    }

    /// Returns the rank in which bodies give way if memory is short, the lowest first; `None`
    /// for a connection without an unfinished body.
    pub fn memory_rank(&self, now: Instant) -> Option<(bool, bool, bool, Reverse<usize>)> {
        let charged_bytes = self.charged_bytes.get();
        let has_body = self.stage.get() == ClientStage::Body && charged_bytes > 0;
        if self.removal.get().is_some() || !has_body {
            return None;
        }
        let is_stalled = now.duration_since(self.received_at.get()) >= STALL_THRESHOLD;
        let is_small = charged_bytes <= SMALL_BODY_BYTES;
        Some((
            is_small,
            self.is_known.get(),
            !is_stalled,
            Reverse(charged_bytes),
        ))
    }
}
