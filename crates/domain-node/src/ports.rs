//! Ports through which a host calls other services. The platform adapter provides one
//! closure for each kind of call; a closure performs one call and abandons it after its
//! timeout.

use std::fmt::{self, Debug, Formatter};
use std::pin::Pin;
use std::time::Duration;

use flamingowalk_domain::process::action::{
    AdviceOrder, MachineListOrder, NewestOrder, ReadOrder, UpkeepOrder, WorkerCall,
};
use flamingowalk_domain::process::event::{AdviceError, WorkerAnswer, WorkerApproval, WorkerError};
use flamingowalk_domain::process::machine::{MachineError, MachinePage};
use flamingowalk_domain::process::stream::{
    AppendOrder, AppendedAt, NewestPage, StreamError, StreamPage,
};

/// Future of a call in flight.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// Reports that a further part of the response to a read arrived.
pub type ReadProgress = Box<dyn Fn()>;
/// Reads records from an offset on.
pub type ReadPort =
    Box<dyn Fn(ReadOrder, ReadProgress) -> PortFuture<Result<StreamPage, StreamError>>>;
/// Reads the newest record of each key.
pub type NewestPort =
    Box<dyn Fn(NewestOrder, ReadProgress) -> PortFuture<Result<NewestPage, StreamError>>>;
/// Appends records.
pub type AppendPort =
    Box<dyn Fn(AppendOrder, Duration) -> PortFuture<Result<AppendedAt, StreamError>>>;
/// Sends an order to a worker.
pub type WorkerPort = Box<dyn Fn(WorkerCall) -> PortFuture<Result<WorkerAnswer, WorkerError>>>;
/// Asks which workers may run a step.
pub type AdvicePort =
    Box<dyn Fn(AdviceOrder) -> PortFuture<Result<Vec<WorkerApproval>, AdviceError>>>;
/// Lists machines.
pub type MachinesPort =
    Box<dyn Fn(MachineListOrder) -> PortFuture<Result<MachinePage, MachineError>>>;
/// Orders the upkeep of a machine.
pub type UpkeepPort = Box<dyn Fn(UpkeepOrder) -> PortFuture<Result<(), MachineError>>>;

/// The calls that a host can make.
pub struct DomainPorts {
    /// Reads records from an offset on.
    pub read: ReadPort,
    /// Reads the newest record of each key.
    pub read_newest: NewestPort,
    /// Appends records.
    pub append: AppendPort,
    /// Sends an order to a worker.
    pub worker: WorkerPort,
    /// Asks which workers may run a step.
    pub advise: AdvicePort,
    /// Lists machines.
    pub list_machines: MachinesPort,
    /// Orders the upkeep of a machine.
    pub upkeep: UpkeepPort,
}

impl Debug for DomainPorts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("DomainPorts").finish_non_exhaustive()
    }
}
