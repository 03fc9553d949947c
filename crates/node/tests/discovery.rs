//! Seeded schedules in which processes restart with other seeds, lose disks and links, and must find each other again;
//! `SEEDS` in the environment runs more of them.

#[path = "../../quorum/tests/bed/disk.rs"]
mod disk;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use disk::Disk;
use node::{Config, Dial, Effect, Effects, Event, Keeper, LocalProcess, Node};
use quorum::{Bootstrap, Member, Replica, Role, Timing};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;
use wire::{Contact, Frame, Hello};

const SEEDS: u64 = 20;
const ROUNDS: usize = 4;
const KEEPERS: usize = 3;
const HOSTS: usize = 7;
const STEP: Duration = Duration::from_millis(10);
/// Time in which all have found each other once everything runs and no link is cut: a try that is lost, the next one, and an
/// election or two. The users allow 12 s until callers are served.
const SETTLED: Duration = Duration::from_secs(8);

/// A broken way to run the processes, to show that the checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sabotage {
    None,
    /// Nobody tells of others.
    Silence,
    /// Disks hold no addresses.
    Forget,
}

/// A VM, its disk and what its settings name.
#[derive(Debug, Default)]
struct Host {
    node: Option<Node>,
    /// Number of its address, which changes when it is replaced.
    place: usize,
    life: u64,
    seeds: Vec<SocketAddr>,
    dials: BTreeMap<SocketAddr, Dial>,
    disk: Disk,
    contacts: Vec<Contact>,
}

#[derive(Debug)]
struct World {
    rng: Pcg64Mcg,
    now: Time,
    hosts: Vec<Host>,
    links: BTreeSet<(usize, usize)>,
    cuts: BTreeSet<usize>,
    events: Vec<(usize, Event)>,
    sabotage: Sabotage,
}

fn addr(place: usize) -> SocketAddr {
    ([10, 0, 0, place as u8], 7_700).into()
}

fn name(place: usize) -> Name {
    Name::from(format!("vm-{place}"))
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl World {
    /// All start for the first time, with the keepers as seeds.
    fn start(seed: u64, sabotage: Sabotage) -> Self {
        let mut world = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time::ZERO,
            hosts: (0..HOSTS).map(|place| Host { place, ..Host::default() }).collect(),
            links: BTreeSet::new(),
            cuts: BTreeSet::new(),
            events: Vec::new(),
            sabotage,
        };
        let seeds: Vec<SocketAddr> = (0..KEEPERS).map(addr).collect();
        for host in 0..HOSTS {
            world.hosts[host].disk.identity = world.rng.random();
            world.boot(host, seeds.clone(), true);
        }
        world.run(Duration::from_secs(4));
        assert_eq!(world.lacks(), [] as [String; 0], "seed {seed}: the first start");
        world
    }

    fn addr(&self, host: usize) -> SocketAddr {
        addr(self.hosts[host].place)
    }

    fn name(&self, host: usize) -> Name {
        name(self.hosts[host].place)
    }

    fn hello(&self, host: usize) -> Hello {
        Hello {
            name: self.name(host),
            incarnation: Incarnation(self.hosts[host].life),
            zone: Name::new("z"),
            addr: self.addr(host),
            entry: true,
            keeper: host < KEEPERS,
            server: None,
        }
    }

    fn boot(&mut self, host: usize, seeds: Vec<SocketAddr>, first: bool) {
        self.hosts[host].life += 1;
        let hello = self.hello(host);
        let names = if first { (0..KEEPERS).map(name).collect() } else { Vec::new() };
        let bootstrap =
            Bootstrap { names, epoch: 1, voters_wanted: KEEPERS, accept_new_members: true };
        let found = &mut self.hosts[host];
        let member = Member { name: hello.name.clone(), disk_id: found.disk.identity };
        let saved = found.disk.saved.clone();
        let quorum = Replica::new(member, bootstrap, Timing::default(), self.rng.random(), saved);
        let keeper = Keeper::new(hello.name.clone(), quorum).expect("a state of this build");
        let me = LocalProcess { hello, version: Name::default(), started_ms: 0 };
        found.node = Some(Node::new(me, Config::default(), (host < KEEPERS).then_some(keeper)));
        found.seeds.clone_from(&seeds);
        found.dials.clear();
        self.events.push((host, Event::Seeds(seeds)));
        if host < KEEPERS && self.sabotage != Sabotage::Forget {
            self.events.push((host, Event::ContactsLoaded(self.hosts[host].contacts.clone())));
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].node = None;
        self.events.retain(|(to, _)| *to != host);
        self.unlink_all(host);
    }

    fn unlink_all(&mut self, host: usize) {
        let lost: Vec<_> =
            self.links.iter().filter(|(a, b)| [*a, *b].contains(&host)).copied().collect();
        for link in lost {
            self.unlink(link);
        }
    }

    fn unlink(&mut self, (a, b): (usize, usize)) {
        self.links.remove(&(a, b));
        for (at, peer) in [(a, b), (b, a)] {
            if self.hosts[at].node.is_some() {
                self.events.push((at, Event::Disconnected { peer: self.name(peer) }));
            }
        }
    }

    fn reachable(&self, a: usize, b: usize) -> bool {
        let open = |host: usize| self.hosts[host].node.is_some() && !self.cuts.contains(&host);
        open(a) && open(b)
    }

    /// Cuts a VM off from all others.
    fn cut(&mut self, host: usize) {
        self.cuts.insert(host);
        self.unlink_all(host);
    }

    /// One link a pair is enough, whoever dials.
    fn dial(&mut self) {
        for from in 0..HOSTS {
            for to in 0..HOSTS {
                let wanted = from != to && self.hosts[from].dials.contains_key(&self.addr(to));
                if wanted && self.reachable(from, to) && self.links.insert(pair(from, to)) {
                    for (at, peer) in [(from, to), (to, from)] {
                        self.events.push((at, Event::Connected(self.hello(peer))));
                    }
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            // A try takes a while.
            if self.rng.random_range(0..10) == 0 {
                self.dial();
            }
            for (host, event) in std::mem::take(&mut self.events) {
                self.step(host, event);
            }
            for host in 0..HOSTS {
                self.step(host, Event::Tick);
            }
        }
    }

    fn run_up_to(&mut self, millis: u64) {
        let millis = self.rng.random_range(0..millis);
        self.run(Duration::from_millis(millis));
    }

    fn step(&mut self, host: usize, event: Event) {
        let mut out = Effects::new();
        let Some(node) = &mut self.hosts[host].node else {
            return;
        };
        node.step(self.now, event, &mut out);
        for effect in out {
            self.perform(host, effect);
        }
    }

    fn perform(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => {
                let Some(to) = (0..HOSTS).find(|host| self.name(*host) == to) else { return };
                let silent =
                    matches!(frame, Frame::Contacts(_)) && self.sabotage == Sabotage::Silence;
                if self.links.contains(&pair(from, to)) && !silent {
                    self.events.push((to, Event::Frame { peer: self.name(from), frame }));
                }
            }
            Effect::Dial { addr, when } => {
                self.hosts[from].dials.insert(addr, when);
            }
            Effect::StopDialing { addr } => {
                self.hosts[from].dials.remove(&addr);
            }
            Effect::Persist { seq, write } => {
                self.hosts[from].disk.write(write);
                self.events.push((from, Event::Persisted { seq }));
            }
            Effect::SaveContacts(contacts) => self.hosts[from].contacts = contacts,
            Effect::Fail { text } => panic!("host {from}: {text}"),
            _ => {}
        }
    }

    /// What is missing: a link to a keeper, a leader, an agreed configuration.
    fn lacks(&self) -> Vec<String> {
        let mut lacks = Vec::new();
        for host in 0..HOSTS {
            for keeper in (0..KEEPERS).filter(|keeper| *keeper != host) {
                if !self.links.contains(&pair(host, keeper)) {
                    lacks.push(format!("link of host {host} to keeper {keeper}"));
                }
            }
            let node = self.hosts[host].node.as_ref();
            if !node.is_some_and(|node| node.ready(self.now)) {
                lacks.push(format!("configuration at host {host}"));
            }
        }
        let leads = |host: &Host| {
            let quorum = host.node.as_ref().and_then(Node::keeper).map(Keeper::quorum);
            quorum.is_some_and(|quorum| {
                *quorum.role() == Role::Leader && quorum.lease_holds(self.now)
            })
        };
        if self.hosts.iter().filter(|host| leads(host)).count() != 1 {
            lacks.push("one leader".to_owned());
        }
        lacks
    }

    /// A VM is gone for good; an empty one comes at another address, with one that is not a keeper as its seed.
    fn replace(&mut self, host: usize) {
        self.kill(host);
        let most = self.hosts.iter().map(|host| host.place).max();
        let disk = Disk { identity: self.rng.random(), ..Disk::default() };
        let place = most.map_or(0, |most| most + 1);
        self.hosts[host] = Host { place, disk, ..Host::default() };
        self.run_up_to(2_000);
        let seed = self.rng.random_range(KEEPERS..HOSTS);
        self.boot(host, vec![self.addr(seed)], false);
    }

    /// Seeds as an operator may exchange them: some VMs, and some addresses of nobody.
    fn seeds(&mut self) -> Vec<SocketAddr> {
        let live = (0..HOSTS).map(|host| self.addr(host));
        let all: Vec<SocketAddr> =
            live.chain((0..HOSTS).map(|nobody| addr(200 + nobody))).collect();
        all.choose_multiple(&mut self.rng, 2).copied().collect()
    }

    /// Some VMs restart with other seeds, while some are cut off; a keeper may lose its disk.
    fn trouble(&mut self) {
        if self.rng.random_range(0..4) == 0 {
            let keeper = self.rng.random_range(0..KEEPERS);
            self.replace(keeper);
            return;
        }
        let killed: Vec<usize> = match self.rng.random_range(0..4) {
            0 => (0..HOSTS).collect(),
            1 => (0..KEEPERS).collect(),
            2 => (KEEPERS..HOSTS).collect(),
            _ => (0..HOSTS).filter(|_| self.rng.random()).collect(),
        };
        for host in &killed {
            self.kill(*host);
        }
        if let Some(lost) = killed.iter().find(|host| **host < KEEPERS)
            && self.rng.random()
        {
            let identity = self.rng.random();
            self.hosts[*lost].disk = Disk { identity, ..Disk::default() };
            self.hosts[*lost].contacts.clear();
        }
        for host in 0..HOSTS {
            if self.rng.random_range(0..5) == 0 {
                self.cut(host);
            }
        }
        let seeds = self.seeds();
        for host in killed {
            self.boot(host, seeds.clone(), false);
            self.run_up_to(200);
        }
        self.run_up_to(3_000);
        self.cuts.clear();
    }
}

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// What was missing after a schedule, if anything was.
fn schedule(seed: u64, sabotage: Sabotage) -> Vec<String> {
    let mut world = World::start(seed, sabotage);
    for _ in 0..ROUNDS {
        world.trouble();
        world.run(SETTLED);
        let lacks = world.lacks();
        if !lacks.is_empty() {
            return lacks;
        }
    }
    Vec::new()
}

// Incident CONFIG, RECOVER: keepers that restarted with other seeds never met.
#[test]
fn all_find_each_other_whatever_the_seeds() {
    for seed in 0..seeds() {
        assert_eq!(schedule(seed, Sabotage::None), [] as [String; 0], "seed {seed}");
    }
}

/// The checks see processes that keep to themselves what they know.
#[test_case(Sabotage::Silence)]
#[test_case(Sabotage::Forget)]
fn knowledge_that_is_not_passed_on_is_seen(sabotage: Sabotage) {
    assert!((0..SEEDS).any(|seed| !schedule(seed, sabotage).is_empty()), "not shown");
}
