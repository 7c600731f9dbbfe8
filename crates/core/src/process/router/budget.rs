//! The retry budget: retries are limited to a share of recent calls, so that a failure
//! cannot multiply the traffic to the targets that fail.

use crate::prelude::*;

/// Length of one of the two halves of the counting window.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Number of retries allowed per window in addition to the share of calls, so that
/// calls can be retried when traffic is low.
const BASE_RETRIES: f64 = 3.0;

/// Numbers of calls and retries in one half window.
#[derive(Clone, Copy, Debug, Default)]
struct HalfWindowCounts {
    calls: u64,
    retries: u64,
}

/// Counts of recent calls and retries, and the limit on retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries allowed per call, between 0 and 1.
    share: f64,
    /// Start of the current half window.
    half_started_at: MonotonicTime,
    current: HalfWindowCounts,
    previous: HalfWindowCounts,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per call.
    pub fn new(share: f64, now: MonotonicTime) -> Self {
        debug_assert!(
            (0.0..=1.0).contains(&share),
            "the retry share is between 0 and 1"
        );
        Self {
            share,
            half_started_at: now,
            current: HalfWindowCounts::default(),
            previous: HalfWindowCounts::default(),
        }
    }

    /// Sets the share and keeps the counts.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts the first attempt of a call.
    pub fn record_call(&mut self, now: MonotonicTime) {
        self.advance_window(now);
        self.current.calls += 1;
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        self.advance_window(now);
        let calls = self.current.calls + self.previous.calls;
        let retries = self.current.retries + self.previous.retries;
        let allowed = (calls as f64).mul_add(self.share, BASE_RETRIES);
        let granted = (retries + 1) as f64 <= allowed;
        if granted {
            self.current.retries += 1;
        }
        granted
    }

    fn advance_window(&mut self, now: MonotonicTime) {
        let age = now.since(self.half_started_at);
        if age < HALF_WINDOW {
            return;
        }
        let is_adjacent = age < HALF_WINDOW * 2;
        self.previous = if is_adjacent {
            self.current
        } else {
            HalfWindowCounts::default()
        };
        self.current = HalfWindowCounts::default();
        self.half_started_at = now;
    }
}
