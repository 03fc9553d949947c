//! Leader: replication, commit and membership changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

use crate::{Body, Config, Entry, Member, Message, Output, Replica, Role, Snapshot};

/// Maximum bytes of commands in one append message.
const MAX_APPEND_BYTES: usize = 512 << 10;
/// Bytes of snapshot data in one message.
const SNAPSHOT_CHUNK_BYTES: usize = 512 << 10;
/// Maximum number of entries by which a learner may lag behind to be promoted to voter.
const MAX_LEARNER_LAG: u64 = 64;
/// Time without a response after which a snapshot chunk is sent again.
const SNAPSHOT_CHUNK_RETRY: Duration = Duration::from_millis(500);

/// A leader's replication state for one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub next: u64,
    /// Highest index known to match the leader's log.
    pub matched: u64,
    /// The latest send time of the leader that the member has acknowledged, by the leader's clock.
    pub echoed: Option<Time>,
    /// The member's clock in its last response.
    pub member_time: Time,
    /// Snapshot index, offset and send time of the snapshot chunk in flight.
    pub chunk: Option<(u64, u64, Time)>,
}

/// State that a replica keeps while it leads.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    pub progress: BTreeMap<Member, Progress>,
    /// When the leadership began.
    pub since: Time,
    pub next_heartbeat: Time,
    /// Index of the first entry of the leader's term.
    pub first_index: u64,
    /// Arrival time and ID of the reads that await confirmation.
    pub reads: Vec<(Time, u64)>,
}

impl LeaderState {
    pub fn matched(&self, member: &Member) -> u64 {
        self.progress.get(member).map_or(0, |progress| progress.matched)
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader_member = Some(self.me.clone());
        self.leader_state =
            LeaderState { since: now, next_heartbeat: now, ..LeaderState::default() };
        self.leader_state.first_index = self.log.last_index() + 1;
        self.append_entry(Body::Empty, out);
        self.send_to_all(now, out);
        self.advance_commit(now, out);
    }

    pub(crate) fn propose(&mut self, now: Time, id: u64, data: Arc<[u8]>, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            out.push(Output::Rejected { id, leader: self.leader_member.clone() });
            return;
        }
        let index = self.append_entry(Body::Data(data), out);
        out.push(Output::Accepted { id, index, term: self.hard_state.term });
        self.send_to_all(now, out);
        self.advance_commit(now, out);
    }

    fn append_entry(&mut self, body: Body, out: &mut Vec<Output>) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard_state.term, body };
        self.log.push(entry.clone());
        if matches!(entry.body, Body::Config(_)) {
            self.refresh_config();
        }
        self.persist(None, vec![entry], None, out);
        index
    }

    pub(crate) fn tick_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.leader_state.since) >= 2 * self.timing.election
            && !self.majority_echoed_within(now, 2 * self.timing.election)
        {
            self.become_follower(now, self.hard_state.term, None, out);
            return;
        }
        if now >= self.leader_state.next_heartbeat {
            self.leader_state.next_heartbeat = now + self.timing.heartbeat;
            self.change_members(now, out);
            self.send_to_all(now, out);
        }
        self.confirm_reads(now, out);
    }

    /// Sends each member its missing entries or snapshot chunk, or a heartbeat.
    pub(crate) fn send_to_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let members: Vec<Member> =
            self.config.all().filter(|member| **member != self.me).cloned().collect();
        for member in members {
            self.send_to(now, &member, out);
        }
    }

    fn send_to(&mut self, now: Time, member: &Member, out: &mut Vec<Output>) {
        let last = self.log.last_index();
        let progress = self
            .leader_state
            .progress
            .entry(member.clone())
            .or_insert_with(|| Progress { next: last, ..Progress::default() });
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term(prev_index).filter(|_| progress.next > 0) else {
            self.send_snapshot(now, member, out);
            return;
        };
        let entries = self.log.slice(progress.next, MAX_APPEND_BYTES);
        progress.next += entries.len() as u64;
        progress.chunk = None;
        let message = Message::Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent: now,
            echo: progress.member_time,
        };
        out.push(Output::Send { to: member.clone(), message });
    }

    fn send_snapshot(&mut self, now: Time, member: &Member, out: &mut Vec<Output>) {
        let (Some(snapshot), Some(progress)) =
            (&self.snapshot, self.leader_state.progress.get_mut(member))
        else {
            return;
        };
        let offset = match progress.chunk {
            Some((index, offset, at)) if index == snapshot.index => {
                if now.since(at) < SNAPSHOT_CHUNK_RETRY {
                    return;
                }
                offset
            }
            _ => 0,
        };
        progress.chunk = Some((snapshot.index, offset, now));
        let end = (offset as usize + SNAPSHOT_CHUNK_BYTES).min(snapshot.data.len());
        let data = Arc::from(&snapshot.data[offset as usize..end]);
        let message = Message::Install {
            term: self.hard_state.term,
            total: snapshot.data.len() as u64,
            chunk: Snapshot { data, ..snapshot.clone() },
            offset,
            sent: now,
        };
        out.push(Output::Send { to: member.clone(), message });
    }

    pub(crate) fn handle_appended(
        &mut self,
        now: Time,
        from: &Member,
        (ok, index): (bool, u64),
        (sent, at): (Time, Time),
        out: &mut Vec<Output>,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.leader_state.progress.get_mut(from) else {
            return;
        };
        progress.echoed = progress.echoed.max(Some(sent));
        progress.member_time = progress.member_time.max(at);
        if ok {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
        } else if index + 1 < progress.next {
            progress.next = (index + 1).max(progress.matched + 1);
        }
        let behind = progress.next <= last;
        if !ok || behind {
            self.send_to(now, from, out);
        }
        self.advance_commit(now, out);
    }

    pub(crate) fn handle_installed(
        &mut self,
        now: Time,
        from: &Member,
        index: u64,
        offset: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let total = snapshot.data.len() as u64;
        let is_current = snapshot.index == index;
        let Some(progress) = self.leader_state.progress.get_mut(from) else {
            return;
        };
        progress.echoed = progress.echoed.max(Some(sent));
        if !is_current {
            return;
        }
        if offset >= total {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
            progress.chunk = None;
        } else {
            // The next chunk is sent without waiting for the retry interval.
            progress.chunk = Some((index, offset, Time::ZERO));
        }
        self.send_to(now, from, out);
        self.advance_commit(now, out);
    }

    pub(crate) fn advance_commit(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut matched: Vec<u64> = self
            .config
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.me {
                    self.persisted_index
                } else {
                    self.leader_state.matched(voter)
                }
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = matched.get(self.config.majority() - 1).copied() else {
            return;
        };
        // Only an entry of the leader's own term commits those before it (Raft, section 3.6.2).
        if self.log.term(agreed) == Some(self.hard_state.term) {
            let previous_commit = self.commit;
            self.commit_up_to(agreed, out);
            if self.commit > previous_commit {
                // Sends the new commit index to the followers without waiting for the next regular heartbeat.
                self.leader_state.next_heartbeat = now;
            }
        }
        self.confirm_reads(now, out);
        if !self.config.is_voter(&self.me) && self.commit >= self.last_config_index() {
            self.become_follower(now, self.hard_state.term, None, out);
        }
    }

    fn last_config_index(&self) -> u64 {
        self.log
            .iter()
            .rev()
            .find(|entry| matches!(entry.body, Body::Config(_)))
            .map_or(self.log.base_index, |entry| entry.index)
    }

    /// Adds members, promotes learners and removes replaced voters, one change at a time.
    fn change_members(&mut self, now: Time, out: &mut Vec<Output>) {
        let committed =
            self.commit >= self.last_config_index() && self.commit >= self.leader_state.first_index;
        if !committed {
            return;
        }
        let Some(config) = self.next_config(now) else {
            return;
        };
        if config.is_single_change_from(&self.config) {
            self.append_entry(Body::Config(config), out);
        }
    }

    fn next_config(&self, now: Time) -> Option<Config> {
        let mut config = self.config.clone();
        for learner in &self.config.learners {
            if !self.caught_up(now, learner) {
                continue;
            }
            let old_disk = config.voters.iter().position(|voter| voter.name == learner.name);
            if let Some(old_disk) = old_disk {
                // The voter's old disk is removed first. The new one is promoted once that change is
                // committed.
                config.voters.remove(old_disk);
                return Some(config);
            }
            if config.voters.len() >= self.bootstrap.voters_wanted {
                // A voter that does not respond is replaced by the learner, so that the quorum can
                // tolerate the next loss.
                let gone = config
                    .voters
                    .iter()
                    .position(|voter| *voter != self.me && self.is_silent(now, voter));
                if let Some(gone) = gone.filter(|_| self.bootstrap.accept_new_members) {
                    config.voters.remove(gone);
                    return Some(config);
                }
                continue;
            }
            config.learners.retain(|other| other != learner);
            config.voters.push(learner.clone());
            return Some(config);
        }
        let joiners: Vec<Member> =
            self.joiners.values().map(|(member, _)| member.clone()).collect();
        for member in joiners {
            let is_member = config.all().any(|other| *other == member);
            let voter = config.voters.iter().find(|voter| voter.name == member.name);
            let silent = voter.is_some_and(|voter| self.is_silent(now, voter));
            let allowed =
                self.bootstrap.accept_new_members || self.bootstrap.names.contains(&member.name);
            let expected = allowed && voter.is_none();
            if is_member || !(silent || expected) || !self.announced_recently(now, &member) {
                continue;
            }
            // A newer disk of the same name replaces an earlier learner.
            config.learners.retain(|other| other.name != member.name);
            config.learners.push(member);
            return Some(config);
        }
        None
    }

    fn announced_recently(&self, now: Time, member: &Member) -> bool {
        let found = self.joiners.get(&member.name);
        found.is_some_and(|(found, at)| {
            found == member && now.since(*at) < self.timing.replace_after
        })
    }

    fn is_silent(&self, now: Time, voter: &Member) -> bool {
        let echoed = self.leader_state.progress.get(voter).and_then(|progress| progress.echoed);
        let last_response = echoed.unwrap_or(self.leader_state.since).max(self.leader_state.since);
        now.since(last_response) >= self.timing.replace_after
    }

    fn caught_up(&self, now: Time, learner: &Member) -> bool {
        let Some(progress) = self.leader_state.progress.get(learner) else {
            return false;
        };
        let recent = progress.echoed.is_some_and(|at| now.since(at) < self.timing.election);
        recent
            && progress.matched > 0
            && progress.matched + MAX_LEARNER_LAG >= self.log.last_index()
    }
}
