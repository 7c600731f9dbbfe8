//! Approvals of workers for the steps of queues whose policy allows only some workers.
//! They are requested from the advice service in batches, one call at a time: for the
//! first waiting step that lacks them, and in advance for steps that become ready later.
//! Other steps are planned while a call is pending.

use crate::prelude::*;
use crate::process::action::{AdviceOrder, CallTicket, HostAction};
use crate::process::event::{AdviceError, WorkerApproval};
use crate::process::planner::place::{CapacityView, PlaceRequest};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::process::stream_follower::allocate_ticket;
use crate::version::manifest::AdviceSettings;

/// Least number of workers in a call, if there are that many: the latency objectives
/// assume one call about 30 workers for a step.
const MIN_BATCH_WORKERS: usize = 30;
/// Greatest number of workers in a call.
const MAX_BATCH_WORKERS: usize = 100;
/// Workers requested for each member of a group, since not all of them are approved.
const WORKERS_PER_MEMBER: usize = 2;
/// Added to the expected duration of a call for its timeout, since the service may
/// process other calls first.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);
/// Delay before the next call after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Remaining validity below which an approval is not used: covers the time to record a
/// start in a slow log and to deliver the order to the worker.
const EXPIRY_MARGIN: Duration = Duration::from_millis(700);

/// Answer of the advice service about a worker for a step.
#[derive(Clone, Debug)]
struct WorkerAdvice {
    /// Incarnation of the worker that the request named.
    incarnation: WorkerIncarnation,
    /// `None` if the worker may not run the step.
    approval: Option<StepApproval>,
}

/// Permission for a worker to run a step.
#[derive(Clone, Debug)]
struct StepApproval {
    ticket: Arc<str>,
    /// Time until which it is valid, counted from when the request was sent, since the
    /// service cannot have issued it earlier.
    until: MonotonicTime,
}

/// A call without an answer so far.
#[derive(Clone, Debug)]
struct PendingAdvice {
    ticket: CallTicket,
    step: StepKey,
    requested: BTreeMap<WorkerName, WorkerIncarnation>,
    sent_at: MonotonicTime,
    validity: Duration,
}

/// Answers of the advice service by step, and the pending call.
#[derive(Clone, Debug, Default)]
pub struct AdviceCache {
    steps: BTreeMap<StepKey, BTreeMap<WorkerName, WorkerAdvice>>,
    pending: Option<PendingAdvice>,
    not_before: MonotonicTime,
}

impl AdviceCache {
    /// Returns the workers with a usable approval for a step. An approval of an earlier
    /// incarnation of a worker does not count.
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
            approval.is_some_and(|approval| now + EXPIRY_MARGIN < approval.until)
        };
        known
            .filter(|(name, advice)| is_usable(name, advice))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the approval to send with a start on an incarnation of a worker.
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

    /// Removes an approval that a worker refused.
    pub fn remove_approval(&mut self, step: &StepKey, worker: &WorkerName) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(worker);
        }
    }

    /// Removes all answers for the steps of a job.
    pub fn remove_job(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Whether advice about a worker has to be requested: there is none about its
    /// incarnation, or the approval has expired.
    fn needs_request(
        &self,
        step: &StepKey,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonotonicTime,
    ) -> bool {
        let known = self.steps.get(step).and_then(|known| known.get(worker));
        known.is_none_or(|advice| {
            let is_expired = advice
                .approval
                .as_ref()
                .is_some_and(|approval| now + EXPIRY_MARGIN >= approval.until);
            advice.incarnation != incarnation || is_expired
        })
    }

    const fn may_request(&self, now: MonotonicTime) -> bool {
        self.pending.is_none() && now.0 >= self.not_before.0
    }

    /// Stores the answer of the pending call. Returns `false` if the ticket belongs to
    /// another call.
    fn handle_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: Result<Vec<WorkerApproval>, AdviceError>,
    ) -> bool {
        let is_same_call = |pending: &mut PendingAdvice| pending.ticket == ticket;
        let Some(pending) = self.pending.take_if(is_same_call) else {
            return false;
        };
        let approvals = match result {
            Ok(approvals) => approvals,
            Err(error) => {
                log::warn!(target: "advice", step = pending.step.to_string().as_str(), fault = error.to_string().as_str(); "advice request failed");
                self.not_before = now + RETRY_DELAY;
                return true;
            }
        };
        log::info!(
            target: "advice", step = pending.step.to_string().as_str(), asked = pending.requested.len(),
            approved = approvals.len();
            "advice received"
        );
        let known = self.steps.entry(pending.step).or_default();
        for (name, incarnation) in pending.requested {
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
    /// Returns the advice settings of a queue, or `None` if it needs no approvals.
    pub(super) fn advice_settings(&self, queue: &QueueName) -> Option<AdviceSettings> {
        let settings = self.manifest.queues.get(queue)?;
        settings.advice
    }

    /// Requests advice for a group that found no approved worker with free capacity.
    /// Workers with free capacity come first; within each part those near the group's data
    /// come first, then rack by rack.
    pub(super) fn request_advice(
        &mut self,
        context: &mut PlanContext<'_>,
        settings: AdviceSettings,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) {
        let now = context.now;
        if !self.advice.may_request(now) {
            return;
        }
        let any_worker = PlaceRequest {
            approved: None,
            ..*request
        };
        let has_approved = request.approved.is_some_and(|names| !names.is_empty());
        let mut candidates = Vec::new();
        for index in view.eligible_rows(&any_worker) {
            let row = &view.rows[index];
            let Some(worker) = self.workers.get(&row.report.name) else {
                continue;
            };
            let incarnation = worker.incarnation();
            let has_capacity = row.slots(&any_worker) > 0;
            let is_useful = has_capacity || !has_approved;
            if is_useful
                && self
                    .advice
                    .needs_request(&request.key, &row.report.name, incarnation, now)
            {
                let data_rack = request.shape.data_rack.as_ref();
                let is_near = data_rack.is_none_or(|rack| row.report.rack.as_ref() == Some(rack));
                candidates.push((
                    !has_capacity,
                    !is_near,
                    row.report.rack.clone(),
                    row.report.name.clone(),
                    incarnation,
                ));
            }
        }
        candidates.sort();
        let batch = (usize::from(request.count) * WORKERS_PER_MEMBER)
            .clamp(MIN_BATCH_WORKERS, MAX_BATCH_WORKERS);
        let requested = candidates.into_iter().take(batch);
        let requested: BTreeMap<_, _> = requested
            .map(|(.., name, incarnation)| (name, incarnation))
            .collect();
        if !requested.is_empty() {
            self.send_advice(context, settings, request.key, requested);
        }
    }

    fn send_advice(
        &mut self,
        context: &mut PlanContext<'_>,
        settings: AdviceSettings,
        step: StepKey,
        requested: BTreeMap<WorkerName, WorkerIncarnation>,
    ) {
        let ticket = allocate_ticket(context.last_ticket);
        let call_time = settings.decide_time + settings.worker_time * requested.len() as u32;
        let order = AdviceOrder {
            ticket,
            step,
            workers: requested.keys().cloned().collect(),
            timeout: call_time + RESPONSE_MARGIN,
        };
        self.advice.pending = Some(PendingAdvice {
            ticket,
            step,
            requested,
            sent_at: context.now,
            validity: settings.validity,
        });
        context.actions.push(HostAction::Advise(order));
    }

    /// Handles the answer of a call for advice.
    pub fn handle_advice_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: Result<Vec<WorkerApproval>, AdviceError>,
    ) {
        if self.advice.handle_result(now, ticket, result) {
            self.is_dirty = true;
        }
    }

    /// Requests advice for a step that becomes ready later, if no call is pending.
    pub(super) fn prefetch_advice(&mut self, context: &mut PlanContext<'_>, view: &CapacityView) {
        if !self.advice.may_request(context.now) {
            return;
        }
        let Some((key, settings)) = self.next_step_to_prefetch() else {
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
            allows_avoided: false,
            allows_set_aside: false,
            approved: None,
            allows_remote: true,
            is_urgent: false,
            ends_at: context.now,
            goal: None,
        };
        self.request_advice(context, settings, &request, view);
    }

    /// Returns the first unfinished step for which no advice was received.
    fn next_step_to_prefetch(&self) -> Option<(StepKey, AdviceSettings)> {
        for job in self.jobs.values().filter(|job| !job.is_closing) {
            let Some(settings) = self.advice_settings(&job.accepted.queue) else {
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
                        return Some((key, settings));
                    }
                }
            }
        }
        None
    }
}
