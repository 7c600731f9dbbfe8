//! Job requests of callers: submission, state and cancellation.

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_wire::caller::{JobStatus, JobSubmission};
use hyper::StatusCode;
use metrics::counter;
use tokio::sync::oneshot;

use crate::border::caller::{JobError, job_error_response};
use crate::connection::http_server::{WholeResponse, json_response};
use crate::process::counters::JOB_REQUESTS;
use crate::process::host_event::{EventSender, HostEvent};

/// Longest identifier of a job in bytes.
const ID_LIMIT: usize = 120;

/// Serves the submission of a job.
pub async fn submit_job(body: Bytes, events: EventSender) -> WholeResponse {
    let submission: JobSubmission = match serde_json::from_slice(&body) {
        Ok(submission) => submission,
        Err(error) => {
            let text = format!("the body is no job submission ({error}); see docs/INTERFACES.md");
            return finish_request("submit", "", Err(JobError::Invalid(text)));
        }
    };
    let id = submission.id.clone();
    if let Err(error) = check_id(&id) {
        return finish_request("submit", &id, Err(error));
    }
    let (reply, answer) = oneshot::channel();
    let event = HostEvent::JobSubmitted { submission, reply };
    finish_request("submit", &id, ask_loop(&events, event, answer).await)
}

/// Serves the question for a job's state.
pub async fn query_job(id: &str, events: EventSender) -> WholeResponse {
    let (reply, answer) = oneshot::channel();
    let event = HostEvent::JobStatusRequested {
        job: id.into(),
        reply,
    };
    finish_request("show", id, ask_loop(&events, event, answer).await)
}

/// Serves the cancellation of a job.
pub async fn cancel_job(id: &str, events: EventSender) -> WholeResponse {
    let (reply, answer) = oneshot::channel();
    let event = HostEvent::CancelRequested {
        job: id.into(),
        reply,
    };
    finish_request("cancel", id, ask_loop(&events, event, answer).await)
}

async fn ask_loop(
    events: &EventSender,
    event: HostEvent,
    answer: oneshot::Receiver<Result<JobStatus, JobError>>,
) -> Result<JobStatus, JobError> {
    let sent = events.send(event);
    sent.map_err(|_closed| JobError::NotRun {
        message: "the host is stopping; use another host".to_owned(),
        retry_after: Some(Duration::ZERO),
    })?;
    answer.await.unwrap_or_else(|_closed| {
        let text = "the host stopped before the log answered; ask again with this id";
        Err(JobError::OutcomeUnknown(text.to_owned()))
    })
}

fn finish_request(
    verb: &'static str,
    id: &str,
    result: Result<JobStatus, JobError>,
) -> WholeResponse {
    let outcome = if result.is_ok() { "done" } else { "refused" };
    counter!(JOB_REQUESTS, "verb" => verb, "outcome" => outcome).increment(1);
    match result {
        Ok(status) => json_response(StatusCode::OK, &status),
        Err(error) => job_error_response(id, &error),
    }
}

fn check_id(id: &str) -> Result<(), JobError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if id.is_empty() || id.len() > ID_LIMIT || !id.chars().all(allowed) {
        let text = format!(
            "the job id {id:?} cannot be used; choose 1 to {ID_LIMIT} letters, digits, '-', '_', '.'"
        );
        return Err(JobError::Invalid(text));
    }
    Ok(())
}
