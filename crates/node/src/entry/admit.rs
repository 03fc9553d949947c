//! Admission: accepts a request or rejects it immediately.

use base::prelude::*;
use limit::Item;
use wire::{Digest, Priority, Prompt, Work};

use super::{Context, Entry};
use crate::run::Stage;
use crate::{ClientRequest, Effect, Effects, RequestKind, Run, api, effect};

/// Requests of a workspace that may be queued here, per request that may run.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// `Retry-After` sent to callers when no estimate is available.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

struct Rejection {
    code: Code,
    text: String,
    retry: Duration,
}

fn rejection(code: Code, text: &str) -> Rejection {
    Rejection { code, text: text.to_owned(), retry: RETRY_AFTER }
}

impl Entry {
    /// Handles a caller's request; `ready` is whether this process may serve with its configuration.
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
            Ok(None) => self.list_models(cx, call, out),
            Ok(Some(run)) => self.enqueue(cx, run, out),
            Err(rejection) => {
                let Rejection { code, text, retry } = rejection;
                let run = self.next_id();
                let (head, bytes) = api::rejection(Some(run), code, &text, retry);
                effect::answer(call, head, bytes, out);
                let workspace = key_owner.unwrap_or_default();
                let duration = Duration::ZERO;
                out.push(Effect::Log { run, workspace, code, duration, first_token: None });
            }
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        ready: bool,
        call: u64,
        request: Box<ClientRequest>,
    ) -> Result<Option<Run>, Rejection> {
        if self.draining {
            return Err(rejection(Code::Draining, "this entry is stopping"));
        }
        if !ready {
            return Err(rejection(Code::NotReady, "the agreed configuration is not known here"));
        }
        let Some(workspace) = cx.view.workspace_of(&request.caller.key) else {
            return Err(rejection(Code::BadKey, "the key belongs to no workspace"));
        };
        let (work, once) = match &request.kind {
            RequestKind::Models => return Ok(None),
            RequestKind::Prompt { model, text, max_tokens, .. } => {
                if !workspace.models.is_empty() && !workspace.models.contains(model) {
                    return Err(rejection(Code::NoSuchModel, "the workspace has no such model"));
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
        // A header can't override a service record that requires at-most-once execution. An idempotency key
        // requires it too.
        let once = match request.caller.idempotent {
            Some(true) => once,
            Some(false) => true,
            None => once || request.caller.idempotency_key.is_some(),
        };
        let deadline = cx.now + request.caller.deadline.unwrap_or(self.config.deadline);
        let workspace = workspace.clone();
        self.check_capacity(cx.now, &workspace, work.target(), deadline, request.caller.priority)?;
        let id = self.next_id();
        let own_key = || Name::from(format!("own-{id}"));
        let claim_key =
            once.then(|| request.caller.idempotency_key.clone().unwrap_or_else(own_key));
        Ok(Some(Run {
            id,
            call,
            workspace,
            work,
            claim_key,
            replaces: None,
            claim_sent: false,
            arrived_at: cx.now,
            deadline,
            stage: Stage::Waiting,
            failed_attempts: 0,
            losses_without_tokens: 0,
            may_have_run: false,
            excluded: Vec::new(),
            capacity_rejections: 0,
            keys: Vec::new(),
            over_share: false,
            prefill: 0,
            next_seq: 0,
            digest: Digest::default(),
            delivered: 0,
            response_started: false,
            text: String::new(),
            bytes: Vec::new(),
            head: None,
            sent_at: cx.now,
            first_token_at: None,
            fetched_pieces: 0,
            request,
        }))
    }

    fn next_id(&mut self) -> RunId {
        let number = self.next_number;
        self.next_number += 1;
        RunId { entry: self.incarnation, number, attempt: 0 }
    }

    /// Rejects requests that couldn't be served in time, with an estimate of when they could be.
    fn check_capacity(
        &self,
        now: Time,
        workspace: &record::Workspace,
        target: &Name,
        deadline: Time,
        priority: Priority,
    ) -> Result<(), Rejection> {
        let limit = self.concurrency_limit(workspace);
        let backlog = self.queue.len_of(&workspace.name);
        if backlog >= limit * MAX_QUEUED_PER_SLOT {
            let text = "the workspace has too many requests waiting";
            let retry = self.estimated_wait(target, backlog).unwrap_or(RETRY_AFTER);
            return Err(Rejection { code: Code::WorkspaceLimit, text: text.to_owned(), retry });
        }
        let serves = |server: &super::Server| {
            server.hello.server.as_ref().is_some_and(|found| found.serves == *target)
                && server.disconnected_at.is_none()
                && !server.leaving
        };
        if !self.servers.values().any(serves) {
            return Err(rejection(Code::NoServer, "no backend server serves this"));
        }
        // A workspace within its share doesn't wait behind another workspace's backlog.
        let fair =
            self.queue.queued_before(&workspace.name, priority as u8, f64::from(workspace.share));
        let Some(wait) = self.estimated_wait(target, fair) else {
            return Ok(());
        };
        if wait > self.config.max_wait || now + wait > deadline {
            let text = format!("the wait for a place is about {} ms", wait.as_millis());
            let late = now + wait > deadline && wait <= self.config.max_wait;
            let code = if late { Code::Late } else { Code::Overloaded };
            return Err(Rejection { code, text, retry: wait });
        }
        Ok(())
    }

    fn estimated_wait(&self, target: &Name, waiting: usize) -> Option<Duration> {
        if waiting == 0 {
            return None;
        }
        self.rates.get(target)?.wait(waiting)
    }

    /// The workspace's concurrency limit divided by the number of entries, so that the total holds without
    /// coordination.
    pub(super) fn concurrency_limit(&self, workspace: &record::Workspace) -> usize {
        (workspace.concurrency / self.entries).max(1)
    }

    fn enqueue(&mut self, cx: &mut Context<'_>, mut run: Run, out: &mut Effects) {
        let number = run.id.number;
        self.deadlines.insert((run.deadline, number));
        self.calls.insert(run.call, number);
        if let Work::Prompt(prompt) = &run.work {
            // Repeated prompts are counted by keys without a weight version, so that they are recognized
            // after a version change.
            let text = prompt.text.clone();
            let scope =
                cache::Scope { salt: &run.workspace.salt, model: "", version: "", adapter: "" };
            run.keys.push((Name::default(), cache::block_keys(scope, &text)));
            self.retention.record_prompt(&run.workspace.name, &run.keys[0].1);
        }
        run.over_share = self.is_over_share(cx, &run.workspace);
        let item = Self::item(&run);
        self.runs.insert(number, run);
        if let Some(evicted) = self.queue.push(item) {
            let retry = RETRY_AFTER;
            let text = "too many requests wait here";
            self.fail(cx, evicted, Code::Overloaded, text, retry, out);
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
        // High priority has no effect for a workspace that is over its share.
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

    fn list_models(&self, cx: &Context<'_>, call: u64, out: &mut Effects) {
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
