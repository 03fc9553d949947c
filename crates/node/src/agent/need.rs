//! The rate of runs that the server names while it is in need.
//!
//! The agent is the only door to its server, so what it keeps to is the sum of all entries. Entries hear with
//! its load how many runs it may give the server now, and send others elsewhere.

use base::prelude::*;
use fleet::{Limit, Need};
use limit::Permits;

/// The server's need, if it has one.
#[derive(Debug, Default)]
pub(super) struct Needs {
    need: Option<(Need, Permits)>,
    /// Permits that the entries were told of.
    told: u32,
}

impl Needs {
    /// The server reported its load, and a limit or none.
    pub fn reported(&mut self, now: Time, limit: Option<Limit>) {
        match (limit, &mut self.need) {
            (Some(limit), Some((need, _))) => need.named(limit, now),
            (Some(limit), None) => self.need = Some((Need::new(limit, now), Permits::new(now))),
            (None, Some((need, _))) => {
                if need.unnamed(now) {
                    self.need = None;
                }
            }
            (None, None) => {}
        }
    }

    /// Takes a permit for a run, if one is needed.
    pub fn take(&mut self, now: Time) -> bool {
        let Some((need, permits)) = &mut self.need else {
            return true;
        };
        let taken = permits.take(now, need.takes()).is_ok();
        self.told = permits.available(now, need.takes());
        taken
    }

    /// Time passes. Gives whether there is a permit where the entries know of none.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some((need, permits)) = &mut self.need else {
            return false;
        };
        let before = std::mem::replace(&mut self.told, permits.available(now, need.takes()));
        before == 0 && self.told > 0
    }

    /// Permits that there are now; none where none is needed.
    pub fn permits(&self) -> Option<u32> {
        self.need.as_ref().map(|_| self.told)
    }
}
