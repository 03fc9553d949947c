//! One queue of the trace's events, the reducers, and the stand-ins' set times.

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

/// Time of a frame between two processes.
const HOP: Duration = Duration::from_micros(200);
/// Time of a sync.
const SYNC: Duration = Duration::from_millis(1);
/// Time between two ticks of a reducer.
const TICK: Duration = Duration::from_millis(10);
/// Time between two load reports of an engine.
const REPORT: Duration = Duration::from_millis(150);
/// Delay of cache events.
const CACHE_LAG: Duration = Duration::from_millis(60);
/// Time of a plain call.
const PLAIN: Duration = Duration::from_millis(4);
/// Round trip to a store.
const STORE_TRIP: Duration = Duration::from_micros(500);
/// Time before the first request in which the processes meet.
const MEET: Duration = Duration::from_millis(1_900);
/// Longest time after the last line until every request must have its answer.
const LATEST: Duration = Duration::from_secs(150);
/// A leaving server may get new work this long.
const LEAVING: Duration = Duration::from_secs(2);
const MODEL: &str = "model";
const SERVICE: &str = "service";
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug)]
enum Due {
    Step(usize, Box<Event>, Incarnation),
    Tick,
    Line(usize),
    Engine(usize, Incarnation),
    Report(usize, Incarnation),
}

struct Served {
    run: RunId,
    answer: Answer,
}

struct Process {
    hello: Hello,
    node: Option<Node>,
    engine: Option<EngineState>,
    slow: u64,
    version: Name,
    stopped: Option<Time>,
}

struct EngineState {
    batch: Batch,
    jobs: HashMap<u64, Served>,
    next: u64,
    stepping: bool,
    version: Name,
    /// Runs in a thousand seconds that it takes, and since when it names that.
    limit: Option<(u64, Time)>,
    /// When runs began while it named a limit.
    begun: Vec<Time>,
}

#[derive(Default)]
struct Store {
    blocks: HashSet<Key>,
    dead: bool,
    full: bool,
    slow: u64,
}

struct Exchange {
    ask: Option<Ask>,
    at: Time,
    text: Vec<u8>,
    status: u16,
    begun: Option<Time>,
    finished: Option<(bool, Time)>,
    entry: usize,
    key: Option<u64>,
    least: u64,
}

struct World<'a> {
    trace: &'a Trace,
    config: Config,
    now: Time,
    queue: BTreeMap<(Time, u64), Due>,
    count: u64,
    processes: Vec<Process>,
    names: HashMap<Name, usize>,
    stores: Vec<Store>,
    busy: HashMap<(usize, usize), Time>,
    callers: HashMap<u64, Exchange>,
    next_call: u64,
    texts: HashMap<u64, String>,
    seen: HashMap<(String, u64), u64>,
    /// Workspace by the beginning of a prompt, which no two documents share.
    heads: HashMap<String, Name>,
    owners: HashMap<Key, (Name, Name)>,
    served: HashMap<(Incarnation, u64), u32>,
    plain_keys: HashMap<Vec<u8>, u32>,
    ended: Vec<(RunId, Code)>,
    version: u64,
    out: Outcome,
}

/// Replays a trace under a policy; the same arguments give the same outcome.
pub fn run(trace: &Trace, policy: node::Policy) -> Outcome {
    let mut world = World::new(trace, policy);
    world.start();
    world.go();
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
            stores: (0..deployment.stores).map(|_| Store { slow: 1, ..Store::default() }).collect(),
            busy: HashMap::new(),
            callers: HashMap::new(),
            next_call: 0,
            texts: HashMap::new(),
            seen: HashMap::new(),
            heads: HashMap::new(),
            owners: HashMap::new(),
            served: HashMap::new(),
            plain_keys: HashMap::new(),
            ended: Vec::new(),
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
        for place in 0..self.processes.len() {
            self.boot(place);
        }
        self.records();
        self.schedule(TICK, Due::Tick);
        for (place, (at, _)) in self.trace.lines.iter().enumerate() {
            let at = Time(at.0.max(MEET.as_micros() as u64));
            self.count += 1;
            self.queue.insert((at, self.count), Due::Line(place));
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
        let place = self.processes.len();
        let hello = Hello {
            name: Name::new(name),
            incarnation: Incarnation(1_000 + place as u64),
            zone: Name::from(format!("zone-{zone}")),
            addr: ([127, 0, 0, 1], 1).into(),
            entry,
            keeper,
            server,
        };
        self.names.insert(hello.name.clone(), place);
        let version = Name::new("v1");
        let process = Process { hello, node: None, engine: None, slow: 1, version, stopped: None };
        self.processes.push(process);
    }

    fn boot(&mut self, place: usize) {
        let deployment = &self.trace.deployment;
        let process = &mut self.processes[place];
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
                begun: Vec::new(),
            });
            let incarnation = hello.incarnation;
            self.schedule(REPORT, Due::Report(place, incarnation));
        }
        for other in 0..self.processes.len() {
            if self.connected(place, other) {
                let theirs = self.processes[other].hello.clone();
                self.event(other, HOP, Event::Connected(hello.clone()));
                self.event(place, HOP, Event::Connected(theirs));
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

    /// The records, put through the keeper as an operator's would be.
    fn records(&mut self) {
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
        for (place, name) in names.iter().enumerate() {
            let key = blake3::hash(name.as_bytes()).to_hex();
            let body = format!(r#"{{"keys":["{key}"],"concurrency":{concurrency}}}"#);
            self.put(place as u64, Kind::Workspace, name, 0, &body);
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
        // After the keeper has formed its configuration and been elected.
        let event = Event::Frame { peer: Name::new("replay"), frame };
        self.event(0, Duration::from_millis(1_500), event);
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), due);
    }

    fn event(&mut self, place: usize, after: Duration, event: Event) {
        let incarnation = self.processes[place].hello.incarnation;
        self.schedule(after, Due::Step(place, Box::new(event), incarnation));
    }

    fn go(&mut self) {
        let last = self.trace.lines.last().map_or(Time::ZERO, |(at, _)| *at);
        while let Some(((at, _), due)) = self.queue.pop_first() {
            self.now = at;
            if at > last + LATEST {
                return;
            }
            let open = self.callers.values().any(|caller| caller.finished.is_none());
            if at > last + MEET && !open {
                return;
            }
            match due {
                Due::Step(place, event, incarnation) => {
                    if self.processes[place].hello.incarnation == incarnation {
                        self.step(place, *event);
                    }
                }
                Due::Tick => {
                    for place in 0..self.processes.len() {
                        self.step(place, Event::Tick);
                    }
                    self.schedule(TICK, Due::Tick);
                }
                Due::Line(line) => {
                    let line = self.trace.lines[line].1.clone();
                    self.line(line);
                }
                Due::Engine(place, incarnation) => self.engine_step(place, incarnation),
                Due::Report(place, incarnation) => self.report(place, incarnation),
            }
        }
    }

    fn step(&mut self, place: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.processes[place].node else {
            return;
        };
        let mut effects = Effects::new();
        node.step(now, event, &mut effects);
        for effect in effects {
            self.perform(place, effect);
        }
    }

    fn perform(&mut self, place: usize, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => {
                self.check_leaving(&to, &frame);
                let Some(other) = self.names.get(&to).copied() else {
                    return;
                };
                if self.processes[other].node.is_some() {
                    let peer = self.processes[place].hello.name.clone();
                    self.event(other, HOP, Event::Frame { peer, frame });
                }
            }
            Effect::Persist { seq, .. } => self.event(place, SYNC, Event::Persisted { seq }),
            Effect::Begin { call, head } => {
                if let Some(caller) = self.callers.get_mut(&call) {
                    caller.status = head.status;
                    caller.begun = Some(self.now);
                }
            }
            Effect::Body { call, bytes } => {
                if let Some(caller) = self.callers.get_mut(&call) {
                    caller.text.extend(bytes);
                }
            }
            Effect::Finish { call, complete } => self.finished(call, complete),
            Effect::Serve { run, priority, work } => self.serve(place, run, priority, work),
            Effect::Abort { run } => self.abort(place, run),
            Effect::Fetch { key, store } => self.fetch(place, key, store),
            Effect::Save { key, store, generation } => self.keep(place, key, store, generation),
            Effect::Free { key, store } => {
                if let Some(store) = store_place(&store) {
                    self.stores[store].blocks.remove(&key);
                }
            }
            Effect::PollCache { from } => {
                if let Some(engine) = &self.processes[place].engine {
                    let events = engine.batch.events_from(from);
                    let events = events
                        .iter()
                        .map(|e| CacheEvent { seq: e.seq, key: e.key, stored: e.stored })
                        .collect();
                    let news = ServerEvent::Cache { from, events };
                    self.event(place, CACHE_LAG, Event::Server(news));
                }
            }
            Effect::ListCache => {
                if let Some(engine) = &self.processes[place].engine {
                    let (next, mut keys) = engine.batch.snapshot();
                    keys.sort_unstable();
                    let news = ServerEvent::CacheList { next, keys };
                    self.event(place, CACHE_LAG, Event::Server(news));
                }
            }
            Effect::Order { token, load } => {
                let news = ServerEvent::Ordered { token, ok: true };
                self.event(place, HOP, Event::Server(news));
                self.load(place, load);
            }
            Effect::Log { run, code, .. } => self.ended.push((run, code)),
            Effect::Usage { computed, .. } => self.out.computed_tokens += u64::from(computed),
            // Links are always up here, and no process forwards to servers without an agent.
            Effect::Dial { .. }
            | Effect::StopDialing { .. }
            | Effect::SaveContacts(_)
            | Effect::Exit { .. }
            | Effect::Forward { .. }
            | Effect::Call(_)
            | Effect::Decision(_) => {}
            Effect::Fail { text } => self.broke("goes on", text),
        }
    }

    fn broke(&mut self, name: &'static str, text: String) {
        self.out.violations.push(Violation { name, text });
    }

    fn check_leaving(&mut self, to: &Name, frame: &Frame) {
        let (Frame::Start(start), Some(place)) = (frame, self.names.get(to)) else {
            return;
        };
        let stopped = self.processes[*place].stopped;
        if stopped.is_some_and(|at| self.now.since(at) > LEAVING) {
            self.broke("leaving gets no work", format!("{} got {}", to, start.run));
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
                self.broke("not run is true", format!("{run} ran and got {code:?}"));
            }
        }
        let hanging = self.callers.values().filter(|c| c.finished.is_none()).count();
        if hanging > 0 {
            self.broke("every caller answered", format!("{hanging} callers wait in vain"));
        }
        let last = self.trace.lines.last().map_or(Time::ZERO, |(at, _)| *at);
        let first = self.trace.lines.first().map_or(Time::ZERO, |(at, _)| *at);
        self.out.span = last.since(first);
        self.out
    }
}

fn store_place(name: &Name) -> Option<usize> {
    name.strip_prefix("store-")?.parse().ok()
}
