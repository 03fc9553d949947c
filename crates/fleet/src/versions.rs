//! Weight versions of a model, and on which of them runs may start.
//!
//! A version may be announced before the servers hold the previous one. Each version has its own grace period, counted
//! from its announcement: a newer one neither extends nor shortens that of the others.

use std::collections::BTreeMap;

use base::prelude::*;

/// The versions announced for one model.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    newest: u64,
    announced: BTreeMap<u64, Announced>,
}

/// When a version was announced. The clock of this process may have started later.
#[derive(Clone, Copy, Debug)]
struct Announced {
    /// When this process learned of it.
    learned_at: Time,
    /// Its age then.
    age: Duration,
}

impl Announced {
    fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.learned_at)
    }
}

impl Versions {
    /// The newest version; 0 if none was announced.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Time since the newest version was announced.
    pub fn newest_age(&self, now: Time) -> Duration {
        self.announced.get(&self.newest).map_or(Duration::ZERO, |announced| announced.age(now))
    }

    /// Puts a version into force here. One below the newest rolls the model back and drops the others. Versions older
    /// than the oldest allowed one are dropped.
    pub fn set_newest(&mut self, now: Time, version: u64, grace: Duration) {
        if version < self.newest {
            self.announced.clear();
        }
        let oldest = self.oldest_allowed(now, grace);
        self.announced.retain(|version, _| *version >= oldest);
        self.newest = version;
        self.announced.entry(version).or_insert(Announced { learned_at: now, age: Duration::ZERO });
    }

    /// Each version that may still matter, with the time since its announcement.
    pub fn ages(&self, now: Time) -> impl Iterator<Item = (u64, Duration)> {
        self.announced.iter().map(move |(version, announced)| (*version, announced.age(now)))
    }

    /// Applies the age of a version that another process sent: the grace period counts from the announcement even if
    /// this process learned of it late or started later.
    pub fn apply_age(&mut self, now: Time, version: u64, age: Duration) {
        let announced = self.announced.entry(version).or_insert(Announced { learned_at: now, age });
        if announced.age(now) < age {
            *announced = Announced { learned_at: now, age };
        }
    }

    /// The oldest version on which runs may still start, if an older one is allowed for `grace` after a version was
    /// announced; 0 for any.
    pub fn oldest_allowed(&self, now: Time, grace: Duration) -> u64 {
        let announced = self.announced.range(..=self.newest);
        let due = announced.rev().find(|(_, announced)| announced.age(now) >= grace);
        due.map_or(0, |(version, _)| *version)
    }
}
