//! How many log lines of a kind may be written.
//!
//! Answers the pattern in which trouble or load makes one decision a thousand times a second: its line
//! is written so often in each second, and then only counted, while rarer lines still appear.

use std::collections::HashMap;
use std::time::Duration;

use base::{Name, Time};

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    written: u32,
    left_out: u64,
}

/// Lines by kind in the present window.
#[derive(Debug)]
pub struct LogLimiter {
    most: u32,
    began: Time,
    kinds: HashMap<Name, Count>,
}

impl LogLimiter {
    /// At most this many lines of a kind in a second.
    pub fn new(most: u32) -> Self {
        Self { most, began: Time::ZERO, kinds: HashMap::new() }
    }

    /// Another bound from now on.
    pub fn set_max(&mut self, most: u32) {
        self.most = most;
    }

    /// Whether one more line of a kind may be written; counts it if not.
    pub fn allow(&mut self, kind: &str) -> bool {
        let most = self.most;
        if let Some(count) = self.kinds.get_mut(kind) {
            if count.written < most {
                count.written += 1;
                return true;
            }
            count.left_out += 1;
            return false;
        }
        self.kinds.insert(Name::new(kind), Count { written: 1, left_out: 0 });
        true
    }

    /// A line that was allowed was lost all the same.
    pub fn lost(&mut self, kind: &str) {
        self.kinds.entry(Name::new(kind)).or_default().left_out += 1;
    }

    /// At the end of a window: how many lines of each kind were left out in it.
    pub fn window(&mut self, now: Time) -> Vec<(Name, u64)> {
        if now.since(self.began) < WINDOW {
            return Vec::new();
        }
        self.began = now;
        let ended = std::mem::take(&mut self.kinds);
        let left_out = ended.into_iter().map(|(kind, count)| (kind, count.left_out));
        let mut left_out: Vec<(Name, u64)> = left_out.filter(|(_, count)| *count > 0).collect();
        left_out.sort_unstable();
        left_out
    }
}
