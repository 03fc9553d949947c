//! The entry's reducer: admits, places, follows and ends the requests of its callers.
//!
//! A request that is given up on gets its final answer at once. "Not run" is said only when nothing
//! was sent or when the agent has said that it never will start the run.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use base::prelude::*;
use wire::{Digest, Frame, Hello, Load, Output, Part, Prompt, Start, Work};

use crate::api;
use crate::run::Stage;
use crate::{Ask, Config, Effect, Effects, Run, Want};

/// Parts between two acknowledgements.
const ACK_EVERY: u64 = 32;
/// Longest wait for a cut link before an idempotent run goes on elsewhere.
const RELINK: Duration = Duration::from_millis(700);
/// Dispatches of one request that may be refused before the caller gets the refusal.
const MAX_TRIES: u32 = 3;
/// Wait named to callers when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An agent as the entry sees it.
#[derive(Clone, Debug)]
pub struct Agent {
    /// What it said of itself.
    pub hello: Hello,
    /// When its link went down, if it is down.
    pub lost: Option<Time>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Last load report.
    pub load: Load,
    /// Runs that this entry has on it.
    pub own: u32,
}

/// The entry's reducer.
#[derive(Debug)]
pub struct Entry {
    config: Config,
    incarnation: Incarnation,
    next_number: u64,
    agents: BTreeMap<Name, Agent>,
    runs: HashMap<u64, Run>,
    calls: HashMap<u64, u64>,
    waiting: VecDeque<u64>,
    deadlines: BTreeSet<(Time, u64)>,
    draining: bool,
}

impl Entry {
    /// An entry that knows nobody yet.
    pub fn new(config: Config, incarnation: Incarnation) -> Self {
        Self {
            config,
            incarnation,
            next_number: 1,
            agents: BTreeMap::new(),
            runs: HashMap::new(),
            calls: HashMap::new(),
            waiting: VecDeque::new(),
            deadlines: BTreeSet::new(),
            draining: false,
        }
    }

    /// Requests that have not ended.
    pub fn open(&self) -> usize {
        self.runs.len()
    }

    /// Takes no new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The agents known, by name.
    pub fn agents(&self) -> &BTreeMap<Name, Agent> {
        &self.agents
    }

    /// The requests that have not ended, by number.
    pub fn runs(&self) -> &HashMap<u64, Run> {
        &self.runs
    }

    /// Takes a caller's request.
    pub fn ask(&mut self, now: Time, call: u64, ask: Box<Ask>, out: &mut Effects) {
        if self.draining {
            refuse_call(call, Code::Draining, "this entry is stopping", out);
            return;
        }
        let work = match &ask.want {
            Want::Models => {
                self.list(call, out);
                return;
            }
            Want::Prompt { model, text, max_tokens, .. } => Work::Prompt(Prompt {
                model: model.clone(),
                version: Name::default(),
                text: text.clone(),
                max_tokens: *max_tokens,
                resume_from: 0,
                keys: Vec::new(),
            }),
            Want::Call(call) => Work::Call(call.clone()),
        };
        if self.waiting.len() >= self.config.max_waiting {
            refuse_call(call, Code::Overloaded, "too many requests wait here", out);
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        let idempotent = ask.caller.repeatable.unwrap_or(true);
        let run = Run {
            id: RunId { entry: self.incarnation, number, attempt: 0 },
            call,
            workspace: Name::new(&ask.caller.key),
            work,
            idempotent,
            arrived: now,
            deadline: now + ask.caller.deadline.unwrap_or(self.config.deadline),
            stage: Stage::Waiting,
            tries: 0,
            avoided: Vec::new(),
            next_seq: 0,
            digest: Digest::default(),
            delivered: 0,
            begun: false,
            text: String::new(),
            bytes: Vec::new(),
            head: None,
            first: None,
            ask,
        };
        self.deadlines.insert((run.deadline, number));
        self.calls.insert(call, number);
        self.runs.insert(number, run);
        self.waiting.push_back(number);
        self.place(now, out);
    }

    /// A caller went away.
    pub fn hangup(&mut self, now: Time, call: u64, out: &mut Effects) {
        let Some(number) = self.calls.get(&call).copied() else {
            return;
        };
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        if !run.idempotent && run.stage != Stage::Waiting {
            return;
        }
        let code = if run.stage == Stage::Waiting { Code::Cancelled } else { Code::Cut };
        self.cancel(number, out);
        self.end(now, number, code, out);
        self.place(now, out);
    }

    /// A link to an agent is up.
    pub fn linked(&mut self, now: Time, hello: &Hello, out: &mut Effects) {
        if hello.server.is_none() {
            return;
        }
        let old = self.agents.remove(&hello.name);
        let same = old.as_ref().is_some_and(|old| old.hello.incarnation == hello.incarnation);
        let agent = match old {
            Some(old) if same => Agent { lost: None, hello: hello.clone(), ..old },
            _ => Agent {
                hello: hello.clone(),
                lost: None,
                leaving: false,
                load: Load::default(),
                own: 0,
            },
        };
        self.agents.insert(hello.name.clone(), agent);
        for number in self.sent_to(&hello.name) {
            let run = &self.runs[&number];
            let Stage::Sent { incarnation, .. } = &run.stage else {
                continue;
            };
            if *incarnation == hello.incarnation {
                let frame = Frame::Resume { run: run.id, seq: run.next_seq };
                out.push(Effect::Send { to: hello.name.clone(), frame });
            } else {
                self.lost(now, number, out);
            }
        }
        self.place(now, out);
    }

    /// The last link to a peer is down.
    pub fn unlinked(&mut self, now: Time, peer: &Name) {
        if let Some(agent) = self.agents.get_mut(peer) {
            agent.lost = Some(now);
        }
    }

    /// A heartbeat came from a peer.
    pub fn beat(&mut self, now: Time, peer: &Name, beat: &wire::Beat, out: &mut Effects) {
        let Some(agent) = self.agents.get_mut(peer) else {
            return;
        };
        agent.leaving = beat.leaving;
        if let Some(load) = &beat.load {
            agent.load = load.clone();
        }
        self.place(now, out);
    }

    /// A frame came from an agent.
    pub fn frame(&mut self, now: Time, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Output(output) => self.output(now, peer, output, out),
            Frame::Refused { run, code, retry_ms } => {
                self.refused(now, peer, run, code, Duration::from_millis(retry_ms), out);
            }
            Frame::Gone { run } if self.current(peer, run).is_some() => {
                self.lost(now, run.number, out);
            }
            _ => {}
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Time, out: &mut Effects) {
        self.expire(now, out);
        let lost: Vec<Name> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.lost.is_some_and(|at| now.since(at) >= RELINK))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            for number in self.sent_to(&name) {
                self.lost(now, number, out);
            }
        }
        self.place(now, out);
    }

    /// Ends what is left when the process must go; says how many were cut.
    pub fn cut_all(&mut self, now: Time, out: &mut Effects) -> usize {
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in &numbers {
            let code = self.give_up_code(*number, Code::Draining);
            self.cancel(*number, out);
            self.fail(now, *number, code, "this entry had to stop", RETRY_AFTER, out);
        }
        numbers.len()
    }

    fn list(&self, call: u64, out: &mut Effects) {
        let mut names: Vec<Name> = self
            .agents
            .values()
            .filter_map(|agent| agent.hello.server.as_ref())
            .filter(|server| !server.plain)
            .map(|server| server.serves.clone())
            .collect();
        names.sort();
        names.dedup();
        let reply = api::head(None, Code::Ok, 200, "application/json");
        out.push(Effect::Begin { call, reply });
        out.push(Effect::Body { call, bytes: api::models(&names) });
        out.push(Effect::Finish { call, whole: true });
    }

    fn place(&mut self, now: Time, out: &mut Effects) {
        let mut left = VecDeque::new();
        while let Some(number) = self.waiting.pop_front() {
            if !self.runs.contains_key(&number) {
                continue;
            }
            match self.choose(number) {
                Choice::Agent(name) => self.dispatch(now, number, &name, out),
                Choice::Wait => left.push_back(number),
                Choice::Nobody => {
                    let text = "no backend server serves this";
                    self.fail(now, number, Code::NoServer, text, RETRY_AFTER, out);
                }
            }
        }
        self.waiting = left;
    }

    fn choose(&self, number: u64) -> Choice {
        let run = &self.runs[&number];
        let target = run.work.target();
        let mut known = false;
        let mut best: Option<(u32, &Name)> = None;
        for (name, agent) in &self.agents {
            let Some(server) = &agent.hello.server else {
                continue;
            };
            if server.serves != *target || agent.lost.is_some() || agent.leaving {
                continue;
            }
            known = true;
            if run.avoided.contains(name) || agent.own >= server.slots {
                continue;
            }
            if best.is_none_or(|(own, _)| agent.own < own) {
                best = Some((agent.own, name));
            }
        }
        match best {
            Some((_, name)) => Choice::Agent(name.clone()),
            None if known => Choice::Wait,
            None => Choice::Nobody,
        }
    }

    fn dispatch(&mut self, now: Time, number: u64, name: &Name, out: &mut Effects) {
        let (Some(agent), Some(run)) = (self.agents.get_mut(name), self.runs.get_mut(&number))
        else {
            return;
        };
        agent.own += 1;
        run.stage = Stage::Sent { agent: name.clone(), incarnation: agent.hello.incarnation };
        let start = Start {
            run: run.id,
            to: agent.hello.incarnation,
            workspace: run.workspace.clone(),
            priority: run.ask.caller.priority,
            left_ms: run.deadline.since(now).as_millis() as u64,
            idempotent: run.idempotent,
            work: run.work.clone(),
        };
        out.push(Effect::Send { to: name.clone(), frame: Frame::Start(Box::new(start)) });
    }

    fn current(&mut self, peer: &Name, id: RunId) -> Option<&mut Run> {
        let run = self.runs.get_mut(&id.number)?;
        let at_peer = matches!(&run.stage, Stage::Sent { agent, .. } if agent == peer);
        (run.id == id && at_peer).then_some(run)
    }

    fn output(&mut self, now: Time, peer: &Name, output: Output, out: &mut Effects) {
        let Some(run) = self.current(peer, output.run) else {
            // A late frame of a run that is over or has moved on: free the agent's copy.
            let frame = Frame::Ack { run: output.run, seq: u64::MAX };
            out.push(Effect::Send { to: peer.clone(), frame });
            return;
        };
        if output.seq != run.next_seq {
            if output.seq > run.next_seq {
                let frame = Frame::Resume { run: run.id, seq: run.next_seq };
                out.push(Effect::Send { to: peer.clone(), frame });
            }
            return;
        }
        run.next_seq += 1;
        run.digest.add(&output.part);
        let number = output.run.number;
        if run.next_seq % ACK_EVERY == 0 {
            let frame = Frame::Ack { run: run.id, seq: run.next_seq };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
        match output.part {
            Part::Tokens { text, count } => tokens(now, run, &text, count, out),
            Part::Head { status, kind } => run.head = Some((status, kind)),
            Part::Bytes(bytes) => run.bytes.extend_from_slice(&bytes),
            Part::End { code, parts, digest, computed, cached } => {
                let frame = Frame::Ack { run: run.id, seq: u64::MAX };
                out.push(Effect::Send { to: peer.clone(), frame });
                let whole = parts + 1 == run.next_seq && digest == run.digest;
                if code == Code::Ok && whole {
                    self.complete(now, number, (computed, cached), out);
                } else if code == Code::Ok {
                    self.lost(now, number, out);
                } else {
                    self.server_failed(now, number, code, out);
                }
                self.place(now, out);
            }
        }
    }

    fn complete(&mut self, now: Time, number: u64, prompt: (u32, u32), out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let (call, id) = (run.call, run.id);
        match &run.ask.want {
            Want::Prompt { model, stream: true, chat, .. } => {
                begin_stream(run.begun, call, id, out);
                let last = api::chunk(id, model, *chat, "", Some("stop"));
                out.push(Effect::Body { call, bytes: last });
                out.push(Effect::Body { call, bytes: api::DONE.to_vec() });
            }
            Want::Prompt { model, chat, .. } => {
                let usage = (prompt.0, prompt.1, run.delivered);
                let body = api::whole(id, model, *chat, &run.text, usage);
                let reply = api::head(Some(id), Code::Ok, 200, "application/json");
                out.push(Effect::Begin { call, reply });
                out.push(Effect::Body { call, bytes: body });
            }
            Want::Call(_) | Want::Models => {
                let (status, kind) = run.head.take().unwrap_or((200, String::new()));
                let reply = api::head(Some(id), Code::Ok, status, &kind);
                out.push(Effect::Begin { call, reply });
                out.push(Effect::Body { call, bytes: std::mem::take(&mut run.bytes) });
            }
        }
        out.push(Effect::Finish { call, whole: true });
        self.end(now, number, Code::Ok, out);
    }

    fn refused(
        &mut self,
        now: Time,
        peer: &Name,
        id: RunId,
        code: Code,
        retry: Duration,
        out: &mut Effects,
    ) {
        let Some(run) = self.current(peer, id) else {
            return;
        };
        run.tries += 1;
        run.avoided.push(peer.clone());
        run.rewind();
        let (tries, begun) = (run.tries, run.begun);
        self.release(peer);
        if tries >= MAX_TRIES && !begun {
            self.fail(now, id.number, code, "every server tried was full", retry, out);
        } else {
            self.waiting.push_front(id.number);
        }
        self.place(now, out);
    }

    fn server_failed(&mut self, now: Time, number: u64, code: Code, out: &mut Effects) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let retry = run.idempotent && run.tries + 1 < MAX_TRIES && code != Code::DeadlineRunning;
        if retry {
            self.lost(now, number, out);
        } else {
            let code = if run.idempotent { code } else { Code::Unknown };
            self.fail(now, number, code, "the backend server failed", RETRY_AFTER, out);
        }
    }

    /// The dispatch is lost: an idempotent run goes on elsewhere, another one may have run.
    fn lost(&mut self, now: Time, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        let Stage::Sent { agent, .. } = run.stage.clone() else {
            return;
        };
        if !run.idempotent {
            let text = "the backend server was lost; the request may have run";
            self.fail(now, number, Code::Unknown, text, RETRY_AFTER, out);
            return;
        }
        run.tries += 1;
        run.avoided.push(agent.clone());
        run.rewind();
        if matches!(run.work, Work::Prompt(_)) || run.tries < MAX_TRIES {
            self.waiting.push_front(number);
        } else {
            let text = "the backend server was lost";
            self.fail(now, number, Code::Cut, text, RETRY_AFTER, out);
        }
        self.release(&agent);
    }

    fn expire(&mut self, now: Time, out: &mut Effects) {
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let code = self.give_up_code(number, Code::Late);
            self.cancel(number, out);
            self.fail(now, number, code, "the deadline has passed", RETRY_AFTER, out);
        }
    }

    fn give_up_code(&self, number: u64, waiting: Code) -> Code {
        let Some(run) = self.runs.get(&number) else {
            return waiting;
        };
        match run.stage {
            Stage::Waiting if !run.begun => waiting,
            _ if run.begun => Code::DeadlineRunning,
            _ => Code::Unknown,
        }
    }

    fn cancel(&mut self, number: u64, out: &mut Effects) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        if let Stage::Sent { agent, .. } = &run.stage {
            let frame = Frame::Cancel { run: run.id };
            out.push(Effect::Send { to: agent.clone(), frame });
        }
    }

    fn fail(
        &mut self,
        now: Time,
        number: u64,
        code: Code,
        text: &str,
        retry: Duration,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let call = run.call;
        if run.begun {
            out.push(Effect::Body { call, bytes: api::error_event(code, text) });
            out.push(Effect::Finish { call, whole: false });
        } else {
            let (reply, bytes) = api::refusal(Some(run.id), code, text, retry);
            out.push(Effect::Begin { call, reply });
            out.push(Effect::Body { call, bytes });
            out.push(Effect::Finish { call, whole: true });
        }
        self.end(now, number, code, out);
    }

    fn end(&mut self, now: Time, number: u64, code: Code, out: &mut Effects) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        self.calls.remove(&run.call);
        self.deadlines.remove(&(run.deadline, number));
        if let Stage::Sent { agent, .. } = &run.stage {
            self.release(agent);
        }
        out.push(Effect::Log {
            run: run.id,
            workspace: run.workspace,
            code,
            took_ms: now.since(run.arrived).as_millis() as u64,
        });
    }

    fn release(&mut self, agent: &Name) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.own = agent.own.saturating_sub(1);
        }
    }

    fn sent_to(&self, name: &Name) -> Vec<u64> {
        let mut numbers: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(&run.stage, Stage::Sent { agent, .. } if agent == name))
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        numbers
    }
}

enum Choice {
    Agent(Name),
    Wait,
    Nobody,
}

fn tokens(now: Time, run: &mut Run, text: &str, count: u32, out: &mut Effects) {
    run.first.get_or_insert(now);
    run.delivered += count;
    if !run.streams() {
        run.text.push_str(text);
        return;
    }
    begin_stream(run.begun, run.call, run.id, out);
    run.begun = true;
    let Want::Prompt { model, chat, .. } = &run.ask.want else {
        return;
    };
    let bytes = api::chunk(run.id, model, *chat, text, None);
    out.push(Effect::Body { call: run.call, bytes });
}

fn begin_stream(begun: bool, call: u64, id: RunId, out: &mut Effects) {
    if !begun {
        let reply = api::head(Some(id), Code::Ok, 200, api::EVENT_STREAM);
        out.push(Effect::Begin { call, reply });
    }
}

fn refuse_call(call: u64, code: Code, text: &str, out: &mut Effects) {
    let (reply, bytes) = api::refusal(None, code, text, RETRY_AFTER);
    out.push(Effect::Begin { call, reply });
    out.push(Effect::Body { call, bytes });
    out.push(Effect::Finish { call, whole: true });
}
