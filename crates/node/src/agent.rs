//! The agent's reducer: the one door to the backend server beside it.
//!
//! Parts of an answer are numbered and kept until the entry has acknowledged them. A run that was
//! cancelled before its start is written down, so that a late frame cannot start it.

use std::collections::{HashMap, HashSet, VecDeque};

use base::prelude::*;
use wire::{Digest, Frame, Load, Output, Part, Start};

use crate::{Effect, Effects, Server};

/// How long a run is kept for an entry whose link is down.
const ORPHAN: Duration = Duration::from_secs(10);
/// How many refused runs are remembered; older ones are past every deadline by then.
const REFUSED_KEPT: usize = 100_000;
/// Wait named in a refusal of a full server.
const FULL_RETRY_MS: u64 = 250;

#[derive(Debug)]
struct Held {
    entry: Name,
    idempotent: bool,
    deadline: Time,
    next_seq: u64,
    kept: VecDeque<(u64, Part)>,
    digest: Digest,
    done: bool,
    aborted: bool,
    orphan: Option<Time>,
}

/// The agent's reducer.
#[derive(Debug)]
pub struct Agent {
    incarnation: Incarnation,
    slots: usize,
    runs: HashMap<RunId, Held>,
    refused: HashSet<RunId>,
    refused_order: VecDeque<RunId>,
    load: Load,
    leaving: bool,
}

impl Agent {
    /// An agent beside a server with this many slots.
    pub fn new(incarnation: Incarnation, slots: usize, version: Name) -> Self {
        Self {
            incarnation,
            slots,
            runs: HashMap::new(),
            refused: HashSet::new(),
            refused_order: VecDeque::new(),
            load: Load { version, ..Load::default() },
            leaving: false,
        }
    }

    /// Runs that an entry may still ask for.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Whether no new work is taken.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Last load report of the server.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Takes no new work from now on.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// A frame came from an entry.
    pub fn frame(&mut self, now: Time, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Start(start) => self.start(now, peer, *start, out),
            Frame::Ack { run, seq } => self.ack(run, seq),
            Frame::Resume { run, seq } => self.resume(peer, run, seq, out),
            Frame::Cancel { run } => self.cancel(peer, run, out),
            _ => {}
        }
    }

    /// The last link to a peer is down.
    pub fn unlinked(&mut self, now: Time, peer: &Name) {
        for held in self.runs.values_mut().filter(|held| held.entry == *peer) {
            held.orphan = Some(now);
        }
    }

    /// News from the backend server.
    pub fn server(&mut self, news: Server, out: &mut Effects) {
        match news {
            Server::Load(load) => self.load = load,
            Server::Part { run, part } => self.part(run, part, out),
            Server::Done { run, computed, cached } => {
                self.finish(run, Code::Ok, computed, cached, out);
            }
            Server::Failed { run, sent: false, code } => {
                let Some(held) = self.runs.remove(&run) else {
                    return;
                };
                self.refuse(&held.entry, run, code, out);
            }
            Server::Failed { run, sent: true, code } => self.finish(run, code, 0, 0, out),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Time, out: &mut Effects) {
        let mut over = Vec::new();
        for (id, held) in &self.runs {
            let orphaned = held.orphan.is_some_and(|at| now.since(at) >= ORPHAN);
            if orphaned && (held.idempotent || held.done) {
                over.push((*id, true));
            } else if now > held.deadline && !held.aborted && held.idempotent {
                over.push((*id, false));
            }
        }
        for (id, drop) in over {
            let Some(held) = self.runs.get_mut(&id) else {
                continue;
            };
            if !held.done && !held.aborted {
                held.aborted = true;
                out.push(Effect::Abort { run: id });
            }
            if drop {
                self.runs.remove(&id);
            }
        }
    }

    fn start(&mut self, now: Time, peer: &Name, start: Start, out: &mut Effects) {
        let run = start.run;
        if self.runs.contains_key(&run) {
            return;
        }
        if self.refused.contains(&run) || start.to != self.incarnation {
            self.refuse(peer, run, Code::Cancelled, out);
            return;
        }
        if self.leaving {
            self.refuse(peer, run, Code::Draining, out);
            return;
        }
        if self.runs.values().filter(|held| !held.done).count() >= self.slots {
            self.refuse(peer, run, Code::Overloaded, out);
            return;
        }
        let held = Held {
            entry: peer.clone(),
            idempotent: start.idempotent,
            deadline: now + Duration::from_millis(start.left_ms),
            next_seq: 0,
            kept: VecDeque::new(),
            digest: Digest::default(),
            done: false,
            aborted: false,
            orphan: None,
        };
        self.runs.insert(run, held);
        out.push(Effect::Serve { run, work: start.work });
    }

    fn refuse(&mut self, peer: &Name, run: RunId, code: Code, out: &mut Effects) {
        if self.refused.insert(run) {
            self.refused_order.push_back(run);
        }
        if self.refused_order.len() > REFUSED_KEPT
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
        let frame = Frame::Refused { run, code, retry_ms: FULL_RETRY_MS };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    fn part(&mut self, run: RunId, part: Part, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            return;
        };
        if held.done {
            return;
        }
        held.digest.add(&part);
        let seq = held.next_seq;
        held.next_seq += 1;
        held.kept.push_back((seq, part.clone()));
        let frame = Frame::Output(Output { run, seq, part });
        out.push(Effect::Send { to: held.entry.clone(), frame });
    }

    fn finish(&mut self, run: RunId, code: Code, computed: u32, cached: u32, out: &mut Effects) {
        let Some(held) = self.runs.get(&run) else {
            return;
        };
        let end = Part::End { code, parts: held.next_seq, digest: held.digest, computed, cached };
        self.part(run, end, out);
        if let Some(held) = self.runs.get_mut(&run) {
            held.done = true;
        }
    }

    fn ack(&mut self, run: RunId, seq: u64) {
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

    fn resume(&mut self, peer: &Name, run: RunId, seq: u64, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            let frame = Frame::Gone { run };
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

    fn cancel(&mut self, peer: &Name, run: RunId, out: &mut Effects) {
        let Some(held) = self.runs.get_mut(&run) else {
            self.refuse(peer, run, Code::Cancelled, out);
            return;
        };
        if !held.done && !held.aborted && held.idempotent {
            held.aborted = true;
            out.push(Effect::Abort { run });
        }
    }
}
