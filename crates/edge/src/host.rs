//! The stakker thread that runs the reducer.

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use node::{Effect, Effects, Event, Node};
use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_nop};
use tokio::sync::mpsc::UnboundedSender;

use crate::Clock;
use crate::net;
use crate::outlet::{Out, Outlet};
use crate::server;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(10);
/// Longest sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// Events taken before the timers get a turn.
const BURST: usize = 256;

/// What the edges hand to the host.
#[derive(Debug)]
pub enum Input {
    /// An event.
    Event(Event),
    /// An event that opens an exchange.
    Open {
        /// Number of the exchange.
        call: u64,
        /// The way back.
        outlet: Outlet,
        /// The event.
        event: Event,
    },
}

/// Everything the host hands effects to.
#[derive(Debug)]
pub struct Sinks {
    /// The links.
    pub net: UnboundedSender<net::Command>,
    /// The backend server, for an agent.
    pub server: Option<server::Client>,
    /// Told once when the process may leave: requests cut.
    pub exit: Sender<usize>,
}

struct Host {
    node: Node,
    clock: Clock,
    sinks: Sinks,
    outlets: HashMap<u64, Outlet>,
    hangups: Vec<u64>,
    effects: Effects,
}

impl Host {
    #[expect(clippy::unnecessary_wraps, reason = "stakker asks for an option")]
    fn init(cx: CX![], node: Node, clock: Clock, sinks: Sinks) -> Option<Self> {
        after!(TICK, [cx], tick());
        let outlets = HashMap::new();
        Some(Self { node, clock, sinks, outlets, hangups: Vec::new(), effects: Vec::new() })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.step(Event::Tick);
    }

    fn input(&mut self, _cx: CX![], input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Open { call, outlet, event } => {
                self.outlets.insert(call, outlet);
                self.step(event);
            }
        }
    }

    fn step(&mut self, event: Event) {
        self.one(event);
        while let Some(call) = self.hangups.pop() {
            self.one(Event::Hangup { call });
        }
    }

    fn one(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.node.step(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects = effects;
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => {
                let _ = self.sinks.net.send(net::Command::Send { to, frame });
            }
            Effect::Begin { call, reply } => self.answer(call, Out::Begin(reply)),
            Effect::Body { call, bytes } => self.answer(call, Out::Body(bytes)),
            Effect::Finish { call, whole } => {
                self.answer(call, Out::Finish(whole));
                self.outlets.remove(&call);
            }
            Effect::Serve { run, work } => {
                if let Some(server) = &self.sinks.server {
                    server.serve(run, work);
                }
            }
            Effect::Abort { run } => {
                if let Some(server) = &self.sinks.server {
                    server.abort(run);
                }
            }
            Effect::Log { run, workspace, code, took_ms } => log::info!(
                run:% = run, workspace:% = workspace, code = code.number(), took_ms;
                "request ended"
            ),
            Effect::Exit { cut } => {
                let _ = self.sinks.exit.send(cut);
            }
        }
    }

    fn answer(&mut self, call: u64, out: Out) {
        let Some(outlet) = self.outlets.get(&call) else {
            return;
        };
        if !outlet.send(out) {
            self.outlets.remove(&call);
            self.hangups.push(call);
        }
    }
}

/// Runs the reducer until every sender of inputs is gone.
pub fn run(node: Node, clock: Clock, sinks: Sinks, inputs: &Receiver<Input>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let host: ActorOwn<Host> = actor!(s, Host::init(node, clock, sinks), ret_nop!());
    s.run(Instant::now(), false);
    loop {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match inputs.recv_timeout(sleep) {
            Ok(input) => {
                call!([host], input(input));
                for input in inputs.try_iter().take(BURST) {
                    call!([host], input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        s.run(Instant::now(), false);
    }
}
