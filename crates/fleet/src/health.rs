//! What one server takes from this process: said by the server, or seen from how it answers.
//!
//! Answers the pattern in which each reason to spare a server is kept apart, so that a call passes one check and
//! breaks another. All reasons end here, and belong to one life of the server.
//!
//! | said or seen | until | other processes |
//! |---|---|---|
//! | it leaves | the end of its life | spare it at once, send nothing once it drains |
//! | it wants to be left alone for a time | that time has passed | spare it while another server takes the request |
//! | it takes a limited rate | it names no limit any more | keep to the rate together |
//! | it failed, rejected, changes its weights, or another server answers at its address | a while, or an answer | see for themselves |

use base::prelude::*;

use crate::{Limit, Throttle};

/// First time for which a server is left alone after it failed.
const EJECTION: Duration = Duration::from_millis(500);
/// Longest such time; a server that crashed stays on the list for some seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// First time for which a server is left alone that rejected a request.
const REJECTION_EJECTION: Duration = Duration::from_millis(50);
/// Longest such time: a server that changes its weights is back after about half a second.
const MAX_REJECTION_EJECTION: Duration = Duration::from_millis(400);
/// Time by which the list may be older than a server's own word.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(3);
/// Time for which a server counts as changing its weights without another sign of it.
const CHANGING: Duration = Duration::from_secs(1);
/// Longest pause that is believed: a server that needs longer names it again at the next request.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Calls of this process's own to a server in one of its pauses: a report and an order to newer weights. The users' rule
/// allows two requests.
const MAX_BACKOFF_CALLS: u32 = 2;

/// What an answer says of the time for which its server wants no request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backoff {
    /// Nothing.
    #[default]
    None,
    /// For this long.
    For(Duration),
    /// Something that is no time.
    Invalid,
}

/// What an answer says of what its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Of the rate of calls.
    pub limit: crate::LimitNotice,
    /// Whether it leaves.
    pub leaving: bool,
    /// Of the time for which it wants none.
    pub backoff: Backoff,
}

/// Whether a server takes a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It does.
    Eligible,
    /// Only if no other server does.
    LastResort,
    /// It does not.
    Ineligible,
}

/// What one server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Its rate limit, if it named one.
    pub throttle: Option<Throttle>,
    /// Since when it is known to leave, and whether an answer to this process said so.
    leaving: Option<(Time, bool)>,
    /// End of the pause that it asked this process for, and this process's own calls since it did.
    backoff: (Time, u32),
    /// End of the pause that it asked another process for.
    peer_backoff: Time,
    /// Until when it is taken to be changing its weights.
    changing_until: Time,
    failures: u32,
    rejections: u32,
    ejected_until: Time,
    /// Until when another server is taken to answer at its address. Runs on connections of before may
    /// still end well, which says nothing of new ones.
    misdirected_until: Time,
}

impl Health {
    /// Whether it takes a request. One that leaves takes none once it has drained.
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

    /// When it takes requests again, as far as is known; one that leaves never does.
    pub fn eligible_at(&self) -> Time {
        let seen = self.ejected_until.max(self.misdirected_until).max(self.changing_until);
        seen.max(self.backoff.0)
    }

    /// Since when it is known to leave, and whether an answer to this process said so.
    pub fn leaving(&self) -> Option<(Time, bool)> {
        self.leaving
    }

    /// It was said at a time that it leaves, in an answer to this process or to another one. Gives whether it is news.
    pub fn mark_leaving(&mut self, at: Time, own: bool) -> bool {
        let before = self.leaving;
        let (since, known) = before.unwrap_or((at, own));
        self.leaving = Some((since.min(at), known || own));
        before.is_none()
    }

    /// End of the pause that it asked this process for, if it lasts.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.backoff.0).filter(|end| *end > now)
    }

    /// It asked this process to leave it alone. Gives whether it is news.
    pub fn start_backoff(&mut self, now: Time, time: Duration) -> bool {
        let until = now + time.min(MAX_BACKOFF);
        let news = self.backoff_until(now).is_none() && until > now;
        let calls = if news { 0 } else { self.backoff.1 };
        self.backoff = (self.backoff.0.max(until), calls);
        news
    }

    /// It asked another process to leave it alone for a time from now on.
    pub fn start_peer_backoff(&mut self, now: Time, time: Duration) {
        self.peer_backoff = self.peer_backoff.max(now + time.min(MAX_BACKOFF));
    }

    /// End of the pause that it asked another process for, if it lasts.
    pub fn peer_backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.peer_backoff).filter(|end| *end > now)
    }

    /// Whether this process may call it for itself; counts the call.
    pub fn allow_own_call(&mut self, now: Time) -> bool {
        if self.backoff_until(now).is_none() {
            return true;
        }
        self.backoff.1 += 1;
        self.backoff.1 <= MAX_BACKOFF_CALLS
    }

    /// Whether it is left alone since it failed or rejected a request.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether it is taken to be changing its weights.
    pub fn is_changing(&self, now: Time) -> bool {
        now < self.changing_until
    }

    /// Whether it is carrying out an order to other weights; it rejects new runs meanwhile.
    pub fn set_changing(&mut self, now: Time, changing: bool) {
        self.changing_until = if changing { now + CHANGING } else { Time::ZERO };
    }

    /// The limit that it named last.
    pub fn limit(&self) -> Option<Limit> {
        self.throttle.map(|throttle| throttle.limit)
    }

    /// Calls a second that it takes from all VMs, if it named a limit.
    pub fn effective_rate(&self) -> Option<f64> {
        self.throttle.map(|throttle| throttle.effective_rate())
    }

    /// A limit was named at a time, in an answer to this process or to another one. Gives whether it is news.
    pub fn apply_limit(&mut self, limit: Limit, at: Time, own: bool) -> bool {
        let before = self.limit();
        let throttle = self.throttle.get_or_insert(Throttle::new(limit, at));
        throttle.observe_limit(limit, at);
        if own {
            throttle.observed = Some(at);
        }
        before != self.limit()
    }

    /// It reported of itself, so it is there.
    pub fn record_report(&mut self) {
        self.ejected_until = Time::ZERO;
        self.misdirected_until = Time::ZERO;
    }

    /// It answered as it should.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.rejections = 0;
        self.ejected_until = Time::ZERO;
    }

    /// It rejected a request unrun. It looks empty for that very reason, so it is left alone
    /// for a moment, longer each time.
    pub fn record_rejection(&mut self, now: Time) {
        let ejection = REJECTION_EJECTION * 2_u32.saturating_pow(self.rejections.min(8));
        self.rejections += 1;
        self.ejected_until = self.ejected_until.max(now + ejection.min(MAX_REJECTION_EJECTION));
    }

    /// Another server answers at its address, or it holds other weights than believed: only its own
    /// report, or a newer list, brings it back.
    pub fn record_misdirection(&mut self, now: Time) {
        self.misdirected_until = now + LIST_LAG;
    }

    /// Whether another server is taken to answer at its address.
    pub fn is_misdirected(&self, now: Time) -> bool {
        now < self.misdirected_until
    }

    /// It could not be reached or broke off.
    pub fn record_failure(&mut self, now: Time) {
        let ejection = EJECTION * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }
}
