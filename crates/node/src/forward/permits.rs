//! Permits for calls to rate-limited servers: an entry asks for one, and the leader issues it.

use base::prelude::*;
use fleet::Key;
use limit::MIN_RATE;
use wire::Frame;
use wire::limit::{PermitReply, PermitRequest};

use super::limits::life;
use super::{Context, Forward};
use crate::decision::{Decision, Permit};
use crate::{Effect, Effects};

/// Longest wait for a permit: several ways to another availability zone and back.
const WAIT: Duration = Duration::from_millis(100);
/// Most servers asked for at once, and most where nothing else can take the request.
const MOST_ASKED: usize = 4;
const MOST_ASKED_LAST: usize = 16;
/// Most times that one request asks.
pub(super) const MOST_ASKS: u32 = 2;
/// Wait for a server that the leader does not know: its list is read once a second.
const UNKNOWN_MS: u32 = 500;

/// A pending question for a permit.
#[derive(Clone, Debug)]
pub(super) struct PendingPermit {
    number: u64,
    at: Time,
    servers: Vec<Key>,
    last: bool,
}

impl Forward {
    /// As the leader: whether it may call a server now, ahead of all requests; `max_debt` is the most
    /// permits owed afterwards.
    pub(super) fn may_call(&mut self, now: Time, key: Key, max_debt: f64) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return true;
        };
        if !server.health.allow_own_call(now) {
            return false;
        }
        let Some(takes) = server.health.effective_rate() else {
            return true;
        };
        self.limits.bucket(now, key).borrow(now, takes, max_debt)
    }

    /// Asks for a permit for one of these servers, the best one first. Without a leader the request is sent in this
    /// entry's time slot; gives false outside of it, when another server must take the request.
    pub(super) fn ask_permit(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        mut servers: Vec<Key>,
        last: bool,
        out: &mut Effects,
    ) -> bool {
        servers.truncate(if last { MOST_ASKED_LAST } else { MOST_ASKED });
        let issuer = self.limits.reachable().map(|issuer| issuer.name.clone());
        if cx.term.is_none() && issuer.is_none() {
            return self.take_slot(cx, call, &servers, last, out);
        }
        let lives = servers.iter().filter_map(|key| self.servers.get(*key)).map(life).collect();
        self.limits.number += 1;
        let number = self.limits.number;
        let Some(run) = self.runs.get_mut(&call) else {
            return true;
        };
        run.permit_requests += 1;
        run.pending_permit = Some(PendingPermit { number, at: cx.now, servers, last });
        let left_ms = run.deadline.since(cx.now).as_millis() as u32;
        let ask = PermitRequest { call, number, servers: lives, last, left_ms };
        match issuer.filter(|_| cx.term.is_none()) {
            Some(to) => {
                self.limits.waiting.push_back((cx.now + WAIT, call, number));
                out.push(Effect::Send { to, frame: Frame::PermitRequest(ask) });
            }
            None => {
                if let Some(reply) = self.permit_asked(cx, &ask) {
                    self.permit_answered(cx, &reply, out);
                }
            }
        }
        true
    }

    /// Sends a request to one of these servers if this is the entry's time slot there and it is unused.
    fn take_slot(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        servers: &[Key],
        last: bool,
        out: &mut Effects,
    ) -> bool {
        let since = *self.limits.leaderless.get_or_insert(cx.now);
        let time = cx.now.since(since).as_secs_f64();
        let Some(request) = self.runs.get(&call).map(|run| run.head.id.clone()) else {
            return true;
        };
        for key in servers {
            let Some(server) = self.servers.get_mut(*key) else { continue };
            let Some(throttle) = &mut server.health.throttle else { continue };
            let slot = (time * throttle.limit.per_second().max(MIN_RATE)) as u64;
            let own = slot as usize % cx.entries.max(1) == cx.entry_index;
            if !own || throttle.slot == Some(slot) {
                continue;
            }
            throttle.slot = Some(slot);
            let (limit, age) = (Some(throttle.limit), cx.now.since(throttle.last_named));
            out.push(Effect::Decision(Box::new(Decision::Permit {
                request,
                server: server.listed.id.clone(),
                outcome: Permit::Standby,
                limit,
                age,
                wait: Duration::ZERO,
                issued: 0,
                last,
                back: None,
            })));
            self.place_at(cx, call, *key, out);
            return true;
        }
        false
    }

    /// As the leader: answers a question for a permit.
    pub fn permit_asked(&mut self, cx: &Context<'_>, ask: &PermitRequest) -> Option<PermitReply> {
        cx.term?;
        let mut reply = PermitReply {
            call: ask.call,
            number: ask.number,
            granted: None,
            waits_ms: Vec::new(),
            retry_after_ms: 0,
            issued: 0,
        };
        let mut service = None;
        for (place, life) in ask.servers.iter().enumerate() {
            let key = self.servers.incarnation_key(&life.id, life.born);
            let found = key.and_then(|key| Some((key, self.servers.get(key)?)));
            let Some((key, server)) = found else {
                reply.waits_ms.push(UNKNOWN_MS);
                continue;
            };
            service.get_or_insert_with(|| server.listed.service.clone());
            let taken = match server.health.effective_rate() {
                Some(takes) => {
                    let bucket = self.limits.bucket(cx.now, key);
                    let taken = bucket.take(cx.now, takes);
                    if place == 0 {
                        reply.issued = bucket.issued(cx.now);
                    }
                    taken
                }
                None => Ok(()),
            };
            match taken {
                Ok(()) => {
                    reply.granted = Some(place as u32);
                    return Some(reply);
                }
                Err(wait) => reply.waits_ms.push(wait.as_millis() as u32 + 1),
            }
        }
        if let Some(service) = service.filter(|_| ask.last) {
            let takes = self
                .servers
                .of_service(&service)
                .filter_map(|(_, server)| server.health.effective_rate())
                .sum();
            let left = Duration::from_millis(u64::from(ask.left_ms));
            let turn = self.limits.turns.entry(service).or_default().next(cx.now, takes, left);
            reply.retry_after_ms = turn.as_millis() as u32;
        }
        Some(reply)
    }

    /// The leader answered a question for a permit.
    pub fn permit_answered(&mut self, cx: &Context<'_>, reply: &PermitReply, out: &mut Effects) {
        if let Some(issuer) = &mut self.limits.issuer {
            issuer.silent = None;
            self.limits.leaderless = None;
        }
        let Some(run) = self.runs.get_mut(&reply.call) else {
            return;
        };
        let asked = run.pending_permit.take_if(|asked| asked.number == reply.number);
        let Some(asked) = asked else {
            return;
        };
        let granted = reply.granted.and_then(|place| asked.servers.get(place as usize).copied());
        if cx.now.since(asked.at) >= WAIT {
            // The process stood still meanwhile: the permit is stale.
            self.unpermitted(cx, reply.call, &asked, Permit::Unanswered, (0, None), out);
        } else if let Some(key) = granted {
            let issued = (reply.issued, None);
            self.note_permit(cx, reply.call, (key, &asked), Permit::Granted, issued, out);
            self.place_at(cx, reply.call, key, out);
        } else {
            for (key, wait_ms) in asked.servers.iter().zip(&reply.waits_ms) {
                if let Some(throttle) =
                    self.servers.get_mut(*key).and_then(|found| found.health.throttle.as_mut())
                {
                    throttle.denied_until = cx.now + Duration::from_millis(u64::from(*wait_ms));
                }
            }
            let retry_after =
                asked.last.then(|| Duration::from_millis(u64::from(reply.retry_after_ms)));
            self.unpermitted(
                cx,
                reply.call,
                &asked,
                Permit::Denied,
                (reply.issued, retry_after),
                out,
            );
        }
    }

    /// Gives up questions whose wait is over; reports observations again while the leader is silent.
    pub(super) fn expire_asks(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some((at, call, number)) = self.limits.waiting.front().copied() {
            if at > cx.now {
                break;
            }
            self.limits.waiting.pop_front();
            let asked = self
                .runs
                .get_mut(&call)
                .and_then(|run| run.pending_permit.take_if(|asked| asked.number == number));
            let Some(asked) = asked else { continue };
            if let Some(issuer) = &mut self.limits.issuer {
                issuer.silent.get_or_insert(cx.now);
            }
            self.unpermitted(cx, call, &asked, Permit::Unanswered, (0, None), out);
        }
        if self.limits.reachable().is_none() && cx.now >= self.limits.next_observed {
            self.advertise_observed(cx.now, out);
        }
    }

    /// There is no permit for a request: another server takes it, or it is refused with a retry time.
    fn unpermitted(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        asked: &PendingPermit,
        outcome: Permit,
        (issued, retry_after): (u32, Option<Duration>),
        out: &mut Effects,
    ) {
        if let Some(key) = asked.servers.first() {
            self.note_permit(cx, call, (*key, asked), outcome, (issued, retry_after), out);
        }
        self.place_free(cx, call, retry_after, out);
    }

    fn note_permit(
        &self,
        cx: &Context<'_>,
        call: u64,
        (key, asked): (Key, &PendingPermit),
        outcome: Permit,
        (issued, retry_after): (u32, Option<Duration>),
        out: &mut Effects,
    ) {
        let (Some(run), Some(server)) = (self.runs.get(&call), self.servers.get(key)) else {
            return;
        };
        out.push(Effect::Decision(Box::new(Decision::Permit {
            request: run.head.id.clone(),
            server: server.listed.id.clone(),
            outcome,
            limit: server.health.limit(),
            age: server
                .health
                .throttle
                .map_or(Duration::ZERO, |throttle| cx.now.since(throttle.last_named)),
            wait: cx.now.since(asked.at),
            issued,
            last: asked.last,
            back: retry_after,
        })));
    }
}
