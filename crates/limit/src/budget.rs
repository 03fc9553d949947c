//! A retry budget for a pool of servers.

/// Maximum number of retries that the budget holds.
const MAX_RETRIES: f64 = 20.0;
/// Fraction of a retry that one success adds.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// A retry budget: each success earns a fraction of a retry.
#[derive(Clone, Debug)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { retries: MAX_RETRIES }
    }
}

impl Budget {
    /// Records a request that succeeded.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Takes a retry; false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
