//! Handles the requests of callers on one host: refuses some at once and holds the others
//! until their record is in the log. A refusal with [`CallerError::NotRun`] is given only
//! if the record certainly is not in the log and never will be.

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::job_table::{JobTable, RecordedJob};
use crate::process::record::{AcceptedJob, JobRecord, KeyedRecord};
use crate::process::stream::{AppendCondition, AppendOrder, AppendedAt, StreamError, StreamName};
use crate::process::stream_follower::allocate_ticket;
use crate::request::caller_request::{
    CallerError, CallerOperation, CallerRequest, CallerResponse, NotRunCause, RequestTicket,
};
use crate::request::submission::JobSubmission;
use crate::version::manifest::{DomainManifest, QueueSettings};

/// Counter of requests that ended, by `verb` and `outcome`.
pub const REQUESTS_ENDED: &str = "flamingowalk_domain_requests_total";

/// Counter of jobs that were rejected because their queue is full, by `queue` and `customer`.
pub const JOBS_REJECTED: &str = "flamingowalk_domain_jobs_rejected_total";

/// Age up to which the planner's list of full queues counts: five heartbeats, and longer than a
/// successor needs to take over.
const MAX_FULL_LIST_AGE: Duration = Duration::from_millis(1_500);
/// Timeout of one append: a log that answers 60 times slower than its usual 4 ms stays
/// within it.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Limit of the copies of an append that may all take effect: more would only add to the load
/// of a slow log. The last one has until the request is given up.
const MAX_DOUBTFUL_COPIES: u32 = 2;
/// Delay before a failed append is sent again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest time for which a request waits for its record. Callers time out after 3 s, and
/// half of that is left for a retry at another host.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(1_500);
/// A request waits for at most the caller's own timeout divided by this, so that the
/// caller can retry at another host.
const CALLER_TIMEOUT_DIVISOR: u32 = 2;
/// Longest time for which a request whose outcome is unknown waits to learn it, from its
/// record or its answer: callers that are told so cannot send an unsafe request again.
const MAX_RESOLUTION_WAIT: Duration = Duration::from_millis(2_700);
/// The same as a share of the caller's own timeout.
const RESOLUTION_SHARE: f64 = 0.9;
/// Age of the job table up to which queries are answered from it: callers may see a job's
/// state up to 2 s late.
const MAX_JOB_TABLE_AGE: Duration = Duration::from_secs(2);
/// Retry delay given to callers while this host cannot reach the log. It is short, since
/// other hosts may still reach the log.
const LOST_LOG_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Kind of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitKind {
    Submit,
    Cancel {
        /// Whether this host knew the job when the request came.
        is_known: bool,
    },
    /// A query for a job that this host does not know. It waits until a read sent at or
    /// after `since` has reached the tail of the jobs stream.
    Read {
        since: MonotonicTime,
    },
}

#[derive(Debug)]
struct WaitingRequest {
    job: JobKey,
    kind: WaitKind,
    /// Record to append; `None` for a query.
    record: Option<KeyedRecord>,
    /// The append in flight, if any.
    pending: Option<CallTicket>,
    /// Whether some append of the record may have taken effect or may still do so.
    is_outcome_unknown: bool,
    /// Number of appends of the record that may have taken effect or may still do so.
    doubtful_copies: u32,
    append_at: MonotonicTime,
    expires_at: MonotonicTime,
    /// Until when it waits if its outcome is unknown.
    resolve_by: MonotonicTime,
    received_at: MonotonicTime,
}

/// State of the host on which decisions about requests depend.
#[derive(Debug)]
pub struct HostView<'a> {
    /// Current time.
    pub now: MonotonicTime,
    /// Wall clock of the host.
    pub wall: WallTime,
    /// Configuration in force.
    pub manifest: Option<&'a DomainManifest>,
    /// State read from the jobs stream.
    pub job_table: &'a JobTable,
    /// When the newest read that reached the tail of the jobs stream was sent.
    pub confirmed_at: Option<MonotonicTime>,
    /// Whether the log answers this host.
    pub has_log: bool,
}

/// Decides about new requests and holds those that wait.
#[derive(Debug, Default)]
pub struct RequestHandler {
    waiting: BTreeMap<RequestTicket, WaitingRequest>,
    /// Whether a query needs a read of the tail that was not requested yet.
    wants_tail_read: bool,
}

impl RequestHandler {
    /// Whether no request waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests that wait for the log.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a query needs a read of the tail, and clears that mark.
    pub const fn take_tail_request(&mut self) -> bool {
        std::mem::replace(&mut self.wants_tail_read, false)
    }

    /// Answers a request, or holds it until its record is in the log.
    pub fn handle_request(
        &mut self,
        view: &HostView<'_>,
        request: CallerRequest,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let ticket = request.ticket;
        let verb = operation_label(&request.operation);
        let path = Arc::clone(&request.path);
        match self.admit(view, request) {
            Ok(Some(answer)) => send_response(ticket, verb, answer, actions),
            Ok(None) => self.send_append(view.now, ticket, last_ticket, actions),
            Err(error) => {
                let answer = CallerResponse::Refused(error);
                log::info!(
                    target: "request", request = ticket.0, path = &*path, verb,
                    answer = response_label(&answer),
                    config = view.manifest.map_or(0, |manifest| manifest.version),
                    log_age_ms = view.confirmed_at.map_or(0, |at| view.now.since(at).as_millis() as u64);
                    "request refused"
                );
                send_response(ticket, verb, answer, actions);
            }
        }
    }

    /// Returns the answer, or `None` if the request waits.
    fn admit(
        &mut self,
        view: &HostView<'_>,
        request: CallerRequest,
    ) -> Result<Option<CallerResponse>, CallerError> {
        let key = request.key.as_deref();
        let (name, queue, customer) = find_queue(view.manifest, &request.host, &request.path, key)?;
        let rest = &request.path[queue.path_prefix.len()..];
        if rest.is_empty() {
            return match request.operation {
                CallerOperation::Query => Self::count_pending(view, name).map(Some),
                CallerOperation::Submit(_) | CallerOperation::Cancel => Err(CallerError::NoMethod),
            };
        }
        let job = parse_job(rest)?;
        match request.operation {
            CallerOperation::Submit(body) => {
                let submission = body.map_err(CallerError::Malformed)?;
                let accepted = accepted_job(view.wall, name, queue, customer, *submission);
                self.admit_job(view, request.ticket, job, accepted, request.timeout)
            }
            CallerOperation::Query => self.query_job(view, request.ticket, job, request.timeout),
            CallerOperation::Cancel => self.cancel_job(view, request.ticket, job, request.timeout),
        }
    }

    fn count_pending(
        view: &HostView<'_>,
        queue: &QueueName,
    ) -> Result<CallerResponse, CallerError> {
        if !is_current(view) {
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY_DELAY));
        }
        Ok(CallerResponse::Pending(view.job_table.pending(queue)))
    }

    fn admit_job(
        &mut self,
        view: &HostView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        accepted: AcceptedJob,
        timeout: Option<Duration>,
    ) -> Result<Option<CallerResponse>, CallerError> {
        if view
            .job_table
            .job(job)
            .is_some_and(|job| job.accepted.is_some())
        {
            return Ok(Some(CallerResponse::Accepted));
        }
        accepted
            .submission
            .check()
            .map_err(|error| CallerError::Malformed(error.to_string()))?;
        check_log(view)?;
        check_queue_capacity(view, job, &accepted)?;
        let record = JobRecord::Acceptance(job, Arc::new(accepted)).encode();
        self.add_waiting(view, ticket, job, WaitKind::Submit, Some(record), timeout);
        Ok(None)
    }

    fn query_job(
        &mut self,
        view: &HostView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        timeout: Option<Duration>,
    ) -> Result<Option<CallerResponse>, CallerError> {
        let phase = view.job_table.job(job).and_then(RecordedJob::phase);
        if let Some(phase) = phase {
            // A final state never changes, so an outdated job table suffices.
            if is_final(phase) || is_current(view) {
                return Ok(Some(CallerResponse::Phase(phase)));
            }
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY_DELAY));
        }
        if !view.has_log {
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY_DELAY));
        }
        self.wants_tail_read = true;
        let kind = WaitKind::Read { since: view.now };
        self.add_waiting(view, ticket, job, kind, None, timeout);
        Ok(None)
    }

    fn cancel_job(
        &mut self,
        view: &HostView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        timeout: Option<Duration>,
    ) -> Result<Option<CallerResponse>, CallerError> {
        let recorded_job = view.job_table.job(job);
        let phase = recorded_job.and_then(RecordedJob::phase);
        if phase.is_some_and(is_final) {
            return Ok(Some(CallerResponse::Cancelled));
        }
        check_log(view)?;
        // The acceptance of a job that this host does not know may be in flight, so its
        // cancellation is recorded as well.
        // Until this host has read the jobs stream, it cannot say that there is no such job.
        let kind = WaitKind::Cancel {
            is_known: phase.is_some() || view.confirmed_at.is_none(),
        };
        let record = JobRecord::Cancellation(job).encode();
        self.add_waiting(view, ticket, job, kind, Some(record), timeout);
        Ok(None)
    }

    fn add_waiting(
        &mut self,
        view: &HostView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        kind: WaitKind,
        record: Option<KeyedRecord>,
        timeout: Option<Duration>,
    ) {
        let caller_limit =
            timeout.map_or(MAX_REQUEST_WAIT, |timeout| timeout / CALLER_TIMEOUT_DIVISOR);
        let resolution_limit = timeout.map_or(MAX_RESOLUTION_WAIT, |timeout| {
            timeout.mul_f64(RESOLUTION_SHARE)
        });
        let request = WaitingRequest {
            job,
            kind,
            record,
            pending: None,
            is_outcome_unknown: false,
            doubtful_copies: 0,
            append_at: view.now,
            expires_at: view.now + caller_limit.min(MAX_REQUEST_WAIT),
            resolve_by: view.now + resolution_limit.min(MAX_RESOLUTION_WAIT),
            received_at: view.now,
        };
        self.waiting.insert(ticket, request);
    }

    fn send_append(
        &mut self,
        now: MonotonicTime,
        ticket: RequestTicket,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(request) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let Some(record) = &request.record else {
            return;
        };
        let call = allocate_ticket(last_ticket);
        request.pending = Some(call);
        let is_last_copy = request.doubtful_copies + 1 >= MAX_DOUBTFUL_COPIES;
        let timeout = if is_last_copy {
            request.resolve_by.since(now)
        } else {
            APPEND_TIMEOUT.min(request.expires_at.since(now))
        };
        actions.push(HostAction::Append {
            ticket: call,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: vec![record.clone()],
                condition: AppendCondition::None,
            },
            timeout,
        });
    }

    /// Handles the result of an append. Returns whether this handler sent the append.
    pub fn handle_append_result(
        &mut self,
        now: MonotonicTime,
        call: CallTicket,
        result: &Result<AppendedAt, StreamError>,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        let found = self
            .waiting
            .iter_mut()
            .find(|(_, request)| request.pending == Some(call));
        let Some((ticket, request)) = found else {
            return false;
        };
        let ticket = *ticket;
        request.pending = None;
        match result {
            Ok(_) => self.complete_recorded(ticket, actions),
            Err(error) => {
                request.is_outcome_unknown |= !error.is_definite();
                request.doubtful_copies += u32::from(!error.is_definite());
                request.append_at = now + APPEND_RETRY_DELAY;
            }
        }
        true
    }

    /// Answers the requests that waited for a record of this job.
    pub fn handle_record(
        &mut self,
        job_table: &JobTable,
        job: JobKey,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(recorded_job) = job_table.job(job) else {
            return;
        };
        let resolved: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, request)| {
                request.job == job
                    && match request.kind {
                        WaitKind::Submit | WaitKind::Read { .. } => recorded_job.accepted.is_some(),
                        WaitKind::Cancel { .. } => recorded_job.is_cancelled,
                    }
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in resolved {
            match self.waiting.get(&ticket).map(|request| request.kind) {
                Some(WaitKind::Read { .. }) => {
                    let phase = recorded_job.phase();
                    let answer = phase.map_or(
                        CallerResponse::Refused(CallerError::NoJob),
                        CallerResponse::Phase,
                    );
                    self.complete(ticket, answer, actions);
                }
                _ => self.complete_recorded(ticket, actions),
            }
        }
    }

    /// Answers a request whose record is in the log.
    fn complete_recorded(&mut self, ticket: RequestTicket, actions: &mut Vec<HostAction>) {
        let answer = match self.waiting.get(&ticket).map(|request| request.kind) {
            Some(WaitKind::Cancel { is_known: true }) => CallerResponse::Cancelled,
            Some(WaitKind::Cancel { is_known: false }) => {
                CallerResponse::Refused(CallerError::NoJob)
            }
            _ => CallerResponse::Accepted,
        };
        self.complete(ticket, answer, actions);
    }

    fn complete(
        &mut self,
        ticket: RequestTicket,
        answer: CallerResponse,
        actions: &mut Vec<HostAction>,
    ) {
        if let Some(request) = self.waiting.remove(&ticket) {
            let verb = match request.kind {
                WaitKind::Submit => "submit",
                WaitKind::Cancel { .. } => "cancel",
                WaitKind::Read { .. } => "ask",
            };
            log::info!(
                target: "request", request = ticket.0, job = request.job.to_string().as_str(), verb,
                doubtful = request.is_outcome_unknown, answer = response_label(&answer);
                "request ended"
            );
            send_response(ticket, verb, answer, actions);
        }
    }

    /// Sends failed appends again, and answers requests that have expired and queries
    /// that the job table can answer by now.
    pub fn poll(
        &mut self,
        view: &HostView<'_>,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let now = view.now;
        let tickets: Vec<_> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.waiting.get(&ticket) else {
                continue;
            };
            if let WaitKind::Read { since } = request.kind
                && view
                    .confirmed_at
                    .is_some_and(|confirmed_at| confirmed_at >= since)
            {
                self.complete(ticket, CallerResponse::Refused(CallerError::NoJob), actions);
            } else if now >= request.expires_at || !view.has_log {
                // Without the log the caller is answered at once: another host may reach it.
                // Where the job may be accepted, the record or the answer may still come.
                let is_unknown = request.is_outcome_unknown || request.pending.is_some();
                if !is_unknown || now >= request.resolve_by {
                    let error = expiry_error(request);
                    self.complete(ticket, CallerResponse::Refused(error), actions);
                }
            } else if request.pending.is_none()
                && now >= request.append_at
                && request.doubtful_copies < MAX_DOUBTFUL_COPIES
            {
                self.send_append(now, ticket, last_ticket, actions);
            }
        }
    }

    /// Returns the time since the oldest waiting request came; zero if none waits.
    pub fn oldest_wait(&self, now: MonotonicTime) -> Duration {
        let oldest = self
            .waiting
            .values()
            .map(|request| request.received_at)
            .min();
        oldest.map_or(Duration::ZERO, |received_at| now.since(received_at))
    }
}

/// Returns the error for a request that has expired. Its outcome is unknown if some append
/// of it may have taken effect or may still be in flight.
fn expiry_error(request: &WaitingRequest) -> CallerError {
    if request.is_outcome_unknown || request.pending.is_some() {
        return CallerError::OutcomeUnknown;
    }
    not_run(NotRunCause::NoLog, LOST_LOG_RETRY_DELAY)
}

/// Checks a submission before its body is read: the errors are those of a complete request.
/// Returns the customer, if the request has a valid key.
///
/// # Errors
/// The submission would be refused whatever its body is.
pub fn check_submission_head(
    manifest: Option<&DomainManifest>,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Option<CustomerName>, CallerError> {
    let (_, queue, customer) = find_queue(manifest, host, path, key)?;
    let rest = &path[queue.path_prefix.len()..];
    if rest.is_empty() {
        return Err(CallerError::NoMethod);
    }
    parse_job(rest)?;
    Ok(customer)
}

/// Returns the queue that a request addresses, and its customer.
fn find_queue<'a>(
    manifest: Option<&'a DomainManifest>,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<(&'a QueueName, &'a QueueSettings, Option<CustomerName>), CallerError> {
    let manifest = manifest.ok_or_else(|| not_run(NotRunCause::NoConfig, LOST_LOG_RETRY_DELAY))?;
    let (name, queue) = manifest
        .find_queue(host, path)
        .ok_or(CallerError::NoQueue)?;
    let customer = authorize(manifest, queue, key)?;
    Ok((name, queue, customer))
}

fn parse_job(text: &str) -> Result<JobKey, CallerError> {
    let job = text.parse();
    job.map_err(|_error| CallerError::Malformed("the path names no job".to_owned()))
}

/// Returns the job that an accepted submission becomes.
pub(super) fn accepted_job(
    wall: WallTime,
    name: &QueueName,
    queue: &QueueSettings,
    customer: Option<CustomerName>,
    submission: JobSubmission,
) -> AcceptedJob {
    AcceptedJob {
        queue: name.clone(),
        service: queue.service.clone(),
        customer,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        stretch: queue.stretch,
        target_latency_ms: queue.target_latency.as_millis() as u64,
        accepted_at: wall.0,
        submission,
    }
}

fn authorize(
    manifest: &DomainManifest,
    queue: &QueueSettings,
    key: Option<&str>,
) -> Result<Option<CustomerName>, CallerError> {
    let customer = key.and_then(|key| manifest.keys.get(key)).cloned();
    if customer.is_none() && !queue.is_public {
        return Err(CallerError::UnknownKey);
    }
    Ok(customer)
}

/// Refuses requests that need an append while the log cannot be reached.
fn check_log(view: &HostView<'_>) -> Result<(), CallerError> {
    if !view.has_log {
        return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY_DELAY));
    }
    Ok(())
}

/// Refuses a job of a queue that the planner has declared full for its customer. Only a fresh
/// list counts: the planner may be lost, or this host may read the log late.
fn check_queue_capacity(
    view: &HostView<'_>,
    job: JobKey,
    accepted: &AcceptedJob,
) -> Result<(), CallerError> {
    if !is_current(view) {
        return Ok(());
    }
    let since = view.now - MAX_FULL_LIST_AGE;
    let Some(heartbeat) = view.job_table.heartbeat_since(since) else {
        return Ok(());
    };
    let queues = heartbeat.full_queues.iter();
    let shares = heartbeat.full_shares.iter();
    let shares = shares.filter(|full| full.customer == accepted.customer);
    let mut full = queues.chain(shares);
    match full.find(|full| full.queue == accepted.queue) {
        Some(full) => {
            let customer = accepted.customer.as_ref();
            counter!(
                JOBS_REJECTED, "queue" => accepted.queue.to_string(),
                "customer" => customer.map_or_else(|| "none".to_owned(), ToString::to_string),
            )
            .increment(1);
            let retry_after = Duration::from_millis(full.retry_after_ms);
            Err(not_run(
                NotRunCause::QueueFull,
                with_jitter(retry_after, job),
            ))
        }
        None => Ok(()),
    }
}

/// Returns a delay of three quarters to five quarters of the given one, by job, so that callers
/// that were rejected together do not return together.
fn with_jitter(delay: Duration, job: JobKey) -> Duration {
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let share = (job.0.wrapping_mul(MULTIPLIER) >> 32) as f64 / f64::from(u32::MAX);
    delay.mul_f64(0.75 + share / 2.0)
}

fn is_current(view: &HostView<'_>) -> bool {
    view.confirmed_at
        .is_some_and(|confirmed_at| view.now.since(confirmed_at) <= MAX_JOB_TABLE_AGE)
}

const fn is_final(phase: crate::request::caller_request::JobPhase) -> bool {
    use crate::request::caller_request::JobPhase;
    matches!(
        phase,
        JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled
    )
}

const fn not_run(cause: NotRunCause, retry_after: Duration) -> CallerError {
    CallerError::NotRun { cause, retry_after }
}

const fn operation_label(operation: &CallerOperation) -> &'static str {
    match operation {
        CallerOperation::Submit(_) => "submit",
        CallerOperation::Query => "ask",
        CallerOperation::Cancel => "cancel",
    }
}

/// Returns the label of a response in log lines and counters.
pub const fn response_label(answer: &CallerResponse) -> &'static str {
    match answer {
        CallerResponse::Accepted => "accepted",
        CallerResponse::Phase(phase) => phase.label(),
        CallerResponse::Pending(_) => "pending",
        CallerResponse::Cancelled => "cancelled",
        CallerResponse::Refused(error) => match error {
            CallerError::NoQueue => "no-queue",
            CallerError::UnknownKey => "unknown-key",
            CallerError::Malformed(_) => "malformed",
            CallerError::NoMethod => "no-verb",
            CallerError::NoJob => "no-job",
            CallerError::NotRun { cause, .. } => cause.label(),
            CallerError::OutcomeUnknown => "unsettled",
        },
    }
}

/// Counts a request that was answered.
pub fn count_response(verb: &'static str, answer: &CallerResponse) {
    counter!(REQUESTS_ENDED, "verb" => verb, "outcome" => response_label(answer)).increment(1);
}

fn send_response(
    ticket: RequestTicket,
    verb: &'static str,
    answer: CallerResponse,
    actions: &mut Vec<HostAction>,
) {
    count_response(verb, &answer);
    actions.push(HostAction::Reply(ticket, answer));
}
