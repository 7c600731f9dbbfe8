//! Follows one stream of the log with long polls.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;

use crate::border::log::{READ_WAIT, read_page};
use crate::connection::http_client::HttpClient;
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent, LogStream};

/// Most records of one page, which bounds the memory of a read.
const PAGE_LIMIT: u32 = 500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads a stream from its start until the loop ends.
pub async fn follow_stream(
    client: HttpClient,
    address: SocketAddr,
    stream: LogStream,
    clock: HostClock,
    events: EventSender,
) {
    let name = stream.name();
    let mut next = 0;
    loop {
        let sent_at = clock.now();
        let result = read_page(&client, address, &name, next, PAGE_LIMIT, READ_WAIT).await;
        let failed = result.is_err();
        if let Ok(page) = &result {
            next = page.next_offset;
        }
        let event = HostEvent::LogRead {
            stream: stream.clone(),
            sent_at,
            result,
        };
        if events.send(event).is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
