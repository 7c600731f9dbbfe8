//! Simulated callers: their requests and the responses to them.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::event::HostEvent;
use flamingowalk_domain::request::caller_request::{
    CallerOperation, CallerRequest, CallerResponse, RequestTicket,
};
use flamingowalk_domain::request::submission::JobSubmission;

use crate::sim_world::{HOP_DELAY, JobReport, SimWorld, WorldEvent};

impl SimWorld {
    /// Submits a job whose units each take `work` on a worker of normal speed.
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

    /// Queries the state of a job.
    pub fn query(&mut self, host: usize, path: &str, job: JobKey) -> RequestTicket {
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
        label: &'static str,
    ) -> RequestTicket {
        self.next_request += 1;
        let ticket = RequestTicket(self.next_request);
        self.requests.insert(ticket, (job, label));
        let request = CallerRequest {
            ticket,
            host: "jobs.example".into(),
            path: path.into(),
            key: Some(Arc::clone(&self.caller_key)),
            timeout: Some(Duration::from_secs(3)),
            operation,
        };
        let incarnation = self.hosts[host].incarnation;
        self.push(
            HOP_DELAY,
            WorldEvent::ToHost(host, incarnation, HostEvent::Requested(request)),
        );
        ticket
    }

    pub(super) fn record_response(&mut self, ticket: RequestTicket, response: CallerResponse) {
        let now = self.now;
        if let Some((job, label)) = self.requests.get(&ticket)
            && let Some(report) = self.jobs.get_mut(job)
        {
            match (&response, *label) {
                (CallerResponse::Accepted, "submit") => report.is_accepted = true,
                (CallerResponse::Cancelled, "cancel") => {
                    report.cancelled_at.get_or_insert(now);
                }
                _ => {}
            }
        }
        self.responses.insert(ticket, response);
    }
}
