//! What lives for one connection to a target: its liveness and reuse rules.

pub mod liveness;
