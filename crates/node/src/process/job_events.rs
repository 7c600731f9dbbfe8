//! Job requests of callers in the event loop: validates each request, submits its
//! record and registers the caller that waits for it.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::record::{AcceptedEntry, CancelledEntry, LogEntry};
use flamingowalk_wire::caller::JobSubmission;

use crate::border::caller::JobError;
use crate::process::host_clock::HostClock;
use crate::process::host_event::LogStream;
use crate::process::host_state::HostState;
use crate::process::job_handler::{AwaitedChange, JobReply, JobWaiter, not_run, resolved_answer};
use crate::process::log_events::submit;
use crate::process::zone_view::choose_zone;

/// Time within which the record of a job request must reach the log.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional time for a record that is in the log to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a submission. The reply is sent once a record of the job resolves it.
pub fn accept_job(state: &mut HostState, submission: &JobSubmission, reply: JobReply) {
    let entry = accepted_entry(state, submission);
    let is_known = state.jobs.table.get(&entry.job).is_some();
    if !is_known && let Err(error) = check_submission(state, &entry) {
        let _ = reply.send(Err(error));
        return;
    }
    let job = entry.job.clone();
    let awaited = AwaitedChange::Accepted(entry.clone());
    let record = LogEntry::JobAccepted(entry);
    await_record(state, job, awaited, record, reply);
}

/// Submits the record, unless the records of the job already determine the answer.
fn await_record(
    state: &mut HostState,
    job: JobId,
    awaited: AwaitedChange,
    record: LogEntry,
    reply: JobReply,
) {
    let known = state.jobs.table.get(&job);
    if let Some(answer) = known.and_then(|known| resolved_answer(known, &awaited)) {
        let _ = reply.send(answer);
        return;
    }
    match submit(state, &LogStream::Jobs, record, Some(RECORD_TIMEOUT)) {
        Ok(record) => state.jobs.add_waiter(JobWaiter {
            job,
            record,
            awaited,
            expires_at: state.clock.now() + RECORD_TIMEOUT + READ_BACK_TIMEOUT,
            reply,
        }),
        Err(error) => {
            let _ = reply.send(Err(not_run(error.to_string())));
        }
    }
}

fn accepted_entry(state: &HostState, submission: &JobSubmission) -> AcceptedEntry {
    let class = state.system.classes.get(&submission.class.as_str().into());
    let customer = submission.customer.as_str().into();
    let best_zone = || class.and_then(|class| choose_zone(state, &customer, class));
    let default_zone = || best_zone().unwrap_or_else(|| state.settings.zone.clone());
    let accepted_at = HostClock::wall_time();
    let time_after = |ms| WallTime(accepted_at.0.saturating_add(ms));
    AcceptedEntry {
        job: submission.id.as_str().into(),
        customer: submission.customer.as_str().into(),
        class: submission.class.as_str().into(),
        zone: submission
            .zone
            .as_deref()
            .map_or_else(default_zone, Into::into),
        config: state.config_version,
        accepted_at,
        start_before: submission.start_within_ms.map(time_after),
    }
}

fn check_submission(state: &HostState, entry: &AcceptedEntry) -> Result<(), JobError> {
    if !state.is_ready() {
        let message = "the host is starting or draining; use another host".to_owned();
        return Err(not_run(message));
    }
    if !state.is_caught_up() {
        let message = "the host has not read the log; use another host".to_owned();
        return Err(not_run(message));
    }
    let invalid = |text: String| Err(JobError::Invalid(text));
    let AcceptedEntry {
        customer,
        class,
        zone,
        ..
    } = entry;
    if !state.system.customers.contains_key(customer) {
        return invalid(format!(
            "customer {customer} is not declared; add it to the folder"
        ));
    }
    let Some(declared) = state.system.classes.get(class) else {
        return invalid(format!(
            "job class {class} is not declared; add it to the folder"
        ));
    };
    if declared
        .customer
        .as_ref()
        .is_some_and(|owner| owner != customer)
    {
        return invalid(format!("job class {class} is not for customer {customer}"));
    }
    if !state.system.zones.contains_key(zone) {
        return invalid(format!(
            "availability zone {zone} is not declared; check its name"
        ));
    }
    Ok(())
}

/// Handles a cancellation. The reply is sent once its record is read back.
pub fn accept_cancel(state: &mut HostState, job: JobId, reply: JobReply) {
    if state.jobs.table.get(&job).is_none() {
        let _ = reply.send(Err(JobError::UnknownJob(job)));
        return;
    }
    let record = LogEntry::JobCancelled(CancelledEntry {
        job: job.clone(),
        requested_at: HostClock::wall_time(),
    });
    await_record(state, job, AwaitedChange::Cancelled, record, reply);
}
