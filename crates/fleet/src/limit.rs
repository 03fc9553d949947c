//! Rate limits that servers name for themselves.

use base::prelude::*;

/// Responses without a limit, in a row, that lift it. A single one may lack the header by accident, and the server
/// would receive the whole load at once.
const LIFTING_RESPONSES: u32 = 2;
/// Lowest rate, calls per second, to a server one of whose responses named no limit. Below what the users' rule
/// allows at any limit.
const MIN_PROBE_RATE: f64 = 1.0;
/// Time for which this process's own observation takes precedence over the limits that the leader advertises, which may
/// be older.
const OWN_OBSERVATION_TTL: Duration = Duration::from_secs(1);
/// Units of [`Limit`] per request.
const UNITS_PER_REQUEST: f64 = 1_000.0;
/// Highest accepted rate, requests per second: more than one server can answer.
const MAX_RATE: f64 = 1_000_000.0;

/// Rate limit of a server for all VMs together, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit(pub u64);

impl Limit {
    /// The limit for a rate in requests per second; `None` if the rate is negative, not a number or implausibly high.
    pub fn new(per_second: f64) -> Option<Self> {
        let plausible = (0.0..=MAX_RATE).contains(&per_second);
        plausible.then(|| Self((per_second * UNITS_PER_REQUEST).round() as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

/// Rate limit that a response names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// No limit.
    #[default]
    None,
    /// The server accepts this rate.
    Rate(Limit),
    /// The value is not a rate.
    Invalid,
}

/// The limit in force at a server, and when it was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The last limit that the server named.
    pub limit: Limit,
    /// When a response last named it.
    pub last_named: Time,
    /// When a response to this process last named it, if one did.
    pub observed: Option<Time>,
    /// Whether a report named it. Otherwise a report without a limit does not count as lifting it.
    pub reported: bool,
    /// Responses without a limit since it was last named.
    unlimited_responses: u32,
}

impl RateLimit {
    /// A limit that has just come into force.
    pub fn new(limit: Limit, last_named: Time) -> Self {
        Self { limit, last_named, observed: None, reported: false, unlimited_responses: 0 }
    }

    /// Records a limit that a response named at `at`; an older observation is ignored.
    pub fn observe_limit(&mut self, limit: Limit, at: Time) {
        if at >= self.last_named {
            self.limit = limit;
            self.last_named = at;
            self.unlimited_responses = 0;
        }
    }

    /// Records a response without a limit. It counts only if its request was sent after the limit was last named,
    /// since responses may arrive out of order. Returns whether the limit is lifted.
    pub fn observe_no_limit(&mut self, sent: Time) -> bool {
        self.unlimited_responses += u32::from(sent > self.last_named);
        self.unlimited_responses >= LIFTING_RESPONSES
    }

    /// Calls per second to send: the limit or, once a response has named none, at least `MIN_PROBE_RATE`, so that
    /// the process soon learns whether the limit is lifted.
    pub fn effective_rate(&self) -> f64 {
        let rate = self.limit.per_second();
        if self.unlimited_responses > 0 { rate.max(MIN_PROBE_RATE) } else { rate }
    }

    /// Whether the leader's advertisement takes precedence over the observation of this process.
    pub fn is_stale(&self, now: Time) -> bool {
        self.observed.is_none_or(|observed| now.since(observed) >= OWN_OBSERVATION_TTL)
    }
}

/// Calls that this process made to one server, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Attempts of callers' requests.
    pub requests: u64,
    /// Report requests.
    pub reports: u64,
    /// Inventory reads.
    pub reads: u64,
    /// Weight version orders.
    pub orders: u64,
}
