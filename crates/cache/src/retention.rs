//! Which blocks are worth writing back to a store before the engine evicts them.

use std::collections::HashMap;

use base::Name;

/// Weight of the latest request in a workspace's rate of returns.
const RETURN_RATE_WEIGHT: f64 = 0.05;
/// Rate of returns that a workspace starts with.
const INITIAL_RETURN_RATE: f64 = 0.3;
/// Expected use of the link below which a block is left to be computed again.
const MIN_RETURN_RATE: f64 = 0.15;
/// Most blocks whose touches are remembered.
const MAX_TRACKED_BLOCKS: usize = 1 << 20;

/// Counts touches of blocks and returns of workspaces.
#[derive(Debug, Default)]
pub struct Retention {
    touches: HashMap<[u8; 16], u8>,
    rates: HashMap<Name, f64>,
}

impl Retention {
    /// Notes a request of a workspace: `key` is that of the last piece seen before, or the first.
    pub fn record_prompt(&mut self, workspace: &Name, keys: &[[u8; 16]]) {
        let Some(first) = keys.first() else {
            return;
        };
        let returned = self.touches.contains_key(first);
        let rate = self.rates.entry(workspace.clone()).or_insert(INITIAL_RETURN_RATE);
        *rate += RETURN_RATE_WEIGHT * (f64::from(u8::from(returned)) - *rate);
        if self.touches.len() + keys.len() > MAX_TRACKED_BLOCKS {
            self.touches.clear();
        }
        for key in keys {
            let count = self.touches.entry(*key).or_insert(0);
            *count = count.saturating_add(1);
        }
    }

    /// Whether a block is worth writing back.
    pub fn should_save(&self, workspace: &Name, key: &[u8; 16]) -> bool {
        let again = self.touches.get(key).copied().unwrap_or(0) >= 2;
        again || self.return_rate(workspace) >= MIN_RETURN_RATE
    }

    /// Share of a workspace's prompts that come back.
    pub fn return_rate(&self, workspace: &Name) -> f64 {
        self.rates.get(workspace).copied().unwrap_or(INITIAL_RETURN_RATE)
    }
}
