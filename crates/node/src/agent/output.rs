//! Runs that the agent holds and the parts of their answers.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use state::{Command, Outcome};
use wire::{Digest, Frame, Output, Part, Request, Start};

use super::{Agent, Context, TELLING_PREFILL};
use crate::keeper_client::Purpose;
use crate::{Effect, Effects};

/// Largest answer that is kept for a resend, bytes.
const ANSWER_KEPT: usize = 256 << 10;
/// How long the keepers are asked to note how a run ended.
const SETTLE: Duration = Duration::from_secs(60);

/// A run that an entry may still ask for.
#[derive(Debug)]
pub(super) struct Held {
    pub entry: Name,
    pub start: Start,
    pub deadline: Time,
    pub fetching: HashSet<cache::Key>,
    pub served: Option<Time>,
    pub first: Option<Time>,
    pub next_seq: u64,
    pub kept: VecDeque<(u64, Part)>,
    pub digest: Digest,
    pub answer: Vec<u8>,
    pub head: Option<(u16, String)>,
    pub done: bool,
    pub aborted: bool,
    pub orphan: Option<Time>,
}

impl Held {
    fn note_answer(&mut self, part: &Part) {
        // One byte past the limit tells that the whole is too large to keep.
        let room = (ANSWER_KEPT + 1).saturating_sub(self.answer.len());
        let mut take = |bytes: &[u8]| {
            self.answer.extend_from_slice(&bytes[..bytes.len().min(room)]);
        };
        match part {
            Part::Tokens { text, .. } => take(text.as_bytes()),
            Part::Bytes(bytes) => take(bytes),
            Part::Head { status, content_type: kind } => self.head = Some((*status, kind.clone())),
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
            held.note_answer(&part);
        }
        if matches!(part, Part::Tokens { .. }) && held.first.is_none() {
            held.first = Some(now);
            self.news |= held.start.prefill >= TELLING_PREFILL;
        }
        let seq = held.next_seq;
        held.next_seq += 1;
        held.kept.push_back((seq, part.clone()));
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
        self.settle(cx, run, code, out);
        let held = &self.runs[&run];
        let (computed, cached) = prompt;
        let end = Part::End { code, parts: held.next_seq, digest: held.digest, computed, cached };
        self.part(cx.now, run, end, out);
        if let Some(held) = self.runs.get_mut(&run) {
            held.done = true;
        }
    }

    /// Notes in the agreed log how a run ended that may be done only once.
    fn settle(&mut self, cx: &mut Context<'_>, run: RunId, code: Code, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let Some(key) = held.start.idempotency_key.clone() else {
            return;
        };
        let outcome = if code == Code::Ok && held.answer.len() <= ANSWER_KEPT {
            let (status, kind) = held.head.clone().unwrap_or((200, String::new()));
            let body = Arc::from(held.answer.as_slice());
            Outcome::Answer { status, content_type: kind.into(), body }
        } else if code == Code::Ok {
            Outcome::Ended(Code::Cut)
        } else {
            Outcome::Ended(Code::Unknown)
        };
        let workspace = held.start.workspace.clone();
        let command = Command::Complete { workspace, key, run, outcome: Some(outcome) };
        let deadline = cx.now + SETTLE;
        cx.keepers.send(cx.now, Purpose::CompleteClaim, Request::Command(command), deadline, out);
    }

    pub(super) fn ack(&mut self, run: RunId, seq: u64) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        while held.kept.front().is_some_and(|(kept, _)| *kept < seq) {
            held.kept.pop_front();
        }
        if held.done && held.kept.is_empty() {
            self.runs.remove(&run);
        }
    }

    pub(super) fn resume(&mut self, peer: &Name, run: RunId, seq: u64, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            let frame = Frame::UnknownRun { run };
            out.push(Effect::Send { to: peer.clone(), frame });
            return;
        };
        held.orphan = None;
        held.entry = peer.clone();
        for (kept, part) in held.kept.iter().filter(|(kept, _)| *kept >= seq) {
            let output = Output { run, seq: *kept, part: part.clone() };
            out.push(Effect::Send { to: peer.clone(), frame: Frame::Output(output) });
        }
    }
}
