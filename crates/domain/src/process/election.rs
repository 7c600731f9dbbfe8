//! Leader election: decides which host of the domain plans. A host claims leadership by
//! an append to the `seat` stream, on the condition that no other claim was appended in the
//! meantime. The leader's epoch is the offset after its claim. It fences the planner's
//! records in the jobs stream and its orders to workers.
//!
//! The log lines name the target `flamingowalk_domain::process::seat` explicitly, so that log
//! filters do not depend on the name of this module.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, NewestOrder, ResponseTimeout};
use crate::process::planner::limits::LEADER_LEASE_DURATION;
use crate::process::record::{LeadershipClaim, PlannerHeartbeat};
use crate::process::stream::{
    AppendCondition, AppendOrder, AppendedAt, NewestPage, StreamBody, StreamError, StreamName,
};
use crate::process::stream_follower::allocate_ticket;

/// Interval of the planner's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of the planner after which the most eligible host claims leadership. It allows
/// for four heartbeats and for the interval at which hosts read.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Additional delay of the least eligible host, so that hosts with more processor time
/// claim first.
const MAX_ELIGIBILITY_DELAY: Duration = Duration::from_millis(600);
/// Share of a core from which a host is fully eligible: a planner with 350 workers uses
/// about a tenth of a core, and a takeover some more for a second.
const FULL_ELIGIBILITY_SHARE: f64 = 0.25;
/// Upper bound of the random part of the claim delay, so that equally eligible hosts do
/// not claim at the same time.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(150);
/// Upper bound of a further random part for the least eligible hosts. There are far more of
/// them on a large deployment, and few may begin a claim before the first has become leader.
const MAX_INELIGIBLE_JITTER: Duration = Duration::from_secs(4);
/// Number of different values of the random parts.
const JITTER_STEPS: u64 = 1 << 20;
/// Timeout of reads and appends of the `seat` stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a claim waits for a read of the jobs stream.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Round trips to the log for which a takeover is allowed additional time when the log is
/// slow: the claim, the announcement of the epoch behind the appends of a full partition,
/// and the reads to the tail.
const LOG_ROUND_TRIPS: u32 = 6;
/// Delay before an epoch is announced again; an append to a slow log takes up to a tenth
/// of a second.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before the next claim after a failed one, or after the end of a term.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Stage of this host in the election. The state dump prints the `Debug` form, so the names
/// of the variants stay as they are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionStage {
    /// Another host plans, or none does.
    Watching,
    /// Reading the newest claim.
    Asking(CallTicket),
    /// The newest claim was read, and the `seat` stream ends at this offset. Waiting for a read
    /// of the jobs stream that shows that the host can reach it and that no planner wrote.
    Confirming(StreamOffset),
    /// Appending a claim, provided that the stream still ends at this offset.
    Claiming(CallTicket, StreamOffset),
    /// Announcing the epoch to the jobs stream, which fences earlier planners.
    Fencing(CallTicket, LeaderEpoch),
    /// The epoch is to be announced again at this time.
    Announcing(LeaderEpoch, MonotonicTime),
    /// Reading the jobs stream until a read sent at or after this time has reached its tail.
    CatchingUp(LeaderEpoch, MonotonicTime),
    /// Planning.
    Holding(LeaderEpoch),
}

/// Identity of this host as a candidate.
#[derive(Clone, Debug)]
pub struct CandidateIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Random number chosen when the process started.
    pub nonce: u64,
    /// Share of a core that the host may use.
    pub cpu_share: f64,
}

/// What the host has to do after a step of the election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionProgress {
    /// No action is required.
    None,
    /// Read the jobs stream to its tail.
    Fenced,
}

/// State of the election on this host.
#[derive(Debug)]
pub struct LeaderElection {
    identity: CandidateIdentity,
    stage: ElectionStage,
    /// When the newest heartbeat of a planner was read, by this host's clock. Also set when
    /// this host steps down.
    heartbeat_at: Option<MonotonicTime>,
    /// Whether the planner of the newest heartbeat is known not to run any more: it has
    /// resigned, or it ran in an earlier process of this host.
    has_leader_stopped: bool,
    /// Time for which that planner had been leader when it wrote that heartbeat.
    leader_time: Duration,
    /// Highest epoch for which this process was leader.
    highest_held: LeaderEpoch,
    /// Earliest time of the next claim.
    next_claim_at: MonotonicTime,
    /// Silence beyond the heartbeat timeout after which this host claims.
    claim_delay: Duration,
    /// Whether this host makes no more claims.
    is_retired: bool,
    /// Number of claims made so far. Each has a nonce of its own, so that the epoch of an
    /// earlier term of this process is never mistaken for that of a new claim.
    claim_count: u64,
    /// Nonce of a claim that is pending or whose outcome is unknown.
    unresolved_claim: Option<u64>,
    /// Highest epoch of any planner of which a heartbeat was read.
    heartbeat_epoch: LeaderEpoch,
    /// Epoch of the newest claim before this host's own, zero if there is none. Its planner
    /// may run even if it wrote no heartbeat.
    previous_claim: LeaderEpoch,
    /// When the announcement of this host's newest epoch was sent: of its copies, the first
    /// one that the log may have accepted.
    announced_at: Option<MonotonicTime>,
    /// When the newest copy of the announcement was sent.
    copy_sent_at: MonotonicTime,
    /// Newest epoch of another host's claim that no heartbeat has confirmed yet, and when
    /// it was first seen.
    newest_claim: Option<(LeaderEpoch, MonotonicTime)>,
    /// When the newest read of the `seat` stream was sent.
    query_sent_at: MonotonicTime,
    /// Time that the newest successful read of the `seat` stream took.
    log_latency: Duration,
}

impl LeaderElection {
    /// Returns the state of a host that has seen no leader yet.
    pub fn new(identity: CandidateIdentity, now: MonotonicTime) -> Self {
        let missing_share = 1.0 - (identity.cpu_share / FULL_ELIGIBILITY_SHARE).clamp(0.0, 1.0);
        let fraction = (identity.nonce % JITTER_STEPS) as f64 / JITTER_STEPS as f64;
        // The square root keeps the first claims of many hosts apart.
        let jitter = MAX_CLAIM_JITTER.mul_f64(fraction)
            + MAX_INELIGIBLE_JITTER.mul_f64(missing_share * fraction.sqrt());
        let claim_delay = MAX_ELIGIBILITY_DELAY.mul_f64(missing_share) + jitter;
        Self {
            identity,
            stage: ElectionStage::Watching,
            heartbeat_at: None,
            has_leader_stopped: false,
            leader_time: Duration::ZERO,
            highest_held: LeaderEpoch(0),
            next_claim_at: now,
            claim_delay,
            is_retired: false,
            claim_count: 0,
            unresolved_claim: None,
            heartbeat_epoch: LeaderEpoch(0),
            previous_claim: LeaderEpoch(0),
            announced_at: None,
            copy_sent_at: now,
            newest_claim: None,
            query_sent_at: now,
            log_latency: Duration::ZERO,
        }
    }

    /// Returns the stage of this host.
    pub const fn stage(&self) -> ElectionStage {
        self.stage
    }

    /// Returns the epoch under which this host plans, or `None` if it does not plan.
    pub const fn held_epoch(&self) -> Option<LeaderEpoch> {
        match self.stage {
            ElectionStage::Holding(epoch) => Some(epoch),
            _ => None,
        }
    }

    /// Records a heartbeat of a planner.
    pub fn observe_heartbeat(&mut self, now: MonotonicTime, heartbeat: &PlannerHeartbeat) {
        self.heartbeat_at = Some(now);
        let is_earlier_process =
            heartbeat.host == self.identity.host && heartbeat.epoch > self.highest_held;
        self.has_leader_stopped = heartbeat.has_resigned || is_earlier_process;
        self.heartbeat_epoch = self.heartbeat_epoch.max(heartbeat.epoch);
        self.leader_time = Duration::from_millis(heartbeat.leader_time_ms);
    }

    /// Makes no more claims from now on.
    pub const fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Gives up leadership or an attempt to gain it.
    pub fn step_down(&mut self, now: MonotonicTime) {
        self.stage = ElectionStage::Watching;
        self.next_claim_at = now + RETRY_DELAY;
        self.heartbeat_at = Some(now);
    }

    /// Starts a claim if the planner has been silent for long enough while this host could
    /// read. `steady_since` is the time since which no read of the jobs stream has failed;
    /// `None` if the host must not claim yet. `confirmed_at` is when the newest read that
    /// reached the tail of that stream was sent. Returns whether a claim begins, for which
    /// the jobs stream has to be read to its tail.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        steady_since: Option<MonotonicTime>,
        confirmed_at: Option<MonotonicTime>,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        if let ElectionStage::Announcing(epoch, at) = self.stage
            && now >= at
        {
            self.fence(now, epoch, last_ticket, actions);
        }
        self.confirm_claim(now, confirmed_at, last_ticket, actions);
        let Some(steady_since) = steady_since else {
            return false;
        };
        let can_claim = self.stage == ElectionStage::Watching && !self.is_retired;
        if !can_claim || now < self.next_claim_at {
            return false;
        }
        let silence = now.since(self.heartbeat_at.unwrap_or(steady_since).max(steady_since));
        let is_leaderless = self.heartbeat_at.is_none() || self.has_leader_stopped;
        let min_silence = if is_leaderless {
            Duration::ZERO
        } else {
            HEARTBEAT_TIMEOUT
        };
        if silence < min_silence + self.claim_delay {
            return false;
        }
        let ticket = allocate_ticket(last_ticket);
        self.stage = ElectionStage::Asking(ticket);
        self.query_sent_at = now;
        log::info!(target: "flamingowalk_domain::process::seat", silence_ms = silence.as_millis() as u64, vacated = self.has_leader_stopped; "claiming leadership of the planner");
        actions.push(HostAction::ReadNewest(NewestOrder {
            ticket,
            stream: StreamName::Seat,
            after: None,
            timeout: ResponseTimeout::whole(RESPONSE_TIMEOUT),
        }));
        true
    }

    /// Appends the claim once a read of the jobs stream, sent after the claim began, has
    /// reached the tail. A leader has to write there, and a claim that none follows keeps
    /// the other hosts waiting.
    fn confirm_claim(
        &mut self,
        now: MonotonicTime,
        confirmed_at: Option<MonotonicTime>,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let ElectionStage::Confirming(end) = self.stage else {
            return;
        };
        if confirmed_at.is_none_or(|at| at < self.query_sent_at) {
            if now.since(self.query_sent_at) >= CONFIRM_TIMEOUT {
                log::info!(target: "flamingowalk_domain::process::seat", "not claiming leadership: the jobs stream cannot be read");
                self.delay_claim(now);
            }
        } else if self.heartbeat_at.is_some_and(|at| at > self.query_sent_at) {
            log::info!(target: "flamingowalk_domain::process::seat", "not claiming leadership: the planner sent a heartbeat");
            self.delay_claim(now);
        } else {
            self.append_claim(end, last_ticket, actions);
        }
    }

    /// Handles a read of the newest claim. Returns whether the election sent the read.
    pub fn handle_newest_page(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<NewestPage, StreamError>,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        if self.stage != ElectionStage::Asking(ticket) {
            return false;
        }
        let page = match result {
            Ok(page) => page,
            Err(error) => {
                log::info!(target: "flamingowalk_domain::process::seat", cause = error.label(); "not claiming leadership: the newest claim cannot be read");
                self.delay_claim(now);
                return true;
            }
        };
        self.log_latency = now.since(self.query_sent_at);
        if self.heartbeat_at.is_some_and(|at| at > self.query_sent_at) {
            log::info!(target: "flamingowalk_domain::process::seat", "not claiming leadership: the planner sent a heartbeat");
            self.delay_claim(now);
            return true;
        }
        if let Some(until) = self.competing_claim_until(now, LeaderEpoch(page.end.0)) {
            log::info!(target: "flamingowalk_domain::process::seat", newest = page.end.0; "not claiming leadership: another host has claimed it");
            self.delay_claim(now);
            self.next_claim_at = until;
            return true;
        }
        if let Some(previous) = self.own_unresolved_claim(page) {
            self.begin_term(previous);
            self.fence(now, LeaderEpoch(page.end.0), last_ticket, actions);
            return true;
        }
        self.stage = ElectionStage::Confirming(page.end);
        true
    }

    fn append_claim(
        &mut self,
        end: StreamOffset,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let ticket = allocate_ticket(last_ticket);
        self.stage = ElectionStage::Claiming(ticket, end);
        // A claim whose outcome is unknown is repeated with the same nonce: whichever copy
        // is appended first counts.
        let nonce = self.unresolved_claim.unwrap_or_else(|| {
            self.claim_count += 1;
            self.identity.nonce.wrapping_add(self.claim_count)
        });
        self.unresolved_claim = Some(nonce);
        let claim = LeadershipClaim {
            host: self.identity.host.clone(),
            nonce,
        };
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Seat,
                records: vec![claim.encode()],
                condition: AppendCondition::At(end),
            },
            timeout: RESPONSE_TIMEOUT,
        });
    }

    /// Returns the time until which another host with a newer claim may still become
    /// leader, or `None` if there is no such claim. The claim counts if it is newer than
    /// every heartbeat and was first seen a short while ago.
    fn competing_claim_until(
        &mut self,
        now: MonotonicTime,
        newest: LeaderEpoch,
    ) -> Option<MonotonicTime> {
        if newest <= self.heartbeat_epoch || self.unresolved_claim.is_some() {
            return None;
        }
        let seen_at = match self.newest_claim {
            Some((epoch, seen_at)) if epoch == newest => seen_at,
            _ => {
                self.newest_claim = Some((newest, now));
                now
            }
        };
        let until =
            seen_at + HEARTBEAT_TIMEOUT + self.claim_delay + self.log_latency * LOG_ROUND_TRIPS;
        (now < until).then_some(until)
    }

    /// If the newest claim is the one of this process whose outcome was unknown, returns the
    /// epoch of the claim before it.
    fn own_unresolved_claim(&self, page: &NewestPage) -> Option<LeaderEpoch> {
        let newest = page.records.iter().max_by_key(|record| record.offset)?;
        let StreamBody::Encoded(_, Some(value)) = &newest.body else {
            return None;
        };
        let is_own = LeadershipClaim::decode(value).is_ok_and(|claim| {
            Some(claim.nonce) == self.unresolved_claim && claim.host == self.identity.host
        });
        is_own.then_some(LeaderEpoch(newest.offset.0))
    }

    /// Handles the result of an append. Returns `None` if the election did not send the
    /// append.
    pub fn handle_append_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) -> Option<ElectionProgress> {
        match self.stage {
            ElectionStage::Claiming(pending, _) if pending == ticket => {
                match result {
                    Ok(at) => {
                        self.begin_term(LeaderEpoch(at.first.0));
                        self.fence(now, LeaderEpoch(at.next.0), last_ticket, actions);
                    }
                    Err(error) => {
                        log::info!(target: "flamingowalk_domain::process::seat", cause = error.label(); "claim of leadership failed");
                        if error.is_definite() {
                            self.unresolved_claim = None;
                        }
                        self.delay_claim(now);
                        if let StreamError::EndMismatch { end } = error
                            && let Some(until) = self.competing_claim_until(now, LeaderEpoch(end.0))
                        {
                            self.next_claim_at = until;
                        }
                    }
                }
                Some(ElectionProgress::None)
            }
            ElectionStage::Fencing(pending, epoch) if pending == ticket => match result {
                Ok(_) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0; "leadership claimed; reading the jobs stream to its tail");
                    self.stage = ElectionStage::CatchingUp(epoch, now);
                    Some(ElectionProgress::Fenced)
                }
                Err(StreamError::Fenced) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0; "claim rejected: a higher epoch was announced");
                    self.delay_claim(now);
                    Some(ElectionProgress::None)
                }
                Err(error) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0, cause = error.label(); "epoch not announced yet; retrying");
                    let is_first_copy = self.announced_at == Some(self.copy_sent_at);
                    if is_first_copy && error.is_definite() {
                        self.announced_at = None;
                    }
                    // Announcing the same epoch twice is harmless. The delay gives an
                    // overloaded log time to recover.
                    self.stage = ElectionStage::Announcing(epoch, now + ANNOUNCE_RETRY_DELAY);
                    Some(ElectionProgress::None)
                }
            },
            _ => None,
        }
    }

    /// Prepares the announcement of an epoch, whose claim followed the one with the epoch
    /// `previous`.
    const fn begin_term(&mut self, previous: LeaderEpoch) {
        self.unresolved_claim = None;
        self.previous_claim = previous;
        self.announced_at = None;
    }

    fn fence(
        &mut self,
        now: MonotonicTime,
        epoch: LeaderEpoch,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        self.announced_at.get_or_insert(now);
        self.copy_sent_at = now;
        let ticket = allocate_ticket(last_ticket);
        self.stage = ElectionStage::Fencing(ticket, epoch);
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: Vec::new(),
                condition: AppendCondition::Writer { epoch, sequence: 0 },
            },
            timeout: RESPONSE_TIMEOUT + self.log_latency * LOG_ROUND_TRIPS,
        });
    }

    /// Becomes leader and returns the epoch, and when its announcement was sent, once a read
    /// sent after the epoch was announced has reached the tail of the jobs stream. Returns
    /// `None` before, and while this host is not catching up.
    pub fn try_become_leader(
        &mut self,
        confirmed_at: Option<MonotonicTime>,
    ) -> Option<(LeaderEpoch, MonotonicTime)> {
        let ElectionStage::CatchingUp(epoch, since) = self.stage else {
            return None;
        };
        let announced_at = self.announced_at?;
        if confirmed_at.is_none_or(|confirmed_at| confirmed_at < since) {
            return None;
        }
        self.stage = ElectionStage::Holding(epoch);
        self.highest_held = epoch;
        Some((epoch, announced_at))
    }

    /// Returns how much longer some earlier planner may renew leases. The newest one does
    /// not if it has stopped, but one before it could extend its leader lease until the term
    /// of the newest began. Whether the newest one has stopped is known only if its heartbeat
    /// was read.
    pub fn previous_leader_lease(&self) -> Duration {
        let is_newest_known = self.heartbeat_epoch >= self.previous_claim;
        if is_newest_known && self.has_leader_stopped {
            LEADER_LEASE_DURATION.saturating_sub(self.leader_time)
        } else {
            LEADER_LEASE_DURATION
        }
    }

    fn delay_claim(&mut self, now: MonotonicTime) {
        self.stage = ElectionStage::Watching;
        self.next_claim_at = now + RETRY_DELAY;
    }
}
