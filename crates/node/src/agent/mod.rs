//! The agent's reducer: the one door to the backend server beside it.
//!
//! | file | what it does |
//! |---|---|
//! | `mod` | takes runs or refuses them |
//! | `output` | numbers the parts of answers, keeps them until acknowledged, settles claims |
//! | `transfer` | moves cache blocks between the engine and the stores |
//! | `throttle` | keeps to the rate limit that the server names |
//! | `order` | obeys orders to load weights, newest fencing token first |
//!
//! A run that was cancelled before its start is written down, so that a late frame cannot start it.
//! A run that may be done only once is settled in the agreed log by the agent, since it knows first.

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
use output::Held;
use throttle::Gate;
use transfer::Transfers;

/// How long a run is kept for an entry whose link is down.
const ORPHAN: Duration = Duration::from_secs(10);
/// How many refused runs are remembered; older ones are past every deadline by then.
const REFUSED_KEPT: usize = 100_000;
/// Wait named in a refusal of a full server.
const FULL_RETRY_MS: u64 = 250;
/// Prompt tokens ahead, beyond what the entry believes, at which a run is refused.
const CROWD: u64 = 3_000;
/// Prompt tokens of a run that other entries should hear of at once.
const TELLING_PREFILL: u64 = 2_000;
/// Least computed tokens of a run that tell the time per token.
const TELLING_TOKENS: u32 = 400;

/// What a decision needs besides the agent's own state.
#[derive(Debug)]
pub struct Context<'a> {
    /// The present time.
    pub now: Time,
    /// Requests to the keepers.
    pub keepers: &'a mut KeeperClient,
}

/// The agent's reducer.
#[derive(Debug)]
pub struct Agent {
    incarnation: Incarnation,
    slots: usize,
    plain: bool,
    runs: HashMap<RunId, Held>,
    refused: HashSet<RunId>,
    refused_order: VecDeque<RunId>,
    load: Load,
    gate: Gate,
    token_ns: f64,
    stopping: bool,
    drained: bool,
    transfers: Transfers,
    loading: Option<Loading>,
    highest: Revision,
    entries: Vec<Name>,
    news: bool,
}

impl Agent {
    /// An agent beside a server with this many slots.
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
            refused: HashSet::new(),
            refused_order: VecDeque::new(),
            load: Load { version, ..Load::default() },
            gate: Gate::default(),
            token_ns: 0.0,
            stopping: false,
            drained: false,
            transfers: Transfers::new(config),
            loading: None,
            highest: Revision::default(),
            entries: Vec::new(),
            news: false,
        }
    }

    /// Runs that an entry may still ask for.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Whether no new work is taken.
    pub fn leaving(&self) -> bool {
        self.stopping || self.drained || self.loading.is_some()
    }

    /// Whether the process is asked to go.
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// What a heartbeat says of the load.
    pub fn load(&self) -> Load {
        let (link_rate, link_queue) = self.transfers.rate();
        Load {
            held_runs: self.active() as u32,
            prefill: self.prefill(|_| true),
            prefill_ns_per_token: self.token_ns as u64,
            link_bytes_per_s: link_rate,
            link_queued_bytes: link_queue,
            avoided_stores: Vec::new(),
            permits: self.gate.permits(),
            ..self.load.clone()
        }
    }

    /// Runs held for a peer that are not done.
    pub fn held_for(&self, peer: &Name) -> u32 {
        self.runs.values().filter(|held| held.entry == *peer && !held.done).count() as u32
    }

    /// Prompt tokens still to compute for a peer's runs.
    pub fn prefill_for(&self, peer: &Name) -> [u64; 2] {
        self.prefill(|held| held.entry == *peer)
    }

    /// Prompt tokens still to compute, within shares and over them.
    fn prefill(&self, of: impl Fn(&Held) -> bool) -> [u64; 2] {
        let mut sums = [0; 2];
        for held in self.runs.values() {
            if !held.done && held.first.is_none() && of(held) {
                sums[usize::from(held.start.over_share)] += held.start.prefill;
            }
        }
        sums
    }

    /// Whether the load has changed so much that the entries should know at once.
    pub fn take_load_changed(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// Takes no new work from now on, since the process stops.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes work or not, as the server's record says.
    pub fn drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    fn active(&self) -> usize {
        self.runs.values().filter(|held| !held.done).count()
    }

    /// A link to an entry is up: it learns what the caches hold.
    pub fn connected(&mut self, entry: &Name, out: &mut Effects) {
        if !self.entries.contains(entry) {
            self.entries.push(entry.clone());
        }
        for news in self.transfers.all_news() {
            out.push(Effect::Send { to: entry.clone(), frame: Frame::Cache(news) });
        }
    }

    /// The last link to a peer is down.
    pub fn disconnected(&mut self, now: Time, peer: &Name) {
        self.entries.retain(|entry| entry != peer);
        for held in self.runs.values_mut().filter(|held| held.entry == *peer) {
            held.orphan = Some(now);
        }
    }

    /// A frame came from an entry or a keeper.
    pub fn frame(&mut self, cx: &mut Context<'_>, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Start(start) => self.start(cx.now, peer, *start, out),
            Frame::Ack { run, seq } => self.ack(run, seq),
            Frame::Resume { run, seq } => self.resume(peer, run, seq, out),
            Frame::Cancel { run } => self.cancel(peer, run, out),
            Frame::Order { token, incarnation: to, version: load } => {
                self.ordered(token, to, load, out)
            }
            _ => {}
        }
    }

    /// News from the backend server.
    pub fn server(&mut self, cx: &mut Context<'_>, news: ServerEvent, out: &mut Effects) {
        match news {
            ServerEvent::Load(load) => self.loaded(cx.now, load, out),
            ServerEvent::Part { run, part } => self.part(cx.now, run, part, out),
            ServerEvent::Done { run, computed, cached } => {
                self.measure(run, computed);
                self.keep_blocks(cx.now, run, out);
                self.finish(cx, run, Code::Ok, (computed, cached), out);
            }
            ServerEvent::Failed { run, sent: false, code } => {
                if let Some(held) = self.runs.remove(&run) {
                    self.refuse(&held.entry, run, code, out);
                }
            }
            ServerEvent::Failed { run, sent: true, code } => {
                self.finish(cx, run, code, (0, 0), out)
            }
            ServerEvent::Fetched { key, store, result } => {
                self.transfers.fetched(cx.now, &key, &store, result);
                self.fetch_ended(cx.now, &key, out);
            }
            ServerEvent::Saved { key, store, generation, result } => {
                let news = self.transfers.kept(cx.now, &key, &store, generation, result);
                self.tell(news, out);
                self.transfers.keep_more(cx.now, out);
            }
            ServerEvent::Cache { from, events } => {
                let news = self.transfers.events(from, &events, out);
                self.tell(news, out);
            }
            ServerEvent::CacheList { next, keys } => {
                let news = self.transfers.listed(next, keys);
                self.tell(Some(news), out);
            }
            ServerEvent::Ordered { token, ok } => self.order_answered(token, ok),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        let now = cx.now;
        let mut over = Vec::new();
        let mut late = Vec::new();
        for (id, held) in &self.runs {
            let orphaned = held.orphan.is_some_and(|at| now.since(at) >= ORPHAN);
            if orphaned && (held.start.idempotent || held.done) {
                over.push((*id, true));
            } else if now > held.deadline && !held.aborted && held.start.idempotent {
                over.push((*id, false));
            } else if !held.fetching.is_empty() && self.transfers.is_late(now, &held.fetching) {
                late.push(*id);
            }
        }
        for (id, drop) in over {
            self.abort(id, out);
            if drop {
                self.runs.remove(&id);
            }
        }
        for id in late {
            self.serve(now, id, out);
        }
        let news = self.transfers.tick(now, self.plain, out);
        for news in news {
            self.tell(Some(news), out);
        }
        self.load_when_empty(out);
        self.news |= self.gate.tick(now);
    }

    fn tell(&self, news: Option<CacheDelta>, out: &mut Effects) {
        let Some(news) = news else {
            return;
        };
        for entry in &self.entries {
            let frame = Frame::Cache(news.clone());
            out.push(Effect::Send { to: entry.clone(), frame });
        }
    }

    fn start(&mut self, now: Time, peer: &Name, start: Start, out: &mut Effects) {
        let run = start.run;
        if self.runs.contains_key(&run) {
            return;
        }
        if self.refused.contains(&run) || start.incarnation != self.incarnation {
            self.refuse(peer, run, Code::Cancelled, out);
            return;
        }
        if self.leaving() {
            self.refuse(peer, run, Code::Draining, out);
            return;
        }
        if self.active() >= self.slots {
            self.refuse(peer, run, Code::Overloaded, out);
            return;
        }
        // Several entries chose this server at once: all but the first may do better elsewhere.
        let [within, over] = self.prefill(|_| true);
        let ahead = if start.over_share { within + over } else { within };
        if ahead > start.queued_tokens.saturating_add(CROWD) {
            self.news = true;
            self.refuse(peer, run, Code::Overloaded, out);
            return;
        }
        self.news |= start.prefill >= TELLING_PREFILL;
        let wrong_version = matches!(&start.work, Work::Prompt(prompt)
            if !prompt.version.is_empty() && prompt.version != self.load.version);
        if wrong_version {
            self.refuse(peer, run, Code::NoServer, out);
            return;
        }
        if !self.gate.take(now) {
            self.refuse(peer, run, Code::Overloaded, out);
            return;
        }
        let fetching = self.transfers.begin(now, &start.fetch, out);
        let held = Held {
            entry: peer.clone(),
            deadline: now + Duration::from_millis(start.left_ms),
            start,
            fetching,
            served: None,
            first: None,
            next_seq: 0,
            kept: VecDeque::new(),
            digest: Digest::default(),
            answer: Vec::new(),
            head: None,
            done: false,
            aborted: false,
            orphan: None,
        };
        let serve = held.fetching.is_empty();
        self.runs.insert(run, held);
        if serve {
            self.serve(now, run, out);
        }
    }

    fn serve(&mut self, now: Time, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        held.fetching.clear();
        held.served = Some(now);
        let over_share = held.start.over_share;
        // Over its share a workspace's own high priority does not go before others.
        let class = match held.start.priority {
            Priority::High if over_share => Priority::Normal,
            class => class,
        };
        let priority = 2 * class as u8 + u8::from(!over_share);
        out.push(Effect::Serve { run, priority, work: held.start.work.clone() });
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

    /// Learns the time per prompt token from a run; the least seen counts most, since waits behind
    /// other prompts only add to it.
    fn measure(&mut self, run: RunId, computed: u32) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let (Some(served), Some(first)) = (held.served, held.first) else {
            return;
        };
        if computed < TELLING_TOKENS {
            return;
        }
        let seen = first.since(served).as_nanos() as f64 / f64::from(computed);
        if self.token_ns == 0.0 {
            self.token_ns = seen;
            return;
        }
        let weight = if seen < self.token_ns { 0.5 } else { 0.02 };
        self.token_ns += weight * (seen - self.token_ns);
    }

    fn keep_blocks(&mut self, now: Time, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let (keep, spare) = (held.start.save.clone(), held.start.save_if_free.clone());
        self.transfers.keep(now, &keep, &spare, out);
    }

    fn refuse(&mut self, peer: &Name, run: RunId, code: Code, out: &mut Effects) {
        if self.refused.insert(run) {
            self.refused_order.push_back(run);
        }
        if self.refused_order.len() > REFUSED_KEPT
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
        let frame = Frame::Rejected { run, code, retry_ms: FULL_RETRY_MS };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// An entry wants a run ended, or to be told that it never starts.
    fn cancel(&mut self, peer: &Name, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            self.refuse(peer, run, Code::Cancelled, out);
            return;
        };
        if held.served.is_none() {
            self.runs.remove(&run);
            self.refuse(peer, run, Code::Cancelled, out);
        } else if held.start.idempotent {
            self.abort(run, out);
        }
    }

    fn abort(&mut self, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        if !held.done && !held.aborted && held.served.is_some() {
            held.aborted = true;
            out.push(Effect::Abort { run });
        }
    }

    /// The agent as JSON.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "leaving": self.leaving(),
            "drained": self.drained,
            "loading": self.loading.as_ref().map(|loading| &*loading.load),
            "highest_token": self.highest.to_string(),
            "slots": self.slots,
            "runs": self.runs.len(),
            "active": self.active(),
            "refused": self.refused.len(),
            "version": &*self.load.version,
            "token_ns": self.token_ns as u64,
            "transfers": self.transfers.dump(now),
        })
    }
}
