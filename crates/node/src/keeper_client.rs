//! Requests to the keepers, resent until they are answered or their deadline passes.
//!
//! Every request is idempotent at the keepers, so that resending it is safe. The outcome of a request whose
//! deadline has passed is unknown, and is reported as such.
//!
//! A keeper may answer long after the process that sent the request has restarted, since it addresses the answer to the
//! process's name. The numbers of requests therefore differ between incarnations.

use std::collections::BTreeMap;

use base::prelude::*;
use wire::{Answer, Frame, Request};

use crate::{Effect, Effects};

/// Time after which an unanswered request is resent to another keeper.
const RESEND_AFTER: Duration = Duration::from_millis(400);
/// Delay before a request is resent after a keeper answered that it is not the leader.
const NO_LEADER_BACKOFF: Duration = Duration::from_millis(50);

/// The purpose of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The claim of a run.
    Claim {
        /// Number of the run.
        number: u64,
        /// The attempt that it is for.
        attempt: u32,
    },
    /// A query of the status of a claim.
    ClaimStatus {
        /// Number of the run.
        number: u64,
    },
    /// The outcome of a claimed run; nothing waits for the answer.
    CompleteClaim,
    /// The first read index request of this process.
    ReadIndex,
    /// An operator's command.
    Operator {
        /// Number of the exchange.
        call: u64,
    },
    /// An operator's read of the complete configuration.
    StoredConfig {
        /// Number of the exchange.
        call: u64,
    },
}

#[derive(Debug)]
struct Pending {
    purpose: Purpose,
    request: Request,
    deadline: Time,
    next_send: Time,
    sent_to: Option<Name>,
}

/// Sends requests to the keepers and tracks those in flight.
#[derive(Debug)]
pub struct KeeperClient {
    keepers: Vec<Name>,
    leader: Option<Name>,
    pending: BTreeMap<u64, Pending>,
    numbers: Numbers,
}

impl KeeperClient {
    /// For this incarnation of the process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            keepers: Vec::new(),
            leader: None,
            pending: BTreeMap::new(),
            numbers: Numbers::new(incarnation),
        }
    }

    /// A keeper is connected.
    pub fn connected(&mut self, keeper: &Name) {
        if !self.keepers.contains(keeper) {
            self.keepers.push(keeper.clone());
        }
    }

    /// A keeper is no longer connected.
    pub fn disconnected(&mut self, now: Time, keeper: &Name) {
        self.keepers.retain(|other| other != keeper);
        if self.leader.as_ref() == Some(keeper) {
            self.leader = None;
        }
        for pending in self.pending.values_mut() {
            if pending.sent_to.as_ref() == Some(keeper) {
                pending.next_send = now;
            }
        }
    }

    /// Number of unanswered requests.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Sends a request, and resends it until it is answered or its deadline passes.
    pub fn send(
        &mut self,
        now: Time,
        purpose: Purpose,
        request: Request,
        deadline: Time,
        out: &mut Effects,
    ) {
        let id = self.numbers.take();
        let pending = Pending { purpose, request, deadline, next_send: now, sent_to: None };
        self.pending.insert(id, pending);
        self.transmit(now, id, out);
    }

    /// Handles an answer; returns it with its purpose, or nothing if the request is still in flight.
    pub fn answer(&mut self, now: Time, id: u64, answer: Answer) -> Option<(Purpose, Answer)> {
        if let Answer::NotLeader(leader) = answer {
            let pending = self.pending.get_mut(&id)?;
            self.leader = leader.filter(|leader| self.keepers.contains(leader));
            pending.next_send = now + NO_LEADER_BACKOFF;
            return None;
        }
        let pending = self.pending.remove(&id)?;
        if pending.sent_to.is_some() {
            self.leader = pending.sent_to;
        }
        Some((pending.purpose, answer))
    }

    /// Resends requests that are due; returns the purposes of those whose deadline has passed.
    pub fn tick(&mut self, now: Time, out: &mut Effects) -> Vec<Purpose> {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.next_send <= now || pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut expired = Vec::new();
        for id in due {
            if self.pending.get(&id).is_some_and(|pending| pending.deadline <= now) {
                expired.extend(self.pending.remove(&id).map(|pending| pending.purpose));
            } else {
                self.transmit(now, id, out);
            }
        }
        expired
    }

    fn transmit(&mut self, now: Time, id: u64, out: &mut Effects) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.next_send = now + RESEND_AFTER;
        let next_keeper = || {
            let last = pending.sent_to.as_ref();
            let position = self.keepers.iter().position(|keeper| Some(keeper) == last);
            let next = position.map_or(id as usize, |position| position + 1);
            self.keepers.get(next % self.keepers.len().max(1)).cloned()
        };
        let untried_leader =
            self.leader.clone().filter(|leader| Some(leader) != pending.sent_to.as_ref());
        let Some(keeper) = untried_leader.or_else(next_keeper) else {
            return;
        };
        pending.sent_to = Some(keeper.clone());
        let frame = Frame::Request { id, request: pending.request.clone() };
        out.push(Effect::Send { to: keeper, frame });
    }
}
