//! The list of servers: one process reads it and tells the others.
//!
//! The platform answers few calls, so the leader among the keepers reads for all. An entry that has
//! heard no list for a while reads it itself: a server that leaves must be seen also by those whom
//! the leader does not reach.

use base::prelude::*;
use cache::salt_number;
use fleet::Listed;
use rand::Rng;
use wire::List;

use super::{Context, ControlCall, Forward};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Readings after which the whole list is told again, for those who missed it.
const WHOLE_EVERY: u32 = 4;
/// Least age of the list, in readings, at which an entry reads it itself; spread up to twice that.
const OWN_AFTER: f64 = 1.6;
/// Readings that an entry leaves out after one that failed, doubled up to this: the platform answers few
/// calls, and those of the leader bring the list to all.
const MOST_LEFT_OUT: u32 = 2;

/// What is told of the list.
#[derive(Debug, Default)]
pub(super) struct ListState {
    next: Time,
    pending: bool,
    /// When the last reading of this process began.
    begun: Time,
    /// When the reader last told what is in use.
    told: Option<Time>,
    /// Readings of this process that have failed since one succeeded.
    failed: u32,
    /// Checksum of the list in use.
    sum: u64,
    /// As the leader: readings since the whole list was told.
    since_whole: u32,
    news: Option<List>,
}

impl Forward {
    /// Reads the list if it is due.
    pub(super) fn read_list(&mut self, cx: &Context<'_>, out: &mut Effects) {
        if cx.now >= self.list_state.next && !self.list_state.pending {
            self.list_state.pending = true;
            self.list_state.begun = cx.now;
            self.list_state.next = cx.now + self.config.list_interval;
            out.push(Effect::Call(ControlCall::ReadList));
        }
    }

    /// The list was read here, or could not be.
    pub(super) fn listed(
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
                    let readings = 2_u32.saturating_pow(self.list_state.failed).min(MOST_LEFT_OUT);
                    let wait = f64::from(readings) * self.rng.random_range(1.0..2.0);
                    self.list_state.next = cx.now + self.config.list_interval.mul_f64(wait);
                }
                self.list_state.failed += 1;
                let age = self
                    .servers
                    .read_at()
                    .map_or(cx.now.0, |at| cx.now.since(at).as_micros() as u64);
                let note = Decision::ListUnavailable { error, age_ms: age / 1_000 };
                out.push(Effect::Decision(Box::new(note)));
                return;
            }
        };
        self.list_state.failed = 0;
        if cx.term.is_none() && self.list_state.told > Some(self.list_state.begun) {
            // What the reader told meanwhile is most likely newer, and it tells again in a second.
            return;
        }
        let servers: Vec<wire::Listed> = list.iter().map(told).collect();
        let sum = salt_number(&format!("{servers:?}"));
        if cx.term.is_some() {
            self.list_state.since_whole += 1;
            let whole = sum != self.list_state.sum || self.list_state.since_whole >= WHOLE_EVERY;
            if whole {
                self.list_state.since_whole = 0;
            }
            self.list_state.news = Some(List { checksum: sum, servers: whole.then_some(servers) });
        }
        self.list_state.sum = sum;
        self.take_list(cx.now, list, out);
    }

    /// What this process, as the reader of the list, has to tell the entries.
    pub fn take_list_update(&mut self) -> Option<List> {
        self.list_state.news.take()
    }

    /// The reader told the list.
    pub fn list_advertised(&mut self, now: Time, list: List, out: &mut Effects) {
        match list.servers {
            Some(servers) => {
                self.list_state.sum = list.checksum;
                self.take_list(now, servers.into_iter().map(heard).collect(), out);
            }
            // It is not the list that is known here: this process reads it itself in time.
            None if list.checksum != self.list_state.sum => return,
            None => self.servers.mark_unchanged(now),
        }
        self.list_state.told = Some(now);
        let wait = self.config.list_interval.mul_f64(OWN_AFTER * self.rng.random_range(1.0..2.0));
        self.list_state.next = now + wait;
    }

    fn take_list(&mut self, now: Time, list: Vec<Listed>, out: &mut Effects) {
        let before = self.shape();
        self.servers.apply_list(now, list);
        let (servers, leaving) = self.shape();
        if (servers, leaving) != before {
            out.push(Effect::Decision(Box::new(Decision::Listed { servers, leaving })));
        }
    }

    fn shape(&self) -> (usize, usize) {
        let leaving = self.servers.iter().filter(|(_, server)| server.listed.leaving).count();
        (self.servers.iter().count(), leaving)
    }
}

fn told(listed: &Listed) -> wire::Listed {
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
    }
}

fn heard(listed: wire::Listed) -> Listed {
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
    }
}
