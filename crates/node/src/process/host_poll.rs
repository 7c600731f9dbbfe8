//! Reads the platform's list of hosts at an interval.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;

use crate::border::hosts::read_hosts;
use crate::connection::http_client::HttpClient;
use crate::process::host_event::{EventSender, HostEvent};

/// Most bytes a second that lists may take when each is sent whole.
const LIST_BYTES_PER_SECOND: u64 = 4 * 1024;

/// Reads the list until the loop ends. Where unchanged lists are sent whole, a long
/// one is read less often; leaving words then also come from peers and workers.
pub async fn poll_hosts(
    client: HttpClient,
    address: SocketAddr,
    interval: Duration,
    events: EventSender,
) {
    let mut known = None;
    loop {
        let mut pause = interval;
        let result = match read_hosts(&client, address, known).await {
            Ok(None) => None,
            Ok(Some(listing)) => {
                if Some(listing.revision) == known {
                    pause = interval.max(paced_interval(listing.size));
                }
                known = Some(listing.revision);
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
        tokio::time::sleep(pause).await;
    }
}

/// Interval at which lists of that size stay within the rate.
pub const fn paced_interval(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1_000 / LIST_BYTES_PER_SECOND)
}
