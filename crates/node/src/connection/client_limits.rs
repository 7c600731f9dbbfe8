//! Limits of what clients may send, and the budgets of a process for all its clients. They
//! address clients that send large, unfinished or slow requests in large numbers.

use std::time::Duration;

/// Share of a host's memory for what is buffered for clients. With an eighth, the peak under
/// 300 clients reached half of a host with 60 MB.
const BUFFER_DIVISOR: u64 = 12;
/// Share of a host's memory for the connections of callers.
const CONNECTION_DIVISOR: u64 = 10;
/// Memory of a connection without its body: read and write buffer of up to 16 KiB and 8 KiB,
/// its task and its head.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Share of a host's descriptors for callers. The rest is left for the planner's connections to
/// workers (up to several thousand), the log and the other listeners.
const DESCRIPTOR_DIVISOR: u64 = 4;

/// Limits of one request or connection. They are read anew for each request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time for which a connection may be unused, and for which a body or the reader of a
    /// response may stall.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(20),
        }
    }
}

/// Budgets of a process for all its clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientBudget {
    /// Limit of the bytes that are buffered for clients of all listeners.
    pub buffered_bytes: usize,
    /// Limit of the connections of callers.
    pub callers: usize,
    /// Limit of the connections of readiness checks. It is a reserve of its own, so that
    /// callers do not delay the checks.
    pub checks: usize,
    /// Limit of the connections of operators and collectors of metrics.
    pub operators: usize,
}

impl ClientBudget {
    /// Budget without limits, for processes whose clients are trusted.
    pub const UNLIMITED: Self = Self {
        buffered_bytes: usize::MAX,
        callers: usize::MAX,
        checks: usize::MAX,
        operators: usize::MAX,
    };
    /// Returns the budget of an entry daemon. Checks and operators share the listener of its
    /// callers and have no reserve.
    pub const fn for_entry(buffered_bytes: usize, connections: usize) -> Self {
        Self {
            buffered_bytes,
            callers: connections,
            checks: 0,
            operators: 0,
        }
    }

    /// Returns the budget of a host with this memory and number of descriptors.
    pub fn for_host(memory_mb: u64, max_files: u64) -> Self {
        let memory = memory_mb.saturating_mul(1_000_000);
        let by_memory = memory / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let callers = (max_files / DESCRIPTOR_DIVISOR).min(by_memory).max(1);
        Self {
            buffered_bytes: (memory / BUFFER_DIVISOR) as usize,
            callers: callers as usize,
            checks: (callers / 4).clamp(1, 128) as usize,
            operators: (callers / 8).clamp(1, 8) as usize,
        }
    }
}
