//! State for operators: servers, stores and weight versions as this process sees them now, and the inputs
//! of the placement of each of the last requests.

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use fleet::{ColdSource, Limit, Server};
use serde_json::{Value, json};

use super::{Action, Attempt, Context, ControlCall, Forward};
use crate::decision::{Decision, Exclusion, PlacementInputs};
use crate::{Effect, Effects};

/// Number of requests whose decisions are retained, at some kilobytes each with dozens of servers; the log
/// contains all of them.
const MAX_RECENT: usize = 64;

/// The state of a server when a decision was made.
#[derive(Clone, Debug)]
struct ServerState {
    server: Name,
    usable: bool,
    leaving: bool,
    runs: u32,
    queued_tokens: u64,
    version: u64,
}

/// An attempt, and the inputs of the choice of its server.
#[derive(Clone, Debug)]
struct AttemptRecord {
    sent_at: Time,
    sent: Attempt,
    inputs: PlacementInputs,
    servers: Vec<ServerState>,
}

/// How a request ended.
#[derive(Clone, Debug)]
struct Ending {
    code: Code,
    status: u16,
    took: Duration,
    first: Option<Duration>,
    inputs: PlacementInputs,
    /// The servers, if none of them could accept the request.
    servers: Vec<ServerState>,
}

#[derive(Clone, Debug)]
struct Request {
    id: Name,
    route: Name,
    service: Name,
    attempts: Vec<AttemptRecord>,
    end: Option<Ending>,
}

/// The decisions on the last requests.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    requests: VecDeque<Request>,
}

impl RecentRequests {
    /// The request with this ID that is in progress, or else a new one.
    fn open(&mut self, id: &Name) -> &mut Request {
        let open = |request: &Request| request.id == *id && request.end.is_none();
        let index = self.requests.iter().rposition(open).unwrap_or_else(|| {
            if self.requests.len() >= MAX_RECENT {
                self.requests.pop_front();
            }
            self.requests.push_back(Request {
                id: id.clone(),
                route: Name::default(),
                service: Name::default(),
                attempts: Vec::new(),
                end: None,
            });
            self.requests.len() - 1
        });
        &mut self.requests[index]
    }
}

impl Forward {
    /// Records the latest decisions and counts the calls to servers, all of which pass through here.
    pub(super) fn record_decisions(&mut self, cx: &Context<'_>, decided: &Effects, from: usize) {
        for effect in &decided[from..] {
            self.count_call(effect);
            match effect {
                Effect::Forward { call, action: Action::Send(to) } => {
                    self.record_attempt(cx, *call, to);
                }
                Effect::Decision(decision) => self.record_end(cx, decision),
                _ => {}
            }
        }
    }

    fn count_call(&mut self, effect: &Effect) {
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

    fn record_attempt(&mut self, cx: &Context<'_>, call: u64, to: &Attempt) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let mut servers = self.server_states(cx.now, &run.service);
        // The load of this server already includes the request itself.
        for state in servers.iter_mut().filter(|state| state.server == to.id) {
            state.runs = run.inputs.in_flight;
            state.queued_tokens = run.inputs.queued_tokens;
        }
        let attempt =
            AttemptRecord { sent_at: cx.now, sent: to.clone(), inputs: run.inputs, servers };
        let request = self.recent.open(&run.head.id);
        request.route = run.route.clone();
        request.service = run.service.clone();
        request.attempts.push(attempt);
    }

    fn record_end(&mut self, cx: &Context<'_>, decision: &Decision) {
        let Decision::Ended { request, route, inputs, code, status, took, first, .. } = decision
        else {
            return;
        };
        let mut servers = Vec::new();
        if *code == Code::NoServer
            && let Some(route) = cx.view.route_table().iter().find(|found| found.name == *route)
        {
            let services = route.backends.iter().map(|backend| &backend.service);
            servers = services.flat_map(|service| self.server_states(cx.now, service)).collect();
        }
        let (code, status, took, first, inputs) = (*code, *status, *took, *first, *inputs);
        let recent = self.recent.open(request);
        recent.route = route.clone();
        recent.end = Some(Ending { code, status, took, first, inputs, servers });
    }

    fn server_states(&self, now: Time, service: &Name) -> Vec<ServerState> {
        let state = |server: &Server| ServerState {
            server: server.listed.id.clone(),
            usable: server.is_usable(now),
            leaving: server.is_leaving(),
            runs: server.runs(now),
            queued_tokens: server.prefill_backlog(now),
            version: server.version,
        };
        self.servers.of_service(service).map(|(_, server)| state(server)).collect()
    }

    /// The decisions on a request and their inputs, if they are still retained.
    pub fn explain(&self, now: Time, request: &str) -> Option<Value> {
        let found = self.recent.requests.iter().rev().find(|found| &*found.id == request)?;
        let attempts = found.attempts.iter().map(|attempt| attempt.to_json(now));
        let end = found.end.as_ref().map(|end| {
            let mut shown = inputs_json(&end.inputs);
            shown["code"] = json!(end.code.number());
            shown["status"] = json!(end.status);
            shown["took_ms"] = json!(millis(end.took));
            shown["first_ms"] = json!(end.first.map(millis));
            shown["servers"] = end.servers.iter().map(ServerState::to_json).collect();
            shown
        });
        Some(json!({
            "request": &*found.id,
            "route": &*found.route,
            "service": &*found.service,
            "tries": attempts.collect::<Vec<_>>(),
            "ended": end,
        }))
    }

    /// The servers as this process sees them now.
    pub fn dump_servers(&self, now: Time, view: &record::View) -> Vec<Value> {
        let shown = |server: &Server| {
            let mut reasons = ineligibility_reasons(server, now);
            if view.is_evacuated(&server.listed.zone) {
                reasons.push("evacuated");
            }
            json!({
                "server": &*server.listed.id,
                "service": &*server.listed.service,
                "address": server.listed.addr.to_string(),
                "zone": &*server.listed.zone,
                "region": self.region(&server.listed.zone),
                "leaving": server.is_leaving(),
                "pause_ms": server.health.backoff_until(now).map(|end| millis(end.since(now))),
                "usable": server.is_usable(now),
                "why_not": (!reasons.is_empty()).then(|| reasons.join(", ")),
                "slots": server.listed.slots,
                "runs": server.runs(now),
                "reading": server.prefill_backlog(now),
                "version": server.version,
                "limit": server.health.limit_in_force(now).map(Limit::per_second),
                "cold": server.health.cold.source(now).map(ColdSource::as_str),
                "cold_ms": server.health.cold.reported_left(now).map(millis),
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

    /// Region of a zone, if the settings name it.
    fn region(&self, zone: &Name) -> Option<&str> {
        self.config.regions.get(zone).map(|region| &**region)
    }

    /// The stores as this process sees them now.
    pub fn dump_stores(&self, view: &record::View) -> Vec<Value> {
        let stores =
            view.services().filter_map(|(name, service)| Some((name, service.store.as_ref()?)));
        let shown = |(name, store): (&Name, &record::Store)| {
            json!({
                "store": &**name,
                "address": store.addr.to_string(),
                "zone": &*store.zone,
                "region": self.region(&store.zone),
                "known": self.stores.has_holdings_of(store.addr),
                "held": self.stores.inventory.tokens(store.addr),
                "tokens": store.tokens,
                "sending_ms": self.stores.transfer_ms(store.addr),
            })
        };
        stores.map(shown).collect()
    }

    /// The weight versions of each model as this process sees them now.
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
                "least": allowed.oldest,
                "age_ms": millis(allowed.newest_age),
                "servers": servers().count(),
                "behind": servers().filter(|server| server.version < allowed.newest).count(),
            })
        };
        models.into_iter().map(shown).collect()
    }
}

impl AttemptRecord {
    fn to_json(&self, now: Time) -> Value {
        let text = |addrs: &[Option<SocketAddr>]| -> Vec<Option<String>> {
            addrs.iter().map(|addr| addr.map(|addr| addr.to_string())).collect()
        };
        let mut shown = inputs_json(&self.inputs);
        shown["ms_ago"] = json!(millis(now.since(self.sent_at)));
        shown["server"] = json!(&*self.sent.id);
        shown["address"] = json!(self.sent.addr.to_string());
        shown["rank"] = json!(self.sent.rank);
        shown["left_ms"] = json!(millis(self.sent.time_left));
        shown["fetch"] = json!(text(&self.sent.fetch));
        shown["save"] = json!(text(&self.sent.save));
        shown["servers"] = self.servers.iter().map(ServerState::to_json).collect();
        shown
    }
}

impl ServerState {
    fn to_json(&self) -> Value {
        json!({
            "server": &*self.server,
            "usable": self.usable,
            "leaving": self.leaving,
            "runs": self.runs,
            "reading": self.queued_tokens,
            "version": self.version,
        })
    }
}

/// Why a server gets no new requests; empty if it is eligible.
fn ineligibility_reasons(server: &Server, now: Time) -> Vec<&'static str> {
    let mut reasons = Vec::new();
    if server.is_leaving() {
        reasons.push("leaving");
    }
    if server.health.backoff_until(now).is_some() {
        reasons.push("paused");
    }
    if server.health.is_misdirected(now) {
        reasons.push("misdirected");
    }
    // Failures at its address are those of the server that answers there.
    if server.health.is_ejected(now) && !server.health.is_misdirected(now) {
        reasons.push("away");
    }
    if server.health.is_changing(now) {
        reasons.push("changing");
    }
    reasons
}

/// The inputs of a choice, with the same keys as in the logs.
fn inputs_json(inputs: &PlacementInputs) -> Value {
    json!({
        "reading": inputs.prefill_tokens,
        "fetching": inputs.transfer_tokens,
        "ahead": inputs.queued_tokens,
        "beside": inputs.in_flight,
        "cost_ms": inputs.cost_ms as u64,
        "list_age_ms": millis(inputs.list_age),
        "version": inputs.version,
        "version_least": inputs.allowed.oldest,
        "version_newest": inputs.allowed.newest,
        "version_newest_age_ms": millis(inputs.allowed.newest_age),
        "limit": inputs.limit.map(Limit::per_second),
        "fetch_from": inputs.fetch_from.map(|source| source.to_string()),
        "fetch_until_ms": inputs.fetch_until_ms,
        "saves": inputs.saves,
        "save_permit": inputs.save_permit.as_str(),
        "excluded": inputs.exclusion.map(Exclusion::as_str),
    })
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
