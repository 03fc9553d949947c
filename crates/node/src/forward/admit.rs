//! Takes a request or refuses it at once.

use base::prelude::*;
use rand::Rng;
use record::Workspace;

use super::{Action, Context, Forward, Rejection, RequestHead, Run, spread};
use crate::decision::{Decision, PlacementInputs};
use crate::{Effect, Effects};

/// How long a request waits for a configuration that this process is just about to learn: the
/// keepers agree and answer within about a second of a start.
const HOLD: Duration = Duration::from_millis(1_500);
/// Most requests that wait so; more are refused at once.
const MOST_HELD: usize = 1_000;
/// Least time to come back after a refusal because nothing can be done here at present.
const COME_BACK: Duration = Duration::from_millis(500);

impl Forward {
    pub(super) fn arrived(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        head: Box<RequestHead>,
        out: &mut Effects,
    ) {
        if !cx.ready && !cx.closing && self.held.len() < MOST_HELD {
            self.held.push_back((cx.now, call, head));
            return;
        }
        self.admit(cx, cx.now, call, head, out);
    }

    /// Admits what waited for the configuration, and refuses what has waited for too long.
    pub(super) fn admit_held(&mut self, cx: &Context<'_>, out: &mut Effects) {
        while let Some((at, ..)) = self.held.front() {
            if !cx.ready && cx.now.since(*at) < HOLD {
                return;
            }
            if let Some((at, call, head)) = self.held.pop_front() {
                self.admit(cx, at, call, head, out);
            }
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        at: Time,
        call: u64,
        head: Box<RequestHead>,
        out: &mut Effects,
    ) {
        let run = match self.admitted(cx, at, head) {
            Ok(run) => run,
            Err((head, code, text)) => {
                self.refuse_new(call, head.id, code, text, out);
                return;
            }
        };
        self.retries
            .entry(run.service.clone())
            .or_default()
            .request(cx.now, &self.config.allowance);
        self.deadlines.insert((run.deadline, call));
        self.runs.insert(call, run);
        self.place(cx, call, out);
    }

    fn admitted(
        &mut self,
        cx: &Context<'_>,
        at: Time,
        head: Box<RequestHead>,
    ) -> Result<Run, (Box<RequestHead>, Code, &'static str)> {
        if cx.closing {
            return Err((head, Code::Draining, "this entry is stopping"));
        }
        if !cx.ready {
            return Err((head, Code::NotReady, "no configuration is known here yet"));
        }
        let path = head.path.split('?').next().unwrap_or_default();
        let Some(route) = cx.view.table().find(&head.host, path) else {
            return Err(self.denied(cx, head, Code::NoSuchPath, "no route has this host and path"));
        };
        let mut workspace: Option<&Workspace> = None;
        if !route.public && cx.view.has_keys() {
            workspace = head.key.as_deref().and_then(|key| cx.view.workspace_of(key));
            if workspace.is_none() {
                return Err(self.denied(cx, head, Code::BadKey, "the key belongs to no workspace"));
            }
        }
        let Some(backend) = route.backend(self.rng.random()) else {
            return Err((head, Code::NoServer, "the route leads to no service"));
        };
        let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let own_rank = workspace.and_then(|workspace| workspace.rank);
        Ok(Run {
            route: route.name.clone(),
            target: route.latency_target,
            repeat: route.retry_policy,
            service: backend.service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            isolated: workspace.is_some_and(|workspace| workspace.isolated),
            rank: own_rank.unwrap_or(route.rank),
            attempts: route.attempts,
            arrived: at,
            deadline: at + patience,
            ran: 0,
            tries: 0,
            tried: Vec::new(),
            place: None,
            last: None,
            basis: PlacementInputs::default(),
            passed: false,
            status: 0,
            first: None,
            sent: at,
            asked: None,
            asks: 0,
            head,
        })
    }

    /// What the configuration does not allow is denied only while it is known to be the latest: a newer one may
    /// allow it.
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

    pub(super) fn refuse_new(
        &mut self,
        call: u64,
        request: Name,
        code: Code,
        text: &'static str,
        out: &mut Effects,
    ) {
        let refusal = self.refusal(code, text, None);
        out.push(Effect::Decision(Box::new(Decision::Ended {
            request,
            route: Name::default(),
            server: None,
            tries: 0,
            basis: PlacementInputs::default(),
            code,
            status: refusal.status,
            took: Duration::ZERO,
            first: None,
        })));
        out.push(Effect::Forward { call, action: Action::Reject(refusal) });
    }

    pub(super) fn refusal(
        &mut self,
        code: Code,
        text: &'static str,
        back: Option<Duration>,
    ) -> Rejection {
        let back = || back.unwrap_or_else(|| spread(&mut self.rng, COME_BACK));
        let retry = code.retryable().then(back);
        Rejection { code, status: code.status(), text, retry }
    }
}
