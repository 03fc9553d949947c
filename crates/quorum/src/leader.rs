//! What a leader does: sends the log, counts answers, commits, changes the members.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

use crate::{Body, Config, Entry, Member, Message, Output, Replica, Role, Snapshot};

/// Most bytes of commands in one message.
const BATCH: usize = 512 << 10;
/// Bytes of a snapshot in one message.
const PART: usize = 512 << 10;
/// A learner this close to the end of the log is made a voter.
const CLOSE: u64 = 64;
/// Silence after which a part of a snapshot is sent again.
const PART_AGAIN: Duration = Duration::from_millis(500);

/// What a leader knows of a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub next: u64,
    pub matched: u64,
    /// The leader's clock in the last answer.
    pub echoed: Option<Time>,
    /// The member's clock in its last answer.
    pub at: Time,
    /// Offset of the snapshot part under way and when it was sent.
    pub part: Option<(u64, u64, Time)>,
}

/// A leader's state.
#[derive(Debug, Default)]
pub(crate) struct Leader {
    pub progress: BTreeMap<Member, Progress>,
    pub since: Time,
    pub next_heartbeat: Time,
    pub first_index: u64,
    pub reads: Vec<(Time, u64)>,
}

impl Leader {
    pub fn matched(&self, member: &Member) -> u64 {
        self.progress.get(member).map_or(0, |progress| progress.matched)
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader_member = Some(self.me.clone());
        self.leading = Leader { since: now, next_heartbeat: now, ..Leader::default() };
        self.leading.first_index = self.log.last_index() + 1;
        self.add_entry(Body::Empty, out);
        self.send_to_all(now, out);
        self.commit_what_is_agreed(now, out);
    }

    pub(crate) fn propose(&mut self, now: Time, id: u64, data: Arc<[u8]>, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            out.push(Output::Rejected { id, leader: self.leader_member.clone() });
            return;
        }
        let index = self.add_entry(Body::Data(data), out);
        out.push(Output::Accepted { id, index, term: self.hard_state.term });
        self.send_to_all(now, out);
        self.commit_what_is_agreed(now, out);
    }

    fn add_entry(&mut self, body: Body, out: &mut Vec<Output>) -> u64 {
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
        if now.since(self.leading.since) >= 2 * self.timing.election
            && !self.majority_echoed_within(now, 2 * self.timing.election)
        {
            self.become_follower(now, self.hard_state.term, None, out);
            return;
        }
        if now >= self.leading.next_heartbeat {
            self.leading.next_heartbeat = now + self.timing.heartbeat;
            self.change_members(now, out);
            self.send_to_all(now, out);
        }
        self.confirm_reads(now, out);
    }

    /// Sends each member what it lacks, or a heartbeat.
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
            .leading
            .progress
            .entry(member.clone())
            .or_insert_with(|| Progress { next: last, ..Progress::default() });
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term(prev_index).filter(|_| progress.next > 0) else {
            self.send_snapshot(now, member, out);
            return;
        };
        let entries = self.log.slice(progress.next, BATCH);
        progress.next += entries.len() as u64;
        progress.part = None;
        let message = Message::Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent: now,
            echo: progress.at,
        };
        out.push(Output::Send { to: member.clone(), message });
    }

    fn send_snapshot(&mut self, now: Time, member: &Member, out: &mut Vec<Output>) {
        let (Some(snapshot), Some(progress)) =
            (&self.snapshot, self.leading.progress.get_mut(member))
        else {
            return;
        };
        let offset = match progress.part {
            Some((index, offset, at)) if index == snapshot.index => {
                if now.since(at) < PART_AGAIN {
                    return;
                }
                offset
            }
            _ => 0,
        };
        progress.part = Some((snapshot.index, offset, now));
        let end = (offset as usize + PART).min(snapshot.data.len());
        let data = Arc::from(&snapshot.data[offset as usize..end]);
        let message = Message::Install {
            term: self.hard_state.term,
            total: snapshot.data.len() as u64,
            part: Snapshot { data, ..snapshot.clone() },
            offset,
            sent: now,
        };
        out.push(Output::Send { to: member.clone(), message });
    }

    pub(crate) fn appended(
        &mut self,
        now: Time,
        from: &Member,
        (ok, index): (bool, u64),
        (sent, at): (Time, Time),
        out: &mut Vec<Output>,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.leading.progress.get_mut(from) else {
            return;
        };
        progress.echoed = progress.echoed.max(Some(sent));
        progress.at = progress.at.max(at);
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
        self.commit_what_is_agreed(now, out);
    }

    pub(crate) fn installed(
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
        let same = snapshot.index == index;
        let Some(progress) = self.leading.progress.get_mut(from) else {
            return;
        };
        progress.echoed = progress.echoed.max(Some(sent));
        if !same {
            return;
        }
        if offset >= total {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
            progress.part = None;
        } else {
            // The next part goes out at once.
            progress.part = Some((index, offset, Time::ZERO));
        }
        self.send_to(now, from, out);
        self.commit_what_is_agreed(now, out);
    }

    pub(crate) fn commit_what_is_agreed(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut matched: Vec<u64> =
            self.config
                .voters
                .iter()
                .map(|voter| {
                    if *voter == self.me {
                        self.persisted_index
                    } else {
                        self.leading.matched(voter)
                    }
                })
                .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = matched.get(self.config.majority() - 1).copied() else {
            return;
        };
        // Only an entry of the leader's own term commits those before it (Raft, section 3.6.2).
        if self.log.term(agreed) == Some(self.hard_state.term) {
            let before = self.commit;
            self.advance(agreed, out);
            if self.commit > before {
                // Followers learn of it at once rather than with the next heartbeat.
                self.leading.next_heartbeat = now;
            }
        }
        self.confirm_reads(now, out);
        if !self.config.votes(&self.me) && self.commit >= self.last_config_index() {
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

    /// Takes in new disks and drops the old ones they replace, one change at a time.
    fn change_members(&mut self, now: Time, out: &mut Vec<Output>) {
        let settled =
            self.commit >= self.last_config_index() && self.commit >= self.leading.first_index;
        if !settled {
            return;
        }
        let Some(config) = self.next_config(now) else {
            return;
        };
        if config.follows(&self.config) {
            self.add_entry(Body::Config(config), out);
        }
    }

    fn next_config(&self, now: Time) -> Option<Config> {
        let mut config = self.config.clone();
        for learner in &self.config.learners {
            if !self.caught_up(now, learner) {
                continue;
            }
            let old = config.voters.iter().position(|voter| voter.name == learner.name);
            if let Some(old) = old {
                // The old disk goes first; the new one follows once that is committed.
                config.voters.remove(old);
                return Some(config);
            }
            if config.voters.len() >= self.bootstrap.voters_wanted {
                // A voter that is gone gives its place to a spare, so that the next loss is borne.
                let gone = config
                    .voters
                    .iter()
                    .position(|voter| *voter != self.me && self.silent(now, voter));
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
        let seen: Vec<Member> = self.fresh.values().map(|(member, _)| member.clone()).collect();
        for member in seen {
            let known = config.all().any(|other| *other == member);
            let voter = config.voters.iter().find(|voter| voter.name == member.name);
            let silent = voter.is_some_and(|voter| self.silent(now, voter));
            let named =
                self.bootstrap.accept_new_members || self.bootstrap.names.contains(&member.name);
            let expected = named && voter.is_none();
            if known || !(silent || expected) || !self.is_fresh_now(now, &member) {
                continue;
            }
            // A newer disk of the same name makes an earlier learner pointless.
            config.learners.retain(|other| other.name != member.name);
            config.learners.push(member);
            return Some(config);
        }
        None
    }

    fn is_fresh_now(&self, now: Time, member: &Member) -> bool {
        let found = self.fresh.get(&member.name);
        found.is_some_and(|(found, at)| {
            found == member && now.since(*at) < self.timing.replace_after
        })
    }

    fn silent(&self, now: Time, voter: &Member) -> bool {
        let echoed = self.leading.progress.get(voter).and_then(|progress| progress.echoed);
        let last = echoed.unwrap_or(self.leading.since).max(self.leading.since);
        now.since(last) >= self.timing.replace_after
    }

    fn caught_up(&self, now: Time, learner: &Member) -> bool {
        let Some(progress) = self.leading.progress.get(learner) else {
            return false;
        };
        let recent = progress.echoed.is_some_and(|at| now.since(at) < self.timing.election);
        recent && progress.matched > 0 && progress.matched + CLOSE >= self.log.last_index()
    }
}
