//! Answers an operator's question where a job would go, without accepting it.

use thiserror::Error;

use crate::prelude::*;
use crate::process::host::DomainHost;
use crate::process::planner::explain::explain_job;
use crate::process::planner::explain::report::JobExplanation;
use crate::process::request_handler::accepted_job;
use crate::request::submission::JobSubmission;

/// A job whose placement is to be explained.
#[derive(Clone, Debug)]
pub struct ExplainRequest {
    /// Queue to which the job would be submitted.
    pub queue: QueueName,
    /// Customer who would submit it.
    pub customer: Option<CustomerName>,
    /// The job, or why its body cannot be decoded.
    pub submission: Result<JobSubmission, String>,
}

/// Error of a request for an explanation.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum ExplainError {
    /// The host does not plan, but another one does.
    #[error("this host does not plan; ask the status listener of host {0}")]
    NotPlanner(HostName),
    /// No host is known to plan.
    #[error("no planner is known; check the log and its hosts, and try again")]
    NoPlanner,
    /// The host has no configuration yet.
    #[error("the host has no configuration yet; publish one, or try again")]
    NoConfig,
    /// The configuration has no such queue.
    #[error("no queue is named {0:?}; use a name of the configuration in force")]
    UnknownQueue(QueueName),
    /// The configuration has no such customer.
    #[error("no customer is named {0:?}; use a name of the configuration in force")]
    UnknownCustomer(CustomerName),
    /// The job is not valid.
    #[error("the job is not valid: {0}; correct the file")]
    Malformed(String),
    /// The event loop failed or has ended.
    #[error("the host could not answer; see its log, and try again")]
    Failed,
}

impl DomainHost {
    /// Explains where a job would go if it were submitted now. Changes no state.
    ///
    /// # Errors
    /// The host does not plan, or a submission of the job would be refused as invalid.
    pub fn explain(
        &self,
        now: MonotonicTime,
        wall: WallTime,
        request: ExplainRequest,
    ) -> Result<JobExplanation, ExplainError> {
        let submission = request.submission.map_err(ExplainError::Malformed)?;
        let checked = submission.check();
        checked.map_err(|error| ExplainError::Malformed(error.to_string()))?;
        let manifest = self.manifest.as_ref().ok_or(ExplainError::NoConfig)?;
        let Some(queue) = manifest.queues.get(&request.queue) else {
            return Err(ExplainError::UnknownQueue(request.queue));
        };
        if let Some(customer) = &request.customer
            && !manifest.customers.contains_key(customer)
        {
            return Err(ExplainError::UnknownCustomer(customer.clone()));
        }
        let planner = self.planner.as_ref();
        let Some(planner) = planner.filter(|planner| planner.is_current(now)) else {
            return Err(self.other_planner());
        };
        let accepted = accepted_job(wall, &request.queue, queue, request.customer, submission);
        Ok(explain_job(planner, now, wall, accepted))
    }

    /// Names the host that was last heard to plan, unless it has resigned or is this one.
    fn other_planner(&self) -> ExplainError {
        let heartbeat = self.job_table.heartbeat();
        let other = heartbeat
            .filter(|heartbeat| !heartbeat.has_resigned && heartbeat.host != self.identity.name);
        other.map_or(ExplainError::NoPlanner, |heartbeat| {
            ExplainError::NotPlanner(heartbeat.host.clone())
        })
    }
}
