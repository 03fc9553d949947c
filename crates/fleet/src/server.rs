//! State of one server.

use std::net::SocketAddr;

use base::prelude::*;
use cache::SegmentCache;

use crate::Calls;
use crate::health::{Eligibility, Health, LIST_LAG};

/// Age at which a reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Age at which a reported work time is ignored.
const MAX_WORK_TIME_AGE: Duration = Duration::from_secs(1);
/// Bounds of the change of the work time that is believed: no figure makes a server free of cost or unusable.
const MIN_SLOWDOWN: f64 = -0.5;
const MAX_SLOWDOWN: f64 = 9.0;
/// Age at which a server is queried for another report before an order.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Fraction of the drain time for which a server that is listed as leaving takes requests that only its software version can
/// serve. The list reaches an entry up to a second late.
const LISTED_DRAIN_FRACTION: f64 = 0.5;
/// Minimum time between two report queries: reports are some hundred milliseconds old.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// An entry of the platform's server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Identity of this incarnation of the server.
    pub id: Name,
    /// Start of this incarnation in milliseconds since 1970, if the list names it: an identity may be reused.
    pub born: Option<u64>,
    /// Service.
    pub service: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// For how much longer it is slow after its start.
    pub cold: Duration,
    /// Models that it holds, with their weight versions.
    pub models: Vec<(Name, u64)>,
    /// Version of its software: what servers of two versions write of one stream does not fit together.
    pub software: Name,
}

impl Listed {
    /// Whether it holds a model.
    pub fn holds(&self, model: &Name) -> bool {
        self.models.iter().any(|(name, _)| name == model)
    }

    /// Its weight version; 0 if the list names none.
    pub fn version(&self) -> u64 {
        self.models.iter().map(|(_, version)| *version).max().unwrap_or(0)
    }
}

/// Load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Runs in the batch.
    pub running: u32,
    /// Waiting runs.
    pub waiting: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// How long work takes on its VM, percent of the usual time, if the server reports it.
    pub work_percent: Option<u16>,
}

/// Report of a server about itself, some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Weight version that it holds; 0 if it names none.
    pub version: u64,
    /// Load.
    pub load: Load,
    /// Orders that it has accepted in this incarnation.
    pub orders: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
}

/// Load on one server from other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherLoad {
    /// Runs in flight.
    pub in_flight: u32,
    /// Their prompt tokens still in prefill.
    pub prefill_tokens: u64,
    /// Memory that they need, in tokens.
    pub memory_tokens: u64,
}

/// How long work takes on a server's VM, with the time at which the server reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkTime {
    /// Percent of the usual time.
    pub percent: u16,
    /// When the response with it was received.
    pub at: Time,
}

impl WorkTime {
    /// Expected relative change of the time that work takes now: 0.5 if it takes half as long again. The figure changes
    /// many times a second, so it counts less the older it is.
    pub fn slowdown(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / MAX_WORK_TIME_AGE.as_secs_f64();
        let change = (f64::from(self.percent) / 100.0 - 1.0).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        change * (1.0 - age).max(0.0)
    }
}

/// A server with the state that this process tracks for it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its latest list entry.
    pub listed: Listed,
    /// Weight version that it holds, as last reported or listed.
    pub version: u64,
    /// Runs that this process has in flight there.
    pub in_flight: u32,
    /// Their prompt tokens still in prefill.
    pub prefill_tokens: u64,
    /// Memory that they need, in tokens.
    pub memory_tokens: u64,
    /// Prompt segments that it is estimated to hold.
    pub segment_cache: SegmentCache,
    /// Calls that this process made to it.
    pub calls: Calls,
    /// Whether it accepts requests from this process.
    pub health: Health,
    /// Its last reported load, the runs of this process there at that time, and that time.
    load: Option<(Load, u32, Time)>,
    /// How long work takes on its VM, as last reported to any entry.
    work_time: Option<WorkTime>,
    /// Load from other entries, and when it was received.
    other_load: Option<(OtherLoad, Time)>,
    next_poll: Time,
    version_reported_at: Option<Time>,
    /// Its last report, and when it was received.
    report: Option<(Report, Time)>,
    /// When its list entry changed to leaving.
    listed_leaving_since: Option<Time>,
}

impl Server {
    pub(crate) fn new(listed: Listed, health: Health) -> Self {
        Self {
            version: listed.version(),
            listed,
            in_flight: 0,
            prefill_tokens: 0,
            memory_tokens: 0,
            segment_cache: SegmentCache::default(),
            calls: Calls::default(),
            health,
            load: None,
            work_time: None,
            other_load: None,
            next_poll: Time::ZERO,
            version_reported_at: None,
            report: None,
            listed_leaving_since: None,
        }
    }

    /// Whether it may be chosen for a request now; `drain` is the time for which a leaving one still may.
    pub fn eligibility(&self, now: Time, drain: Duration) -> Eligibility {
        if self.listed.leaving {
            Eligibility::Ineligible
        } else {
            self.health.eligibility(now, drain)
        }
    }

    /// The same for a request that only servers of its software version can serve. As a last resort, that may be one that is
    /// ejected, or one that is listed as leaving, for a part of `drain` since it was first seen to leave. One that was leaving
    /// when it was first seen may have drained.
    pub fn bound_eligibility(&self, now: Time, drain: Duration) -> Eligibility {
        if !self.listed.leaving {
            return if self.health.is_only_ejected(now) {
                Eligibility::LastResort
            } else {
                self.health.eligibility(now, drain)
            };
        }
        let drain = drain.mul_f64(LISTED_DRAIN_FRACTION);
        let drains = self.listed_leaving_since.is_some_and(|since| now.since(since) < drain);
        if drains && self.health.eligibility(now, drain) != Eligibility::Ineligible {
            Eligibility::LastResort
        } else {
            Eligibility::Ineligible
        }
    }

    /// Sets its list entry. The start time stays known if the entry names none.
    pub(crate) fn set_listed(&mut self, now: Time, mut listed: Listed) {
        if listed.leaving && !self.listed.leaving {
            self.listed_leaving_since = Some(now);
        }
        listed.born = listed.born.or(self.listed.born);
        self.listed = listed;
    }

    /// Whether it accepts requests and is not leaving.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.is_leaving() && self.health.eligible_at() <= now
    }

    /// Whether it is listed as leaving or has announced it.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.health.leaving().is_some()
    }

    /// Whether it may be queried for a report now. If so, the next query is due after `MIN_POLL_INTERVAL`.
    pub fn try_poll(&mut self, now: Time) -> bool {
        let due = now >= self.next_poll;
        if due {
            self.next_poll = now + MIN_POLL_INTERVAL;
        }
        due
    }

    /// Whether it was queried for a report and has not sent one in time.
    pub fn is_silent(&self, now: Time) -> bool {
        self.next_poll > Time::ZERO && now >= self.next_poll && self.report(now).is_none()
    }

    /// Sets the load from other entries.
    pub fn set_other_load(&mut self, now: Time, other_load: OtherLoad) {
        self.other_load = Some((other_load, now));
    }

    fn recent_other_load(&self, now: Time) -> Option<OtherLoad> {
        let (other_load, at) = self.other_load?;
        (now.since(at) < MAX_LOAD_AGE).then_some(other_load)
    }

    /// Memory that all runs there need, in tokens, including the last known load from other entries.
    pub fn total_memory_tokens(&self, now: Time) -> u64 {
        self.memory_tokens
            + self.recent_other_load(now).map_or(0, |other_load| other_load.memory_tokens)
    }

    /// Prompt tokens still in prefill there, including the last known load from other entries.
    pub fn prefill_backlog(&self, now: Time) -> u64 {
        self.prefill_tokens
            + self.recent_other_load(now).map_or(0, |other_load| other_load.prefill_tokens)
    }

    /// Runs there, including the last known load from other entries or, without it, the load that the server reported.
    pub fn runs(&self, now: Time) -> u32 {
        if let Some(other_load) = self.recent_other_load(now) {
            return self.in_flight + other_load.in_flight;
        }
        let Some((load, own, at)) = self.load else {
            return self.in_flight;
        };
        if now.since(at) >= MAX_LOAD_AGE {
            return self.in_flight;
        }
        self.in_flight + (load.running + load.waiting).saturating_sub(own)
    }

    /// Sets the load that the server reported.
    pub fn set_load(&mut self, now: Time, load: Load) {
        self.load = Some((load, self.in_flight, now));
        if let Some(percent) = load.work_percent {
            self.observe_work_time(WorkTime { percent, at: now });
        }
    }

    /// Applies a work time that this or another entry received; an older one than the known one has no effect.
    pub fn observe_work_time(&mut self, observed: WorkTime) {
        if self.work_time.is_none_or(|known| known.at < observed.at) {
            self.work_time = Some(observed);
        }
    }

    /// The last known work time, if it still counts.
    pub fn work_time(&self, now: Time) -> Option<WorkTime> {
        self.work_time.filter(|known| now.since(known.at) < MAX_WORK_TIME_AGE)
    }

    /// Expected relative change of the time that work takes there; 0 if unknown.
    pub fn slowdown(&self, now: Time) -> f64 {
        self.work_time.map_or(0.0, |known| known.slowdown(now))
    }

    /// Sets the weight version that the server reported. It may be older than the previous one if an order was carried
    /// out late.
    pub fn set_reported_version(&mut self, now: Time, version: u64) {
        self.version_reported_at = Some(now);
        self.set_version(version);
    }

    /// Sets the version on the list, which counts only if the server has not reported one within `LIST_LAG`.
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

    /// Applies a report, which also shows that the server is at its address.
    pub fn apply_report(&mut self, now: Time, report: Report) {
        self.report = Some((report, now));
        self.health.record_report();
        if report.version > 0 {
            self.set_reported_version(now, report.version);
        }
        self.set_load(now, report.load);
    }

    /// Its last report, if received after `since`.
    pub fn report_since(&self, since: Time) -> Option<Report> {
        self.report.filter(|(_, at)| *at > since).map(|(report, _)| report)
    }

    /// Its last report, if still fresh.
    pub fn report(&self, now: Time) -> Option<Report> {
        self.report.filter(|(_, at)| now.since(*at) < MAX_REPORT_AGE).map(|(report, _)| report)
    }
}
