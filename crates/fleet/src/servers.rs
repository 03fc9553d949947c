//! All servers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use base::prelude::*;
use slotmap::SlotMap;

use crate::{Health, Listed, Server};

/// Time for which what a server takes is remembered after it has left the list: an entry that cannot be read, or a
/// page that was missed, leaves it out for some readings.
const REMEMBERED: Duration = Duration::from_secs(60);

slotmap::new_key_type! {
    /// Key of a server; that of an earlier life leads nowhere.
    pub struct Key;
}

/// The servers, by service.
#[derive(Debug, Default)]
pub struct Servers {
    all: SlotMap<Key, Server>,
    ids: HashMap<Name, Key>,
    services: BTreeMap<Name, Vec<Key>>,
    addrs: HashMap<SocketAddr, Key>,
    /// What lives that have left the list took, and when they left it.
    unlisted: HashMap<(Name, Option<u64>), (Health, Time)>,
    read_at: Option<Time>,
    generation: u64,
}

impl Servers {
    /// The whole list was read. A server that is missing is gone; one that was born again under the
    /// same identity, or whose identity moved, starts anew.
    pub fn apply_list(&mut self, now: Time, list: Vec<Listed>) {
        self.read_at = Some(now);
        self.generation += 1;
        let mut ids = HashMap::new();
        for listed in list {
            let id = listed.id.clone();
            let known = self.ids.get(&id).copied().filter(|key| {
                self.all.get(*key).is_some_and(|server| same_life(&server.listed, &listed))
            });
            let found = known.and_then(|key| Some((key, self.all.get_mut(key)?)));
            let key = if let Some((key, server)) = found {
                server.apply_listed_version(now, listed.version());
                server.listed = listed;
                key
            } else {
                let life = (listed.id.clone(), listed.born);
                let health = self.unlisted.remove(&life).map(|(health, _)| health);
                self.all.insert(Server::new(listed, health.unwrap_or_default()))
            };
            ids.insert(id, key);
        }
        self.ids = ids;
        let live: HashSet<Key> = self.ids.values().copied().collect();
        self.unlisted.retain(|_, (_, at)| now.since(*at) < REMEMBERED);
        let unlisted = &mut self.unlisted;
        self.all.retain(|key, server| {
            let lives = live.contains(&key);
            if !lives {
                let life = (server.listed.id.clone(), server.listed.born);
                unlisted.insert(life, (server.health, now));
            }
            lives
        });
        self.services.clear();
        self.addrs.clear();
        for (key, server) in &self.all {
            self.services.entry(server.listed.service.clone()).or_default().push(key);
            self.addrs.insert(server.listed.addr, key);
        }
    }

    /// The list was read and is the same.
    pub fn mark_unchanged(&mut self, now: Time) {
        self.read_at = Some(now);
    }

    /// When the list was last read.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// How many lists were taken in: without another one, the servers on the list are the same.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// A server.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.all.get(key)
    }

    /// A server.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Server> {
        self.all.get_mut(key)
    }

    /// Key of the server of this identity.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// The server of this identity.
    pub fn by_id(&mut self, id: &str) -> Option<&mut Server> {
        self.all.get_mut(self.key(id)?)
    }

    /// Key of one life of a server.
    pub fn incarnation_key(&self, id: &str, born: Option<u64>) -> Option<Key> {
        let key = self.key(id)?;
        (self.all.get(key)?.listed.born == born).then_some(key)
    }

    /// Every server.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Server)> {
        self.all.iter_mut()
    }

    /// The server at an address and its key.
    pub fn find_by_addr(&self, addr: SocketAddr) -> Option<(Key, &Server)> {
        let key = *self.addrs.get(&addr)?;
        Some((key, self.all.get(key)?))
    }

    /// The server at an address.
    pub fn by_addr(&self, addr: SocketAddr) -> Option<&Server> {
        self.find_by_addr(addr).map(|(_, server)| server)
    }

    /// The server at an address.
    pub fn by_addr_mut(&mut self, addr: SocketAddr) -> Option<&mut Server> {
        self.all.get_mut(*self.addrs.get(&addr)?)
    }

    /// The servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (Key, &Server)> {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| Some((*key, self.all.get(*key)?)))
    }

    /// Every server.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Server)> {
        self.all.iter()
    }
}

fn same_life(known: &Listed, listed: &Listed) -> bool {
    let same = known.addr == listed.addr && known.service == listed.service;
    same && (known.born == listed.born || listed.born.is_none())
}
