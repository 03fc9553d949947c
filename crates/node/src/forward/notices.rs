//! Leaving, backoff and cold notices of servers, in the responses to requests, reports and orders.
//!
//! The list of servers shows such a state seconds later or never, and without an exchange each entry would
//! send requests until it received a notice itself. Notices in responses to this process apply to it directly,
//! independently of other processes. They are also reported to the leader among the keepers, which advertises
//! them, so that other entries avoid the server before they have sent it a request.

use base::prelude::*;
use fleet::{Backoff, ColdSource, Key, Notice, Server};
use rand::Rng;
use wire::Frame;
use wire::limit::{self, Observed, ServerIncarnation};

use super::limits::incarnation;
use super::{Context, Forward};
use crate::decision::{Decision, Source};
use crate::{Effect, Effects};

/// Jitter of the Retry-After of callers who wait for the end of a backoff.
const JITTER: Duration = Duration::from_millis(500);

impl Forward {
    /// Applies the notices and the rate limit in the response to a request of this entry.
    pub(super) fn notice_from_response(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        (request, sent): (&Name, Time),
        notice: Notice,
        out: &mut Effects,
    ) {
        self.apply_notice(cx, key, request, notice, out);
        let key = self.servers.current_key(key);
        self.limit_from_response(cx, key, (request, sent), notice.limit, out);
    }

    /// Applies the notices in the response to a call of this process's own.
    pub(super) fn notice_from_call(
        &mut self,
        cx: &Context<'_>,
        id: &Name,
        notice: Notice,
        out: &mut Effects,
    ) {
        if let Some(key) = self.servers.last_key(id) {
            self.apply_notice(cx, key, &Name::default(), notice, out);
        }
    }

    /// Applies a leaving, backoff or cold notice that this process received from the server, and reports it to the
    /// leader.
    pub(super) fn apply_notice(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        request: &Name,
        notice: Notice,
        out: &mut Effects,
    ) {
        let Some((listed, health)) = self.servers.health_mut(key) else {
            return;
        };
        let (id, born) = (listed.id.clone(), listed.born);
        let mut notices = Vec::new();
        if notice.leaving {
            let before = health.leaving();
            if health.mark_leaving(cx.now, true) {
                let note = Decision::ServerLeaving {
                    server: id.clone(),
                    from: Source::Answer(request.clone()),
                    age: Duration::ZERO,
                };
                out.push(Effect::Decision(Box::new(note)));
            }
            if before.is_none_or(|(_, own)| !own) {
                notices.push(limit::Notice::Leaving);
            }
        }
        match notice.backoff {
            Backoff::None => {}
            Backoff::Invalid => {
                out.push(Effect::Decision(Box::new(Decision::BackoffUnreadable {
                    server: id.clone(),
                })));
            }
            Backoff::For(requested) => {
                let is_new = health.start_backoff(cx.now, requested);
                let time =
                    health.backoff_until(cx.now).map_or(Duration::ZERO, |end| end.since(cx.now));
                if is_new {
                    out.push(Effect::Decision(Box::new(Decision::BackoffRequested {
                        server: id.clone(),
                        request: request.clone(),
                        asked: requested,
                        time,
                    })));
                    notices.push(limit::Notice::Backoff(time.as_micros() as u64));
                }
            }
        }
        if let Some(left) = notice.cold
            && health.cold.extend(cx.now, left, ColdSource::Response)
        {
            notices.push(limit::Notice::Cold(left.as_millis() as u32));
        }
        let server = ServerIncarnation { id, born };
        let observed: Vec<Observed> = notices
            .into_iter()
            .map(|notice| Observed { server: server.clone(), notice, ago_us: 0 })
            .collect();
        if observed.is_empty() {
            return;
        }
        if cx.term.is_some() {
            self.limits.changed = true;
        } else if let Some(issuer) = self.limits.reachable() {
            let to = issuer.name.clone();
            out.push(Effect::Send { to, frame: Frame::LimitsObserved(observed) });
        }
    }

    /// Applies a leaving, backoff or cold notice that another process observed or the leader advertised. Returns
    /// whether it is new.
    pub(super) fn apply_wire_notice(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        notice: limit::Notice,
        (from, age): (&Name, Duration),
        out: &mut Effects,
    ) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        match notice {
            limit::Notice::Limit(_) | limit::Notice::Unlimited => false,
            limit::Notice::Cold(left_ms) => {
                let left = Duration::from_millis(u64::from(left_ms)).saturating_sub(age);
                server.health.cold.extend(cx.now, left, ColdSource::Process)
            }
            limit::Notice::Unreachable => {
                server.health.cold.record_peer_failure(cx.now - age, cx.term.is_none())
            }
            limit::Notice::Reachable => {
                server.health.cold.record_peer_response(cx.now - age);
                false
            }
            limit::Notice::Leaving => {
                let is_new = server.health.mark_leaving(cx.now - age, false);
                if is_new {
                    let server = server.listed.id.clone();
                    let from = Source::Process(from.clone());
                    out.push(Effect::Decision(Box::new(Decision::ServerLeaving {
                        server,
                        from,
                        age,
                    })));
                }
                is_new
            }
            limit::Notice::Backoff(left_us) => {
                let remaining = Duration::from_micros(left_us);
                let before = server.health.peer_backoff_until(cx.now);
                server.health.start_peer_backoff(cx.now, remaining);
                before.is_none() && !remaining.is_zero()
            }
        }
    }

    /// The Retry-After if no server accepts a request now: the end of the first backoff, with jitter.
    pub(super) fn retry_after(&mut self, now: Time, service: &Name) -> Option<Duration> {
        let servers = self.servers.of_service(service).map(|(_, server)| server);
        let staying = servers.filter(|server| !server.is_leaving());
        let backoff_ends = staying.filter_map(|server| server.health.backoff_until(now));
        let left = backoff_ends.min()?.since(now);
        Some(left + JITTER.mul_f64(self.rng.random_range(0.0..1.0)))
    }
}

/// The notices of a server that still apply, apart from its rate limit. As the leader, those that other
/// processes observed are included.
pub(super) fn active_notices(server: &Server, now: Time, leads: bool) -> Vec<Observed> {
    let observed = |notice, ago: Duration| Observed {
        server: incarnation(server),
        notice,
        ago_us: ago.as_micros() as u64,
    };
    let mut notices = Vec::new();
    if let Some((since, own)) = server.health.leaving()
        && (own || leads)
    {
        notices.push(observed(limit::Notice::Leaving, now.since(since)));
    }
    let others = server.health.peer_backoff_until(now).filter(|_| leads);
    if let Some(end) = server.health.backoff_until(now).max(others) {
        notices.push(observed(
            limit::Notice::Backoff(end.since(now).as_micros() as u64),
            Duration::ZERO,
        ));
    }
    let cold = &server.health.cold;
    // The list and the leader's advertisement reach the leader without this process.
    let reports = leads || cold.source(now) == Some(ColdSource::Response);
    if let Some(left) = cold.reported_left(now).filter(|_| reports) {
        notices.push(observed(limit::Notice::Cold(left.as_millis() as u32), Duration::ZERO));
    }
    if let Some(found) = cold.unreachable().filter(|found| found.own || leads) {
        notices.push(observed(limit::Notice::Unreachable, now.since(found.failed_at)));
        if let Some(responded_at) = found.responded_at.filter(|_| !leads) {
            notices.push(observed(limit::Notice::Reachable, now.since(responded_at)));
        }
    }
    notices
}
