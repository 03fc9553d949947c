//! Random schedules in which processes restart with other seeds, lose disks and connections, and must find each other
//! again. `SEEDS` in the environment sets the number of schedules.

#[path = "../../quorum/tests/cluster/disk.rs"]
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
/// Time in which all processes find each other once everything runs and no connection is blocked: a lost dial attempt,
/// the next one, and an election or two. The requirement is 12 s until callers are served.
const CONVERGENCE_TIME: Duration = Duration::from_secs(8);

/// A defect to inject, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sabotage {
    None,
    /// Contacts are not exchanged.
    NoContacts,
    /// Contacts are not loaded from the disk.
    NoSavedContacts,
}

/// A VM, its disk and the seeds of its settings.
#[derive(Debug, Default)]
struct Host {
    node: Option<Node>,
    /// Number of its name and address, which changes when it is replaced.
    number: usize,
    incarnation: u64,
    seeds: Vec<SocketAddr>,
    dials: BTreeMap<SocketAddr, Dial>,
    disk: Disk,
    contacts: Vec<Contact>,
}

#[derive(Debug)]
struct Cluster {
    rng: Pcg64Mcg,
    now: Time,
    hosts: Vec<Host>,
    links: BTreeSet<(usize, usize)>,
    isolated: BTreeSet<usize>,
    events: Vec<(usize, Event)>,
    sabotage: Sabotage,
}

fn addr(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_700).into()
}

fn name(number: usize) -> Name {
    Name::from(format!("vm-{number}"))
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Cluster {
    /// Starts all processes for the first time, with the keepers as seeds.
    fn start(seed: u64, sabotage: Sabotage) -> Self {
        let mut cluster = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time::ZERO,
            hosts: (0..HOSTS).map(|number| Host { number, ..Host::default() }).collect(),
            links: BTreeSet::new(),
            isolated: BTreeSet::new(),
            events: Vec::new(),
            sabotage,
        };
        let seeds: Vec<SocketAddr> = (0..KEEPERS).map(addr).collect();
        for host in 0..HOSTS {
            cluster.hosts[host].disk.identity = cluster.rng.random();
            cluster.boot(host, seeds.clone(), true);
        }
        cluster.run(Duration::from_secs(4));
        assert_eq!(cluster.missing(), [] as [String; 0], "seed {seed}: the first start");
        cluster
    }

    fn addr(&self, host: usize) -> SocketAddr {
        addr(self.hosts[host].number)
    }

    fn name(&self, host: usize) -> Name {
        name(self.hosts[host].number)
    }

    fn hello(&self, host: usize) -> Hello {
        Hello {
            name: self.name(host),
            incarnation: Incarnation(self.hosts[host].incarnation),
            zone: Name::new("z"),
            addr: self.addr(host),
            entry: true,
            keeper: host < KEEPERS,
            server: None,
        }
    }

    fn boot(&mut self, host: usize, seeds: Vec<SocketAddr>, first: bool) {
        self.hosts[host].incarnation += 1;
        let hello = self.hello(host);
        let names = if first { (0..KEEPERS).map(name).collect() } else { Vec::new() };
        let bootstrap =
            Bootstrap { names, epoch: 1, voters_wanted: KEEPERS, accept_new_members: true };
        let found = &mut self.hosts[host];
        let member = Member { name: hello.name.clone(), disk_id: found.disk.identity };
        let saved = found.disk.saved.clone();
        let quorum = Replica::new(member, bootstrap, Timing::default(), self.rng.random(), saved);
        let keeper = Keeper::new(hello.name.clone(), quorum).expect("a state of this build");
        let local = LocalProcess { hello, version: Name::default(), started_ms: 0 };
        found.node = Some(Node::new(local, Config::default(), (host < KEEPERS).then_some(keeper)));
        found.seeds.clone_from(&seeds);
        found.dials.clear();
        self.events.push((host, Event::Seeds(seeds)));
        if host < KEEPERS && self.sabotage != Sabotage::NoSavedContacts {
            self.events.push((host, Event::ContactsLoaded(self.hosts[host].contacts.clone())));
        }
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].node = None;
        self.events.retain(|(to, _)| *to != host);
        self.disconnect_all(host);
    }

    fn disconnect_all(&mut self, host: usize) {
        let lost: Vec<_> =
            self.links.iter().filter(|(a, b)| [*a, *b].contains(&host)).copied().collect();
        for link in lost {
            self.disconnect(link);
        }
    }

    fn disconnect(&mut self, (a, b): (usize, usize)) {
        self.links.remove(&(a, b));
        for (at, peer) in [(a, b), (b, a)] {
            if self.hosts[at].node.is_some() {
                self.events.push((at, Event::Disconnected { peer: self.name(peer) }));
            }
        }
    }

    fn reachable(&self, a: usize, b: usize) -> bool {
        let open = |host: usize| self.hosts[host].node.is_some() && !self.isolated.contains(&host);
        open(a) && open(b)
    }

    /// Isolates a VM from all others.
    fn isolate(&mut self, host: usize) {
        self.isolated.insert(host);
        self.disconnect_all(host);
    }

    /// Connects each pair at most once, whichever side dials.
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
            // Dialling takes 10 steps on average.
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
                    matches!(frame, Frame::Contacts(_)) && self.sabotage == Sabotage::NoContacts;
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

    /// What is missing: a connection to a keeper, a leader, a confirmed configuration.
    fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for host in 0..HOSTS {
            for keeper in (0..KEEPERS).filter(|keeper| *keeper != host) {
                if !self.links.contains(&pair(host, keeper)) {
                    missing.push(format!("connection of host {host} to keeper {keeper}"));
                }
            }
            let node = self.hosts[host].node.as_ref();
            if !node.is_some_and(|node| node.ready(self.now)) {
                missing.push(format!("configuration at host {host}"));
            }
        }
        let leads = |host: &Host| {
            let replica = host.node.as_ref().and_then(Node::keeper).map(Keeper::replica);
            replica.is_some_and(|replica| {
                *replica.role() == Role::Leader && replica.lease_holds(self.now)
            })
        };
        if self.hosts.iter().filter(|host| leads(host)).count() != 1 {
            missing.push("one leader".to_owned());
        }
        missing
    }

    /// Replaces a VM by an empty one with another address, whose only seed is not a keeper.
    fn replace(&mut self, host: usize) {
        self.kill(host);
        let highest = self.hosts.iter().map(|host| host.number).max();
        let disk = Disk { identity: self.rng.random(), ..Disk::default() };
        let number = highest.map_or(0, |highest| highest + 1);
        self.hosts[host] = Host { number, disk, ..Host::default() };
        self.run_up_to(2_000);
        let seed = self.rng.random_range(KEEPERS..HOSTS);
        self.boot(host, vec![self.addr(seed)], false);
    }

    /// Seeds that an operator may set: addresses of VMs, and unused addresses.
    fn seeds(&mut self) -> Vec<SocketAddr> {
        let live = (0..HOSTS).map(|host| self.addr(host));
        let all: Vec<SocketAddr> =
            live.chain((0..HOSTS).map(|unused| addr(200 + unused))).collect();
        all.choose_multiple(&mut self.rng, 2).copied().collect()
    }

    /// Restarts some VMs with other seeds while some are isolated; a keeper may lose its disk.
    fn inject_faults(&mut self) {
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
                self.isolate(host);
            }
        }
        let seeds = self.seeds();
        for host in killed {
            self.boot(host, seeds.clone(), false);
            self.run_up_to(200);
        }
        self.run_up_to(3_000);
        self.isolated.clear();
    }
}

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// What is missing after a schedule; empty if it passed.
fn schedule(seed: u64, sabotage: Sabotage) -> Vec<String> {
    let mut cluster = Cluster::start(seed, sabotage);
    for _ in 0..ROUNDS {
        cluster.inject_faults();
        cluster.run(CONVERGENCE_TIME);
        let missing = cluster.missing();
        if !missing.is_empty() {
            return missing;
        }
    }
    Vec::new()
}

// Incident CONFIG, RECOVER: keepers that restarted with other seeds never connected to each other.
#[test]
fn all_find_each_other_whatever_the_seeds() {
    for seed in 0..seeds() {
        assert_eq!(schedule(seed, Sabotage::None), [] as [String; 0], "seed {seed}");
    }
}

/// The checks detect processes that don't exchange or save addresses.
#[test_case(Sabotage::NoContacts)]
#[test_case(Sabotage::NoSavedContacts)]
fn missing_address_exchange_is_detected(sabotage: Sabotage) {
    assert!(
        (0..SEEDS).any(|seed| !schedule(seed, sabotage).is_empty()),
        "the defect was not detected"
    );
}
