//! The retry budget: repetitions as a share of recent calls, so that a fault
//! cannot multiply the traffic that meets it.

use crate::prelude::*;

/// Length of one of the two halves of the counting window.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Repetitions allowed in a window whatever the traffic.
const RESERVE: f64 = 3.0;

/// Calls and repetitions of one half window.
#[derive(Clone, Copy, Debug, Default)]
struct HalfCount {
    calls: u64,
    repeats: u64,
}

/// Counts recent calls and repetitions.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Repetitions allowed per call, between 0 and 1.
    share: f64,
    /// Start of the current half window.
    half_began: MonotonicTime,
    current: HalfCount,
    previous: HalfCount,
}

impl RetryBudget {
    /// A budget of `share` repetitions per call.
    pub fn new(share: f64, now: MonotonicTime) -> Self {
        debug_assert!(
            (0.0..=1.0).contains(&share),
            "the retry share is between 0 and 1"
        );
        Self {
            share,
            half_began: now,
            current: HalfCount::default(),
            previous: HalfCount::default(),
        }
    }

    /// Changes the share; counts are kept.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts the first attempt of a call.
    pub fn record_call(&mut self, now: MonotonicTime) {
        self.turn(now);
        self.current.calls += 1;
    }

    /// Takes one repetition from the budget, or says that it is spent.
    pub fn try_repeat(&mut self, now: MonotonicTime) -> bool {
        self.turn(now);
        let calls = self.current.calls + self.previous.calls;
        let repeats = self.current.repeats + self.previous.repeats;
        let allowed = (calls as f64).mul_add(self.share, RESERVE);
        let granted = (repeats + 1) as f64 <= allowed;
        if granted {
            self.current.repeats += 1;
        }
        granted
    }

    fn turn(&mut self, now: MonotonicTime) {
        let age = now.since(self.half_began);
        if age < HALF_WINDOW {
            return;
        }
        let is_adjacent = age < HALF_WINDOW * 2;
        self.previous = if is_adjacent {
            self.current
        } else {
            HalfCount::default()
        };
        self.current = HalfCount::default();
        self.half_began = now;
    }
}
