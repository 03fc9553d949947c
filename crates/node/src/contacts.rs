//! Peer discovery: which processes there are, where they can be reached and whom this one dials.
//!
//! Addresses come from the settings, from links and from other processes. Every process tells every
//! peer which keepers it knows, so two that share any chain of links find each other, whoever was
//! named in their settings. Of two words on one process, that of its later life is right, and its
//! own goes before all.
//!
//! Keepers remember on their disks where everybody was, so that after a common restart the seeds
//! need not lead to anybody: keepers find each other, and then whoever has lost them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use wire::{Contact, Hello};

use crate::{Dial, Effect, Effects};

/// Time without a sign of a process after which it is dialled no longer. Each try costs a packet a second;
/// a VM that was off for longer dials others itself.
const FORGET: Duration = Duration::from_secs(600);
/// Time between two looks for processes to forget.
const ROUND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Known {
    hello: Hello,
    /// Last sign of it.
    heard: Time,
}

/// The processes known to one process.
#[derive(Debug)]
pub struct Contacts {
    me: Hello,
    /// Addresses in the settings.
    seeds: Vec<SocketAddr>,
    known: BTreeMap<Name, Known>,
    dialled: BTreeMap<SocketAddr, Dial>,
    /// What the disk holds, or will.
    remembered: BTreeMap<Name, SocketAddr>,
    next_round: Time,
}

impl Contacts {
    /// Nobody is known yet.
    pub fn new(me: Hello) -> Self {
        Self {
            me,
            seeds: Vec::new(),
            known: BTreeMap::new(),
            dialled: BTreeMap::new(),
            remembered: BTreeMap::new(),
            next_round: Time::ZERO,
        }
    }

    /// The settings name these addresses, and no others any more.
    pub fn seeded(&mut self, seeds: Vec<SocketAddr>, out: &mut Effects) {
        self.seeds = seeds;
        self.dial(out);
    }

    /// A process said of itself where it is, which is true whatever was told; gives whether that is news.
    pub fn connected(&mut self, now: Time, hello: &Hello, out: &mut Effects) -> bool {
        if hello.name == self.me.name {
            return false;
        }
        let news = self.known.get(&hello.name).is_none_or(|known| known.hello != *hello);
        // Who had this address before has left it.
        self.known.retain(|_, known| known.hello.addr != hello.addr);
        self.known.insert(hello.name.clone(), Known { hello: hello.clone(), heard: now });
        if news {
            self.dial(out);
        }
        news
    }

    /// Another process told of contacts; gives those that are news.
    pub fn told(&mut self, now: Time, contacts: &[Contact], out: &mut Effects) -> Vec<Contact> {
        let mut news = Vec::new();
        for contact in contacts {
            let silent = Duration::from_millis(contact.silent_ms);
            if silent < FORGET && self.heard_of(&contact.hello, now - silent) {
                news.push(contact.clone());
            }
        }
        if !news.is_empty() {
            self.dial(out);
        }
        news
    }

    /// The disk held these from an earlier life; time off tells nothing of the others.
    pub fn remembered(&mut self, now: Time, contacts: &[Contact], out: &mut Effects) {
        for contact in contacts {
            self.heard_of(&contact.hello, now);
        }
        self.remembered = self.places();
        self.dial(out);
    }

    /// Forgets processes that have been silent for long, other than these. While no other keeper is linked,
    /// nobody is forgotten: silence then tells of this process, not of the others.
    pub fn tick(
        &mut self,
        now: Time,
        peers: &BTreeMap<Name, Hello>,
        keep: impl Fn(&Name) -> bool,
        out: &mut Effects,
    ) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND;
        let alone = !peers.values().any(|peer| peer.keeper && peer.name != self.me.name);
        let before = self.known.len();
        self.known.retain(|name, known| {
            if alone || peers.contains_key(name) {
                known.heard = now;
            }
            now.since(known.heard) < FORGET || keep(name)
        });
        if self.known.len() < before {
            self.dial(out);
        }
        // Only keepers have a disk.
        if self.me.keeper {
            self.remember(now, out);
        }
    }

    fn remember(&mut self, now: Time, out: &mut Effects) {
        let places = self.places();
        if places != self.remembered {
            self.remembered = places;
            out.push(Effect::SaveContacts(self.contacts(now, |_| true)));
        }
    }

    fn places(&self) -> BTreeMap<Name, SocketAddr> {
        let places = self.known.iter().map(|(name, known)| (name.clone(), known.hello.addr));
        places.collect()
    }

    /// The keepers known, for another process.
    pub fn keepers(&self, now: Time) -> Vec<Contact> {
        self.contacts(now, |hello| hello.keeper)
    }

    fn contacts(&self, now: Time, which: impl Fn(&Hello) -> bool) -> Vec<Contact> {
        let known = self.known.values().filter(|known| which(&known.hello));
        known
            .map(|known| Contact {
                hello: known.hello.clone(),
                silent_ms: now.since(known.heard).as_millis() as u64,
            })
            .collect()
    }

    /// Takes another's word of a process that was heard then; gives whether its life or address is news.
    fn heard_of(&mut self, hello: &Hello, at: Time) -> bool {
        if hello.name == self.me.name {
            return false;
        }
        if let Some(known) = self.known.get_mut(&hello.name)
            && known.hello.incarnation >= hello.incarnation
        {
            if known.hello == *hello {
                known.heard = known.heard.max(at);
            }
            return false;
        }
        self.known.insert(hello.name.clone(), Known { hello: hello.clone(), heard: at });
        true
    }

    /// Brings the addresses that are dialled in line with what is known.
    fn dial(&mut self, out: &mut Effects) {
        let hellos = self.known.values().map(|known| &known.hello);
        let mut wanted: BTreeMap<SocketAddr, Dial> =
            hellos.filter_map(|hello| Some((hello.addr, self.wants(hello)?))).collect();
        let seeds = self.seeds.iter().filter(|seed| **seed != self.me.addr);
        wanted.extend(seeds.map(|seed| (*seed, Dial::Always)));
        let left = self.dialled.iter().filter(|(addr, when)| wanted.get(addr) != Some(when));
        let new = wanted.iter().filter(|(addr, when)| self.dialled.get(addr) != Some(when));
        out.extend(left.map(|(addr, _)| Effect::StopDialing { addr: *addr }));
        out.extend(new.map(|(addr, when)| Effect::Dial { addr: *addr, when: *when }));
        self.dialled = wanted;
    }

    /// Whether this process dials another: all dial keepers, entries agents too, and keepers look for
    /// whoever has lost them.
    fn wants(&self, other: &Hello) -> Option<Dial> {
        if other.keeper || (self.me.entry && other.server.is_some()) {
            Some(Dial::Always)
        } else if self.me.keeper {
            Some(Dial::WhileDisconnected)
        } else {
            None
        }
    }
}
