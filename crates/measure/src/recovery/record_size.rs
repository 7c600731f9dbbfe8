//! Number and size of the log records of a job and of a configuration, in the form in which
//! hosts read them from the log.

use std::fmt::Write as _;
use std::path::Path;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::{
    AcceptedEntry, CancelledEntry, ConfigEntry, EndedEntry, LogEntry, StartedEntry,
};
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_core::version::{
    FolderFile, MergedFolder, check_folder, content_hash, merge_folder,
};
use flamingowalk_node::border::log::StoredRecord;
use flamingowalk_node::border::records::write_record;

use crate::error::MeasureError;

/// Unix time with 13 digits of milliseconds, as it has until the year 2286.
const WALL_TIME: WallTime = WallTime(1_800_000_000_000);
/// Customers at the scale that the scheduler is planned for.
const PLANNED_CUSTOMERS: u32 = 58;
/// Zones at the scale that the scheduler is planned for.
const PLANNED_ZONES: u32 = 8;
/// Job classes declared at the scale that the scheduler is planned for.
const PLANNED_CLASSES: u32 = 40;

/// Returns the log entries of one job, from acceptance to its end.
pub fn job_entries(number: usize, members: usize, is_cancelled: bool) -> Vec<LogEntry> {
    let job = JobId::from(format!("order-2027-{number:08}"));
    let zone = ZoneName::from("maribor-a");
    let term = LeaderTerm(1_234);
    let mut entries = vec![LogEntry::JobAccepted(AcceptedEntry {
        job: job.clone(),
        customer: "lope-savinja".into(),
        class: "night-render".into(),
        zone: zone.clone(),
        config: ConfigVersion(123_456),
        accepted_at: WALL_TIME,
        start_before: None,
    })];
    entries.extend(is_cancelled.then(|| {
        LogEntry::JobCancelled(CancelledEntry {
            job: job.clone(),
            requested_at: WALL_TIME,
        })
    }));
    let worker = |index| WorkerName::from(format!("maribor-a-r{}-w{}", index / 8, index % 8));
    entries.push(LogEntry::JobStarted(StartedEntry {
        job: job.clone(),
        attempt: 1,
        term,
        zone,
        workers: (0..members).map(worker).collect(),
        started_at: WALL_TIME,
    }));
    entries.push(LogEntry::JobEnded(EndedEntry {
        job,
        ending: JobEnding::Finished,
        term,
        ended_at: WALL_TIME,
    }));
    entries
}

/// Returns the size in bytes of an entry as stored in the log and read by hosts.
pub fn stored_bytes(entry: &LogEntry) -> usize {
    let id = RecordId::from("maribor-a-entry1/1800000000000/123456");
    let stored = StoredRecord {
        offset: 123_456,
        appended_at_ms: WALL_TIME.0,
        record: write_record(&id, entry),
    };
    serde_json::to_vec(&stored).map_or(0, |text| text.len())
}

/// Records and bytes of a job by the size of its gang.
pub fn job_table() -> String {
    let mut text =
        String::from("| job | records | bytes read by each host |\n| --- | --- | --- |\n");
    for (name, members, is_cancelled) in [
        ("one task", 1, false),
        ("gang of 4", 4, false),
        ("gang of 32", 32, false),
        ("one task, cancelled while it runs", 1, true),
    ] {
        let entries = job_entries(1, members, is_cancelled);
        let bytes: usize = entries.iter().map(stored_bytes).sum();
        let _ = writeln!(text, "| {name} | {} | {bytes} |", entries.len());
    }
    text
}

/// Returns the table of the size of a configuration record by the size of the folder.
///
/// # Errors
/// Returns a [`MeasureError`] if an example cannot be read.
pub fn config_table(examples: &Path) -> Result<String, MeasureError> {
    let mut text =
        String::from("| folder | sections | bytes of its record |\n| --- | --- | --- |\n");
    for name in ["podlaga", "escolta"] {
        let merged = read_example(&examples.join(name))?;
        add_config(&mut text, name, &merged);
    }
    let planned = merged(&planned_folder(), examples)?;
    let name =
        format!("{PLANNED_ZONES} zones, {PLANNED_CUSTOMERS} customers, {PLANNED_CLASSES} classes");
    add_config(&mut text, &name, &planned);
    Ok(text)
}

fn add_config(text: &mut String, name: &str, merged: &MergedFolder) {
    let settings = merged.to_string();
    let bytes = stored_bytes(&LogEntry::Config(ConfigEntry {
        base: ConfigVersion(123_456),
        content_hash: content_hash(&settings),
        settings: Arc::from(settings),
        publisher: "operator".to_owned(),
    }));
    let sections = merged.sections.len();
    let _ = writeln!(text, "| {name} | {sections} | {bytes} |");
}

fn read_example(folder: &Path) -> Result<MergedFolder, MeasureError> {
    let failed = |source| MeasureError::File {
        path: folder.to_owned(),
        source,
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        files.push(FolderFile {
            name: entry.file_name().to_string_lossy().into_owned(),
            text: std::fs::read_to_string(entry.path()).map_err(failed)?,
        });
    }
    merged(&files, folder)
}

fn merged(files: &[FolderFile], folder: &Path) -> Result<MergedFolder, MeasureError> {
    let invalid = |errors| MeasureError::Folder {
        path: folder.to_owned(),
        errors,
    };
    let merged = merge_folder(files).map_err(invalid)?;
    check_folder(&merged).map_err(invalid)?;
    Ok(merged)
}

/// Returns a folder at the planned scale, with one guarantee for each customer.
fn planned_folder() -> Vec<FolderFile> {
    let mut text = String::from("[service plan]\ndefault-deadline-ms = 5000\nmax-body-kb = 512\n");
    for zone in 0..PLANNED_ZONES {
        let _ = write!(
            text,
            "[zone region-zone-{zone}]\nregion = region\nracks = 7\nworkers-per-rack = 8\n\
             accelerators-per-worker = 2\ncores-per-worker = 32\nmemory-gb-per-worker = 64\n\
             slots-per-worker = 8\nconnections-per-worker = 64\n"
        );
    }
    for customer in 0..PLANNED_CUSTOMERS {
        let zone = customer % PLANNED_ZONES;
        let _ = write!(
            text,
            "[customer team-{customer}]\nweight = 2\nmax-calls = 64\nmax-queued-jobs = 100\n\
             [guarantee team-{customer} base]\nzone = region-zone-{zone}\nblocks = 2\n\
             size = 2\nadjacent = worker\n"
        );
    }
    for class in 0..PLANNED_CLASSES {
        let _ = write!(
            text,
            "[job class-{class}]\nservice = plan\ntasks = 4\naccelerators = 1\ncores = 4\n\
             memory-gb = 8\nadjacent = rack\nrun-time = 4h\npriority = normal\n\
             idempotent = yes\ncheckpoint = yes\nattempts = 3\n"
        );
    }
    let name = "all.ini".to_owned();
    vec![FolderFile { name, text }]
}
