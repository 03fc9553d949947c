//! Typed views of records.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::{Name, Revision};
use serde_json::{Map, Value};

use crate::routes::{self, RouteTable};
use crate::{Change, Kind, Record, Service, schema, weights};

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Models that it may use; empty for all.
    pub models: Vec<Name>,
    /// Maximum number of requests in flight, over all entries.
    pub concurrency: usize,
    /// Weight in fair queueing.
    pub share: u32,
    /// Salt of the keys of its cache blocks.
    pub salt: [u8; 16],
    /// Whether its prompt segments are not shared with other workspaces.
    pub isolated: bool,
    /// Rank of its requests, which overrides the rank of the route; lower ranks are served first.
    pub rank: Option<u8>,
    /// Regions whose servers may receive its requests; empty for all.
    pub regions: Vec<Name>,
}

/// A rule that matches calls of a plain service that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AtMostOnceRule {
    /// HTTP method.
    pub method: String,
    /// Prefix of the path.
    pub prefix: String,
}

/// Configuration of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server {
    /// Whether it must receive no new work.
    pub drain: bool,
}

/// The target weight version of a model's replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Model.
    pub model: Name,
    /// Weight version.
    pub version: Name,
    /// Maximum number of replicas that load it concurrently.
    pub parallel: usize,
    /// Minimum number of replicas that continue to serve.
    pub floor: usize,
    /// Whether no further replica starts to load it.
    pub paused: bool,
}

impl Rollout {
    /// The number of the version; 0 if it is not numbered.
    pub fn number(&self) -> u64 {
        weights::number(&self.version)
    }
}

/// The records that a process has received, and typed views of those that it supports.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the latest change applied.
    pub revision: Revision,
    records: BTreeMap<(Kind, Name), Record>,
    workspaces: HashMap<Name, Workspace>,
    keys: HashMap<String, Name>,
    rules: HashMap<Name, Vec<AtMostOnceRule>>,
    services: HashMap<Name, Service>,
    route_table: RouteTable,
    servers: HashMap<Name, Server>,
    rollouts: BTreeMap<Name, Rollout>,
    /// The availability zones that are evacuated.
    evacuated: BTreeSet<Name>,
    shares: u64,
}

impl View {
    /// Applies changes that are newer than the current revision, and ignores older ones.
    pub fn apply(&mut self, changes: &[Change]) {
        // Changes that were accepted together have the same revision.
        let current = self.revision;
        for change in changes {
            if change.revision <= current {
                continue;
            }
            self.revision = change.revision;
            self.remove(change.kind, &change.name);
            if let Some(record) = &change.record {
                self.insert(record.clone());
            }
        }
    }

    /// Replaces all records, unless `revision` is older than the current one.
    pub fn replace(&mut self, revision: Revision, records: Vec<Record>) {
        if revision < self.revision {
            return;
        }
        *self = Self { revision, ..Self::default() };
        for record in records {
            self.insert(record);
        }
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The record of this kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.records.get(&(kind, Name::new(name)))
    }

    /// Records that require a newer schema version than this build supports.
    pub fn unsupported(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| !is_supported(record))
    }

    /// The workspace that a bearer key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        self.workspaces.get(self.keys.get(hash.as_str())?)
    }

    /// The workspace of this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Sum of the shares of all workspaces.
    pub fn total_shares(&self) -> u64 {
        self.shares
    }

    /// Whether a call of a plain service may run at most once.
    pub fn is_at_most_once(&self, service: &str, method: &str, path: &str) -> bool {
        let rules = self.rules.get(service).map(Vec::as_slice).unwrap_or_default();
        rules.iter().any(|rule| rule.method == method && path.starts_with(&rule.prefix))
    }

    /// Configuration of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = (&Name, &Service)> {
        self.services.iter()
    }

    /// The route table.
    pub fn route_table(&self) -> &RouteTable {
        &self.route_table
    }

    /// Whether requests need an API key: there are workspaces, whether any of them has a key or not.
    pub fn requires_keys(&self) -> bool {
        let mut workspaces = self.records.range((Kind::Workspace, Name::default())..);
        workspaces.next().is_some_and(|((kind, _), _)| *kind == Kind::Workspace)
    }

    /// Configuration of a backend server.
    pub fn server(&self, name: &str) -> Server {
        self.servers.get(name).cloned().unwrap_or_default()
    }

    /// The number of a model's target weight version; 0 if none is set or it is not numbered.
    pub fn target_version(&self, model: &str) -> u64 {
        self.rollouts.get(model).map_or(0, Rollout::number)
    }

    /// The models with a numbered target weight version, and its number.
    pub fn target_versions(&self) -> Vec<(Name, u64)> {
        let numbered = self.rollouts.values().map(|found| (found.model.clone(), found.number()));
        numbered.filter(|(_, number)| *number > 0).collect()
    }

    /// The rollouts, by name.
    pub fn rollouts(&self) -> &BTreeMap<Name, Rollout> {
        &self.rollouts
    }

    /// Whether the servers of an availability zone must receive no requests.
    pub fn is_evacuated(&self, zone: &Name) -> bool {
        self.evacuated.contains(zone)
    }

    /// The availability zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<Name> {
        &self.evacuated
    }

    fn remove(&mut self, kind: Kind, name: &Name) {
        self.records.remove(&(kind, name.clone()));
        match kind {
            Kind::Workspace => {
                if let Some(old) = self.workspaces.remove(name) {
                    self.shares -= u64::from(old.share);
                }
                self.keys.retain(|_, workspace| workspace != name);
            }
            Kind::Service => {
                self.rules.remove(name);
                self.services.remove(name);
            }
            Kind::Route => self.route_table.remove(name),
            Kind::Server => {
                self.servers.remove(name);
            }
            Kind::Rollout => {
                self.rollouts.remove(name);
            }
            Kind::Evacuation => {
                self.evacuated.remove(name);
            }
            Kind::Model | Kind::Version | Kind::Adapter | Kind::Priority | Kind::Role => {}
        }
    }

    fn insert(&mut self, record: Record) {
        if is_supported(&record) {
            self.index(&record);
        }
        self.records.insert((record.kind, record.name.clone()), record);
    }

    fn index(&mut self, record: &Record) {
        let newest = schema::newest(record.kind);
        let body = schema::upgrade(record.kind, record.schema, newest, record.fields());
        let name = record.name.clone();
        match record.kind {
            Kind::Workspace => {
                for key in texts(&body, "keys") {
                    self.keys.insert(key, name.clone());
                }
                let workspace = workspace(record, &body);
                self.shares += u64::from(workspace.share);
                self.workspaces.insert(name, workspace);
            }
            Kind::Service => {
                self.rules.insert(name.clone(), rules(&body));
                self.services.insert(name, routes::service(&body));
            }
            Kind::Route => self.route_table.insert(routes::route(&name, &body)),
            Kind::Server => {
                let drain = body.get("drain").and_then(Value::as_bool).unwrap_or(false);
                self.servers.insert(name, Server { drain });
            }
            Kind::Rollout => {
                self.rollouts.insert(name, rollout(&body));
            }
            Kind::Evacuation => {
                if body.get("active").and_then(Value::as_bool).unwrap_or(false) {
                    self.evacuated.insert(name);
                }
            }
            Kind::Model | Kind::Version | Kind::Adapter | Kind::Priority | Kind::Role => {}
        }
    }
}

fn is_supported(record: &Record) -> bool {
    record.min_schema <= schema::newest(record.kind)
}

fn texts(body: &Map<String, Value>, key: &str) -> Vec<String> {
    let list = body.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    list.iter().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn count(body: &Map<String, Value>, key: &str, default: u64) -> u64 {
    body.get(key).and_then(Value::as_u64).unwrap_or(default)
}

fn workspace(record: &Record, body: &Map<String, Value>) -> Workspace {
    const DEFAULT_CONCURRENCY: u64 = 1_000;
    const DEFAULT_SHARE: u64 = 100;
    const MAX_RANK: u64 = 9;
    // The salt is derived from the name and the creation revision. Changes of the record keep it, so
    // that cached blocks stay valid; a workspace that is deleted and created again under the same name
    // gets a new one and has no access to the old blocks.
    let mut salt = [0; 16];
    let source = format!("{} {}", record.created, record.name);
    let hash = blake3::derive_key("tamarackbank workspace salt", source.as_bytes());
    salt.copy_from_slice(&hash[..16]);
    Workspace {
        name: record.name.clone(),
        models: texts(body, "models").iter().map(|name| Name::new(name)).collect(),
        concurrency: count(body, "concurrency", DEFAULT_CONCURRENCY) as usize,
        share: count(body, "share", DEFAULT_SHARE) as u32,
        salt,
        isolated: body.get("isolated").and_then(Value::as_bool).unwrap_or(false),
        rank: body.get("rank").and_then(Value::as_u64).map(|rank| rank.min(MAX_RANK) as u8),
        regions: routes::regions(body),
    }
}

fn rules(body: &Map<String, Value>) -> Vec<AtMostOnceRule> {
    let list = body.get("once").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let rule = |value: &Value| {
        Some(AtMostOnceRule {
            method: value["method"].as_str()?.to_owned(),
            prefix: value["prefix"].as_str()?.to_owned(),
        })
    };
    list.iter().filter_map(rule).collect()
}

fn rollout(body: &Map<String, Value>) -> Rollout {
    let text = |key: &str| Name::new(body.get(key).and_then(Value::as_str).unwrap_or_default());
    Rollout {
        model: text("model"),
        version: text("version"),
        parallel: count(body, "parallel", 1) as usize,
        floor: count(body, "floor", 1) as usize,
        paused: body.get("paused").and_then(Value::as_bool).unwrap_or(false),
    }
}
