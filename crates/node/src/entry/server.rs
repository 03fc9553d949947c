//! An entry's view of a backend server, from its agent's reports.

use base::prelude::*;
use limit::Breaker;
use serde_json::{Value, json};
use wire::{Heartbeat, Hello, Load};

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The agent's hello.
    pub hello: Hello,
    /// When the connection was lost; none while connected.
    pub disconnected_at: Option<Time>,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Whether its agent has an up-to-date configuration.
    pub ready: bool,
    /// Last load report.
    pub load: Load,
    /// Runs of this entry in flight there.
    pub own_runs: usize,
    /// Prefill tokens of its runs without a first token: of workspaces within their share, and over it.
    pub own_prefill: [u64; 2],
    /// Runs of other entries, as of the last heartbeat.
    pub other_runs: usize,
    /// Prefill tokens of other entries' runs, as of the last heartbeat.
    pub other_prefill: [u64; 2],
    /// Circuit breaker for failures and slowness.
    pub breaker: Breaker,
}

impl Server {
    /// A server whose agent has just connected.
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            disconnected_at: None,
            leaving: false,
            ready: false,
            load: Load::default(),
            own_runs: 0,
            own_prefill: [0; 2],
            other_runs: 0,
            other_prefill: [0; 2],
            breaker: Breaker::default(),
        }
    }

    /// Handles a heartbeat. The report lags, so the load from other entries is the reported total minus what
    /// it reports as this entry's own.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.leaving = heartbeat.leaving;
        self.ready = heartbeat.ready;
        let Some(load) = &heartbeat.load else {
            return;
        };
        self.load = load.clone();
        self.other_runs = (load.held_runs as usize).saturating_sub(heartbeat.held_runs as usize);
        for part in 0..2 {
            self.other_prefill[part] =
                load.prefill[part].saturating_sub(heartbeat.held_prefill[part]);
        }
    }

    /// Records that a run was sent there.
    pub fn run_sent(&mut self) {
        self.own_runs += 1;
        self.breaker.sent();
        if let Some(permits) = &mut self.load.permits {
            *permits = permits.saturating_sub(1);
        }
    }

    /// It rejected a run for lack of capacity, so the estimate of the other entries' runs is stale: assume
    /// that they fill the remaining slots.
    pub fn rejected_for_capacity(&mut self) {
        self.other_runs = self.other_runs.max(self.slots().saturating_sub(self.own_runs));
    }

    /// Whether new work may be sent there.
    pub fn usable(&self, now: Time) -> bool {
        let has_permit = self.load.permits != Some(0);
        self.disconnected_at.is_none()
            && self.ready
            && !self.leaving
            && has_permit
            && self.breaker.allows(now)
    }

    /// Maximum number of concurrent runs.
    pub fn slots(&self) -> usize {
        self.hello.server.as_ref().map_or(0, |server| server.slots as usize)
    }

    /// Prefill tokens queued before those of a new run.
    pub fn queued_tokens(&self, over_share: bool) -> u64 {
        let parts = if over_share { 0..2 } else { 0..1 };
        parts.map(|part| self.own_prefill[part] + self.other_prefill[part]).sum()
    }

    /// Runs in flight, of all entries.
    pub fn in_flight(&self) -> usize {
        self.own_runs + self.other_runs
    }

    /// The server's state as JSON.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "name": &*self.hello.name,
            "zone": &*self.hello.zone,
            "serves": self.hello.server.as_ref().map(|server| &*server.serves),
            "version": &*self.load.version,
            "usable": self.usable(now),
            "leaving": self.leaving,
            "linked": self.disconnected_at.is_none(),
            "breaker_open": self.breaker.is_open(),
            "slots": self.slots(),
            "own": self.own_runs,
            "others": self.other_runs,
            "limit": self.load.limit.map(|limit| fleet::Limit(limit).per_second()),
            "permits": self.load.permits,
            "prefill": self.queued_tokens(true),
            "token_ns": self.load.prefill_ns_per_token,
            "link_rate": self.load.link_bytes_per_s,
            "link_queue": self.load.link_queued_bytes,
        })
    }
}
