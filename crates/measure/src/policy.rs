//! Measures the placement policy: the pure planner, driven by the arrivals of both
//! examples on a virtual clock, beside first-come-first-served first fit and the
//! first version of the planner.

mod case_run;
mod case_summary;
mod fragmentation;
mod guaranteed_claim;
mod job_outcome;
mod page;
mod virtual_worker;
mod workload;
mod zone_run;
mod zone_view;

#[cfg(test)]
mod tests;

use std::fs;
use std::path::{Path, PathBuf};

use flamingowalk_core::version::settings::SystemSettings;
use flamingowalk_core::version::{FolderFile, check_folder, merge_folder};

use self::case_run::{CaseKey, PlannerVariant, run_cases};
use crate::error::MeasureError;

/// Examples, each a folder below `examples`.
const EXAMPLES: [&str; 2] = ["podlaga", "escolta"];
/// Offered accelerator time against the capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.1];

/// Measures all variants and writes the page with its plots into `output`.
///
/// # Errors
///
/// When an example cannot be read or the page cannot be written.
pub fn measure(seed: u64, days: u32, output: &Path) -> Result<(), MeasureError> {
    let mut cases = Vec::new();
    for example in EXAMPLES {
        let settings = read_example(&Path::new("examples").join(example))?;
        for load in LOADS {
            for variant in PlannerVariant::ALL {
                cases.push(CaseKey {
                    example,
                    settings: settings.clone(),
                    load,
                    variant,
                    seed,
                    days,
                });
            }
        }
    }
    let results = run_cases(&cases);
    page::write(&results, seed, days, output)
}

fn read_example(path: &Path) -> Result<SystemSettings, MeasureError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(|source| file_error(path, source))? {
        let file = entry.map_err(|source| file_error(path, source))?.path();
        let text = fs::read_to_string(&file).map_err(|source| file_error(&file, source))?;
        let name = file.file_name().unwrap_or_default();
        let name = name.to_string_lossy().into_owned();
        files.push(FolderFile { name, text });
    }
    let merged = merge_folder(&files);
    merged
        .and_then(|merged| check_folder(&merged))
        .map_err(|faults| MeasureError::Folder {
            path: path.to_owned(),
            faults,
        })
}

fn file_error(path: &Path, source: std::io::Error) -> MeasureError {
    MeasureError::File {
        path: PathBuf::from(path),
        source,
    }
}
