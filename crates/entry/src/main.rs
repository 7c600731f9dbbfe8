//! The daemon of an entry host. It reads its settings, runs the event loop of
//! `flamingowalk_node` on one thread, and drains on SIGTERM or SIGINT; a second signal ends
//! it at once.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flamingowalk_node::{EntryHandle, HostSettings, start_host};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Exit code for invalid settings or an address that cannot be bound.
const EXIT_ERROR: u8 = 1;

/// Entry host of flamingowalk: plans the jobs of its zone and routes calls
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// INI file with the host's settings; docs/operators/settings.md lists the keys
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings
    check: bool,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match read_settings(&options.settings) {
        Ok(settings) => settings,
        Err(text) => return fail(&text),
    };
    if options.check {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start the runtime ({error}); free memory")),
    };
    let result = LocalSet::new().block_on(&runtime, run_host(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => fail(&text),
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("{}", text.trim_end());
    ExitCode::from(EXIT_ERROR)
}

fn read_settings(path: &PathBuf) -> Result<HostSettings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{name}: cannot be read ({error}); check the path"))?;
    HostSettings::parse(&name, &text).map_err(|errors| errors.to_string())
}

async fn run_host(settings: HostSettings) -> Result<(), String> {
    let recorder = flamingowalk_node::process::counters::install_recorder();
    let mut terminate = watch_signal(SignalKind::terminate())?;
    let mut interrupt = watch_signal(SignalKind::interrupt())?;
    let name = settings.name.clone();
    let mut handle = start_host(settings, recorder)
        .await
        .map_err(|error| error.to_string())?;
    log::info!(host = name.as_str(), address = handle.address.to_string().as_str(); "started");
    // An operator may drain the host over HTTP, without a signal.
    let is_signalled = tokio::select! {
        () = wait_signal(&mut terminate, &mut interrupt) => true,
        () = handle.wait_finished() => false,
    };
    if is_signalled {
        drain_host(handle, &mut terminate, &mut interrupt).await;
    }
    log::info!(host = name.as_str(); "stopped");
    Ok(())
}

fn watch_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("cannot watch signals ({error}); start again"))
}

async fn wait_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn drain_host(handle: EntryHandle, terminate: &mut Signal, interrupt: &mut Signal) {
    handle.drain();
    tokio::select! {
        () = handle.finished() => {}
        () = wait_signal(terminate, interrupt) => log::warn!("drain aborted by a second signal"),
    }
}
