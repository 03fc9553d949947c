//! Placement: chooses a backend server for each run whose turn has come.

use base::prelude::*;
use cache::{Directory, Key};
use record::Workspace;
use route::{Candidate, Need, PIECE_TOKENS, choose};
use wire::{Frame, Piece, Start, Work};

use super::{Context, EXPLAINED, Entry, Explained, Server};
use crate::config::Policy;
use crate::run::Stage;
use crate::{Config, Effect, Effects};

/// Time to compute a prompt token, assumed until the agent has measured it.
const TOKEN: Duration = Duration::from_micros(25);
/// Cost of going to another availability zone.
const ZONE: Duration = Duration::from_millis(1);
/// Refusals for want of room after which a run goes wherever it is sent.
const MAX_CROWDED: u32 = 2;
/// Prompt work ahead with which a server gets no more.
const AHEAD_MOST: Duration = Duration::from_millis(60);

enum Placed {
    Sent,
    Wait,
    Nobody,
}

/// A chosen server.
struct Picked {
    agent: Name,
    /// Leading pieces in its own cache.
    local: usize,
    /// Pieces to fetch from stores.
    fetch: usize,
}

impl Entry {
    /// Places what waits, in the order of its turns, until nothing more fits.
    pub(super) fn place(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        loop {
            let mut moved = false;
            for number in self.queue.heads() {
                match self.place_one(cx, number, out) {
                    Placed::Sent => {
                        moved = true;
                        break;
                    }
                    Placed::Wait => {}
                    Placed::Nobody => {
                        self.queue.remove(number);
                        let text = "no backend server serves this";
                        self.fail(cx, number, Code::NoServer, text, super::admit::RETRY_AFTER, out);
                        moved = true;
                        break;
                    }
                }
            }
            if !moved {
                return;
            }
        }
    }

    fn place_one(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) -> Placed {
        let Some(run) = self.runs.get(&number) else {
            self.queue.remove(number);
            return Placed::Sent;
        };
        let active = self.active.get(&run.workspace.name).copied().unwrap_or(0);
        if active >= self.limit_of(&run.workspace) {
            return Placed::Wait;
        }
        let over_share = self.is_over_share(cx, &run.workspace);
        if let Some(run) = self.runs.get_mut(&number) {
            run.over_share = over_share;
        }
        let (offers, known) = self.offers(cx, number);
        if !known {
            // An answer that has begun, or one whose server may come back, waits for its deadline.
            let begun = self.runs.get(&number).is_some_and(|run| run.begun || run.tries > 0);
            return if begun { Placed::Wait } else { Placed::Nobody };
        }
        let Some(picked) = self.pick(number, offers) else {
            return Placed::Wait;
        };
        self.queue.take(number);
        self.reserve(cx, number, &picked, out);
        Placed::Sent
    }

    /// Whether a workspace has lately used more than its share.
    pub(super) fn is_over_share(&self, cx: &Context<'_>, workspace: &Workspace) -> bool {
        let part = f64::from(workspace.share) / cx.view.total_shares().max(1) as f64;
        self.usage.is_over(cx.now, &workspace.name, part)
    }

    /// The servers that serve the run's target, and whether there is any, free or not.
    fn offers(&mut self, cx: &Context<'_>, number: u64) -> (Vec<Candidate>, bool) {
        let mut offers = Vec::new();
        let mut known = false;
        let Some(run) = self.runs.get_mut(&number) else {
            return (offers, known);
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
            known |= server.lost.is_none() && !server.leaving && !drained;
            if !server.usable(cx.now) || drained || run.avoided.contains(name) {
                continue;
            }
            let keys = run.keys_for(version);
            let local = match self.directory.find(name) {
                Some(holder) => self.directory.prefix_len(holder, keys),
                None => 0,
            };
            if !on_stores.iter().any(|(known, _)| known == version) {
                let held = keys.iter().map(|key| store_of(&self.config, &self.directory, key));
                on_stores.push((version.clone(), held.map(|store| store.is_some()).collect()));
            }
            let on_store = on_stores.iter().find(|(known, _)| known == version);
            let on_store = on_store.map(|(_, held)| held.as_slice()).unwrap_or_default();
            let more = on_store.iter().skip(local).take_while(|held| **held).count();
            let candidate =
                candidate(&self.config, &self.zone, server, over_share, (local, local + more));
            offers.push(candidate);
        }
        // A run that everyone refused may be offered to them again.
        if offers.is_empty() && known && !run.avoided.is_empty() {
            run.avoided.clear();
        }
        (offers, known)
    }

    /// The chosen candidate and how many pieces to fetch; what it was chosen from is kept.
    fn pick(&mut self, number: u64, candidates: Vec<Candidate>) -> Option<Picked> {
        let run = self.runs.get(&number)?;
        let pieces = run.keys.first().map_or(0, |(_, keys)| keys.len());
        let known_pieces = candidates.iter().map(|found| found.fetchable_pieces).max().unwrap_or(0);
        let piece_bytes = self.config.piece_bytes;
        let need = Need { tokens: run.prompt_tokens(), pieces, known_pieces, piece_bytes };
        self.turn += 1;
        let spread = self.turn.wrapping_add(self.incarnation.0);
        let free = |place: &usize| candidates[*place].free_slots > 0;
        let (place, fetch) = match self.config.policy {
            Policy::Estimate => {
                let choice = choose(&self.config.weights, &need, &candidates, spread)?;
                (choice.index, choice.estimate.fetch_pieces)
            }
            Policy::RoundRobin => {
                let from = self.turn as usize;
                let count = candidates.len();
                let place = (0..count).map(|step| (from + step) % count).find(free)?;
                (place, 0)
            }
            Policy::LeastLoad | Policy::FetchAll => {
                let places = (0..candidates.len()).filter(free);
                let place = places.min_by_key(|place| candidates[*place].running)?;
                let chosen = &candidates[place];
                let all = self.config.policy == Policy::FetchAll;
                (place, if all { chosen.fetchable_pieces - chosen.local_pieces } else { 0 })
            }
            Policy::PrefixHash => {
                let first = run.keys.first().and_then(|(_, keys)| keys.first());
                let key = first.copied().unwrap_or([number as u8; 16]);
                let weight = |place: &usize| cache::holder_rank(&key, &candidates[*place].name);
                ((0..candidates.len()).filter(free).max_by_key(weight)?, 0)
            }
        };
        let chosen = &candidates[place];
        let picked = Picked { agent: chosen.name.clone(), local: chosen.local_pieces, fetch };
        let agent = picked.agent.clone();
        let explained = Explained { run: run.id, agent, need, candidates };
        if self.explained.len() >= EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back(explained);
        Some(picked)
    }

    /// Takes a place on the chosen server; sends the run, or claims it first.
    fn reserve(&mut self, cx: &mut Context<'_>, number: u64, picked: &Picked, out: &mut Effects) {
        let Picked { agent, local, fetch } = picked;
        let (Some(server), Some(run)) = (self.servers.get_mut(agent), self.runs.get_mut(&number))
        else {
            return;
        };
        server.sent();
        *self.active.entry(run.workspace.name.clone()).or_insert(0) += 1;
        let incarnation = server.hello.incarnation;
        let tokens = run.prompt_tokens();
        if let Work::Prompt(prompt) = &mut run.work {
            let version = server.load.version.clone();
            let keys = run.keys.iter().find(|(known, _)| *known == version);
            prompt.keys = keys.map(|(_, keys)| keys.clone()).unwrap_or_default();
            prompt.version = version;
            let have = (local + fetch) as u64 * PIECE_TOKENS;
            run.prefill = tokens.saturating_sub(have);
            server.own_prefill[usize::from(run.over_share)] += run.prefill;
            let work = run.prefill as f64 + f64::from(prompt.max_tokens);
            self.usage.add(cx.now, &run.workspace.name, work);
        }
        run.fetched = *fetch;
        let agent = agent.clone();
        if run.once.is_some() {
            run.stage = Stage::Claiming { agent, incarnation };
            self.claim(cx, number, out);
        } else {
            run.stage = Stage::Sent { agent, incarnation };
            self.send(cx.now, number, out);
        }
    }

    /// Sends the start of a run to the agent on which it has its place.
    pub(super) fn send(&mut self, now: Time, number: u64, out: &mut Effects) {
        if let Some(run) = self.runs.get_mut(&number) {
            run.sent = now;
        }
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let Stage::Sent { agent, incarnation } = run.stage.clone() else {
            return;
        };
        let ahead = match self.servers.get(&agent) {
            Some(server) if run.crowded < MAX_CROWDED => {
                server.ahead(run.over_share).saturating_sub(run.prefill)
            }
            _ => u64::MAX,
        };
        let mut fetch = Vec::new();
        let (mut keep, mut spare) = (Vec::new(), Vec::new());
        if let Work::Prompt(prompt) = &run.work {
            let holder = self.directory.find(&agent);
            let local = holder.map_or(0, |holder| self.directory.prefix_len(holder, &prompt.keys));
            for key in prompt.keys.iter().skip(local).take(run.fetched) {
                let Some(store) = store_of(&self.config, &self.directory, key) else { break };
                fetch.push(Piece { key: *key, store: store.clone() });
            }
            if matches!(self.config.policy, Policy::Estimate | Policy::FetchAll) {
                (keep, spare) = self.to_keep(run, &prompt.keys);
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
            idempotency_key: run.once.clone(),
            work: run.work.clone(),
            prefill: run.prefill,
            queued_tokens: ahead,
            fetch,
            save: keep,
            save_if_free: spare,
        };
        out.push(Effect::Send { to: agent, frame: Frame::Start(Box::new(start)) });
    }

    /// Pieces that no store has yet: those that are worth a place, and the others.
    fn to_keep(&self, run: &crate::Run, keys: &[Key]) -> (Vec<Key>, Vec<Key>) {
        let Some((_, plain)) = run.keys.first() else {
            return (Vec::new(), Vec::new());
        };
        let stored = |key: &Key| store_of(&self.config, &self.directory, key).is_some();
        let missing = keys.iter().zip(plain).filter(|(key, _)| !stored(key));
        let (worth, others): (Vec<_>, Vec<_>) =
            missing.partition(|(_, touched)| self.keep.should_save(&run.workspace.name, touched));
        let keys = |pairs: Vec<(&Key, &Key)>| pairs.into_iter().map(|(key, _)| *key).collect();
        (keys(worth), keys(others))
    }
}

/// The store that holds a piece, as far as is known.
fn store_of<'a>(config: &'a Config, directory: &Directory, key: &Key) -> Option<&'a Name> {
    let holds = |store: &&Name| directory.find(store).is_some_and(|h| directory.holds(h, key));
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
        0 => TOKEN,
        nanos => Duration::from_nanos(nanos),
    };
    // What waits should wait here, where it is fair, and not in the server's own queue.
    let queued_tokens = server.ahead(over_share);
    let crowded = per_token.as_nanos() as u64 * queued_tokens > AHEAD_MOST.as_nanos() as u64;
    let free_slots = server.slots().saturating_sub(server.running());
    Candidate {
        name: server.hello.name.clone(),
        free_slots: if crowded { 0 } else { free_slots },
        running: server.running(),
        queued_tokens,
        per_token,
        wait: Duration::ZERO,
        local_pieces,
        fetchable_pieces,
        link_wait: seconds(server.load.link_queued_bytes),
        per_piece: seconds(config.piece_bytes),
        zone: if server.hello.zone == *zone { Duration::ZERO } else { ZONE },
    }
}
