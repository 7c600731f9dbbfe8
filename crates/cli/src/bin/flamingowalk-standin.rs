//! Runs the stand-ins of the platform (log, host list and workers) as a separate
//! process, and writes the settings files of the entry hosts that connect to them, so
//! that each daemon can be started and tried by hand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flamingowalk_cli::exit::CommandError;
use flamingowalk_cli::folder_commands::checked_folder;
use flamingowalk_cli::standin_settings::write_settings;
use flamingowalk_cli::try_platform::{ExampleFolder, TrialPlatform, TrialTimes, example_folder};
use flamingowalk_core::version::check_folder;
use tokio::task::LocalSet;

/// Stand-ins of the platform for trials; ends with an interrupt
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct StandinOptions {
    /// Folder that receives one settings file per entry host
    #[bpaf(argument("FOLDER"))]
    settings: PathBuf,
    /// First port of the entry hosts; each takes two
    #[bpaf(argument("PORT"), fallback(7_000), display_fallback)]
    first_port: u16,
    #[bpaf(external)]
    source: Source,
}

/// Where the declared capacity comes from
#[derive(Clone, Debug, Bpaf)]
enum Source {
    /// Operator folder whose declared capacity is started
    Folder(#[bpaf(long("folder"), argument("FOLDER"))] PathBuf),
    /// podlaga or escolta
    Example(#[bpaf(long("example"), argument("NAME"), fallback("podlaga".to_owned()))] String),
}

fn main() -> ExitCode {
    let options = standin_options().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(options)),
        Err(error) => Err(CommandError::Refused(format!(
            "cannot start the runtime ({error})"
        ))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

async fn serve(options: StandinOptions) -> Result<(), CommandError> {
    let folder = match &options.source {
        Source::Folder(path) => {
            let merged = checked_folder(path)?;
            let settings = check_folder(&merged)
                .map_err(|errors| CommandError::Refused(errors.to_string()))?;
            ExampleFolder { merged, settings }
        }
        Source::Example(name) => example_folder(name)?,
    };
    let platform = TrialPlatform::start_standins(&folder.settings, &TrialTimes::default()).await?;
    let files = write_settings(
        &platform,
        &folder.settings,
        &options.settings,
        options.first_port,
    )?;
    println!("log {}", platform.log.address());
    println!("hosts {}", platform.hosts.address());
    println!("workers {}", platform.workers.len());
    for file in files {
        println!("settings {}", file.display());
    }
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| CommandError::Refused(format!("cannot watch signals ({error})")))
}
