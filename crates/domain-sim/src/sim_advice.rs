//! Simulated service that approves workers for the steps of some jobs. It serves one call
//! at a time, takes longer the more workers a call names, and issues tickets that expire.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{AdviceOrder, StartOrder};
use flamingowalk_domain::process::event::WorkerApproval;

/// Simulated approval service.
#[derive(Clone, Debug)]
pub struct SimAdvice {
    /// Jobs that need approvals, with the workers that are not approved.
    pub denied: BTreeMap<JobKey, BTreeSet<WorkerName>>,
    /// Whether it answers.
    pub is_up: bool,
    /// Fixed time of each call.
    pub decide_time: Duration,
    /// Additional time for each worker that a call names.
    pub worker_time: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
    /// Number of workers named in each call so far.
    pub calls: Vec<usize>,
    /// Number of starts that workers refused because they carried no valid ticket.
    pub refused_starts: u32,
    free_at: MonotonicTime,
}

impl Default for SimAdvice {
    fn default() -> Self {
        Self {
            denied: BTreeMap::new(),
            is_up: true,
            decide_time: Duration::from_millis(20),
            worker_time: Duration::from_millis(2),
            validity: Duration::from_secs(5),
            calls: Vec::new(),
            refused_starts: 0,
            free_at: MonotonicTime::default(),
        }
    }
}

impl SimAdvice {
    /// Serves a call and returns the time of its answer and the approvals in it.
    pub fn handle_request(
        &mut self,
        now: MonotonicTime,
        order: &AdviceOrder,
        incarnation: impl Fn(&WorkerName) -> WorkerIncarnation,
    ) -> (MonotonicTime, Vec<WorkerApproval>) {
        let count = order.workers.len();
        self.calls.push(count);
        let call_time = self.decide_time + self.worker_time * count as u32;
        self.free_at = self.free_at.max(now) + call_time;
        let until = self.free_at + self.validity;
        let denied = self.denied.get(&order.step.job);
        let is_approved = |name: &&WorkerName| denied.is_none_or(|names| !names.contains(*name));
        let approvals = order.workers.iter().filter(is_approved);
        let approvals = approvals.map(|name| WorkerApproval {
            worker: name.clone(),
            ticket: ticket(&order.step, name, incarnation(name), until).into(),
        });
        (self.free_at, approvals.collect())
    }

    /// Returns whether a worker refuses a start because it carries no valid ticket, and
    /// counts the refusals.
    pub fn refuses(
        &mut self,
        now: MonotonicTime,
        start: &StartOrder,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
    ) -> bool {
        let unit = &start.unit;
        if !self.denied.contains_key(&unit.job) {
            return false;
        }
        let step = StepKey {
            job: unit.job,
            occurrence: unit.occurrence,
            step: unit.step,
        };
        let until = start.approval.as_ref().and_then(|text| {
            let (_, until) = text.rsplit_once(' ')?;
            until.parse().ok().map(MonotonicTime)
        });
        let is_valid = until.is_some_and(|until| {
            let known = ticket(&step, worker, incarnation, until);
            now < until && start.approval.as_deref() == Some(known.as_str())
        });
        self.refused_starts += u32::from(!is_valid);
        !is_valid
    }
}

fn ticket(
    step: &StepKey,
    worker: &WorkerName,
    incarnation: WorkerIncarnation,
    until: MonotonicTime,
) -> String {
    format!("{step} {worker} {} {}", incarnation.0, until.0)
}
