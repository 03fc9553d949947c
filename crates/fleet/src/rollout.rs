//! Which servers to order to a newer weight version.
//!
//! Answers the pattern in which a version is named while servers are full of runs of seconds: each
//! server finishes its runs before it loads, so a part of them changes at once, and new runs go to
//! the others meanwhile. A newer version may be named before the one before is everywhere: a server
//! that is changing keeps its place until it is through, and one whose weights no run may begin on any
//! more is ordered at once, since it serves nobody.
//!
//! Only the leader among the keepers orders, and only once its predecessor can no longer act, so each
//! server has one holder at a time. Orders may be lost, late or doubled. What became of one shows in
//! the server's reports: it is given again when they do not show it.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Key, Report, Server, Servers};

/// Part of a model's servers that change at once. More would leave too few for new runs, and fewer
/// would not be through in time, since each waits for runs of seconds.
const SHARE: usize = 2;
/// Time after which an order without an effect is given again, if the server does not report:
/// longer than an order may wait for runs to end.
const AGAIN: Duration = Duration::from_secs(4);
/// Time after which an order that was refused or not answered is given again.
const FAILED_AGAIN: Duration = Duration::from_millis(400);
/// Time after which an order that was taken shows in reports, which are some hundred milliseconds old.
const SHOWN: Duration = Duration::from_millis(800);

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Key,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Orders that it must have taken before: one that is carried out late changes nothing.
    pub orders_before: u64,
}

/// What is due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Orders to give.
    pub orders: Vec<Order>,
    /// Servers to ask for a report first.
    pub poll: Vec<Key>,
}

/// How a server answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It carries the order out, or holds that version already.
    Accepted,
    /// It carries out another order, or has taken another number of orders than expected.
    Conflict,
    /// It refused otherwise, or did not answer; an order that was not answered may be carried out later.
    Failed,
}

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    version: u64,
    after: u64,
    at: Time,
    again: Time,
    reply: Reply,
}

impl Given {
    /// Whether the server is through with it, or never took it: nothing is to be waited for.
    fn is_over(&self, server: &Server) -> bool {
        if server.version >= self.version {
            return true;
        }
        let through = |report: Report| !report.busy && report.orders > self.after;
        let shown = server.report_since(self.at + SHOWN).is_some_and(|report| !report.busy);
        shown || server.report_since(self.at).is_some_and(through)
    }

    /// Whether the server may be carrying it out. One that reports but did not answer is there.
    fn holds_place(&self, now: Time, server: &Server) -> bool {
        match self.reply {
            Reply::Accepted | Reply::Conflict => now < self.at + AGAIN,
            Reply::Failed => server.report_since(self.at).is_some(),
        }
    }
}

/// A server on older weights.
struct Old<'a> {
    key: Key,
    report: Option<Report>,
    /// Whether runs may still begin there.
    serves: bool,
    silent: bool,
    runs: u32,
    given: Option<&'a Given>,
    /// Whether it holds a place.
    changes: bool,
}

/// Orders under way.
#[derive(Debug, Default)]
pub struct Rollout {
    given: HashMap<Key, Given>,
}

impl Rollout {
    /// The orders that are due to bring a model's servers to a version. No run may begin on versions
    /// below `least`.
    pub fn due(
        &mut self,
        now: Time,
        servers: &Servers,
        model: &Name,
        version: u64,
        least: u64,
    ) -> Due {
        self.given
            .retain(|key, given| servers.get(*key).is_some_and(|found| !given.is_over(found)));
        let mut old: Vec<Old<'_>> = Vec::new();
        let mut all = 0;
        for (key, server) in servers.iter() {
            if !server.listed.holds(model) || server.is_leaving() {
                continue;
            }
            all += 1;
            if server.version < version {
                let given = self.given.get(&key);
                let report = server.report(now);
                old.push(Old {
                    key,
                    report,
                    serves: server.version >= least,
                    silent: server.is_silent(now),
                    runs: server.runs(now),
                    given,
                    changes: report.is_some_and(|report| report.busy)
                        || given.is_some_and(|given| given.holds_place(now, server)),
                });
            }
        }
        let busy = old.iter().filter(|server| server.changes).count();
        let mut room = (all / SHARE).max(1).saturating_sub(busy);
        // Those with the fewest runs are through first; one that does not report cannot be ordered.
        old.sort_unstable_by_key(|server| (server.serves, server.silent, server.runs, server.key));
        let mut due = Due::default();
        for Old { key, report, serves, given, changes, .. } in old {
            if given.is_some_and(|given| now < given.again) {
                continue;
            }
            if !changes {
                if serves && room == 0 {
                    continue;
                }
                room = room.saturating_sub(1);
            }
            match report.filter(|report| !report.busy) {
                Some(Report { orders: after, .. }) => {
                    due.orders.push(Order {
                        server: key,
                        model: model.clone(),
                        version,
                        orders_before: after,
                    });
                }
                None => due.poll.push(key),
            }
        }
        for order in &due.orders {
            let (after, again) = (order.orders_before, now + AGAIN);
            let given = Given { version, after, at: now, again, reply: Reply::Accepted };
            self.given.insert(order.server, given);
        }
        due
    }

    /// Servers that were ordered and have not shown the version yet.
    pub fn in_progress(&self) -> impl Iterator<Item = Key> {
        let in_progress = self.given.iter().filter(|(_, given)| given.reply != Reply::Failed);
        in_progress.map(|(key, _)| *key)
    }

    /// A server answered an order, or did not.
    pub fn record_reply(&mut self, now: Time, server: Key, reply: Reply) {
        if let Some(given) = self.given.get_mut(&server) {
            given.reply = reply;
            if reply != Reply::Accepted {
                given.again = now + FAILED_AGAIN;
            }
        }
    }

    /// Forgets all orders, since another process gives them.
    pub fn clear(&mut self) {
        self.given.clear();
    }
}
