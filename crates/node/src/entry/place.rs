//! Placement: chooses a backend server for each run at the head of the queue.
//!
//! A piece is a prefix block of a prompt.

use base::prelude::*;
use cache::{Directory, Key};
use record::Workspace;
use route::{Candidate, Need, PIECE_TOKENS, choose};
use wire::{Frame, Piece, Start, Work};

use super::{Context, Entry, MAX_EXPLAINED, PlacementDecision, Server};
use crate::config::Policy;
use crate::run::Stage;
use crate::{Config, Effect, Effects};

/// Prefill time per token, assumed until the agent has measured it.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_micros(25);
/// Extra latency of a server in another availability zone.
const CROSS_ZONE_COST: Duration = Duration::from_millis(1);
/// Rejections for lack of capacity after which an agent accepts the run whatever it has queued.
const MAX_CAPACITY_REJECTIONS: u32 = 2;
/// Queued prefill time above which a server gets no further runs.
const MAX_QUEUED_PREFILL: Duration = Duration::from_millis(60);

enum Placement {
    Sent,
    Wait,
    NoServer,
}

/// A chosen server.
struct Choice {
    agent: Name,
    /// Number of leading pieces in the server's own cache.
    local: usize,
    /// Number of pieces to fetch from stores.
    fetch: usize,
}

impl Entry {
    /// Places queued runs in queue order until no server has capacity.
    pub(super) fn place(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        loop {
            let mut progress = false;
            for number in self.queue.heads() {
                match self.place_one(cx, number, out) {
                    Placement::Sent => {
                        progress = true;
                        break;
                    }
                    Placement::Wait => {}
                    Placement::NoServer => {
                        self.queue.remove(number);
                        let text = "no backend server serves this";
                        self.fail(cx, number, Code::NoServer, text, super::admit::RETRY_AFTER, out);
                        progress = true;
                        break;
                    }
                }
            }
            if !progress {
                return;
            }
        }
    }

    fn place_one(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) -> Placement {
        let Some(run) = self.runs.get(&number) else {
            self.queue.remove(number);
            return Placement::Sent;
        };
        let active = self.active.get(&run.workspace.name).copied().unwrap_or(0);
        if active >= self.concurrency_limit(&run.workspace) {
            return Placement::Wait;
        }
        let over_share = self.is_over_share(cx, &run.workspace);
        if let Some(run) = self.runs.get_mut(&number) {
            run.over_share = over_share;
        }
        let (candidates, exists) = self.candidates(cx, number);
        if !exists {
            // A run whose response has started, or whose server may come back, waits until its deadline.
            let may_resume = self
                .runs
                .get(&number)
                .is_some_and(|run| run.response_started || run.failed_attempts > 0);
            return if may_resume { Placement::Wait } else { Placement::NoServer };
        }
        let Some(choice) = self.pick(number, candidates) else {
            return Placement::Wait;
        };
        self.queue.take(number);
        self.reserve(cx, number, &choice, out);
        Placement::Sent
    }

    /// Whether a workspace has recently used more than its share.
    pub(super) fn is_over_share(&self, cx: &Context<'_>, workspace: &Workspace) -> bool {
        let part = f64::from(workspace.share) / cx.view.total_shares().max(1) as f64;
        self.usage.is_over(cx.now, &workspace.name, part)
    }

    /// The usable servers for the run's target, and whether any server exists for it, usable or not.
    fn candidates(&mut self, cx: &Context<'_>, number: u64) -> (Vec<Candidate>, bool) {
        let mut candidates = Vec::new();
        let mut exists = false;
        let Some(run) = self.runs.get_mut(&number) else {
            return (candidates, exists);
        };
        let bound = match &run.work {
            Work::Prompt(prompt) if run.delivered > 0 => Some(prompt.version.clone()),
            _ => None,
        };
        let over_share = run.over_share;
        let mut on_stores: Vec<(Name, Vec<bool>)> = Vec::new();
        for (name, server) in &self.servers {
            let Some(found) = &server.hello.server else { continue };
            if found.serves != *run.work.target() {
                continue;
            }
            let version = &server.load.version;
            if bound.as_ref().is_some_and(|bound| bound != version) {
                continue;
            }
            let drained = cx.view.server(name).drain;
            exists |= server.disconnected_at.is_none() && !server.leaving && !drained;
            if !server.usable(cx.now) || drained || run.excluded.contains(name) {
                continue;
            }
            let keys = run.keys_for(version);
            let local = match self.directory.find_holder(name) {
                Some(holder) => self.directory.prefix_len(holder, keys),
                None => 0,
            };
            if !on_stores.iter().any(|(other, _)| other == version) {
                let held = keys.iter().map(|key| store_of(&self.config, &self.directory, key));
                on_stores.push((version.clone(), held.map(|store| store.is_some()).collect()));
            }
            let on_store = on_stores.iter().find(|(other, _)| other == version);
            let on_store = on_store.map(|(_, held)| held.as_slice()).unwrap_or_default();
            let fetchable = on_store.iter().skip(local).take_while(|held| **held).count();
            let candidate =
                candidate(&self.config, &self.zone, server, over_share, (local, local + fetchable));
            candidates.push(candidate);
        }
        // No usable server is left: allow the excluded ones again.
        if candidates.is_empty() && exists && !run.excluded.is_empty() {
            run.excluded.clear();
        }
        (candidates, exists)
    }

    /// Chooses a candidate and how many pieces to fetch, and records the decision.
    fn pick(&mut self, number: u64, candidates: Vec<Candidate>) -> Option<Choice> {
        let run = self.runs.get(&number)?;
        let pieces = run.keys.first().map_or(0, |(_, keys)| keys.len());
        let known_pieces = candidates.iter().map(|found| found.fetchable_pieces).max().unwrap_or(0);
        let piece_bytes = self.config.piece_bytes;
        let need = Need { tokens: run.prompt_tokens(), pieces, known_pieces, piece_bytes };
        self.placements += 1;
        let spread = self.placements.wrapping_add(self.incarnation.0);
        let free = |index: &usize| candidates[*index].free_slots > 0;
        let (index, fetch) = match self.config.policy {
            Policy::Estimate => {
                let choice = choose(&self.config.weights, &need, &candidates, spread)?;
                (choice.index, choice.estimate.fetch_pieces)
            }
            Policy::RoundRobin => {
                let from = self.placements as usize;
                let count = candidates.len();
                let index = (0..count).map(|step| (from + step) % count).find(free)?;
                (index, 0)
            }
            Policy::LeastLoad | Policy::FetchAll => {
                let free_indices = (0..candidates.len()).filter(free);
                let index = free_indices.min_by_key(|index| candidates[*index].running)?;
                let chosen = &candidates[index];
                let all = self.config.policy == Policy::FetchAll;
                (index, if all { chosen.fetchable_pieces - chosen.local_pieces } else { 0 })
            }
            Policy::PrefixHash => {
                let first = run.keys.first().and_then(|(_, keys)| keys.first());
                let key = first.copied().unwrap_or([number as u8; 16]);
                let weight = |index: &usize| cache::holder_rank(&key, &candidates[*index].name);
                ((0..candidates.len()).filter(free).max_by_key(weight)?, 0)
            }
        };
        let chosen = &candidates[index];
        let choice = Choice { agent: chosen.name.clone(), local: chosen.local_pieces, fetch };
        let agent = choice.agent.clone();
        let explained = PlacementDecision { run: run.id, agent, need, candidates };
        if self.explained.len() >= MAX_EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back(explained);
        Some(choice)
    }

    /// Reserves a slot on the chosen server; sends the run, or claims it first.
    fn reserve(&mut self, cx: &mut Context<'_>, number: u64, choice: &Choice, out: &mut Effects) {
        let Choice { agent, local, fetch } = choice;
        let (Some(server), Some(run)) = (self.servers.get_mut(agent), self.runs.get_mut(&number))
        else {
            return;
        };
        server.run_sent();
        *self.active.entry(run.workspace.name.clone()).or_insert(0) += 1;
        let incarnation = server.hello.incarnation;
        let tokens = run.prompt_tokens();
        if let Work::Prompt(prompt) = &mut run.work {
            let version = server.load.version.clone();
            let keys = run.keys.iter().find(|(other, _)| *other == version);
            prompt.keys = keys.map(|(_, keys)| keys.clone()).unwrap_or_default();
            prompt.version = version;
            let have = (local + fetch) as u64 * PIECE_TOKENS;
            run.prefill = tokens.saturating_sub(have);
            server.own_prefill[usize::from(run.over_share)] += run.prefill;
            let work = run.prefill as f64 + f64::from(prompt.max_tokens);
            self.usage.add(cx.now, &run.workspace.name, work);
        }
        run.fetched_pieces = *fetch;
        let agent = agent.clone();
        if run.claim_key.is_some() {
            run.stage = Stage::Claiming { agent, incarnation };
            self.claim(cx, number, out);
        } else {
            run.stage = Stage::Sent { agent, incarnation };
            self.send(cx.now, number, out);
        }
    }

    /// Sends the start of a run to the agent on which it has a slot.
    pub(super) fn send(&mut self, now: Time, number: u64, out: &mut Effects) {
        if let Some(run) = self.runs.get_mut(&number) {
            run.sent_at = now;
        }
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let Stage::Sent { agent, incarnation } = run.stage.clone() else {
            return;
        };
        let queued_tokens = match self.servers.get(&agent) {
            Some(server) if run.capacity_rejections < MAX_CAPACITY_REJECTIONS => {
                server.queued_tokens(run.over_share).saturating_sub(run.prefill)
            }
            _ => u64::MAX,
        };
        let mut fetch = Vec::new();
        let (mut save, mut save_if_free) = (Vec::new(), Vec::new());
        if let Work::Prompt(prompt) = &run.work {
            let holder = self.directory.find_holder(&agent);
            let local = holder.map_or(0, |holder| self.directory.prefix_len(holder, &prompt.keys));
            for key in prompt.keys.iter().skip(local).take(run.fetched_pieces) {
                let Some(store) = store_of(&self.config, &self.directory, key) else { break };
                fetch.push(Piece { key: *key, store: store.clone() });
            }
            if matches!(self.config.policy, Policy::Estimate | Policy::FetchAll) {
                (save, save_if_free) = self.pieces_to_save(run, &prompt.keys);
            }
        }
        let start = Start {
            run: run.id,
            incarnation,
            workspace: run.workspace.name.clone(),
            priority: run.request.caller.priority,
            over_share: run.over_share,
            left_ms: run.deadline.since(now).as_millis() as u64,
            idempotent: run.idempotent(),
            idempotency_key: run.claim_key.clone(),
            work: run.work.clone(),
            prefill: run.prefill,
            queued_tokens,
            fetch,
            save,
            save_if_free,
        };
        out.push(Effect::Send { to: agent, frame: Frame::Start(Box::new(start)) });
    }

    /// Pieces that no store has yet: those that the retention policy saves, and the others.
    fn pieces_to_save(&self, run: &crate::Run, keys: &[Key]) -> (Vec<Key>, Vec<Key>) {
        let Some((_, plain)) = run.keys.first() else {
            return (Vec::new(), Vec::new());
        };
        let stored = |key: &Key| store_of(&self.config, &self.directory, key).is_some();
        let missing = keys.iter().zip(plain).filter(|(key, _)| !stored(key));
        let (worth, others): (Vec<_>, Vec<_>) = missing
            .partition(|(_, touched)| self.retention.should_save(&run.workspace.name, touched));
        let keys = |pairs: Vec<(&Key, &Key)>| pairs.into_iter().map(|(key, _)| *key).collect();
        (keys(worth), keys(others))
    }
}

/// The store that holds a piece, according to the directory.
fn store_of<'a>(config: &'a Config, directory: &Directory, key: &Key) -> Option<&'a Name> {
    let holds =
        |store: &&Name| directory.find_holder(store).is_some_and(|h| directory.holds(h, key));
    config.stores.iter().find(holds)
}

fn candidate(
    config: &Config,
    zone: &Name,
    server: &Server,
    over_share: bool,
    (local_pieces, fetchable_pieces): (usize, usize),
) -> Candidate {
    let rate = if server.load.link_bytes_per_s > 0 {
        server.load.link_bytes_per_s
    } else {
        config.link_rate
    };
    let seconds = |bytes: u64| Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
    let per_token = match server.load.prefill_ns_per_token {
        0 => DEFAULT_TOKEN_TIME,
        nanos => Duration::from_nanos(nanos),
    };
    // Runs are queued at the entry, which applies fair sharing, and not in the server's own queue.
    let queued_tokens = server.queued_tokens(over_share);
    let saturated =
        per_token.as_nanos() as u64 * queued_tokens > MAX_QUEUED_PREFILL.as_nanos() as u64;
    let free_slots = server.slots().saturating_sub(server.in_flight());
    Candidate {
        name: server.hello.name.clone(),
        free_slots: if saturated { 0 } else { free_slots },
        running: server.in_flight(),
        queued_tokens,
        per_token,
        wait: Duration::ZERO,
        local_pieces,
        fetchable_pieces,
        link_wait: seconds(server.load.link_queued_bytes),
        per_piece: seconds(config.piece_bytes),
        zone: if server.hello.zone == *zone { Duration::ZERO } else { CROSS_ZONE_COST },
    }
}
