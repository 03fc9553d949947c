//! Transfers of cache blocks between the engine and the stores.
//!
//! A piece is a prefix block of a prompt.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use base::prelude::*;
use cache::{Key, Link, StoreIndex};
use serde_json::{Value, json};
use wire::{CacheDelta, Piece};

use crate::event::{CacheEvent, TransferResult};
use crate::{Config, Effect, Effects};

/// Interval at which cache events are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that a run waits for its blocks; well within the time for which a store pins them for a reader.
const MAX_FETCH_WAIT: Duration = Duration::from_secs(4);
/// Period over which background transfers may use their share of a link.
const BACKGROUND_WINDOW: Duration = Duration::from_millis(500);
/// Usage of the agent's share of a store, in percent, below which all blocks are saved.
const MAX_SPECULATIVE_PERCENT: u64 = 60;
/// Maximum number of blocks queued to be saved; any further ones are dropped, and recomputed when needed.
const MAX_QUEUED_SAVES: usize = 20_000;

/// The transfers of one agent.
#[derive(Debug)]
pub(super) struct Transfers {
    stores: Vec<Name>,
    piece_bytes: u64,
    initial_rate: u64,
    links: HashMap<Name, Link>,
    fetching: HashMap<Key, (Name, Time)>,
    saving: HashMap<Key, Name>,
    queued_saves: VecDeque<Key>,
    indexes: HashMap<Name, StoreIndex>,
    /// Blocks in the engine's cache.
    cached: HashSet<Key>,
    next_event: u64,
    next_poll: Time,
    /// Whether the complete list of the engine's cache was requested.
    listing: bool,
    /// Bytes fetched, and bytes saved.
    moved_bytes: [u64; 2],
}

impl Transfers {
    pub fn new(config: &Config) -> Self {
        let count = config.stores.len().max(1) as u64;
        let index = || StoreIndex::new(config.store_bytes / count);
        let link = || Link::new(config.link_rate as f64);
        Self {
            links: config.stores.iter().map(|store| (store.clone(), link())).collect(),
            indexes: config.stores.iter().map(|store| (store.clone(), index())).collect(),
            stores: config.stores.clone(),
            piece_bytes: config.piece_bytes,
            initial_rate: config.link_rate,
            fetching: HashMap::new(),
            saving: HashMap::new(),
            queued_saves: VecDeque::new(),
            cached: HashSet::new(),
            next_event: 0,
            next_poll: Time::ZERO,
            listing: false,
            moved_bytes: [0; 2],
        }
    }

    /// Mean rate of the links, and the largest number of bytes queued on one, for the entries' estimates.
    pub fn rate(&self) -> (u64, u64) {
        if self.links.is_empty() {
            return (self.initial_rate, 0);
        }
        let rate: f64 = self.links.values().map(|link| link.rate).sum();
        let queue = self.links.values().map(|link| link.queued).max().unwrap_or(0);
        ((rate / self.links.len() as f64) as u64, queue)
    }

    /// Starts to fetch pieces; returns those to wait for. One transfer serves all runs that wait for it.
    pub fn begin(&mut self, now: Time, pieces: &[Piece], out: &mut Effects) -> HashSet<Key> {
        let mut waiting = HashSet::new();
        for piece in pieces {
            if self.cached.contains(&piece.key) {
                continue;
            }
            if self.fetching.contains_key(&piece.key) {
                waiting.insert(piece.key);
                continue;
            }
            // The pieces after one that cannot be fetched are useless.
            let Some(link) = self.links.get_mut(&piece.store).filter(|link| link.is_available(now))
            else {
                break;
            };
            link.begin(now, self.piece_bytes);
            self.fetching.insert(piece.key, (piece.store.clone(), now));
            waiting.insert(piece.key);
            out.push(Effect::Fetch { key: piece.key, store: piece.store.clone() });
        }
        waiting
    }

    /// Whether a run has waited for its pieces for `MAX_FETCH_WAIT`.
    pub fn is_late(&self, now: Time, keys: &HashSet<Key>) -> bool {
        keys.iter().all(|key| {
            self.fetching.get(key).is_none_or(|(_, since)| now.since(*since) >= MAX_FETCH_WAIT)
        })
    }

    pub fn fetched(&mut self, now: Time, key: &Key, store: &Name, result: TransferResult) {
        self.fetching.remove(key);
        let Some(link) = self.links.get_mut(store) else {
            return;
        };
        match result {
            TransferResult::Done { bytes } => {
                self.moved_bytes[0] += bytes;
                link.finish(now, self.piece_bytes, bytes, false);
                self.cached.insert(*key);
            }
            TransferResult::Miss => link.finish_missing(self.piece_bytes),
            TransferResult::Full | TransferResult::Failed => {
                link.fail(now, self.piece_bytes, false);
            }
        }
        if let Some(index) = self.indexes.get_mut(store) {
            index.record_use(key);
        }
    }

    /// Queues blocks to be saved. Those of `save_if_free` only while their store has plenty of free space:
    /// whether a prompt repeats is not known before its blocks would be needed.
    pub fn save(&mut self, now: Time, keys: &[Key], save_if_free: &[Key], out: &mut Effects) {
        let has_space = |key: &&Key| {
            let index = self.home(key).and_then(|store| self.indexes.get(store));
            index.is_some_and(|index| index.used_percent() < MAX_SPECULATIVE_PERCENT)
        };
        let save_if_free: Vec<Key> = save_if_free.iter().filter(has_space).copied().collect();
        for key in keys.iter().chain(&save_if_free) {
            if self.queued_saves.len() < MAX_QUEUED_SAVES
                && !self.saving.contains_key(key)
                && !self.queued_saves.contains(key)
            {
                self.queued_saves.push_back(*key);
            }
        }
        self.save_queued(now, out);
    }

    /// Saves queued blocks as far as the links have capacity.
    pub fn save_queued(&mut self, now: Time, out: &mut Effects) {
        let mut deferred = VecDeque::new();
        while let Some(key) = self.queued_saves.pop_front() {
            let Some(store) = self.home(&key).filter(|store| self.links[*store].writable(now))
            else {
                continue;
            };
            let store = store.clone();
            let (Some(link), Some(index)) =
                (self.links.get_mut(&store), self.indexes.get_mut(&store))
            else {
                continue;
            };
            if !link.begin_background(now, self.piece_bytes, BACKGROUND_WINDOW) {
                deferred.push_back(key);
                break;
            }
            let Some(generation) = index.reserve(key, self.piece_bytes) else {
                link.cancel_background(self.piece_bytes);
                continue;
            };
            self.saving.insert(key, store.clone());
            out.push(Effect::Save { key, store, generation });
        }
        deferred.append(&mut self.queued_saves);
        self.queued_saves = deferred;
    }

    pub fn saved(
        &mut self,
        now: Time,
        key: &Key,
        store: &Name,
        generation: u64,
        result: TransferResult,
    ) -> Option<CacheDelta> {
        self.saving.remove(key);
        let (Some(link), Some(index)) = (self.links.get_mut(store), self.indexes.get_mut(store))
        else {
            return None;
        };
        let ok = matches!(result, TransferResult::Done { .. });
        match result {
            TransferResult::Done { bytes } => {
                self.moved_bytes[1] += bytes;
                link.finish(now, self.piece_bytes, bytes, true);
            }
            // The engine no longer had the block: nothing was written, and the store is not at fault.
            TransferResult::Miss => link.cancel_background(self.piece_bytes),
            TransferResult::Full => link.mark_full(now, self.piece_bytes, true),
            TransferResult::Failed => link.fail(now, self.piece_bytes, true),
        }
        index.finish_write(key, generation, ok);
        ok.then(|| CacheDelta {
            store: Some(store.clone()),
            added: vec![*key],
            ..CacheDelta::default()
        })
    }

    /// Handles cache events of the engine; a gap in their numbers triggers a read of the complete list.
    pub fn events(
        &mut self,
        from: u64,
        events: &[CacheEvent],
        out: &mut Effects,
    ) -> Option<CacheDelta> {
        if self.listing || from != self.next_event {
            return None;
        }
        let mut delta = CacheDelta::default();
        for event in events {
            if event.seq != self.next_event {
                self.relist(out);
                break;
            }
            self.next_event += 1;
            if event.stored {
                self.cached.insert(event.key);
                delta.added.push(event.key);
            } else {
                self.cached.remove(&event.key);
                delta.removed.push(event.key);
            }
        }
        let empty = delta.added.is_empty() && delta.removed.is_empty();
        (!empty).then_some(delta)
    }

    /// Requests the complete list of the engine's cache.
    pub fn relist(&mut self, out: &mut Effects) {
        if !self.listing {
            self.listing = true;
            out.push(Effect::ListCache);
        }
    }

    pub fn listed(&mut self, next: u64, keys: Vec<Key>) -> CacheDelta {
        self.listing = false;
        self.next_event = next;
        self.cached = keys.iter().copied().collect();
        CacheDelta { reset: true, added: keys, ..CacheDelta::default() }
    }

    /// The complete contents of the engine's cache and the stores, for a newly connected entry.
    pub fn snapshot(&self) -> Vec<CacheDelta> {
        let mut all = vec![CacheDelta {
            reset: true,
            added: self.cached.iter().copied().collect(),
            ..CacheDelta::default()
        }];
        for (store, index) in &self.indexes {
            let added: Vec<Key> = index.published().copied().collect();
            if !added.is_empty() {
                all.push(CacheDelta { store: Some(store.clone()), added, ..CacheDelta::default() });
            }
        }
        all
    }

    /// Polls events, frees blocks, makes space on the stores; returns the changes to send to the entries.
    pub fn tick(&mut self, now: Time, plain: bool, out: &mut Effects) -> Vec<CacheDelta> {
        if plain || now < self.next_poll {
            return Vec::new();
        }
        self.next_poll = now + POLL_INTERVAL;
        if self.listing {
            // The request may have been lost in a restart of the server.
            out.push(Effect::ListCache);
        } else {
            out.push(Effect::PollCache { from: self.next_event });
        }
        let mut all = Vec::new();
        let needed_bytes = self.queued_saves.len() as u64 * self.piece_bytes;
        for (store, index) in &mut self.indexes {
            let removed = index.tombstone_lru(now, needed_bytes.min(64 * self.piece_bytes));
            if !removed.is_empty() {
                all.push(CacheDelta {
                    store: Some(store.clone()),
                    removed,
                    ..CacheDelta::default()
                });
            }
            for freed in index.take_expired(now) {
                out.push(Effect::Free { key: freed.key, store: store.clone() });
            }
        }
        self.save_queued(now, out);
        all
    }

    /// The store for a key, by rendezvous hashing, so that all agents choose the same one.
    fn home(&self, key: &Key) -> Option<&Name> {
        self.stores.iter().max_by_key(|store| cache::holder_rank(key, store))
    }

    pub fn dump(&self, now: Time) -> Value {
        let links: Vec<Value> = self
            .links
            .iter()
            .map(|(store, link)| {
                json!({
                    "store": &**store,
                    "open": link.is_available(now),
                    "writable": link.writable(now),
                    "rate": link.rate as u64,
                    "queued": link.queued,
                    "kept_bytes": self.indexes[store].bytes(),
                })
            })
            .collect();
        json!({
            "links": links,
            "fetching": self.fetching.len(),
            "keeping": self.saving.len(),
            "to_keep": self.queued_saves.len(),
            "held": self.cached.len(),
            "fetched_bytes": self.moved_bytes[0],
            "kept_bytes": self.moved_bytes[1],
        })
    }
}
