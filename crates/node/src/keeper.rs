//! The keeper's reducer: the replica of the quorum, the replicated state, its watchers and the rollouts.

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

/// Interval at which rollouts are advanced.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an order is sent again.
const ORDER_RESEND_AFTER: Duration = Duration::from_millis(500);
/// Interval at which a keeper with an empty disk announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// The process that waits for an answer, and the number of its request.
#[derive(Clone, Debug)]
struct Requester {
    peer: Name,
    id: u64,
}

#[derive(Debug)]
enum ReadKind {
    ReadIndex,
    ClaimStatus { workspace: Name, key: Name },
    StoredConfig,
}

/// The keeper's reducer.
#[derive(Debug)]
pub struct Keeper {
    name: Name,
    replica: Replica,
    state: State,
    view: View,
    next_id: u64,
    proposed: BTreeMap<u64, Requester>,
    /// Accepted proposals by log index, with their term.
    accepted: BTreeMap<u64, (u64, Requester)>,
    reads: BTreeMap<u64, (Requester, ReadKind)>,
    /// Log indices at which reads may be answered, and the reads.
    readable: Vec<(u64, u64)>,
    applied: u64,
    watchers: BTreeMap<Name, Revision>,
    keepers: Vec<Name>,
    members: Members,
    next_rollout: Time,
    next_announcement: Time,
    order_issued_at: BTreeMap<Name, Time>,
    order_sent_at: BTreeMap<Name, Time>,
}

impl Keeper {
    /// A keeper restored from its disk.
    ///
    /// # Errors
    /// This build cannot read the snapshot.
    pub fn new(name: Name, replica: Replica) -> Result<Self, String> {
        let state = match replica.initial_snapshot() {
            Some(snapshot) => State::decode(&snapshot.data)?,
            None => State::default(),
        };
        let applied = replica.initial_snapshot().map_or(0, |snapshot| snapshot.index);
        Ok(Self {
            name,
            replica,
            state,
            view: View::default(),
            next_id: 1,
            proposed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            reads: BTreeMap::new(),
            readable: Vec::new(),
            applied,
            watchers: BTreeMap::new(),
            keepers: Vec::new(),
            members: Members::default(),
            next_rollout: Time::ZERO,
            next_announcement: Time::ZERO,
            order_issued_at: BTreeMap::new(),
            order_sent_at: BTreeMap::new(),
        })
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The replica of the quorum.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The tracked processes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What this keeper's heartbeats report: whether it has a recent leader; if not, the newest revision that
    /// its log may contain.
    pub fn quorum_status(&self, now: Time) -> (bool, Option<NoQuorum>) {
        let has_leader = self.replica.has_recent_leader(now);
        let config = self.replica.config();
        // Only voters count towards a majority without a leader.
        let reports_no_quorum = !has_leader && config.is_voter(self.replica.me());
        let no_quorum =
            || NoQuorum { voters: config.voters.len() as u32, newest: self.newest_possible() };
        (has_leader, reports_no_quorum.then(no_quorum))
    }

    /// The revision after committing the complete log; any command that is not applied yet may be a change.
    fn newest_possible(&self) -> Revision {
        let unapplied = self.replica.last_command_index().filter(|index| *index > self.applied);
        let unapplied = unapplied.map(|index| Revision { epoch: self.replica.epoch(), index });
        unapplied.unwrap_or(self.state.revision())
    }

    /// A connection to a process was established.
    pub fn connected(&mut self, now: Time, hello: &Hello, out: &mut Effects) {
        self.members.connected(now, hello);
        if hello.keeper && hello.name != self.name && !self.keepers.contains(&hello.name) {
            self.keepers.push(hello.name.clone());
        }
        if hello.entry {
            let frame = Frame::Members(self.members.hellos());
            out.push(Effect::Send { to: hello.name.clone(), frame });
        }
    }

    /// The last connection to a peer was lost.
    pub fn disconnected(&mut self, peer: &Name) {
        self.watchers.remove(peer);
        self.keepers.retain(|keeper| keeper != peer);
    }

    /// Handles a heartbeat.
    pub fn heartbeat(&mut self, now: Time, peer: &Name, heartbeat: &Heartbeat, out: &mut Effects) {
        self.members.heartbeat(now, peer, heartbeat);
        if heartbeat.revision.epoch > 0 && self.replica.is_uninitialized() {
            self.input(now, Input::ClusterExists, out);
        }
    }

    /// Handles a message from another keeper.
    pub fn message(
        &mut self,
        now: Time,
        from: Member,
        to: Option<&Member>,
        message: Message,
        out: &mut Effects,
    ) {
        // Ignore messages to the replica on this keeper's previous disk.
        if to.is_none_or(|to| to == self.replica.me()) {
            self.input(now, Input::Message { from, message }, out);
        }
    }

    /// All writes up to a request are synced.
    pub fn persisted(&mut self, now: Time, seq: u64, out: &mut Effects) {
        self.input(now, Input::Persisted { seq }, out);
    }

    /// Handles a request of a process.
    pub fn handle_request(
        &mut self,
        now: Time,
        peer: &Name,
        id: u64,
        request: Request,
        out: &mut Effects,
    ) {
        let from = Requester { peer: peer.clone(), id };
        self.next_id += 1;
        let id = self.next_id;
        match request {
            Request::Command(command) => {
                self.proposed.insert(id, from);
                self.input(now, Input::Propose { id, data: command.encode() }, out);
            }
            Request::ReadIndex => self.read(now, id, from, ReadKind::ReadIndex, out),
            Request::ClaimStatus { workspace, key } => {
                self.read(now, id, from, ReadKind::ClaimStatus { workspace, key }, out);
            }
            Request::StoredConfig => self.read(now, id, from, ReadKind::StoredConfig, out),
        }
    }

    fn read(&mut self, now: Time, id: u64, from: Requester, kind: ReadKind, out: &mut Effects) {
        self.reads.insert(id, (from, kind));
        self.input(now, Input::Read { id }, out);
    }

    /// Sends a process the changes after a revision, and all later changes from now on.
    pub fn watch(&mut self, peer: &Name, revision: Revision, out: &mut Effects) {
        self.watchers.insert(peer.clone(), self.state.revision());
        let frame = records_after(&self.state, revision);
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// Performs periodic work.
    pub fn tick(&mut self, now: Time, out: &mut Effects) {
        self.input(now, Input::Tick, out);
        if now >= self.next_announcement
            && let Some(message) = self.replica.announcement()
        {
            self.next_announcement = now + ANNOUNCE_INTERVAL;
            for keeper in &self.keepers {
                let from = self.replica.me().clone();
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
        if now >= self.next_rollout {
            self.next_rollout = now + ROLLOUT_INTERVAL;
            self.run_rollouts(now, out);
        }
    }

    /// Transfers leadership before the process stops.
    pub fn resign(&mut self, now: Time, out: &mut Effects) {
        self.input(now, Input::TransferLeadership, out);
    }

    fn input(&mut self, now: Time, input: Input, out: &mut Effects) {
        let mut outputs = Vec::new();
        self.replica.step(now, input, &mut outputs);
        let revision_before = self.state.revision();
        let mut snapshot = None;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let from = self.replica.me().clone();
                    let name = to.name.clone();
                    let frame = Frame::Quorum { from, to: Some(to), message };
                    out.push(Effect::Send { to: name, frame });
                }
                Output::Persist { seq, write } => out.push(Effect::Persist { seq, write }),
                Output::Apply(entry) => self.apply(&entry, out),
                Output::Restore(snapshot) => self.restore(&snapshot, out),
                Output::Accepted { id, index, term } => {
                    if let Some(from) = self.proposed.remove(&id) {
                        self.accepted.insert(index, (term, from));
                    }
                }
                Output::Rejected { id, leader } => self.reject(id, leader, out),
                Output::Readable { id, index } => self.readable.push((index, id)),
                Output::Snapshot { index } => snapshot = Some(index),
            }
        }
        self.answer_reads(out);
        if self.state.revision() != revision_before {
            self.push_changes(out);
        }
        if let Some(index) = snapshot {
            let data = self.state.encode();
            self.input(now, Input::Snapshotted { index, data }, out);
        }
    }

    fn apply(&mut self, entry: &quorum::Entry, out: &mut Effects) {
        self.applied = entry.index;
        let position = Revision { epoch: self.replica.epoch(), index: entry.index };
        let reply = match &entry.body {
            // A command that cannot be decoded changes nothing, on any keeper.
            Body::Data(data) => Command::decode(data)
                .map_or(Reply::Completed, |command| self.state.apply(position, command)),
            Body::Empty | Body::Config(_) => Reply::Completed,
        };
        let Some((term, from)) = self.accepted.remove(&entry.index) else {
            return;
        };
        let answer =
            if term == entry.term { Answer::Reply(reply) } else { Answer::NotLeader(None) };
        answer_to(from, answer, out);
    }

    fn restore(&mut self, snapshot: &quorum::Snapshot, out: &mut Effects) {
        // The leader could read the snapshot. If this build cannot, the process must stop.
        match State::decode(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.view = View::default();
            }
            Err(error) => out.push(Effect::Fail { text: format!("snapshot: {error}") }),
        }
        self.applied = snapshot.index;
    }

    fn reject(&mut self, id: u64, leader: Option<Member>, out: &mut Effects) {
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
            let Some((from, kind)) = self.reads.remove(&id) else { continue };
            let answer = match kind {
                ReadKind::ReadIndex => Answer::ReadIndex(ReadIndex {
                    records: self.state.revision(),
                    position: Revision { epoch: self.replica.epoch(), index: self.applied },
                }),
                ReadKind::ClaimStatus { workspace, key } => {
                    Answer::ClaimStatus(self.state.claim_status(&workspace, &key))
                }
                ReadKind::StoredConfig => Answer::StoredConfig(self.state.stored_config().cloned()),
            };
            answer_to(from, answer, out);
        }
    }

    /// Sends each watcher the changes that it lacks. Most watchers lack the same ones, so the last frame is reused.
    fn push_changes(&mut self, out: &mut Effects) {
        let latest = self.state.revision();
        let mut last_frame: Option<(Revision, Frame)> = None;
        for (peer, sent) in &mut self.watchers {
            if *sent >= latest {
                continue;
            }
            if last_frame.as_ref().is_none_or(|(revision, _)| revision != sent) {
                last_frame = Some((*sent, records_after(&self.state, *sent)));
            }
            if let Some((_, frame)) = &last_frame {
                out.push(Effect::Send { to: peer.clone(), frame: frame.clone() });
            }
            *sent = latest;
        }
    }

    /// Issues and resends the orders of all rollouts. Only a leader that holds its lease issues orders. A new leader is elected only after the previous one's
    /// lease has expired at a majority, so that the two never overlap.
    fn run_rollouts(&mut self, now: Time, out: &mut Effects) {
        if *self.replica.role() != Role::Leader || !self.replica.lease_holds(now) {
            return;
        }
        self.refresh_view();
        let mut issue = Vec::new();
        let mut resend = Vec::new();
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
                    by: self.name.clone(),
                });
            }
            resend.extend(plan.loading);
        }
        for order in issue {
            let recent = self.order_issued_at.get(&order.server);
            if recent.is_some_and(|at| now.since(*at) < 2 * ORDER_RESEND_AFTER) {
                continue;
            }
            self.order_issued_at.insert(order.server.clone(), now);
            self.next_id += 1;
            let data = Command::Issue(order).encode();
            self.input(now, Input::Propose { id: self.next_id, data }, out);
        }
        for name in resend {
            let recent = self.order_sent_at.get(&name);
            if recent.is_some_and(|at| now.since(*at) < ORDER_RESEND_AFTER) {
                continue;
            }
            let Some((token, order)) = self.state.orders().get(&name) else { continue };
            self.order_sent_at.insert(name.clone(), now);
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

    /// The keeper's state as JSON.
    pub fn dump(&self, now: Time) -> Value {
        let member = |member: &Member| format!("{}/{:x}", member.name, member.disk_id);
        let config = self.replica.config();
        json!({
            "role": format!("{:?}", self.replica.role()),
            "me": member(self.replica.me()),
            "leader": self.replica.leader().map(member),
            "in_touch": self.replica.has_recent_leader(now),
            "empty_disk": self.replica.is_uninitialized(),
            "term": self.replica.term(),
            "epoch": self.replica.epoch(),
            "commit": self.replica.commit(),
            "last_index": self.replica.last_index(),
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

fn answer_to(from: Requester, answer: Answer, out: &mut Effects) {
    let frame = Frame::Answer { id: from.id, answer };
    out.push(Effect::Send { to: from.peer, frame });
}

/// The changes from a revision to the current one, or all records if those are not available.
fn records_after(state: &State, revision: Revision) -> Frame {
    match state.changes_after(revision) {
        Some(changes) => Frame::Changes { after: revision, changes },
        None => Frame::Records {
            revision: state.revision(),
            records: state.records().cloned().collect(),
        },
    }
}
