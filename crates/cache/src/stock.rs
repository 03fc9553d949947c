//! Which named prompt parts lie whole on which store.
//!
//! A store tells this late and with gaps; what stands here is only what it said is complete, in the
//! life of the store that said so.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A part on a store, under what it is shared under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Number of the salt.
    pub salt: u64,
    /// ID of the part.
    pub id: u64,
}

#[derive(Clone, Debug, Default)]
struct Shelf {
    epoch: u64,
    parts: HashMap<Place, u32>,
    tokens: u64,
}

/// The parts on all stores.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    shelves: BTreeMap<SocketAddr, Shelf>,
}

/// A number for a salt, the same in every process.
pub fn salt_number(salt: &str) -> u64 {
    let hash = blake3::hash(salt.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

impl Stock {
    /// A store holds exactly these parts.
    pub fn replace(&mut self, store: SocketAddr, epoch: u64, parts: &[(Place, u32)]) {
        self.shelves.insert(store, Shelf { epoch, ..Shelf::default() });
        self.change(store, epoch, parts, &[]);
    }

    /// A store gained and lost parts; another life of it begins empty.
    pub fn change(
        &mut self,
        store: SocketAddr,
        epoch: u64,
        added: &[(Place, u32)],
        removed: &[Place],
    ) {
        let shelf = self.shelves.entry(store).or_default();
        if shelf.epoch != epoch {
            *shelf = Shelf { epoch, ..Shelf::default() };
        }
        for (place, tokens) in added {
            let old = shelf.parts.insert(*place, *tokens);
            shelf.tokens += u64::from(*tokens);
            shelf.tokens -= u64::from(old.unwrap_or(0));
        }
        for place in removed {
            shelf.tokens -= u64::from(shelf.parts.remove(place).unwrap_or(0));
        }
    }

    /// A store cannot be reached.
    pub fn forget(&mut self, store: SocketAddr) {
        self.shelves.remove(&store);
    }

    /// The stores that hold a part in at least this length.
    pub fn holders(&self, place: Place, tokens: u32) -> impl Iterator<Item = SocketAddr> {
        self.shelves.iter().filter_map(move |(store, shelf)| {
            shelf.parts.get(&place).is_some_and(|held| *held >= tokens).then_some(*store)
        })
    }

    /// Whether the store is known to be there.
    pub fn knows(&self, store: SocketAddr) -> bool {
        self.shelves.contains_key(&store)
    }

    /// Every store.
    pub fn places(&self) -> impl Iterator<Item = SocketAddr> {
        self.shelves.keys().copied()
    }

    /// Tokens on a store.
    pub fn tokens(&self, store: SocketAddr) -> u64 {
        self.shelves.get(&store).map_or(0, |shelf| shelf.tokens)
    }

    /// Life of a store and the parts on it.
    pub fn shelf(&self, store: SocketAddr) -> Option<(u64, impl Iterator<Item = Place>)> {
        let shelf = self.shelves.get(&store)?;
        Some((shelf.epoch, shelf.parts.keys().copied()))
    }

    /// Life and parts of each store.
    pub fn shelves(&self) -> impl Iterator<Item = (SocketAddr, u64, Vec<(Place, u32)>)> {
        self.shelves.iter().map(|(store, shelf)| {
            let parts = shelf.parts.iter().map(|(place, tokens)| (*place, *tokens));
            (*store, shelf.epoch, parts.collect())
        })
    }
}
