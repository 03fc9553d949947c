//! One server.

use std::net::SocketAddr;

use base::prelude::*;
use cache::SegmentCache;

use crate::Calls;
use crate::health::{Eligibility, Health, LIST_LAG};

/// Age at which a server's word of its load says nothing more.
const LOAD_AGE: Duration = Duration::from_secs(1);
/// Age at which a server is asked for another report before an order.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Least time between two questions for a report: reports are some hundred milliseconds old.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Identity of this life of the server.
    pub id: Name,
    /// Start of this life, milliseconds since 1970, where the list tells it: an identity may be
    /// used again.
    pub born: Option<u64>,
    /// Service.
    pub service: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Most runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Models that it holds, and their weight versions.
    pub models: Vec<(Name, u64)>,
}

impl Listed {
    /// Whether it holds a model.
    pub fn holds(&self, model: &Name) -> bool {
        self.models.iter().any(|(name, _)| name == model)
    }

    /// Its weight version; 0 where the list names none.
    pub fn version(&self) -> u64 {
        self.models.iter().map(|(_, version)| *version).max().unwrap_or(0)
    }
}

/// A server's own word of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Runs in the batch.
    pub running: u32,
    /// Runs that wait.
    pub waiting: u32,
    /// Most runs at once.
    pub slots: u32,
}

/// A server's own report of itself, as of some hundred milliseconds ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Weight version that it holds; 0 where it names none.
    pub version: u64,
    /// Its load.
    pub load: Load,
    /// Orders that it has taken in this life.
    pub orders: u64,
    /// Whether it is carrying one out.
    pub busy: bool,
}

/// What other entries have at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherLoad {
    /// Runs.
    pub runs: u32,
    /// Prompt tokens of those that it still reads.
    pub prefill_tokens: u64,
    /// Tokens of memory that they need.
    pub tokens: u64,
}

/// A server and what this process knows of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its last entry on the list.
    pub listed: Listed,
    /// Weight version that it holds, as last heard.
    pub version: u64,
    /// Runs of this process there.
    pub running: u32,
    /// Prompt tokens of those that it still reads.
    pub prefill_tokens: u64,
    /// Tokens of memory that they need.
    pub tokens: u64,
    /// Prompt parts that it is believed to hold.
    pub segment_cache: SegmentCache,
    /// Calls of this process to it.
    pub calls: Calls,
    /// What it takes from this process.
    pub health: Health,
    load: Option<(Load, u32, Time)>,
    /// What other entries have there, and when they were told.
    other_load: Option<(OtherLoad, Time)>,
    next_poll: Time,
    version_reported_at: Option<Time>,
    /// Its last report, and when it came.
    report: Option<(Report, Time)>,
}

impl Server {
    pub(crate) fn new(listed: Listed, health: Health) -> Self {
        Self {
            version: listed.version(),
            listed,
            running: 0,
            prefill_tokens: 0,
            tokens: 0,
            segment_cache: SegmentCache::default(),
            calls: Calls::default(),
            health,
            load: None,
            other_load: None,
            next_poll: Time::ZERO,
            version_reported_at: None,
            report: None,
        }
    }

    /// Whether it takes a request now; `drain` is the time for which one that leaves still may.
    pub fn eligibility(&self, now: Time, drain: Duration) -> Eligibility {
        if self.listed.leaving {
            Eligibility::Ineligible
        } else {
            self.health.eligibility(now, drain)
        }
    }

    /// Whether it takes new work and is not about to leave.
    pub fn usable(&self, now: Time) -> bool {
        !self.is_leaving() && self.health.eligible_at() <= now
    }

    /// Whether it is listed or has said to be leaving.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.health.leaving().is_some()
    }

    /// Whether it may be asked for a report now; then not again for a while.
    pub fn try_poll(&mut self, now: Time) -> bool {
        let due = now >= self.next_poll;
        if due {
            self.next_poll = now + MIN_POLL_INTERVAL;
        }
        due
    }

    /// Whether it was asked for a report and has not given one in time.
    pub fn is_silent(&self, now: Time) -> bool {
        self.next_poll > Time::ZERO && now >= self.next_poll && self.report(now).is_none()
    }

    /// Other entries have this much there.
    pub fn set_other_load(&mut self, now: Time, other_load: OtherLoad) {
        self.other_load = Some((other_load, now));
    }

    fn recent_other_load(&self, now: Time) -> Option<OtherLoad> {
        let (other_load, at) = self.other_load?;
        (now.since(at) < LOAD_AGE).then_some(other_load)
    }

    /// Tokens of memory that the runs there need, those of other entries as last told.
    pub fn held_tokens(&self, now: Time) -> u64 {
        self.tokens + self.recent_other_load(now).map_or(0, |other_load| other_load.tokens)
    }

    /// Prompt tokens that it still reads, those of other entries as last told.
    pub fn prefill_backlog(&self, now: Time) -> u64 {
        self.prefill_tokens
            + self.recent_other_load(now).map_or(0, |other_load| other_load.prefill_tokens)
    }

    /// Runs there, those of other entries as last told.
    pub fn runs(&self, now: Time) -> u32 {
        if let Some(other_load) = self.recent_other_load(now) {
            return self.running + other_load.runs;
        }
        let Some((load, own, at)) = self.load else {
            return self.running;
        };
        if now.since(at) >= LOAD_AGE {
            return self.running;
        }
        self.running + (load.running + load.waiting).saturating_sub(own)
    }

    /// The server told its load.
    pub fn set_load(&mut self, now: Time, load: Load) {
        self.load = Some((load, self.running, now));
    }

    /// The server itself told the weight version that it holds. An order that was carried out late
    /// may take it back to an older one.
    pub fn set_reported_version(&mut self, now: Time, version: u64) {
        self.version_reported_at = Some(now);
        self.set_version(version);
    }

    /// The list told the version, which counts only where the server has not told it lately.
    pub(crate) fn apply_listed_version(&mut self, now: Time, version: u64) {
        if self.version_reported_at.is_none_or(|at| now.since(at) >= LIST_LAG) {
            self.set_version(version);
        }
    }

    fn set_version(&mut self, version: u64) {
        if version != self.version {
            self.version = version;
            self.segment_cache.clear();
        }
    }

    /// It reported of itself, so it is there.
    pub fn apply_report(&mut self, now: Time, report: Report) {
        self.report = Some((report, now));
        self.health.record_report();
        if report.version > 0 {
            self.set_reported_version(now, report.version);
        }
        self.set_load(now, report.load);
    }

    /// Its last report, if it came after a time.
    pub fn report_since(&self, since: Time) -> Option<Report> {
        self.report.filter(|(_, at)| *at > since).map(|(report, _)| report)
    }

    /// Its last report, if it came lately.
    pub fn report(&self, now: Time) -> Option<Report> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_AGE).map(|(report, _)| report)
    }
}
