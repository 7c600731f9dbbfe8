//! Machines as their platform lists them, and why a call about them brought nothing.

use thiserror::Error;

use crate::prelude::*;

/// What a machine does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Its worker runs.
    Up,
    /// It has its upkeep.
    Upkeep,
    /// It changes its pool, or is down.
    Unavailable,
}

/// A machine as it is listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// Machine.
    pub name: MachineName,
    /// What it does.
    pub state: MachineState,
    /// Its worker, while it has one.
    pub worker: Option<WorkerName>,
}

/// Part of the list of machines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachinePage {
    /// Machines.
    pub machines: Vec<ListedMachine>,
    /// Where the next page begins; nothing on the last one.
    pub next: Option<Arc<str>>,
}

/// Why a call about machines brought nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MachineError {
    /// The settings name no service.
    #[error("a wave needs the machines' service and the settings name none; set platform.machines")]
    NoService,
    /// An order with a higher epoch was taken.
    #[error("an order of a later planner was taken; this one has to stop")]
    Fenced,
    /// The machine is not up, or is leaving.
    #[error("the machine is busy; it is asked again")]
    Busy,
    /// The machine is not of the wave, or there is no such machine.
    #[error("the machine is not of this wave; publish the wave again")]
    NotOfWave,
    /// Too many calls; nothing was done.
    #[error("too many calls about machines; they are repeated more slowly")]
    TooManyRequests,
    /// No answer came: the order may have been carried out.
    #[error("no answer about a machine; its state is listed again")]
    NoAnswer,
    /// The answer cannot be read.
    #[error("an answer about machines cannot be read ({detail}); check the interface versions")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}
