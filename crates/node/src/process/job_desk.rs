//! Jobs as the log tells them, and the callers that wait for a record. The order
//! of records decides: the first acceptance and the first ending of a job count.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::{AcceptedJob, SeatTerm};
use flamingowalk_wire::caller::{JobPhase, JobStatus, JobSubmission};
use flamingowalk_wire::records as wire;
use tokio::sync::oneshot;

use crate::border::caller::JobFault;
use crate::border::log::{NewRecord, StoredRecord};

/// Version of the record bodies that this process writes.
const RECORD_SCHEMA: u32 = 1;

/// One job as the log tells it.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Acceptance.
    pub accepted: wire::JobAccepted,
    /// Offset of the acceptance record.
    pub offset: u64,
    /// Whether the caller asked for its end.
    pub cancelled: bool,
    /// Newest start, if any.
    pub started: Option<wire::JobStarted>,
    /// The ending; set once.
    pub ended: Option<wire::JobEnded>,
}

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobChange {
    /// A job was accepted.
    Accepted(JobId),
    /// The caller asked for its end.
    Cancelled(JobId),
    /// An attempt's start is recorded.
    Started(JobId, u32),
    /// The job ended.
    Ended(JobId),
}

/// A caller that waits for a record to be read back.
#[derive(Debug)]
struct JobWaiter {
    job: JobId,
    until: MonotonicTime,
    reply: oneshot::Sender<Result<JobStatus, JobFault>>,
    cancel: bool,
}

/// Jobs and waiting callers.
#[derive(Debug, Default)]
pub struct JobDesk {
    /// Jobs by identifier.
    pub jobs: BTreeMap<JobId, JobEntry>,
    /// Callers in order of arrival.
    waiters: Vec<JobWaiter>,
}

impl JobDesk {
    /// Applies a record; nothing for a repeated or unknown one.
    pub fn apply(&mut self, stored: &StoredRecord) -> Option<JobChange> {
        let body = stored.record.body.clone();
        match stored.record.kind.as_str() {
            "job-accepted" => {
                let accepted: wire::JobAccepted = serde_json::from_value(body).ok()?;
                self.accept(stored.offset, accepted)
            }
            "job-cancelled" => {
                let cancelled: wire::JobCancelled = serde_json::from_value(body).ok()?;
                let job = JobId::from(cancelled.job_id);
                let entry = self
                    .jobs
                    .get_mut(&job)
                    .filter(|entry| entry.ended.is_none())?;
                let changed = !std::mem::replace(&mut entry.cancelled, true);
                changed.then_some(JobChange::Cancelled(job))
            }
            "job-started" => {
                let started: wire::JobStarted = serde_json::from_value(body).ok()?;
                let job = JobId::from(started.job_id.as_str());
                let attempt = started.attempt;
                let entry = self.jobs.get_mut(&job)?;
                let newer = entry
                    .started
                    .as_ref()
                    .is_none_or(|known| known.attempt < attempt);
                if newer {
                    entry.started = Some(started);
                }
                newer.then_some(JobChange::Started(job, attempt))
            }
            "job-ended" => {
                let ended: wire::JobEnded = serde_json::from_value(body).ok()?;
                let job = JobId::from(ended.job_id.as_str());
                let entry = self
                    .jobs
                    .get_mut(&job)
                    .filter(|entry| entry.ended.is_none())?;
                entry.ended = Some(ended);
                Some(JobChange::Ended(job))
            }
            _ => None,
        }
    }

    fn accept(&mut self, offset: u64, accepted: wire::JobAccepted) -> Option<JobChange> {
        let job = JobId::from(accepted.job_id.as_str());
        if self.jobs.contains_key(&job) {
            return None;
        }
        let entry = JobEntry {
            accepted,
            offset,
            cancelled: false,
            started: None,
            ended: None,
        };
        self.jobs.insert(job.clone(), entry);
        Some(JobChange::Accepted(job))
    }

    /// Keeps a caller until the job's record is read back.
    pub fn wait(
        &mut self,
        job: JobId,
        until: MonotonicTime,
        cancel: bool,
        reply: oneshot::Sender<Result<JobStatus, JobFault>>,
    ) {
        self.waiters.push(JobWaiter {
            job,
            until,
            reply,
            cancel,
        });
    }

    /// Answers callers whose record was read back, and those whose time is over.
    pub fn answer_waiters(&mut self, now: MonotonicTime) {
        for waiter in std::mem::take(&mut self.waiters) {
            let entry = self.jobs.get(&waiter.job);
            let settled =
                entry.filter(|entry| !waiter.cancel || entry.cancelled || entry.ended.is_some());
            if let Some(entry) = settled {
                let _ = waiter.reply.send(Ok(entry.status()));
            } else if now >= waiter.until {
                let text = "the log has not confirmed the request; ask again with this id";
                let _ = waiter
                    .reply
                    .send(Err(JobFault::OutcomeUnknown(text.to_owned())));
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    /// Jobs of a zone that have not ended.
    pub fn open_jobs(&self, zone: &ZoneName) -> Vec<AcceptedJob> {
        let open = self.jobs.values().filter(|entry| entry.ended.is_none());
        let mut jobs: Vec<_> = open.map(JobEntry::accepted_job).collect();
        jobs.retain(|job| job.zone == *zone);
        jobs.sort_by_key(|job| job.offset);
        jobs
    }
}

impl JobEntry {
    /// The job as the planner takes it.
    pub fn accepted_job(&self) -> AcceptedJob {
        let accepted = &self.accepted;
        let wall = crate::process::host_clock::HostClock::wall();
        let left = |before: u64| Duration::from_millis(before.saturating_sub(wall.0));
        AcceptedJob {
            id: accepted.job_id.as_str().into(),
            customer: accepted.customer.as_str().into(),
            class: accepted.class.as_str().into(),
            zone: accepted.zone.as_str().into(),
            offset: self.offset,
            accepted_at: WallTime(accepted.accepted_at_ms),
            start_within: accepted.start_before_ms.map(left),
            attempts_started: self.started.as_ref().map_or(0, |started| started.attempt),
        }
    }

    /// The job as callers see it.
    pub fn status(&self) -> JobStatus {
        let accepted = &self.accepted;
        let ended = self.ended.as_ref();
        JobStatus {
            id: accepted.job_id.clone(),
            customer: accepted.customer.clone(),
            class: accepted.class.clone(),
            zone: Some(accepted.zone.clone()),
            phase: self.phase(),
            reason: ended
                .map(|e| e.reason.clone())
                .filter(|reason| !reason.is_empty()),
            workers: self
                .started
                .as_ref()
                .map(|s| s.workers.clone())
                .unwrap_or_default(),
            accepted_offset: Some(self.offset),
            accepted_at_ms: Some(accepted.accepted_at_ms),
            started_at_ms: self.started.as_ref().map(|started| started.started_at_ms),
            ended_at_ms: ended.map(|ended| ended.ended_at_ms),
        }
    }

    fn phase(&self) -> JobPhase {
        match (&self.ended, &self.started) {
            (Some(ended), _) => match ended.ending {
                wire::EndingKind::Finished => JobPhase::Finished,
                wire::EndingKind::Failed => JobPhase::Failed,
                wire::EndingKind::Cancelled => JobPhase::Cancelled,
                wire::EndingKind::Refused => JobPhase::Refused,
            },
            (None, Some(_)) => JobPhase::Running,
            (None, None) => JobPhase::Accepted,
        }
    }
}

/// The record that accepts a job.
pub fn acceptance_record(
    submission: &JobSubmission,
    zone: &ZoneName,
    config_version: u64,
    wall: WallTime,
) -> NewRecord {
    let body = wire::JobAccepted {
        job_id: submission.id.clone(),
        customer: submission.customer.clone(),
        class: submission.class.clone(),
        zone: zone.to_string(),
        config_version,
        accepted_at_ms: wall.0,
        start_before_ms: submission
            .start_within_ms
            .map(|within| wall.0.saturating_add(within)),
    };
    new_record(format!("accept/{}", submission.id), "job-accepted", &body)
}

/// The record that asks for a job's end.
pub fn cancellation_record(job: &JobId, wall: WallTime) -> NewRecord {
    let body = wire::JobCancelled {
        job_id: job.to_string(),
        requested_at_ms: wall.0,
    };
    new_record(format!("cancel/{job}"), "job-cancelled", &body)
}

/// The record of an attempt's start.
pub fn start_record(
    job: &JobId,
    attempt: u32,
    workers: &[WorkerName],
    zone: &ZoneName,
    term: SeatTerm,
    wall: WallTime,
) -> NewRecord {
    let body = wire::JobStarted {
        job_id: job.to_string(),
        attempt,
        term: term.0,
        zone: zone.to_string(),
        workers: workers.iter().map(WorkerName::to_string).collect(),
        started_at_ms: wall.0,
    };
    new_record(format!("start/{job}/{attempt}"), "job-started", &body)
}

/// The record of a job's ending.
pub fn ending_record(job: &JobId, ending: &JobEnding, term: SeatTerm, wall: WallTime) -> NewRecord {
    let (kind, reason) = match ending {
        JobEnding::Finished => (wire::EndingKind::Finished, String::new()),
        JobEnding::Failed(reason) => (wire::EndingKind::Failed, reason.clone()),
        JobEnding::Cancelled => (wire::EndingKind::Cancelled, String::new()),
        JobEnding::Refused(reason) => (wire::EndingKind::Refused, reason.clone()),
    };
    let body = wire::JobEnded {
        job_id: job.to_string(),
        ending: kind,
        reason,
        term: term.0,
        ended_at_ms: wall.0,
    };
    new_record(format!("end/{job}"), "job-ended", &body)
}

/// A record of this process's schema version.
pub fn new_record<T: serde::Serialize>(id: String, kind: &str, body: &T) -> NewRecord {
    let body = serde_json::to_value(body).unwrap_or_default();
    NewRecord {
        id,
        kind: kind.to_owned(),
        schema: RECORD_SCHEMA,
        body,
    }
}
