//! Appends records to the log. Records that wait are appended together. An
//! append without an answer is repeated: readers apply each identifier once, so
//! a record that was written twice counts once.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use metrics::counter;
use tokio::sync::mpsc;

use crate::border::log::{NewRecord, append_records};
use crate::connection::http_client::HttpClient;
use crate::process::counters::LOG_APPENDS;
use crate::process::host_event::LogStream;

/// Most records of one append.
const BATCH_LIMIT: usize = 200;
/// Pause after an append, which bounds the rate of appends of one host.
const APPEND_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Appends the records of one stream in the order in which they were sent.
pub async fn write_stream(
    client: HttpClient,
    address: SocketAddr,
    stream: LogStream,
    mut records: mpsc::UnboundedReceiver<NewRecord>,
) {
    let name = stream.name();
    let mut batch = Vec::new();
    while records.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
        while let Err(fault) = append_records(&client, address, &name, batch.clone()).await {
            counter!(LOG_APPENDS, "stream" => name.clone(), "outcome" => "failed").increment(1);
            log::debug!(stream = name.as_str(); "append failed: {fault}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        counter!(LOG_APPENDS, "stream" => name.clone(), "outcome" => "done").increment(1);
        batch.clear();
        tokio::time::sleep(APPEND_PAUSE).await;
    }
}
