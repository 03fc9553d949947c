//! Snapshots: created locally, or received from the leader in chunks.

use std::sync::Arc;

use base::prelude::*;

use crate::{Member, Message, Output, Replica, Snapshot};

impl Replica {
    pub(crate) fn handle_snapshotted(
        &mut self,
        index: u64,
        data: Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        self.snapshot_pending = false;
        let Some(term) = self.log.term(index) else {
            return;
        };
        let config = self.config_at(index);
        let snapshot = Snapshot { index, term, epoch: self.epoch, config, data };
        self.log.compact(index, term);
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot, out);
    }

    pub(crate) fn handle_install(
        &mut self,
        from: &Member,
        chunk: Snapshot,
        offset: u64,
        total: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        let index = chunk.index;
        if index <= self.commit && !self.is_uninitialized() {
            let message = Message::Installed { term, index, offset: total, sent };
            self.send_after_persist(from.clone(), message, out);
            return;
        }
        // Two leaders may encode the same state differently.
        let partial = self.partial_snapshot.as_ref();
        let started = partial.is_some_and(|(found, sender, _)| (*found, *sender) == (index, term));
        if !started {
            self.partial_snapshot = Some((index, term, Vec::new()));
        }
        let Some((.., bytes)) = &mut self.partial_snapshot else {
            return;
        };
        if offset == bytes.len() as u64 {
            bytes.extend_from_slice(&chunk.data);
        }
        let received = bytes.len() as u64;
        if received >= total {
            let data = Arc::from(std::mem::take(bytes));
            self.partial_snapshot = None;
            self.replace_with(Snapshot { data, ..chunk }, out);
        }
        let message = Message::Installed { term, index, offset: received, sent };
        self.send_after_persist(from.clone(), message, out);
    }

    /// Replaces the state machine and the log up to the snapshot's index by the snapshot.
    pub(crate) fn replace_with(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        self.log.compact(snapshot.index, snapshot.term);
        self.persist_indexes.clear();
        self.persisted_index = self.persisted_index.clamp(snapshot.index, self.log.last_index());
        self.commit = self.commit.max(snapshot.index);
        self.applied = snapshot.index;
        self.epoch = snapshot.epoch;
        self.snapshot_pending = false;
        self.snapshot = Some(snapshot.clone());
        self.refresh_config();
        self.persist_snapshot(snapshot.clone(), out);
        out.push(Output::Restore(snapshot));
    }

    /// Requests that the snapshot replace the files on disk. The write includes the hard state and the
    /// remaining log entries, since nothing written before is kept.
    fn persist_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let rest = self.log.iter().cloned().collect();
        self.persist(Some(self.hard_state.clone()), rest, Some(snapshot), out);
    }
}
