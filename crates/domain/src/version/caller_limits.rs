//! Limits of callers' requests that a configuration states. They address clients that send
//! large or slow requests.

use crate::prelude::*;

/// Limits of requests; `None` for one that the configuration does not state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: Option<u32>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: Option<u32>,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Option<Duration>,
    /// Time for which a connection may be unused, or a body or a reader may stall.
    pub idle_timeout: Option<Duration>,
}
