//! Which servers to order to a newer weight version.
//!
//! Answers the pattern in which a version is named while servers are full of runs of seconds: each
//! server finishes its runs before it loads, so a part of them changes at once, and new runs go to
//! the others meanwhile. Only the leader among the keepers orders, and only once its predecessor can
//! no longer act, so each server has one holder at a time. Orders may be lost, late or doubled, so
//! one that has not shown its effect in time is given again.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Key, Servers};

/// Part of a model's servers that change at once. More would leave too few for new runs, and fewer
/// would not be through in time, since each waits for runs of seconds.
const SHARE: usize = 2;
/// Time after which an order without an effect is given again: longer than an order may wait for
/// runs to end.
const AGAIN: Duration = Duration::from_secs(4);
/// Time after which an order that was refused or not answered is given again.
const FAILED_AGAIN: Duration = Duration::from_millis(400);

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Key,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Orders that it must have taken before: one that is carried out late changes nothing.
    pub after: u64,
}

/// What is due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Orders to give.
    pub orders: Vec<Order>,
    /// Servers to ask for a report first.
    pub ask: Vec<Key>,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    version: u64,
    again: Time,
    /// Whether the server may be carrying it out.
    taken: bool,
}

/// Orders under way.
#[derive(Debug, Default)]
pub struct Rollout {
    given: HashMap<Key, Given>,
}

impl Rollout {
    /// The orders that are due to bring a model's servers to a version.
    pub fn due(&mut self, now: Time, servers: &Servers, model: &Name, version: u64) -> Due {
        let held = |key: Key| servers.get(key).map_or(u64::MAX, |server| server.version);
        self.given.retain(|key, given| held(*key) < given.version);
        let mut old: Vec<(u32, Key)> = Vec::new();
        let mut all = 0;
        for (key, server) in servers.iter() {
            let serves = server.listed.models.iter().any(|(name, _)| name == model);
            if !serves || server.listed.leaving {
                continue;
            }
            all += 1;
            if server.version < version {
                old.push((server.runs(now), key));
            }
        }
        let given = |key: &Key| self.given.get(key).filter(|given| given.version >= version);
        let busy =
            old.iter().filter(|(_, key)| given(key).is_some_and(|given| given.taken)).count();
        let mut room = (all / SHARE).max(1).saturating_sub(busy);
        // Those with the fewest runs are through first.
        old.sort_unstable();
        let mut due = Due::default();
        for (_, key) in old {
            match given(&key) {
                Some(given) if now < given.again => continue,
                // It holds its place already.
                Some(given) if given.taken => {}
                _ if room == 0 => continue,
                _ => room -= 1,
            }
            match servers.get(key).and_then(|server| server.orders(now)) {
                Some(after) => {
                    due.orders.push(Order { server: key, model: model.clone(), version, after });
                }
                None => due.ask.push(key),
            }
        }
        for order in &due.orders {
            let given = Given { version, again: now + AGAIN, taken: true };
            self.given.insert(order.server, given);
        }
        due
    }

    /// Servers that were ordered and have not shown the version yet.
    pub fn under_way(&self) -> impl Iterator<Item = Key> {
        self.given.iter().filter(|(_, given)| given.taken).map(|(key, _)| *key)
    }

    /// An order was refused or not answered: it is given again soon. One that was not answered may
    /// still be carried out; the same order twice has the effect of one.
    pub fn failed(&mut self, now: Time, server: Key) {
        if let Some(given) = self.given.get_mut(&server) {
            given.taken = false;
            given.again = now + FAILED_AGAIN;
        }
    }

    /// Forgets all orders, since another process gives them.
    pub fn clear(&mut self) {
        self.given.clear();
    }
}
