//! Contract tests of the stand-ins over real connections.

mod contract {
    pub mod hosts;
    pub mod log;
    pub mod support;
    pub mod worker;
}
