//! Measures the placement policy: the planner state machine, driven by the arrivals of both
//! examples on a virtual clock, compared with strict first-come-first-served first fit and
//! with first fit that skips jobs that do not fit.

mod case_run;
mod case_summary;
mod fragmentation;
mod guarantee_fit;
mod job_outcome;
mod page;
pub mod recording;
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

/// Names of the example folders below `examples`.
const EXAMPLES: [&str; 2] = ["podlaga", "escolta"];
/// Offered accelerator time as a share of the capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.1];

/// Selection of the cases to run.
#[derive(Clone, Debug, Default)]
pub struct PolicyChoice {
    /// Seed of arrivals and faults.
    pub seed: u64,
    /// Days of arrivals.
    pub days: u32,
    /// The only example to run; all if `None`.
    pub example: Option<String>,
    /// The only load to run; all if `None`.
    pub load: Option<f64>,
    /// Whether to run only the planner with its default policy.
    pub only_current: bool,
}

impl PolicyChoice {
    /// Returns whether every case runs. The page is written only then.
    pub const fn is_complete(&self) -> bool {
        self.example.is_none() && self.load.is_none() && !self.only_current
    }

    fn includes(&self, key: &CaseKey) -> bool {
        let is_example = self.example.as_ref().is_none_or(|name| name == key.example);
        let is_load = self.load.is_none_or(|load| (load - key.load).abs() < 1e-9);
        let is_variant = !self.only_current || key.variant == PlannerVariant::Current;
        is_example && is_load && is_variant
    }
}

/// Measures the chosen cases. Writes the page with its plots into `output` if all cases
/// run, and prints the tables otherwise.
///
/// # Errors
///
/// Returns a [`MeasureError`] if an example cannot be read or the page cannot be written.
pub fn measure(choice: &PolicyChoice, output: &Path) -> Result<(), MeasureError> {
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
                    seed: choice.seed,
                    days: choice.days,
                });
            }
        }
    }
    cases.retain(|key| choice.includes(key));
    let results = run_cases(&cases);
    if choice.is_complete() {
        return page::write(&results, choice, output);
    }
    println!("{}", page::tables(&results));
    Ok(())
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
        .map_err(|errors| MeasureError::Folder {
            path: path.to_owned(),
            errors,
        })
}

fn file_error(path: &Path, source: std::io::Error) -> MeasureError {
    MeasureError::File {
        path: PathBuf::from(path),
        source,
    }
}
