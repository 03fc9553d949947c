//! Tracks runs that were sent: response parts, rejections, lost attempts.

use base::prelude::*;
use wire::{Frame, Output, Part, Work};

use super::admit::RETRY_AFTER;
use super::{Context, Entry};
use crate::run::Stage;
use crate::{Effect, Effects, RequestKind, Run, api};

/// Number of parts between two acknowledgements.
const ACK_INTERVAL: u64 = 32;
/// Minimum number of other servers to compare with before a server counts as slow.
const MIN_PEERS: usize = 2;
/// Failed attempts of one request after which the caller gets the failure.
const MAX_ATTEMPTS: u32 = 3;
/// Servers lost in a row without a token after which a prompt is given up.
const MAX_LOSSES_WITHOUT_TOKENS: u32 = 2;

impl Entry {
    /// Handles a frame from an agent.
    pub fn frame(&mut self, cx: &mut Context<'_>, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Output(output) => self.output(cx, peer, output, out),
            Frame::Rejected { run, code, retry_ms } => {
                let retry = Duration::from_millis(retry_ms);
                self.rejected(cx, peer, run, code, retry, out);
                self.run_never_starts(cx, peer, run, out);
            }
            Frame::UnknownRun { run } if self.current(peer, run).is_some() => {
                self.attempt_lost(cx, run.number, out);
            }
            _ => {}
        }
    }

    /// The run whose current attempt this is.
    fn current(&mut self, peer: &Name, id: RunId) -> Option<&mut Run> {
        let run = self.runs.get_mut(&id.number)?;
        let at_peer = matches!(&run.stage, Stage::Sent { agent, .. } if agent == peer);
        (run.id == id && at_peer).then_some(run)
    }

    fn output(&mut self, cx: &mut Context<'_>, peer: &Name, output: Output, out: &mut Effects) {
        let now = cx.now;
        let Some(run) = self.current(peer, output.run) else {
            // A late frame of a completed or retried run: let the agent free its copy.
            let frame = Frame::Ack { run: output.run, seq: u64::MAX };
            out.push(Effect::Send { to: peer.clone(), frame });
            return;
        };
        if output.seq != run.next_seq {
            if output.seq > run.next_seq {
                let frame = Frame::Resume { run: run.id, seq: run.next_seq };
                out.push(Effect::Send { to: peer.clone(), frame });
            }
            return;
        }
        run.next_seq += 1;
        run.digest.add(&output.part);
        let number = output.run.number;
        if run.next_seq.is_multiple_of(ACK_INTERVAL) {
            let frame = Frame::Ack { run: run.id, seq: run.next_seq };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
        match output.part {
            Part::Tokens { text, count } => {
                let prefill = std::mem::take(&mut run.prefill);
                let part = usize::from(run.over_share);
                tokens(now, run, &text, count, out);
                if let Some(server) = self.servers.get_mut(peer) {
                    server.own_prefill[part] = server.own_prefill[part].saturating_sub(prefill);
                }
                if prefill > 0 {
                    self.place(cx, out);
                }
            }
            Part::Head { status, content_type } => run.head = Some((status, content_type)),
            Part::Bytes(bytes) => run.bytes.extend_from_slice(&bytes),
            Part::End { code, parts, digest, computed, cached } => {
                let frame = Frame::Ack { run: run.id, seq: u64::MAX };
                out.push(Effect::Send { to: peer.clone(), frame });
                let intact = parts + 1 == run.next_seq && digest == run.digest;
                if code == Code::Ok && intact {
                    self.succeeded(cx.now, peer, number);
                    self.complete(cx, number, (computed, cached), out);
                } else if code == Code::Ok {
                    self.attempt_lost(cx, number, out);
                } else {
                    self.server_failed(cx, peer, number, code, out);
                }
                self.place(cx, out);
            }
        }
    }

    fn succeeded(&mut self, now: Time, peer: &Name, number: u64) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let units = f64::from(run.delivered.max(1));
        let seconds = now.since(run.sent_at).as_secs_f64() / units;
        let peers = self.median_pace_of_peers(peer, run.work.target());
        if let Some(server) = self.servers.get_mut(peer) {
            server.breaker.succeeded(now, seconds, peers);
        }
        self.budgets.entry(run.work.target().clone()).or_default().earn();
    }

    /// The median pace of the other servers for a target, if there are at least `MIN_PEERS`.
    fn median_pace_of_peers(&self, peer: &Name, target: &Name) -> Option<f64> {
        let mut paces: Vec<f64> = self
            .servers
            .iter()
            .filter(|(name, server)| {
                let serves = server.hello.server.as_ref().map(|found| &found.serves);
                *name != peer && serves == Some(target) && server.disconnected_at.is_none()
            })
            .filter_map(|(_, server)| server.breaker.pace())
            .collect();
        if paces.len() < MIN_PEERS {
            return None;
        }
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    fn rejected(
        &mut self,
        cx: &mut Context<'_>,
        peer: &Name,
        id: RunId,
        code: Code,
        retry: Duration,
        out: &mut Effects,
    ) {
        let Some(run) = self.current(peer, id) else {
            return;
        };
        let no_capacity = matches!(code, Code::Overloaded | Code::Draining);
        run.excluded.push(peer.clone());
        run.capacity_rejections += u32::from(no_capacity);
        run.failed_attempts += u32::from(!no_capacity);
        // After a rejection for lack of capacity, the run waits in the queue until its deadline.
        let give_up = run.failed_attempts >= MAX_ATTEMPTS && !run.response_started;
        if let Some(server) = self.servers.get_mut(peer) {
            match code {
                // The agent could not reach its server.
                Code::NoServer => server.breaker.failed(cx.now),
                Code::Overloaded => {
                    server.breaker.ended();
                    server.rejected_for_capacity();
                }
                _ => server.breaker.ended(),
            }
        }
        self.release(id.number);
        if give_up {
            // The rejection proves that the run did not execute, so its key is released for a resend.
            if let Some(run) = self.runs.get(&id.number).cloned() {
                Self::release_claim(cx, &run, out);
            }
            self.fail(cx, id.number, code, "every server tried refused", retry, out);
        } else {
            self.requeue_attempt(id.number);
        }
        self.place(cx, out);
    }

    fn requeue_attempt(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.rewind();
        let item = Self::item(&self.runs[&number]);
        self.queue.push_front(item);
    }

    fn server_failed(
        &mut self,
        cx: &mut Context<'_>,
        peer: &Name,
        number: u64,
        code: Code,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(peer) {
            server.breaker.failed(cx.now);
        }
        let may_retry = run.idempotent() && run.failed_attempts + 1 < MAX_ATTEMPTS;
        let budget = self.budgets.entry(run.work.target().clone()).or_default();
        if may_retry && budget.spend() {
            self.attempt_lost(cx, number, out);
            return;
        }
        let code = if run.idempotent() { code } else { Code::Unknown };
        self.fail(cx, number, code, "the backend server failed", RETRY_AFTER, out);
    }

    /// The attempt is lost: an idempotent run is retried elsewhere; any other may have executed.
    pub(super) fn attempt_lost(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let Stage::Sent { agent, .. } = run.stage.clone() else {
            return;
        };
        if !run.idempotent() {
            let text = "the backend server was lost; the request may have run";
            self.fail(cx, number, Code::Unknown, text, RETRY_AFTER, out);
            return;
        }
        run.failed_attempts += 1;
        run.may_have_run = true;
        run.excluded.push(agent);
        run.losses_without_tokens += 1;
        // A prompt continues from the tokens already delivered, as often as servers add some. One that ends each server
        // before its first token must not end all of them.
        let again = match run.work {
            Work::Prompt(_) => run.losses_without_tokens < MAX_LOSSES_WITHOUT_TOKENS,
            Work::Call(_) => run.failed_attempts < MAX_ATTEMPTS,
        };
        self.release(number);
        if again {
            self.requeue_attempt(number);
        } else {
            let text = "the backend server was lost";
            self.fail(cx, number, Code::Cut, text, RETRY_AFTER, out);
        }
    }

    /// Releases the slot of a run on its server.
    pub(super) fn release(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let Some(agent) = run.stage.agent() else {
            return;
        };
        let prefill = std::mem::take(&mut run.prefill);
        let part = usize::from(run.over_share);
        if let Some(server) = self.servers.get_mut(agent) {
            server.own_runs = server.own_runs.saturating_sub(1);
            server.own_prefill[part] = server.own_prefill[part].saturating_sub(prefill);
        }
        if let Some(active) = self.active.get_mut(&run.workspace.name) {
            *active = active.saturating_sub(1);
        }
        run.stage = Stage::Waiting;
    }
}

fn tokens(now: Time, run: &mut Run, text: &str, count: u32, out: &mut Effects) {
    run.first_token_at.get_or_insert(now);
    run.delivered += count;
    run.losses_without_tokens = 0;
    if !run.streams() {
        run.text.push_str(text);
        return;
    }
    begin_stream(run, out);
    let RequestKind::Prompt { model, chat, .. } = &run.request.kind else {
        return;
    };
    let bytes = api::chunk(run.id, model, *chat, text, None);
    out.push(Effect::Body { call: run.call, bytes });
}

/// Sends the head of a streamed response, unless it has been sent.
pub(super) fn begin_stream(run: &mut Run, out: &mut Effects) {
    if run.response_started {
        return;
    }
    run.response_started = true;
    let head = api::head(Some(run.id), Code::Ok, 200, api::EVENT_STREAM);
    out.push(Effect::Begin { call: run.call, head });
}
