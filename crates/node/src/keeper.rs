//! The keeper's reducer: the quorum, the agreed state, those who watch it and the rollouts.

use std::collections::BTreeMap;

use base::prelude::*;
use quorum::{Body, Input, Member, Message, Output, Replica, Role};
use record::View;
use serde_json::{Value, json};
use state::{Command, Order, Reply, State};
use wire::{Answer, Frame, Heartbeat, Hello, NoQuorum, ReadIndex, Request};

use crate::members::Members;
use crate::rollout;
use crate::{Effect, Effects};

/// Time between two rounds of rollouts.
const ROUND: Duration = Duration::from_millis(200);
/// Time after which an order is told again.
const TELL_AGAIN: Duration = Duration::from_millis(500);
/// Time between two words of an empty disk.
const FRESH: Duration = Duration::from_millis(300);

/// Who waits for an answer, and under which number.
#[derive(Clone, Debug)]
struct Asked {
    peer: Name,
    id: u64,
}

#[derive(Debug)]
enum Reading {
    Mark,
    Standing { workspace: Name, key: Name },
    Adopted,
}

/// The keeper's reducer.
#[derive(Debug)]
pub struct Keeper {
    me: Name,
    quorum: Replica,
    state: State,
    view: View,
    next_id: u64,
    proposed: BTreeMap<u64, Asked>,
    placed: BTreeMap<u64, (u64, Asked)>,
    reads: BTreeMap<u64, (Asked, Reading)>,
    readable: Vec<(u64, u64)>,
    applied: u64,
    watchers: BTreeMap<Name, Revision>,
    keepers: Vec<Name>,
    members: Members,
    next_round: Time,
    next_fresh: Time,
    issuing: BTreeMap<Name, Time>,
    told: BTreeMap<Name, Time>,
}

impl Keeper {
    /// A keeper with what its disk held.
    ///
    /// # Errors
    /// The snapshot is not one that this build can read.
    pub fn new(me: Name, quorum: Replica) -> Result<Self, String> {
        let state = match quorum.initial_snapshot() {
            Some(snapshot) => State::decode(&snapshot.data)?,
            None => State::default(),
        };
        let applied = quorum.initial_snapshot().map_or(0, |snapshot| snapshot.index);
        Ok(Self {
            me,
            quorum,
            state,
            view: View::default(),
            next_id: 1,
            proposed: BTreeMap::new(),
            placed: BTreeMap::new(),
            reads: BTreeMap::new(),
            readable: Vec::new(),
            applied,
            watchers: BTreeMap::new(),
            keepers: Vec::new(),
            members: Members::default(),
            next_round: Time::ZERO,
            next_fresh: Time::ZERO,
            issuing: BTreeMap::new(),
            told: BTreeMap::new(),
        })
    }

    /// The agreed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The member of the quorum.
    pub fn quorum(&self) -> &Replica {
        &self.quorum
    }

    /// The processes known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What a heartbeat of this keeper says: whether it is in touch, and whether nobody leads.
    pub fn attest(&self, now: Time) -> (bool, Option<NoQuorum>) {
        let in_touch = self.quorum.has_recent_leader(now);
        let config = self.quorum.config();
        // Only voters count towards a majority that knows no leader.
        let counts = !in_touch && config.votes(self.quorum.me());
        let no_quorum =
            || NoQuorum { voters: config.voters.len() as u32, newest: self.newest_possible() };
        (in_touch, counts.then(no_quorum))
    }

    /// The revision that the log leads to if all of it is agreed; any command that is not applied
    /// yet may be a change.
    fn newest_possible(&self) -> Revision {
        let open = self.quorum.last_command_index().filter(|index| *index > self.applied);
        let open = open.map(|index| Revision { epoch: self.quorum.epoch(), index });
        open.unwrap_or(self.state.revision())
    }

    /// A link is up.
    pub fn connected(&mut self, now: Time, hello: &Hello, out: &mut Effects) {
        self.members.connected(now, hello);
        if hello.keeper && hello.name != self.me && !self.keepers.contains(&hello.name) {
            self.keepers.push(hello.name.clone());
        }
        if hello.entry {
            let frame = Frame::Members(self.members.hellos());
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// The last link to a peer is down.
    pub fn disconnected(&mut self, peer: &Name) {
        self.watchers.remove(peer);
        self.keepers.retain(|keeper| keeper != peer);
    }

    /// A heartbeat came.
    pub fn beat(&mut self, now: Time, peer: &Name, beat: &Heartbeat, out: &mut Effects) {
        self.members.beat(now, peer, beat);
        if beat.revision.epoch > 0 && self.quorum.is_uninitialized() {
            self.input(now, Input::ClusterExists, out);
        }
    }

    /// A message from another keeper.
    pub fn message(
        &mut self,
        now: Time,
        from: Member,
        to: Option<&Member>,
        message: Message,
        out: &mut Effects,
    ) {
        // A message to the disk that this keeper had before is not for it.
        if to.is_none_or(|to| to == self.quorum.me()) {
            self.input(now, Input::Message { from, message }, out);
        }
    }

    /// Everything up to a request is synced.
    pub fn persisted(&mut self, now: Time, seq: u64, out: &mut Effects) {
        self.input(now, Input::Persisted { seq }, out);
    }

    /// A request came.
    pub fn ask(&mut self, now: Time, peer: &Name, id: u64, request: Request, out: &mut Effects) {
        let from = Asked { peer: peer.clone(), id };
        self.next_id += 1;
        let id = self.next_id;
        match request {
            Request::Command(command) => {
                self.proposed.insert(id, from);
                self.input(now, Input::Propose { id, data: command.encode() }, out);
            }
            Request::ReadIndex => self.read(now, id, from, Reading::Mark, out),
            Request::ClaimStatus { workspace, key } => {
                self.read(now, id, from, Reading::Standing { workspace, key }, out);
            }
            Request::Adopted => self.read(now, id, from, Reading::Adopted, out),
        }
    }

    fn read(&mut self, now: Time, id: u64, from: Asked, what: Reading, out: &mut Effects) {
        self.reads.insert(id, (from, what));
        self.input(now, Input::Read { id }, out);
    }

    /// A process asks for the records after a revision and for all later changes.
    pub fn watch(&mut self, peer: &Name, revision: Revision, out: &mut Effects) {
        self.watchers.insert(peer.clone(), self.state.revision());
        let frame = records_after(&self.state, revision);
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// Time passes.
    pub fn tick(&mut self, now: Time, out: &mut Effects) {
        self.input(now, Input::Tick, out);
        if now >= self.next_fresh
            && let Some(message) = self.quorum.announcement()
        {
            self.next_fresh = now + FRESH;
            for keeper in &self.keepers {
                let from = self.quorum.me().clone();
                let frame = Frame::Quorum { from, to: None, message: message.clone() };
                out.push(Effect::Send { to: keeper.clone(), frame });
            }
        }
        if self.members.tick(now) {
            let hellos = self.members.hellos();
            for entry in self.members.iter().filter(|member| member.hello.entry) {
                let to = entry.hello.name.clone();
                out.push(Effect::Send { to, frame: Frame::Members(hellos.clone()) });
            }
        }
        if now >= self.next_round {
            self.next_round = now + ROUND;
            self.roll(now, out);
        }
    }

    /// Hands leadership over before the process stops.
    pub fn resign(&mut self, now: Time, out: &mut Effects) {
        self.input(now, Input::TransferLeadership, out);
    }

    fn input(&mut self, now: Time, input: Input, out: &mut Effects) {
        let mut outputs = Vec::new();
        self.quorum.step(now, input, &mut outputs);
        let before = self.state.revision();
        let mut snapshot = None;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let from = self.quorum.me().clone();
                    let name = to.name.clone();
                    let frame = Frame::Quorum { from, to: Some(to), message };
                    out.push(Effect::Send { to: name, frame });
                }
                Output::Persist { seq, write } => out.push(Effect::Persist { seq, write }),
                Output::Apply(entry) => self.apply(&entry, out),
                Output::Restore(snapshot) => self.restore(&snapshot, out),
                Output::Accepted { id, index, term } => {
                    if let Some(from) = self.proposed.remove(&id) {
                        self.placed.insert(index, (term, from));
                    }
                }
                Output::Rejected { id, leader } => self.refuse(id, leader, out),
                Output::Readable { id, index } => self.readable.push((index, id)),
                Output::Snapshot { index } => snapshot = Some(index),
            }
        }
        self.answer_reads(out);
        if self.state.revision() != before {
            self.push_changes(out);
        }
        if let Some(index) = snapshot {
            let data = self.state.encode();
            self.input(now, Input::Snapshotted { index, data }, out);
        }
    }

    fn apply(&mut self, entry: &quorum::Entry, out: &mut Effects) {
        self.applied = entry.index;
        let place = Revision { epoch: self.quorum.epoch(), index: entry.index };
        let reply = match &entry.body {
            // What no build can read changes nothing on any keeper.
            Body::Data(data) => Command::decode(data)
                .map_or(Reply::Completed, |command| self.state.apply(place, command)),
            Body::Empty | Body::Config(_) => Reply::Completed,
        };
        let Some((term, from)) = self.placed.remove(&entry.index) else {
            return;
        };
        let answer =
            if term == entry.term { Answer::Reply(reply) } else { Answer::NotLeader(None) };
        answer_to(from, answer, out);
    }

    fn restore(&mut self, snapshot: &quorum::Snapshot, out: &mut Effects) {
        // A snapshot comes from a leader that could read it, so this build can too or must stop.
        match State::decode(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.view = View::default();
            }
            Err(error) => out.push(Effect::Fail { text: format!("snapshot: {error}") }),
        }
        self.applied = snapshot.index;
    }

    fn refuse(&mut self, id: u64, leader: Option<Member>, out: &mut Effects) {
        let from = self.proposed.remove(&id).or_else(|| self.reads.remove(&id).map(|read| read.0));
        if let Some(from) = from {
            answer_to(from, Answer::NotLeader(leader.map(|leader| leader.name)), out);
        }
    }

    fn answer_reads(&mut self, out: &mut Effects) {
        let applied = self.applied;
        let (due, later) = std::mem::take(&mut self.readable)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.readable = later;
        for (_, id) in due {
            let Some((from, what)) = self.reads.remove(&id) else { continue };
            let answer = match what {
                Reading::Mark => Answer::ReadIndex(ReadIndex {
                    records: self.state.revision(),
                    position: Revision { epoch: self.quorum.epoch(), index: self.applied },
                }),
                Reading::Standing { workspace, key } => {
                    Answer::ClaimStatus(self.state.claim_status(&workspace, &key))
                }
                Reading::Adopted => Answer::Adopted(self.state.adopted().cloned()),
            };
            answer_to(from, answer, out);
        }
    }

    /// Sends each watcher what it lacks; most lack the same.
    fn push_changes(&mut self, out: &mut Effects) {
        let latest = self.state.revision();
        let mut made: Option<(Revision, Frame)> = None;
        for (peer, sent) in &mut self.watchers {
            if *sent >= latest {
                continue;
            }
            if made.as_ref().is_none_or(|(revision, _)| revision != sent) {
                made = Some((*sent, records_after(&self.state, *sent)));
            }
            if let Some((_, frame)) = &made {
                out.push(Effect::Send { to: peer.clone(), frame: frame.clone() });
            }
            *sent = latest;
        }
    }

    /// Only a leader whose lease holds gives orders. A new leader is elected only after a majority
    /// has let the old one's lease run out, so the two never overlap.
    fn roll(&mut self, now: Time, out: &mut Effects) {
        if *self.quorum.role() != Role::Leader || !self.quorum.lease_holds(now) {
            return;
        }
        self.refresh_view();
        let mut issue = Vec::new();
        let mut tell = Vec::new();
        for rollout in self.view.rollouts().values() {
            let members: Vec<_> = self.members.iter().collect();
            let plan = rollout::plan(now, rollout, &members, self.state.orders());
            for name in plan.issue {
                let member = members.iter().find(|member| member.hello.name == name);
                let Some(member) = member else { continue };
                issue.push(Order {
                    server: name,
                    incarnation: member.hello.incarnation,
                    version: rollout.version.clone(),
                    by: self.me.clone(),
                });
            }
            tell.extend(plan.loading);
        }
        for order in issue {
            let recent = self.issuing.get(&order.server);
            if recent.is_some_and(|at| now.since(*at) < 2 * TELL_AGAIN) {
                continue;
            }
            self.issuing.insert(order.server.clone(), now);
            self.next_id += 1;
            let data = Command::Issue(order).encode();
            self.input(now, Input::Propose { id: self.next_id, data }, out);
        }
        for name in tell {
            let recent = self.told.get(&name);
            if recent.is_some_and(|at| now.since(*at) < TELL_AGAIN) {
                continue;
            }
            let Some((token, order)) = self.state.orders().get(&name) else { continue };
            self.told.insert(name.clone(), now);
            let frame = Frame::Order {
                token: *token,
                incarnation: order.incarnation,
                version: order.version.clone(),
            };
            out.push(Effect::Send { to: name, frame });
        }
    }

    fn refresh_view(&mut self) {
        if self.view.revision == self.state.revision() {
            return;
        }
        if let Some(changes) = self.state.changes_after(self.view.revision) {
            self.view.apply(&changes);
        } else {
            let records = self.state.records().cloned().collect();
            self.view.replace(self.state.revision(), records);
        }
    }

    /// The keeper as JSON.
    pub fn dump(&self, now: Time) -> Value {
        let member = |member: &Member| format!("{}/{:x}", member.name, member.disk_id);
        let config = self.quorum.config();
        json!({
            "role": format!("{:?}", self.quorum.role()),
            "me": member(self.quorum.me()),
            "leader": self.quorum.leader().map(member),
            "in_touch": self.quorum.has_recent_leader(now),
            "empty_disk": self.quorum.is_uninitialized(),
            "term": self.quorum.term(),
            "epoch": self.quorum.epoch(),
            "commit": self.quorum.commit(),
            "last_index": self.quorum.last_index(),
            "voters": config.voters.iter().map(member).collect::<Vec<_>>(),
            "learners": config.learners.iter().map(member).collect::<Vec<_>>(),
            "revision": self.state.revision().to_string(),
            "records": self.state.records().count(),
            "claims": self.state.claim_count(),
            "watchers": self.watchers.len(),
            "orders": self.state.orders().iter().map(|(name, (token, order))| json!({
                "server": &**name, "token": token.to_string(), "load": &*order.version,
            })).collect::<Vec<_>>(),
            "members": self.members.iter().map(|found| found.dump(now)).collect::<Vec<_>>(),
        })
    }
}

fn answer_to(from: Asked, answer: Answer, out: &mut Effects) {
    let frame = Frame::Answer { id: from.id, answer };
    out.push(Effect::Send { to: from.peer, frame });
}

/// What brings a process from a revision to the present one.
fn records_after(state: &State, revision: Revision) -> Frame {
    match state.changes_after(revision) {
        Some(changes) => Frame::Changes { after: revision, changes },
        None => Frame::Records {
            revision: state.revision(),
            records: state.records().cloned().collect(),
        },
    }
}
