//! Permits for calls to a server that takes a limited rate from all VMs together.
//!
//! Answers the pattern in which several processes each keep to a server's rate by themselves, so that it gets
//! the rate once from each of them. One process hands out the permits of a server, one for each call, as a token
//! bucket fills. What was not used is hardly saved: the bucket holds one permit and those of a short time.

use std::time::Duration;

use base::Time;

/// Permits that may be saved up whatever the rate: one, and a part of the next so that a short wait for somebody who
/// gains by it loses none.
const ONE: f64 = 1.25;
/// Time whose permits may be saved up besides: a part of the second in which a server states its rate.
const SAVED: Duration = Duration::from_millis(250);
/// Least rate that is tried, calls a second: a server that takes nothing still gets a call now and then, whose
/// answer tells whether that has changed.
pub const LEAST: f64 = 0.2;
/// Seconds in which permits that were given are counted.
const COUNTED: usize = 4;

/// The permits of one server.
#[derive(Clone, Debug)]
pub struct Permits {
    saved: f64,
    at: Time,
    /// Permits given in each of the last seconds, with the number of the second.
    given: [(u64, u32); COUNTED],
}

impl Permits {
    /// None is saved yet.
    pub fn new(now: Time) -> Self {
        Self { saved: 0.0, at: now, given: [(0, 0); COUNTED] }
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

    /// Takes a permit ahead of all others, also one that is yet to come: at most this many are owed then.
    pub fn take_ahead(&mut self, now: Time, per_second: f64, most_owed: f64) -> bool {
        self.fill(now, per_second);
        let may = self.saved - 1.0 >= -most_owed;
        if may {
            self.spend(now);
        }
        may
    }

    fn spend(&mut self, now: Time) {
        self.saved -= 1.0;
        let second = now.0 / 1_000_000;
        let given = &mut self.given[second as usize % COUNTED];
        *given = if given.0 == second { (second, given.1 + 1) } else { (second, 1) };
    }

    /// Permits that could be taken now.
    pub fn available(&mut self, now: Time, per_second: f64) -> u32 {
        self.fill(now, per_second);
        self.saved.max(0.0) as u32
    }

    /// Permits given in the last four seconds, the present one included.
    pub fn given(&self, now: Time) -> u32 {
        let second = now.0 / 1_000_000;
        let live = self.given.iter().filter(|(found, _)| found + COUNTED as u64 > second);
        live.map(|(_, given)| given).sum()
    }

    fn wait(&mut self, now: Time, per_second: f64) -> Duration {
        let rate = self.fill(now, per_second);
        // Below the clock's resolution there is no wait.
        let missing = Duration::from_secs_f64((1.0 - self.saved).max(0.0) / rate);
        if missing < Duration::from_micros(1) { Duration::ZERO } else { missing }
    }

    /// Adds what has come since the last time; gives the rate.
    fn fill(&mut self, now: Time, per_second: f64) -> f64 {
        let rate = per_second.max(LEAST);
        let most = ONE + rate * SAVED.as_secs_f64();
        self.saved = (self.saved + rate * now.since(self.at).as_secs_f64()).min(most);
        self.at = self.at.max(now);
        rate
    }
}

/// Time between two permits at a rate, calls a second.
pub fn interval(per_second: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_second.max(LEAST))
}

/// When callers who were refused may come back: one after the other, as fast as the servers take calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    last: Time,
}

impl Turns {
    /// Time after which the next caller may come back, at a rate of all servers together. One who has less time left
    /// will not, and takes no turn.
    pub fn next(&mut self, now: Time, per_second: f64, left: Duration) -> Duration {
        let turn = self.last.max(now) + interval(per_second);
        if turn.since(now) < left {
            self.last = turn;
        }
        turn.since(now)
    }
}
