//! Cache blocks between the engine and the stores.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use base::prelude::*;
use cache::{Key, Link, StoreIndex};
use serde_json::{Value, json};
use wire::{CacheDelta, Piece};

use crate::event::{CacheEvent, TransferResult};
use crate::{Config, Effect, Effects};

/// Pause between two questions for cache events.
const POLL: Duration = Duration::from_millis(100);
/// Longest time that a run waits for its blocks; well within a reader's pin.
const FETCH_MOST: Duration = Duration::from_secs(4);
/// Span over which background transfers may fill their share of a link.
const WINDOW: Duration = Duration::from_millis(500);
/// Use of a store's share below which everything is written back, in percent.
const ROOMY_PERCENT: u64 = 60;
/// Blocks that wait to be written back; beyond it they are left to be computed again.
const KEEP_WAITING: usize = 20_000;

/// The transfers of one agent.
#[derive(Debug)]
pub(super) struct Transfers {
    stores: Vec<Name>,
    piece_bytes: u64,
    first_rate: u64,
    links: HashMap<Name, Link>,
    fetching: HashMap<Key, (Name, Time)>,
    keeping: HashMap<Key, Name>,
    to_keep: VecDeque<Key>,
    shelves: HashMap<Name, StoreIndex>,
    held: HashSet<Key>,
    next_event: u64,
    next_poll: Time,
    listing: bool,
    moved: [u64; 2],
}

impl Transfers {
    pub fn new(config: &Config) -> Self {
        let count = config.stores.len().max(1) as u64;
        let shelf = || StoreIndex::new(config.store_bytes / count);
        let link = || Link::new(config.link_rate as f64);
        Self {
            links: config.stores.iter().map(|store| (store.clone(), link())).collect(),
            shelves: config.stores.iter().map(|store| (store.clone(), shelf())).collect(),
            stores: config.stores.clone(),
            piece_bytes: config.piece_bytes,
            first_rate: config.link_rate,
            fetching: HashMap::new(),
            keeping: HashMap::new(),
            to_keep: VecDeque::new(),
            held: HashSet::new(),
            next_event: 0,
            next_poll: Time::ZERO,
            listing: false,
            moved: [0; 2],
        }
    }

    /// Mean rate of the links and bytes queued on the fullest, for the entries' estimates.
    pub fn rate(&self) -> (u64, u64) {
        if self.links.is_empty() {
            return (self.first_rate, 0);
        }
        let rate: f64 = self.links.values().map(|link| link.rate).sum();
        let queue = self.links.values().map(|link| link.queued).max().unwrap_or(0);
        ((rate / self.links.len() as f64) as u64, queue)
    }

    /// Begins to fetch pieces; gives those to wait for. One transfer serves many waiters.
    pub fn begin(&mut self, now: Time, pieces: &[Piece], out: &mut Effects) -> HashSet<Key> {
        let mut waiting = HashSet::new();
        for piece in pieces {
            if self.held.contains(&piece.key) {
                continue;
            }
            if self.fetching.contains_key(&piece.key) {
                waiting.insert(piece.key);
                continue;
            }
            // A piece that cannot come makes those behind it useless.
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

    /// Whether a run has waited for its pieces long enough.
    pub fn is_late(&self, now: Time, keys: &HashSet<Key>) -> bool {
        keys.iter().all(|key| {
            self.fetching.get(key).is_none_or(|(_, since)| now.since(*since) >= FETCH_MOST)
        })
    }

    pub fn fetched(&mut self, now: Time, key: &Key, store: &Name, moved: TransferResult) {
        self.fetching.remove(key);
        let Some(link) = self.links.get_mut(store) else {
            return;
        };
        match moved {
            TransferResult::Done { bytes } => {
                self.moved[0] += bytes;
                link.finish(now, self.piece_bytes, bytes, false);
                self.held.insert(*key);
            }
            TransferResult::Miss => link.finish_missing(self.piece_bytes),
            TransferResult::Full | TransferResult::Failed => {
                link.fail(now, self.piece_bytes, false)
            }
        }
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.touch(key);
        }
    }

    /// Notes blocks to write back; the spare ones only while their store has plenty of room, for
    /// whether a prompt comes back is seen only after its block would be needed.
    pub fn keep(&mut self, now: Time, keys: &[Key], spare: &[Key], out: &mut Effects) {
        let roomy = |key: &&Key| {
            let shelf = self.home(key).and_then(|store| self.shelves.get(store));
            shelf.is_some_and(|shelf| shelf.used_percent() < ROOMY_PERCENT)
        };
        let spare: Vec<Key> = spare.iter().filter(roomy).copied().collect();
        for key in keys.iter().chain(&spare) {
            if self.to_keep.len() < KEEP_WAITING
                && !self.keeping.contains_key(key)
                && !self.to_keep.contains(key)
            {
                self.to_keep.push_back(*key);
            }
        }
        self.keep_more(now, out);
    }

    /// Writes back what the links have room for.
    pub fn keep_more(&mut self, now: Time, out: &mut Effects) {
        let mut left = VecDeque::new();
        while let Some(key) = self.to_keep.pop_front() {
            let Some(store) = self.home(&key).filter(|store| self.links[*store].writable(now))
            else {
                continue;
            };
            let store = store.clone();
            let (Some(link), Some(shelf)) =
                (self.links.get_mut(&store), self.shelves.get_mut(&store))
            else {
                continue;
            };
            if !link.begin_background(now, self.piece_bytes, WINDOW) {
                left.push_back(key);
                break;
            }
            let Some(generation) = shelf.reserve(key, self.piece_bytes) else {
                link.cancel_background(self.piece_bytes);
                continue;
            };
            self.keeping.insert(key, store.clone());
            out.push(Effect::Save { key, store, generation });
        }
        left.append(&mut self.to_keep);
        self.to_keep = left;
    }

    pub fn kept(
        &mut self,
        now: Time,
        key: &Key,
        store: &Name,
        generation: u64,
        moved: TransferResult,
    ) -> Option<CacheDelta> {
        self.keeping.remove(key);
        let (Some(link), Some(shelf)) = (self.links.get_mut(store), self.shelves.get_mut(store))
        else {
            return None;
        };
        let ok = matches!(moved, TransferResult::Done { .. });
        match moved {
            TransferResult::Done { bytes } => {
                self.moved[1] += bytes;
                link.finish(now, self.piece_bytes, bytes, true);
            }
            // The engine had it no more: nothing was written and nothing is wrong with the store.
            TransferResult::Miss => link.cancel_background(self.piece_bytes),
            TransferResult::Full => link.mark_full(now, self.piece_bytes, true),
            TransferResult::Failed => link.fail(now, self.piece_bytes, true),
        }
        shelf.finish_write(key, generation, ok);
        ok.then(|| CacheDelta {
            store: Some(store.clone()),
            added: vec![*key],
            ..CacheDelta::default()
        })
    }

    /// Cache events from the engine; a gap in their numbers asks for the whole list.
    pub fn events(
        &mut self,
        from: u64,
        events: &[CacheEvent],
        out: &mut Effects,
    ) -> Option<CacheDelta> {
        if self.listing || from != self.next_event {
            return None;
        }
        let mut news = CacheDelta::default();
        for event in events {
            if event.seq != self.next_event {
                self.relist(out);
                break;
            }
            self.next_event += 1;
            if event.stored {
                self.held.insert(event.key);
                news.added.push(event.key);
            } else {
                self.held.remove(&event.key);
                news.removed.push(event.key);
            }
        }
        let empty = news.added.is_empty() && news.removed.is_empty();
        (!empty).then_some(news)
    }

    /// Asks for the whole list of the engine's cache.
    pub fn relist(&mut self, out: &mut Effects) {
        if !self.listing {
            self.listing = true;
            out.push(Effect::ListCache);
        }
    }

    pub fn listed(&mut self, next: u64, keys: Vec<Key>) -> CacheDelta {
        self.listing = false;
        self.next_event = next;
        self.held = keys.iter().copied().collect();
        CacheDelta { reset: true, added: keys, ..CacheDelta::default() }
    }

    /// Everything that the engine and the stores hold, for an entry that was just met.
    pub fn all_news(&self) -> Vec<CacheDelta> {
        let mut all = vec![CacheDelta {
            reset: true,
            added: self.held.iter().copied().collect(),
            ..CacheDelta::default()
        }];
        for (store, shelf) in &self.shelves {
            let added: Vec<Key> = shelf.published().copied().collect();
            if !added.is_empty() {
                all.push(CacheDelta { store: Some(store.clone()), added, ..CacheDelta::default() });
            }
        }
        all
    }

    /// Asks for events, frees blocks, makes room; gives what the entries must learn.
    pub fn tick(&mut self, now: Time, plain: bool, out: &mut Effects) -> Vec<CacheDelta> {
        if plain || now < self.next_poll {
            return Vec::new();
        }
        self.next_poll = now + POLL;
        if self.listing {
            // The list may have been lost with the server's restart.
            out.push(Effect::ListCache);
        } else {
            out.push(Effect::PollCache { from: self.next_event });
        }
        let mut all = Vec::new();
        let wanted = self.to_keep.len() as u64 * self.piece_bytes;
        for (store, shelf) in &mut self.shelves {
            let removed = shelf.tombstone_lru(now, wanted.min(64 * self.piece_bytes));
            if !removed.is_empty() {
                all.push(CacheDelta {
                    store: Some(store.clone()),
                    removed,
                    ..CacheDelta::default()
                });
            }
            for freed in shelf.take_expired(now) {
                out.push(Effect::Free { key: freed.key, store: store.clone() });
            }
        }
        self.keep_more(now, out);
        all
    }

    /// The store that a key belongs on: the highest by hash, so that all agents agree.
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
                    "kept_bytes": self.shelves[store].bytes(),
                })
            })
            .collect();
        json!({
            "links": links,
            "fetching": self.fetching.len(),
            "keeping": self.keeping.len(),
            "to_keep": self.to_keep.len(),
            "held": self.held.len(),
            "fetched_bytes": self.moved[0],
            "kept_bytes": self.moved[1],
        })
    }
}
