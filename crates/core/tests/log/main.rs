//! Tests follower, appender, tables and snapshots against a fake log with injected
//! faults, on a virtual clock.

mod appender;
mod fake;
mod faults;
mod follower;
mod tables;
