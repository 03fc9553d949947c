//! Runs that the agent holds, and the parts of their responses.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use state::{Command, Outcome};
use wire::{Digest, Frame, Output, Part, Request, Start};

use super::{Agent, Context, MIN_ADVERTISED_PREFILL};
use crate::keeper_client::Purpose;
use crate::{Effect, Effects};

/// Maximum size of a response that is stored for resends, bytes.
const MAX_STORED_RESPONSE_BYTES: usize = 256 << 10;
/// How long the command that completes a claim is sent to the keepers.
const COMPLETE_CLAIM_TIMEOUT: Duration = Duration::from_secs(60);

/// A run that an entry may still ask for.
#[derive(Debug)]
pub(super) struct HeldRun {
    pub entry: Name,
    pub start: Start,
    pub deadline: Time,
    /// Blocks to wait for before the run is submitted to the server.
    pub fetching: HashSet<cache::Key>,
    /// When the run was submitted to the server.
    pub served_at: Option<Time>,
    pub first_token_at: Option<Time>,
    pub next_seq: u64,
    /// Response parts that the entry has not acknowledged, with their sequence numbers.
    pub unacked: VecDeque<(u64, Part)>,
    pub digest: Digest,
    pub response: Vec<u8>,
    pub head: Option<(u16, String)>,
    pub done: bool,
    pub aborted: bool,
    /// When the connection to the entry was lost.
    pub orphaned_at: Option<Time>,
}

impl HeldRun {
    /// Removes the parts before this number.
    fn ack(&mut self, seq: u64) {
        while self.unacked.front().is_some_and(|(part_seq, _)| *part_seq < seq) {
            self.unacked.pop_front();
        }
    }

    fn store_response(&mut self, part: &Part) {
        // One byte past the limit marks the response as too large to store.
        let free = (MAX_STORED_RESPONSE_BYTES + 1).saturating_sub(self.response.len());
        let mut append = |bytes: &[u8]| {
            self.response.extend_from_slice(&bytes[..bytes.len().min(free)]);
        };
        match part {
            Part::Tokens { text, .. } => append(text.as_bytes()),
            Part::Bytes(bytes) => append(bytes),
            Part::Head { status, content_type } => {
                self.head = Some((*status, content_type.clone()));
            }
            Part::End { .. } => {}
        }
    }
}

impl Agent {
    pub(super) fn part(&mut self, now: Time, run: RunId, part: Part, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        if held.done {
            return;
        }
        held.digest.add(&part);
        if held.start.idempotency_key.is_some() {
            held.store_response(&part);
        }
        if matches!(part, Part::Tokens { .. }) && held.first_token_at.is_none() {
            held.first_token_at = Some(now);
            self.load_changed |= held.start.prefill >= MIN_ADVERTISED_PREFILL;
        }
        let seq = held.next_seq;
        held.next_seq += 1;
        held.unacked.push_back((seq, part.clone()));
        let frame = Frame::Output(Output { run, seq, part });
        out.push(Effect::Send { to: held.entry.clone(), frame });
    }

    pub(super) fn finish(
        &mut self,
        cx: &mut Context<'_>,
        run: RunId,
        code: Code,
        prompt: (u32, u32),
        out: &mut Effects,
    ) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        if held.done {
            return;
        }
        self.complete_claim(cx, run, code, out);
        let held = &self.runs[&run];
        let (computed, cached) = prompt;
        let end = Part::End { code, parts: held.next_seq, digest: held.digest, computed, cached };
        self.part(cx.now, run, end, out);
        if let Some(held) = self.runs.get_mut(&run) {
            held.done = true;
        }
    }

    /// Records the outcome of a run that must execute at most once in the replicated log.
    fn complete_claim(&mut self, cx: &mut Context<'_>, run: RunId, code: Code, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let Some(key) = held.start.idempotency_key.clone() else {
            return;
        };
        let outcome = if code == Code::Ok && held.response.len() <= MAX_STORED_RESPONSE_BYTES {
            let (status, content_type) = held.head.clone().unwrap_or((200, String::new()));
            let body = Arc::from(held.response.as_slice());
            Outcome::Answer { status, content_type: content_type.into(), body }
        } else if code == Code::Ok {
            Outcome::Ended(Code::Cut)
        } else {
            Outcome::Ended(Code::Unknown)
        };
        let workspace = held.start.workspace.clone();
        let command = Command::Complete { workspace, key, run, outcome: Some(outcome) };
        let deadline = cx.now + COMPLETE_CLAIM_TIMEOUT;
        cx.keepers.send(cx.now, Purpose::CompleteClaim, Request::Command(command), deadline, out);
    }

    pub(super) fn ack(&mut self, run: RunId, seq: u64, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        held.ack(seq);
        if !held.done {
            out.push(Effect::Acked { run, seq });
        }
        if held.done && held.unacked.is_empty() {
            self.runs.remove(&run);
        }
    }

    pub(super) fn resume(&mut self, peer: &Name, run: RunId, seq: u64, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            let frame = Frame::UnknownRun { run };
            out.push(Effect::Send { to: peer.clone(), frame });
            return;
        };
        held.orphaned_at = None;
        held.entry = peer.clone();
        // Acknowledgements may have been lost with the link.
        held.ack(seq);
        if !held.done {
            out.push(Effect::Acked { run, seq });
        }
        for (part_seq, part) in &held.unacked {
            let output = Output { run, seq: *part_seq, part: part.clone() };
            out.push(Effect::Send { to: peer.clone(), frame: Frame::Output(output) });
        }
    }
}
