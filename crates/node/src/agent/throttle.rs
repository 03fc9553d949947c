//! The rate limit that the server advertises.
//!
//! All runs reach the server through its agent, so the agent's token bucket bounds the total of all entries.
//! Heartbeats carry the number of available permits; entries send runs elsewhere when there are none.

use base::prelude::*;
use fleet::{Limit, Throttle};
use limit::Bucket;

/// The server's rate limit, if it advertises one.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    throttle: Option<(Throttle, Bucket)>,
    /// Available permits, as last advertised.
    advertised: u32,
}

impl RateLimit {
    /// Applies the limit of a load report; none if it contains no limit.
    pub fn reported(&mut self, now: Time, limit: Option<Limit>) {
        match (limit, &mut self.throttle) {
            (Some(limit), Some((throttle, _))) => throttle.observe_limit(limit, now),
            (Some(limit), None) => {
                self.throttle = Some((Throttle::new(limit, now), Bucket::new(now)));
            }
            (None, Some((throttle, _))) => {
                if throttle.observe_no_limit(now) {
                    self.throttle = None;
                }
            }
            (None, None) => {}
        }
    }

    /// Takes a permit for a run; returns whether it may start. Without a limit, it always may.
    pub fn take(&mut self, now: Time) -> bool {
        let Some((throttle, bucket)) = &mut self.throttle else {
            return true;
        };
        let taken = bucket.take(now, throttle.effective_rate()).is_ok();
        self.advertised = bucket.available(now, throttle.effective_rate());
        taken
    }

    /// Updates the advertised permits; returns whether permits are available again after none were.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some((throttle, bucket)) = &mut self.throttle else {
            return false;
        };
        let before = std::mem::replace(
            &mut self.advertised,
            bucket.available(now, throttle.effective_rate()),
        );
        before == 0 && self.advertised > 0
    }

    /// Available permits; none if the server has no limit.
    pub fn permits(&self) -> Option<u32> {
        self.throttle.as_ref().map(|_| self.advertised)
    }
}
