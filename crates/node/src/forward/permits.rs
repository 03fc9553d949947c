//! Permits for calls to rate-limited servers: an entry requests a permit, and the leader issues it.

use base::prelude::*;
use fleet::Key;
use limit::MIN_RATE;
use wire::Frame;
use wire::limit::{PermitReply, PermitRequest};

use super::limits::incarnation;
use super::{Context, Forward};
use crate::decision::{Decision, Permit};
use crate::{Effect, Effects};

/// Maximum wait for a permit: several round trips to another availability zone.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of servers in one permit request.
const MAX_SERVERS: usize = 4;
/// Maximum number of servers in one permit request if no other server can accept the request.
const MAX_SERVERS_LAST_RESORT: usize = 16;
/// Maximum number of permit requests for one request.
pub(super) const MAX_PERMIT_REQUESTS: u32 = 2;
/// Wait reported for a server that is not on the leader's list, which is read once a second.
const UNKNOWN_SERVER_WAIT_MS: u32 = 500;

/// A pending permit request.
#[derive(Clone, Debug)]
pub(super) struct PendingPermit {
    number: u64,
    requested_at: Time,
    servers: Vec<Key>,
    last_resort: bool,
}

impl Forward {
    /// As the leader: whether it may call a server now, before all requests; `max_debt` is the maximum number
    /// of permits owed afterwards.
    pub(super) fn may_call(&mut self, now: Time, key: Key, max_debt: f64) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return true;
        };
        if !server.health.allow_own_call(now) {
            return false;
        }
        let Some(rate) = server.health.own_call_rate(now) else {
            return true;
        };
        self.limits.bucket(now, key).borrow(now, rate, max_debt)
    }

    /// Requests a permit for one of these servers, best first. Without a leader the request is sent in this
    /// entry's time slot. Returns false outside the slot, when the request needs another server.
    pub(super) fn request_permit(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        mut servers: Vec<Key>,
        last_resort: bool,
        out: &mut Effects,
    ) -> bool {
        servers.truncate(if last_resort { MAX_SERVERS_LAST_RESORT } else { MAX_SERVERS });
        let issuer = self.limits.reachable().map(|issuer| issuer.name.clone());
        if cx.term.is_none() && issuer.is_none() {
            return self.take_slot(cx, call, &servers, last_resort, out);
        }
        let incarnations =
            servers.iter().filter_map(|key| self.servers.get(*key)).map(incarnation).collect();
        let number = self.numbers.take();
        let Some(run) = self.runs.get_mut(&call) else {
            return true;
        };
        run.permit_requests += 1;
        run.pending_permit =
            Some(PendingPermit { number, requested_at: cx.now, servers, last_resort });
        let left_ms = run.deadline.since(cx.now).as_millis() as u32;
        let request = PermitRequest { call, number, servers: incarnations, last_resort, left_ms };
        match issuer.filter(|_| cx.term.is_none()) {
            Some(to) => {
                self.limits.waiting.push_back((cx.now + MAX_WAIT, call, number));
                out.push(Effect::Send { to, frame: Frame::PermitRequest(request) });
            }
            None => {
                if let Some(reply) = self.permit_requested(cx, &request) {
                    self.permit_answered(cx, &reply, out);
                }
            }
        }
        true
    }

    /// Sends a request to one of these servers if the current time slot there is this entry's and unused.
    fn take_slot(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        servers: &[Key],
        last_resort: bool,
        out: &mut Effects,
    ) -> bool {
        let since = *self.limits.leaderless_since.get_or_insert(cx.now);
        let anchor = self.limits.anchor.unwrap_or(since);
        let Some(request) = self.runs.get(&call).map(|run| run.head.id.clone()) else {
            return true;
        };
        for key in servers {
            let Some(server) = self.servers.get_mut(*key) else { continue };
            let Some(rate) = server.health.slot_rate(cx.now) else { continue };
            let is_cold = server.health.cold.source(cx.now).is_some();
            let time = cx.now.since(if is_cold { anchor } else { since });
            // Many servers may be cold at once: each entry has its slots there at different times.
            let offset = if is_cold { cache::salt_number(&server.listed.id) } else { 0 };
            let slot = (time.as_secs_f64() * rate.max(MIN_RATE)) as u64;
            let own = slot.wrapping_add(offset) as usize % cx.entries.max(1) == cx.entry_index;
            if !own || server.health.slot == Some(slot) {
                continue;
            }
            server.health.slot = Some(slot);
            let limit = server.health.limit_in_force(cx.now);
            let age = cx.now.since(server.health.confirmed_at(cx.now));
            out.push(Effect::Decision(Box::new(Decision::Permit {
                request,
                server: server.listed.id.clone(),
                outcome: Permit::Standby,
                limit,
                age,
                wait: Duration::ZERO,
                issued: 0,
                last_resort,
                retry_after: None,
            })));
            self.place_on(cx, call, *key, out);
            return true;
        }
        false
    }

    /// As the leader: answers a permit request.
    pub fn permit_requested(
        &mut self,
        cx: &Context<'_>,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        cx.term?;
        let mut reply = PermitReply {
            call: request.call,
            number: request.number,
            granted: None,
            waits_ms: Vec::new(),
            retry_after_ms: 0,
            issued: 0,
        };
        let mut service = None;
        for (index, server_id) in request.servers.iter().enumerate() {
            let key = self.servers.incarnation_key(&server_id.id, server_id.born);
            let found = key.and_then(|key| Some((key, self.servers.get(key)?)));
            let Some((key, server)) = found else {
                reply.waits_ms.push(UNKNOWN_SERVER_WAIT_MS);
                continue;
            };
            service.get_or_insert_with(|| server.listed.service.clone());
            let taken = match server.health.permit_rate() {
                Some(rate) => {
                    let bucket = self.limits.bucket(cx.now, key);
                    let taken = bucket.take(cx.now, rate);
                    if index == 0 {
                        reply.issued = bucket.issued(cx.now);
                    }
                    taken
                }
                None => Ok(()),
            };
            match taken {
                Ok(()) => {
                    reply.granted = Some(index as u32);
                    return Some(reply);
                }
                Err(wait) => reply.waits_ms.push(wait.as_millis() as u32 + 1),
            }
        }
        if let Some(service) = service.filter(|_| request.last_resort) {
            let rate = self
                .servers
                .of_service(&service)
                .filter_map(|(_, server)| server.health.permit_rate())
                .sum();
            let time_left = Duration::from_millis(u64::from(request.left_ms));
            let retry_after = self
                .limits
                .retry_schedules
                .entry(service)
                .or_default()
                .next(cx.now, rate, time_left);
            reply.retry_after_ms = retry_after.as_millis() as u32;
        }
        Some(reply)
    }

    /// Applies the leader's answer to a permit request.
    pub fn permit_answered(&mut self, cx: &Context<'_>, reply: &PermitReply, out: &mut Effects) {
        if let Some(issuer) = &mut self.limits.issuer {
            issuer.silent_since = None;
            self.limits.leaderless_since = None;
        }
        let Some(run) = self.runs.get_mut(&reply.call) else {
            return;
        };
        let pending = run.pending_permit.take_if(|pending| pending.number == reply.number);
        let Some(pending) = pending else {
            return;
        };
        let granted = reply.granted.and_then(|index| pending.servers.get(index as usize).copied());
        if cx.now.since(pending.requested_at) >= MAX_WAIT {
            // The process stalled while it waited, so the permit is stale.
            self.place_without_permit(cx, reply.call, &pending, Permit::Unanswered, (0, None), out);
        } else if let Some(key) = granted {
            let issued = (reply.issued, None);
            self.record_permit(cx, reply.call, (key, &pending), Permit::Granted, issued, out);
            self.place_on(cx, reply.call, key, out);
        } else {
            for (key, wait_ms) in pending.servers.iter().zip(&reply.waits_ms) {
                if let Some(server) = self.servers.get_mut(*key) {
                    server.health.denied_until =
                        cx.now + Duration::from_millis(u64::from(*wait_ms));
                }
            }
            let retry_after =
                pending.last_resort.then(|| Duration::from_millis(u64::from(reply.retry_after_ms)));
            self.place_without_permit(
                cx,
                reply.call,
                &pending,
                Permit::Denied,
                (reply.issued, retry_after),
                out,
            );
        }
    }

    /// Ends permit requests whose wait is over; reports observations again while the leader does not answer.
    pub(super) fn expire_permit_requests(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some((at, call, number)) = self.limits.waiting.front().copied() {
            if at > cx.now {
                break;
            }
            self.limits.waiting.pop_front();
            let pending = self
                .runs
                .get_mut(&call)
                .and_then(|run| run.pending_permit.take_if(|pending| pending.number == number));
            let Some(pending) = pending else { continue };
            if let Some(issuer) = &mut self.limits.issuer {
                issuer.silent_since.get_or_insert(cx.now);
            }
            self.place_without_permit(cx, call, &pending, Permit::Unanswered, (0, None), out);
        }
        if self.limits.reachable().is_none() && cx.now >= self.limits.next_observed {
            self.advertise_observed(cx.now, out);
        }
    }

    /// Places a request for which there is no permit: it is sent to another server or rejected with a
    /// Retry-After.
    fn place_without_permit(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        pending: &PendingPermit,
        outcome: Permit,
        (issued, retry_after): (u32, Option<Duration>),
        out: &mut Effects,
    ) {
        if let Some(key) = pending.servers.first() {
            self.record_permit(cx, call, (*key, pending), outcome, (issued, retry_after), out);
        }
        self.place_unlimited(cx, call, retry_after, out);
    }

    fn record_permit(
        &self,
        cx: &Context<'_>,
        call: u64,
        (key, pending): (Key, &PendingPermit),
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
            limit: server.health.limit_in_force(cx.now),
            age: cx.now.since(server.health.confirmed_at(cx.now)),
            wait: cx.now.since(pending.requested_at),
            issued,
            last_resort: pending.last_resort,
            retry_after,
        })));
    }
}
