//! Conversions between the external formats and the inner types, one module per
//! interface. A change of format touches its module here and nothing else.

pub mod caller;
pub mod election;
pub mod hosts;
pub mod log;
pub mod peer;
pub mod records;
pub mod target;
