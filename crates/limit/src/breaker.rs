//! A breaker for one server, on failures and on slowness against its peers.
//!
//! Slowness against a server's own past would say nothing: under load every server is slower than it
//! was at its best, and leaving it alone would take the load's place away.

use std::time::Duration;

use base::Time;

/// Failures in a row that open it.
const FAILURES: u32 = 3;
/// First time for which it stays open.
const OPEN: Duration = Duration::from_millis(500);
/// Longest time for which it stays open.
const OPEN_MOST: Duration = Duration::from_secs(10);
/// A server is slow when its time per unit is this many times that of its peers.
const SLOW: f64 = 5.0;
/// Weight of the latest result in a server's pace.
const WEIGHT: f64 = 0.2;
/// Slow results in a row that count as one failure.
const SLOW_RESULTS: u32 = 4;

/// A breaker.
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

    /// Time for a unit of work lately, seconds.
    pub fn pace(&self) -> Option<f64> {
        self.pace
    }

    /// A run ended well, with this time for a unit of work; `peers` is the pace of other servers
    /// that do the same work, if there are enough to compare with.
    pub fn succeeded(&mut self, now: Time, seconds: f64, peers: Option<f64>) {
        self.probing = false;
        let pace = self.pace.get_or_insert(seconds);
        *pace += WEIGHT * (seconds - *pace);
        if peers.is_some_and(|peers| seconds > SLOW * peers) {
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
