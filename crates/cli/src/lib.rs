//! The operator command line as a library: one module per group of verbs. Exit
//! codes are 0 for done, 1 for refused or failed, 2 for wrong usage and 3 for
//! unreachable or unknown.

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

use crate::command::{Command, command_options};
use crate::exit::{CommandError, EXIT_USAGE};

/// Width of help text in characters.
const LINE_WIDTH: usize = 100;

/// Reads the command line, runs the verb and returns the exit code.
pub fn run() -> ExitCode {
    let command = match command_options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return finish_usage(&failure),
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
            // A reader that has seen enough, such as `head`, is no fault.
            let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            error.exit_code()
        }
    }
}

/// Prints help or what is wrong with the command line.
fn finish_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(LINE_WIDTH);
    if matches!(failure, ParseFailure::Stderr(_)) {
        ExitCode::from(EXIT_USAGE)
    } else {
        ExitCode::SUCCESS
    }
}

/// Runs one verb and returns what it prints.
///
/// # Errors
/// A [`CommandError`] that names the remedy and carries the exit code.
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
        Command::Explain { log, id } => explain::explain(&id, &log),
        Command::Try { example, output } => try_run::run_example(&example, output).await,
    }
}
