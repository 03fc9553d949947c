//! A backend server as an entry sees it, through its agent.

use base::prelude::*;
use limit::Breaker;
use serde_json::{Value, json};
use wire::{Heartbeat, Hello, Load};

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What its agent said of itself.
    pub hello: Hello,
    /// When the link went down, if it is down.
    pub lost: Option<Time>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether its agent has read the agreed configuration.
    pub ready: bool,
    /// Last load report.
    pub load: Load,
    /// Runs that this entry has on it.
    pub own: usize,
    /// Prompt tokens of those that have no first token yet, within shares and over them.
    pub own_prefill: [u64; 2],
    /// Runs of other entries, by the last heartbeat.
    pub others: usize,
    /// Prompt tokens of other entries' runs, by the last heartbeat.
    pub others_prefill: [u64; 2],
    /// Leaves it alone when it fails or is slow.
    pub breaker: Breaker,
}

impl Server {
    /// A server that was just met.
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            lost: None,
            leaving: false,
            ready: false,
            load: Load::default(),
            own: 0,
            own_prefill: [0; 2],
            others: 0,
            others_prefill: [0; 2],
            breaker: Breaker::default(),
        }
    }

    /// Takes a heartbeat. The report lags, so what others do is what it says beyond our own.
    pub fn beat(&mut self, beat: &Heartbeat) {
        self.leaving = beat.leaving;
        self.ready = beat.ready;
        let Some(load) = &beat.load else {
            return;
        };
        self.load = load.clone();
        self.others = (load.held_runs as usize).saturating_sub(beat.held_runs as usize);
        for part in 0..2 {
            self.others_prefill[part] = load.prefill[part].saturating_sub(beat.held_prefill[part]);
        }
    }

    /// A run goes there.
    pub fn sent(&mut self) {
        self.own += 1;
        self.breaker.sent();
        if let Some(permits) = &mut self.load.permits {
            *permits = permits.saturating_sub(1);
        }
    }

    /// It has refused for want of room: what we knew of the others was old.
    pub fn refused(&mut self) {
        self.others = self.others.max(self.slots().saturating_sub(self.own));
    }

    /// Whether new work may go there.
    pub fn usable(&self, now: Time) -> bool {
        let takes = self.load.permits != Some(0);
        self.lost.is_none() && self.ready && !self.leaving && takes && self.breaker.allows(now)
    }

    /// Most runs at once.
    pub fn slots(&self) -> usize {
        self.hello.server.as_ref().map_or(0, |server| server.slots as usize)
    }

    /// Prompt tokens that are computed before those of a new run.
    pub fn ahead(&self, over_share: bool) -> u64 {
        let parts = if over_share { 0..2 } else { 0..1 };
        parts.map(|part| self.own_prefill[part] + self.others_prefill[part]).sum()
    }

    /// Runs under way, of all entries.
    pub fn running(&self) -> usize {
        self.own + self.others
    }

    /// The server as JSON.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "name": &*self.hello.name,
            "zone": &*self.hello.zone,
            "serves": self.hello.server.as_ref().map(|server| &*server.serves),
            "version": &*self.load.version,
            "usable": self.usable(now),
            "leaving": self.leaving,
            "linked": self.lost.is_none(),
            "breaker_open": self.breaker.is_open(),
            "slots": self.slots(),
            "own": self.own,
            "others": self.others,
            "limit": self.load.limit.map(|limit| fleet::Limit(limit).per_second()),
            "permits": self.load.permits,
            "prefill": self.ahead(true),
            "token_ns": self.load.prefill_ns_per_token,
            "link_rate": self.load.link_bytes_per_s,
            "link_queue": self.load.link_queued_bytes,
        })
    }
}
