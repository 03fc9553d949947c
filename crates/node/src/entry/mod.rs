//! The entry's reducer: admits, places, follows and ends the requests of its callers.
//!
//! | file | what it does |
//! |---|---|
//! | `admit` | takes a request or refuses it at once |
//! | `place` | chooses a backend server and sends the run there |
//! | `once` | claims runs that may be done only once |
//! | `follow` | takes parts of answers, losses and refusals |
//! | `finish` | ends requests, each with its final answer |
//!
//! A request that is given up on gets its final answer at once. "Not run" is said only when nothing
//! was sent, or when the agent has said that it never will start the run.

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

pub use once::standing_in;
pub use server::Server;

/// Longest wait for a cut link before an idempotent run goes on elsewhere.
const RELINK: Duration = Duration::from_millis(700);
/// Decisions kept for explaining.
const EXPLAINED: usize = 512;

/// What a decision needs besides the entry's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present time.
    pub now: Time,
    /// The configuration.
    pub view: &'a View,
    /// Requests to the keepers.
    pub keepers: &'a mut KeeperClient,
    /// Wall clock at the start of the process, milliseconds since 1970.
    pub started_ms: u64,
}

/// How a backend server was chosen.
#[derive(Clone, Debug)]
pub struct Explained {
    /// The dispatch.
    pub run: RunId,
    /// The chosen agent.
    pub agent: Name,
    /// What the run needed.
    pub need: Need,
    /// What was known of each server.
    pub candidates: Vec<Candidate>,
}

/// The entry's reducer.
#[derive(Debug)]
pub struct Entry {
    config: Config,
    me: Name,
    zone: Name,
    incarnation: Incarnation,
    next_number: u64,
    servers: BTreeMap<Name, Server>,
    entries: usize,
    /// Place of this entry among them, by name.
    rank: usize,
    runs: HashMap<u64, Run>,
    calls: HashMap<u64, u64>,
    queue: Queue,
    active: HashMap<Name, usize>,
    deadlines: BTreeSet<(Time, u64)>,
    directory: Directory,
    keep: Retention,
    budgets: HashMap<Name, Budget>,
    rates: HashMap<Name, Rate>,
    usage: Usage,
    explained: VecDeque<Explained>,
    turn: u64,
    draining: bool,
}

impl Entry {
    /// An entry that knows nobody yet.
    pub fn new(config: Config, me: Name, zone: Name, incarnation: Incarnation) -> Self {
        Self {
            queue: Queue::new(config.max_waiting),
            config,
            me,
            zone,
            incarnation,
            next_number: 1,
            servers: BTreeMap::new(),
            entries: 1,
            rank: 0,
            runs: HashMap::new(),
            calls: HashMap::new(),
            active: HashMap::new(),
            deadlines: BTreeSet::new(),
            directory: Directory::default(),
            keep: Retention::default(),
            budgets: HashMap::new(),
            rates: HashMap::new(),
            usage: Usage::default(),
            explained: VecDeque::new(),
            turn: 0,
            draining: false,
        }
    }

    /// Requests that have not ended.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Blocks in the directory.
    pub fn blocks(&self) -> usize {
        self.directory.len()
    }

    /// Takes no new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The backend servers known, by the name of their agent.
    pub fn servers(&self) -> &BTreeMap<Name, Server> {
        &self.servers
    }

    /// Entries that are there, this one included.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Place of this entry among those that are there.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// The processes that are there.
    pub fn members(&mut self, hellos: &[Hello]) {
        let entries = || hellos.iter().filter(|hello| hello.entry);
        self.entries = entries().count().max(1);
        self.rank = entries().filter(|hello| hello.name < self.me).count();
    }

    /// A link to a process is up.
    pub fn connected(&mut self, cx: &mut Context<'_>, hello: &Hello, out: &mut Effects) {
        if hello.server.is_none() {
            return;
        }
        let old = self.servers.remove(&hello.name);
        let same = old.as_ref().is_some_and(|old| old.hello.incarnation == hello.incarnation);
        let server = match old {
            Some(old) if same => Server { lost: None, hello: hello.clone(), ..old },
            _ => Server::new(hello.clone()),
        };
        self.servers.insert(hello.name.clone(), server);
        for number in self.sent_to(&hello.name) {
            let run = &self.runs[&number];
            let Stage::Sent { incarnation, .. } = &run.stage else { continue };
            if *incarnation == hello.incarnation {
                let frame = Frame::Resume { run: run.id, seq: run.next_seq };
                out.push(Effect::Send { to: hello.name.clone(), frame });
            } else {
                self.lost(cx, number, out);
            }
        }
        self.place(cx, out);
    }

    /// The last link to a peer is down.
    pub fn disconnected(&mut self, now: Time, peer: &Name) {
        if let Some(server) = self.servers.get_mut(peer) {
            server.lost = Some(now);
        }
    }

    /// A heartbeat came from a peer.
    pub fn beat(&mut self, cx: &mut Context<'_>, peer: &Name, beat: &Heartbeat, out: &mut Effects) {
        let Some(server) = self.servers.get_mut(peer) else {
            return;
        };
        server.beat(beat);
        self.place(cx, out);
    }

    /// News of what an agent's caches hold.
    pub fn news(&mut self, peer: &Name, news: &CacheDelta) {
        let place = match &news.store {
            Some(store) => store,
            None => peer,
        };
        let holder = self.directory.intern(place);
        // A store is written by many agents, so one agent's restart says nothing of it.
        if news.reset && news.store.is_none() {
            self.directory.clear_holder(holder);
        }
        for key in &news.added {
            self.directory.add(holder, *key);
        }
        for key in &news.removed {
            self.directory.remove(holder, key);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        self.expire(cx, out);
        self.usage.prune(cx.now);
        let lost: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, server)| server.lost.is_some_and(|at| cx.now.since(at) >= RELINK))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            for number in self.sent_to(&name) {
                self.lost(cx, number, out);
            }
        }
        self.look_after_joined(cx, out);
        self.place(cx, out);
    }

    /// How the last dispatch of a request was decided, and every candidate's estimate.
    pub fn explain(&self, request: &str) -> Option<(&Explained, Vec<Estimate>)> {
        let found = self.explained.iter().rev().find(|found| found.run.to_string() == request)?;
        let one = |candidate| route::estimate(&self.config.weights, &found.need, candidate);
        Some((found, found.candidates.iter().map(one).collect()))
    }

    fn sent_to(&self, name: &Name) -> Vec<u64> {
        let sent = |run: &Run| matches!(&run.stage, Stage::Sent { agent, .. } if agent == name);
        let mut numbers: Vec<u64> =
            self.runs.iter().filter(|(_, run)| sent(run)).map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// The entry as JSON, without any text of callers.
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
                    "age_ms": now.since(run.arrived).as_millis() as u64,
                    "tokens": run.delivered,
                    "once": run.once.is_some(),
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
