//! A wave: the operator's request that some machines have their upkeep.

use crate::prelude::*;

/// Request that each of some machines has its upkeep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveOrder {
    /// Number of the wave.
    pub number: WaveNumber,
    /// Machines.
    pub machines: BTreeSet<MachineName>,
    /// Time within which all of them should have had it.
    pub duration: Duration,
    /// Most machines that may be down for it at once; at least one.
    pub cap: usize,
}
