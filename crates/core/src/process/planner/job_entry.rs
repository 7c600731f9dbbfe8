//! One open job and its members. The stages follow the two-step start: reserve
//! all, record, start all, run, stop what is left, record the ending.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::action::{JobEnding, StartOrder, TaskDemand};
use crate::process::planner::event::{AcceptedJob, TaskKey};
use crate::version::settings::JobClass;

/// Why the members of an attempt are being stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopPurpose {
    /// The attempt did not get under way, or was preempted: try again later.
    Retry,
    /// The attempt failed for this reason: try again if the job may.
    Fail(String),
    /// The job exceeded what it declared by far: it fails for this reason.
    Exceed(String),
    /// The caller cancelled the job.
    Cancel,
    /// A record closed the job elsewhere; no ending is to be recorded.
    Close,
}

/// Where a job stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobStage {
    /// May run on some worker; which one is known once the workers have listed
    /// their tasks. No member exists.
    Unsettled,
    /// Waits for capacity. No member exists.
    Queued,
    /// Every member's reservation is asked for.
    Reserving,
    /// Every member holds; the record of the start is asked for.
    Recording,
    /// The record is in the log; every member was asked to start.
    Starting,
    /// Every member has started.
    Running,
    /// Members are being stopped or released.
    Stopping(StopPurpose),
    /// The record of the ending is asked for; no member is left.
    Ending(JobEnding),
}

/// Where a member stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The reservation is asked for.
    ReserveAsked,
    /// The worker holds the reservation.
    Held,
    /// The start is asked for.
    StartAsked,
    /// The answer to the start was lost; the worker's list will tell.
    StartUnknown,
    /// The worker runs it.
    Running,
    /// It was asked to save its state and end. Its lease is kept alive meanwhile.
    SaveAsked,
    /// Its end or release is asked for.
    StopAsked,
    /// It finished; the worker holds nothing for it.
    Finished,
    /// It certainly holds nothing on the worker any more.
    Gone,
}

/// One member of the current attempt.
#[derive(Clone, Debug)]
pub struct GangMember {
    /// Its worker.
    pub worker: WorkerName,
    /// Where it stands.
    pub state: MemberState,
    /// Since when; a list asked for earlier says nothing about the state.
    pub since: MonotonicTime,
    /// Until when its lease certainly holds, counted from the sending of the
    /// request that was answered.
    pub valid_until: MonotonicTime,
    /// When its lease has certainly lapsed, whatever became of the requests.
    pub lapse_by: MonotonicTime,
    /// When the lease is next to be renewed, or the stop asked for again.
    pub due_at: MonotonicTime,
    /// When a member that saves its state is stopped instead.
    pub save_until: MonotonicTime,
    /// Whether its processor share was limited.
    pub throttled: bool,
    /// Whether the worker may have started it. Set before `Start` is sent,
    /// cleared only when the worker says that nothing was started.
    pub may_have_started: bool,
}

impl GangMember {
    /// Moves the member to another state.
    pub const fn enter(&mut self, state: MemberState, now: MonotonicTime) {
        self.state = state;
        self.since = now;
    }

    /// Whether the worker holds nothing for it any more.
    pub const fn is_over(&self) -> bool {
        matches!(self.state, MemberState::Finished | MemberState::Gone)
    }

    /// Whether its lease is to be kept alive.
    pub const fn is_renewed(&self) -> bool {
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

/// One open job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job as accepted.
    pub job: AcceptedJob,
    /// Its class as declared when it was accepted; nothing while no
    /// configuration is known.
    pub class: Option<Arc<JobClass>>,
    /// Where it stands.
    pub stage: JobStage,
    /// Number of the newest attempt; never used twice, so that a late answer
    /// always belongs to one request.
    pub attempt: u32,
    /// Highest attempt that a worker has listed; later ones are numbered above it.
    pub listed_attempt: u32,
    /// Attempts that may have started; never more than one unless idempotent.
    pub starts: u32,
    /// Members of the current attempt by index; empty while queued.
    pub members: Vec<GangMember>,
    /// Checkpoints to resume from: of every member and of one attempt, or none.
    pub checkpoints: BTreeMap<u32, String>,
    /// Checkpoints that members of the current attempt have saved.
    pub saved: BTreeMap<u32, String>,
    /// Reservations that were given back since the job last ran.
    pub refusals: u32,
    /// Workers on which capacity for it is being cleared; empty without a claim.
    pub claimed: BTreeSet<WorkerName>,
    /// Workers on which space was last kept for it.
    pub reserved_on: BTreeSet<WorkerName>,
    /// Workers on which an attempt failed; others are tried next.
    pub failed_on: BTreeSet<WorkerName>,
    /// When an attempt failed last.
    pub failed_at: MonotonicTime,
    /// When the planner learned of it; its age counts from here.
    pub accepted_at: MonotonicTime,
    /// Highest memory use that a member reported, in mebibytes.
    pub peak_memory_mb: u64,
    /// Earliest time of the next try; set while the job is delayed.
    pub delayed_until: Option<MonotonicTime>,
    /// Latest time by which it must have started, if any.
    pub start_by: Option<MonotonicTime>,
    /// When the current stage began.
    pub since: MonotonicTime,
    /// Whether the caller asked for its end before the state was rebuilt.
    pub cancelled: bool,
}

impl JobEntry {
    /// A job of which nothing but its acceptance is known.
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
            refusals: 0,
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

    /// Task of a member in the current attempt.
    pub fn key(&self, member: usize) -> TaskKey {
        TaskKey {
            job: self.job.id.clone(),
            attempt: self.attempt,
            member: member as u32,
        }
    }

    /// Index of the member that a task names, if it is of the current attempt.
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

    /// What a member is to run.
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

/// Resources of each task of a class. Every task takes one slot.
pub fn task_demand(class: &JobClass) -> TaskDemand {
    TaskDemand {
        slots: 1,
        accelerators: class.accelerators,
        cores: class.cores,
        memory_mb: class.memory_mb,
    }
}

/// Where a job stands, as shown to operators and callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobPhase {
    /// Waits for capacity.
    Queued,
    /// Its reservations or the record of its start are asked for.
    Reserving,
    /// Its members were asked to start.
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
    /// Where it stands.
    pub phase: JobPhase,
    /// Its newest attempt; zero before the first.
    pub attempt: u32,
    /// Workers of its members, in member order.
    pub workers: Vec<WorkerName>,
}
