//! Reads the body of a request into buffers that are charged to the budget of all clients, or
//! discards it. Chunks are copied out of the connection's buffer at once: many small ones would
//! hold many times their size.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use thiserror::Error;
use tokio::time::Instant;

use crate::connection::client_guard::{BodyCharge, ClientTicket};
use crate::connection::client_record::ClientRemoval;

/// Size of the first part of a body; most bodies fit into it.
const FIRST_PART_BYTES: usize = 4 * 1024;
/// Size of the other parts. Parts of one size are reused by the allocator for other bodies; one
/// buffer that grew left holes of up to its own size.
const PART_BYTES: usize = 16 * 1024;
/// Time for which the rest of a body that is not needed is read and discarded before the
/// response. Closing a connection with unread bytes may lose the response.
const DISCARD_TIME: Duration = Duration::from_millis(200);

/// Reason why the body of a request could not be read. Such a request is not executed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the maximum size.
    #[error("the body exceeds {limit} bytes; send less")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The connection ended within the body, or the body is malformed.
    #[error("the body ended early; send it whole")]
    Incomplete,
    /// The body did not arrive in time.
    #[error("the body took too long; send it again, faster")]
    TimedOut,
    /// The body had to give way to others.
    #[error("not run: too much is being sent to this host; send it again, or to another host")]
    Shed,
}

impl BodyError {
    /// Returns the status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::Shed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<ClientRemoval> for BodyError {
    fn from(removal: ClientRemoval) -> Self {
        match removal {
            ClientRemoval::Connections | ClientRemoval::Memory => Self::Shed,
            ClientRemoval::Idle
            | ClientRemoval::SlowHead
            | ClientRemoval::SlowBody
            | ClientRemoval::SlowReader
            | ClientRemoval::NewLimits => Self::TimedOut,
        }
    }
}

/// Reads the whole body. Its charge stays with the ticket.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(
    mut body: Incoming,
    ticket: &ClientTicket,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|size| size > limit as u64) {
        return Err(BodyError::TooLarge { limit });
    }
    let announced = announced.map_or(limit, |size| size as usize);
    let mut parts = BodyParts::default();
    loop {
        // A client that was told to give way is never served, even if its body is complete now.
        let frame = tokio::select! {
            biased;
            removal = ticket.record.wait_removed() => return Err(removal.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(parts.join());
        };
        let Ok(data) = frame.map_err(|_error| BodyError::Incomplete)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        if parts.length + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        let mut data = &*data;
        while !data.is_empty() {
            if parts.room() == 0 {
                let size = parts.next_size(announced);
                let has_shed = ticket.charge(parts.allocated + size, Instant::now())?;
                if has_shed {
                    // Lets those that give way release their parts first.
                    tokio::task::yield_now().await;
                }
                parts.add_part(size);
            }
            data = parts.append(data);
        }
    }
}

/// The part of a body that has arrived.
#[derive(Debug, Default)]
struct BodyParts {
    /// All but the last are full.
    parts: Vec<Vec<u8>>,
    /// Bytes that have arrived.
    length: usize,
    /// Bytes that are allocated.
    allocated: usize,
}

impl BodyParts {
    /// Returns the size of the next part. No more is allocated than was announced.
    fn next_size(&self, announced: usize) -> usize {
        let size = if self.parts.is_empty() {
            FIRST_PART_BYTES
        } else {
            PART_BYTES
        };
        size.min(announced.saturating_sub(self.length)).max(1)
    }

    fn add_part(&mut self, size: usize) {
        self.parts.push(Vec::with_capacity(size));
        self.allocated += size;
    }

    /// Returns how many bytes the last part still takes.
    fn room(&self) -> usize {
        self.allocated - self.length
    }

    /// Appends what fits into the last part, and returns the rest.
    fn append<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (fitting, rest) = data.split_at(data.len().min(self.room()));
        if let Some(part) = self.parts.last_mut() {
            part.extend_from_slice(fitting);
            self.length += fitting.len();
        }
        rest
    }

    /// Returns the whole body in one buffer.
    fn join(mut self) -> Bytes {
        if self.parts.len() <= 1 {
            return Bytes::from(self.parts.pop().unwrap_or_default());
        }
        Bytes::from(self.parts.concat())
    }
}

/// Runs the handling of a request to its end, even if its client disconnects, and holds its
/// charge until then. Returns `None` if the handling panics. Must run inside a `LocalSet`.
pub async fn run_charged<F>(charge: Option<BodyCharge>, handling: F) -> Option<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    let handling = tokio::task::spawn_local(async move {
        let output = handling.await;
        drop(charge);
        output
    });
    handling.await.ok()
}

/// Discards what arrives of a body within a short time, up to `limit` bytes, unless the client
/// has to give way.
pub async fn discard_body(mut body: Incoming, ticket: &ClientTicket, limit: usize) {
    let discarding = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > limit {
                return;
            }
        }
    };
    // The response is due in any case.
    tokio::select! {
        _ = tokio::time::timeout(DISCARD_TIME, discarding) => {}
        _ = ticket.record.wait_removed() => {}
    }
}
