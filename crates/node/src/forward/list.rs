//! The list of servers: one process reads it and advertises it to the others.
//!
//! The platform answers few calls, so the leader among the keepers reads the list for all entries. An
//! entry that has not received the list for some time reads it itself: an entry that the leader does
//! not reach must also learn of servers that leave.

use base::prelude::*;
use cache::salt_number;
use fleet::Listed;
use rand::Rng;
use wire::List;

use super::{Context, ControlCall, Forward};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Number of reads after which the complete list is advertised again, for entries that missed it.
const FULL_EVERY: u32 = 4;
/// Minimum age of the list, in read intervals, at which an entry reads it itself; jitter raises it to up to
/// twice that.
const OWN_READ_AFTER: f64 = 1.6;
/// Maximum number of read intervals that an entry skips after a failed read. The number doubles with each
/// failure: the platform answers few calls, and those of the leader provide the list to all entries.
const MAX_SKIPPED: u32 = 2;

/// State of reading and advertising the list.
#[derive(Debug, Default)]
pub(super) struct ListState {
    next_read: Time,
    pending: bool,
    /// When the last read of this process began.
    read_began: Time,
    /// When the advertised list, or its checksum, was last received.
    received: Option<Time>,
    /// Number of failed reads of this process since the last successful one.
    failures: u32,
    /// Checksum of the list in use.
    checksum: u64,
    /// As the leader: number of reads since the complete list was advertised.
    reads_since_full: u32,
    update: Option<List>,
}

impl Forward {
    /// Reads the list if it is due.
    pub(super) fn read_list(&mut self, cx: &Context<'_>, out: &mut Effects) {
        if cx.now >= self.list_state.next_read && !self.list_state.pending {
            self.list_state.pending = true;
            self.list_state.read_began = cx.now;
            self.list_state.next_read = cx.now + self.config.list_interval;
            out.push(Effect::Call(ControlCall::ReadList));
        }
    }

    /// This process has read the list, or failed to.
    pub(super) fn list_read(
        &mut self,
        cx: &Context<'_>,
        list: Result<Vec<Listed>, String>,
        out: &mut Effects,
    ) {
        self.list_state.pending = false;
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                if cx.term.is_none() {
                    let skipped = 2_u32.saturating_pow(self.list_state.failures).min(MAX_SKIPPED);
                    let wait = f64::from(skipped) * self.rng.random_range(1.0..2.0);
                    self.list_state.next_read = cx.now + self.config.list_interval.mul_f64(wait);
                }
                self.list_state.failures += 1;
                let age = self
                    .servers
                    .read_at()
                    .map_or(cx.now.0, |at| cx.now.since(at).as_micros() as u64);
                let note = Decision::ListUnavailable { error, age_ms: age / 1_000 };
                out.push(Effect::Decision(Box::new(note)));
                return;
            }
        };
        self.list_state.failures = 0;
        if cx.term.is_none() && self.list_state.received > Some(self.list_state.read_began) {
            // The list received in the meantime is most likely newer, and the next one is received soon.
            return;
        }
        let servers: Vec<wire::Listed> = list.iter().map(to_wire).collect();
        let sum = salt_number(&format!("{servers:?}"));
        if cx.term.is_some() {
            self.list_state.reads_since_full += 1;
            let full =
                sum != self.list_state.checksum || self.list_state.reads_since_full >= FULL_EVERY;
            if full {
                self.list_state.reads_since_full = 0;
            }
            self.list_state.update = Some(List { checksum: sum, servers: full.then_some(servers) });
        }
        self.list_state.checksum = sum;
        self.apply_list(cx.now, list, out);
    }

    /// The update to advertise to the entries, if this process is the reader of the list.
    pub fn take_list_update(&mut self) -> Option<List> {
        self.list_state.update.take()
    }

    /// Applies the list that the reader advertised.
    pub fn list_advertised(&mut self, now: Time, list: List, out: &mut Effects) {
        match list.servers {
            Some(servers) => {
                self.list_state.checksum = list.checksum;
                self.apply_list(now, servers.into_iter().map(from_wire).collect(), out);
            }
            // The list differs from the one in use: unless the complete one arrives, this process reads it
            // itself when its own read is due.
            None if list.checksum != self.list_state.checksum => return,
            None => self.servers.mark_unchanged(now),
        }
        self.list_state.received = Some(now);
        let wait =
            self.config.list_interval.mul_f64(OWN_READ_AFTER * self.rng.random_range(1.0..2.0));
        self.list_state.next_read = now + wait;
    }

    fn apply_list(&mut self, now: Time, list: Vec<Listed>, out: &mut Effects) {
        let before = self.server_counts();
        self.servers.apply_list(now, list);
        self.check_origins(now);
        let (servers, leaving) = self.server_counts();
        if (servers, leaving) != before {
            out.push(Effect::Decision(Box::new(Decision::Listed { servers, leaving })));
        }
    }

    fn server_counts(&self) -> (usize, usize) {
        let leaving = self.servers.iter().filter(|(_, server)| server.listed.leaving).count();
        (self.servers.iter().count(), leaving)
    }
}

fn to_wire(listed: &Listed) -> wire::Listed {
    wire::Listed {
        id: listed.id.clone(),
        born: listed.born,
        service: listed.service.clone(),
        addr: listed.addr,
        zone: listed.zone.clone(),
        slots: listed.slots,
        leaving: listed.leaving,
        cold_ms: listed.cold.as_millis() as u32,
        models: listed.models.clone(),
        software: listed.software.clone(),
    }
}

fn from_wire(listed: wire::Listed) -> Listed {
    Listed {
        id: listed.id,
        born: listed.born,
        service: listed.service,
        addr: listed.addr,
        zone: listed.zone,
        slots: listed.slots,
        leaving: listed.leaving,
        cold: Duration::from_millis(u64::from(listed.cold_ms)),
        models: listed.models,
        software: listed.software,
    }
}
