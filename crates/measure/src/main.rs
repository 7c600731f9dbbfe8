//! Command line of the measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flamingowalk_measure::error::MeasureError;
use flamingowalk_measure::{policy, recovery};

/// A measurement to run.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Measure the scheduler; run from the root of the repository
enum MeasureCommand {
    /// Drive the planner with the arrivals of both examples on a virtual clock
    #[bpaf(command)]
    Policy {
        /// Seed of arrivals and faults
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Days of arrivals
        #[bpaf(argument("DAYS"), fallback(1), display_fallback)]
        days: u32,
        /// Folder for the page and its plots
        #[bpaf(
            argument("FOLDER"),
            fallback(PathBuf::from("docs/measurements")),
            debug_fallback
        )]
        output: PathBuf,
    },
    /// Measure records, catching up and starts from the log, and print them
    #[bpaf(command)]
    Recovery {
        /// Folder with the example folders
        #[bpaf(
            argument("FOLDER"),
            fallback(PathBuf::from("examples")),
            debug_fallback
        )]
        examples: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(measure_command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: MeasureCommand) -> Result<(), MeasureError> {
    match command {
        MeasureCommand::Policy { seed, days, output } => policy::measure(seed, days, &output),
        MeasureCommand::Recovery { examples } => recovery::measure(&examples),
    }
}
