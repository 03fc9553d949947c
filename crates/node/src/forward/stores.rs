//! Stores of prompt parts: who reads them, what lies there, where a part is fetched from and saved.
//!
//! Answers the pattern in which the histories of all subjects are several times what the servers'
//! own memory keeps: a history that was read once is saved, and fetched when its subject returns.
//! Only the leader among the keepers reads the stores, since they take few readers, and it tells
//! the entries. A part is fetched only when its store has said that it is complete.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use cache::{Named, Place, Stock, salt_number};
use fleet::News;
use record::{Engine, Service, Store};
use wire::{Shelf, Stored};

use super::{Context, Forward};
use crate::{Effect, Effects};

/// Pause between two reads of a store's events, so that one read brings several.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(500);
/// Time between two reads of all that a store holds: single events may be lost.
const LIST_EVERY: Duration = Duration::from_secs(8);
/// How long a save that this entry asked for may take to show.
const SAVING: Duration = Duration::from_secs(2);
/// Part of a store that is filled.
const FILLED: f64 = 0.97;
/// Parts up to this length go to the stores with the shortest wait, tokens: the wait matters more
/// than the room they take.
const SHORT: u32 = 1_024;
/// Bits in a byte.
const BITS: f64 = 8.0;
/// How much longer a transfer between availability zones takes.
const OTHER_ZONE: f64 = 2.0;

/// Reading of one store.
#[derive(Debug, Default)]
struct Reading {
    since: Option<u64>,
    epoch: u64,
    pending: bool,
    next: Time,
    next_list: Time,
}

/// The stores as this process knows them.
#[derive(Debug, Default)]
pub(super) struct Stores {
    stock: Stock,
    readings: HashMap<SocketAddr, Reading>,
    /// Parts that this entry has had saved lately.
    saving: HashMap<Place, Time>,
    news: Vec<Shelf>,
    term: u64,
}

/// Where the parts of a prompt come from and go to, for one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Transfer {
    /// Source of each part.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Store that each part is saved to.
    pub save: Vec<Option<SocketAddr>>,
    /// Tokens that are fetched and not read.
    pub tokens: u64,
    /// Estimated time of the fetch, milliseconds.
    pub millis: f64,
}

impl Stores {
    /// What there is to tell the entries.
    pub fn take_news(&mut self) -> Option<wire::Stock> {
        let shelves = std::mem::take(&mut self.news);
        (!shelves.is_empty()).then_some(wire::Stock { term: self.term, shelves })
    }

    /// Everything that is known, for an entry that has come.
    pub fn whole(&self) -> wire::Stock {
        let stored =
            |(place, tokens): (Place, u32)| Stored { salt: place.salt, id: place.id, tokens };
        let shelves = self.stock.shelves().map(|(store, epoch, parts)| Shelf {
            store,
            epoch: Some(epoch),
            whole: true,
            parts: parts.into_iter().map(stored).collect(),
        });
        wire::Stock { term: self.term, shelves: shelves.collect() }
    }

    /// Takes what a reader told.
    pub fn told(&mut self, told: &wire::Stock) {
        if told.term < self.term {
            return;
        }
        self.term = told.term;
        for shelf in &told.shelves {
            self.apply(shelf);
        }
    }

    fn apply(&mut self, shelf: &Shelf) {
        let Some(epoch) = shelf.epoch else {
            self.stock.forget(shelf.store);
            return;
        };
        let place = |part: &Stored| Place { salt: part.salt, id: part.id };
        let here = shelf.parts.iter().filter(|part| part.tokens > 0);
        let added: Vec<(Place, u32)> = here.map(|part| (place(part), part.tokens)).collect();
        if shelf.whole {
            self.stock.replace(shelf.store, epoch, &added);
            return;
        }
        let gone = shelf.parts.iter().filter(|part| part.tokens == 0);
        let removed: Vec<Place> = gone.map(place).collect();
        self.stock.change(shelf.store, epoch, &added, &removed);
    }

    /// Reads what is due, if this process leads.
    pub fn read(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let Some(term) = cx.term else {
            self.readings.clear();
            return;
        };
        self.term = self.term.max(term);
        for (_, service) in cx.view.services() {
            let Some(store) = &service.store else { continue };
            let reading = self.readings.entry(store.addr).or_default();
            if reading.pending || cx.now < reading.next {
                continue;
            }
            if cx.now >= reading.next_list {
                reading.next_list = cx.now + LIST_EVERY;
                reading.since = None;
            }
            reading.pending = true;
            out.push(Effect::ReadStore { addr: store.addr, since: reading.since });
        }
    }

    /// A read has ended.
    pub fn was_read(
        &mut self,
        cx: &Context<'_>,
        addr: SocketAddr,
        whole: bool,
        news: Result<News, String>,
    ) {
        let Some(reading) = self.readings.get_mut(&addr) else {
            return;
        };
        reading.pending = false;
        let news = match news {
            Ok(news) if !news.gap && (whole || news.epoch == reading.epoch) => news,
            // What it holds now is not known: all is read again.
            other => {
                reading.since = None;
                let failed = other.is_err();
                reading.next = cx.now + if failed { AGAIN } else { Duration::ZERO };
                if self.stock.knows(addr) && failed {
                    self.tell(Shelf { store: addr, epoch: None, whole: true, parts: Vec::new() });
                }
                return;
            }
        };
        reading.since = Some(news.next);
        reading.epoch = news.epoch;
        reading.next = cx.now + PAUSE;
        if news.parts.is_empty() && !whole {
            return;
        }
        let stored = |part: &fleet::Stored| Stored {
            salt: salt_number(&part.salt),
            id: part.id,
            tokens: part.tokens,
        };
        let parts = news.parts.iter().map(stored).collect();
        self.tell(Shelf { store: addr, epoch: Some(news.epoch), whole, parts });
    }

    fn tell(&mut self, shelf: Shelf) {
        self.apply(&shelf);
        self.news.push(shelf);
    }

    /// Sources for the parts of a prompt that a server lacks; `held` of them it has itself.
    pub fn sources(
        &self,
        cx: &Context<'_>,
        engine: &Engine,
        zone: &Name,
        salt: u64,
        parts: &[Named],
        held: usize,
    ) -> Transfer {
        let shared = parts.len().saturating_sub(1);
        let mut transfer = Transfer {
            fetch: vec![None; parts.len()],
            save: vec![None; parts.len()],
            ..Transfer::default()
        };
        let mut unbroken = true;
        for (index, part) in parts.iter().enumerate().take(shared) {
            let place = Place { salt, id: part.id };
            let holders = self.stock.holders(place, part.tokens);
            let best = holders
                .filter_map(|addr| Some((addr, store_at(cx, addr)?)))
                .map(|(addr, store)| (addr, millis(engine, store, zone, part.tokens)))
                .min_by(|a, b| a.1.total_cmp(&b.1));
            transfer.fetch[index] = best.map(|(addr, _)| addr);
            if index < held {
                continue;
            }
            match best {
                Some((_, millis)) if unbroken => {
                    transfer.tokens += u64::from(part.tokens);
                    transfer.millis += millis;
                }
                _ => unbroken = false,
            }
        }
        transfer
    }

    /// Chooses stores for the shared parts of a prompt that lie on none.
    pub fn save(&mut self, cx: &Context<'_>, salt: u64, parts: &[Named], transfer: &mut Transfer) {
        let now = cx.now;
        self.saving.retain(|_, at| now.since(*at) < SAVING);
        let shared = parts.len().saturating_sub(1);
        for (index, part) in parts.iter().enumerate().take(shared) {
            let place = Place { salt, id: part.id };
            if transfer.fetch[index].is_some() || self.saving.contains_key(&place) {
                continue;
            }
            let Some(addr) = self.shelf_for(cx, part) else { continue };
            transfer.save[index] = Some(addr);
            self.saving.insert(place, now);
        }
    }

    /// The store where a part belongs: short parts where the wait is short, long ones where there
    /// is room.
    fn shelf_for(&self, cx: &Context<'_>, part: &Named) -> Option<SocketAddr> {
        let stores: Vec<&Store> =
            cx.view.services().filter_map(|(_, service)| service.store.as_ref()).collect();
        let room = |store: &&&Store| {
            let most = (store.tokens as f64 * FILLED) as u64;
            self.stock.knows(store.addr)
                && self.stock.tokens(store.addr) + u64::from(part.tokens) <= most
        };
        let fast = stores.iter().map(|store| store.latency).min()?;
        let slow = stores.iter().map(|store| store.latency).max()?;
        let wanted = if part.tokens <= SHORT { [fast, slow] } else { [slow, fast] };
        wanted.iter().find_map(|latency| {
            let fits = stores.iter().filter(|store| store.latency == *latency).filter(room);
            fits.max_by_key(|store| salt_number(&format!("{}/{}", part.id, store.addr)))
                .map(|store| store.addr)
        })
    }
}

fn store_at<'a>(cx: &Context<'a>, addr: SocketAddr) -> Option<&'a Store> {
    let mut stores =
        cx.view.services().filter_map(|(_, service): (_, &Service)| service.store.as_ref());
    stores.find(|store| store.addr == addr)
}

/// Estimated time of a fetch, milliseconds.
fn millis(engine: &Engine, store: &Store, zone: &Name, tokens: u32) -> f64 {
    let rate = store.link_rate.min(engine.link_rate.max(1)) as f64;
    let bits = f64::from(tokens) * engine.token_bytes as f64 * BITS;
    let far = if store.zone == *zone { 1.0 } else { OTHER_ZONE };
    store.latency.as_secs_f64() * 1_000.0 + bits / rate * 1_000.0 * far
}

impl Forward {
    /// What this process, as the reader of the stores, has to tell the entries.
    pub fn take_news(&mut self) -> Option<wire::Stock> {
        self.stores.take_news()
    }

    /// All that lies on the stores, for an entry that has come.
    pub fn stock(&self) -> wire::Stock {
        self.stores.whole()
    }

    /// The reader of the stores told what lies there.
    pub fn stocked(&mut self, told: &wire::Stock) {
        self.stores.told(told);
    }
}
