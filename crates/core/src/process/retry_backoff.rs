//! Exponential backoff with jitter for requests to the platform's log.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// Wait after the first failure.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Longest wait. Short enough that a log which is back is noticed at once.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Waits that double with every failure in a row. Each is drawn between half
/// and all of its length, so that hosts do not return to the log in step.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    failures: u32,
    random: ChaCha8Rng,
}

impl RetryBackoff {
    /// A backoff without failures; `random` differs between hosts.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self {
            failures: 0,
            random,
        }
    }

    /// Counts a failure and tells how long to wait.
    pub fn fail(&mut self) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let full = (FIRST_WAIT * (1 << doublings)).min(LONGEST_WAIT);
        full.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Forgets all failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
