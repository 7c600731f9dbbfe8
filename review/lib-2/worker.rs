//! A worker: runs units under leases, and reports itself to the log.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::Json;
use crate::log::LogWriter;
use crate::record::{Record, unix_ms};

pub const SERVICE: &str = "planner-service";
/// Interval between two entries of a worker (`heartbeat-ms`).
const BEAT: Duration = Duration::from_millis(1500);
/// Startup of a unit that lasts.
const STARTUP: Duration = Duration::from_millis(400);

#[derive(Clone)]
struct Run {
    number: u64,
    started: Instant,
    /// `None` for a unit that lasts.
    length: Option<Duration>,
}

/// How a unit begins and ends, for the judge.
#[derive(Clone, Debug)]
pub struct Span {
    pub unit: String,
    pub run: u64,
    pub worker: String,
    pub begun: Duration,
    pub ended: Option<(Duration, String)>,
}

pub type Spans = Arc<Mutex<Vec<Span>>>;

#[derive(Default)]
struct State {
    fence: u64,
    until: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, String)>,
    next_end: u64,
    /// Highest run that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    is_gone: bool,
    /// The worker is lost: it answers nothing and writes nothing more.
    is_dark: bool,
    waiting_since: Option<Instant>,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    born: u64,
    started: Instant,
    lease_limit: u64,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    spans: Spans,
}

/// What a worker is made of.
pub struct WorkerPlace {
    pub id: String,
    pub machine: String,
    pub zone: String,
    pub rack: String,
    pub lease_limit: u64,
}

impl Worker {
    /// Starts one life of a worker.
    pub fn start(place: WorkerPlace, log: LogWriter, record: Arc<Record>, spans: Spans) -> Arc<Self> {
        let holder: Arc<Mutex<Option<Arc<Worker>>>> = Arc::default();
        let served = Arc::clone(&holder);
        let server = Server::start(move |request| {
            let worker = served.lock().expect("usable").clone();
            worker.map_or(Reply::Close, |worker| worker.handle(&request))
        });
        let worker = Arc::new(Self {
            id: place.id,
            machine: place.machine,
            zone: place.zone,
            rack: place.rack,
            address: server.address,
            born: unix_ms(),
            started: Instant::now(),
            lease_limit: place.lease_limit,
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
            spans,
        });
        *holder.lock().expect("usable") = Some(Arc::clone(&worker));
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || beating.live(&log, &server));
        worker
    }

    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn live(&self, log: &LogWriter, server: &Server) {
        let mut next_beat = Instant::now();
        let mut sequence = 1;
        loop {
            if self.state.lock().expect("usable").is_dark {
                // The platform removes the entry after three intervals of silence.
                std::thread::sleep(3 * BEAT);
                log.put("keyed.servers", &self.id, None);
                return;
            }
            if self.state.lock().expect("usable").is_gone {
                server.close();
                log.put("keyed.servers", &self.id, None);
                return;
            }
            if Instant::now() >= next_beat {
                next_beat += BEAT;
                log.put("keyed.servers", &self.id, Some(&self.entry(sequence)));
                sequence += 1;
            }
            self.end_due_runs();
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn entry(&self, sequence: u64) -> String {
        let capacity = Json::object(vec![
            ("cpu", Json::Number(32_000.0)),
            ("mem-mb", Json::Number(65_536.0)),
            ("gpu", Json::Number(8.0)),
        ]);
        let labels = vec![Json::text("a"), Json::text(&self.rack)];
        Json::object(vec![
            ("service", Json::text(SERVICE)),
            ("address", Json::Text(self.address.to_string())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::Number(8.0)),
            ("state", Json::text("ready")),
            ("cold-remaining-ms", Json::Number(0.0)),
            ("capacity", capacity),
            ("labels", Json::List(labels)),
            ("clock-ms", Json::Number(self.clock() as f64)),
            ("seq", Json::Number(sequence as f64)),
            ("born", Json::Number(self.born as f64)),
        ])
        .render()
    }

    fn end_due_runs(&self) {
        let clock = self.clock();
        let mut state = self.state.lock().expect("usable");
        let has_lapsed = clock > state.until;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(unit, run)| {
                let is_done = run.length.is_some_and(|length| run.started.elapsed() >= length);
                let how = if is_done { "done" } else { "lapsed" };
                (is_done || has_lapsed).then(|| (unit.clone(), how))
            })
            .collect();
        for (unit, how) in due {
            self.end(&mut state, &unit, how);
        }
    }

    /// Ends a run by itself, as a unit that lasts may do at any time.
    pub fn end_unit(&self, unit: &str, how: &str) -> bool {
        let mut state = self.state.lock().expect("usable");
        let is_there = state.running.contains_key(unit);
        if is_there {
            self.end(&mut state, unit, how);
        }
        is_there
    }

    fn end(&self, state: &mut State, unit: &str, how: &str) {
        let Some(run) = state.running.remove(unit) else {
            return;
        };
        state.next_end += 1;
        let number = state.next_end;
        state.ended.push((number, unit.to_owned(), run.number, how.to_owned()));
        state.closed.insert(unit.to_owned(), run.number);
        self.note_end(unit, run.number, how);
        self.changed.notify_all();
    }

    fn note_end(&self, unit: &str, run: u64, how: &str) {
        self.record.line(&format!("worker {} unit {unit} run {run} ended {how}", self.id));
        let mut spans = self.spans.lock().expect("usable");
        let open = spans.iter_mut().rev().find(|span| {
            span.unit == unit && span.run == run && span.worker == self.id && span.ended.is_none()
        });
        if let Some(span) = open {
            span.ended = Some((self.record.elapsed(), how.to_owned()));
        }
    }

    /// Ends the worker with everything that runs on it, which lists no ends.
    pub fn leave(&self, why: &str) -> usize {
        let mut state = self.state.lock().expect("usable");
        state.is_gone = true;
        let running = std::mem::take(&mut state.running);
        for (unit, run) in &running {
            self.note_end(unit, run.number, why);
        }
        self.changed.notify_all();
        running.len()
    }

    /// When the newest call that waits for an end arrived.
    pub fn waiting_since(&self) -> Option<Instant> {
        self.state.lock().expect("usable").waiting_since
    }

    /// Loses the worker for good without a word, with everything that runs on it.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("usable");
        state.is_dark = true;
        let running = std::mem::take(&mut state.running);
        for (unit, run) in &running {
            self.note_end(unit, run.number, "crash");
        }
        self.record.line(&format!("worker {} is lost for good", self.id));
    }

    pub fn running(&self) -> BTreeSet<String> {
        let state = self.state.lock().expect("usable");
        state.running.keys().cloned().collect()
    }

    fn handle(&self, request: &Request) -> Reply {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return Reply::json(400, "{}".to_owned());
        };
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Reply::json(421, "{}".to_owned());
        }
        let mut state = self.state.lock().expect("usable");
        if state.is_dark {
            return Reply::Silence;
        }
        if state.is_gone {
            return Reply::Close;
        }
        let fence = body.number("fence").unwrap_or(0.0) as u64;
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => self.start_run(&mut state, &body),
            "/api/run-stop" => self.stop_run(&mut state, &body),
            "/api/hold" => self.hold(state, &body),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock = self.clock();
        Reply::json(409, format!("{{\"clock-ms\":{clock},\"reason\":\"{reason}\"}}"))
    }

    fn done(&self) -> Reply {
        Reply::json(200, format!("{{\"clock-ms\":{}}}", self.clock()))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until) = body.number("until-ms") {
            let until = (until as u64).min(self.clock() + self.lease_limit);
            state.until = state.until.max(until);
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Reply {
        let (Some(unit), Some(run)) = (body.string("task"), body.number("run")) else {
            return Reply::json(400, "{}".to_owned());
        };
        let run = run as u64;
        if body.number("until-ms").unwrap_or(0.0) as u64 <= self.clock() {
            return self.refuse("late");
        }
        self.extend(state, body);
        if state.running.get(unit).is_some_and(|known| known.number == run) {
            return self.done();
        }
        let is_old = state.closed.get(unit).is_some_and(|closed| run <= *closed);
        if is_old || state.running.contains_key(unit) {
            return self.refuse("old");
        }
        // The spec says how long the unit works.
        let spec = body.string("spec").unwrap_or_default();
        let length = spec.strip_prefix("ms=").and_then(|text| text.parse().ok());
        let length = length.map(Duration::from_millis);
        let started = Instant::now();
        state.running.insert(unit.to_owned(), Run { number: run, started, length });
        self.record.line(&format!("worker {} unit {unit} run {run} starts", self.id));
        self.spans.lock().expect("usable").push(Span {
            unit: unit.to_owned(),
            run,
            worker: self.id.clone(),
            begun: self.record.elapsed(),
            ended: None,
        });
        self.done()
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Reply {
        let (Some(unit), Some(run)) = (body.string("task"), body.number("run")) else {
            return Reply::json(400, "{}".to_owned());
        };
        let run = run as u64;
        let closed = state.closed.entry(unit.to_owned()).or_default();
        *closed = run.max(*closed);
        if state.running.get(unit).is_some_and(|known| known.number <= run) {
            self.end(state, unit, "stopped");
        }
        self.done()
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        self.extend(&mut state, body);
        let acknowledged = body.number("ack-position").unwrap_or(0.0) as u64;
        state.ended.retain(|(number, ..)| *number > acknowledged);
        let wait = body.number("wait-ms").unwrap_or(0.0) as u64;
        let until = Instant::now() + Duration::from_millis(wait.min(2_000));
        if wait > 0 {
            state.waiting_since = Some(Instant::now());
        }
        while state.ended.is_empty() && !state.is_gone && !state.is_dark && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).expect("usable").0;
        }
        if state.is_dark {
            return Reply::Silence;
        }
        if state.is_gone {
            return Reply::Close;
        }
        let running = state.running.iter().map(|(unit, run)| {
            let percent = match run.length {
                Some(length) => run.started.elapsed().as_secs_f64() / length.as_secs_f64() * 100.0,
                None if run.started.elapsed() >= STARTUP => 100.0,
                None => 0.0,
            };
            Json::List(vec![
                Json::text(unit),
                Json::Number(run.number as f64),
                Json::text(""),
                Json::Number(percent.min(100.0).floor()),
                Json::Number(0.0),
            ])
        });
        let running = Json::List(running.collect());
        let ended = state.ended.iter().take(500).map(|(number, unit, run, how)| {
            Json::List(vec![
                Json::Number(*number as f64),
                Json::text(unit),
                Json::Number(*run as f64),
                Json::text(how),
                Json::text(""),
            ])
        });
        let ended = Json::List(ended.collect());
        let listing = Json::object(vec![
            ("clock-ms", Json::Number(self.clock() as f64)),
            ("born", Json::Number(self.born as f64)),
            ("running", running),
            ("ended", ended),
        ]);
        Reply::json(200, listing.render())
    }
}
