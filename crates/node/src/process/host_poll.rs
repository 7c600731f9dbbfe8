//! Reads the platform's list of hosts periodically.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;

use crate::border::hosts::read_hosts;
use crate::connection::http_client::HttpClient;
use crate::process::host_event::{EventSender, HostEvent};

/// Maximum rate of received bytes while unchanged lists are sent whole.
const MAX_LIST_BYTES_PER_SECOND: u64 = 4 * 1024;

/// Reads the list until the event loop ends. If the platform sends unchanged lists
/// whole, a long list is read less often; that a worker is draining is then also
/// reported by peers and by the worker itself.
pub async fn poll_hosts(
    client: HttpClient,
    address: SocketAddr,
    interval: Duration,
    events: EventSender,
) {
    let mut known_revision = None;
    loop {
        let mut delay = interval;
        let result = match read_hosts(&client, address, known_revision).await {
            Ok(None) => None,
            Ok(Some(listing)) => {
                if Some(listing.revision) == known_revision {
                    delay = interval.max(rate_limited_interval(listing.size));
                }
                known_revision = Some(listing.revision);
                Some(Ok(listing))
            }
            Err(error) => Some(Err(error)),
        };
        let event = result.map_or(HostEvent::HostsUnchanged, |result| HostEvent::HostsRead {
            result,
        });
        if events.send(event).is_err() {
            return;
        }
        tokio::time::sleep(delay).await;
    }
}

/// Returns the interval at which reads of lists of this size stay within
/// `MAX_LIST_BYTES_PER_SECOND`.
pub const fn rate_limited_interval(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1_000 / MAX_LIST_BYTES_PER_SECOND)
}
