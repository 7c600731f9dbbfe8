//! The fault cases of the call measurement. Worker numbers count over all zones;
//! every zone has the same number of faulty workers.

use std::time::Duration;

use super::bench::CallBench;

/// Calls per second outside bursts.
pub(crate) const BASE_RATE: f64 = 800.0;

/// Factor on the rate during a burst.
const BURST_FACTOR: f64 = 5.0;

/// One worker in so many is faulty.
const FAULTY_SHARE: usize = 8;

/// Connections of one worker in so many go silent at each step.
const SILENT_SHARE: usize = 5;

/// Pause between two steps of silencing.
const SILENT_STEP: Duration = Duration::from_secs(1);

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultCase {
    /// Nothing.
    Healthy,
    /// One worker in eight fails every call at once.
    FailingFast,
    /// One worker in eight is ten times slower.
    Slow,
    /// Every second, a fifth of the connections goes silent for good.
    SilentConnections,
    /// The host's own zone refuses connections from a quarter of the run on.
    ZoneCut,
    /// Five times the rate in the second quarter of the run.
    Burst,
}

impl FaultCase {
    /// All cases, in the order of the page.
    pub(crate) const ALL: [Self; 6] = [
        Self::Healthy,
        Self::FailingFast,
        Self::Slow,
        Self::SilentConnections,
        Self::ZoneCut,
        Self::Burst,
    ];

    /// Name on the page.
    pub(crate) const fn title(self) -> &'static str {
        match self {
            Self::Healthy => "no fault",
            Self::FailingFast => "1 in 8 fails fast",
            Self::Slow => "1 in 8 ten times slower",
            Self::SilentConnections => "a fifth of connections silent",
            Self::ZoneCut => "own zone cut off",
            Self::Burst => "burst of 5x",
        }
    }

    /// Whether the worker with this number is faulty from the start.
    pub(crate) const fn is_faulty(self, worker: usize) -> bool {
        matches!(self, Self::FailingFast | Self::Slow) && worker.is_multiple_of(FAULTY_SHARE)
    }

    /// Calls per second at this time of a run.
    pub(crate) fn rate(self, base: f64, elapsed: Duration, length: Duration) -> f64 {
        let quarter = length / 4;
        let is_burst = self == Self::Burst && elapsed >= quarter && elapsed < quarter * 2;
        if is_burst { base * BURST_FACTOR } else { base }
    }

    /// Carries out what is to happen at this time; `step` counts earlier calls.
    pub(crate) fn apply(self, bench: &CallBench, elapsed: Duration, length: Duration, step: usize) {
        match self {
            Self::SilentConnections => {
                let workers = bench.workers().iter().skip(step % SILENT_SHARE);
                for worker in workers.step_by(SILENT_SHARE) {
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

    /// Pause between two calls of `apply`.
    pub(crate) const fn step() -> Duration {
        SILENT_STEP
    }
}
