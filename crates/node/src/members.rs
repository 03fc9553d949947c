//! The processes that a keeper knows, from links, heartbeats and their own word.

use std::collections::BTreeMap;

use base::prelude::*;
use serde_json::{Value, json};
use wire::{Heartbeat, Hello};

/// Silence after which a process is suspect.
const SUSPECT: Duration = Duration::from_millis(1_500);
/// Silence after which a process is gone.
const GONE: Duration = Duration::from_secs(10);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// Linked, but not serving yet.
    Joining,
    /// Serves.
    Ready,
    /// Not heard of for a moment.
    Suspect,
    /// Takes no new work.
    Leaving,
    /// Not heard of for long.
    Gone,
}

impl MemberStatus {
    /// The word in dumps and tables.
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
    /// What it said of itself.
    pub hello: Hello,
    /// Its last heartbeat.
    pub beat: Heartbeat,
    /// When it was last heard of.
    pub heard: Time,
}

impl Member {
    /// Where it stands.
    pub fn status(&self, now: Time) -> MemberStatus {
        let silent = now.since(self.heard);
        if silent >= GONE {
            MemberStatus::Gone
        } else if silent >= SUSPECT {
            MemberStatus::Suspect
        } else if self.beat.leaving {
            MemberStatus::Leaving
        } else if self.beat.ready {
            MemberStatus::Ready
        } else {
            MemberStatus::Joining
        }
    }

    /// The member as JSON.
    pub fn dump(&self, now: Time) -> Value {
        let server = self.hello.server.as_ref();
        let load = self.beat.load.as_ref();
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
            "revision": self.beat.revision.to_string(),
        })
    }
}

/// All processes that were heard of.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<Name, Member>,
    changed: bool,
}

impl Members {
    /// A link is up; an older life of the same name is not taken for news.
    pub fn connected(&mut self, now: Time, hello: &Hello) {
        let known = self.members.get(&hello.name);
        if known.is_some_and(|known| known.hello.incarnation > hello.incarnation) {
            return;
        }
        let same = known.is_some_and(|known| known.hello == *hello);
        let beat = known.filter(|_| same).map(|known| known.beat.clone()).unwrap_or_default();
        self.changed |= !same;
        let member = Member { hello: hello.clone(), beat, heard: now };
        self.members.insert(hello.name.clone(), member);
    }

    /// A heartbeat came.
    pub fn beat(&mut self, now: Time, peer: &Name, beat: &Heartbeat) {
        if let Some(member) = self.members.get_mut(peer) {
            member.heard = now;
            member.beat = beat.clone();
        }
    }

    /// Forgets those long gone; says whether the set has changed since the last call.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.members.len();
        self.members.retain(|_, member| now.since(member.heard) < 6 * GONE);
        std::mem::take(&mut self.changed) || before != self.members.len()
    }

    /// The processes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What the processes said of themselves.
    pub fn hellos(&self) -> Vec<Hello> {
        self.members.values().map(|member| member.hello.clone()).collect()
    }
}
