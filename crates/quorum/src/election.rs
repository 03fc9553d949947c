//! Forming the first configuration, standing for election, voting.

use std::sync::Arc;

use base::prelude::*;

use crate::{Config, HardState, Member, Message, Output, Replica, Role, Snapshot};

/// How long the word of an empty disk counts.
const FRESH_FOR: Duration = Duration::from_secs(2);
/// Term of the first configuration.
const FIRST_TERM: u64 = 1;
/// Index of the first configuration.
const FIRST_INDEX: u64 = 1;

/// What kind of election a member stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ballot {
    /// Only to learn whether it would be won.
    Pre,
    /// After a majority said that it would be won.
    Real,
    /// Because the leader asked for it.
    Transfer,
}

impl Replica {
    /// An empty disk: the first founder forms the configuration once all founders are there and
    /// empty. One founder with a log means that a configuration exists, so nothing is formed.
    pub(crate) fn tick_fresh(&mut self, now: Time, out: &mut Vec<Output>) {
        let leader = self.bootstrap.names.iter().min() == Some(&self.me.name);
        if leader && !self.exists {
            self.fresh.insert(self.me.name.clone(), (self.me.clone(), now));
            let all: Option<Vec<Member>> = self
                .bootstrap
                .names
                .iter()
                .map(|name| {
                    let (member, at) = self.fresh.get(name)?;
                    (now.since(*at) < FRESH_FOR).then(|| member.clone())
                })
                .collect();
            if let Some(voters) = all {
                let snapshot = Snapshot {
                    index: FIRST_INDEX,
                    term: FIRST_TERM,
                    epoch: self.bootstrap.epoch,
                    config: Config { voters, learners: Vec::new() },
                    data: Arc::from([]),
                };
                self.form_from(now, snapshot, out);
            }
        }
    }

    /// Takes the first configuration, if it names this very disk.
    pub(crate) fn form_from(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Output>) {
        if !self.is_uninitialized() || !snapshot.config.votes(&self.me) {
            return;
        }
        self.hard_state = HardState {
            term: self.hard_state.term.max(FIRST_TERM),
            vote: self.hard_state.vote.clone(),
        };
        self.replace_with(snapshot, out);
        self.reset_election(now);
    }

    /// Stands for election.
    pub(crate) fn stand(&mut self, now: Time, ballot: Ballot, out: &mut Vec<Output>) {
        self.reset_election(now);
        self.leader_member = None;
        self.votes = vec![self.me.clone()];
        let term = self.hard_state.term + 1;
        let pre = ballot == Ballot::Pre;
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard_state = HardState { term, vote: Some(self.me.clone()) };
            self.persist(Some(self.hard_state.clone()), Vec::new(), None, out);
        }
        let ask = Message::RequestVote {
            term,
            pre,
            transfer: ballot == Ballot::Transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.config.voters.clone() {
            if voter == self.me {
                continue;
            }
            // A founder that missed the first configuration is given it with the request.
            if self.log.base_index == FIRST_INDEX
                && let Some(snapshot) = &self.snapshot
                && self.fresh.get(&voter.name).is_some_and(|(found, _)| *found == voter)
            {
                let message = Message::Bootstrap(snapshot.clone());
                out.push(Output::Send { to: voter.clone(), message });
            }
            self.send_after_persist(voter, ask.clone(), out);
        }
        self.count_votes(now, out);
    }

    pub(crate) fn asked(
        &mut self,
        now: Time,
        from: Member,
        term: u64,
        (pre, transfer): (bool, bool),
        last: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let mine = (self.log.last_term(), self.log.last_index());
        // Only a member of the configuration known here may vote, and an empty disk knows none.
        let may_vote = self.config.votes(&self.me) && !self.is_uninitialized();
        let sticky = !transfer && self.has_promised(now, &from);
        if pre {
            let granted = may_vote && !sticky && term > self.hard_state.term && last >= mine;
            let message = Message::Vote { term, pre, granted };
            out.push(Output::Send { to: from, message });
            return;
        }
        if sticky || term < self.hard_state.term || !may_vote {
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

    pub(crate) fn voted(
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
        let counts = match self.role {
            Role::PreCandidate => pre && term == self.hard_state.term + 1,
            Role::Candidate => !pre && term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if counts && granted && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now, out);
        }
    }

    fn count_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        let votes = self.votes.iter().filter(|member| self.config.votes(member)).count();
        if votes < self.config.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(now, Ballot::Real, out),
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
            self.drop_reads(out);
        }
        self.role = Role::Follower;
        self.leader_member = leader;
        self.reset_election(now);
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persist(Some(self.hard_state.clone()), Vec::new(), None, out);
        }
    }

    /// Whether a leader other than the candidate may still count on this member.
    fn has_promised(&self, now: Time, candidate: &Member) -> bool {
        if self.role == Role::Leader {
            return self.lease_holds(now);
        }
        let heard = self.heard.is_some_and(|at| now.since(at) < self.timing.election);
        (heard && self.leader_member.as_ref() != Some(candidate)) || now < self.blocked_until
    }

    /// Hands leadership to the follower that is furthest along, and gives up its lease.
    pub(crate) fn resign(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let best = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.me)
            .max_by_key(|voter| self.leading.matched(voter));
        let Some(best) = best.cloned() else {
            return;
        };
        let message = Message::TimeoutNow { term: self.hard_state.term };
        out.push(Output::Send { to: best, message });
        self.become_follower(now, self.hard_state.term, None, out);
    }

    /// Says that this disk is empty, or that its member may have been replaced, and wants to be taken
    /// in; the edge sends it to every keeper it is linked to.
    pub fn announcement(&self) -> Option<Message> {
        if self.is_uninitialized() {
            return Some(Message::Uninitialized);
        }
        (self.bootstrap.accept_new_members && self.isolated).then_some(Message::Rejoin)
    }

    /// Another member wants to be taken in. One with a log proves that a configuration exists.
    pub(crate) fn returning(&mut self, now: Time, from: Member) {
        if self.is_uninitialized() {
            self.exists = true;
        } else if self.bootstrap.accept_new_members {
            self.fresh.insert(from.name.clone(), (from, now));
        }
    }
}
