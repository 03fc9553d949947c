//! Reads the segment inventories of stores and servers for all entries, and frees stale segments.
//!
//! Only the leader among the keepers reads their events, since stores and servers accept few readers.
//! The state of the reads is kept while its lease lapses: when it leads again in the same term, no other
//! process can have led in between. In another term, a response to an earlier read is discarded.
//!
//! A store that restarted is offered again only after the last lease has expired that was issued before all entries
//! were told: an entry with the earlier inventory could otherwise fetch a segment that another one is saving again.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

use base::prelude::*;
use cache::salt_number;
use fleet::{Servers, StoreDelta};
use wire::{Holdings, StoredSegment};

use super::fence::{Floor, floors};
use super::limits::Limits;
use super::saves::Saves;
use super::stores::{Stores, stores};
use super::{Context, ControlCall};
use crate::decision::{Decision, Free};
use crate::{Effect, Effects};

/// Time between two reads of the events of one target, so that one read returns several events.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time until the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of concurrent reads of complete inventories: a new leader reads all of them, and the
/// responses share its link and CPU with the heartbeats that renew its lease.
const MAX_FULL_READS: usize = 4;
/// Maximum number of segments that events may add up to on one store or server; about as many fit into a complete
/// inventory.
const MAX_SEGMENTS: usize = 100_000;
/// Maximum number of salts whose texts are kept: some thousand tenants with some models each. Segments with other salts
/// are not freed.
const MAX_SALTS: usize = 50_000;
/// Duration of failing reads after which the inventory of a target is dropped: longer than one read may take.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two reads of the complete inventory of a store, since single events may be lost.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two searches for stale segments.
const FREE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of segments that one call frees.
const MAX_FREED: usize = 1_000;

/// The inputs that the read targets are derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TargetsVersion {
    /// Term in which the reads began.
    pub term: u64,
    revision: Revision,
    /// Generation of the list of servers.
    lists: u64,
}

/// A store that has restarted and is not offered yet.
#[derive(Clone, Copy, Debug)]
struct Closed {
    /// Its incarnation.
    epoch: u64,
    /// Time on the servers' clock from which it is offered, milliseconds; none if it isn't known yet.
    until_ms: Option<u64>,
}

/// State of the reads of one target.
#[derive(Debug, Default)]
pub(super) struct ReadState {
    /// Number of the next event to read; none to read the complete inventory.
    since: Option<u64>,
    /// Incarnation of the target.
    epoch: u64,
    pending: bool,
    next: Time,
    next_full: Time,
    /// Whether the target is a store; otherwise it is a server.
    store: bool,
    /// Whether the response to the pending read is to be discarded.
    outdated: bool,
    /// Whether the complete inventory has been read in this term.
    has_read: bool,
    /// Set while the store has restarted and is not offered yet.
    closed: Option<Closed>,
    /// When the last read began.
    began: Time,
    /// Whether the response to the last read is from after its start; otherwise it may be a copy of an earlier one.
    fresh: bool,
    /// When its incarnation may be read again.
    next_check: Time,
    /// When reads began to fail, if the last one failed.
    failing_since: Option<Time>,
}

impl ReadState {
    /// Whether the next read returns the complete inventory rather than changes.
    fn is_full(&self) -> bool {
        is_full(self.store, self.since)
    }

    /// Whether the target is a store.
    pub(super) fn is_store(&self) -> bool {
        self.store
    }

    /// Whether the target is a store whose inventory is known only from an earlier leader.
    pub(super) fn is_unread_store(&self) -> bool {
        self.store && !self.has_read
    }
}

/// Whether a read returns the complete inventory: a store lists it, a server returns its events from the
/// first one on.
fn is_full(store: bool, since: Option<u64>) -> bool {
    since.is_none() || (!store && since == Some(0))
}

impl Stores {
    /// Starts the reads that are due, if this process is the leader.
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
        self.fence.lead(cx.now, term);
        let version =
            TargetsVersion { term, revision: cx.view.revision, lists: servers.generation() };
        if self.targets_version != version {
            self.find_targets(cx, servers, version);
        }
        let full = self.reads.values().filter(|read| read.pending && read.is_full());
        let mut full_reads_left = MAX_FULL_READS.saturating_sub(full.count());
        for addr in &self.targets {
            let Some(read) = self.reads.get_mut(addr) else { continue };
            if read.pending || cx.now < read.next {
                continue;
            }
            if let Some((key, server)) = servers.find_by_addr(*addr)
                && !limits.may_read(cx.now, read.began, key, server)
            {
                continue;
            }
            if read.store && cx.now >= read.next_full {
                read.since = None;
            } else if !read.store {
                // Listing the complete inventory would stall the runs of a server.
                read.since.get_or_insert(0);
            }
            if read.is_full() {
                if full_reads_left == 0 {
                    continue;
                }
                full_reads_left -= 1;
                read.next_full = cx.now + FULL_READ_INTERVAL;
            }
            read.pending = true;
            read.began = cx.now;
            // A server's events from the first one on can't be told from a copy of an earlier response.
            read.fresh = read.is_full() || read.store && self.fence.awaits_first_clock();
            let (addr, since, fresh) = (*addr, read.since, read.fresh);
            out.push(Effect::Call(ControlCall::ReadStore { addr, since, fresh }));
        }
    }

    /// Determines the read targets: the stores of the configuration and the engines on the list.
    fn find_targets(&mut self, cx: &Context<'_>, servers: &Servers, version: TargetsVersion) {
        if self.targets_version.term != version.term {
            self.withheld.clear();
            self.reads.retain(|_, read| read.pending);
            for read in self.reads.values_mut() {
                *read = ReadState { pending: true, outdated: true, ..ReadState::default() };
            }
        }
        self.targets_version = version;
        let stores: BTreeSet<SocketAddr> = stores(cx).map(|store| store.addr).collect();
        self.fence.retain_stores(|addr| stores.contains(addr));
        let engines = servers.iter().filter(|(_, server)| !server.listed.models.is_empty());
        let engines: BTreeSet<SocketAddr> = engines
            .map(|(_, server)| server.listed.addr)
            .filter(|at| !stores.contains(at))
            .collect();
        let is_target = |addr: &SocketAddr| stores.contains(addr) || engines.contains(addr);
        self.reads.retain(|addr, read| is_target(addr) || read.pending);
        let removed: Vec<SocketAddr> =
            self.inventory.stores().filter(|addr| !is_target(addr)).collect();
        for addr in removed {
            self.withdraw(addr);
        }
        // The stores hold the histories, so they are read before the servers.
        self.targets = stores.iter().chain(&engines).copied().collect();
        for addr in &self.targets {
            self.reads.entry(*addr).or_default().store = stores.contains(addr);
        }
    }

    /// Applies the result of a read.
    pub fn read_finished(
        &mut self,
        cx: &Context<'_>,
        (addr, since): (SocketAddr, Option<u64>),
        delta: Result<StoreDelta, String>,
        predecessor: Duration,
        saves: &mut Saves,
        out: &mut Effects,
    ) {
        let Some(read) = self.reads.get_mut(&addr) else {
            return;
        };
        read.pending = false;
        if std::mem::take(&mut read.outdated) {
            return;
        }
        if self.targets_version.term != self.term {
            // Another process has been the leader since then, and has advertised newer inventories.
            return;
        }
        let Ok(delta) = delta else {
            read.next = cx.now + RETRY_DELAY;
            let failing_since = *read.failing_since.get_or_insert(cx.now);
            if cx.now.since(failing_since) >= MAX_SILENCE && self.inventory.contains_store(addr) {
                read.since = None;
                self.withdraw(addr);
            }
            return;
        };
        read.failing_since = None;
        if read.store {
            let began = read.fresh.then_some(read.began);
            self.fence.observe(cx.now, addr, delta.clock_ms, (began, predecessor));
            if self.is_closed(cx.now, addr, &delta) {
                return;
            }
        }
        let Some(read) = self.reads.get_mut(&addr) else {
            return;
        };
        let full = is_full(read.store, since);
        let goes_back = since.is_some_and(|since| delta.next_event < since);
        let count = self.inventory.segments(addr) + delta.segments.len();
        let is_too_large = count > MAX_SEGMENTS;
        let discontinuous = delta.epoch != read.epoch || delta.gap || goes_back || is_too_large;
        if discontinuous && !full {
            // The changes since the last read are incomplete, so the complete inventory is read.
            read.since = None;
            read.next = cx.now;
            if delta.epoch != read.epoch {
                self.withdraw(addr);
            }
            return;
        }
        read.has_read |= full;
        read.since = Some(delta.next_event);
        read.epoch = delta.epoch;
        read.next = cx.now + READ_INTERVAL;
        if delta.segments.is_empty() && !full {
            return;
        }
        let took = cx.now.since(read.began);
        let began = read.fresh.then_some(read.began);
        if self.salts.len() >= MAX_SALTS {
            // Those of which no segment is left make room.
            let held = self.inventory.stores().filter_map(|store| self.inventory.holdings(store));
            let held: HashSet<u64> =
                held.flat_map(|(_, locations)| locations).map(|location| location.salt).collect();
            self.salts.retain(|salt, _| held.contains(salt));
        }
        // The last event of a segment is its current state.
        let mut segments = BTreeMap::new();
        for segment in &delta.segments {
            let salt = salt_number(&segment.salt);
            if self.salts.len() < MAX_SALTS {
                self.salts.entry(salt).or_insert_with(|| Name::new(&segment.salt));
            }
            segments.insert((salt, segment.id), segment.tokens);
        }
        let stored = |((salt, id), tokens)| StoredSegment { salt, id, tokens };
        let mut segments: Vec<StoredSegment> = segments.into_iter().map(stored).collect();
        if full {
            let segments = segments.iter().filter(|segment| segment.tokens > 0).count();
            out.push(Effect::Decision(Box::new(Decision::InventoryRead {
                location: addr,
                segments,
                took,
            })));
        }
        if self.reads.get(&addr).is_some_and(ReadState::is_store) {
            self.withhold((addr, delta.epoch, began), full, &mut segments, saves);
        }
        self.publish(Holdings { store: addr, epoch: Some(delta.epoch), complete: full, segments });
    }

    /// Whether a store that responded has restarted and is not offered yet.
    fn is_closed(&mut self, now: Time, addr: SocketAddr, delta: &StoreDelta) -> bool {
        let restarted = self.epochs.get(&addr).is_some_and(|epoch| *epoch != delta.epoch);
        if !restarted {
            return false;
        }
        if self.reads.get(&addr).is_some_and(|read| read.has_read) {
            // This leader has offered all that entries may still fetch there, and permits none of it to be saved
            // until their leases have ended.
            self.epochs.insert(addr, delta.epoch);
            self.withdraw(addr);
            if let Some(read) = self.reads.get_mut(&addr) {
                (read.since, read.next) = (None, now);
            }
            return true;
        }
        let last_lease_end_ms = self.fence.last_lease_end_ms();
        let clock_ms = self.fence.store_clock_ms(addr);
        let Some(read) = self.reads.get_mut(&addr) else {
            return false;
        };
        let is_new = read.closed.is_none_or(|closed| closed.epoch != delta.epoch);
        if is_new {
            read.closed = Some(Closed { epoch: delta.epoch, until_ms: last_lease_end_ms });
        }
        let closed = read.closed.as_mut();
        let until_ms = closed.and_then(|closed| {
            // A new leader learns it after its first reads; leases issued later don't count.
            closed.until_ms = closed.until_ms.or(last_lease_end_ms);
            closed.until_ms
        });
        read.next = now + READ_INTERVAL;
        // Only events are certain to name the clock.
        read.since = Some(delta.next_event);
        read.next_full = now + FULL_READ_INTERVAL;
        if until_ms.zip(clock_ms).is_some_and(|(until_ms, clock_ms)| clock_ms > until_ms) {
            read.closed = None;
            read.since = None;
            self.epochs.insert(addr, delta.epoch);
        }
        if is_new {
            self.withdraw(addr);
        }
        true
    }

    /// As the leader: reads the incarnations of stores that hold withheld segments of which no save can begin any more.
    pub fn check(&mut self, cx: &Context<'_>, saves: &Saves, out: &mut Effects) {
        if cx.term.is_none() {
            return;
        }
        let settled = self.withheld.keys().filter(|save| saves.settled_at(**save).is_some());
        let stores: BTreeSet<SocketAddr> = settled.map(|save| save.store).collect();
        for addr in stores {
            let Some(read) = self.reads.get_mut(&addr).filter(|read| cx.now >= read.next_check)
            else {
                continue;
            };
            read.next_check = cx.now + READ_INTERVAL;
            let (since, began) = (read.since.unwrap_or_default(), cx.now);
            out.push(Effect::Call(ControlCall::CheckStore { addr, since, began }));
        }
    }

    /// As the leader: issues the leases that are due. Before the first ones in a term, the inventories of all stores are
    /// withdrawn and read again: until then, a free of an earlier leader may have been carried out.
    pub fn renew_leases(&mut self, cx: &Context<'_>, servers: &Servers, out: &mut Effects) {
        let renewal = self.fence.renew(cx, servers);
        if renewal.leases.is_empty() {
            return;
        }
        if renewal.is_first {
            let all: Vec<SocketAddr> = stores(cx).map(|store| store.addr).collect();
            for addr in all {
                self.withdraw(addr);
                if let Some(read) = self.reads.get_mut(&addr).filter(|read| read.closed.is_none()) {
                    read.outdated = read.pending;
                    (read.since, read.next) = (None, cx.now);
                }
            }
        }
        for (model, versions) in renewal.changed {
            let term = cx.term.unwrap_or_default();
            let (versions, clock_ms) = (versions.into_iter().collect(), renewal.clock_ms);
            let leased = Decision::VersionsLeased { model, versions, term, clock_ms };
            out.push(Effect::Decision(Box::new(leased)));
        }
        self.leases = renewal.leases;
    }

    /// As the leader: frees segments that were computed with a weight version that no server on the list holds any
    /// more, so that there is space for segments of new versions.
    pub fn free_stale(&mut self, cx: &Context<'_>, servers: &Servers, out: &mut Effects) {
        if cx.term.is_none() || cx.now < self.next_free {
            return;
        }
        self.next_free = cx.now + FREE_INTERVAL;
        let list_age = servers.read_at().map_or(Duration::MAX, |at| cx.now.since(at));
        for (model, floor) in floors(cx, servers) {
            let mut freed_until_ms = None;
            for store in stores(cx) {
                if let Some((free, until_ms, call)) =
                    self.stale_segments(cx.now, store.addr, &model, &floor)
                {
                    let decision = Decision::Freed(Free { list_age, ..free });
                    out.push(Effect::Decision(Box::new(decision)));
                    out.push(Effect::Call(call));
                    freed_until_ms = freed_until_ms.max(Some(until_ms));
                }
            }
            if let Some(until_ms) = freed_until_ms {
                self.fence.freed(&model, floor.version, until_ms);
            }
        }
    }

    /// The call that frees the stale segments of a model on a store, if there are any, and when it expires on the clock of
    /// the store, milliseconds.
    fn stale_segments(
        &self,
        now: Time,
        addr: SocketAddr,
        model: &Name,
        floor: &Floor,
    ) -> Option<(Free, u64, ControlCall)> {
        let (epoch, locations) = self.inventory.holdings(addr)?;
        let mut release = None;
        let mut stale = |salt: u64| {
            let salt = self.salts.get(&salt)?;
            let (of, version) = model_and_version(salt)?;
            if of != &**model || version >= floor.version {
                return None;
            }
            release = Some(self.fence.release(now, addr, of, version)?);
            Some((version, salt.clone()))
        };
        let mut found: Vec<((u64, Name), u64)> =
            locations.filter_map(|location| Some((stale(location.salt)?, location.id))).collect();
        found.sort_unstable();
        found.truncate(MAX_FREED);
        let release = release?;
        let versions: BTreeSet<u64> = found.iter().map(|((version, _), _)| *version).collect();
        let segments: Vec<(Name, u64)> =
            found.into_iter().map(|((_, salt), id)| (salt, id)).collect();
        let lease_end = |version: &u64| self.fence.issued_until_ms(model, *version);
        let free = Free {
            store: addr,
            model: model.clone(),
            last_lease_ms: versions.iter().map(lease_end).max().unwrap_or(0),
            versions: versions.into_iter().collect(),
            segments: segments.len(),
            floor: floor.version,
            held_by: floor.holder.clone(),
            holders: floor.holders,
            clock_ms: release.clock_ms,
            list_age: Duration::ZERO,
        };
        let until_ms = Some(release.until_ms);
        let call = ControlCall::FreeSegments { addr, epoch, until_ms, segments };
        Some((free, release.until_ms, call))
    }

    /// Removes a store or server from all inventories.
    fn withdraw(&mut self, store: SocketAddr) {
        self.withheld.retain(|save, _| save.store != store);
        self.publish(Holdings::withdrawn(store));
    }

    pub(super) fn publish(&mut self, holdings: Holdings) {
        self.apply(&holdings);
        self.updates.push(holdings);
    }
}

/// The model and weight version that the segments under a salt were computed with.
fn model_and_version(salt: &str) -> Option<(&str, u64)> {
    let (rest, version) = salt.rsplit_once('/')?;
    let (_, model) = rest.rsplit_once('/')?;
    Some((model, version.parse().ok()?))
}
