//! What each workspace has used lately.

use std::collections::HashMap;
use std::time::Duration;

use base::{Name, Time};

/// Time after which half of what was used is forgotten.
const HALF: Duration = Duration::from_secs(5);
/// Use of a workspace above its fair part, at which it counts as over its share.
const OVER: f64 = 3.0;

/// Decayed use by workspace, in any one unit.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    used: HashMap<Name, (f64, Time)>,
    total: (f64, Time),
}

impl Usage {
    /// Counts work given to a workspace.
    pub fn add(&mut self, now: Time, workspace: &Name, amount: f64) {
        let entry = self.used.entry(workspace.clone()).or_insert((0.0, now));
        *entry = (decayed(*entry, now) + amount, now);
        self.total = (decayed(self.total, now) + amount, now);
    }

    /// Whether a workspace has used more than its part; `part` is its share of all shares.
    pub fn is_over(&self, now: Time, workspace: &Name, part: f64) -> bool {
        let Some(used) = self.used.get(workspace) else {
            return false;
        };
        let total = decayed(self.total, now);
        decayed(*used, now) > OVER * part * total
    }

    /// Forgets workspaces whose use has faded.
    pub fn prune(&mut self, now: Time) {
        const FADED: f64 = 1e-3;
        self.used.retain(|_, used| decayed(*used, now) > FADED);
    }
}

fn decayed((amount, at): (f64, Time), now: Time) -> f64 {
    amount * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF.as_secs_f64())
}
