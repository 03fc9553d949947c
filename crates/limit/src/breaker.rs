//! A breaker for one server, on failures and on slowness.

use std::time::Duration;

use base::Time;

/// Failures in a row that open it.
const FAILURES: u32 = 3;
/// First time for which it stays open.
const OPEN: Duration = Duration::from_millis(500);
/// Longest time for which it stays open.
const OPEN_MOST: Duration = Duration::from_secs(10);
/// A server is slow when its time per unit is this many times what it was at its best.
const SLOW: f64 = 8.0;
/// Slow results in a row that count as one failure.
const SLOW_RESULTS: u32 = 4;

/// A breaker.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    open_until: Time,
    probing: bool,
    best: Option<f64>,
    slow: u32,
}

impl Breaker {
    /// Whether a run may be sent; when the open time is over, one run at a time is.
    pub fn allows(&self, now: Time) -> bool {
        now >= self.open_until && !self.probing
    }

    /// Whether it is open or probing.
    pub fn is_open(&self) -> bool {
        self.openings > 0
    }

    /// A run was sent.
    pub fn sent(&mut self) {
        self.probing = self.openings > 0;
    }

    /// A run ended well, with this time for a unit of work.
    pub fn succeeded(&mut self, now: Time, seconds: f64) {
        self.probing = false;
        let best = self.best.get_or_insert(seconds);
        // The best is forgotten slowly, so that a changed server is not held to it for ever.
        *best = (*best * 1.001).min(seconds.max(1e-6));
        if seconds > SLOW * *best {
            self.slow += 1;
            if self.slow >= SLOW_RESULTS {
                self.slow = 0;
                self.open(now);
            }
            return;
        }
        self.slow = 0;
        self.failures = 0;
        self.openings = 0;
    }

    /// A run failed through the server's fault.
    pub fn failed(&mut self, now: Time) {
        self.probing = false;
        self.failures += 1;
        if self.failures >= FAILURES || self.openings > 0 {
            self.open(now);
        }
    }

    /// A run ended without saying anything about the server.
    pub fn ended(&mut self) {
        self.probing = false;
    }

    fn open(&mut self, now: Time) {
        let time = OPEN * (1 << self.openings.min(5));
        self.openings += 1;
        self.open_until = now + time.min(OPEN_MOST);
    }
}
