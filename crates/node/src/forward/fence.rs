//! The fence between fetches of prompt segments from stores and frees of stale segments.
//!
//! A store doesn't know its readers: a server may fetch long after its entry chose the source, even if it has left
//! the list or the entry has given up the attempt. Therefore every fetch from a store ends at a time on the
//! servers' clock, after which the server discards it. That time comes from a lease that the leader issues to all
//! entries for each weight version. Without a lease, an entry neither fetches from stores nor saves to them.
//!
//! The leader frees segments of a version only after the store's own clock has passed the end of the last lease
//! for it. A free expires too, so that one that is carried out late can't hit a version that a later leader leases
//! again; within a term, a freed version is leased again only if the model is rolled back to it, once all frees have
//! expired. A new leader doesn't know the leases and frees of its predecessors, so it waits until all of them have
//! expired.
//!
//! The rules rely on the servers' clock and on the terms of leaders, not on the list of servers. An observed clock is a
//! lower bound of the current one. A new leader also waits by its own clock, since one store's may be wrong.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use fleet::Servers;
use wire::FetchLease;

use super::Context;

/// Duration of a lease for the newest weight version; it outlasts a change of leader.
const NEWEST_LEASE: Duration = Duration::from_secs(10);
/// Duration of a lease for an older version. No lease is longer than the one for the newest.
const OLDER_LEASE: Duration = Duration::from_secs(3);
/// How long a free may take to be carried out.
const FREE_EXPIRY: Duration = Duration::from_secs(1);
/// Upper bound of the age of an observed clock.
const CLOCK_MARGIN: Duration = Duration::from_secs(2);
/// Age of an observed clock from which no lease is derived from it.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(5);
/// Time after which all leases have ended that were issued so far, on any process's clock.
pub(super) const MAX_LEASE_TIME: Duration = NEWEST_LEASE.saturating_add(CLOCK_MARGIN);
/// Interval between renewals of the leases.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between attempts while no lease can be issued.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The oldest weight version of a model that servers on the list hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Floor {
    pub version: u64,
    /// A server that holds it; empty if it is the newest version that was set.
    pub holder: Name,
    /// Number of servers that hold it.
    pub holders: usize,
}

/// A lease of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    /// End on the servers' clock, milliseconds.
    pub until_ms: u64,
    /// Estimated end on the clock of this process.
    pub ends: Time,
}

/// Permission to free segments of a version on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Release {
    /// Clock of the store, milliseconds.
    pub clock_ms: u64,
    /// When the free expires, on that clock.
    pub until_ms: u64,
}

/// Versions of a model whose segments were freed.
#[derive(Clone, Copy, Debug, Default)]
struct Freed {
    /// All versions below this one.
    below: u64,
    /// When the last of the frees expires, on the servers' clock, milliseconds.
    until_ms: u64,
}

/// The leases of this process, and as the leader, what it needs to issue leases and to free segments.
#[derive(Debug, Default)]
pub(super) struct Fence {
    leases: HashMap<Name, BTreeMap<u64, Lease>>,
    /// Term of the state below.
    term: u64,
    /// When this process began to lead in that term.
    since: Time,
    /// Last observed clock of each store, and when it was received.
    clocks: HashMap<SocketAddr, (u64, Time)>,
    /// First clock that was observed after the predecessor's leadership had ended, and when.
    first_clock: Option<(u64, Time)>,
    /// End of the last lease that was issued for each version.
    issued: HashMap<Name, BTreeMap<u64, u64>>,
    /// What was freed of each model.
    freed: HashMap<Name, Freed>,
    next_renewal: Time,
    /// Revision of the configuration at the last renewal.
    revision: Revision,
    /// The versions that were leased at the last renewal.
    leased: BTreeMap<Name, BTreeSet<u64>>,
}

impl Fence {
    /// As the leader in a term: discards the state of earlier terms.
    pub fn lead(&mut self, now: Time, term: u64) {
        if self.term == term {
            return;
        }
        let leases = std::mem::take(&mut self.leases);
        *self = Self { leases, term, since: now, ..Self::default() };
    }

    /// As the leader: records the clock in the response of a store. `began` is the time at which the read began; none if
    /// the response may be older. `predecessor` is how long a predecessor may still consider itself the leader.
    pub fn observe(
        &mut self,
        now: Time,
        store: SocketAddr,
        clock_ms: Option<u64>,
        (began, predecessor): (Option<Time>, Duration),
    ) {
        let Some(clock_ms) = clock_ms else { return };
        self.clocks.insert(store, (clock_ms, now));
        if began.is_some_and(|began| began >= self.since + predecessor) {
            self.first_clock.get_or_insert((clock_ms, now));
        }
    }

    /// Whether stores name their clock, and the first one since the predecessor's leadership ended is still to be observed.
    pub fn awaits_first_clock(&self) -> bool {
        self.first_clock.is_none() && !self.clocks.is_empty()
    }

    /// Discards the clocks of other stores.
    pub fn retain_stores(&mut self, is_store: impl Fn(&SocketAddr) -> bool) {
        self.clocks.retain(|addr, _| is_store(addr));
    }

    /// Lower bound of the servers' clock.
    fn clock_ms(&self, now: Time) -> Option<u64> {
        let recent = self.clocks.values().filter(|(_, at)| now.since(*at) < MAX_CLOCK_AGE);
        recent.map(|(clock_ms, at)| clock_ms.saturating_add(millis(now.since(*at)))).max()
    }

    /// Clock of a store when it last responded with one.
    pub fn store_clock_ms(&self, store: SocketAddr) -> Option<u64> {
        self.clocks.get(&store).map(|(clock_ms, _)| *clock_ms)
    }

    /// Whether this time has passed since the leadership of earlier leaders ended, on the servers' clock and on that of
    /// this process: the clock of one store may be wrong in a response.
    fn has_led_for(&self, now: Time, clock_ms: u64, time: Duration) -> bool {
        self.first_clock.is_some_and(|(first_ms, observed_at)| {
            clock_ms > first_ms.saturating_add(millis(time)) && now.since(observed_at) >= time
        })
    }

    /// Whether all frees of earlier leaders have expired.
    fn earlier_frees_expired(&self, now: Time, clock_ms: u64) -> bool {
        self.has_led_for(now, clock_ms, FREE_EXPIRY + CLOCK_MARGIN)
    }

    /// When all leases of earlier leaders have expired, on the servers' clock.
    fn earlier_leases_end_ms(&self) -> Option<u64> {
        Some(self.first_clock?.0.saturating_add(millis(NEWEST_LEASE + CLOCK_MARGIN)))
    }

    /// When all leases have expired that any leader has issued so far, on the servers' clock.
    pub fn last_lease_end_ms(&self) -> Option<u64> {
        let issued = self.issued.values().flat_map(BTreeMap::values).copied().max();
        self.earlier_leases_end_ms().max(issued)
    }

    /// End of the last lease for a version, on the servers' clock; 0 if this leader issued none.
    pub fn issued_until_ms(&self, model: &str, version: u64) -> u64 {
        let versions = self.issued.get(model);
        versions.and_then(|versions| versions.get(&version)).copied().unwrap_or(0)
    }

    /// As the leader: issues leases for the versions in use, if due. They apply to this process too.
    pub fn renew(&mut self, cx: &Context<'_>, servers: &Servers) -> Renewal {
        let due = cx.now >= self.next_renewal || cx.view.revision != self.revision;
        if cx.term != Some(self.term) || !due {
            return Renewal::default();
        }
        let clock_ms =
            self.clock_ms(cx.now).filter(|clock| self.earlier_frees_expired(cx.now, *clock));
        let Some(clock_ms) = clock_ms else {
            self.next_renewal = cx.now + RETRY_INTERVAL;
            return Renewal::default();
        };
        self.next_renewal = cx.now + RENEWAL_INTERVAL;
        self.revision = cx.view.revision;
        let newest: HashMap<Name, u64> = cx.view.target_versions().into_iter().collect();
        let mut in_use = versions_in_use(servers);
        for (model, version) in &newest {
            in_use.entry(model.clone()).or_default().insert(*version);
        }
        let freed_before = self.freed.len();
        // A model that is rolled back to a freed version gets leases for it once no free can be carried out any more.
        self.freed.retain(|model, freed| {
            let rolled_back = newest.get(model).is_some_and(|newest| *newest < freed.below);
            !(rolled_back && clock_ms > freed.until_ms)
        });
        let rolled_back = self.freed.len() < freed_before;
        for (model, versions) in &mut in_use {
            let freed_below = self.freed.get(model).map_or(0, |freed| freed.below);
            versions.retain(|version| *version >= freed_below);
        }
        let mut leases = Vec::new();
        for (model, versions) in &in_use {
            for version in versions {
                let is_newest = newest.get(model) == Some(version);
                let left = if is_newest { NEWEST_LEASE } else { OLDER_LEASE };
                let until_ms = clock_ms.saturating_add(millis(left));
                let issued = self.issued.entry(model.clone()).or_default();
                let issued = issued.entry(*version).or_default();
                *issued = until_ms.max(*issued);
                leases.push(FetchLease {
                    model: model.clone(),
                    version: *version,
                    until_ms,
                    left_ms: millis(left) as u32,
                });
            }
        }
        // No store can free on behalf of a lease that has expired on the clocks of all stores.
        let oldest_clock_ms = self.clocks.values().map(|(clock_ms, _)| *clock_ms).min();
        for versions in self.issued.values_mut() {
            versions.retain(|_, until_ms| Some(*until_ms) >= oldest_clock_ms);
        }
        self.apply(cx.now, &leases);
        let changed = in_use.iter().filter(|(model, versions)| {
            self.leased.get(*model).is_none_or(|leased| leased != *versions)
        });
        let changed = changed.map(|(model, found)| (model.clone(), found.clone())).collect();
        let is_first = self.leased.is_empty() || rolled_back;
        self.leased = in_use;
        Renewal { leases, changed, clock_ms, is_first }
    }

    /// Applies leases that a leader issued. Each remains valid until its end, whoever leads then.
    pub fn apply(&mut self, now: Time, leases: &[FetchLease]) {
        for versions in self.leases.values_mut() {
            versions.retain(|_, lease| now < lease.ends);
        }
        self.leases.retain(|_, versions| !versions.is_empty());
        for lease in leases {
            let versions = self.leases.entry(lease.model.clone()).or_default();
            let ends = now + Duration::from_millis(u64::from(lease.left_ms));
            let found = Lease { until_ms: lease.until_ms, ends };
            let known = versions.entry(lease.version).or_insert(found);
            if lease.until_ms > known.until_ms {
                *known = found;
            }
        }
    }

    /// The lease for fetches and saves of a version, if it is valid.
    pub fn lease(&self, now: Time, model: &str, version: u64) -> Option<Lease> {
        let lease = self.leases.get(model)?.get(&version)?;
        (now < lease.ends).then_some(*lease)
    }

    /// As the leader: whether segments of a version may be freed on a store now. The version must be below the
    /// floor of its model.
    pub fn release(
        &self,
        now: Time,
        store: SocketAddr,
        model: &str,
        version: u64,
    ) -> Option<Release> {
        let clock_ms = self.store_clock_ms(store)?;
        let earlier_leases_expired = self.has_led_for(now, clock_ms, NEWEST_LEASE + CLOCK_MARGIN);
        let last_lease_end_ms = self.issued_until_ms(model, version);
        let until_ms = clock_ms.saturating_add(millis(FREE_EXPIRY));
        let is_free = earlier_leases_expired && clock_ms > last_lease_end_ms;
        is_free.then_some(Release { clock_ms, until_ms })
    }

    /// As the leader: segments of the versions below this one were freed, so none of them is leased any more. The frees
    /// expire at `until_ms` on the servers' clock.
    pub fn freed(&mut self, model: &Name, below: u64, until_ms: u64) {
        let freed = self.freed.entry(model.clone()).or_default();
        *freed = Freed { below: below.max(freed.below), until_ms: until_ms.max(freed.until_ms) };
    }
}

/// Leases issued by the leader.
#[derive(Debug, Default)]
pub(super) struct Renewal {
    pub leases: Vec<FetchLease>,
    /// The models whose leased versions have changed, with these versions.
    pub changed: Vec<(Name, BTreeSet<u64>)>,
    /// Estimate of the servers' clock.
    pub clock_ms: u64,
    /// Whether they are the first in this term, or the first after a model was rolled back to a freed version.
    pub is_first: bool,
}

/// The weight versions of each model that servers on the list may run on: a server reports one number for all its
/// models, while the list names one for each.
fn versions_in_use(servers: &Servers) -> BTreeMap<Name, BTreeSet<u64>> {
    let mut in_use: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
    for (_, server) in servers.iter() {
        for (model, version) in &server.listed.models {
            let versions = in_use.entry(model.clone()).or_default();
            versions.extend([*version, server.version].into_iter().filter(|found| *found > 0));
        }
    }
    in_use
}

/// The floor of each model; none for a model of which a server holds an unknown version.
pub(super) fn floors(cx: &Context<'_>, servers: &Servers) -> BTreeMap<Name, Floor> {
    let mut floors: BTreeMap<Name, Floor> = BTreeMap::new();
    for (_, server) in servers.iter() {
        for (model, listed) in &server.listed.models {
            let version = server.version.min(*listed);
            let holder = || server.listed.id.clone();
            let floor = floors.entry(model.clone()).or_insert_with(|| Floor {
                version,
                holder: holder(),
                holders: 0,
            });
            if version < floor.version {
                *floor = Floor { version, holder: holder(), holders: 0 };
            }
            floor.holders += usize::from(version == floor.version);
        }
    }
    for (model, newest) in cx.view.target_versions() {
        if let Some(floor) = floors.get_mut(&model).filter(|floor| newest < floor.version) {
            *floor = Floor { version: newest, holder: Name::default(), holders: 0 };
        }
    }
    floors.retain(|_, floor| floor.version > 0);
    floors
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
