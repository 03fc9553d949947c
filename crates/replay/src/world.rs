//! One queue of the trace's events, the reducers, and the stand-ins' set times.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use base::{Code, Fate, Incarnation, Name, RunId, Time};
use cache::Key;
use fake::{Answer, Batch, Emit, Job, Profile};
use node::{
    CacheEvent, Caller, Config, Effect, Effects, Event, Keeper, Me, Moved, Node, Server, Want,
};
use quorum::{Founding, Member, Quorum, Saved, Timing};
use record::Kind;
use state::{Command, Put};
use wire::{Call, Engine, Frame, Hello, Load, Part, Priority, Request, Work};

use crate::{Ask, Deployment, Fault, Line, Outcome, Promise, Trace};

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
    Step(usize, Event, Incarnation),
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
                Engine { serves: MODEL.into(), plain: false, slots: deployment.slots as u32 };
            self.add(&format!("agent-{n}"), n, false, false, Some(server));
        }
        for n in 0..deployment.plains {
            let server = Engine { serves: SERVICE.into(), plain: true, slots: 64 };
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

    fn add(&mut self, name: &str, zone: u64, entry: bool, keeper: bool, server: Option<Engine>) {
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
        let me = Me { hello: hello.clone(), version: process.version.clone(), started_ms: 1_000 };
        let keeper = hello.keeper.then(|| {
            let member = Member { name: hello.name.clone(), disk: 1 };
            let founding = Founding { names: vec![hello.name.clone()], epoch: 1 };
            let saved = Saved::default();
            let quorum = Quorum::new(member, founding, Timing::default(), 1, saved);
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
            });
            let incarnation = hello.incarnation;
            self.schedule(REPORT, Due::Report(place, incarnation));
        }
        for other in 0..self.processes.len() {
            if self.connected(place, other) {
                let theirs = self.processes[other].hello.clone();
                self.event(other, HOP, Event::Linked(hello.clone()));
                self.event(place, HOP, Event::Linked(theirs));
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
            expect,
            schema: record::schema::newest(kind),
            min_schema: 1,
            body: body.to_owned(),
        };
        let request = Request::Command(Command::Put(put));
        let frame = Frame::Ask { id: 1 << 40 | id, request };
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
        self.schedule(after, Due::Step(place, event, incarnation));
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
                        self.step(place, event);
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
            Effect::Begin { call, reply } => {
                if let Some(caller) = self.callers.get_mut(&call) {
                    caller.status = reply.status;
                    caller.begun = Some(self.now);
                }
            }
            Effect::Body { call, bytes } => {
                if let Some(caller) = self.callers.get_mut(&call) {
                    caller.text.extend(bytes);
                }
            }
            Effect::Finish { call, whole } => self.finished(call, whole),
            Effect::Serve { run, priority, work } => self.serve(place, run, priority, work),
            Effect::Abort { run } => self.abort(place, run),
            Effect::Fetch { key, store } => self.fetch(place, key, store),
            Effect::Keep { key, store, generation } => self.keep(place, key, store, generation),
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
                    let news = Server::Cache { from, events };
                    self.event(place, CACHE_LAG, Event::Server(news));
                }
            }
            Effect::ListCache => {
                if let Some(engine) = &self.processes[place].engine {
                    let (next, mut keys) = engine.batch.snapshot();
                    keys.sort_unstable();
                    let news = Server::CacheList { next, keys };
                    self.event(place, CACHE_LAG, Event::Server(news));
                }
            }
            Effect::Order { token, load } => {
                let news = Server::Ordered { token, ok: true };
                self.event(place, HOP, Event::Server(news));
                self.load(place, load);
            }
            Effect::Log { run, code, .. } => self.ended.push((run, code)),
            Effect::Usage { computed, .. } => self.out.computed += u64::from(computed),
            Effect::Dial { .. } | Effect::Exit { .. } => {}
            Effect::Fail { text } => self.broke("goes on", text),
        }
    }

    fn broke(&mut self, name: &'static str, text: String) {
        self.out.broken.push(Promise { name, text });
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

    /// The next entry that is up, as a balancer would choose.
    fn entry(&self) -> Option<usize> {
        let entries = 1..=self.trace.deployment.entries as usize;
        let up: Vec<usize> =
            entries.filter(|place| self.processes[*place].node.is_some()).collect();
        let turn = self.next_call as usize;
        up.get(turn % up.len().max(1)).copied()
    }

    fn send(&mut self, caller: Exchange, ask: node::Ask) {
        self.next_call += 1;
        let call = self.next_call;
        let entry = caller.entry;
        self.out.asked += 1;
        self.callers.insert(call, caller);
        self.event(entry, Duration::ZERO, Event::Ask { call, ask: Box::new(ask) });
    }

    fn ask(&mut self, ask: Ask) {
        let Some(entry) = self.entry() else {
            return;
        };
        let bytes = ask.prompt as usize * BYTES_PER_TOKEN;
        let document = self.texts.entry(ask.document).or_default();
        grow(document, ask.document, bytes);
        let text: Arc<str> = Arc::from(&document[..bytes]);
        self.heads.entry(head(&text).to_owned()).or_insert_with(|| Name::new(&ask.workspace));
        let known = self.seen.entry((ask.workspace.clone(), ask.document)).or_insert(0);
        let whole = ask.prompt / 1_000 * 1_000;
        let least = ask.prompt - (*known).min(whole);
        *known = (*known).max(whole);
        let priority = match ask.priority.as_str() {
            "low" => Priority::Low,
            "high" => Priority::High,
            _ => Priority::Normal,
        };
        let request = node::Ask {
            caller: Caller {
                key: ask.workspace.clone(),
                priority,
                deadline: Some(Duration::from_millis(ask.deadline_ms)),
                ..Caller::default()
            },
            want: Want::Prompt {
                model: Name::new(MODEL),
                text,
                max_tokens: ask.answer,
                stream: true,
                chat: false,
            },
            digest: [0; 16],
        };
        let caller = Exchange { ask: Some(ask), least, ..self.caller(entry) };
        self.send(caller, request);
    }

    fn caller(&self, entry: usize) -> Exchange {
        Exchange {
            ask: None,
            at: self.now,
            text: Vec::new(),
            status: 0,
            begun: None,
            finished: None,
            entry,
            key: None,
            least: 0,
        }
    }

    fn call(&mut self, workspace: &str, key: u64) {
        let Some(entry) = self.entry() else {
            return;
        };
        let request = node::Ask {
            caller: Caller {
                key: workspace.to_owned(),
                once: Some(Name::from(format!("key-{key}"))),
                deadline: Some(Duration::from_secs(20)),
                ..Caller::default()
            },
            want: Want::Call(Call {
                service: Name::new(SERVICE),
                method: "POST".to_owned(),
                path: "/schedules".to_owned(),
                kind: String::new(),
                body: key.to_string().into_bytes(),
            }),
            digest: [key as u8; 16],
        };
        let caller = Exchange { key: Some(key), ..self.caller(entry) };
        self.send(caller, request);
    }

    fn agent(&self, number: u64) -> Option<usize> {
        self.names.get(&*format!("agent-{number}")).copied()
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(n) => {
                if let Some(place) = self.agent(n) {
                    self.kill(place);
                }
            }
            Fault::ReviveAgent(n) => {
                if let Some(place) = self.agent(n)
                    && self.processes[place].node.is_none()
                {
                    self.boot(place);
                }
            }
            Fault::KillEntry(n) => {
                let place = n as usize + 1;
                if n < self.trace.deployment.entries {
                    self.kill(place);
                    // Its callers lose their connections, which is an answer of a kind.
                    self.callers.retain(|_, c| c.entry != place || c.finished.is_some());
                }
            }
            Fault::KillStore(n) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    *store = Store { dead: true, ..Store::default() };
                }
            }
            Fault::FillStore(n) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    store.full = true;
                }
            }
            Fault::SlowLink(n, times) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    store.slow = times;
                }
            }
            Fault::SlowServer(n, times) => {
                if let Some(place) = self.agent(n) {
                    self.processes[place].slow = times;
                }
            }
            Fault::StopAgent(n) => {
                if let Some(place) = self.agent(n) {
                    self.processes[place].stopped = Some(self.now);
                    self.event(place, Duration::ZERO, Event::Stop);
                }
            }
            Fault::Swap(version) => self.swap(version),
        }
    }

    fn swap(&mut self, version: u64) {
        let parallel = self.trace.deployment.parallel;
        let body = format!(r#"{{"model":"{MODEL}"}}"#);
        let name = format!("v{version}");
        self.put(1_000 + 2 * version, Kind::Version, &name, 0, &body);
        let floor = self.trace.deployment.replicas * 2 / 3;
        let body = format!(
            r#"{{"model":"{MODEL}","version":"{name}","parallel":{parallel},"floor":{floor}}}"#
        );
        let expect = self.version - 1;
        self.version += 1;
        self.put(1_001 + 2 * version, Kind::Rollout, MODEL, expect, &body);
    }

    fn kill(&mut self, place: usize) {
        if self.processes[place].node.is_none() {
            return;
        }
        let peer = self.processes[place].hello.name.clone();
        for other in 0..self.processes.len() {
            if self.connected(place, other) {
                self.event(other, HOP, Event::Unlinked { peer: peer.clone() });
            }
        }
        let process = &mut self.processes[place];
        process.node = None;
        process.engine = None;
        process.hello.incarnation.0 += 1_000_000;
    }

    fn serve(&mut self, place: usize, run: RunId, priority: u8, work: Work) {
        *self.served.entry((run.entry, run.number)).or_insert(0) += 1;
        match work {
            Work::Call(call) => {
                let count = self.plain_keys.entry(call.body.clone()).or_insert(0);
                *count += 1;
                if *count > 1 {
                    let key = String::from_utf8_lossy(&call.body).into_owned();
                    self.broke("at most once", format!("key {key} ran again"));
                }
                let head = Part::Head { status: 200, kind: "text/plain".to_owned() };
                self.event(place, PLAIN, Event::Server(Server::Part { run, part: head }));
                let part = Part::Bytes(call.body);
                self.event(place, PLAIN, Event::Server(Server::Part { run, part }));
                let done = Server::Done { run, computed: 0, cached: 0 };
                self.event(place, PLAIN, Event::Server(done));
            }
            Work::Prompt(prompt) => {
                self.check_keys(run, &prompt);
                let incarnation = self.processes[place].hello.incarnation;
                let Some(engine) = &mut self.processes[place].engine else {
                    return;
                };
                if engine.version != prompt.version {
                    let news = Server::Failed { run, sent: true, code: Code::ServerError };
                    self.event(place, HOP, Event::Server(news));
                    return;
                }
                engine.next += 1;
                let id = engine.next;
                engine.jobs.insert(id, Served { run, answer: Answer::new(&prompt.text) });
                engine.batch.submit(Job {
                    id,
                    prompt_tokens: cache::tokens(&prompt.text),
                    from: prompt.resume_from,
                    until: prompt.max_tokens,
                    keys: prompt.keys,
                    priority,
                });
                if !engine.stepping {
                    engine.stepping = true;
                    self.schedule(Duration::ZERO, Due::Engine(place, incarnation));
                }
            }
        }
    }

    /// No block may serve two workspaces or two weight versions.
    fn check_keys(&mut self, run: RunId, prompt: &wire::Prompt) {
        let Some(workspace) = self.heads.get(head(&prompt.text)) else {
            return;
        };
        let owner = (workspace.clone(), prompt.version.clone());
        let mut broken = Vec::new();
        for key in &prompt.keys {
            let first = self.owners.entry(*key).or_insert_with(|| owner.clone());
            if *first != owner {
                broken.push(format!("{run} shares a block with {first:?}"));
            }
        }
        for text in broken {
            self.broke("isolation", text);
        }
    }

    fn engine_step(&mut self, place: usize, incarnation: Incarnation) {
        if self.processes[place].hello.incarnation != incarnation {
            return;
        }
        let step = self.trace.deployment.step_us * self.processes[place].slow;
        let after = Duration::from_micros(step);
        let Some(engine) = &mut self.processes[place].engine else {
            return;
        };
        let emits = engine.batch.step();
        let mut news = Vec::new();
        for emit in emits {
            match emit {
                Emit::Token { id, index } => {
                    if let Some(served) = engine.jobs.get(&id) {
                        let text = served.answer.token(index);
                        let part = Part::Tokens { text, count: 1 };
                        news.push(Server::Part { run: served.run, part });
                    }
                }
                Emit::End { id, computed, cached } => {
                    if let Some(served) = engine.jobs.remove(&id) {
                        let (computed, cached) = (computed as u32, cached as u32);
                        news.push(Server::Done { run: served.run, computed, cached });
                    }
                }
            }
        }
        engine.stepping = !engine.batch.idle();
        let again = engine.stepping;
        for news in news {
            self.event(place, after, Event::Server(news));
        }
        if again {
            self.schedule(after, Due::Engine(place, incarnation));
        }
    }

    fn report(&mut self, place: usize, incarnation: Incarnation) {
        if self.processes[place].hello.incarnation != incarnation {
            return;
        }
        self.schedule(REPORT, Due::Report(place, incarnation));
        let Some(engine) = &self.processes[place].engine else {
            return;
        };
        let load = Load {
            running: engine.batch.running() as u32,
            waiting: engine.batch.queued() as u32,
            version: engine.version.clone(),
            ..Load::default()
        };
        // The report is seen only when the next one is made.
        self.event(place, REPORT, Event::Server(Server::Load(load)));
    }

    fn load(&mut self, place: usize, version: Name) {
        // The time to load passes before any report says so.
        let after = Duration::from_micros(self.trace.deployment.load_us);
        let process = &mut self.processes[place];
        let incarnation = process.hello.incarnation;
        if let Some(engine) = &mut process.engine {
            engine.batch.clear();
            engine.version = version.clone();
            process.version = version.clone();
        }
        let load = Load { version, ..Load::default() };
        let event = Event::Server(Server::Load(load));
        self.schedule(after, Due::Step(place, event, incarnation));
    }

    fn abort(&mut self, place: usize, run: RunId) {
        let Some(engine) = &mut self.processes[place].engine else {
            return;
        };
        let id = engine.jobs.iter().find(|(_, served)| served.run == run).map(|(id, _)| *id);
        if let Some(id) = id {
            engine.batch.cancel(id);
            engine.jobs.remove(&id);
            let news = Server::Failed { run, sent: true, code: Code::Cut };
            self.event(place, HOP, Event::Server(news));
        }
    }

    /// When a transfer over the link of this agent and store ends, and how long it took.
    fn transfer(&mut self, place: usize, store: usize) -> Duration {
        let deployment = &self.trace.deployment;
        let rate = deployment.link_rate as f64 / self.stores[store].slow as f64;
        let time = Duration::from_secs_f64(deployment.block_bytes as f64 / rate);
        let free = self.busy.get(&(place, store)).copied().unwrap_or(Time::ZERO).max(self.now);
        let end = free + time;
        self.busy.insert((place, store), end);
        end.since(self.now) + STORE_TRIP
    }

    fn fetch(&mut self, place: usize, key: Key, name: Name) {
        let store = store_place(&name).unwrap_or(0);
        let (dead, has) = (self.stores[store].dead, self.stores[store].blocks.contains(&key));
        let bytes = self.trace.deployment.block_bytes;
        let (after, moved) = if dead {
            (Duration::from_millis(50), Moved::Failed)
        } else if has {
            let after = self.transfer(place, store);
            *self.out.fetched.entry(name.to_string()).or_insert(0) += bytes;
            (after, Moved::Done { bytes })
        } else {
            (STORE_TRIP, Moved::Miss)
        };
        if let (Moved::Done { .. }, Some(engine)) = (moved, &mut self.processes[place].engine) {
            engine.batch.import(key);
        }
        self.event(place, after, Event::Server(Server::Fetched { key, store: name, moved }));
    }

    fn keep(&mut self, place: usize, key: Key, name: Name, generation: u64) {
        let store = store_place(&name).unwrap_or(0);
        let bytes = self.trace.deployment.block_bytes;
        let holds = self.processes[place].engine.as_ref().is_some_and(|e| e.batch.holds(&key));
        let full = self.stores[store].full
            || self.stores[store].blocks.len() as u64 >= self.trace.deployment.store_blocks;
        let (after, moved) = if self.stores[store].dead {
            (Duration::from_millis(50), Moved::Failed)
        } else if !holds {
            (STORE_TRIP, Moved::Miss)
        } else if full {
            (STORE_TRIP, Moved::Full)
        } else {
            let after = self.transfer(place, store);
            self.stores[store].blocks.insert(key);
            *self.out.kept.entry(name.to_string()).or_insert(0) += bytes;
            (after, Moved::Done { bytes })
        };
        let news = Server::Kept { key, store: name, generation, moved };
        self.event(place, after, Event::Server(news));
    }

    fn finished(&mut self, call: u64, whole: bool) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&call) else {
            return;
        };
        if caller.finished.replace((whole, now)).is_some() {
            self.broke("one answer", format!("exchange {call} ended twice"));
            return;
        }
        let caller = &self.callers[&call];
        let text = String::from_utf8_lossy(&caller.text);
        if caller.status != 200 || !whole {
            let code = error_code(&text);
            *self.out.codes.entry(code).or_insert(0) += 1;
            return;
        }
        self.out.whole += 1;
        if let Some(ask) = &caller.ask {
            let bytes = ask.prompt as usize * BYTES_PER_TOKEN;
            let prompt = &self.texts[&ask.document][..bytes];
            let expected = fake::answer(prompt, ask.answer);
            let (seen, done) = streamed(&text);
            let first = caller.begun.unwrap_or(now).since(caller.at);
            self.out.first.saturating_record(first.as_micros() as u64);
            let at = caller.at.0 as f64 / 1e6;
            self.out.points.push((at, first, ask.workspace.clone()));
            self.out.prompt_tokens += ask.prompt;
            self.out.least += caller.least;
            let took = now.since(caller.at);
            self.out.good += u64::from(took <= Duration::from_millis(ask.deadline_ms));
            if !done || seen != expected {
                self.broke("whole answers", format!("exchange {call} is not whole"));
            }
        } else if caller.key.is_some_and(|key| text != key.to_string()) {
            self.broke("own answer", format!("exchange {call} got {text}"));
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

/// Lengthens a document's text; what was there stays.
fn grow(text: &mut String, document: u64, bytes: usize) {
    let mut counter = text.len() as u64 / 64;
    while text.len() < bytes {
        let seed = format!("{document} {counter}");
        text.push_str(&blake3::hash(seed.as_bytes()).to_hex());
        counter += 1;
    }
}

fn head(text: &str) -> &str {
    const HEAD: usize = 64;
    text.get(..HEAD).unwrap_or(text)
}

fn error_code(text: &str) -> u64 {
    let last = text.lines().rev().find_map(|line| {
        let json = line.strip_prefix("data: ").unwrap_or(line);
        serde_json::from_str::<serde_json::Value>(json).ok()
    });
    last.and_then(|value| value["error"]["code"].as_u64()).unwrap_or(0)
}

fn streamed(text: &str) -> (String, bool) {
    let mut out = String::new();
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
        } else if let Ok(value) = serde_json::from_str::<serde_json::Value>(data) {
            out.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    (out, done)
}
