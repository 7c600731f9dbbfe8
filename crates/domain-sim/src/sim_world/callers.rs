//! Callers of a world: what they ask, and what became of it.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::event::HostEvent;
use flamingowalk_domain::request::caller_request::{
    CallerOperation, CallerRequest, CallerResponse, RequestTicket,
};
use flamingowalk_domain::request::submission::JobSubmission;

use crate::sim_world::{HOP, JobReport, SimWorld, WorldEvent};

impl SimWorld {
    /// Submits a job whose units take `work` on a sound worker.
    pub fn submit(
        &mut self,
        host: usize,
        path: &str,
        job: JobKey,
        submission: &JobSubmission,
        work: Duration,
    ) -> RequestTicket {
        let now = self.now;
        self.jobs.entry(job).or_insert_with(|| JobReport {
            sent_at: now,
            ..JobReport::default()
        });
        self.submissions.insert(job, (submission.clone(), work));
        let operation = CallerOperation::Submit(Ok(Box::new(submission.clone())));
        self.request(host, &format!("{path}{job}"), operation, job, "submit")
    }

    /// Cancels a job.
    pub fn cancel(&mut self, host: usize, path: &str, job: JobKey) -> RequestTicket {
        self.request(
            host,
            &format!("{path}{job}"),
            CallerOperation::Cancel,
            job,
            "cancel",
        )
    }

    /// Asks for the state of a job.
    pub fn ask(&mut self, host: usize, path: &str, job: JobKey) -> RequestTicket {
        self.request(
            host,
            &format!("{path}{job}"),
            CallerOperation::Query,
            job,
            "ask",
        )
    }

    pub(super) fn request(
        &mut self,
        host: usize,
        path: &str,
        operation: CallerOperation,
        job: JobKey,
        word: &'static str,
    ) -> RequestTicket {
        self.next_request += 1;
        let ticket = RequestTicket(self.next_request);
        self.asked.insert(ticket, (job, word));
        let request = CallerRequest {
            ticket,
            host: "jobs.example".into(),
            path: path.into(),
            key: Some("key".into()),
            timeout: Some(Duration::from_secs(3)),
            operation,
        };
        let incarnation = self.hosts[host].incarnation;
        self.push(
            HOP,
            WorldEvent::ToHost(host, incarnation, HostEvent::Requested(request)),
        );
        ticket
    }

    pub(super) fn record_answer(&mut self, ticket: RequestTicket, answer: CallerResponse) {
        let now = self.now;
        if let Some((job, word)) = self.asked.get(&ticket)
            && let Some(report) = self.jobs.get_mut(job)
        {
            match (&answer, *word) {
                (CallerResponse::Accepted, "submit") => report.is_accepted = true,
                (CallerResponse::Cancelled, "cancel") => {
                    report.cancelled_at.get_or_insert(now);
                }
                _ => {}
            }
        }
        self.answers.insert(ticket, answer);
    }
}
