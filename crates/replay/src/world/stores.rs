//! Stand-in stores and the links to them.

use std::time::Duration;

use base::{Name, Time};
use cache::Key;
use node::{Event, ServerEvent, TransferResult};

use super::{STORE_TRIP, World, store_place};

impl World<'_> {
    /// When a transfer over the link of this agent and store ends, and how long it took.
    pub(super) fn transfer(&mut self, place: usize, store: usize) -> Duration {
        let deployment = &self.trace.deployment;
        let rate = deployment.link_rate as f64 / self.stores[store].slow as f64;
        let time = Duration::from_secs_f64(deployment.block_bytes as f64 / rate);
        let free = self.busy.get(&(place, store)).copied().unwrap_or(Time::ZERO).max(self.now);
        let end = free + time;
        self.busy.insert((place, store), end);
        end.since(self.now) + STORE_TRIP
    }

    pub(super) fn fetch(&mut self, place: usize, key: Key, name: Name) {
        let store = store_place(&name).unwrap_or(0);
        let (dead, has) = (self.stores[store].dead, self.stores[store].blocks.contains(&key));
        let bytes = self.trace.deployment.block_bytes;
        let (after, result) = if dead {
            (Duration::from_millis(50), TransferResult::Failed)
        } else if has {
            let after = self.transfer(place, store);
            *self.out.fetched_by_store.entry(name.to_string()).or_insert(0) += bytes;
            (after, TransferResult::Done { bytes })
        } else {
            (STORE_TRIP, TransferResult::Miss)
        };
        if let (TransferResult::Done { .. }, Some(engine)) =
            (result, &mut self.processes[place].engine)
        {
            engine.batch.import(key);
        }
        self.event(place, after, Event::Server(ServerEvent::Fetched { key, store: name, result }));
    }

    pub(super) fn keep(&mut self, place: usize, key: Key, name: Name, generation: u64) {
        let store = store_place(&name).unwrap_or(0);
        let bytes = self.trace.deployment.block_bytes;
        let holds = self.processes[place].engine.as_ref().is_some_and(|e| e.batch.holds(&key));
        let full = self.stores[store].full
            || self.stores[store].blocks.len() as u64 >= self.trace.deployment.store_blocks;
        let (after, result) = if self.stores[store].dead {
            (Duration::from_millis(50), TransferResult::Failed)
        } else if !holds {
            (STORE_TRIP, TransferResult::Miss)
        } else if full {
            (STORE_TRIP, TransferResult::Full)
        } else {
            let after = self.transfer(place, store);
            self.stores[store].blocks.insert(key);
            *self.out.saved_by_store.entry(name.to_string()).or_insert(0) += bytes;
            (after, TransferResult::Done { bytes })
        };
        let news = ServerEvent::Saved { key, store: name, generation, result };
        self.event(place, after, Event::Server(news));
    }
}
