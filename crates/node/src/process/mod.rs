//! The reducer of a whole process: its roles, its peers, its heartbeats and its end.

mod advertise;
mod discovery;
mod dump;

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use serde_json::Value;
use wire::{Answer, Frame, Heartbeat, Hello, Request};

use crate::admin::{self, Admin};
use crate::contacts::Contacts;
use crate::decision::Decision;
use crate::entry::{self, claim_status_in};
use crate::forward::Forward;
use crate::keeper_client::{KeeperClient, Purpose};
use crate::watch::Watch;
use crate::{Agent, Config, Effect, Effects, Entry, Event, Keeper, agent, api, effect};

/// Time between two heartbeats to a peer.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Least time between two words of a change of load.
const QUICK: Duration = Duration::from_millis(10);
/// Least time between two words to the keepers of a change that came into force.
const TOLD: Duration = Duration::from_millis(100);
/// Peers above which heartbeats become rarer, so that their cost stays bounded.
const MANY_PEERS: u32 = 32;
/// Longest wait for the keepers on an operator's request.
const OPERATOR: Duration = Duration::from_secs(10);
/// Longest wait for the keepers on an operator's read: the operator asks elsewhere after a second.
const OPERATOR_READ: Duration = Duration::from_secs(1);
/// Longest wait for the first agreed read before it is asked for again.
const MARK: Duration = Duration::from_secs(2);

/// Who this process is.
#[derive(Clone, Debug)]
pub struct LocalProcess {
    /// What it says of itself on each link.
    pub hello: Hello,
    /// Weight version that the engine beside it holds at the start.
    pub version: Name,
    /// Wall clock at the start, milliseconds since 1970.
    pub started_ms: u64,
}

/// The reducer of a process.
#[derive(Debug)]
pub struct Node {
    me: LocalProcess,
    config: Config,
    watch: Watch,
    keepers: KeeperClient,
    entry: Option<Entry>,
    agent: Option<Agent>,
    keeper: Option<Keeper>,
    forward: Option<Forward>,
    /// The keeper that tells what lies on the stores.
    reader: Option<Name>,
    last_tick: Time,
    /// Term in which this process was last told to lead.
    leads: Option<u64>,
    /// Since when this keeper knows no leader, and when that is noted again.
    leaderless: Option<(Time, Time)>,
    /// The configuration that was last told to be in force, and whether it served by it.
    noted: (Revision, bool),
    peers: BTreeMap<Name, Hello>,
    contacts: Contacts,
    /// Each peer's clock in its last heartbeat.
    heard: BTreeMap<Name, Time>,
    next_beat: Time,
    next_mark: Time,
    next_quick: Time,
    told: Revision,
    next_told: Time,
    stopping: Option<Time>,
    stops: u32,
    exited: bool,
    met_itself: bool,
}

impl Node {
    /// A process that has just started; a keeper comes with what its disk held.
    pub fn new(me: LocalProcess, config: Config, keeper: Option<Keeper>) -> Self {
        let hello = &me.hello;
        let entry = hello.entry.then(|| {
            Entry::new(config.clone(), hello.name.clone(), hello.zone.clone(), hello.incarnation)
        });
        let agent = hello
            .server
            .as_ref()
            .map(|server| Agent::new(&config, hello.incarnation, server, me.version.clone()));
        let forward = config
            .forward
            .clone()
            .map(|config| Forward::new(config, hello.zone.clone(), hello.seed()));
        let mut watch = Watch::default();
        watch.serve_unconfirmed = config.serve_unconfirmed;
        let contacts = Contacts::new(me.hello.clone());
        Self {
            me,
            config,
            watch,
            keepers: KeeperClient::default(),
            entry,
            agent,
            keeper,
            forward,
            reader: None,
            last_tick: Time::ZERO,
            leads: None,
            leaderless: None,
            noted: (Revision::default(), false),
            peers: BTreeMap::new(),
            contacts,
            heard: BTreeMap::new(),
            next_beat: Time::ZERO,
            next_mark: Time::ZERO,
            next_quick: Time::ZERO,
            told: Revision::default(),
            next_told: Time::ZERO,
            stopping: None,
            stops: 0,
            exited: false,
            met_itself: false,
        }
    }

    /// The entry's reducer, if the process is one.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }

    /// The agent's reducer, if the process is one.
    pub fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// The keeper's reducer, if the process is one.
    pub fn keeper(&self) -> Option<&Keeper> {
        self.keeper.as_ref()
    }

    /// The reducer of forwarded requests, if the process forwards any.
    pub fn forward(&self) -> Option<&Forward> {
        self.forward.as_ref()
    }

    /// The configuration.
    pub fn watch(&self) -> &Watch {
        &self.watch
    }

    /// Whether new work may be sent here.
    pub fn ready(&self, now: Time) -> bool {
        self.stopping.is_none() && self.watch.ready(now)
    }

    /// Takes one event; frames to itself are taken in the same step.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Effects) {
        let mut inbox = VecDeque::from([event]);
        if !self.met_itself {
            // A process is its own peer, so that roles beside each other need no special way.
            self.met_itself = true;
            inbox.push_front(Event::Connected(self.me.hello.clone()));
        }
        let name = self.me.hello.name.clone();
        while let Some(event) = inbox.pop_front() {
            let before = out.len();
            self.take(now, event, out);
            self.beat_entries(now, out);
            let own = |effect: &Effect| matches!(effect, Effect::Send { to, .. } if *to == name);
            if !out[before..].iter().any(own) {
                continue;
            }
            for effect in out.split_off(before) {
                match effect {
                    Effect::Send { to, frame } if to == name => {
                        inbox.push_back(Event::Frame { peer: to, frame });
                    }
                    other => out.push(other),
                }
            }
        }
    }

    fn take(&mut self, now: Time, event: Event, out: &mut Effects) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Request { call, request } => {
                let ready = self.watch.ready(now);
                self.with_entry(now, |entry, cx| {
                    entry.handle_request(cx, ready, call, request, out)
                });
            }
            Event::Admin { call, admin } => self.admin(now, call, &admin, out),
            Event::ClientDisconnected { call } => {
                self.with_entry(now, |entry, cx| entry.client_disconnected(cx, call, out));
            }
            Event::Connected(hello) => self.connected(now, hello, out),
            Event::Disconnected { peer } => self.disconnected(now, &peer, out),
            Event::Frame { peer, frame } => self.frame(now, &peer, frame, out),
            Event::Server(news) => {
                self.with_agent(now, |agent, cx| agent.server(cx, news, out));
            }
            Event::Forward(event) => {
                self.with_forward(now, |forward, cx| forward.event(cx, event, out));
                self.tell_read(out);
            }
            Event::Persisted { seq } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.persisted(now, seq, out);
                }
            }
            Event::Seeds(seeds) => self.contacts.seeded(seeds, out),
            Event::ContactsLoaded(contacts) => {
                let note = Decision::PeersLoaded { processes: contacts.len() };
                out.push(Effect::Decision(Box::new(note)));
                self.contacts.remembered(now, &contacts, out);
            }
            Event::DiskFailed { text } => {
                // A keeper that cannot sync promises nothing more; the rest ends as on a stop.
                self.keeper = None;
                out.push(Effect::Fail { text });
            }
            Event::Stop => self.stop(now, out),
        }
    }

    fn with_entry(&mut self, now: Time, run: impl FnOnce(&mut Entry, &mut entry::Context<'_>)) {
        if let Some(entry) = &mut self.entry {
            let mut cx = entry::Context {
                now,
                view: &self.watch.view,
                keepers: &mut self.keepers,
                started_ms: self.me.started_ms,
            };
            run(entry, &mut cx);
        }
    }

    fn with_agent(&mut self, now: Time, run: impl FnOnce(&mut Agent, &mut agent::Context<'_>)) {
        if let Some(agent) = &mut self.agent {
            let mut cx = agent::Context { now, keepers: &mut self.keepers };
            run(agent, &mut cx);
        }
    }

    fn connected(&mut self, now: Time, hello: Hello, out: &mut Effects) {
        if hello.keeper {
            if self.forward.is_some() && !self.peers.contains_key(&hello.name) {
                let note = Decision::Keeper { keeper: hello.name.clone(), up: true };
                out.push(Effect::Decision(Box::new(note)));
            }
            self.keepers.connected(&hello.name);
            self.watch.connected(&hello.name, out);
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.connected(now, &hello, out);
        }
        if hello.entry
            && let Some(agent) = &mut self.agent
        {
            agent.connected(&hello.name, out);
        }
        let beat = self.heartbeat(now, &hello.name);
        out.push(Effect::Send { to: hello.name.clone(), frame: Frame::Heartbeat(beat) });
        let term = self.term(now).filter(|_| hello.entry);
        if let Some((forward, term)) = self.forward.as_ref().zip(term) {
            let limits = Frame::Limits(forward.limits_in_force(now, term));
            for frame in [Frame::Inventory(forward.inventory()), limits] {
                out.push(Effect::Send { to: hello.name.clone(), frame });
            }
        }
        self.with_entry(now, |entry, cx| entry.connected(cx, &hello, out));
        self.exchange_contacts(now, &hello, out);
        self.peers.insert(hello.name.clone(), hello);
    }

    fn disconnected(&mut self, now: Time, peer: &Name, out: &mut Effects) {
        let lost = self.peers.remove(peer);
        if self.forward.is_some() && lost.is_some_and(|hello| hello.keeper) {
            let note = Decision::Keeper { keeper: peer.clone(), up: false };
            out.push(Effect::Decision(Box::new(note)));
        }
        self.heard.remove(peer);
        self.keepers.disconnected(now, peer);
        self.watch.disconnected(peer);
        // Another keeper takes the place of the one that changes came from.
        let other = self.peers.values().find(|hello| hello.keeper).map(|hello| hello.name.clone());
        if let Some(other) = other {
            self.watch.connected(&other, out);
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.disconnected(peer);
        }
        if let Some(entry) = &mut self.entry {
            entry.disconnected(now, peer);
        }
        if let Some(agent) = &mut self.agent {
            agent.disconnected(now, peer);
        }
    }

    fn frame(&mut self, now: Time, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Heartbeat(beat) => {
                self.heard.insert(peer.clone(), beat.sent);
                let keeper = self.peers.get(peer).is_some_and(|hello| hello.keeper);
                self.watch.beat(now, (peer, keeper), &beat, out);
                if let Some(keeper) = &mut self.keeper {
                    keeper.beat(now, peer, &beat, out);
                }
                self.with_entry(now, |entry, cx| entry.heartbeat(cx, peer, &beat, out));
            }
            Frame::Start(_)
            | Frame::Ack { .. }
            | Frame::Resume { .. }
            | Frame::Cancel { .. }
            | Frame::Order { .. } => {
                self.with_agent(now, |agent, cx| agent.frame(cx, peer, frame, out));
            }
            Frame::Output(_) | Frame::Rejected { .. } | Frame::UnknownRun { .. } => {
                self.with_entry(now, |entry, cx| entry.frame(cx, peer, frame, out));
            }
            Frame::Cache(news) => {
                if let Some(entry) = &mut self.entry {
                    entry.apply_cache_delta(peer, &news);
                }
            }
            Frame::Members(hellos) => self.members_told(now, peer, hellos, out),
            Frame::Quorum { from, to, message } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.message(now, from, to.as_ref(), message, out);
                }
            }
            Frame::Request { id, request } => self.asked(now, peer, id, request, out),
            Frame::Answer { id, answer } => {
                if let Some((purpose, answer)) = self.keepers.answer(now, id, answer) {
                    self.answered(now, purpose, answer, out);
                }
            }
            Frame::Watch { revision } => self.watched(peer, revision, out),
            Frame::Changes { after, changes } => {
                if self.watch.changed(peer, after, &changes, out) {
                    self.configured();
                }
            }
            Frame::Records { revision, records } => {
                self.watch.view.replace(revision, records);
                self.configured();
            }
            Frame::Inventory(told) => {
                if let Some(forward) = &mut self.forward
                    && forward.inventory_advertised(&told)
                {
                    self.reader = Some(peer.clone());
                }
            }
            Frame::List(_)
            | Frame::Loads(_)
            | Frame::LoadTotals(_)
            | Frame::VersionAges(_)
            | Frame::LimitsObserved(_)
            | Frame::Limits(_)
            | Frame::PermitRequest(_)
            | Frame::Permit(_) => self.entries_told(now, peer, frame, out),
            Frame::Contacts(contacts) => self.contacts_told(now, peer, &contacts, out),
            Frame::Hello(_) | Frame::Idle => {}
        }
    }

    fn asked(&mut self, now: Time, peer: &Name, id: u64, request: Request, out: &mut Effects) {
        if let Some(keeper) = &mut self.keeper {
            keeper.ask(now, peer, id, request, out);
        } else {
            let frame = Frame::Answer { id, answer: Answer::NotLeader(None) };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Brings what follows from the configuration into force here.
    fn configured(&mut self) {
        self.watch.applied();
        let drained = self.watch.view.server(&self.me.hello.name).drain;
        if let Some(agent) = &mut self.agent {
            agent.drain(drained);
        }
    }

    fn answered(&mut self, now: Time, purpose: Purpose, answer: Answer, out: &mut Effects) {
        match (purpose, answer) {
            (Purpose::Claim { number, attempt }, answer) => {
                if let Some(standing) = claim_status_in(answer) {
                    self.with_entry(now, |entry, cx| {
                        entry.claim_answered(cx, number, attempt, standing, out);
                    });
                }
            }
            (Purpose::Standing { number }, Answer::ClaimStatus(standing)) => {
                self.with_entry(now, |entry, cx| {
                    entry.claim_status_answered(cx, number, standing, out);
                });
            }
            (Purpose::Mark, Answer::ReadIndex(mark)) => {
                self.watch.mark.get_or_insert(mark);
            }
            (Purpose::Adopted { call }, Answer::Adopted(Some(adopted))) => {
                answer_json(call, 200, adopted.source.to_vec(), out);
            }
            (Purpose::Adopted { call }, _) => {
                refuse(call, Code::NoSuchRecord, "no whole configuration was put yet", out);
            }
            (Purpose::Operator { call }, Answer::Reply(reply)) => {
                let (status, body) = admin::reply(&reply);
                respond(call, status, &body, out);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Effects) {
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(now, out);
        }
        if self.watch.mark.is_none() && now >= self.next_mark {
            self.next_mark = now + MARK;
            self.keepers.ask(now, Purpose::Mark, Request::ReadIndex, now + MARK, out);
        }
        for purpose in self.keepers.tick(now, out) {
            if let Purpose::Operator { call } | Purpose::Adopted { call } = purpose {
                let text = "the keepers did not answer in time; ask again with the same request id";
                refuse(call, Code::NoQuorum, text, out);
            } else {
                self.with_entry(now, |entry, cx| entry.keepers_timed_out(cx, &purpose, out));
            }
        }
        self.with_entry(now, |entry, cx| entry.tick(cx, out));
        self.with_agent(now, |agent, cx| agent.tick(cx, out));
        self.with_forward(now, |forward, cx| forward.tick(cx, out));
        self.send_loads(now, out);
        self.expire_contacts(now, out);
        self.note(now, out);
        self.tell_keepers(now, out);
        if now >= self.next_beat {
            let many = self.peers.len() as u32 / MANY_PEERS;
            self.next_beat = now + HEARTBEAT * (1 + many.min(3));
            self.beat_all(now, out);
        }
        self.leave_when_empty(now, out);
    }

    fn heartbeat(&self, now: Time, to: &Name) -> Heartbeat {
        let attest = self.keeper.as_ref().map(|keeper| keeper.attest(now));
        let in_touch = attest.is_some_and(|(in_touch, _)| in_touch);
        let confirmed = if in_touch {
            Some(0)
        } else {
            self.watch.confirmed_ago(now).map(|ago| ago.as_millis() as u64)
        };
        let leaving = self.agent.as_ref().is_some_and(Agent::leaving) || self.stopping.is_some();
        Heartbeat {
            revision: self.revision(),
            leaving,
            load: self.agent.as_ref().map(Agent::load),
            held_runs: self.agent.as_ref().map_or(0, |agent| agent.held_for(to)),
            held_prefill: self.agent.as_ref().map_or([0; 2], |agent| agent.prefill_for(to)),
            confirmed_age_ms: confirmed,
            no_quorum: attest.and_then(|(_, no_quorum)| no_quorum),
            ready: self.ready(now),
            sent: now,
            echo: self.heard.get(to).copied().unwrap_or_default(),
        }
    }

    /// Tells the entries at once of a change of load that matters to their choices.
    fn beat_entries(&mut self, now: Time, out: &mut Effects) {
        if now < self.next_quick || !self.agent.as_mut().is_some_and(Agent::take_news) {
            return;
        }
        self.next_quick = now + QUICK;
        for hello in self.peers.values().filter(|hello| hello.entry) {
            let frame = Frame::Heartbeat(self.heartbeat(now, &hello.name));
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// Tells the keepers soon after a change has come into force here, so that who waits for it
    /// need not wait for a heartbeat.
    fn tell_keepers(&mut self, now: Time, out: &mut Effects) {
        let revision = self.revision();
        if revision <= self.told || now < self.next_told {
            return;
        }
        self.told = revision;
        self.next_told = now + TOLD;
        for hello in self.peers.values().filter(|hello| hello.keeper) {
            let frame = Frame::Heartbeat(self.heartbeat(now, &hello.name));
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// The configuration in force here; a keeper speaks for the agreed state, which its own view
    /// follows.
    fn revision(&self) -> Revision {
        let agreed = self.keeper.as_ref().map(|keeper| keeper.state().revision());
        agreed.unwrap_or(self.watch.view.revision)
    }

    fn beat_all(&self, now: Time, out: &mut Effects) {
        for name in self.peers.keys() {
            let frame = Frame::Heartbeat(self.heartbeat(now, name));
            out.push(Effect::Send { to: name.clone(), frame });
        }
    }

    fn stop(&mut self, now: Time, out: &mut Effects) {
        self.stops += 1;
        self.stopping.get_or_insert(now);
        if let Some(entry) = &mut self.entry {
            entry.drain();
        }
        if let Some(agent) = &mut self.agent {
            agent.stop();
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.resign(now, out);
        }
        self.beat_all(now, out);
        self.leave_when_empty(now, out);
    }

    fn leave_when_empty(&mut self, now: Time, out: &mut Effects) {
        let Some(since) = self.stopping else {
            return;
        };
        if self.exited {
            return;
        }
        let forwarded = self.forward.as_ref().map_or(0, Forward::open);
        let runs = self.entry.as_ref().map_or(0, Entry::open)
            + self.agent.as_ref().map_or(0, Agent::open)
            + forwarded;
        let linger =
            self.forward.as_ref().map_or(Duration::ZERO, |found| found.config().drain_delay);
        // Settlements must reach the keepers before the agent that knows them goes.
        let open = runs + self.agent.as_ref().map_or(0, |_| self.keepers.open());
        let forced = self.stops > 1 || now.since(since) >= self.config.drain;
        let lingers = now.since(since) < linger;
        if (open > 0 || lingers) && !forced {
            return;
        }
        self.exited = true;
        self.with_entry(now, |entry, cx| {
            entry.abort_all(cx, out);
        });
        self.with_forward(now, |forward, cx| forward.abort_all(cx, out));
        out.push(Effect::Exit { cut: runs });
    }

    fn admin(&mut self, now: Time, call: u64, admin: &Admin, out: &mut Effects) {
        if let Some(command) = admin::command(admin) {
            let purpose = Purpose::Operator { call };
            let request = Request::Command(command);
            self.keepers.ask(now, purpose, request, now + OPERATOR, out);
            return;
        }
        if *admin == Admin::Adopted {
            let purpose = Purpose::Adopted { call };
            self.keepers.ask(now, purpose, Request::Adopted, now + OPERATOR_READ, out);
            return;
        }
        let (status, body) = self.look(now, admin);
        respond(call, status, &body, out);
    }
}

fn respond(call: u64, status: u16, body: &Value, out: &mut Effects) {
    answer_json(call, status, format!("{body}\n").into_bytes(), out);
}

fn answer_json(call: u64, status: u16, bytes: Vec<u8>, out: &mut Effects) {
    let head =
        crate::ResponseHead { status, content_type: api::JSON.to_owned(), headers: Vec::new() };
    effect::answer(call, head, bytes, out);
}

fn refuse(call: u64, code: Code, text: &str, out: &mut Effects) {
    let (head, bytes) = api::rejection(None, code, text, HEARTBEAT);
    effect::answer(call, head, bytes, out);
}
