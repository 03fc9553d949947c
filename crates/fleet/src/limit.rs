//! The rate of requests that a server in need takes.

use base::prelude::*;

/// Answers in a row without a limit that end a need: a single one may lack it by accident, and a server in need
/// would meet all that was held back.
const CLEAR: u32 = 2;
/// Calls a second to a server of which one answer says that it is in no need. In the span of the users' rule these are
/// fewer than it allows at any limit.
const TRIAL: f64 = 1.0;
/// Time for which this process's own word goes before the leader's, which may not have heard it yet.
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
pub enum Limited {
    /// Nothing: the server is in no need, as far as this answer tells.
    #[default]
    Not,
    /// The server takes this rate.
    To(Limit),
    /// Something that is no rate.
    Unreadable,
}

/// The need of a server that named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The limit that it named last.
    pub limit: Limit,
    /// When an answer named it last.
    pub named: Time,
    /// When an answer to this process named it last, if one did.
    pub heard: Option<Time>,
    /// Until when no permit can be had.
    pub denied_until: Time,
    /// Whether a report named it: only then a report that names none says anything.
    pub reported: bool,
    /// Number of the standby slot that was used last.
    pub slot: Option<u64>,
    /// Answers since it was named that named none.
    clear: u32,
}

impl Need {
    /// A need that was heard of just now.
    pub fn new(limit: Limit, named: Time) -> Self {
        Self {
            limit,
            named,
            heard: None,
            denied_until: Time::ZERO,
            slot: None,
            reported: false,
            clear: 0,
        }
    }

    /// An answer named a limit at a time; an older word than that known changes nothing.
    pub fn named(&mut self, limit: Limit, at: Time) {
        if at >= self.named {
            self.limit = limit;
            self.named = at;
            self.clear = 0;
        }
    }

    /// An answer named none. It counts if its request was sent after the limit was named last, since answers
    /// overtake each other. Gives whether the need is over.
    pub fn unnamed(&mut self, sent: Time) -> bool {
        self.clear += u32::from(sent > self.named);
        self.clear >= CLEAR
    }

    /// Calls a second to send: what it takes or, once an answer has named no limit, enough to hear soon whether the
    /// need is over.
    pub fn takes(&self) -> f64 {
        let takes = self.limit.per_second();
        if self.clear > 0 { takes.max(TRIAL) } else { takes }
    }

    /// Whether the leader, who knows of no need, can have heard of this one.
    pub fn is_old(&self, now: Time) -> bool {
        self.heard.is_none_or(|heard| now.since(heard) >= OWN)
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
