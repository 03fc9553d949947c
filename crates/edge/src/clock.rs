//! The clocks of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Incarnation, Time};
use rustix::time::{ClockId, clock_gettime};

/// The monotonic clock of a process, which also advances while its VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Time {
        Time(since_boot().saturating_sub(self.start).as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Wall clock time in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    incarnation().0 / 1_000
}

/// The incarnation number of this process, greater than that of its earlier incarnations.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_micros() as u64)
}
