//! The hosts of the domain: each is the daemon of the deploy file with settings made from the
//! template there.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;

pub struct Daemon {
    child: Child,
    command: Launch,
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
}

/// What a host is started with, again after its end.
struct Launch {
    root: PathBuf,
    settings: PathBuf,
    output: PathBuf,
}

impl Launch {
    fn start(&self) -> Child {
        let output = std::fs::OpenOptions::new().append(true).create(true).open(&self.output);
        let output = output.expect("a log can be written");
        Command::new(self.root.join("target/release/flamingowalk-domain"))
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .expect("the daemon starts; build it first")
    }
}

/// Bounds and addresses that the settings of all hosts share.
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub log: SocketAddr,
    pub machines: Option<SocketAddr>,
    pub bounds: Vec<(&'static str, String)>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    pub fn start(deployment: &Deployment, name: &str) -> Self {
        let (caller, ready, status) = (free_address(), free_address(), free_address());
        let mut fields: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_owned(), value);
        set("node", name.to_owned());
        set("ip", "127.0.0.1".to_owned());
        set("limits.cpu-share", "0.25".to_owned());
        set("limits.memory-mb", "260".to_owned());
        set("limits.max-fds", "4100".to_owned());
        set("listen.front", caller.to_string());
        set("listen.ready", ready.to_string());
        set("port-range.0", status.port().to_string());
        set("platform.address", deployment.log.to_string());
        set("orders", "request".to_owned());
        if let Some(machines) = deployment.machines {
            set("cloud.address", machines.to_string());
        }
        for (bound, value) in &deployment.bounds {
            set(&format!("bounds.{bound}"), value.clone());
        }
        let template = deployment.root.join("deploy/host.ini");
        let template = std::fs::read_to_string(template).expect("the template can be read");
        let settings = deployment.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, render(&template, &fields)).expect("settings can be written");
        let command = Launch {
            root: deployment.root.clone(),
            settings,
            output: deployment.folder.join(format!("{name}.log")),
        };
        let child = command.start();
        Self { child, command, name: name.to_owned(), caller, ready }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = call(self.ready, "GET", "/api/ready", &[], "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = self.command.start();
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
        let words = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        words.unwrap_or(0) * 1024
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// Returns a free address below the ports that the system gives to outgoing connections, so that
/// a host finds it free again when it starts anew.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (std::process::id() as u16 % 300) * 40 + step % 40;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// Waits until all hosts are ready.
pub fn await_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Fills in a template: `{{name}}` is a value, and `{{#name}}..{{/name}}` is kept if there is
/// one, with `{{.}}` as the value.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}").expect("a placeholder ends");
        let name = &after[..end];
        rest = &after[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let stop = rest.find(&close).expect("a section ends");
            if let Some(value) = fields.get(section) {
                out.push_str(&rest[..stop].replace("{{.}}", value));
            }
            rest = &rest[stop + close.len()..];
        } else {
            out.push_str(fields.get(name).map_or("", String::as_str));
        }
    }
    out.push_str(rest);
    out
}

/// A folder for the settings and logs of a case, removed at the end.
pub struct CaseFolder {
    pub path: PathBuf,
}

impl CaseFolder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self { path }
    }
}

impl Drop for CaseFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

pub fn repository() -> PathBuf {
    let root = std::env::var_os("REPOSITORY").expect("run.sh sets REPOSITORY");
    Path::new(&root).to_path_buf()
}
