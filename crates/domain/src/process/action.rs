//! What a host asks its surroundings to do. Each order that has an answer carries a
//! ticket and the time after which to give up waiting for it.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::stream::{AppendOrder, StreamName};
use crate::request::caller_request::{CallerResponse, RequestTicket};

/// Identifier of an order; rises, and is never used twice in a process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

/// What a host asks for.
#[derive(Clone, Debug)]
pub enum HostAction {
    /// Read records from an offset on.
    Read(ReadOrder),
    /// Read the newest record of each key.
    ReadNewest(NewestOrder),
    /// Append records.
    Append {
        /// Ticket of the answer.
        ticket: CallTicket,
        /// What to append.
        order: AppendOrder,
        /// Time to wait for the answer.
        timeout: Duration,
    },
    /// Send an order to a worker.
    Worker(WorkerCall),
    /// Ask which workers may run a step.
    Advise(AdviceOrder),
    /// List the machines.
    ListMachines(MachineListOrder),
    /// Have a machine's upkeep done.
    Upkeep(UpkeepOrder),
    /// Answer a caller.
    Reply(RequestTicket, CallerResponse),
}

/// A read of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Stream.
    pub stream: StreamName,
    /// Offset of the first record wanted.
    pub from: StreamOffset,
    /// Time for which the log may wait for a record to come.
    pub wait: Duration,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// A read of the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewestOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Stream.
    pub stream: StreamName,
    /// Key after which to begin; nothing for the first page.
    pub after: Option<Arc<str>>,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// A question which workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Step.
    pub step: StepKey,
    /// Workers asked about.
    pub workers: Vec<WorkerName>,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// A question for a page of the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineListOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Where the page begins; nothing for the first one.
    pub after: Option<Arc<str>>,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// An order for the upkeep of a machine. Everything on it ends at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpkeepOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Machine.
    pub machine: MachineName,
    /// Wave that asks for it.
    pub wave: WaveNumber,
    /// Host that orders.
    pub holder: HostName,
    /// Tenure of the planner; the platform takes no order of a lower one.
    pub epoch: LeaderEpoch,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// An order to one life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Worker.
    pub worker: WorkerName,
    /// Life of the worker that is meant; any other refuses.
    pub incarnation: WorkerIncarnation,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Tenure of the planner; a worker that has seen a higher one does nothing.
    pub epoch: LeaderEpoch,
    /// What to do.
    pub order: WorkerOrder,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// What a worker is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOrder {
    /// Start a unit.
    Start(StartOrder),
    /// Stop a run of a unit, and never start it or an earlier one.
    Stop {
        /// Unit.
        unit: UnitKey,
        /// Run.
        run: RunNumber,
    },
    /// List what runs and what has ended, and extend the lease.
    Poll(PollOrder),
}

/// Start of a unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// Unit.
    pub unit: UnitKey,
    /// Run.
    pub run: RunNumber,
    /// Text of the job.
    pub spec: Arc<str>,
    /// Worker's time until which everything on it may go on without a renewal.
    pub lease_until: WorkerClock,
    /// Checkpoint from which to resume.
    pub saved: Option<Arc<str>>,
    /// Approval of the worker, where the job's queue needs one; as the service wrote it.
    pub approval: Option<Arc<str>>,
}

/// Question for what runs and what has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollOrder {
    /// Number up to which ends are in the log, so that the worker may forget them.
    pub acknowledged: u64,
    /// Worker's time until which everything on it may go on; nothing to extend nothing.
    pub lease_until: Option<WorkerClock>,
    /// Time for which the worker may wait for an end.
    pub wait: Duration,
}
