//! Weight versions of a model, and which of them runs may begin on.
//!
//! Answers the pattern in which a version is named before the servers hold the one before it. Each
//! version has a time of its own, counted from when it was named: a newer one neither extends nor
//! shortens that of the others.

use std::collections::BTreeMap;

use base::prelude::*;

/// The versions named for one model.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    newest: u64,
    named: BTreeMap<u64, Named>,
}

/// Since when a version is named. The clock of a process may have started later.
#[derive(Clone, Copy, Debug)]
struct Named {
    /// When it was learnt of.
    at: Time,
    /// Its age then.
    age: Duration,
}

impl Named {
    fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }
}

impl Versions {
    /// The newest version; 0 where none was named.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Time since the newest version was named.
    pub fn newest_age(&self, now: Time) -> Duration {
        self.named.get(&self.newest).map_or(Duration::ZERO, |named| named.age(now))
    }

    /// A version came into force here. One below the newest takes the model back, and the others no longer count.
    /// Those that decide nothing after `grace` are dropped.
    pub fn set_newest(&mut self, now: Time, version: u64, grace: Duration) {
        if version < self.newest {
            self.named.clear();
        }
        let least = self.oldest_allowed(now, grace);
        self.named.retain(|version, _| *version >= least);
        self.newest = version;
        self.named.entry(version).or_insert(Named { at: now, age: Duration::ZERO });
    }

    /// Each version that may still decide, with the time since it was named.
    pub fn ages(&self, now: Time) -> impl Iterator<Item = (u64, Duration)> {
        self.named.iter().map(move |(version, named)| (*version, named.age(now)))
    }

    /// Another process tells how long ago a version was named: one that was learnt of late, or before this
    /// process started, has its time all the same.
    pub fn apply_age(&mut self, now: Time, version: u64, age: Duration) {
        let known = self.named.entry(version).or_insert(Named { at: now, age });
        if known.age(now) < age {
            *known = Named { at: now, age };
        }
    }

    /// The oldest version that runs may still begin on, if they may begin on an older one for `grace`
    /// after a version was named; 0 for any.
    pub fn oldest_allowed(&self, now: Time, grace: Duration) -> u64 {
        let named = self.named.range(..=self.newest);
        let due = named.rev().find(|(_, named)| named.age(now) >= grace);
        due.map_or(0, |(version, _)| *version)
    }
}
