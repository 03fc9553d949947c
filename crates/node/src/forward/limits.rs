//! Rate limits of servers: observed by entries, advertised by the leader, enforced by all entries together.
//! Leaving, backoff and cold notices are advertised with them; a cold server counts as a rate-limited one.
//!
//! If every entry enforced a server's limit by itself, the server would get that rate from each of them.
//! Instead the leader among the keepers, whose lease excludes a second leader, issues permits from one token
//! bucket per server. An entry requests a permit when a rate-limited server is the best choice for a request,
//! and sends the request elsewhere when there is none. The leader's own calls use the same buckets.
//!
//! Without a leader, entries use time slots in the order of their index: each entry may send one call in its
//! slot, whose length is the interval between two calls at the server's limit.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use fleet::{Key, Limit, LimitNotice, Server};
use limit::{Bucket, RetrySchedule};
use wire::Frame;
use wire::limit::{Limits as Advertised, Notice, Observed, ServerIncarnation};

use super::{Context, Forward, notices};
use crate::decision::{self, Decision};
use crate::{Effect, Effects};

/// Minimum time between two reports of an entry that a limit is unchanged.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between advertisements of all limits in force.
const ADVERTISE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the leader keeps advertising after the last limit is lifted, in case a frame is lost.
const ADVERTISE_CLEARED: Duration = Duration::from_secs(3);
/// Maximum time between the request for a report and its response.
const MAX_REPORT_TIME: Duration = Duration::from_secs(1);
/// Fraction of a server's rate limit that reads of its inventory may use.
const READ_FRACTION: f64 = 0.1;

/// The leader that issues permits.
#[derive(Clone, Debug)]
pub(super) struct Issuer {
    pub name: Name,
    pub term: u64,
    /// When it first failed to answer, if it has not answered since then.
    pub silent_since: Option<Time>,
}

/// The issuer of permits as an entry sees it, and the buckets of the leader.
#[derive(Debug, Default)]
pub(super) struct Limits {
    pub(super) issuer: Option<Issuer>,
    /// When the leader became unreachable, if none is reachable now.
    pub(super) leaderless_since: Option<Time>,
    /// When the last advertisement was sent or received: all entries count the time slots of cold servers from the same
    /// one, so that slots don't overlap.
    pub(super) anchor: Option<Time>,
    /// Pending permit requests: the end of the wait, the exchange and the number.
    pub(super) waiting: VecDeque<(Time, u64, u64)>,
    pub(super) next_observed: Time,
    /// As the leader: the buckets of rate-limited servers.
    buckets: HashMap<Key, Bucket>,
    pub(super) retry_schedules: HashMap<Name, RetrySchedule>,
    /// Term of the last advertisement.
    term: u64,
    /// As the leader: whether notices have changed since the last advertisement.
    pub(super) changed: bool,
    next_advertised: Time,
    advertise_until: Time,
}

impl Limits {
    /// The issuer, if it is reachable.
    pub fn reachable(&self) -> Option<&Issuer> {
        self.issuer.as_ref().filter(|issuer| issuer.silent_since.is_none())
    }

    /// As the leader: whether to read the inventory of a server whose last read began at `began`. The inventory
    /// of a rate-limited server is read after a minimum interval, and with a permit.
    pub fn may_read(&mut self, now: Time, began: Time, key: Key, server: &Server) -> bool {
        if server.health.backoff_until(now).is_some() {
            return false;
        }
        let Some(rate) = server.health.own_call_rate(now) else {
            return true;
        };
        let min_interval = limit::permit_interval(rate).div_f64(READ_FRACTION);
        now.since(began) >= min_interval && self.bucket(now, key).take(now, rate).is_ok()
    }

    pub fn bucket(&mut self, now: Time, key: Key) -> &mut Bucket {
        self.buckets.entry(key).or_insert_with(|| Bucket::new(now))
    }
}

impl Forward {
    /// Applies the rate limit notice in the response to a request of this entry.
    pub(super) fn limit_from_response(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        (request, sent): (&Name, Time),
        notice: LimitNotice,
        out: &mut Effects,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let leader = self.limits.reachable().filter(|_| cx.term.is_none());
        let leader = leader.map(|issuer| issuer.name.clone());
        let from = || decision::Source::Answer(request.clone());
        let observed = match notice {
            LimitNotice::Invalid => {
                let server = server.listed.id.clone();
                out.push(Effect::Decision(Box::new(Decision::LimitUnreadable { server })));
                return;
            }
            LimitNotice::Rate(limit) => {
                let observed_at =
                    server.health.rate_limit.and_then(|rate_limit| rate_limit.observed);
                let recent = observed_at.is_some_and(|at| cx.now.since(at) < REPEAT_INTERVAL);
                let same = server.health.limit() == Some(limit);
                if server.health.apply_limit(limit, cx.now, true) {
                    self.limits.changed = true;
                    out.push(limit_changed(server, from(), Duration::ZERO));
                }
                if same && recent {
                    return;
                }
                Observed { server: incarnation(server), notice: Notice::Limit(limit.0), ago_us: 0 }
            }
            LimitNotice::None => {
                let Some(rate_limit) = &mut server.health.rate_limit else {
                    return;
                };
                if leader.is_none() {
                    if rate_limit.observe_no_limit(sent) {
                        server.health.rate_limit = None;
                        self.limits.changed = true;
                        out.push(limit_changed(server, from(), Duration::ZERO));
                    }
                    return;
                }
                let ago_us = cx.now.since(sent).as_micros() as u64;
                Observed { server: incarnation(server), notice: Notice::Unlimited, ago_us }
            }
        };
        if let Some(to) = leader {
            out.push(Effect::Send { to, frame: Frame::LimitsObserved(vec![observed]) });
        }
    }

    /// Applies the rate limit notice in a server's report.
    pub(super) fn limit_from_report(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        notice: LimitNotice,
        out: &mut Effects,
    ) {
        self.server_reachable(cx, key, cx.now - MAX_REPORT_TIME, out);
        let rate_limit =
            self.servers.get_mut(key).and_then(|server| server.health.rate_limit.as_mut());
        let reported = rate_limit.is_some_and(|rate_limit| rate_limit.reported);
        if notice == LimitNotice::None && !reported {
            return;
        }
        let sent = cx.now - MAX_REPORT_TIME;
        self.limit_from_response(cx, key, (&Name::default(), sent), notice, out);
        let rate_limit =
            self.servers.get_mut(key).and_then(|server| server.health.rate_limit.as_mut());
        if let Some(rate_limit) = rate_limit {
            rate_limit.reported = true;
        }
    }

    /// As the leader: applies the notices that an entry observed.
    pub fn limits_observed(
        &mut self,
        cx: &Context<'_>,
        from: &Name,
        observed: &[Observed],
        out: &mut Effects,
    ) {
        for observed in observed {
            let key = self.servers.incarnation_key(&observed.server.id, observed.server.born);
            let found = key.and_then(|key| Some((key, self.servers.get_mut(key)?)));
            let Some((key, server)) = found else {
                continue;
            };
            let at = cx.now - Duration::from_micros(observed.ago_us);
            let changed_limit = match (observed.notice, &mut server.health.rate_limit) {
                (Notice::Limit(limit), _) => server.health.apply_limit(Limit(limit), at, false),
                (Notice::Unlimited, Some(rate_limit)) => {
                    rate_limit.observe_no_limit(at) && server.health.rate_limit.take().is_some()
                }
                (Notice::Unlimited, None) => false,
                (notice, _) => {
                    let from = (from, cx.now.since(at));
                    self.limits.changed |= self.apply_wire_notice(cx, key, notice, from, out);
                    continue;
                }
            };
            if changed_limit {
                self.limits.changed = true;
                out.push(limit_changed(
                    server,
                    decision::Source::Process(from.clone()),
                    cx.now.since(at),
                ));
            }
        }
    }

    /// As the leader: the limits in force, if an advertisement is due.
    pub fn take_limits(&mut self, cx: &Context<'_>) -> Option<Advertised> {
        let Some(term) = cx.term else {
            self.limits.term = 0;
            self.limits.buckets.clear();
            return None;
        };
        let limits = &mut self.limits;
        let new_term = limits.term != term;
        if new_term {
            // Permits of the previous leader may still be in use, so every bucket starts empty.
            limits.buckets.clear();
        }
        let due = cx.now >= limits.next_advertised && cx.now < limits.advertise_until;
        if !new_term && !limits.changed && !due {
            return None;
        }
        (limits.term, limits.changed) = (term, false);
        limits.anchor = Some(cx.now);
        limits.next_advertised = cx.now + ADVERTISE_INTERVAL;
        let servers = &self.servers;
        limits.buckets.retain(|key, _| {
            servers.get(*key).is_some_and(|found| found.health.effective_rate(cx.now).is_some())
        });
        let advertised = self.limits_in_force(cx.now, term);
        // A bucket fills from when its limit is known, not from the first permit request.
        for (key, server) in self.servers.iter() {
            if server.health.effective_rate(cx.now).is_some() {
                self.limits.bucket(cx.now, key);
            }
        }
        if !advertised.notices.is_empty() {
            self.limits.advertise_until = cx.now + ADVERTISE_CLEARED;
        }
        Some(advertised)
    }

    /// As the leader: the limits in force, for an entry that has connected.
    pub fn limits_in_force(&self, now: Time, term: u64) -> Advertised {
        let limit = |server: &Server| {
            let rate_limit = server.health.rate_limit?;
            let ago_us = now.since(rate_limit.last_named).as_micros() as u64;
            Some(Observed {
                server: incarnation(server),
                notice: Notice::Limit(rate_limit.limit.0),
                ago_us,
            })
        };
        let in_force =
            |server| limit(server).into_iter().chain(notices::active_notices(server, now, true));
        let notices = self.servers.iter().flat_map(|(_, server)| in_force(server)).collect();
        Advertised { term, notices }
    }

    /// Applies the limits in force that the leader advertised.
    pub fn limits_advertised(
        &mut self,
        cx: &Context<'_>,
        from: &Name,
        advertised: &Advertised,
        out: &mut Effects,
    ) {
        if self.limits.issuer.as_ref().is_some_and(|issuer| advertised.term < issuer.term) {
            return;
        }
        self.limits.anchor = Some(cx.now);
        let reachable = self.limits.reachable().is_some_and(|issuer| issuer.name == *from);
        self.limits.issuer =
            Some(Issuer { name: from.clone(), term: advertised.term, silent_since: None });
        self.limits.leaderless_since = None;
        if cx.term.is_some() {
            return;
        }
        if !reachable {
            self.advertise_observed(cx.now, out);
        }
        self.follow_unreachable(cx, advertised, out);
        let mut named: Vec<Key> = Vec::new();
        for observed in &advertised.notices {
            let Some(key) = self.servers.incarnation_key(&observed.server.id, observed.server.born)
            else {
                continue;
            };
            let age = Duration::from_micros(observed.ago_us);
            let Notice::Limit(limit) = observed.notice else {
                self.apply_wire_notice(cx, key, observed.notice, (from, age), out);
                continue;
            };
            named.push(key);
            if let Some(server) = self.servers.get_mut(key)
                && server.health.apply_limit(Limit(limit), cx.now - age, false)
            {
                out.push(limit_changed(server, decision::Source::Process(from.clone()), age));
            }
        }
        for (key, server) in self.servers.iter_mut() {
            if !named.contains(&key)
                && server.health.rate_limit.is_some_and(|rate_limit| rate_limit.is_stale(cx.now))
            {
                server.health.rate_limit = None;
                out.push(limit_changed(
                    server,
                    decision::Source::Process(from.clone()),
                    Duration::ZERO,
                ));
            }
        }
    }

    /// Reports all observations of this entry to a leader that is new or may have missed some.
    pub(super) fn advertise_observed(&mut self, now: Time, out: &mut Effects) {
        self.limits.next_observed = now + ADVERTISE_INTERVAL;
        let Some(issuer) = &self.limits.issuer else {
            return;
        };
        let observation = |server: &Server| {
            let rate_limit = server.health.rate_limit?;
            let ago_us = now.since(rate_limit.observed?).as_micros() as u64;
            Some(Observed {
                server: incarnation(server),
                notice: Notice::Limit(rate_limit.limit.0),
                ago_us,
            })
        };
        let observed = |server| {
            observation(server).into_iter().chain(notices::active_notices(server, now, false))
        };
        let observed: Vec<Observed> =
            self.servers.iter().flat_map(|(_, server)| observed(server)).collect();
        if !observed.is_empty() {
            let to = issuer.name.clone();
            out.push(Effect::Send { to, frame: Frame::LimitsObserved(observed) });
        }
    }
}

pub(super) fn incarnation(server: &Server) -> ServerIncarnation {
    ServerIncarnation { id: server.listed.id.clone(), born: server.listed.born }
}

fn limit_changed(server: &Server, from: decision::Source, age: Duration) -> Effect {
    let (limit, calls) = (server.health.limit(), server.calls);
    let server = server.listed.id.clone();
    Effect::Decision(Box::new(Decision::Limited { server, limit, from, age, calls }))
}
