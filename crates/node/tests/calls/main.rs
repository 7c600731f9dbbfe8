//! Contract tests of calls: against faulty targets, and against callers during a shutdown
//! of the host.

mod call_faults;
mod faulty_target;
mod host_drain;
