//! What happened in a trial, as a table or as JSON.

use flamingowalk_wire::caller::{JobPhase, JobStatus};
use serde::Serialize;

use crate::exit::CommandError;
use crate::output::{OutputFormat, TextTable, render_json};

/// One call of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct CallLine {
    /// Request identifier.
    pub id: String,
    /// Entry host that took the call.
    pub host: String,
    /// Customer.
    pub customer: String,
    /// Answer, or the error.
    pub result: Result<String, String>,
}

/// Everything a trial did.
#[derive(Clone, Debug, Serialize)]
pub struct TryReport {
    /// Example that ran.
    pub example: String,
    /// Entry hosts.
    pub hosts: usize,
    /// Workers.
    pub workers: usize,
    /// Configuration version in force.
    pub config_version: u64,
    /// Calls in order.
    pub calls: Vec<CallLine>,
    /// Jobs in order.
    pub jobs: Vec<JobStatus>,
}

impl TryReport {
    /// The report as text; a fault when a call has no answer or a job has not finished.
    ///
    /// # Errors
    /// [`CommandFault::Refused`] with the same text.
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
        let mut calls = TextTable::with_heads(&["CALL", "CUSTOMER", "ENTRY HOST", "RESULT"]);
        for call in &self.calls {
            let result = match &call.result {
                Ok(answer) => format!("answered: {answer}"),
                Err(error) => format!("NOT ANSWERED: {error}"),
            };
            calls.add(vec![
                call.id.clone(),
                call.customer.clone(),
                call.host.clone(),
                result,
            ]);
        }
        let mut jobs = TextTable::with_heads(&[
            "JOB", "CLASS", "ZONE", "PHASE", "ACCEPTED", "STARTED", "ENDED", "WORKERS",
        ]);
        for job in &self.jobs {
            jobs.add(job_cells(job));
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

fn job_cells(job: &JobStatus) -> Vec<String> {
    let accepted = job.accepted_at_ms.unwrap_or_default();
    let after = |time: Option<u64>| {
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
        after(job.started_at_ms),
        after(job.ended_at_ms),
        job.workers.join(" "),
    ]
}
