//! Permits for calls to a server whose rate limit applies to all VMs together.
//!
//! If each process enforced a server's rate by itself, the server would get that rate from each of
//! them. Instead one process issues the permits of a server, one for each call, from a token bucket.
//! The bucket holds one permit and those of a short time, so that a server that was not called for a
//! long time gets no burst.

use std::time::Duration;

use base::Time;

/// Capacity of a bucket at any rate, tokens: one call and a part of the next, so that no token is lost
/// while a permit is held back for a short time for a request that benefits from it.
const CAPACITY: f64 = 1.25;
/// Time whose tokens are added to the capacity: a part of the second that rates refer to.
const BURST: Duration = Duration::from_millis(250);
/// Minimum rate, calls per second: a server whose limit is zero still gets a call from time to time,
/// whose response shows whether the limit is lifted.
pub const MIN_RATE: f64 = 0.2;
/// Seconds over which issued permits are counted.
const ISSUED_SECONDS: usize = 4;

/// The token bucket of one server.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    filled_at: Time,
    /// Permits issued in each of the last seconds, each with the number of its second.
    issued: [(u64, u32); ISSUED_SECONDS],
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, filled_at: now, issued: [(0, 0); ISSUED_SECONDS] }
    }

    /// Takes a permit at a rate, calls per second.
    ///
    /// # Errors
    /// No permit is available. The error is the time until the next one.
    pub fn take(&mut self, now: Time, per_second: f64) -> Result<(), Duration> {
        let wait = self.wait(now, per_second);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.spend(now);
        Ok(())
    }

    /// Takes a permit before all others, on credit if there is none; `max_debt` is the maximum number
    /// of permits owed afterwards.
    pub fn borrow(&mut self, now: Time, per_second: f64, max_debt: f64) -> bool {
        self.fill(now, per_second);
        let granted = self.tokens - 1.0 >= -max_debt;
        if granted {
            self.spend(now);
        }
        granted
    }

    fn spend(&mut self, now: Time) {
        self.tokens -= 1.0;
        let second = now.0 / 1_000_000;
        let issued = &mut self.issued[second as usize % ISSUED_SECONDS];
        *issued = if issued.0 == second { (second, issued.1 + 1) } else { (second, 1) };
    }

    /// Permits that can be taken now.
    pub fn available(&mut self, now: Time, per_second: f64) -> u32 {
        self.fill(now, per_second);
        self.tokens.max(0.0) as u32
    }

    /// Permits issued in the last four seconds, including the current one.
    pub fn issued(&self, now: Time) -> u32 {
        let second = now.0 / 1_000_000;
        let live = self.issued.iter().filter(|(found, _)| found + ISSUED_SECONDS as u64 > second);
        live.map(|(_, issued)| issued).sum()
    }

    fn wait(&mut self, now: Time, per_second: f64) -> Duration {
        let rate = self.fill(now, per_second);
        // A wait below the clock's resolution counts as none.
        let missing = Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate);
        if missing < Duration::from_micros(1) { Duration::ZERO } else { missing }
    }

    /// Adds the tokens that have accrued since the last call; returns the rate.
    fn fill(&mut self, now: Time, per_second: f64) -> f64 {
        let rate = per_second.max(MIN_RATE);
        let capacity = CAPACITY + rate * BURST.as_secs_f64();
        self.tokens = (self.tokens + rate * now.since(self.filled_at).as_secs_f64()).min(capacity);
        self.filled_at = self.filled_at.max(now);
        rate
    }
}

/// Time between two permits at a rate, calls per second.
pub fn permit_interval(per_second: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_second.max(MIN_RATE))
}

/// Assigns retry times to the callers of rejected requests, one after the other at the rate that the
/// servers accept.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    last: Time,
}

impl RetrySchedule {
    /// Time after which the next caller may retry, at the rate of all servers together. A caller with
    /// less `time_left` will not retry, and uses no retry time.
    pub fn next(&mut self, now: Time, per_second: f64, time_left: Duration) -> Duration {
        let turn = self.last.max(now) + permit_interval(per_second);
        if turn.since(now) < time_left {
            self.last = turn;
        }
        turn.since(now)
    }
}
