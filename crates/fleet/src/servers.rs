//! All servers, by key, identity, address and service.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use base::prelude::*;
use slotmap::SlotMap;

use crate::{Health, Limit, Listed, Server};

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
    /// Incarnations that disappeared from the list, by identity.
    unlisted: HashMap<Name, Vec<Unlisted>>,
    read_at: Option<Time>,
    generation: u64,
    /// Rate that a cold server accepts, by service.
    cold_rates: BTreeMap<Name, Limit>,
}

/// An incarnation that disappeared from the list.
#[derive(Debug)]
struct Unlisted {
    key: Key,
    listed: Listed,
    health: Health,
    since: Time,
}

impl Servers {
    /// Sets the rates that cold servers accept, by service.
    pub fn set_cold_rates(&mut self, rates: BTreeMap<Name, Limit>) {
        if rates == self.cold_rates {
            return;
        }
        self.cold_rates = rates;
        for server in self.all.values_mut() {
            server.health.cold.set_rate(self.cold_rates.get(&server.listed.service).copied());
        }
    }

    /// Whether there is a service whose cold servers accept a limited rate.
    pub fn has_cold_rates(&self) -> bool {
        !self.cold_rates.is_empty()
    }

    /// Applies a complete list. Servers that are missing are removed; one that restarted under the same identity, or
    /// whose identity moved to another address or service, starts with empty state. Where a start time is missing, what
    /// the server has said still applies.
    pub fn apply_list(&mut self, now: Time, list: Vec<Listed>) {
        self.read_at = Some(now);
        self.generation += 1;
        let mut ids = HashMap::new();
        for mut listed in list {
            let id = listed.id.clone();
            let tracked = self.ids.get(&id).copied();
            let tracked = tracked.and_then(|key| Some((key, self.all.get_mut(key)?)));
            let key = match tracked {
                Some((key, server)) if same_incarnation(&server.listed, &listed) => {
                    server.apply_listed_version(now, listed.version());
                    server.set_listed(now, listed);
                    key
                }
                tracked => {
                    let tracked = tracked.map(|(_, server)| (&mut server.listed, server.health));
                    let tracked = tracked.filter(|(tracked, _)| same_place(tracked, &listed));
                    let unlisted = self.unlisted.get_mut(&id).into_iter().flatten().rev();
                    let unlisted = unlisted.map(|found| (&mut found.listed, found.health));
                    let earlier = tracked
                        .into_iter()
                        .chain(unlisted)
                        .find(|(earlier, _)| may_be_same_incarnation(earlier, &listed));
                    let health = earlier.map(|(earlier, health)| {
                        listed.born = listed.born.or(earlier.born);
                        earlier.born = listed.born;
                        health
                    });
                    self.all.insert(Server::new(listed, health.unwrap_or_default()))
                }
            };
            if let Some(server) = self.all.get_mut(key) {
                let rate = self.cold_rates.get(&server.listed.service).copied();
                server.health.cold.set_rate(rate);
                server.health.cold.apply_list(now, server.listed.cold);
            }
            ids.insert(id, key);
        }
        self.ids = ids;
        let listed: HashSet<Key> = self.ids.values().copied().collect();
        self.unlisted.retain(|_, found| {
            found.retain(|found| now.since(found.since) < UNLISTED_RETENTION);
            !found.is_empty()
        });
        let unlisted = &mut self.unlisted;
        self.all.retain(|key, server| {
            let is_listed = listed.contains(&key);
            if !is_listed {
                let (listed, health) = (server.listed.clone(), server.health);
                let found = unlisted.entry(listed.id.clone()).or_default();
                found.push(Unlisted { key, listed, health, since: now });
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
        if self.has_cold_rates() {
            for server in self.all.values_mut() {
                server.health.cold.apply_list(now, server.listed.cold);
            }
        }
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

    /// Key of one incarnation of a server, as another process names it.
    pub fn incarnation_key(&self, id: &str, born: Option<u64>) -> Option<Key> {
        let key = self.key(id)?;
        may_be_same_start(self.all.get(key)?.listed.born, born).then_some(key)
    }

    /// Key of the server of this identity, also of one that has disappeared from the list lately.
    pub fn last_key(&self, id: &str) -> Option<Key> {
        self.key(id).or_else(|| Some(self.unlisted.get(id)?.last()?.key))
    }

    /// List entry and health of an incarnation, also of one that has disappeared from the list lately, or that has
    /// returned to it with another key: its responses still arrive.
    pub fn health_mut(&mut self, key: Key) -> Option<(&Listed, &mut Health)> {
        let key = self.current_key(key);
        if let Some(server) = self.all.get_mut(key) {
            return Some((&server.listed, &mut server.health));
        }
        let found = self.unlisted.values_mut().flatten().find(|found| found.key == key)?;
        Some((&found.listed, &mut found.health))
    }

    /// The latest key of an incarnation.
    pub fn current_key(&self, key: Key) -> Key {
        if self.all.contains_key(key) {
            return key;
        }
        let mut unlisted = self.unlisted.values();
        let earlier = unlisted.find_map(|found| {
            let at = found.iter().position(|found| found.key == key)?;
            Some(&found[at..])
        });
        let Some(earlier @ [first, ..]) = earlier else {
            return key;
        };
        let listed = self.key(&first.listed.id).filter(|key| {
            let server = self.all.get(*key);
            server.is_some_and(|server| may_be_same_incarnation(&first.listed, &server.listed))
        });
        let last =
            || earlier.iter().rfind(|found| may_be_same_incarnation(&first.listed, &found.listed));
        listed.or_else(|| Some(last()?.key)).unwrap_or(key)
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

/// Whether a list entry is about the incarnation that is tracked. An entry without a start time may be incomplete.
fn same_incarnation(tracked: &Listed, listed: &Listed) -> bool {
    same_place(tracked, listed) && (tracked.born == listed.born || listed.born.is_none())
}

/// Whether two list entries of one identity may be about the same incarnation.
fn may_be_same_incarnation(earlier: &Listed, listed: &Listed) -> bool {
    let same_start = earlier.born.is_some() && earlier.born == listed.born;
    same_start || (same_place(earlier, listed) && may_be_same_start(earlier.born, listed.born))
}

fn same_place(left: &Listed, right: &Listed) -> bool {
    left.addr == right.addr && left.service == right.service
}

fn may_be_same_start(left: Option<u64>, right: Option<u64>) -> bool {
    left == right || left.is_none() || right.is_none()
}
