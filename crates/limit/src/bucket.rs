//! Permits for calls to a server that takes a limited rate from all VMs together.
//!
//! Answers the pattern in which several processes each keep to a server's rate by themselves, so that it gets
//! the rate once from each of them. One process issues the permits of a server, one for each call, from a token bucket.
//! The bucket holds one permit and those of a short time, so a server that was not called for long gets no burst.

use std::time::Duration;

use base::Time;

/// Tokens that a bucket holds at any rate: one call, and a part of the next, so that a short wait for a request that
/// gains by it wastes none.
const CAPACITY: f64 = 1.25;
/// Time whose tokens it holds besides: a part of the second in which a server states its rate.
const BURST: Duration = Duration::from_millis(250);
/// Least rate of calls, a second: a server that takes none still gets one now and then, whose answer shows whether its
/// limit is lifted.
pub const MIN_RATE: f64 = 0.2;
/// Seconds in which permits that were issued are counted.
const COUNTED: usize = 4;

/// The token bucket of one server.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    at: Time,
    /// Permits issued in each of the last seconds, with the number of the second.
    issued: [(u64, u32); COUNTED],
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Time) -> Self {
        Self { tokens: 0.0, at: now, issued: [(0, 0); COUNTED] }
    }

    /// Takes a permit at a rate, calls a second.
    ///
    /// # Errors
    /// There is none now; gives the time until the next one.
    pub fn take(&mut self, now: Time, per_second: f64) -> Result<(), Duration> {
        let wait = self.wait(now, per_second);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.spend(now);
        Ok(())
    }

    /// Takes a permit ahead of all others, on credit if there is none; `max_debt` is the most permits owed afterwards.
    pub fn borrow(&mut self, now: Time, per_second: f64, max_debt: f64) -> bool {
        self.fill(now, per_second);
        let may = self.tokens - 1.0 >= -max_debt;
        if may {
            self.spend(now);
        }
        may
    }

    fn spend(&mut self, now: Time) {
        self.tokens -= 1.0;
        let second = now.0 / 1_000_000;
        let issued = &mut self.issued[second as usize % COUNTED];
        *issued = if issued.0 == second { (second, issued.1 + 1) } else { (second, 1) };
    }

    /// Permits that could be taken now.
    pub fn available(&mut self, now: Time, per_second: f64) -> u32 {
        self.fill(now, per_second);
        self.tokens.max(0.0) as u32
    }

    /// Permits issued in the last four seconds, the present one included.
    pub fn issued(&self, now: Time) -> u32 {
        let second = now.0 / 1_000_000;
        let live = self.issued.iter().filter(|(found, _)| found + COUNTED as u64 > second);
        live.map(|(_, issued)| issued).sum()
    }

    fn wait(&mut self, now: Time, per_second: f64) -> Duration {
        let rate = self.fill(now, per_second);
        // Below the clock's resolution there is no wait.
        let missing = Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate);
        if missing < Duration::from_micros(1) { Duration::ZERO } else { missing }
    }

    /// Adds what has come since the last time; gives the rate.
    fn fill(&mut self, now: Time, per_second: f64) -> f64 {
        let rate = per_second.max(MIN_RATE);
        let most = CAPACITY + rate * BURST.as_secs_f64();
        self.tokens = (self.tokens + rate * now.since(self.at).as_secs_f64()).min(most);
        self.at = self.at.max(now);
        rate
    }
}

/// Time between two permits at a rate, calls a second.
pub fn permit_interval(per_second: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_second.max(MIN_RATE))
}

/// Retry times of refused callers: one after the other, as fast as the servers take calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    last: Time,
}

impl RetrySchedule {
    /// Time after which the next caller may retry, at a rate of all servers together. A caller who has less time `left`
    /// will not, and takes no turn.
    pub fn next(&mut self, now: Time, per_second: f64, left: Duration) -> Duration {
        let turn = self.last.max(now) + permit_interval(per_second);
        if turn.since(now) < left {
            self.last = turn;
        }
        turn.since(now)
    }
}
