//! Faults and planned changes.

use std::time::Duration;

use node::Event;
use record::Kind;

use super::{HOP, MODEL, Store, World};
use crate::Fault;

impl World<'_> {
    pub(super) fn agent(&self, number: u64) -> Option<usize> {
        self.names.get(&*format!("agent-{number}")).copied()
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(n) => {
                if let Some(place) = self.agent(n) {
                    self.kill(place);
                }
            }
            Fault::ReviveAgent(n) => {
                if let Some(place) = self.agent(n)
                    && self.processes[place].node.is_none()
                {
                    self.boot(place);
                }
            }
            Fault::KillEntry(n) => {
                let place = n as usize + 1;
                if n < self.trace.deployment.entries {
                    self.kill(place);
                    // Its callers lose their connections, which is an answer of a kind.
                    self.callers.retain(|_, c| c.entry != place || c.finished.is_some());
                }
            }
            Fault::KillStore(n) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    *store = Store { dead: true, ..Store::default() };
                }
            }
            Fault::FillStore(n) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    store.full = true;
                }
            }
            Fault::SlowLink(n, times) => {
                if let Some(store) = self.stores.get_mut(n as usize) {
                    store.slow = times;
                }
            }
            Fault::SlowServer(n, times) => {
                if let Some(place) = self.agent(n) {
                    self.processes[place].slow = times;
                }
            }
            Fault::LimitServer(n, limit) => {
                let now = self.now;
                if let Some(place) = self.agent(n)
                    && let Some(engine) = &mut self.processes[place].engine
                {
                    engine.limit = limit.map(|limit| (limit, now));
                    engine.begun.clear();
                }
            }
            Fault::StopAgent(n) => {
                if let Some(place) = self.agent(n) {
                    self.processes[place].stopped = Some(self.now);
                    self.event(place, Duration::ZERO, Event::Stop);
                }
            }
            Fault::Swap(version) => self.swap(version),
        }
    }

    pub(super) fn swap(&mut self, version: u64) {
        let parallel = self.trace.deployment.parallel;
        let body = format!(r#"{{"model":"{MODEL}"}}"#);
        let name = format!("v{version}");
        self.put(1_000 + 2 * version, Kind::Version, &name, 0, &body);
        let floor = self.trace.deployment.replicas * 2 / 3;
        let body = format!(
            r#"{{"model":"{MODEL}","version":"{name}","parallel":{parallel},"floor":{floor}}}"#
        );
        let expect = self.version - 1;
        self.version += 1;
        self.put(1_001 + 2 * version, Kind::Rollout, MODEL, expect, &body);
    }

    pub(super) fn kill(&mut self, place: usize) {
        if self.processes[place].node.is_none() {
            return;
        }
        let peer = self.processes[place].hello.name.clone();
        for other in 0..self.processes.len() {
            if self.connected(place, other) {
                self.event(other, HOP, Event::Disconnected { peer: peer.clone() });
            }
        }
        let process = &mut self.processes[place];
        process.node = None;
        process.engine = None;
        process.hello.incarnation.0 += 1_000_000;
    }
}
