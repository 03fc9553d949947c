//! The settings of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use base::Name;
use ini_core::{Item, Parser};

use crate::SettingsError;

/// Default for the maximum number of log lines of one kind per second. It is more than ten times the
/// request rate of one process in the largest deployment.
pub const DEFAULT_LOG_LINES: u32 = 2_000;

/// Default for the memory that a process may use, megabytes: that of an entry VM of a large deployment.
const DEFAULT_MEMORY_MB: u64 = 160;
/// Default for the number of file descriptors: that of a VM less those reserved for files.
const DEFAULT_MAX_FDS: u64 = 4_096;

/// A role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Accepts HTTP requests of callers and routes them.
    Entry,
    /// Stores the replicated state.
    Keeper,
    /// Runs next to a backend server and is the only process that sends requests to it.
    Agent,
}

/// Kind of an agent's backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Weights of the three costs by which servers are scored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Weight of the time to first token.
    pub first_token: f64,
    /// Weight of recomputed prompt tokens.
    pub recompute: f64,
    /// Weight of the bytes sent over cache links.
    pub link: f64,
}

/// A process to connect to at startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Name of the process.
    pub name: Name,
    /// Address of its link listener.
    pub addr: SocketAddr,
}

/// Settings for forwarding requests to servers without an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Interval between two reads of the server list.
    pub list_interval: Duration,
    /// Retry budget in proportion to the requests of a service, per mille, for all entries together.
    pub retry_permille: u64,
    /// Retries per window in addition to that budget, for all entries together.
    pub retry_slack: u64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// How long requests are still accepted after a shutdown was requested.
    pub drain_delay: Duration,
    /// How long a leaving server may still receive requests if no other server accepts them.
    pub server_drain: Duration,
    /// How long a new leader waits before it issues orders.
    pub lease: Duration,
    /// How long after a newer weight version is set runs may still start on an older one.
    pub old_weights_grace: Duration,
    /// Maximum time since the configuration was last confirmed at which requests that it does not allow are still
    /// denied.
    pub max_deny_age: Duration,
    /// Longest wait for a connection to a server.
    pub connect_timeout: Duration,
    /// Whether requests that no server can take within their target wait in the entry.
    pub queue: bool,
}

/// All settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the process, unique in the deployment.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Roles of the process.
    pub roles: Vec<Role>,
    /// Address of its link listener.
    pub link: SocketAddr,
    /// Address at which other processes reach that listener, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Address of the operators' HTTP listener.
    pub operators: SocketAddr,
    /// Bearer key required from operators; empty allows everyone.
    pub operator_key: String,
    /// Data directory.
    pub data: PathBuf,
    /// Maximum time to wait for streams to finish after SIGTERM.
    pub drain_timeout: Duration,
    /// Maximum number of log lines of one kind per second.
    pub log_lines: u32,
    /// Memory that the process may use, megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may use.
    pub max_fds: u64,
    /// Processes to connect to at startup.
    pub seeds: Vec<Seed>,
    /// Address of the callers' HTTP listener.
    pub callers: SocketAddr,
    /// Maximum number of open caller connections.
    pub max_connections: usize,
    /// Maximum size of a caller's request body, bytes.
    pub max_body: usize,
    /// Maximum time until a request is received completely.
    pub arrival_timeout: Duration,
    /// Maximum number of queued requests in one entry.
    pub max_waiting: usize,
    /// Deadline of requests that specify none.
    pub deadline: Duration,
    /// Weights for scoring servers.
    pub score_weights: ScoreWeights,
    /// Maximum expected queue delay with which a request is admitted.
    pub max_wait: Duration,
    /// Whether to continue serving when no keeper and no peer can confirm the configuration.
    pub serve_unconfirmed: bool,
    /// Voters of the deployment's first configuration.
    pub voters: Vec<Name>,
    /// Desired number of voters. Other keepers are promoted while there are fewer.
    pub voters_wanted: usize,
    /// Whether keepers other than the initial voters are added as members, to be promoted later.
    pub accept_new_members: bool,
    /// Kind of the agent's backend server.
    pub server_kind: ServerKind,
    /// HTTP address of the backend server.
    pub server_addr: SocketAddr,
    /// Model that the engine serves, or name of the plain service.
    pub serves: Name,
    /// Weight version that the engine has loaded at startup.
    pub version: Name,
    /// Maximum number of concurrent runs on the backend server.
    pub slots: usize,
    /// Whether the backend server checks fencing tokens itself.
    pub checks_tokens: bool,
    /// Size of one prefix block on a store, bytes.
    pub piece_bytes: u64,
    /// Initial estimate of the bandwidth of a store link, bytes per second.
    pub link_bytes_per_s: u64,
    /// Maximum size of the blocks that this agent saves on the stores, bytes.
    pub store_bytes: u64,
    /// Store VMs: name and HTTP address.
    pub stores: Vec<Seed>,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// Settings for forwarding; `None` if the section `[forward]` is missing.
    pub forward: Option<Forward>,
}

/// Sections and their keys. A section without keys accepts any key.
const KEYS: &[(&str, &[&str])] = &[
    (
        "process",
        &[
            "name",
            "zone",
            "roles",
            "link",
            "advertise",
            "operators",
            "operator_key",
            "data",
            "drain_ms",
            "log_lines",
            "memory_mb",
            "max_fds",
        ],
    ),
    ("peers", &[]),
    (
        "entry",
        &[
            "callers",
            "max_connections",
            "max_body_bytes",
            "arrival_ms",
            "max_waiting",
            "deadline_ms",
            "max_wait_ms",
            "serve_unconfirmed",
            "weights",
        ],
    ),
    ("keeper", &["voters", "voters_wanted", "spares"]),
    (
        "forward",
        &[
            "list_ms",
            "retry_permille",
            "retry_slack",
            "retry_window_ms",
            "linger_ms",
            "server_drain_ms",
            "lease_ms",
            "old_weights_ms",
            "deny_ms",
            "queue",
            "connect_ms",
        ],
    ),
    ("agent", &["kind", "server", "serves", "version", "slots", "checks_tokens"]),
    ("cache", &["piece_bytes", "link_bytes_per_s", "store_bytes"]),
    ("stores", &[]),
    ("zones", &[]),
];

#[derive(Default)]
struct Table {
    values: BTreeMap<(String, String), (u32, String)>,
    errors: Vec<SettingsError>,
}

impl Settings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    /// Returns all errors, in the order of their lines.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        Self::parse_with_overrides(text, "")
    }

    /// Parses and validates settings in which the values of `overrides` take precedence over those of
    /// `text`.
    ///
    /// # Errors
    /// Returns all errors, in the order of their lines.
    pub fn parse_with_overrides(text: &str, overrides: &str) -> Result<Self, Vec<SettingsError>> {
        let mut table = Table::parse(text);
        let overrides = Table::parse(overrides);
        table.values.extend(overrides.values);
        table.errors.extend(overrides.errors);
        let settings = table.settings();
        if table.errors.is_empty() {
            return Ok(settings);
        }
        table.errors.sort_by_key(|error| error.line);
        Err(table.errors)
    }

    /// Whether the process has this role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

impl Table {
    fn parse(text: &str) -> Self {
        let mut table = Self::default();
        let mut section = String::new();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            match item {
                Item::Section(name) => section = table.section(line, name),
                Item::Property(key, value) => table.property(line, &section, key, value),
                Item::Error(found) => table.error(line, found, "not a section, key or comment"),
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        table
    }

    fn section(&mut self, line: u32, name: &str) -> String {
        if !KEYS.iter().any(|(allowed, _)| *allowed == name) {
            let allowed: Vec<&str> = KEYS.iter().map(|(allowed, _)| *allowed).collect();
            self.error(line, name, &format!("unknown section; allowed: {}", allowed.join(", ")));
        }
        name.to_owned()
    }

    fn property(&mut self, line: u32, section: &str, key: &str, value: Option<&str>) {
        let full = format!("{section}.{key}");
        let Some(value) = value else {
            self.error(line, &full, "missing value; expected key = value");
            return;
        };
        let Some((_, allowed)) = KEYS.iter().find(|(name, _)| *name == section) else {
            return;
        };
        if !allowed.is_empty() && !allowed.contains(&key) {
            self.error(line, &full, &format!("unknown key; allowed: {}", allowed.join(", ")));
            return;
        }
        let setting = (section.to_owned(), key.to_owned());
        if let Some((first, _)) = self.values.insert(setting, (line, value.to_owned())) {
            self.error(line, &full, &format!("duplicate key, first set in line {first}"));
        }
    }

    fn error(&mut self, line: u32, key: &str, text: &str) {
        self.errors.push(SettingsError { line, key: key.to_owned(), text: text.to_owned() });
    }

    fn get(&self, section: &str, key: &str) -> Option<(u32, String)> {
        self.values.get(&(section.to_owned(), key.to_owned())).cloned()
    }

    fn text(&mut self, section: &str, key: &str, default: Option<&str>) -> String {
        if let Some((line, value)) = self.get(section, key) {
            if value.is_empty() {
                self.error(line, &format!("{section}.{key}"), "must not be empty");
            }
            return value;
        }
        let Some(default) = default else {
            self.error(0, &format!("{section}.{key}"), "missing");
            return String::new();
        };
        default.to_owned()
    }

    fn parsed<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        let Some((line, value)) = self.get(section, key) else {
            return default;
        };
        let Ok(parsed) = value.parse() else {
            let text = format!("'{value}' is not allowed; {allowed}");
            self.error(line, &format!("{section}.{key}"), &text);
            return default;
        };
        parsed
    }

    fn number(&mut self, section: &str, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("an integer from {min} to {max}");
        let value = self.parsed(section, key, default, &allowed);
        if !(min..=max).contains(&value) {
            let line = self.get(section, key).map_or(0, |(line, _)| line);
            let text = format!("'{value}' is not allowed; {allowed}");
            self.error(line, &format!("{section}.{key}"), &text);
        }
        value
    }

    fn addr(&mut self, section: &str, key: &str, default: &str) -> SocketAddr {
        let fallback = default.parse().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        self.parsed(section, key, fallback, "an IP address and a port, such as 10.0.0.4:7410")
    }

    fn millis(&mut self, section: &str, key: &str, default: u64, max: u64) -> Duration {
        Duration::from_millis(self.number(section, key, default, 1, max))
    }

    fn seeds(&mut self, section: &str) -> Vec<Seed> {
        let keys: Vec<String> = self
            .values
            .keys()
            .filter(|(found, _)| found == section)
            .map(|(_, key)| key.clone())
            .collect();
        keys.iter()
            .map(|key| Seed { name: Name::new(key), addr: self.addr(section, key, "") })
            .collect()
    }

    fn regions(&self) -> BTreeMap<Name, Name> {
        let zones = self.values.iter().filter(|((section, _), _)| section == "zones");
        zones.map(|((_, zone), (_, region))| (Name::new(zone), Name::new(region))).collect()
    }

    fn roles(&mut self) -> Vec<Role> {
        let text = self.text("process", "roles", None);
        let line = self.get("process", "roles").map_or(0, |(line, _)| line);
        let mut roles = Vec::new();
        for word in text.split(',').map(str::trim).filter(|word| !word.is_empty()) {
            match word {
                "entry" => roles.push(Role::Entry),
                "keeper" => roles.push(Role::Keeper),
                "agent" => roles.push(Role::Agent),
                _ => {
                    let text = format!("'{word}' is not allowed; entry, keeper, agent");
                    self.error(line, "process.roles", &text);
                }
            }
        }
        roles
    }

    fn kind(&mut self) -> ServerKind {
        let Some((line, value)) = self.get("agent", "kind") else {
            return ServerKind::Engine;
        };
        match value.as_str() {
            "engine" => ServerKind::Engine,
            "plain" => ServerKind::Plain,
            _ => {
                let text = format!("'{value}' is not allowed; engine, plain");
                self.error(line, "agent.kind", &text);
                ServerKind::Engine
            }
        }
    }

    fn weights(&mut self) -> ScoreWeights {
        let first_token = ScoreWeights { first_token: 1.0, recompute: 0.2, link: 0.1 };
        let narrow_links = ScoreWeights { first_token: 0.4, recompute: 1.0, link: 0.3 };
        let Some((line, value)) = self.get("entry", "weights") else {
            return first_token;
        };
        match value.as_str() {
            "first-token" => first_token,
            "narrow-links" => narrow_links,
            _ => {
                let text = format!("'{value}' is not allowed; first-token, narrow-links");
                self.error(line, "entry.weights", &text);
                first_token
            }
        }
    }

    fn forward(&mut self) -> Option<Forward> {
        let present = self.values.keys().any(|(section, _)| section == "forward");
        present.then(|| Forward {
            list_interval: self.millis("forward", "list_ms", 1_000, 60_000),
            retry_permille: self.number("forward", "retry_permille", 200, 0, 10_000),
            retry_slack: self.number("forward", "retry_slack", 50, 0, 1_000_000),
            retry_window: self.millis("forward", "retry_window_ms", 10_000, 600_000),
            drain_delay: self.millis("forward", "linger_ms", 3_000, 60_000),
            server_drain: self.millis("forward", "server_drain_ms", 3_000, 600_000),
            lease: self.millis("forward", "lease_ms", 3_000, 60_000),
            old_weights_grace: self.millis("forward", "old_weights_ms", 6_000, 3_600_000),
            max_deny_age: self.millis("forward", "deny_ms", 1_500, 60_000),
            connect_timeout: self.millis("forward", "connect_ms", 1_000, 60_000),
            queue: self.parsed("forward", "queue", false, "true, false"),
        })
    }

    fn settings(&mut self) -> Settings {
        let roles = self.roles();
        let voters = self.text("keeper", "voters", Some(""));
        let voters: Vec<Name> =
            voters.split(',').map(str::trim).filter(|v| !v.is_empty()).map(Name::new).collect();
        let settings = Settings {
            name: self.text("process", "name", None).into(),
            zone: self.text("process", "zone", Some("zone-1")).into(),
            link: self.addr("process", "link", "127.0.0.1:7410"),
            advertise: self
                .get("process", "advertise")
                .map(|_| self.addr("process", "advertise", "")),
            operators: self.addr("process", "operators", "127.0.0.1:7401"),
            operator_key: self.text("process", "operator_key", Some("")),
            data: self.text("process", "data", Some("data")).into(),
            drain_timeout: self.millis("process", "drain_ms", 30_000, 3_600_000),
            log_lines: self.number(
                "process",
                "log_lines",
                u64::from(DEFAULT_LOG_LINES),
                1,
                1_000_000,
            ) as u32,
            memory_mb: self.number("process", "memory_mb", DEFAULT_MEMORY_MB, 16, 1 << 20),
            max_fds: self.number("process", "max_fds", DEFAULT_MAX_FDS, 64, 1 << 20),
            seeds: self.seeds("peers"),
            callers: self.addr("entry", "callers", "127.0.0.1:7400"),
            max_connections: self.number("entry", "max_connections", 4_000, 1, 60_000) as usize,
            max_body: self.number("entry", "max_body_bytes", 4 << 20, 1_024, 64 << 20) as usize,
            arrival_timeout: self.millis("entry", "arrival_ms", 10_000, 600_000),
            max_waiting: self.number("entry", "max_waiting", 2_000, 1, 100_000) as usize,
            deadline: self.millis("entry", "deadline_ms", 120_000, 3_600_000),
            max_wait: self.millis("entry", "max_wait_ms", 30_000, 3_600_000),
            serve_unconfirmed: self.parsed("entry", "serve_unconfirmed", false, "true, false"),
            score_weights: self.weights(),
            voters_wanted: self.number("keeper", "voters_wanted", voters.len() as u64, 0, 9)
                as usize,
            accept_new_members: self.parsed("keeper", "spares", false, "true, false"),
            forward: self.forward(),
            voters,
            server_kind: self.kind(),
            server_addr: self.addr("agent", "server", "127.0.0.1:7500"),
            serves: self.text("agent", "serves", Some("demo")).into(),
            version: self.text("agent", "version", Some("v1")).into(),
            slots: self.number("agent", "slots", 16, 1, 4_096) as usize,
            checks_tokens: self.parsed("agent", "checks_tokens", false, "true, false"),
            piece_bytes: self.number("cache", "piece_bytes", 4_140, 64, 1 << 30),
            link_bytes_per_s: self.number("cache", "link_bytes_per_s", 100 << 20, 1_024, 1 << 40),
            store_bytes: self.number("cache", "store_bytes", 1 << 30, 0, 1 << 50),
            stores: self.seeds("stores"),
            regions: self.regions(),
            roles,
        };
        if settings.roles.contains(&Role::Keeper)
            && settings.voters.is_empty()
            && !settings.accept_new_members
        {
            self.error(0, "keeper.voters", "missing; required for a keeper unless spares = true");
        }
        settings
    }
}
