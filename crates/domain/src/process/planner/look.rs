//! Looking at workers: one look waits on each worker that has work, so that ends come
//! at once and leases are renewed; the others are left alone. What a listing says is
//! conclusive only for what was settled before the look was sent, since answers on
//! different connections overtake each other.

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{LookOrder, WorkerOrder};
use crate::process::event::{
    EndCause, EndedUnit, RefusalCause, RunningUnit, WorkerAnswer, WorkerFault, WorkerListing,
};
use crate::process::planner::job::{GroupPhase, MemberStage};
use crate::process::planner::limits::AUTHORITY_TIME;
use crate::process::planner::state::{
    CallKind, ORDER_TIME, PendingCall, PlanContext, PlannerState, StopOrder,
};
use crate::process::planner::worker::PendingLook;
use crate::process::planner::writer::CommitEffect;
use crate::process::record::JobRecord;

/// Runs that ended, by `cause`.
pub const RUNS_ENDED: &str = "flamingowalk_domain_runs_ended_total";

/// Time for which a worker may hold a look until something ends; the platform takes
/// 2 s at most, and leases are renewed once in this time.
const LOOK_WAIT: Duration = Duration::from_secs(2);
/// Pause before a worker without work is told which ends it may forget; a start
/// within it makes that look needless.
const FORGET_PAUSE: Duration = Duration::from_millis(400);
/// Pause between looks at a worker whose ends are not in the log yet: it would answer
/// a look that waits at once.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(700);
/// First pause before a worker that does not answer is looked at again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause.
const LONGEST_RETRY: Duration = Duration::from_millis(1_600);
/// Most ends that a listing may hold; one with as many may be cut.
const ENDS_PER_LISTING: usize = 500;

impl PlannerState {
    /// Sends the looks that are due.
    pub(super) fn send_looks(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let may_extend = now.since(self.writer.confirmed_at) < AUTHORITY_TIME;
        let names: Vec<_> = self
            .workers
            .iter()
            .filter_map(|(name, worker)| due_look(worker, now).map(|kind| (name.clone(), kind)))
            .collect();
        for (name, kind) in names {
            self.send_look(context, &name, kind, may_extend);
        }
    }

    fn send_look(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        kind: CallKind,
        may_extend: bool,
    ) {
        let now = context.now;
        let lease = self.limits.lease_limit;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let wait = if kind == CallKind::LongLook {
            LOOK_WAIT
        } else {
            Duration::ZERO
        };
        // A worker that does not answer gets no longer lease: its bound has to pass, so
        // that what ran there can run elsewhere.
        let needs_lease =
            (worker.is_occupied() || !worker.link.is_surveyed) && worker.link.failures == 0;
        let order = LookOrder {
            acknowledged: worker.link.recorded_end,
            lease_until: (may_extend && needs_lease).then(|| worker.link.extend_lease(now, lease)),
            wait,
        };
        if kind == CallKind::QuickLook {
            worker.link.quick_at = None;
        }
        let ticket = self.send_order(context, name, kind, WorkerOrder::Look(order), wait);
        let look = ticket.map(|ticket| PendingLook {
            ticket,
            acknowledged: order.acknowledged,
        });
        if let Some(worker) = self.workers.get_mut(name) {
            if kind == CallKind::LongLook {
                worker.link.long_look = look;
            } else {
                worker.link.quick_look = look;
            }
        }
    }

    /// Notes what an exchange says of the connection to the worker.
    pub(super) fn note_exchange(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        result: &Result<WorkerAnswer, WorkerFault>,
    ) {
        let now = context.now;
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let link = &mut worker.link;
        let look = match call.kind {
            CallKind::LongLook => link.long_look.take(),
            CallKind::QuickLook => link.quick_look.take(),
            CallKind::Start { .. } | CallKind::Stop { .. } => None,
        };
        match result {
            Ok(answer) => {
                if let Some(look) = look {
                    link.forgotten_end = link.forgotten_end.max(look.acknowledged);
                }
                if let Some(clock) = answer_clock(answer) {
                    link.note_clock(now, clock);
                }
                link.answered_at = Some(now);
                if link.failures > 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), failures = link.failures; "worker answers again");
                    self.is_dirty = true;
                }
                link.failures = 0;
                if let WorkerAnswer::Refused { cause, .. } = answer {
                    self.take_exchange_refusal(context, call, *cause);
                }
            }
            // A failure of one connection says nothing while another brings answers.
            Err(_)
                if link
                    .answered_at
                    .is_some_and(|at| now.since(at) < ORDER_TIME) => {}
            Err(fault) => {
                if link.failures == 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), fault = fault.word(); "worker does not answer");
                }
                let pause = RETRY_PAUSE * 2_u32.saturating_pow(link.failures.min(4));
                link.failures += 1;
                link.quick_at = Some(now + pause.min(LONGEST_RETRY));
            }
        }
    }

    /// Takes a refusal of a look or stop; those of starts are handled with the start.
    fn take_exchange_refusal(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        cause: RefusalCause,
    ) {
        if cause == RefusalCause::OtherLife {
            // The workers stream tells the new life within a heartbeat.
            self.lose_worker_units(context, &call.worker, "worker has another life");
            if let Some(worker) = self.workers.get_mut(&call.worker) {
                worker.is_listed = false;
            }
        }
        let is_look = matches!(call.kind, CallKind::LongLook | CallKind::QuickLook);
        if is_look && cause == RefusalCause::Fenced {
            self.note_deposed("a worker");
        }
        if is_look && let Some(worker) = self.workers.get_mut(&call.worker) {
            worker.link.quick_at = Some(context.now + RETRY_PAUSE);
        }
    }

    /// Takes what a worker runs and what has ended on it.
    pub(super) fn take_listing(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        listing: &WorkerListing,
    ) {
        let name = &call.worker;
        let is_other = listing
            .incarnation
            .is_some_and(|life| life != call.incarnation);
        if is_other {
            self.lose_worker_units(context, name, "worker has another life");
            if let Some(worker) = self.workers.get_mut(name) {
                worker.is_listed = false;
            }
            return;
        }
        let is_whole = listing.ended.len() < ENDS_PER_LISTING;
        self.take_ends(context, name, &listing.ended);
        if !self.is_newest_listing(name, listing.clock) {
            return;
        }
        let running: BTreeMap<UnitKey, &RunningUnit> = listing
            .running
            .iter()
            .map(|running| (running.unit, running))
            .collect();
        self.match_running(context, name, call.sent_at, &running, is_whole);
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.link.is_surveyed
            && is_whole
        {
            worker.link.is_surveyed = true;
            self.is_dirty = true;
        }
    }

    /// Whether the worker made no later listing that was taken already: answers on two
    /// connections overtake each other.
    fn is_newest_listing(&mut self, name: &WorkerName, clock: WorkerClock) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let is_newest = clock >= worker.link.listed_clock;
        worker.link.listed_clock = worker.link.listed_clock.max(clock);
        is_newest
    }

    fn take_ends(&mut self, context: &mut PlanContext<'_>, name: &WorkerName, ended: &[EndedUnit]) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (life, seen) = (worker.incarnation(), worker.link.seen_end);
        let Some(last) = ended.iter().map(|end| end.number).max() else {
            return;
        };
        for end in ended.iter().filter(|end| end.number > seen) {
            counter!(RUNS_ENDED, "cause" => end.cause.word()).increment(1);
            self.take_end(context, name, end);
        }
        if last <= seen {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.link.seen_end = last;
        }
        let effect = CommitEffect::Forget(name.clone(), life, last);
        self.writer.push_effect(effect);
    }

    fn take_end(&mut self, context: &mut PlanContext<'_>, name: &WorkerName, end: &EndedUnit) {
        let now = context.now;
        let located = self.locate_run(&end.unit, end.run);
        log::info!(
            target: "end", unit = end.unit.to_string().as_str(), run = end.run.0,
            worker = name.as_str(), cause = end.cause.word(), known = located.is_some();
            "run ended"
        );
        let Some((key, index)) = located else {
            self.take_old_end(now, end);
            return;
        };
        if self.member_worker(&key, index).as_ref() != Some(name) {
            return;
        }
        if let Some(group) = self.group_mut(&key)
            && end.saved.is_some()
        {
            group.saved.clone_from(&end.saved);
        }
        match end.cause {
            EndCause::Done => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.note_done();
                }
                self.finish_group(now, &key);
                self.release_member(now, &key, index);
            }
            EndCause::Failed => self.take_failure(context, name, key, index),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                self.release_member(now, &key, index);
                self.clear_group(now, key);
            }
        }
    }

    /// An end of a run that is not the newest of its unit. A run that was done counts
    /// whatever came after it.
    fn take_old_end(&mut self, now: MonotonicTime, end: &EndedUnit) {
        if end.cause != EndCause::Done {
            return;
        }
        let located = self
            .jobs
            .get(&end.unit.job)
            .and_then(|job| job.locate(&end.unit).map(|(key, _)| (job.group(&key), key)));
        if let Some((Some(group), key)) = located
            && group.phase != GroupPhase::Done
        {
            log::warn!(target: "end", unit = end.unit.to_string().as_str(), run = end.run.0; "an earlier run was done");
            self.finish_group(now, &key);
            self.clear_group(now, key);
        }
    }

    fn take_failure(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        key: GroupKey,
        index: usize,
    ) {
        let now = context.now;
        let is_set_aside = self
            .workers
            .get_mut(name)
            .is_some_and(|worker| worker.health.note_failure(now, key.job));
        if is_set_aside {
            log::info!(target: "worker", worker = name.as_str(); "worker set aside: it fails what it starts");
        }
        self.avoid_member_worker(&key, index);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let limit = job.accepted.max_attempts;
        let is_lasting = job
            .shape(key.step)
            .is_some_and(|shape| shape.is_long_running);
        let Some(group) = job.group_mut(&key) else {
            return;
        };
        // One failed member ends the run of the whole gang; a second one of the same
        // run is no further attempt.
        let is_first = matches!(group.phase, GroupPhase::Active);
        if is_first {
            group.failures += 1;
        }
        let is_spent = group.failures >= limit && !is_lasting;
        let record = group.record();
        self.writer.push(&JobRecord::Group(key, record), None);
        self.release_member(now, &key, index);
        self.clear_group(now, key);
        if is_spent {
            self.fail_job(now, key.job);
        }
    }

    /// Notes that a group is done, and what follows for its job.
    pub(super) fn finish_group(&mut self, now: MonotonicTime, key: &GroupKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queue = job.accepted.queue.clone();
        let Some(shape) = job.shape(key.step).cloned() else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        if group.phase == GroupPhase::Done {
            return;
        }
        if group.is_whole_run && group.phase == GroupPhase::Active {
            let ran = now.since(group.started_at);
            self.run_times.note_run(&queue, shape.estimate_ms, ran);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        group.phase = GroupPhase::Done;
        let record = group.record();
        self.writer.push(&JobRecord::Group(*key, record), None);
        if let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) {
            if let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) {
                step.done += 1;
            }
            if occurrence.is_done() {
                job.done_occurrences += 1;
            }
        }
        self.is_dirty = true;
        self.finish_job(key.job);
    }

    /// Records the outcome of a job of which everything is done.
    pub(super) fn finish_job(&mut self, key: JobKey) {
        let is_done = self
            .jobs
            .get(&key)
            .is_some_and(|job| job.is_done() && !job.is_closing);
        if !is_done {
            return;
        }
        log::info!(target: "job", job = key.to_string().as_str(); "job completed");
        let outcome = crate::process::record::JobOutcome::Completed;
        self.writer.push(&JobRecord::Outcome(key, outcome), None);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.is_closing = true;
        }
        self.close_job_if_clear(key);
    }

    /// Compares what the worker lists with what the planner holds there.
    fn match_running(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        sent_at: MonotonicTime,
        running: &BTreeMap<UnitKey, &RunningUnit>,
        is_whole: bool,
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let held: Vec<_> = worker
            .holdings
            .iter()
            .map(|(unit, holding)| (*unit, *holding))
            .collect();
        for (unit, holding) in &held {
            self.match_holding(
                context,
                *unit,
                holding.group,
                holding.member,
                sent_at,
                running,
                is_whole,
            );
        }
        self.match_strays(context, name, running);
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one listing")]
    fn match_holding(
        &mut self,
        context: &mut PlanContext<'_>,
        unit: UnitKey,
        key: GroupKey,
        index: usize,
        sent_at: MonotonicTime,
        running: &BTreeMap<UnitKey, &RunningUnit>,
        is_whole: bool,
    ) {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(&key)) else {
            return;
        };
        let Some(member) = group.members.get(index) else {
            return;
        };
        let listed = running.get(&unit).filter(|listed| listed.run == group.run);
        if let Some(listed) = listed {
            log::debug!(
                target: "progress", unit = unit.to_string().as_str(),
                worker = member.worker.as_str(), percent = listed.percent,
                el = context.now.since(group.started_at).as_millis() as u64;
                "pct"
            );
        }
        match (member.stage, listed) {
            (MemberStage::Starting, Some(listed)) => {
                self.set_stage(&key, index, |_| MemberStage::Running(context.now));
                self.note_progress(context.now, &key, index, listed);
            }
            (MemberStage::Running(_), Some(listed)) => {
                self.note_progress(context.now, &key, index, listed);
            }
            (MemberStage::Running(since), None) if is_whole && sent_at >= since => {
                log::info!(target: "end", unit = unit.to_string().as_str(); "run is not there any more");
                self.release_member(context.now, &key, index);
                self.clear_group(context.now, key);
            }
            (MemberStage::Stopped(since), None) if is_whole && sent_at >= since => {
                self.release_member(context.now, &key, index);
            }
            _ => {}
        }
    }

    fn note_progress(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        listed: &RunningUnit,
    ) {
        let Some(group) = self.group_mut(key) else {
            return;
        };
        if listed.saved.is_some() {
            group.saved.clone_from(&listed.saved);
        }
        let member = group.members.get_mut(index);
        let has_pace = member.is_some_and(|member| member.progress.note(now, listed.percent));
        if has_pace {
            self.learn_speed(now, key, index);
        }
    }

    /// Compares the pace of a gang's member with that of the others.
    fn learn_speed(&mut self, now: MonotonicTime, key: &GroupKey, index: usize) {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return;
        };
        let Some(member) = group.members.get(index) else {
            return;
        };
        let Some(pace) = member.progress.pace else {
            return;
        };
        // What a worker of speed one would do, by each of the other members.
        let others: Vec<f64> = group
            .members
            .iter()
            .filter(|other| other.worker != member.worker)
            .filter_map(|other| {
                let speed = self.workers.get(&other.worker)?.speed;
                let pace = other.progress.pace.filter(|pace| *pace > 0.0)?;
                Some(pace.ln() - speed.log())
            })
            .collect();
        if others.is_empty() {
            return;
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        let name = member.worker.clone();
        let ratio = pace / mean.exp();
        if let Some(worker) = self.workers.get_mut(&name)
            && worker.speed.note_ratio(now, ratio)
        {
            log::info!(target: "worker", worker = name.as_str(), ratio; "worker is slowed down");
        }
    }

    /// Stops runs that nobody asked for: they were started by an earlier planner and
    /// given up since, or carried out late.
    fn match_strays(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        running: &BTreeMap<UnitKey, &RunningUnit>,
    ) {
        let mut strays = BTreeMap::new();
        for (unit, listed) in running {
            let is_known = self
                .locate_run(unit, listed.run)
                .is_some_and(|(key, index)| self.member_worker(&key, index).as_ref() == Some(name));
            if !is_known {
                strays.insert(*unit, listed.run);
            }
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let had_strays = !worker.strays.is_empty();
        worker.strays.clone_from(&strays);
        if had_strays || !strays.is_empty() {
            // Until they are gone, the room that they take is not known.
            worker.link.quick_at = (!strays.is_empty()).then(|| context.now + RETRY_PAUSE);
            self.is_dirty = true;
        }
        for (unit, run) in strays {
            log::info!(target: "stop", unit = unit.to_string().as_str(), run = run.0, worker = name.as_str(); "stopping a run that nobody asked for");
            let order = StopOrder {
                run,
                worker: name.clone(),
                is_seen: true,
                ticket: None,
                send_at: context.now,
            };
            self.stopping.entry(unit).or_insert(order);
        }
    }

    /// Everything of a worker's present life is gone.
    pub(super) fn lose_worker_units(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        why: &str,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.strays.clear();
        let held: Vec<_> = worker
            .holdings
            .values()
            .map(|holding| (holding.group, holding.member))
            .collect();
        if !held.is_empty() {
            log::info!(target: "end", worker = name.as_str(), runs = held.len(), why; "runs are lost");
        }
        for (key, index) in held {
            self.release_member(context.now, &key, index);
            self.clear_group(context.now, key);
        }
        self.stopping.retain(|_, stop| stop.worker != *name);
    }

    /// Counts as gone what runs on workers whose lease has certainly lapsed.
    pub(super) fn expire_leases(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let lapsed: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_occupied() && now >= worker.link.lease_bound)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.lose_worker_units(context, &name, "the lease has lapsed");
        }
    }
}

fn answer_clock(answer: &WorkerAnswer) -> Option<WorkerClock> {
    match answer {
        WorkerAnswer::Done { clock } => Some(*clock),
        WorkerAnswer::Refused { clock, .. } => *clock,
        WorkerAnswer::Listed(listing) => Some(listing.clock),
    }
}

/// The look that is due on a worker, if any.
fn due_look(
    worker: &crate::process::planner::worker::PlanWorker,
    now: MonotonicTime,
) -> Option<CallKind> {
    let link = &worker.link;
    let is_quick_due = link.quick_at.is_some_and(|at| now >= at) && link.quick_look.is_none();
    if link.failures > 0 {
        let is_wanted = worker.is_occupied() || worker.is_listed;
        return (is_quick_due && is_wanted).then_some(CallKind::QuickLook);
    }
    if !link.is_surveyed {
        let is_wanted = worker.is_listed || worker.is_occupied();
        return (link.quick_look.is_none() && is_wanted).then_some(CallKind::QuickLook);
    }
    if is_quick_due {
        return Some(CallKind::QuickLook);
    }
    let has_told_all = link.seen_end == link.recorded_end;
    let is_stale = link
        .answered_at
        .is_none_or(|at| now.since(at) >= UNRECORDED_PAUSE);
    if worker.is_occupied() && !has_told_all && link.quick_look.is_none() && is_stale {
        return Some(CallKind::QuickLook);
    }
    if worker.is_occupied() && has_told_all && link.long_look.is_none() {
        return Some(CallKind::LongLook);
    }
    let is_forgetting_due = link.recorded_end > link.forgotten_end && !worker.is_occupied();
    let is_quiet = link
        .answered_at
        .is_some_and(|at| now.since(at) >= FORGET_PAUSE);
    (is_forgetting_due && is_quiet && link.quick_look.is_none()).then_some(CallKind::QuickLook)
}
