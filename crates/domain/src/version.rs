//! What lives for one version of the configuration.

pub mod manifest;
pub mod wave;
