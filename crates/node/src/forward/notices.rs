//! What servers say of what they take, in any answer: to a request, a report or an order.
//!
//! Answers the pattern in which a server says in its answers what the list shows seconds later or never, so that each
//! entry goes on sending until it has found out by itself. What binds this process holds from its own answers, without
//! anybody's help. It is reported to the leader among the keepers, which advertises it, so that the others spare the
//! server before they have asked it.

use base::prelude::*;
use fleet::{Backoff, Key, Notice, Server};
use rand::Rng;
use wire::Frame;
use wire::limit::{self, Observed};

use super::limits::incarnation;
use super::{Context, Forward};
use crate::decision::{Decision, Source};
use crate::{Effect, Effects};

/// Least spread of callers who were refused until a server takes requests again.
const SPREAD: Duration = Duration::from_millis(500);

impl Forward {
    /// An answer to a request of this entry said something of what its server takes.
    pub(super) fn notice_from_response(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        (request, sent): (&Name, Time),
        notice: Notice,
        out: &mut Effects,
    ) {
        self.apply_notice(cx, key, request, notice, out);
        self.limit_from_response(cx, key, (request, sent), notice.limit, out);
    }

    /// A server's answer to a call of this process's own said something of what it takes.
    pub(super) fn notice_from_call(
        &mut self,
        cx: &Context<'_>,
        id: &Name,
        notice: Notice,
        out: &mut Effects,
    ) {
        if let Some(key) = self.servers.key(id) {
            self.apply_notice(cx, key, &Name::default(), notice, out);
        }
    }

    /// Spares a server that leaves or wants to be left alone.
    pub(super) fn apply_notice(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        request: &Name,
        notice: Notice,
        out: &mut Effects,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let id = server.listed.id.clone();
        let mut notices = Vec::new();
        if notice.leaving {
            let before = server.health.leaving();
            if server.health.mark_leaving(cx.now, true) {
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
                out.push(Effect::Decision(Box::new(Decision::BackoffUnreadable { server: id })));
            }
            Backoff::For(asked) => {
                let news = server.health.start_backoff(cx.now, asked);
                let time = server
                    .health
                    .backoff_until(cx.now)
                    .map_or(Duration::ZERO, |end| end.since(cx.now));
                if news {
                    out.push(Effect::Decision(Box::new(Decision::BackoffRequested {
                        server: id,
                        request: request.clone(),
                        asked,
                        time,
                    })));
                    notices.push(limit::Notice::Backoff(time.as_micros() as u64));
                }
            }
        }
        let server = incarnation(server);
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

    /// Another process observed, or the leader advertises, that a server leaves or wants to be left alone. Gives whether
    /// it is news.
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
            limit::Notice::Leaving => {
                let news = server.health.mark_leaving(cx.now - age, false);
                if news {
                    let server = server.listed.id.clone();
                    let from = Source::Process(from.clone());
                    out.push(Effect::Decision(Box::new(Decision::ServerLeaving {
                        server,
                        from,
                        age,
                    })));
                }
                news
            }
            limit::Notice::Backoff(left_us) => {
                let left = Duration::from_micros(left_us);
                let known = server.health.peer_backoff_until(cx.now);
                server.health.start_peer_backoff(cx.now, left);
                known.is_none() && !left.is_zero()
            }
        }
    }

    /// When callers may come back whom no server takes now: once the pause of one has passed.
    pub(super) fn retry_after(&mut self, now: Time, service: &Name) -> Option<Duration> {
        let servers = self.servers.of_service(service).map(|(_, server)| server);
        let stays = servers.filter(|server| !server.is_leaving());
        let opens = stays.filter_map(|server| server.health.backoff_until(now));
        let left = opens.min()?.since(now);
        Some(left + SPREAD.mul_f64(self.rng.random_range(0.0..1.0)))
    }
}

/// What a server said that still holds, apart from its limit. As the leader, what others were told counts as well.
pub(super) fn active_notices(server: &Server, now: Time, leads: bool) -> Vec<Observed> {
    let observed = |notice, ago: Duration| Observed {
        server: incarnation(server),
        notice,
        ago_us: ago.as_micros() as u64,
    };
    let mut all = Vec::new();
    if let Some((since, own)) = server.health.leaving()
        && (own || leads)
    {
        all.push(observed(limit::Notice::Leaving, now.since(since)));
    }
    let others = server.health.peer_backoff_until(now).filter(|_| leads);
    if let Some(end) = server.health.backoff_until(now).max(others) {
        all.push(observed(
            limit::Notice::Backoff(end.since(now).as_micros() as u64),
            Duration::ZERO,
        ));
    }
    all
}
