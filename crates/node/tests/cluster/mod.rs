//! Up to hundreds of entries and what servers say in their answers, without a network: frames that come late or not at
//! all, entries that start again, a leader that changes or is gone, clocks that differ.
#![allow(dead_code, reason = "each test file uses a part of the town")]

#[path = "../fixture/mod.rs"]
mod fixture;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use base::prelude::*;
use fleet::{Backoff, Limit, LimitNotice, Listed, Notice};
use node::forward::{Action, Context, Event, Forward, RequestHead, ResponseHead};
use node::{Effect, Effects};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use record::View;
use wire::Frame;

use fixture::{config, listed, view};

/// Time between two ticks of a reducer.
pub const TICK: u64 = 10;
/// Span of the rule, and the time after which an entry that has heard must keep to it; milliseconds.
pub const SPAN: u64 = 4_000;
pub const HEARD: u64 = 500;
/// When the need begins.
pub const NEED: u64 = 2_000;
/// When the term of the first leader began.
pub const TERM: u64 = 1;

/// What is done to the world at a time.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// An entry leads in a term, or no longer does.
    Leads(usize, Option<u64>),
    /// An entry starts anew.
    Restart(usize),
    /// A part of what entries send each other is lost.
    Loss(f64),
}

/// What a server in need says in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    /// The rate that it takes.
    Rate,
    /// That it leaves.
    Leaving,
    /// That it wants no request for this many milliseconds; it runs none.
    Pause(u64),
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    pub servers: u16,
    /// Servers in need.
    pub needy: u16,
    pub says: Says,
    pub per_second: f64,
    /// Requests a second, of all entries.
    pub load: f64,
    /// When the need ends and the run ends, milliseconds.
    pub ends: u64,
    pub until: u64,
    /// Part of the answers of a server in need that do not say so.
    pub silent: f64,
    pub troubles: Vec<(u64, Trouble)>,
    pub seed: u64,
}

impl Plan {
    pub fn new(entries: usize, per_second: f64) -> Self {
        Self {
            entries,
            servers: 6,
            needy: 1,
            says: Says::Rate,
            per_second,
            load: 60.0 + entries as f64,
            ends: u64::MAX,
            until: 22_000,
            silent: 0.0,
            troubles: Vec::new(),
            seed: entries as u64,
        }
    }
}

pub enum Due {
    Tick(usize),
    Arrival,
    Frame(usize, usize, Box<Frame>),
    /// Entry, its life, call and server; when the request was sent.
    Answer(usize, u32, u64, u16),
    Done(usize, u32, u64),
    Trouble(Trouble),
}

/// A request that reached a server in need.
pub struct Call {
    pub at: u64,
    pub entry: usize,
}

pub struct Entry {
    pub forward: Forward,
    pub life: u32,
    /// What its clock is ahead by, milliseconds.
    pub ahead: u64,
    pub term: Option<u64>,
    /// By server: when it first passed on an answer that named a limit.
    pub heard: HashMap<u16, u64>,
    /// Pauses that servers asked it for: the server, when it asked, until when.
    pub pauses: Vec<(u16, u64, u64)>,
}

pub struct World {
    pub plan: Plan,
    pub view: View,
    pub now: u64,
    pub number: u64,
    pub due: BinaryHeap<Reverse<(u64, u64)>>,
    pub what: HashMap<u64, Due>,
    pub entries: Vec<Entry>,
    pub loss: f64,
    pub rng: Pcg64Mcg,
    pub calls: HashMap<u16, Vec<Call>>,
    pub served: usize,
    /// Times of refusals.
    pub refused: Vec<u64>,
    /// When those who were refused shall come back.
    pub returns: Vec<u64>,
    pub asks: usize,
    /// When no entry knew of a need any more, once all were over.
    pub over: Option<u64>,
}

impl World {
    pub fn play(plan: Plan) -> Self {
        let mut world = Self {
            view: view(1),
            now: 0,
            number: 0,
            due: BinaryHeap::new(),
            what: HashMap::new(),
            entries: (0..plan.entries)
                .map(|number| Entry {
                    forward: Forward::new(config(), Name::new("a"), number as u64),
                    life: 0,
                    ahead: 1_000 + 777 * number as u64,
                    term: (number == 0).then_some(TERM),
                    heard: HashMap::new(),
                    pauses: Vec::new(),
                })
                .collect(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            calls: HashMap::new(),
            served: 0,
            refused: Vec::new(),
            returns: Vec::new(),
            asks: 0,
            over: None,
            plan,
        };
        for entry in 0..world.entries.len() {
            world.list(entry);
            let phase = world.rng.random_range(0..TICK);
            world.schedule(phase, Due::Tick(entry));
        }
        for (at, trouble) in world.plan.troubles.clone() {
            world.schedule(at, Due::Trouble(trouble));
        }
        world.schedule(1, Due::Arrival);
        while let Some(Reverse((at, number))) = world.due.pop() {
            if at >= world.plan.until {
                break;
            }
            world.now = at;
            if let Some(due) = world.what.remove(&number) {
                world.take(due);
            }
        }
        world
    }

    fn schedule(&mut self, after: u64, due: Due) {
        self.number += 1;
        self.due.push(Reverse((self.now + after, self.number)));
        self.what.insert(self.number, due);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Tick(entry) => {
                self.step(entry, Forward::tick);
                let mut told = None;
                self.step(entry, |forward, cx, _| told = forward.take_limits(cx));
                if let Some(told) = told {
                    for to in 0..self.entries.len() {
                        if to != entry {
                            self.send(entry, to, Frame::Limits(told.clone()));
                        }
                    }
                }
                if self.now >= self.plan.ends && self.over.is_none() {
                    let needy = |entry: &Entry| {
                        entry
                            .forward
                            .servers()
                            .iter()
                            .any(|(_, found)| found.health.throttle.is_some())
                    };
                    self.over = (!self.entries.iter().any(needy)).then_some(self.now);
                }
                if self.now % 1_000 < TICK {
                    self.list(entry);
                }
                self.schedule(TICK, Due::Tick(entry));
            }
            Due::Arrival => {
                let entry = self.rng.random_range(0..self.entries.len());
                let call = self.number;
                let head = RequestHead {
                    id: Name::from(format!("r{call}")),
                    host: "shop".to_owned(),
                    path: "/safe/x".to_owned(),
                    key: Some("key".to_owned()),
                    timeout: None,
                    prompt: None,
                };
                self.event(entry, Event::Arrived { call, head: Box::new(head) });
                let gap: f64 = self.rng.random_range(0.0..2.0) * 1_000.0 / self.plan.load;
                self.schedule((gap.round() as u64).max(1), Due::Arrival);
            }
            Due::Frame(from, to, frame) => {
                let name = name(from);
                match *frame {
                    Frame::LimitsObserved(heard) => {
                        self.step(to, |forward, cx, out| {
                            forward.limits_observed(cx, &name, &heard, out);
                        });
                    }
                    Frame::Limits(told) => {
                        self.step(to, |forward, cx, out| {
                            forward.limits_advertised(cx, &name, &told, out);
                        });
                    }
                    Frame::PermitRequest(ask) => {
                        self.asks += 1;
                        let mut reply = None;
                        self.step(to, |forward, cx, _| reply = forward.permit_requested(cx, &ask));
                        if let Some(reply) = reply {
                            self.send(to, from, Frame::Permit(reply));
                        }
                    }
                    Frame::Permit(reply) => {
                        self.step(to, |forward, cx, out| forward.permit_answered(cx, &reply, out));
                    }
                    other => panic!("{other:?}"),
                }
            }
            Due::Answer(entry, life, call, server) if self.entries[entry].life == life => {
                let silent = self.rng.random_bool(self.plan.silent);
                let mut notice = Notice::default();
                let mut not_run = false;
                if self.is_limited(server) && !silent {
                    self.entries[entry].heard.entry(server).or_insert(self.now);
                    match self.plan.says {
                        Says::Rate => {
                            let limit = Limit::new(self.plan.per_second).expect("a rate");
                            notice.limit = LimitNotice::Rate(limit);
                        }
                        Says::Leaving => notice.leaving = true,
                        Says::Pause(millis) => {
                            notice.backoff = Backoff::For(Duration::from_millis(millis));
                            not_run = true;
                            let pauses = &mut self.entries[entry].pauses;
                            pauses.push((server, self.now, self.now + millis));
                        }
                    }
                }
                let status = if not_run { 503 } else { 200 };
                let answer = ResponseHead {
                    status,
                    matches_request: true,
                    not_run,
                    notice,
                    ..ResponseHead::default()
                };
                self.event(entry, Event::Answered { call, answer });
                if not_run {
                    return;
                }
                self.served += 1;
                let rest = self.rng.random_range(0..300);
                self.schedule(rest, Due::Done(entry, life, call));
            }
            Due::Done(entry, life, call) if self.entries[entry].life == life => {
                self.event(entry, Event::Completed { call });
            }
            Due::Answer(..) | Due::Done(..) => {}
            Due::Trouble(trouble) => self.trouble(trouble),
        }
    }

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Leads(number, term) => self.entries[number].term = term,
            Trouble::Restart(number) => {
                let entry = &mut self.entries[number];
                entry.life += 1;
                entry.heard.clear();
                entry.pauses.clear();
                entry.forward = Forward::new(config(), Name::new("a"), u64::from(entry.life));
                self.list(number);
                // The leader tells an entry whose link is up what is in force.
                let leader = self.entries.iter().position(|entry| entry.term.is_some());
                if let Some(leader) = leader.filter(|leader| *leader != number) {
                    let entry = &self.entries[leader];
                    let now = Time::from_millis(self.now + entry.ahead);
                    let told = entry.forward.limits_in_force(now, entry.term.unwrap_or(TERM));
                    self.send(leader, number, Frame::Limits(told));
                }
            }
            Trouble::Loss(part) => self.loss = part,
        }
    }

    fn is_limited(&self, server: u16) -> bool {
        server <= self.plan.needy && (NEED..self.plan.ends).contains(&self.now)
    }

    fn list(&mut self, entry: usize) {
        let list = (1..=self.plan.servers).map(plain).collect();
        self.event(entry, Event::Listed { list: Ok(list) });
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let way = self.rng.random_range(1..4);
        self.schedule(way, Due::Frame(from, to, Box::new(frame)));
    }

    fn event(&mut self, entry: usize, event: Event) {
        self.step(entry, |forward, cx, out| forward.event(cx, event, out));
    }

    fn step(&mut self, number: usize, run: impl FnOnce(&mut Forward, &Context<'_>, &mut Effects)) {
        let mut out = Vec::new();
        let entry = &mut self.entries[number];
        let cx = Context {
            now: Time::from_millis(self.now + entry.ahead),
            view: &self.view,
            ready: true,
            confirmed_ago: Some(Duration::ZERO),
            closing: false,
            entries: self.plan.entries,
            entry_index: number,
            term: entry.term,
        };
        run(&mut entry.forward, &cx, &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, frame } => {
                    let to =
                        to.strip_prefix("e").and_then(|text| text.parse().ok()).expect("an entry");
                    self.send(number, to, frame);
                }
                Effect::Forward { call, action: Action::Send(to) } => {
                    let server: u16 = to
                        .id
                        .strip_prefix("i-")
                        .and_then(|text| text.parse().ok())
                        .expect("a server");
                    if self.is_limited(server) {
                        let call = Call { at: self.now, entry: number };
                        self.calls.entry(server).or_default().push(call);
                    }
                    let work = self.rng.random_range(20..400);
                    let life = self.entries[number].life;
                    self.schedule(work, Due::Answer(number, life, call, server));
                }
                Effect::Forward { action: Action::Reject(refusal), .. } => {
                    let back = refusal.retry_after.map_or(0, |retry| retry.as_millis() as u64);
                    self.refused.push(self.now);
                    self.returns.push(self.now + back);
                }
                _ => {}
            }
        }
    }

    /// Most requests in the span of the rule at a server, from entries that had heard of its limit by then and were not
    /// restarted since.
    pub fn worst(&self, server: u16) -> usize {
        let bound = |call: &&Call| {
            let heard = self.entries[call.entry].heard.get(&server);
            heard.is_some_and(|heard| call.at >= heard + HEARD)
        };
        let calls = self.calls.get(&server).into_iter().flatten();
        worst(&calls.filter(bound).map(|call| call.at).collect::<Vec<u64>>())
    }

    /// The same of all entries, whether they passed on an answer or not, once the leader has told them.
    pub fn worst_of_all(&self, server: u16) -> usize {
        let calls = self.calls.get(&server).into_iter().flatten();
        let times = calls.map(|call| call.at).filter(|at| *at >= NEED + 2 * HEARD);
        worst(&times.collect::<Vec<u64>>())
    }

    /// Part of what a server takes that it got while its need lasted.
    pub fn used(&self, server: u16) -> f64 {
        let time = (self.plan.until.min(self.plan.ends) - NEED) as f64 / 1_000.0;
        let calls = self.calls.get(&server).map_or(0, Vec::len);
        calls as f64 / (self.plan.per_second * time)
    }
}

/// Most of these times in the span of the rule.
fn worst(times: &[u64]) -> usize {
    let mut first = 0;

    let mut worst = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + SPAN <= *at {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

fn name(entry: usize) -> Name {
    Name::from(format!("e{entry}"))
}

/// Entry of the list for a server of a plain kind.
fn plain(number: u16) -> Listed {
    Listed { models: Vec::new(), slots: 64, ..listed(number) }
}

pub fn allowed(per_second: f64) -> usize {
    (6.0 * per_second) as usize + 5
}
