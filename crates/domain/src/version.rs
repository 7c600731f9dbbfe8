//! Data of one version of the configuration, and waves of upkeep.

pub mod manifest;
pub mod wave;
