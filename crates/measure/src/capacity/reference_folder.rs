//! Operator folder of any number of workers and customers, in the proportions of the scale
//! that capacity is planned for.

use std::fmt::Write;

use flamingowalk_core::version::settings::SystemSettings;
use flamingowalk_core::version::{FolderFile, MergedFolder, check_folder, merge_folder};

/// Workers of one rack.
pub(super) const WORKERS_PER_RACK: u32 = 11;
/// Racks of one zone, so that 8 zones have 440 workers.
pub(super) const RACKS_PER_ZONE: u32 = 5;
/// Customers at the scale that capacity is planned for.
pub(super) const CUSTOMERS: u32 = 58;
/// Tasks of the job class `gang`.
pub(super) const GANG_SIZE: u32 = 8;

/// Merged folder with its settings.
#[derive(Clone, Debug)]
pub(super) struct ReferenceFolder {
    /// Merged folder.
    pub merged: MergedFolder,
    /// Settings of the folder.
    pub settings: SystemSettings,
}

/// Returns a folder with one zone of `racks` racks. Customers have one guaranteed block each,
/// up to half as many blocks as the zone has workers.
pub(super) fn reference_folder(racks: u32, customers: u32) -> ReferenceFolder {
    let text = folder_text(racks, customers);
    let file = FolderFile {
        name: "00-all.ini".into(),
        text,
    };
    let merged = merge_folder(&[file]).expect("generated text is valid");
    let settings = check_folder(&merged).expect("generated settings are valid");
    ReferenceFolder { merged, settings }
}

fn folder_text(racks: u32, customers: u32) -> String {
    let mut text = format!(
        "[zone zone-a]\nregion = region-1\nracks = {racks}\nworkers-per-rack = {WORKERS_PER_RACK}\n\
         accelerators-per-worker = 2\ncores-per-worker = 32\nmemory-gb-per-worker = 64\n\
         slots-per-worker = 8\nconnections-per-worker = 64\n\
         [service train]\ndefault-deadline-ms = 5000\nmax-body-kb = 512\nhedging = yes\n\
         [policy]\nweight = 0.5\nreclaim-bound-s = 60\ntask-lease-s = 15\n"
    );
    for class in [("gang", GANG_SIZE, 0), ("large", 32, 0), ("quick", 1, 1)] {
        let (name, tasks, accelerators) = class;
        let urgent = if name == "quick" { "urgent" } else { "normal" };
        write!(
            text,
            "[job {name}]\nservice = train\ntasks = {tasks}\naccelerators = {accelerators}\n\
             cores = 4\nmemory-gb = 8\nadjacent = zone\nrun-time = 4h\npriority = {urgent}\n\
             idempotent = yes\ncheckpoint = yes\nattempts = 3\n"
        )
        .expect("text takes any line");
    }
    for number in 0..customers {
        write!(
            text,
            "[customer team-{number:03}]\nweight = 2\nmax-calls = 64\nmax-queued-jobs = 100000\n"
        )
        .expect("text takes any line");
        if number < racks * WORKERS_PER_RACK / 2 {
            write!(
                text,
                "[guarantee team-{number:03} base]\nzone = zone-a\nblocks = 1\nsize = 1\n\
                 adjacent = worker\n"
            )
            .expect("text takes any line");
        }
    }
    text
}
