//! The reducer of one member.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::election::Ballot;
use crate::leader::Leader;
use crate::log::Log;
use crate::{Body, Config, Entry, Hard, Member, Message, Snapshot, Write};

/// Times of the protocol.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Least silence after which a member stands for election; also the term of the lease.
    pub election: Duration,
    /// Largest rate by which two clocks may differ, in thousandths.
    pub drift_permille: u32,
    /// Applied entries after which a snapshot is asked for.
    pub snapshot_after: u64,
    /// Silence after which a voter's new disk takes the place of its old one.
    pub replace_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            drift_permille: 50,
            snapshot_after: 10_000,
            replace_after: Duration::from_secs(3),
        }
    }
}

impl Timing {
    /// How long a leader may trust an answer, from the moment it asked.
    pub fn lease(&self) -> Duration {
        self.election * (1_000 - self.drift_permille) / 1_000
    }
}

/// What a member is at present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// How the first configuration is formed.
#[derive(Clone, Debug, Default)]
pub struct Founding {
    /// Names of the first voters.
    pub names: Vec<Name>,
    /// Epoch of a configuration that this member forms; greater than any earlier one.
    pub epoch: u64,
}

/// What a member found on its disk.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    /// Term and vote.
    pub hard: Hard,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What a member takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// A message from another member.
    Message {
        /// The sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// A command for the log.
    Propose {
        /// Number that comes back in [`Output::Accepted`].
        id: u64,
        /// The command.
        data: Arc<[u8]>,
    },
    /// A linearizable read.
    Read {
        /// Number that comes back in [`Output::Readable`].
        id: u64,
    },
    /// Everything up to this request is synced.
    Persisted {
        /// Number of the request.
        seq: u64,
    },
    /// A snapshot that was asked for.
    Snapshotted {
        /// Last index it holds.
        index: u64,
        /// The state machine's bytes.
        data: Arc<[u8]>,
    },
    /// Hand leadership over.
    Resign,
    /// Some process knows a configuration, so an empty disk must not form one.
    Exists,
}

/// What a member asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write and sync, in the order of the requests.
    Persist {
        /// Number of the request.
        seq: u64,
        /// What to write.
        write: Write,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine.
    Restore(Snapshot),
    /// A proposal has its place; it is accepted once that index is applied with that term.
    Accepted {
        /// Number of the proposal.
        id: u64,
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// A proposal or read was not taken; the leader, if one is known.
    Refused {
        /// Number of the proposal or read.
        id: u64,
        /// Whom to ask.
        leader: Option<Member>,
    },
    /// The state machine may be read once this index is applied.
    Readable {
        /// Number of the read.
        id: u64,
        /// The index.
        index: u64,
    },
    /// Make a snapshot of the state machine as it is now.
    Snapshot {
        /// Index that was applied last.
        index: u64,
    },
}

/// One member of the quorum.
#[derive(Debug)]
pub struct Quorum {
    pub(crate) me: Member,
    pub(crate) founding: Founding,
    pub(crate) exists: bool,
    pub(crate) blocked_until: Time,
    pub(crate) timing: Timing,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) config: Config,
    pub(crate) epoch: u64,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader_member: Option<Member>,
    pub(crate) heard: Option<Time>,
    pub(crate) election_at: Time,
    pub(crate) votes: Vec<Member>,
    pub(crate) leading: Leader,
    pub(crate) persist_seq: u64,
    pub(crate) persisted_seq: u64,
    pub(crate) persisted_index: u64,
    persist_indexes: BTreeMap<u64, u64>,
    pub(crate) held: Vec<(u64, Member, Message)>,
    pub(crate) fresh: BTreeMap<Name, (Member, Time)>,
    pub(crate) incoming: Option<(Snapshot, Vec<u8>)>,
    pub(crate) snapshotting: bool,
    pub(crate) started: bool,
}

impl Quorum {
    /// A member with what its disk held.
    pub fn new(me: Member, founding: Founding, timing: Timing, seed: u64, saved: Saved) -> Self {
        let base = saved.snapshot.as_ref().map_or((0, 0), |found| (found.index, found.term));
        let log = Log::new(base.0, base.1, saved.entries);
        let config = saved.snapshot.as_ref().map(|found| found.config.clone()).unwrap_or_default();
        let epoch = saved.snapshot.as_ref().map_or(0, |found| found.epoch);
        let last = log.last_index();
        let mut quorum = Self {
            me,
            founding,
            exists: false,
            blocked_until: Time::ZERO,
            timing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hard: saved.hard,
            log,
            snapshot: saved.snapshot,
            config,
            epoch,
            commit: base.0,
            applied: base.0,
            role: Role::Follower,
            leader_member: None,
            heard: None,
            election_at: Time::ZERO,
            votes: Vec::new(),
            leading: Leader::default(),
            persist_seq: 0,
            persisted_seq: 0,
            persisted_index: last,
            persist_indexes: BTreeMap::new(),
            held: Vec::new(),
            fresh: BTreeMap::new(),
            incoming: None,
            snapshotting: false,
            started: false,
        };
        quorum.refresh_config();
        quorum
    }

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// What it is at present.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The present term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The epoch of the log.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Highest committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The members.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<&Member> {
        self.leader_member.as_ref()
    }

    /// Whether this member's disk holds no log yet.
    pub fn is_fresh(&self) -> bool {
        self.snapshot.is_none()
    }

    /// Whether a leader was heard of within an election timeout; a leader's own lease counts.
    pub fn in_touch(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => self.lease_holds(now),
            _ => {
                self.leader_member.is_some()
                    && self.heard.is_some_and(|at| now.since(at) < self.timing.election)
            }
        }
    }

    /// The state the member starts with: its snapshot, to be restored first.
    pub fn initial(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Takes one input.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if !self.started {
            self.started = true;
            self.reset_election(now);
            // Before its restart it may have promised a leader's lease that still runs.
            self.blocked_until = now + self.timing.election;
        }
        match input {
            Input::Tick => self.tick(now, out),
            Input::Message { from, message } => self.message(now, from, message, out),
            Input::Propose { id, data } => self.propose(now, id, data, out),
            Input::Read { id } => self.read(now, id, out),
            Input::Persisted { seq } => self.persisted(now, seq, out),
            Input::Snapshotted { index, data } => self.snapshotted(index, data, out),
            Input::Resign => self.resign(now, out),
            Input::Exists => self.exists = true,
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_fresh() {
            self.tick_fresh(now, out);
            return;
        }
        if self.role == Role::Leader {
            self.tick_leader(now, out);
        } else if now >= self.election_at && self.config.votes(&self.me) {
            self.stand(now, Ballot::Pre, out);
        }
    }

    fn message(&mut self, now: Time, from: Member, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Fresh => {
                self.fresh.insert(from.name.clone(), (from, now));
            }
            Message::Form(snapshot) => self.form_from(now, snapshot, out),
            Message::Ask { term, pre, transfer, last_index, last_term } => {
                let last = (last_term, last_index);
                self.asked(now, from, term, (pre, transfer), last, out);
            }
            Message::Vote { term, pre, granted } => self.voted(now, from, term, pre, granted, out),
            Message::Append { term, prev_index, prev_term, entries, commit, sent } => {
                if self.follow(now, &from, term, sent, out) {
                    self.append(&from, (prev_index, prev_term), entries, commit, sent, out);
                }
            }
            Message::Appended { term, ok, index, sent } => {
                if self.is_answer(now, term, out) {
                    self.appended(now, &from, ok, index, sent, out);
                }
            }
            Message::Install { term, part, offset, total, sent } => {
                if self.follow(now, &from, term, sent, out) {
                    self.install(&from, part, offset, total, sent, out);
                }
            }
            Message::Installed { term, index, offset, sent } => {
                if self.is_answer(now, term, out) {
                    self.installed(now, &from, index, offset, sent, out);
                }
            }
            Message::Lead { term } => {
                if term == self.hard.term && self.config.votes(&self.me) {
                    self.stand(now, Ballot::Transfer, out);
                }
            }
        }
    }

    /// Whether an answer to a leader is of its term; a higher term ends the leadership.
    fn is_answer(&mut self, now: Time, term: u64, out: &mut Vec<Output>) -> bool {
        if term > self.hard.term {
            self.become_follower(now, term, None, out);
        }
        term == self.hard.term && self.role == Role::Leader
    }

    /// Takes the sender as leader, unless its term is old.
    fn follow(
        &mut self,
        now: Time,
        from: &Member,
        term: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.hard.term {
            let message = Message::Appended { term: self.hard.term, ok: false, index: 0, sent };
            out.push(Output::Send { to: from.clone(), message });
            return false;
        }
        if term > self.hard.term || self.role != Role::Follower {
            self.become_follower(now, term, Some(from.clone()), out);
        }
        self.leader_member = Some(from.clone());
        self.heard = Some(now);
        self.reset_election(now);
        true
    }

    fn append(
        &mut self,
        from: &Member,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard.term;
        let (prev_index, prev_term) = prev;
        if prev_index < self.log.base_index {
            // What the snapshot holds is committed, so it agrees.
            let message = Message::Appended { term, ok: true, index: self.log.base_index, sent };
            self.send_after_persist(from.clone(), message, out);
            return;
        }
        if self.log.term(prev_index) != Some(prev_term) {
            let index = prev_index.saturating_sub(1).min(self.log.last_index());
            let message = Message::Appended { term, ok: false, index, sent };
            out.push(Output::Send { to: from.clone(), message });
            return;
        }
        let last = prev_index + entries.len() as u64;
        let mut new = Vec::new();
        for entry in entries {
            if self.log.term(entry.index) == Some(entry.term) && new.is_empty() {
                continue;
            }
            if new.is_empty() {
                debug_assert!(entry.index > self.commit, "a committed entry is never replaced");
                self.log.truncate(entry.index);
                self.persisted_index = self.persisted_index.min(entry.index - 1);
                self.persist_indexes.retain(|_, index| *index < entry.index);
            }
            self.log.push(entry.clone());
            new.push(entry);
        }
        if !new.is_empty() {
            self.refresh_config();
            self.persist(None, new, None, out);
        }
        let message = Message::Appended { term, ok: true, index: last, sent };
        self.send_after_persist(from.clone(), message, out);
        self.advance(commit.min(last), out);
    }

    pub(crate) fn send_after_persist(
        &mut self,
        to: Member,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if self.persisted_seq >= self.persist_seq {
            out.push(Output::Send { to, message });
        } else {
            self.held.push((self.persist_seq, to, message));
        }
    }

    pub(crate) fn persist(
        &mut self,
        hard: Option<Hard>,
        entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
        out: &mut Vec<Output>,
    ) {
        self.persist_seq += 1;
        if let Some(last) = entries.last() {
            self.persist_indexes.insert(self.persist_seq, last.index);
        }
        let write = Write { hard, entries, snapshot };
        out.push(Output::Persist { seq: self.persist_seq, write });
    }

    /// Asks for a new base on the disk: everything that is needed besides the snapshot goes along.
    fn persist_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let rest = self.log.iter().cloned().collect();
        self.persist(Some(self.hard.clone()), rest, Some(snapshot), out);
    }

    fn persisted(&mut self, now: Time, seq: u64, out: &mut Vec<Output>) {
        self.persisted_seq = self.persisted_seq.max(seq);
        let later = self.persist_indexes.split_off(&(seq + 1));
        let done = std::mem::replace(&mut self.persist_indexes, later);
        if let Some(index) = done.values().max() {
            self.persisted_index = self.persisted_index.max(*index);
        }
        let held = std::mem::take(&mut self.held);
        for (at, to, message) in held {
            if at <= seq {
                out.push(Output::Send { to, message });
            } else {
                self.held.push((at, to, message));
            }
        }
        if self.role == Role::Leader {
            self.commit_what_is_agreed(now, out);
        }
    }

    /// Commits up to an index and hands out what is new.
    pub(crate) fn advance(&mut self, index: u64, out: &mut Vec<Output>) {
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                return;
            };
            self.applied = entry.index;
            out.push(Output::Apply(entry.clone()));
        }
        let since = self.applied - self.log.base_index;
        if since >= self.timing.snapshot_after && !self.snapshotting {
            self.snapshotting = true;
            out.push(Output::Snapshot { index: self.applied });
        }
    }

    fn snapshotted(&mut self, index: u64, data: Arc<[u8]>, out: &mut Vec<Output>) {
        self.snapshotting = false;
        let Some(term) = self.log.term(index) else {
            return;
        };
        let config = self.config_at(index);
        let snapshot = Snapshot { index, term, epoch: self.epoch, config, data };
        self.log.compact(index, term);
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot, out);
    }

    fn install(
        &mut self,
        from: &Member,
        part: Snapshot,
        offset: u64,
        total: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard.term;
        let index = part.index;
        if index <= self.commit && !self.is_fresh() {
            let message = Message::Installed { term, index, offset: total, sent };
            self.send_after_persist(from.clone(), message, out);
            return;
        }
        let known = self.incoming.as_ref().is_some_and(|(found, _)| found.index == index);
        if !known {
            self.incoming = Some((part.clone(), Vec::new()));
        }
        let Some((_, bytes)) = &mut self.incoming else {
            return;
        };
        if offset == bytes.len() as u64 {
            bytes.extend_from_slice(&part.data);
        }
        let have = bytes.len() as u64;
        if have >= total {
            let data = Arc::from(std::mem::take(bytes));
            self.incoming = None;
            self.replace_with(Snapshot { data, ..part }, out);
        }
        let message = Message::Installed { term, index, offset: have, sent };
        self.send_after_persist(from.clone(), message, out);
    }

    /// Puts a snapshot in the place of everything before it.
    pub(crate) fn replace_with(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        self.log.compact(snapshot.index, snapshot.term);
        self.persist_indexes.clear();
        self.persisted_index = self.persisted_index.clamp(snapshot.index, self.log.last_index());
        self.commit = self.commit.max(snapshot.index);
        self.applied = snapshot.index;
        self.epoch = snapshot.epoch;
        self.snapshotting = false;
        self.snapshot = Some(snapshot.clone());
        self.refresh_config();
        self.persist_snapshot(snapshot.clone(), out);
        out.push(Output::Restore(snapshot));
    }

    /// The configuration in force is the last in the log, committed or not.
    pub(crate) fn refresh_config(&mut self) {
        self.config = self.config_at(self.log.last_index());
    }

    fn config_at(&self, index: u64) -> Config {
        let found =
            self.log.iter().rev().filter(|entry| entry.index <= index).find_map(
                |entry| match &entry.body {
                    Body::Config(config) => Some(config.clone()),
                    _ => None,
                },
            );
        found
            .or_else(|| self.snapshot.as_ref().map(|snapshot| snapshot.config.clone()))
            .unwrap_or_default()
    }

    pub(crate) fn reset_election(&mut self, now: Time) {
        let least = self.timing.election.as_micros() as u64;
        let wait = self.rng.random_range(least..2 * least);
        self.election_at = now + Duration::from_micros(wait);
    }
}
