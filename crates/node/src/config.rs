//! The reducers' settings, in domain types.

use std::time::Duration;

use base::Name;
use route::Weights;

use crate::forward;

/// Settings of the reducers.
#[derive(Clone, Debug)]
pub struct Config {
    /// Default deadline of a request.
    pub deadline: Duration,
    /// Maximum number of requests queued at one entry.
    pub max_waiting: usize,
    /// Maximum estimated queue delay at which a request is admitted.
    pub max_wait: Duration,
    /// Maximum time for streams to finish when the process stops.
    pub drain: Duration,
    /// Weights of the terms of the placement cost.
    pub weights: Weights,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Names of the store VMs.
    pub stores: Vec<Name>,
    /// Bytes of one piece (prefix block of a prompt) on a store.
    pub piece_bytes: u64,
    /// Initial estimate of a store link's rate, bytes per second.
    pub link_rate: u64,
    /// Bytes that one agent may save on the stores.
    pub store_bytes: u64,
    /// Whether to continue serving when no keeper and no peer can confirm the configuration.
    pub serve_unconfirmed: bool,
    /// Whether and how requests are forwarded to servers without an agent.
    pub forward: Option<forward::Config>,
}

/// How backend servers are chosen; all but the first are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Lowest cost by estimated time to first token, with stores.
    #[default]
    Estimate,
    /// Each server in turn.
    RoundRobin,
    /// Fewest runs first.
    LeastLoad,
    /// By a hash of the prompt's first piece, without stores.
    PrefixHash,
    /// Like [`Policy::LeastLoad`], but fetches every piece that a store has.
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
            forward: settings.forward.as_ref().map(|found| forward::Config {
                regions: settings.regions.clone(),
                ..forward::Config::from(found)
            }),
            ..Self::default()
        }
    }
}
