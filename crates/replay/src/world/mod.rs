//! The simulation: one event queue, the reducers of all processes, and simulated servers and stores.

mod callers;
mod faults;
mod servers;
mod stores;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use base::{Code, Fate, Incarnation, Name, RunId, Time};
use cache::Key;
use fake::{Answer, Batch, Profile};
use node::{CacheEvent, Config, Effect, Effects, Event, Keeper, LocalProcess, Node, ServerEvent};
use quorum::{Bootstrap, Member, Replica, Saved, Timing};
use record::Kind;
use state::{Command, Put};
use wire::{Frame, Hello, Request, ServerInfo};

use crate::{Ask, Deployment, Line, Outcome, Trace, Violation};

/// Latency of a frame between two processes.
const HOP_LATENCY: Duration = Duration::from_micros(200);
/// Time to sync a write to disk.
const SYNC_TIME: Duration = Duration::from_millis(1);
/// Interval between two ticks of a reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay until an agent receives cache events.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(60);
/// Service time of a plain call.
const PLAIN_CALL_TIME: Duration = Duration::from_millis(4);
/// Round trip to a store.
const STORE_ROUND_TRIP: Duration = Duration::from_micros(500);
/// Start-up time, in which the processes connect and elect a leader; no line of the trace runs earlier.
const STARTUP_TIME: Duration = Duration::from_millis(1_900);
/// Every request must have its response within this time after the last line.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(150);
/// Time for which a leaving server may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
const MODEL: &str = "model";
const SERVICE: &str = "service";
const BYTES_PER_TOKEN: usize = 4;

/// An entry of the event queue. Entries for one process name its incarnation and are dropped once that has
/// ended.
#[derive(Debug)]
enum Scheduled {
    /// An event for the reducer of a process.
    Event(usize, Box<Event>, Incarnation),
    /// A tick of all reducers.
    Tick,
    /// A line of the trace, by index.
    Line(usize),
    /// A step of an engine.
    EngineStep(usize, Incarnation),
    /// A load report of an engine.
    Report(usize, Incarnation),
    /// A replica that a prompt has crashed starts again.
    Revive(usize),
}

/// A run on an engine.
struct EngineRun {
    run: RunId,
    answer: Answer,
    /// Whether the engine crashes as it sends the first token.
    deadly: bool,
}

struct Process {
    hello: Hello,
    /// The reducer; `None` while the process is down.
    node: Option<Node>,
    engine: Option<EngineState>,
    /// Factor by which engine steps are slowed down.
    slowdown: u64,
    version: Name,
    /// When the process was asked to stop.
    stopped: Option<Time>,
}

struct EngineState {
    batch: Batch,
    jobs: HashMap<u64, EngineRun>,
    next: u64,
    stepping: bool,
    version: Name,
    /// Rate limit in runs per 1,000 s, and since when it is advertised.
    limit: Option<(u64, Time)>,
    /// Start times of the runs that are counted against the limit.
    limited_starts: Vec<Time>,
}

#[derive(Default)]
struct Store {
    blocks: HashSet<Key>,
    dead: bool,
    full: bool,
    /// Factor by which its links are slowed down.
    slowdown: u64,
}

/// A request of a caller and its response.
struct Exchange {
    ask: Option<Ask>,
    at: Time,
    text: Vec<u8>,
    status: u16,
    /// When the response began.
    begun: Option<Time>,
    /// Whether the response ended complete, and when.
    finished: Option<(bool, Time)>,
    /// Index of the entry that received the request.
    entry: usize,
    /// Idempotency key of a plain call.
    key: Option<u64>,
    /// Prompt tokens to compute if every complete prefix block seen before were cached.
    min_computed_tokens: u64,
}

struct World<'a> {
    trace: &'a Trace,
    config: Config,
    now: Time,
    /// Scheduled work by time, then in the order of scheduling.
    queue: BTreeMap<(Time, u64), Scheduled>,
    count: u64,
    processes: Vec<Process>,
    names: HashMap<Name, usize>,
    stores: Vec<Store>,
    /// When the link of a process to a store is free again.
    link_free_at: HashMap<(usize, usize), Time>,
    exchanges: HashMap<u64, Exchange>,
    next_call: u64,
    documents: HashMap<u64, String>,
    /// Prompt tokens in complete blocks seen so far, by workspace and document.
    seen_tokens: HashMap<(String, u64), u64>,
    /// Workspace by the beginning of a prompt, which no two documents share.
    workspace_by_head: HashMap<String, Name>,
    /// Workspace and weight version that first used a block.
    block_owners: HashMap<Key, (Name, Name)>,
    /// Number of times that each request was served, by entry and run number.
    served: HashMap<(Incarnation, u64), u32>,
    /// Number of runs of each plain call, by body.
    plain_calls: HashMap<Vec<u8>, u32>,
    ended: Vec<(RunId, Code)>,
    /// Documents whose prompts crash engines.
    tainted: HashSet<u64>,
    /// Number of engines that each request has crashed, by entry and run number.
    crashed: HashMap<(Incarnation, u64), u32>,
    /// Version that the next rollout record gets.
    version: u64,
    out: Outcome,
}

/// Replays a trace under a routing policy; the same arguments yield the same outcome.
pub fn run(trace: &Trace, policy: node::Policy) -> Outcome {
    let mut world = World::new(trace, policy);
    world.start();
    world.process_queue();
    world.finish()
}

fn config(deployment: &Deployment, policy: node::Policy) -> Config {
    let with_stores = matches!(policy, node::Policy::Estimate | node::Policy::FetchAll);
    let stores = if with_stores { deployment.stores } else { 0 };
    let weight = |permille: u64| permille as f64 / 1e3;
    let mut config = Config {
        policy,
        stores: (0..stores).map(|n| Name::from(format!("store-{n}"))).collect(),
        piece_bytes: deployment.block_bytes,
        link_rate: deployment.link_rate,
        store_bytes: deployment.store_blocks * deployment.block_bytes * deployment.stores
            / deployment.replicas.max(1),
        ..Config::default()
    };
    config.weights.first_token = weight(deployment.weigh_first);
    config.weights.recompute = weight(deployment.weigh_recompute);
    config.weights.link = weight(deployment.weigh_link);
    config
}

impl<'a> World<'a> {
    fn new(trace: &'a Trace, policy: node::Policy) -> Self {
        let deployment = &trace.deployment;
        Self {
            trace,
            config: config(deployment, policy),
            now: Time::ZERO,
            queue: BTreeMap::new(),
            count: 0,
            processes: Vec::new(),
            names: HashMap::new(),
            stores: (0..deployment.stores)
                .map(|_| Store { slowdown: 1, ..Store::default() })
                .collect(),
            link_free_at: HashMap::new(),
            exchanges: HashMap::new(),
            next_call: 0,
            documents: HashMap::new(),
            seen_tokens: HashMap::new(),
            workspace_by_head: HashMap::new(),
            block_owners: HashMap::new(),
            served: HashMap::new(),
            plain_calls: HashMap::new(),
            ended: Vec::new(),
            tainted: HashSet::new(),
            crashed: HashMap::new(),
            version: 1,
            out: Outcome::default(),
        }
    }

    fn start(&mut self) {
        let deployment = self.trace.deployment.clone();
        self.add("keeper", 0, false, true, None);
        for n in 0..deployment.entries {
            self.add(&format!("entry-{n}"), n, true, false, None);
        }
        for n in 0..deployment.replicas {
            let server =
                ServerInfo { serves: MODEL.into(), plain: false, slots: deployment.slots as u32 };
            self.add(&format!("agent-{n}"), n, false, false, Some(server));
        }
        for n in 0..deployment.plains {
            let server = ServerInfo { serves: SERVICE.into(), plain: true, slots: 64 };
            self.add(&format!("plain-{n}"), n, false, false, Some(server));
        }
        for index in 0..self.processes.len() {
            self.boot(index);
        }
        self.put_records();
        self.schedule(TICK_INTERVAL, Scheduled::Tick);
        for (index, (at, _)) in self.trace.lines.iter().enumerate() {
            let at = Time(at.0.max(STARTUP_TIME.as_micros() as u64));
            self.count += 1;
            self.queue.insert((at, self.count), Scheduled::Line(index));
        }
    }

    fn add(
        &mut self,
        name: &str,
        zone: u64,
        entry: bool,
        keeper: bool,
        server: Option<ServerInfo>,
    ) {
        let zone = zone % self.trace.deployment.zones;
        let index = self.processes.len();
        let hello = Hello {
            name: Name::new(name),
            incarnation: Incarnation(1_000 + index as u64),
            zone: Name::from(format!("zone-{zone}")),
            addr: ([127, 0, 0, 1], 1).into(),
            entry,
            keeper,
            server,
        };
        self.names.insert(hello.name.clone(), index);
        let version = Name::new("v1");
        let process =
            Process { hello, node: None, engine: None, slowdown: 1, version, stopped: None };
        self.processes.push(process);
    }

    fn boot(&mut self, index: usize) {
        let deployment = &self.trace.deployment;
        let process = &mut self.processes[index];
        let hello = process.hello.clone();
        let me = LocalProcess {
            hello: hello.clone(),
            version: process.version.clone(),
            started_ms: 1_000,
        };
        let keeper = hello.keeper.then(|| {
            let member = Member { name: hello.name.clone(), disk_id: 1 };
            let bootstrap = Bootstrap::of(vec![hello.name.clone()], 1);
            let saved = Saved::default();
            let quorum = Replica::new(member, bootstrap, Timing::default(), 1, saved);
            Keeper::new(hello.name.clone(), quorum).expect("an empty state")
        });
        process.node = Some(Node::new(me, self.config.clone(), keeper));
        process.stopped = None;
        if hello.server.as_ref().is_some_and(|server| !server.plain) {
            let profile = Profile {
                step_us: deployment.step_us,
                slots: deployment.slots as usize,
                prefill: deployment.prefill,
                blocks: deployment.blocks as usize,
                block_tokens: 1_000,
                lose_every: deployment.lose_every,
            };
            process.engine = Some(EngineState {
                batch: Batch::new(profile),
                jobs: HashMap::new(),
                next: 0,
                stepping: false,
                version: process.version.clone(),
                limit: None,
                limited_starts: Vec::new(),
            });
            let incarnation = hello.incarnation;
            self.schedule(REPORT_INTERVAL, Scheduled::Report(index, incarnation));
        }
        for other in 0..self.processes.len() {
            if self.connected(index, other) {
                let other_hello = self.processes[other].hello.clone();
                self.event(other, HOP_LATENCY, Event::Connected(hello.clone()));
                self.event(index, HOP_LATENCY, Event::Connected(other_hello));
            }
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.processes[a], &self.processes[b]);
        let keeper = a.hello.keeper != b.hello.keeper;
        let serves = a.hello.entry && b.hello.server.is_some();
        let served = b.hello.entry && a.hello.server.is_some();
        a.node.is_some() && b.node.is_some() && (keeper || serves || served)
    }

    /// Puts the records through the keeper, as an operator would.
    fn put_records(&mut self) {
        let concurrency = self.trace.deployment.concurrency;
        let mut names: Vec<String> = self
            .trace
            .lines
            .iter()
            .filter_map(|(_, line)| match line {
                Line::Ask(ask) => Some(ask.workspace.clone()),
                Line::Call { workspace, .. } => Some(workspace.clone()),
                Line::Fault(_) => None,
            })
            .collect();
        names.sort();
        names.dedup();
        for (index, name) in names.iter().enumerate() {
            let key = blake3::hash(name.as_bytes()).to_hex();
            let body = format!(r#"{{"keys":["{key}"],"concurrency":{concurrency}}}"#);
            self.put(index as u64, Kind::Workspace, name, 0, &body);
        }
        let once = r#"{"once":[{"method":"POST","prefix":"/"}]}"#;
        self.put(900, Kind::Service, SERVICE, 0, once);
        self.put(901, Kind::Model, MODEL, 0, "{}");
    }

    fn put(&mut self, id: u64, kind: Kind, name: &str, expect: u64, body: &str) {
        let put = Put {
            request: Name::from(format!("replay-{id}")),
            by: Name::new("replay"),
            at_ms: 1,
            kind,
            name: Name::new(name),
            expected_version: expect,
            schema: record::schema::newest(kind),
            min_schema: 1,
            body: body.to_owned(),
        };
        let request = Request::Command(Command::Put(put));
        let frame = Frame::Request { id: 1 << 40 | id, request };
        // Late enough for the keeper to have formed its configuration and elected itself.
        let event = Event::Frame { peer: Name::new("replay"), frame };
        self.event(0, Duration::from_millis(1_500), event);
    }

    fn schedule(&mut self, after: Duration, due: Scheduled) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), due);
    }

    fn event(&mut self, index: usize, after: Duration, event: Event) {
        let incarnation = self.processes[index].hello.incarnation;
        self.schedule(after, Scheduled::Event(index, Box::new(event), incarnation));
    }

    fn process_queue(&mut self) {
        let last = self.trace.lines.last().map_or(Time::ZERO, |(at, _)| *at);
        while let Some(((at, _), due)) = self.queue.pop_first() {
            self.now = at;
            if at > last + MAX_RESPONSE_TIME {
                return;
            }
            let unfinished = self.exchanges.values().any(|exchange| exchange.finished.is_none());
            if at > last + STARTUP_TIME && !unfinished {
                return;
            }
            match due {
                Scheduled::Event(index, event, incarnation) => {
                    if self.processes[index].hello.incarnation == incarnation {
                        self.step(index, *event);
                    }
                }
                Scheduled::Tick => {
                    for index in 0..self.processes.len() {
                        self.step(index, Event::Tick);
                    }
                    self.schedule(TICK_INTERVAL, Scheduled::Tick);
                }
                Scheduled::Line(line) => {
                    let line = self.trace.lines[line].1.clone();
                    self.line(line);
                }
                Scheduled::EngineStep(index, incarnation) => self.engine_step(index, incarnation),
                Scheduled::Report(index, incarnation) => self.report(index, incarnation),
                Scheduled::Revive(index) => {
                    if self.processes[index].node.is_none() {
                        self.boot(index);
                    }
                }
            }
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.processes[index].node else {
            return;
        };
        let mut effects = Effects::new();
        node.step(now, event, &mut effects);
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => {
                self.check_leaving(&to, &frame);
                let Some(other) = self.names.get(&to).copied() else {
                    return;
                };
                if self.processes[other].node.is_some() {
                    let peer = self.processes[index].hello.name.clone();
                    self.event(other, HOP_LATENCY, Event::Frame { peer, frame });
                }
            }
            Effect::Persist { seq, .. } => self.event(index, SYNC_TIME, Event::Persisted { seq }),
            Effect::Begin { call, head } => {
                if let Some(exchange) = self.exchanges.get_mut(&call) {
                    exchange.status = head.status;
                    exchange.begun = Some(self.now);
                }
            }
            Effect::Body { call, bytes } => {
                if let Some(exchange) = self.exchanges.get_mut(&call) {
                    exchange.text.extend(bytes);
                }
            }
            Effect::Finish { call, complete } => self.finished(call, complete),
            Effect::Serve { run, priority, work, .. } => self.serve(index, run, priority, work),
            Effect::Abort { run } => self.abort(index, run),
            Effect::Fetch { key, store } => self.fetch(index, key, store),
            Effect::Save { key, store, generation } => self.save(index, key, store, generation),
            Effect::Free { key, store } => {
                if let Some(store) = store_index(&store) {
                    self.stores[store].blocks.remove(&key);
                }
            }
            Effect::PollCache { from } => {
                if let Some(engine) = &self.processes[index].engine {
                    let events = engine.batch.events_from(from);
                    let events = events
                        .iter()
                        .map(|e| CacheEvent { seq: e.seq, key: e.key, stored: e.stored })
                        .collect();
                    let event = ServerEvent::Cache { from, events };
                    self.event(index, CACHE_EVENT_DELAY, Event::Server(event));
                }
            }
            Effect::ListCache => {
                if let Some(engine) = &self.processes[index].engine {
                    let (next, mut keys) = engine.batch.snapshot();
                    keys.sort_unstable();
                    let event = ServerEvent::CacheList { next, keys };
                    self.event(index, CACHE_EVENT_DELAY, Event::Server(event));
                }
            }
            Effect::Order { token, load } => {
                let event = ServerEvent::Ordered { token, ok: true };
                self.event(index, HOP_LATENCY, Event::Server(event));
                self.load(index, load);
            }
            Effect::Log { run, code, .. } => self.ended.push((run, code)),
            Effect::Usage { computed, .. } => self.out.computed_tokens += u64::from(computed),
            // Connections are always up here, and no process forwards to servers without an agent.
            Effect::Acked { .. }
            | Effect::Dial { .. }
            | Effect::StopDialing { .. }
            | Effect::SaveContacts(_)
            | Effect::SaveEvidence(_)
            | Effect::SaveStreams { .. }
            | Effect::Exit { .. }
            | Effect::Forward { .. }
            | Effect::Call(_)
            | Effect::Decision(_) => {}
            Effect::Fail { text } => self.violated("no fatal error", text),
        }
    }

    fn violated(&mut self, name: &'static str, text: String) {
        self.out.violations.push(Violation { name, text });
    }

    fn check_leaving(&mut self, to: &Name, frame: &Frame) {
        let (Frame::Start(start), Some(index)) = (frame, self.names.get(to)) else {
            return;
        };
        let stopped = self.processes[*index].stopped;
        if stopped.is_some_and(|at| self.now.since(at) > LEAVING_GRACE) {
            self.violated("no work for a leaving server", format!("{} got {}", to, start.run));
        }
    }

    fn line(&mut self, line: Line) {
        match line {
            Line::Ask(ask) => self.ask(ask),
            Line::Call { workspace, key } => self.call(&workspace, key),
            Line::Fault(fault) => self.fault(fault),
        }
    }

    fn finish(mut self) -> Outcome {
        let ended = std::mem::take(&mut self.ended);
        for (run, code) in ended {
            let served = self.served.contains_key(&(run.entry, run.number));
            if served && code.fate() == Fate::NotRun {
                self.violated("not-run is truthful", format!("{run} ran but ended with {code:?}"));
            }
        }
        let unanswered = self.exchanges.values().filter(|c| c.finished.is_none()).count();
        if unanswered > 0 {
            let text = format!("{unanswered} requests have no response");
            self.violated("every request gets a response", text);
        }
        let last = self.trace.lines.last().map_or(Time::ZERO, |(at, _)| *at);
        let first = self.trace.lines.first().map_or(Time::ZERO, |(at, _)| *at);
        self.out.span = last.since(first);
        self.out
    }
}

fn store_index(name: &Name) -> Option<usize> {
    name.strip_prefix("store-")?.parse().ok()
}
