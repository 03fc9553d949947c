//! Estimates the completion rate of a pool of servers.

use std::time::Duration;

use base::Time;

/// Weight of the latest interval in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum length of an interval.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Completions per second of a pool, measured while it had requests waiting.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    per_second: Option<f64>,
    since: Time,
    count: u32,
}

impl Rate {
    /// Records the end of a run; `busy` is whether others were waiting.
    pub fn ended(&mut self, now: Time, busy: bool) {
        if !busy {
            self.since = now;
            self.count = 0;
            return;
        }
        self.count += 1;
        let elapsed = now.since(self.since);
        if elapsed < MIN_INTERVAL {
            return;
        }
        let measured = f64::from(self.count) / elapsed.as_secs_f64();
        let rate = self.per_second.get_or_insert(measured);
        *rate += SAMPLE_WEIGHT * (measured - *rate);
        self.since = now;
        self.count = 0;
    }

    /// Expected time until this many waiting runs have been served; none before the first measurement.
    pub fn wait(&self, waiting: usize) -> Option<Duration> {
        let rate = self.per_second?.max(0.01);
        Some(Duration::from_secs_f64(waiting as f64 / rate))
    }
}
