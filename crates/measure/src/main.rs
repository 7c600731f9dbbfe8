//! Command line of the measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flamingowalk_measure::calls::{self, CallMeasureError};

/// A measurement to run.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Measure the scheduler; run from the root of the repository
enum MeasureCommand {
    /// Send calls over loopback through an entry host to stand-in workers
    #[bpaf(command)]
    Calls {
        /// Seed of arrivals and choices
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Seconds of each run
        #[bpaf(argument("SECONDS"), fallback(8), display_fallback)]
        seconds: u64,
        /// Page to write
        #[bpaf(
            argument("FILE"),
            fallback(PathBuf::from("docs/measurements/CALLS.md")),
            debug_fallback
        )]
        output: PathBuf,
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

fn run(command: MeasureCommand) -> Result<(), CallMeasureError> {
    match command {
        MeasureCommand::Calls {
            seed,
            seconds,
            output,
        } => calls::measure(seed, seconds, &output),
    }
}
