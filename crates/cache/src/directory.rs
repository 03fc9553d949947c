//! Cached state of which holder has which prefix block.
//!
//! The state comes from cache events that are delayed and may be lost. A wrong entry is expected; it costs time but
//! never leads to a wrong response.

use std::collections::HashMap;

use base::Name;

use crate::Key;

/// Number that identifies a holder in place of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(u16);

/// Maps each block to its holders.
#[derive(Debug, Default)]
pub struct Directory {
    holders: Vec<Name>,
    blocks: HashMap<Key, Vec<Holder>>,
}

impl Directory {
    /// Returns the number of a holder, assigning one on first use.
    pub fn intern(&mut self, name: &Name) -> Holder {
        if let Some(holder) = self.find_holder(name) {
            return holder;
        }
        self.holders.push(name.clone());
        Holder((self.holders.len() - 1) as u16)
    }

    /// Returns the number of a holder that already has one.
    pub fn find_holder(&self, name: &Name) -> Option<Holder> {
        self.holders.iter().position(|found| found == name).map(|index| Holder(index as u16))
    }

    /// Number of tracked blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is tracked.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that a holder has a block.
    pub fn add_block(&mut self, holder: Holder, key: Key) {
        let holders = self.blocks.entry(key).or_default();
        if !holders.contains(&holder) {
            holders.push(holder);
        }
    }

    /// Records that a holder no longer has a block.
    pub fn remove_block(&mut self, holder: Holder, key: &Key) {
        let Some(holders) = self.blocks.get_mut(key) else {
            return;
        };
        holders.retain(|found| *found != holder);
        if holders.is_empty() {
            self.blocks.remove(key);
        }
    }

    /// Removes all blocks of a holder.
    pub fn clear_holder(&mut self, holder: Holder) {
        self.blocks.retain(|_, holders| {
            holders.retain(|found| *found != holder);
            !holders.is_empty()
        });
    }

    /// Whether a holder has a block.
    pub fn holds(&self, holder: Holder, key: &Key) -> bool {
        self.blocks.get(key).is_some_and(|holders| holders.contains(&holder))
    }

    /// Number of leading blocks of a prompt that a holder has.
    pub fn prefix_len(&self, holder: Holder, keys: &[Key]) -> usize {
        keys.iter().take_while(|key| self.holds(holder, key)).count()
    }
}
