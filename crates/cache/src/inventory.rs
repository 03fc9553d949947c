//! Which prompt segments are stored completely on which store or server.
//!
//! Stores report this late and with gaps. The inventory contains only segments that a store reported as complete in
//! its current incarnation.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Identifies a segment on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Number of the salt within which it is shared.
    pub salt: u64,
    /// ID of the segment.
    pub id: u64,
}

#[derive(Clone, Debug, Default)]
struct Holdings {
    epoch: u64,
    segments: HashMap<Location, u32>,
    tokens: u64,
}

/// The segments on all stores.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    stores: BTreeMap<SocketAddr, Holdings>,
}

/// A hash of a salt, the same in every process.
pub fn salt_number(salt: &str) -> u64 {
    let hash = blake3::hash(salt.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl Inventory {
    /// Replaces the segments of a store.
    pub fn replace(&mut self, store: SocketAddr, epoch: u64, segments: &[(Location, u32)]) {
        self.stores.insert(store, Holdings { epoch, ..Holdings::default() });
        self.update(store, epoch, segments, &[]);
    }

    /// Adds and removes segments of a store; another incarnation of the store starts empty.
    pub fn update(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        added: &[(Location, u32)],
        removed: &[Location],
    ) {
        let holdings = self.stores.entry(store).or_default();
        if holdings.epoch != epoch {
            *holdings = Holdings { epoch, ..Holdings::default() };
        }
        for (location, tokens) in added {
            let old = holdings.segments.insert(*location, *tokens);
            holdings.tokens += u64::from(*tokens);
            holdings.tokens -= u64::from(old.unwrap_or(0));
        }
        for location in removed {
            holdings.tokens -= u64::from(holdings.segments.remove(location).unwrap_or(0));
        }
    }

    /// Removes a store that can't be reached.
    pub fn remove_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// The stores that hold a segment in at least this length.
    pub fn holders(&self, location: Location, tokens: u32) -> impl Iterator<Item = SocketAddr> {
        self.stores.iter().filter_map(move |(store, holdings)| {
            holdings.segments.get(&location).is_some_and(|held| *held >= tokens).then_some(*store)
        })
    }

    /// Whether the store is tracked.
    pub fn contains_store(&self, store: SocketAddr) -> bool {
        self.stores.contains_key(&store)
    }

    /// All stores.
    pub fn stores(&self) -> impl Iterator<Item = SocketAddr> {
        self.stores.keys().copied()
    }

    /// Tokens on a store.
    pub fn tokens(&self, store: SocketAddr) -> u64 {
        self.stores.get(&store).map_or(0, |holdings| holdings.tokens)
    }

    /// Number of segments on a store.
    pub fn segments(&self, store: SocketAddr) -> usize {
        self.stores.get(&store).map_or(0, |holdings| holdings.segments.len())
    }

    /// Incarnation of a store and the segments on it.
    pub fn holdings(&self, store: SocketAddr) -> Option<(u64, impl Iterator<Item = Location>)> {
        let holdings = self.stores.get(&store)?;
        Some((holdings.epoch, holdings.segments.keys().copied()))
    }

    /// Each store with its incarnation and segments.
    pub fn all_holdings(&self) -> impl Iterator<Item = (SocketAddr, u64, Vec<(Location, u32)>)> {
        self.stores.iter().map(|(store, holdings)| {
            let segments = holdings.segments.iter().map(|(location, tokens)| (*location, *tokens));
            (*store, holdings.epoch, segments.collect())
        })
    }
}
