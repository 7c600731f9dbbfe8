//! Job requests of callers: submission, state and cancellation.

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_wire::caller::{JobStatus, JobSubmission};
use hyper::StatusCode;
use metrics::counter;
use tokio::sync::oneshot;

use crate::border::caller::{JobError, job_error_response};
use crate::connection::client_guard::BodyCharge;
use crate::connection::http_server::{BufferedResponse, json_response, run_charged};
use crate::process::counters::JOB_REQUESTS;
use crate::process::host_event::{EventSender, HostEvent};

/// Maximum length of a job identifier in bytes.
const MAX_JOB_ID_BYTES: usize = 120;

/// Handles `POST /v1/jobs`: parses the submission and passes it to the event loop.
pub async fn submit_job(
    body: Bytes,
    charge: Option<BodyCharge>,
    events: EventSender,
) -> BufferedResponse {
    let submission: JobSubmission = match serde_json::from_slice(&body) {
        Ok(submission) => submission,
        Err(error) => {
            let text = format!("the body is no job submission ({error}); see docs/INTERFACES.md");
            return finish_request("submit", "", Err(JobError::Invalid(text)));
        }
    };
    drop(body);
    let id = submission.id.clone();
    if let Err(error) = check_id(&id) {
        return finish_request("submit", &id, Err(error));
    }
    let (reply, response) = oneshot::channel();
    let event = HostEvent::JobSubmitted { submission, reply };
    let handling = async move { request_status(&events, event, response).await };
    let status = run_charged(charge, handling).await;
    finish_request("submit", &id, status.unwrap_or_else(|| Err(stopped())))
}

/// Handles `GET /v1/jobs/{id}`: responds with the state of the job.
pub async fn query_job(id: &str, events: EventSender) -> BufferedResponse {
    let (reply, response) = oneshot::channel();
    let event = HostEvent::JobStatusRequested {
        job: id.into(),
        reply,
    };
    finish_request("show", id, request_status(&events, event, response).await)
}

/// Handles `DELETE /v1/jobs/{id}`: requests the cancellation of the job.
pub async fn cancel_job(id: &str, events: EventSender) -> BufferedResponse {
    let (reply, response) = oneshot::channel();
    let event = HostEvent::CancelRequested {
        job: id.into(),
        reply,
    };
    finish_request("cancel", id, request_status(&events, event, response).await)
}

async fn request_status(
    events: &EventSender,
    event: HostEvent,
    response: oneshot::Receiver<Result<JobStatus, JobError>>,
) -> Result<JobStatus, JobError> {
    let sent = events.send(event);
    sent.map_err(|_closed| JobError::NotRun {
        message: "the host is stopping; use another host".to_owned(),
        retry_after: Some(Duration::ZERO),
    })?;
    response.await.unwrap_or_else(|_closed| Err(stopped()))
}

fn stopped() -> JobError {
    let text = "the host stopped before the log answered; ask again with this id";
    JobError::OutcomeUnknown(text.to_owned())
}

fn finish_request(
    operation: &'static str,
    id: &str,
    result: Result<JobStatus, JobError>,
) -> BufferedResponse {
    let outcome = if result.is_ok() { "done" } else { "refused" };
    counter!(JOB_REQUESTS, "verb" => operation, "outcome" => outcome).increment(1);
    match result {
        Ok(status) => json_response(StatusCode::OK, &status),
        Err(error) => job_error_response(id, &error),
    }
}

fn check_id(id: &str) -> Result<(), JobError> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if id.is_empty() || id.len() > MAX_JOB_ID_BYTES || !id.chars().all(is_allowed) {
        let text = format!(
            "the job id {id:?} cannot be used; choose 1 to {MAX_JOB_ID_BYTES} letters, digits, '-', '_', '.'"
        );
        return Err(JobError::Invalid(text));
    }
    Ok(())
}
