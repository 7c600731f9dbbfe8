//! The verb `publish`: appends a checked folder to the log as the next
//! configuration and tells which version won when operators race.

use std::net::SocketAddr;
use std::path::Path;

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::{check_folder, content_hash, parse_canonical};
use flamingowalk_node::border::log::{
    LOG_TIMEOUT, NewRecord, ReadRequest, StoredRecord, append_records, read_page,
};
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_wire::records::ConfigRecord;

use crate::exit::CommandFault;
use crate::folder_verbs::checked_folder;

/// Stream of published configurations.
const CONFIG_STREAM: &str = "config";
/// Records read at once.
const PAGE_LIMIT: u32 = 200;
/// Version of the record body.
const RECORD_SCHEMA: u32 = 1;

/// The configuration in force in the log.
#[derive(Clone, Debug, Default)]
pub struct ForceView {
    /// Version in force; zero before the first.
    pub version: u64,
    /// Its record.
    pub record: Option<ConfigRecord>,
}

/// Reads the configuration in force.
///
/// # Errors
/// [`CommandFault::Unknown`] when the log does not answer.
pub async fn read_force(client: &HttpClient, log: SocketAddr) -> Result<ForceView, CommandFault> {
    let mut view = ForceView::default();
    let mut next = 0;
    loop {
        let request = ReadRequest {
            from: next,
            limit: PAGE_LIMIT,
            wait: Duration::ZERO,
            timeout: LOG_TIMEOUT,
        };
        let page = read_page(client, log, CONFIG_STREAM, request).await?;
        for stored in &page.records {
            view.apply(stored);
        }
        next = page.next_offset;
        if next >= page.tail_offset {
            return Ok(view);
        }
    }
}

impl ForceView {
    fn apply(&mut self, stored: &StoredRecord) {
        if stored.record.kind != "config" {
            return;
        }
        let Ok(record) = serde_json::from_value::<ConfigRecord>(stored.record.body.clone()) else {
            return;
        };
        if record.base_version == self.version && parse_canonical(&record.settings).is_ok() {
            self.version = stored.offset + 1;
            self.record = Some(record);
        }
    }
}

/// Publishes a folder.
///
/// # Errors
/// [`CommandFault::Refused`] for a faulty folder or a lost race, and
/// [`CommandFault::Unknown`] when the log's answer was lost.
pub async fn publish(
    folder: &Path,
    log: SocketAddr,
    publisher: &str,
) -> Result<String, CommandFault> {
    let merged = checked_folder(folder)?;
    let settings = merged.to_string();
    debug_assert!(check_folder(&merged).is_ok(), "the folder was checked");
    let client = HttpClient::default();
    let base = read_force(&client, log).await?;
    let hash = content_hash(&settings);
    if base
        .record
        .as_ref()
        .is_some_and(|record| record.content_hash == hash)
    {
        return Ok(format!(
            "config{} already has this content; nothing to publish",
            base.version
        ));
    }
    let record = ConfigRecord {
        base_version: base.version,
        content_hash: hash.clone(),
        publisher: publisher.to_owned(),
        settings,
    };
    append_config(&client, log, &record).await?;
    let now = read_force(&client, log).await?;
    match now.record {
        Some(won) if won.content_hash == hash && won.base_version == base.version => Ok(format!(
            "published config{} over config{}",
            now.version, base.version
        )),
        Some(won) => Err(CommandFault::Refused(format!(
            "config{} by {} came first; your folder is not in force. Take over what it changed, \
             then publish again",
            now.version, won.publisher
        ))),
        None => Err(CommandFault::Unknown(
            "the record is not in the log; publish again, which is safe".to_owned(),
        )),
    }
}

async fn append_config(
    client: &HttpClient,
    log: SocketAddr,
    record: &ConfigRecord,
) -> Result<(), CommandFault> {
    let body = serde_json::to_value(record)
        .map_err(|error| CommandFault::Refused(format!("the folder cannot be sent ({error})")))?;
    let id = format!("config/{}/{}", record.base_version, record.content_hash);
    let new = NewRecord {
        id,
        kind: "config".to_owned(),
        schema: RECORD_SCHEMA,
        body,
    };
    append_records(client, log, CONFIG_STREAM, vec![new], LOG_TIMEOUT).await?;
    Ok(())
}
