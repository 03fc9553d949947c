//! Selects the blocks that are worth saving to a store before the engine evicts them.

use std::collections::HashMap;

use base::Name;

/// Weight of the latest request in the moving average of a workspace's return rate.
const RETURN_RATE_WEIGHT: f64 = 0.05;
/// Initial return rate of a workspace.
const INITIAL_RETURN_RATE: f64 = 0.3;
/// Return rate below which a block that was used only once is not saved but computed again.
const MIN_RETURN_RATE: f64 = 0.15;
/// Maximum number of blocks whose uses are counted.
const MAX_TRACKED_BLOCKS: usize = 1 << 20;

/// Counts uses of blocks and estimates how often prompts of a workspace return.
#[derive(Debug, Default)]
pub struct Retention {
    uses: HashMap<[u8; 16], u8>,
    rates: HashMap<Name, f64>,
}

impl Retention {
    /// Records a prompt of a workspace by its block keys. It counts as returning if its first block was seen before.
    pub fn record_prompt(&mut self, workspace: &Name, keys: &[[u8; 16]]) {
        let Some(first) = keys.first() else {
            return;
        };
        let returned = self.uses.contains_key(first);
        let rate = self.rates.entry(workspace.clone()).or_insert(INITIAL_RETURN_RATE);
        *rate += RETURN_RATE_WEIGHT * (f64::from(u8::from(returned)) - *rate);
        if self.uses.len() + keys.len() > MAX_TRACKED_BLOCKS {
            self.uses.clear();
        }
        for key in keys {
            let count = self.uses.entry(*key).or_insert(0);
            *count = count.saturating_add(1);
        }
    }

    /// Whether a block is worth saving: it was used at least twice, or prompts of the workspace return often enough.
    pub fn should_save(&self, workspace: &Name, key: &[u8; 16]) -> bool {
        let reused = self.uses.get(key).copied().unwrap_or(0) >= 2;
        reused || self.return_rate(workspace) >= MIN_RETURN_RATE
    }

    /// Estimated fraction of a workspace's prompts that return.
    pub fn return_rate(&self, workspace: &Name) -> f64 {
        self.rates.get(workspace).copied().unwrap_or(INITIAL_RETURN_RATE)
    }
}
