//! Reads what the stores and servers hold, for all entries, and frees what nobody can use.
//!
//! Only the leader among the keepers reads their events, since they take few readers. What a place has
//! told is kept while its lease lapses: nobody else can have led before it leads again in that term.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use cache::salt_number;
use fleet::{Servers, StoreDelta};
use wire::{Holdings, StoredSegment};

use super::limits::Limits;
use super::stores::{Stores, stores};
use super::{Context, ControlCall};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Pause between two reads of events at one place, so that one read brings several.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(500);
/// Most places that are read whole at once: a new leader reads all of them, and the heartbeats that its
/// lease lives on share its link and its processor with what they tell.
const MOST_WHOLE: usize = 4;
/// Silence after which what a place holds is forgotten: longer than one read may take.
const SILENT: Duration = Duration::from_millis(1_500);
/// Time between two reads of all that a store holds: single events may be lost.
const LIST_EVERY: Duration = Duration::from_secs(8);
/// Time between two looks for what can be freed.
const FREE_EVERY: Duration = Duration::from_secs(1);
/// How long no server must have held old weights before what they made is freed.
const SETTLED: Duration = Duration::from_secs(2);
/// Most parts that one call frees.
const MOST_FREED: usize = 1_000;

/// What the places to read follow from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Places {
    /// Term in which their reading was begun.
    term: u64,
    revision: Revision,
    lists: u64,
}

/// Reading of one place.
#[derive(Debug, Default)]
pub(super) struct Reading {
    since: Option<u64>,
    epoch: u64,
    pending: bool,
    next: Time,
    next_list: Time,
    store: bool,
    /// When the last read began.
    begun: Time,
    /// Since when no read has succeeded.
    silent: Option<Time>,
}

impl Reading {
    /// Whether the next read brings all that the place holds, rather than what has changed.
    fn is_whole(&self) -> bool {
        is_whole(self.store, self.since)
    }
}

/// A store can list what it holds; a server tells its events from the first.
fn is_whole(store: bool, since: Option<u64>) -> bool {
    since.is_none() || (!store && since == Some(0))
}

impl Stores {
    /// Reads what is due, if this process leads.
    pub fn read(
        &mut self,
        cx: &Context<'_>,
        servers: &Servers,
        limits: &mut Limits,
        out: &mut Effects,
    ) {
        let Some(term) = cx.term else {
            return;
        };
        self.term = self.term.max(term);
        let places = Places { term, revision: cx.view.revision, lists: servers.generation() };
        if self.places != places {
            self.find_places(cx, servers, places);
        }
        let whole = self.readings.values().filter(|reading| reading.pending && reading.is_whole());
        let mut room = MOST_WHOLE.saturating_sub(whole.count());
        for addr in &self.order {
            let Some(reading) = self.readings.get_mut(addr) else { continue };
            if reading.pending || cx.now < reading.next {
                continue;
            }
            if let Some((key, server)) = servers.find_by_addr(*addr)
                && !limits.may_read(cx.now, reading.begun, key, server)
            {
                continue;
            }
            if reading.store && cx.now >= reading.next_list {
                reading.since = None;
            } else if !reading.store {
                // The list of a server would stall its runs.
                reading.since.get_or_insert(0);
            }
            if reading.is_whole() {
                if room == 0 {
                    continue;
                }
                room -= 1;
                reading.next_list = cx.now + LIST_EVERY;
            }
            reading.pending = true;
            reading.begun = cx.now;
            let (addr, since) = (*addr, reading.since);
            out.push(Effect::Call(ControlCall::ReadStore { addr, since }));
        }
    }

    /// Finds the places to read: the stores of the configuration and the engines on the list.
    fn find_places(&mut self, cx: &Context<'_>, servers: &Servers, places: Places) {
        if self.places.term != places.term {
            self.readings.clear();
        }
        self.places = places;
        let stores: BTreeSet<SocketAddr> = stores(cx).map(|store| store.addr).collect();
        let engines = servers.iter().filter(|(_, server)| !server.listed.models.is_empty());
        let engines: BTreeSet<SocketAddr> = engines
            .map(|(_, server)| server.listed.addr)
            .filter(|at| !stores.contains(at))
            .collect();
        let is_place = |addr: &SocketAddr| stores.contains(addr) || engines.contains(addr);
        self.readings.retain(|addr, _| is_place(addr));
        let gone: Vec<SocketAddr> = self.stock.stores().filter(|addr| !is_place(addr)).collect();
        for addr in gone {
            self.tell(Holdings { store: addr, epoch: None, complete: true, segments: Vec::new() });
        }
        // Histories lie on the stores, so these are read before the servers.
        self.order = stores.iter().chain(&engines).copied().collect();
        for addr in &self.order {
            self.readings.entry(*addr).or_default().store = stores.contains(addr);
        }
    }

    /// A read has ended.
    pub fn was_read(
        &mut self,
        cx: &Context<'_>,
        addr: SocketAddr,
        since: Option<u64>,
        news: Result<StoreDelta, String>,
        out: &mut Effects,
    ) {
        let Some(reading) = self.readings.get_mut(&addr) else {
            return;
        };
        reading.pending = false;
        if self.places.term != self.term {
            // Another process has led since, and has told more.
            return;
        }
        let Ok(news) = news else {
            reading.next = cx.now + AGAIN;
            let silent = *reading.silent.get_or_insert(cx.now);
            if cx.now.since(silent) >= SILENT && self.stock.contains_store(addr) {
                reading.since = None;
                self.tell(Holdings {
                    store: addr,
                    epoch: None,
                    complete: true,
                    segments: Vec::new(),
                });
            }
            return;
        };
        reading.silent = None;
        let whole = is_whole(reading.store, since);
        let broken = news.epoch != reading.epoch || news.gap;
        if broken && !whole {
            // What it holds now is not known: it is read from the start.
            reading.since = None;
            reading.next = cx.now;
            if news.epoch != reading.epoch {
                self.tell(Holdings {
                    store: addr,
                    epoch: None,
                    complete: true,
                    segments: Vec::new(),
                });
            }
            return;
        }
        reading.since = Some(news.next_event);
        reading.epoch = news.epoch;
        reading.next = cx.now + PAUSE;
        if news.segments.is_empty() && !whole {
            return;
        }
        let took = cx.now.since(reading.begun);
        // The last event of a part tells where it stands.
        let mut parts = BTreeMap::new();
        for part in &news.segments {
            let salt = salt_number(&part.salt);
            self.salts.entry(salt).or_insert_with(|| Name::new(&part.salt));
            parts.insert((salt, part.id), part.tokens);
        }
        let stored = |((salt, id), tokens)| StoredSegment { salt, id, tokens };
        let parts: Vec<StoredSegment> = parts.into_iter().map(stored).collect();
        if whole {
            let parts = parts.iter().filter(|part| part.tokens > 0).count();
            out.push(Effect::Decision(Box::new(Decision::InventoryRead {
                place: addr,
                parts,
                took,
            })));
        }
        self.tell(Holdings {
            store: addr,
            epoch: Some(news.epoch),
            complete: whole,
            segments: parts,
        });
    }

    /// As the reader: frees what was made with weights that no server holds any more, so that what
    /// is made with new ones finds room. Nothing fetches it: a server refuses a request that expects
    /// other weights, and has ended its runs before it changed them.
    pub fn free(&mut self, cx: &Context<'_>, servers: &Servers, out: &mut Effects) {
        if cx.term.is_none() || cx.now < self.next_free {
            return;
        }
        self.next_free = cx.now + FREE_EVERY;
        let mut oldest: HashMap<Name, u64> = HashMap::new();
        for (_, server) in servers.iter() {
            for (model, _) in &server.listed.models {
                let least = oldest.entry(model.clone()).or_insert(u64::MAX);
                *least = (*least).min(server.version);
            }
        }
        for (model, version) in oldest {
            let known = self.oldest.entry(model).or_insert((version, cx.now));
            if known.0 != version {
                *known = (version, cx.now);
            }
        }
        let made_old = |salt: u64| {
            let (model, version) = made_with(self.salts.get(&salt)?)?;
            let (oldest, since) = self.oldest.get(model)?;
            (version < *oldest && cx.now.since(*since) >= SETTLED).then_some(())
        };
        for store in stores(cx) {
            let addr = store.addr;
            let Some((epoch, places)) = self.stock.holdings(addr) else { continue };
            let old = places.filter(|place| made_old(place.salt).is_some());
            let segments: Vec<(Name, u64)> = old
                .filter_map(|place| Some((self.salts.get(&place.salt)?.clone(), place.id)))
                .take(MOST_FREED)
                .collect();
            if !segments.is_empty() {
                out.push(Effect::Call(ControlCall::FreeSegments { addr, epoch, segments }));
            }
        }
    }

    fn tell(&mut self, shelf: Holdings) {
        self.apply(&shelf);
        self.news.push(shelf);
    }
}

/// The model and weight version that parts under a salt were made with.
fn made_with(salt: &str) -> Option<(&str, u64)> {
    let (rest, version) = salt.rsplit_once('/')?;
    let (_, model) = rest.rsplit_once('/')?;
    Some((model, version.parse().ok()?))
}
