//! Requests to the keepers, sent again until they are answered.
//!
//! Every request is idempotent at the keepers, so sending it again is safe; what is uncertain after
//! the deadline is said to be uncertain.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::{Answer, Frame, Request};

use crate::{Effect, Effects};

/// Time after which an unanswered request is sent to another keeper.
const AGAIN: Duration = Duration::from_millis(400);
/// Pause before a request that found no leader is sent again.
const PAUSE: Duration = Duration::from_millis(50);

/// What a request was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The claim of a run.
    Claim {
        /// Number of the run.
        number: u64,
        /// Dispatch it is for.
        attempt: u32,
    },
    /// A look at where a claimed run stands.
    Standing {
        /// Number of the run.
        number: u64,
    },
    /// The note of how a claimed run ended; nobody waits for it.
    Settle,
    /// The first agreed read of this process.
    Mark,
    /// An operator's request.
    Operator {
        /// Number of the exchange.
        call: u64,
    },
    /// An operator's read of the whole configuration.
    Adopted {
        /// Number of the exchange.
        call: u64,
    },
}

#[derive(Debug)]
struct Pending {
    purpose: Purpose,
    request: Request,
    deadline: Time,
    next: Time,
    sent_to: Option<Name>,
}

/// Requests under way.
#[derive(Debug, Default)]
pub struct KeeperClient {
    keepers: Vec<Name>,
    leader: Option<Name>,
    pending: BTreeMap<u64, Pending>,
    next_id: u64,
}

impl KeeperClient {
    /// A keeper can be reached.
    pub fn connected(&mut self, keeper: &Name) {
        if !self.keepers.contains(keeper) {
            self.keepers.push(keeper.clone());
        }
    }

    /// A keeper can no longer be reached.
    pub fn disconnected(&mut self, now: Time, keeper: &Name) {
        self.keepers.retain(|known| known != keeper);
        if self.leader.as_ref() == Some(keeper) {
            self.leader = None;
        }
        for pending in self.pending.values_mut() {
            if pending.sent_to.as_ref() == Some(keeper) {
                pending.next = now;
            }
        }
    }

    /// Requests that are not answered.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// Sends a request.
    pub fn ask(
        &mut self,
        now: Time,
        purpose: Purpose,
        request: Request,
        deadline: Time,
        out: &mut Effects,
    ) {
        self.next_id += 1;
        let pending = Pending { purpose, request, deadline, next: now, sent_to: None };
        self.pending.insert(self.next_id, pending);
        self.send(now, self.next_id, out);
    }

    /// Takes an answer; gives what it was for, or nothing while the request goes on.
    pub fn answer(&mut self, now: Time, id: u64, answer: Answer) -> Option<(Purpose, Answer)> {
        if let Answer::NotLeader(leader) = answer {
            let pending = self.pending.get_mut(&id)?;
            self.leader = leader.filter(|leader| self.keepers.contains(leader));
            pending.next = now + PAUSE;
            return None;
        }
        let pending = self.pending.remove(&id)?;
        if pending.sent_to.is_some() {
            self.leader = pending.sent_to;
        }
        Some((pending.purpose, answer))
    }

    /// Sends again what is due; gives what has run out of time.
    pub fn tick(&mut self, now: Time, out: &mut Effects) -> Vec<Purpose> {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.next <= now || pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut over = Vec::new();
        for id in due {
            if self.pending.get(&id).is_some_and(|pending| pending.deadline <= now) {
                over.extend(self.pending.remove(&id).map(|pending| pending.purpose));
            } else {
                self.send(now, id, out);
            }
        }
        over
    }

    fn send(&mut self, now: Time, id: u64, out: &mut Effects) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.next = now + AGAIN;
        let other = || {
            let last = pending.sent_to.as_ref();
            let place = self.keepers.iter().position(|keeper| Some(keeper) == last);
            let next = place.map_or(id as usize, |place| place + 1);
            self.keepers.get(next % self.keepers.len().max(1)).cloned()
        };
        let fresh_leader =
            self.leader.clone().filter(|leader| Some(leader) != pending.sent_to.as_ref());
        let Some(keeper) = fresh_leader.or_else(other) else {
            return;
        };
        pending.sent_to = Some(keeper.clone());
        let frame = Frame::Request { id, request: pending.request.clone() };
        out.push(Effect::Send { to: keeper, frame });
    }
}
