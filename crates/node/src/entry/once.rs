//! Runs that may be done only once: claimed in the agreed log before they are sent.
//!
//! A resend finds the claim. It gets the answer that is kept, or waits for it. If the entry that
//! held the claim is gone, the agent is asked never to start the run; only its word that it has not
//! started, written down there, lets the claim be taken over.

use base::prelude::*;
use state::{Claim, ClaimStatus, Command, Outcome};
use wire::{Answer, Frame, Request};

use super::{Context, Entry};
use crate::keeper_client::Purpose;
use crate::run::Stage;
use crate::{Effect, Effects, api, effect};

/// Pause between two looks at a claim that another holds.
const LOOK: Duration = Duration::from_millis(100);
/// Time given to another entry before its agent is asked about the run.
const PATIENCE: Duration = Duration::from_secs(1);

impl Entry {
    pub(super) fn claim(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let (Stage::Claiming { agent, incarnation }, Some(key)) = (&run.stage, &run.once) else {
            return;
        };
        let claim = Claim {
            workspace: run.workspace.name.clone(),
            key: key.clone(),
            digest: run.request.digest,
            run: run.id,
            entry: self.me.clone(),
            agent: agent.clone(),
            incarnation: *incarnation,
            at_ms: cx.started_ms + cx.now.0 / 1_000,
        };
        run.claimed = true;
        let purpose = Purpose::Claim { number, attempt: run.id.attempt };
        let command = Command::Claim { claim, replaces: run.replaces };
        let deadline = run.deadline;
        cx.keepers.ask(cx.now, purpose, Request::Command(command), deadline, out);
    }

    /// Where a claim stands has come back.
    pub fn claim_answered(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        attempt: u32,
        standing: ClaimStatus,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            // The caller is gone and nothing was sent, so the key is free again.
            return;
        };
        let Stage::Claiming { agent, incarnation } = run.stage.clone() else {
            return;
        };
        if run.id.attempt != attempt {
            return;
        }
        match standing {
            ClaimStatus::Granted => {
                run.replaces = Some(run.id);
                run.stage = Stage::Sent { agent, incarnation };
                self.send(cx.now, number, out);
            }
            ClaimStatus::InProgress(claim) => {
                let run_id = number;
                self.release(run_id);
                self.join(cx.now, number, claim);
            }
            ClaimStatus::Completed(outcome) => self.settled(cx, number, &outcome, out),
            ClaimStatus::Mismatch => {
                let text = "the idempotency key was used with another body";
                self.fail(cx, number, Code::KeyReused, text, Duration::ZERO, out);
            }
        }
        self.place(cx, out);
    }

    fn join(&mut self, now: Time, number: u64, claim: Claim) {
        if let Some(run) = self.runs.get_mut(&number) {
            run.stage = Stage::Joined {
                claim: Box::new(claim),
                since: now,
                next: now + LOOK,
                asked: false,
            };
        }
    }

    /// A look at a claim that another holds has come back.
    pub fn standing_answered(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        standing: Option<ClaimStatus>,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let Stage::Joined { claim, since, next, asked } = &mut run.stage else {
            return;
        };
        match standing {
            Some(ClaimStatus::Completed(outcome)) => self.settled(cx, number, &outcome, out),
            Some(ClaimStatus::InProgress(held)) => {
                if held.run != claim.run {
                    (**claim, *since, *asked) = (held, cx.now, false);
                }
                *next = cx.now + LOOK;
            }
            // The claim is free again: it never ran.
            _ => self.again(cx, number, None, out),
        }
    }

    /// Puts a joined run back into the queue, to claim for itself.
    fn again(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        replaces: Option<RunId>,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.rewind();
        run.replaces = replaces;
        let item = Self::item(&self.runs[&number]);
        self.queue.push_front(item);
        self.place(cx, out);
    }

    /// Looks at joined claims; asks the agent about those whose entry keeps silent.
    pub(super) fn look_after_joined(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        let mut over = Vec::new();
        for (number, run) in &mut self.runs {
            let Stage::Joined { claim, since, next, asked } = &mut run.stage else { continue };
            if cx.now < *next {
                continue;
            }
            *next = cx.now + 4 * LOOK;
            let Some(key) = run.once.clone() else { continue };
            let workspace = run.workspace.name.clone();
            let request = Request::ClaimStatus { workspace, key };
            let purpose = Purpose::Standing { number: *number };
            cx.keepers.ask(cx.now, purpose, request, run.deadline, out);
            if cx.now.since(*since) < PATIENCE {
                continue;
            }
            let server = self.servers.get(&claim.agent);
            let lives = server.is_some_and(|server| {
                server.hello.incarnation == claim.incarnation && server.lost.is_none()
            });
            let died = server.is_some_and(|server| server.hello.incarnation > claim.incarnation);
            if died {
                over.push((claim.run, run.workspace.name.clone(), run.once.clone()));
            } else if lives && !*asked {
                *asked = true;
                let frame = Frame::Cancel { run: claim.run };
                out.push(Effect::Send { to: claim.agent.clone(), frame });
            }
        }
        // The agent's life that could run it is over: nobody can say any more whether it ran.
        for (run, workspace, key) in over {
            let Some(key) = key else { continue };
            let outcome = Some(Outcome::Ended(Code::Unknown));
            let command = Command::Complete { workspace, key, run, outcome };
            let deadline = cx.now + PATIENCE;
            cx.keepers.ask(cx.now, Purpose::Settle, Request::Command(command), deadline, out);
        }
    }

    /// An agent has said that a run never starts: joined runs may take its claim over.
    pub(super) fn never_starts(
        &mut self,
        cx: &mut Context<'_>,
        peer: &Name,
        id: RunId,
        out: &mut Effects,
    ) {
        let joined: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(&run.stage, Stage::Joined { claim, .. }
                    if claim.run == id && claim.agent == *peer)
            })
            .map(|(number, _)| *number)
            .collect();
        for number in joined {
            self.again(cx, number, Some(id), out);
        }
    }

    /// Gives the caller how a claimed run ended.
    fn settled(&mut self, cx: &mut Context<'_>, number: u64, outcome: &Outcome, out: &mut Effects) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        match outcome {
            Outcome::Ended(code) => {
                let text = "the first request with this key ended so";
                self.fail(cx, number, *code, text, Duration::ZERO, out);
            }
            Outcome::Answer { status, content_type: kind, body } => {
                let (call, id) = (run.call, run.id);
                let (kind, body) = api::stored(id, &run.request.kind, kind, body);
                let head = api::head(Some(id), Code::Ok, *status, &kind);
                effect::answer(call, head, body, out);
                self.end(cx, number, Code::Ok, out);
            }
        }
    }

    /// A claim's fate could not be learnt before the deadline.
    pub fn unanswered(&mut self, cx: &mut Context<'_>, purpose: &Purpose, out: &mut Effects) {
        match purpose {
            Purpose::Claim { number, .. } | Purpose::Standing { number } => {
                let (code, text) = match self.runs.get(number).map(|run| &run.stage) {
                    Some(Stage::Claiming { .. }) => {
                        (Code::NoClaim, "the keepers did not answer in time; nothing was sent")
                    }
                    Some(Stage::Joined { .. }) => (Code::Unknown, "the first request goes on"),
                    _ => return,
                };
                self.fail(cx, *number, code, text, super::admit::RETRY_AFTER, out);
            }
            Purpose::Settle
            | Purpose::Mark
            | Purpose::Operator { .. }
            | Purpose::Adopted { .. } => {}
        }
    }

    /// Frees the claim of a run that was never sent and never will be.
    pub(super) fn give_back_claim(cx: &mut Context<'_>, run: &crate::Run, out: &mut Effects) {
        let (Some(key), true) = (&run.once, run.claimed) else {
            return;
        };
        // The claim may still stand under the dispatch before.
        let before = run.replaces.filter(|before| *before != run.id);
        for id in before.into_iter().chain([run.id]) {
            let command = Command::Complete {
                workspace: run.workspace.name.clone(),
                key: key.clone(),
                run: id,
                outcome: None,
            };
            let deadline = cx.now + 5 * PATIENCE;
            cx.keepers.ask(cx.now, Purpose::Settle, Request::Command(command), deadline, out);
        }
    }
}

/// The standing in a keeper's answer to a claim.
pub fn standing_in(answer: Answer) -> Option<ClaimStatus> {
    match answer {
        Answer::Reply(state::Reply::Claim(standing)) => Some(standing),
        _ => None,
    }
}
