//! Who holds which block, as far as is known.
//!
//! Entries come from cache events that are late and have gaps, so a wrong entry is expected: it
//! costs time and never a wrong answer.

use std::collections::HashMap;

use base::Name;

use crate::Key;

/// A holder: a number in place of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(u16);

/// The directory.
#[derive(Debug, Default)]
pub struct Directory {
    holders: Vec<Name>,
    blocks: HashMap<Key, Vec<Holder>>,
}

impl Directory {
    /// The number of a holder, given out at first use.
    pub fn intern(&mut self, name: &Name) -> Holder {
        if let Some(holder) = self.find(name) {
            return holder;
        }
        self.holders.push(name.clone());
        Holder((self.holders.len() - 1) as u16)
    }

    /// The number of a holder that is known.
    pub fn find(&self, name: &Name) -> Option<Holder> {
        self.holders.iter().position(|known| known == name).map(|place| Holder(place as u16))
    }

    /// Blocks known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that a holder has a block.
    pub fn add(&mut self, holder: Holder, key: Key) {
        let holders = self.blocks.entry(key).or_default();
        if !holders.contains(&holder) {
            holders.push(holder);
        }
    }

    /// Notes that a holder has a block no more.
    pub fn remove(&mut self, holder: Holder, key: &Key) {
        let Some(holders) = self.blocks.get_mut(key) else {
            return;
        };
        holders.retain(|found| *found != holder);
        if holders.is_empty() {
            self.blocks.remove(key);
        }
    }

    /// Forgets everything of a holder.
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

    /// How many leading blocks of a prompt a holder has.
    pub fn prefix_len(&self, holder: Holder, keys: &[Key]) -> usize {
        keys.iter().take_while(|key| self.holds(holder, key)).count()
    }
}
