//! Fault cases of the call measurement. Faulty workers are chosen by their number within
//! the zone, so every zone has the same number of them.

use std::time::Duration;

use super::bench::CallBench;

/// Calls per second outside bursts.
pub(crate) const BASE_RATE: f64 = 800.0;

/// Factor on the rate during a burst.
const BURST_FACTOR: f64 = 5.0;

/// One worker in this many is faulty.
const FAULTY_WORKER_DIVISOR: usize = 8;

/// At each step, the connections of one worker in this many become unresponsive.
const SILENCED_WORKER_DIVISOR: usize = 5;

/// Time between two steps of [`FaultCase::apply`].
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);

/// Fault injected during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultCase {
    /// No fault.
    Healthy,
    /// One worker in eight fails every call immediately.
    FailingFast,
    /// One worker in eight is ten times slower.
    Slow,
    /// Every second, a fifth of the connections becomes permanently unresponsive.
    SilentConnections,
    /// Workers in the host's own zone refuse connections after the first quarter of the run.
    ZoneCut,
    /// Five times the rate in the second quarter of the run.
    Burst,
}

impl FaultCase {
    /// All cases, in the order in which the page lists them.
    pub(crate) const ALL: [Self; 6] = [
        Self::Healthy,
        Self::FailingFast,
        Self::Slow,
        Self::SilentConnections,
        Self::ZoneCut,
        Self::Burst,
    ];

    /// Returns the name on the page.
    pub(crate) const fn title(self) -> &'static str {
        match self {
            Self::Healthy => "no fault",
            Self::FailingFast => "1 in 8 fails fast",
            Self::Slow => "1 in 8 ten times slower",
            Self::SilentConnections => "a fifth of connections unresponsive",
            Self::ZoneCut => "own zone unreachable",
            Self::Burst => "burst of 5x",
        }
    }

    /// Returns whether the worker with this number in its zone is faulty from the start.
    pub(crate) const fn is_faulty(self, worker: usize) -> bool {
        matches!(self, Self::FailingFast | Self::Slow)
            && worker.is_multiple_of(FAULTY_WORKER_DIVISOR)
    }

    /// Returns the calls per second at `elapsed` of a run of this length.
    pub(crate) fn rate(self, base: f64, elapsed: Duration, length: Duration) -> f64 {
        let quarter = length / 4;
        let is_burst = self == Self::Burst && elapsed >= quarter && elapsed < quarter * 2;
        if is_burst { base * BURST_FACTOR } else { base }
    }

    /// Injects the faults that are due at `elapsed`; `step` is the number of earlier calls.
    pub(crate) fn apply(self, bench: &CallBench, elapsed: Duration, length: Duration, step: usize) {
        match self {
            Self::SilentConnections => {
                let workers = bench.workers().iter().skip(step % SILENCED_WORKER_DIVISOR);
                for worker in workers.step_by(SILENCED_WORKER_DIVISOR) {
                    worker.faults().silence_connections();
                }
            }
            Self::ZoneCut if elapsed >= length / 4 => {
                for worker in bench.own_zone_workers() {
                    worker.faults().set_down(true);
                }
            }
            _ => {}
        }
    }

    /// Returns the time between two calls of [`Self::apply`].
    pub(crate) const fn apply_interval() -> Duration {
        SILENCE_INTERVAL
    }
}
