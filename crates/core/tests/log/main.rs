//! The log in use: follower, appender, books and snapshots against a small fake
//! log with faults, on a virtual clock.

mod appender;
mod fake;
mod faults;
mod follower;
mod tables;
