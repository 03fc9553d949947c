//! What operators see of a process: reads, the dump, gauges.

use base::prelude::*;
use record::Kind;
use route::Estimate;
use serde_json::{Value, json};

use super::Node;
use crate::admin::{self, Admin};
use crate::{Effects, Keeper, entry};

impl Node {
    /// Answers an operator's request that changes nothing: status and body.
    pub(super) fn operator_read(&self, now: Time, admin: &Admin) -> (u16, Value) {
        let missing = |text: &str| error(Code::NoSuchPath, text);
        match admin {
            Admin::Ready if self.ready(now) => (200, json!({ "ready": true })),
            Admin::Ready => (503, json!({ "ready": false, "stopping": self.stopping.is_some() })),
            Admin::Dump => (200, self.dump(now)),
            Admin::Records { kind, name } => {
                let view = &self.watch.view;
                let fits = |record: &&record::Record| {
                    kind.is_none_or(|kind| record.kind == kind)
                        && name.as_ref().is_none_or(|name| record.name == *name)
                };
                let records: Vec<Value> = view.records().filter(fits).map(admin::record).collect();
                if records.is_empty() && name.is_some() {
                    let (_, body) = missing("there is no such record");
                    return (404, body);
                }
                (200, json!({ "revision": view.revision.to_string(), "records": records }))
            }
            Admin::History => match &self.keeper {
                Some(keeper) => {
                    let changes: Vec<Value> = keeper.state().audit().map(admin::change).collect();
                    (200, json!({ "changes": changes }))
                }
                None => missing("ask a keeper for the history"),
            },
            Admin::Servers => match self.servers(now) {
                Some(servers) => (200, servers),
                None => missing("ask a keeper for the servers"),
            },
            Admin::Force(revision) => match &self.keeper {
                Some(keeper) => (200, force(keeper, now, *revision)),
                None => missing("ask a keeper who lags"),
            },
            Admin::Explain(id) => {
                let decision = self.entry.as_ref().and_then(|entry| entry.explain(id));
                let decision = decision.map(|(found, table)| explained(found, &table));
                let forwarded = || self.forward.as_ref()?.explain(now, id);
                match decision.or_else(forwarded) {
                    Some(found) => (200, found),
                    None => missing("no decision of that request is kept here"),
                }
            }
            Admin::Quarantine => match &self.forward {
                Some(forward) => (200, json!({ "quarantine": forward.dump_quarantine(now) })),
                None => missing("ask an entry that forwards requests"),
            },
            Admin::Evacuations => {
                let records = self.watch.view.records();
                let all: Vec<Value> = records
                    .filter(|record| record.kind == Kind::Evacuation)
                    .map(admin::evacuation)
                    .collect();
                (200, json!({ "evacuations": all }))
            }
            Admin::Release { .. }
            | Admin::Put(_)
            | Admin::Delete(_)
            | Admin::PutConfig(_)
            | Admin::StoredConfig
            | Admin::Promote(_)
            | Admin::Evacuate(_) => missing("the keepers answer this"),
        }
    }

    /// Releases a prompt segment or a request from quarantine, for an operator.
    pub(super) fn release_cause(
        &mut self,
        now: Time,
        scope: &Name,
        id: u128,
        out: &mut Effects,
    ) -> (u16, Value) {
        let mut released = false;
        self.with_forward(now, |forward, cx| {
            released = forward.release_cause(cx, scope, id, out);
        });
        if released {
            return (200, json!({ "released": format!("{id:x}") }));
        }
        error(Code::NoSuchRecord, "that is not quarantined here")
    }

    /// The processes that a keeper tracks, and the servers for forwarded requests.
    fn servers(&self, now: Time) -> Option<Value> {
        let members = self.keeper.as_ref().map(|keeper| {
            keeper.members().iter().map(|member| member.dump(now)).collect::<Vec<_>>()
        });
        let forward = self.forward.as_ref().filter(|found| found.servers().read_at().is_some());
        if members.is_none() && forward.is_none() {
            return None;
        }
        let mut all = json!({ "servers": members.unwrap_or_default() });
        if let Some(forward) = forward {
            all["backends"] = json!(forward.dump_servers(now, &self.watch.view));
            all["stores"] = json!(forward.dump_stores(&self.watch.view));
            all["weights"] = json!(forward.dump_weights(now));
        }
        Some(all)
    }

    /// The complete state as JSON, without keys and without request or response contents.
    pub fn dump(&self, now: Time) -> Value {
        let confirmed = self.watch.confirmed_ago(now);
        json!({
            "name": &*self.local.hello.name,
            "zone": &*self.local.hello.zone,
            "incarnation": self.local.hello.incarnation.0,
            "uptime_ms": now.0 / 1_000,
            "ready": self.ready(now),
            "stopping": self.stopping.is_some(),
            "configuration": {
                "revision": self.watch.view.revision.to_string(),
                "mark": self.watch.read_index.map(|index| index.records.to_string()),
                "confirmed_ms_ago": confirmed.map(|ago| ago.as_millis() as u64),
                "records": self.watch.view.records().count(),
                "not_understood": self.watch.view.unsupported().count(),
                "evacuated_zones": self.watch.view.evacuated().iter().map(|zone| &**zone).collect::<Vec<_>>(),
            },
            "peers": self.peers.keys().map(|name| &**name).collect::<Vec<&str>>(),
            "requests_to_keepers": self.keepers.pending(),
            "entry": self.entry.as_ref().map(|entry| entry.dump(now)),
            "forward": self.forward.as_ref().map(|forward| forward.dump(now, &self.watch.view)),
            "agent": self.agent.as_ref().map(|agent| agent.dump(now)),
            "keeper": self.keeper.as_ref().map(|keeper| keeper.dump(now)),
        })
    }

    /// Gauges for the metrics: names and values.
    pub fn gauges(&self, now: Time) -> Vec<(&'static str, f64)> {
        let flag = |value: bool| f64::from(u8::from(value));
        let mut all = vec![
            ("tamarack_ready", flag(self.ready(now))),
            ("tamarack_peers", self.peers.len() as f64),
            ("tamarack_config_index", self.watch.view.revision.index as f64),
            ("tamarack_config_not_understood", self.watch.view.unsupported().count() as f64),
        ];
        if let Some(ago) = self.watch.confirmed_ago(now) {
            all.push(("tamarack_config_confirmed_seconds_ago", ago.as_secs_f64()));
        }
        if let Some(forward) = &self.forward {
            let usable =
                forward.servers().iter().filter(|(_, server)| server.is_usable(now)).count();
            let evacuated = self.watch.view.evacuated().len();
            all.push(("tamarack_evacuated_zones", evacuated as f64));
            all.push(("tamarack_forward_open", forward.open() as f64));
            all.push(("tamarack_forward_queued", forward.queued() as f64));
            all.push(("tamarack_forward_usable_servers", usable as f64));
            let servers = || forward.servers().iter().map(|(_, server)| server);
            let limited = servers().filter(|server| server.health.limit().is_some()).count();
            all.push(("tamarack_forward_limited_servers", limited as f64));
            let cold = servers().filter(|server| server.health.cold.source(now).is_some()).count();
            all.push(("tamarack_forward_cold_servers", cold as f64));
            let held = forward.quarantined_groups();
            all.push(("tamarack_quarantined_segments", held as f64));
            all.push(("tamarack_streams_remembered", forward.remembered_streams() as f64));
            let leaving = servers().filter(|server| server.is_leaving()).count();
            all.push(("tamarack_forward_leaving_servers", leaving as f64));
            let paused =
                servers().filter(|server| server.health.backoff_until(now).is_some()).count();
            all.push(("tamarack_forward_paused_servers", paused as f64));
            if let Some(at) = forward.servers().read_at() {
                all.push(("tamarack_forward_list_age_seconds", now.since(at).as_secs_f64()));
            }
        }
        if let Some(streams) = &self.streams {
            all.push(("tamarack_streams_recorded", streams.len() as f64));
        }
        if let Some(entry) = &self.entry {
            all.push(("tamarack_entry_open", entry.open() as f64));
            all.push(("tamarack_entry_waiting", entry.waiting() as f64));
            all.push(("tamarack_entry_directory_blocks", entry.blocks() as f64));
            let usable = entry.servers().values().filter(|server| server.usable(now)).count();
            all.push(("tamarack_entry_usable_servers", usable as f64));
        }
        if let Some(agent) = &self.agent {
            all.push(("tamarack_agent_runs", agent.open() as f64));
            all.push(("tamarack_agent_leaving", flag(agent.leaving())));
        }
        if let Some(keeper) = &self.keeper {
            let is_leader = *keeper.replica().role() == quorum::Role::Leader;
            all.push(("tamarack_keeper_leads", flag(is_leader)));
            all.push(("tamarack_keeper_in_touch", flag(keeper.replica().has_recent_leader(now))));
            all.push(("tamarack_keeper_commit", keeper.replica().commit() as f64));
            all.push(("tamarack_keeper_claims", keeper.state().claim_count() as f64));
            all.push(("tamarack_keeper_log_bytes", keeper.replica().log_bytes() as f64));
            all.push(("tamarack_keeper_snapshot_bytes", keeper.replica().snapshot_bytes() as f64));
        }
        all
    }
}

fn force(keeper: &Keeper, now: Time, revision: Revision) -> Value {
    let mut lagging = Vec::new();
    let mut applied = 0;
    for member in keeper.members().iter() {
        if member.status(now) == crate::MemberStatus::Gone {
            continue;
        }
        if member.heartbeat.revision >= revision {
            applied += 1;
        } else {
            lagging.push(json!({
                "name": &*member.hello.name,
                "standing": member.status(now).as_str(),
                "revision": member.heartbeat.revision.to_string(),
            }));
        }
    }
    json!({ "revision": revision.to_string(), "applied": applied, "lagging": lagging })
}

fn explained(found: &entry::PlacementDecision, table: &[Estimate]) -> Value {
    let table: Vec<Value> = table
        .iter()
        .map(|estimate| {
            json!({
                "agent": &*estimate.name,
                "first_token_ms": estimate.first_token.as_secs_f64() * 1e3,
                "wait_ms": estimate.wait.as_secs_f64() * 1e3,
                "fetching_ms": estimate.fetch_time.as_secs_f64() * 1e3,
                "prefill_ms": estimate.prefill.as_secs_f64() * 1e3,
                "fetch_pieces": estimate.fetch_pieces,
                "recomputed_tokens": estimate.recomputed_tokens,
                "cost": estimate.cost,
            })
        })
        .collect();
    json!({
        "request": found.run.to_string(),
        "attempt": found.run.attempt,
        "agent": &*found.agent,
        "candidates": table,
    })
}

/// The status and the body of an error.
fn error(code: Code, text: &str) -> (u16, Value) {
    let error = json!({ "code": code.number(), "type": code.as_str(), "message": text });
    (code.status(), json!({ "error": error }))
}
