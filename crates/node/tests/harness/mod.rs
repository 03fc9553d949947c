//! Harness that drives a process by explicit events.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::time::Duration;

use base::{Incarnation, Name, Revision, RunId, Time};
use node::{
    Caller, ClientRequest, Config, Effect, Effects, Event, LocalProcess, Node, RequestKind,
    ServerEvent,
};
use record::{Kind, Record};
use wire::{
    Answer, Call, Digest, Frame, Heartbeat, Hello, Load, Output, Part, ReadIndex, Request,
    ServerInfo,
};

pub const KEEPER: &str = "keeper";
pub const V1: Revision = Revision { epoch: 1, index: 5 };

/// A process and the current time.
#[derive(Debug)]
pub struct Harness {
    pub node: Node,
    pub now: Time,
}

pub fn hello(name: &str, incarnation: u64, server: Option<ServerInfo>) -> Hello {
    Hello {
        name: Name::new(name),
        incarnation: Incarnation(incarnation),
        zone: Name::new("z"),
        addr: ([127, 0, 0, 1], 1).into(),
        entry: name.starts_with("entry"),
        keeper: name == KEEPER,
        server,
    }
}

pub fn engine() -> ServerInfo {
    ServerInfo { serves: Name::new("m"), plain: false, slots: 4 }
}

pub fn plain() -> ServerInfo {
    ServerInfo { serves: Name::new("s"), plain: true, slots: 4 }
}

fn record(kind: Kind, name: &str, body: &str) -> Record {
    Record {
        kind,
        name: Name::new(name),
        version: 1,
        schema: record::schema::newest(kind),
        min_schema: 1,
        body: body.into(),
        created: V1,
        revision: V1,
        by: Name::new("ann"),
        at_ms: 0,
    }
}

/// The records at the start of every test: workspace "w" with key "k", service "s".
pub fn records() -> Vec<Record> {
    let key = blake3::hash(b"k").to_hex();
    vec![
        record(Kind::Workspace, "w", &format!(r#"{{"keys":["{key}"]}}"#)),
        record(Kind::Service, "s", r#"{"once":[{"method":"POST","prefix":"/"}]}"#),
    ]
}

impl Harness {
    fn new(hello: Hello) -> Self {
        let local = LocalProcess { hello, version: Name::new("v1"), started_ms: 0 };
        let node = Node::new(local, Config::default(), None);
        let mut harness = Self { node, now: Time::from_millis(1) };
        let out = harness.step(Event::Connected(self::hello(KEEPER, 1, None)));
        drop(out);
        let out = harness.step(Event::Tick);
        let id = out.iter().find_map(|effect| match effect {
            Effect::Send { frame: Frame::Request { id, request: Request::ReadIndex }, .. } => {
                Some(*id)
            }
            _ => None,
        });
        let read_index = ReadIndex { records: V1, position: V1 };
        harness.frame(
            KEEPER,
            Frame::Answer {
                id: id.expect("a read index request"),
                answer: Answer::ReadIndex(read_index),
            },
        );
        harness.frame(KEEPER, Frame::Records { revision: V1, records: records() });
        harness.confirm(V1);
        harness
    }

    /// An entry that may serve.
    pub fn entry() -> Self {
        Self::new(hello("entry-1", 7, None))
    }

    /// An agent that may serve.
    pub fn agent(server: ServerInfo) -> Self {
        Self::new(hello("agent-1", 9, Some(server)))
    }

    pub fn step(&mut self, event: Event) -> Effects {
        let mut out = Effects::new();
        self.node.step(self.now, event, &mut out);
        out
    }

    pub fn frame(&mut self, peer: &str, frame: Frame) -> Effects {
        self.step(Event::Frame { peer: Name::new(peer), frame })
    }

    /// A heartbeat of a keeper that confirms this revision.
    pub fn confirm(&mut self, revision: Revision) {
        let echo = self.now;
        let heartbeat = Heartbeat {
            revision,
            confirmed_age_ms: Some(0),
            ready: true,
            echo,
            ..Heartbeat::default()
        };
        self.frame(KEEPER, Frame::Heartbeat(heartbeat));
    }

    /// Advances the time, with ticks and a confirmed configuration.
    pub fn advance(&mut self, time: Duration) -> Effects {
        let end = self.now + time;
        let mut out = Effects::new();
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.confirm(V1);
            out.extend(self.step(Event::Tick));
        }
        out
    }

    /// Connects an agent, which reports that it is ready with a weight version.
    pub fn connect(
        &mut self,
        name: &str,
        incarnation: u64,
        server: ServerInfo,
        version: &str,
    ) -> Effects {
        let mut out = self.step(Event::Connected(hello(name, incarnation, Some(server))));
        out.extend(self.heartbeat(name, version, false));
        out
    }

    pub fn heartbeat(&mut self, name: &str, version: &str, leaving: bool) -> Effects {
        let load = Load { version: Name::new(version), ..Load::default() };
        let heartbeat =
            Heartbeat { load: Some(load), ready: true, leaving, ..Heartbeat::default() };
        self.frame(name, Frame::Heartbeat(heartbeat))
    }

    pub fn request(&mut self, call: u64, kind: RequestKind, key: Option<&str>) -> Effects {
        let caller = Caller {
            key: "k".to_owned(),
            idempotency_key: key.map(Name::new),
            deadline: Some(Duration::from_secs(5)),
            ..Caller::default()
        };
        let request = Box::new(ClientRequest { caller, kind, digest: [1; 16] });
        self.step(Event::Request { call, request })
    }

    pub fn prompt(&mut self, call: u64) -> Effects {
        self.request(call, prompt(8), None)
    }
}

pub fn prompt(tokens: u32) -> RequestKind {
    RequestKind::Prompt {
        model: Name::new("m"),
        text: "why does my mint wilt?".into(),
        max_tokens: tokens,
        stream: true,
        chat: false,
    }
}

pub fn call() -> RequestKind {
    RequestKind::Call(Call {
        service: Name::new("s"),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        content_type: String::new(),
        body: b"a".to_vec(),
    })
}

/// The starts among effects: receiver and attempt.
pub fn starts(out: &Effects) -> Vec<(String, wire::Start)> {
    out.iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, frame: Frame::Start(start) } => {
                Some((to.to_string(), (**start).clone()))
            }
            _ => None,
        })
        .collect()
}

/// The claims among effects: number of the request to the keepers, and the claim.
pub fn claims(out: &Effects) -> Vec<(u64, state::Claim)> {
    out.iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                frame:
                    Frame::Request {
                        id,
                        request: Request::Command(state::Command::Claim { claim, .. }),
                    },
                ..
            } => Some((*id, claim.clone())),
            _ => None,
        })
        .collect()
}

/// The runs submitted to the backend server.
pub fn served(out: &Effects) -> Vec<RunId> {
    out.iter()
        .filter_map(|effect| match effect {
            Effect::Serve { run, .. } => Some(*run),
            _ => None,
        })
        .collect()
}

/// All bytes sent to a caller, and whether the response ended as complete.
pub fn response(out: &Effects, call: u64) -> (String, Option<bool>) {
    let mut text = String::new();
    let mut complete = None;
    for effect in out {
        match effect {
            Effect::Body { call: to, bytes } if *to == call => {
                text.push_str(&String::from_utf8_lossy(bytes));
            }
            Effect::Finish { call: to, complete: value } if *to == call => complete = Some(*value),
            _ => {}
        }
    }
    (text, complete)
}

pub fn token(run: RunId, seq: u64, text: &str) -> Frame {
    let part = Part::Tokens { text: text.to_owned(), count: 1 };
    Frame::Output(Output { run, seq, part })
}

/// The last part of a response of these tokens.
pub fn end(run: RunId, tokens: &[&str]) -> Frame {
    let mut digest = Digest::default();
    for text in tokens {
        digest.add(&Part::Tokens { text: (*text).to_owned(), count: 1 });
    }
    let parts = tokens.len() as u64;
    let part = Part::End { code: base::Code::Ok, parts, digest, computed: 5, cached: 0 };
    Frame::Output(Output { run, seq: parts, part })
}

pub fn start(run: RunId, to: u64, version: &str) -> wire::Start {
    wire::Start {
        run,
        incarnation: Incarnation(to),
        workspace: Name::new("w"),
        priority: wire::Priority::Normal,
        over_share: false,
        left_ms: 5_000,
        idempotent: true,
        idempotency_key: None,
        work: wire::Work::Prompt(wire::Prompt {
            model: Name::new("m"),
            version: Name::new(version),
            text: "x".into(),
            max_tokens: 2,
            resume_from: 0,
            keys: Vec::new(),
        }),
        prefill: 1,
        queued_tokens: 0,
        fetch: Vec::new(),
        save: Vec::new(),
        save_if_free: Vec::new(),
    }
}

pub fn run(number: u64) -> RunId {
    RunId { entry: Incarnation(7), number, attempt: 0 }
}

pub fn done(run: RunId) -> Event {
    Event::Server(ServerEvent::Done { run, computed: 1, cached: 0 })
}
