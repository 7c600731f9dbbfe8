//! Jobs according to the records of the log, and the callers that wait for a record.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::job_table::{JobRecord, JobTable};
use flamingowalk_core::process::log_appender::NotWrittenReason;
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::AcceptedJob;
use flamingowalk_core::process::record::AcceptedEntry;
use flamingowalk_wire::caller::{JobPhase, JobStatus};
use tokio::sync::oneshot;

use crate::border::caller::JobError;
use crate::process::host_clock::HostClock;

/// Delay that a refused caller is asked to wait before a retry.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Sender for the answer to a job request.
pub type JobReply = oneshot::Sender<Result<JobStatus, JobError>>;

/// Change of a job that a caller waits for.
#[derive(Clone, Debug)]
pub enum AwaitedChange {
    /// Acceptance of the job.
    Accepted(AcceptedEntry),
    /// Cancellation or end of the job.
    Cancelled,
}

/// A caller that waits for a record to be read back.
#[derive(Debug)]
pub struct JobWaiter {
    /// The job.
    pub job: JobId,
    /// Record that this host submitted for the request.
    pub record: RecordId,
    /// Change that the caller waits for.
    pub awaited: AwaitedChange,
    /// When to answer that the outcome is unknown.
    pub expires_at: MonotonicTime,
    /// Sender for the answer.
    pub reply: JobReply,
}

/// The table of jobs and the callers that wait for a change of a job.
#[derive(Debug, Default)]
pub struct JobHandler {
    /// Jobs according to the records that were read.
    pub table: JobTable,
    /// Callers in order of arrival.
    waiters: Vec<JobWaiter>,
}

impl JobHandler {
    /// Returns the status of a job for callers, or `None` if it is unknown.
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        self.table.get(job).map(job_status)
    }

    /// Returns the status of every job for callers, in order of identifier.
    pub fn statuses(&self) -> Vec<JobStatus> {
        self.table.jobs().map(|(_, job)| job_status(job)).collect()
    }

    /// Returns the number of jobs that have not ended.
    pub fn open_count(&self) -> usize {
        self.table.open_jobs().count()
    }

    /// Adds a caller that waits until the record of its job is read back.
    pub fn add_waiter(&mut self, waiter: JobWaiter) {
        self.waiters.push(waiter);
    }

    /// Answers the callers whose record was read back, and those whose wait has expired.
    pub fn answer_waiters(&mut self, now: MonotonicTime) {
        for waiter in std::mem::take(&mut self.waiters) {
            let job = self.table.get(&waiter.job);
            if let Some(answer) = job.and_then(|job| resolved_answer(job, &waiter.awaited)) {
                let _ = waiter.reply.send(answer);
            } else if now >= waiter.expires_at {
                let _ = waiter.reply.send(Err(unknown_outcome()));
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    /// Answers the caller whose record is definitely not in the log.
    pub fn report_not_written(&mut self, record: &RecordId, reason: &NotWrittenReason) {
        let message = match reason {
            NotWrittenReason::Expired => "the log did not take the request in time; try again, \
                and ask for the id first if it was sent before"
                .to_owned(),
            NotWrittenReason::Refused(text) => format!("the log refused the record: {text}"),
        };
        self.answer(record, Err(not_run(message)));
    }

    /// Answers the caller whose record is in the log but is rejected by every reader,
    /// because the clock of this host is wrong.
    pub fn report_clock_skew(&mut self, record: &RecordId) {
        let message = "the clocks of this host and of the log differ by more than an hour; use \
            another host and correct the clock";
        self.answer(record, Err(not_run(message.to_owned())));
    }

    /// Answers the caller whose record may or may not be in the log.
    pub fn report_unknown_outcome(&mut self, record: &RecordId) {
        self.answer(record, Err(unknown_outcome()));
    }

    /// Returns the open jobs whose home zone is `zone`, in order of acceptance.
    pub fn open_jobs(&self, zone: &ZoneName) -> Vec<AcceptedJob> {
        let open = self.table.open_jobs().map(|(_, job)| job);
        let in_zone = open.filter(|job| job.home() == zone);
        let mut jobs: Vec<AcceptedJob> = in_zone.map(accepted_job).collect();
        jobs.sort_by_key(|job| job.offset);
        jobs
    }

    fn answer(&mut self, record: &RecordId, answer: Result<JobStatus, JobError>) {
        let is_match = |waiter: &JobWaiter| &waiter.record == record;
        if let Some(index) = self.waiters.iter().position(is_match) {
            let _ = self.waiters.remove(index).reply.send(answer);
        }
    }
}

/// Returns the answer if the records of the job determine it.
pub fn resolved_answer(
    job: &JobRecord,
    awaited: &AwaitedChange,
) -> Option<Result<JobStatus, JobError>> {
    match awaited {
        AwaitedChange::Accepted(entry) if !job.accepted.entry.is_same_work(entry) => {
            let text = format!(
                "the id {} belongs to another job; choose a new one",
                entry.job
            );
            Some(Err(JobError::Invalid(text)))
        }
        AwaitedChange::Cancelled if job.cancelled.is_none() && job.is_open() => None,
        AwaitedChange::Accepted(_) | AwaitedChange::Cancelled => Some(Ok(job_status(job))),
    }
}

/// Creates the error for a request that did not run and will not run.
pub fn not_run(message: String) -> JobError {
    JobError::NotRun {
        message,
        retry_after: Some(RETRY_AFTER),
    }
}

fn unknown_outcome() -> JobError {
    let text = "the log has not confirmed the request; ask again with this id";
    JobError::OutcomeUnknown(text.to_owned())
}

/// Converts a job to the form that the planner uses.
pub fn accepted_job(job: &JobRecord) -> AcceptedJob {
    let accepted = &job.accepted.entry;
    let wall = HostClock::wall_time();
    let remaining = |before: WallTime| Duration::from_millis(before.0.saturating_sub(wall.0));
    AcceptedJob {
        id: accepted.job.clone(),
        customer: accepted.customer.clone(),
        class: accepted.class.clone(),
        zone: job.home().clone(),
        offset: job.accepted.offset.0,
        accepted_at: accepted.accepted_at,
        start_within: accepted.start_before.map(remaining),
        attempts_started: job.attempts_started(),
    }
}

/// Returns the status of a job for callers.
pub fn job_status(job: &JobRecord) -> JobStatus {
    let accepted = &job.accepted.entry;
    let started = job.started.as_ref().map(|started| &started.entry);
    let ended = job.ended.as_ref().map(|ended| &ended.entry);
    JobStatus {
        id: accepted.job.to_string(),
        customer: accepted.customer.to_string(),
        class: accepted.class.to_string(),
        zone: Some(job.home().to_string()),
        phase: job_phase(job),
        reason: ended.and_then(|ended| ending_reason(&ended.ending)),
        workers: started.map_or_else(Vec::new, |started| {
            started.workers.iter().map(WorkerName::to_string).collect()
        }),
        accepted_offset: Some(job.accepted.offset.0),
        accepted_at_ms: Some(accepted.accepted_at.0),
        started_at_ms: started.map(|started| started.started_at.0),
        ended_at_ms: ended.map(|ended| ended.ended_at.0),
    }
}

fn ending_reason(ending: &JobEnding) -> Option<String> {
    match ending {
        JobEnding::Failed(reason) | JobEnding::Refused(reason) => {
            Some(reason.clone()).filter(|reason| !reason.is_empty())
        }
        JobEnding::Finished | JobEnding::Cancelled => None,
    }
}

fn job_phase(job: &JobRecord) -> JobPhase {
    match (&job.ended, &job.started) {
        (Some(ended), _) => match ended.entry.ending {
            JobEnding::Finished => JobPhase::Finished,
            JobEnding::Failed(_) => JobPhase::Failed,
            JobEnding::Cancelled => JobPhase::Cancelled,
            JobEnding::Refused(_) => JobPhase::Refused,
        },
        (None, Some(_)) => JobPhase::Running,
        (None, None) => JobPhase::Accepted,
    }
}
