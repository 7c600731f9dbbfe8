//! Admission of calls: fair shares of the host's call capacity among customers,
//! and a bounded wait that counts against each call's deadline.

pub mod queue;
