//! The agent's reducer: the only client of its backend server.
//!
//! | file | what it does |
//! |---|---|
//! | `mod` | accepts or rejects runs |
//! | `output` | numbers response parts, buffers them until acknowledged, completes claims |
//! | `transfer` | moves cache blocks between the engine and the stores |
//! | `throttle` | enforces the rate limit that the server advertises |
//! | `order` | executes orders to load weights, checked by fencing token |
//!
//! A run that was cancelled before its start is recorded, so that a late frame cannot start it. The claim of a
//! run that must execute at most once is completed in the replicated log by the agent, the first to have the outcome.

mod order;
mod output;
mod throttle;
mod transfer;

use std::collections::{HashMap, HashSet, VecDeque};

use base::prelude::*;
use serde_json::{Value, json};
use wire::{CacheDelta, Digest, Frame, Load, Priority, Start, Work};

use crate::keeper_client::KeeperClient;
use crate::{Config, Effect, Effects, ServerEvent};
use order::Loading;
use output::HeldRun;
use throttle::RateLimit;
use transfer::Transfers;

/// How long a run is retained for an entry that is disconnected.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of rejected runs that are recorded; older ones are past every deadline by then.
const MAX_REJECTED_RUNS: usize = 100_000;
/// Retry delay sent with a rejection, milliseconds.
const REJECTION_RETRY_MS: u64 = 250;
/// A run is rejected if the queued prefill tokens exceed the entry's estimate by more than this many
/// tokens: other entries have chosen this server at the same time.
const MAX_EXCESS_PREFILL: u64 = 3_000;
/// Minimum prefill tokens of a run that is advertised to the entries immediately.
const MIN_ADVERTISED_PREFILL: u64 = 2_000;
/// Minimum computed tokens of a run from which the time per token is measured.
const MIN_MEASURED_TOKENS: u32 = 400;

/// Inputs to a decision besides the agent's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Time,
    /// Client for requests to the keepers.
    pub keepers: &'a mut KeeperClient,
}

/// The agent's reducer.
#[derive(Debug)]
pub struct Agent {
    incarnation: Incarnation,
    slots: usize,
    plain: bool,
    runs: HashMap<RunId, HeldRun>,
    rejected: HashSet<RunId>,
    rejected_order: VecDeque<RunId>,
    load: Load,
    rate_limit: RateLimit,
    token_ns: f64,
    stopping: bool,
    drained: bool,
    transfers: Transfers,
    loading: Option<Loading>,
    highest_token: Revision,
    entries: Vec<Name>,
    load_changed: bool,
}

impl Agent {
    /// An agent for a server, which holds this weight version.
    pub fn new(
        config: &Config,
        incarnation: Incarnation,
        server: &wire::ServerInfo,
        version: Name,
    ) -> Self {
        Self {
            incarnation,
            slots: server.slots as usize,
            plain: server.plain,
            runs: HashMap::new(),
            rejected: HashSet::new(),
            rejected_order: VecDeque::new(),
            load: Load { version, ..Load::default() },
            rate_limit: RateLimit::default(),
            token_ns: 0.0,
            stopping: false,
            drained: false,
            transfers: Transfers::new(config),
            loading: None,
            highest_token: Revision::default(),
            entries: Vec::new(),
            load_changed: false,
        }
    }

    /// Number of runs that an entry may still ask for.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Whether new work is rejected.
    pub fn leaving(&self) -> bool {
        self.stopping || self.drained || self.loading.is_some()
    }

    /// Whether shutdown was requested.
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// The load report for heartbeats.
    pub fn load(&self) -> Load {
        let (link_rate, link_queue) = self.transfers.rate();
        Load {
            held_runs: self.active() as u32,
            prefill: self.prefill(|_| true),
            prefill_ns_per_token: self.token_ns as u64,
            link_bytes_per_s: link_rate,
            link_queued_bytes: link_queue,
            avoided_stores: Vec::new(),
            permits: self.rate_limit.permits(),
            ..self.load.clone()
        }
    }

    /// Number of runs in flight for a peer.
    pub fn held_for(&self, peer: &Name) -> u32 {
        self.runs.values().filter(|held| held.entry == *peer && !held.done).count() as u32
    }

    /// Remaining prefill tokens of a peer's runs.
    pub fn prefill_for(&self, peer: &Name) -> [u64; 2] {
        self.prefill(|held| held.entry == *peer)
    }

    /// Remaining prefill tokens: of workspaces within their share, and over it.
    fn prefill(&self, filter: impl Fn(&HeldRun) -> bool) -> [u64; 2] {
        let mut sums = [0; 2];
        for held in self.runs.values() {
            if !held.done && held.first_token_at.is_none() && filter(held) {
                sums[usize::from(held.start.over_share)] += held.start.prefill;
            }
        }
        sums
    }

    /// Returns and resets whether the load has changed enough to advertise it immediately.
    pub fn take_load_changed(&mut self) -> bool {
        std::mem::take(&mut self.load_changed)
    }

    /// Rejects new work from now on, since the process stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Sets whether the server's record marks it as drained.
    pub fn drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    fn active(&self) -> usize {
        self.runs.values().filter(|held| !held.done).count()
    }

    /// A connection to an entry was established: sends it the contents of the caches.
    pub fn connected(&mut self, entry: &Name, out: &mut Effects) {
        if !self.entries.contains(entry) {
            self.entries.push(entry.clone());
        }
        for delta in self.transfers.snapshot() {
            out.push(Effect::Send { to: entry.clone(), frame: Frame::Cache(delta) });
        }
    }

    /// The last connection to a peer was lost.
    pub fn disconnected(&mut self, now: Time, peer: &Name) {
        self.entries.retain(|entry| entry != peer);
        for held in self.runs.values_mut().filter(|held| held.entry == *peer) {
            held.orphaned_at = Some(now);
        }
    }

    /// Handles a frame from an entry or a keeper.
    pub fn frame(&mut self, cx: &mut Context<'_>, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Start(start) => self.start(cx.now, peer, *start, out),
            Frame::Ack { run, seq } => self.ack(run, seq, out),
            Frame::Resume { run, seq } => self.resume(peer, run, seq, out),
            Frame::Cancel { run } => self.cancel(peer, run, out),
            Frame::Order { token, incarnation: to, version } => {
                self.handle_order(token, to, version, out);
            }
            _ => {}
        }
    }

    /// Handles an event of the backend server.
    pub fn server(&mut self, cx: &mut Context<'_>, event: ServerEvent, out: &mut Effects) {
        match event {
            ServerEvent::Load(load) => self.handle_load(cx.now, load, out),
            ServerEvent::Part { run, part } => self.part(cx.now, run, part, out),
            ServerEvent::Done { run, computed, cached } => {
                self.measure(run, computed);
                self.save_blocks(cx.now, run, out);
                self.finish(cx, run, Code::Ok, (computed, cached), out);
            }
            ServerEvent::Failed { run, sent: false, code } => {
                if let Some(held) = self.runs.remove(&run) {
                    self.reject(&held.entry, run, code, out);
                }
            }
            ServerEvent::Failed { run, sent: true, code } => {
                self.finish(cx, run, code, (0, 0), out);
            }
            ServerEvent::Fetched { key, store, result } => {
                self.transfers.fetched(cx.now, &key, &store, result);
                self.fetch_ended(cx.now, &key, out);
            }
            ServerEvent::Saved { key, store, generation, result } => {
                let delta = self.transfers.saved(cx.now, &key, &store, generation, result);
                self.advertise(delta, out);
                self.transfers.save_queued(cx.now, out);
            }
            ServerEvent::Cache { from, events } => {
                let delta = self.transfers.events(from, &events, out);
                self.advertise(delta, out);
            }
            ServerEvent::CacheList { next, keys } => {
                let delta = self.transfers.listed(next, keys);
                self.advertise(Some(delta), out);
            }
            ServerEvent::Ordered { token, ok } => self.order_answered(token, ok),
        }
    }

    /// Performs periodic work.
    pub fn tick(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        let now = cx.now;
        let mut expired = Vec::new();
        let mut late = Vec::new();
        for (id, held) in &self.runs {
            let orphaned = held.orphaned_at.is_some_and(|at| now.since(at) >= ORPHAN_TIMEOUT);
            if orphaned && !held.done && !held.start.idempotent {
                // Its outcome is recorded although nobody acknowledges its parts.
                out.push(Effect::Acked { run: *id, seq: u64::MAX });
            }
            if orphaned && (held.start.idempotent || held.done) {
                expired.push((*id, true));
            } else if now > held.deadline && !held.aborted && held.start.idempotent {
                expired.push((*id, false));
            } else if !held.fetching.is_empty() && self.transfers.is_late(now, &held.fetching) {
                late.push(*id);
            }
        }
        for (id, remove) in expired {
            self.abort(id, out);
            if remove {
                self.runs.remove(&id);
            }
        }
        for id in late {
            self.serve(now, id, out);
        }
        let deltas = self.transfers.tick(now, self.plain, out);
        for delta in deltas {
            self.advertise(Some(delta), out);
        }
        self.load_when_drained(out);
        self.load_changed |= self.rate_limit.tick(now);
    }

    fn advertise(&self, delta: Option<CacheDelta>, out: &mut Effects) {
        let Some(delta) = delta else {
            return;
        };
        for entry in &self.entries {
            let frame = Frame::Cache(delta.clone());
            out.push(Effect::Send { to: entry.clone(), frame });
        }
    }

    fn start(&mut self, now: Time, peer: &Name, start: Start, out: &mut Effects) {
        let run = start.run;
        if self.runs.contains_key(&run) {
            return;
        }
        if self.rejected.contains(&run) || start.incarnation != self.incarnation {
            self.reject(peer, run, Code::Cancelled, out);
            return;
        }
        if self.leaving() {
            self.reject(peer, run, Code::Draining, out);
            return;
        }
        if self.active() >= self.slots {
            self.reject(peer, run, Code::Overloaded, out);
            return;
        }
        // Several entries may have chosen this server at the same time: all runs but the first are better placed
        // elsewhere.
        let [within, over] = self.prefill(|_| true);
        let queued = if start.over_share { within + over } else { within };
        if queued > start.queued_tokens.saturating_add(MAX_EXCESS_PREFILL) {
            self.load_changed = true;
            self.reject(peer, run, Code::Overloaded, out);
            return;
        }
        self.load_changed |= start.prefill >= MIN_ADVERTISED_PREFILL;
        let wrong_version = matches!(&start.work, Work::Prompt(prompt)
            if !prompt.version.is_empty() && prompt.version != self.load.version);
        if wrong_version {
            self.reject(peer, run, Code::NoServer, out);
            return;
        }
        if !self.rate_limit.take(now) {
            self.reject(peer, run, Code::Overloaded, out);
            return;
        }
        let fetching = self.transfers.begin(now, &start.fetch, out);
        let held = HeldRun {
            entry: peer.clone(),
            deadline: now + Duration::from_millis(start.left_ms),
            start,
            fetching,
            served_at: None,
            first_token_at: None,
            next_seq: 0,
            unacked: VecDeque::new(),
            digest: Digest::default(),
            response: Vec::new(),
            head: None,
            done: false,
            aborted: false,
            orphaned_at: None,
        };
        let ready = held.fetching.is_empty();
        self.runs.insert(run, held);
        if ready {
            self.serve(now, run, out);
        }
    }

    fn serve(&mut self, now: Time, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        held.fetching.clear();
        held.served_at = Some(now);
        let over_share = held.start.over_share;
        // High priority has no effect for a workspace that is over its share.
        let class = match held.start.priority {
            Priority::High if over_share => Priority::Normal,
            class => class,
        };
        let priority = 2 * class as u8 + u8::from(!over_share);
        let time = held.start.idempotent.then(|| held.deadline.since(now));
        out.push(Effect::Serve { run, priority, time, work: held.start.work.clone() });
    }

    fn fetch_ended(&mut self, now: Time, key: &cache::Key, out: &mut Effects) {
        let mut ready = Vec::new();
        for (id, held) in &mut self.runs {
            if held.fetching.remove(key) && held.fetching.is_empty() {
                ready.push(*id);
            }
        }
        ready.sort_unstable();
        for id in ready {
            self.serve(now, id, out);
        }
    }

    /// Updates the estimated time per prompt token from a run. Lower samples weigh more, since waiting behind
    /// other prompts only adds to the time.
    fn measure(&mut self, run: RunId, computed: u32) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let (Some(served), Some(first)) = (held.served_at, held.first_token_at) else {
            return;
        };
        if computed < MIN_MEASURED_TOKENS {
            return;
        }
        let sample = first.since(served).as_nanos() as f64 / f64::from(computed);
        if self.token_ns == 0.0 {
            self.token_ns = sample;
            return;
        }
        let smoothing = if sample < self.token_ns { 0.5 } else { 0.02 };
        self.token_ns += smoothing * (sample - self.token_ns);
    }

    fn save_blocks(&mut self, now: Time, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let (save, save_if_free) = (held.start.save.clone(), held.start.save_if_free.clone());
        self.transfers.save(now, &save, &save_if_free, out);
    }

    fn reject(&mut self, peer: &Name, run: RunId, code: Code, out: &mut Effects) {
        if self.rejected.insert(run) {
            self.rejected_order.push_back(run);
        }
        if self.rejected_order.len() > MAX_REJECTED_RUNS
            && let Some(oldest) = self.rejected_order.pop_front()
        {
            self.rejected.remove(&oldest);
        }
        let frame = Frame::Rejected { run, code, retry_ms: REJECTION_RETRY_MS };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// Cancels a run, or confirms to the entry that it will never start.
    fn cancel(&mut self, peer: &Name, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            self.reject(peer, run, Code::Cancelled, out);
            return;
        };
        if held.served_at.is_none() {
            self.runs.remove(&run);
            self.reject(peer, run, Code::Cancelled, out);
        } else if held.start.idempotent {
            self.abort(run, out);
        }
    }

    fn abort(&mut self, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        if !held.done && !held.aborted && held.served_at.is_some() {
            held.aborted = true;
            out.push(Effect::Abort { run });
        }
    }

    /// The agent's state as JSON.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "leaving": self.leaving(),
            "drained": self.drained,
            "loading": self.loading.as_ref().map(|loading| &*loading.version),
            "highest_token": self.highest_token.to_string(),
            "slots": self.slots,
            "runs": self.runs.len(),
            "active": self.active(),
            "refused": self.rejected.len(),
            "version": &*self.load.version,
            "token_ns": self.token_ns as u64,
            "transfers": self.transfers.dump(now),
        })
    }
}
