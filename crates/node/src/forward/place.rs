//! Chooses the server of a request's next try.

use base::prelude::*;
use cache::salt_number;
use fleet::{Key, Server};
use rand::Rng;
use record::Engine;
use route::direct::{self, Candidate};

use super::stores::{Sources, Transfer};
use super::{Context, Forward, Order, Place, Prompt, Run, Try};
use crate::note::{Allowed, Basis};
use crate::{Effect, Effects};

/// Prompt tokens that an engine reads in a millisecond, where nothing better is known.
const READ_PER_MS: f64 = 45.0;
/// Part of an engine's memory that is believed to keep prompt parts; the rest is for runs.
const KEPT: f64 = 0.6;
/// How long what this entry sent to a server may take to show in its events.
const UNTOLD: Duration = Duration::from_millis(1_500);
/// Time added to a server that holds old weights while others hold new ones, milliseconds.
const OLD_WEIGHTS_MS: f64 = 1_000.0;

impl Forward {
    /// Sends a request to a server, or gives it up.
    pub(super) fn place(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let point = self.rng.random();
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let allowed = model(cx, run).map(|model| self.allowed(cx.now, model)).unwrap_or_default();
        let Some(choice) = self.choose(cx, run, allowed, point) else {
            if let Some(run) = self.runs.get_mut(&call) {
                run.basis.allowed = allowed;
            }
            self.give_up(cx, call, Code::NoServer, "no backend server can take it now", out);
            return;
        };
        let Choice { key, version: held, transfer, sources, candidate } = choice;
        let reading = candidate.missing;
        let list_age = self.servers.read_at().map_or(Duration::MAX, |at| cx.now.since(at));
        let engine = engine(cx, run);
        let (Some(run), Some(server)) = (self.runs.get_mut(&call), self.servers.get_mut(key))
        else {
            return;
        };
        let version = (engine.is_some() && held > 0).then_some(held);
        let salt = run.head.prompt.as_ref().map(|prompt| salt(run, &prompt.model, held));
        run.tries += 1;
        run.ran += 1;
        run.tried.push(key);
        run.last = Some(server.listed.id.clone());
        run.basis = Basis {
            reading,
            fetching: transfer.tokens,
            ahead: candidate.ahead,
            beside: candidate.running,
            cost_ms: direct::cost(&candidate),
            list_age,
            version: held,
            allowed,
        };
        run.place = Some(Place { server: key, reading, from: transfer.from });
        server.running += 1;
        server.reading += reading;
        let mut save = Vec::new();
        if let (Some(_), Some(engine)) = (&salt, engine) {
            let kept = (engine.tokens as f64 * KEPT) as u64;
            server.held.used(cx.now, sources.salt(), run.parts(), kept);
            save = self.stores.save(cx, &sources);
        }
        let addr = server.listed.addr;
        let order = Try {
            id: server.listed.id.clone(),
            addr,
            left: run.deadline.since(cx.now),
            workspace: run.workspace.clone(),
            rank: run.rank,
            version,
            salt,
            // The last part is the request's own: nowhere else, and of no use to others.
            fetch: transfer.fetch.into_iter().chain([None]).collect(),
            save: save.into_iter().chain([None]).collect(),
        };
        self.shares.touched(addr);
        if let Some((source, millis)) = transfer.from {
            self.stores.asked(source, millis);
            self.shares.touched(source);
        }
        out.push(Effect::Door { call, order: Order::Try(Box::new(order)) });
    }

    /// The server with the earliest first token; `point` picks among equal ones.
    fn choose(&self, cx: &Context<'_>, run: &Run, allowed: Allowed, point: f64) -> Option<Choice> {
        let prompt = run.head.prompt.as_ref().zip(engine(cx, run));
        let mut known: Vec<(u64, Sources)> = Vec::new();
        let mut candidates = Vec::new();
        let mut choices = Vec::new();
        for (key, server) in self.servers.of(&run.service) {
            let version = held(server, allowed);
            let too_old = version < allowed.least;
            if !server.usable(cx.now) || too_old || run.tried.contains(&key) {
                continue;
            }
            let mut transfer = Transfer::default();
            let mut reading = 0;
            if let Some((prompt, engine)) = prompt {
                let sources = known.iter().position(|(found, _)| *found == version);
                let sources = sources.unwrap_or_else(|| {
                    let salt = salt_number(&salt(run, &prompt.model, version));
                    let found = self.stores.sources(cx, &self.servers, engine, salt, &prompt.parts);
                    known.push((version, found));
                    known.len() - 1
                });
                transfer = self.consider(cx, &known[sources].1, prompt, engine, server);
                let all = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum::<u64>();
                reading = all - transfer.held - transfer.tokens;
            }
            let old = version < allowed.newest;
            candidates.push(Candidate {
                running: server.runs(cx.now),
                slots: server.listed.slots,
                missing: reading,
                ahead: server.ahead(cx.now),
                per_ms: READ_PER_MS,
                near: server.listed.zone == self.zone,
                penalty_ms: transfer.millis + if old { OLD_WEIGHTS_MS } else { 0.0 },
            });
            choices.push((key, version, transfer));
        }
        let index = direct::choose(&candidates, point)?;
        let (key, version, transfer) = choices.swap_remove(index);
        let sources = known.into_iter().find(|(found, _)| *found == version);
        let sources = sources.map(|(_, sources)| sources).unwrap_or_default();
        Some(Choice { key, version, transfer, sources, candidate: candidates[index] })
    }

    /// What a prompt would need at a server.
    fn consider(
        &self,
        cx: &Context<'_>,
        sources: &Sources,
        prompt: &Prompt,
        engine: &Engine,
        server: &Server,
    ) -> Transfer {
        let addr = server.listed.addr;
        let since = if self.stores.knows(addr) {
            Time(cx.now.0.saturating_sub(UNTOLD.as_micros() as u64))
        } else {
            Time::ZERO
        };
        let own = server.held.found(sources.salt(), &prompt.parts, since);
        let place = (addr, &server.listed.zone);
        self.stores.transfer(cx.now, sources, engine, place, own, READ_PER_MS)
    }
}

/// A server that a request can go to.
struct Choice {
    key: Key,
    /// Weight version that it is expected to hold.
    version: u64,
    transfer: Transfer,
    sources: Sources,
    candidate: Candidate,
}

/// The weight version that a try expects of a server: the newest where none is known, as a new server
/// has it.
fn held(server: &Server, allowed: Allowed) -> u64 {
    if server.version > 0 { server.version } else { allowed.newest }
}

/// The model that a request runs on, if its service has engines.
fn model<'a>(cx: &Context<'a>, run: &'a Run) -> Option<&'a Name> {
    let engine = engine(cx, run)?;
    Some(run.head.prompt.as_ref().map_or(&engine.model, |prompt| &prompt.model))
}

/// The engine that a request's service runs on, if it does.
fn engine<'a>(cx: &Context<'a>, run: &Run) -> Option<&'a Engine> {
    cx.view.service(&run.service).and_then(|service| service.engine.as_ref())
}

/// What cached parts are shared under: never across weight versions, nor with a workspace that is
/// isolated.
fn salt(run: &Run, model: &Name, version: u64) -> Name {
    match &run.workspace {
        Some(workspace) if run.isolated => Name::from(format!("{workspace}/{model}/{version}")),
        _ => Name::from(format!("*/{model}/{version}")),
    }
}
