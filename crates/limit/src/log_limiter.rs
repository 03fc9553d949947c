//! Limits the number of log lines of each kind.
//!
//! Under load or during an incident the same decision may be logged thousands of times per second. Its
//! line is written up to a limit in each second and only counted after that, while rarer lines still
//! appear.

use std::collections::HashMap;
use std::time::Duration;

use base::{Name, Time};

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    written: u32,
    suppressed: u64,
}

/// Log lines by kind in the current window.
#[derive(Debug)]
pub struct LogLimiter {
    max: u32,
    began: Time,
    kinds: HashMap<Name, Count>,
}

impl LogLimiter {
    /// Allows at most `max` lines of a kind per second.
    pub fn new(max: u32) -> Self {
        Self { max, began: Time::ZERO, kinds: HashMap::new() }
    }

    /// Changes the limit.
    pub fn set_max(&mut self, max: u32) {
        self.max = max;
    }

    /// Whether one more line of a kind may be written; counts it as suppressed if not.
    pub fn allow(&mut self, kind: &str) -> bool {
        if let Some(count) = self.kinds.get_mut(kind) {
            if count.written < self.max {
                count.written += 1;
                return true;
            }
            count.suppressed += 1;
            return false;
        }
        self.kinds.insert(Name::new(kind), Count { written: 1, suppressed: 0 });
        true
    }

    /// Counts a line as suppressed that was allowed but could not be written.
    pub fn count_suppressed(&mut self, kind: &str) {
        self.kinds.entry(Name::new(kind)).or_default().suppressed += 1;
    }

    /// At the end of a window, the number of suppressed lines of each kind; nothing before that.
    pub fn end_window(&mut self, now: Time) -> Vec<(Name, u64)> {
        if now.since(self.began) < WINDOW {
            return Vec::new();
        }
        self.began = now;
        let ended = std::mem::take(&mut self.kinds);
        let suppressed = ended.into_iter().map(|(kind, count)| (kind, count.suppressed));
        let mut suppressed: Vec<(Name, u64)> = suppressed.filter(|(_, count)| *count > 0).collect();
        suppressed.sort_unstable();
        suppressed
    }
}
