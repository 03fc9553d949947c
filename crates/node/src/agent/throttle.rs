//! The rate limit that the server names.
//!
//! All runs reach the server through its agent, so the agent's own bucket bounds the sum of all entries. Heartbeats carry
//! the permits left, and entries send other runs elsewhere.

use base::prelude::*;
use fleet::{Limit, Throttle};
use limit::Bucket;

/// The server's rate limit, if it named one.
#[derive(Debug, Default)]
pub(super) struct Gate {
    throttle: Option<(Throttle, Bucket)>,
    /// Permits left, as last advertised.
    advertised: u32,
}

impl Gate {
    /// The server reported its load, and a limit or none.
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

    /// Takes a permit for a run, if one is needed.
    pub fn take(&mut self, now: Time) -> bool {
        let Some((throttle, bucket)) = &mut self.throttle else {
            return true;
        };
        let taken = bucket.take(now, throttle.effective_rate()).is_ok();
        self.advertised = bucket.available(now, throttle.effective_rate());
        taken
    }

    /// Time passes. Gives whether there is a permit again since none was advertised.
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

    /// Permits left, if the server named a limit.
    pub fn permits(&self) -> Option<u32> {
        self.throttle.as_ref().map(|_| self.advertised)
    }
}
