//! Chooses the server of a request's next attempt.

use base::prelude::*;
use cache::salt_number;
use fleet::{Eligibility, Health, Key, Server, Servers};
use rand::Rng;
use record::{Engine, Restriction};
use resume::Fit;
use route::direct::{self, Candidate};
use route::overload;

use super::permits::MAX_PERMIT_REQUESTS;
use super::saves;
use super::stores::{Sources, Transfer};
use super::{Action, Attempt, Context, Forward, Placement, Prompt, Run, jitter};
use crate::decision::{Allowed, Decision, Exclusion, PlacementInputs, Waited};
use crate::{Effect, Effects};

/// Fraction of an engine's memory that is assumed to cache prompt segments; the rest is for runs.
const CACHE_FRACTION: f64 = 0.6;
/// How long segments that this entry sent to a server may take to appear in its events.
const EVENT_DELAY: Duration = Duration::from_millis(1_500);
/// Cost difference within which a rate-limited server counts as equal to another, milliseconds: about the
/// round trip to the leader.
const PERMIT_COST_MS: f64 = 3.0;
/// Minimum time that a request must gain to use a fresh permit, milliseconds: about the fetch of a history from a
/// store.
const MIN_GAIN_MS: f64 = 20.0;
/// Fraction of the interval between two permits during which the next permit is reserved for requests that gain
/// by it: about what the capacity of a bucket covers.
const RESERVED_FRACTION: f64 = 0.25;
/// Penalty of a server that holds an older weight version than the newest, milliseconds.
const OLD_WEIGHTS_PENALTY_MS: f64 = 1_000.0;

impl Forward {
    /// Sends a request to a server, requests a permit for one, or rejects the request.
    pub(super) fn place(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        if let Some(hold) = self.quarantined(cx, call) {
            self.hold_back(cx, call, &hold, out);
            return;
        }
        if self.waits_behind(cx, call, out) {
            return;
        }
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let mut options = self.options(cx, run);
        // A request that waits in the queue needs no permit to save yet.
        let is_limited = options.choices.iter().any(|choice| choice.limited);
        if is_limited {
            self.leave_queue(cx.now, call, Waited::Sent, out);
        } else if !self.admitted(cx, call, &mut options, out) {
            return;
        }
        let waits = self.request_saves_of_best(cx, call, &options, out);
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        if run.permit_requests < MAX_PERMIT_REQUESTS
            && options.choices.iter().any(|choice| choice.limited)
        {
            let unlimited_ms =
                options.best().map(|index| direct::cost_ms(&options.candidates[index]));
            let wanted = options.limited(&self.servers, cx.now, unlimited_ms);
            if !wanted.is_empty()
                && self.request_permit(cx, call, wanted, unlimited_ms.is_none(), out)
            {
                return;
            }
        }
        if !waits {
            self.place_among(cx, call, options, None, out);
        }
    }

    /// Requests a permit to save segments of a prompt before its first attempt; returns whether it has to wait for that.
    fn request_saves_of_best(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        options: &Options,
        out: &mut Effects,
    ) -> bool {
        let may_request = |run: &Run| {
            run.attempts == 0
                && matches!(
                    run.save_permit,
                    saves::Permit::Unrequested | saves::Permit::Requested(_)
                )
        };
        if !self.runs.get(&call).is_some_and(may_request) {
            return false;
        }
        let Some(sources) = options.sources_of_best() else {
            return false;
        };
        let wanted = self.stores.unsaved(cx, sources);
        self.request_saves(cx, call, wanted, out)
    }

    /// Sends a request to a server without a rate limit, or rejects it, with the given Retry-After if any.
    pub(super) fn place_unlimited(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        retry_after: Option<Duration>,
        out: &mut Effects,
    ) {
        if let Some(run) = self.runs.get(&call) {
            let options = self.options(cx, run);
            self.place_among(cx, call, options, retry_after, out);
        }
    }

    fn place_among(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        mut options: Options,
        retry_after: Option<Duration>,
        out: &mut Effects,
    ) {
        let is_risky = self.runs.get(&call).is_some_and(|run| run.is_trial || run.is_suspect);
        if options.chosen.is_none() && !self.admitted(cx, call, &mut options, out) {
            return;
        }
        let best = if is_risky {
            options.least_used()
        } else {
            options.chosen.or_else(|| options.choose(self.rng.random()))
        };
        let late = best
            .filter(|_| options.chosen.is_none())
            .and_then(|index| self.retry_if_late(cx, call, &options, index));
        if let Some(retry_after) = late {
            let rejection = (Code::Overloaded, "it would be served too late now");
            self.reject_with_retry_after(cx, call, rejection, Some(retry_after), out);
            return;
        }
        if let Some(index) = best {
            self.leave_queue(cx.now, call, Waited::Sent, out);
            self.send(cx, call, options.take(index), out);
            return;
        }
        if let Some(run) = self.runs.get(&call).filter(|run| run.binding.is_final())
            && options.candidates.is_empty()
            && options.exclusion.is_none()
        {
            let refusal = self.version_refusal(cx.now, run);
            self.refuse_stream(cx, call, refusal, out);
            return;
        }
        let exclusion = options.exclusion.filter(|_| options.candidates.is_empty());
        let rejection = if let Some(exclusion) = exclusion {
            (Code::NoServer, exclusion.rejection())
        } else if options.candidates.is_empty() {
            (Code::NoServer, "no backend server can take it now")
        } else {
            (Code::Overloaded, "the backend servers take no more now")
        };
        if let Some(run) = self.runs.get_mut(&call) {
            run.inputs.allowed = options.allowed;
            run.inputs.exclusion = exclusion;
        }
        let service = self.runs.get(&call).map(|run| run.service.clone());
        let retry_after = retry_after.or_else(|| self.retry_after(cx.now, &service?));
        self.reject_with_retry_after(cx, call, rejection, retry_after, out);
    }

    /// The Retry-After for a prompt that would miss its target even at the best server; none if it is to be
    /// sent. A request that may have run is not rejected for that, and neither is any request while the
    /// inventories are not available, as after a start: all prompts then seem to need a full prefill.
    fn retry_if_late(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        options: &Options,
        best: usize,
    ) -> Option<Duration> {
        if !self.knows_holdings(cx, options, best) {
            return None;
        }
        let best = &options.candidates[best];
        let run = self.runs.get_mut(&call)?;
        if run.head.prompt.is_none()
            || run.possible_executions > 0
            || run.attempts > 0
            || run.is_trial
        {
            return None;
        }
        let waited = cx.now.since(run.arrived_at);
        // The first event of a stream that goes on is not the one that has a target.
        let is_resumed = run.binding.is_final();
        let target = if is_resumed { run.deadline.since(run.arrived_at) } else { run.target };
        let retry_after = overload::admit(best, target, waited).err()?;
        run.inputs.cost_ms = direct::cost_ms(best);
        (run.inputs.queued_tokens, run.inputs.in_flight) = (best.queued_tokens, best.running);
        Some(jitter(&mut self.rng, retry_after))
    }

    /// Whether the inventories of a server and of the stores are available.
    pub(super) fn knows_holdings(&self, cx: &Context<'_>, options: &Options, index: usize) -> bool {
        let choice = &options.choices[index];
        let server = self.servers.get(choice.key);
        server.zip(options.sources_of(choice.version)).is_some_and(|(server, sources)| {
            self.stores.has_holdings_of(server.listed.addr)
                && self.stores.has_store_holdings(cx, sources)
        })
    }

    /// Sends a request to the server that its permit is for, unless the server is not eligible any more.
    pub(super) fn place_on(&mut self, cx: &Context<'_>, call: u64, key: Key, out: &mut Effects) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let options = self.options(cx, run);
        match options.choices.iter().position(|choice| choice.key == key) {
            Some(index) => self.send(cx, call, options.take(index), out),
            None => self.place(cx, call, out),
        }
    }

    fn send(&mut self, cx: &Context<'_>, call: u64, choice: Choice, out: &mut Effects) {
        let Choice { key, version: expected, transfer, sources, candidate, allowed } = choice;
        let prefill_tokens = candidate.prefill_tokens;
        let list_age = self.servers.read_at().map_or(Duration::MAX, |at| cx.now.since(at));
        let engine = self.runs.get(&call).and_then(|run| engine(cx, run));
        let (Some(run), Some(server)) = (self.runs.get_mut(&call), self.servers.get_mut(key))
        else {
            return;
        };
        let version = (engine.is_some() && expected > 0).then_some(expected);
        let prompt = run.head.prompt.as_ref();
        let salt = prompt.map(|prompt| salt(run, &sources.restriction, &prompt.model, expected));
        run.sent_at = cx.now;
        run.attempts += 1;
        if self.config.queue && run.attempts == 1 && run.head.prompt.is_some() {
            self.waiting.sent(cx.now, run);
        }
        run.possible_executions += 1;
        run.tried_servers.push(key);
        let software = server.listed.software.clone();
        if run.delivery_started {
            out.push(Effect::Decision(Box::new(Decision::Resumed {
                request: run.head.id.clone(),
                server: server.listed.id.clone(),
                software: software.clone(),
                from_server: run.last_server.clone().unwrap_or_default(),
                from_software: run.last_software.clone().unwrap_or_default(),
            })));
        }
        run.last_server = Some(server.listed.id.clone());
        run.last_software = Some(software.clone());
        run.inputs = PlacementInputs {
            prefill_tokens,
            transfer_tokens: transfer.fetched_tokens,
            queued_tokens: candidate.queued_tokens,
            in_flight: candidate.running,
            cost_ms: direct::cost_ms(&candidate),
            list_age,
            version: expected,
            allowed,
            limit: server.health.limit_in_force(cx.now),
            save_permit: run.inputs.save_permit,
            ..PlacementInputs::default()
        };
        let memory_tokens = candidate.memory_needed;
        run.placement = Some(Placement {
            server: key,
            prefill_tokens,
            memory_tokens,
            transfer: transfer.main_source,
            head_at: None,
            body_at: None,
        });
        server.in_flight += 1;
        server.memory_tokens += memory_tokens;
        server.prefill_tokens += prefill_tokens;
        let mut save = Vec::new();
        if let (Some(_), Some(engine)) = (&salt, engine) {
            let cache_tokens = (engine.tokens as f64 * CACHE_FRACTION) as u64;
            server.segment_cache.insert(cx.now, sources.salt(), run.segments(), cache_tokens);
            save = self.stores.save(&sources, self.saves.permitted(run.save_permit));
        }
        run.save_permit = match run.save_permit {
            saves::Permit::Issued(number) if save.iter().any(Option::is_some) => {
                saves::Permit::Used(number)
            }
            saves::Permit::Issued(number) => {
                self.saves.end(cx.now, number);
                saves::Permit::Over
            }
            // An earlier attempt that may still run has it.
            _ => saves::Permit::Over,
        };
        let addr = server.listed.addr;
        let fetch_until_ms = sources.fetch_until_ms(&transfer.fetch);
        let first_source = transfer.fetch.iter().copied().flatten().next();
        run.inputs.fetch_from = transfer.main_source.map(|(source, _)| source).or(first_source);
        run.inputs.fetch_until_ms = fetch_until_ms;
        run.inputs.saves = save.iter().flatten().count();
        let attempt = Attempt {
            id: server.listed.id.clone(),
            addr,
            time_left: run.deadline.since(cx.now),
            workspace: run.workspace.clone(),
            rank: run.rank,
            version,
            salt,
            // The last segment belongs to this request only: it is stored nowhere, and no other needs it.
            fetch: transfer.fetch.into_iter().chain([None]).collect(),
            fetch_until_ms,
            save: save.into_iter().chain([None]).collect(),
        };
        self.bind_stream(cx.now, call, &software);
        self.loads.mark_changed(addr);
        if let Some((source, millis)) = transfer.main_source {
            self.stores.transfer_started(source, millis);
            self.loads.mark_changed(source);
        }
        if self
            .runs
            .get(&call)
            .is_some_and(|run| run.head.resumption.is_some() && run.attempts == 1)
        {
            self.note_resumption(cx, call, None, out);
        }
        out.push(Effect::Forward { call, action: Action::Send(Box::new(attempt)) });
    }

    /// The servers that a request can be sent to.
    fn options(&self, cx: &Context<'_>, run: &Run) -> Options {
        let allowed = model(cx, run).map(|model| self.allowed(cx.now, model)).unwrap_or_default();
        let prompt = run.head.prompt.as_ref().zip(engine(cx, run));
        let tokens_per_ms =
            self.prefill_rates.get(&run.service).copied().unwrap_or_default().tokens_per_ms();
        let work_ms = match prompt {
            Some(_) => 0.0,
            None => self.service_times.get(&run.service).copied().unwrap_or_default().millis(),
        };
        let restriction = run.restriction(cx.view, &self.config.regions);
        let mut options = Options { allowed, ..Options::default() };
        for (key, server) in self.servers.of_service(&run.service) {
            let version = expected_version(server, allowed);
            let too_old = version < allowed.oldest;
            let drain = self.config.server_drain;
            let eligibility = if run.binding.is_final() {
                server.bound_eligibility(cx.now, drain)
            } else {
                server.eligibility(cx.now, drain)
            };
            let fit = run.binding.fit(&server.listed.software);
            if eligibility == Eligibility::Ineligible
                || too_old
                || run.tried_servers.contains(&key)
                || fit == Fit::Unfit
                || (fit == Fit::Moves && !self.streams.can_move(&run.recorded))
            {
                continue;
            }
            if !restriction.allows(&server.listed.zone) {
                options.exclusion.get_or_insert(Exclusion::Region);
                continue;
            }
            if cx.view.is_evacuated(&server.listed.zone) {
                options.exclusion = Some(Exclusion::Evacuated);
                continue;
            }
            let mut transfer = Transfer::default();
            let mut prefill_tokens = 0;
            if let Some((prompt, engine)) = prompt {
                let sources_by_version = &mut options.sources_by_version;
                let sources = sources_by_version.iter().position(|(found, _)| *found == version);
                let sources = sources.unwrap_or_else(|| {
                    let salt = salt_number(&salt(run, &restriction, &prompt.model, version));
                    let lease = self.stores.fence.lease(cx.now, &prompt.model, version);
                    let shared = (salt, lease, restriction.clone());
                    let found =
                        self.stores.sources(cx, &self.servers, engine, shared, &prompt.segments);
                    sources_by_version.push((version, found));
                    sources_by_version.len() - 1
                });
                transfer = self.transfer_for(
                    cx,
                    &sources_by_version[sources].1,
                    prompt,
                    engine,
                    server,
                    tokens_per_ms,
                );
                let all =
                    prompt.segments.iter().map(|segment| u64::from(segment.tokens)).sum::<u64>();
                prefill_tokens = all - transfer.held_tokens - transfer.fetched_tokens;
            }
            let old = version < allowed.newest;
            options.candidates.push(Candidate {
                running: server.runs(cx.now),
                slots: server.listed.slots,
                prefill_tokens,
                queued_tokens: server.prefill_backlog(cx.now),
                tokens_per_ms,
                same_zone: server.listed.zone == self.zone,
                memory_in_use: server.total_memory_tokens(cx.now),
                memory_needed: prompt.map_or(0, |(prompt, _)| prompt.memory_tokens()),
                memory_capacity: prompt.map_or(0, |(_, engine)| engine.tokens),
                transfer_ms: transfer.fetch_ms,
                work_ms,
                slowdown: server.slowdown(cx.now),
                penalty_ms: if old { OLD_WEIGHTS_PENALTY_MS } else { 0.0 },
            });
            let limited = server.health.effective_rate(cx.now).is_some();
            let choice = EligibleServer { key, version, transfer, eligibility, limited, fit };
            options.choices.push(choice);
        }
        options.drop_moves();
        options.drop_last_resort();
        options
    }

    /// The transfers of a prompt for a server.
    fn transfer_for(
        &self,
        cx: &Context<'_>,
        sources: &Sources,
        prompt: &Prompt,
        engine: &Engine,
        server: &Server,
        tokens_per_ms: f64,
    ) -> Transfer {
        let addr = server.listed.addr;
        let since = if self.stores.has_holdings_of(addr) {
            Time(cx.now.0.saturating_sub(EVENT_DELAY.as_micros() as u64))
        } else {
            Time::ZERO
        };
        let recent_prefix =
            server.segment_cache.cached_prefix(sources.salt(), &prompt.segments, since);
        let target = (addr, &server.listed.zone);
        // All runs of an engine wait during a prefill, so a fast engine also fetches where a slow one would.
        let tokens_per_ms = tokens_per_ms.min(route::INITIAL_TOKENS_PER_MS);
        self.stores.transfer(cx.now, sources, engine, target, recent_prefix, tokens_per_ms)
    }
}

/// A server that a request can be sent to.
pub(super) struct EligibleServer {
    pub(super) key: Key,
    /// Weight version that it is expected to hold.
    version: u64,
    transfer: Transfer,
    eligibility: Eligibility,
    /// Whether it needs a permit.
    limited: bool,
    /// How well it fits the stream.
    fit: Fit,
}

/// The servers that a request can be sent to, with the data that was computed for them.
#[derive(Default)]
pub(super) struct Options {
    allowed: Allowed,
    pub(super) candidates: Vec<Candidate>,
    /// The servers of `candidates`, in the same order.
    pub(super) choices: Vec<EligibleServer>,
    /// Why servers that could take the request are left out.
    exclusion: Option<Exclusion>,
    /// The server that the request was admitted to, if that was decided.
    pub(super) chosen: Option<usize>,
    /// Sources of the prompt's segments, by weight version.
    sources_by_version: Vec<(u64, Sources)>,
}

impl Options {
    /// The sources of the prompt's segments for a weight version.
    fn sources_of(&self, version: u64) -> Option<&Sources> {
        let mut found = self.sources_by_version.iter();
        found.find(|(of, _)| *of == version).map(|(_, sources)| sources)
    }

    /// The sources for the weight version of the server with the lowest cost, with a rate limit or not.
    fn sources_of_best(&self) -> Option<&Sources> {
        if let [(_, only)] = self.sources_by_version.as_slice() {
            return Some(only);
        }
        let least_used =
            || (0..self.choices.len()).min_by_key(|index| self.candidates[*index].running);
        let best = self.best().or_else(least_used)?;
        self.sources_of(self.choices[best].version)
    }

    /// Removes servers that the stream would move to, if there is one of its software version.
    fn drop_moves(&mut self) {
        if self.choices.iter().any(|choice| choice.fit == Fit::Fits) {
            self.retain(|choice| choice.fit == Fit::Fits);
        }
    }

    fn retain(&mut self, keep: impl Fn(&EligibleServer) -> bool) {
        let mut kept = self.choices.iter().map(&keep);
        self.candidates.retain(|_| kept.next().unwrap_or_default());
        self.choices.retain(&keep);
    }

    /// Removes servers that are a last resort, if there is an eligible one.
    fn drop_last_resort(&mut self) {
        let is_eligible = |choice: &EligibleServer| choice.eligibility == Eligibility::Eligible;
        if self.choices.iter().any(is_eligible) {
            self.retain(is_eligible);
        }
    }

    /// The server without a rate limit that has the lowest cost.
    fn best(&self) -> Option<usize> {
        self.best_within(0.0, 0.0)
    }

    /// The same; servers count as equal up to `tie_ms` above the lowest cost, and `point` selects among them.
    pub(super) fn best_within(&self, tie_ms: f64, point: f64) -> Option<usize> {
        self.unlimited(|candidates| direct::choose_within(candidates, tie_ms, point))
    }

    /// The server without a rate limit that the request is sent to.
    fn choose(&self, point: f64) -> Option<usize> {
        self.unlimited(|candidates| direct::choose(candidates, point))
    }

    /// The one that is chosen among the servers without a rate limit.
    fn unlimited(&self, choose: impl FnOnce(&[Candidate]) -> Option<usize>) -> Option<usize> {
        let all = self.candidates.iter().zip(&self.choices).enumerate();
        let (indexes, unlimited): (Vec<usize>, Vec<Candidate>) = all
            .filter(|(_, (_, choice))| !choice.limited)
            .map(|(index, (candidate, _))| (index, *candidate))
            .unzip();
        choose(&unlimited).map(|index| indexes[index])
    }

    /// The server without a rate limit that has the fewest runs: a request that may crash it ends those too.
    fn least_used(&self) -> Option<usize> {
        let unlimited = (0..self.choices.len()).filter(|index| !self.choices[*index].limited);
        unlimited.min_by_key(|index| self.candidates[*index].running)
    }

    /// The rate-limited servers that are worth a permit, best first. `unlimited_ms` is the cost of the best
    /// server without a limit; if there is none, all rate-limited servers are returned.
    fn limited(&self, servers: &Servers, now: Time, unlimited_ms: Option<f64>) -> Vec<Key> {
        let mut found: Vec<(f64, Key)> = Vec::new();
        for (candidate, choice) in self.candidates.iter().zip(&self.choices) {
            let health = servers.get(choice.key).map(|server| &server.health);
            let Some(health) = health.filter(|_| choice.limited) else {
                continue;
            };
            let cost = direct::cost_ms(candidate);
            if unlimited_ms.is_none_or(|unlimited| is_worth(health, now, unlimited - cost)) {
                found.push((cost, choice.key));
            }
        }
        found.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        found.into_iter().map(|(_, key)| key).collect()
    }

    fn take(mut self, index: usize) -> Choice {
        let candidate = self.candidates[index];
        let EligibleServer { key, version, transfer, .. } = self.choices.swap_remove(index);
        let sources = self.sources_by_version.into_iter().find(|(found, _)| *found == version);
        let sources = sources.map(|(_, sources)| sources).unwrap_or_default();
        Choice { key, version, transfer, sources, candidate, allowed: self.allowed }
    }
}

/// Whether a request that would gain `gain_ms` milliseconds at a rate-limited server requests a permit. A
/// fresh permit is reserved for requests that gain by it; later any request may use it. A server whose limit
/// was not confirmed for longer than an interval gets a request in any case, since only its responses show
/// that the limit is lifted. A server that is only cold gets requests that gain by it, and those that show whether it
/// has returned.
fn is_worth(health: &Health, now: Time, gain_ms: f64) -> bool {
    if now < health.denied_until {
        return false;
    }
    if health.cold.is_unreachable() {
        return health.cold.needs_probe(now);
    }
    let Some(rate_limit) = &health.rate_limit else {
        return gain_ms >= MIN_GAIN_MS;
    };
    let interval = limit::permit_interval(rate_limit.limit.per_second());
    let reserved = now.since(health.denied_until) < interval.mul_f64(RESERVED_FRACTION);
    let stale = now.since(rate_limit.last_named) >= interval;
    gain_ms >= if reserved { MIN_GAIN_MS } else { -PERMIT_COST_MS } || stale
}

/// The server that a request is sent to.
struct Choice {
    key: Key,
    version: u64,
    transfer: Transfer,
    sources: Sources,
    candidate: Candidate,
    allowed: Allowed,
}

/// The weight version that an attempt expects of a server. If the server has not reported one, that is the
/// newest, which new servers load.
fn expected_version(server: &Server, allowed: Allowed) -> u64 {
    if server.version > 0 { server.version } else { allowed.newest }
}

/// The model that a request runs on, if its service has engines.
fn model<'a>(cx: &Context<'a>, run: &'a Run) -> Option<&'a Name> {
    let engine = engine(cx, run)?;
    Some(run.head.prompt.as_ref().map_or(&engine.model, |prompt| &prompt.model))
}

/// The engine of a request's service, if it has one.
pub(super) fn engine<'a>(cx: &Context<'a>, run: &Run) -> Option<&'a Engine> {
    cx.view.service(&run.service).and_then(|service| service.engine.as_ref())
}

/// The salt under which cached segments are shared: never across weight versions, and never between an
/// isolated workspace and others, nor between requests with different restrictions: a segment would be moved where
/// some of them may not use it.
fn salt(run: &Run, restriction: &Restriction, model: &Name, version: u64) -> Name {
    let workspace = run.workspace.as_deref().filter(|_| run.isolated).unwrap_or("*");
    let regions = restriction.id().map_or_else(String::new, |id| format!("@{id}/"));
    Name::from(format!("{regions}{workspace}/{model}/{version}"))
}
