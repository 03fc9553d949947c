//! Stand-in engines and plain services with set times.

use std::time::Duration;

use base::{Code, Incarnation, Name, RunId};
use fake::{Answer, Job, Output};
use node::{Event, ServerEvent};
use wire::{Load, Part, Work};

use super::callers::head;
use super::{Due, HOP, PLAIN, REPORT, Served, World};

/// Span in which a limit counts.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Time in which an agent hears of a limit: two reports.
const HEARD: Duration = Duration::from_millis(500);

impl World<'_> {
    pub(super) fn serve(&mut self, place: usize, run: RunId, priority: u8, work: Work) {
        *self.served.entry((run.entry, run.number)).or_insert(0) += 1;
        self.check_limit(place);
        match work {
            Work::Call(call) => {
                let count = self.plain_keys.entry(call.body.clone()).or_insert(0);
                *count += 1;
                if *count > 1 {
                    let key = String::from_utf8_lossy(&call.body).into_owned();
                    self.broke("at most once", format!("key {key} ran again"));
                }
                let head = Part::Head { status: 200, content_type: "text/plain".to_owned() };
                self.event(place, PLAIN, Event::Server(ServerEvent::Part { run, part: head }));
                let part = Part::Bytes(call.body);
                self.event(place, PLAIN, Event::Server(ServerEvent::Part { run, part }));
                let done = ServerEvent::Done { run, computed: 0, cached: 0 };
                self.event(place, PLAIN, Event::Server(done));
            }
            Work::Prompt(prompt) => {
                self.check_keys(run, &prompt);
                let incarnation = self.processes[place].hello.incarnation;
                let Some(engine) = &mut self.processes[place].engine else {
                    return;
                };
                if engine.version != prompt.version {
                    let news = ServerEvent::Failed { run, sent: true, code: Code::ServerError };
                    self.event(place, HOP, Event::Server(news));
                    return;
                }
                engine.next += 1;
                let id = engine.next;
                engine.jobs.insert(id, Served { run, answer: Answer::new(&prompt.text) });
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
                    self.schedule(Duration::ZERO, Due::Engine(place, incarnation));
                }
            }
        }
    }

    /// A rate-limited server gets in any four seconds no more than one and a half times what its limit allows and five
    /// runs, once its agent has had the time to hear of it.
    fn check_limit(&mut self, place: usize) {
        let now = self.now;
        let Some(engine) = &mut self.processes[place].engine else {
            return;
        };
        let Some((limit, since)) = engine.limit.filter(|(_, since)| now.since(*since) >= HEARD)
        else {
            return;
        };
        engine.begun.push(now);
        let count = engine.begun.iter().filter(|at| now.since(**at) < LIMIT_SPAN).count();
        let allowed = (limit as f64 / 1e3 * 1.5 * LIMIT_SPAN.as_secs_f64()) as usize + 5;
        if count > allowed {
            let text = format!("{count} runs in 4 s since {since:?}; allowed {allowed}");
            self.broke("limit", text);
        }
    }

    /// No block may serve two workspaces or two weight versions.
    pub(super) fn check_keys(&mut self, run: RunId, prompt: &wire::Prompt) {
        let Some(workspace) = self.heads.get(head(&prompt.text)) else {
            return;
        };
        let owner = (workspace.clone(), prompt.version.clone());
        let mut broken = Vec::new();
        for key in &prompt.keys {
            let first = self.owners.entry(*key).or_insert_with(|| owner.clone());
            if *first != owner {
                broken.push(format!("{run} shares a block with {first:?}"));
            }
        }
        for text in broken {
            self.broke("isolation", text);
        }
    }

    pub(super) fn engine_step(&mut self, place: usize, incarnation: Incarnation) {
        if self.processes[place].hello.incarnation != incarnation {
            return;
        }
        let step = self.trace.deployment.step_us * self.processes[place].slow;
        let after = Duration::from_micros(step);
        let Some(engine) = &mut self.processes[place].engine else {
            return;
        };
        let outputs = engine.batch.step();
        let mut news = Vec::new();
        for output in outputs {
            match output {
                Output::Token { id, index } => {
                    if let Some(served) = engine.jobs.get(&id) {
                        let text = served.answer.token(index);
                        let part = Part::Tokens { text, count: 1 };
                        news.push(ServerEvent::Part { run: served.run, part });
                    }
                }
                Output::End { id, computed, cached } => {
                    if let Some(served) = engine.jobs.remove(&id) {
                        let (computed, cached) = (computed as u32, cached as u32);
                        news.push(ServerEvent::Done { run: served.run, computed, cached });
                    }
                }
            }
        }
        engine.stepping = !engine.batch.idle();
        let again = engine.stepping;
        for news in news {
            self.event(place, after, Event::Server(news));
        }
        if again {
            self.schedule(after, Due::Engine(place, incarnation));
        }
    }

    pub(super) fn report(&mut self, place: usize, incarnation: Incarnation) {
        if self.processes[place].hello.incarnation != incarnation {
            return;
        }
        self.schedule(REPORT, Due::Report(place, incarnation));
        let Some(engine) = &self.processes[place].engine else {
            return;
        };
        let load = Load {
            running: engine.batch.running() as u32,
            waiting: engine.batch.queued() as u32,
            version: engine.version.clone(),
            limit: engine.limit.map(|(limit, _)| limit),
            ..Load::default()
        };
        // The report is seen only when the next one is made.
        self.event(place, REPORT, Event::Server(ServerEvent::Load(load)));
    }

    pub(super) fn load(&mut self, place: usize, version: Name) {
        // The time to load passes before any report says so.
        let after = Duration::from_micros(self.trace.deployment.load_us);
        let process = &mut self.processes[place];
        let incarnation = process.hello.incarnation;
        if let Some(engine) = &mut process.engine {
            engine.batch.clear();
            engine.version = version.clone();
            process.version = version.clone();
        }
        let limit = process.engine.as_ref().and_then(|engine| engine.limit);
        let load = Load { version, limit: limit.map(|(limit, _)| limit), ..Load::default() };
        let event = Event::Server(ServerEvent::Load(load));
        self.schedule(after, Due::Step(place, Box::new(event), incarnation));
    }

    pub(super) fn abort(&mut self, place: usize, run: RunId) {
        let Some(engine) = &mut self.processes[place].engine else {
            return;
        };
        let id = engine.jobs.iter().find(|(_, served)| served.run == run).map(|(id, _)| *id);
        if let Some(id) = id {
            engine.batch.cancel(id);
            engine.jobs.remove(&id);
            let news = ServerEvent::Failed { run, sent: true, code: Code::Cut };
            self.event(place, HOP, Event::Server(news));
        }
    }
}
