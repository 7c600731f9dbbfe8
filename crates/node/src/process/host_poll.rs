//! Reads the platform's list of hosts at an interval.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;

use crate::border::hosts::read_hosts;
use crate::connection::http_client::HttpClient;
use crate::process::host_event::{EventSender, HostEvent};

/// Reads the list until the loop ends.
pub async fn poll_hosts(
    client: HttpClient,
    address: SocketAddr,
    interval: Duration,
    events: EventSender,
) {
    loop {
        let result = read_hosts(&client, address).await;
        if events.send(HostEvent::HostsRead { result }).is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}
