//! Data of one version of the configuration, and waves of upkeep.

pub mod caller_limits;
pub mod manifest;
pub mod route_index;
pub mod wave;
