//! A retry budget for a pool of servers.

/// Retries that the budget holds when it is full.
const MOST: f64 = 20.0;
/// What one success adds.
const EARN: f64 = 0.1;

/// A budget: each success earns a part of a retry.
#[derive(Clone, Debug)]
pub struct Budget {
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: MOST }
    }
}

impl Budget {
    /// A request ended well.
    pub fn earn(&mut self) {
        self.left = (self.left + EARN).min(MOST);
    }

    /// Takes a retry, if one is left.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
