//! Linearizable reads and the leader's lease.
//!
//! A leader answers a read once a majority has answered a message sent after the read came, or at
//! once while its lease holds. The lease counts from the sending of messages that a majority has
//! answered and ends before any of them would vote for another, clock drift included.

use base::prelude::*;

use crate::{Output, Replica, Role};

impl Replica {
    pub(crate) fn read(&mut self, now: Time, id: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            out.push(Output::Rejected { id, leader: self.leader_member.clone() });
            return;
        }
        self.leading.reads.push((now, id));
        self.confirm_reads(now, out);
        if !self.leading.reads.is_empty() {
            // A round of heartbeats confirms it when there is no lease.
            self.leading.next_heartbeat = now;
        }
    }

    pub(crate) fn confirm_reads(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leading.reads.is_empty() || self.commit < self.leading.first_index {
            return;
        }
        let lease = self.lease_holds(now);
        let echoed = self.majority_echo();
        let index = self.commit;
        self.leading.reads.retain(|(at, id)| {
            let confirmed = lease || echoed.is_some_and(|echoed| echoed > *at);
            if confirmed {
                out.push(Output::Readable { id: *id, index });
            }
            !confirmed
        });
    }

    pub(crate) fn drop_reads(&mut self, out: &mut Vec<Output>) {
        for (_, id) in self.leading.reads.drain(..) {
            out.push(Output::Rejected { id, leader: None });
        }
    }

    /// Whether no other leader can have been elected yet.
    pub fn lease_holds(&self, now: Time) -> bool {
        self.role == Role::Leader && self.majority_echoed_within(now, self.timing.lease())
    }

    /// The other voters, each with the time since a message that it has answered was sent; of use to
    /// a leader only.
    pub fn last_contacts(&self, now: Time) -> Vec<(Name, Option<Duration>)> {
        let others = self.config.voters.iter().filter(|voter| **voter != self.me);
        others
            .map(|voter| {
                let echoed = self.leading.progress.get(voter).and_then(|found| found.echoed);
                (voter.name.clone(), echoed.map(|at| now.since(at)))
            })
            .collect()
    }

    pub(crate) fn majority_echoed_within(&self, now: Time, time: Duration) -> bool {
        if self.config.voters.len() == 1 && self.config.votes(&self.me) {
            return true;
        }
        self.majority_echo().is_some_and(|echoed| now.since(echoed) < time)
    }

    /// The latest sending time that a majority, this member included, has answered.
    fn majority_echo(&self) -> Option<Time> {
        let others = self.config.majority() - usize::from(self.config.votes(&self.me));
        if others == 0 {
            return Some(Time(u64::MAX));
        }
        let mut echoes: Vec<Time> = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.me)
            .filter_map(|voter| self.leading.progress.get(voter)?.echoed)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        echoes.get(others - 1).copied()
    }
}
