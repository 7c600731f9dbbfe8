//! The daemon of a host of a planning domain. It reads its settings, runs the
//! library's loop on one thread, and drains on SIGTERM or an interrupt; a second
//! signal ends it at once. SIGHUP makes it read the settings again.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use flamingowalk_domain::process::host::HostIdentity;
use flamingowalk_domain_node::log_output::install_logger;
use flamingowalk_domain_node::status_page::serve_status;
use flamingowalk_domain_node::{DomainHandle, DomainSettings, start_domain};
use flamingowalk_node::connection::http_server::ServePhase;
use flamingowalk_node::process::counters::install_recorder;
use flamingowalk_platform::{PlatformAddresses, platform_ports, serve_callers, serve_readiness};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};

/// Exit code for faulty settings or an address that cannot be bound.
const EXIT_REFUSED: u8 = 1;
/// Time between two questions whether the drain is over.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Host of a planning domain of flamingowalk: accepts jobs and may plan them
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// INI file with the host's settings; docs/operators/domain-settings.md lists the keys
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings
    check: bool,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    let settings = match read_settings(&options.settings) {
        Ok(settings) => settings,
        Err(text) => return refuse(&text),
    };
    if options.check {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = install_logger() {
        return refuse(&format!("cannot install the logger ({error})"));
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return refuse(&format!("cannot start the runtime ({error}); free memory")),
    };
    match LocalSet::new().block_on(&runtime, run_host(settings, &options.settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => refuse(&text),
    }
}

fn refuse(text: &str) -> ExitCode {
    eprintln!("{}", text.trim_end());
    ExitCode::from(EXIT_REFUSED)
}

fn read_settings(path: &Path) -> Result<DomainSettings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{name}: cannot be read ({error}); check the path"))?;
    DomainSettings::parse(&name, &text).map_err(|errors| errors.to_string())
}

async fn run_host(settings: DomainSettings, path: &Path) -> Result<(), String> {
    let recorder = install_recorder();
    let mut terminate = watch_signal(SignalKind::terminate())?;
    let mut interrupt = watch_signal(SignalKind::interrupt())?;
    let mut reload = watch_signal(SignalKind::hangup())?;
    let (phase, phases) = watch::channel(ServePhase::Accepting);
    let identity = HostIdentity {
        name: settings.name.clone(),
        nonce: rand::random(),
        cpu_share: settings.cpu_share,
        limits: settings.limits,
    };
    let ports = platform_ports(PlatformAddresses {
        log: settings.log_address,
        advice: settings.advice_address,
        machines: settings.machines_address,
    });
    let handle = start_domain(identity, ports);
    let cannot_bind = |error| format!("cannot bind an address ({error}); check [listen]");
    let callers = serve_callers(settings.caller_address, handle.clone(), phases.clone());
    let callers = callers.await.map_err(cannot_bind)?;
    let (_status, status_phases) = watch::channel(ServePhase::Accepting);
    serve_readiness(
        settings.ready_address,
        handle.clone(),
        status_phases.clone(),
    )
    .await
    .map_err(cannot_bind)?;
    serve_status(
        settings.status_address,
        handle.clone(),
        recorder,
        status_phases,
    )
    .await
    .map_err(cannot_bind)?;
    log::info!(host = settings.name.as_str(), address = settings.caller_address.to_string().as_str(); "started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => check_reload(path, &settings),
        }
    }
    log::info!("stop asked");
    let drained = drain_host(&settings, handle, phase, callers);
    tokio::select! {
        () = drained => {}
        _ = terminate.recv() => log::warn!("ended by a second signal"),
        _ = interrupt.recv() => log::warn!("ended by a second signal"),
    }
    log::info!("stopped");
    Ok(())
}

/// Reads the settings again. What they change takes effect with the next start, since
/// addresses and bounds hold for the life of the process.
fn check_reload(path: &Path, settings: &DomainSettings) {
    match read_settings(path) {
        Ok(changed) if changed == *settings => log::info!("settings read again; unchanged"),
        Ok(_) => log::warn!("settings have changed; restart to apply them"),
        Err(text) => {
            log::error!(faults = text.as_str(); "settings cannot be read; keeping the old ones");
        }
    }
}

/// Turns unready and gives the seat up at once; closes the listener once the balancer
/// has had time to see it; cuts what is left at the limit.
async fn drain_host(
    settings: &DomainSettings,
    handle: DomainHandle,
    phase: watch::Sender<ServePhase>,
    callers: JoinHandle<()>,
) {
    handle.drain();
    let limit = tokio::time::sleep(settings.drain_limit);
    let orderly = async {
        tokio::time::sleep(settings.drain_wait).await;
        phase.send_replace(ServePhase::Closing);
        if callers.await.is_err() {
            log::warn!("the server of callers ended early");
        }
        while !handle.is_drained().await {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    tokio::select! {
        () = orderly => {}
        () = limit => log::warn!("drain cut at its limit"),
    }
}

fn watch_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("cannot watch signals ({error}); start again"))
}
