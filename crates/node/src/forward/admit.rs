//! Admission: accepts a request, holds it until the configuration is known, or rejects it.

use base::prelude::*;
use rand::Rng;
use record::{RetryPolicy, Workspace};
use resume::Binding;

use super::place::engine;
use super::waiting::Queueing;
use super::{Action, Context, Forward, Recorded, Rejection, RequestHead, Run, jitter, saves};
use crate::decision::{Decision, PlacementInputs};
use crate::{Effect, Effects};

/// How long a request waits for the configuration after a start: the keepers elect a leader and answer
/// within about a second.
const CONFIG_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum number of requests that wait for the configuration; further ones are rejected immediately.
const MAX_WAITING: usize = 1_000;
/// Minimum Retry-After of a rejection for a reason that is expected to pass soon.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Forward {
    pub(super) fn arrived(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        head: Box<RequestHead>,
        out: &mut Effects,
    ) {
        if !cx.ready && !cx.drain_delay_elapsed && self.awaiting_config.len() < MAX_WAITING {
            self.awaiting_config.push_back((cx.now, call, head));
            return;
        }
        self.admit(cx, cx.now, call, head, out);
    }

    /// Admits requests that waited for the configuration, and rejects those that have waited too long.
    pub(super) fn admit_waiting(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some((arrived_at, ..)) = self.awaiting_config.front() {
            if !cx.ready && cx.now.since(*arrived_at) < CONFIG_WAIT {
                return;
            }
            if let Some((arrived_at, call, head)) = self.awaiting_config.pop_front() {
                self.admit(cx, arrived_at, call, head, out);
            }
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        arrived_at: Time,
        call: u64,
        head: Box<RequestHead>,
        out: &mut Effects,
    ) {
        let run = match self.new_run(cx, arrived_at, head) {
            Ok(run) => run,
            Err((head, code, text)) => {
                self.reject_new(call, head.id, code, text, out);
                return;
            }
        };
        // Elsewhere the header says nothing about a stream.
        let is_stream = engine(cx, &run).is_some() || run.retry_policy == RetryPolicy::Resume;
        let resumes = is_stream && run.head.resumption.is_some();
        self.deadlines.insert((run.deadline, call));
        self.runs.insert(call, run);
        if resumes {
            self.resume_stream(cx, call, out);
            return;
        }
        self.count_request(cx.now, call);
        self.place(cx, call, out);
    }

    /// Counts a request towards the retry budget of its service.
    pub(super) fn count_request(&mut self, now: Time, call: u64) {
        if let Some(run) = self.runs.get(&call) {
            let budget = self.retry_budgets.entry(run.service.clone()).or_default();
            budget.request(now, &self.config.allowance);
        }
    }

    fn new_run(
        &mut self,
        cx: &Context<'_>,
        arrived_at: Time,
        head: Box<RequestHead>,
    ) -> Result<Run, (Box<RequestHead>, Code, &'static str)> {
        if cx.drain_delay_elapsed {
            return Err((head, Code::Draining, "this entry is stopping"));
        }
        if !cx.ready {
            return Err((head, Code::NotReady, "no configuration is known here yet"));
        }
        let Some(route) = head.route(cx.view) else {
            return Err(self.denied(cx, head, Code::NoSuchPath, "no route has this host and path"));
        };
        let mut workspace: Option<&Workspace> = None;
        if !route.public && cx.view.requires_keys() {
            workspace = head.key.as_deref().and_then(|key| cx.view.workspace_of(key));
            if workspace.is_none() {
                return Err(self.denied(cx, head, Code::BadKey, "the key belongs to no workspace"));
            }
        }
        let Some(backend) = route.backend(self.rng.random()) else {
            return Err((head, Code::NoServer, "the route leads to no service"));
        };
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let workspace_rank = workspace.and_then(|workspace| workspace.rank);
        Ok(Run {
            route: route.name.clone(),
            target: route.latency_target,
            retry_policy: route.retry_policy,
            service: backend.service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            digest: head.digest.map(|digest| caller_digest(digest, workspace)),
            isolated: workspace.is_some_and(|workspace| workspace.isolated),
            regions: [
                route.regions.clone(),
                workspace.map(|workspace| workspace.regions.clone()).unwrap_or_default(),
            ],
            rank: workspace_rank.unwrap_or(route.rank),
            max_attempts: route.attempts,
            arrived_at,
            deadline: arrived_at + timeout,
            possible_executions: 0,
            attempts: 0,
            tried_servers: Vec::new(),
            placement: None,
            last_server: None,
            last_software: None,
            inputs: PlacementInputs::default(),
            binding: Binding::default(),
            recorded: Recorded::default(),
            origin_source: None,
            delivery_started: false,
            is_event_stream: false,
            status: 0,
            first_bytes_at: None,
            sent_at: arrived_at,
            pending_permit: None,
            permit_requests: 0,
            save_permit: saves::Permit::default(),
            is_trial: false,
            is_suspect: false,
            queueing: Queueing::New,
            queue_wait: Duration::ZERO,
            head,
        })
    }

    /// The error for a request that the configuration does not allow. Such a request is denied only
    /// while the configuration is known to be the latest, since a newer one may allow it.
    fn denied(
        &self,
        cx: &Context<'_>,
        head: Box<RequestHead>,
        code: Code,
        text: &'static str,
    ) -> (Box<RequestHead>, Code, &'static str) {
        if cx.confirmed_ago.is_some_and(|ago| ago < self.config.deny_window) {
            (head, code, text)
        } else {
            (head, Code::NotReady, "the configuration known here may not be the latest")
        }
    }

    pub(super) fn reject_new(
        &mut self,
        call: u64,
        request: Name,
        code: Code,
        text: &'static str,
        out: &mut Effects,
    ) {
        let rejection = self.rejection(code, text, None);
        out.push(Effect::Decision(Box::new(Decision::Ended {
            request,
            route: Name::default(),
            server: None,
            software: None,
            resumes: None,
            attempts: 0,
            inputs: PlacementInputs::default(),
            code,
            status: rejection.status,
            took: Duration::ZERO,
            first: None,
        })));
        out.push(Effect::Forward { call, action: Action::Reject(rejection) });
    }

    pub(super) fn rejection(
        &mut self,
        code: Code,
        text: &'static str,
        retry_after: Option<Duration>,
    ) -> Rejection {
        let retry_after = || retry_after.unwrap_or_else(|| jitter(&mut self.rng, MIN_RETRY_AFTER));
        let retry_after = code.retryable().then(retry_after);
        Rejection { code, status: code.status(), text, retry_after }
    }
}

/// Digest of a request and its caller, so that no caller gets the request of another one quarantined.
fn caller_digest(request: u128, workspace: Option<&Workspace>) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&request.to_le_bytes());
    if let Some(workspace) = workspace {
        hasher.update(workspace.name.as_bytes());
    }
    let mut bytes = [0; size_of::<u128>()];
    hasher.finalize_xof().fill(&mut bytes);
    u128::from_le_bytes(bytes)
}
