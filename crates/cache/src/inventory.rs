//! Which named prompt parts lie whole on which store.
//!
//! A store tells this late and with gaps; what stands here is only what it said is complete, in the
//! life of the store that said so.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A part on a store, under what it is shared under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Number of the salt.
    pub salt: u64,
    /// ID of the part.
    pub id: u64,
}

#[derive(Clone, Debug, Default)]
struct Holdings {
    epoch: u64,
    parts: HashMap<Location, u32>,
    tokens: u64,
}

/// The parts on all stores.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    stores: BTreeMap<SocketAddr, Holdings>,
}

/// A number for a salt, the same in every process.
pub fn salt_number(salt: &str) -> u64 {
    let hash = blake3::hash(salt.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl Inventory {
    /// A store holds exactly these parts.
    pub fn replace(&mut self, store: SocketAddr, epoch: u64, parts: &[(Location, u32)]) {
        self.stores.insert(store, Holdings { epoch, ..Holdings::default() });
        self.update(store, epoch, parts, &[]);
    }

    /// A store gained and lost parts; another life of it begins empty.
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
            let old = holdings.parts.insert(*location, *tokens);
            holdings.tokens += u64::from(*tokens);
            holdings.tokens -= u64::from(old.unwrap_or(0));
        }
        for location in removed {
            holdings.tokens -= u64::from(holdings.parts.remove(location).unwrap_or(0));
        }
    }

    /// A store cannot be reached.
    pub fn remove_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// The stores that hold a part in at least this length.
    pub fn holders(&self, location: Location, tokens: u32) -> impl Iterator<Item = SocketAddr> {
        self.stores.iter().filter_map(move |(store, holdings)| {
            holdings.parts.get(&location).is_some_and(|held| *held >= tokens).then_some(*store)
        })
    }

    /// Whether the store is known to be there.
    pub fn contains_store(&self, store: SocketAddr) -> bool {
        self.stores.contains_key(&store)
    }

    /// Every store.
    pub fn stores(&self) -> impl Iterator<Item = SocketAddr> {
        self.stores.keys().copied()
    }

    /// Tokens on a store.
    pub fn tokens(&self, store: SocketAddr) -> u64 {
        self.stores.get(&store).map_or(0, |holdings| holdings.tokens)
    }

    /// Life of a store and the parts on it.
    pub fn holdings(&self, store: SocketAddr) -> Option<(u64, impl Iterator<Item = Location>)> {
        let holdings = self.stores.get(&store)?;
        Some((holdings.epoch, holdings.parts.keys().copied()))
    }

    /// Life and parts of each store.
    pub fn all_holdings(&self) -> impl Iterator<Item = (SocketAddr, u64, Vec<(Location, u32)>)> {
        self.stores.iter().map(|(store, holdings)| {
            let parts = holdings.parts.iter().map(|(location, tokens)| (*location, *tokens));
            (*store, holdings.epoch, parts.collect())
        })
    }
}
