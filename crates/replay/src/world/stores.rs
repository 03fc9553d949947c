//! Simulated stores and the links to them.

use std::time::Duration;

use base::{Name, Time};
use cache::Key;
use node::{Event, ServerEvent, TransferResult};

use super::{STORE_ROUND_TRIP, World, store_index};

impl World<'_> {
    /// Queues the transfer of one block on the link between an agent and a store, and returns the time until
    /// it has arrived.
    pub(super) fn transfer(&mut self, index: usize, store: usize) -> Duration {
        let deployment = &self.trace.deployment;
        let rate = deployment.link_rate as f64 / self.stores[store].slowdown as f64;
        let time = Duration::from_secs_f64(deployment.block_bytes as f64 / rate);
        let free =
            self.link_free_at.get(&(index, store)).copied().unwrap_or(Time::ZERO).max(self.now);
        let end = free + time;
        self.link_free_at.insert((index, store), end);
        end.since(self.now) + STORE_ROUND_TRIP
    }

    pub(super) fn fetch(&mut self, index: usize, key: Key, name: Name) {
        let store = store_index(&name).unwrap_or(0);
        let (dead, has) = (self.stores[store].dead, self.stores[store].blocks.contains(&key));
        let bytes = self.trace.deployment.block_bytes;
        let (after, result) = if dead {
            (Duration::from_millis(50), TransferResult::Failed)
        } else if has {
            let after = self.transfer(index, store);
            *self.out.fetched_by_store.entry(name.to_string()).or_insert(0) += bytes;
            (after, TransferResult::Done { bytes })
        } else {
            (STORE_ROUND_TRIP, TransferResult::Miss)
        };
        if let (TransferResult::Done { .. }, Some(engine)) =
            (result, &mut self.processes[index].engine)
        {
            engine.batch.import(key);
        }
        self.event(index, after, Event::Server(ServerEvent::Fetched { key, store: name, result }));
    }

    pub(super) fn save(&mut self, index: usize, key: Key, name: Name, generation: u64) {
        let store = store_index(&name).unwrap_or(0);
        let bytes = self.trace.deployment.block_bytes;
        let holds = self.processes[index].engine.as_ref().is_some_and(|e| e.batch.holds(&key));
        let full = self.stores[store].full
            || self.stores[store].blocks.len() as u64 >= self.trace.deployment.store_blocks;
        let (after, result) = if self.stores[store].dead {
            (Duration::from_millis(50), TransferResult::Failed)
        } else if !holds {
            (STORE_ROUND_TRIP, TransferResult::Miss)
        } else if full {
            (STORE_ROUND_TRIP, TransferResult::Full)
        } else {
            let after = self.transfer(index, store);
            self.stores[store].blocks.insert(key);
            *self.out.saved_by_store.entry(name.to_string()).or_insert(0) += bytes;
            (after, TransferResult::Done { bytes })
        };
        let kept = ServerEvent::Saved { key, store: name, generation, result };
        self.event(index, after, Event::Server(kept));
    }
}
