//! Ends requests: complete responses, rejections, aborted streams, deadlines.

use base::prelude::*;
use wire::Frame;

use super::admit::RETRY_AFTER;
use super::follow::begin_stream;
use super::{Context, Entry};
use crate::run::Stage;
use crate::{Effect, Effects, RequestKind, api, effect};

impl Entry {
    /// A client disconnected: its run is cancelled, unless it must execute at most once and was sent.
    pub fn client_disconnected(&mut self, cx: &mut Context<'_>, call: u64, out: &mut Effects) {
        let Some(number) = self.calls.get(&call).copied() else {
            return;
        };
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let sent = matches!(run.stage, Stage::Sent { .. });
        if sent && run.idempotent() {
            self.cancel(number, out);
        }
        if !sent && let Some(run) = self.runs.get(&number).cloned() {
            Self::release_claim(cx, &run, out);
        }
        let code = if sent { Code::Cut } else { Code::Cancelled };
        self.end(cx, number, code, out);
        self.place(cx, out);
    }

    /// Ends all remaining requests when the process must exit; returns their number.
    pub fn abort_all(&mut self, cx: &mut Context<'_>, out: &mut Effects) -> usize {
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in &numbers {
            self.abandon(cx, *number, Code::Draining, "this entry had to stop", out);
        }
        numbers.len()
    }

    pub(super) fn expire(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > cx.now {
                return;
            }
            self.deadlines.pop_first();
            self.abandon(cx, number, Code::Late, "the deadline has passed", out);
        }
    }

    /// Sends a request its final response now; `unsent` is the code if nothing was sent to a server.
    fn abandon(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        unsent: Code,
        text: &str,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let code = match &run.stage {
            _ if run.response_started => Code::DeadlineRunning,
            Stage::Waiting => unsent,
            // A run is sent only after its claim was granted, so this one never executes.
            Stage::Claiming { .. } => Code::NoClaim,
            Stage::Sent { .. } if run.delivered > 0 => Code::DeadlineRunning,
            Stage::Sent { .. } | Stage::Joined { .. } => Code::Unknown,
        };
        if matches!(run.stage, Stage::Sent { .. }) && run.idempotent() {
            self.cancel(number, out);
        }
        if matches!(run.stage, Stage::Waiting | Stage::Claiming { .. })
            && let Some(run) = self.runs.get(&number).cloned()
        {
            Self::release_claim(cx, &run, out);
        }
        self.fail(cx, number, code, text, RETRY_AFTER, out);
    }

    fn cancel(&self, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        if let Stage::Sent { agent, .. } = &run.stage {
            let frame = Frame::Cancel { run: run.id };
            out.push(Effect::Send { to: agent.clone(), frame });
        }
    }

    pub(super) fn complete(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        prompt: (u32, u32),
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let (call, id) = (run.call, run.id);
        match &run.request.kind {
            RequestKind::Prompt { stream: true, .. } => {
                begin_stream(run, out);
                let RequestKind::Prompt { model, chat, .. } = &run.request.kind else {
                    return;
                };
                let last = api::chunk(id, model, *chat, "", Some("stop"));
                out.push(Effect::Body { call, bytes: last });
                out.push(Effect::Body { call, bytes: api::DONE.to_vec() });
            }
            RequestKind::Prompt { model, chat, .. } => {
                let usage = (prompt.0, prompt.1, run.delivered);
                let body = api::complete(id, model, *chat, &run.text, usage);
                let head = api::head(Some(id), Code::Ok, 200, api::JSON);
                out.push(Effect::Begin { call, head });
                out.push(Effect::Body { call, bytes: body });
            }
            RequestKind::Call(_) | RequestKind::Models => {
                let (status, kind) = run.head.take().unwrap_or((200, String::new()));
                let head = api::head(Some(id), Code::Ok, status, &kind);
                out.push(Effect::Begin { call, head });
                out.push(Effect::Body { call, bytes: std::mem::take(&mut run.bytes) });
            }
        }
        out.push(Effect::Usage {
            workspace: run.workspace.name.clone(),
            computed: prompt.0,
            cached: prompt.1,
            generated: run.delivered,
            fetched_pieces: run.fetched_pieces as u32,
        });
        out.push(Effect::Finish { call, complete: true });
        self.end(cx, number, Code::Ok, out);
    }

    pub(super) fn fail(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        code: Code,
        text: &str,
        retry: Duration,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let untrue = run.may_have_run && code.fate() == Fate::NotRun;
        let code = if untrue { Code::Unknown } else { code };
        let call = run.call;
        if run.response_started {
            out.push(Effect::Body { call, bytes: api::error_event(code, text) });
            out.push(Effect::Finish { call, complete: false });
        } else {
            let (head, bytes) = api::rejection(Some(run.id), code, text, retry);
            effect::answer(call, head, bytes, out);
        }
        self.end(cx, number, code, out);
    }

    pub(super) fn end(&mut self, cx: &mut Context<'_>, number: u64, code: Code, out: &mut Effects) {
        self.release(number);
        self.queue.remove(number);
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        self.calls.remove(&run.call);
        self.deadlines.remove(&(run.deadline, number));
        let busy = !self.queue.is_empty();
        let rate = self.rates.entry(run.work.target().clone()).or_default();
        if code == Code::Ok {
            rate.ended(cx.now, busy);
        }
        out.push(Effect::Log {
            run: run.id,
            workspace: run.workspace.name,
            code,
            duration: cx.now.since(run.arrived_at),
            first_token: run.first_token_at.map(|at| at.since(run.arrived_at)),
        });
    }
}
