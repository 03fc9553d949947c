//! What operators are told: the servers, stores and weights as believed now, and what was known when
//! each of the last requests was placed.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use fleet::{Limit, Server};
use serde_json::{Value, json};

use super::{Action, Attempt, Context, ControlCall, Forward};
use crate::decision::{Decision, PlacementInputs};
use crate::{Effect, Effects};

/// Requests kept, at some kilobytes each with dozens of servers; the log has all of them.
const KEPT: usize = 64;

/// What was known of a server.
#[derive(Clone, Debug)]
struct Seen {
    server: Name,
    usable: bool,
    leaving: bool,
    runs: u32,
    ahead: u64,
    version: u64,
}

/// A try, and what its server was chosen on.
#[derive(Clone, Debug)]
struct Placed {
    at: Time,
    to: Attempt,
    basis: PlacementInputs,
    servers: Vec<Seen>,
}

/// How a request ended.
#[derive(Clone, Debug)]
struct End {
    code: Code,
    status: u16,
    took: Duration,
    first: Option<Duration>,
    basis: PlacementInputs,
    /// The servers, where none of them could take it.
    servers: Vec<Seen>,
}

#[derive(Clone, Debug)]
struct Request {
    id: Name,
    route: Name,
    service: Name,
    tries: Vec<Placed>,
    end: Option<End>,
}

/// The last requests.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    requests: VecDeque<Request>,
}

impl RecentRequests {
    /// The request with this ID that is still under way, or else a new one.
    fn open(&mut self, id: &Name) -> &mut Request {
        let open = |request: &Request| request.id == *id && request.end.is_none();
        let index = self.requests.iter().rposition(open).unwrap_or_else(|| {
            if self.requests.len() >= KEPT {
                self.requests.pop_front();
            }
            self.requests.push_back(Request {
                id: id.clone(),
                route: Name::default(),
                service: Name::default(),
                tries: Vec::new(),
                end: None,
            });
            self.requests.len() - 1
        });
        &mut self.requests[index]
    }
}

impl Forward {
    /// Keeps what was decided just now, and counts the calls to servers: all of them pass here.
    pub(super) fn keep(&mut self, cx: &Context<'_>, decided: &Effects, from: usize) {
        for effect in &decided[from..] {
            self.count(effect);
            match effect {
                Effect::Forward { call, action: Action::Send(to) } => self.keep_try(cx, *call, to),
                Effect::Decision(note) => self.keep_end(cx, note),
                _ => {}
            }
        }
    }

    fn count(&mut self, effect: &Effect) {
        let server = match effect {
            Effect::Forward { action: Action::Send(to), .. } => self.servers.by_id(&to.id),
            Effect::Call(ControlCall::Report { id, .. }) => self.servers.by_id(id),
            Effect::Call(ControlCall::Change(change)) => self.servers.by_id(&change.id),
            Effect::Call(ControlCall::ReadStore { addr, .. }) => self.servers.by_addr_mut(*addr),
            _ => None,
        };
        let Some(server) = server else {
            return;
        };
        match effect {
            Effect::Call(ControlCall::Report { .. }) => server.calls.reports += 1,
            Effect::Call(ControlCall::Change(_)) => server.calls.orders += 1,
            Effect::Call(ControlCall::ReadStore { .. }) => server.calls.reads += 1,
            _ => server.calls.requests += 1,
        }
    }

    fn keep_try(&mut self, cx: &Context<'_>, call: u64, to: &Attempt) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let mut servers = self.seen(cx.now, &run.service);
        // The request itself is counted there by now.
        for seen in servers.iter_mut().filter(|seen| seen.server == to.id) {
            seen.runs = run.inputs.in_flight;
            seen.ahead = run.inputs.queued_tokens;
        }
        let placed = Placed { at: cx.now, to: to.clone(), basis: run.inputs, servers };
        let request = self.recent.open(&run.head.id);
        request.route = run.route.clone();
        request.service = run.service.clone();
        request.tries.push(placed);
    }

    fn keep_end(&mut self, cx: &Context<'_>, note: &Decision) {
        let Decision::Ended { request, route, basis, code, status, took, first, .. } = note else {
            return;
        };
        let mut servers = Vec::new();
        if *code == Code::NoServer
            && let Some(route) = cx.view.table().iter().find(|found| found.name == *route)
        {
            let services = route.backends.iter().map(|backend| &backend.service);
            servers = services.flat_map(|service| self.seen(cx.now, service)).collect();
        }
        let (code, status, took, first, basis) = (*code, *status, *took, *first, *basis);
        let kept = self.recent.open(request);
        kept.route = route.clone();
        kept.end = Some(End { code, status, took, first, basis, servers });
    }

    fn seen(&self, now: Time, service: &Name) -> Vec<Seen> {
        let seen = |server: &Server| Seen {
            server: server.listed.id.clone(),
            usable: server.usable(now),
            leaving: server.is_leaving(),
            runs: server.runs(now),
            ahead: server.prefill_backlog(now),
            version: server.version,
        };
        self.servers.of_service(service).map(|(_, server)| seen(server)).collect()
    }

    /// What was known when a request was placed, if it is still kept.
    pub fn explain(&self, now: Time, request: &str) -> Option<Value> {
        let found = self.recent.requests.iter().rev().find(|found| &*found.id == request)?;
        let tries = found.tries.iter().map(|placed| placed.shown(now));
        let end = found.end.as_ref().map(|end| {
            let mut shown = basis(&end.basis);
            shown["code"] = json!(end.code.number());
            shown["status"] = json!(end.status);
            shown["took_ms"] = json!(millis(end.took));
            shown["first_ms"] = json!(end.first.map(millis));
            shown["servers"] = end.servers.iter().map(Seen::shown).collect();
            shown
        });
        Some(json!({
            "request": &*found.id,
            "route": &*found.route,
            "service": &*found.service,
            "tries": tries.collect::<Vec<_>>(),
            "ended": end,
        }))
    }

    /// The servers as believed now.
    pub fn dump_servers(&self, now: Time) -> Vec<Value> {
        let shown = |server: &Server| {
            let why = why_not(server, now);
            json!({
                "server": &*server.listed.id,
                "service": &*server.listed.service,
                "address": server.listed.addr.to_string(),
                "zone": &*server.listed.zone,
                "leaving": server.is_leaving(),
                "pause_ms": server.health.backoff_until(now).map(|end| millis(end.since(now))),
                "usable": server.usable(now),
                "why_not": (!why.is_empty()).then(|| why.join(", ")),
                "slots": server.listed.slots,
                "runs": server.runs(now),
                "reading": server.prefill_backlog(now),
                "version": server.version,
                "limit": server.health.limit().map(Limit::per_second),
                "calls": {
                    "requests": server.calls.requests,
                    "reports": server.calls.reports,
                    "reads": server.calls.reads,
                    "orders": server.calls.orders,
                },
            })
        };
        self.servers.iter().map(|(_, server)| shown(server)).collect()
    }

    /// The stores as believed now.
    pub fn dump_stores(&self, view: &record::View) -> Vec<Value> {
        let stores =
            view.services().filter_map(|(name, service)| Some((name, service.store.as_ref()?)));
        let shown = |(name, store): (&Name, &record::Store)| {
            json!({
                "store": &**name,
                "address": store.addr.to_string(),
                "zone": &*store.zone,
                "known": self.stores.knows(store.addr),
                "held": self.stores.stock.tokens(store.addr),
                "tokens": store.tokens,
                "sending_ms": self.stores.sending(store.addr),
            })
        };
        stores.map(shown).collect()
    }

    /// The weight versions of each model as believed now.
    pub fn dump_weights(&self, now: Time) -> Vec<Value> {
        let mut models: Vec<&Name> = self.versions.keys().collect();
        models.sort_unstable();
        let shown = |model: &Name| {
            let allowed = self.allowed(now, model);
            let serves = |server: &&Server| !server.listed.leaving && server.listed.holds(model);
            let servers = || self.servers.iter().map(|(_, server)| server).filter(serves);
            json!({
                "model": &**model,
                "version": allowed.newest,
                "least": allowed.least,
                "age_ms": millis(allowed.newest_age),
                "servers": servers().count(),
                "behind": servers().filter(|server| server.version < allowed.newest).count(),
            })
        };
        models.into_iter().map(shown).collect()
    }
}

impl Placed {
    fn shown(&self, now: Time) -> Value {
        let text = |places: &[Option<SocketAddr>]| -> Vec<Option<String>> {
            places.iter().map(|place| place.map(|addr| addr.to_string())).collect()
        };
        let mut shown = basis(&self.basis);
        shown["ms_ago"] = json!(millis(now.since(self.at)));
        shown["server"] = json!(&*self.to.id);
        shown["address"] = json!(self.to.addr.to_string());
        shown["rank"] = json!(self.to.rank);
        shown["left_ms"] = json!(millis(self.to.time_left));
        shown["fetch"] = json!(text(&self.to.fetch));
        shown["save"] = json!(text(&self.to.save));
        shown["servers"] = self.servers.iter().map(Seen::shown).collect();
        shown
    }
}

impl Seen {
    fn shown(&self) -> Value {
        json!({
            "server": &*self.server,
            "usable": self.usable,
            "leaving": self.leaving,
            "runs": self.runs,
            "reading": self.ahead,
            "version": self.version,
        })
    }
}

/// Why a server takes no new work, if it takes none.
fn why_not(server: &Server, now: Time) -> Vec<&'static str> {
    let mut why = Vec::new();
    if server.is_leaving() {
        why.push("leaving");
    }
    if server.health.backoff_until(now).is_some() {
        why.push("paused");
    }
    if server.health.is_misdirected(now) {
        why.push("misdirected");
    }
    // What fails at its address says nothing of the server itself.
    if server.health.is_ejected(now) && !server.health.is_misdirected(now) {
        why.push("away");
    }
    if server.health.is_changing(now) {
        why.push("changing");
    }
    why
}

/// What a choice was made on; the words are those of the logs.
fn basis(basis: &PlacementInputs) -> Value {
    json!({
        "reading": basis.prefill_tokens,
        "fetching": basis.transfer_tokens,
        "ahead": basis.queued_tokens,
        "beside": basis.in_flight,
        "cost_ms": basis.cost_ms as u64,
        "list_age_ms": millis(basis.list_age),
        "version": basis.version,
        "version_least": basis.allowed.least,
        "version_newest": basis.allowed.newest,
        "version_newest_age_ms": millis(basis.allowed.newest_age),
        "limit": basis.limit.map(Limit::per_second),
    })
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
