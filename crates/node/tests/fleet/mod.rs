//! Simulates entries, keepers and backend servers without a network: whole processes exchange frames, callers retry, and
//! servers crash, by themselves, when they begin a response to a prompt with a deadly segment, or when they run a deadly
//! request without a prompt.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]

#[path = "../../../quorum/tests/cluster/disk.rs"]
mod disk;
#[path = "../fixture/mod.rs"]
mod fixture;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use cache::Segment;
use fleet::{Listed, Report};
use node::decision::Decision;
use node::forward::{
    Action, ControlCall, Event as Forwarded, Failure, Prompt, RequestHead, Resumption as Resumes,
};
use node::{Config, Effect, Effects, Event, Keeper, LocalProcess, Node};
use quarantine::Cause;
use quorum::{Bootstrap, Member, Replica, Timing};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::Hello;

use disk::Disk;

/// Number of entries with the role keeper.
const KEEPERS: usize = 3;
/// Interval between two ticks of a process, and latency of a frame; milliseconds.
const TICK_MS: u64 = 10;
const HOP_MS: u64 = 1;
/// When callers begin: the keepers have elected a leader, and the configuration is in force. Milliseconds.
pub const TRAFFIC_FROM_MS: u64 = 4_000;
/// How long a crashed server is down, and how long the list shows the state before; milliseconds.
const DOWN_MS: u64 = 3_200;
const LIST_LAG_MS: u64 = 800;
/// Time from the notice that a server is leaving to its end, milliseconds.
const DRAIN_MS: u64 = 5_000;
/// Time from the crash of a server or the loss of a machine after which a rule of the users binds; milliseconds.
pub const STABLE_MS: u64 = 3_000;
/// Crashes that are allowed before a segment must be known.
pub const FREE_CRASHES: usize = 5;
/// Crashes that are allowed before a request must be known.
pub const FREE_REQUEST_CRASHES: usize = 3;
/// How long a caller waits for the whole response; milliseconds.
const CALLER_TIMEOUT_MS: u64 = 6_000;
/// Segment that all prompts of a kind begin with, that of a workspace, and the deadly ones.
const KIND_SEGMENTS: u64 = 100;
const WORKSPACE_SEGMENTS: u64 = 200;
pub const DEADLY: u64 = 900;
/// Segments of documents that a few requests share.
const DOCUMENTS: u64 = 1_000;

/// Prompts with a deadly segment come in this time, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    pub segment: u64,
    /// The kind and the workspace of the requests that have it.
    pub kind: u64,
    pub workspace: u64,
    /// Fraction of the requests of that kind.
    pub share: f64,
    pub from: u64,
    pub until: u64,
    /// From when on servers survive it.
    pub harmless_from: u64,
}

/// A disturbance.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A server crashes by itself.
    Crash(usize),
    /// An entry is killed and starts again this many milliseconds later.
    Kill(usize, u64),
    /// A server breaks off one of its responses and continues with the others.
    Break(usize),
    /// An entry loses all its connections to servers.
    Reset(usize),
    /// An entry stands still for this many milliseconds.
    Freeze(usize, u64),
    /// A server is replaced by one of this software version; the old one drains and leaves.
    Release(usize, u64),
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    pub servers: usize,
    pub workspaces: u64,
    /// Requests per second of each kind.
    pub load: [f64; 2],
    pub deadly: Vec<Deadly>,
    pub faults: Vec<(u64, Fault)>,
    /// Number of retries of a client whose stream broke off. It resumes the stream if it has an event.
    pub stream_retries: u32,
    /// Whether the requests have no prompt. Those of the first kind may run once, those of the second may be repeated, and a
    /// deadly one is always the same.
    pub plain: bool,
    pub end: u64,
    pub seed: u64,
}

impl Plan {
    pub fn new(seed: u64) -> Self {
        Self {
            entries: 8,
            servers: 18,
            workspaces: 10,
            load: [50.0, 68.0],
            deadly: Vec::new(),
            faults: Vec::new(),
            stream_retries: 0,
            plain: false,
            end: 38_000,
            seed,
        }
    }

    /// The day of the issue: a twentieth of one kind of request from 4 to 26 s.
    pub fn tainted(seed: u64) -> Self {
        Self { deadly: vec![deadly(DEADLY, 0, 0.05)], ..Self::new(seed) }
    }
}

/// A deadly segment in this fraction of the requests of a kind, from 4 to 26 s of the traffic.
pub fn deadly(segment: u64, kind: u64, share: f64) -> Deadly {
    let (from, until) = (TRAFFIC_FROM_MS + 4_000, TRAFFIC_FROM_MS + 26_000);
    Deadly { segment, kind, workspace: 0, share, from, until, harmless_from: u64::MAX }
}

#[derive(Debug)]
enum Due {
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    Arrival(u64),
    Retry(usize),
    /// A run ends its prefill, or its response.
    Begin(u64),
    Finish(u64),
    Return(usize),
    Start(usize),
    Fault(Fault),
    /// A drained server ends.
    End(usize),
}

#[derive(Debug, Default)]
struct Host {
    node: Option<Node>,
    incarnation: u64,
    disk: Disk,
    contacts: Vec<wire::Contact>,
    frozen_until: u64,
    evidence: Vec<wire::quarantine::Observation>,
    streams: Vec<wire::stream::Record>,
}

#[derive(Debug, Default)]
struct Server {
    /// Number of its starts.
    born: u64,
    up: bool,
    /// Version of its software, and since when it is leaving.
    software: u64,
    leaving_at: Option<u64>,
    /// Times at which it started or ended, with its identity if it is up.
    history: Vec<(u64, Option<u64>)>,
}

/// A run on a server, and the exchange of the entry that sent it.
#[derive(Clone, Debug)]
struct Run {
    server: usize,
    host: usize,
    incarnation: u64,
    call: u64,
    request: usize,
    begun: bool,
}

/// A request of a caller, with all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub kind: u64,
    pub workspace: u64,
    segments: Vec<Segment>,
    /// What tells it from other requests.
    digest: u128,
    /// The deadly segment that it has, or the deadly request that it is.
    pub deadly: Option<u64>,
    retried: bool,
    /// When a server began its first attempt, and the number of attempts at servers.
    pub begun: Option<u64>,
    pub attempts: u32,
    /// Whether its response was delivered completely.
    pub served: bool,
    /// Status and Retry-After in milliseconds of each rejection.
    pub rejections: Vec<(u16, Option<u64>)>,
    /// The attempt that received the first event, and the software version that wrote each event since.
    pub first_attempt: Option<Name>,
    pub events: Vec<u64>,
    pub resumptions: Vec<Resumption>,
    stream_retries: u32,
}

/// A stream that a client resumed.
#[derive(Clone, Copy, Debug)]
pub struct Resumption {
    pub at: u64,
    /// Software version of its events, and the number of servers of that version that took new requests then.
    pub software: u64,
    pub serving: usize,
    /// Whether it went on.
    pub continued: bool,
}

/// A request with a deadly segment that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub segment: u64,
}

/// A crash of a server.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub at: u64,
    /// The segment that caused it, if one did.
    pub segment: Option<u64>,
}

#[derive(Debug)]
pub struct World {
    plan: Plan,
    now: u64,
    number: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Due>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    runs: BTreeMap<u64, Run>,
    /// Request of each exchange of an entry.
    exchanges: HashMap<u64, usize>,
    /// Entry of each exchange that has not ended.
    open: BTreeMap<u64, usize>,
    rng: Pcg64Mcg,
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub crashes: Vec<Crash>,
    /// Decisions, with their times and hosts.
    pub decisions: Vec<(u64, usize, Decision)>,
}

impl World {
    pub fn simulate(plan: Plan) -> Self {
        let mut world = Self {
            now: 0,
            number: 0,
            queue: BinaryHeap::new(),
            pending: HashMap::new(),
            hosts: (0..plan.entries).map(|_| Host::default()).collect(),
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
            runs: BTreeMap::new(),
            exchanges: HashMap::new(),
            open: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            requests: Vec::new(),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            decisions: Vec::new(),
            plan,
        };
        for server in 0..world.servers.len() {
            world.start_server(server);
        }
        for host in 0..world.hosts.len() {
            world.hosts[host].disk.identity = host as u64 + 1;
            world.start(host);
        }
        for kind in 0..world.plan.load.len() {
            world.schedule(TRAFFIC_FROM_MS, Due::Arrival(kind as u64));
        }
        for (at, fault) in world.plan.faults.clone() {
            world.schedule(at, Due::Fault(fault));
        }
        while let Some(Reverse((at, number))) = world.queue.pop() {
            if at >= world.plan.end {
                break;
            }
            world.now = at;
            if let Some(due) = world.pending.remove(&number) {
                world.handle(due);
            }
        }
        world
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number)));
        self.pending.insert(self.number, due);
    }

    fn event(&mut self, host: usize, after: u64, event: Event) {
        let incarnation = self.hosts[host].incarnation;
        self.schedule(after, Due::Event(host, incarnation, Box::new(event)));
    }

    fn hello(&self, host: usize) -> Hello {
        Hello {
            name: name(host),
            incarnation: Incarnation(self.hosts[host].incarnation),
            zone: Name::new("a"),
            addr: SocketAddr::from(([10, 0, 0, host as u8], 7_700)),
            entry: true,
            keeper: host < KEEPERS,
            server: None,
        }
    }

    fn start(&mut self, host: usize) {
        let first = self.hosts[host].incarnation == 0;
        self.hosts[host].incarnation += 1 + self.now;
        let hello = self.hello(host);
        let names = if first { (0..KEEPERS).map(name).collect() } else { Vec::new() };
        let bootstrap =
            Bootstrap { names, epoch: 1, voters_wanted: KEEPERS, accept_new_members: false };
        let found = &mut self.hosts[host];
        let member = Member { name: hello.name.clone(), disk_id: found.disk.identity };
        let saved = found.disk.saved.clone();
        let quorum = Replica::new(member, bootstrap, Timing::default(), self.rng.random(), saved);
        let keeper = Keeper::new(hello.name.clone(), quorum).expect("a state of this build");
        let local = LocalProcess { hello: hello.clone(), version: Name::default(), started_ms: 0 };
        let config = Config {
            forward: Some(fixture::config()),
            serve_unconfirmed: true,
            ..Config::default()
        };
        found.node = Some(Node::new(local, config, (host < KEEPERS).then_some(keeper)));
        if host < KEEPERS && !first {
            self.restore(host);
        }
        let incarnation = self.hosts[host].incarnation;
        self.schedule(self.now % TICK_MS, Due::Tick(host, incarnation));
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            if self.hosts[other].node.is_some() {
                let peer = self.hello(other);
                self.event(other, HOP_MS, Event::Connected(hello.clone()));
                self.event(host, HOP_MS, Event::Connected(peer));
            }
        }
        if first && host == 0 {
            for (id, frame) in fixture::puts().into_iter().enumerate() {
                let event = Event::Frame { peer: Name::new("operator"), frame };
                self.event(0, 1_500 + id as u64, event);
            }
        }
    }

    /// What a keeper reads from its disk when it starts.
    fn restore(&mut self, host: usize) {
        let contacts = self.hosts[host].contacts.clone();
        self.event(host, 0, Event::ContactsLoaded(contacts));
        let evidence = self.hosts[host].evidence.clone();
        self.event(host, 0, Event::EvidenceLoaded(evidence));
        let streams = self.hosts[host].streams.clone();
        self.event(host, 0, Event::StreamsLoaded(streams));
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].node = None;
        for other in 0..self.hosts.len() {
            if self.hosts[other].node.is_some() {
                self.event(other, HOP_MS, Event::Disconnected { peer: name(host) });
            }
        }
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.host == host).map(|(id, _)| *id).collect();
        for id in lost {
            self.runs.remove(&id);
        }
        let cut: Vec<u64> =
            self.open.iter().filter(|(_, of)| **of == host).map(|(call, _)| *call).collect();
        for call in cut {
            self.stream_broken(call);
        }
    }

    /// The client's connection ends without the end of its response.
    fn stream_broken(&mut self, call: u64) {
        self.open.remove(&call);
        let number = self.exchanges[&call];
        let request = &mut self.requests[number];
        if request.stream_retries < self.plan.stream_retries {
            request.stream_retries += 1;
            let after = self.rng.random_range(50..400);
            self.schedule(after, Due::Retry(number));
        }
    }

    fn start_server(&mut self, server: usize) {
        let now = self.now;
        let found = &mut self.servers[server];
        found.born += 1;
        found.up = true;
        found.history.push((now, Some(found.born)));
    }

    fn crash(&mut self, server: usize, segment: Option<u64>) {
        if !self.servers[server].up {
            return;
        }
        self.servers[server].up = false;
        let now = self.now;
        self.servers[server].history.push((now, None));
        self.crashes.push(Crash { at: now, segment });
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.server == server).map(|(id, _)| *id).collect();
        for id in lost {
            self.break_off(id);
        }
        let down = DOWN_MS + self.rng.random_range(0..300);
        if self.servers[server].leaving_at.is_none() {
            self.schedule(down, Due::Return(server));
        }
    }

    /// The connection of a run is reset.
    fn break_off(&mut self, id: u64) {
        if let Some(run) = self.runs.remove(&id) {
            let after = self.rng.random_range(1..=HOP_MS + 4);
            let failure = if self.plan.plain { Failure::NoResponse } else { Failure::Aborted };
            let failed = Forwarded::Failed { call: run.call, failure };
            self.schedule(
                after,
                Due::Event(run.host, run.incarnation, Box::new(Event::Forward(failed))),
            );
        }
    }

    fn handle(&mut self, due: Due) {
        if let Due::Tick(host, _) | Due::Event(host, ..) = due {
            let wake = self.hosts[host].frozen_until;
            if self.now < wake {
                self.schedule(wake - self.now, due);
                return;
            }
        }
        match due {
            Due::Tick(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation && self.hosts[host].node.is_some() {
                    self.step(host, Event::Tick);
                    self.schedule(TICK_MS, Due::Tick(host, incarnation));
                }
            }
            Due::Event(host, incarnation, event) => {
                if self.hosts[host].incarnation == incarnation {
                    self.step(host, *event);
                }
            }
            Due::Arrival(kind) => {
                let request = self.new_request(kind);
                self.requests.push(request);
                self.send_request(self.requests.len() - 1);
                let gap: f64 =
                    self.rng.random_range(0.0..2.0) * 1_000.0 / self.plan.load[kind as usize];
                self.schedule((gap.round() as u64).max(1), Due::Arrival(kind));
            }
            Due::Retry(request) => self.send_request(request),
            Due::Begin(id) => self.begin(id),
            Due::Finish(id) => {
                if let Some(run) = self.runs.remove(&id) {
                    self.event_written(&run);
                    self.open.remove(&run.call);
                    self.requests[run.request].served = true;
                    let completed = Forwarded::Completed { call: run.call };
                    self.forward(&run, completed);
                }
            }
            Due::Return(server) => self.start_server(server),
            Due::End(server) => {
                self.crash(server, None);
                self.servers[server].leaving_at = Some(0);
            }
            Due::Start(host) => self.start(host),
            Due::Fault(fault) => self.fault(fault),
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(server) => self.crash(server, None),
            Fault::Kill(host, down) => {
                self.kill(host);
                self.schedule(down, Due::Start(host));
            }
            Fault::Break(server) => {
                let run = self.runs.iter().find(|(_, run)| run.server == server);
                if let Some(id) = run.map(|(id, _)| *id) {
                    self.break_off(id);
                }
            }
            Fault::Reset(host) => {
                let lost = self.runs.iter().filter(|(_, run)| run.host == host);
                for id in lost.map(|(id, _)| *id).collect::<Vec<u64>>() {
                    self.break_off(id);
                }
            }
            Fault::Freeze(host, time) => self.hosts[host].frozen_until = self.now + time,
            Fault::Release(server, software) => {
                self.servers.push(Server { software, ..Server::default() });
                self.start_server(self.servers.len() - 1);
                self.servers[server].leaving_at = Some(self.now);
                self.schedule(DRAIN_MS, Due::End(server));
            }
        }
    }

    fn new_request(&mut self, kind: u64) -> Request {
        let now = self.now;
        let coming = self
            .plan
            .deadly
            .iter()
            .filter(|found| found.kind == kind && (found.from..found.until).contains(&now));
        let mut point: f64 = self.rng.random();
        let mut chosen = None;
        for deadly in coming {
            if point < deadly.share {
                chosen = Some(*deadly);
                break;
            }
            point -= deadly.share;
        }
        // A few workspaces are large.
        let drawn = self.rng.random_range(0.0..1.0_f64).powi(2) * self.plan.workspaces as f64;
        let workspace = chosen.map_or(drawn as u64, |deadly| deadly.workspace);
        let segment = |id, tokens| Segment { id, tokens };
        let mut segments = vec![
            segment(KIND_SEGMENTS + kind, 600),
            segment(WORKSPACE_SEGMENTS + 50 * kind + workspace, 900),
        ];
        if let Some(deadly) = chosen {
            segments.push(segment(deadly.segment, 500));
        } else if self.rng.random_bool(0.3) {
            // A document that some requests share.
            segments.push(segment(DOCUMENTS + self.rng.random_range(0..200), 500));
        }
        segments.push(segment(1_000_000 + self.number, 200));
        let own = u128::from(self.number) << 64;
        Request {
            at: now,
            kind,
            workspace,
            digest: chosen.filter(|_| self.plan.plain).map_or(own, |deadly| deadly.segment.into()),
            segments: if self.plan.plain { Vec::new() } else { segments },
            deadly: chosen.map(|deadly| deadly.segment),
            retried: false,
            begun: None,
            attempts: 0,
            served: false,
            rejections: Vec::new(),
            first_attempt: None,
            events: Vec::new(),
            resumptions: Vec::new(),
            stream_retries: 0,
        }
    }

    fn send_request(&mut self, number: usize) {
        let live: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].node.is_some()).collect();
        if live.is_empty() {
            if self.requests[number].stream_retries > 0 {
                self.schedule(100, Due::Retry(number));
            }
            return;
        }
        let host = live[self.rng.random_range(0..live.len())];
        self.number += 1;
        let call = self.number;
        self.exchanges.insert(call, number);
        self.open.insert(call, host);
        let resumption = self.resumption(number);
        let request = &self.requests[number];
        let tokens = request.segments.iter().map(|segment| segment.tokens).sum();
        let path = match (self.plan.plain, request.kind) {
            (false, _) => "/stream/x",
            (true, 0) => "/once/x",
            (true, _) => "/safe/x",
        };
        let left = (request.at + CALLER_TIMEOUT_MS).saturating_sub(self.now);
        let head = RequestHead {
            id: attempt_id(call),
            host: "shop".to_owned(),
            path: path.to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_millis(left)),
            prompt: (!self.plan.plain).then(|| Prompt {
                model: Name::new("m"),
                segments: request.segments.clone(),
                tokens,
                max_tokens: 40,
            }),
            digest: Some(request.digest),
            resumption,
        };
        let arrived = Forwarded::Arrived { call, head: Box::new(head) };
        self.event(host, HOP_MS, Event::Forward(arrived));
    }

    /// The client goes on with its stream, if it has an event of it.
    fn resumption(&mut self, number: usize) -> Option<Resumes> {
        let request = &self.requests[number];
        let (first_attempt, software) = (request.first_attempt.clone()?, *request.events.first()?);
        let serves = |server: &&Server| {
            server.up && server.software == software && server.leaving_at.is_none()
        };
        let serving = self.servers.iter().filter(serves).count();
        let resumption = Resumption { at: self.now, software, serving, continued: false };
        self.requests[number].resumptions.push(resumption);
        Some(Resumes { first_attempt: Some(first_attempt) })
    }

    /// The client receives an event of a run.
    fn event_written(&mut self, run: &Run) {
        let software = self.servers[run.server].software;
        let request = &mut self.requests[run.request];
        request.first_attempt.get_or_insert_with(|| attempt_id(run.call));
        request.events.push(software);
        if request.first_attempt != Some(attempt_id(run.call))
            && let Some(resumption) = request.resumptions.last_mut()
        {
            resumption.continued = true;
        }
    }

    fn forward(&mut self, run: &Run, event: Forwarded) {
        let event = Box::new(Event::Forward(event));
        self.schedule(HOP_MS, Due::Event(run.host, run.incarnation, event));
    }

    fn respond(&mut self, run: &Run) {
        let response = node::forward::ResponseHead {
            status: 200,
            matches_request: true,
            is_event_stream: true,
            ..node::forward::ResponseHead::default()
        };
        self.forward(run, Forwarded::ResponseReceived { call: run.call, response });
    }

    fn deadly_now(&self, request: usize) -> Option<u64> {
        let segment = self.requests[request].deadly?;
        let deadly = self.plan.deadly.iter().find(|deadly| deadly.segment == segment)?;
        (self.now < deadly.harmless_from).then_some(segment)
    }

    /// A server has read the prompt of a run and begins the response.
    fn begin(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.begun = true;
        let run = run.clone();
        if let Some(segment) = self.deadly_now(run.request) {
            self.crash(run.server, Some(segment));
            return;
        }
        self.event_written(&run);
        let request = &mut self.requests[run.request];
        if request.attempts == 1 {
            request.begun.get_or_insert(self.now);
        }
        if self.plan.plain {
            self.respond(&run);
        }
        self.forward(&run, Forwarded::BodyStarted { call: run.call });
        let writing = if self.plan.plain { 1 } else { self.rng.random_range(60..1_500) };
        self.schedule(writing, Due::Finish(id));
    }

    fn step(&mut self, host: usize, event: Event) {
        let mut out = Effects::new();
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        node.step(Time::from_millis(self.now), event, &mut out);
        for effect in out {
            self.perform(host, effect);
        }
    }

    fn perform(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => {
                let Some(to) = (0..self.hosts.len()).find(|host| name(*host) == to) else { return };
                if self.hosts[to].node.is_some() {
                    self.event(to, HOP_MS, Event::Frame { peer: name(from), frame });
                }
            }
            Effect::Persist { seq, write } => {
                self.hosts[from].disk.write(write);
                self.event(from, HOP_MS, Event::Persisted { seq });
            }
            Effect::SaveContacts(contacts) => self.hosts[from].contacts = contacts,
            Effect::SaveEvidence(evidence) if from < KEEPERS => {
                self.hosts[from].evidence = evidence;
            }
            Effect::SaveStreams { number, records, .. } => {
                self.hosts[from].streams.extend(records);
                self.event(from, HOP_MS, Event::StreamsSaved { number });
            }
            Effect::Forward { call, action } => self.act(from, call, action),
            Effect::Call(ControlCall::ReadList) => {
                let list = Ok(self.list());
                self.event(from, HOP_MS, Event::Forward(Forwarded::Listed { list }));
            }
            Effect::Call(ControlCall::Report { id, addr }) => {
                let server = usize::from(addr.port());
                if self.servers[server].up && id == server_id(server, self.servers[server].born) {
                    let report = Report { version: 1, ..Report::default() };
                    let notice = fleet::Notice::default();
                    let reported = Forwarded::Reported { id, report, notice };
                    self.event(from, HOP_MS, Event::Forward(reported));
                }
            }
            Effect::Decision(decision) => {
                self.decisions.push((self.now, from, *decision));
            }
            Effect::Fail { text } => panic!("host {from}: {text}"),
            _ => {}
        }
    }

    fn act(&mut self, host: usize, call: u64, action: Action) {
        let Some(request) = self.exchanges.get(&call).copied() else {
            return;
        };
        match action {
            Action::Send(attempt) => {
                let server = usize::from(attempt.addr.port());
                let incarnation = self.hosts[host].incarnation;
                self.number += 1;
                let id = self.number;
                let run = Run { server, host, incarnation, call, request, begun: false };
                let found = &self.servers[server];
                if !found.up || attempt.id != server_id(server, found.born) {
                    let failure = Failure::NotSent;
                    self.forward(&run, Forwarded::Failed { call, failure });
                    return;
                }
                self.requests[request].attempts += 1;
                if let Some(segment) = self.requests[request].deadly {
                    self.arrivals.push(Arrival { at: self.now, segment });
                }
                self.runs.insert(id, run.clone());
                if !self.plan.plain {
                    self.respond(&run);
                }
                let prefill = self.rng.random_range(20..180);
                self.schedule(prefill, Due::Begin(id));
            }
            Action::Deliver => {}
            Action::Reject(rejection) => {
                self.runs.retain(|_, run| run.call != call);
                self.open.remove(&call);
                let found = &self.requests[request];
                if found.first_attempt == Some(attempt_id(call)) || rejection.status == 502 {
                    // The response had begun, or it may have.
                    self.stream_broken(call);
                    return;
                }
                if found.first_attempt.is_some() && rejection.retry_after.is_none() {
                    // Refused for good: the client starts again.
                    let found = &mut self.requests[request];
                    (found.first_attempt, found.events) = (None, Vec::new());
                }
                let retry = rejection.retry_after.map(|after| after.as_millis() as u64);
                let found = &mut self.requests[request];
                found.rejections.push((rejection.status, retry));
                let left = (found.at + CALLER_TIMEOUT_MS).saturating_sub(self.now);
                let wait = retry.unwrap_or(0).min(left / 3);
                if !std::mem::replace(&mut found.retried, true) && left > 0 {
                    self.schedule(wait + 2 * HOP_MS, Due::Retry(request));
                }
            }
        }
    }

    fn list(&self) -> Vec<Listed> {
        let seen = self.now.saturating_sub(LIST_LAG_MS);
        let servers = self.servers.iter().enumerate();
        let listed = servers.filter_map(|(number, server)| {
            let state = server.history.iter().rev().find(|(at, _)| *at <= seen);
            let born = state.or(server.history.first())?.1?;
            Some(Listed {
                id: server_id(number, born),
                born: Some(born),
                addr: fixture::addr(number as u16),
                slots: 48,
                leaving: server.leaving_at.is_some_and(|at| at <= seen),
                software: Name::from(format!("v{}", server.software)),
                ..fixture::listed(number as u16)
            })
        });
        listed.collect()
    }

    /// Times of the crashes caused by a segment.
    pub fn crash_times(&self, segment: u64) -> Vec<u64> {
        let crashes = self.crashes.iter().filter(|crash| crash.segment == Some(segment));
        crashes.map(|crash| crash.at).collect()
    }

    /// Requests with a segment, or deadly requests, that reached servers later than the stable time after its fifth, or their
    /// third, crash.
    pub fn late_arrivals(&self, segment: u64) -> usize {
        let free = if self.plan.plain { FREE_REQUEST_CRASHES } else { FREE_CRASHES };
        let Some(last) = self.crash_times(segment).get(free - 1).copied() else {
            return 0;
        };
        let from = last + STABLE_MS;
        let late = |arrival: &&Arrival| arrival.segment == segment && arrival.at > from;
        self.arrivals.iter().filter(late).count()
    }

    /// Segments of sound requests, and sound requests, that some process took for the cause of crashes.
    pub fn wrongly_held(&self) -> Vec<u128> {
        let mut found = Vec::new();
        for (_, _, decision) in &self.decisions {
            let Decision::Quarantined { held: true, hold, .. } = decision else {
                continue;
            };
            let causes = hold.causes.iter().map(|cause| match cause {
                Cause::Segment { id, .. } => u128::from(*id),
                Cause::Request { digest, .. } => *digest,
            });
            let is_deadly = |id: u128| {
                (DEADLY..DOCUMENTS)
                    .any(|found| id == found.into() || id == held_digest(found.into()))
            };
            if !causes.clone().any(is_deadly) {
                found.extend(causes);
            }
        }
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Fraction of the sound requests of a kind and workspace that began at their first attempt, in this time.
    pub fn begun(&self, kind: u64, workspace: u64, times: std::ops::Range<u64>) -> f64 {
        let sound = |request: &&Request| {
            request.deadly.is_none()
                && (request.kind, request.workspace) == (kind, workspace)
                && times.contains(&request.at)
        };
        let begun = |request: &&Request| request.begun.is_some() && request.rejections.is_empty();
        let all = self.requests.iter().filter(sound).count();
        assert!(all >= 20, "{all} requests in {times:?}");
        self.requests.iter().filter(sound).filter(begun).count() as f64 / all as f64
    }

    /// Number of requests whose events were written by more than one software version.
    pub fn mixed_streams(&self) -> usize {
        let is_mixed = |request: &&Request| {
            request.events.iter().any(|software| Some(software) != request.events.first())
        };
        self.requests.iter().filter(is_mixed).count()
    }

    /// Resumptions while at least two servers of their software version served, and those of them that went on.
    pub fn resumptions(&self) -> (usize, usize) {
        let all = self.requests.iter().flat_map(|request| &request.resumptions);
        let counted: Vec<&Resumption> = all.filter(|found| found.serving >= 2).collect();
        (counted.len(), counted.iter().filter(|found| found.continued).count())
    }

    /// Fraction of the sound requests in this time that were served.
    pub fn served(&self, times: std::ops::Range<u64>) -> f64 {
        let sound = |request: &&Request| request.deadly.is_none() && times.contains(&request.at);
        let all = self.requests.iter().filter(sound).count();
        let served = self.requests.iter().filter(sound).filter(|request| request.served).count();
        served as f64 / all.max(1) as f64
    }
}

fn name(host: usize) -> Name {
    Name::from(format!("entry-{host}"))
}

fn attempt_id(call: u64) -> Name {
    Name::from(format!("r{call}"))
}

fn server_id(server: usize, born: u64) -> Name {
    Name::from(format!("i-{server}-{born}"))
}

/// Digest of a request and its caller.
fn held_digest(request: u128) -> u128 {
    let mut hasher = blake3::Hasher::new();
    let hash = hasher.update(&request.to_le_bytes()).update(b"shop").finalize();
    u128::from_le_bytes(hash.as_bytes()[..16].try_into().expect("16 bytes"))
}
