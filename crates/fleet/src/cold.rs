//! Whether a server is cold: it then accepts only the cold rate of its service, from all VMs together.
//!
//! | source | until |
//! |---|---|
//! | list, response, another process | the reported time has passed |
//! | unreachable | a list read [`LIST_LAG`] or more after the first response shows no cold time |
//!
//! A server that was unreachable may return cold, and the list reports that only seconds later. Nothing applies to
//! servers of a service without a cold rate.

use base::prelude::*;

use crate::Limit;
use crate::health::LIST_LAG;

/// Extension of a known cold time that is worth a message to other processes.
const MIN_EXTENSION: Duration = Duration::from_millis(500);
/// Minimum time between two reports to the leader about an unreachable server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a failure after which a server that was unreachable is worth a request at any cost: only a response
/// shows that it has returned.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Rate of requests to an unreachable server until one gets a response, from all VMs together: each of them waits for a
/// connection in vain.
const PROBES_PER_SECOND: f64 = 2.0;
/// Time for which this process's own failure takes precedence over the leader's advertisement, which may be older.
const OWN_FAILURE_TTL: Duration = Duration::from_secs(1);

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdSource {
    /// The list.
    #[default]
    List,
    /// A response to this process.
    Response,
    /// Another process.
    Process,
    /// It was unreachable and has not been shown to be warm since.
    Unreachable,
}

impl ColdSource {
    /// The text in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Response => "response",
            Self::Process => "process",
            Self::Unreachable => "unreachable",
        }
    }
}

/// A failure to reach a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable {
    /// The last failure.
    pub failed_at: Time,
    /// The first response to a request sent after it.
    pub responded_at: Option<Time>,
    /// Whether this process failed to reach it.
    pub own: bool,
    /// Whether the leader has advertised it.
    advertised: bool,
    /// When this process last reported it to the leader.
    reported_at: Option<Time>,
}

/// What is known about the cold time of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cold {
    rate: Option<Limit>,
    until: Time,
    source: ColdSource,
    unreachable: Option<Unreachable>,
    /// Whether it was cold when [`Cold::take_change`] was last called.
    last_recorded: bool,
}

impl Cold {
    /// Sets the cold rate of its service.
    pub fn set_rate(&mut self, rate: Option<Limit>) {
        self.rate = rate;
        if rate.is_none() {
            self.unreachable = None;
        }
    }

    /// Why it counts as cold now, if it does.
    pub fn source(&self, now: Time) -> Option<ColdSource> {
        self.rate?;
        if self.until > now {
            return Some(self.source);
        }
        self.unreachable.map(|_| ColdSource::Unreachable)
    }

    /// The rate that applies now, if it counts as cold.
    pub fn rate(&self, now: Time) -> Option<Limit> {
        self.source(now).and(self.permit_rate())
    }

    /// The rate at which permits are issued, also if it is not known to be cold: that of the service, or the rate of
    /// probes while it is unreachable.
    pub fn permit_rate(&self) -> Option<Limit> {
        let rate = self.rate?;
        let probes = Limit::new(PROBES_PER_SECOND).filter(|_| self.is_unreachable());
        Some(probes.map_or(rate, |probes| probes.min(rate)))
    }

    /// The rate of its service, if it counts as cold: without a leader, no process knows of the probes of others.
    pub fn slot_rate(&self, now: Time) -> Option<Limit> {
        self.source(now).and(self.rate)
    }

    /// Whether it could not be reached and no request has got a response since.
    pub fn is_unreachable(&self) -> bool {
        self.rate.is_some() && self.unreachable.is_some_and(|found| found.responded_at.is_none())
    }

    /// For how much longer it was reported to be cold.
    pub fn reported_left(&self, now: Time) -> Option<Duration> {
        self.rate?;
        (self.until > now).then(|| self.until.since(now))
    }

    /// The failure to reach it, if it has not been shown to be warm since.
    pub fn unreachable(&self) -> Option<Unreachable> {
        self.unreachable
    }

    /// Applies its entry in a list read at `now`.
    pub fn apply_list(&mut self, now: Time, left: Duration) {
        if !left.is_zero() {
            self.extend(now, left, ColdSource::List);
        } else if self
            .unreachable
            .and_then(|found| found.responded_at)
            .is_some_and(|responded_at| now.since(responded_at) >= LIST_LAG)
        {
            self.unreachable = None;
        }
    }

    /// Applies a cold time from another source than the list. Returns whether other processes should learn of it.
    pub fn extend(&mut self, now: Time, left: Duration, source: ColdSource) -> bool {
        let until = now + left;
        if until <= self.until {
            return false;
        }
        let news = self.rate.is_some() && until > self.until.max(now) + MIN_EXTENSION;
        (self.until, self.source) = (until, source);
        news
    }

    /// Records that this process could not reach it. Returns whether to report that to the leader.
    pub fn record_failure(&mut self, now: Time) -> bool {
        if self.rate.is_none() {
            return false;
        }
        let known = self.unreachable;
        self.fail(now);
        let Some(found) = &mut self.unreachable else {
            return false;
        };
        found.own = true;
        // A failure that the leader has advertised lately needs no further report, except that it has to learn of one
        // after a response.
        let is_known = known.is_some_and(|known| {
            known.advertised
                && known.responded_at.is_none()
                && now.since(known.failed_at) < REPORT_INTERVAL
        });
        !is_known && Self::may_report(found, now)
    }

    /// Records that another process could not reach it at `at`. Returns whether this is news.
    pub fn record_peer_failure(&mut self, at: Time, from_leader: bool) -> bool {
        if self.rate.is_none() {
            return false;
        }
        let is_new = self.unreachable.is_none();
        self.fail(at);
        if let Some(found) = &mut self.unreachable {
            found.advertised |= from_leader;
        }
        is_new
    }

    fn fail(&mut self, at: Time) {
        let found = self.unreachable.get_or_insert(Unreachable {
            failed_at: at,
            responded_at: None,
            own: false,
            advertised: false,
            reported_at: None,
        });
        found.failed_at = found.failed_at.max(at);
        found.responded_at = found.responded_at.filter(|responded_at| *responded_at > at);
    }

    /// Records a response at `now` to a request sent at `sent`. Returns whether to report that to the leader.
    pub fn record_response(&mut self, now: Time, sent: Time) -> bool {
        let Some(found) = self.unreachable.as_mut().filter(|found| sent > found.failed_at) else {
            return false;
        };
        let is_first = found.responded_at.is_none();
        found.responded_at.get_or_insert(now);
        if is_first {
            found.reported_at = None;
        }
        Self::may_report(found, now)
    }

    /// Records that another process had a response at `at`.
    pub fn record_peer_response(&mut self, at: Time) {
        if let Some(found) = self.unreachable.as_mut().filter(|found| at > found.failed_at) {
            found.responded_at.get_or_insert(at);
        }
    }

    fn may_report(found: &mut Unreachable, now: Time) -> bool {
        let due = found.reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if due {
            found.reported_at = Some(now);
        }
        due
    }

    /// Applies that the leader's advertisement does not name it as unreachable: it has been shown to be warm, unless
    /// the leader has missed the failure. Returns whether to report the failure again.
    pub fn unnamed_by_leader(&mut self, now: Time) -> bool {
        let Some(found) = &mut self.unreachable else {
            return false;
        };
        if !found.own || (found.advertised && now.since(found.failed_at) >= OWN_FAILURE_TTL) {
            self.unreachable = None;
            return false;
        }
        Self::may_report(found, now)
    }

    /// Whether it is worth a request at any cost, to learn whether it has returned.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.unreachable.is_some_and(|found| {
            found.responded_at.is_none() && now.since(found.failed_at) >= PROBE_INTERVAL
        })
    }

    /// Whether it has become cold, or is no longer, since the last call.
    pub fn take_change(&mut self, now: Time) -> bool {
        let is_cold = self.source(now).is_some();
        is_cold != std::mem::replace(&mut self.last_recorded, is_cold)
    }
}
