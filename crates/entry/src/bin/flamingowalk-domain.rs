//! The daemon of a host of a planning domain. It reads its settings, runs the event loop of
//! `flamingowalk_domain_node` on one thread, and drains on SIGTERM or SIGINT; a second
//! signal ends it at once. On SIGHUP it checks whether its settings have changed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use flamingowalk_domain::process::host::HostIdentity;
use flamingowalk_domain_node::log_output::install_logger;
use flamingowalk_domain_node::status_page::serve_status;
use flamingowalk_domain_node::{DomainHandle, DomainSettings, start_domain};
use flamingowalk_node::connection::client_guard::ClientGuard;
use flamingowalk_node::connection::client_limits::ClientBudget;
use flamingowalk_node::connection::http_server::ServePhase;
use flamingowalk_node::process::counters::install_recorder;
use flamingowalk_platform::job_wire::decode_job;
use flamingowalk_platform::{PlatformAddresses, platform_ports, serve_callers, serve_readiness};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};

/// Exit code for invalid settings or an address that cannot be bound.
const EXIT_ERROR: u8 = 1;
/// Time between two checks whether the drain has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
        Err(text) => return fail(&text),
    };
    if options.check {
        println!("{}: no faults", options.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = install_logger() {
        return fail(&format!("cannot install the logger ({error})"));
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start the runtime ({error}); free memory")),
    };
    match LocalSet::new().block_on(&runtime, run_host(settings, &options.settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => fail(&text),
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("{}", text.trim_end());
    ExitCode::from(EXIT_ERROR)
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
    let budget = ClientBudget::for_host(settings.memory_mb, settings.max_files);
    let guard = ClientGuard::new(budget);
    let callers = serve_callers(
        settings.caller_address,
        handle.clone(),
        guard.clone(),
        phases.clone(),
    );
    let callers = callers.await.map_err(cannot_bind)?;
    let (_status_sender, status_phases) = watch::channel(ServePhase::Accepting);
    serve_readiness(
        settings.ready_address,
        handle.clone(),
        guard.clone(),
        status_phases.clone(),
    )
    .await
    .map_err(cannot_bind)?;
    serve_status(
        settings.status_address,
        handle.clone(),
        recorder,
        decode_job,
        guard,
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
    log::info!("shutdown requested");
    let drained = drain_host(&settings, handle, phase, callers);
    tokio::select! {
        () = drained => {}
        _ = terminate.recv() => log::warn!("drain aborted by a second signal"),
        _ = interrupt.recv() => log::warn!("drain aborted by a second signal"),
    }
    log::info!("stopped");
    Ok(())
}

/// Reads the settings again and logs whether they have changed. Changes take effect at the
/// next start, since addresses and limits are fixed while the process runs.
fn check_reload(path: &Path, settings: &DomainSettings) {
    match read_settings(path) {
        Ok(changed) if changed == *settings => log::info!("settings checked; unchanged"),
        Ok(_) => log::warn!("settings have changed; restart to apply them"),
        Err(text) => {
            log::error!(faults = text.as_str(); "settings rejected; keeping the current ones");
        }
    }
}

/// Makes the host unready and resigns leadership at once. The listener is closed after
/// `drain_wait`, when the load balancer has had time to notice. At `drain_limit` the drain
/// ends, even with work left.
async fn drain_host(
    settings: &DomainSettings,
    handle: DomainHandle,
    phase: watch::Sender<ServePhase>,
    callers: JoinHandle<()>,
) {
    handle.drain();
    let limit = tokio::time::sleep(settings.drain_time());
    let orderly = async {
        tokio::time::sleep(settings.drain_wait).await;
        phase.send_replace(ServePhase::Closing);
        if callers.await.is_err() {
            log::warn!("caller server failed during the drain");
        }
        while !handle.is_drained().await {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = orderly => {}
        () = limit => log::warn!("drain limit reached; exiting with work left"),
    }
}

fn watch_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("cannot watch signals ({error}); start again"))
}
