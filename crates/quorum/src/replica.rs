//! The consensus state machine of one replica.

use std::collections::BTreeMap;

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::election::ElectionKind;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::{
    Body, Bootstrap, Config, Entry, HardState, Input, Member, Message, Output, Role, Saved,
    Snapshot, Timing, Write,
};

/// Number of election timeouts without contact to a leader after which a replica is isolated and asks
/// to be added again.
const ISOLATED_AFTER_ELECTIONS: u32 = 4;

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) me: Member,
    pub(crate) bootstrap: Bootstrap,
    /// Whether a configuration is known to exist elsewhere, so that none may be created.
    pub(crate) cluster_exists: bool,
    /// Until then no vote is granted, because a leader from before the restart may hold a lease.
    pub(crate) blocked_until: Time,
    pub(crate) timing: Timing,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) config: Config,
    pub(crate) epoch: u64,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader_member: Option<Member>,
    /// When the last message of a leader was received.
    pub(crate) last_leader_contact: Option<Time>,
    /// The latest time of this replica's own clock that a leader has returned.
    last_leader_echo: Option<Time>,
    pub(crate) election_at: Time,
    pub(crate) votes: Vec<Member>,
    pub(crate) leader_state: LeaderState,
    /// Sequence number of the last write requested.
    pub(crate) persist_seq: u64,
    /// Sequence number of the last write synced.
    pub(crate) persisted_seq: u64,
    /// Index of the last entry synced.
    pub(crate) persisted_index: u64,
    /// The last log index of each write that is not synced yet, by sequence number.
    pub(crate) persist_indexes: BTreeMap<u64, u64>,
    /// Messages that are sent once the write with the given sequence number is synced.
    pub(crate) awaiting_persist: Vec<(u64, Member, Message)>,
    /// Replicas that ask to be added, with the time of their last message.
    pub(crate) joiners: BTreeMap<Name, (Member, Time)>,
    /// A snapshot being received: its index, the term of the leader that sends it, and the bytes received so far.
    pub(crate) partial_snapshot: Option<(u64, u64, Vec<u8>)>,
    /// Whether a requested snapshot has not been delivered yet.
    pub(crate) snapshot_pending: bool,
    pub(crate) started: bool,
    /// Whether no leader has been in contact for several election timeouts.
    pub(crate) isolated: bool,
}

impl Replica {
    /// Creates a replica from the state saved on its disk.
    pub fn new(me: Member, bootstrap: Bootstrap, timing: Timing, seed: u64, saved: Saved) -> Self {
        let (base_index, base_term) =
            saved.snapshot.as_ref().map_or((0, 0), |found| (found.index, found.term));
        let log = Log::new(base_index, base_term, saved.entries);
        let config = saved.snapshot.as_ref().map(|found| found.config.clone()).unwrap_or_default();
        let epoch = saved.snapshot.as_ref().map_or(0, |found| found.epoch);
        let last = log.last_index();
        let mut replica = Self {
            me,
            bootstrap,
            cluster_exists: false,
            blocked_until: Time::ZERO,
            timing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hard_state: saved.hard_state,
            log,
            snapshot: saved.snapshot,
            config,
            epoch,
            commit: base_index,
            applied: base_index,
            role: Role::Follower,
            leader_member: None,
            last_leader_contact: None,
            last_leader_echo: None,
            election_at: Time::ZERO,
            votes: Vec::new(),
            leader_state: LeaderState::default(),
            persist_seq: 0,
            persisted_seq: 0,
            persisted_index: last,
            persist_indexes: BTreeMap::new(),
            awaiting_persist: Vec::new(),
            joiners: BTreeMap::new(),
            partial_snapshot: None,
            snapshot_pending: false,
            started: false,
            isolated: false,
        };
        replica.refresh_config();
        replica
    }

    /// This replica's identity.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The current role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The epoch of the log.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The highest committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the last command in the log; `None` if there is none after the last snapshot.
    pub fn last_command_index(&self) -> Option<u64> {
        let command = self.log.iter().rev().find(|entry| matches!(entry.body, Body::Data(_)));
        command.map(|entry| entry.index)
    }

    /// The current configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<&Member> {
        self.leader_member.as_ref()
    }

    /// Whether this replica's disk holds no configuration yet.
    pub fn is_uninitialized(&self) -> bool {
        self.snapshot.is_none()
    }

    /// Whether this replica leads with a valid lease, or has had contact with a leader within the
    /// election timeout.
    pub fn has_recent_leader(&self, now: Time) -> bool {
        if self.role == Role::Leader {
            return self.lease_holds(now);
        }
        // The time of receipt is no evidence if the machine was frozen, because a message may have
        // waited meanwhile. The time of the replica's own clock that the leader returned is.
        let recent = |at: Time| now.since(at) < self.timing.election;
        self.leader_member.is_some() && self.last_leader_echo.is_some_and(recent)
    }

    /// The snapshot from which the state machine must be restored before the first step.
    pub fn initial_snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        if !self.started {
            self.started = true;
            // Before the restart, the replica may have supported a leader whose lease is still valid.
            self.blocked_until = now + self.timing.election;
            // No leader has been in contact since the start, so the first election is started sooner
            // than later ones.
            let min = self.timing.election.as_micros() as u64;
            let wait = self.rng.random_range(min..min + min / 2);
            self.election_at = now + Duration::from_micros(wait);
        }
        match input {
            Input::Tick => self.tick(now, out),
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Propose { id, data } => self.propose(now, id, data, out),
            Input::Read { id } => self.read(now, id, out),
            Input::Persisted { seq } => self.handle_persisted(now, seq, out),
            Input::Snapshotted { index, data } => self.handle_snapshotted(index, data, out),
            Input::TransferLeadership => self.transfer_leadership(now, out),
            Input::ClusterExists => self.cluster_exists = true,
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let last_contact = self.last_leader_contact.unwrap_or(self.blocked_until);
        let silent = now.since(last_contact) >= self.timing.election * ISOLATED_AFTER_ELECTIONS;
        self.isolated = self.role != Role::Leader && silent;
        if self.is_uninitialized() {
            self.tick_uninitialized(now, out);
            return;
        }
        if self.role == Role::Leader {
            self.tick_leader(now, out);
        } else if now >= self.election_at && self.config.is_voter(&self.me) {
            self.campaign(now, ElectionKind::PreVote, out);
        }
    }

    fn handle_message(&mut self, now: Time, from: Member, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Uninitialized => {
                self.joiners.insert(from.name.clone(), (from, now));
            }
            Message::Rejoin => self.handle_rejoin(now, from),
            Message::Bootstrap(snapshot) => self.install_bootstrap(now, snapshot, out),
            Message::RequestVote { term, pre, transfer, last_index, last_term } => {
                let last = (last_term, last_index);
                self.handle_vote_request(now, from, term, (pre, transfer), last, out);
            }
            Message::Vote { term, pre, granted } => {
                self.handle_vote(now, from, term, pre, granted, out);
            }
            Message::Append { term, prev_index, prev_term, entries, commit, sent, echo } => {
                if self.follow(now, &from, term, sent, out) {
                    self.last_leader_echo = self.last_leader_echo.max(Some(echo));
                    self.handle_append(
                        now,
                        &from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        sent,
                        out,
                    );
                }
            }
            Message::Appended { term, ok, index, sent, at } => {
                if self.is_current_response(now, term, out) {
                    self.handle_appended(now, &from, (ok, index), (sent, at), out);
                }
            }
            Message::Install { term, chunk, offset, total, sent } => {
                if self.follow(now, &from, term, sent, out) {
                    self.handle_install(&from, chunk, offset, total, sent, out);
                }
            }
            Message::Installed { term, index, offset, sent } => {
                if self.is_current_response(now, term, out) {
                    self.handle_installed(now, &from, index, offset, sent, out);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.hard_state.term && self.config.is_voter(&self.me) {
                    self.campaign(now, ElectionKind::Transfer, out);
                }
            }
        }
    }

    /// Whether a response belongs to this leader's term. A higher term ends the leadership.
    fn is_current_response(&mut self, now: Time, term: u64, out: &mut Vec<Output>) -> bool {
        if term > self.hard_state.term {
            self.become_follower(now, term, None, out);
        }
        term == self.hard_state.term && self.role == Role::Leader
    }

    /// Accepts the sender as leader unless its term is outdated.
    fn follow(
        &mut self,
        now: Time,
        from: &Member,
        term: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.hard_state.term {
            let message = Message::Appended {
                term: self.hard_state.term,
                ok: false,
                index: 0,
                sent,
                at: now,
            };
            out.push(Output::Send { to: from.clone(), message });
            return false;
        }
        if term > self.hard_state.term || self.role != Role::Follower {
            self.become_follower(now, term, Some(from.clone()), out);
        }
        self.leader_member = Some(from.clone());
        self.last_leader_contact = Some(now);
        self.reset_election(now);
        true
    }

    fn handle_append(
        &mut self,
        now: Time,
        from: &Member,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        let (prev_index, prev_term) = prev;
        if prev_index < self.log.base_index {
            // Entries included in the snapshot are committed, so they match.
            let message =
                Message::Appended { term, ok: true, index: self.log.base_index, sent, at: now };
            self.send_after_persist(from.clone(), message, out);
            return;
        }
        if self.log.term(prev_index) != Some(prev_term) {
            let index = prev_index.saturating_sub(1).min(self.log.last_index());
            let message = Message::Appended { term, ok: false, index, sent, at: now };
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
        let message = Message::Appended { term, ok: true, index: last, sent, at: now };
        self.send_after_persist(from.clone(), message, out);
        self.commit_up_to(commit.min(last), out);
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
            self.awaiting_persist.push((self.persist_seq, to, message));
        }
    }

    pub(crate) fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
        out: &mut Vec<Output>,
    ) {
        self.persist_seq += 1;
        if let Some(last) = entries.last() {
            self.persist_indexes.insert(self.persist_seq, last.index);
        }
        let write = Write { hard_state, entries, snapshot };
        out.push(Output::Persist { seq: self.persist_seq, write });
    }

    fn handle_persisted(&mut self, now: Time, seq: u64, out: &mut Vec<Output>) {
        self.persisted_seq = self.persisted_seq.max(seq);
        let later = self.persist_indexes.split_off(&(seq + 1));
        let done = std::mem::replace(&mut self.persist_indexes, later);
        if let Some(index) = done.values().max() {
            self.persisted_index = self.persisted_index.max(*index);
        }
        let awaiting_persist = std::mem::take(&mut self.awaiting_persist);
        for (at, to, message) in awaiting_persist {
            if at <= seq {
                out.push(Output::Send { to, message });
            } else {
                self.awaiting_persist.push((at, to, message));
            }
        }
        if self.role == Role::Leader {
            self.advance_commit(now, out);
        }
    }

    /// Advances the commit index, and applies the newly committed entries.
    pub(crate) fn commit_up_to(&mut self, index: u64, out: &mut Vec<Output>) {
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
        if !self.snapshot_pending && self.is_snapshot_due() {
            self.snapshot_pending = true;
            out.push(Output::Snapshot { index: self.applied });
        }
    }

    /// Whether a snapshot should replace the applied entries. Their bytes count too, since the log must leave room on the disk
    /// for two snapshots.
    fn is_snapshot_due(&self) -> bool {
        let max_bytes = self.timing.snapshot_after_bytes.max(2 * self.snapshot_bytes());
        self.applied - self.log.base_index >= self.timing.snapshot_after
            || self.log.bytes() >= max_bytes && self.log.bytes_up_to(self.applied) >= max_bytes
    }

    /// Size of the log after the snapshot, bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Size of the state in the latest snapshot, bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len())
    }

    /// Sets the configuration to the last one in the log, whether committed or not.
    pub(crate) fn refresh_config(&mut self) {
        self.config = self.config_at(self.log.last_index());
    }

    pub(crate) fn config_at(&self, index: u64) -> Config {
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
        let min = self.timing.election.as_micros() as u64;
        let wait = self.rng.random_range(min..2 * min);
        self.election_at = now + Duration::from_micros(wait);
    }
}
