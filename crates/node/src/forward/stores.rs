//! Chooses where prompt segments are fetched from and saved to.
//!
//! The histories of all conversations take several times the memory of the servers. A history is
//! therefore saved after its first prefill, and fetched when the conversation continues, from a store or
//! from a server that still holds it. A segment is fetched from a store only after the store has reported
//! that it is complete.
//!
//! Transfers from one source wait for each other. All entries exchange their transfers in progress, so a
//! slow or busy link is not used while prefill is faster.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use base::prelude::*;
use cache::{Inventory, Location, Segment, salt_number};
use fleet::Servers;
use record::{Engine, Restriction, Store};
use wire::{Holdings, StoredSegment};

use super::fence::{Fence, Lease, MAX_LEASE_TIME};
use super::reader::{ReadState, TargetsVersion};
use super::saves::{Save, Saves};
use super::{Context, Forward};

/// Interval between advertisements of changes: a read of one of many targets ends every few milliseconds, and each
/// advertisement goes to all entries.
const DELTA_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum fill level of a store, as a part of its capacity.
const MAX_FILL: f64 = 0.97;
/// Segments up to this length are saved to the stores with the lowest latency, tokens: for them latency
/// matters more than the space they take.
const SHORT_TOKENS: u32 = 1_024;
/// Bits in a byte.
const BITS: f64 = 8.0;
/// Factor by which a transfer between availability zones takes longer.
const OTHER_ZONE_FACTOR: f64 = 2.0;
/// Latency of a transfer between two servers, milliseconds.
const SERVER_LATENCY_MS: f64 = 4.0;
/// Fraction of its reported segments that a busy server has evicted by the time of a fetch: its events are
/// delayed, and runs take the memory.
const SERVER_EVICTED: f64 = 0.3;
/// A segment is prefilled rather than fetched if the fetch takes longer than the prefill by this factor:
/// prefill also delays the other requests of the server.
const PREFILL_WEIGHT: f64 = 4.0;
/// Age at which the transfers that other entries reported no longer count.
const OTHERS_EXPIRY: Duration = Duration::from_secs(1);

/// Transfers from one source that are in progress: their requests have no first token yet.
#[derive(Clone, Copy, Debug, Default)]
struct TransferQueue {
    own_ms: f64,
    others_ms: u32,
    /// When `others_ms` was received.
    others_received: Time,
}

impl TransferQueue {
    fn millis(&self, now: Time) -> f64 {
        let others =
            if now.since(self.others_received) < OTHERS_EXPIRY { self.others_ms } else { 0 };
        self.own_ms + f64::from(others)
    }
}

/// Inventories of the stores and servers that hold prompt segments, and the transfers from them.
#[derive(Debug, Default)]
pub(super) struct Stores {
    pub(super) inventory: Inventory,
    pub(super) reads: HashMap<SocketAddr, ReadState>,
    pub(super) targets_version: TargetsVersion,
    /// The stores and servers to read, in this order.
    pub(super) targets: Vec<SocketAddr>,
    /// What stores offered before they were withdrawn.
    former: Vec<Former>,
    /// As the leader: segments that a store holds, but of which a save can still begin; with the store's incarnation.
    pub(super) withheld: HashMap<Save, (u64, StoredSegment)>,
    queues: HashMap<SocketAddr, TransferQueue>,
    pub(super) updates: Vec<Holdings>,
    /// When the next changes are due to be advertised.
    next_delta: Time,
    pub(super) term: u64,
    /// As the leader: texts of the salts that were read.
    pub(super) salts: HashMap<u64, Name>,
    pub(super) next_free: Time,
    pub(super) fence: Fence,
    /// As the leader: leases to advertise to the entries.
    pub(super) leases: Vec<wire::FetchLease>,
    /// Last known incarnation of each store and server, also of those that are unreachable.
    pub(super) epochs: HashMap<SocketAddr, u64>,
}

/// What a store offered before it was withdrawn.
#[derive(Debug)]
struct Former {
    store: SocketAddr,
    /// Its incarnation then.
    epoch: u64,
    segments: HashSet<Location>,
    /// When it was withdrawn; none until the next tick.
    withdrawn_at: Option<Time>,
}

impl Former {
    fn has(&self, save: Save) -> bool {
        self.store == save.store && self.segments.contains(&save.location)
    }
}

/// A store or server that a segment can be fetched from.
#[derive(Clone, Debug)]
pub(super) struct Source {
    addr: SocketAddr,
    zone: Name,
    rate: u64,
    latency_ms: f64,
    /// Expected fraction of its reported segments that it has evicted by the time of a fetch.
    evicted: f64,
    /// For a store: when fetches from it must have ended.
    ends: Option<Time>,
}

/// The shared segments of a prompt, each with its sources.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    salt: u64,
    /// The lease for fetches from stores and for saves.
    lease: Option<Lease>,
    /// The zones that the segments may be moved to and from.
    pub restriction: Restriction,
    segments: Vec<(Segment, Vec<Source>)>,
}

/// The transfers of a prompt for one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Transfer {
    /// Source of each segment.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Tokens that the server holds.
    pub held_tokens: u64,
    /// Tokens that are fetched instead of prefilled.
    pub fetched_tokens: u64,
    /// Estimated time of the fetch, milliseconds.
    pub fetch_ms: f64,
    /// Source of the largest segment that is fetched, and the time of that transfer alone, milliseconds.
    pub main_source: Option<(SocketAddr, f64)>,
}

impl Sources {
    /// Hash of the salt that the segments are shared under.
    pub fn salt(&self) -> u64 {
        self.salt
    }

    /// When an unfinished fetch is discarded, if any of its sources is a store.
    pub fn fetch_until_ms(&self, fetch: &[Option<SocketAddr>]) -> Option<u64> {
        let lease = self.lease?;
        let mut pairs = self.segments.iter().zip(fetch);
        let from_store = pairs.any(|((_, sources), from)| {
            let is_store = |source: &Source| Some(source.addr) == *from && source.ends.is_some();
            sources.iter().any(is_store)
        });
        from_store.then_some(lease.until_ms)
    }
}

impl Stores {
    /// The changes to advertise to the entries, if due. Withdrawals are due at once.
    pub fn take_delta(&mut self, now: Time) -> Option<wire::Inventory> {
        let is_due = now >= self.next_delta || self.updates.iter().any(Holdings::is_withdrawn);
        if self.updates.is_empty() || !is_due {
            return None;
        }
        self.next_delta = now + DELTA_INTERVAL;
        let holdings = std::mem::take(&mut self.updates);
        Some(wire::Inventory { term: self.term, holdings })
    }

    /// The complete inventory, for an entry that has connected.
    pub fn full_inventory(&self) -> wire::Inventory {
        let stored = |(location, tokens): (Location, u32)| StoredSegment {
            salt: location.salt,
            id: location.id,
            tokens,
        };
        // A store that this leader has not read may have restarted.
        let is_offered = |store: SocketAddr| {
            self.inventory.contains_store(store)
                && !self.reads.get(&store).is_some_and(ReadState::is_unread_store)
        };
        let offered = self.inventory.all_holdings().filter(|(store, ..)| is_offered(*store));
        let holdings = offered.map(|(store, epoch, segments)| Holdings {
            store,
            epoch: Some(epoch),
            complete: true,
            segments: segments.into_iter().map(stored).collect(),
        });
        // The entry may still have inventories that were withdrawn meanwhile.
        let withdrawn = self.targets.iter().filter(|addr| !is_offered(**addr));
        let withdrawn = withdrawn.map(|addr| Holdings::withdrawn(*addr));
        wire::Inventory { term: self.term, holdings: holdings.chain(withdrawn).collect() }
    }

    /// Applies an inventory that a leader advertised; false if it is of an earlier term than the last one.
    pub fn apply_inventory(&mut self, inventory: &wire::Inventory) -> bool {
        if inventory.term < self.term {
            return false;
        }
        self.term = inventory.term;
        for holdings in &inventory.holdings {
            self.apply(holdings);
        }
        true
    }

    pub(super) fn apply(&mut self, holdings: &Holdings) {
        let known = self.inventory.holdings(holdings.store);
        if let Some((epoch, former)) = known.filter(|(epoch, _)| holdings.epoch != Some(*epoch)) {
            let (store, segments) = (holdings.store, former.collect());
            self.former.push(Former { store, epoch, segments, withdrawn_at: None });
        }
        let Some(epoch) = holdings.epoch else {
            self.inventory.remove_store(holdings.store);
            return;
        };
        // A change that is overtaken by a withdrawal doesn't bring the store back: only a complete inventory does.
        let known = self.inventory.holdings(holdings.store).map(|(known, _)| known);
        if !holdings.complete && known != Some(epoch) {
            return;
        }
        self.epochs.insert(holdings.store, epoch);
        let location = |segment: &StoredSegment| Location { salt: segment.salt, id: segment.id };
        let present = holdings.segments.iter().filter(|segment| segment.tokens > 0);
        let added: Vec<(Location, u32)> =
            present.map(|segment| (location(segment), segment.tokens)).collect();
        if holdings.complete {
            self.inventory.replace(holdings.store, epoch, &added);
            return;
        }
        let absent = holdings.segments.iter().filter(|segment| segment.tokens == 0);
        let removed: Vec<Location> = absent.map(location).collect();
        self.inventory.update(holdings.store, epoch, &added, &removed);
    }

    /// Tokens held by each store and server.
    pub fn tokens(&self) -> Vec<(String, u64)> {
        let tokens = |addr| (format!("{addr}"), self.inventory.tokens(addr));
        self.inventory.stores().map(tokens).collect()
    }

    /// Number of segments that are withheld, and of those of earlier incarnations that may still be fetched.
    pub fn withheld_counts(&self) -> (usize, usize) {
        (self.withheld.len(), self.former.iter().map(|former| former.segments.len()).sum())
    }

    /// Whether the inventory of a store or server is available.
    pub fn has_holdings_of(&self, server: SocketAddr) -> bool {
        self.inventory.contains_store(server)
    }

    /// Whether segments can be fetched from any store; true if there are no stores.
    pub fn has_store_holdings(&self, cx: &Context<'_>, sources: &Sources) -> bool {
        let allowed = |store: &&Store| sources.restriction.allows(&store.zone);
        let mut stores = stores(cx).filter(allowed).peekable();
        stores.peek().is_none()
            || sources.lease.is_some()
                && stores.any(|store| self.inventory.contains_store(store.addr))
    }

    /// The sources of the shared segments of a prompt.
    pub fn sources(
        &self,
        cx: &Context<'_>,
        servers: &Servers,
        engine: &Engine,
        (salt, lease, restriction): (u64, Option<Lease>, Restriction),
        prompt: &[Segment],
    ) -> Sources {
        let shared = prompt.len().saturating_sub(1);
        let source = |addr: SocketAddr| {
            if let Some(store) = store_at(cx, addr) {
                if !restriction.allows(&store.zone) {
                    return None;
                }
                let ends = Some(lease?.ends);
                let latency_ms = store.latency.as_secs_f64() * 1_000.0;
                let zone = store.zone.clone();
                return Some(Source {
                    addr,
                    zone,
                    rate: store.link_bits_per_s,
                    latency_ms,
                    evicted: 0.0,
                    ends,
                });
            }
            let server = servers.by_addr(addr).filter(|server| server.is_usable(cx.now))?;
            let zone = server.listed.zone.clone();
            if cx.view.is_evacuated(&zone) || !restriction.allows(&zone) {
                return None;
            }
            let (rate, latency_ms) = (engine.link_bits_per_s, SERVER_LATENCY_MS);
            Some(Source { addr, zone, rate, latency_ms, evicted: SERVER_EVICTED, ends: None })
        };
        let segments = prompt.iter().take(shared).map(|segment| {
            let holders = self.inventory.holders(Location { salt, id: segment.id }, segment.tokens);
            (*segment, holders.filter_map(source).collect())
        });
        let segments = segments.collect();
        Sources { salt, lease, restriction, segments }
    }

    /// The tokens that the server at an address would hold and fetch. The first
    /// `recent_prefix` segments are assumed to be there, since this entry has sent them there recently.
    pub fn transfer(
        &self,
        now: Time,
        sources: &Sources,
        engine: &Engine,
        (addr, zone): (SocketAddr, &Name),
        recent_prefix: usize,
        tokens_per_ms: f64,
    ) -> Transfer {
        let mut transfer = Transfer::default();
        let mut holds = true;
        let mut contiguous = true;
        let mut largest = 0;
        for (index, (segment, sources)) in sources.segments.iter().enumerate() {
            holds &= index < recent_prefix || sources.iter().any(|source| source.addr == addr);
            let best = sources
                .iter()
                .filter(|source| source.addr != addr)
                .map(|source| (source, self.fetch_ms(now, source, engine, zone, segment.tokens)))
                .filter(|(source, millis)| {
                    let time = Duration::from_secs_f64((transfer.fetch_ms + millis) / 1_000.0);
                    source.ends.is_none_or(|ends| now + time < ends)
                })
                .map(|(source, millis)| {
                    // Segments that a server has evicted are prefilled; a store evicts none.
                    let refill_ms = f64::from(segment.tokens) / tokens_per_ms * source.evicted;
                    (source.addr, millis + refill_ms)
                })
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let prefill_ms = f64::from(segment.tokens) / tokens_per_ms;
            let best = best.filter(|(_, millis)| *millis <= prefill_ms * PREFILL_WEIGHT);
            transfer.fetch.push(best.map(|(source, _)| source));
            let tokens = u64::from(segment.tokens);
            match best {
                _ if holds => transfer.held_tokens += tokens,
                Some((source, millis)) if contiguous => {
                    transfer.fetched_tokens += tokens;
                    transfer.fetch_ms += millis;
                    if tokens > largest {
                        largest = tokens;
                        let wait = self.wait_ms(now, source);
                        transfer.main_source = Some((source, millis - wait));
                    }
                }
                _ => contiguous = false,
            }
        }
        transfer
    }

    /// Estimated time of a fetch, milliseconds.
    fn fetch_ms(
        &self,
        now: Time,
        source: &Source,
        engine: &Engine,
        zone: &Name,
        tokens: u32,
    ) -> f64 {
        let rate = source.rate.min(engine.link_bits_per_s).max(1) as f64;
        let bits = f64::from(tokens) * engine.token_bytes as f64 * BITS;
        let zone_factor = if source.zone == *zone { 1.0 } else { OTHER_ZONE_FACTOR };
        source.latency_ms + self.wait_ms(now, source.addr) + bits / rate * 1_000.0 * zone_factor
    }

    fn wait_ms(&self, now: Time, source: SocketAddr) -> f64 {
        self.queues.get(&source).map_or(0.0, |queue| queue.millis(now))
    }

    /// Records the start of a transfer from a source.
    pub fn transfer_started(&mut self, source: SocketAddr, millis: f64) {
        self.queues.entry(source).or_default().own_ms += millis;
    }

    /// Records that the request of a transfer has its first token or has ended.
    pub fn transfer_ended(&mut self, source: SocketAddr, millis: f64) {
        if let Some(queue) = self.queues.get_mut(&source) {
            queue.own_ms = (queue.own_ms - millis).max(0.0);
        }
    }

    /// Time of the transfers of this entry in progress from a source, milliseconds.
    pub fn transfer_ms(&self, source: SocketAddr) -> u32 {
        self.queues.get(&source).map_or(0, |queue| queue.own_ms as u32)
    }

    /// The sources of transfers of this entry in progress.
    pub fn transfer_sources(&self) -> impl Iterator<Item = SocketAddr> {
        self.queues.iter().filter(|(_, queue)| queue.own_ms >= 1.0).map(|(addr, _)| *addr)
    }

    /// Sets the time of the transfers of other entries from a source, milliseconds.
    pub fn set_others_ms(&mut self, now: Time, source: SocketAddr, millis: u32) {
        if millis > 0 || self.queues.contains_key(&source) {
            let queue = self.queues.entry(source).or_default();
            queue.others_ms = millis;
            queue.others_received = now;
        }
    }

    /// The saves of a prompt's shared segments that are not stored on any store.
    pub fn unsaved(&self, cx: &Context<'_>, sources: &Sources) -> Vec<Save> {
        if sources.lease.is_none() {
            return Vec::new();
        }
        let unsaved = sources.segments.iter().filter(|(_, holders)| {
            !holders.iter().any(|source| store_at(cx, source.addr).is_some())
        });
        let save = |(segment, _): &(Segment, Vec<Source>)| {
            let location = Location { salt: sources.salt, id: segment.id };
            let store = self.store_for(cx, segment, location, &sources.restriction)?;
            Some(Save { store, location })
        };
        unsaved.filter_map(save).collect()
    }

    /// The store to save each shared segment of a prompt to, if that is permitted.
    pub fn save(&self, sources: &Sources, permitted: &[Save]) -> Vec<Option<SocketAddr>> {
        let store = |(segment, _): &(Segment, Vec<Source>)| {
            let location = Location { salt: sources.salt, id: segment.id };
            let save = permitted.iter().find(|save| save.location == location)?;
            let is_offered = sources.lease.is_some() && self.inventory.contains_store(save.store);
            is_offered.then_some(save.store)
        };
        sources.segments.iter().map(store).collect()
    }

    /// Whether a store holds a segment, offered or not, or entries may still fetch it there by an earlier inventory.
    pub fn is_in_use(&self, save: Save) -> bool {
        let is_store = |addr| self.reads.get(&addr).is_some_and(ReadState::is_store);
        self.was_offered(save)
            || self.withheld.contains_key(&save)
            || self.inventory.holders(save.location, 1).any(is_store)
    }

    /// Forgets segments that no entry can fetch any more by an earlier inventory, since its leases have ended.
    pub fn expire_former(&mut self, cx: &Context<'_>) {
        self.former.retain_mut(|former| {
            let withdrawn_at = *former.withdrawn_at.get_or_insert(cx.now);
            cx.now.since(withdrawn_at) < MAX_LEASE_TIME && store_at(cx, former.store).is_some()
        });
    }

    /// Whether entries may still fetch a segment by an inventory from before its store was withdrawn.
    fn was_offered(&self, save: Save) -> bool {
        self.former.iter().any(|former| former.has(save))
    }

    /// As the leader: splits off the segments that a store has reported, in a read that began at this time, if a save of them
    /// could begin since then. Without a time, the response may be older than any save that could begin.
    pub(super) fn withhold(
        &mut self,
        (store, epoch, began): (SocketAddr, u64, Option<Time>),
        full: bool,
        segments: &mut Vec<StoredSegment>,
        saves: &mut Saves,
    ) {
        if full {
            self.withheld.retain(|save, _| save.store != store);
        }
        segments.retain(|segment| {
            let location = Location { salt: segment.salt, id: segment.id };
            let save = Save { store, location };
            self.withheld.remove(&save);
            let offerable = segment.tokens == 0
                || self.has_offered(save, epoch)
                || saves.take_sole(save)
                || saves.settled_at(save).zip(began).is_some_and(|(at, began)| at <= began);
            if !offerable {
                self.withheld.insert(save, (epoch, *segment));
            }
            offerable
        });
    }

    /// Whether a segment was offered in this incarnation of its store, by this leader or the one before.
    fn has_offered(&self, save: Save, epoch: u64) -> bool {
        self.former.iter().any(|former| former.epoch == epoch && former.has(save))
            || self.inventory.holdings(save.store).is_some_and(|(known, _)| known == epoch)
                && self.inventory.holders(save.location, 1).any(|holder| holder == save.store)
    }

    /// As the leader: offers the withheld segments of a store, which had this incarnation after the time at which a read of
    /// it began, if no save of them could begin since then.
    pub(super) fn offer_settled(
        &mut self,
        cx: &Context<'_>,
        (store, epoch): (SocketAddr, u64),
        began: Time,
        saves: &Saves,
    ) {
        if cx.term != Some(self.targets_version.term) {
            // The segments were read in an earlier term.
            return;
        }
        let is_offered = |save: &Save, (found, _): &mut (u64, StoredSegment)| {
            save.store == store
                && *found == epoch
                && saves.settled_at(*save).is_some_and(|at| at <= began)
        };
        let offered = self.withheld.extract_if(is_offered);
        let segments: Vec<StoredSegment> = offered.map(|(_, (_, segment))| segment).collect();
        if !segments.is_empty() {
            self.publish(Holdings { store, epoch: Some(epoch), complete: false, segments });
        }
    }

    /// The store to save a segment to: short segments prefer the lowest latency, long ones the highest,
    /// where there is more space.
    /// Not where entries may still fetch it by an earlier inventory.
    fn store_for(
        &self,
        cx: &Context<'_>,
        segment: &Segment,
        location: Location,
        restriction: &Restriction,
    ) -> Option<SocketAddr> {
        let stores: Vec<&Store> =
            stores(cx).filter(|store| restriction.allows(&store.zone)).collect();
        let has_space = |store: &&&Store| {
            let max = (store.tokens as f64 * MAX_FILL) as u64;
            let filled = self.inventory.tokens(store.addr) + u64::from(segment.tokens);
            self.inventory.contains_store(store.addr)
                && filled <= max
                && !self.was_offered(Save { store: store.addr, location })
        };
        let fast = stores.iter().map(|store| store.latency).min()?;
        let slow = stores.iter().map(|store| store.latency).max()?;
        let preferred = if segment.tokens <= SHORT_TOKENS { [fast, slow] } else { [slow, fast] };
        preferred.iter().find_map(|latency| {
            let candidates =
                stores.iter().filter(|store| store.latency == *latency).filter(has_space);
            candidates
                .max_by_key(|store| salt_number(&format!("{}/{}", segment.id, store.addr)))
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
    /// The inventory changes to advertise to the entries, if this process is the leader and they are due.
    pub fn take_inventory_delta(&mut self, now: Time) -> Option<wire::Inventory> {
        self.stores.take_delta(now)
    }

    /// As the leader: leases for fetches from stores to advertise to the entries.
    pub fn take_fetch_leases(&mut self) -> Vec<wire::FetchLease> {
        std::mem::take(&mut self.stores.leases)
    }

    /// Applies leases for fetches from stores that the leader advertised.
    pub fn fetch_leases_advertised(&mut self, now: Time, leases: &[wire::FetchLease]) {
        self.stores.fence.apply(now, leases);
    }

    /// The complete inventory, for an entry that has connected.
    pub fn inventory(&self) -> wire::Inventory {
        self.stores.full_inventory()
    }

    /// Applies an inventory that a leader advertised; false if it is of an earlier term than the last one.
    pub fn inventory_advertised(&mut self, inventory: &wire::Inventory) -> bool {
        self.stores.apply_inventory(inventory)
    }
}
