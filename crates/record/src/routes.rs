//! Routes by host and path prefix, and the services that they forward to.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use serde_json::{Map, Value};

/// Whether a request may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It is not retried: it runs at most once.
    #[default]
    Never,
    /// The complete request is sent again.
    Always,
    /// A stream is resumed after its last event.
    Resume,
}

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: Name,
    /// Its weight among the route's backends.
    pub weight: u64,
}

/// How requests to a host and path prefix are forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host of the requests.
    pub host: String,
    /// Prefix of their path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Time limit for a request.
    pub timeout: Duration,
    /// Time in which callers expect the response or, for a stream, its first event.
    pub latency_target: Duration,
    /// Rank of the requests; lower ranks are served first.
    pub rank: u8,
    /// Services with their weights.
    pub backends: Vec<Backend>,
    /// Maximum number of backend servers to which one request is sent.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests name the segments of their prompt.
    pub names_segments: bool,
    /// Longest interval between two events of a stream that callers expect.
    pub max_event_gap: Option<Duration>,
    /// Regions whose servers may receive the requests; empty for all.
    pub regions: Vec<Name>,
}

impl Route {
    /// Selects a backend in proportion to the weights, given a number `0 <= point < 1`.
    pub fn backend(&self, point: f64) -> Option<&Backend> {
        let total: u64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut remaining = (point * total as f64) as u64;
        self.backends.iter().find(|backend| {
            let selected = remaining < backend.weight;
            remaining = remaining.saturating_sub(backend.weight);
            selected
        })
    }
}

/// Properties of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Model.
    pub model: Name,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Capacity of its memory, tokens.
    pub tokens: u64,
    /// Size of one token in memory, bytes.
    pub token_bytes: u64,
    /// Bandwidth of its cache link, bits per second.
    pub link_bits_per_s: u64,
}

/// A store for prompt segments.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Capacity, tokens.
    pub tokens: u64,
    /// Bandwidth of its link, bits per second.
    pub link_bits_per_s: u64,
    /// Setup time of each transfer.
    pub latency: Duration,
}

/// How a server behaves for some time after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a server stays cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold server accepts from all VMs together.
    pub per_second: f64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one of its servers accepts, from all callers together.
    pub connections: Option<u32>,
    /// Properties of its servers, if they are model engines.
    pub engine: Option<Engine>,
    /// Properties of the store, if the service is one.
    pub store: Option<Store>,
    /// Limit on requests to its servers while they are cold, if there is one.
    pub cold: Option<ColdStart>,
}

/// Routes, looked up by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: BTreeMap<Name, Route>,
    /// Prefixes and names of each host's routes, longest prefix first.
    hosts: HashMap<String, Vec<(String, Name)>>,
}

impl RouteTable {
    /// Finds the route with the longest prefix that matches the path on this host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        let (_, name) = prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()))?;
        self.routes.get(name)
    }

    /// The route of this name.
    pub fn get(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    pub(crate) fn insert(&mut self, route: Route) {
        self.remove(&route.name.clone());
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        let position = prefixes.partition_point(|(prefix, _)| prefix.len() > route.prefix.len());
        prefixes.insert(position, (route.prefix.clone(), route.name.clone()));
        self.routes.insert(route.name.clone(), route);
    }

    pub(crate) fn remove(&mut self, name: &Name) {
        let Some(old) = self.routes.remove(name) else {
            return;
        };
        if let Some(prefixes) = self.hosts.get_mut(&old.host) {
            prefixes.retain(|(_, other)| other != name);
            if prefixes.is_empty() {
                self.hosts.remove(&old.host);
            }
        }
    }
}

/// The regions that a route or a workspace is restricted to; empty for none.
pub(crate) fn regions(body: &Map<String, Value>) -> Vec<Name> {
    let list = body.get("regions").and_then(Value::as_array).map(Vec::as_slice);
    list.unwrap_or_default().iter().filter_map(Value::as_str).map(Name::new).collect()
}

pub(crate) fn route(name: &Name, body: &Map<String, Value>) -> Route {
    const DEFAULT_RANK: u64 = 5;
    const MAX_RANK: u64 = 9;
    let text = |key: &str| body.get(key).and_then(Value::as_str).unwrap_or_default().to_owned();
    let number = |key: &str| body.get(key).and_then(Value::as_u64);
    let flag = |key: &str| body.get(key).and_then(Value::as_bool).unwrap_or(false);
    let timeout = Duration::from_millis(number("timeout_ms").unwrap_or_default());
    let parts = body.get("backends").and_then(Value::as_array).map(Vec::as_slice);
    let backend = |part: &Value| {
        let service = Name::new(part["service"].as_str()?);
        Some(Backend { service, weight: part["weight"].as_u64()? })
    };
    Route {
        name: name.clone(),
        host: text("host"),
        prefix: text("prefix"),
        retry_policy: match text("repeat").as_str() {
            "always" => RetryPolicy::Always,
            "resume" => RetryPolicy::Resume,
            _ => RetryPolicy::Never,
        },
        timeout,
        latency_target: number("target_ms").map_or(timeout, Duration::from_millis),
        rank: number("rank").unwrap_or(DEFAULT_RANK).min(MAX_RANK) as u8,
        backends: parts.unwrap_or_default().iter().filter_map(backend).collect(),
        attempts: number("attempts").unwrap_or(1).max(1) as u32,
        public: flag("public"),
        names_segments: flag("sticky"),
        max_event_gap: number("gap_ms").map(Duration::from_millis),
        regions: regions(body),
    }
}

pub(crate) fn service(body: &Map<String, Value>) -> Service {
    let engine = body.get("engine").map(|engine| Engine {
        model: Name::new(engine["model"].as_str().unwrap_or_default()),
        slots: engine["slots"].as_u64().unwrap_or(1) as u32,
        tokens: engine["tokens"].as_u64().unwrap_or_default(),
        token_bytes: engine["token_bytes"].as_u64().unwrap_or_default(),
        link_bits_per_s: engine["link_rate"].as_u64().unwrap_or_default(),
    });
    let store = body.get("store").and_then(|store| {
        Some(Store {
            addr: store["addr"].as_str()?.parse().ok()?,
            zone: Name::new(store["zone"].as_str().unwrap_or_default()),
            tokens: store["tokens"].as_u64().unwrap_or_default(),
            link_bits_per_s: store["link_rate"].as_u64().unwrap_or_default(),
            latency: Duration::from_micros(store["latency_us"].as_u64().unwrap_or_default()),
        })
    });
    let connections = body.get("connections").and_then(Value::as_u64).map(|count| count as u32);
    let cold = body.get("cold").and_then(|cold| {
        Some(ColdStart {
            duration: Duration::from_millis(cold["duration_ms"].as_u64()?),
            per_second: cold["per_second"].as_f64()?,
        })
    });
    Service { connections, engine, store, cold }
}
