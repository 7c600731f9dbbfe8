//! Report of a trial run, as a table or as JSON.

use flamingowalk_wire::caller::{JobPhase, JobStatus};
use serde::Serialize;

use crate::exit::CommandError;
use crate::output::{OutputFormat, TextTable, render_json};

/// One call of a trial run.
#[derive(Clone, Debug, Serialize)]
pub struct CallLine {
    /// Request identifier.
    pub id: String,
    /// Entry host that the call was sent to.
    pub host: String,
    /// Customer of the call.
    pub customer: String,
    /// Text of the response or of the error.
    pub result: Result<String, String>,
}

/// Everything that a trial run did.
#[derive(Clone, Debug, Serialize)]
pub struct TryReport {
    /// Example that ran.
    pub example: String,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of workers.
    pub workers: usize,
    /// Configuration version in force.
    pub config_version: u64,
    /// Calls in the order of sending.
    pub calls: Vec<CallLine>,
    /// Jobs in the order of submission.
    pub jobs: Vec<JobStatus>,
}

impl TryReport {
    /// Renders the report if every call was answered and every job has finished.
    ///
    /// # Errors
    /// Returns [`CommandError::Refused`] with the same text if a call failed or a job has
    /// not finished.
    pub fn finish(&self, output: OutputFormat) -> Result<String, CommandError> {
        let text = match output {
            OutputFormat::Json => render_json(self),
            OutputFormat::Table => self.render(),
        };
        let answered = self.calls.iter().all(|call| call.result.is_ok());
        let finished = self.jobs.iter().all(|job| job.phase == JobPhase::Finished);
        if answered && finished {
            Ok(text)
        } else {
            Err(CommandError::Refused(text))
        }
    }

    fn render(&self) -> String {
        let mut calls = TextTable::with_header(&["CALL", "CUSTOMER", "ENTRY HOST", "RESULT"]);
        for call in &self.calls {
            let result = match &call.result {
                Ok(answer) => format!("answered: {answer}"),
                Err(error) => format!("NOT ANSWERED: {error}"),
            };
            calls.add_row(vec![
                call.id.clone(),
                call.customer.clone(),
                call.host.clone(),
                result,
            ]);
        }
        let mut jobs = TextTable::with_header(&[
            "JOB", "CLASS", "ZONE", "PHASE", "ACCEPTED", "STARTED", "ENDED", "WORKERS",
        ]);
        for job in &self.jobs {
            jobs.add_row(job_row(job));
        }
        let answered = self.calls.iter().filter(|call| call.result.is_ok()).count();
        let finished = self
            .jobs
            .iter()
            .filter(|job| job.phase == JobPhase::Finished)
            .count();
        format!(
            "{}: {} entry hosts, {} workers, config{}\n\n{}\n{}\n\
             {answered} of {} calls answered, {finished} of {} jobs finished\n",
            self.example,
            self.hosts,
            self.workers,
            self.config_version,
            calls.render(),
            jobs.render(),
            self.calls.len(),
            self.jobs.len()
        )
    }
}

fn job_row(job: &JobStatus) -> Vec<String> {
    let accepted = job.accepted_at_ms.unwrap_or_default();
    let elapsed = |time: Option<u64>| {
        time.map_or_else(
            || "-".to_owned(),
            |time| format!("+{}ms", time.saturating_sub(accepted)),
        )
    };
    vec![
        job.id.clone(),
        job.class.clone(),
        job.zone.clone().unwrap_or_default(),
        job.phase.to_string(),
        job.accepted_offset
            .map_or_else(|| "-".to_owned(), |offset| format!("offset {offset}")),
        elapsed(job.started_at_ms),
        elapsed(job.ended_at_ms),
        job.workers.join(" "),
    ]
}
