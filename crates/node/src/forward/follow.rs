//! Handles responses, failed attempts and the end of each request.

use base::prelude::*;
use fleet::Key;
use record::RetryPolicy;
use route::direct;

use super::weights::request_report;
use super::{Action, Context, Failure, Forward, Placement, Progress, ResponseHead, saves};
use crate::decision::{Decision, PlacementInputs, Waited};
use crate::{Effect, Effects};

/// Status of a server that is not the one that the request names, or does not hold the expected version.
pub const MISDIRECTED: u16 = 421;
/// Statuses that promise a client that its request has not run. A server gives that promise by a header.
const PROMISES: [u16; 3] = [408, 429, 503];
/// Maximum number of attempts of a request that servers reject without running it.
const MAX_REJECTED_ATTEMPTS: u32 = 3;

impl Forward {
    pub(super) fn response_received(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        response: &ResponseHead,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&call) else {
            self.late_response_received(cx, call, response, out);
            return;
        };
        if let Some(placement) = run.placement {
            let request = (&run.head.id.clone(), run.sent_at);
            self.server_responded(cx, placement.server, request, response, out);
            if response.matches_request && response.status != MISDIRECTED {
                self.run_answered(cx, call);
            }
        }
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if let Some(placement) = &mut run.placement {
            placement.head_at = Some(cx.now);
        }
        run.inputs.connection = response.connection;
        if !response.matches_request {
            // The response belongs to another request, so the outcome of this one is unknown.
            self.attempt_failed(cx, call, Failure::NoResponse, out);
            return;
        }
        if response.not_run {
            run.possible_executions = run.possible_executions.saturating_sub(1);
            run.save_permit.reissue();
            if let Some(server) =
                run.placement.and_then(|placement| self.servers.get_mut(placement.server))
            {
                server.health.record_rejection(cx.now);
            }
            self.rejected(cx, call, response.status, out);
            return;
        }
        if PROMISES.contains(&response.status) && run.retry_policy != RetryPolicy::Always {
            // Delivered, it would promise what the server has not.
            self.attempt_failed(cx, call, Failure::NoResponse, out);
            return;
        }
        if let Some(server) =
            run.placement.and_then(|placement| self.servers.get_mut(placement.server))
        {
            server.health.record_success();
            if run.head.prompt.is_none() && run.attempts == 1 {
                let millis = cx.now.since(run.sent_at).as_secs_f64() * 1_000.0;
                let time = self.service_times.entry(run.service.clone()).or_default();
                time.add_sample(millis, server.slowdown(cx.now));
            }
        }
        if run.delivery_started {
            // This response continues a stream, so its head is not delivered again.
            if !response.is_event_stream {
                self.attempt_failed(cx, call, Failure::Aborted, out);
                return;
            }
        } else if response.status >= 500
            && run.retry_policy == RetryPolicy::Always
            && self.take_retry(cx, call)
        {
            self.retry(cx, call, format!("status {}", response.status), out);
            return;
        }
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if !run.delivery_started {
            run.status = response.status;
            run.is_event_stream = response.is_event_stream;
        }
        if run.recorded.is_unacknowledged() {
            run.recorded.hold();
            return;
        }
        self.deliver(call, out);
    }

    /// Applies what a response says about its server.
    pub(super) fn server_responded(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        request: (&Name, Time),
        response: &ResponseHead,
        out: &mut Effects,
    ) {
        // A response to another request may be of any age.
        if !response.matches_request {
            return;
        }
        if let Some(server) = self.servers.get_mut(key) {
            if let Some(load) = response.load {
                server.set_load(cx.now, load);
            }
            if let Some(version) = response.version {
                server.set_reported_version(cx.now, version);
            }
            if response.status == MISDIRECTED {
                server.health.record_misdirection(cx.now);
                self.loads.mark_changed(server.listed.addr);
                // Only the leader requests the report of a rate-limited server.
                if server.health.rate_limit.is_none()
                    && server.try_poll(cx.now)
                    && server.health.allow_own_call(cx.now)
                {
                    out.push(request_report(server));
                }
            }
        }
        if response.status != MISDIRECTED {
            self.notice_from_response(cx, key, request, response.notice, out);
            if response.status < 500 && !response.not_run {
                self.server_reachable(cx, key, request.1, out);
            }
        }
    }

    /// The first bytes of the body were delivered, so the prefill is complete.
    pub(super) fn body_started(&mut self, cx: &Context<'_>, call: u64) {
        self.saves_begun(cx.now, call);
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        // Only first attempts are sampled: a retry continues at another server, and its time says nothing about the
        // prefill rate there.
        if run.first_bytes_at.is_none() && run.attempts == 1 && run.head.prompt.is_some() {
            let fetch_ms =
                run.placement.and_then(|placement| placement.transfer).map_or(0.0, |(_, ms)| ms);
            let in_flight_ms = direct::in_flight_ms(run.inputs.in_flight);
            let millis =
                cx.now.since(run.sent_at).as_secs_f64() * 1_000.0 - fetch_ms - in_flight_ms;
            let tokens = (run.inputs.queued_tokens + run.inputs.prefill_tokens) as f64;
            self.prefill_rates.entry(run.service.clone()).or_default().add_sample(tokens, millis);
        }
        run.first_bytes_at.get_or_insert(cx.now);
        let Some(placement) = &mut run.placement else {
            return;
        };
        placement.body_at.get_or_insert(cx.now);
        if let Some(server) = self.servers.get_mut(placement.server) {
            server.prefill_tokens =
                server.prefill_tokens.saturating_sub(std::mem::take(&mut placement.prefill_tokens));
            self.loads.mark_changed(server.listed.addr);
        }
        if let Some((source, millis)) = placement.transfer.take() {
            self.stores.transfer_ended(source, millis);
            self.loads.mark_changed(source);
        }
        let service = run.service.clone();
        self.wake_waiting(&service);
        self.response_begun(cx.now, call);
    }

    pub(super) fn attempt_failed(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        failure: Failure,
        out: &mut Effects,
    ) {
        self.run_lost(cx, call, failure);
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if failure != Failure::NotSent && run.head.prompt.is_some() {
            run.is_suspect |= run.placement.is_some_and(|placement| placement.body_at.is_none());
        }
        if let Some(server) =
            run.placement.and_then(|placement| self.servers.get_mut(placement.server))
        {
            if !server.health.is_ejected(cx.now) {
                let (server, reason) = (server.listed.id.clone(), failure.as_str().to_owned());
                out.push(Effect::Decision(Box::new(Decision::Ejected { server, reason })));
            }
            server.health.record_failure(cx.now);
        }
        if failure == Failure::NotSent {
            run.possible_executions = run.possible_executions.saturating_sub(1);
            run.save_permit.reissue();
            self.rejected(cx, call, 0, out);
            return;
        }
        let delivery_started = run.delivery_started;
        let may_retry = match run.retry_policy {
            RetryPolicy::Never => false,
            RetryPolicy::Always => !delivery_started,
            RetryPolicy::Resume => !delivery_started || run.is_event_stream,
        };
        if may_retry && self.take_retry(cx, call) {
            self.retry(cx, call, failure.as_str().to_owned(), out);
            return;
        }
        let code = if delivery_started { Code::Cut } else { Code::Unknown };
        self.record_failed_attempt(cx.now, call, failure.as_str().to_owned(), "given up", out);
        self.reject(cx, call, code, "the backend server broke off", out);
    }

    /// Handles an attempt that was not run: `status` is that of the server, or 0 if nothing was sent.
    fn rejected(&mut self, cx: &Context<'_>, call: u64, status: u16, out: &mut Effects) {
        let reason = if status == 0 {
            Failure::NotSent.as_str().to_owned()
        } else {
            format!("status {status}, not run")
        };
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let (attempts, service) = (run.attempts, run.service.clone());
        // An attempt that was not sent does not use the retry budget of the service.
        let unsent = status == 0;
        if attempts < MAX_REJECTED_ATTEMPTS && (unsent || self.spend_retry(cx, &service)) {
            self.retry(cx, call, reason, out);
            return;
        }
        self.record_failed_attempt(cx.now, call, reason, "given up", out);
        let retry_after = self.retry_after(cx.now, &service);
        let rejection = (Code::Overloaded, "the backend servers are full");
        self.reject_with_retry_after(cx, call, rejection, retry_after, out);
    }

    /// Whether a request that may have run may be retried; takes a retry from the budget.
    fn take_retry(&mut self, cx: &Context<'_>, call: u64) -> bool {
        let Some(run) = self.runs.get(&call) else {
            return false;
        };
        let service = run.service.clone();
        run.possible_executions < run.max_attempts && self.spend_retry(cx, &service)
    }

    fn spend_retry(&mut self, cx: &Context<'_>, service: &Name) -> bool {
        let retries = self.retry_budgets.entry(service.clone()).or_default();
        retries.spend(cx.now, &self.config.allowance, cx.entries)
    }

    fn retry(&mut self, cx: &Context<'_>, call: u64, reason: String, out: &mut Effects) {
        self.record_failed_attempt(cx.now, call, reason, "tried again", out);
        self.release(call);
        self.place(cx, call, out);
    }

    fn record_failed_attempt(
        &self,
        now: Time,
        call: u64,
        reason: String,
        action: &'static str,
        out: &mut Effects,
    ) {
        if let Some(run) = self.runs.get(&call) {
            let server = run.last_server.clone().unwrap_or_default();
            let request = run.head.id.clone();
            let progress =
                run.placement.map_or(Progress::Sent, |placement| placement.progress(now));
            let segments = run.segments().iter().map(|segment| segment.id).collect();
            out.push(Effect::Decision(Box::new(Decision::AttemptFailed {
                request,
                server,
                reason,
                action,
                progress,
                segments,
            })));
        }
    }

    pub(super) fn completed(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        self.response_survived(cx.now, call);
        self.saves_begun(cx.now, call);
        self.end(cx, call, Code::Ok, None, out);
    }

    pub(super) fn client_disconnected(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        self.awaiting_config.retain(|(_, held, _)| *held != call);
        self.run_abandoned(cx.now, call);
        self.end(cx, call, Code::Cancelled, Some(0), out);
    }

    pub(super) fn deadline_passed(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let code = if run.possible_executions > 0 { Code::DeadlineRunning } else { Code::Late };
        self.run_abandoned(cx.now, call);
        self.reject(cx, call, code, "the time for it has passed", out);
    }

    /// Rejects a request, or aborts its response if delivery has begun.
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

    /// The same, with the Retry-After for the caller.
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
        // An attempt that was sent may have run, so the code must not promise that it has not.
        let code = if run.possible_executions > 0 && code.fate() == Fate::NotRun {
            Code::Unknown
        } else {
            code
        };
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
        self.leave_queue(cx.now, call, Waited::Ended, out);
        let Some(run) = self.runs.remove(&call) else {
            return;
        };
        self.wake_waiting(&run.service);
        if let saves::Permit::Issued(number) = run.save_permit {
            self.saves.end(cx.now, number);
        }
        self.retain_attempt(cx.now, call, &run);
        self.release_placement(run.placement);
        self.deadlines.remove(&(run.deadline, call));
        out.push(Effect::Decision(Box::new(Decision::Ended {
            status: status.unwrap_or(run.status),
            took: cx.now.since(run.arrived_at),
            first: run.first_bytes_at.map(|at| at.since(run.arrived_at)),
            request: run.head.id,
            route: run.route,
            server: run.last_server,
            software: run.last_software,
            resumes: run.head.resumption.and_then(|found| found.first_attempt),
            attempts: run.attempts,
            inputs: PlacementInputs { queue_wait: run.queue_wait, ..run.inputs },
            code,
        })));
    }

    /// Removes the current attempt from the load of its server.
    fn release(&mut self, call: u64) {
        let placement = self.runs.get_mut(&call).and_then(|run| run.placement.take());
        self.release_placement(placement);
    }

    fn release_placement(&mut self, placement: Option<Placement>) {
        let Some(placement) = placement else {
            return;
        };
        if let Some(server) = self.servers.get_mut(placement.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.memory_tokens = server.memory_tokens.saturating_sub(placement.memory_tokens);
            server.prefill_tokens = server.prefill_tokens.saturating_sub(placement.prefill_tokens);
            self.loads.mark_changed(server.listed.addr);
        }
        if let Some((source, millis)) = placement.transfer {
            self.stores.transfer_ended(source, millis);
            self.loads.mark_changed(source);
        }
    }
}
