//! The rate limit that the server advertises.
//!
//! All runs reach the server through its agent, so the agent's token bucket bounds the total of all entries.
//! Heartbeats carry the number of available permits; entries send runs elsewhere when there are none.

use base::prelude::*;
use fleet::Limit;
use limit::Bucket;

/// The server's rate limit, if it advertises one.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    rate_limit: Option<(fleet::RateLimit, Bucket)>,
    /// Available permits, as last advertised.
    advertised: u32,
}

impl RateLimit {
    /// Applies the limit of a load report; none if it contains no limit.
    pub fn reported(&mut self, now: Time, limit: Option<Limit>) {
        match (limit, &mut self.rate_limit) {
            (Some(limit), Some((rate_limit, _))) => rate_limit.observe_limit(limit, now),
            (Some(limit), None) => {
                self.rate_limit = Some((fleet::RateLimit::new(limit, now), Bucket::new(now)));
            }
            (None, Some((rate_limit, _))) => {
                if rate_limit.observe_no_limit(now) {
                    self.rate_limit = None;
                }
            }
            (None, None) => {}
        }
    }

    /// Takes a permit for a run; returns whether it may start. Without a limit, it always may.
    pub fn take(&mut self, now: Time) -> bool {
        let Some((rate_limit, bucket)) = &mut self.rate_limit else {
            return true;
        };
        let taken = bucket.take(now, rate_limit.effective_rate()).is_ok();
        self.advertised = bucket.available(now, rate_limit.effective_rate());
        taken
    }

    /// Updates the advertised permits; returns whether permits are available again after none were.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some((rate_limit, bucket)) = &mut self.rate_limit else {
            return false;
        };
        let before = std::mem::replace(
            &mut self.advertised,
            bucket.available(now, rate_limit.effective_rate()),
        );
        before == 0 && self.advertised > 0
    }

    /// Available permits; none if the server has no limit.
    pub fn permits(&self) -> Option<u32> {
        self.rate_limit.as_ref().map(|_| self.advertised)
    }
}
