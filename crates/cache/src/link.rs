//! A link to a store: its rate, its queue and its health, all from our own transfers.

use std::time::Duration;

use base::Time;

/// Weight of the latest transfer in the estimated rate.
const RATE_WEIGHT: f64 = 0.2;
/// Failures in a row after which a store is left for a while.
const MAX_FAILURES: u32 = 2;
/// First time for which a store is left.
const EXCLUSION: Duration = Duration::from_secs(1);
/// Longest time for which a store is left.
const MAX_EXCLUSION: Duration = Duration::from_secs(30);
/// How long a full store gets no more writes.
const FULL_BACKOFF: Duration = Duration::from_secs(10);
/// Share of the link, in percent, that background transfers may use.
const BACKGROUND_PERCENT: u64 = 50;

/// Bytes of the smallest transfer that says something about the rate and not the round trip.
const MIN_SAMPLE_BYTES: u64 = 1_024;

/// Largest factor by which one transfer may raise the estimated rate.
const MAX_RATE_GAIN: f64 = 3.0;

/// A link to a store.
#[derive(Clone, Debug)]
pub struct Link {
    /// Estimated bytes per second.
    pub rate: f64,
    /// Bytes asked for and not yet moved.
    pub queued: u64,
    failures: u32,
    excluded_until: Time,
    full_until: Time,
    background: u64,
    /// Since when the bytes of the next end have been on the link.
    since: Time,
}

impl Link {
    /// A link whose first estimate is this many bytes per second.
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

    /// Time to move this many bytes behind what is queued.
    pub fn estimate(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64((self.queued + bytes) as f64 / self.rate.max(1.0))
    }

    /// Begins a foreground transfer.
    pub fn begin(&mut self, now: Time, bytes: u64) {
        self.busy(now);
        self.queued += bytes;
    }

    /// Begins a background transfer, unless it would crowd the foreground.
    pub fn begin_background(&mut self, now: Time, bytes: u64, window: Duration) -> bool {
        let room = self.rate * window.as_secs_f64() * BACKGROUND_PERCENT as f64 / 100.0;
        let foreground = self.queued - self.background.min(self.queued);
        if !self.writable(now) || foreground > 0 || (self.background + bytes) as f64 > room {
            return false;
        }
        self.busy(now);
        self.background += bytes;
        self.queued += bytes;
        true
    }

    /// A transfer has ended well; `queued` is what was counted for it at its beginning.
    pub fn finish(&mut self, now: Time, queued: u64, bytes: u64, background: bool) {
        self.end(queued, background);
        self.update_rate(now, bytes);
    }

    /// The store had no such block; that says nothing of its health.
    pub fn finish_missing(&mut self, bytes: u64) {
        self.end(bytes, false);
    }

    /// A background transfer came to nothing, through no fault of the store.
    pub fn cancel_background(&mut self, bytes: u64) {
        self.end(bytes, true);
    }

    /// A transfer has failed; after a few in a row the store is left for a while.
    pub fn fail(&mut self, now: Time, bytes: u64, background: bool) {
        self.end(bytes, background);
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            let doublings = (self.failures - MAX_FAILURES).min(5);
            self.excluded_until = now + (EXCLUSION * (1 << doublings)).min(MAX_EXCLUSION);
        }
    }

    /// The store said that it is full.
    pub fn mark_full(&mut self, now: Time, bytes: u64, background: bool) {
        self.end(bytes, background);
        self.full_until = now + FULL_BACKOFF;
    }

    fn busy(&mut self, now: Time) {
        if self.queued == 0 {
            self.since = now;
        }
    }

    /// Transfers share the link, so what counts is the time between two ends while it is busy, not
    /// the time that each of them took.
    fn update_rate(&mut self, now: Time, bytes: u64) {
        self.failures = 0;
        let seconds = now.since(self.since).as_secs_f64();
        self.since = now;
        if bytes < MIN_SAMPLE_BYTES {
            return;
        }
        // Ends that come at the same moment tell of a rate that no link has.
        let seen = (bytes as f64 / seconds.max(1e-6)).min(MAX_RATE_GAIN * self.rate);
        self.rate += RATE_WEIGHT * (seen - self.rate);
    }

    fn end(&mut self, bytes: u64, background: bool) {
        self.queued = self.queued.saturating_sub(bytes);
        if background {
            self.background = self.background.saturating_sub(bytes);
        }
    }
}
