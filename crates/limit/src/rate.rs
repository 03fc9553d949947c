//! How fast a pool works.

use std::time::Duration;

use base::Time;

/// Weight of the latest interval.
const WEIGHT: f64 = 0.2;
/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(500);

/// Completions per second of a pool, while it had work waiting.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    per_second: Option<f64>,
    since: Time,
    count: u32,
}

impl Rate {
    /// A run has ended; `busy` says whether others were waiting.
    pub fn ended(&mut self, now: Time, busy: bool) {
        if !busy {
            self.since = now;
            self.count = 0;
            return;
        }
        self.count += 1;
        let passed = now.since(self.since);
        if passed < INTERVAL {
            return;
        }
        let seen = f64::from(self.count) / passed.as_secs_f64();
        let rate = self.per_second.get_or_insert(seen);
        *rate += WEIGHT * (seen - *rate);
        self.since = now;
        self.count = 0;
    }

    /// Time until this many runs that wait have been taken up; none while nothing is known.
    pub fn wait(&self, waiting: usize) -> Option<Duration> {
        let rate = self.per_second?.max(0.01);
        Some(Duration::from_secs_f64(waiting as f64 / rate))
    }
}
