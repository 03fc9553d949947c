//! Faults and planned changes of a trace.

use std::time::Duration;

use node::Event;
use record::Kind;

use base::RunId;

use super::{HOP_LATENCY, MODEL, Scheduled, Store, World};
use crate::Fault;

/// Replicas that one request may crash.
const MAX_CRASHES: u32 = 2;
/// Time until a crashed replica is back.
const CRASH_TIME: Duration = Duration::from_secs(2);

impl World<'_> {
    pub(super) fn agent(&self, number: u64) -> Option<usize> {
        self.names.get(&*format!("agent-{number}")).copied()
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(n) => {
                if let Some(index) = self.agent(n) {
                    self.kill(index);
                }
            }
            Fault::ReviveAgent(n) => {
                if let Some(index) = self.agent(n)
                    && self.processes[index].node.is_none()
                {
                    self.boot(index);
                }
            }
            Fault::KillEntry(n) => {
                let index = n as usize + 1;
                if n < self.trace.deployment.entries {
                    self.kill(index);
                    // Its callers see their connections close, so they do not wait for a response.
                    self.exchanges.retain(|_, c| c.entry != index || c.finished.is_some());
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
                    store.slowdown = times;
                }
            }
            Fault::SlowServer(n, times) => {
                if let Some(index) = self.agent(n) {
                    self.processes[index].slowdown = times;
                }
            }
            Fault::LimitServer(n, limit) => {
                let now = self.now;
                if let Some(index) = self.agent(n)
                    && let Some(engine) = &mut self.processes[index].engine
                {
                    engine.limit = limit.map(|limit| (limit, now));
                    engine.limited_starts.clear();
                }
            }
            Fault::StopAgent(n) => {
                if let Some(index) = self.agent(n) {
                    self.processes[index].stopped = Some(self.now);
                    self.event(index, Duration::ZERO, Event::Stop);
                }
            }
            Fault::Swap(version) => self.swap(version),
            Fault::Taint(document) => {
                self.tainted.insert(document);
            }
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

    /// A replica crashes on a request, and starts again.
    pub(super) fn crash(&mut self, index: usize, run: RunId) {
        let crashes = self.crashed.entry((run.entry, run.number)).or_insert(0);
        *crashes += 1;
        let crashes = *crashes;
        if crashes > MAX_CRASHES {
            self.violated(
                "crashes by one request",
                format!("{run} has crashed {crashes} replicas"),
            );
        }
        self.kill(index);
        self.schedule(CRASH_TIME, Scheduled::Revive(index));
    }

    pub(super) fn kill(&mut self, index: usize) {
        if self.processes[index].node.is_none() {
            return;
        }
        let peer = self.processes[index].hello.name.clone();
        for other in 0..self.processes.len() {
            if self.connected(index, other) {
                self.event(other, HOP_LATENCY, Event::Disconnected { peer: peer.clone() });
            }
        }
        let process = &mut self.processes[index];
        process.node = None;
        process.engine = None;
        process.hello.incarnation.0 += 1_000_000;
    }
}
