//! Approvals of workers for the steps of queues whose policy allows only some workers.
//! They are asked for in batches, one call at a time, for the first step that lacks
//! them and ahead for steps that open later; no other step waits for the answer.

use crate::prelude::*;
use crate::process::action::{AdviceOrder, CallTicket, HostAction};
use crate::process::event::{AdviceError, WorkerApproval};
use crate::process::planner::place::{CapacityView, PlaceRequest};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::process::stream_follower::allocate_ticket;
use crate::version::manifest::AdviceSettings;

/// Workers that a call names at least, if there are so many; the users' objectives
/// count one call on 30 workers for a step.
const LEAST_BATCH: usize = 30;
/// Workers that a call may name at most.
const MOST_BATCH: usize = 100;
/// Workers that a call names for each member of a group, since not all are approved.
const BATCH_FACTOR: usize = 2;
/// Time for an answer beside what the call itself takes: others may be before it.
const ANSWER_SLACK: Duration = Duration::from_secs(2);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time before its end from which an approval is not used any more: a record in a slow
/// log and an order that is answered late.
const USE_SLACK: Duration = Duration::from_millis(700);

/// What is known of a worker for a step.
#[derive(Clone, Debug)]
struct WorkerAdvice {
    /// Life of the worker that was asked about.
    incarnation: WorkerIncarnation,
    /// Approval, if the worker may run the step.
    approval: Option<StepApproval>,
}

/// Approval of a worker.
#[derive(Clone, Debug)]
struct StepApproval {
    ticket: Arc<str>,
    /// When it is certainly over.
    until: MonotonicTime,
}

/// A call that was not answered yet.
#[derive(Clone, Debug)]
struct PendingAdvice {
    ticket: CallTicket,
    step: StepKey,
    asked: BTreeMap<WorkerName, WorkerIncarnation>,
    sent_at: MonotonicTime,
    validity: Duration,
}

/// Approvals by step.
#[derive(Debug, Default)]
pub struct AdviceCache {
    steps: BTreeMap<StepKey, BTreeMap<WorkerName, WorkerAdvice>>,
    pending: Option<PendingAdvice>,
    not_before: MonotonicTime,
}

impl AdviceCache {
    /// Workers that may run a step now, of those in their present life.
    pub fn approved(
        &self,
        step: &StepKey,
        now: MonotonicTime,
        workers: &BTreeMap<WorkerName, PlanWorker>,
    ) -> BTreeSet<WorkerName> {
        let known = self.steps.get(step).into_iter().flatten();
        let is_usable = |name: &WorkerName, advice: &WorkerAdvice| {
            let worker = workers.get(name);
            let is_same_incarnation =
                worker.is_some_and(|worker| worker.incarnation() == advice.incarnation);
            let approval = advice.approval.as_ref().filter(|_| is_same_incarnation);
            approval.is_some_and(|approval| now + USE_SLACK < approval.until)
        };
        known
            .filter(|(name, advice)| is_usable(name, advice))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Approval for a start on one life of a worker.
    pub fn approval(
        &self,
        step: &StepKey,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
    ) -> Option<Arc<str>> {
        let advice = self.steps.get(step)?.get(worker)?;
        let approval = advice.approval.as_ref()?;
        (advice.incarnation == incarnation).then(|| Arc::clone(&approval.ticket))
    }

    /// Forgets an approval that a worker did not take.
    pub fn remove_approval(&mut self, step: &StepKey, worker: &WorkerName) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(worker);
        }
    }

    /// Forgets a job.
    pub fn remove_job(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Whether a worker has to be asked about: it was not, or its approval is over.
    fn is_open(
        &self,
        step: &StepKey,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonotonicTime,
    ) -> bool {
        let known = self.steps.get(step).and_then(|known| known.get(worker));
        known.is_none_or(|advice| {
            let is_over = advice
                .approval
                .as_ref()
                .is_some_and(|approval| now + USE_SLACK >= approval.until);
            advice.incarnation != incarnation || is_over
        })
    }

    const fn may_ask(&self, now: MonotonicTime) -> bool {
        self.pending.is_none() && now.0 >= self.not_before.0
    }

    /// Takes the answer of a call; whether it was this book's.
    fn take(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: Result<Vec<WorkerApproval>, AdviceError>,
    ) -> bool {
        let is_it = |pending: &mut PendingAdvice| pending.ticket == ticket;
        let Some(pending) = self.pending.take_if(is_it) else {
            return false;
        };
        let approvals = match result {
            Ok(approvals) => approvals,
            Err(fault) => {
                log::warn!(target: "advice", step = pending.step.to_string().as_str(), fault = fault.to_string().as_str(); "no advice");
                self.not_before = now + RETRY_DELAY;
                return true;
            }
        };
        log::info!(
            target: "advice", step = pending.step.to_string().as_str(), asked = pending.asked.len(),
            approved = approvals.len();
            "advice taken"
        );
        let known = self.steps.entry(pending.step).or_default();
        for (name, incarnation) in pending.asked {
            let found = approvals.iter().find(|approval| approval.worker == name);
            let approval = found.map(|found| StepApproval {
                ticket: Arc::clone(&found.ticket),
                until: pending.sent_at + pending.validity,
            });
            let advice = WorkerAdvice {
                incarnation,
                approval,
            };
            known.insert(name, advice);
        }
        true
    }
}

impl PlannerState {
    /// Terms of the advice that a queue needs, if it needs any.
    pub(super) fn advice_terms(&self, queue: &QueueName) -> Option<AdviceSettings> {
        let settings = self.manifest.queues.get(queue)?;
        settings.advice
    }

    /// Asks about workers for a group that found no approved one with room: first those
    /// with room, near its data, rack by rack.
    pub(super) fn request_advice(
        &mut self,
        context: &mut PlanContext<'_>,
        terms: AdviceSettings,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) {
        let now = context.now;
        if !self.advice.may_ask(now) {
            return;
        }
        let anyone = PlaceRequest {
            approved: None,
            ..*request
        };
        let has_approved = request.approved.is_some_and(|names| !names.is_empty());
        let mut candidates = Vec::new();
        for index in view.suited(&anyone) {
            let row = &view.rows[index];
            let Some(worker) = self.workers.get(&row.worker) else {
                continue;
            };
            let incarnation = worker.incarnation();
            let has_room = row.slots(&anyone) > 0;
            let is_useful = has_room || !has_approved;
            if is_useful
                && self
                    .advice
                    .is_open(&request.key, &row.worker, incarnation, now)
            {
                let data_rack = request.shape.data_rack.as_ref();
                let is_near = data_rack.is_none_or(|rack| row.rack.as_ref() == Some(rack));
                candidates.push((
                    !has_room,
                    !is_near,
                    row.rack.clone(),
                    row.worker.clone(),
                    incarnation,
                ));
            }
        }
        candidates.sort();
        let batch = (usize::from(request.count) * BATCH_FACTOR).clamp(LEAST_BATCH, MOST_BATCH);
        let asked = candidates.into_iter().take(batch);
        let asked: BTreeMap<_, _> = asked
            .map(|(.., name, incarnation)| (name, incarnation))
            .collect();
        if !asked.is_empty() {
            self.send_advice(context, terms, request.key, asked);
        }
    }

    fn send_advice(
        &mut self,
        context: &mut PlanContext<'_>,
        terms: AdviceSettings,
        step: StepKey,
        asked: BTreeMap<WorkerName, WorkerIncarnation>,
    ) {
        let ticket = allocate_ticket(context.next_ticket);
        let call_time = terms.decide_time + terms.worker_time * asked.len() as u32;
        let order = AdviceOrder {
            ticket,
            step,
            workers: asked.keys().cloned().collect(),
            timeout: call_time + ANSWER_SLACK,
        };
        self.advice.pending = Some(PendingAdvice {
            ticket,
            step,
            asked,
            sent_at: context.now,
            validity: terms.validity,
        });
        context.actions.push(HostAction::Advise(order));
    }

    /// Takes the answer of a call for advice.
    pub fn handle_advice_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: Result<Vec<WorkerApproval>, AdviceError>,
    ) {
        if self.advice.take(now, ticket, result) {
            self.is_dirty = true;
        }
    }

    /// Asks for a step that will open later, while nothing else has to be asked.
    pub(super) fn prefetch_advice(&mut self, context: &mut PlanContext<'_>, view: &CapacityView) {
        if !self.advice.may_ask(context.now) {
            return;
        }
        let Some((key, terms)) = self.next_unasked_step() else {
            return;
        };
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        let Some(shape) = accepted.submission.steps.get(usize::from(key.step)) else {
            return;
        };
        let request = PlaceRequest {
            service: &accepted.service,
            key,
            shape,
            count: shape.group_size(),
            avoided: &[],
            approved: None,
            allows_remote: true,
            is_urgent: false,
            ends_at: context.now,
        };
        self.request_advice(context, terms, &request, view);
    }

    /// The first step that has groups to run and of which no worker was asked about.
    fn next_unasked_step(&self) -> Option<(StepKey, AdviceSettings)> {
        for job in self.jobs.values().filter(|job| !job.is_closing) {
            let Some(terms) = self.advice_terms(&job.accepted.queue) else {
                continue;
            };
            for (number, occurrence) in &job.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    let key = StepKey {
                        job: job.key,
                        occurrence: *number,
                        step: index as u16,
                    };
                    if !step.is_done() && !self.advice.steps.contains_key(&key) {
                        return Some((key, terms));
                    }
                }
            }
        }
        None
    }
}
