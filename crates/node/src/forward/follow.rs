//! Takes answers, losses and ends, and gives each request its final answer.

use base::prelude::*;
use record::RetryPolicy;
use route::direct;

use super::weights::request_report;
use super::{Action, Context, Failure, Forward, ResponseHead};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Status of a server that is not, or does not hold, what the request expects.
pub const MISDIRECTED: u16 = 421;
/// Most tries of a request that servers rejected unrun.
const MAX_REJECTED_ATTEMPTS: u32 = 3;

impl Forward {
    pub(super) fn answered(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        answer: &ResponseHead,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        let server = run.placement.and_then(|place| self.servers.get_mut(place.server));
        if let Some(server) = server {
            if let Some(load) = answer.load {
                server.set_load(cx.now, load);
            }
            if let Some(version) = answer.version {
                server.set_reported_version(cx.now, version);
            }
            if answer.status == MISDIRECTED {
                server.health.record_misdirection(cx.now);
                self.loads.mark_changed(server.listed.addr);
                // The leader asks a server that takes few calls.
                if server.health.throttle.is_none() && server.try_poll(cx.now) {
                    out.push(request_report(server));
                }
            }
        }
        if answer.matches_request
            && answer.status != MISDIRECTED
            && let Some(place) = run.placement
        {
            let request = (&run.head.id.clone(), run.sent_at);
            self.notice_from_response(cx, place.server, request, answer.notice, out);
        }
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if !answer.matches_request {
            // Bytes of another request: what became of this one is not known.
            self.failed(cx, call, Failure::NoResponse, out);
            return;
        }
        if answer.not_run {
            run.possibly_run = run.possibly_run.saturating_sub(1);
            if let Some(server) = run.placement.and_then(|place| self.servers.get_mut(place.server))
            {
                server.health.record_rejection(cx.now);
            }
            self.rejected(cx, call, answer.status, out);
            return;
        }
        if let Some(server) = run.placement.and_then(|place| self.servers.get_mut(place.server)) {
            server.health.record_success();
        }
        if run.delivery_started {
            // The rest of a stream that goes on here; its head is not passed on again.
            if answer.status != 200 {
                self.failed(cx, call, Failure::Aborted, out);
                return;
            }
        } else if answer.status >= 500
            && run.retry_policy == RetryPolicy::Always
            && self.take_retry(cx, call)
        {
            self.retry(cx, call, format!("status {}", answer.status), out);
            return;
        }
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if !run.delivery_started {
            run.status = answer.status;
        }
        run.delivery_started = true;
        out.push(Effect::Forward { call, action: Action::Deliver });
    }

    /// The first bytes of the body have come: the prompt is read.
    pub(super) fn body_started(&mut self, cx: &Context<'_>, call: u64) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        // A repeat goes on elsewhere after a time that says nothing of its server.
        if run.first_bytes_at.is_none() && run.attempts == 1 && run.head.prompt.is_some() {
            let fetch_ms = run.placement.and_then(|place| place.from).map_or(0.0, |(_, ms)| ms);
            let in_flight_ms = direct::in_flight_ms(run.inputs.in_flight);
            let millis =
                cx.now.since(run.sent_at).as_secs_f64() * 1_000.0 - fetch_ms - in_flight_ms;
            let tokens = (run.inputs.queued_tokens + run.inputs.prefill_tokens) as f64;
            self.prefill_rates.entry(run.service.clone()).or_default().add_sample(tokens, millis);
        }
        run.first_bytes_at.get_or_insert(cx.now);
        let Some(place) = &mut run.placement else {
            return;
        };
        if let Some(server) = self.servers.get_mut(place.server) {
            server.prefill_tokens =
                server.prefill_tokens.saturating_sub(std::mem::take(&mut place.reading));
            self.loads.mark_changed(server.listed.addr);
        }
        if let Some((source, millis)) = place.from.take() {
            self.stores.transfer_ended(source, millis);
            self.loads.mark_changed(source);
        }
    }

    pub(super) fn failed(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        failure: Failure,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if let Some(server) = run.placement.and_then(|place| self.servers.get_mut(place.server)) {
            if !server.health.is_ejected(cx.now) {
                let (server, why) = (server.listed.id.clone(), failure.as_str().to_owned());
                out.push(Effect::Decision(Box::new(Decision::Ejected { server, why })));
            }
            server.health.record_failure(cx.now);
        }
        if failure == Failure::NotSent {
            run.possibly_run = run.possibly_run.saturating_sub(1);
            self.rejected(cx, call, 0, out);
            return;
        }
        let passed = run.delivery_started;
        let may = match run.retry_policy {
            RetryPolicy::Never => false,
            RetryPolicy::Always => !passed,
            RetryPolicy::Resume => true,
        };
        if may && self.take_retry(cx, call) {
            self.retry(cx, call, failure.as_str().to_owned(), out);
            return;
        }
        let code = if passed { Code::Cut } else { Code::Unknown };
        self.record_failed_attempt(call, failure.as_str().to_owned(), "given up", out);
        self.reject(cx, call, code, "the backend server broke off", out);
    }

    /// A server did not run the request.
    fn rejected(&mut self, cx: &Context<'_>, call: u64, status: u16, out: &mut Effects) {
        let why = if status == 0 {
            Failure::NotSent.as_str().to_owned()
        } else {
            format!("status {status}, not run")
        };
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let (tries, service) = (run.attempts, run.service.clone());
        // Nothing that was not sent counts as a repeat at the service.
        let free = status == 0;
        if tries < MAX_REJECTED_ATTEMPTS && (free || self.spend_retry(cx, &service)) {
            self.retry(cx, call, why, out);
            return;
        }
        self.record_failed_attempt(call, why, "given up", out);
        let retry_after = self.retry_after(cx.now, &service);
        let rejection = (Code::Overloaded, "the backend servers are full");
        self.reject_with_retry_after(cx, call, rejection, retry_after, out);
    }

    /// Whether a request that may have run may be tried once more; takes a part of the budget.
    fn take_retry(&mut self, cx: &Context<'_>, call: u64) -> bool {
        let Some(run) = self.runs.get(&call) else {
            return false;
        };
        let service = run.service.clone();
        run.possibly_run < run.max_attempts && self.spend_retry(cx, &service)
    }

    fn spend_retry(&mut self, cx: &Context<'_>, service: &Name) -> bool {
        let retries = self.retry_budgets.entry(service.clone()).or_default();
        retries.spend(cx.now, &self.config.allowance, cx.entries)
    }

    fn retry(&mut self, cx: &Context<'_>, call: u64, why: String, out: &mut Effects) {
        self.record_failed_attempt(call, why, "tried again", out);
        self.release(call);
        self.place(cx, call, out);
    }

    fn record_failed_attempt(&self, call: u64, why: String, then: &'static str, out: &mut Effects) {
        if let Some(run) = self.runs.get(&call) {
            let server = run.last_server.clone().unwrap_or_default();
            let request = run.head.id.clone();
            out.push(Effect::Decision(Box::new(Decision::AttemptFailed {
                request,
                server,
                why,
                then,
            })));
        }
    }

    pub(super) fn completed(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        self.end(cx, call, Code::Ok, None, out);
    }

    pub(super) fn client_disconnected(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        self.awaiting_config.retain(|(_, held, _)| *held != call);
        self.end(cx, call, Code::Cancelled, Some(0), out);
    }

    pub(super) fn deadline_passed(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let code = if run.possibly_run > 0 { Code::DeadlineRunning } else { Code::Late };
        self.reject(cx, call, code, "the time for it has passed", out);
    }

    /// Gives a request its final answer, or breaks its answer off.
    pub(super) fn reject(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        code: Code,
        text: &'static str,
        out: &mut Effects,
    ) {
        self.reject_with_retry_after(cx, call, (code, text), None, out);
    }

    /// The same, with the time after which the caller may come back.
    pub(super) fn reject_with_retry_after(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        (code, text): (Code, &'static str),
        retry_after: Option<Duration>,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        // What has been sent may have run, so nothing may promise that it has not.
        let code =
            if run.possibly_run > 0 && code.fate() == Fate::NotRun { Code::Unknown } else { code };
        let rejection = self.rejection(code, text, retry_after);
        let status = rejection.status;
        out.push(Effect::Forward { call, action: Action::Reject(rejection) });
        self.end(cx, call, code, Some(status), out);
    }

    fn end(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        code: Code,
        status: Option<u16>,
        out: &mut Effects,
    ) {
        self.release(call);
        let Some(run) = self.runs.remove(&call) else {
            return;
        };
        self.deadlines.remove(&(run.deadline, call));
        out.push(Effect::Decision(Box::new(Decision::Ended {
            status: status.unwrap_or(run.status),
            took: cx.now.since(run.arrived_at),
            first: run.first_bytes_at.map(|at| at.since(run.arrived_at)),
            request: run.head.id,
            route: run.route,
            server: run.last_server,
            tries: run.attempts,
            basis: run.inputs,
            code,
        })));
    }

    /// The present try no longer counts at its server.
    fn release(&mut self, call: u64) {
        let Some(place) = self.runs.get_mut(&call).and_then(|run| run.placement.take()) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(place.server) {
            server.running = server.running.saturating_sub(1);
            server.tokens = server.tokens.saturating_sub(place.tokens);
            server.prefill_tokens = server.prefill_tokens.saturating_sub(place.reading);
            self.loads.mark_changed(server.listed.addr);
        }
        if let Some((source, millis)) = place.from {
            self.stores.transfer_ended(source, millis);
            self.loads.mark_changed(source);
        }
    }
}
