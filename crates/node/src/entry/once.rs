//! Runs that must execute at most once: claimed in the replicated log before they are sent.
//!
//! A resend finds the claim. It gets the stored response, or waits for it. If the entry that owns the
//! claim is gone, the agent is ordered never to start the run. The claim is taken over only after the agent
//! has recorded and confirmed that the run has not started.

use base::prelude::*;
use state::{Claim, ClaimStatus, Command, Outcome};
use wire::{Answer, Frame, Request};

use super::{Context, Entry};
use crate::keeper_client::Purpose;
use crate::run::Stage;
use crate::{Effect, Effects, api, effect};

/// Interval between queries for a claim that another run holds.
const CLAIM_POLL: Duration = Duration::from_millis(100);
/// Time that the owning entry has to complete a claim before its agent is asked about the run; also the
/// base of the deadlines of commands that complete a claim.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    pub(super) fn claim(&mut self, cx: &mut Context<'_>, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let (Stage::Claiming { agent, incarnation }, Some(key)) = (&run.stage, &run.claim_key)
        else {
            return;
        };
        let claim = Claim {
            workspace: run.workspace.name.clone(),
            key: key.clone(),
            digest: run.request.digest,
            run: run.id,
            entry: self.name.clone(),
            agent: agent.clone(),
            incarnation: *incarnation,
            at_ms: cx.started_ms + cx.now.0 / 1_000,
        };
        run.claim_sent = true;
        let purpose = Purpose::Claim { number, attempt: run.id.attempt };
        let command = Command::Claim { claim, replaces: run.replaces };
        let deadline = run.deadline;
        cx.keepers.send(cx.now, purpose, Request::Command(command), deadline, out);
    }

    /// Handles the keepers' answer to a claim.
    pub fn claim_answered(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        attempt: u32,
        status: ClaimStatus,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            // The request ended before it was sent, and its claim has been released.
            return;
        };
        let Stage::Claiming { agent, incarnation } = run.stage.clone() else {
            return;
        };
        if run.id.attempt != attempt {
            return;
        }
        match status {
            ClaimStatus::Granted => {
                run.replaces = Some(run.id);
                run.stage = Stage::Sent { agent, incarnation };
                self.send(cx.now, number, out);
            }
            ClaimStatus::InProgress(claim) => {
                self.release(number);
                self.join(cx.now, number, claim);
            }
            ClaimStatus::Completed(outcome) => self.answer_from_outcome(cx, number, &outcome, out),
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
                next: now + CLAIM_POLL,
                asked: false,
            };
        }
    }

    /// Handles the status of a claim that another run holds.
    pub fn claim_status_answered(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        status: Option<ClaimStatus>,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let Stage::Joined { claim, since, next, asked } = &mut run.stage else {
            return;
        };
        match status {
            Some(ClaimStatus::Completed(outcome)) => {
                self.answer_from_outcome(cx, number, &outcome, out);
            }
            Some(ClaimStatus::InProgress(current)) => {
                if current.run != claim.run {
                    (**claim, *since, *asked) = (current, cx.now, false);
                }
                *next = cx.now + CLAIM_POLL;
            }
            // The claim was released: that run never executed.
            _ => self.requeue(cx, number, None, out),
        }
    }

    /// Puts a joined run back into the queue to claim the key itself.
    fn requeue(
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

    /// Queries the claims that joined runs wait for; asks the agent about those whose entry is silent.
    pub(super) fn poll_joined(&mut self, cx: &mut Context<'_>, out: &mut Effects) {
        let mut orphaned = Vec::new();
        for (number, run) in &mut self.runs {
            let Stage::Joined { claim, since, next, asked } = &mut run.stage else { continue };
            if cx.now < *next {
                continue;
            }
            *next = cx.now + 4 * CLAIM_POLL;
            let Some(key) = run.claim_key.clone() else { continue };
            let workspace = run.workspace.name.clone();
            let request = Request::ClaimStatus { workspace, key };
            let purpose = Purpose::ClaimStatus { number: *number };
            cx.keepers.send(cx.now, purpose, request, run.deadline, out);
            if cx.now.since(*since) < OWNER_TIMEOUT {
                continue;
            }
            let server = self.servers.get(&claim.agent);
            let alive = server.is_some_and(|server| {
                server.hello.incarnation == claim.incarnation && server.disconnected_at.is_none()
            });
            let restarted =
                server.is_some_and(|server| server.hello.incarnation > claim.incarnation);
            if restarted {
                orphaned.push((claim.run, run.workspace.name.clone(), run.claim_key.clone()));
            } else if alive && !*asked {
                *asked = true;
                let frame = Frame::Cancel { run: claim.run };
                out.push(Effect::Send { to: claim.agent.clone(), frame });
            }
        }
        // The agent has restarted since, so whether the run executed can't be determined any more.
        for (run, workspace, key) in orphaned {
            let Some(key) = key else { continue };
            let outcome = Some(Outcome::Ended(Code::Unknown));
            let command = Command::Complete { workspace, key, run, outcome };
            let deadline = cx.now + OWNER_TIMEOUT;
            cx.keepers.send(
                cx.now,
                Purpose::CompleteClaim,
                Request::Command(command),
                deadline,
                out,
            );
        }
    }

    /// An agent has confirmed that a run will never start: joined runs may take over its claim.
    pub(super) fn run_never_starts(
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
            self.requeue(cx, number, Some(id), out);
        }
    }

    /// Answers the caller with the outcome of the claimed run.
    fn answer_from_outcome(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        outcome: &Outcome,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        match outcome {
            Outcome::Ended(code) => {
                let text = "the first request with this key ended so";
                self.fail(cx, number, *code, text, Duration::ZERO, out);
            }
            Outcome::Answer { status, content_type, body } => {
                let (call, id) = (run.call, run.id);
                let (content_type, body) = api::stored(id, &run.request.kind, content_type, body);
                let head = api::head(Some(id), Code::Ok, *status, &content_type);
                effect::answer(call, head, body, out);
                self.end(cx, number, Code::Ok, out);
            }
        }
    }

    /// The keepers did not answer a request about a claim before its deadline.
    pub fn keepers_timed_out(
        &mut self,
        cx: &mut Context<'_>,
        purpose: &Purpose,
        out: &mut Effects,
    ) {
        match purpose {
            Purpose::Claim { number, .. } | Purpose::ClaimStatus { number } => {
                let (code, text) = match self.runs.get(number).map(|run| &run.stage) {
                    Some(Stage::Claiming { .. }) => {
                        (Code::NoClaim, "the keepers did not answer in time; nothing was sent")
                    }
                    Some(Stage::Joined { .. }) => (Code::Unknown, "the first request goes on"),
                    _ => return,
                };
                self.fail(cx, *number, code, text, super::admit::RETRY_AFTER, out);
            }
            Purpose::CompleteClaim
            | Purpose::ReadIndex
            | Purpose::Operator { .. }
            | Purpose::StoredConfig { .. } => {}
        }
    }

    /// Releases the claim of a run that was not sent and never will be.
    pub(super) fn release_claim(cx: &mut Context<'_>, run: &crate::Run, out: &mut Effects) {
        let (Some(key), true) = (&run.claim_key, run.claim_sent) else {
            return;
        };
        // The claim may still be held by the previous attempt.
        let before = run.replaces.filter(|before| *before != run.id);
        for id in before.into_iter().chain([run.id]) {
            let command = Command::Complete {
                workspace: run.workspace.name.clone(),
                key: key.clone(),
                run: id,
                outcome: None,
            };
            let deadline = cx.now + 5 * OWNER_TIMEOUT;
            cx.keepers.send(
                cx.now,
                Purpose::CompleteClaim,
                Request::Command(command),
                deadline,
                out,
            );
        }
    }
}

/// The claim status in a keeper's answer to a claim.
pub fn claim_status_in(answer: Answer) -> Option<ClaimStatus> {
    match answer {
        Answer::Reply(state::Reply::Claim(status)) => Some(status),
        _ => None,
    }
}
