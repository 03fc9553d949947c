//! Entries that connect to the leader while its lease has lapsed: whole processes exchange frames, without a network.

#[path = "../../quorum/tests/cluster/disk.rs"]
mod disk;
#[path = "fixture/mod.rs"]
mod fixture;

use std::collections::VecDeque;
use std::net::SocketAddr;

use base::prelude::*;
use node::{Config, Effect, Effects, Event, Keeper, LocalProcess, Node};
use quorum::{Bootstrap, Member, Replica, Timing};
use wire::{Frame, Hello};

use disk::Disk;

const KEEPERS: usize = 3;
const TICK_MS: u64 = 10;

/// Keepers, and an entry of which only the received frames are kept.
struct World {
    now: Time,
    nodes: Vec<Node>,
    disks: Vec<Disk>,
    events: VecDeque<(usize, Event)>,
    connected: bool,
    received: Vec<Frame>,
}

fn hello(host: usize) -> Hello {
    Hello {
        name: Name::from(format!("host-{host}")),
        incarnation: Incarnation(1),
        zone: Name::new("a"),
        addr: SocketAddr::from(([10, 0, 0, host as u8], 7_700)),
        entry: true,
        keeper: host < KEEPERS,
        server: None,
    }
}

impl World {
    fn new() -> Self {
        let disk = |host: usize| Disk { identity: host as u64 + 1, ..Disk::default() };
        let disks: Vec<Disk> = (0..KEEPERS).map(disk).collect();
        let node = |(host, disk): (usize, &Disk)| {
            let hello = hello(host);
            let names = (0..KEEPERS).map(|host| self::hello(host).name).collect();
            let bootstrap =
                Bootstrap { names, epoch: 1, voters_wanted: KEEPERS, accept_new_members: false };
            let member = Member { name: hello.name.clone(), disk_id: disk.identity };
            let saved = disk.saved.clone();
            let quorum = Replica::new(member, bootstrap, Timing::default(), host as u64, saved);
            let keeper = Keeper::new(hello.name.clone(), quorum).expect("a state of this build");
            let local = LocalProcess { hello, version: Name::default(), started_ms: 0 };
            let forward = Some(fixture::config());
            let config = Config { forward, serve_unconfirmed: true, ..Config::default() };
            Node::new(local, config, Some(keeper))
        };
        let mut world = Self {
            now: Time::from_millis(1_000),
            nodes: disks.iter().enumerate().map(node).collect(),
            disks,
            events: VecDeque::new(),
            connected: false,
            received: Vec::new(),
        };
        world.connect();
        world
    }

    fn pairs() -> impl Iterator<Item = (usize, usize)> {
        let all = (0..KEEPERS).flat_map(|from| (0..KEEPERS).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to)
    }

    /// Connects the keepers with each other.
    fn connect(&mut self) {
        self.connected = true;
        for (from, to) in Self::pairs() {
            self.events.push_back((to, Event::Connected(hello(from))));
        }
    }

    fn disconnect(&mut self) {
        self.connected = false;
        self.events.retain(|(_, event)| !matches!(event, Event::Frame { .. }));
        for (from, to) in Self::pairs() {
            self.events.push_back((to, Event::Disconnected { peer: hello(from).name }));
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            for (host, event) in std::mem::take(&mut self.events) {
                self.step(host, event);
            }
            for host in 0..KEEPERS {
                self.step(host, Event::Tick);
            }
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        let mut out = Effects::new();
        self.nodes[host].step(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, frame } if to == hello(KEEPERS).name => {
                    self.received.push(frame);
                }
                Effect::Send { to, frame } if self.connected => {
                    let Some(to) = (0..KEEPERS).find(|host| hello(*host).name == to) else {
                        continue;
                    };
                    self.events.push_back((to, Event::Frame { peer: hello(host).name, frame }));
                }
                Effect::Persist { seq, write } => {
                    self.disks[host].write(write);
                    self.events.push_back((host, Event::Persisted { seq }));
                }
                Effect::Fail { text } => panic!("host {host}: {text}"),
                _ => {}
            }
        }
    }

    /// The process that holds the lease, and its term.
    fn leader(&self) -> Option<(usize, u64)> {
        let leads = |(host, node): (usize, &Node)| {
            let replica = node.keeper().map(Keeper::replica)?;
            replica.lease_holds(self.now).then(|| (host, replica.term()))
        };
        self.nodes.iter().enumerate().find_map(leads)
    }

    fn has_inventory(&self) -> bool {
        self.received.iter().any(|frame| matches!(frame, Frame::Inventory(_)))
    }
}

// Guards against an entry that fetches from stores by an inventory from before its connection was lost: it connected again
// while the leader's lease had lapsed, so no inventory was sent to it, but leases are once the leader leads again.
#[test]
fn an_entry_that_connects_while_the_lease_has_lapsed_is_told_the_inventory() {
    let mut world = World::new();
    world.run(8_000);
    let (leader, term) = world.leader().expect("a leader");
    world.step(leader, Event::Connected(hello(KEEPERS)));
    assert!(world.has_inventory(), "sent on a connection to the leader");
    world.step(leader, Event::Disconnected { peer: hello(KEEPERS).name });
    world.disconnect();
    while world.leader().is_some() {
        world.run(TICK_MS);
    }
    world.received.clear();
    world.step(leader, Event::Connected(hello(KEEPERS)));
    world.connect();
    while world.leader().is_none() {
        world.run(TICK_MS);
    }
    assert_eq!(world.leader(), Some((leader, term)), "the same leader in the same term");
    world.run(5_000);
    assert!(world.has_inventory(), "{} frames, no inventory", world.received.len());
}
