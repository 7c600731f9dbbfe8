//! Machines as the platform lists them, and errors of calls about them.

use thiserror::Error;

use crate::prelude::*;

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// The machine runs its worker.
    Up,
    /// Upkeep is in progress.
    Upkeep,
    /// The machine moves to another pool, or is down.
    Unavailable,
}

/// An entry of the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub name: MachineName,
    /// State of the machine.
    pub state: MachineState,
    /// Its worker, if it has one at present.
    pub worker: Option<WorkerName>,
}

/// A page of the list of machines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachinePage {
    /// Machines.
    pub machines: Vec<ListedMachine>,
    /// Token of the next page; `None` on the last one.
    pub next: Option<Arc<str>>,
}

/// Why a call about machines failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MachineError {
    /// The settings name no machine service.
    #[error("a wave needs the machines' service and the settings name none; set platform.machines")]
    NoService,
    /// An order with a higher epoch was accepted before.
    #[error("an order of a later planner was accepted; this planner has to stop")]
    Fenced,
    /// The machine is not up, or is about to go down.
    #[error("the machine is busy; the order is retried")]
    Busy,
    /// The machine does not belong to the wave or does not exist.
    #[error("the machine does not belong to this wave; publish the wave again")]
    NotOfWave,
    /// Too many calls; this one had no effect.
    #[error("too many calls about machines; they are retried at a lower rate")]
    TooManyRequests,
    /// No response came; the order may have been carried out.
    #[error("no answer about a machine; its state is listed again")]
    NoAnswer,
    /// The response cannot be decoded.
    #[error("an answer about machines cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// Description of the error.
        detail: String,
    },
}
