//! Rate limits that servers name for themselves.

use base::prelude::*;

/// Answers in a row without a limit that lift it: a single one may lack the header by accident, and the server would
/// get all the load at once.
const CLEAR: u32 = 2;
/// Least calls a second to a server one of whose answers named no limit. Fewer than the users' rule allows at any limit.
const TRIAL: f64 = 1.0;
/// Time for which what this process observed goes before what the leader advertises, which may be older.
const OWN: Duration = Duration::from_secs(1);
/// Thousandths of a request in a request.
const MILLI: f64 = 1_000.0;
/// Highest rate that is believed, requests a second: above what one server could answer at all.
const MOST: f64 = 1_000_000.0;

/// Requests a second that a server takes from all VMs together, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit(pub u64);

impl Limit {
    /// The limit of a rate, requests a second; none where no server can mean it.
    pub fn new(per_second: f64) -> Option<Self> {
        let believed = (0.0..=MOST).contains(&per_second);
        believed.then(|| Self((per_second * MILLI).round() as u64))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLI
    }
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// No limit.
    #[default]
    None,
    /// The server takes this rate.
    Rate(Limit),
    /// Something that is no rate.
    Invalid,
}

/// The limit in force at a server, and when it was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The limit that it named last.
    pub limit: Limit,
    /// When an answer named it last.
    pub last_named: Time,
    /// When an answer to this process named it last, if one did.
    pub observed: Option<Time>,
    /// Until when no permit can be had.
    pub denied_until: Time,
    /// Whether a report named it: only then a report that names none says anything.
    pub reported: bool,
    /// Number of the time slot that was used last, without a leader.
    pub slot: Option<u64>,
    /// Answers since it was named that named none.
    clear: u32,
}

impl Throttle {
    /// A limit that came into force.
    pub fn new(limit: Limit, last_named: Time) -> Self {
        Self {
            limit,
            last_named,
            observed: None,
            denied_until: Time::ZERO,
            slot: None,
            reported: false,
            clear: 0,
        }
    }

    /// An answer named a limit at a time; an older observation changes nothing.
    pub fn observe_limit(&mut self, limit: Limit, at: Time) {
        if at >= self.last_named {
            self.limit = limit;
            self.last_named = at;
            self.clear = 0;
        }
    }

    /// An answer named none. It counts if its request was sent after the limit was named last, since answers
    /// overtake each other. Gives whether the limit is lifted.
    pub fn observe_no_limit(&mut self, sent: Time) -> bool {
        self.clear += u32::from(sent > self.last_named);
        self.clear >= CLEAR
    }

    /// Calls a second to send: what it takes or, once an answer has named no limit, enough to learn soon whether
    /// the limit is lifted.
    pub fn effective_rate(&self) -> f64 {
        let takes = self.limit.per_second();
        if self.clear > 0 { takes.max(TRIAL) } else { takes }
    }

    /// Whether what this process observed is older than what a leader advertises.
    pub fn is_stale(&self, now: Time) -> bool {
        self.observed.is_none_or(|observed| now.since(observed) >= OWN)
    }
}

/// Calls that one process made to one server, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Tries of callers' requests.
    pub requests: u64,
    /// Questions for a report.
    pub reports: u64,
    /// Reads of what the server keeps.
    pub reads: u64,
    /// Orders.
    pub orders: u64,
}
