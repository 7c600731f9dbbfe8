//! The planner's seat: which host plans. The arbiter is the seat stream, whose claims
//! are appended only under the condition that no other claim came between. The
//! holder's epoch is the offset after its claim; it fences the planner's records in
//! the jobs stream and its orders to workers.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, NewestOrder};
use crate::process::planner::limits::LEADER_LEASE_DURATION;
use crate::process::record::{LeadershipClaim, PlannerHeartbeat};
use crate::process::stream::{
    AppendCondition, AppendOrder, AppendedAt, NewestPage, StreamBody, StreamError, StreamName,
};
use crate::process::stream_follower::allocate_ticket;

/// Time from one heartbeat of the planner to the next.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of the planner after which the most eligible host claims: four heartbeats,
/// and the pace at which hosts read.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1_300);
/// Time by which the least eligible host waits longer, so that hosts with more
/// processor time claim first.
const ELIGIBILITY_SPREAD: Duration = Duration::from_millis(600);
/// Processor share from which a host is fully eligible: a planner with 350 workers uses
/// about a tenth of a core, and a takeover some more for a second.
const FULL_SHARE: f64 = 0.25;
/// Longest random part of the patience, so that equal hosts do not claim at once.
const RANDOM_SPREAD: Duration = Duration::from_millis(150);
/// Time for an answer of the seat stream.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Answers of the log that a slow way to the seat may take longer: those of a claim, an
/// announcement behind the appends of a full partition, and the reads to the tail.
const LOG_STEPS: u32 = 6;
/// Pause before an epoch is announced again; appends take up to a tenth of a second each
/// in a slow log.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a claim that came to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How far this host is on its way to the seat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionStage {
    /// Another host plans, or nobody.
    Watching,
    /// Reading the newest claim.
    Asking(CallTicket),
    /// Claiming at an offset.
    Claiming(CallTicket, StreamOffset),
    /// Raising the writer's epoch of the jobs stream.
    Fencing(CallTicket, LeaderEpoch),
    /// The epoch is to be announced again at this time.
    Announcing(LeaderEpoch, MonotonicTime),
    /// Reading the jobs stream to its tail, from a read sent after this time.
    CatchingUp(LeaderEpoch, MonotonicTime),
    /// Planning.
    Holding(LeaderEpoch),
}

/// What the seat needs to know of the host.
#[derive(Clone, Debug)]
pub struct CandidateIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Random number of the process.
    pub nonce: u64,
    /// Share of a core that the host has.
    pub cpu_share: f64,
}

/// What a step on the way to the seat leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionProgress {
    /// Nothing.
    None,
    /// The jobs stream has to be read to its tail.
    Fenced,
}

/// This host's view of the seat.
#[derive(Debug)]
pub struct LeaderElection {
    identity: CandidateIdentity,
    stage: ElectionStage,
    /// When the planner last gave a sign of life, by this host's clock.
    sign_at: Option<MonotonicTime>,
    /// Whether the planner of the newest sign of life is not at work: it said that it
    /// has stopped, or ran in an earlier process of this host.
    is_vacated: bool,
    /// Tenure of that planner at that sign.
    sign_tenure: Duration,
    /// Highest epoch that this process held.
    held: LeaderEpoch,
    /// No claim before.
    pause_until: MonotonicTime,
    /// Patience of this host.
    patience: Duration,
    /// Whether this host claims no seat any more.
    is_retired: bool,
    /// Claims made so far; each has a nonce of its own, so that the epoch of an
    /// earlier tenure of this process is never taken for that of a new claim.
    claims: u64,
    /// Nonce of a claim whose answer was lost.
    unsettled_claim: Option<u64>,
    /// Epoch of the planner that gave the newest sign of life.
    sign_epoch: LeaderEpoch,
    /// Newest epoch read from the seat stream, and when it was first read.
    newest_claim: Option<(LeaderEpoch, MonotonicTime)>,
    /// When the newest claim was asked for.
    asked_at: MonotonicTime,
    /// Time that the newest answered question to the log took.
    log_time: Duration,
}

impl LeaderElection {
    /// A seat that nobody is known to hold.
    pub fn new(identity: CandidateIdentity, now: MonotonicTime) -> Self {
        let lack = 1.0 - (identity.cpu_share / FULL_SHARE).clamp(0.0, 1.0);
        let random = RANDOM_SPREAD.as_micros() as u64;
        let jitter = Duration::from_micros(identity.nonce % random.max(1));
        let patience = ELIGIBILITY_SPREAD.mul_f64(lack) + jitter;
        Self {
            identity,
            stage: ElectionStage::Watching,
            sign_at: None,
            is_vacated: false,
            sign_tenure: Duration::ZERO,
            held: LeaderEpoch(0),
            pause_until: now,
            patience,
            is_retired: false,
            claims: 0,
            unsettled_claim: None,
            sign_epoch: LeaderEpoch(0),
            newest_claim: None,
            asked_at: now,
            log_time: Duration::ZERO,
        }
    }

    /// How far this host is.
    pub const fn stage(&self) -> ElectionStage {
        self.stage
    }

    /// Epoch of this host's tenure, while it plans.
    pub const fn held_epoch(&self) -> Option<LeaderEpoch> {
        match self.stage {
            ElectionStage::Holding(epoch) => Some(epoch),
            _ => None,
        }
    }

    /// Takes a sign of life of a planner.
    pub fn observe_heartbeat(&mut self, now: MonotonicTime, heartbeat: &PlannerHeartbeat) {
        self.sign_at = Some(now);
        let is_own_past = heartbeat.host == self.identity.host && heartbeat.epoch > self.held;
        self.is_vacated = heartbeat.has_resigned || is_own_past;
        self.sign_epoch = self.sign_epoch.max(heartbeat.epoch);
        self.sign_tenure = Duration::from_millis(heartbeat.leader_time_ms);
    }

    /// Claims no seat any more.
    pub const fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Gives the seat up, or the way to it.
    pub fn step_down(&mut self, now: MonotonicTime) {
        self.stage = ElectionStage::Watching;
        self.pause_until = now + RETRY_PAUSE;
        self.sign_at = Some(now);
    }

    /// Claims if the planner was silent for long enough while this host could read.
    /// `steady_since` is the time since which it reads the jobs stream at its tail.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        steady_since: Option<MonotonicTime>,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        if let ElectionStage::Announcing(epoch, at) = self.stage
            && now >= at
        {
            self.fence(epoch, next_ticket, actions);
        }
        let Some(steady_since) = steady_since else {
            return;
        };
        let is_free = self.stage == ElectionStage::Watching && !self.is_retired;
        if !is_free || now < self.pause_until {
            return;
        }
        let silence = now.since(self.sign_at.unwrap_or(steady_since).max(steady_since));
        let is_vacant = self.sign_at.is_none() || self.is_vacated;
        let least = if is_vacant {
            Duration::ZERO
        } else {
            CLAIM_PATIENCE
        };
        if silence < least + self.patience {
            return;
        }
        let ticket = allocate_ticket(next_ticket);
        self.stage = ElectionStage::Asking(ticket);
        self.asked_at = now;
        log::info!(target: "flamingowalk_domain::process::seat", silence_ms = silence.as_millis() as u64, vacated = self.is_vacated; "claiming the planner's seat");
        actions.push(HostAction::ReadNewest(NewestOrder {
            ticket,
            stream: StreamName::Seat,
            after: None,
            timeout: ANSWER_TIME,
        }));
    }

    /// Takes the newest claim; whether the read was this seat's.
    pub fn handle_newest_page(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<NewestPage, StreamError>,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) -> bool {
        if self.stage != ElectionStage::Asking(ticket) {
            return false;
        }
        let page = match result {
            Ok(page) => page,
            Err(error) => {
                log::info!(target: "flamingowalk_domain::process::seat", cause = error.label(); "no claim: the newest one cannot be read");
                self.pause(now);
                return true;
            }
        };
        self.log_time = now.since(self.asked_at);
        if self.sign_at.is_some_and(|sign_at| sign_at > self.asked_at) {
            log::info!(target: "flamingowalk_domain::process::seat", "no claim: the planner gave a sign of life");
            self.pause(now);
            return true;
        }
        if let Some(until) = self.claimed_anew(now, LeaderEpoch(page.end.0)) {
            log::info!(target: "flamingowalk_domain::process::seat", newest = page.end.0; "no claim: another host has claimed");
            self.pause(now);
            self.pause_until = until;
            return true;
        }
        if self.is_unsettled_claim(page) {
            self.unsettled_claim = None;
            self.fence(LeaderEpoch(page.end.0), next_ticket, actions);
            return true;
        }
        let ticket = allocate_ticket(next_ticket);
        self.stage = ElectionStage::Claiming(ticket, page.end);
        // A claim that is still under way may only be repeated as the same claim:
        // whichever of its copies is appended first holds.
        let nonce = self.unsettled_claim.unwrap_or_else(|| {
            self.claims += 1;
            self.identity.nonce.wrapping_add(self.claims)
        });
        self.unsettled_claim = Some(nonce);
        let claim = LeadershipClaim {
            host: self.identity.host.clone(),
            nonce,
        };
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Seat,
                records: vec![claim.encode()],
                condition: AppendCondition::At(page.end),
            },
            timeout: ANSWER_TIME,
        });
        true
    }

    /// Until when another host that has claimed the seat may be about to plan: its claim
    /// is newer than every sign of life, and was first seen a short while ago.
    fn claimed_anew(&mut self, now: MonotonicTime, newest: LeaderEpoch) -> Option<MonotonicTime> {
        if newest <= self.sign_epoch || self.unsettled_claim.is_some() {
            return None;
        }
        let seen_at = match self.newest_claim {
            Some((epoch, seen_at)) if epoch == newest => seen_at,
            _ => {
                self.newest_claim = Some((newest, now));
                now
            }
        };
        let until = seen_at + CLAIM_PATIENCE + self.patience + self.log_time * LOG_STEPS;
        (now < until).then_some(until)
    }

    /// Whether the newest claim is this process's, with its answer lost.
    fn is_unsettled_claim(&self, page: &NewestPage) -> bool {
        let newest = page.records.iter().max_by_key(|record| record.offset);
        let Some(StreamBody::Encoded(_, Some(value))) = newest.map(|record| &record.body) else {
            return false;
        };
        LeadershipClaim::decode(value).is_ok_and(|claim| {
            Some(claim.nonce) == self.unsettled_claim && claim.host == self.identity.host
        })
    }

    /// Takes the answer of an append; whether it was this seat's, and what it leads to.
    pub fn handle_append_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) -> Option<ElectionProgress> {
        match self.stage {
            ElectionStage::Claiming(pending, _) if pending == ticket => {
                match result {
                    Ok(at) => {
                        self.unsettled_claim = None;
                        self.fence(LeaderEpoch(at.next.0), next_ticket, actions);
                    }
                    Err(error) => {
                        log::info!(target: "flamingowalk_domain::process::seat", cause = error.label(); "claim came to nothing");
                        if error.is_definite() {
                            self.unsettled_claim = None;
                        }
                        self.pause(now);
                        if let StreamError::EndMismatch { end } = error
                            && let Some(until) = self.claimed_anew(now, LeaderEpoch(end.0))
                        {
                            self.pause_until = until;
                        }
                    }
                }
                Some(ElectionProgress::None)
            }
            ElectionStage::Fencing(pending, epoch) if pending == ticket => match result {
                Ok(_) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0; "seat claimed; reading the jobs to their tail");
                    self.stage = ElectionStage::CatchingUp(epoch, now);
                    Some(ElectionProgress::Fenced)
                }
                Err(StreamError::Fenced) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0; "claim is void: a higher epoch was announced");
                    self.pause(now);
                    Some(ElectionProgress::None)
                }
                Err(error) => {
                    log::info!(target: "flamingowalk_domain::process::seat", epoch = epoch.0, cause = error.label(); "epoch not announced yet; repeating");
                    // Announcing the same epoch again changes nothing. A log that refuses
                    // for want of time gets some.
                    self.stage = ElectionStage::Announcing(epoch, now + ANNOUNCE_PAUSE);
                    Some(ElectionProgress::None)
                }
            },
            _ => None,
        }
    }

    fn fence(&mut self, epoch: LeaderEpoch, next_ticket: &mut u64, actions: &mut Vec<HostAction>) {
        let ticket = allocate_ticket(next_ticket);
        self.stage = ElectionStage::Fencing(ticket, epoch);
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: Vec::new(),
                condition: AppendCondition::Writer { epoch, sequence: 0 },
            },
            timeout: ANSWER_TIME + self.log_time * LOG_STEPS,
        });
    }

    /// Begins to plan, once the jobs were read to their tail by a read that was sent
    /// after the epoch was announced.
    pub fn try_become_leader(
        &mut self,
        confirmed_at: Option<MonotonicTime>,
    ) -> Option<LeaderEpoch> {
        let ElectionStage::CatchingUp(epoch, since) = self.stage else {
            return None;
        };
        if confirmed_at.is_none_or(|confirmed_at| confirmed_at < since) {
            return None;
        }
        self.stage = ElectionStage::Holding(epoch);
        self.held = epoch;
        Some(epoch)
    }

    /// Time for which some planner before this host may renew leases from now on. The
    /// newest does not once it has ended, but one before that may have been cut from the
    /// log no earlier than the newest began.
    pub fn previous_leader_lease(&self) -> Duration {
        if self.is_vacated {
            LEADER_LEASE_DURATION.saturating_sub(self.sign_tenure)
        } else {
            LEADER_LEASE_DURATION
        }
    }

    fn pause(&mut self, now: MonotonicTime) {
        self.stage = ElectionStage::Watching;
        self.pause_until = now + RETRY_PAUSE;
    }
}
