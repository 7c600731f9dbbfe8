//! Contract tests of calls: towards targets that misbehave, and towards callers
//! while the host shuts down.

mod call_faults;
mod faulty_target;
mod host_drain;
