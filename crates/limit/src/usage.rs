//! Recent use of the servers by each workspace.

use std::collections::HashMap;
use std::time::Duration;

use base::{Name, Time};

/// Time in which recorded use decays by half.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Factor by which a workspace must exceed its fair part to count as over its share.
const OVER: f64 = 3.0;

/// Use by workspace with exponential decay, in any unit that all amounts share.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    used: HashMap<Name, (f64, Time)>,
    total: (f64, Time),
}

impl Usage {
    /// Records work that was done for a workspace.
    pub fn add(&mut self, now: Time, workspace: &Name, amount: f64) {
        let entry = self.used.entry(workspace.clone()).or_insert((0.0, now));
        *entry = (decayed(*entry, now) + amount, now);
        self.total = (decayed(self.total, now) + amount, now);
    }

    /// Whether a workspace is over its share; `part` is its share divided by the sum of all shares.
    pub fn is_over(&self, now: Time, workspace: &Name, part: f64) -> bool {
        let Some(used) = self.used.get(workspace) else {
            return false;
        };
        let total = decayed(self.total, now);
        decayed(*used, now) > OVER * part * total
    }

    /// Removes workspaces whose use has decayed to almost nothing.
    pub fn prune(&mut self, now: Time) {
        const MIN_USE: f64 = 1e-3;
        self.used.retain(|_, used| decayed(*used, now) > MIN_USE);
    }
}

fn decayed((amount, at): (f64, Time), now: Time) -> f64 {
    amount * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
