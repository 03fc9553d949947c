//! The reducer of a whole process: its roles, its peers, its heartbeats and its end.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;
use wire::{Beat, Frame, Hello};

use crate::{Agent, Config, Effect, Effects, Entry, Event};

/// Time between two heartbeats to a peer.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Me {
    /// What it says of itself on each link.
    pub hello: Hello,
    /// Weight version that the engine beside it holds at the start.
    pub version: Name,
}

/// The reducer of a process.
#[derive(Debug)]
pub struct Node {
    me: Me,
    config: Config,
    entry: Option<Entry>,
    agent: Option<Agent>,
    peers: BTreeMap<Name, Hello>,
    next_beat: Time,
    stopping: Option<Time>,
    stops: u32,
    exited: bool,
}

impl Node {
    /// A process that has just started.
    pub fn new(me: Me, config: Config) -> Self {
        let incarnation = me.hello.incarnation;
        let entry = me.hello.entry.then(|| Entry::new(config.clone(), incarnation));
        let agent = me
            .hello
            .server
            .as_ref()
            .map(|server| Agent::new(incarnation, server.slots as usize, me.version.clone()));
        let mut node = Self {
            me,
            config,
            entry,
            agent,
            peers: BTreeMap::new(),
            next_beat: Time::ZERO,
            stopping: None,
            stops: 0,
            exited: false,
        };
        // A process that is both entry and agent is its own peer.
        node.linked(Time::ZERO, node.me.hello.clone(), &mut Effects::new());
        node
    }

    /// The entry's reducer, if the process is one.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }

    /// The agent's reducer, if the process is one.
    pub fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.stopping.is_none()
    }

    /// Takes one event; frames to itself are taken in the same step.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Effects) {
        let mut inbox = VecDeque::from([event]);
        while let Some(event) = inbox.pop_front() {
            let mut effects = Effects::new();
            self.take(now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, frame } if to == self.me.hello.name => {
                        inbox.push_back(Event::Frame { peer: to, frame });
                    }
                    other => out.push(other),
                }
            }
        }
    }

    fn take(&mut self, now: Time, event: Event, out: &mut Effects) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Ask { call, ask } => {
                if let Some(entry) = &mut self.entry {
                    entry.ask(now, call, ask, out);
                }
            }
            Event::Hangup { call } => {
                if let Some(entry) = &mut self.entry {
                    entry.hangup(now, call, out);
                }
            }
            Event::Linked(hello) => self.linked(now, hello, out),
            Event::Unlinked { peer } => self.unlinked(now, &peer),
            Event::Frame { peer, frame } => self.frame(now, &peer, frame, out),
            Event::Server(news) => {
                if let Some(agent) = &mut self.agent {
                    agent.server(news, out);
                }
            }
            Event::Stop => self.stop(now, out),
        }
    }

    fn linked(&mut self, now: Time, hello: Hello, out: &mut Effects) {
        if let Some(entry) = &mut self.entry {
            entry.linked(now, &hello, out);
        }
        let frame = Frame::Beat(self.heartbeat());
        out.push(Effect::Send { to: hello.name.clone(), frame });
        self.peers.insert(hello.name.clone(), hello);
    }

    fn unlinked(&mut self, now: Time, peer: &Name) {
        self.peers.remove(peer);
        if let Some(entry) = &mut self.entry {
            entry.unlinked(now, peer);
        }
        if let Some(agent) = &mut self.agent {
            agent.unlinked(now, peer);
        }
    }

    fn frame(&mut self, now: Time, peer: &Name, frame: Frame, out: &mut Effects) {
        match frame {
            Frame::Beat(beat) => {
                if let Some(entry) = &mut self.entry {
                    entry.beat(now, peer, &beat, out);
                }
            }
            Frame::Start(_) | Frame::Ack { .. } | Frame::Resume { .. } | Frame::Cancel { .. } => {
                if let Some(agent) = &mut self.agent {
                    agent.frame(now, peer, frame, out);
                }
            }
            Frame::Output(_) | Frame::Refused { .. } | Frame::Gone { .. } => {
                if let Some(entry) = &mut self.entry {
                    entry.frame(now, peer, frame, out);
                }
            }
            Frame::Hello(_) | Frame::Bye => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Effects) {
        if let Some(entry) = &mut self.entry {
            entry.tick(now, out);
        }
        if let Some(agent) = &mut self.agent {
            agent.tick(now, out);
        }
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT;
            self.beat_all(out);
        }
        self.leave_when_empty(now, out);
    }

    fn heartbeat(&self) -> Beat {
        Beat {
            revision: Revision::default(),
            leaving: self.agent.as_ref().is_some_and(Agent::leaving),
            load: self.agent.as_ref().map(|agent| agent.load().clone()),
            held: 0,
        }
    }

    fn beat_all(&self, out: &mut Effects) {
        let beat = self.heartbeat();
        for name in self.peers.keys() {
            out.push(Effect::Send { to: name.clone(), frame: Frame::Beat(beat.clone()) });
        }
    }

    fn stop(&mut self, now: Time, out: &mut Effects) {
        self.stops += 1;
        self.stopping.get_or_insert(now);
        if let Some(entry) = &mut self.entry {
            entry.drain();
        }
        if let Some(agent) = &mut self.agent {
            agent.drain();
        }
        self.beat_all(out);
        self.leave_when_empty(now, out);
    }

    fn leave_when_empty(&mut self, now: Time, out: &mut Effects) {
        let Some(since) = self.stopping else {
            return;
        };
        if self.exited {
            return;
        }
        let open =
            self.entry.as_ref().map_or(0, Entry::open) + self.agent.as_ref().map_or(0, Agent::open);
        let forced = self.stops > 1 || now.since(since) >= self.config.drain;
        if open > 0 && !forced {
            return;
        }
        self.exited = true;
        if let Some(entry) = &mut self.entry {
            entry.cut_all(now, out);
        }
        out.push(Effect::Exit { cut: open });
    }
}
