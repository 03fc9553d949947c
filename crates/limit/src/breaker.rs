//! A circuit breaker for one server, which opens on failures and on slowness relative to its peers.
//!
//! Slowness is not measured against a server's own past: under load every server is slower than at
//! its best, and opening the breaker would only reduce the capacity that the load needs.

use std::time::Duration;

use base::Time;

/// Consecutive failures that open the breaker.
const MAX_FAILURES: u32 = 3;
/// How long it stays open at first; each further opening doubles the time.
const INITIAL_OPEN: Duration = Duration::from_millis(500);
/// Maximum time for which it stays open.
const MAX_OPEN: Duration = Duration::from_secs(10);
/// A result is slow when its time per unit of work exceeds that of the peers by this factor.
const SLOW_FACTOR: f64 = 5.0;
/// Weight of the latest result in the moving average of a server's time per unit of work.
const WEIGHT: f64 = 0.2;
/// Consecutive slow results that open the breaker.
const MAX_SLOW_RESULTS: u32 = 4;

/// A circuit breaker.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    open_until: Time,
    probing: bool,
    pace: Option<f64>,
    slow: u32,
}

impl Breaker {
    /// Whether a run may be sent. After the open time, one run at a time is sent as a probe.
    pub fn allows(&self, now: Time) -> bool {
        now >= self.open_until && !self.probing
    }

    /// Whether it is open or half open.
    pub fn is_open(&self) -> bool {
        self.openings > 0
    }

    /// Records that a run was sent.
    pub fn sent(&mut self) {
        self.probing = self.openings > 0;
    }

    /// Moving average of the time per unit of work, seconds.
    pub fn pace(&self) -> Option<f64> {
        self.pace
    }

    /// Records a run that succeeded, with its time per unit of work; `peers` is that of other servers
    /// that do the same work, if there are enough to compare with.
    pub fn succeeded(&mut self, now: Time, seconds: f64, peers: Option<f64>) {
        self.probing = false;
        let pace = self.pace.get_or_insert(seconds);
        *pace += WEIGHT * (seconds - *pace);
        if peers.is_some_and(|peers| seconds > SLOW_FACTOR * peers) {
            self.slow += 1;
            if self.slow >= MAX_SLOW_RESULTS {
                self.slow = 0;
                self.open(now);
            }
            return;
        }
        self.slow = 0;
        self.failures = 0;
        self.openings = 0;
    }

    /// Records a run that failed because of the server.
    pub fn failed(&mut self, now: Time) {
        self.probing = false;
        self.failures += 1;
        if self.failures >= MAX_FAILURES || self.openings > 0 {
            self.open(now);
        }
    }

    /// Records a run that ended without a result that concerns the server.
    pub fn ended(&mut self) {
        self.probing = false;
    }

    fn open(&mut self, now: Time) {
        let time = INITIAL_OPEN * (1 << self.openings.min(5));
        self.openings += 1;
        self.open_until = now + time.min(MAX_OPEN);
    }
}
