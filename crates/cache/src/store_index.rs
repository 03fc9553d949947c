//! The blocks that one agent has saved to the stores, and when each may be deleted.
//!
//! A block is advertised to readers only while it is published. A block that is to be deleted is first tombstoned, which
//! ends its advertisement, and is deleted only after the time of a pin, clock drift included, so that reads that
//! began in time find it.
//!
//! A read may still come later: an entry without contact to the agent names the block in the start of a run, an agent that
//! was suspended begins its fetch late, and another agent may delete a block that it saved under the same key. Such a
//! read is a miss: a reader imports a block only if [`decode_block`](crate::decode_block) finds it complete and intact.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use base::Time;

use crate::Key;

/// Longest time for which a reader may use a block after it was advertised to the reader.
pub const PIN: Duration = Duration::from_secs(10);
/// Largest drift between two clocks during one pin.
const DRIFT: Duration = Duration::from_millis(500);

/// Phase of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its write is in progress.
    Reserved,
    /// Written and verified; it may be advertised to readers.
    Published,
    /// No longer advertised to readers; it may be deleted from this time on.
    Tombstoned(Time),
}

#[derive(Clone, Debug)]
struct Block {
    generation: u64,
    phase: Phase,
    bytes: u64,
    /// Value of `count` at its last use.
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

/// An agent's blocks on one store.
#[derive(Debug)]
pub struct StoreIndex {
    budget: u64,
    bytes: u64,
    blocks: HashMap<Key, Block>,
    by_use: BTreeMap<u64, Key>,
    /// Counts reservations and uses; orders blocks by their last use.
    count: u64,
}

impl StoreIndex {
    /// An empty index with a budget in bytes.
    pub fn new(budget: u64) -> Self {
        Self { budget, bytes: 0, blocks: HashMap::new(), by_use: BTreeMap::new(), count: 0 }
    }

    /// Bytes of all blocks that are not deleted.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Used share of the budget, in percent.
    pub fn used_percent(&self) -> u64 {
        100 * self.bytes / self.budget.max(1)
    }

    /// Phase of a block.
    pub fn phase(&self, key: &Key) -> Option<Phase> {
        self.blocks.get(key).map(|block| block.phase)
    }

    /// Keys of the blocks that may be advertised to readers.
    pub fn published(&self) -> impl Iterator<Item = &Key> {
        let published = |(_, block): &(&Key, &Block)| block.phase == Phase::Published;
        self.blocks.iter().filter(published).map(|(key, _)| key)
    }

    /// Reserves space for a block and returns its generation; `None` if the block exists or does not fit.
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

    /// Ends the write of a block. After a failed write it is removed immediately, since it was never advertised.
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

    /// Records a use of a block.
    pub fn record_use(&mut self, key: &Key) {
        self.count += 1;
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        self.by_use.remove(&block.used);
        block.used = self.count;
        self.by_use.insert(self.count, *key);
    }

    /// Tombstones the least recently used blocks until this many bytes would fit once they are deleted; returns their
    /// keys.
    pub fn tombstone_lru(&mut self, now: Time, bytes: u64) -> Vec<Key> {
        let mut tombstoned: u64 =
            self.blocks.values().filter(|block| is_tombstoned(block)).map(|b| b.bytes).sum();
        let mut keys = Vec::new();
        for key in self.by_use.values() {
            if self.bytes + bytes <= self.budget + tombstoned {
                break;
            }
            let Some(block) = self.blocks.get_mut(key) else { continue };
            if block.phase == Phase::Published {
                block.phase = Phase::Tombstoned(now + PIN + DRIFT);
                tombstoned += block.bytes;
                keys.push(*key);
            }
        }
        keys
    }

    /// Removes and returns the tombstoned blocks whose pins have expired.
    pub fn take_expired(&mut self, now: Time) -> Vec<FreedBlock> {
        let expired = |block: &Block| matches!(block.phase, Phase::Tombstoned(at) if now >= at);
        let freed: Vec<FreedBlock> = self
            .blocks
            .iter()
            .filter(|(_, block)| expired(block))
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
