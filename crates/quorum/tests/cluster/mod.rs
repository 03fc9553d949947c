//! A simulated cluster of replicas with a seeded schedule of message delays, drops and duplicates,
//! partitions, freezes, crashes and lost disks, and the checks on the resulting history.
#![allow(dead_code, reason = "each test file uses a part of this module")]

mod disk;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::prelude::*;
use disk::Disk;
use quorum::{Body, Bootstrap, Entry, Input, Member, Output, Replica, Role, Timing};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(10);

/// Probabilities of faults, in units of 1/10000 per tick or message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub drop: u32,
    pub duplicate: u32,
    pub crash: u32,
    pub freeze: u32,
    pub isolate: u32,
    pub lose_disk: u32,
}

/// A deliberate defect of the simulated disks, to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    #[default]
    None,
    /// Syncs are confirmed before the data is written.
    EarlySync,
    /// The replacement of a lost disk has the same identity.
    SameIdentity,
}

#[derive(Debug)]
struct Node {
    replica: Option<Replica>,
    disk: Disk,
    pending: Vec<(Time, u64, Output)>,
    frozen_until: Time,
    /// Until when its disk is full, so that no write is synced.
    full_until: Time,
    down_until: Time,
    applied: Vec<(u64, Arc<[u8]>)>,
    restored: u64,
    state: Vec<u64>,
    waiting: BTreeMap<u64, (u64, u64)>,
    reads: Vec<(u64, u64)>,
}

#[derive(Debug)]
enum Event {
    Deliver(Name, Input),
    Synced(Name, u64),
}

/// An acknowledged command: when it was sent and acknowledged, and the index of its entry.
#[derive(Clone, Copy, Debug)]
pub struct Acked {
    pub command: u64,
    pub sent: Time,
    pub at: Time,
    pub index: u64,
}

/// A confirmed read: when it was sent, and its read index.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub sent: Time,
    pub index: u64,
}

/// The simulated cluster.
#[derive(Debug)]
pub struct Cluster {
    pub now: Time,
    rng: Pcg64Mcg,
    nodes: BTreeMap<Name, Node>,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
    blocked_links: BTreeSet<(Name, Name)>,
    faults: Faults,
    sabotage: Sabotage,
    pub acked: Vec<Acked>,
    pub reads: Vec<Read>,
    sent: BTreeMap<u64, Time>,
    read_sent: BTreeMap<u64, Time>,
    /// The command applied at each index; 0 for an entry without a command.
    pub log: BTreeMap<u64, u64>,
    /// The leader of each term.
    leaders: BTreeMap<u64, Name>,
    pub lost_disks: usize,
}

impl Cluster {
    pub fn new(seed: u64, names: &[&str], faults: Faults, sabotage: Sabotage) -> Self {
        let mut cluster = Self {
            now: Time::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
            blocked_links: BTreeSet::new(),
            faults,
            sabotage,
            acked: Vec::new(),
            reads: Vec::new(),
            sent: BTreeMap::new(),
            read_sent: BTreeMap::new(),
            log: BTreeMap::new(),
            leaders: BTreeMap::new(),
            lost_disks: 0,
        };
        for (position, name) in names.iter().enumerate() {
            let disk = Disk { identity: position as u64 + 1, ..Disk::default() };
            let node = Node {
                replica: None,
                disk,
                pending: Vec::new(),
                frozen_until: Time::ZERO,
                full_until: Time::ZERO,
                down_until: Time::ZERO,
                applied: Vec::new(),
                restored: 0,
                state: Vec::new(),
                waiting: BTreeMap::new(),
                reads: Vec::new(),
            };
            cluster.nodes.insert(Name::new(name), node);
        }
        for name in cluster.names() {
            cluster.boot(&name);
        }
        cluster
    }

    pub fn names(&self) -> Vec<Name> {
        self.nodes.keys().cloned().collect()
    }

    /// The initial voters: all members whose names do not start with "spare".
    fn initial_voters(&self) -> Vec<Name> {
        self.names().into_iter().filter(|name| !name.starts_with("spare")).collect()
    }

    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.faults = Faults::default();
    }

    pub fn replica(&self, name: &str) -> &Replica {
        self.nodes[name].replica.as_ref().expect("running")
    }

    pub fn leader(&self) -> Option<Name> {
        let leads = |node: &Node| {
            node.replica.as_ref().is_some_and(|replica| {
                *replica.role() == Role::Leader && replica.lease_holds(self.now)
            })
        };
        self.nodes.iter().find(|(_, node)| leads(node)).map(|(name, _)| name.clone())
    }

    pub fn isolate(&mut self, name: &str) {
        for other in self.names() {
            self.blocked_links.insert((Name::new(name), other.clone()));
            self.blocked_links.insert((other, Name::new(name)));
        }
    }

    pub fn freeze(&mut self, name: &str, time: Duration) {
        let until = self.now + time;
        self.nodes.get_mut(name).expect("known").frozen_until = until;
    }

    /// Fills a disk for this time. Writes that are under way wait too.
    pub fn fill_disk(&mut self, name: &str, time: Duration) {
        let until = self.now + time;
        self.nodes.get_mut(name).expect("known").full_until = until;
    }

    fn boot(&mut self, name: &Name) {
        let seed = self.rng.random();
        let names = self.initial_voters();
        let accept_new_members = names.len() < self.nodes.len();
        let bootstrap = Bootstrap { accept_new_members, ..Bootstrap::of(names, 1) };
        let timing = Timing {
            heartbeat: Duration::from_millis(50),
            election: Duration::from_millis(300),
            snapshot_after: 40,
            replace_after: Duration::from_millis(1_500),
            ..Timing::default()
        };
        let node = self.nodes.get_mut(name).expect("known");
        let me = Member { name: name.clone(), disk_id: node.disk.identity };
        let replica = Replica::new(me, bootstrap, timing, seed, node.disk.saved.clone());
        node.state =
            replica.initial_snapshot().map(|found| decode(&found.data)).unwrap_or_default();
        node.applied.clear();
        node.replica = Some(replica);
        self.feed(name, Input::Tick);
    }

    pub fn crash(&mut self, name: &str, down: Duration) {
        let until = self.now + down;
        let node = self.nodes.get_mut(name).expect("known");
        node.replica = None;
        node.pending.clear();
        node.waiting.clear();
        node.reads.clear();
        node.down_until = until;
        let gone = Name::new(name);
        self.queue.retain(|_, event| match event {
            Event::Deliver(to, _) | Event::Synced(to, _) => *to != gone,
        });
    }

    pub fn lose_disk(&mut self, name: &str, down: Duration) {
        self.crash(name, down);
        let identity = self.rng.random();
        let node = self.nodes.get_mut(name).expect("known");
        let keep = node.disk.identity;
        node.disk = Disk::default();
        node.disk.identity = if self.sabotage == Sabotage::SameIdentity { keep } else { identity };
        self.lost_disks += 1;
    }

    pub fn propose(&mut self, name: &str, command: u64) {
        if self.nodes[name].replica.is_none() {
            return;
        }
        self.sent.insert(command, self.now);
        let data = Arc::from(command.to_be_bytes());
        self.feed(&Name::new(name), Input::Propose { id: command, data });
    }

    pub fn read(&mut self, name: &str, id: u64) {
        if self.nodes[name].replica.is_none() {
            return;
        }
        self.read_sent.insert(id, self.now);
        self.feed(&Name::new(name), Input::Read { id });
    }

    /// Simulates this period, with the configured faults.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.now + TICK;
            self.deliver_until(next_tick);
            self.now = next_tick;
            for name in self.names() {
                self.inject_faults(&name);
                self.tick(&name);
            }
        }
    }

    fn chance(&mut self, permyriad: u32) -> bool {
        permyriad > 0 && self.rng.random_range(0..10_000) < permyriad
    }

    fn inject_faults(&mut self, name: &Name) {
        if self.chance(self.faults.isolate) {
            if self.blocked_links.is_empty() {
                self.isolate(name);
            } else {
                self.blocked_links.clear();
            }
        }
        if self.nodes[name].replica.is_none() {
            return;
        }
        let millis = self.rng.random_range(20..2_000);
        let time = Duration::from_millis(millis);
        if self.chance(self.faults.freeze) {
            self.freeze(name, time);
        }
        if self.chance(self.faults.crash) {
            self.crash(name, time);
        }
        // A disk is lost only when all others are complete, so that there is only one loss at a time.
        if self.chance(self.faults.lose_disk) && self.repaired() {
            self.lose_disk(name, time);
        }
    }

    /// Whether all replicas run, are members and lag by at most two entries, and there are as many voters
    /// as at the start.
    pub fn repaired(&self) -> bool {
        let leader = self.leader();
        let Some(leader) = leader.as_ref().and_then(|name| self.nodes[name].replica.as_ref())
        else {
            return false;
        };
        let up = |(name, node): (&Name, &Node)| {
            let me = Member { name: name.clone(), disk_id: node.disk.identity };
            node.replica.is_some().then_some(me)
        };
        let Some(live) = self.nodes.iter().map(up).collect::<Option<Vec<Member>>>() else {
            return false;
        };
        live.iter().all(|me| leader.config().all().any(|member| member == me))
            && leader.config().voters.iter().all(|voter| live.contains(voter))
            && leader.config().voters.len() == self.initial_voters().len()
            && leader.commit() == leader.last_index()
            && self.nodes.values().all(|node| {
                node.replica.as_ref().is_some_and(|replica| replica.commit() + 2 >= leader.commit())
            })
    }

    fn tick(&mut self, name: &Name) {
        let node = &self.nodes[name];
        if node.replica.is_none() {
            if self.now >= node.down_until {
                self.boot(name);
            }
            return;
        }
        if self.now < node.frozen_until {
            return;
        }
        let announcement = node.replica.as_ref().and_then(Replica::announcement);
        if let Some(message) = announcement {
            let from = node.replica.as_ref().expect("running").me().clone();
            for other in self.names().into_iter().filter(|other| other != name) {
                let input = Input::Message { from: from.clone(), message: message.clone() };
                self.send(name, &other, &input);
            }
        }
        self.feed(name, Input::Tick);
    }

    fn deliver_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 >= end {
                return;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            let to = match &event {
                Event::Deliver(to, _) | Event::Synced(to, _) => to.clone(),
            };
            let node = &self.nodes[&to];
            let waits_until = match &event {
                Event::Deliver(..) => node.frozen_until,
                Event::Synced(..) => node.frozen_until.max(node.full_until),
            };
            if self.now < waits_until {
                self.schedule(waits_until, event);
                continue;
            }
            match event {
                Event::Deliver(to, input) => self.feed(&to, input),
                Event::Synced(to, seq) => self.handle_synced(&to, seq),
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    fn send(&mut self, from: &Name, to: &Name, input: &Input) {
        if self.blocked_links.contains(&(from.clone(), to.clone())) || self.chance(self.faults.drop)
        {
            return;
        }
        let copies = if self.chance(self.faults.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.faults.drop > 0 && self.chance(300);
            let max_micros = if slow { 200_000 } else { 5_000 };
            let delay = Duration::from_micros(self.rng.random_range(200..max_micros));
            self.schedule(self.now + delay, Event::Deliver(to.clone(), input.clone()));
        }
    }

    fn feed(&mut self, name: &Name, input: Input) {
        let now = self.now;
        let mut out = Vec::new();
        let node = self.nodes.get_mut(name).expect("known");
        let Some(replica) = &mut node.replica else {
            return;
        };
        replica.step(now, input, &mut out);
        if *replica.role() == Role::Leader {
            let term = replica.term();
            let other = self.leaders.insert(term, name.clone());
            assert!(other.is_none_or(|other| other == *name), "two leaders in term {term}");
        }
        for output in out {
            self.handle_output(name, output);
        }
        self.complete_reads(name);
    }

    fn handle_output(&mut self, name: &Name, output: Output) {
        match output {
            Output::Send { to, message } => {
                let node = &self.nodes[name];
                let from = node.replica.as_ref().expect("running").me().clone();
                if self.nodes.get(&to.name).is_some_and(|node| node.disk.identity == to.disk_id) {
                    self.send(name, &to.name, &Input::Message { from, message });
                }
            }
            Output::Persist { seq, .. } => {
                let wait = Duration::from_micros(self.rng.random_range(100..8_000));
                let at = self.now + wait;
                let node = self.nodes.get_mut(name).expect("known");
                // Syncs complete in the order of their requests.
                let at = node.pending.last().map_or(at, |(last, _, _)| at.max(*last));
                node.pending.push((at, seq, output));
                let early = self.sabotage == Sabotage::EarlySync;
                self.schedule(if early { self.now } else { at }, Event::Synced(name.clone(), seq));
                if early {
                    // The data is written much later.
                    let node = self.nodes.get_mut(name).expect("known");
                    if let Some(last) = node.pending.last_mut() {
                        last.0 = at + Duration::from_millis(400);
                    }
                }
            }
            Output::Apply(entry) => self.apply(name, &entry),
            Output::Restore(snapshot) => {
                let node = self.nodes.get_mut(name).expect("known");
                node.state = decode(&snapshot.data);
                node.restored = snapshot.index;
            }
            Output::Accepted { id, index, term } => {
                let node = self.nodes.get_mut(name).expect("known");
                node.waiting.insert(index, (term, id));
            }
            Output::Readable { id, index } => {
                self.nodes.get_mut(name).expect("known").reads.push((id, index));
            }
            Output::Snapshot { index } => {
                let data = encode(&self.nodes[name].state);
                self.feed(name, Input::Snapshotted { index, data });
            }
            Output::Rejected { .. } => {}
        }
    }

    fn apply(&mut self, name: &Name, entry: &Entry) {
        let command = match &entry.body {
            Body::Data(data) => u64::from_be_bytes(data[..8].try_into().expect("eight bytes")),
            Body::Empty | Body::Config(_) => 0,
        };
        let before = self.log.insert(entry.index, command);
        assert!(
            before.is_none_or(|before| before == command),
            "index {} was applied as {before:?} and as {command}",
            entry.index
        );
        let node = self.nodes.get_mut(name).expect("known");
        if command != 0 {
            node.state.push(command);
        }
        if let Some((term, id)) = node.waiting.remove(&entry.index)
            && term == entry.term
        {
            let sent = self.sent[&id];
            self.acked.push(Acked { command: id, sent, at: self.now, index: entry.index });
        }
    }

    fn complete_reads(&mut self, name: &Name) {
        let node = self.nodes.get_mut(name).expect("known");
        for (id, index) in std::mem::take(&mut node.reads) {
            let sent = self.read_sent[&id];
            self.reads.push(Read { sent, index });
        }
    }

    fn handle_synced(&mut self, name: &Name, seq: u64) {
        let node = self.nodes.get_mut(name).expect("known");
        let now = self.now;
        let done: Vec<Output> = {
            let count = node.pending.iter().take_while(|(at, _, _)| *at <= now).count();
            node.pending.drain(..count).map(|(_, _, output)| output).collect()
        };
        for output in done {
            let Output::Persist { write, .. } = output else { continue };
            node.disk.write(write);
        }
        self.feed(name, Input::Persisted { seq });
    }

    /// Checks the history: no acknowledged command is lost, the order of commands follows real time,
    /// and reads are not stale.
    pub fn check(&self) {
        let mut position: BTreeMap<u64, u64> = BTreeMap::new();
        for (index, command) in &self.log {
            if *command != 0 {
                assert!(position.insert(*command, *index).is_none(), "command {command} twice");
            }
        }
        let last = *self.log.keys().last().unwrap_or(&0);
        for acked in &self.acked {
            assert_eq!(
                position.get(&acked.command),
                Some(&acked.index),
                "an accepted entry was lost"
            );
        }
        for (name, node) in &self.nodes {
            let Some(replica) = &node.replica else { continue };
            if replica.commit() == last {
                let expected: Vec<u64> = self.log.values().copied().filter(|c| *c != 0).collect();
                assert_eq!(node.state, expected, "{name} has a different state");
            }
        }
        for later in &self.acked {
            for earlier in &self.acked {
                if earlier.at < later.sent {
                    assert!(earlier.index < later.index, "order does not follow real time");
                }
            }
        }
        for read in &self.reads {
            for acked in self.acked.iter().filter(|acked| acked.at < read.sent) {
                assert!(read.index >= acked.index, "a stale read at {:?}", read.sent);
            }
        }
    }

    /// Whether all replicas run and have the same commit index.
    pub fn converged(&self) -> bool {
        let mut commits =
            self.nodes.values().map(|node| node.replica.as_ref().map(Replica::commit));
        let first = commits.next().flatten();
        first.is_some() && commits.all(|commit| commit == first)
    }
}

fn encode(state: &[u64]) -> Arc<[u8]> {
    state.iter().flat_map(|command| command.to_be_bytes()).collect()
}

fn decode(data: &[u8]) -> Vec<u64> {
    data.chunks_exact(8).map(|c| u64::from_be_bytes(c.try_into().expect("eight bytes"))).collect()
}
