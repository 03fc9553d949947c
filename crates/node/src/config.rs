//! The reducers' own settings, in domain types.

use std::time::Duration;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct Config {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Most requests waiting in one entry.
    pub max_waiting: usize,
    /// Longest wait for streams to finish when stopping.
    pub drain: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(120),
            max_waiting: 2_000,
            drain: Duration::from_secs(30),
        }
    }
}

impl From<&conf::Settings> for Config {
    fn from(settings: &conf::Settings) -> Self {
        Self {
            deadline: settings.deadline,
            max_waiting: settings.max_waiting,
            drain: settings.drain,
        }
    }
}
