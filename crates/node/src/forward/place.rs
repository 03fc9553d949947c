//! Chooses the server of a request's next try.

use base::prelude::*;
use cache::{Named, salt_number};
use fleet::{Key, Server};
use rand::Rng;
use record::Engine;
use route::direct::{self, Candidate};

use super::stores::Transfer;
use super::{Context, Forward, Order, Place, Run, Try};
use crate::{Effect, Effects};

/// Prompt tokens that an engine reads in a millisecond, where nothing better is known.
const READ_PER_MS: f64 = 45.0;
/// Part of an engine's memory that is believed to keep prompt parts; the rest is for runs.
const KEPT: f64 = 0.6;
/// Part of a prompt's history that is believed to lie at the server where its subject belongs, when
/// this entry has not sent it there itself: other entries choose the same server.
const LIKELY: f64 = 0.5;
/// Time added to a server that holds old weights while others hold new ones, milliseconds.
const OLD_WEIGHTS_MS: f64 = 1_000.0;

impl Forward {
    /// Sends a request to a server, or gives it up.
    pub(super) fn place(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let point = self.rng.random();
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let Some(choice) = self.choose(cx, run, point) else {
            self.give_up(cx, call, Code::NoServer, "no backend server can take it now", out);
            return;
        };
        let Choice { key, reading, mut transfer } = choice;
        let engine = cx.view.service(&run.service).and_then(|service| service.engine.as_ref());
        let (Some(run), Some(server)) = (self.runs.get_mut(&call), self.servers.get_mut(key))
        else {
            return;
        };
        let version = (engine.is_some() && server.version > 0).then_some(server.version);
        let salt = run.head.prompt.as_ref().map(|prompt| salt(run, &prompt.model, server.version));
        run.tries += 1;
        run.ran += 1;
        run.tried.push(key);
        run.last = Some(server.listed.id.clone());
        run.place = Some(Place { server: key, reading });
        server.running += 1;
        server.reading += reading;
        if let (Some(salt), Some(engine)) = (&salt, engine) {
            let kept = (engine.tokens as f64 * KEPT) as u64;
            let number = salt_number(salt);
            server.held.used(cx.now, number, run.parts(), kept);
            self.stores.save(cx, number, run.parts(), &mut transfer);
        }
        let order = Try {
            id: server.listed.id.clone(),
            addr: server.listed.addr,
            left: run.deadline.since(cx.now),
            workspace: run.workspace.clone(),
            rank: run.rank,
            version,
            salt,
            fetch: transfer.fetch,
            save: transfer.save,
        };
        out.push(Effect::Door { call, order: Order::Try(Box::new(order)) });
    }

    /// The server with the earliest first token; `point` picks among equal ones.
    fn choose(&self, cx: &Context<'_>, run: &Run, point: f64) -> Option<Choice> {
        let engine = cx.view.service(&run.service).and_then(|service| service.engine.as_ref());
        let model = run.head.prompt.as_ref().map(|prompt| &prompt.model);
        let newest = model.map_or(0, |model| cx.view.weights(model));
        let home = self.home(run);
        let mut choices = Vec::new();
        let mut candidates = Vec::new();
        for (key, server) in self.servers.of(&run.service) {
            if !server.usable(cx.now) || run.tried.contains(&key) {
                continue;
            }
            let choice = self.consider(cx, run, engine, key, server, home == Some(key));
            let old = newest > server.version && server.version > 0;
            candidates.push(Candidate {
                running: server.runs(cx.now),
                slots: server.listed.slots,
                missing: choice.reading,
                ahead: server.reading,
                per_ms: READ_PER_MS,
                near: server.listed.zone == self.zone,
                penalty_ms: choice.transfer.millis + if old { OLD_WEIGHTS_MS } else { 0.0 },
            });
            choices.push(choice);
        }
        let index = direct::choose(&candidates, point)?;
        Some(choices.swap_remove(index))
    }

    /// What a prompt would need at a server.
    fn consider(
        &self,
        cx: &Context<'_>,
        run: &Run,
        engine: Option<&Engine>,
        key: Key,
        server: &Server,
        home: bool,
    ) -> Choice {
        let (Some(prompt), Some(engine)) = (&run.head.prompt, engine) else {
            return Choice { key, reading: 0, transfer: Transfer::default() };
        };
        let parts = &prompt.parts;
        let tokens = |parts: &[Named]| parts.iter().map(|part| u64::from(part.tokens)).sum::<u64>();
        let salt = salt_number(&salt(run, &prompt.model, server.version));
        let held = server.held.found(salt, parts);
        let mut transfer = self.stores.sources(cx, engine, &server.listed.zone, salt, parts, held);
        let own = parts.last().map_or(0, |part| u64::from(part.tokens));
        let history = tokens(parts).saturating_sub(own).saturating_sub(tokens(&parts[..held]));
        let unread = history.saturating_sub(transfer.tokens);
        let mut reading = unread + own;
        if home {
            reading -= (unread as f64 * LIKELY) as u64;
            transfer.millis *= 1.0 - LIKELY;
        }
        Choice { key, reading, transfer }
    }

    /// Where the subject of a prompt belongs: every entry finds the same server for it.
    fn home(&self, run: &Run) -> Option<Key> {
        let subject = subject(run)?;
        let servers = self.servers.of(&run.service);
        let fits = servers.filter(|(_, server)| !server.listed.leaving);
        fits.max_by_key(|(_, server)| salt_number(&format!("{subject}/{}", server.listed.id)))
            .map(|(key, _)| key)
    }
}

/// A server that a prompt could go to.
struct Choice {
    key: Key,
    /// Prompt tokens that it would read.
    reading: u64,
    transfer: Transfer,
}

/// ID of the last part that a prompt shares with others.
fn subject(run: &Run) -> Option<u64> {
    let parts = run.parts();
    let shared = parts.len().saturating_sub(1);
    parts.get(shared.checked_sub(1)?).map(|part| part.id)
}

/// What cached parts are shared under: never across weight versions, nor with a workspace that is
/// isolated.
fn salt(run: &Run, model: &Name, version: u64) -> Name {
    match &run.workspace {
        Some(workspace) if run.isolated => Name::from(format!("{workspace}/{model}/{version}")),
        _ => Name::from(format!("*/{model}/{version}")),
    }
}
