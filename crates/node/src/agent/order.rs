//! Orders to load a weight version.
//!
//! Only the agent sends orders to its server, so it also protects a server that ignores fencing tokens: it
//! accepts only orders for its own incarnation, and only with a token that is not lower than the highest it
//! has seen.

use base::prelude::*;
use fleet::Limit;
use wire::Load;

use super::Agent;
use crate::{Effect, Effects};

/// An order that is being carried out.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub token: Revision,
    pub version: Name,
    pub sent: bool,
}

impl Agent {
    pub(super) fn handle_order(
        &mut self,
        token: Revision,
        to: Incarnation,
        version: Name,
        out: &mut Effects,
    ) {
        if to != self.incarnation || token < self.highest_token {
            return;
        }
        self.highest_token = token;
        let already_loading = self.loading.as_ref().is_some_and(|loading| loading.token == token);
        if already_loading || self.load.version == version {
            return;
        }
        self.loading = Some(Loading { token, version, sent: false });
        self.load_when_drained(out);
    }

    /// Sends the order to the server after all runs on the old version have ended.
    pub(super) fn load_when_drained(&mut self, out: &mut Effects) {
        let drained = self.runs.values().all(|held| held.done);
        let Some(loading) = &mut self.loading else {
            return;
        };
        if drained && !loading.sent {
            loading.sent = true;
            out.push(Effect::Order { token: loading.token, load: loading.version.clone() });
        }
    }

    pub(super) fn order_answered(&mut self, token: Revision, ok: bool) {
        if !ok && self.loading.as_ref().is_some_and(|loading| loading.token == token) {
            // The server has seen a newer token; wait for the leader's next order.
            self.loading = None;
        }
    }

    pub(super) fn handle_load(&mut self, now: Time, load: Load, out: &mut Effects) {
        self.rate_limit.reported(now, load.limit.map(Limit));
        if load.version != self.load.version {
            // New runs can't use blocks of the old version: read the engine's list of blocks again.
            self.transfers.relist(out);
        }
        self.load = load;
        if self.loading.as_ref().is_some_and(|loading| loading.version == self.load.version) {
            self.loading = None;
        }
    }
}
