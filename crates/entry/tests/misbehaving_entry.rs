//! Misbehaving clients against the entry daemon, which runs as a process of its own on
//! loopback addresses, without a log. It has two listeners: one for callers, operators and the
//! load balancer, and one for peers. A crowd of clients sends one kind of load to one listener
//! and stays connected. The tests check what does not depend on the speed of the machine: the
//! process lives, its memory and its descriptors stay under a bound, and ordinary requests and
//! a peer with the secret are served afterwards. They run one at a time.

#[path = "misbehaving_entry/cases.rs"]
mod cases;
#[path = "../../../platform/tests/misbehaving/crowd.rs"]
#[allow(
    dead_code,
    reason = "shared with the tests of the daemon of a planning domain"
)]
mod crowd;
#[path = "misbehaving_entry/daemon.rs"]
mod daemon;
#[path = "../../../platform/tests/misbehaving/process.rs"]
#[allow(
    dead_code,
    reason = "shared with the tests of the daemon of a planning domain"
)]
mod process;
