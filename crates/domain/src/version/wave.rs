//! A wave: the operator's request for the upkeep of a set of machines.

use crate::prelude::*;

/// Request for the upkeep of a set of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveOrder {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Machines.
    pub machines: BTreeSet<MachineName>,
    /// Time within which the upkeep of all of them should be done.
    pub duration: Duration,
    /// Maximum number of machines that may be down for upkeep at once; at least one.
    pub cap: usize,
}
