//! One server.

use std::net::SocketAddr;

use base::prelude::*;
use cache::Held;

use crate::{Calls, Limit, Throttle};

/// First time for which a server is left alone after it failed.
const AWAY: Duration = Duration::from_millis(500);
/// Longest such time; a server that crashed stays on the list for some seconds.
const AWAY_MOST: Duration = Duration::from_secs(4);
/// First time for which a server is left alone that rejected a request.
const REJECTED: Duration = Duration::from_millis(50);
/// Longest such time: a server that changes its weights is back after about half a second.
const REJECTED_MOST: Duration = Duration::from_millis(400);
/// Age at which a server's word of its load says nothing more.
const LOAD_AGE: Duration = Duration::from_secs(1);

/// Time by which the list may be older than a server's own word.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Age at which a server is asked for another report before an order.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Least time between two questions for a report: reports are some hundred milliseconds old.
const ASK_EVERY: Duration = Duration::from_millis(300);

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
    pub reading: u64,
    /// Prompt parts that it is believed to hold.
    pub held: Held,
    /// Calls of this process to it.
    pub calls: Calls,
    /// Its rate limit, if it named one.
    pub throttle: Option<Throttle>,
    load: Option<(Load, u32, Time)>,
    /// Runs and prompt tokens of other entries, and when they were told.
    others: Option<(u32, u64, Time)>,
    /// Until when it is taken to be changing its weights.
    changing_until: Time,
    next_ask: Time,
    told_version: Option<Time>,
    /// Its last report, and when it came.
    report: Option<(Report, Time)>,
    failures: u32,
    rejections: u32,
    away_until: Time,
    /// Until when another server is taken to answer at its address. Runs on connections of before may
    /// still end well, which says nothing of new ones.
    misdirected_until: Time,
}

impl Server {
    pub(crate) fn new(listed: Listed) -> Self {
        Self {
            version: listed.version(),
            listed,
            running: 0,
            reading: 0,
            held: Held::default(),
            calls: Calls::default(),
            throttle: None,
            load: None,
            others: None,
            changing_until: Time::ZERO,
            next_ask: Time::ZERO,
            told_version: None,
            report: None,
            failures: 0,
            rejections: 0,
            away_until: Time::ZERO,
            misdirected_until: Time::ZERO,
        }
    }

    /// Whether new work may go there.
    pub fn usable(&self, now: Time) -> bool {
        let out = self.is_away(now) || self.is_misdirected(now) || self.is_changing(now);
        !self.listed.leaving && !out
    }

    /// Whether it is left alone since it failed or rejected a request.
    pub fn is_away(&self, now: Time) -> bool {
        now < self.away_until
    }

    /// Whether it is taken to be changing its weights.
    pub fn is_changing(&self, now: Time) -> bool {
        now < self.changing_until
    }

    /// Whether it may be asked for a report now; then not again for a while.
    pub fn ask(&mut self, now: Time) -> bool {
        let due = now >= self.next_ask;
        if due {
            self.next_ask = now + ASK_EVERY;
        }
        due
    }

    /// Whether it was asked for a report and has not given one in time.
    pub fn is_silent(&self, now: Time) -> bool {
        self.next_ask > Time::ZERO && now >= self.next_ask && self.report(now).is_none()
    }

    /// Other entries have this much there.
    pub fn others(&mut self, now: Time, runs: u32, reading: u64) {
        self.others = Some((runs, reading, now));
    }

    /// Whether it is carrying out an order to other weights; it rejects new runs meanwhile.
    pub fn changing(&mut self, now: Time, changing: bool) {
        self.changing_until = if changing { now + LOAD_AGE } else { Time::ZERO };
    }

    /// Prompt tokens that it still reads, those of other entries as last told.
    pub fn ahead(&self, now: Time) -> u64 {
        let others = self.others.filter(|(.., at)| now.since(*at) < LOAD_AGE);
        self.reading + others.map_or(0, |(_, reading, _)| reading)
    }

    /// Runs there, those of other entries as last told.
    pub fn runs(&self, now: Time) -> u32 {
        if let Some((runs, ..)) = self.others.filter(|(.., at)| now.since(*at) < LOAD_AGE) {
            return self.running + runs;
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
    pub fn told(&mut self, now: Time, load: Load) {
        self.load = Some((load, self.running, now));
    }

    /// The limit that it named last.
    pub fn limit(&self) -> Option<Limit> {
        self.throttle.map(|throttle| throttle.limit)
    }

    /// Calls a second that it takes from all VMs, if it named a limit.
    pub fn takes(&self) -> Option<f64> {
        self.throttle.map(|throttle| throttle.takes())
    }

    /// A limit was named at a time, in an answer to this process or to another one. Gives whether it is news.
    pub fn named(&mut self, limit: Limit, at: Time, own: bool) -> bool {
        let before = self.limit();
        let throttle = self.throttle.get_or_insert(Throttle::new(limit, at));
        throttle.named(limit, at);
        if own {
            throttle.observed = Some(at);
        }
        before != self.limit()
    }

    /// The server itself told the weight version that it holds. An order that was carried out late
    /// may take it back to an older one.
    pub fn holds(&mut self, now: Time, version: u64) {
        self.told_version = Some(now);
        self.set_version(version);
    }

    /// The list told the version, which counts only where the server has not told it lately.
    pub(crate) fn listed_version(&mut self, now: Time, version: u64) {
        if self.told_version.is_none_or(|at| now.since(at) >= LIST_LAG) {
            self.set_version(version);
        }
    }

    fn set_version(&mut self, version: u64) {
        if version != self.version {
            self.version = version;
            self.held.clear();
        }
    }

    /// It reported of itself, so it is there.
    pub fn reported(&mut self, now: Time, report: Report) {
        self.report = Some((report, now));
        self.away_until = Time::ZERO;
        self.misdirected_until = Time::ZERO;
        if report.version > 0 {
            self.holds(now, report.version);
        }
        self.told(now, report.load);
    }

    /// Its last report, if it came after a time.
    pub fn report_since(&self, since: Time) -> Option<Report> {
        self.report.filter(|(_, at)| *at > since).map(|(report, _)| report)
    }

    /// Its last report, if it came lately.
    pub fn report(&self, now: Time) -> Option<Report> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_AGE).map(|(report, _)| report)
    }

    /// The server answered as it should.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.rejections = 0;
        self.away_until = Time::ZERO;
    }

    /// The server rejected a request unrun. It looks empty for that very reason, so it is left alone
    /// for a moment, longer each time.
    pub fn rejected(&mut self, now: Time) {
        let away = REJECTED * 2_u32.saturating_pow(self.rejections.min(8));
        self.rejections += 1;
        self.away_until = self.away_until.max(now + away.min(REJECTED_MOST));
    }

    /// Another server answers at its address, or it holds other weights than believed: only its own
    /// report, or a newer list, brings it back.
    pub fn misdirected(&mut self, now: Time) {
        self.misdirected_until = now + LIST_LAG;
    }

    /// Whether another server is taken to answer at its address.
    pub fn is_misdirected(&self, now: Time) -> bool {
        now < self.misdirected_until
    }

    /// The server could not be reached or broke off.
    pub fn failed(&mut self, now: Time) {
        let away = AWAY * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.away_until = now + away.min(AWAY_MOST);
    }
}
