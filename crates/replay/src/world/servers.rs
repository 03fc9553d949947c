//! Simulated engines and plain services with fixed service times.

use std::time::Duration;

use base::{Code, Incarnation, Name, RunId};
use fake::{Answer, Job, Output};
use node::{Event, ServerEvent};
use wire::{Load, Part, Work};

use super::callers::head;
use super::{EngineRun, HOP_LATENCY, PLAIN_CALL_TIME, REPORT_INTERVAL, Scheduled, World};

/// Window over which runs are counted against a rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time until an agent must comply with a limit: more than two report intervals.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(500);

impl World<'_> {
    pub(super) fn serve(&mut self, index: usize, run: RunId, priority: u8, work: Work) {
        *self.served.entry((run.entry, run.number)).or_insert(0) += 1;
        self.check_limit(index);
        match work {
            Work::Call(call) => {
                let count = self.plain_calls.entry(call.body.clone()).or_insert(0);
                *count += 1;
                if *count > 1 {
                    let key = String::from_utf8_lossy(&call.body).into_owned();
                    self.violated("at most once", format!("key {key} ran again"));
                }
                let head = Part::Head { status: 200, content_type: "text/plain".to_owned() };
                self.event(
                    index,
                    PLAIN_CALL_TIME,
                    Event::Server(ServerEvent::Part { run, part: head }),
                );
                let part = Part::Bytes(call.body);
                self.event(index, PLAIN_CALL_TIME, Event::Server(ServerEvent::Part { run, part }));
                let done = ServerEvent::Done { run, computed: 0, cached: 0 };
                self.event(index, PLAIN_CALL_TIME, Event::Server(done));
            }
            Work::Prompt(prompt) => {
                self.check_keys(run, &prompt);
                let deadly = self.tainted.iter().any(|document| {
                    let text = self.documents.get(document);
                    text.is_some_and(|text| head(text) == head(&prompt.text))
                });
                let incarnation = self.processes[index].hello.incarnation;
                let Some(engine) = &mut self.processes[index].engine else {
                    return;
                };
                if engine.version != prompt.version {
                    let event = ServerEvent::Failed { run, sent: true, code: Code::ServerError };
                    self.event(index, HOP_LATENCY, Event::Server(event));
                    return;
                }
                engine.next += 1;
                let id = engine.next;
                engine
                    .jobs
                    .insert(id, EngineRun { run, answer: Answer::new(&prompt.text), deadly });
                engine.batch.submit(Job {
                    id,
                    prompt_tokens: cache::estimate_tokens(&prompt.text),
                    from: prompt.resume_from,
                    until: prompt.max_tokens,
                    keys: prompt.keys,
                    priority,
                });
                if !engine.stepping {
                    engine.stepping = true;
                    self.schedule(Duration::ZERO, Scheduled::EngineStep(index, incarnation));
                }
            }
        }
    }

    /// Checks that a rate-limited server gets at most 1.5 times its limit plus 5 runs in any 4 s, once its agent
    /// has had time to learn of the limit.
    fn check_limit(&mut self, index: usize) {
        let now = self.now;
        let Some(engine) = &mut self.processes[index].engine else {
            return;
        };
        let Some((limit, since)) =
            engine.limit.filter(|(_, since)| now.since(*since) >= LIMIT_NOTICE_TIME)
        else {
            return;
        };
        engine.limited_starts.push(now);
        let count =
            engine.limited_starts.iter().filter(|at| now.since(**at) < LIMIT_WINDOW).count();
        let allowed = (limit as f64 / 1e3 * 1.5 * LIMIT_WINDOW.as_secs_f64()) as usize + 5;
        if count > allowed {
            let text = format!("{count} runs in 4 s since {since:?}; allowed {allowed}");
            self.violated("rate limit", text);
        }
    }

    /// Checks that no block is shared by two workspaces or two weight versions.
    pub(super) fn check_keys(&mut self, run: RunId, prompt: &wire::Prompt) {
        let Some(workspace) = self.workspace_by_head.get(head(&prompt.text)) else {
            return;
        };
        let owner = (workspace.clone(), prompt.version.clone());
        let mut violations = Vec::new();
        for key in &prompt.keys {
            let first = self.block_owners.entry(*key).or_insert_with(|| owner.clone());
            if *first != owner {
                violations.push(format!("{run} shares a block with {first:?}"));
            }
        }
        for text in violations {
            self.violated("isolation", text);
        }
    }

    pub(super) fn engine_step(&mut self, index: usize, incarnation: Incarnation) {
        if self.processes[index].hello.incarnation != incarnation {
            return;
        }
        let step = self.trace.deployment.step_us * self.processes[index].slowdown;
        let after = Duration::from_micros(step);
        let Some(engine) = &mut self.processes[index].engine else {
            return;
        };
        let outputs = engine.batch.step();
        let deadly = outputs.iter().find_map(|output| match output {
            Output::Token { id, .. } => engine.jobs.get(id).filter(|found| found.deadly),
            Output::End { .. } => None,
        });
        if let Some(run) = deadly.map(|found| found.run) {
            self.crash(index, run);
            return;
        }
        let mut events = Vec::new();
        for output in outputs {
            match output {
                Output::Token { id, index } => {
                    if let Some(served) = engine.jobs.get(&id) {
                        let text = served.answer.token(index);
                        let part = Part::Tokens { text, count: 1 };
                        events.push(ServerEvent::Part { run: served.run, part });
                    }
                }
                Output::End { id, computed, cached } => {
                    if let Some(served) = engine.jobs.remove(&id) {
                        let (computed, cached) = (computed as u32, cached as u32);
                        events.push(ServerEvent::Done { run: served.run, computed, cached });
                    }
                }
            }
        }
        engine.stepping = !engine.batch.is_idle();
        let again = engine.stepping;
        for event in events {
            self.event(index, after, Event::Server(event));
        }
        if again {
            self.schedule(after, Scheduled::EngineStep(index, incarnation));
        }
    }

    pub(super) fn report(&mut self, index: usize, incarnation: Incarnation) {
        if self.processes[index].hello.incarnation != incarnation {
            return;
        }
        self.schedule(REPORT_INTERVAL, Scheduled::Report(index, incarnation));
        let Some(engine) = &self.processes[index].engine else {
            return;
        };
        let load = Load {
            running: engine.batch.running() as u32,
            waiting: engine.batch.queued() as u32,
            version: engine.version.clone(),
            limit: engine.limit.map(|(limit, _)| limit),
            ..Load::default()
        };
        // Reports lag: the agent receives one when the next is made.
        self.event(index, REPORT_INTERVAL, Event::Server(ServerEvent::Load(load)));
    }

    pub(super) fn load(&mut self, index: usize, version: Name) {
        // The engine reports the new version only after the load time.
        let after = Duration::from_micros(self.trace.deployment.load_us);
        let process = &mut self.processes[index];
        let incarnation = process.hello.incarnation;
        if let Some(engine) = &mut process.engine {
            engine.batch.clear();
            engine.version = version.clone();
            process.version = version.clone();
        }
        let limit = process.engine.as_ref().and_then(|engine| engine.limit);
        let load = Load { version, limit: limit.map(|(limit, _)| limit), ..Load::default() };
        let event = Event::Server(ServerEvent::Load(load));
        self.schedule(after, Scheduled::Event(index, Box::new(event), incarnation));
    }

    pub(super) fn abort(&mut self, index: usize, run: RunId) {
        let Some(engine) = &mut self.processes[index].engine else {
            return;
        };
        let id = engine.jobs.iter().find(|(_, served)| served.run == run).map(|(id, _)| *id);
        if let Some(id) = id {
            engine.batch.cancel(id);
            engine.jobs.remove(&id);
            let event = ServerEvent::Failed { run, sent: true, code: Code::Cut };
            self.event(index, HOP_LATENCY, Event::Server(event));
        }
    }
}
