//! Follows runs that were sent: parts of answers, refusals, losses.

use base::prelude::*;
use wire::{Frame, Output, Part, Work};

use super::admit::RETRY_AFTER;
use super::{Context, Entry};
use crate::run::Stage;
use crate::{Effect, Effects, RequestKind, Run, api};

/// Parts between two acknowledgements.
const ACK_EVERY: u64 = 32;
/// Other servers that are needed to call one slow.
const MIN_PEERS: usize = 2;
/// Dispatches of one request that may be refused before the caller gets the refusal.
const MAX_TRIES: u32 = 3;

impl Entry {
    /// A frame came from an agent.
    pub fn frame(&mut self, cx: &mut Context<'_>, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Output(output) => self.output(cx, peer, output, out),
            Frame::Rejected { run, code, retry_ms } => {
                let retry = Duration::from_millis(retry_ms);
                self.refused(cx, peer, run, code, retry, out);
                self.never_starts(cx, peer, run, out);
            }
            Frame::UnknownRun { run } if self.current(peer, run).is_some() => {
                self.lost(cx, run.number, out);
            }
            _ => {}
        }
    }

    /// The run whose present dispatch this is.
    fn current(&mut self, peer: &Name, id: RunId) -> Option<&mut Run> {
        let run = self.runs.get_mut(&id.number)?;
        let at_peer = matches!(&run.stage, Stage::Sent { agent, .. } if agent == peer);
        (run.id == id && at_peer).then_some(run)
    }

    fn output(&mut self, cx: &mut Context<'_>, peer: &Name, output: Output, out: &mut Effects) {
        let now = cx.now;
        let Some(run) = self.current(peer, output.run) else {
            // A late frame of a run that is over or has moved on: free the agent's copy.
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
        if run.next_seq.is_multiple_of(ACK_EVERY) {
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
            Part::Head { status, content_type: kind } => run.head = Some((status, kind)),
            Part::Bytes(bytes) => run.bytes.extend_from_slice(&bytes),
            Part::End { code, parts, digest, computed, cached } => {
                let frame = Frame::Ack { run: run.id, seq: u64::MAX };
                out.push(Effect::Send { to: peer.clone(), frame });
                let whole = parts + 1 == run.next_seq && digest == run.digest;
                if code == Code::Ok && whole {
                    self.succeeded(cx.now, peer, number);
                    self.complete(cx, number, (computed, cached), out);
                } else if code == Code::Ok {
                    self.lost(cx, number, out);
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
        let seconds = now.since(run.sent).as_secs_f64() / units;
        let peers = self.pace_of_peers(peer, run.work.target());
        if let Some(server) = self.servers.get_mut(peer) {
            server.breaker.succeeded(now, seconds, peers);
        }
        self.budgets.entry(run.work.target().clone()).or_default().earn();
    }

    /// The median pace of the other servers that serve a target, if there are a few.
    fn pace_of_peers(&self, peer: &Name, target: &Name) -> Option<f64> {
        let mut paces: Vec<f64> = self
            .servers
            .iter()
            .filter(|(name, server)| {
                let serves = server.hello.server.as_ref().map(|found| &found.serves);
                *name != peer && serves == Some(target) && server.lost.is_none()
            })
            .filter_map(|(_, server)| server.breaker.pace())
            .collect();
        if paces.len() < MIN_PEERS {
            return None;
        }
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    fn refused(
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
        let crowded = matches!(code, Code::Overloaded | Code::Draining);
        run.avoided.push(peer.clone());
        run.crowded += u32::from(crowded);
        run.tries += u32::from(!crowded);
        // For want of room it waits here, in its turn, until its deadline.
        let give_up = run.tries >= MAX_TRIES && !run.begun;
        if let Some(server) = self.servers.get_mut(peer) {
            match code {
                // It could not be reached by its own agent.
                Code::NoServer => server.breaker.failed(cx.now),
                Code::Overloaded => {
                    server.breaker.ended();
                    server.refused();
                }
                _ => server.breaker.ended(),
            }
        }
        self.release(id.number);
        if give_up {
            // The agent's word proves that it has not run, so the key is free for a resend.
            if let Some(run) = self.runs.get(&id.number).cloned() {
                Self::give_back_claim(cx, &run, out);
            }
            self.fail(cx, id.number, code, "every server tried refused", retry, out);
        } else {
            self.back_to_queue(id.number);
        }
        self.place(cx, out);
    }

    fn back_to_queue(&mut self, number: u64) {
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
        let may_retry = run.idempotent() && run.tries + 1 < MAX_TRIES;
        let budget = self.budgets.entry(run.work.target().clone()).or_default();
        if may_retry && budget.spend() {
            self.lost(cx, number, out);
            return;
        }
        let code = if run.idempotent() { code } else { Code::Unknown };
        self.fail(cx, number, code, "the backend server failed", RETRY_AFTER, out);
    }

    /// The dispatch is lost: an idempotent run goes on elsewhere, another one may have run.
    pub(super) fn lost(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) {
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
        run.tries += 1;
        run.may_have_run = true;
        run.avoided.push(agent);
        // A prompt goes on from the tokens that the caller has, however often that takes.
        let again = matches!(run.work, Work::Prompt(_)) || run.tries < MAX_TRIES;
        self.release(number);
        if again {
            self.back_to_queue(number);
        } else {
            let text = "the backend server was lost";
            self.fail(cx, number, Code::Cut, text, RETRY_AFTER, out);
        }
    }

    /// Gives up the place of a run on its server.
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
            server.own = server.own.saturating_sub(1);
            server.own_prefill[part] = server.own_prefill[part].saturating_sub(prefill);
        }
        if let Some(active) = self.active.get_mut(&run.workspace.name) {
            *active = active.saturating_sub(1);
        }
        run.stage = Stage::Waiting;
    }
}

fn tokens(now: Time, run: &mut Run, text: &str, count: u32, out: &mut Effects) {
    run.first.get_or_insert(now);
    run.delivered += count;
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

/// Sends the head of a streamed answer, unless it is out.
pub(super) fn begin_stream(run: &mut Run, out: &mut Effects) {
    if run.begun {
        return;
    }
    run.begun = true;
    let head = api::head(Some(run.id), Code::Ok, 200, api::EVENT_STREAM);
    out.push(Effect::Begin { call: run.call, head });
}
