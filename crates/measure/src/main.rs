//! Command line that runs the measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flamingowalk_measure::calls;
use flamingowalk_measure::capacity;
use flamingowalk_measure::error::MeasureError;
use flamingowalk_measure::policy::{self, PolicyChoice};
use flamingowalk_measure::recovery;

/// A measurement to run.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Measure the scheduler; run from the root of the repository
enum MeasureCommand {
    /// Drive the planner with the arrivals of both examples on a virtual clock
    #[bpaf(command)]
    Policy {
        #[bpaf(external(policy_options))]
        choice: PolicyOptions,
        /// Folder for the page and its plots
        #[bpaf(
            argument("FOLDER"),
            fallback(PathBuf::from("docs/measurements")),
            debug_fallback
        )]
        output: PathBuf,
    },
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
        page: PathBuf,
    },
    /// Measure processor time, memory and bytes of the real pieces at several sizes
    #[bpaf(command)]
    Capacity {
        /// Folder for the table and its plots
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

/// Which cases to run.
#[derive(Bpaf, Clone, Debug)]
struct PolicyOptions {
    /// Seed of arrivals and faults
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Days of arrivals
    #[bpaf(argument("DAYS"), fallback(1), display_fallback)]
    days: u32,
    /// Only this example; prints in place of writing the page
    #[bpaf(argument("NAME"), optional)]
    example: Option<String>,
    /// Only this load; prints in place of writing the page
    #[bpaf(argument("SHARE"), optional)]
    load: Option<f64>,
    /// Only the planner as it is; prints in place of writing the page
    current: bool,
}

impl From<PolicyOptions> for PolicyChoice {
    fn from(options: PolicyOptions) -> Self {
        Self {
            seed: options.seed,
            days: options.days,
            example: options.example,
            load: options.load,
            only_current: options.current,
        }
    }
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
        MeasureCommand::Policy { choice, output } => policy::measure(&choice.into(), &output),
        MeasureCommand::Calls {
            seed,
            seconds,
            page,
        } => Ok(calls::measure(seed, seconds, &page)?),
        MeasureCommand::Capacity { output } => Ok(capacity::measure(&output)?),
        MeasureCommand::Recovery { examples } => Ok(recovery::measure(&examples)?),
    }
}
