//! Orders to load a weight version.
//!
//! The agent is the only one who orders its server, so a server that ignores fencing tokens is
//! protected by the agent: it obeys only orders for its own life, and only with a token at least as
//! high as the highest it has seen.

use base::prelude::*;
use fleet::Limit;
use wire::Load;

use super::Agent;
use crate::{Effect, Effects};

/// An order that is being carried out.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub token: Revision,
    pub load: Name,
    pub sent: bool,
}

impl Agent {
    pub(super) fn ordered(
        &mut self,
        token: Revision,
        to: Incarnation,
        load: Name,
        out: &mut Effects,
    ) {
        if to != self.incarnation || token < self.highest {
            return;
        }
        self.highest = token;
        let same = self.loading.as_ref().is_some_and(|loading| loading.token == token);
        if same || self.load.version == load {
            return;
        }
        self.loading = Some(Loading { token, load, sent: false });
        self.load_when_empty(out);
    }

    /// Gives the order to the server once the runs of the old version have ended.
    pub(super) fn load_when_empty(&mut self, out: &mut Effects) {
        let empty = self.runs.values().all(|held| held.done);
        let Some(loading) = &mut self.loading else {
            return;
        };
        if empty && !loading.sent {
            loading.sent = true;
            out.push(Effect::Order { token: loading.token, load: loading.load.clone() });
        }
    }

    pub(super) fn order_answered(&mut self, token: Revision, ok: bool) {
        if !ok && self.loading.as_ref().is_some_and(|loading| loading.token == token) {
            // The server has seen a newer token; the leader's next word decides.
            self.loading = None;
        }
    }

    pub(super) fn loaded(&mut self, now: Time, load: Load, out: &mut Effects) {
        self.gate.reported(now, load.limit.map(Limit));
        if load.version != self.load.version {
            // Blocks of the old version are of no use to new runs; the engine's own list decides.
            self.transfers.relist(out);
        }
        self.load = load;
        if self.loading.as_ref().is_some_and(|loading| loading.load == self.load.version) {
            self.loading = None;
        }
    }
}
