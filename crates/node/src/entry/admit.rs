//! Admission: takes a request or refuses it at once.

use base::prelude::*;
use limit::Item;
use wire::{Digest, Priority, Prompt, Work};

use super::{Context, Entry};
use crate::run::Stage;
use crate::{ClientRequest, Effect, Effects, RequestKind, Run, api, effect};

/// Requests of a workspace that may wait here, as a multiple of those that may run.
const BACKLOG: usize = 4;
/// Wait named to callers when nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

struct Refusal {
    code: Code,
    text: String,
    retry: Duration,
}

fn refusal(code: Code, text: &str) -> Refusal {
    Refusal { code, text: text.to_owned(), retry: RETRY_AFTER }
}

impl Entry {
    /// Takes a caller's request; `ready` says whether the configuration may be served by.
    pub fn handle_request(
        &mut self,
        cx: &mut Context<'_>,
        ready: bool,
        call: u64,
        request: Box<ClientRequest>,
        out: &mut Effects,
    ) {
        let owner = cx.view.workspace_of(&request.caller.key);
        let key_owner = owner.map(|workspace| workspace.name.clone());
        match self.admit(cx, ready, call, request) {
            Ok(None) => self.list(cx, call, out),
            Ok(Some(run)) => self.enter(cx, run, out),
            Err(refusal) => {
                let Refusal { code, text, retry } = refusal;
                let run = self.next_id();
                let (head, bytes) = api::rejection(Some(run), code, &text, retry);
                effect::answer(call, head, bytes, out);
                let workspace = key_owner.unwrap_or_default();
                let took = Duration::ZERO;
                out.push(Effect::Log { run, workspace, code, took, first: None });
            }
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        ready: bool,
        call: u64,
        request: Box<ClientRequest>,
    ) -> Result<Option<Run>, Refusal> {
        if self.draining {
            return Err(refusal(Code::Draining, "this entry is stopping"));
        }
        if !ready {
            return Err(refusal(Code::NotReady, "the agreed configuration is not known here"));
        }
        let Some(workspace) = cx.view.workspace_of(&request.caller.key) else {
            return Err(refusal(Code::BadKey, "the key belongs to no workspace"));
        };
        let (work, once) = match &request.kind {
            RequestKind::Models => return Ok(None),
            RequestKind::Prompt { model, text, max_tokens, .. } => {
                if !workspace.models.is_empty() && !workspace.models.contains(model) {
                    return Err(refusal(Code::NoSuchModel, "the workspace has no such model"));
                }
                let prompt = Prompt {
                    model: model.clone(),
                    version: Name::default(),
                    text: text.clone(),
                    max_tokens: *max_tokens,
                    resume_from: 0,
                    keys: Vec::new(),
                };
                (Work::Prompt(prompt), false)
            }
            RequestKind::Call(call) => {
                let once = cx.view.is_at_most_once(&call.service, &call.method, &call.path);
                (Work::Call(call.clone()), once)
            }
        };
        // A record that says "once" is not overruled by a header; a caller's key asks for it too.
        let once = match request.caller.idempotent {
            Some(true) => once,
            Some(false) => true,
            None => once || request.caller.idempotency_key.is_some(),
        };
        let deadline = cx.now + request.caller.deadline.unwrap_or(self.config.deadline);
        let workspace = workspace.clone();
        self.check_room(cx.now, &workspace, work.target(), deadline, request.caller.priority)?;
        let id = self.next_id();
        let own_key = || Name::from(format!("own-{id}"));
        let once = once.then(|| request.caller.idempotency_key.clone().unwrap_or_else(own_key));
        Ok(Some(Run {
            id,
            call,
            workspace,
            work,
            once,
            replaces: None,
            claimed: false,
            arrived: cx.now,
            deadline,
            stage: Stage::Waiting,
            tries: 0,
            may_have_run: false,
            avoided: Vec::new(),
            crowded: 0,
            keys: Vec::new(),
            over_share: false,
            prefill: 0,
            next_seq: 0,
            digest: Digest::default(),
            delivered: 0,
            begun: false,
            text: String::new(),
            bytes: Vec::new(),
            head: None,
            sent: cx.now,
            first: None,
            fetched: 0,
            request,
        }))
    }

    fn next_id(&mut self) -> RunId {
        let number = self.next_number;
        self.next_number += 1;
        RunId { entry: self.incarnation, number, attempt: 0 }
    }

    /// Refuses early what could not be served in time, and says when it could.
    fn check_room(
        &self,
        now: Time,
        workspace: &record::Workspace,
        target: &Name,
        deadline: Time,
        priority: Priority,
    ) -> Result<(), Refusal> {
        let limit = self.limit_of(workspace);
        let backlog = self.queue.len_of(&workspace.name);
        if backlog >= limit * BACKLOG {
            let text = "the workspace has too many requests waiting";
            let retry = self.wait_of(target, backlog).unwrap_or(RETRY_AFTER);
            return Err(Refusal { code: Code::WorkspaceLimit, text: text.to_owned(), retry });
        }
        let serves = |server: &super::Server| {
            server.hello.server.as_ref().is_some_and(|found| found.serves == *target)
                && server.lost.is_none()
                && !server.leaving
        };
        if !self.servers.values().any(serves) {
            return Err(refusal(Code::NoServer, "no backend server serves this"));
        }
        // A workspace that keeps within its share does not wait behind another's backlog.
        let fair =
            self.queue.queued_before(&workspace.name, priority as u8, f64::from(workspace.share));
        let Some(wait) = self.wait_of(target, fair) else {
            return Ok(());
        };
        if wait > self.config.max_wait || now + wait > deadline {
            let text = format!("the wait for a place is about {} ms", wait.as_millis());
            let late = now + wait > deadline && wait <= self.config.max_wait;
            let code = if late { Code::Late } else { Code::Overloaded };
            return Err(Refusal { code, text, retry: wait });
        }
        Ok(())
    }

    fn wait_of(&self, target: &Name, waiting: usize) -> Option<Duration> {
        if waiting == 0 {
            return None;
        }
        self.rates.get(target)?.wait(waiting)
    }

    /// A workspace's limit, split among the entries so that the whole holds without talk.
    pub(super) fn limit_of(&self, workspace: &record::Workspace) -> usize {
        (workspace.concurrency / self.entries).max(1)
    }

    fn enter(&mut self, cx: &mut Context<'_>, mut run: Run, out: &mut Effects) {
        let number = run.id.number;
        self.deadlines.insert((run.deadline, number));
        self.calls.insert(run.call, number);
        if let Work::Prompt(prompt) = &run.work {
            // Touches are counted on keys without a version, so that a swap does not hide returns.
            let text = prompt.text.clone();
            let scope =
                cache::Scope { salt: &run.workspace.salt, model: "", version: "", adapter: "" };
            run.keys.push((Name::default(), cache::block_keys(scope, &text)));
            self.keep.record_prompt(&run.workspace.name, &run.keys[0].1);
        }
        run.over_share = self.is_over_share(cx, &run.workspace);
        let item = Self::item(&run);
        self.runs.insert(number, run);
        if let Some(out_number) = self.queue.push(item) {
            let retry = RETRY_AFTER;
            let text = "too many requests wait here";
            self.fail(cx, out_number, Code::Overloaded, text, retry, out);
        }
        self.place(cx, out);
    }

    pub(super) fn item(run: &Run) -> Item {
        let cost = match &run.work {
            Work::Prompt(prompt) => {
                1.0 + cache::estimate_tokens(&prompt.text) as f64 / 1_000.0
                    + f64::from(prompt.max_tokens) / 100.0
            }
            Work::Call(_) => 1.0,
        };
        // Over its share a workspace's own high priority does not go before others.
        let class = match run.request.caller.priority {
            Priority::High if run.over_share => Priority::Normal,
            class => class,
        };
        Item {
            number: run.id.number,
            workspace: run.workspace.name.clone(),
            class: class as u8,
            cost,
            share: f64::from(run.workspace.share),
        }
    }

    fn list(&self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let mut names: Vec<Name> = self
            .servers
            .values()
            .filter(|server| server.usable(cx.now))
            .filter_map(|server| server.hello.server.as_ref())
            .filter(|server| !server.plain)
            .map(|server| server.serves.clone())
            .collect();
        names.sort();
        names.dedup();
        let head = api::head(None, Code::Ok, 200, "application/json");
        effect::answer(call, head, api::models(&names), out);
    }
}
