//! The requests for one service that wait in an entry node.
//!
//! A [`Queue`] orders them by class and is fair between workspaces. Each has a latest useful start. A
//! class whose share of served requests falls below a part of that of the more urgent classes goes first
//! and needs to leave no room for them, so that no class starves in a lasting burst.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use base::{Name, Time};

use crate::{Item, Queue};

/// How long a class counts as in use after its last request.
const ACTIVE: Duration = Duration::from_secs(3);
/// Time constant of the counts of requests and releases: the length of a short burst.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Share of served requests, as a part of that of the more urgent classes, below which a class starves.
/// Callers that return count again, so the share of distinct requests is higher.
const MIN_SHARE: f64 = 0.25;
/// Number of requests of a class, within the time constant, below which its share is not known.
const MIN_REQUESTS: f64 = 2.0;
/// Minimum time between two evaluations of a class whose head could not go; on average one exchange of
/// loads.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A count that decays with [`COUNT_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    at: Time,
}

impl Count {
    fn get(&self, now: Time) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / COUNT_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time) {
        *self = Self { value: self.get(now) + 1.0, at: now };
    }
}

/// A class of requests; lower classes are more urgent.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    target: Duration,
    last_arrival: Time,
    arrived: Count,
    sent: Count,
    /// When its head is evaluated next.
    next_try: Time,
}

impl Class {
    fn share(&self, now: Time) -> Option<f64> {
        let arrived = self.arrived.get(now);
        (arrived >= MIN_REQUESTS).then(|| self.sent.get(now) / arrived)
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Identifies the request for the caller.
    pub number: u64,
    /// Workspace.
    pub workspace: Name,
    /// Class; lower classes are more urgent.
    pub class: u8,
    /// Cost, in any unit that all requests share.
    pub cost: f64,
    /// Weight of the workspace.
    pub share: f64,
    /// Latest useful start.
    pub latest: Time,
}

/// The waiting requests of one service.
#[derive(Debug)]
pub struct WaitList {
    queue: Queue,
    waiting: HashMap<u64, (u8, Time)>,
    expiries: BTreeSet<(Time, u64)>,
    classes: BTreeMap<u8, Class>,
}

const fn queue_class(class: u8) -> u8 {
    u8::MAX - class
}

impl WaitList {
    /// A list of at most `max_len` requests.
    pub fn new(max_len: usize) -> Self {
        Self {
            queue: Queue::new(max_len),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            classes: BTreeMap::new(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Counts a request that has arrived, with its target.
    pub fn arrived(&mut self, now: Time, class: u8, target: Duration) {
        let found = self.classes.entry(class).or_default();
        let expired = found.target.is_zero() || now.since(found.last_arrival) >= ACTIVE;
        found.target = if expired { target } else { found.target.min(target) };
        found.last_arrival = now;
        found.arrived.add(now);
    }

    /// Counts a request that was sent, whether it waited or not.
    pub fn sent(&mut self, now: Time, class: u8) {
        self.classes.entry(class).or_default().sent.add(now);
    }

    /// The smallest target among more urgent classes in use, if a request of this class must leave room for
    /// them.
    pub fn urgent_target(&self, now: Time, class: u8) -> Option<Duration> {
        if self.starves(now, class) {
            return None;
        }
        let urgent = self.classes.range(..class).map(|(_, found)| found);
        urgent
            .filter(|found| now.since(found.last_arrival) < ACTIVE)
            .map(|found| found.target)
            .min()
    }

    /// Whether a class is served much less than the more urgent ones.
    fn starves(&self, now: Time, class: u8) -> bool {
        let Some(own) = self.classes.get(&class).and_then(|found| found.share(now)) else {
            return false;
        };
        let urgent = self.classes.range(..class).filter_map(|(_, found)| found.share(now));
        urgent.fold(0.0, f64::max) * MIN_SHARE > own
    }

    /// Requests that arrived for each one that was sent, lately.
    pub fn excess(&self, now: Time, class: u8) -> f64 {
        self.classes
            .get(&class)
            .map_or(1.0, |found| found.arrived.get(now) / found.sent.get(now).max(1.0))
    }

    /// Whether a request of this class must go behind others that wait.
    pub fn has_ahead(&self, now: Time, class: u8) -> bool {
        let first = if self.starves(now, class) { class } else { 0 };
        self.waiting.values().any(|(found, _)| (first..=class).contains(found))
    }

    /// Estimated time until a new request could go, at the rate at which requests of its class and more urgent
    /// ones were sent lately; none if none were.
    pub fn expected_wait(
        &self,
        now: Time,
        (workspace, class, share): (&Name, u8, f64),
    ) -> Option<Duration> {
        let ahead = self.queue.queued_before(workspace, queue_class(class), share);
        let sent: f64 = self.classes.range(..=class).map(|(_, found)| found.sent.get(now)).sum();
        let per_second = sent / COUNT_TIME.as_secs_f64();
        (sent >= 1.0).then(|| Duration::from_secs_f64(ahead as f64 / per_second))
    }

    /// Adds a request. If the list is full, returns the number of the request that is dropped, which may be
    /// the new one.
    pub fn push(&mut self, waiter: Waiter) -> Option<u64> {
        let Waiter { number, workspace, class, cost, share, latest } = waiter;
        let dropped =
            self.queue.push(Item { number, workspace, class: queue_class(class), cost, share });
        self.waiting.insert(number, (class, latest));
        self.expiries.insert((latest, number));
        if let Some(dropped) = dropped {
            self.forget(dropped);
        }
        dropped
    }

    /// The classes whose heads may be evaluated now, in order of service: starving classes first.
    pub fn classes_due(&self, now: Time) -> Vec<u8> {
        let waiting: BTreeSet<u8> = self.waiting.values().map(|(class, _)| *class).collect();
        let is_due = |class: &u8| self.classes.get(class).is_none_or(|found| found.next_try <= now);
        let mut due: Vec<u8> = waiting.into_iter().filter(is_due).collect();
        due.sort_by_key(|class| (!self.starves(now, *class), *class));
        due
    }

    /// The request of a class that goes next.
    pub fn head(&self, class: u8) -> Option<u64> {
        let heads = self.queue.heads();
        heads.into_iter().find(|found| self.waiting.get(found).is_some_and(|(of, _)| *of == class))
    }

    /// Sets when a class is evaluated again, after its head could not go or a request of it was released.
    /// `point`, from 0 to 1, spreads the evaluations of several nodes, which learn of a change together.
    pub fn defer(&mut self, now: Time, class: u8, point: f64) {
        let found = self.classes.entry(class).or_default();
        found.next_try = now + RETRY_INTERVAL.mul_f64(0.5 + point);
    }

    /// Has all classes evaluated next time, since a server may have become free.
    pub fn wake(&mut self) {
        for found in self.classes.values_mut() {
            found.next_try = Time::ZERO;
        }
    }

    /// Removes a request that is sent now.
    pub fn take(&mut self, number: u64) -> bool {
        self.forget(number);
        self.queue.take(number).is_some()
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, number: u64) -> bool {
        self.forget(number);
        self.queue.remove(number).is_some()
    }

    fn forget(&mut self, number: u64) {
        if let Some((_, latest)) = self.waiting.remove(&number) {
            self.expiries.remove(&(latest, number));
        }
    }

    /// The requests whose latest useful start has passed.
    pub fn expired(&self, now: Time) -> Vec<u64> {
        self.expiries.iter().take_while(|(at, _)| *at <= now).map(|(_, found)| *found).collect()
    }
}
