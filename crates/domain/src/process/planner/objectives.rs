//! How often the objective of an occurrence was expected to be met when its units started, and
//! how often it was met, by queue. Shows whether placements by expected end hold what they
//! promise under long-tailed run times and unequal speeds.

use metrics::counter;

use crate::prelude::*;

/// Counter of occurrences that are done, by `queue`, by whether they were `expected` to meet
/// their objective at their newest start, and by `outcome`.
pub const OBJECTIVES: &str = "flamingowalk_domain_objectives_total";

/// Expectation at the start of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartForecast {
    /// End of the objective of the occurrence, as it was known then.
    pub due_by: MonotonicTime,
    /// Whether the occurrence was expected to meet it.
    pub is_met: bool,
}

/// Numbers of occurrences of a queue that are done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ObjectiveTally {
    /// All of them.
    pub done: u64,
    /// Those that were expected to meet their objective.
    pub expected: u64,
    /// Those that met it.
    pub met: u64,
    /// Those that were expected to meet it and did.
    pub expected_met: u64,
}

impl StartForecast {
    /// Adds the expectation for a further group: the occurrence meets its objective only if all
    /// of them end in time.
    pub const fn add(&mut self, other: Self) {
        self.is_met = self.is_met && other.is_met;
        self.due_by = other.due_by;
    }
}

impl ObjectiveTally {
    /// Records an occurrence that was done at a time.
    pub fn record(&mut self, queue: &QueueName, at: MonotonicTime, forecast: &StartForecast) {
        let is_met = at <= forecast.due_by;
        let label = |is_met: bool| if is_met { "met" } else { "missed" };
        counter!(
            OBJECTIVES, "queue" => queue.to_string(), "expected" => label(forecast.is_met),
            "outcome" => label(is_met)
        )
        .increment(1);
        self.done += 1;
        self.expected += u64::from(forecast.is_met);
        self.met += u64::from(is_met);
        self.expected_met += u64::from(forecast.is_met && is_met);
    }
}
