//! A fake zone of three hosts with its log and links, in steps (quanta) of a tenth of a
//! second.

use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::verifier::verify_election;
use flamingowalk_core::process::election::{
    ElectionAction, ElectionEvent, ElectionRecord, ElectionTimes, LeaderElection, VoterIdentity,
};
use flamingowalk_core::process::planner::event::LeaderTerm;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of hosts in the zone.
pub const HOSTS: usize = 3;
const NAMES: [&str; HOSTS] = ["a", "b", "c"];
const QUANTUM_MICROS: u64 = 100_000;
const TIMES: ElectionTimes = ElectionTimes {
    lease_duration: Duration::from_secs(4),
    max_log_outage: Duration::from_secs(20),
    max_clock_drift: Duration::from_secs(1),
};
/// Quanta without a heartbeat after which a peer counts as lost.
const PEER_TIMEOUT_QUANTA: u64 = 20;

/// A fault and, where it lasts, its length in quanta.
#[derive(Clone, Copy, Debug)]
pub enum ZoneFault {
    LogDown(u64),
    LogSlow(u64),
    Pause(usize, u64),
    CutLog(usize, u64),
    /// The host receives no heartbeats, although all other messages pass.
    CutPeers(usize, u64),
    CutHolderLog(u64),
    CutLink(usize, usize, u64),
    Restart(usize),
    RestartHolder,
    Resign(usize),
    ResignHolder,
    LoseMessages,
}

/// A message in flight to a host or the log.
#[derive(Clone, Debug)]
enum Message {
    Read(usize, u64, MonotonicTime),
    ReadAnswer(usize, u64, MonotonicTime, usize),
    Append(usize, ElectionRecord),
    Event(usize, usize, ElectionEvent),
}

struct FakeHost {
    state: LeaderElection,
    incarnation: u64,
    /// Speed of its clock in parts per thousand of the zone's.
    clock_permille: u64,
    paused_until: u64,
    log_cut_until: u64,
    peers_cut_until: u64,
    /// Number of log records passed to the election.
    records_read: usize,
    reading: bool,
    draining: bool,
    /// Quantum of the last heartbeat of each peer.
    last_heartbeat: [u64; HOSTS],
    /// When each grant request in flight was sent, by its number.
    requested_at: BTreeMap<u64, MonotonicTime>,
}

impl FakeHost {
    fn new(index: usize, incarnation: u64, clock_permille: u64, quantum: u64) -> Self {
        let own = voter(index, incarnation);
        Self {
            state: LeaderElection::new(own, ZoneName::from("ptuj-c"), TIMES),
            incarnation,
            clock_permille,
            paused_until: 0,
            log_cut_until: 0,
            peers_cut_until: 0,
            records_read: 0,
            reading: false,
            draining: false,
            last_heartbeat: [quantum; HOSTS],
            requested_at: BTreeMap::new(),
        }
    }

    fn now(&self, quantum: u64) -> MonotonicTime {
        MonotonicTime(quantum * QUANTUM_MICROS * self.clock_permille / 1_000)
    }
}

fn voter(index: usize, incarnation: u64) -> VoterIdentity {
    VoterIdentity {
        host: HostName::from(NAMES[index]),
        incarnation,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000),
    }
}

fn index_of(name: &HostName) -> usize {
    NAMES
        .iter()
        .position(|other| *other == name.as_str())
        .unwrap()
}

/// Three hosts, one log and the messages in flight between them.
pub struct FakeZone {
    rng: ChaCha8Rng,
    quantum: u64,
    hosts: Vec<FakeHost>,
    log: Vec<ElectionRecord>,
    /// Messages in flight, by the quantum at which they arrive.
    messages: BTreeMap<u64, Vec<Message>>,
    log_down_until: u64,
    log_slow_until: u64,
    link_cut_until: [[u64; HOSTS]; HOSTS],
    /// Number of grant requests sent so far.
    requests: u64,
}

impl FakeZone {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..HOSTS)
            .map(|index| FakeHost::new(index, 1, rng.random_range(980..=1_020), 0))
            .collect();
        Self {
            rng,
            quantum: 0,
            hosts,
            log: Vec::new(),
            messages: BTreeMap::new(),
            log_down_until: 0,
            log_slow_until: 0,
            link_cut_until: [[0; HOSTS]; HOSTS],
            requests: 0,
        }
    }

    pub fn inject(&mut self, fault: ZoneFault) {
        let now = self.quantum;
        match fault {
            ZoneFault::LogDown(quanta) => self.log_down_until = now + quanta,
            ZoneFault::LogSlow(quanta) => self.log_slow_until = now + quanta,
            ZoneFault::Pause(host, quanta) => self.hosts[host].paused_until = now + quanta,
            ZoneFault::CutLog(host, quanta) => self.hosts[host].log_cut_until = now + quanta,
            ZoneFault::CutPeers(host, quanta) => self.hosts[host].peers_cut_until = now + quanta,
            ZoneFault::CutHolderLog(quanta) => {
                if let Some(holder) = self.holder() {
                    self.hosts[holder].log_cut_until = now + quanta;
                }
            }
            ZoneFault::CutLink(one, other, quanta) => {
                self.link_cut_until[one][other] = now + quanta;
                self.link_cut_until[other][one] = now + quanta;
            }
            ZoneFault::Restart(host) => self.restart(host),
            ZoneFault::RestartHolder => {
                if let Some(holder) = self.holder() {
                    self.restart(holder);
                }
            }
            ZoneFault::Resign(host) => self.drain(host),
            ZoneFault::ResignHolder => {
                if let Some(holder) = self.holder() {
                    self.drain(holder);
                }
            }
            ZoneFault::LoseMessages => self.messages.clear(),
        }
        for host in &mut self.hosts {
            // A read whose answer was lost is abandoned, so that the next one can start.
            host.reading = host.reading && !matches!(fault, ZoneFault::LoseMessages);
        }
    }

    /// Ends every fault and restarts the hosts that are draining.
    pub fn heal(&mut self) {
        self.log_down_until = 0;
        self.log_slow_until = 0;
        self.link_cut_until = [[0; HOSTS]; HOSTS];
        for index in 0..HOSTS {
            self.hosts[index].paused_until = 0;
            self.hosts[index].log_cut_until = 0;
            self.hosts[index].peers_cut_until = 0;
            if self.hosts[index].draining {
                self.restart(index);
            }
        }
    }

    /// Returns the number of hosts that may start jobs now.
    pub fn leader_count(&self) -> usize {
        let quantum = self.quantum;
        self.hosts
            .iter()
            .filter(|host| host.state.may_start(host.now(quantum)))
            .count()
    }

    /// Returns the number of valid claims in the log.
    pub fn terms(&self) -> u64 {
        let mut history = flamingowalk_core::process::election::ElectionHistory::default();
        let mut terms = BTreeSet::new();
        for (offset, record) in self.log.iter().enumerate() {
            history.apply(offset as u64, record);
            terms.insert(history.term());
        }
        terms.remove(&LeaderTerm(0));
        terms.len() as u64
    }

    /// Runs one quantum: delivers the messages that are due, then ticks each host that is
    /// not paused once every five quanta.
    pub fn step(&mut self) -> Result<(), String> {
        self.quantum += 1;
        let later = self.messages.split_off(&(self.quantum + 1));
        let arrived = std::mem::replace(&mut self.messages, later);
        for message in arrived.into_values().flatten() {
            self.deliver(message);
            self.check()?;
        }
        for index in 0..HOSTS {
            if (self.quantum + index as u64).is_multiple_of(5) && !self.is_paused(index) {
                self.tick(index);
                self.check()?;
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        if self.leader_count() > 1 {
            return Err(format!("two hosts may start:\n{self}"));
        }
        for host in &self.hosts {
            let errors = verify_election(&host.state, host.now(self.quantum));
            if !errors.is_empty() {
                return Err(format!("{errors:?}:\n{}", host.state));
            }
        }
        Ok(())
    }

    fn holder(&self) -> Option<usize> {
        self.hosts
            .iter()
            .position(|host| host.state.held_term().is_some())
    }

    fn restart(&mut self, index: usize) {
        let host = &self.hosts[index];
        let next = FakeHost::new(
            index,
            host.incarnation + 1,
            host.clock_permille,
            self.quantum,
        );
        self.hosts[index] = next;
    }

    fn drain(&mut self, index: usize) {
        if !self.is_paused(index) {
            self.hosts[index].draining = true;
            self.handle(index, ElectionEvent::ResignationRequested);
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until > self.quantum
    }

    fn is_log_cut(&self, index: usize) -> bool {
        self.log_down_until.max(self.hosts[index].log_cut_until) > self.quantum
    }

    fn is_link_cut(&self, one: usize, other: usize) -> bool {
        self.link_cut_until[one][other] > self.quantum
    }

    fn tick(&mut self, index: usize) {
        let now = self.hosts[index].now(self.quantum);
        if !self.hosts[index].reading {
            self.hosts[index].reading = true;
            let incarnation = self.hosts[index].incarnation;
            self.send_log(Message::Read(index, incarnation, now));
        }
        for other in 0..HOSTS {
            self.exchange_heartbeat(index, other);
        }
        self.handle(index, ElectionEvent::Tick);
    }

    /// Simulates the heartbeat from `other` to `index` by the event that results from it.
    fn exchange_heartbeat(&mut self, index: usize, other: usize) {
        if index == other {
            return;
        }
        let are_peers_cut = self.hosts[index].peers_cut_until > self.quantum;
        let is_cut = are_peers_cut || self.is_link_cut(index, other);
        let is_peer_reachable = !is_cut && !self.is_paused(other);
        if is_peer_reachable {
            self.hosts[index].last_heartbeat[other] = self.quantum;
            let peer = voter(other, self.hosts[other].incarnation);
            self.handle(index, ElectionEvent::PeerAlive { peer });
        } else if self.quantum > self.hosts[index].last_heartbeat[other] + PEER_TIMEOUT_QUANTA {
            let host = HostName::from(NAMES[other]);
            self.handle(index, ElectionEvent::PeerLost { host });
        }
    }

    fn send_log(&mut self, message: Message) {
        let is_slow = self.log_slow_until > self.quantum;
        let delay = self.rng.random_range(if is_slow { 5..60 } else { 1..3 });
        self.send(delay, message);
    }

    fn send(&mut self, delay: u64, message: Message) {
        let arrives_at = self.quantum + delay;
        self.messages.entry(arrives_at).or_default().push(message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Read(host, incarnation, sent_at) if !self.is_log_cut(host) => {
                let answer = Message::ReadAnswer(host, incarnation, sent_at, self.log.len());
                self.send_log(answer);
            }
            Message::Read(host, incarnation, sent_at) => {
                self.send(
                    10,
                    Message::ReadAnswer(host, incarnation, sent_at, usize::MAX),
                );
            }
            Message::ReadAnswer(host, ..) | Message::Event(_, host, _) if self.is_paused(host) => {
                let resumes_in = self.hosts[host].paused_until - self.quantum;
                self.send(resumes_in, message);
            }
            Message::ReadAnswer(host, incarnation, sent_at, tail) => {
                if incarnation == self.hosts[host].incarnation {
                    self.handle_read_answer(host, sent_at, tail);
                }
            }
            Message::Append(host, record) => {
                // One in five appends is lost, and one in five takes effect late.
                match self.rng.random_range(0..5) {
                    _ if self.is_log_cut(host) => {}
                    0 => {}
                    1 => self.send(50, Message::Append(host, record)),
                    _ => self.log.push(record),
                }
            }
            Message::Event(from, to, event) => {
                if !self.is_link_cut(from, to) {
                    self.deliver_event(to, event);
                }
            }
        }
    }

    fn handle_read_answer(&mut self, host: usize, sent_at: MonotonicTime, tail: usize) {
        self.hosts[host].reading = false;
        if tail == usize::MAX {
            self.handle(host, ElectionEvent::LogFailed);
            return;
        }
        while self.hosts[host].records_read < tail {
            let offset = self.hosts[host].records_read;
            self.hosts[host].records_read += 1;
            let record = self.log[offset].clone();
            let offset = offset as u64;
            self.handle(host, ElectionEvent::LogRecord { offset, record });
        }
        self.handle(host, ElectionEvent::LogTailRead { sent_at });
    }

    /// Delivers an event. The answer to a grant request carries the request's number in
    /// `sent_at`, which is replaced by the time at which the request was sent.
    fn deliver_event(&mut self, to: usize, event: ElectionEvent) {
        let ElectionEvent::GrantAnswered {
            from,
            incarnation,
            term,
            sent_at: MonotonicTime(request),
            granted,
        } = event
        else {
            self.handle(to, event);
            return;
        };
        if let Some(sent_at) = self.hosts[to].requested_at.remove(&request) {
            let event = ElectionEvent::GrantAnswered {
                from,
                incarnation,
                term,
                sent_at,
                granted,
            };
            self.handle(to, event);
        }
    }

    fn handle(&mut self, index: usize, event: ElectionEvent) {
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        let now = host.now(self.quantum);
        host.state.handle(now, event, &mut actions);
        for action in actions {
            self.execute_action(index, now, action);
        }
    }

    fn execute_action(&mut self, index: usize, now: MonotonicTime, action: ElectionAction) {
        let from = HostName::from(NAMES[index]);
        match action {
            ElectionAction::AppendClaim { base_term, voters } => {
                let holder = voter(index, self.hosts[index].incarnation);
                let record = ElectionRecord::Claim {
                    base_term,
                    holder,
                    voters,
                };
                self.send_log(Message::Append(index, record));
            }
            ElectionAction::AppendActive { term } => {
                self.send_log(Message::Append(index, ElectionRecord::Active { term }));
            }
            ElectionAction::AppendVoterSet {
                term,
                base_voter_set,
                voters,
            } => {
                let record = ElectionRecord::VoterSet {
                    term,
                    base_voter_set,
                    voters,
                };
                self.send_log(Message::Append(index, record));
            }
            ElectionAction::AppendResignation { term, successor } => {
                let record = ElectionRecord::Resign { term, successor };
                self.send_log(Message::Append(index, record));
            }
            ElectionAction::RequestGrant { to, term } => {
                self.requests += 1;
                let request = self.requests;
                self.hosts[index].requested_at.insert(request, now);
                let event = ElectionEvent::GrantRequested {
                    from,
                    term,
                    incarnation: to.incarnation,
                    request,
                };
                self.send_peer(index, &to.host, event);
            }
            ElectionAction::AnswerGrant {
                to,
                term,
                request,
                granted,
                incarnation,
            } => {
                let event = ElectionEvent::GrantAnswered {
                    from,
                    incarnation,
                    term,
                    sent_at: MonotonicTime(request),
                    granted,
                };
                self.send_peer(index, &to, event);
            }
            ElectionAction::RequestRefusal { to, term } => {
                let event = ElectionEvent::RefusalRequested {
                    from,
                    term,
                    request: 0,
                };
                self.send_peer(index, &to.host, event);
            }
            ElectionAction::AnswerRefusal {
                to,
                term,
                refused,
                incarnation,
                ..
            } => {
                let event = ElectionEvent::RefusalAnswered {
                    from,
                    incarnation,
                    term,
                    refused,
                };
                self.send_peer(index, &to, event);
            }
            ElectionAction::Gained { .. } | ElectionAction::Lost => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: &HostName, event: ElectionEvent) {
        let is_late = self.rng.random_range(0..8) == 0;
        let delay = self.rng.random_range(if is_late { 10..60 } else { 1..4 });
        self.send(delay, Message::Event(from, index_of(to), event));
    }
}

impl Display for FakeZone {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for host in &self.hosts {
            write!(f, "now {} {}", host.now(self.quantum), host.state)?;
        }
        for (offset, record) in self.log.iter().enumerate() {
            writeln!(f, "{offset}: {record:?}")?;
        }
        Ok(())
    }
}
