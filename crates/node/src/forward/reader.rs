//! Reads the segment inventories of stores and servers for all entries, and frees stale segments.
//!
//! Only the leader among the keepers reads their events, since stores and servers accept few readers.
//! The state of the reads is kept while its lease lapses: when it leads again in the same term, no other
//! process can have led in between.

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

/// Time between two reads of the events of one target, so that one read returns several events.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time until the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of concurrent reads of complete inventories: a new leader reads all of them, and the
/// responses share its link and CPU with the heartbeats that renew its lease.
const MAX_FULL_READS: usize = 4;
/// Duration of failing reads after which the inventory of a target is dropped: longer than one read may take.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two reads of the complete inventory of a store, since single events may be lost.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two searches for stale segments.
const FREE_INTERVAL: Duration = Duration::from_secs(1);
/// How long no server must have held an old weight version before the segments computed with it are freed.
const FREE_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of segments that one call frees.
const MAX_FREED: usize = 1_000;

/// The inputs that the read targets are derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TargetsVersion {
    /// Term in which the reads began.
    term: u64,
    revision: Revision,
    /// Generation of the list of servers.
    lists: u64,
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
    /// When the last read began.
    began: Time,
    /// When reads began to fail, if the last one failed.
    failing_since: Option<Time>,
}

impl ReadState {
    /// Whether the next read returns the complete inventory rather than changes.
    fn is_full(&self) -> bool {
        is_full(self.store, self.since)
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
            let (addr, since) = (*addr, read.since);
            out.push(Effect::Call(ControlCall::ReadStore { addr, since }));
        }
    }

    /// Determines the read targets: the stores of the configuration and the engines on the list.
    fn find_targets(&mut self, cx: &Context<'_>, servers: &Servers, version: TargetsVersion) {
        if self.targets_version.term != version.term {
            self.reads.clear();
        }
        self.targets_version = version;
        let stores: BTreeSet<SocketAddr> = stores(cx).map(|store| store.addr).collect();
        let engines = servers.iter().filter(|(_, server)| !server.listed.models.is_empty());
        let engines: BTreeSet<SocketAddr> = engines
            .map(|(_, server)| server.listed.addr)
            .filter(|at| !stores.contains(at))
            .collect();
        let is_target = |addr: &SocketAddr| stores.contains(addr) || engines.contains(addr);
        self.reads.retain(|addr, _| is_target(addr));
        let removed: Vec<SocketAddr> =
            self.inventory.stores().filter(|addr| !is_target(addr)).collect();
        for addr in removed {
            self.publish(Holdings {
                store: addr,
                epoch: None,
                complete: true,
                segments: Vec::new(),
            });
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
        addr: SocketAddr,
        since: Option<u64>,
        delta: Result<StoreDelta, String>,
        out: &mut Effects,
    ) {
        let Some(read) = self.reads.get_mut(&addr) else {
            return;
        };
        read.pending = false;
        if self.targets_version.term != self.term {
            // Another process has been the leader since then, and has advertised newer inventories.
            return;
        }
        let Ok(delta) = delta else {
            read.next = cx.now + RETRY_DELAY;
            let failing_since = *read.failing_since.get_or_insert(cx.now);
            if cx.now.since(failing_since) >= MAX_SILENCE && self.inventory.contains_store(addr) {
                read.since = None;
                self.publish(Holdings {
                    store: addr,
                    epoch: None,
                    complete: true,
                    segments: Vec::new(),
                });
            }
            return;
        };
        read.failing_since = None;
        let full = is_full(read.store, since);
        let discontinuous = delta.epoch != read.epoch || delta.gap;
        if discontinuous && !full {
            // The changes since the last read are incomplete, so the complete inventory is read.
            read.since = None;
            read.next = cx.now;
            if delta.epoch != read.epoch {
                self.publish(Holdings {
                    store: addr,
                    epoch: None,
                    complete: true,
                    segments: Vec::new(),
                });
            }
            return;
        }
        read.since = Some(delta.next_event);
        read.epoch = delta.epoch;
        read.next = cx.now + READ_INTERVAL;
        if delta.segments.is_empty() && !full {
            return;
        }
        let took = cx.now.since(read.began);
        // The last event of a segment is its current state.
        let mut segments = BTreeMap::new();
        for segment in &delta.segments {
            let salt = salt_number(&segment.salt);
            self.salts.entry(salt).or_insert_with(|| Name::new(&segment.salt));
            segments.insert((salt, segment.id), segment.tokens);
        }
        let stored = |((salt, id), tokens)| StoredSegment { salt, id, tokens };
        let segments: Vec<StoredSegment> = segments.into_iter().map(stored).collect();
        if full {
            let segments = segments.iter().filter(|segment| segment.tokens > 0).count();
            out.push(Effect::Decision(Box::new(Decision::InventoryRead {
                location: addr,
                segments,
                took,
            })));
        }
        self.publish(Holdings { store: addr, epoch: Some(delta.epoch), complete: full, segments });
    }

    /// As the leader: frees segments that were computed with a weight version that no server holds any
    /// more, so that there is space for segments of new versions. Nothing fetches stale ones: a server
    /// rejects a request that expects another version, and completes its runs before it changes.
    pub fn free_stale(&mut self, cx: &Context<'_>, servers: &Servers, out: &mut Effects) {
        if cx.term.is_none() || cx.now < self.next_free {
            return;
        }
        self.next_free = cx.now + FREE_INTERVAL;
        let mut oldest: HashMap<Name, u64> = HashMap::new();
        for (_, server) in servers.iter() {
            for (model, _) in &server.listed.models {
                let min_version = oldest.entry(model.clone()).or_insert(u64::MAX);
                *min_version = (*min_version).min(server.version);
            }
        }
        for (model, version) in oldest {
            let oldest = self.oldest.entry(model).or_insert((version, cx.now));
            if oldest.0 != version {
                *oldest = (version, cx.now);
            }
        }
        let is_stale = |salt: u64| {
            let (model, version) = model_and_version(self.salts.get(&salt)?)?;
            let (oldest, since) = self.oldest.get(model)?;
            (version < *oldest && cx.now.since(*since) >= FREE_DELAY).then_some(())
        };
        for store in stores(cx) {
            let addr = store.addr;
            let Some((epoch, locations)) = self.inventory.holdings(addr) else { continue };
            let stale = locations.filter(|location| is_stale(location.salt).is_some());
            let segments: Vec<(Name, u64)> = stale
                .filter_map(|location| Some((self.salts.get(&location.salt)?.clone(), location.id)))
                .take(MAX_FREED)
                .collect();
            if !segments.is_empty() {
                out.push(Effect::Call(ControlCall::FreeSegments {
                    addr,
                    epoch,
                    until_ms: None,
                    segments,
                }));
            }
        }
    }

    fn publish(&mut self, holdings: Holdings) {
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
