//! Routes by host and path prefix, and the services they lead to.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use serde_json::{Map, Value};

/// What may be done again when a try of a request fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Nothing: the request runs at most once.
    #[default]
    Never,
    /// The whole request.
    Always,
    /// The rest of a stream, from the last event on.
    Resume,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service that it goes to.
    pub service: Name,
    /// Its weight among the route's backends.
    pub weight: u64,
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host of the requests.
    pub host: String,
    /// Start of their path; begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers expect.
    pub latency_target: Duration,
    /// Rank among requests, 0 first.
    pub rank: u8,
    /// Services, by weight.
    pub backends: Vec<Backend>,
    /// Most backend servers that one request is given to.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
    /// Whether requests name the parts of a prompt.
    pub names_segments: bool,
    /// Longest pause between events that callers expect.
    pub max_event_gap: Option<Duration>,
}

impl Route {
    /// The backend at a point of the route's weights, `0 <= point < 1`.
    pub fn backend(&self, point: f64) -> Option<&Backend> {
        let total: u64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = (point * total as f64) as u64;
        self.backends.iter().find(|backend| {
            let here = left < backend.weight;
            left = left.saturating_sub(backend.weight);
            here
        })
    }
}

/// A model engine's measures.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Model.
    pub model: Name,
    /// Most runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub tokens: u64,
    /// Bytes of one token in memory.
    pub token_bytes: u64,
    /// Rate of its cache link, bits per second.
    pub link_bits_per_s: u64,
}

/// A store of prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Tokens that it holds.
    pub tokens: u64,
    /// Rate of its link, bits per second.
    pub link_bits_per_s: u64,
    /// Wait before each transfer.
    pub latency: Duration,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Most connections that one of its servers takes, of all callers.
    pub connections: Option<u32>,
    /// Measures of its servers, if they are model engines.
    pub engine: Option<Engine>,
    /// The store that it is.
    pub store: Option<Store>,
}

/// The routes, found by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: BTreeMap<Name, Route>,
    /// Names of a host's routes, longest prefix first.
    hosts: HashMap<String, Vec<(String, Name)>>,
}

impl RouteTable {
    /// The route of a request: the longest prefix of the host that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        let (_, name) = prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()))?;
        self.routes.get(name)
    }

    /// Every route.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    pub(crate) fn insert(&mut self, route: Route) {
        self.remove(&route.name.clone());
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        let place = prefixes.partition_point(|(prefix, _)| prefix.len() > route.prefix.len());
        prefixes.insert(place, (route.prefix.clone(), route.name.clone()));
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

pub(crate) fn route(name: &Name, body: &Map<String, Value>) -> Route {
    const RANK: u64 = 5;
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
        rank: number("rank").unwrap_or(RANK).min(9) as u8,
        backends: parts.unwrap_or_default().iter().filter_map(backend).collect(),
        attempts: number("attempts").unwrap_or(1).max(1) as u32,
        public: flag("public"),
        names_segments: flag("sticky"),
        max_event_gap: number("gap_ms").map(Duration::from_millis),
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
    Service { connections, engine, store }
}
