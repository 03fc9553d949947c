//! Whether one server accepts requests from this process, from its own notices and from observed responses.
//!
//! All reasons to avoid a server are kept here, so that a check that consults one of them can't miss another. They
//! apply to one incarnation of the server.
//!
//! | reason | ends | other processes |
//! |---|---|---|
//! | leaving | with the incarnation | use it as a last resort, and not at all once it has drained |
//! | backoff (Retry-After) | when the requested time has passed | use it as a last resort |
//! | rate limit | when responses name no limit any more | share the rate |
//! | cold | see [`Cold`] | share the rate |
//! | failure, rejection, weight change, or another server at its address | after a time-out or a response | decide for themselves |

use base::prelude::*;

use crate::{Cold, Limit, RateLimit};

/// Ejection after the first failure; doubles with each further failure in a row.
const EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection after failures: a crashed server stays on the list for some seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Ejection after the first rejected request; doubles with each further rejection in a row.
const REJECTION_EJECTION: Duration = Duration::from_millis(50);
/// Longest ejection after rejections: a server that changes its weights is back after about half a second.
const MAX_REJECTION_EJECTION: Duration = Duration::from_millis(400);
/// Maximum delay of the list behind the reports of the servers themselves.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(3);
/// Time for which a server counts as changing its weights after the last sign of it.
const CHANGING_EXPIRY: Duration = Duration::from_secs(1);
/// Longest accepted backoff: a server that needs a longer one can request it again with its next response.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Fraction of the cold rate that is used in time slots without a leader: entries that still reach a leader use its
/// permits at the same time.
const COLD_SLOT_FRACTION: f64 = 0.5;
/// Calls that this process makes for itself to a server during a backoff: a report and a weight version order. The
/// users' rule allows two requests.
const MAX_BACKOFF_CALLS: u32 = 2;

/// Backoff that a response requests (Retry-After).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backoff {
    /// None requested.
    #[default]
    None,
    /// Send no requests for this long.
    For(Duration),
    /// The value is not a time.
    Invalid,
}

/// What a response says about the requests that its server accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Rate limit.
    pub limit: crate::LimitNotice,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Requested backoff.
    pub backoff: Backoff,
    /// For how much longer the server is cold, if the response says so.
    pub cold: Option<Duration>,
}

/// Whether a server may be chosen for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Yes.
    Eligible,
    /// Only if no eligible server is left.
    LastResort,
    /// No.
    Ineligible,
}

/// Rate limit, cold time, leaving, backoff, ejection and weight change of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Rate limit in force, if any.
    pub rate_limit: Option<RateLimit>,
    /// Whether it is cold, which limits its rate too.
    pub cold: Cold,
    /// Until when the leader grants no permit.
    pub denied_until: Time,
    /// Number of the last time slot used while there was no leader.
    pub slot: Option<u64>,
    /// Since when it is leaving, and whether a response to this process said so.
    leaving: Option<(Time, bool)>,
    /// End of the backoff requested from this process, and the calls that this process made for itself meanwhile.
    backoff: (Time, u32),
    /// End of the backoff requested from another process.
    peer_backoff: Time,
    /// Until when it counts as changing its weights.
    changing_until: Time,
    failures: u32,
    rejections: u32,
    ejected_until: Time,
    /// Until when another server is assumed to answer at its address. Requests on earlier connections may still
    /// succeed, so a success does not clear it.
    misdirected_until: Time,
}

impl Health {
    /// Whether it may be chosen for a request. A leaving server is ineligible after `drain`.
    pub fn eligibility(&self, now: Time, drain: Duration) -> Eligibility {
        let drained = self.leaving.is_some_and(|(since, _)| now.since(since) >= drain);
        if drained || self.eligible_at() > now {
            Eligibility::Ineligible
        } else if self.leaving.is_some() || self.peer_backoff_until(now).is_some() {
            Eligibility::LastResort
        } else {
            Eligibility::Eligible
        }
    }

    /// Whether it is ineligible only since requests to it have failed or were rejected, which may have been about those requests.
    pub fn is_only_ejected(&self, now: Time) -> bool {
        self.is_ejected(now) && self.unavailable_until() <= now && self.leaving.is_none()
    }

    /// When every temporary reason against it has ended. Leaving is not included: it never ends.
    pub fn eligible_at(&self) -> Time {
        self.ejected_until.max(self.unavailable_until())
    }

    /// When every temporary reason but an ejection has ended.
    fn unavailable_until(&self) -> Time {
        self.misdirected_until.max(self.changing_until).max(self.backoff.0)
    }

    /// Since when it is leaving, and whether a response to this process said so.
    pub fn leaving(&self) -> Option<(Time, bool)> {
        self.leaving
    }

    /// Records that a response at `at` announced that it is leaving; `own` if this process received it. Returns whether
    /// this was unknown.
    pub fn mark_leaving(&mut self, at: Time, own: bool) -> bool {
        let before = self.leaving;
        let (since, announced) = before.unwrap_or((at, own));
        self.leaving = Some((since.min(at), announced || own));
        before.is_none()
    }

    /// End of the backoff requested from this process, if in force.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.backoff.0).filter(|end| *end > now)
    }

    /// Starts a backoff requested from this process. Returns whether none was in force.
    pub fn start_backoff(&mut self, now: Time, time: Duration) -> bool {
        let until = now + time.min(MAX_BACKOFF);
        let started = self.backoff_until(now).is_none() && until > now;
        let calls = if started { 0 } else { self.backoff.1 };
        self.backoff = (self.backoff.0.max(until), calls);
        started
    }

    /// Starts a backoff requested from another process.
    pub fn start_peer_backoff(&mut self, now: Time, time: Duration) {
        self.peer_backoff = self.peer_backoff.max(now + time.min(MAX_BACKOFF));
    }

    /// End of the backoff requested from another process, if in force.
    pub fn peer_backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.peer_backoff).filter(|end| *end > now)
    }

    /// Whether this process may make a call for itself; counts the call during a backoff.
    pub fn allow_own_call(&mut self, now: Time) -> bool {
        if self.backoff_until(now).is_none() {
            return true;
        }
        self.backoff.1 += 1;
        self.backoff.1 <= MAX_BACKOFF_CALLS
    }

    /// Whether it is ejected after failures or rejections.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether it counts as changing its weights.
    pub fn is_changing(&self, now: Time) -> bool {
        now < self.changing_until
    }

    /// Sets whether it is carrying out a weight version order; it rejects new runs meanwhile.
    pub fn set_changing(&mut self, now: Time, changing: bool) {
        self.changing_until = if changing { now + CHANGING_EXPIRY } else { Time::ZERO };
    }

    /// The last rate limit that it named.
    pub fn limit(&self) -> Option<Limit> {
        self.rate_limit.map(|rate_limit| rate_limit.limit)
    }

    /// The limit in force: the lower of the one that it named and, while it is cold, the cold rate of its service.
    pub fn limit_in_force(&self, now: Time) -> Option<Limit> {
        self.limit().into_iter().chain(self.cold.rate(now)).min()
    }

    /// Calls per second to send from all VMs together, if its rate is limited.
    pub fn effective_rate(&self, now: Time) -> Option<f64> {
        self.lower_rate(self.cold.rate(now))
    }

    /// Calls per second at which permits are issued, if any are counted. A server of a service with a cold rate counts
    /// as cold, since the process that requests the permit may know more.
    pub fn permit_rate(&self) -> Option<f64> {
        self.lower_rate(self.cold.permit_rate())
    }

    /// Calls per second that the process may make for itself, such as reports and reads, if they need permits: a server
    /// that is only cold bounds requests alone.
    pub fn own_call_rate(&self, now: Time) -> Option<f64> {
        self.rate_limit.and(self.effective_rate(now))
    }

    fn lower_rate(&self, cold: Option<Limit>) -> Option<f64> {
        let named = self.rate_limit.map(|rate_limit| rate_limit.effective_rate());
        let cold = cold.map(Limit::per_second);
        named.into_iter().chain(cold).reduce(f64::min)
    }

    /// Time slots per second while there is no leader, if its rate is limited.
    pub fn slot_rate(&self, now: Time) -> Option<f64> {
        let named = self.limit().map(Limit::per_second);
        let cold = self.cold.slot_rate(now).map(|rate| rate.per_second() * COLD_SLOT_FRACTION);
        named.into_iter().chain(cold).reduce(f64::min)
    }

    /// When the limit in force was last confirmed; the current time for a cold one.
    pub fn confirmed_at(&self, now: Time) -> Time {
        self.rate_limit.map_or(now, |rate_limit| rate_limit.last_named)
    }

    /// Records a limit that a response named at `at`; `own` if this process received it. Returns whether the limit
    /// changed.
    pub fn apply_limit(&mut self, limit: Limit, at: Time, own: bool) -> bool {
        let before = self.limit();
        let rate_limit = self.rate_limit.get_or_insert(RateLimit::new(limit, at));
        rate_limit.observe_limit(limit, at);
        if own {
            rate_limit.observed = Some(at);
        }
        before != self.limit()
    }

    /// Records a report: the server is at its address, so ejection and misdirection end.
    pub fn record_report(&mut self) {
        self.ejected_until = Time::ZERO;
        self.misdirected_until = Time::ZERO;
    }

    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.rejections = 0;
        self.ejected_until = Time::ZERO;
    }

    /// Records a request that was rejected before it ran. A rejecting server looks idle and would attract more
    /// requests, so it is ejected for a time that doubles.
    pub fn record_rejection(&mut self, now: Time) {
        let ejection = REJECTION_EJECTION * 2_u32.saturating_pow(self.rejections.min(8));
        self.rejections += 1;
        self.ejected_until = self.ejected_until.max(now + ejection.min(MAX_REJECTION_EJECTION));
    }

    /// Records that another server answered at its address, or that it holds another weight version than expected.
    /// It stays ineligible until its own report, or until the list must be newer.
    pub fn record_misdirection(&mut self, now: Time) {
        self.misdirected_until = now + LIST_LAG;
    }

    /// Whether another server is assumed to answer at its address.
    pub fn is_misdirected(&self, now: Time) -> bool {
        now < self.misdirected_until
    }

    /// Records a failed connection or an aborted response.
    pub fn record_failure(&mut self, now: Time) {
        let ejection = EJECTION * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }
}
