//! The blocks that one agent has put on the stores, and when each may be freed.
//!
//! A reader learns of a block only while it is published, and its read ends within the time of a
//! pin. A block that is to go is first tombstoned, which ends new reads, and freed only once the
//! last pin that can exist has run out, clock drift included.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use base::Time;

use crate::Key;

/// Longest time that a reader may go on with what it was told.
pub const PIN: Duration = Duration::from_secs(10);
/// Largest difference of two clocks over one pin.
const DRIFT: Duration = Duration::from_millis(500);

/// Where a block stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its write is under way.
    Reserved,
    /// Written and verified; readers may be told.
    Published,
    /// No new reader is told; freed once the time has come.
    Tombstoned(Time),
}

#[derive(Clone, Debug)]
struct Block {
    generation: u64,
    phase: Phase,
    bytes: u64,
    used: u64,
}

/// A block that may be deleted from its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreedBlock {
    /// Its key.
    pub key: Key,
    /// Its generation.
    pub generation: u64,
}

/// An agent's blocks on the stores.
#[derive(Debug)]
pub struct StoreIndex {
    budget: u64,
    bytes: u64,
    blocks: HashMap<Key, Block>,
    by_use: BTreeMap<u64, Key>,
    count: u64,
}

impl StoreIndex {
    /// An empty shelf of this many bytes.
    pub fn new(budget: u64) -> Self {
        Self { budget, bytes: 0, blocks: HashMap::new(), by_use: BTreeMap::new(), count: 0 }
    }

    /// Bytes of all blocks that are not freed.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Share of the budget in use, in percent.
    pub fn used_percent(&self) -> u64 {
        100 * self.bytes / self.budget.max(1)
    }

    /// Where a block stands.
    pub fn phase(&self, key: &Key) -> Option<Phase> {
        self.blocks.get(key).map(|block| block.phase)
    }

    /// Keys that readers may be told.
    pub fn published(&self) -> impl Iterator<Item = &Key> {
        let published = |(_, block): &(&Key, &Block)| block.phase == Phase::Published;
        self.blocks.iter().filter(published).map(|(key, _)| key)
    }

    /// Makes room for a block and gives its generation; none if it is there or does not fit.
    pub fn reserve(&mut self, key: Key, bytes: u64) -> Option<u64> {
        if self.blocks.contains_key(&key) || self.bytes + bytes > self.budget {
            return None;
        }
        self.count += 1;
        let generation = self.count;
        self.bytes += bytes;
        self.by_use.insert(generation, key);
        let block = Block { generation, phase: Phase::Reserved, bytes, used: generation };
        self.blocks.insert(key, block);
        Some(generation)
    }

    /// The write of a block has ended; a failed one leaves at once, since nobody was told.
    pub fn finish_write(&mut self, key: &Key, generation: u64, ok: bool) {
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        if block.generation != generation || block.phase != Phase::Reserved {
            return;
        }
        if ok {
            block.phase = Phase::Published;
        } else {
            self.remove(key);
        }
    }

    /// Notes that a block was used.
    pub fn touch(&mut self, key: &Key) {
        self.count += 1;
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        self.by_use.remove(&block.used);
        block.used = self.count;
        self.by_use.insert(self.count, *key);
    }

    /// Tombstones the least recently used blocks until this many bytes would fit; gives their keys.
    pub fn tombstone_lru(&mut self, now: Time, bytes: u64) -> Vec<Key> {
        let mut tombstoned: u64 =
            self.blocks.values().filter(|block| is_tombstoned(block)).map(|b| b.bytes).sum();
        let mut out = Vec::new();
        for key in self.by_use.values() {
            if self.bytes + bytes <= self.budget + tombstoned {
                break;
            }
            let Some(block) = self.blocks.get_mut(key) else { continue };
            if block.phase == Phase::Published {
                block.phase = Phase::Tombstoned(now + PIN + DRIFT);
                tombstoned += block.bytes;
                out.push(*key);
            }
        }
        out
    }

    /// Blocks whose last reader is gone; they are no longer on the shelf.
    pub fn take_expired(&mut self, now: Time) -> Vec<FreedBlock> {
        let over = |block: &Block| matches!(block.phase, Phase::Tombstoned(at) if now >= at);
        let freed: Vec<FreedBlock> = self
            .blocks
            .iter()
            .filter(|(_, block)| over(block))
            .map(|(key, block)| FreedBlock { key: *key, generation: block.generation })
            .collect();
        for block in &freed {
            self.remove(&block.key);
        }
        freed
    }

    fn remove(&mut self, key: &Key) {
        if let Some(block) = self.blocks.remove(key) {
            self.bytes -= block.bytes;
            self.by_use.remove(&block.used);
        }
    }
}

fn is_tombstoned(block: &Block) -> bool {
    matches!(block.phase, Phase::Tombstoned(_))
}
