//! A link to a store: its rate, queue and availability, estimated from this process's own transfers.

use std::time::Duration;

use base::Time;

/// Weight of the latest transfer in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.2;
/// Consecutive failures after which a store is excluded for a time.
const FAILURE_THRESHOLD: u32 = 2;
/// First exclusion of a store; doubles with each further failure.
const EXCLUSION: Duration = Duration::from_secs(1);
/// Longest exclusion of a store.
const MAX_EXCLUSION: Duration = Duration::from_secs(30);
/// Time without writes to a store that reported that it is full.
const FULL_BACKOFF: Duration = Duration::from_secs(10);
/// Maximum share of the link for background transfers, in percent.
const BACKGROUND_PERCENT: u64 = 50;

/// Bytes of the smallest transfer that shows the rate rather than the round-trip time.
const MIN_SAMPLE_BYTES: u64 = 1_024;

/// Largest factor by which one transfer may raise the estimated rate.
const MAX_RATE_GAIN: f64 = 3.0;

/// A link to a store.
#[derive(Clone, Debug)]
pub struct Link {
    /// Estimated bytes per second.
    pub rate: f64,
    /// Bytes requested and not yet transferred.
    pub queued: u64,
    failures: u32,
    excluded_until: Time,
    full_until: Time,
    background: u64,
    /// When the transfer that completes next got the link: the last completion, or the start of the first transfer.
    since: Time,
}

impl Link {
    /// A link with an initial rate estimate in bytes per second.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            queued: 0,
            failures: 0,
            excluded_until: Time::ZERO,
            full_until: Time::ZERO,
            background: 0,
            since: Time::ZERO,
        }
    }

    /// Whether reads may use it.
    pub fn is_available(&self, now: Time) -> bool {
        now >= self.excluded_until
    }

    /// Whether writes may use it.
    pub fn writable(&self, now: Time) -> bool {
        self.is_available(now) && now >= self.full_until
    }

    /// Estimated time until this many more bytes are transferred after the queued ones.
    pub fn estimate(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64((self.queued + bytes) as f64 / self.rate.max(1.0))
    }

    /// Starts a foreground transfer.
    pub fn begin(&mut self, now: Time, bytes: u64) {
        self.busy(now);
        self.queued += bytes;
    }

    /// Starts a background transfer, unless foreground transfers are queued or the share of background transfers over
    /// `window` is used up.
    pub fn begin_background(&mut self, now: Time, bytes: u64, window: Duration) -> bool {
        let capacity = self.rate * window.as_secs_f64() * BACKGROUND_PERCENT as f64 / 100.0;
        let foreground = self.queued - self.background.min(self.queued);
        if !self.writable(now) || foreground > 0 || (self.background + bytes) as f64 > capacity {
            return false;
        }
        self.busy(now);
        self.background += bytes;
        self.queued += bytes;
        true
    }

    /// Records a successful transfer; `queued` is the size counted at its start.
    pub fn finish(&mut self, now: Time, queued: u64, bytes: u64, background: bool) {
        self.end(queued, background);
        self.update_rate(now, bytes);
    }

    /// Records that the store had no such block, which has no effect on its availability.
    pub fn finish_missing(&mut self, bytes: u64) {
        self.end(bytes, false);
    }

    /// Records a background transfer that did not happen for a reason unrelated to the store.
    pub fn cancel_background(&mut self, bytes: u64) {
        self.end(bytes, true);
    }

    /// Records a failed transfer; after `FAILURE_THRESHOLD` in a row the store is excluded for a time.
    pub fn fail(&mut self, now: Time, bytes: u64, background: bool) {
        self.end(bytes, background);
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            let doublings = (self.failures - FAILURE_THRESHOLD).min(5);
            self.excluded_until = now + (EXCLUSION * (1 << doublings)).min(MAX_EXCLUSION);
        }
    }

    /// Records that the store rejected a write because it is full.
    pub fn mark_full(&mut self, now: Time, bytes: u64, background: bool) {
        self.end(bytes, background);
        self.full_until = now + FULL_BACKOFF;
    }

    fn busy(&mut self, now: Time) {
        if self.queued == 0 {
            self.since = now;
        }
    }

    /// Updates the estimate. Transfers share the link, so it uses the time between two completions while the link is
    /// busy, not the duration of each transfer.
    fn update_rate(&mut self, now: Time, bytes: u64) {
        self.failures = 0;
        let seconds = now.since(self.since).as_secs_f64();
        self.since = now;
        if bytes < MIN_SAMPLE_BYTES {
            return;
        }
        // Simultaneous completions would show a rate that no link has.
        let observed = (bytes as f64 / seconds.max(1e-6)).min(MAX_RATE_GAIN * self.rate);
        self.rate += RATE_WEIGHT * (observed - self.rate);
    }

    fn end(&mut self, bytes: u64, background: bool) {
        self.queued = self.queued.saturating_sub(bytes);
        if background {
            self.background = self.background.saturating_sub(bytes);
        }
    }
}
