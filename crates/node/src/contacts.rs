//! Peer discovery: the processes of the cluster, their addresses, and which of them this process dials.
//!
//! Addresses come from the settings, from connections and from other processes. Every process sends the keepers
//! that it tracks to every peer, so that two processes connected through any chain of peers find each other,
//! whatever seeds their settings name. Of two reports on a process, the one of its later incarnation is valid; what
//! a process reports of itself on a connection takes precedence over both.
//!
//! Keepers save the addresses of all processes on their disks, so that after a restart of the whole cluster no
//! seed needs to be reachable: keepers find each other, and then the processes that have lost them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use wire::{Contact, Hello};

use crate::{Dial, Effect, Effects};

/// Time since a process was last seen after which it is no longer dialled. Dialling costs a packet a second;
/// a VM that was off for longer dials others itself.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Interval between checks for processes to remove.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Tracked {
    hello: Hello,
    last_seen: Time,
}

/// The processes that one process tracks.
#[derive(Debug)]
pub struct Contacts {
    local: Hello,
    /// Addresses from the settings.
    seeds: Vec<SocketAddr>,
    tracked: BTreeMap<Name, Tracked>,
    dialled: BTreeMap<SocketAddr, Dial>,
    /// The addresses on the disk, including those of a write in progress.
    saved: BTreeMap<Name, SocketAddr>,
    next_expiry: Time,
}

impl Contacts {
    /// Without any other process.
    pub fn new(local: Hello) -> Self {
        Self {
            local,
            seeds: Vec::new(),
            tracked: BTreeMap::new(),
            dialled: BTreeMap::new(),
            saved: BTreeMap::new(),
            next_expiry: Time::ZERO,
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>, out: &mut Effects) {
        self.seeds = seeds;
        self.dial(out);
    }

    /// A process has connected: its own hello replaces all reports on it. Returns whether it is new or has changed.
    pub fn connected(&mut self, now: Time, hello: &Hello, out: &mut Effects) -> bool {
        if hello.name == self.local.name {
            return false;
        }
        let changed = self.tracked.get(&hello.name).is_none_or(|tracked| tracked.hello != *hello);
        // The process that used this address before no longer does.
        self.tracked.retain(|_, tracked| tracked.hello.addr != hello.addr);
        self.tracked.insert(hello.name.clone(), Tracked { hello: hello.clone(), last_seen: now });
        if changed {
            self.dial(out);
        }
        changed
    }

    /// Applies contacts reported by another process; returns those that are new or have changed.
    pub fn apply_reported(
        &mut self,
        now: Time,
        contacts: &[Contact],
        out: &mut Effects,
    ) -> Vec<Contact> {
        let mut changed = Vec::new();
        for contact in contacts {
            let silent = Duration::from_millis(contact.silent_ms);
            if silent < FORGET_AFTER && self.apply_report(&contact.hello, now - silent) {
                changed.push(contact.clone());
            }
        }
        if !changed.is_empty() {
            self.dial(out);
        }
        changed
    }

    /// Applies the contacts saved by an earlier incarnation. They count as last seen now, since this process
    /// could not see them while it was off.
    pub fn load_saved(&mut self, now: Time, contacts: &[Contact], out: &mut Effects) {
        for contact in contacts {
            self.apply_report(&contact.hello, now);
        }
        self.saved = self.addresses();
        self.dial(out);
    }

    /// Removes processes not seen for `FORGET_AFTER`, except connected peers and those that `keep` selects.
    /// While no other keeper is connected, none is removed, since this process is then probably the isolated one.
    pub fn tick(
        &mut self,
        now: Time,
        peers: &BTreeMap<Name, Hello>,
        keep: impl Fn(&Name) -> bool,
        out: &mut Effects,
    ) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRE_INTERVAL;
        let isolated = !peers.values().any(|peer| peer.keeper && peer.name != self.local.name);
        let before = self.tracked.len();
        self.tracked.retain(|name, tracked| {
            if isolated || peers.contains_key(name) {
                tracked.last_seen = now;
            }
            now.since(tracked.last_seen) < FORGET_AFTER || keep(name)
        });
        if self.tracked.len() < before {
            self.dial(out);
        }
        // Only keepers have a disk.
        if self.local.keeper {
            self.save(now, out);
        }
    }

    fn save(&mut self, now: Time, out: &mut Effects) {
        let addresses = self.addresses();
        if addresses != self.saved {
            self.saved = addresses;
            out.push(Effect::SaveContacts(self.contacts(now, |_| true)));
        }
    }

    fn addresses(&self) -> BTreeMap<Name, SocketAddr> {
        let addresses =
            self.tracked.iter().map(|(name, tracked)| (name.clone(), tracked.hello.addr));
        addresses.collect()
    }

    /// Number of tracked keepers.
    pub fn keeper_count(&self) -> usize {
        self.tracked.values().filter(|tracked| tracked.hello.keeper).count()
    }

    /// The tracked keepers, to send to another process.
    pub fn keepers(&self, now: Time) -> Vec<Contact> {
        self.contacts(now, |hello| hello.keeper)
    }

    fn contacts(&self, now: Time, which: impl Fn(&Hello) -> bool) -> Vec<Contact> {
        let tracked = self.tracked.values().filter(|tracked| which(&tracked.hello));
        tracked
            .map(|tracked| Contact {
                hello: tracked.hello.clone(),
                silent_ms: now.since(tracked.last_seen).as_millis() as u64,
            })
            .collect()
    }

    /// Applies a report on a process last seen at `seen_at`; returns whether its incarnation is new.
    fn apply_report(&mut self, hello: &Hello, seen_at: Time) -> bool {
        if hello.name == self.local.name {
            return false;
        }
        if let Some(tracked) = self.tracked.get_mut(&hello.name)
            && tracked.hello.incarnation >= hello.incarnation
        {
            if tracked.hello == *hello {
                tracked.last_seen = tracked.last_seen.max(seen_at);
            }
            return false;
        }
        self.tracked
            .insert(hello.name.clone(), Tracked { hello: hello.clone(), last_seen: seen_at });
        true
    }

    /// Starts and stops dialling so that it matches the tracked processes and the seeds.
    fn dial(&mut self, out: &mut Effects) {
        let hellos = self.tracked.values().map(|tracked| &tracked.hello);
        let mut wanted: BTreeMap<SocketAddr, Dial> =
            hellos.filter_map(|hello| Some((hello.addr, self.dial_mode(hello)?))).collect();
        let seeds = self.seeds.iter().filter(|seed| **seed != self.local.addr);
        wanted.extend(seeds.map(|seed| (*seed, Dial::Always)));
        let removed = self.dialled.iter().filter(|(addr, when)| wanted.get(addr) != Some(when));
        let added = wanted.iter().filter(|(addr, when)| self.dialled.get(addr) != Some(when));
        out.extend(removed.map(|(addr, _)| Effect::StopDialing { addr: *addr }));
        out.extend(added.map(|(addr, when)| Effect::Dial { addr: *addr, when: *when }));
        self.dialled = wanted;
    }

    /// Whether and when this process dials another: all dial keepers, entries also dial agents, and keepers dial
    /// any process that isn't connected to them.
    fn dial_mode(&self, other: &Hello) -> Option<Dial> {
        if other.keeper || (self.local.entry && other.server.is_some()) {
            Some(Dial::Always)
        } else if self.local.keeper {
            Some(Dial::WhileDisconnected)
        } else {
            None
        }
    }
}
