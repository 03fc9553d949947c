//! The entry's reducer: admits, places, tracks and completes the requests of its callers.
//!
//! | file | what it does |
//! |---|---|
//! | `admit` | admits a request or rejects it immediately |
//! | `place` | chooses a backend server and sends the run there |
//! | `once` | claims runs that must not execute more than once |
//! | `follow` | handles response parts, lost attempts and rejections |
//! | `finish` | completes requests, each with one final response |
//!
//! An abandoned request gets its final response immediately. "Not run" is reported only if nothing was
//! sent, or if the agent has confirmed that it will never start the run.

mod admit;
mod finish;
mod follow;
mod once;
mod place;
mod server;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use base::prelude::*;
use cache::{Directory, Retention};
use limit::{Budget, Queue, Rate, Usage};
use record::View;
use route::{Candidate, Estimate, Need};
use serde_json::{Value, json};
use wire::{CacheDelta, Frame, Heartbeat, Hello};

use crate::keeper_client::KeeperClient;
use crate::run::Stage;
use crate::{Config, Effect, Effects, Run};

pub use once::claim_status_in;
pub use server::Server;

/// How long a lost connection may take to come back before its idempotent runs are retried elsewhere.
const RECONNECT_GRACE: Duration = Duration::from_millis(700);
/// Placement decisions retained for [`Entry::explain`].
const MAX_EXPLAINED: usize = 512;

/// Inputs to a decision besides the entry's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Time,
    /// The configuration.
    pub view: &'a View,
    /// Client for requests to the keepers.
    pub keepers: &'a mut KeeperClient,
    /// Wall clock when the process started, in milliseconds since 1970.
    pub started_ms: u64,
}

/// How a backend server was chosen.
#[derive(Clone, Debug)]
pub struct PlacementDecision {
    /// The attempt.
    pub run: RunId,
    /// The chosen agent.
    pub agent: Name,
    /// Resources that the run required.
    pub need: Need,
    /// The state of each server at that time.
    pub candidates: Vec<Candidate>,
}

/// The entry's reducer.
#[derive(Debug)]
pub struct Entry {
    config: Config,
    name: Name,
    zone: Name,
    incarnation: Incarnation,
    next_number: u64,
    servers: BTreeMap<Name, Server>,
    entries: usize,
    /// Index of this entry among all entries, ordered by name.
    index: usize,
    runs: HashMap<u64, Run>,
    /// Numbers of runs by exchange.
    calls: HashMap<u64, u64>,
    queue: Queue,
    /// Number of runs with a slot, by workspace.
    active: HashMap<Name, usize>,
    deadlines: BTreeSet<(Time, u64)>,
    directory: Directory,
    retention: Retention,
    /// Retry budgets by target.
    budgets: HashMap<Name, Budget>,
    /// Completion rates by target.
    rates: HashMap<Name, Rate>,
    usage: Usage,
    explained: VecDeque<PlacementDecision>,
    /// Number of placement decisions; spreads equal choices over servers.
    placements: u64,
    draining: bool,
}

impl Entry {
    /// An entry without connections.
    pub fn new(config: Config, name: Name, zone: Name, incarnation: Incarnation) -> Self {
        Self {
            queue: Queue::new(config.max_waiting),
            config,
            name,
            zone,
            incarnation,
            next_number: 1,
            servers: BTreeMap::new(),
            entries: 1,
            index: 0,
            runs: HashMap::new(),
            calls: HashMap::new(),
            active: HashMap::new(),
            deadlines: BTreeSet::new(),
            directory: Directory::default(),
            retention: Retention::default(),
            budgets: HashMap::new(),
            rates: HashMap::new(),
            usage: Usage::default(),
            explained: VecDeque::new(),
            placements: 0,
            draining: false,
        }
    }

    /// Number of requests that have not completed.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Number of requests waiting to be placed.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of blocks in the directory.
    pub fn blocks(&self) -> usize {
        self.directory.len()
    }

    /// Rejects new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The tracked backend servers, by the name of their agent.
    pub fn servers(&self) -> &BTreeMap<Name, Server> {
        &self.servers
    }

    /// Number of entries in the cluster, including this one.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Index of this entry among the entries of the cluster, ordered by name.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Updates the processes of the cluster.
    pub fn set_members(&mut self, hellos: &[Hello]) {
        let entries = || hellos.iter().filter(|hello| hello.entry);
        self.entries = entries().count().max(1);
        self.index = entries().filter(|hello| hello.name < self.name).count();
    }

    /// A connection to a process was established.
    pub fn connected(&mut self, cx: &mut Context<'_>, hello: &Hello, out: &mut Effects) {
        if hello.server.is_none() {
            return;
        }
        let previous = self.servers.remove(&hello.name);
        let same = previous
            .as_ref()
            .is_some_and(|previous| previous.hello.incarnation == hello.incarnation);
        let server = match previous {
            Some(previous) if same => {
                Server { disconnected_at: None, hello: hello.clone(), ..previous }
            }
            _ => Server::new(hello.clone()),
        };
        self.servers.insert(hello.name.clone(), server);
        for number in self.runs_sent_to(&hello.name) {
            let run = &self.runs[&number];
            let Stage::Sent { incarnation, .. } = &run.stage else { continue };
            if *incarnation == hello.incarnation {
                let frame = Frame::Resume { run: run.id, seq: run.next_seq };
                out.push(Effect::Send { to: hello.name.clone(), frame });
            } else {
                self.attempt_lost(cx, number, out);
            }
        }
        self.place(cx, out);
    }

    /// The last connection to a peer was lost.
    pub fn disconnected(&mut self, now: Time, peer: &Name) {
        if let Some(server) = self.servers.get_mut(peer) {
            server.disconnected_at = Some(now);
        }
    }

    /// Handles a heartbeat from a peer.
    pub fn heartbeat(
        &mut self,
        cx: &mut Context<'_>,
        peer: &Name,
        heartbeat: &Heartbeat,
        out: &mut Effects,
    ) {
        let Some(server) = self.servers.get_mut(peer) else {
            return;
        };
        server.heartbeat(heartbeat);
        self.place(cx, out);
    }

    /// Applies a change of the contents of an agent's caches.
    pub fn apply_cache_delta(&mut self, peer: &Name, delta: &CacheDelta) {
        let holder_name = match &delta.store {
            Some(store) => store,
            None => peer,
        };
        let holder = self.directory.intern(holder_name);
        // A store is written by many agents, so a reset by one agent doesn't apply to it.
        if delta.reset && delta.store.is_none() {
            self.directory.clear_holder(holder);
        }
        for key in &delta.added {
            self.directory.add_block(holder, *key);
        }
        for key in &delta.removed {
            self.directory.remove_block(holder, key);
        }
    }

    /// Performs periodic work.
    pub fn tick(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        self.expire(cx, out);
        self.usage.prune(cx.now);
        let expired: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                server.disconnected_at.is_some_and(|at| cx.now.since(at) >= RECONNECT_GRACE)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            for number in self.runs_sent_to(&name) {
                self.attempt_lost(cx, number, out);
            }
        }
        self.poll_joined(cx, out);
        self.place(cx, out);
    }

    /// How the last attempt of a request was placed, and every candidate's estimate.
    pub fn explain(&self, request: &str) -> Option<(&PlacementDecision, Vec<Estimate>)> {
        let found = self.explained.iter().rev().find(|found| found.run.to_string() == request)?;
        let one = |candidate| route::estimate(&self.config.weights, &found.need, candidate);
        Some((found, found.candidates.iter().map(one).collect()))
    }

    fn runs_sent_to(&self, name: &Name) -> Vec<u64> {
        let sent = |run: &Run| matches!(&run.stage, Stage::Sent { agent, .. } if agent == name);
        let mut numbers: Vec<u64> =
            self.runs.iter().filter(|(_, run)| sent(run)).map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// The entry's state as JSON, without request or response contents.
    pub fn dump(&self, now: Time) -> Value {
        let runs: Vec<Value> = self
            .runs
            .values()
            .map(|run| {
                json!({
                    "request": run.id.to_string(),
                    "attempt": run.id.attempt,
                    "workspace": &*run.workspace.name,
                    "target": &**run.work.target(),
                    "stage": run.stage.as_str(),
                    "agent": run.stage.agent().map(|agent| &**agent),
                    "age_ms": now.since(run.arrived_at).as_millis() as u64,
                    "tokens": run.delivered,
                    "once": run.claim_key.is_some(),
                })
            })
            .collect();
        json!({
            "draining": self.draining,
            "entries": self.entries,
            "waiting": self.queue.len(),
            "blocks": self.directory.len(),
            "servers": self.servers.values().map(|s| s.dump(now)).collect::<Vec<_>>(),
            "runs": runs,
        })
    }
}
