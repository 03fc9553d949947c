//! The reducers' own settings, in domain types.

use std::time::Duration;

use base::Name;
use route::Weights;

use crate::forward;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct Config {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Most requests waiting in one entry.
    pub max_waiting: usize,
    /// Longest wait for a place that a request is admitted to.
    pub max_wait: Duration,
    /// Longest wait for streams to finish when stopping.
    pub drain: Duration,
    /// Weights of the three measures.
    pub weights: Weights,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Names of the store VMs.
    pub stores: Vec<Name>,
    /// Bytes of one piece on a store.
    pub piece_bytes: u64,
    /// First estimate of a store link, bytes per second.
    pub link_rate: u64,
    /// Bytes that one agent may keep on the stores.
    pub store_bytes: u64,
    /// Whether to serve on when no keeper and no peer can confirm the configuration.
    pub serve_unconfirmed: bool,
    /// Whether and how requests are forwarded to servers without an agent.
    pub forward: Option<forward::Config>,
}

/// How backend servers are chosen; all but the first are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By estimated time to first token, with stores.
    #[default]
    Estimate,
    /// One after the other.
    RoundRobin,
    /// Fewest runs first.
    LeastLoad,
    /// By a hash of the prompt's first piece, without stores.
    PrefixHash,
    /// As [`Policy::LeastLoad`], but fetching every piece that a store has.
    FetchAll,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(120),
            max_waiting: 2_000,
            max_wait: Duration::from_secs(30),
            drain: Duration::from_secs(30),
            weights: Weights::default(),
            policy: Policy::default(),
            stores: Vec::new(),
            piece_bytes: 4_140,
            link_rate: 100 << 20,
            store_bytes: 1 << 30,
            serve_unconfirmed: false,
            forward: None,
        }
    }
}

impl From<&conf::Settings> for Config {
    fn from(settings: &conf::Settings) -> Self {
        let weights = settings.score_weights;
        Self {
            deadline: settings.deadline,
            max_waiting: settings.max_waiting,
            max_wait: settings.max_wait,
            drain: settings.drain_timeout,
            weights: Weights {
                first_token: weights.first_token,
                recompute: weights.recompute,
                link: weights.link,
            },
            stores: settings.stores.iter().map(|store| store.name.clone()).collect(),
            piece_bytes: settings.piece_bytes,
            link_rate: settings.link_bytes_per_s,
            store_bytes: settings.store_bytes,
            serve_unconfirmed: settings.serve_unconfirmed,
            forward: settings.forward.as_ref().map(forward::Config::from),
            ..Self::default()
        }
    }
}
