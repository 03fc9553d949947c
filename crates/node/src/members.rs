//! The processes that a keeper tracks, from their connections and heartbeats.

use std::collections::BTreeMap;

use base::prelude::*;
use serde_json::{Value, json};
use wire::{Heartbeat, Hello};

/// Time without a heartbeat after which a process is suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Time without a heartbeat after which a process is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// The status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// Connected, but not serving yet.
    Joining,
    /// Serves.
    Ready,
    /// No heartbeat for `SUSPECT_AFTER`.
    Suspect,
    /// Accepts no new work.
    Leaving,
    /// No heartbeat for `GONE_AFTER`.
    Gone,
}

impl MemberStatus {
    /// Name in dumps and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// A process.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its hello.
    pub hello: Hello,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When its last heartbeat or hello arrived.
    pub last_seen: Time,
}

impl Member {
    /// Its status.
    pub fn status(&self, now: Time) -> MemberStatus {
        let silent = now.since(self.last_seen);
        if silent >= GONE_AFTER {
            MemberStatus::Gone
        } else if silent >= SUSPECT_AFTER {
            MemberStatus::Suspect
        } else if self.heartbeat.leaving {
            MemberStatus::Leaving
        } else if self.heartbeat.ready {
            MemberStatus::Ready
        } else {
            MemberStatus::Joining
        }
    }

    /// The member as JSON.
    pub fn dump(&self, now: Time) -> Value {
        let server = self.hello.server.as_ref();
        let load = self.heartbeat.load.as_ref();
        json!({
            "name": &*self.hello.name,
            "standing": self.status(now).as_str(),
            "zone": &*self.hello.zone,
            "link": self.hello.addr.to_string(),
            "incarnation": self.hello.incarnation.0,
            "entry": self.hello.entry,
            "keeper": self.hello.keeper,
            "serves": server.map(|server| &*server.serves),
            "plain": server.is_some_and(|server| server.plain),
            "slots": server.map(|server| server.slots),
            "version": load.map(|load| &*load.version),
            "held": load.map(|load| load.held_runs),
            "revision": self.heartbeat.revision.to_string(),
        })
    }
}

/// All tracked processes.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<Name, Member>,
    changed: bool,
}

impl Members {
    /// A process has connected; an earlier incarnation of a tracked process is ignored.
    pub fn connected(&mut self, now: Time, hello: &Hello) {
        let previous = self.members.get(&hello.name);
        if previous.is_some_and(|previous| previous.hello.incarnation > hello.incarnation) {
            return;
        }
        let same = previous.is_some_and(|previous| previous.hello == *hello);
        let heartbeat = previous
            .filter(|_| same)
            .map(|previous| previous.heartbeat.clone())
            .unwrap_or_default();
        self.changed |= !same;
        let member = Member { hello: hello.clone(), heartbeat, last_seen: now };
        self.members.insert(hello.name.clone(), member);
    }

    /// Handles a heartbeat.
    pub fn heartbeat(&mut self, now: Time, peer: &Name, heartbeat: &Heartbeat) {
        if let Some(member) = self.members.get_mut(peer) {
            member.last_seen = now;
            member.heartbeat = heartbeat.clone();
        }
    }

    /// Removes processes not seen for six times `GONE_AFTER`; returns whether the set has changed since the last call.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.members.len();
        self.members.retain(|_, member| now.since(member.last_seen) < 6 * GONE_AFTER);
        std::mem::take(&mut self.changed) || before != self.members.len()
    }

    /// The processes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The hellos of the processes.
    pub fn hellos(&self) -> Vec<Hello> {
        self.members.values().map(|member| member.hello.clone()).collect()
    }
}
