//! Upkeep of machines, wave by wave. Answers the operator's waves: workers are emptied
//! one after the other, no more at once than the wave allows, and a machine is ordered
//! only once nothing runs on it. Which machines have had their upkeep is recorded, so
//! that a successor goes on; the platform answers a repeated order without repeating it.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, MachineListOrder, UpkeepOrder};
use crate::process::machine::{ListedMachine, MachineError, MachinePage, MachineState};
use crate::process::planner::job::GroupPhase;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::record::{JobRecord, KeyedRecord, WaveRecord};
use crate::process::stream::{AppendCondition, AppendOrder, StreamName};
use crate::process::stream_follower::allocate_ticket;
use crate::version::wave::WaveOrder;

/// Time between two lists of the machines while a wave is open; a machine is away for a
/// second or two.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a list or order that failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for an answer of the machines' service.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a worker may go on with its runs before they are moved.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// A wave and how far it is.
#[derive(Clone, Debug)]
struct WaveProgress {
    order: Arc<WaveOrder>,
    /// What the log says of it.
    record: WaveRecord,
    /// What the operator was told: nothing, that it runs, or that it is completed.
    told: Option<bool>,
}

/// List of machines that is being read.
#[derive(Clone, Debug)]
struct PendingList {
    ticket: CallTicket,
    asked_at: MonotonicTime,
    machines: Vec<ListedMachine>,
}

/// An order for upkeep that was not answered yet.
#[derive(Clone, Debug)]
struct PendingUpkeep {
    ticket: CallTicket,
    wave: WaveNumber,
    machine: MachineName,
}

/// Note to the operator that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingNote {
    ticket: CallTicket,
    wave: WaveNumber,
    is_completed: bool,
}

/// Everything about waves.
#[derive(Clone, Debug, Default)]
pub struct UpkeepState {
    waves: BTreeMap<WaveNumber, WaveProgress>,
    records: BTreeMap<WaveNumber, WaveRecord>,
    machines: BTreeMap<MachineName, ListedMachine>,
    has_list: bool,
    list: Option<PendingList>,
    list_at: MonotonicTime,
    /// Machines whose worker is being emptied, and since when.
    chosen: BTreeMap<MachineName, MonotonicTime>,
    /// Machines that may be away for their upkeep, and since when.
    away: BTreeMap<MachineName, MonotonicTime>,
    /// No order for a machine before.
    not_before: BTreeMap<MachineName, MonotonicTime>,
    orders: Vec<PendingUpkeep>,
    notes: Vec<PendingNote>,
    /// No note before.
    note_at: MonotonicTime,
    /// Whether an order was refused for a later planner's.
    is_fenced: bool,
}

impl WaveProgress {
    /// Machines that still need their upkeep.
    fn open_machines(&self) -> impl Iterator<Item = &MachineName> {
        let done = &self.record.done;
        let machines = self.order.machines.iter();
        machines.filter(move |name| !self.record.is_completed && !done.contains(*name))
    }

    /// Time that a worker may take to become empty, so that all machines get their turn.
    fn wait_time(&self) -> Duration {
        let turns = self.order.machines.len().div_ceil(self.order.cap.max(1));
        let turn = self.order.duration / u32::try_from(turns.max(1)).unwrap_or(u32::MAX);
        (turn / 2).min(LONGEST_WAIT)
    }
}

impl UpkeepState {
    /// Takes what the log says of waves.
    pub fn restore(&mut self, records: &BTreeMap<WaveNumber, WaveRecord>) {
        self.records.clone_from(records);
    }

    /// Takes a wave of the operator, or that it was withdrawn.
    pub fn set_wave(&mut self, number: WaveNumber, order: Option<Arc<WaveOrder>>) {
        let Some(order) = order else {
            self.waves.remove(&number);
            return;
        };
        let record = self.records.get(&number).cloned().unwrap_or_default();
        let known = self.waves.entry(number).or_insert_with(|| {
            log::info!(target: "upkeep", wave = number.0, machines = order.machines.len(), cap = order.cap; "wave taken");
            WaveProgress {
                order: Arc::clone(&order),
                told: record.is_completed.then_some(true),
                record,
            }
        });
        known.order = order;
    }

    fn is_open(&self) -> bool {
        self.waves.values().any(|wave| !wave.record.is_completed)
    }

    /// Machines of a wave that are or may be down for it.
    fn down_count(&self, order: &WaveOrder) -> usize {
        let is_down = |name: &&MachineName| {
            let is_listed_so = self
                .machines
                .get(*name)
                .is_some_and(|machine| machine.state == MachineState::Upkeep);
            let is_ordered = self.orders.iter().any(|order| order.machine == **name);
            is_listed_so || is_ordered || self.away.contains_key(*name)
        };
        order.machines.iter().filter(is_down).count()
    }

    fn take_list(&mut self, list: PendingList) {
        self.machines = list
            .machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.has_list = true;
        let machines = &self.machines;
        self.away.retain(|name, since| {
            let is_back = machines
                .get(name)
                .is_none_or(|machine| machine.state != MachineState::Upkeep);
            // Only a list that was asked for later tells of the order.
            list.asked_at <= *since || !is_back
        });
    }
}

impl PlannerState {
    /// Does what waves need.
    pub(super) fn advance_waves(&mut self, context: &mut PlanContext<'_>) {
        if !self.upkeep.is_open() || self.upkeep.is_fenced {
            if !self.upkeep.chosen.is_empty() {
                self.upkeep.chosen.clear();
                self.uncordon_workers();
            }
            self.tell_waves(context);
            return;
        }
        // The planner before may have ordered just now; orders of two for one machine
        // keep a distance.
        if context.now < self.began_at + self.limits.machine_lease {
            return;
        }
        self.ask_machines(context);
        if self.upkeep.has_list {
            let numbers: Vec<_> = self.upkeep.waves.keys().copied().collect();
            for number in numbers {
                self.advance_wave(context, number);
            }
        }
        self.tell_waves(context);
    }

    fn ask_machines(&mut self, context: &mut PlanContext<'_>) {
        if self.upkeep.list.is_some() || context.now < self.upkeep.list_at {
            return;
        }
        let ticket = allocate_ticket(context.next_ticket);
        self.upkeep.list = Some(PendingList {
            ticket,
            asked_at: context.now,
            machines: Vec::new(),
        });
        push_list(context, ticket, None);
    }

    /// Takes a page of the list of machines.
    pub fn handle_machine_page(
        &mut self,
        context: &mut PlanContext<'_>,
        ticket: CallTicket,
        result: Result<MachinePage, MachineError>,
    ) {
        let Some(mut list) = self.upkeep.list.take_if(|list| list.ticket == ticket) else {
            return;
        };
        match result {
            Ok(page) => {
                list.machines.extend(page.machines);
                if let Some(next) = page.next {
                    list.ticket = allocate_ticket(context.next_ticket);
                    push_list(context, list.ticket, Some(next));
                    self.upkeep.list = Some(list);
                    return;
                }
                self.upkeep.list_at = context.now + LIST_INTERVAL;
                self.upkeep.take_list(list);
            }
            Err(fault) => {
                log::warn!(target: "upkeep", fault = fault.to_string().as_str(); "machines cannot be listed");
                self.upkeep.list_at = context.now + RETRY_DELAY;
            }
        }
    }

    /// Orders the machines of a wave that are empty, empties the next ones, and ends the
    /// wave once none is left.
    fn advance_wave(&mut self, context: &mut PlanContext<'_>, number: WaveNumber) {
        let now = context.now;
        let Some(wave) = self.upkeep.waves.get(&number) else {
            return;
        };
        if wave.record.is_completed {
            return;
        }
        let (order, wait) = (Arc::clone(&wave.order), wave.wait_time());
        let open: Vec<MachineName> = wave.open_machines().cloned().collect();
        let listed = |name: &MachineName| self.upkeep.machines.get(name);
        let gone: Vec<_> = open.iter().filter(|name| listed(name).is_none()).collect();
        if gone.len() == open.len() {
            self.note_wave(number, None);
            return;
        }
        let free = order.cap.saturating_sub(self.upkeep.down_count(&order));
        let mut ready: Vec<(bool, usize, MachineName, WorkerName)> = Vec::new();
        for name in &open {
            let machine = listed(name).filter(|machine| machine.state == MachineState::Up);
            let worker = machine.and_then(|machine| machine.worker.clone());
            let is_paused = self
                .upkeep
                .not_before
                .get(name)
                .is_some_and(|until| now < *until);
            let is_away = self.upkeep.away.contains_key(name);
            if let Some(worker) = worker.filter(|_| !is_paused && !is_away) {
                let held = self.workers.get(&worker);
                let held = held.map_or(0, |worker| worker.holdings.len() + worker.unrecorded.len());
                let is_new = !self.upkeep.chosen.contains_key(name);
                ready.push((is_new, held, name.clone(), worker));
            }
        }
        ready.sort();
        for (_, held, machine, worker) in ready.into_iter().take(free) {
            let since = *self.upkeep.chosen.entry(machine.clone()).or_insert(now);
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.is_cordoned = true;
            }
            if held == 0 {
                self.order_upkeep(context, number, machine);
            } else if now >= since + wait {
                self.move_runs_off(now, &worker);
            }
        }
    }

    fn order_upkeep(
        &mut self,
        context: &mut PlanContext<'_>,
        wave: WaveNumber,
        machine: MachineName,
    ) {
        log::info!(target: "upkeep", wave = wave.0, machine = machine.as_str(); "upkeep ordered");
        let ticket = allocate_ticket(context.next_ticket);
        context.actions.push(HostAction::Upkeep(UpkeepOrder {
            ticket,
            machine: machine.clone(),
            wave,
            holder: self.host.clone(),
            epoch: self.epoch,
            timeout: ANSWER_TIME,
        }));
        self.upkeep.chosen.remove(&machine);
        self.upkeep.orders.push(PendingUpkeep {
            ticket,
            wave,
            machine,
        });
    }

    /// Moves what may be moved off a worker.
    fn move_runs_off(&mut self, now: MonotonicTime, name: &WorkerName) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let groups: BTreeSet<_> = worker.holdings.values().map(|held| held.group).collect();
        for key in groups {
            let may_move = self.jobs.get(&key.job).is_some_and(|job| {
                let is_active = job
                    .group(&key)
                    .is_some_and(|group| group.phase == GroupPhase::Active);
                is_active && job.may_stop_alone(&key)
            });
            if may_move {
                log::info!(target: "stop", group = key.to_string().as_str(), worker = name.as_str(), cause = "upkeep"; "run is moved");
                self.stop_group(now, key);
            }
        }
    }

    /// Takes the answer of an order for upkeep.
    pub fn handle_upkeep_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<(), MachineError>,
    ) {
        let mut orders = self.upkeep.orders.iter();
        let Some(index) = orders.position(|order| order.ticket == ticket) else {
            return;
        };
        let PendingUpkeep { wave, machine, .. } = self.upkeep.orders.remove(index);
        if let Err(fault) = result {
            log::info!(target: "upkeep", wave = wave.0, machine = machine.as_str(), fault = fault.to_string().as_str(); "no upkeep");
        }
        let retry_at = now + RETRY_DELAY;
        match result {
            Ok(()) => {
                self.upkeep.away.insert(machine.clone(), now);
                self.note_wave(wave, Some(machine));
            }
            Err(MachineError::NotOfWave) => self.note_wave(wave, Some(machine)),
            Err(MachineError::Fenced) => self.upkeep.is_fenced = true,
            Err(MachineError::NoAnswer | MachineError::Malformed { .. }) => {
                self.upkeep.away.insert(machine.clone(), now);
                self.upkeep.not_before.insert(machine, retry_at);
            }
            Err(MachineError::Busy | MachineError::TooManyRequests | MachineError::NoService) => {
                self.upkeep.not_before.insert(machine, retry_at);
            }
        }
    }

    /// Records that a machine of a wave has had its upkeep, or that the wave is over.
    fn note_wave(&mut self, number: WaveNumber, machine: Option<MachineName>) {
        let Some(wave) = self.upkeep.waves.get_mut(&number) else {
            return;
        };
        wave.record.is_completed |= machine.is_none();
        wave.record.done.extend(machine);
        let record = wave.record.clone();
        if record.is_completed {
            log::info!(target: "upkeep", wave = number.0; "wave completed");
        } else if wave.open_machines().next().is_none() {
            self.note_wave(number, None);
            return;
        }
        self.upkeep.records.insert(number, record.clone());
        self.writer.push(&JobRecord::Wave(number, record), None);
    }

    fn uncordon_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_cordoned = false;
        }
        self.is_dirty = true;
    }

    /// Tells the operator how the waves stand.
    fn tell_waves(&mut self, context: &mut PlanContext<'_>) {
        // A successor must not tell less than this planner did.
        if context.now < self.upkeep.note_at || !self.writer.is_empty() {
            return;
        }
        let mut notes = Vec::new();
        for (number, wave) in &self.upkeep.waves {
            let is_pending = self.upkeep.notes.iter().any(|note| note.wave == *number);
            if !is_pending && wave.told != Some(wave.record.is_completed) {
                notes.push((*number, wave.record.is_completed));
            }
        }
        for (wave, is_completed) in notes {
            let ticket = allocate_ticket(context.next_ticket);
            let state = if is_completed { "completed" } else { "running" };
            context.actions.push(HostAction::Append {
                ticket,
                order: AppendOrder {
                    stream: StreamName::Status,
                    records: vec![KeyedRecord {
                        key: wave.to_string().into(),
                        value: Some(state.into()),
                    }],
                    condition: AppendCondition::None,
                },
                timeout: ANSWER_TIME,
            });
            self.upkeep.notes.push(PendingNote {
                ticket,
                wave,
                is_completed,
            });
        }
    }

    /// Takes the answer of a note to the operator; whether it was one.
    pub(super) fn handle_status_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        is_written: bool,
    ) -> bool {
        let mut notes = self.upkeep.notes.iter();
        let Some(index) = notes.position(|note| note.ticket == ticket) else {
            return false;
        };
        let note = self.upkeep.notes.remove(index);
        if !is_written {
            self.upkeep.note_at = now + RETRY_DELAY;
        } else if let Some(wave) = self.upkeep.waves.get_mut(&note.wave) {
            wave.told = Some(note.is_completed);
        }
        true
    }
}

fn push_list(context: &mut PlanContext<'_>, ticket: CallTicket, after: Option<Arc<str>>) {
    context
        .actions
        .push(HostAction::ListMachines(MachineListOrder {
            ticket,
            after,
            timeout: ANSWER_TIME,
        }));
}
