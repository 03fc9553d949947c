//! Placement: chooses a backend server for each run whose turn has come.

use base::prelude::*;
use cache::Key;
use record::Workspace;
use route::{Candidate, Need, choose};
use wire::{Frame, Piece, Start, Work};

use super::{Context, EXPLAINED, Entry, Explained, Server};
use crate::config::Policy;
use crate::run::Stage;
use crate::{Effect, Effects};

/// Time to compute a prompt token, assumed until the agent has measured it.
const TOKEN: Duration = Duration::from_micros(25);
/// Cost of going to another availability zone.
const ZONE: Duration = Duration::from_millis(1);
/// Refusals for want of room after which a run goes wherever it is sent.
const MAX_CROWDED: u32 = 2;
/// Prompt work ahead with which a server gets no more.
const AHEAD_MOST: Duration = Duration::from_millis(60);
/// Tokens in one piece.
const PIECE_TOKENS: u64 = 1_000;

enum Placed {
    Sent,
    Wait,
    Nobody,
}

struct Offer {
    candidate: Candidate,
    version: Name,
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
        let Some((place, fetch)) = self.pick(number, &offers) else {
            return Placed::Wait;
        };
        self.queue.take(number);
        let offer = &offers[place];
        self.reserve(cx, number, offer, fetch, out);
        Placed::Sent
    }

    /// Whether a workspace has lately used more than its share.
    pub(super) fn is_over_share(&self, cx: &Context<'_>, workspace: &Workspace) -> bool {
        let part = f64::from(workspace.share) / cx.view.shares().max(1) as f64;
        self.usage.is_over(cx.now, &workspace.name, part)
    }

    /// The servers that serve the run's target, and whether there is any, free or not.
    fn offers(&mut self, cx: &Context<'_>, number: u64) -> (Vec<Offer>, bool) {
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
        let mut stores: Option<Vec<(Name, Vec<bool>)>> = None;
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
                Some(holder) => self.directory.prefix(holder, keys),
                None => 0,
            };
            let list = stores.get_or_insert_with(Vec::new);
            if !list.iter().any(|(known, _)| known == version) {
                let on_store = |key: &Key| {
                    self.config.stores.iter().any(|store| {
                        self.directory.find(store).is_some_and(|h| self.directory.holds(h, key))
                    })
                };
                list.push((version.clone(), keys.iter().map(on_store).collect()));
            }
            let on_store = list.iter().find(|(known, _)| known == version);
            let on_store = on_store.map(|(_, held)| held.as_slice()).unwrap_or_default();
            let more = on_store.iter().skip(local).take_while(|held| **held).count();
            let candidate =
                candidate(&self.config, &self.zone, server, over_share, (local, local + more));
            offers.push(Offer { candidate, version: version.clone() });
        }
        // A run that everyone refused may be offered to them again.
        if offers.is_empty() && known && !run.avoided.is_empty() {
            run.avoided.clear();
        }
        (offers, known)
    }

    /// The place of the chosen offer, and how many pieces to fetch.
    fn pick(&mut self, number: u64, offers: &[Offer]) -> Option<(usize, usize)> {
        let run = self.runs.get(&number)?;
        let tokens = match &run.work {
            Work::Prompt(prompt) => cache::tokens(&prompt.text) + u64::from(prompt.resume_from),
            Work::Call(_) => 0,
        };
        let pieces = run.keys.first().map_or(0, |(_, keys)| keys.len());
        let known = offers.iter().map(|offer| offer.candidate.fetchable).max().unwrap_or(0);
        let need = Need { tokens, pieces, known, piece_bytes: self.config.piece_bytes };
        let candidates: Vec<Candidate> =
            offers.iter().map(|offer| offer.candidate.clone()).collect();
        self.turn += 1;
        let spread = self.turn.wrapping_add(self.incarnation.0);
        let free = |place: &usize| candidates[*place].free > 0;
        let (place, fetch) = match self.config.policy {
            Policy::Estimate => {
                let choice = choose(&self.config.weights, &need, &candidates, spread)?;
                (choice.index, choice.estimate.fetch)
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
                (place, if all { chosen.fetchable - chosen.local } else { 0 })
            }
            Policy::PrefixHash => {
                let first = run.keys.first().and_then(|(_, keys)| keys.first());
                let key = first.copied().unwrap_or([number as u8; 16]);
                let weight = |place: &usize| {
                    let name = candidates[*place].name.as_bytes();
                    blake3::Hasher::new().update(&key).update(name).finalize().as_bytes()[..8]
                        .to_vec()
                };
                ((0..candidates.len()).filter(free).max_by_key(weight)?, 0)
            }
        };
        let run_id = run.id;
        let weights = &self.config.weights;
        let table = candidates.iter().map(|found| route::estimate(weights, &need, found)).collect();
        let agent = candidates[place].name.clone();
        if self.explained.len() >= EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back(Explained { run: run_id, agent, table });
        Some((place, fetch))
    }

    /// Takes a place on the chosen server; sends the run, or claims it first.
    fn reserve(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        offer: &Offer,
        fetch: usize,
        out: &mut Effects,
    ) {
        let name = &offer.candidate.name;
        let (Some(server), Some(run)) = (self.servers.get_mut(name), self.runs.get_mut(&number))
        else {
            return;
        };
        server.own += 1;
        server.breaker.sent();
        *self.active.entry(run.workspace.name.clone()).or_insert(0) += 1;
        let incarnation = server.hello.incarnation;
        if let Work::Prompt(prompt) = &mut run.work {
            let keys = run.keys.iter().find(|(known, _)| *known == offer.version);
            prompt.keys = keys.map(|(_, keys)| keys.clone()).unwrap_or_default();
            prompt.version = offer.version.clone();
            let have = (offer.candidate.local + fetch) as u64 * PIECE_TOKENS;
            let tokens = cache::tokens(&prompt.text) + u64::from(prompt.resume_from);
            run.prefill = tokens.saturating_sub(have);
            server.own_prefill[usize::from(run.over_share)] += run.prefill;
            let work = run.prefill as f64 + f64::from(prompt.max_tokens);
            self.usage.add(cx.now, &run.workspace.name, work);
        }
        run.fetched = fetch;
        let agent = name.clone();
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
            let local = holder.map_or(0, |holder| self.directory.prefix(holder, &prompt.keys));
            for key in prompt.keys.iter().skip(local).take(run.fetched) {
                let store = self.config.stores.iter().find(|store| {
                    self.directory.find(store).is_some_and(|h| self.directory.holds(h, key))
                });
                let Some(store) = store else { break };
                fetch.push(Piece { key: *key, store: store.clone() });
            }
            if matches!(self.config.policy, Policy::Estimate | Policy::FetchAll) {
                (keep, spare) = self.to_keep(run, &prompt.keys);
            }
        }
        let start = Start {
            run: run.id,
            to: incarnation,
            workspace: run.workspace.name.clone(),
            priority: run.ask.caller.priority,
            over_share: run.over_share,
            left_ms: run.deadline.since(now).as_millis() as u64,
            idempotent: run.idempotent(),
            once: run.once.clone(),
            work: run.work.clone(),
            prefill: run.prefill,
            ahead,
            fetch,
            keep,
            spare,
        };
        out.push(Effect::Send { to: agent, frame: Frame::Start(Box::new(start)) });
    }

    /// Pieces that no store has yet: those that are worth a place, and the others.
    fn to_keep(&self, run: &crate::Run, keys: &[Key]) -> (Vec<Key>, Vec<Key>) {
        let Some((_, plain)) = run.keys.first() else {
            return (Vec::new(), Vec::new());
        };
        let stored = |key: &Key| {
            self.config.stores.iter().any(|store| {
                self.directory.find(store).is_some_and(|h| self.directory.holds(h, key))
            })
        };
        let missing = keys.iter().zip(plain).filter(|(key, _)| !stored(key));
        let (worth, others): (Vec<_>, Vec<_>) =
            missing.partition(|(_, touched)| self.keep.worth(&run.workspace.name, touched));
        let keys = |pairs: Vec<(&Key, &Key)>| pairs.into_iter().map(|(key, _)| *key).collect();
        (keys(worth), keys(others))
    }
}

fn candidate(
    config: &crate::Config,
    zone: &Name,
    server: &Server,
    over_share: bool,
    (local, fetchable): (usize, usize),
) -> Candidate {
    let rate = if server.load.link_rate > 0 { server.load.link_rate } else { config.link_rate };
    let seconds = |bytes: u64| Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
    let per_token = match server.load.token_ns {
        0 => TOKEN,
        nanos => Duration::from_nanos(nanos),
    };
    // What waits should wait here, where it is fair, and not in the server's own queue.
    let ahead = server.ahead(over_share);
    let crowded = per_token.as_nanos() as u64 * ahead > AHEAD_MOST.as_nanos() as u64;
    let free = server.slots().saturating_sub(server.running());
    Candidate {
        name: server.hello.name.clone(),
        free: if crowded { 0 } else { free },
        running: server.running(),
        ahead,
        per_token,
        wait: Duration::ZERO,
        local,
        fetchable,
        link_wait: seconds(server.load.link_queue),
        per_piece: seconds(config.piece_bytes),
        zone: if server.hello.zone == *zone { Duration::ZERO } else { ZONE },
    }
}
