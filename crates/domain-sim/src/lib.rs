//! A planning domain on a virtual clock: the log, the workers and the callers are
//! simulated, the hosts are the real [`DomainHost`](flamingowalk_domain::process::host::DomainHost).
//! Tests inject faults from outside and check what callers and workers observe.

pub mod load;
pub mod sim_advice;
pub mod sim_log;
pub mod sim_machines;
pub mod sim_worker;
pub mod sim_world;

pub use load::{LoadClass, LoadPlan};
pub use sim_advice::SimAdvice;
pub use sim_log::SimLog;
pub use sim_machines::SimMachines;
pub use sim_worker::SimWorker;
pub use sim_world::{JobReport, SimHost, SimWorld};
