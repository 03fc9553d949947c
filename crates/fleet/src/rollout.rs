//! Which servers to order to a newer weight version.
//!
//! Only the leader among the keepers orders, and only once its predecessor can no longer act, so
//! each server has one holder at a time. Orders may be lost, late or doubled, so one that has not
//! shown its effect in time is given again.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Key, Servers};

/// Part of a model's servers that change at once. More would leave too few for new runs, and fewer
/// would not be through in time, since each waits for runs of seconds.
const SHARE: usize = 3;
/// Time after which an order without an effect is given again: longer than an order may wait for
/// runs to end.
const AGAIN: Duration = Duration::from_secs(4);

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Key,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
}

/// Orders under way.
#[derive(Debug, Default)]
pub struct Rollout {
    given: HashMap<Key, (u64, Time)>,
}

impl Rollout {
    /// The orders that are due to bring a model's servers to a version.
    pub fn due(&mut self, now: Time, servers: &Servers, model: &Name, version: u64) -> Vec<Order> {
        let held = |key: Key| servers.get(key).map_or(u64::MAX, |server| server.version);
        self.given.retain(|key, (wanted, _)| held(*key) < *wanted);
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
        let under_way = |key: &Key| {
            self.given
                .get(key)
                .is_some_and(|(wanted, at)| *wanted >= version && now.since(*at) < AGAIN)
        };
        let busy = old.iter().filter(|(_, key)| under_way(key)).count();
        let room = (all / SHARE).max(1).saturating_sub(busy);
        // Those with the fewest runs are through first.
        old.sort_unstable();
        let next: Vec<Key> =
            old.iter().map(|(_, key)| *key).filter(|key| !under_way(key)).take(room).collect();
        for key in &next {
            self.given.insert(*key, (version, now));
        }
        let order = |server| Order { server, model: model.clone(), version };
        next.into_iter().map(order).collect()
    }

    /// Servers that were ordered and have not shown the version yet.
    pub fn under_way(&self) -> impl Iterator<Item = Key> {
        self.given.keys().copied()
    }

    /// An order was refused or did not arrive: it may be given again at once.
    pub fn failed(&mut self, server: Key) {
        self.given.remove(&server);
    }
}
