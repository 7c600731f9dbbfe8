//! Polls of workers before the start of urgent work of customers with a guarantee. Load: workers
//! that are lost shortly before. Idle workers are not polled, so that a loss shows only by a start
//! that is not answered; its unit may run there until the lease expires, which takes several times
//! the bound of a guarantee. A start that is withheld until its worker has answered holds nothing.
//! The poll takes place while the start is recorded, so it rarely delays the start.

use metrics::counter;

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, PlanJob};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::WorkerLink;
use crate::version::manifest::DomainManifest;

/// Counter of starts that were given up since a worker had not answered the poll before.
pub const STARTS_WITHHELD: &str = "flamingowalk_domain_starts_withheld_total";

/// Time for which an answer of a worker stands for a poll. A worker that is lost within it may
/// still receive a start; polls of busy workers are more frequent under a burst of starts.
pub const RECENT_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time after which a start is given up. Workers answer within a few milliseconds; a group has to
/// stop other runs afterwards in the worst case, which takes a second of its bound of 2.7 s.
pub const START_POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// A start that waits for answers of its workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StartPoll {
    pub(super) run: RunNumber,
    /// When its workers were asked.
    pub(super) asked_at: MonotonicTime,
    /// Whether its record is in the log.
    pub(super) is_recorded: bool,
}

/// What the answers of a start's workers allow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollResult {
    /// All have answered.
    Answered,
    /// Some may still answer in time.
    Pending,
    /// These have not answered in time.
    Silent(BTreeSet<WorkerName>),
}

/// Whether the start of a job's groups is preceded by polls of its workers.
pub(super) fn needs_poll(job: &PlanJob, manifest: &DomainManifest) -> bool {
    let customer = job.accepted.customer.as_ref();
    job.accepted.priority == 0 && customer.is_some_and(|name| manifest.guaranteed(name) > 0)
}

/// Whether the newest answer of a worker stands for the answer to a poll sent at `asked_at`.
pub fn has_answered(link: &WorkerLink, asked_at: MonotonicTime) -> bool {
    let answered_at = link.answered_at;
    link.failures == 0 && answered_at.is_some_and(|at| at + RECENT_ANSWER_TIME >= asked_at)
}

/// Returns what the answers of a start's workers allow.
pub fn poll_result<'a>(
    now: MonotonicTime,
    asked_at: MonotonicTime,
    workers: impl Iterator<Item = (&'a WorkerName, &'a WorkerLink)>,
) -> PollResult {
    let silent: BTreeSet<WorkerName> = workers
        .filter(|(_, link)| !has_answered(link, asked_at))
        .map(|(name, _)| name.clone())
        .collect();
    if silent.is_empty() {
        PollResult::Answered
    } else if now < asked_at + START_POLL_TIMEOUT {
        PollResult::Pending
    } else {
        PollResult::Silent(silent)
    }
}

impl PlannerState {
    /// Requests short polls of those workers that have not answered lately.
    pub(super) fn poll_silent_workers(&mut self, now: MonotonicTime, names: &[WorkerName]) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name)
                && !has_answered(&worker.link, now)
                && worker.link.short_poll.is_none()
            {
                worker.link.short_poll_at.get_or_insert(now);
            }
        }
    }

    /// Requests the polls that precede the start of a group on these workers, if it needs any.
    pub(super) fn poll_before_start(
        &mut self,
        now: MonotonicTime,
        key: GroupKey,
        run: RunNumber,
        names: &[WorkerName],
    ) {
        let job = self.jobs.get(&key.job);
        if !job.is_some_and(|job| needs_poll(job, &self.manifest)) {
            return;
        }
        self.poll_silent_workers(now, names);
        let poll = StartPoll {
            run,
            asked_at: now,
            is_recorded: false,
        };
        self.start_polls.insert(key, poll);
    }

    /// Whether a recorded start may be sent now. Otherwise it is sent once its workers have
    /// answered, or given up.
    pub(super) fn may_send_start(
        &mut self,
        now: MonotonicTime,
        key: GroupKey,
        run: RunNumber,
    ) -> bool {
        let Some(poll) = self
            .start_polls
            .get_mut(&key)
            .filter(|poll| poll.run == run)
        else {
            return true;
        };
        poll.is_recorded = true;
        let asked_at = poll.asked_at;
        let group = self.jobs.get(&key.job).and_then(|job| job.group(&key));
        let Some(group) = group else {
            return false;
        };
        let names = group.members.iter().map(|member| &member.worker);
        let links = names.filter_map(|name| Some((name, &self.workers.get(name)?.link)));
        match poll_result(now, asked_at, links) {
            PollResult::Answered => {
                self.start_polls.remove(&key);
                true
            }
            PollResult::Pending => false,
            PollResult::Silent(silent) => {
                self.start_polls.remove(&key);
                let members = group.members.iter().enumerate();
                let avoided: Vec<_> = members
                    .filter(|(_, member)| silent.contains(&member.worker))
                    .map(|(index, _)| index)
                    .collect();
                for index in avoided {
                    self.avoid_member_worker(now, &key, index);
                }
                log::info!(target: "start", group = key.to_string().as_str(), run = run.0, workers = silent.len(); "start given up; workers do not answer");
                counter!(STARTS_WITHHELD).increment(1);
                self.stop_group(now, key);
                false
            }
        }
    }

    /// Sends or gives up the recorded starts that wait for answers of their workers.
    pub(super) fn send_polled_starts(&mut self, context: &mut PlanContext<'_>) {
        self.start_polls.retain(|key, poll| {
            let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
            group.is_some_and(|group| group.phase == GroupPhase::Recording && group.run == poll.run)
        });
        let recorded = self.start_polls.iter().filter(|(_, poll)| poll.is_recorded);
        let recorded: Vec<_> = recorded.map(|(key, poll)| (*key, poll.run)).collect();
        for (key, run) in recorded {
            self.send_starts(context, key, run);
        }
    }
}
