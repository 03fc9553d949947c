//! All servers, by key, identity, address and service.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use base::prelude::*;
use slotmap::SlotMap;

use crate::{Health, Listed, Server};

/// Time for which a server's health is retained after it has disappeared from the list: an invalid entry or a missed
/// page omits it for a few readings.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

slotmap::new_key_type! {
    /// Key of one incarnation of a server; that of an earlier incarnation finds nothing.
    pub struct Key;
}

/// The servers, by service.
#[derive(Debug, Default)]
pub struct Servers {
    all: SlotMap<Key, Server>,
    ids: HashMap<Name, Key>,
    services: BTreeMap<Name, Vec<Key>>,
    addrs: HashMap<SocketAddr, Key>,
    /// Health of incarnations that disappeared from the list, and when they did.
    unlisted: HashMap<(Name, Option<u64>), (Health, Time)>,
    read_at: Option<Time>,
    generation: u64,
}

impl Servers {
    /// Applies a complete list. Servers that are missing are removed; one that restarted under the same identity, or
    /// whose identity moved to another address or service, starts with empty state.
    pub fn apply_list(&mut self, now: Time, list: Vec<Listed>) {
        self.read_at = Some(now);
        self.generation += 1;
        let mut ids = HashMap::new();
        for listed in list {
            let id = listed.id.clone();
            let tracked = self.ids.get(&id).copied().filter(|key| {
                self.all.get(*key).is_some_and(|server| same_incarnation(&server.listed, &listed))
            });
            let found = tracked.and_then(|key| Some((key, self.all.get_mut(key)?)));
            let key = if let Some((key, server)) = found {
                server.apply_listed_version(now, listed.version());
                server.set_listed(now, listed);
                key
            } else {
                let incarnation = (listed.id.clone(), listed.born);
                let health = self.unlisted.remove(&incarnation).map(|(health, _)| health);
                self.all.insert(Server::new(listed, health.unwrap_or_default()))
            };
            ids.insert(id, key);
        }
        self.ids = ids;
        let listed: HashSet<Key> = self.ids.values().copied().collect();
        self.unlisted.retain(|_, (_, at)| now.since(*at) < UNLISTED_RETENTION);
        let unlisted = &mut self.unlisted;
        self.all.retain(|key, server| {
            let is_listed = listed.contains(&key);
            if !is_listed {
                let incarnation = (server.listed.id.clone(), server.listed.born);
                unlisted.insert(incarnation, (server.health, now));
            }
            is_listed
        });
        self.services.clear();
        self.addrs.clear();
        for (key, server) in &self.all {
            self.services.entry(server.listed.service.clone()).or_default().push(key);
            self.addrs.insert(server.listed.addr, key);
        }
    }

    /// Records that the list was read and is unchanged.
    pub fn mark_unchanged(&mut self, now: Time) {
        self.read_at = Some(now);
    }

    /// When the list was last read.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// Number of lists applied: while it stays the same, so do the servers on the list.
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

    /// Key of one incarnation of a server.
    pub fn incarnation_key(&self, id: &str, born: Option<u64>) -> Option<Key> {
        let key = self.key(id)?;
        (self.all.get(key)?.listed.born == born).then_some(key)
    }

    /// All servers.
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

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Server)> {
        self.all.iter()
    }
}

fn same_incarnation(tracked: &Listed, listed: &Listed) -> bool {
    let same = tracked.addr == listed.addr && tracked.service == listed.service;
    same && (tracked.born == listed.born || listed.born.is_none())
}
