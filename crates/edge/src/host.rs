//! The stakker thread that runs the reducer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use node::{Effect, Effects, Event, Node, forward};
use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_nop};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

use crate::metrics::Metrics;
use crate::response::{ResponseEvent, ResponseSender};
use crate::{Clock, files, net, notes, server};

/// Interval between ticks of the reducer.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two updates of the gauges.
const GAUGES_EVERY: u64 = 50;
/// Longest sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// Maximum number of events handled before the timers run.
const MAX_BURST: usize = 256;

/// Input to the host from listeners and clients.
#[derive(Debug)]
pub enum Input {
    /// An event.
    Event(Event),
    /// An event that opens an exchange.
    Open {
        /// Number of the exchange.
        call: u64,
        /// Receives the response.
        sender: ResponseSender,
        /// The event.
        event: Event,
    },
    /// A request to forward was received completely.
    Forward {
        /// Number of the exchange.
        call: u64,
        /// Receives the actions of the reducer.
        actions: UnboundedSender<forward::Action>,
        /// Head of the request.
        head: Box<forward::RequestHead>,
    },
}

/// Sends inputs to the host.
pub type Inputs = UnboundedSender<Input>;

/// Where the host sends the effects.
#[derive(Debug)]
pub struct Sinks {
    /// The links.
    pub net: UnboundedSender<net::Command>,
    /// The backend server, for an agent.
    pub server: Option<server::Client>,
    /// The files, for a keeper.
    pub files: Option<Sender<files::Command>>,
    /// Calls to servers without an agent and to the server list.
    pub direct: Option<UnboundedSender<forward::ControlCall>>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Receives the reason when the process may or must exit.
    pub exit: UnboundedSender<Exit>,
}

/// How a process ends.
#[derive(Debug)]
pub enum Exit {
    /// It exits as requested.
    Done {
        /// Number of requests that were in flight.
        in_flight: usize,
    },
    /// It can no longer guarantee what it has acknowledged.
    Failed {
        /// Reason.
        text: String,
    },
}

/// Time between the decision to exit and the exit if requests were cut: their answers are still to be written.
const FLUSH_TIME: Duration = Duration::from_millis(100);

impl Exit {
    /// Time to wait before the exit.
    pub(crate) fn delay(&self) -> Duration {
        match self {
            Self::Done { in_flight } if *in_flight > 0 => FLUSH_TIME,
            Self::Done { .. } | Self::Failed { .. } => Duration::ZERO,
        }
    }
}

struct Host {
    node: Node,
    clock: Clock,
    sinks: Sinks,
    senders: HashMap<u64, ResponseSender>,
    forwards: HashMap<u64, UnboundedSender<forward::Action>>,
    disconnected: Vec<u64>,
    effects: Effects,
    ticks: u64,
}

impl Host {
    #[expect(clippy::unnecessary_wraps, reason = "stakker asks for an option")]
    fn init(cx: CX![], node: Node, clock: Clock, sinks: Sinks) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            node,
            clock,
            sinks,
            senders: HashMap::new(),
            forwards: HashMap::new(),
            disconnected: Vec::new(),
            effects: Vec::new(),
            ticks: 0,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.step(Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(GAUGES_EVERY) {
            self.sinks.metrics.set_gauges(&self.node.gauges(self.clock.now()));
        }
    }

    fn input(&mut self, _cx: CX![], input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::Forward(
                    forward::Event::Completed { call }
                    | forward::Event::ClientDisconnected { call },
                ) = &event
                {
                    self.forwards.remove(call);
                }
                self.step(event);
            }
            Input::Open { call, sender, event } => {
                self.senders.insert(call, sender);
                self.step(event);
            }
            Input::Forward { call, actions, head } => {
                self.forwards.insert(call, actions);
                self.step(Event::Forward(forward::Event::Arrived { call, head }));
            }
        }
    }

    fn step(&mut self, event: Event) {
        self.apply(event);
        while let Some(call) = self.disconnected.pop() {
            self.apply(Event::ClientDisconnected { call });
        }
    }

    fn apply(&mut self, event: Event) {
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
                let _ = self.sinks.net.send(net::Command::Send { to, frame: Box::new(frame) });
            }
            Effect::Begin { call, head } => self.respond(call, ResponseEvent::Begin(head)),
            Effect::Body { call, bytes } => self.respond(call, ResponseEvent::Body(bytes)),
            Effect::Finish { call, complete } => {
                self.respond(call, ResponseEvent::Finish(complete));
                self.senders.remove(&call);
            }
            Effect::Dial { addr, when } => {
                let _ = self.sinks.net.send(net::Command::Dial { addr, when });
            }
            Effect::StopDialing { addr } => {
                let _ = self.sinks.net.send(net::Command::StopDialing { addr });
            }
            Effect::Persist { seq, write } => {
                self.write(files::Command::Log { seq, write });
            }
            Effect::SaveStreams { number, records, new_generation } => {
                self.write(files::Command::Streams { number, records, new_generation });
            }
            Effect::SaveContacts(contacts) => self.write(files::Command::Contacts(contacts)),
            Effect::SaveEvidence(observations) => {
                self.write(files::Command::Evidence(observations));
            }
            Effect::Log { run, workspace, code, duration, first_token } => {
                self.sinks.metrics.record_request(code, duration, first_token);
                let first_ms = first_token.map_or(0, |time| time.as_millis() as u64);
                log::info!(
                    request:% = run, workspace:% = workspace, code = code.number(),
                    took_ms = duration.as_millis() as u64, first_ms;
                    "request ended"
                );
            }
            Effect::Usage { workspace: _, computed, cached, generated, fetched_pieces } => {
                self.sinks.metrics.record_tokens(computed, cached, generated, fetched_pieces);
            }
            Effect::Forward { call, action } => {
                // An exchange that has ended has reported it, or will.
                let last = matches!(action, forward::Action::Reject(_));
                if let Some(actions) = self.forwards.get(&call) {
                    let _ = actions.send(action);
                }
                if last {
                    self.forwards.remove(&call);
                }
            }
            Effect::Call(call) => {
                if let Some(direct) = &self.sinks.direct {
                    let _ = direct.send(call);
                }
            }
            Effect::Decision(decision) => notes::write(&decision, &self.sinks.metrics),
            Effect::Exit { cut } => {
                let _ = self.sinks.exit.send(Exit::Done { in_flight: cut });
            }
            Effect::Fail { text } => {
                let _ = self.sinks.exit.send(Exit::Failed { text });
            }
            Effect::Serve { .. }
            | Effect::Abort { .. }
            | Effect::Acked { .. }
            | Effect::Fetch { .. }
            | Effect::Save { .. }
            | Effect::Free { .. }
            | Effect::PollCache { .. }
            | Effect::ListCache
            | Effect::Order { .. } => {
                if let Some(server) = &self.sinks.server {
                    server.perform(effect);
                }
            }
        }
    }

    fn write(&self, command: files::Command) {
        if let Some(files) = &self.sinks.files {
            let _ = files.send(command);
        }
    }

    fn respond(&mut self, call: u64, event: ResponseEvent) {
        let Some(sender) = self.senders.get(&call) else {
            return;
        };
        if !sender.send(event) {
            self.senders.remove(&call);
            self.disconnected.push(call);
        }
    }
}

/// Runs the reducer until every sender of inputs is gone.
pub async fn run(node: Node, clock: Clock, sinks: Sinks, mut inputs: UnboundedReceiver<Input>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let host: ActorOwn<Host> = actor!(s, Host::init(node, clock, sinks), ret_nop!());
    s.run(Instant::now(), false);
    loop {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match timeout(sleep, inputs.recv()).await {
            Ok(Some(input)) => {
                call!([host], input(input));
                for _ in 0..MAX_BURST {
                    let Ok(input) = inputs.try_recv() else { break };
                    call!([host], input(input));
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        s.run(Instant::now(), false);
    }
}
