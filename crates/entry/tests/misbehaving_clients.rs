//! Misbehaving clients against the daemon of a planning domain, which runs as a process of
//! its own on loopback addresses with the stand-in of the platform. A crowd of clients sends
//! one kind of load to one listener and stays connected. The tests check what does not depend
//! on the speed of the machine: the process lives, its memory and its descriptors stay under
//! a bound, ordinary requests are answered meanwhile, and jobs run. They run one at a time.
//!
//! All that depends on the names of the platform is in `platform/tests`.
//!
//! `CROWD_FACTOR=n cargo test` multiplies the size of every crowd, and `CROWD_MEMORY_MB=n`
//! sets the memory of the host, for trials by hand at the real size of 2,000 clients.

#[path = "../../../platform/tests/misbehaving/cases.rs"]
mod cases;
#[path = "../../../platform/tests/misbehaving/crowd.rs"]
#[allow(
    dead_code,
    reason = "some loads are only for the listeners of the entry daemon"
)]
mod crowd;
#[path = "../../../platform/tests/misbehaving/daemon.rs"]
mod daemon;
#[path = "../../../platform/tests/misbehaving/platform.rs"]
mod platform;
#[path = "../../../platform/tests/misbehaving/process.rs"]
mod process;
#[path = "../../../platform/tests/standin.rs"]
#[allow(
    dead_code,
    reason = "the stand-in is shared with the tests of the adapter"
)]
mod standin;
