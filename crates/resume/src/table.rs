//! Remembers the origins of streams for a limited time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use base::prelude::*;

use crate::{Key, Origin};

/// How long an origin is remembered: clients resume a stream within the deadline of their request.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of origins; the oldest are dropped first. About 100 bytes each.
pub const MAX_RECORDS: usize = 100_000;

/// What is recorded about a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Its first attempt is sent to this origin.
    First(Origin),
    /// It is sent to this origin instead, before the client has an event.
    Moved(Origin),
    /// It is not certain any more what wrote its events.
    Uncertain,
}

/// What a table knows about a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Its origin.
    Known(Origin),
    /// Records of it contradict each other, or its origin is not certain.
    Uncertain,
    /// Nothing.
    Unknown,
}

/// The origins of streams.
#[derive(Debug, Default)]
pub struct Table {
    /// The origin, or none if it is uncertain, and when it was recorded.
    records: HashMap<Key, (Option<Arc<Origin>>, Time)>,
    /// The keys in the order in which they were recorded. One that was recorded again has an earlier, stale entry.
    order: VecDeque<(Time, Key)>,
    /// The distinct origins.
    origins: Vec<Arc<Origin>>,
}

impl Table {
    /// Records what is known about a stream. Two different first origins mean that two streams have the same
    /// key, so neither may go on.
    pub fn insert(&mut self, now: Time, key: Key, write: Write) {
        let origin = match write {
            Write::Uncertain => None,
            Write::Moved(origin) => Some(self.shared(origin)),
            Write::First(origin) => {
                let known = self.records.get(&key).map(|(known, _)| known.as_deref());
                let agrees = known.is_none_or(|known| known == Some(&origin));
                agrees.then(|| self.shared(origin))
            }
        };
        self.records.insert(key, (origin, now));
        self.order.push_back((now, key));
        self.drop_oldest(now);
    }

    /// What is known about a stream.
    pub fn lookup(&self, key: Key) -> Lookup {
        match self.records.get(&key) {
            Some((Some(origin), _)) => Lookup::Known(Origin::clone(origin)),
            Some((None, _)) => Lookup::Uncertain,
            None => Lookup::Unknown,
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records that have expired or exceed the maximum number.
    pub fn drop_oldest(&mut self, now: Time) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) < RETENTION && self.order.len() <= MAX_RECORDS {
                break;
            }
            self.order.pop_front();
            if self.records.get(&key).is_some_and(|(_, recorded)| *recorded == at) {
                self.records.remove(&key);
            }
        }
        if self.records.is_empty() {
            self.origins.clear();
        }
    }

    /// The shared copy of an origin.
    fn shared(&mut self, origin: Origin) -> Arc<Origin> {
        if let Some(found) = self.origins.iter().find(|found| ***found == origin) {
            return found.clone();
        }
        // Origins that no record refers to are those of versions that are gone.
        self.origins.retain(|found| Arc::strong_count(found) > 1);
        let found = Arc::new(origin);
        self.origins.push(found.clone());
        found
    }
}
