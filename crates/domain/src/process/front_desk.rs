//! Requests of callers on one host: which are refused at once, and which wait until
//! their record is in the log. A refusal that says "not run" is given only where the
//! record certainly is not in the log and never will be.

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::job_book::{BookedJob, JobBook};
use crate::process::record::{AcceptedJob, JobRecord, KeyedRecord};
use crate::process::stream::{AppendGuard, AppendOrder, AppendedAt, StreamFault, StreamName};
use crate::process::stream_follower::take_ticket;
use crate::request::front_request::{
    FrontAnswer, FrontFault, FrontRequest, FrontVerb, NotRunCause, RequestTicket,
};
use crate::request::submission::JobSubmission;
use crate::version::manifest::{DomainManifest, QueueSettings};

/// Requests that ended, by `verb` and `outcome`.
pub const REQUESTS_ENDED: &str = "flamingowalk_domain_requests_total";

/// Time for an answer of one append; a log that answers 60 times slower than its
/// usual 4 ms stays within it.
const APPEND_TIME: Duration = Duration::from_millis(700);
/// Pause before an append that the log refused is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);
/// Longest time for which a request waits for its record; callers wait 3 s by the
/// users' sheets, and a repetition at another host needs its half.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Part of a caller's own patience that may be used.
const PATIENCE_PART: u32 = 2;
/// Age of the book up to which states are told from it; callers may see a job's
/// state up to 2 s late.
const BOOK_AGE_LIMIT: Duration = Duration::from_secs(2);
/// When to come back after this host has lost the log: other hosts may still have it.
const LOST_LOG_RETRY: Duration = Duration::from_secs(1);

/// What a waiting request is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitKind {
    Submit,
    Cancel {
        is_known: bool,
    },
    /// A question for a job that this host does not know, until it has read the tail.
    Ask {
        since: MonotonicTime,
    },
}

#[derive(Debug)]
struct WaitingRequest {
    job: JobKey,
    kind: WaitKind,
    /// Record to append; nothing for a question.
    record: Option<KeyedRecord>,
    /// Append without an answer.
    pending: Option<CallTicket>,
    /// Whether some append of it may have taken effect or may still do so.
    is_doubtful: bool,
    append_at: MonotonicTime,
    give_up_at: MonotonicTime,
    received_at: MonotonicTime,
}

/// What the desk needs to see of its host.
#[derive(Debug)]
pub struct DeskView<'a> {
    /// Present time.
    pub now: MonotonicTime,
    /// Clock of the host.
    pub wall: WallTime,
    /// Configuration in force.
    pub manifest: Option<&'a DomainManifest>,
    /// What the jobs stream says.
    pub book: &'a JobBook,
    /// When the newest read that reached the tail of the jobs was sent.
    pub proved_at: Option<MonotonicTime>,
    /// Whether the log answers this host.
    pub has_log: bool,
}

/// Requests that wait, and the decisions on new ones.
#[derive(Debug, Default)]
pub struct FrontDesk {
    waiting: BTreeMap<RequestTicket, WaitingRequest>,
    /// Whether a question waits for a read of the tail.
    wants_tail: bool,
}

impl FrontDesk {
    /// Whether no request waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that wait for the log.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a question waits for a read of the tail; asked once each time.
    pub const fn take_tail_wish(&mut self) -> bool {
        std::mem::replace(&mut self.wants_tail, false)
    }

    /// Takes a request: answers it, or keeps it until its record is in the log.
    pub fn take_request(
        &mut self,
        view: &DeskView<'_>,
        request: FrontRequest,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let ticket = request.ticket;
        let verb = verb_word(&request.verb);
        let path = Arc::clone(&request.path);
        match self.admit(view, request) {
            Ok(Some(answer)) => finish(ticket, verb, answer, actions),
            Ok(None) => self.send_append(view.now, ticket, next_ticket, actions),
            Err(fault) => {
                let answer = FrontAnswer::Refused(fault);
                log::info!(
                    target: "request", request = ticket.0, path = &*path, verb,
                    answer = answer_word(&answer),
                    config = view.manifest.map_or(0, |manifest| manifest.version),
                    log_age_ms = view.proved_at.map_or(0, |at| view.now.since(at).as_millis() as u64);
                    "request refused"
                );
                finish(ticket, verb, answer, actions);
            }
        }
    }

    /// The answer, or nothing if the request waits.
    fn admit(
        &mut self,
        view: &DeskView<'_>,
        request: FrontRequest,
    ) -> Result<Option<FrontAnswer>, FrontFault> {
        let manifest = view
            .manifest
            .ok_or_else(|| not_run(NotRunCause::NoConfig, LOST_LOG_RETRY))?;
        let (name, queue) = manifest
            .find_queue(&request.host, &request.path)
            .ok_or(FrontFault::NoQueue)?;
        let customer = authorize(manifest, queue, request.key.as_deref())?;
        let rest = &request.path[queue.path_prefix.len()..];
        if rest.is_empty() {
            return match request.verb {
                FrontVerb::Ask => Self::count_pending(view, name).map(Some),
                FrontVerb::Submit(_) | FrontVerb::Cancel => Err(FrontFault::NoVerb),
            };
        }
        let job: JobKey = rest
            .parse()
            .map_err(|_fault| FrontFault::Malformed("the path names no job".to_owned()))?;
        match request.verb {
            FrontVerb::Submit(body) => {
                let submission = body.map_err(FrontFault::Malformed)?;
                let accepted = accepted_job(view.wall, name, queue, customer, *submission);
                self.admit_job(view, request.ticket, job, accepted, request.patience)
            }
            FrontVerb::Ask => self.ask_job(view, request.ticket, job, request.patience),
            FrontVerb::Cancel => self.cancel_job(view, request.ticket, job, request.patience),
        }
    }

    fn count_pending(view: &DeskView<'_>, queue: &QueueName) -> Result<FrontAnswer, FrontFault> {
        if !is_current(view) {
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY));
        }
        Ok(FrontAnswer::Pending(view.book.pending(queue)))
    }

    fn admit_job(
        &mut self,
        view: &DeskView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        accepted: AcceptedJob,
        patience: Option<Duration>,
    ) -> Result<Option<FrontAnswer>, FrontFault> {
        if view.book.job(job).is_some_and(|job| job.accepted.is_some()) {
            return Ok(Some(FrontAnswer::Accepted));
        }
        accepted
            .submission
            .check()
            .map_err(|fault| FrontFault::Malformed(fault.to_string()))?;
        check_log(view)?;
        check_room(view, &accepted.queue)?;
        let record = JobRecord::Acceptance(job, Arc::new(accepted)).encode();
        self.keep(view, ticket, job, WaitKind::Submit, Some(record), patience);
        Ok(None)
    }

    fn ask_job(
        &mut self,
        view: &DeskView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        patience: Option<Duration>,
    ) -> Result<Option<FrontAnswer>, FrontFault> {
        let phase = view.book.job(job).and_then(BookedJob::phase);
        if let Some(phase) = phase {
            // A final state never changes, so it needs no current book.
            if is_final(phase) || is_current(view) {
                return Ok(Some(FrontAnswer::Phase(phase)));
            }
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY));
        }
        if !view.has_log {
            return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY));
        }
        self.wants_tail = true;
        let kind = WaitKind::Ask { since: view.now };
        self.keep(view, ticket, job, kind, None, patience);
        Ok(None)
    }

    fn cancel_job(
        &mut self,
        view: &DeskView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        patience: Option<Duration>,
    ) -> Result<Option<FrontAnswer>, FrontFault> {
        let booked = view.book.job(job);
        let phase = booked.and_then(BookedJob::phase);
        if phase.is_some_and(is_final) {
            return Ok(Some(FrontAnswer::Cancelled));
        }
        check_log(view)?;
        // A job that this host does not know may have an acceptance under way, so
        // its cancellation is recorded as well.
        let kind = WaitKind::Cancel {
            is_known: phase.is_some(),
        };
        let record = JobRecord::Cancellation(job).encode();
        self.keep(view, ticket, job, kind, Some(record), patience);
        Ok(None)
    }

    fn keep(
        &mut self,
        view: &DeskView<'_>,
        ticket: RequestTicket,
        job: JobKey,
        kind: WaitKind,
        record: Option<KeyedRecord>,
        patience: Option<Duration>,
    ) {
        let own_limit = patience.map_or(SETTLE_LIMIT, |patience| patience / PATIENCE_PART);
        let request = WaitingRequest {
            job,
            kind,
            record,
            pending: None,
            is_doubtful: false,
            append_at: view.now,
            give_up_at: view.now + own_limit.min(SETTLE_LIMIT),
            received_at: view.now,
        };
        self.waiting.insert(ticket, request);
    }

    fn send_append(
        &mut self,
        now: MonotonicTime,
        ticket: RequestTicket,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(request) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let Some(record) = &request.record else {
            return;
        };
        let call = take_ticket(next_ticket);
        request.pending = Some(call);
        let left = Duration::from_micros(request.give_up_at.0.saturating_sub(now.0));
        actions.push(HostAction::Append {
            ticket: call,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: vec![record.clone()],
                guard: AppendGuard::None,
            },
            timeout: APPEND_TIME.min(left),
        });
    }

    /// Takes the answer of an append; whether it was one of this desk's.
    pub fn take_append(
        &mut self,
        now: MonotonicTime,
        call: CallTicket,
        result: &Result<AppendedAt, StreamFault>,
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
            Ok(_) => self.settle(ticket, actions),
            Err(fault) => {
                request.is_doubtful |= !fault.is_certain();
                request.append_at = now + REPEAT_PAUSE;
            }
        }
        true
    }

    /// Answers the requests whose job's record was read.
    pub fn note_read(&mut self, book: &JobBook, job: JobKey, actions: &mut Vec<HostAction>) {
        let Some(booked) = book.job(job) else {
            return;
        };
        let settled: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, request)| {
                request.job == job
                    && match request.kind {
                        WaitKind::Submit | WaitKind::Ask { .. } => booked.accepted.is_some(),
                        WaitKind::Cancel { .. } => booked.is_cancelled,
                    }
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in settled {
            match self.waiting.get(&ticket).map(|request| request.kind) {
                Some(WaitKind::Ask { .. }) => {
                    let phase = booked.phase();
                    let answer =
                        phase.map_or(FrontAnswer::Refused(FrontFault::NoJob), FrontAnswer::Phase);
                    self.end(ticket, answer, actions);
                }
                _ => self.settle(ticket, actions),
            }
        }
    }

    /// The record of a request is in the log.
    fn settle(&mut self, ticket: RequestTicket, actions: &mut Vec<HostAction>) {
        let answer = match self.waiting.get(&ticket).map(|request| request.kind) {
            Some(WaitKind::Cancel { is_known: true }) => FrontAnswer::Cancelled,
            Some(WaitKind::Cancel { is_known: false }) => FrontAnswer::Refused(FrontFault::NoJob),
            _ => FrontAnswer::Accepted,
        };
        self.end(ticket, answer, actions);
    }

    fn end(&mut self, ticket: RequestTicket, answer: FrontAnswer, actions: &mut Vec<HostAction>) {
        if let Some(request) = self.waiting.remove(&ticket) {
            let verb = match request.kind {
                WaitKind::Submit => "submit",
                WaitKind::Cancel { .. } => "cancel",
                WaitKind::Ask { .. } => "ask",
            };
            log::info!(
                target: "request", request = ticket.0, job = request.job.to_string().as_str(), verb,
                doubtful = request.is_doubtful, answer = answer_word(&answer);
                "request ended"
            );
            finish(ticket, verb, answer, actions);
        }
    }

    /// Repeats appends that the log refused, and answers requests whose time is over
    /// or whose question the book can answer now.
    pub fn poll(
        &mut self,
        view: &DeskView<'_>,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let now = view.now;
        let tickets: Vec<_> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            let Some(request) = self.waiting.get(&ticket) else {
                continue;
            };
            if let WaitKind::Ask { since } = request.kind
                && view.proved_at.is_some_and(|proved_at| proved_at >= since)
            {
                self.end(ticket, FrontAnswer::Refused(FrontFault::NoJob), actions);
            } else if now >= request.give_up_at || !view.has_log {
                // Another host may have what this one has lost.
                let fault = give_up_fault(request);
                self.end(ticket, FrontAnswer::Refused(fault), actions);
            } else if request.pending.is_none() && now >= request.append_at {
                self.send_append(now, ticket, next_ticket, actions);
            }
        }
    }

    /// Time since the oldest waiting request came.
    pub fn oldest_wait(&self, now: MonotonicTime) -> Duration {
        let oldest = self
            .waiting
            .values()
            .map(|request| request.received_at)
            .min();
        oldest.map_or(Duration::ZERO, |received_at| now.since(received_at))
    }
}

/// A request whose time is over has an open outcome once some append of it may have
/// taken effect, or may still be under way.
fn give_up_fault(request: &WaitingRequest) -> FrontFault {
    if request.is_doubtful || request.pending.is_some() {
        return FrontFault::Unsettled;
    }
    not_run(NotRunCause::NoLog, LOST_LOG_RETRY)
}

fn accepted_job(
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
) -> Result<Option<CustomerName>, FrontFault> {
    let customer = key.and_then(|key| manifest.keys.get(key)).cloned();
    if customer.is_none() && !queue.is_public {
        return Err(FrontFault::UnknownKey);
    }
    Ok(customer)
}

/// Refuses what this host could not record.
fn check_log(view: &DeskView<'_>) -> Result<(), FrontFault> {
    if !view.has_log {
        return Err(not_run(NotRunCause::NoLog, LOST_LOG_RETRY));
    }
    Ok(())
}

/// Refuses a job of a queue that the planner has declared full.
fn check_room(view: &DeskView<'_>, queue: &QueueName) -> Result<(), FrontFault> {
    let heartbeat = view.book.heartbeat();
    let full = heartbeat.and_then(|heartbeat| {
        let mut queues = heartbeat.full_queues.iter();
        queues.find(|full| full.queue == *queue)
    });
    match full {
        Some(full) => Err(not_run(
            NotRunCause::QueueFull,
            Duration::from_millis(full.retry_after_ms),
        )),
        None => Ok(()),
    }
}

fn is_current(view: &DeskView<'_>) -> bool {
    view.proved_at
        .is_some_and(|proved_at| view.now.since(proved_at) <= BOOK_AGE_LIMIT)
}

const fn is_final(phase: crate::request::front_request::JobPhase) -> bool {
    use crate::request::front_request::JobPhase;
    matches!(
        phase,
        JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled
    )
}

const fn not_run(cause: NotRunCause, retry_after: Duration) -> FrontFault {
    FrontFault::NotRun { cause, retry_after }
}

const fn verb_word(verb: &FrontVerb) -> &'static str {
    match verb {
        FrontVerb::Submit(_) => "submit",
        FrontVerb::Ask => "ask",
        FrontVerb::Cancel => "cancel",
    }
}

/// Word for log lines and counters.
pub const fn answer_word(answer: &FrontAnswer) -> &'static str {
    match answer {
        FrontAnswer::Accepted => "accepted",
        FrontAnswer::Phase(phase) => phase.word(),
        FrontAnswer::Pending(_) => "pending",
        FrontAnswer::Cancelled => "cancelled",
        FrontAnswer::Refused(fault) => match fault {
            FrontFault::NoQueue => "no-queue",
            FrontFault::UnknownKey => "unknown-key",
            FrontFault::Malformed(_) => "malformed",
            FrontFault::NoVerb => "no-verb",
            FrontFault::NoJob => "no-job",
            FrontFault::NotRun { cause, .. } => cause.word(),
            FrontFault::Unsettled => "unsettled",
        },
    }
}

fn finish(
    ticket: RequestTicket,
    verb: &'static str,
    answer: FrontAnswer,
    actions: &mut Vec<HostAction>,
) {
    counter!(REQUESTS_ENDED, "verb" => verb, "outcome" => answer_word(&answer)).increment(1);
    actions.push(HostAction::Reply(ticket, answer));
}
