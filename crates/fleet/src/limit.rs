//! The rate of requests that a server in need takes.

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
pub enum Named {
    /// Nothing: the server is in no need, as far as this answer tells.
    #[default]
    Nothing,
    /// The server takes this rate.
    Limit(Limit),
    /// Something that is no rate.
    Unreadable,
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
