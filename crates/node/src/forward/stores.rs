//! What lies where of the prompts' parts: where a part is fetched from and saved.
//!
//! Answers the pattern in which the histories of all subjects are several times what the servers'
//! own memory keeps: a history that was read once is saved, and fetched when its subject returns,
//! from a store or from a server that still has it. A part is fetched from a store only when the
//! store has said that it is complete.
//!
//! Transfers from one place wait for each other. All entries know what is under way there, so a link
//! that is slow or crowded is left alone while reading is faster.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use cache::{Inventory, Location, Segment, salt_number};
use fleet::Servers;
use record::{Engine, Store};
use wire::{Holdings, StoredSegment};

use super::reader::{Places, Reading};
use super::{Context, Forward};

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
/// Wait before a transfer between two servers, milliseconds.
const SETUP_MS: f64 = 4.0;
/// Part of the parts that a busy server has dropped by the time of a fetch: its events come late, and runs take the memory.
const DROPPED: f64 = 0.3;
/// A part is read rather than fetched when the fetch takes this many times as long: reading also
/// takes the server's time from other requests.
const READ_COSTS: f64 = 4.0;
/// Age at which what other entries have asked of a source says nothing more.
const OTHERS_AGE: Duration = Duration::from_secs(1);

/// Transfers that were asked of a source and whose first tokens have not come.
#[derive(Clone, Copy, Debug, Default)]
struct Queue {
    own_ms: f64,
    others_ms: u32,
    /// When the others' was told.
    at: Time,
}

impl Queue {
    fn millis(&self, now: Time) -> f64 {
        let others = if now.since(self.at) < OTHERS_AGE { self.others_ms } else { 0 };
        self.own_ms + f64::from(others)
    }
}

/// What this process knows of the places that hold prompt parts.
#[derive(Debug, Default)]
pub(super) struct Stores {
    pub(super) stock: Inventory,
    pub(super) readings: HashMap<SocketAddr, Reading>,
    pub(super) places: Places,
    /// Those places, in the order in which they are read.
    pub(super) order: Vec<SocketAddr>,
    /// Parts that this entry has had saved lately.
    saving: HashMap<Location, Time>,
    queues: HashMap<SocketAddr, Queue>,
    pub(super) news: Vec<Holdings>,
    pub(super) term: u64,
    /// As the reader: texts of the salts that were read.
    pub(super) salts: HashMap<u64, Name>,
    pub(super) next_free: Time,
    /// As the reader: the oldest weights that any server of a model holds, and since when.
    pub(super) oldest: HashMap<Name, (u64, Time)>,
}

/// A place that a part can be fetched from.
#[derive(Clone, Debug)]
pub(super) struct Source {
    addr: SocketAddr,
    zone: Name,
    rate: u64,
    latency_ms: f64,
    /// Part of what it is believed to hold that it has dropped by the time of a fetch.
    dropped: f64,
}

/// A prompt's shared parts, each with the places that hold it.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    salt: u64,
    parts: Vec<(Segment, Vec<Source>)>,
}

/// Where the parts of a prompt come from and go to, for one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Transfer {
    /// Source of each part.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Tokens that the server holds.
    pub held: u64,
    /// Tokens that are fetched and not read.
    pub tokens: u64,
    /// Estimated time of the fetch, milliseconds.
    pub millis: f64,
    /// Where most of it comes from, and the time of that transfer alone, milliseconds.
    pub from: Option<(SocketAddr, f64)>,
}

impl Sources {
    /// Number of what the parts are shared under.
    pub fn salt(&self) -> u64 {
        self.salt
    }
}

impl Stores {
    /// What there is to tell the entries.
    pub fn take_news(&mut self) -> Option<wire::Inventory> {
        let shelves = std::mem::take(&mut self.news);
        (!shelves.is_empty()).then_some(wire::Inventory { term: self.term, holdings: shelves })
    }

    /// Everything that is known, for an entry that has come.
    pub fn whole(&self) -> wire::Inventory {
        let stored = |(place, tokens): (Location, u32)| StoredSegment {
            salt: place.salt,
            id: place.id,
            tokens,
        };
        let shelves = self.stock.all_holdings().map(|(store, epoch, parts)| Holdings {
            store,
            epoch: Some(epoch),
            complete: true,
            segments: parts.into_iter().map(stored).collect(),
        });
        wire::Inventory { term: self.term, holdings: shelves.collect() }
    }

    /// Takes what a reader told; false when a later one has told before.
    pub fn told(&mut self, told: &wire::Inventory) -> bool {
        if told.term < self.term {
            return false;
        }
        self.term = told.term;
        for shelf in &told.holdings {
            self.apply(shelf);
        }
        true
    }

    pub(super) fn apply(&mut self, shelf: &Holdings) {
        let Some(epoch) = shelf.epoch else {
            self.stock.remove_store(shelf.store);
            return;
        };
        let place = |part: &StoredSegment| Location { salt: part.salt, id: part.id };
        let here = shelf.segments.iter().filter(|part| part.tokens > 0);
        let added: Vec<(Location, u32)> = here.map(|part| (place(part), part.tokens)).collect();
        if shelf.complete {
            self.stock.replace(shelf.store, epoch, &added);
            return;
        }
        let gone = shelf.segments.iter().filter(|part| part.tokens == 0);
        let removed: Vec<Location> = gone.map(place).collect();
        self.stock.update(shelf.store, epoch, &added, &removed);
    }

    /// Tokens at each place.
    pub fn tokens(&self) -> Vec<(String, u64)> {
        let tokens = |place| (format!("{place}"), self.stock.tokens(place));
        self.stock.stores().map(tokens).collect()
    }

    /// Whether what lies at a server is told by its events.
    pub fn knows(&self, server: SocketAddr) -> bool {
        self.stock.contains_store(server)
    }

    /// Whether it is known what lies at one of the stores, if there are any.
    pub fn knows_a_store(&self, cx: &Context<'_>) -> bool {
        let mut stores = stores(cx).peekable();
        stores.peek().is_none() || stores.any(|store| self.stock.contains_store(store.addr))
    }

    /// The places that hold the shared parts of a prompt.
    pub fn sources(
        &self,
        cx: &Context<'_>,
        servers: &Servers,
        engine: &Engine,
        salt: u64,
        prompt: &[Segment],
    ) -> Sources {
        let shared = prompt.len().saturating_sub(1);
        let source = |addr: SocketAddr| {
            if let Some(store) = store_at(cx, addr) {
                let latency_ms = store.latency.as_secs_f64() * 1_000.0;
                let zone = store.zone.clone();
                return Some(Source {
                    addr,
                    zone,
                    rate: store.link_bits_per_s,
                    latency_ms,
                    dropped: 0.0,
                });
            }
            let server = servers.by_addr(addr).filter(|server| server.usable(cx.now))?;
            let zone = server.listed.zone.clone();
            let (rate, latency_ms) = (engine.link_bits_per_s, SETUP_MS);
            Some(Source { addr, zone, rate, latency_ms, dropped: DROPPED })
        };
        let parts = prompt.iter().take(shared).map(|part| {
            let holders = self.stock.holders(Location { salt, id: part.id }, part.tokens);
            (*part, holders.filter_map(source).collect())
        });
        Sources { salt, parts: parts.collect() }
    }

    /// What a server at an address would hold, fetch and lack; `own` parts at the start are believed
    /// to be there, since this entry has just sent them.
    pub fn transfer(
        &self,
        now: Time,
        sources: &Sources,
        engine: &Engine,
        (addr, zone): (SocketAddr, &Name),
        own: usize,
        read_per_ms: f64,
    ) -> Transfer {
        let mut transfer = Transfer::default();
        let mut holds = true;
        let mut unbroken = true;
        let mut most = 0;
        for (index, (part, places)) in sources.parts.iter().enumerate() {
            holds &= index < own || places.iter().any(|source| source.addr == addr);
            let best = places
                .iter()
                .filter(|source| source.addr != addr)
                .map(|source| {
                    let millis = self.millis(now, source, engine, zone, part.tokens);
                    // What a server has dropped meanwhile is read; a store keeps what it holds.
                    let missed = f64::from(part.tokens) / read_per_ms * source.dropped;
                    (source.addr, millis + missed)
                })
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let read_ms = f64::from(part.tokens) / read_per_ms;
            let best = best.filter(|(_, millis)| *millis <= read_ms * READ_COSTS);
            transfer.fetch.push(best.map(|(source, _)| source));
            let tokens = u64::from(part.tokens);
            match best {
                _ if holds => transfer.held += tokens,
                Some((source, millis)) if unbroken => {
                    transfer.tokens += tokens;
                    transfer.millis += millis;
                    if tokens > most {
                        most = tokens;
                        let wait = self.wait(now, source);
                        transfer.from = Some((source, millis - wait));
                    }
                }
                _ => unbroken = false,
            }
        }
        transfer
    }

    /// Estimated time of a fetch, milliseconds.
    fn millis(&self, now: Time, source: &Source, engine: &Engine, zone: &Name, tokens: u32) -> f64 {
        let rate = source.rate.min(engine.link_bits_per_s).max(1) as f64;
        let bits = f64::from(tokens) * engine.token_bytes as f64 * BITS;
        let far = if source.zone == *zone { 1.0 } else { OTHER_ZONE };
        source.latency_ms + self.wait(now, source.addr) + bits / rate * 1_000.0 * far
    }

    fn wait(&self, now: Time, source: SocketAddr) -> f64 {
        self.queues.get(&source).map_or(0.0, |queue| queue.millis(now))
    }

    /// A transfer was asked of a source.
    pub fn asked(&mut self, source: SocketAddr, millis: f64) {
        self.queues.entry(source).or_default().own_ms += millis;
    }

    /// The first token after a transfer has come, or never will.
    pub fn sent(&mut self, source: SocketAddr, millis: f64) {
        if let Some(queue) = self.queues.get_mut(&source) {
            queue.own_ms = (queue.own_ms - millis).max(0.0);
        }
    }

    /// What this entry has asked of a source, milliseconds.
    pub fn sending(&self, source: SocketAddr) -> u32 {
        self.queues.get(&source).map_or(0, |queue| queue.own_ms as u32)
    }

    /// The sources that this entry has asked.
    pub fn senders(&self) -> impl Iterator<Item = SocketAddr> {
        self.queues.iter().filter(|(_, queue)| queue.own_ms >= 1.0).map(|(addr, _)| *addr)
    }

    /// Other entries have asked this much of a source.
    pub fn others(&mut self, now: Time, source: SocketAddr, millis: u32) {
        if millis > 0 || self.queues.contains_key(&source) {
            let queue = self.queues.entry(source).or_default();
            queue.others_ms = millis;
            queue.at = now;
        }
    }

    /// Chooses stores for the shared parts of a prompt that lie on none.
    pub fn save(&mut self, cx: &Context<'_>, sources: &Sources) -> Vec<Option<SocketAddr>> {
        let now = cx.now;
        self.saving.retain(|_, at| now.since(*at) < SAVING);
        let mut save = vec![None; sources.parts.len()];
        for (index, (part, places)) in sources.parts.iter().enumerate() {
            let place = Location { salt: sources.salt, id: part.id };
            let stored = places.iter().any(|source| store_at(cx, source.addr).is_some());
            if stored || self.saving.contains_key(&place) {
                continue;
            }
            let Some(addr) = self.shelf_for(cx, part) else { continue };
            save[index] = Some(addr);
            self.saving.insert(place, now);
        }
        save
    }

    /// The store where a part belongs: short parts where the wait is short, long ones where there
    /// is room.
    fn shelf_for(&self, cx: &Context<'_>, part: &Segment) -> Option<SocketAddr> {
        let stores: Vec<&Store> = stores(cx).collect();
        let room = |store: &&&Store| {
            let most = (store.tokens as f64 * FILLED) as u64;
            let filled = self.stock.tokens(store.addr) + u64::from(part.tokens);
            self.stock.contains_store(store.addr) && filled <= most
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

/// The stores of the configuration.
pub(super) fn stores<'a>(cx: &Context<'a>) -> impl Iterator<Item = &'a Store> {
    cx.view.services().filter_map(|(_, service)| service.store.as_ref())
}

fn store_at<'a>(cx: &Context<'a>, addr: SocketAddr) -> Option<&'a Store> {
    stores(cx).find(|store| store.addr == addr)
}

impl Forward {
    /// What this process, as the reader of the stores, has to tell the entries.
    pub fn take_inventory_delta(&mut self) -> Option<wire::Inventory> {
        self.stores.take_news()
    }

    /// All that lies on the stores, for an entry that has come.
    pub fn inventory(&self) -> wire::Inventory {
        self.stores.whole()
    }

    /// A reader of the stores told what lies there; false when a later one has told before.
    pub fn inventory_advertised(&mut self, told: &wire::Inventory) -> bool {
        self.stores.told(told)
    }
}
