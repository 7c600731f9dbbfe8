//! The platform's machine service: lists the machines and puts them into upkeep.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Reply, Request, Server};
use crate::json::Json;
use crate::record::Record;
use crate::worker::{SERVICE, Worker};

/// Time that an upkeep takes (`upkeep-s`).
const UPKEEP: Duration = Duration::from_secs(2);

struct Machine {
    worker: Option<Arc<Worker>>,
    is_down: bool,
    fence: u64,
    /// Waves for which its upkeep has begun.
    done: Vec<u64>,
}

pub struct Wave {
    pub number: u64,
    pub machines: Vec<String>,
    pub cap: usize,
}

/// What becomes of a call for upkeep.
pub enum CallFate {
    Answered,
    /// No answer, and carried out after this time.
    Late(Duration),
}

type StartLife = Box<dyn Fn(&str) -> Arc<Worker> + Send + Sync>;
type ChooseFate = Box<dyn Fn(&str) -> CallFate + Send + Sync>;
/// Called before an upkeep ends what runs on a worker.
type BeforeUpkeep = Box<dyn Fn(&Worker) + Send + Sync>;

pub struct Machines {
    machines: Mutex<BTreeMap<String, Machine>>,
    waves: Mutex<Vec<Wave>>,
    start_life: StartLife,
    choose_fate: ChooseFate,
    before_upkeep: BeforeUpkeep,
    record: Arc<Record>,
    /// Times when the rule LIMIT was broken.
    pub over_limit: Mutex<Vec<String>>,
    /// Runs that an upkeep has ended.
    pub ended_runs: Mutex<usize>,
}

impl Machines {
    pub fn start(
        workers: &[Arc<Worker>],
        record: Arc<Record>,
        start_life: StartLife,
        choose_fate: ChooseFate,
        before_upkeep: BeforeUpkeep,
    ) -> (Arc<Self>, Server) {
        let rows = workers.iter().map(|worker| {
            let machine = Machine {
                worker: Some(Arc::clone(worker)),
                is_down: false,
                fence: 0,
                done: Vec::new(),
            };
            (worker.machine.clone(), machine)
        });
        let service = Arc::new(Self {
            machines: Mutex::new(rows.collect()),
            waves: Mutex::default(),
            start_life,
            choose_fate,
            before_upkeep,
            record,
            over_limit: Mutex::default(),
            ended_runs: Mutex::default(),
        });
        let served = Arc::clone(&service);
        let server = Server::start(move |request| served.handle(&request));
        (service, server)
    }

    pub fn add_wave(&self, wave: Wave) {
        self.waves.lock().expect("usable").push(wave);
    }

    /// Returns the current workers.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().expect("usable");
        machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Returns the machines of a wave whose upkeep has not begun.
    pub fn open_machines(&self, wave: u64) -> Vec<String> {
        let machines = self.machines.lock().expect("usable");
        let open = machines.iter().filter(|(_, machine)| !machine.done.contains(&wave));
        open.map(|(name, _)| name.clone()).collect()
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(5));
        match request.path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-upkeep" => self.order(request),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn list(&self) -> Reply {
        let machines = self.machines.lock().expect("usable");
        let rows = machines.iter().map(|(name, machine)| {
            let state = if machine.is_down { "upkeep" } else { "up" };
            let id = machine.worker.as_ref().map_or(Json::Null, |worker| Json::text(&worker.id));
            Json::object(vec![
                ("machine", Json::text(name)),
                ("pool", Json::text(SERVICE)),
                ("state", Json::text(state)),
                ("zone", Json::text("zone-a")),
                ("id", id),
            ])
        });
        let body = Json::object(vec![
            ("machines", Json::List(rows.collect())),
            ("next-page-token", Json::Null),
        ]);
        Reply::json(200, body.render())
    }

    fn order(self: &Arc<Self>, request: &Request) -> Reply {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let name = body.string("machine").unwrap_or_default().to_owned();
        let wave = body.number("wave").unwrap_or(0.0) as u64;
        let fence = request.header("x-fencing-token").and_then(|text| text.parse().ok());
        let fence: u64 = fence.unwrap_or(0);
        let holder = request.header("x-lease-holder").unwrap_or_default().to_owned();
        match (self.choose_fate)(&name) {
            CallFate::Answered => {
                let (status, reason) = self.carry_out(&name, wave, fence);
                self.record.line(&format!(
                    "upkeep of {name} ordered by {holder} token {fence} -> {status} {reason}"
                ));
                let body = format!("{{\"reason\":\"{reason}\"}}");
                Reply::json(status, if reason.is_empty() { "{}".to_owned() } else { body })
            }
            CallFate::Late(delay) => {
                self.record.line(&format!(
                    "upkeep of {name} ordered by {holder} token {fence} -> no answer, carried out {:.1} s later",
                    delay.as_secs_f64()
                ));
                let service = Arc::clone(self);
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let (status, reason) = service.carry_out(&name, wave, fence);
                    service.record.line(&format!(
                        "late upkeep of {name} token {fence} carried out: {status} {reason}"
                    ));
                });
                Reply::Silence
            }
        }
    }

    fn carry_out(self: &Arc<Self>, name: &str, number: u64, fence: u64) -> (u16, &'static str) {
        let mut machines = self.machines.lock().expect("usable");
        let waves = self.waves.lock().expect("usable");
        let Some(wave) = waves.iter().find(|wave| wave.number == number) else {
            return (409, "wave");
        };
        if !wave.machines.iter().any(|known| known == name) {
            return (409, "wave");
        }
        let is_down = |name: &String| machines.get(name).is_some_and(|machine| machine.is_down);
        let down: Vec<_> = wave.machines.iter().filter(|name| is_down(name)).cloned().collect();
        let cap = wave.cap;
        let Some(machine) = machines.get_mut(name) else {
            return (400, "");
        };
        if fence < machine.fence {
            return (409, "fence");
        }
        machine.fence = fence;
        if machine.done.contains(&number) {
            return (200, "");
        }
        if machine.is_down {
            return (409, "busy");
        }
        machine.done.push(number);
        machine.is_down = true;
        if down.len() >= cap {
            let text = format!("RULE LIMIT: upkeep of {name} begins while {down:?} are down, cap {cap}");
            self.record.line(&text);
            self.over_limit.lock().expect("usable").push(text);
        }
        if let Some(worker) = machine.worker.take() {
            (self.before_upkeep)(&worker);
            let ended = worker.leave("upkeep");
            *self.ended_runs.lock().expect("usable") += ended;
            self.record.line(&format!("upkeep of {name} begins, {ended} runs end with it"));
        }
        let (service, name) = (Arc::clone(self), name.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(UPKEEP);
            let worker = (service.start_life)(&name);
            let mut machines = service.machines.lock().expect("usable");
            if let Some(machine) = machines.get_mut(&name) {
                service.record.line(&format!("upkeep of {name} ends, new worker {}", worker.id));
                machine.worker = Some(worker);
                machine.is_down = false;
            }
        });
        (200, "")
    }
}
