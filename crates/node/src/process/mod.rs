//! The reducer of a process: its roles, peers, heartbeats and shutdown.

mod advertise;
mod discovery;
mod dump;
mod streams;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::prelude::*;
use record::Kind;
use serde_json::Value;
use state::{Command, Evacuate};
use wire::quarantine::Evidence;
use wire::{Answer, Frame, Heartbeat, Hello, Request};

use crate::admin::{self, Admin};
use crate::contacts::Contacts;
use crate::decision::Decision;
use crate::entry::{self, claim_status_in};
use crate::forward::Forward;
use crate::keeper_client::{KeeperClient, Purpose};
use crate::stream_keeper::StreamKeeper;
use crate::watch::Watch;
use crate::{Agent, Config, Effect, Effects, Entry, Event, Keeper, agent, api, effect};

/// Interval between heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between heartbeats that advertise a change of load.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between heartbeats that advertise a newly applied revision to the keepers.
const MIN_REVISION_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers above which heartbeats are sent less often, to bound their cost.
const MANY_PEERS: u32 = 32;
/// How long the keepers may take to answer an operator's command.
const OPERATOR_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the keepers may take to answer an operator's read; operators query another process after a second.
const OPERATOR_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the keepers may take to accept an evacuation; operators expect the acknowledgement within a second.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(900);
/// How long after a stall a process accepts no evacuations: the calls that arrived meanwhile may have been overtaken.
const EVACUATION_PAUSE: Duration = Duration::from_millis(500);
/// How long the keepers may take to answer the first read index request before it is sent again.
const READ_INDEX_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct LocalProcess {
    /// The hello that it sends on each connection.
    pub hello: Hello,
    /// Weight version that its engine holds at the start.
    pub version: Name,
    /// Wall clock at the start, in milliseconds since 1970.
    pub started_ms: u64,
}

/// The reducer of a process.
#[derive(Debug)]
pub struct Node {
    local: LocalProcess,
    config: Config,
    watch: Watch,
    keepers: KeeperClient,
    entry: Option<Entry>,
    agent: Option<Agent>,
    keeper: Option<Keeper>,
    forward: Option<Forward>,
    /// The origins of streams, if the process is a keeper.
    streams: Option<StreamKeeper>,
    /// The keeper that reads and advertises the contents of the stores.
    store_reader: Option<Name>,
    last_tick: Time,
    /// When this process last continued after a stall.
    resumed_at: Option<Time>,
    /// The evacuated zones, as last logged.
    logged_evacuated: BTreeSet<Name>,
    /// Term in which this process leads the keepers, as last logged.
    leading_term: Option<u64>,
    /// The entries that connected while the lease had lapsed, each with the term then.
    uninformed: BTreeMap<Name, u64>,
    /// Since when this keeper has no leader, and when that is logged next.
    leaderless: Option<(Time, Time)>,
    /// The configuration last logged as in force, and whether this process served with it.
    logged_config: (Revision, bool),
    peers: BTreeMap<Name, Hello>,
    contacts: Contacts,
    /// Each peer's clock in its last heartbeat.
    peer_clocks: BTreeMap<Name, Time>,
    next_heartbeat: Time,
    next_read_index: Time,
    next_load_heartbeat: Time,
    advertised_revision: Revision,
    next_revision_heartbeat: Time,
    stopping: Option<Time>,
    stop_requests: u32,
    exited: bool,
    connected_to_itself: bool,
    /// Number of keepers known at the last tick.
    known_keepers: usize,
}

impl Node {
    /// A process that has just started; a keeper is restored from its disk.
    pub fn new(local: LocalProcess, config: Config, keeper: Option<Keeper>) -> Self {
        let hello = &local.hello;
        let entry = hello.entry.then(|| {
            Entry::new(config.clone(), hello.name.clone(), hello.zone.clone(), hello.incarnation)
        });
        let agent = hello
            .server
            .as_ref()
            .map(|server| Agent::new(&config, hello.incarnation, server, local.version.clone()));
        let forward = config.forward.clone().map(|config| {
            Forward::new(config, hello.zone.clone(), hello.incarnation, hello.seed())
        });
        let mut watch = Watch::default();
        watch.serve_unconfirmed = config.serve_unconfirmed;
        let contacts = Contacts::new(local.hello.clone());
        let keepers = KeeperClient::new(local.hello.incarnation);
        Self {
            streams: keeper.as_ref().map(|_| StreamKeeper::default()),
            local,
            config,
            watch,
            keepers,
            entry,
            agent,
            keeper,
            forward,
            store_reader: None,
            last_tick: Time::ZERO,
            resumed_at: None,
            logged_evacuated: BTreeSet::new(),
            leading_term: None,
            uninformed: BTreeMap::new(),
            leaderless: None,
            logged_config: (Revision::default(), false),
            peers: BTreeMap::new(),
            contacts,
            peer_clocks: BTreeMap::new(),
            next_heartbeat: Time::ZERO,
            next_read_index: Time::ZERO,
            next_load_heartbeat: Time::ZERO,
            advertised_revision: Revision::default(),
            next_revision_heartbeat: Time::ZERO,
            stopping: None,
            stop_requests: 0,
            exited: false,
            connected_to_itself: false,
            known_keepers: 0,
        }
    }

    /// The entry's reducer, if the process is an entry.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }

    /// The agent's reducer, if the process is an agent.
    pub fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// The keeper's reducer, if the process is a keeper.
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

    /// Handles one event; frames to this process itself are handled in the same step.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Effects) {
        let mut inbox = VecDeque::from([event]);
        if !self.connected_to_itself {
            // A process is its own peer, so that roles of one process need no separate path.
            self.connected_to_itself = true;
            inbox.push_front(Event::Connected(self.local.hello.clone()));
        }
        let name = self.local.hello.name.clone();
        while let Some(event) = inbox.pop_front() {
            let before = out.len();
            self.handle(now, event, out);
            self.advertise_load(now, out);
            let to_self =
                |effect: &Effect| matches!(effect, Effect::Send { to, .. } if *to == name);
            if !out[before..].iter().any(to_self) {
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

    fn handle(&mut self, now: Time, event: Event, out: &mut Effects) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Request { call, request } => {
                let ready = self.watch.ready(now);
                self.with_entry(now, |entry, cx| {
                    entry.handle_request(cx, ready, call, request, out);
                });
            }
            Event::Admin { call, admin } => self.admin(now, call, &admin, out),
            Event::ClientDisconnected { call } => {
                self.with_entry(now, |entry, cx| entry.client_disconnected(cx, call, out));
            }
            Event::Connected(hello) => self.connected(now, hello, out),
            Event::Disconnected { peer } => self.disconnected(now, &peer, out),
            Event::Frame { peer, frame } => self.frame(now, &peer, frame, out),
            Event::Server(event) => {
                self.with_agent(now, |agent, cx| agent.server(cx, event, out));
            }
            Event::Forward(event) => {
                self.with_forward(now, |forward, cx| forward.event(cx, event, out));
                self.advertise_inventory_and_list(now, out);
            }
            Event::Persisted { seq } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.persisted(now, seq, out);
                }
            }
            Event::Seeds(seeds) => self.contacts.set_seeds(seeds, out),
            Event::ContactsLoaded(contacts) => {
                let decision = Decision::PeersLoaded { processes: contacts.len() };
                out.push(Effect::Decision(Box::new(decision)));
                self.contacts.load_saved(now, &contacts, out);
            }
            Event::EvidenceLoaded(observations) => {
                let evidence = Evidence { complete: false, observations };
                self.with_forward(now, |forward, cx| forward.evidence_received(cx, &evidence, out));
            }
            Event::StreamsLoaded(records) => self.streams_loaded(now, records),
            Event::StreamsSaved { number } => self.streams_saved(number, out),
            Event::DiskFailed { text } => {
                // A keeper that cannot sync must stop participating in the quorum; the other roles end as on a shutdown.
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
                started_ms: self.local.started_ms,
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
                let decision = Decision::Keeper { keeper: hello.name.clone(), up: true };
                out.push(Effect::Decision(Box::new(decision)));
            }
            self.keepers.connected(&hello.name);
            self.watch.connected(&hello.name, out);
            if let Some(forward) = &mut self.forward {
                forward.keeper_linked(now, &hello.name, out);
            }
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.connected(now, &hello, out);
        }
        if hello.entry
            && let Some(agent) = &mut self.agent
        {
            agent.connected(&hello.name, out);
        }
        let heartbeat = self.heartbeat(now, &hello.name);
        out.push(Effect::Send { to: hello.name.clone(), frame: Frame::Heartbeat(heartbeat) });
        if hello.entry {
            self.inform_connected(now, &hello.name, out);
        }
        self.with_entry(now, |entry, cx| entry.connected(cx, &hello, out));
        self.exchange_contacts(now, &hello, out);
        self.peers.insert(hello.name.clone(), hello);
    }

    fn disconnected(&mut self, now: Time, peer: &Name, out: &mut Effects) {
        let lost = self.peers.remove(peer);
        self.uninformed.remove(peer);
        if self.forward.is_some() && lost.is_some_and(|hello| hello.keeper) {
            let decision = Decision::Keeper { keeper: peer.clone(), up: false };
            out.push(Effect::Decision(Box::new(decision)));
        }
        if let Some(forward) = &mut self.forward {
            forward.keeper_unlinked(now, peer);
        }
        self.peer_clocks.remove(peer);
        self.keepers.disconnected(now, peer);
        self.watch.disconnected(peer);
        // Another keeper replaces a source of changes that was lost.
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
        let first_number = self.local.hello.incarnation.first_number();
        if let Some(number) = frame.reply_number().filter(|number| *number < first_number) {
            let decision = Decision::LateReply { from: peer.clone(), number, first_number };
            out.push(Effect::Decision(Box::new(decision)));
            return;
        }
        match frame {
            Frame::Heartbeat(heartbeat) => {
                self.peer_clocks.insert(peer.clone(), heartbeat.sent);
                let keeper = self.peers.get(peer).is_some_and(|hello| hello.keeper);
                self.watch.heartbeat(now, (peer, keeper), &heartbeat, out);
                if let Some(keeper) = &mut self.keeper {
                    keeper.heartbeat(now, peer, &heartbeat, out);
                }
                self.with_entry(now, |entry, cx| entry.heartbeat(cx, peer, &heartbeat, out));
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
            Frame::Cache(delta) => {
                if let Some(entry) = &mut self.entry {
                    entry.apply_cache_delta(peer, &delta);
                }
            }
            Frame::Members(hellos) => self.handle_members(now, peer, hellos, out),
            Frame::Quorum { from, to, message } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.message(now, from, to.as_ref(), message, out);
                }
            }
            Frame::Request { id, request } => {
                self.handle_keeper_request(now, peer, id, request, out);
            }
            Frame::Answer { id, answer } => {
                if let Some((purpose, answer)) = self.keepers.answer(now, id, answer) {
                    self.handle_keeper_answer(now, purpose, answer, out);
                }
            }
            Frame::Watch { revision } => self.handle_watch(peer, revision, out),
            Frame::Changes { after, changes } => {
                if self.watch.apply_changes(peer, after, &changes, out) {
                    self.config_changed();
                }
            }
            Frame::Records { revision, records } => {
                self.watch.view.replace(revision, records);
                self.config_changed();
            }
            Frame::Inventory(update) => {
                if let Some(forward) = &mut self.forward
                    && forward.inventory_advertised(&update)
                {
                    self.store_reader = Some(peer.clone());
                    forward.leader_advertised(now, peer, update.term, out);
                }
            }
            Frame::List(_)
            | Frame::Loads(_)
            | Frame::LoadTotals(_)
            | Frame::VersionAges(_)
            | Frame::FetchLeases(_)
            | Frame::LimitsObserved(_)
            | Frame::Limits(_)
            | Frame::PermitRequest(_)
            | Frame::Permit(_)
            | Frame::SaveRequest(_)
            | Frame::SavePermit(_)
            | Frame::SavesEnded(_)
            | Frame::SavesOutstanding(_)
            | Frame::Evidence(_)
            | Frame::HeldBack(_) => self.handle_server_frame(now, peer, frame, out),
            Frame::StreamRecords(_)
            | Frame::StreamsRecorded { .. }
            | Frame::StreamQuery { .. }
            | Frame::StreamFound { .. } => self.handle_stream_frame(now, peer, frame, out),
            Frame::Contacts(contacts) => self.handle_contacts(now, peer, &contacts, out),
            Frame::Hello(_) | Frame::Idle => {}
        }
    }

    fn handle_keeper_request(
        &mut self,
        now: Time,
        peer: &Name,
        id: u64,
        request: Request,
        out: &mut Effects,
    ) {
        if let Some(keeper) = &mut self.keeper {
            keeper.handle_request(now, peer, id, request, out);
        } else {
            let frame = Frame::Answer { id, answer: Answer::NotLeader(None) };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Applies a changed configuration to the roles of this process.
    fn config_changed(&mut self) {
        self.watch.records_updated();
        let drained = self.watch.view.server(&self.local.hello.name).drain;
        if let Some(agent) = &mut self.agent {
            agent.drain(drained);
        }
    }

    fn handle_keeper_answer(
        &mut self,
        now: Time,
        purpose: Purpose,
        answer: Answer,
        out: &mut Effects,
    ) {
        match (purpose, answer) {
            (Purpose::Claim { number, attempt }, answer) => {
                if let Some(status) = claim_status_in(answer) {
                    self.with_entry(now, |entry, cx| {
                        entry.claim_answered(cx, number, attempt, status, out);
                    });
                }
            }
            (Purpose::ClaimStatus { number }, Answer::ClaimStatus(status)) => {
                self.with_entry(now, |entry, cx| {
                    entry.claim_status_answered(cx, number, status, out);
                });
            }
            (Purpose::ReadIndex, Answer::ReadIndex(index)) => {
                self.watch.read_index.get_or_insert(index);
            }
            (Purpose::StoredConfig { call }, Answer::StoredConfig(Some(stored))) => {
                answer_json(call, 200, stored.source.to_vec(), out);
            }
            (Purpose::StoredConfig { call }, _) => {
                reject(call, Code::NoSuchRecord, "no whole configuration was put yet", out);
            }
            (Purpose::Operator { call }, Answer::Reply(reply)) => {
                let (status, body) = admin::reply(&reply);
                respond(call, status, &body, out);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Effects) {
        if self.has_stalled(now) {
            self.resumed_at = Some(now);
        }
        self.known_keepers = self.contacts.keeper_count() + usize::from(self.keeper.is_some());
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(now, out);
        }
        if self.watch.read_index.is_none() && now >= self.next_read_index {
            self.next_read_index = now + READ_INDEX_TIMEOUT;
            self.keepers.send(
                now,
                Purpose::ReadIndex,
                Request::ReadIndex,
                now + READ_INDEX_TIMEOUT,
                out,
            );
        }
        for purpose in self.keepers.tick(now, out) {
            if let Purpose::Operator { call } | Purpose::StoredConfig { call } = purpose {
                let text = "the keepers did not answer in time; ask again with the same request id";
                reject(call, Code::NoQuorum, text, out);
            } else {
                self.with_entry(now, |entry, cx| entry.keepers_timed_out(cx, &purpose, out));
            }
        }
        self.with_entry(now, |entry, cx| entry.tick(cx, out));
        self.with_agent(now, |agent, cx| agent.tick(cx, out));
        self.with_forward(now, |forward, cx| forward.tick(cx, out));
        if let Some(streams) = &mut self.streams {
            streams.tick(now, out);
        }
        self.send_loads(now, out);
        self.send_evidence(now, out);
        self.expire_contacts(now, out);
        self.log_changes(now, out);
        self.last_tick = now;
        self.advertise_revision(now, out);
        if now >= self.next_heartbeat {
            let many = self.peers.len() as u32 / MANY_PEERS;
            self.next_heartbeat = now + HEARTBEAT_INTERVAL * (1 + many.min(3));
            self.send_heartbeats(now, out);
        }
        self.exit_when_drained(now, out);
    }

    fn heartbeat(&self, now: Time, to: &Name) -> Heartbeat {
        let quorum_status = self.keeper.as_ref().map(|keeper| keeper.quorum_status(now));
        let has_leader = quorum_status.is_some_and(|(has_leader, _)| has_leader);
        let confirmed = if has_leader {
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
            no_quorum: quorum_status.and_then(|(_, no_quorum)| no_quorum),
            ready: self.ready(now),
            sent: now,
            echo: self.peer_clocks.get(to).copied().unwrap_or_default(),
        }
    }

    /// Immediately advertises a change of load that affects the placements of the entries.
    fn advertise_load(&mut self, now: Time, out: &mut Effects) {
        if now < self.next_load_heartbeat
            || !self.agent.as_mut().is_some_and(Agent::take_load_changed)
        {
            return;
        }
        self.next_load_heartbeat = now + MIN_LOAD_INTERVAL;
        for hello in self.peers.values().filter(|hello| hello.entry) {
            let frame = Frame::Heartbeat(self.heartbeat(now, &hello.name));
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// Advertises a newly applied revision to the keepers, so that an operator waiting for it doesn't have to
    /// wait for the next regular heartbeat.
    fn advertise_revision(&mut self, now: Time, out: &mut Effects) {
        let revision = self.revision();
        if revision <= self.advertised_revision || now < self.next_revision_heartbeat {
            return;
        }
        self.advertised_revision = revision;
        self.next_revision_heartbeat = now + MIN_REVISION_INTERVAL;
        for hello in self.peers.values().filter(|hello| hello.keeper) {
            let frame = Frame::Heartbeat(self.heartbeat(now, &hello.name));
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// The revision in force here; on a keeper that of the replicated state, which its own view follows.
    fn revision(&self) -> Revision {
        let agreed = self.keeper.as_ref().map(|keeper| keeper.state().revision());
        agreed.unwrap_or(self.watch.view.revision)
    }

    fn send_heartbeats(&self, now: Time, out: &mut Effects) {
        for name in self.peers.keys() {
            let frame = Frame::Heartbeat(self.heartbeat(now, name));
            out.push(Effect::Send { to: name.clone(), frame });
        }
    }

    fn stop(&mut self, now: Time, out: &mut Effects) {
        self.stop_requests += 1;
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
        self.send_heartbeats(now, out);
        self.exit_when_drained(now, out);
    }

    fn exit_when_drained(&mut self, now: Time, out: &mut Effects) {
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
        let drain_delay =
            self.forward.as_ref().map_or(Duration::ZERO, |found| found.config().drain_delay);
        // The outcomes of claimed runs must reach the keepers before the agent that has them exits.
        let open = runs + self.agent.as_ref().map_or(0, |_| self.keepers.pending());
        let forced = self.stop_requests > 1 || now.since(since) >= self.config.drain;
        let delayed = now.since(since) < drain_delay;
        if (open > 0 || delayed) && !forced {
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
        if let Admin::Evacuate(evacuate) = admin {
            self.evacuate(now, call, evacuate.clone(), out);
            return;
        }
        if let Some(command) = admin::command(admin) {
            let purpose = Purpose::Operator { call };
            let request = Request::Command(command);
            self.keepers.send(now, purpose, request, now + OPERATOR_COMMAND_TIMEOUT, out);
            return;
        }
        if *admin == Admin::StoredConfig {
            let purpose = Purpose::StoredConfig { call };
            let request = Request::StoredConfig;
            self.keepers.send(now, purpose, request, now + OPERATOR_READ_TIMEOUT, out);
            return;
        }
        if let Admin::Release { scope, id } = admin {
            let (status, body) = self.release_cause(now, scope, *id, out);
            respond(call, status, &body, out);
            return;
        }
        let (status, body) = self.operator_read(now, admin);
        respond(call, status, &body, out);
    }

    /// Sends an evacuation to the keepers with the version of the zone's record that is known here. Calls that arrived
    /// while this process was stalled are rejected: the version that it learns afterwards may be newer than they are.
    fn evacuate(&mut self, now: Time, call: u64, mut evacuate: Evacuate, out: &mut Effects) {
        let resumed_at = if self.has_stalled(now) { Some(now) } else { self.resumed_at };
        self.resumed_at = resumed_at;
        if resumed_at.is_some_and(|at| now.since(at) < EVACUATION_PAUSE) {
            reject(call, Code::NotReady, "this process was stalled; ask another one", out);
            return;
        }
        let record = self.watch.view.get(Kind::Evacuation, &evacuate.zone);
        evacuate.expected_version = record.map_or(0, |record| record.version);
        let purpose = Purpose::Operator { call };
        let request = Request::Command(Command::Evacuate(evacuate));
        self.keepers.send(now, purpose, request, now + EVACUATION_TIMEOUT, out);
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

fn reject(call: u64, code: Code, text: &str, out: &mut Effects) {
    let (head, bytes) = api::rejection(None, code, text, HEARTBEAT_INTERVAL);
    effect::answer(call, head, bytes, out);
}
