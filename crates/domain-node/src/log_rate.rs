//! Limits the lines of each kind a second, so that a burst of equal lines neither
//! hides others nor fills what collects them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Lines of one kind within a second; a host takes a few dozen decisions a second
/// on the heaviest days asked for, and a kind that repeats faster says nothing new.
pub const MAX_LINES_PER_SECOND: u32 = 200;

/// Lines of one kind in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct KindRate {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Counts the lines of each kind. Kinds are the fixed texts of the program's lines, so
/// there are a few dozen of them.
#[derive(Clone, Debug, Default)]
pub struct LineRates {
    kinds: BTreeMap<String, KindRate>,
}

impl LineRates {
    /// Whether a line may be written `elapsed` after the start: the number of lines of
    /// its kind that were left out before it, or nothing if it is left out as well.
    pub fn admit(&mut self, kind: &str, elapsed: Duration) -> Option<u64> {
        let second = elapsed.as_secs();
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_owned(), KindRate::default());
        }
        let rate = self.kinds.get_mut(kind)?;
        if rate.second != second {
            rate.second = second;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > MAX_LINES_PER_SECOND {
            rate.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.left_out))
    }
}
