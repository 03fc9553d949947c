//! The attempts of a request, one at a time: what a caller is told follows from the attempts that it had, in whatever order
//! an edge, servers and other processes act.

mod forwarder;

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use cache::Segment;
use fleet::{Limit, LimitNotice, Listed, Notice};
use node::Effect;
use node::decision::Decision;
use node::forward::{
    Action, Config, Event, Failure, Forward, Prompt, Rejection, RequestHead, ResponseHead,
    Resumption,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;
use wire::Frame;
use wire::limit::{Limits, Observed, PermitReply, PermitRequest, ServerIncarnation};
use wire::quarantine::{Evidence, Observation};
use wire::{save, stream};

use forwarder::Harness;
use forwarder::fixture::{STORE, addr, config, listed};

/// Statuses that promise callers that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const SERVERS: u16 = 5;
/// Steps of a schedule.
const STEPS: usize = 4_000;
/// Maximum number of exchanges at the same time.
const MAX_OPEN: usize = 12;

fn promises_not_run(rejection: &Rejection) -> bool {
    rejection.code.fate() == Fate::NotRun || PROMISES.contains(&rejection.status)
}

/// What an edge does with an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for an action, without a response.
    Waits,
    /// It has sent the request.
    Sent,
    /// It has reported the head of a response and waits for an action.
    Head,
    /// It delivers the body.
    Body {
        started: bool,
    },
    Ended,
}

/// An exchange, at the edge and as the reducer knows it. Actions and events keep their order, but take any time.
#[derive(Debug)]
struct Exchange {
    phase: Phase,
    actions: VecDeque<Action>,
    /// Events, each with the number of the attempt that it is about.
    events: VecDeque<(u32, Event)>,
    /// Number of attempts that the edge has begun.
    attempts: u32,
    /// Number of attempts that ran, or may have.
    executions: u32,
    /// Number of attempts that the reducer has asked for.
    asked: u32,
    /// Whether the reducer has seen no end of the last one.
    is_under_way: bool,
    /// Whether the reducer has a head to deliver.
    has_head: bool,
    /// Whether the reducer has ended the exchange.
    is_over: bool,
}

/// A frame that another process will answer, or not.
#[derive(Clone, Debug)]
enum Question {
    Permit(PermitRequest),
    Save(save::Request),
    Stream(Name, u64),
    Record(Name, u64),
}

/// How often something happened, so that no schedule passes because it did not.
type Counts = BTreeMap<&'static str, usize>;

struct World {
    harness: Harness,
    rng: Pcg64Mcg,
    exchanges: BTreeMap<u64, Exchange>,
    next_call: u64,
    questions: Vec<Question>,
    counts: Counts,
    term: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut harness = Harness::new(SERVERS);
        let config = Config { queue: rng.random_bool(0.5), ..config() };
        harness.forward = Forward::new(config, Name::new("a"), Incarnation(1), seed);
        for keeper in ["k1", "k2", "k3"] {
            harness.forward.keeper_linked(harness.now, &Name::new(keeper), &mut harness.out);
        }
        harness.keepers = 3;
        let (exchanges, questions, counts) = (BTreeMap::new(), Vec::new(), Counts::new());
        let mut world = Self { harness, rng, exchanges, next_call: 1, questions, counts, term: 1 };
        world.harness.event(Event::Listed { list: Ok((1..=SERVERS).map(listed).collect()) });
        world.read_inventories();
        world.apply();
        world
    }

    /// Makes the inventories of the servers and the store available.
    fn read_inventories(&mut self) {
        let harness = &mut self.harness;
        let term = harness.term.replace(self.term);
        harness.tick();
        harness.lease(1);
        harness.store_read(STORE.parse().expect("an address"), "s", &[]);
        for number in 1..=SERVERS {
            harness.store_read(addr(number), "s", &[]);
        }
        harness.term = term;
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Takes the effects of the last step.
    fn apply(&mut self) {
        for effect in std::mem::take(&mut self.harness.out) {
            match effect {
                Effect::Forward { call, action } => self.action(call, action),
                Effect::Send { frame: Frame::PermitRequest(request), .. } => {
                    self.questions.push(Question::Permit(request));
                }
                Effect::Send { frame: Frame::SaveRequest(request), .. } => {
                    self.questions.push(Question::Save(request));
                }
                Effect::Send { to, frame: Frame::StreamQuery { call, .. } } => {
                    self.questions.push(Question::Stream(to, call));
                }
                Effect::Send { to, frame: Frame::StreamRecords(records) } => {
                    let ack = records.ack.map(|ack| Question::Record(to, ack));
                    self.questions.extend(ack);
                }
                Effect::Decision(decision) => match *decision {
                    Decision::Waits { .. } => self.count("waits in the queue"),
                    Decision::HeldBack { .. } => self.count("held back"),
                    Decision::Permit { .. } => self.count("permit"),
                    Decision::Resumed { .. } => self.count("stream that goes on"),
                    _ => {}
                },
                _ => {}
            }
        }
    }

    /// The reducer asks for an action.
    fn action(&mut self, call: u64, action: Action) {
        let exchange = self.exchanges.get_mut(&call).expect("an exchange");
        assert!(!exchange.is_over, "{call}: {action:?} after its end: {exchange:?}");
        let what = match &action {
            Action::Send(_) => {
                assert!(!exchange.is_under_way, "{call}: a second attempt: {exchange:?}");
                exchange.asked += 1;
                (exchange.is_under_way, exchange.has_head) = (true, false);
                if exchange.asked == 1 { "first attempt" } else { "further attempt" }
            }
            Action::Deliver => {
                assert!(exchange.has_head, "{call}: no head to deliver: {exchange:?}");
                exchange.has_head = false;
                "delivery"
            }
            Action::Reject(rejection) => {
                exchange.is_over = true;
                let may_have_run = exchange.is_under_way || exchange.executions > 0;
                let promises = promises_not_run(rejection);
                assert!(!promises || !may_have_run, "{call}: {rejection:?}: {exchange:?}");
                match (promises, exchange.is_under_way, exchange.asked) {
                    (true, _, 0) => "promised without an attempt",
                    (true, ..) => "promised after refusals",
                    (false, true, _) => "ended while an attempt is under way",
                    (false, ..) => "ended after an attempt",
                }
            }
        };
        exchange.actions.push_back(action);
        self.count(what);
    }

    /// The reducer gets the next event of an exchange.
    fn deliver_event(&mut self, call: u64) {
        let exchange = self.exchanges.get_mut(&call).expect("an exchange");
        let Some((attempt, event)) = exchange.events.pop_front() else {
            return;
        };
        match &event {
            Event::ClientDisconnected { .. } => exchange.is_over = true,
            _ if exchange.is_over => {}
            _ => assert_eq!(attempt, exchange.asked, "{call}: {event:?}: {exchange:?}"),
        }
        match &event {
            Event::ResponseReceived { .. } => {
                // It is under way until it is read to its end, but only this process acts until then.
                (exchange.is_under_way, exchange.has_head) = (false, true);
            }
            Event::Failed { .. } => {
                (exchange.is_under_way, exchange.has_head) = (false, false);
            }
            Event::Completed { .. } => exchange.is_over = true,
            _ => {}
        }
        self.harness.event(event);
        self.apply();
    }

    /// The edge handles its next action, or something happens to the attempt or to the caller.
    fn act(&mut self, call: u64) {
        let disconnects = self.rng.random_bool(0.01);
        let reports = self.rng.random_bool(0.5);
        let (response, failure, ran) = self.outcome();
        let aborts = self.rng.random_bool(0.3);
        let exchange = self.exchanges.get_mut(&call).expect("an exchange");
        let attempt = exchange.attempts;
        let received = (attempt, Event::ResponseReceived { call, response });
        match exchange.phase {
            Phase::Ended => {}
            _ if disconnects => {
                if exchange.phase == Phase::Sent && reports {
                    exchange.executions += u32::from(ran);
                    exchange.events.push_back(received);
                }
                exchange.events.push_back((attempt, Event::ClientDisconnected { call }));
                exchange.phase = Phase::Ended;
            }
            Phase::Waits | Phase::Head => match exchange.actions.pop_front() {
                Some(Action::Send(_)) => {
                    exchange.attempts += 1;
                    exchange.phase = Phase::Sent;
                }
                Some(Action::Deliver) => {
                    assert_eq!(exchange.phase, Phase::Head, "{call}: {exchange:?}");
                    exchange.phase = Phase::Body { started: false };
                }
                Some(Action::Reject(_)) => exchange.phase = Phase::Ended,
                None => {}
            },
            Phase::Sent if !exchange.actions.is_empty() => {
                // The attempt ends here; its response counts if it has been received.
                if reports {
                    exchange.events.push_back(received);
                }
                let action = exchange.actions.pop_front();
                assert!(matches!(action, Some(Action::Reject(_))), "{call}: {action:?}");
                exchange.phase = Phase::Ended;
            }
            Phase::Sent => {
                exchange.executions += u32::from(ran);
                if let Some(failure) = failure {
                    exchange.events.push_back((attempt, Event::Failed { call, failure }));
                    exchange.phase = Phase::Waits;
                } else {
                    exchange.events.push_back(received);
                    exchange.phase = Phase::Head;
                }
            }
            Phase::Body { .. } if !exchange.actions.is_empty() => {
                let action = exchange.actions.pop_front();
                assert!(matches!(action, Some(Action::Reject(_))), "{call}: {action:?}");
                exchange.phase = Phase::Ended;
            }
            Phase::Body { .. } if aborts => {
                let failure = Failure::Aborted;
                exchange.events.push_back((attempt, Event::Failed { call, failure }));
                exchange.phase = Phase::Waits;
            }
            Phase::Body { started: false } => {
                exchange.events.push_back((attempt, Event::BodyStarted { call }));
                exchange.phase = Phase::Body { started: true };
            }
            Phase::Body { started: true } => {
                exchange.events.push_back((attempt, Event::Completed { call }));
                exchange.phase = Phase::Ended;
            }
        }
    }

    /// What a server does with an attempt: the response, or the failure, and whether it may have run.
    fn outcome(&mut self) -> (ResponseHead, Option<Failure>, bool) {
        let rng = &mut self.rng;
        let mut response =
            ResponseHead { status: 200, matches_request: true, ..ResponseHead::default() };
        let promise = PROMISES[rng.random_range(0..PROMISES.len())];
        let (failure, ran) = match rng.random_range(0..16) {
            0..=4 => {
                (response.status, response.not_run) = (promise, true);
                (None, false)
            }
            5 => (Some(Failure::NotSent), false),
            6 | 7 => (Some(Failure::NoResponse), true),
            8 => {
                // A refusal of another request.
                (response.status, response.not_run) = (promise, true);
                response.matches_request = false;
                (None, true)
            }
            9 => {
                response.status = if rng.random_bool(0.5) { 503 } else { 500 };
                (None, true)
            }
            10 => (None, true),
            _ => {
                response.is_event_stream = true;
                (None, true)
            }
        };
        if rng.random_bool(0.2) {
            let limit = Limit::new(rng.random_range(1.0..40.0)).expect("a rate");
            response.notice = Notice { limit: LimitNotice::Rate(limit), ..Notice::default() };
        }
        (response, failure, ran)
    }

    /// A request arrives.
    fn arrive(&mut self) {
        let call = self.next_call;
        self.next_call += 1;
        let rng = &mut self.rng;
        let path = ["/once/x", "/twice/x", "/safe/x", "/stream/x"][rng.random_range(0..4)];
        let segments: Vec<Segment> = (0..rng.random_range(1..4))
            .map(|_| Segment { id: rng.random_range(1..30), tokens: rng.random_range(100..20_000) })
            .collect();
        let tokens = segments.iter().map(|segment| segment.tokens).sum();
        let prompt = Prompt { model: Name::new("m"), segments, tokens, max_tokens: 10 };
        let first_attempt = Some(Name::from(format!("r{}", rng.random_range(1..=call))));
        let resumes = path == "/stream/x" && rng.random_bool(0.4);
        let head = RequestHead {
            id: Name::from(format!("r{call}")),
            host: "shop".to_owned(),
            path: path.to_owned(),
            key: Some("key".to_owned()),
            timeout: rng.random_bool(0.3).then(|| Duration::from_millis(rng.random_range(1..900))),
            prompt: rng.random_bool(0.6).then_some(prompt),
            digest: Some(rng.random_range(0..6)),
            resumption: resumes.then_some(Resumption { first_attempt }),
        };
        let exchange = Exchange {
            phase: Phase::Waits,
            actions: VecDeque::new(),
            events: VecDeque::from([(0, Event::Arrived { call, head: Box::new(head) })]),
            attempts: 0,
            executions: 0,
            asked: 0,
            is_under_way: false,
            has_head: false,
            is_over: false,
        };
        self.exchanges.insert(call, exchange);
    }

    /// The list is read: some servers are missing, have restarted, or have another address or software version.
    fn list(&mut self) {
        let rng = &mut self.rng;
        let mut list: Vec<Listed> = Vec::new();
        for number in 1..=SERVERS {
            if rng.random_bool(0.15) {
                continue;
            }
            let born = rng.random_bool(0.5).then(|| rng.random_range(1..3));
            let at = if rng.random_bool(0.1) { rng.random_range(1..=SERVERS) } else { number };
            let software = Name::new(if rng.random_bool(0.3) { "v2" } else { "v1" });
            list.push(Listed { born, addr: addr(at), software, ..listed(number) });
        }
        self.harness.event(Event::Listed { list: Ok(list) });
    }

    /// Another process answers a question: late, twice or not at all.
    fn answer(&mut self) {
        if self.questions.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.questions.len());
        let question = match self.rng.random_range(0..5) {
            0 => self.questions[index].clone(),
            _ => self.questions.swap_remove(index),
        };
        if self.rng.random_bool(0.15) {
            return;
        }
        let yes = self.rng.random_bool(0.6);
        let harness = &mut self.harness;
        match question {
            Question::Permit(request) => {
                let reply = PermitReply {
                    call: request.call,
                    number: request.number,
                    granted: yes.then_some(0),
                    waits_ms: request.servers.iter().map(|_| 20).collect(),
                    retry_after_ms: 50,
                    issued: 1,
                };
                harness.step(|forward, cx, out| forward.permit_answered(cx, &reply, out));
            }
            Question::Save(request) => {
                let permitted = if yes { request.saves } else { Vec::new() };
                let reply = save::Reply { number: request.number, permitted };
                harness.step(|forward, cx, out| forward.saves_permitted(cx, &reply, out));
                self.count("permit to save");
            }
            Question::Stream(keeper, number) => {
                let origin =
                    stream::Origin { service: Name::new("llm"), software: Name::new("v1") };
                let found =
                    if yes { stream::Lookup::Known(origin) } else { stream::Lookup::Unknown };
                harness.step(|forward, cx, out| {
                    forward.stream_found(cx, &keeper, (number, found), out);
                });
            }
            Question::Record(keeper, ack) => {
                harness.step(|forward, _, out| forward.stream_recorded(&keeper, ack, out));
                self.count("move recorded");
            }
        }
    }

    /// The leader advertises limits, changes, or is this process.
    fn lead(&mut self) {
        self.term += 1;
        let server = self.rng.random_range(1..=SERVERS);
        let rate = self.rng.random_range(1_000..30_000);
        let (term, leader) = (self.term, Name::new("k1"));
        self.harness.term = self.rng.random_bool(0.2).then_some(term);
        let server = ServerIncarnation { id: listed(server).id, born: None };
        let notice = Observed { server, notice: wire::limit::Notice::Limit(rate), ago_us: 0 };
        let limits = Limits { term, notices: vec![notice] };
        self.harness.step(|forward, cx, out| {
            forward.limits_advertised(cx, &leader, &limits, out);
            forward.leader_advertised(cx.now, &leader, term, out);
        });
        self.read_inventories();
    }

    /// Another entry has seen that a server refuses connections.
    fn crash(&mut self) {
        let server = self.rng.random_range(1..=SERVERS);
        let observation = Observation::Loss {
            server: ServerIncarnation { id: listed(server).id, born: None },
            entry: Name::new("e1"),
            ago_us: 0,
            lost: 0,
            remaining: 0,
            refused: true,
            answered: false,
            candidates: Vec::new(),
        };
        let evidence = Evidence { complete: false, observations: vec![observation] };
        self.harness.step(|forward, cx, out| forward.evidence_received(cx, &evidence, out));
    }

    /// A keeper is linked or lost.
    fn link(&mut self) {
        let keeper = Name::new(["k1", "k2", "k3"][self.rng.random_range(0..3)]);
        let now = self.harness.now;
        self.harness.forward.keeper_unlinked(now, &keeper);
        if self.rng.random_bool(0.8) {
            self.harness.forward.keeper_linked(now, &keeper, &mut self.harness.out);
        }
    }

    fn step(&mut self) {
        let open = self.exchanges.len();
        match self.rng.random_range(0..100) {
            0..=9 if open < MAX_OPEN => self.arrive(),
            0..=79 if open > 0 => {
                let index = self.rng.random_range(0..open);
                let call = self.exchanges.keys().copied().nth(index).expect("an exchange");
                if self.rng.random_bool(0.5) {
                    self.act(call);
                } else {
                    self.deliver_event(call);
                }
            }
            80..=87 => self.answer(),
            88 => self.list(),
            89 => self.lead(),
            90 => self.crash(),
            91 => self.link(),
            _ => {
                let slow = self.rng.random_bool(0.02);
                let wait = self.rng.random_range(0..if slow { 3_000 } else { 40 });
                self.harness.wait(wait);
            }
        }
        self.apply();
        self.exchanges.retain(|_, found| found.phase != Phase::Ended || !found.events.is_empty());
    }

    /// Stops the process and checks that each exchange has ended.
    fn stop(mut self) -> Counts {
        self.harness.drain_delay_elapsed = true;
        self.harness.step(Forward::abort_all);
        self.apply();
        for _ in 0..2_000 {
            for call in self.exchanges.keys().copied().collect::<Vec<u64>>() {
                self.act(call);
                self.deliver_event(call);
            }
        }
        for (call, exchange) in &self.exchanges {
            assert!(exchange.is_over && exchange.phase == Phase::Ended, "{call}: {exchange:?}");
        }
        assert_eq!(self.harness.forward.open(), 0);
        self.counts
    }
}

// Guards against an event that is applied to another attempt than its own, a second attempt while one is under way, and a
// promise that a request has not run while an attempt is under way or may have run.
#[test]
fn events_concern_the_attempt_that_is_under_way() {
    run_seeds(0..60);
}

/// Runs the schedules of the seeds that an environment variable names:
/// `ATTEMPT_SEEDS=100..1000 cargo test -p node --test attempts by_hand -- --ignored --nocapture`.
#[test]
#[ignore = "by hand"]
fn by_hand() {
    let seeds = std::env::var("ATTEMPT_SEEDS").expect("ATTEMPT_SEEDS=FROM..TO");
    let (from, to) = seeds.split_once("..").expect("ATTEMPT_SEEDS=FROM..TO");
    run_seeds(from.parse().expect("a seed")..to.parse().expect("a seed"));
}

fn run_seeds(seeds: std::ops::Range<u64>) {
    let mut total = Counts::new();
    for seed in seeds {
        println!("seed {seed}");
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        for (what, count) in world.stop() {
            *total.entry(what).or_default() += count;
        }
    }
    println!("{total:#?}");
    for what in [
        "first attempt",
        "further attempt",
        "delivery",
        "permit",
        "permit to save",
        "waits in the queue",
        "held back",
        "stream that goes on",
        "move recorded",
        "promised without an attempt",
        "promised after refusals",
        "ended while an attempt is under way",
        "ended after an attempt",
    ] {
        assert!(total.contains_key(what), "no schedule with {what:?}: {total:?}");
    }
}

/// Makes an attempt that is under way, after a refusal if so.
fn under_way(path: &str, refused: bool) -> Harness {
    let mut entry = Harness::new(3);
    entry.plain(1, path, "key", 7);
    entry.sent(1);
    if refused {
        entry.respond(1, 503, true);
        entry.sent(1);
    }
    entry
}

fn assert_no_promise(entry: &mut Harness, call: u64) {
    let rejection = entry.rejection(call);
    assert!(!promises_not_run(&rejection), "{rejection:?}");
}

// Guards against "not run" for an attempt that is under way when the time of its request is over, or the process stops.
#[test_case("/once/x", false; "that may not be repeated")]
#[test_case("/once/x", true; "that may not be repeated, after a refusal")]
#[test_case("/safe/x", false; "that may be repeated")]
#[test_case("/safe/x", true; "that may be repeated, after a refusal")]
#[test_case("/stream/x", false; "stream that may be resumed")]
#[test_case("/stream/x", true; "stream that may be resumed, after a refusal")]
fn an_attempt_that_is_under_way_is_not_promised_at_its_end(path: &str, refused: bool) {
    let mut entry = under_way(path, refused);
    entry.wait(4_001);
    assert_no_promise(&mut entry, 1);
    let mut entry = under_way(path, refused);
    entry.drain_delay_elapsed = true;
    entry.step(Forward::abort_all);
    assert_no_promise(&mut entry, 1);
}

// Guards against "not run" for an attempt that is under way when others crash servers with the same request.
#[test]
fn an_attempt_that_is_under_way_is_not_promised_when_it_is_quarantined() {
    let mut entry = Harness::new(6);
    entry.plain(9, "/once/x", "key", 7);
    entry.sent(9);
    for call in [1, 2] {
        entry.plain(call, "/once/x", "key", 7);
        let id = entry.sent(call).id;
        entry.event(Event::Failed { call, failure: Failure::NoResponse });
        entry.wait(20);
        let observation = Observation::Loss {
            server: ServerIncarnation { id, born: None },
            entry: Name::new("e1"),
            ago_us: 0,
            lost: 0,
            remaining: 0,
            refused: true,
            answered: false,
            candidates: Vec::new(),
        };
        let evidence = Evidence { complete: false, observations: vec![observation] };
        entry.step(|forward, cx, out| forward.evidence_received(cx, &evidence, out));
        entry.wait(300);
    }
    assert_no_promise(&mut entry, 9);
    entry.plain(3, "/once/x", "key", 7);
    assert_eq!(entry.rejection(3).code, Code::Quarantined);
}

// Guards against "not run" for a request of which an attempt was lost, when there is no permit for the next one.
#[test_case(true; "denied")]
#[test_case(false; "not answered")]
fn a_lost_attempt_is_not_promised_without_a_permit(answered: bool) {
    let mut entry = Harness::new(2);
    entry.plain(1, "/safe/x", "key", 7);
    let first = entry.sent(1).id;
    let other = [listed(1), listed(2)].into_iter().find(|server| server.id != first);
    let server = ServerIncarnation { id: other.expect("two servers").id, born: None };
    let notice = Observed { server, notice: wire::limit::Notice::Limit(1_000), ago_us: 0 };
    let limits = Limits { term: 1, notices: vec![notice] };
    let leader = Name::new("k1");
    entry.step(|forward, cx, out| forward.limits_advertised(cx, &leader, &limits, out));
    entry.event(Event::Failed { call: 1, failure: Failure::NoResponse });
    let request = entry.out.iter().find_map(|effect| match effect {
        Effect::Send { frame: Frame::PermitRequest(request), .. } => Some(request.clone()),
        _ => None,
    });
    let request = request.expect("a permit is requested");
    assert_eq!(entry.actions(1), []);
    if answered {
        let reply = PermitReply {
            call: 1,
            number: request.number,
            granted: None,
            waits_ms: vec![1_000],
            retry_after_ms: 1_000,
            issued: 1,
        };
        entry.step(|forward, cx, out| forward.permit_answered(cx, &reply, out));
    } else {
        entry.wait(200);
    }
    assert_no_promise(&mut entry, 1);
}

// Guards against a request that waits in the queue although an attempt was made: it would be rejected as one that was not sent.
#[test_case(true; "refused")]
#[test_case(false; "lost")]
fn a_request_with_an_attempt_does_not_wait_in_the_queue(refused: bool) {
    let mut entry = Harness::new(2);
    let config = Config { queue: true, ..config() };
    entry.forward = Forward::new(config, Name::new("a"), Incarnation(1), 7);
    entry.event(Event::Listed { list: Ok(vec![listed(1)]) });
    entry.term = Some(1);
    entry.tick();
    entry.lease(1);
    entry.store_read(STORE.parse().expect("an address"), "s", &[]);
    entry.store_read(addr(1), "s", &[]);
    entry.out.clear();
    entry.prompt(1, "/safe/x", "key", &[(1, 40_000)]);
    entry.sent(1);
    entry.prompt(2, "/safe/x", "key", &[(2, 30_000)]);
    assert_eq!((entry.actions(2), entry.forward.queued()), (vec![], 1), "it waits");
    // The attempt ends, and another server has no room either.
    if refused {
        entry.respond(1, 503, true);
    } else {
        entry.event(Event::Failed { call: 1, failure: Failure::NoResponse });
    }
    let rejection = entry.rejection(1);
    assert_eq!(promises_not_run(&rejection), refused, "{rejection:?}");
    entry.wait(4_001);
    assert_eq!(entry.forward.queued(), 0);
}
