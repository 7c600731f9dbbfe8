//! One host of a domain: follows the log, answers callers, and plans while it is the
//! leader. It owns all state and handles one event at a time.

mod config;
mod dump;
pub mod explain;
pub mod gauges;
mod handover;
mod leadership;

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::election::{CandidateIdentity, ElectionProgress, LeaderElection};
use crate::process::event::HostEvent;
use crate::process::host::handover::EndHandover;
use crate::process::job_table::{JobTable, TableChange};
use crate::process::planner::evacuation::{ClosedZones, needs_orders_read};
use crate::process::planner::state::PlanContext;
use crate::process::planner::{PlanLimits, PlannerState};
use crate::process::record::JobRecord;
use crate::process::request_handler::{HostView, RequestHandler};
use crate::process::stream::{AppendedAt, StreamBody, StreamError, StreamName, StreamRecord};
use crate::process::stream_follower::{FollowOutput, StreamFollower};
use crate::process::worker_report::WorkerReport;
use crate::request::caller_request::CallerRequest;
use crate::version::manifest::DomainManifest;
use crate::version::wave::WaveOrder;

/// Counter of records that could not be used, by `stream`.
pub const RECORDS_SKIPPED: &str = "flamingowalk_domain_records_skipped_total";
/// Counter of failed reads of the log, by `cause`.
pub const READS_FAILED: &str = "flamingowalk_domain_reads_failed_total";

/// Minimum time between reads of the jobs stream on a host that does not plan. Callers may
/// see a state 2 s late, and the planner's silence has to be noticed within about a second.
const FOLLOW_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between reads of the configuration, which has to be in force within 2 s.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between reads of the workers' reports.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the newest response of the log from which a host counts as disconnected from it: a
/// read waits 1 s at the tail, and its response may take half a second more.
const MAX_LOG_SILENCE: Duration = Duration::from_millis(1_500);
/// Consecutive failed reads from which a host counts as disconnected from the log. A single
/// failure may be a connection that was reset.
const LOG_FAILURE_LIMIT: u32 = 2;
/// Interval at which the gauges are set; collectors scrape them every few seconds.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the planner removes the records of jobs that ended longer ago than
/// their status is retained.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which the planner shortens the records of ended jobs.
const COMPACTION_INTERVAL: Duration = Duration::from_secs(1);
/// Limit of the records that are shortened at once, so that starts do not wait behind them.
const MAX_COMPACTED_RECORDS: usize = 1_000;
/// Time for which a starting host reads the configuration before the jobs: it accepts jobs
/// once it has the configuration, and all hosts may start at once.
const CONFIG_LEAD: Duration = Duration::from_secs(1);

/// Identity and limits of a host.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name of the host.
    pub name: HostName,
    /// Random number chosen when the process started.
    pub nonce: u64,
    /// Share of a core that the host may use.
    pub cpu_share: f64,
    /// Bounds of the deployment.
    pub limits: PlanLimits,
}

/// A host of a domain.
#[derive(Debug)]
pub struct DomainHost {
    identity: HostIdentity,
    manifest: Option<Arc<DomainManifest>>,
    waves: BTreeMap<WaveNumber, Arc<WaveOrder>>,
    /// Waves of the reading of the operator's stream that is not complete yet.
    wave_reading: Option<BTreeMap<WaveNumber, Arc<WaveOrder>>>,
    /// Zones in which the operator lets nothing start.
    closed_zones: ClosedZones,
    /// Evacuated zones of the reading of the operator's stream that is not complete yet.
    zone_reading: Option<BTreeSet<ZoneName>>,
    config: StreamFollower,
    jobs: StreamFollower,
    /// Follows the workers stream while this host plans or is about to.
    workers: Option<StreamFollower>,
    /// Newest report of each worker; the planner starts from these.
    reports: BTreeMap<WorkerName, Arc<WorkerReport>>,
    /// Reports of the reading of the workers stream that is not complete yet.
    report_reading: Option<BTreeMap<WorkerName, Arc<WorkerReport>>>,
    /// State of the jobs stream at one offset.
    job_table: JobTable,
    /// Records of the reading of the jobs stream that is not complete yet.
    job_reading: Option<JobTable>,
    request_handler: RequestHandler,
    election: LeaderElection,
    planner: Option<PlannerState>,
    /// Ends that a superseded planner of this host saw and could not record.
    handover: EndHandover,
    last_ticket: u64,
    is_draining: bool,
    next_expiry_at: MonotonicTime,
    next_compaction_at: MonotonicTime,
    started_at: MonotonicTime,
    next_gauges_at: MonotonicTime,
    was_log_reachable: bool,
}

impl DomainHost {
    /// Returns a host that has read nothing yet.
    pub fn new(identity: HostIdentity, now: MonotonicTime) -> Self {
        let candidate = CandidateIdentity {
            host: identity.name.clone(),
            nonce: identity.nonce,
            cpu_share: identity.cpu_share,
        };
        Self {
            election: LeaderElection::new(candidate, now),
            identity,
            manifest: None,
            waves: BTreeMap::new(),
            wave_reading: None,
            closed_zones: ClosedZones::new(),
            zone_reading: None,
            config: StreamFollower::new(StreamName::Config, CONFIG_READ_INTERVAL, now),
            jobs: StreamFollower::new(StreamName::Jobs, FOLLOW_READ_INTERVAL, now),
            workers: None,
            reports: BTreeMap::new(),
            report_reading: None,
            job_table: JobTable::default(),
            job_reading: None,
            request_handler: RequestHandler::default(),
            planner: None,
            handover: EndHandover::default(),
            last_ticket: 0,
            is_draining: false,
            next_expiry_at: now,
            next_compaction_at: now,
            started_at: now,
            next_gauges_at: now,
            was_log_reachable: false,
        }
    }

    /// Returns a host that has read nothing yet and takes the place of this one in its process.
    /// Answers to calls of this one are ignored.
    #[must_use]
    pub fn restarted(&self, nonce: u64, now: MonotonicTime) -> Self {
        let identity = HostIdentity {
            nonce,
            ..self.identity.clone()
        };
        let mut host = Self::new(identity, now);
        host.last_ticket = self.last_ticket;
        if self.is_draining {
            host.start_draining(now);
        }
        host
    }

    /// Returns the configuration in force.
    pub fn manifest(&self) -> Option<&Arc<DomainManifest>> {
        self.manifest.as_ref()
    }

    /// Returns the state read from the jobs stream.
    pub const fn job_table(&self) -> &JobTable {
        &self.job_table
    }

    /// Returns the planner, or `None` if this host does not plan.
    pub const fn planner(&self) -> Option<&PlannerState> {
        self.planner.as_ref()
    }

    /// Whether the host accepts requests: it has a configuration, reaches the log, and is not
    /// shutting down. It need not have read the jobs stream: a job that is accepted twice is
    /// one job, and queries wait for the reading.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.manifest.is_some() && !self.is_draining && self.has_log(now)
    }

    /// Whether the host is shutting down and has nothing left to do.
    pub fn is_drained(&self) -> bool {
        let has_planner = self
            .planner
            .as_ref()
            .is_some_and(|planner| !planner.has_resigned());
        self.is_draining && self.request_handler.is_idle() && !has_planner
    }

    fn has_log(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now.since(at) < MAX_LOG_SILENCE;
        // While the host reads the newest records its pages may take long.
        let is_answering = if self.jobs.confirmed_at().is_some() {
            self.jobs.answered_at().is_some_and(is_recent)
        } else {
            self.jobs.answered_at().is_some() && self.config.answered_at().is_some_and(is_recent)
        };
        is_answering && self.jobs.failures() < LOG_FAILURE_LIMIT
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        event: HostEvent,
    ) -> Vec<HostAction> {
        let mut actions = Vec::new();
        match event {
            HostEvent::Requested(request) => self.handle_request(now, wall, request, &mut actions),
            HostEvent::ReadProgressed(ticket) => self.record_read_progress(now, ticket),
            HostEvent::Read(ticket, mut result) => {
                record_read_error(result.as_ref().err());
                if let Some(output) = self.config.handle_page(now, ticket, &mut result) {
                    self.handle_config(wall, output);
                } else if let Some(output) = self.jobs.handle_page(now, ticket, &mut result) {
                    self.apply_job_records(now, wall, output, &mut actions);
                } else if let Some(output) = self
                    .workers
                    .as_mut()
                    .and_then(|workers| workers.handle_page(now, ticket, &mut result))
                {
                    self.apply_worker_records(now, wall, output, &mut actions);
                }
            }
            HostEvent::ReadNewest(ticket, mut result) => {
                record_read_error(result.as_ref().err());
                let last = &mut self.last_ticket;
                if self
                    .election
                    .handle_newest_page(now, ticket, &result, last, &mut actions)
                {
                } else if let Some(output) =
                    self.config.handle_newest_page(now, ticket, &mut result)
                {
                    self.handle_config(wall, output);
                } else if let Some(output) = self.jobs.handle_newest_page(now, ticket, &mut result)
                {
                    self.apply_job_records(now, wall, output, &mut actions);
                } else if let Some(output) = self
                    .workers
                    .as_mut()
                    .and_then(|workers| workers.handle_newest_page(now, ticket, &mut result))
                {
                    self.apply_worker_records(now, wall, output, &mut actions);
                }
            }
            HostEvent::Appended(ticket, result) => {
                self.handle_append_result(now, wall, ticket, &result, &mut actions);
            }
            HostEvent::WorkerAnswered(ticket, result) => {
                if let Some(planner) = &mut self.planner {
                    let mut context = plan_context(now, wall, &mut self.last_ticket, &mut actions);
                    planner.handle_worker_answer(&mut context, ticket, result);
                }
            }
            HostEvent::Advised(ticket, result) => {
                if let Some(planner) = &mut self.planner {
                    planner.handle_advice_result(now, ticket, result);
                }
            }
            HostEvent::MachinesListed(ticket, result) => {
                if let Some(planner) = &mut self.planner {
                    let mut context = plan_context(now, wall, &mut self.last_ticket, &mut actions);
                    planner.handle_machine_page(&mut context, ticket, result);
                }
            }
            HostEvent::UpkeepAnswered(ticket, result) => {
                if let Some(planner) = &mut self.planner {
                    planner.handle_upkeep_result(now, ticket, &result);
                }
            }
            HostEvent::DrainRequested => self.start_draining(now),
            HostEvent::Ticked => self.tick(now, wall, &mut actions),
        }
        self.advance(now, wall, &mut actions);
        actions
    }

    fn record_read_progress(&mut self, now: MonotonicTime, ticket: CallTicket) {
        self.config.record_progress(now, ticket);
        self.jobs.record_progress(now, ticket);
        if let Some(workers) = &mut self.workers {
            workers.record_progress(now, ticket);
        }
    }

    fn start_draining(&mut self, now: MonotonicTime) {
        if !self.is_draining {
            log::info!(planning = self.planner.is_some(); "shutting down");
        }
        self.is_draining = true;
        self.election.retire();
        if let Some(planner) = &mut self.planner {
            planner.start_resigning(now);
        }
    }

    fn handle_request(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        request: CallerRequest,
        actions: &mut Vec<HostAction>,
    ) {
        let view = HostView {
            now,
            wall,
            manifest: self.manifest.as_deref(),
            job_table: &self.job_table,
            confirmed_at: self.jobs.confirmed_at(),
            has_log: self.has_log(now),
        };
        self.request_handler
            .handle_request(&view, request, &mut self.last_ticket, actions);
    }

    fn apply_job_records(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        output: FollowOutput,
        actions: &mut Vec<HostAction>,
    ) {
        if output.is_reset {
            self.job_reading = Some(JobTable::default());
        }
        let records = output.records.into_iter().filter_map(decode_job_record);
        let Some(reading) = &mut self.job_reading else {
            for record in records {
                let change = self.job_table.apply(now, record);
                self.handle_job_change(now, wall, change, actions);
            }
            return;
        };
        for record in records {
            reading.apply(now, record);
        }
        if output.is_complete
            && let Some(reading) = self.job_reading.take()
        {
            for change in self.job_table.replace(reading) {
                self.handle_job_change(now, wall, change, actions);
            }
        }
    }

    fn handle_job_change(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        change: TableChange,
        actions: &mut Vec<HostAction>,
    ) {
        match change {
            TableChange::None => {}
            TableChange::Accepted(job) => {
                self.request_handler
                    .handle_record(&self.job_table, job, actions);
                self.add_accepted_job(now, wall, job, actions);
            }
            TableChange::Cancelled(job) => {
                self.request_handler
                    .handle_record(&self.job_table, job, actions);
                if let Some(planner) = &mut self.planner {
                    let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
                    planner.cancel_job(&mut context, job);
                }
            }
            TableChange::GroupDone(group) => {
                if let Some(planner) = &mut self.planner {
                    planner.apply_recorded_end(now, group);
                }
            }
            TableChange::Marked(mark) => {
                if let Some(planner) = &mut self.planner {
                    let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
                    planner.apply_mark(&mut context, mark);
                }
            }
            TableChange::Heartbeat => {
                if let Some(heartbeat) = self.job_table.heartbeat() {
                    self.election.observe_heartbeat(now, heartbeat);
                }
            }
        }
    }

    fn add_accepted_job(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        job: JobKey,
        actions: &mut Vec<HostAction>,
    ) {
        let recorded_job = self
            .job_table
            .job(job)
            .filter(|recorded_job| recorded_job.is_open());
        let accepted = recorded_job.and_then(|recorded_job| recorded_job.accepted.as_ref());
        if let Some((planner, accepted)) = self.planner.as_mut().zip(accepted) {
            let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
            planner.add_job(&mut context, job, accepted);
        }
    }

    fn apply_worker_records(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        output: FollowOutput,
        actions: &mut Vec<HostAction>,
    ) {
        let written_after = output.written_after;
        if output.is_reset {
            self.report_reading = Some(BTreeMap::new());
        }
        let reports = output.records.into_iter().filter_map(worker_report);
        let Some(reading) = &mut self.report_reading else {
            for (name, report) in reports {
                self.update_report(now, wall, &name, report, written_after, actions);
            }
            return;
        };
        for (name, report) in reports {
            match report {
                Some(report) => reading.insert(name, report),
                None => reading.remove(&name),
            };
        }
        if output.is_complete
            && let Some(reading) = self.report_reading.take()
        {
            let names = self.reports.keys();
            let missing: Vec<_> = names
                .filter(|name| !reading.contains_key(*name))
                .cloned()
                .collect();
            for (name, report) in reading {
                self.update_report(now, wall, &name, Some(report), None, actions);
            }
            for name in missing {
                self.update_report(now, wall, &name, None, None, actions);
            }
        }
    }

    fn update_report(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        name: &WorkerName,
        report: Option<Arc<WorkerReport>>,
        written_after: Option<MonotonicTime>,
        actions: &mut Vec<HostAction>,
    ) {
        match &report {
            Some(report) => {
                self.reports.insert(name.clone(), Arc::clone(report));
            }
            None => {
                self.reports.remove(name);
            }
        }
        if let Some(planner) = &mut self.planner {
            let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
            planner.apply_report(&mut context, name, report, written_after);
        }
    }

    fn handle_append_result(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
        actions: &mut Vec<HostAction>,
    ) {
        if self
            .request_handler
            .handle_append_result(now, ticket, result, actions)
        {
            return;
        }
        if self.handover.handle_append_result(ticket, result) {
            return;
        }
        let last = &mut self.last_ticket;
        if let Some(change) = self
            .election
            .handle_append_result(now, ticket, result, last, actions)
        {
            if change == ElectionProgress::Fenced {
                self.jobs.request_immediate_read();
                self.workers = Some(StreamFollower::new(
                    StreamName::Workers,
                    WORKERS_READ_INTERVAL,
                    now,
                ));
                self.reports.clear();
            }
            return;
        }
        if let Some(planner) = &mut self.planner {
            let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
            if planner.handle_append_result(&mut context, ticket, result)
                && let Ok(at) = result
            {
                self.jobs.record_written(now, at.next);
            }
        }
    }

    fn tick(&mut self, now: MonotonicTime, wall: WallTime, actions: &mut Vec<HostAction>) {
        let view = HostView {
            now,
            wall,
            manifest: self.manifest.as_deref(),
            job_table: &self.job_table,
            confirmed_at: self.jobs.confirmed_at(),
            has_log: self.has_log(now),
        };
        self.request_handler
            .poll(&view, &mut self.last_ticket, actions);
        let has_log = self.has_log(now);
        if has_log != self.was_log_reachable {
            self.was_log_reachable = has_log;
            log::info!(target: "log", reachable = has_log; "connection to the log changed");
        }
        if let Some(planner) = &mut self.planner {
            let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
            planner.tick(&mut context);
            if now >= self.next_expiry_at {
                self.next_expiry_at = now + EXPIRY_INTERVAL;
                let before = now - self.identity.limits.status_retention;
                planner.remove_records(self.job_table.expired_keys(before));
            }
            if now >= self.next_compaction_at {
                self.next_compaction_at = now + COMPACTION_INTERVAL;
                planner.write_compaction(&self.job_table.compaction(MAX_COMPACTED_RECORDS));
            }
        }
        if now >= self.next_gauges_at {
            self.next_gauges_at = now + GAUGE_INTERVAL;
            self.set_gauges(now);
        }
    }

    /// Does what is due after every event: planning, the leader election and reads.
    fn advance(&mut self, now: MonotonicTime, wall: WallTime, actions: &mut Vec<HostAction>) {
        if self.request_handler.take_tail_request() {
            self.jobs.request_immediate_read();
        }
        self.start_planning(now, wall, actions);
        if let Some(planner) = &mut self.planner {
            let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
            planner.flush(&mut context);
        }
        self.finish_planning(now);
        let last = &mut self.last_ticket;
        if self.jobs.is_complete() {
            let confirmed_at = self.jobs.confirmed_at();
            self.handover
                .poll(now, confirmed_at, &self.job_table, last, actions);
        }
        let steady = self.jobs.confirmed_at().and(self.jobs.steady_since());
        let can_lead = self.manifest.is_some() && self.jobs.is_complete();
        let (steady, confirmed_at) = (steady.filter(|_| can_lead), self.jobs.confirmed_at());
        if self.election.poll(now, steady, confirmed_at, last, actions) {
            self.jobs.request_immediate_read();
        }
        let bound = self.identity.limits.evacuation_bound;
        if self.planner.is_some() && needs_orders_read(now, self.config.confirmed_at(), bound) {
            self.config.request_immediate_read();
        }
        self.config.poll(now, last, actions);
        if self.manifest.is_some() || now.since(self.started_at) >= CONFIG_LEAD {
            self.jobs.poll(now, last, actions);
        }
        if let Some(workers) = &mut self.workers {
            workers.poll(now, last, actions);
        }
    }
}

fn plan_context<'a>(
    now: MonotonicTime,
    wall: WallTime,
    last_ticket: &'a mut u64,
    actions: &'a mut Vec<HostAction>,
) -> PlanContext<'a> {
    PlanContext {
        now,
        wall,
        last_ticket,
        actions,
    }
}

fn decode_job_record(record: StreamRecord) -> Option<JobRecord> {
    let cause = match record.body {
        StreamBody::Encoded(key, value) => match JobRecord::decode(&key, value.as_deref()) {
            Ok(decoded) => return Some(decoded),
            Err(error) => error.to_string(),
        },
        StreamBody::Skipped(cause) => cause.to_string(),
        StreamBody::Manifest(_)
        | StreamBody::Worker(..)
        | StreamBody::Wave(..)
        | StreamBody::Evacuation(..) => return None,
    };
    skip_record(StreamName::Jobs, &cause);
    None
}

fn worker_report(record: StreamRecord) -> Option<(WorkerName, Option<Arc<WorkerReport>>)> {
    match record.body {
        StreamBody::Worker(name, report) => Some((name, report)),
        StreamBody::Skipped(cause) => {
            skip_record(StreamName::Workers, &cause);
            None
        }
        StreamBody::Manifest(_)
        | StreamBody::Wave(..)
        | StreamBody::Evacuation(..)
        | StreamBody::Encoded(..) => None,
    }
}

fn record_read_error(error: Option<&StreamError>) {
    if let Some(error) = error {
        counter!(READS_FAILED, "cause" => error.label()).increment(1);
        log::debug!(target: "log", cause = error.to_string().as_str(); "read failed");
    }
}

fn skip_record(stream: StreamName, cause: &str) {
    counter!(RECORDS_SKIPPED, "stream" => stream.label()).increment(1);
    log::warn!(target: "log", stream = stream.label(), cause; "record skipped");
}
