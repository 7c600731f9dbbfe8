//! Limits the log lines of each kind per second, so that a burst of equal lines neither
//! hides others nor fills the storage of the log collector.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of lines of one kind per second. A host makes a few dozen decisions per
/// second under the highest load that it has to support, so lines that repeat faster add no
/// information.
pub const MAX_LINES_PER_SECOND: u32 = 200;

/// Number of lines of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct KindRate {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Counts the lines of each kind. The kinds are the constant message texts of the program,
/// so there are only a few dozen of them.
#[derive(Clone, Debug, Default)]
pub struct LineRates {
    kinds: BTreeMap<String, KindRate>,
}

impl LineRates {
    /// Counts a line that is logged `elapsed` after the start. Returns how many lines of its
    /// kind were suppressed before it, or `None` if it is suppressed as well.
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
            rate.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.suppressed))
    }
}
