//! Linearizable reads and the leader's lease.
//!
//! A leader confirms a read immediately while it holds its lease, and otherwise as soon as a majority
//! has acknowledged a message that was sent after the read arrived. The lease starts when a message
//! that a majority acknowledges is sent. It ends before any of these voters would vote for another
//! candidate, even with the maximum clock drift.

use base::prelude::*;

use crate::{Output, Replica, Role};

impl Replica {
    pub(crate) fn read(&mut self, now: Time, id: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            out.push(Output::Rejected { id, leader: self.leader_member.clone() });
            return;
        }
        self.leader_state.reads.push((now, id));
        self.confirm_reads(now, out);
        if !self.leader_state.reads.is_empty() {
            // Without a lease, a round of heartbeats confirms the read.
            self.leader_state.next_heartbeat = now;
        }
    }

    pub(crate) fn confirm_reads(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leader_state.reads.is_empty() || self.commit < self.leader_state.first_index {
            return;
        }
        let lease = self.lease_holds(now);
        let echoed = self.majority_echo();
        let index = self.commit;
        self.leader_state.reads.retain(|(at, id)| {
            let confirmed = lease || echoed.is_some_and(|echoed| echoed > *at);
            if confirmed {
                out.push(Output::Readable { id: *id, index });
            }
            !confirmed
        });
    }

    pub(crate) fn reject_reads(&mut self, out: &mut Vec<Output>) {
        for (_, id) in self.leader_state.reads.drain(..) {
            out.push(Output::Rejected { id, leader: None });
        }
    }

    /// Whether this replica leads and no other leader can have been elected yet.
    pub fn lease_holds(&self, now: Time) -> bool {
        self.role == Role::Leader && self.majority_echoed_within(now, self.timing.lease())
    }

    /// For a leader: the other voters, each with the time since the latest message that it
    /// acknowledged was sent.
    pub fn last_contacts(&self, now: Time) -> Vec<(Name, Option<Duration>)> {
        let others = self.config.voters.iter().filter(|voter| **voter != self.me);
        others
            .map(|voter| {
                let echoed = self.leader_state.progress.get(voter).and_then(|found| found.echoed);
                (voter.name.clone(), echoed.map(|at| now.since(at)))
            })
            .collect()
    }

    pub(crate) fn majority_echoed_within(&self, now: Time, time: Duration) -> bool {
        if self.config.voters.len() == 1 && self.config.is_voter(&self.me) {
            return true;
        }
        self.majority_echo().is_some_and(|echoed| now.since(echoed) < time)
    }

    /// The latest send time that a majority, including this replica, has acknowledged.
    fn majority_echo(&self) -> Option<Time> {
        let others = self.config.majority() - usize::from(self.config.is_voter(&self.me));
        if others == 0 {
            return Some(Time(u64::MAX));
        }
        let mut echoes: Vec<Time> = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.me)
            .filter_map(|voter| self.leader_state.progress.get(voter)?.echoed)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        echoes.get(others - 1).copied()
    }
}
