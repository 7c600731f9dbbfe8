//! Upkeep of machines in waves that the operator orders. Workers are drained one after
//! the other, no more at once than the wave allows, and the upkeep of a machine is ordered
//! only once nothing runs on it. The machines whose upkeep has begun are recorded, so that
//! a successor continues the wave; the platform treats a repeated order as the same order.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, MachineListOrder, UpkeepOrder};
use crate::process::machine::{ListedMachine, MachineError, MachinePage, MachineState};
use crate::process::planner::job::GroupPhase;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::record::{JobRecord, KeyedRecord, WaveRecord};
use crate::process::stream::{AppendCondition, AppendOrder, StreamName};
use crate::process::stream_follower::allocate_ticket;
use crate::version::wave::WaveOrder;

/// Time between two listings of the machines while a wave is open; a machine is
/// unavailable for a second or two.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a listing, an order or a status append that failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout of requests to the machine service, and of status appends.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a worker stays cordoned after an order for its machine if no listing shows
/// what became of the machine. Outlasts outages of the machine service of a few seconds.
const MAX_UNLISTED_CORDON: Duration = Duration::from_secs(10);
/// Maximum time for which a worker may go on with its runs before they are moved.
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(10);
/// Time for which a worker stays closed although runs on it may not be moved. A unit that was
/// moved before them is in service again within about a second.
const MAX_PINNED_TIME: Duration = Duration::from_secs(2);

/// A wave and its progress.
#[derive(Clone, Debug)]
struct WaveProgress {
    order: Arc<WaveOrder>,
    /// Progress as recorded in the log.
    record: WaveRecord,
    /// Whether the status last reported to the operator was that the wave is completed;
    /// `None` if no status was reported.
    reported: Option<bool>,
}

/// A listing of the machines that is being read page by page.
#[derive(Clone, Debug)]
struct PendingMachineList {
    ticket: CallTicket,
    requested_at: MonotonicTime,
    machines: Vec<ListedMachine>,
}

/// An order for upkeep that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingUpkeep {
    ticket: CallTicket,
    wave: WaveNumber,
    machine: MachineName,
}

/// A status append for the operator that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingStatus {
    ticket: CallTicket,
    wave: WaveNumber,
    is_completed: bool,
}

/// State of all waves and of the machines in them.
#[derive(Clone, Debug, Default)]
pub struct UpkeepState {
    waves: BTreeMap<WaveNumber, WaveProgress>,
    records: BTreeMap<WaveNumber, WaveRecord>,
    machines: BTreeMap<MachineName, ListedMachine>,
    /// When the newest complete listing of the machines was requested.
    listed_at: Option<MonotonicTime>,
    list: Option<PendingMachineList>,
    next_list_at: MonotonicTime,
    /// Machines whose worker is being drained, and since when. Chosen anew by each step of the
    /// waves.
    draining: BTreeMap<MachineName, MonotonicTime>,
    /// Those of them that hold runs which should be moved and may not be, since their steps lack
    /// other units, and since when. After [`MAX_PINNED_TIME`] they are open meanwhile: if all
    /// machines were closed, such a step would lack its units, and all other work would wait, for
    /// as long as the wave is open.
    pinned: BTreeMap<MachineName, MonotonicTime>,
    /// Machines that may be unavailable for their upkeep, and since when. A listing that is
    /// requested after that and shows them in another state removes them.
    unavailable: BTreeMap<MachineName, MonotonicTime>,
    /// Earliest time of the next order for a machine whose order failed.
    not_before: BTreeMap<MachineName, MonotonicTime>,
    orders: Vec<PendingUpkeep>,
    /// Workers that the newest step of the waves cordoned.
    cordoned: BTreeSet<WorkerName>,
    statuses: Vec<PendingStatus>,
    /// Earliest time of the next status append.
    next_status_at: MonotonicTime,
    /// Whether an order was refused because a later planner has sent one. Stays set for this
    /// planner, which the log stops soon.
    is_fenced: bool,
}

impl WaveProgress {
    /// Returns the machines that still need their upkeep.
    fn open_machines(&self) -> impl Iterator<Item = &MachineName> {
        let done = &self.record.done;
        let machines = self.order.machines.iter();
        machines.filter(move |name| !self.record.is_completed && !done.contains(*name))
    }

    /// Whether a machine still needs its upkeep.
    fn needs_upkeep(&self, machine: &MachineName) -> bool {
        self.open_machines().any(|name| name == machine)
    }

    /// Returns the time that a worker may take to drain, so that all machines get their
    /// upkeep within the duration of the wave.
    fn max_drain_wait(&self) -> Duration {
        let turns = self.order.machines.len().div_ceil(self.order.cap.max(1));
        let turn = self.order.duration / u32::try_from(turns.max(1)).unwrap_or(u32::MAX);
        (turn / 2).min(MAX_DRAIN_WAIT)
    }
}

impl UpkeepState {
    /// Restores the progress of waves from their records.
    pub fn restore(&mut self, records: &BTreeMap<WaveNumber, WaveRecord>) {
        self.records.clone_from(records);
    }

    /// Adds or updates a wave of the operator, or removes it if it was withdrawn.
    pub fn set_wave(&mut self, number: WaveNumber, order: Option<Arc<WaveOrder>>) {
        let Some(order) = order else {
            self.waves.remove(&number);
            return;
        };
        let record = self.records.get(&number).cloned().unwrap_or_default();
        let known = self.waves.entry(number).or_insert_with(|| {
            log::info!(target: "upkeep", wave = number.0, machines = order.machines.len(), cap = order.cap; "wave added");
            WaveProgress {
                order: Arc::clone(&order),
                reported: record.is_completed.then_some(true),
                record,
            }
        });
        known.order = order;
    }

    /// Whether a wave is open, or an order for a machine of one that was not confirmed yet.
    fn has_work(&self) -> bool {
        let mut waves = self.waves.values();
        waves.any(|wave| !wave.record.is_completed)
            || !self.orders.is_empty()
            || !self.unavailable.is_empty()
    }

    /// Returns the workers on which nothing may be started: those being drained, and those
    /// that end with an upkeep that was ordered or is about to be ordered again.
    fn cordoned_workers(&self, now: MonotonicTime) -> BTreeSet<WorkerName> {
        let draining = self.draining.keys();
        let draining = draining.filter(|name| !self.is_stuck(name, now));
        let ordered = self.orders.iter().map(|order| &order.machine);
        let unlisted = self.unavailable.iter();
        let unlisted = unlisted.filter(|(_, since)| now < **since + MAX_UNLISTED_CORDON);
        let mut waves = self.waves.values();
        let mut is_open = |name: &MachineName| waves.any(|wave| wave.needs_upkeep(name));
        let delayed = self.not_before.iter();
        let delayed = delayed.filter(|(name, until)| now < **until && is_open(name));
        draining
            .chain(ordered)
            .chain(unlisted.map(|(name, _)| name))
            .chain(delayed.map(|(name, _)| name))
            .filter_map(|name| self.machines.get(name)?.worker.clone())
            .collect()
    }

    /// Whether a machine holds runs that may not be moved, and has for longer than the next unit
    /// of their step takes to start.
    fn is_stuck(&self, name: &MachineName, now: MonotonicTime) -> bool {
        let since = self.pinned.get(name);
        since.is_some_and(|since| now >= *since + MAX_PINNED_TIME)
    }

    /// Whether an order may take effect whose result no listing shows yet.
    fn has_unlisted_order(&self, now: MonotonicTime) -> bool {
        let mut unlisted = self.unavailable.values();
        !self.orders.is_empty() || unlisted.any(|since| now < *since + MAX_UNLISTED_CORDON)
    }

    /// Whether a worker may be on any machine: the newest listing names it nowhere, and it
    /// became known after that was requested. The listing may then name its predecessor.
    fn may_be_on_any(&self, name: &WorkerName, known_since: MonotonicTime) -> bool {
        let is_newer = self.listed_at.is_none_or(|at| known_since >= at);
        is_newer && {
            let mut machines = self.machines.values();
            !machines.any(|machine| machine.worker.as_ref() == Some(name))
        }
    }

    /// Returns the number of machines of a wave that are or may be down for it.
    fn down_count(&self, order: &WaveOrder) -> usize {
        let is_down = |name: &&MachineName| {
            let is_in_upkeep = self
                .machines
                .get(*name)
                .is_some_and(|machine| machine.state == MachineState::Upkeep);
            let is_ordered = self.orders.iter().any(|order| order.machine == **name);
            is_in_upkeep || is_ordered || self.unavailable.contains_key(*name)
        };
        order.machines.iter().filter(is_down).count()
    }

    fn apply_machine_list(&mut self, list: PendingMachineList) {
        self.machines = list
            .machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.listed_at = Some(list.requested_at);
        let machines = &self.machines;
        self.unavailable.retain(|name, since| {
            let is_back = machines
                .get(name)
                .is_none_or(|machine| machine.state != MachineState::Upkeep);
            // Only a listing that was requested after the order reflects it.
            list.requested_at <= *since || !is_back
        });
    }
}

impl PlannerState {
    /// Advances all waves: lists the machines, drains workers, orders upkeep and reports the
    /// progress.
    pub(super) fn advance_waves(&mut self, context: &mut PlanContext<'_>) {
        let is_active = self.upkeep.has_work() && !self.upkeep.is_fenced;
        // The previous planner may have sent an order just now, and orders of two planners
        // for one machine must be `machine_lease` apart.
        if is_active && context.now < self.started_at + self.limits.machine_lease {
            return;
        }
        let mut draining = BTreeMap::new();
        let pinned_before = std::mem::take(&mut self.upkeep.pinned);
        if is_active {
            self.request_machine_list(context);
            if self.upkeep.listed_at.is_some() {
                let numbers: Vec<_> = self.upkeep.waves.keys().copied().collect();
                for number in numbers {
                    self.advance_wave(context, number, &mut draining, &pinned_before);
                }
            }
        }
        self.upkeep.draining = draining;
        self.update_cordons(context.now);
        self.publish_wave_states(context);
    }

    fn request_machine_list(&mut self, context: &mut PlanContext<'_>) {
        if self.upkeep.list.is_some() || context.now < self.upkeep.next_list_at {
            return;
        }
        let ticket = allocate_ticket(context.last_ticket);
        self.upkeep.list = Some(PendingMachineList {
            ticket,
            requested_at: context.now,
            machines: Vec::new(),
        });
        push_machine_list(context, ticket, None);
    }

    /// Handles a page of the listing of the machines.
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
                    list.ticket = allocate_ticket(context.last_ticket);
                    push_machine_list(context, list.ticket, Some(next));
                    self.upkeep.list = Some(list);
                    return;
                }
                self.upkeep.next_list_at = context.now + LIST_INTERVAL;
                self.upkeep.apply_machine_list(list);
            }
            Err(error) => {
                log::warn!(target: "upkeep", fault = error.to_string().as_str(); "failed to list machines; retrying");
                self.upkeep.next_list_at = context.now + RETRY_DELAY;
            }
        }
    }

    /// Orders the upkeep of machines of a wave whose workers are empty, drains the next
    /// workers, and completes the wave once no machine is left. Adds the machines whose
    /// workers are drained to `draining`.
    fn advance_wave(
        &mut self,
        context: &mut PlanContext<'_>,
        number: WaveNumber,
        draining: &mut BTreeMap<MachineName, MonotonicTime>,
        pinned_before: &BTreeMap<MachineName, MonotonicTime>,
    ) {
        let now = context.now;
        let Some(wave) = self.upkeep.waves.get(&number) else {
            return;
        };
        if wave.record.is_completed {
            return;
        }
        let (order, max_wait) = (Arc::clone(&wave.order), wave.max_drain_wait());
        let remaining: Vec<MachineName> = wave.open_machines().cloned().collect();
        let listed = |name: &MachineName| self.upkeep.machines.get(name);
        let removed: Vec<_> = remaining
            .iter()
            .filter(|name| listed(name).is_none())
            .collect();
        if removed.len() == remaining.len() {
            self.record_wave_progress(number, None);
            return;
        }
        let available = order.cap.saturating_sub(self.upkeep.down_count(&order));
        let mut candidates: Vec<(bool, usize, MachineName, WorkerName)> = Vec::new();
        for name in &remaining {
            let machine = listed(name).filter(|machine| machine.state == MachineState::Up);
            let worker = machine.and_then(|machine| machine.worker.clone());
            let is_delayed = self
                .upkeep
                .not_before
                .get(name)
                .is_some_and(|until| now < *until);
            let is_unavailable = self.upkeep.unavailable.contains_key(name);
            if let Some(worker) = worker.filter(|_| !is_delayed && !is_unavailable) {
                let held = self.workers.get(&worker);
                let held = held.map_or(0, |worker| worker.holdings.len() + worker.unrecorded.len());
                let is_newly_chosen = !self.upkeep.draining.contains_key(name);
                candidates.push((is_newly_chosen, held, name.clone(), worker));
            }
        }
        candidates.sort();
        let is_empty = !self.has_unlocated_runs();
        for (_, held, machine, worker) in candidates.into_iter().take(available) {
            if held == 0 && is_empty {
                self.order_upkeep(context, number, machine);
                continue;
            }
            let since = self.upkeep.draining.get(&machine).copied().unwrap_or(now);
            if now >= since + max_wait {
                if self.has_pinned_run(&worker) {
                    let since = pinned_before.get(&machine).copied().unwrap_or(now);
                    self.upkeep.pinned.insert(machine.clone(), since);
                }
                // What is moved while other runs stay for long is lost for nothing.
                if !self.upkeep.is_stuck(&machine, now) {
                    self.move_runs_off(now, &worker);
                }
            }
            draining.insert(machine, since);
        }
    }

    /// Whether runs may be on a worker of which no listing says where it is. No upkeep is
    /// ordered then: the machine that counts as empty may be that worker's by now.
    fn has_unlocated_runs(&self) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|(name, worker)| {
            let is_busy = !worker.holdings.is_empty() || !worker.unrecorded.is_empty();
            is_busy && self.upkeep.may_be_on_any(name, worker.known_since)
        })
    }

    fn order_upkeep(
        &mut self,
        context: &mut PlanContext<'_>,
        wave: WaveNumber,
        machine: MachineName,
    ) {
        log::info!(target: "upkeep", wave = wave.0, machine = machine.as_str(); "upkeep ordered");
        let ticket = allocate_ticket(context.last_ticket);
        context.actions.push(HostAction::Upkeep(UpkeepOrder {
            ticket,
            machine: machine.clone(),
            wave,
            holder: self.host.clone(),
            epoch: self.epoch,
            timeout: REQUEST_TIMEOUT,
        }));
        self.upkeep.orders.push(PendingUpkeep {
            ticket,
            wave,
            machine,
        });
    }

    /// Whether a run on a worker may not be moved, since its step lacks other units.
    fn has_pinned_run(&self, name: &WorkerName) -> bool {
        let worker = self.workers.get(name);
        let mut holdings = worker.iter().flat_map(|worker| worker.holdings.values());
        holdings.any(|held| {
            let job = self.jobs.get(&held.group.job);
            let is_active = job
                .and_then(|job| job.group(&held.group))
                .is_some_and(|group| group.phase == GroupPhase::Active);
            is_active && !job.is_some_and(|job| job.may_stop_alone(&held.group, &self.workers))
        })
    }

    /// Moves the runs that may be moved off a worker.
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
                is_active && job.may_stop_alone(&key, &self.workers)
            });
            if may_move {
                log::info!(target: "stop", group = key.to_string().as_str(), worker = name.as_str(), cause = "upkeep"; "run is moved");
                self.stop_group(now, key);
            }
        }
    }

    /// Handles the result of an order for upkeep.
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
        if let Err(error) = result {
            log::info!(target: "upkeep", wave = wave.0, machine = machine.as_str(), fault = error.to_string().as_str(); "upkeep order failed");
        }
        let retry_at = now + RETRY_DELAY;
        match result {
            Ok(()) => {
                self.upkeep.unavailable.insert(machine.clone(), now);
                self.record_wave_progress(wave, Some(machine));
            }
            Err(MachineError::NotOfWave) => self.record_wave_progress(wave, Some(machine)),
            Err(MachineError::Fenced) => self.upkeep.is_fenced = true,
            Err(MachineError::NoAnswer | MachineError::Malformed { .. }) => {
                self.upkeep.unavailable.insert(machine.clone(), now);
                self.upkeep.not_before.insert(machine, retry_at);
            }
            Err(MachineError::Busy | MachineError::TooManyRequests | MachineError::NoService) => {
                self.upkeep.not_before.insert(machine, retry_at);
            }
        }
    }

    /// Records that the upkeep of a machine has begun or is not needed, or that the wave is
    /// completed if `machine` is `None`.
    fn record_wave_progress(&mut self, number: WaveNumber, machine: Option<MachineName>) {
        let Some(wave) = self.upkeep.waves.get_mut(&number) else {
            return;
        };
        wave.record.is_completed |= machine.is_none();
        wave.record.done.extend(machine);
        let record = wave.record.clone();
        if record.is_completed {
            log::info!(target: "upkeep", wave = number.0; "wave completed");
        } else if wave.open_machines().next().is_none() {
            self.record_wave_progress(number, None);
            return;
        }
        self.upkeep.records.insert(number, record.clone());
        self.writer.push(&JobRecord::Wave(number, record), None);
    }

    /// Cordons exactly the workers whose machines are due for upkeep. While an order may take
    /// effect, these are also the workers that may be on any machine.
    fn update_cordons(&mut self, now: MonotonicTime) {
        let mut cordoned = self.upkeep.cordoned_workers(now);
        if self.upkeep.has_unlisted_order(now) {
            let workers = self.workers.iter();
            let unlocated = workers
                .filter(|(name, worker)| self.upkeep.may_be_on_any(name, worker.known_since));
            cordoned.extend(unlocated.map(|(name, _)| name.clone()));
        }
        if cordoned.is_empty() && self.upkeep.cordoned.is_empty() {
            return;
        }
        for (name, worker) in &mut self.workers {
            let is_cordoned = cordoned.contains(name);
            self.is_dirty |= worker.is_cordoned && !is_cordoned;
            worker.is_cordoned = is_cordoned;
        }
        self.upkeep.cordoned = cordoned;
    }

    /// Cordons a worker that has just become known while an order may take effect on its
    /// machine. The next step of the waves decides anew.
    pub(super) fn cordon_unlocated(&mut self, now: MonotonicTime, name: &WorkerName) {
        if self.upkeep.has_unlisted_order(now)
            && let Some(worker) = self.workers.get_mut(name)
        {
            worker.is_cordoned = true;
            self.upkeep.cordoned.insert(name.clone());
        }
    }

    /// Reports the state of the waves to the operator.
    fn publish_wave_states(&mut self, context: &mut PlanContext<'_>) {
        // A successor must not report less progress than this planner did, so the records
        // are written first.
        if context.now < self.upkeep.next_status_at || !self.writer.is_empty() {
            return;
        }
        let mut statuses = Vec::new();
        for (number, wave) in &self.upkeep.waves {
            let is_pending = self
                .upkeep
                .statuses
                .iter()
                .any(|status| status.wave == *number);
            if !is_pending && wave.reported != Some(wave.record.is_completed) {
                statuses.push((*number, wave.record.is_completed));
            }
        }
        for (wave, is_completed) in statuses {
            let ticket = allocate_ticket(context.last_ticket);
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
                timeout: REQUEST_TIMEOUT,
            });
            self.upkeep.statuses.push(PendingStatus {
                ticket,
                wave,
                is_completed,
            });
        }
    }

    /// Handles the result of a status append. Returns whether the append was one.
    pub(super) fn handle_status_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        is_written: bool,
    ) -> bool {
        let mut statuses = self.upkeep.statuses.iter();
        let Some(index) = statuses.position(|status| status.ticket == ticket) else {
            return false;
        };
        let status = self.upkeep.statuses.remove(index);
        if !is_written {
            self.upkeep.next_status_at = now + RETRY_DELAY;
        } else if let Some(wave) = self.upkeep.waves.get_mut(&status.wave) {
            wave.reported = Some(status.is_completed);
        }
        true
    }
}

fn push_machine_list(context: &mut PlanContext<'_>, ticket: CallTicket, after: Option<Arc<str>>) {
    context
        .actions
        .push(HostAction::ListMachines(MachineListOrder {
            ticket,
            after,
            timeout: REQUEST_TIMEOUT,
        }));
}
