//! Replies that arrive after their receiver has restarted: an entry and a keeper exchange frames, without a network.

#[path = "../../quorum/tests/cluster/disk.rs"]
mod disk;
#[path = "fixture/mod.rs"]
mod fixture;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use node::admin::Admin;
use node::decision::Decision;
use node::{Config, Effect, Effects, Event, Keeper, LocalProcess, Node};
use quorum::{Bootstrap, Member, Replica, Timing};
use state::PutConfig;
use test_case::test_case;
use wire::{Answer, Frame, Hello, ReadIndex, stream};

use disk::Disk;

const TICK_MS: u64 = 10;
const KEEPER: &str = "keeper";
const ENTRY: &str = "entry";

fn hello(name: &str, incarnation: u64) -> Hello {
    Hello {
        name: Name::new(name),
        incarnation: Incarnation(incarnation),
        zone: Name::new("a"),
        addr: SocketAddr::from(([10, 0, 0, name.len() as u8], 7_700)),
        entry: true,
        keeper: name == KEEPER,
        server: None,
    }
}

fn node(hello: Hello, keeper: Option<Keeper>) -> Node {
    let local = LocalProcess { hello, version: Name::default(), started_ms: 0 };
    let forward = Some(fixture::config());
    Node::new(local, Config { forward, serve_unconfirmed: true, ..Config::default() }, keeper)
}

/// A keeper whose writes can be held up, and an entry that can restart.
struct World {
    now: Time,
    keeper: Node,
    entry: Node,
    disk: Disk,
    /// Whether writes of the keeper are not synced.
    disk_stalled: bool,
    unsynced: Vec<u64>,
    events: VecDeque<(&'static str, Event)>,
    /// Exchanges with operators that ended, and their status.
    answered: Vec<(u64, u16)>,
    decisions: Vec<Decision>,
}

impl World {
    fn new() -> Self {
        let hello = hello(KEEPER, 1);
        let names = vec![hello.name.clone()];
        let bootstrap = Bootstrap { names, epoch: 1, voters_wanted: 1, accept_new_members: false };
        let disk = Disk { identity: 1, ..Disk::default() };
        let member = Member { name: hello.name.clone(), disk_id: disk.identity };
        let quorum = Replica::new(member, bootstrap, Timing::default(), 1, disk.saved.clone());
        let keeper = Keeper::new(hello.name.clone(), quorum).expect("an empty state");
        let mut world = Self {
            now: Time::from_millis(1_000),
            keeper: node(hello, Some(keeper)),
            entry: node(self::hello(ENTRY, 1), None),
            disk,
            disk_stalled: false,
            unsynced: Vec::new(),
            events: VecDeque::new(),
            answered: Vec::new(),
            decisions: Vec::new(),
        };
        world.connect(1);
        world
    }

    fn connect(&mut self, incarnation: u64) {
        self.events.push_back((KEEPER, Event::Connected(hello(ENTRY, incarnation))));
        self.events.push_back((ENTRY, Event::Connected(hello(KEEPER, 1))));
    }

    /// Restarts the entry; what the keeper sends to it from now on reaches the new incarnation.
    fn restart_entry(&mut self, incarnation: u64) {
        self.entry = node(hello(ENTRY, incarnation), None);
        self.events.retain(|(to, _)| *to != ENTRY);
        self.events.push_back((KEEPER, Event::Disconnected { peer: Name::new(ENTRY) }));
        self.connect(incarnation);
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            if !self.disk_stalled {
                for seq in std::mem::take(&mut self.unsynced) {
                    self.step(KEEPER, Event::Persisted { seq });
                }
            }
            for (to, event) in std::mem::take(&mut self.events) {
                self.step(to, event);
            }
            self.step(KEEPER, Event::Tick);
            self.step(ENTRY, Event::Tick);
        }
    }

    fn step(&mut self, at: &'static str, event: Event) {
        let mut out = Effects::new();
        let node = if at == KEEPER { &mut self.keeper } else { &mut self.entry };
        node.step(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, frame } => {
                    let to = if *to == *KEEPER { KEEPER } else { ENTRY };
                    self.events.push_back((to, Event::Frame { peer: Name::new(at), frame }));
                }
                Effect::Persist { seq, write } => {
                    self.disk.write(write);
                    self.unsynced.push(seq);
                }
                Effect::Begin { call, head } => self.answered.push((call, head.status)),
                Effect::Decision(decision) => self.decisions.push(*decision),
                Effect::Fail { text } => panic!("{at}: {text}"),
                _ => {}
            }
        }
    }

    fn put(&mut self, call: u64, version: u64) {
        let put = PutConfig {
            by: Name::new("op"),
            at_ms: 0,
            version,
            source: Arc::from(format!("document {version}").as_bytes()),
            parts: Vec::new(),
        };
        self.step(ENTRY, Event::Admin { call, admin: Box::new(Admin::PutConfig(put)) });
    }

    fn stored_version(&self) -> Option<u64> {
        Some(self.keeper.keeper()?.state().stored_config()?.version)
    }

    fn late_replies(&self) -> usize {
        let late = |decision: &&Decision| matches!(decision, Decision::LateReply { .. });
        self.decisions.iter().filter(late).count()
    }
}

// Guards against an acknowledged configuration that is lost: an entry restarts while its request waits at a keeper, and takes the
// late answer for that to its next request.
#[test]
fn a_late_answer_acknowledges_no_request_of_a_later_incarnation() {
    let mut world = World::new();
    world.run(5_000);
    world.disk_stalled = true;
    world.put(1, 10);
    world.run(100);
    world.restart_entry(2);
    // The read index of the new incarnation has the first number, as that of the earlier one had.
    world.run(200);
    world.events.retain(|(to, _)| *to != KEEPER);
    world.put(2, 13);
    // The second change has not reached the keeper when the first one is committed.
    world.events.retain(|(to, _)| *to != KEEPER);
    world.disk_stalled = false;
    world.run(50);
    assert_eq!(world.stored_version(), Some(10));
    assert_eq!(world.answered, [], "the second change is not in the log");
    assert!(world.late_replies() > 0, "the dropped answer is logged");
    world.run(2_000);
    assert_eq!(world.answered, [(2, 200)]);
    assert_eq!(world.stored_version(), Some(13));
}

// Guards against a change that is applied twice, or never answered, because its answer was lost and it is resent.
#[test]
fn a_resent_request_of_an_incarnation_is_answered() {
    let mut world = World::new();
    world.run(5_000);
    world.put(1, 10);
    world.run(10);
    // The answer is lost on the way.
    world.events.retain(|(to, event)| {
        *to != ENTRY || !matches!(event, Event::Frame { frame: Frame::Answer { .. }, .. })
    });
    world.run(2_000);
    assert_eq!(world.answered, [(1, 200)]);
    assert_eq!(world.stored_version(), Some(10));
}

/// A reply to request `number` of the first incarnation of the entry.
fn late(kind: &str, number: u64) -> Frame {
    match kind {
        "answer" => Frame::Answer { id: number, answer: Answer::ReadIndex(ReadIndex::default()) },
        "permit" => Frame::Permit(wire::limit::PermitReply {
            call: 1,
            number,
            granted: Some(0),
            waits_ms: Vec::new(),
            retry_after_ms: 0,
            issued: 1,
        }),
        "recorded" => Frame::StreamsRecorded { ack: number },
        _ => Frame::StreamFound { call: number, found: stream::Lookup::Unknown },
    }
}

// Guards against a reply to an earlier incarnation that is taken for one to this incarnation: permits, origins of streams, and a
// read index from before the start, with which a process would serve an older configuration.
#[test_case("answer"; "read index")]
#[test_case("permit"; "permit")]
#[test_case("recorded"; "acknowledged record")]
#[test_case("found"; "origin of a stream")]
fn a_late_reply_of_any_kind_is_dropped_and_logged(kind: &str) {
    let mut world = World::new();
    // The keeper never gets the request for the read index, so that the entry waits for it.
    world.events.retain(|(to, _)| *to != KEEPER);
    world.restart_entry(2);
    world.step(ENTRY, Event::Tick);
    for number in Incarnation(1).first_number()..Incarnation(1).first_number() + 8 {
        let frame = late(kind, number);
        world.step(ENTRY, Event::Frame { peer: Name::new(KEEPER), frame });
    }
    assert!(world.entry.watch().read_index.is_none());
    assert_eq!(world.late_replies(), 8);
}
