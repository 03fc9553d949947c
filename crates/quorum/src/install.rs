//! Snapshots: made here, or taken from a leader part by part.

use std::sync::Arc;

use base::prelude::*;

use crate::{Member, Message, Output, Replica, Snapshot};

impl Replica {
    pub(crate) fn snapshotted(&mut self, index: u64, data: Arc<[u8]>, out: &mut Vec<Output>) {
        self.snapshotting = false;
        let Some(term) = self.log.term(index) else {
            return;
        };
        let config = self.config_at(index);
        let snapshot = Snapshot { index, term, epoch: self.epoch, config, data };
        self.log.compact(index, term);
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot, out);
    }

    pub(crate) fn install(
        &mut self,
        from: &Member,
        part: Snapshot,
        offset: u64,
        total: u64,
        sent: Time,
        out: &mut Vec<Output>,
    ) {
        let term = self.hard_state.term;
        let index = part.index;
        if index <= self.commit && !self.is_uninitialized() {
            let message = Message::Installed { term, index, offset: total, sent };
            self.send_after_persist(from.clone(), message, out);
            return;
        }
        let known = self.incoming.as_ref().is_some_and(|(found, _)| found.index == index);
        if !known {
            self.incoming = Some((part.clone(), Vec::new()));
        }
        let Some((_, bytes)) = &mut self.incoming else {
            return;
        };
        if offset == bytes.len() as u64 {
            bytes.extend_from_slice(&part.data);
        }
        let have = bytes.len() as u64;
        if have >= total {
            let data = Arc::from(std::mem::take(bytes));
            self.incoming = None;
            self.replace_with(Snapshot { data, ..part }, out);
        }
        let message = Message::Installed { term, index, offset: have, sent };
        self.send_after_persist(from.clone(), message, out);
    }

    /// Puts a snapshot in the place of everything before it.
    pub(crate) fn replace_with(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        self.log.compact(snapshot.index, snapshot.term);
        self.persist_indexes.clear();
        self.persisted_index = self.persisted_index.clamp(snapshot.index, self.log.last_index());
        self.commit = self.commit.max(snapshot.index);
        self.applied = snapshot.index;
        self.epoch = snapshot.epoch;
        self.snapshotting = false;
        self.snapshot = Some(snapshot.clone());
        self.refresh_config();
        self.persist_snapshot(snapshot.clone(), out);
        out.push(Output::Restore(snapshot));
    }

    /// Asks for a new base on the disk: everything that is needed besides the snapshot goes along.
    fn persist_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let rest = self.log.iter().cloned().collect();
        self.persist(Some(self.hard_state.clone()), rest, Some(snapshot), out);
    }
}
