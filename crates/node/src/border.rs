//! Conversions between the external formats and the inner types, one module per
//! interface. A change of format touches its module here and nothing else.

pub mod caller;
pub mod hosts;
pub mod log;
pub mod peer;
pub mod records;
pub mod seat;
pub mod target;
