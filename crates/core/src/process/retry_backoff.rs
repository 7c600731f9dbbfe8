//! Exponential backoff with jitter for requests to the platform's log.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// Delay after the first failure, before jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay. Kept short so that the recovery of the log is noticed quickly.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// Retry delays that double with every consecutive failure. Each delay is drawn
/// between half and all of its nominal length, so that hosts do not retry in step.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    consecutive_failures: u32,
    random: ChaCha8Rng,
}

impl RetryBackoff {
    /// Creates a backoff without failures. `random` must differ between hosts.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self {
            consecutive_failures: 0,
            random,
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let full = (INITIAL_DELAY * (1 << doublings)).min(MAX_DELAY);
        full.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Resets the count of failures after a success.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns the number of consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
