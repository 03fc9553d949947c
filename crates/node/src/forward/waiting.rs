//! Requests that wait in this entry until a server can take them.
//!
//! Only prompts wait, and only before their first attempt: nothing of a waiting request was sent, so it
//! can be rejected with "not run" at any time. [`route::admission`] decides on each request, and
//! [`limit::WaitList`] holds the order. The heads are evaluated on ticks and when an attempt ends; the
//! first of a class that cannot go stops the evaluation of that class, so the work per tick does not
//! depend on the length of the queue.

use std::collections::HashMap;

use base::prelude::*;
use limit::{WaitList, Waiter};
use rand::Rng;
use record::Workspace;
use route::admission::{self, Admission, Request};
use route::direct;
use serde_json::{Value, json};

use super::place::Options;
use super::{Context, Forward, Run};
use crate::decision::{Decision, Waited};
use crate::{Effect, Effects};

/// Maximum number of waiting requests of a service: an entry with a small share of a core sends fewer
/// within the longest useful wait, and each holds its body in memory.
const MAX_WAITING: usize = 256;
/// Maximum number of requests of a class and service that all entries together release per evaluation.
/// Each entry may release at least one: entries learn of each other's requests 20 to 40 ms late.
const MAX_RELEASES: usize = 16;

/// Whether a request waits in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Queueing {
    /// It was not considered yet.
    #[default]
    New,
    /// It was counted and does not wait.
    Counted,
    /// It has been waiting since this time.
    Waiting(Time),
}

/// The waiting requests of all services.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    lists: HashMap<Name, WaitList>,
    /// Revision of the configuration that the waiting requests were checked against.
    checked: Option<Revision>,
}

impl Waiting {
    fn list(&mut self, service: &Name) -> &mut WaitList {
        self.lists.entry(service.clone()).or_insert_with(|| WaitList::new(MAX_WAITING))
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, now: Time, run: &Run) {
        self.list(&run.service).sent(now, class(run));
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lists.values().map(WaitList::len).sum()
    }

    /// Number of waiting requests by service.
    pub fn dump(&self) -> Value {
        self.lists.iter().map(|(service, list)| (service.to_string(), json!(list.len()))).collect()
    }
}

/// Whether a request may wait: it is a prompt that was not sent yet and whose first token has a target.
fn may_wait(run: &Run) -> bool {
    run.head.prompt.is_some()
        && run.possible_executions == 0
        && run.attempts == 0
        && !run.is_trial
        && !run.is_suspect
        && !run.binding.is_final()
}

/// The class of a request: by its rank, then by its target.
fn class(run: &Run) -> u8 {
    admission::class(run.rank, run.target)
}

/// The name of a request's workspace and its weight in the queue.
fn flow(cx: &Context<'_>, run: &Run) -> (Name, f64) {
    let workspace: Option<&Workspace> =
        run.workspace.as_ref().and_then(|workspace| cx.view.workspace(workspace));
    workspace.map_or((Name::default(), 1.0), |found| (found.name.clone(), f64::from(found.share)))
}

impl Forward {
    /// Lets a new request wait if others go before it; returns whether it is dealt with. Servers are not
    /// evaluated for it.
    pub(super) fn waits_behind(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) -> bool {
        let Some(run) = self.runs.get_mut(&call).filter(|run| self.config.queue && may_wait(run))
        else {
            return false;
        };
        if run.queueing != Queueing::New {
            return false;
        }
        run.queueing = Queueing::Counted;
        let list = self.waiting.list(&run.service);
        list.arrived(cx.now, class(run), run.target);
        if !list.has_ahead(cx.now, class(run)) {
            return false;
        }
        // How much of the prompt is cached is not known yet.
        let tokens = run.segments().iter().map(|segment| f64::from(segment.tokens)).sum::<f64>();
        let rate = self.prefill_rates.get(&run.service).copied().unwrap_or_default();
        let latest = admission::latest_start(run.target, tokens / rate.tokens_per_ms());
        let at_most = latest.saturating_sub(cx.now.since(run.arrived_at));
        self.wait_in_queue(cx, call, at_most, Duration::ZERO, out);
        true
    }

    /// Chooses the server of a request that may wait. Returns false if the request waits, or was rejected,
    /// since it would be late there or leave no room for more urgent ones.
    pub(super) fn admitted(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        options: &mut Options,
        out: &mut Effects,
    ) -> bool {
        let Some(run) = self.runs.get(&call).filter(|run| self.config.queue && may_wait(run))
        else {
            return true;
        };
        let (service, class, target) = (run.service.clone(), class(run), run.target);
        let rank = run.rank;
        let list = self.waiting.list(&service);
        let urgent_target = list.urgent_target(cx.now, class);
        let Some(index) = options.best_within(admission::tie_ms(target), self.rng.random()) else {
            return true;
        };
        if !self.knows_holdings(cx, options, index) {
            return true;
        }
        let best = options.candidates[index];
        let overtaken_tokens = self.overtaken_tokens(options.choices[index].key, rank);
        let Some(run) = self.runs.get_mut(&call) else {
            return false;
        };
        let waited = cx.now.since(run.arrived_at);
        let request = Request { target, waited, urgent_target, overtaken_tokens };
        let admission = admission::decide(&best, &request);
        if admission != Admission::Send {
            run.inputs.cost_ms = direct::cost_ms(&best);
            (run.inputs.queued_tokens, run.inputs.in_flight) = (best.queued_tokens, best.running);
        }
        match admission {
            Admission::Send => {
                options.chosen = Some(index);
                self.leave_queue(cx.now, call, Waited::Sent, out);
                true
            }
            Admission::Wait { .. } if matches!(run.queueing, Queueing::Waiting(_)) => false,
            Admission::Wait { at_most, late } => {
                self.waiting.list(&service).defer(cx.now, class, self.rng.random());
                self.wait_in_queue(cx, call, at_most, late, out);
                false
            }
            Admission::Reject { late } => {
                self.reject_late(cx, call, late, out);
                false
            }
        }
    }

    /// Prompt tokens of this entry's less urgent requests that wait at a server behind the one that is
    /// being prefilled. Those of other entries are not known by rank.
    fn overtaken_tokens(&self, server: fleet::Key, rank: u8) -> u64 {
        let less_urgent = self.runs.values().filter(|run| run.rank > rank).filter_map(|run| {
            let placement = run.placement.as_ref()?;
            (placement.server == server).then_some(placement.prefill_tokens)
        });
        let (sum, max) =
            less_urgent.fold((0, 0), |(sum, max), tokens| (sum + tokens, tokens.max(max)));
        sum - max
    }

    fn wait_in_queue(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        at_most: Duration,
        late: Duration,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        let (workspace, share) = flow(cx, run);
        let at_most = at_most.min(run.deadline.since(cx.now));
        let list = self.waiting.list(&run.service);
        let expected = list.expected_wait(cx.now, (&workspace, class(run), share));
        let expected = expected.unwrap_or_default();
        if !admission::is_worth_waiting(expected, late, at_most) {
            self.reject_late(cx, call, expected.max(late), out);
            return;
        }
        run.queueing = Queueing::Waiting(cx.now);
        let tokens = run.head.prompt.as_ref().map_or(1, |prompt| prompt.tokens);
        out.push(Effect::Decision(Box::new(Decision::Waits {
            request: run.head.id.clone(),
            service: run.service.clone(),
            rank: run.rank,
            queued: list.len(),
            expected: expected.max(late),
            at_most,
        })));
        let dropped = list.push(Waiter {
            number: call,
            workspace,
            class: class(run),
            cost: f64::from(tokens).max(1.0),
            share,
            latest: cx.now + at_most,
        });
        if let Some(dropped) = dropped {
            self.reject_late(cx, dropped, late, out);
        }
    }

    /// Rejects a request that was not sent; `late` is the time until a server could take it.
    fn reject_late(&mut self, cx: &Context<'_>, call: u64, late: Duration, out: &mut Effects) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let excess = self.waiting.list(&run.service).excess(cx.now, class(run));
        let retry_after = admission::retry_after(late, excess, self.rng.random());
        let rejection = (Code::Overloaded, "it would be served too late now");
        self.reject_with_retry_after(cx, call, rejection, Some(retry_after), out);
    }

    /// Removes a request from the queue, if it waits there.
    pub(super) fn leave_queue(&mut self, now: Time, call: u64, outcome: Waited, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        let Queueing::Waiting(since) = run.queueing else {
            return;
        };
        run.queueing = Queueing::Counted;
        run.queue_wait += now.since(since);
        let list = self.waiting.list(&run.service);
        match outcome {
            Waited::Sent => list.take(call),
            Waited::Ended => list.remove(call),
        };
        out.push(Effect::Decision(Box::new(Decision::WaitEnded {
            request: run.head.id.clone(),
            rank: run.rank,
            waited: now.since(since),
            outcome,
        })));
    }

    /// Has the heads evaluated at the next release, since an attempt at the service of this request ended
    /// or completed its prefill.
    pub(super) fn wake_waiting(&mut self, service: &Name) {
        if let Some(list) = self.waiting.lists.get_mut(service) {
            list.wake();
        }
    }

    /// Sends the waiting requests that servers can take now, and rejects those that would be late.
    pub(super) fn release_waiting(&mut self, cx: &Context<'_>, out: &mut Effects) {
        if self.waiting.lists.values().all(WaitList::is_empty) {
            return;
        }
        self.check_waiting(cx, out);
        let services: Vec<Name> = self.waiting.lists.keys().cloned().collect();
        let max = (MAX_RELEASES / cx.entries.max(1)).max(1);
        for service in services {
            for call in self.waiting.list(&service).expired(cx.now) {
                self.reject_late(cx, call, Duration::ZERO, out);
            }
            for class in self.waiting.list(&service).classes_due(cx.now) {
                for _ in 0..max {
                    let Some(call) = self.waiting.list(&service).head(class) else { break };
                    self.place(cx, call, out);
                    let waits = |run: &Run| matches!(run.queueing, Queueing::Waiting(_));
                    if self.runs.get(&call).is_some_and(waits) {
                        break;
                    }
                }
                self.waiting.list(&service).defer(cx.now, class, self.rng.random());
            }
        }
    }

    /// After a change of the configuration, rejects waiting requests that it does not allow any more.
    fn check_waiting(&mut self, cx: &Context<'_>, out: &mut Effects) {
        if self.waiting.checked.replace(cx.view.revision) == Some(cx.view.revision) {
            return;
        }
        let waits = |run: &Run| matches!(run.queueing, Queueing::Waiting(_));
        let refusal = |run: &Run| {
            let Some(route) = run.head.route(cx.view).filter(|route| route.name == run.route)
            else {
                return Some((Code::NoSuchPath, "no route has this host and path any more"));
            };
            let key = run.head.key.as_deref();
            let workspace = key.and_then(|key| cx.view.workspace_of(key)).map(|found| &found.name);
            let needs_key = !route.public && cx.view.requires_keys();
            (needs_key && workspace != run.workspace.as_ref())
                .then_some((Code::BadKey, "the key belongs to the workspace no more"))
        };
        let refused: Vec<(u64, (Code, &'static str))> = self
            .runs
            .iter()
            .filter(|(_, run)| waits(run))
            .filter_map(|(call, run)| Some((*call, refusal(run)?)))
            .collect();
        let confirmed = cx.confirmed_ago.is_some_and(|ago| ago < self.config.deny_window);
        for (call, (code, text)) in refused {
            let code = if confirmed { code } else { Code::NotReady };
            self.reject(cx, call, code, text, out);
        }
    }
}
