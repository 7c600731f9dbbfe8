//! Actions that a host requests from its environment. Each order that has an answer carries
//! a ticket, which the answer repeats, and a timeout.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::stream::{AppendOrder, StreamName};
use crate::request::caller_request::{CallerResponse, RequestTicket};

/// Identifier of an order. It rises and is never reused within a process. The state dump
/// prints its `Debug` form.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallTicket(pub u64);

/// An action that a host requests.
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
    /// Request advice on which workers may run a step.
    Advise(AdviceOrder),
    /// List the machines.
    ListMachines(MachineListOrder),
    /// Order the upkeep of a machine.
    Upkeep(UpkeepOrder),
    /// Answer a caller.
    Reply(RequestTicket, CallerResponse),
}

/// Times within which the response to a read has to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseTimeout {
    /// Time from the order until the first bytes.
    pub first: Duration,
    /// Time from the newest progress of the body until the next.
    pub stall: Duration,
    /// Time from the order until the whole response, whatever its progress.
    pub total: Duration,
}

impl ResponseTimeout {
    /// Returns times that allow the whole response as much time as its first bytes.
    pub const fn whole(timeout: Duration) -> Self {
        Self {
            first: timeout,
            stall: timeout,
            total: timeout,
        }
    }
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
    /// Time for which the log may wait for a record to be appended.
    pub wait: Duration,
    /// Time to wait for the answer.
    pub timeout: ResponseTimeout,
}

/// A read of the newest record of each key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewestOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Stream.
    pub stream: StreamName,
    /// Key after which the page begins; `None` for the first page.
    pub after: Option<Arc<str>>,
    /// Time to wait for the answer.
    pub timeout: ResponseTimeout,
}

/// A request for advice on which workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Step.
    pub step: StepKey,
    /// Candidate workers.
    pub workers: Vec<WorkerName>,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// A request for a page of the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineListOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Token of the page; `None` for the first one.
    pub after: Option<Arc<str>>,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// An order for the upkeep of a machine. Everything that runs on it ends at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpkeepOrder {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Machine.
    pub machine: MachineName,
    /// Wave to which the order belongs.
    pub wave: WaveNumber,
    /// Host of the planner that gives the order.
    pub holder: HostName,
    /// Epoch of the planner; the platform refuses orders with a lower one.
    pub epoch: LeaderEpoch,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// An order to one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Ticket of the answer.
    pub ticket: CallTicket,
    /// Worker.
    pub worker: WorkerName,
    /// Incarnation of the worker to which the order applies; any other refuses it.
    pub incarnation: WorkerIncarnation,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Epoch of the planner; a worker that has seen a higher one refuses the order.
    pub epoch: LeaderEpoch,
    /// What to do.
    pub order: WorkerOrder,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// Kind of an order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOrder {
    /// Start a unit.
    Start(StartOrder),
    /// Stop a run of a unit. The worker must not start this run or an earlier one afterwards.
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
    /// Specification of the job, as its caller wrote it.
    pub spec: Arc<str>,
    /// Worker's time until which everything on it may run without a renewal.
    pub lease_until: WorkerClock,
    /// Checkpoint from which to resume.
    pub saved: Option<Arc<str>>,
    /// Approval of the worker as the advice service wrote it; `None` if the job's queue needs
    /// none.
    pub approval: Option<Arc<str>>,
}

/// Poll of a worker for its runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollOrder {
    /// Number up to which ended runs are in the log, so that the worker may drop them.
    pub acknowledged: u64,
    /// Worker's time until which everything on it may run; `None` to leave the lease as it
    /// is.
    pub lease_until: Option<WorkerClock>,
    /// Time for which the worker may wait for a run to end before it answers.
    pub wait: Duration,
}
