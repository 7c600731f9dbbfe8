//! Conversions between the external formats and the internal types, one module per
//! interface. A change of a format is limited to its module.

pub mod caller;
pub mod election;
pub mod hosts;
pub mod log;
pub mod peer;
pub mod records;
pub mod target;
