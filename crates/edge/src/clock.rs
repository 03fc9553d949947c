//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use base::{Incarnation, Time};

/// The monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }
}

/// The wall clock, milliseconds since 1970.
pub fn unix_ms() -> u64 {
    incarnation().0 / 1_000
}

/// A number for this life of the process, greater than that of its earlier lives.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_micros() as u64)
}
