//! Bootstrap of the first configuration, elections and voting.

use std::sync::Arc;

use base::prelude::*;

use crate::{Config, HardState, Member, Message, Output, Replica, Role, Snapshot};

/// How long a message from a replica with an empty disk remains valid for the bootstrap.
const UNINITIALIZED_TTL: Duration = Duration::from_secs(2);
/// Term of the first configuration.
const BOOTSTRAP_TERM: u64 = 1;
/// Index of the first configuration.
const BOOTSTRAP_INDEX: u64 = 1;

/// The kind of election that a replica starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ElectionKind {
    /// A pre-vote, to find out whether the election could be won.
    PreVote,
    /// The election that follows a successful pre-vote.
    Vote,
    /// An election requested by the leader, which skips the pre-vote.
    Transfer,
}

impl Replica {
    /// Ticks a replica with an empty disk. The initial voter with the lowest name creates the first
    /// configuration once all initial voters have recently reported empty disks. If one of them has a
    /// log, a configuration exists already and none is created.
    pub(crate) fn tick_uninitialized(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_creator = self.bootstrap.names.iter().min() == Some(&self.me.name);
        if is_creator && !self.cluster_exists {
            self.joiners.insert(self.me.name.clone(), (self.me.clone(), now));
            let voters: Option<Vec<Member>> = self
                .bootstrap
                .names
                .iter()
                .map(|name| {
                    let (member, last_seen) = self.joiners.get(name)?;
                    (now.since(*last_seen) < UNINITIALIZED_TTL).then(|| member.clone())
                })
                .collect();
            if let Some(voters) = voters {
                let snapshot = Snapshot {
                    index: BOOTSTRAP_INDEX,
                    term: BOOTSTRAP_TERM,
                    epoch: self.bootstrap.epoch,
                    config: Config { voters, learners: Vec::new() },
                    data: Arc::from([]),
                };
                self.install_bootstrap(now, snapshot, out);
            }
        }
    }

    /// Installs the first configuration if this replica's disk is empty and the configuration names it.
    pub(crate) fn install_bootstrap(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        out: &mut Vec<Output>,
    ) {
        if !self.is_uninitialized() || !snapshot.config.is_voter(&self.me) {
            return;
        }
        self.hard_state = HardState {
            term: self.hard_state.term.max(BOOTSTRAP_TERM),
            vote: self.hard_state.vote.clone(),
        };
        self.replace_with(snapshot, out);
        self.reset_election(now);
    }

    /// Starts an election or a pre-vote.
    pub(crate) fn campaign(&mut self, now: Time, kind: ElectionKind, out: &mut Vec<Output>) {
        self.reset_election(now);
        self.leader_member = None;
        self.votes = vec![self.me.clone()];
        let term = self.hard_state.term + 1;
        let pre = kind == ElectionKind::PreVote;
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard_state = HardState { term, vote: Some(self.me.clone()) };
            self.persist(Some(self.hard_state.clone()), Vec::new(), None, out);
        }
        let request = Message::RequestVote {
            term,
            pre,
            transfer: kind == ElectionKind::Transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.config.voters.clone() {
            if voter == self.me {
                continue;
            }
            // An initial voter that missed the first configuration receives it together with the
            // request.
            if self.log.base_index == BOOTSTRAP_INDEX
                && let Some(snapshot) = &self.snapshot
                && self.joiners.get(&voter.name).is_some_and(|(found, _)| *found == voter)
            {
                let message = Message::Bootstrap(snapshot.clone());
                out.push(Output::Send { to: voter.clone(), message });
            }
            self.send_after_persist(voter, request.clone(), out);
        }
        self.tally_votes(now, out);
    }

    pub(crate) fn handle_vote_request(
        &mut self,
        now: Time,
        from: Member,
        term: u64,
        (pre, transfer): (bool, bool),
        last: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let mine = (self.log.last_term(), self.log.last_index());
        // Only a voter of the current configuration may vote, and a replica with an empty disk has no
        // configuration.
        let may_vote = self.config.is_voter(&self.me) && !self.is_uninitialized();
        let bound_to_leader = !transfer && self.is_bound_to_leader(now, &from);
        if pre {
            let granted =
                may_vote && !bound_to_leader && term > self.hard_state.term && last >= mine;
            let message = Message::Vote { term, pre, granted };
            out.push(Output::Send { to: from, message });
            return;
        }
        if bound_to_leader || term < self.hard_state.term || !may_vote {
            let message = Message::Vote { term: self.hard_state.term, pre, granted: false };
            out.push(Output::Send { to: from, message });
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None, out);
        }
        let free = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = free && last >= mine;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.persist(Some(self.hard_state.clone()), Vec::new(), None, out);
            self.reset_election(now);
        }
        let message = Message::Vote { term: self.hard_state.term, pre, granted };
        self.send_after_persist(from, message, out);
    }

    pub(crate) fn handle_vote(
        &mut self,
        now: Time,
        from: Member,
        term: u64,
        pre: bool,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if !pre && term > self.hard_state.term {
            self.become_follower(now, term, None, out);
            return;
        }
        let is_current = match self.role {
            Role::PreCandidate => pre && term == self.hard_state.term + 1,
            Role::Candidate => !pre && term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if is_current && granted && !self.votes.contains(&from) {
            self.votes.push(from);
            self.tally_votes(now, out);
        }
    }

    fn tally_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        let votes = self.votes.iter().filter(|member| self.config.is_voter(member)).count();
        if votes < self.config.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, ElectionKind::Vote, out),
            Role::Candidate => self.become_leader(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(crate) fn become_follower(
        &mut self,
        now: Time,
        term: u64,
        leader: Option<Member>,
        out: &mut Vec<Output>,
    ) {
        if self.role == Role::Leader {
            self.reject_reads(out);
        }
        self.role = Role::Follower;
        self.leader_member = leader;
        self.reset_election(now);
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persist(Some(self.hard_state.clone()), Vec::new(), None, out);
        }
    }

    /// Whether a leader other than the candidate may still rely on this replica for its lease.
    fn is_bound_to_leader(&self, now: Time, candidate: &Member) -> bool {
        if self.role == Role::Leader {
            return self.lease_holds(now);
        }
        let recent =
            self.last_leader_contact.is_some_and(|at| now.since(at) < self.timing.election);
        (recent && self.leader_member.as_ref() != Some(candidate)) || now < self.blocked_until
    }

    /// Transfers the leadership to the voter with the longest matching log, and steps down.
    pub(crate) fn transfer_leadership(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let successor = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.me)
            .max_by_key(|voter| self.leader_state.matched(voter));
        let Some(successor) = successor.cloned() else {
            return;
        };
        let message = Message::TimeoutNow { term: self.hard_state.term };
        out.push(Output::Send { to: successor, message });
        self.become_follower(now, self.hard_state.term, None, out);
    }

    /// The message by which this replica asks to be added to the configuration, because its disk is
    /// empty or because it may have been removed. The caller sends it to every connected keeper.
    pub fn announcement(&self) -> Option<Message> {
        if self.is_uninitialized() {
            return Some(Message::Uninitialized);
        }
        (self.bootstrap.accept_new_members && self.isolated).then_some(Message::Rejoin)
    }

    /// Handles a replica with a log that asks to be added again. It proves that a configuration exists.
    pub(crate) fn handle_rejoin(&mut self, now: Time, from: Member) {
        if self.is_uninitialized() {
            self.cluster_exists = true;
        } else if self.bootstrap.accept_new_members {
            self.joiners.insert(from.name.clone(), (from, now));
        }
    }
}
