//! Selects the servers to order to a newer weight version.
//!
//! A version may be announced while the servers are full of runs that take seconds. Each server finishes its runs
//! before it loads, so only a part of the servers changes at a time and new runs go to the others. A newer version may
//! be announced before the previous one is on all servers: a server that is changing keeps its slot until it is done,
//! and one on whose weights no run may start any more is ordered immediately, since it gets no new runs.
//!
//! Only the keepers' leader gives orders, and only once its predecessor can no longer act, so each server receives
//! orders from one process at a time. Orders may be lost, delayed or duplicated. Their effect shows in the server's
//! reports, and an order whose effect doesn't show is repeated.

use std::collections::HashMap;

use base::prelude::*;

use crate::{Key, Report, Server, Servers};

/// One in this many of a model's servers changes at a time. With more, too few would be left for new runs; with fewer,
/// the rollout would take too long, since each server waits for runs of seconds.
const CHANGING_DIVISOR: usize = 2;
/// Time after which an order without a visible effect is repeated if the server sends no report: longer than an order
/// may wait for runs to end.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which an order that was rejected or not answered is repeated.
const FAILED_RETRY: Duration = Duration::from_millis(400);
/// Time after which an accepted order shows in reports, which are some hundred milliseconds old.
const REPORT_LAG: Duration = Duration::from_millis(800);

/// An order to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Key,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Number of orders that it must have accepted before, so that an order that arrives late has no effect.
    pub orders_before: u64,
}

/// Actions that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Orders to send.
    pub orders: Vec<Order>,
    /// Servers to query for a report first.
    pub poll: Vec<Key>,
}

/// Reply of a server to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It carries out the order, or already holds that version.
    Accepted,
    /// It is carrying out another order, or has accepted another number of orders than expected.
    Conflict,
    /// It rejected the order for another reason, or did not answer; an unanswered order may still be carried out.
    Failed,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    version: u64,
    orders_before: u64,
    sent_at: Time,
    retry_at: Time,
    reply: Reply,
}

impl SentOrder {
    /// Whether the server has finished the order or never accepted it, so that nothing is left to wait for.
    fn is_finished(&self, server: &Server) -> bool {
        if server.version >= self.version {
            return true;
        }
        let finished = |report: Report| !report.busy && report.orders > self.orders_before;
        let reported =
            server.report_since(self.sent_at + REPORT_LAG).is_some_and(|report| !report.busy);
        reported || server.report_since(self.sent_at).is_some_and(finished)
    }

    /// Whether the server may be carrying it out. After a failed reply this holds if the server has reported since,
    /// as it may have received the order.
    fn occupies_slot(&self, now: Time, server: &Server) -> bool {
        match self.reply {
            Reply::Accepted | Reply::Conflict => now < self.sent_at + ORDER_TIMEOUT,
            Reply::Failed => server.report_since(self.sent_at).is_some(),
        }
    }
}

/// A server with an older version.
struct OutdatedServer<'a> {
    key: Key,
    report: Option<Report>,
    /// Whether runs may still start there.
    serves: bool,
    silent: bool,
    runs: u32,
    sent: Option<&'a SentOrder>,
    /// Whether it counts as changing.
    changing: bool,
}

/// Orders in progress.
#[derive(Debug, Default)]
pub struct Rollout {
    sent: HashMap<Key, SentOrder>,
}

impl Rollout {
    /// The orders that are due to bring a model's servers to `version`. No run may start on versions below
    /// `oldest_allowed`.
    pub fn due_orders(
        &mut self,
        now: Time,
        servers: &Servers,
        model: &Name,
        version: u64,
        oldest_allowed: u64,
    ) -> Due {
        self.sent
            .retain(|key, sent| servers.get(*key).is_some_and(|found| !sent.is_finished(found)));
        let mut outdated: Vec<OutdatedServer<'_>> = Vec::new();
        let mut all = 0;
        for (key, server) in servers.iter() {
            if !server.listed.holds(model) || server.is_leaving() {
                continue;
            }
            all += 1;
            if server.version < version {
                let sent = self.sent.get(&key);
                let report = server.report(now);
                outdated.push(OutdatedServer {
                    key,
                    report,
                    serves: server.version >= oldest_allowed,
                    silent: server.is_silent(now),
                    runs: server.runs(now),
                    sent,
                    changing: report.is_some_and(|report| report.busy)
                        || sent.is_some_and(|sent| sent.occupies_slot(now, server)),
                });
            }
        }
        let busy = outdated.iter().filter(|server| server.changing).count();
        let mut free_slots = (all / CHANGING_DIVISOR).max(1).saturating_sub(busy);
        // Servers with the fewest runs finish first; one that does not report can't be ordered.
        outdated
            .sort_unstable_by_key(|server| (server.serves, server.silent, server.runs, server.key));
        let mut due = Due::default();
        for OutdatedServer { key, report, serves, sent, changing, .. } in outdated {
            if sent.is_some_and(|sent| now < sent.retry_at) {
                continue;
            }
            if !changing {
                if serves && free_slots == 0 {
                    continue;
                }
                free_slots = free_slots.saturating_sub(1);
            }
            match report.filter(|report| !report.busy) {
                Some(Report { orders: orders_before, .. }) => {
                    due.orders.push(Order {
                        server: key,
                        model: model.clone(),
                        version,
                        orders_before,
                    });
                }
                None => due.poll.push(key),
            }
        }
        for order in &due.orders {
            let (orders_before, retry_at) = (order.orders_before, now + ORDER_TIMEOUT);
            let sent = SentOrder {
                version,
                orders_before,
                sent_at: now,
                retry_at,
                reply: Reply::Accepted,
            };
            self.sent.insert(order.server, sent);
        }
        due
    }

    /// Servers that were ordered and do not report the version yet.
    pub fn in_progress(&self) -> impl Iterator<Item = Key> {
        let in_progress = self.sent.iter().filter(|(_, sent)| sent.reply != Reply::Failed);
        in_progress.map(|(key, _)| *key)
    }

    /// Records the reply of a server to an order.
    pub fn record_reply(&mut self, now: Time, server: Key, reply: Reply) {
        if let Some(sent) = self.sent.get_mut(&server) {
            sent.reply = reply;
            if reply != Reply::Accepted {
                sent.retry_at = now + FAILED_RETRY;
            }
        }
    }

    /// Forgets all orders, since another process now gives them.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}
