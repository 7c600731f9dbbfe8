//! The operator command line as a library, with one module per group of commands.
//! Exit codes are 0 for success, 1 for refused or failed, 2 for wrong usage and 3 for
//! unreachable or an unknown outcome.

pub mod caller_commands;
pub mod command;
pub mod exit;
pub mod explain;
pub mod folder_commands;
pub mod host_commands;
pub mod output;
pub mod publish;
pub mod standin_settings;
pub mod try_platform;
pub mod try_report;
pub mod try_run;

use std::io::Write;
use std::process::ExitCode;

use bpaf::ParseFailure;
use tokio::task::LocalSet;

use crate::command::{Command, ExplainOptions, command_options};
use crate::exit::{CommandError, EXIT_USAGE};

/// Line width of help texts in characters.
const LINE_WIDTH: usize = 100;

/// Parses the command line, runs the command and returns the exit code.
pub fn run() -> ExitCode {
    let command = match command_options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_usage(&failure),
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run_command(command)),
        Err(error) => Err(CommandError::Refused(format!(
            "cannot start the runtime ({error})"
        ))),
    };
    match result {
        Ok(text) => {
            // A reader such as `head` may close the pipe early, which is not an error.
            let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            error.exit_code()
        }
    }
}

/// Prints the help text or the usage error and returns the exit code.
fn report_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(LINE_WIDTH);
    if matches!(failure, ParseFailure::Stderr(_)) {
        ExitCode::from(EXIT_USAGE)
    } else {
        ExitCode::SUCCESS
    }
}

/// Runs one command and returns the text to print.
///
/// # Errors
/// Returns a [`CommandError`] whose text names the remedy and which carries the exit
/// code.
pub async fn run_command(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Check { folder } => folder_commands::check(&folder),
        Command::Merge { folder } => folder_commands::merge(&folder),
        Command::Publish {
            folder,
            log,
            publisher,
        } => publish::publish(&folder, log, &publisher).await,
        Command::Diff { folder, log } => publish::diff(&folder, log).await,
        Command::History {
            log,
            version,
            output,
        } => publish::history(log, version, output).await,
        Command::Call(options) => caller_commands::call(options).await,
        Command::Submit(options) => caller_commands::submit(options).await,
        Command::Status { host, output, job } => caller_commands::status(host, output, job).await,
        Command::Cancel { host, output, job } => caller_commands::cancel(host, output, &job).await,
        Command::Drain { host } => host_commands::drain(host).await,
        Command::Dump { host, output } => host_commands::dump(host, output).await,
        Command::Explain(ExplainOptions::Placement(options)) => {
            host_commands::explain_placement(options).await
        }
        Command::Explain(ExplainOptions::Captured { log, id }) => explain::explain(&id, &log),
        Command::Try { example, output } => try_run::run_example(&example, output).await,
    }
}
