//! Commands for the configurations in the log: `publish`, `diff` and `history`. If
//! operators publish at the same time, the order of the log decides. The error of the
//! operator who lost tells which version won, what differs and how to go on.

use std::net::SocketAddr;
use std::path::Path;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_history::{
    ConfigHistory, PublishOutcome, PublishedConfig, PublishedState, SettingDifference, diff_texts,
};
use flamingowalk_core::process::record::{ConfigEntry, LogEntry};
use flamingowalk_core::version::content_hash;
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_node::border::log::{LOG_TIMEOUT, append_records};
use flamingowalk_node::border::records::write_record;
use flamingowalk_node::connection::http_client::{ExchangeError, HttpClient};
use flamingowalk_node::process::config_reader::{read_all, read_recent};
use flamingowalk_node::process::host_event::LogStream;
use serde::Serialize;

use crate::exit::CommandError;
use crate::folder_commands::checked_folder;
use crate::output::{OutputFormat, TextTable};

/// A checked folder that is ready to be appended to the log.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Record to append; its base is the version in force when it was prepared.
    pub entry: ConfigEntry,
    /// Identifier of the record, the same for every retry.
    pub id: RecordId,
    /// Whether the version in force already has this content.
    pub is_in_force: bool,
}

/// Publishes a folder, unless the version in force has the same content.
///
/// # Errors
/// Returns [`CommandError::Refused`] for an invalid folder or a lost race, and
/// [`CommandError::Unknown`] if the log does not respond.
pub async fn publish(
    folder: &Path,
    log: SocketAddr,
    publisher: &str,
) -> Result<String, CommandError> {
    let settings = checked_folder(folder)?.to_string();
    let client = HttpClient::default();
    let publication = prepare(&client, log, settings, publisher).await?;
    let base = publication.entry.base;
    if publication.is_in_force {
        return Ok(format!(
            "{base} already has this content; nothing to publish"
        ));
    }
    let version = commit(&client, log, &publication).await?;
    Ok(format!("published {version} over {base}"))
}

/// Prepares the publication of a folder's canonical text over the version in force.
///
/// # Errors
/// Returns [`CommandError::Unknown`] if the log does not respond.
pub async fn prepare(
    client: &HttpClient,
    log: SocketAddr,
    settings: String,
    publisher: &str,
) -> Result<Publication, CommandError> {
    let history = read_recent(client, log).await?;
    let base = history.in_force();
    let hash = content_hash(&settings);
    let current = history.get(base).map(|config| &config.entry.content_hash);
    Ok(Publication {
        is_in_force: current == Some(&hash),
        id: RecordId::from(format!("config/{}/{hash}", base.0)),
        entry: ConfigEntry {
            base,
            content_hash: hash,
            settings: Arc::from(settings),
            publisher: publisher.to_owned(),
        },
    })
}

/// Appends a publication and returns its version. If the response to the append is
/// lost, reading the log tells whether the record was written.
///
/// # Errors
/// Returns [`CommandError::Refused`] for a lost race, and [`CommandError::Unknown`] if
/// the log does not respond or does not hold the record.
pub async fn commit(
    client: &HttpClient,
    log: SocketAddr,
    publication: &Publication,
) -> Result<ConfigVersion, CommandError> {
    let Publication { entry, id, .. } = publication;
    let record = write_record(id, &LogEntry::Config(entry.clone()));
    let name = LogStream::Config.name();
    match append_records(client, log, &name, vec![record], LOG_TIMEOUT).await {
        Ok(_) | Err(ExchangeError::NoAnswer { .. }) => {}
        Err(error) => return Err(error.into()),
    }
    let outcome = read_recent(client, log).await?.outcome(id);
    match &outcome {
        PublishOutcome::InForce(version) | PublishOutcome::Superseded { version, .. } => {
            Ok(*version)
        }
        PublishOutcome::LostRace { .. } | PublishOutcome::Damaged => {
            Err(CommandError::Refused(outcome.to_string()))
        }
        PublishOutcome::NotSeen => Err(CommandError::Unknown(outcome.to_string())),
    }
}

/// Lists what a folder would change in the version in force.
///
/// # Errors
/// Returns [`CommandError::Refused`] for an invalid folder, and
/// [`CommandError::Unknown`] if the log does not respond.
pub async fn diff(folder: &Path, log: SocketAddr) -> Result<String, CommandError> {
    let settings = checked_folder(folder)?.to_string();
    let history = read_recent(&HttpClient::default(), log).await?;
    let version = history.in_force();
    let current = history.get(version);
    let current = current.map_or("", |config| &*config.entry.settings);
    let differences = diff_texts(current, &settings);
    let differences = differences.map_err(|errors| CommandError::Refused(errors.to_string()))?;
    if differences.is_empty() {
        return Ok(format!("no difference to {version}"));
    }
    let lines: Vec<String> = differences
        .iter()
        .map(SettingDifference::to_string)
        .collect();
    Ok(format!("differences to {version}:\n{}", lines.join("\n")))
}

/// Lists the published configurations, or returns the content of one. That content is
/// a valid folder of one file; publishing it again creates a new version.
///
/// # Errors
/// Returns [`CommandError::Refused`] for a version that the log does not hold, and
/// [`CommandError::Unknown`] if the log does not respond.
pub async fn history(
    log: SocketAddr,
    version: Option<u64>,
    output: OutputFormat,
) -> Result<String, CommandError> {
    let history = read_all(&HttpClient::default(), log).await?;
    match version {
        Some(version) => render_version(&history, ConfigVersion(version)),
        None => Ok(render_list(&history, output)),
    }
}

fn render_version(history: &ConfigHistory, version: ConfigVersion) -> Result<String, CommandError> {
    let config = history.get(version).ok_or_else(|| {
        let text = format!("the log does not hold {version}; see `history` for those it holds");
        CommandError::Refused(text)
    })?;
    Ok(config.entry.settings.to_string())
}

/// One line of the history as JSON.
#[derive(Debug, Serialize)]
struct HistoryLine {
    version: u64,
    base: u64,
    publisher: String,
    published_at_ms: u64,
    content_hash: String,
    state: String,
}

impl From<&PublishedConfig> for HistoryLine {
    fn from(config: &PublishedConfig) -> Self {
        let state = match config.state {
            PublishedState::InForce => "in force".to_owned(),
            PublishedState::Superseded(by) => format!("replaced by {}", by.0),
            PublishedState::Rejected(_) => "void".to_owned(),
            PublishedState::Undetermined => "older than the oldest snapshot".to_owned(),
        };
        Self {
            version: config.version.0,
            base: config.entry.base.0,
            publisher: config.entry.publisher.clone(),
            published_at_ms: config.appended_at.0,
            content_hash: config.entry.content_hash.clone(),
            state,
        }
    }
}

fn render_list(history: &ConfigHistory, output: OutputFormat) -> String {
    let lines: Vec<HistoryLine> = history.list().iter().map(HistoryLine::from).collect();
    if output == OutputFormat::Json {
        return serde_json::to_string_pretty(&lines).unwrap_or_default();
    }
    let mut table = TextTable::with_header(&["VERSION", "BASE", "PUBLISHER", "STATE", "CONTENT"]);
    for line in lines {
        let content = line.content_hash.chars().take(12).collect();
        let (version, base) = (line.version.to_string(), line.base.to_string());
        table.add_row(vec![version, base, line.publisher, line.state, content]);
    }
    table.render()
}
