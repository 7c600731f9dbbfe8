//! An open job and its members. The stages follow the two-phase start: reserve all
//! members, record the start, start all members, run, stop those that remain, record
//! the ending.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::action::{JobEnding, StartOrder, TaskDemand};
use crate::process::planner::event::{AcceptedJob, TaskKey};
use crate::version::settings::JobClass;

/// Why the members of an attempt are being stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopPurpose {
    /// The attempt did not start or was preempted: the job is retried later.
    Retry,
    /// The attempt failed, for this reason: the job is retried if another attempt is
    /// allowed.
    Fail(String),
    /// The job far exceeded the resources it declared: it fails, for this reason.
    Exceed(String),
    /// The caller cancelled the job.
    Cancel,
    /// A record in the log closed the job; no further ending is recorded.
    Close,
}

/// Stage of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobStage {
    /// The job may be running on workers that have not yet listed their tasks, so its
    /// state is unknown. No member exists.
    Unsettled,
    /// The job waits for capacity. No member exists.
    Queued,
    /// The reservation of every member has been requested.
    Reserving,
    /// Every member holds its reservation; the record of the start has been requested.
    Recording,
    /// The record is in the log; the start of every member has been requested.
    Starting,
    /// Every member has started.
    Running,
    /// Members are being stopped or released.
    Stopping(StopPurpose),
    /// The record of the ending has been requested; no member is left.
    Ending(JobEnding),
}

/// State of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The reservation has been requested.
    ReserveAsked,
    /// The worker holds the reservation.
    Held,
    /// The start has been requested.
    StartAsked,
    /// The response to the start was lost. The worker's task list will show whether the
    /// task runs.
    StartUnknown,
    /// The worker runs it.
    Running,
    /// The worker was asked to save the task's state and stop it. The lease is renewed
    /// meanwhile.
    SaveAsked,
    /// The stop or release has been requested.
    StopAsked,
    /// The task finished; the worker holds no resources for it.
    Finished,
    /// The worker is known to hold no resources for the task any more.
    Gone,
}

/// One member of the current attempt.
#[derive(Clone, Debug)]
pub struct GangMember {
    /// Its worker.
    pub worker: WorkerName,
    /// Its state.
    pub state: MemberState,
    /// When it entered the state. A task list requested earlier is not evidence about
    /// the state.
    pub since: MonotonicTime,
    /// Time until which its lease is known to be valid, counted from the sending of the
    /// request to which the worker responded.
    pub valid_until: MonotonicTime,
    /// Time by which its lease has expired whether or not requests took effect.
    pub expired_by: MonotonicTime,
    /// When the lease is next renewed, or the stop is sent again.
    pub due_at: MonotonicTime,
    /// Deadline for saving its state; after it the member is stopped.
    pub save_deadline: MonotonicTime,
    /// Whether its processor share was limited.
    pub throttled: bool,
    /// Whether the worker may have started it. Set before `Start` is sent and cleared
    /// only if the worker responds that nothing was started.
    pub may_have_started: bool,
}

impl GangMember {
    /// Moves the member to another state.
    pub const fn enter(&mut self, state: MemberState, now: MonotonicTime) {
        self.state = state;
        self.since = now;
    }

    /// Whether the worker holds no resources for it any more.
    pub const fn is_over(&self) -> bool {
        matches!(self.state, MemberState::Finished | MemberState::Gone)
    }

    /// Whether its lease is renewed in its present state.
    pub const fn needs_renewal(&self) -> bool {
        matches!(
            self.state,
            MemberState::Held
                | MemberState::StartAsked
                | MemberState::StartUnknown
                | MemberState::Running
                | MemberState::SaveAsked
        )
    }
}

/// An open job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job as accepted.
    pub job: AcceptedJob,
    /// Its class as declared when it was accepted. `None` if it was not declared then;
    /// a later configuration that declares it fills this in.
    pub class: Option<Arc<JobClass>>,
    /// Its stage.
    pub stage: JobStage,
    /// Number of the newest attempt. Numbers are never reused, so a late response
    /// belongs to exactly one request.
    pub attempt: u32,
    /// Highest attempt that a worker has listed; new attempts are numbered above it.
    pub listed_attempt: u32,
    /// Attempts that may have started; never more than one unless idempotent.
    pub starts: u32,
    /// Members of the current attempt by index; empty while queued.
    pub members: Vec<GangMember>,
    /// Checkpoints to resume from, by member. Either those of all members of a single
    /// attempt, or empty.
    pub checkpoints: BTreeMap<u32, String>,
    /// Checkpoints that members of the current attempt have saved, by member.
    pub saved: BTreeMap<u32, String>,
    /// Retries since the job last ran; they determine the backoff.
    pub retries: u32,
    /// Workers on which capacity is being reclaimed for it. Empty if it has claimed no
    /// capacity.
    pub claimed: BTreeSet<WorkerName>,
    /// Workers on which capacity was last reserved for it.
    pub reserved_on: BTreeSet<WorkerName>,
    /// Workers on which an attempt failed; the next attempts avoid them for a while.
    pub failed_on: BTreeSet<WorkerName>,
    /// When an attempt last failed.
    pub failed_at: MonotonicTime,
    /// When the planner learned of the job; its age is counted from this time.
    pub accepted_at: MonotonicTime,
    /// Highest memory use that a member reported, in mebibytes.
    pub peak_memory_mb: u64,
    /// Earliest time of the next attempt. Set while the job is delayed.
    pub delayed_until: Option<MonotonicTime>,
    /// Deadline of the start, if any.
    pub start_by: Option<MonotonicTime>,
    /// When the current stage began.
    pub since: MonotonicTime,
    /// Whether the caller cancelled it before the planner had rebuilt its state.
    pub cancelled: bool,
}

impl JobEntry {
    /// Creates a job of which only the acceptance is known.
    pub fn new(job: AcceptedJob, class: Option<Arc<JobClass>>, now: MonotonicTime) -> Self {
        let start_by = job.start_within.map(|within| now + within);
        Self {
            attempt: job.attempts_started,
            listed_attempt: 0,
            starts: job.attempts_started,
            job,
            class,
            stage: JobStage::Unsettled,
            members: Vec::new(),
            checkpoints: BTreeMap::new(),
            saved: BTreeMap::new(),
            retries: 0,
            claimed: BTreeSet::new(),
            reserved_on: BTreeSet::new(),
            failed_on: BTreeSet::new(),
            failed_at: now,
            accepted_at: now,
            peak_memory_mb: 0,
            delayed_until: None,
            start_by,
            since: now,
            cancelled: false,
        }
    }

    /// Moves the job to another stage.
    pub fn enter(&mut self, stage: JobStage, now: MonotonicTime) {
        self.stage = stage;
        self.since = now;
    }

    /// Returns the task key of a member in the current attempt.
    pub fn key(&self, member: usize) -> TaskKey {
        TaskKey {
            job: self.job.id.clone(),
            attempt: self.attempt,
            member: member as u32,
        }
    }

    /// Returns the index of the member that a task names, if the task belongs to the
    /// current attempt.
    pub fn member_index(&self, key: &TaskKey) -> Option<usize> {
        let member = key.member as usize;
        let is_current = key.attempt == self.attempt && member < self.members.len();
        is_current.then_some(member)
    }

    /// Whether the job may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.class.as_ref().is_some_and(|class| class.idempotent)
    }

    /// Whether another attempt may be started.
    pub fn may_start_again(&self) -> bool {
        let limit = self.class.as_ref().map_or(1, |class| class.attempts.max(1));
        self.starts == 0 || (self.is_idempotent() && self.starts < limit)
    }

    /// Returns the order that starts a member, or `None` if the class is unknown.
    pub fn start_order(&self, member: usize) -> Option<StartOrder> {
        let class = self.class.as_ref()?;
        Some(StartOrder {
            customer: self.job.customer.clone(),
            class: self.job.class.clone(),
            service: class.service.clone(),
            members: class.tasks,
            idempotent: class.idempotent,
            checkpoint: class.checkpoint,
            resume_from: self.checkpoints.get(&(member as u32)).cloned(),
        })
    }
}

/// Returns the resources of each task of a class. Every task takes one slot.
pub fn task_demand(class: &JobClass) -> TaskDemand {
    TaskDemand {
        slots: 1,
        accelerators: class.accelerators,
        cores: class.cores,
        memory_mb: class.memory_mb,
    }
}

/// Phase of a job, as shown to operators and callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobPhase {
    /// The job waits for capacity.
    Queued,
    /// Its reservations or the record of its start have been requested.
    Reserving,
    /// The start of its members has been requested.
    Starting,
    /// All members have started.
    Running,
    /// Its members are being stopped or its ending is being recorded.
    Ending,
}

impl Display for JobPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Queued => "queued",
            Self::Reserving => "reserving",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Ending => "ending",
        })
    }
}

impl From<&JobStage> for JobPhase {
    fn from(stage: &JobStage) -> Self {
        match stage {
            JobStage::Unsettled | JobStage::Queued => Self::Queued,
            JobStage::Reserving | JobStage::Recording => Self::Reserving,
            JobStage::Starting => Self::Starting,
            JobStage::Running => Self::Running,
            JobStage::Stopping(_) | JobStage::Ending(_) => Self::Ending,
        }
    }
}

/// A job as shown to operators and callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its customer.
    pub customer: CustomerName,
    /// Its class.
    pub class: ClassName,
    /// Its phase.
    pub phase: JobPhase,
    /// Its newest attempt; zero before the first.
    pub attempt: u32,
    /// Workers of its members, in member order.
    pub workers: Vec<WorkerName>,
}
