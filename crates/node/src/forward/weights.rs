//! Weight versions: those that runs may begin on, the age of each, and the orders that bring servers to the
//! newest.

use base::prelude::*;
use fleet::rollout::Reply;
use fleet::{Key, Notice, Report, Server, Versions};

use super::{Change, Context, ControlCall, Forward};
use crate::decision::{Allowed, Decision};
use crate::{Effect, Effects};

/// Interval between messages with the ages of versions: a part of the time for which an older version may be
/// used.
const SEND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which due orders are sent.
const ORDER_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of permits owed after the request for a report.
const MAX_REPORT_DEBT: f64 = 1.0;
/// Maximum number of permits owed after the order that follows a report: waiting for the next permit would make
/// the report stale.
const MAX_ORDER_DEBT: f64 = 2.0;

impl Forward {
    pub(super) fn apply_report(
        &mut self,
        cx: &Context<'_>,
        id: &Name,
        (report, notice): (Report, Notice),
        out: &mut Effects,
    ) {
        let Some(key) = self.servers.last_key(id) else {
            return;
        };
        self.apply_notice(cx, key, &Name::default(), notice, out);
        self.limit_from_report(cx, key, notice.limit, out);
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let (from, Report { version, orders, .. }) = (server.version, report);
        if server.health.is_misdirected(cx.now) {
            self.loads.mark_changed(server.listed.addr);
        }
        server.apply_report(cx.now, report);
        if cx.term.is_some() && from != server.version {
            let note = Decision::VersionReported {
                server: server.listed.id.clone(),
                version,
                from,
                orders,
            };
            out.push(Effect::Decision(Box::new(note)));
        }
    }

    pub(super) fn change_answered(&mut self, now: Time, id: &Name, reply: Reply) {
        if let Some(key) = self.servers.key(id) {
            self.rollout.record_reply(now, key, reply);
        }
    }

    /// Records when each weight version came into force in this process.
    pub(super) fn record_weights(&mut self, cx: &Context<'_>, out: &mut Effects) {
        for (model, version) in cx.view.target_versions() {
            let versions = self.versions.entry(model.clone()).or_default();
            let from = versions.newest();
            if from != version {
                versions.set_newest(cx.now, version, self.config.old_weights_grace);
                out.push(Effect::Decision(Box::new(Decision::Weights { model, version, from })));
            }
        }
    }

    /// The weight versions that runs of a model may begin on now.
    pub(super) fn allowed(&self, now: Time, model: &Name) -> Allowed {
        let Some(versions) = self.versions.get(model) else {
            return Allowed::default();
        };
        Allowed {
            oldest: versions.oldest_allowed(now, self.config.old_weights_grace),
            newest: versions.newest(),
            newest_age: versions.newest_age(now),
        }
    }

    /// As the leader: the ages of the versions, if a message to the entries is due.
    pub fn take_version_ages(&mut self, cx: &Context<'_>) -> Vec<wire::VersionAges> {
        if cx.term.is_none() || cx.now < self.next_version_ages {
            return Vec::new();
        }
        self.next_version_ages = cx.now + SEND_INTERVAL;
        let version_ages = |(model, versions): (&Name, &Versions)| {
            let ages = versions.ages(cx.now);
            let ages = ages.map(|(version, age)| (version, age.as_millis() as u64)).collect();
            wire::VersionAges { model: model.clone(), ages }
        };
        self.versions.iter().map(version_ages).collect()
    }

    /// Applies the ages of versions that the leader sent.
    pub fn version_ages_advertised(&mut self, now: Time, models: &[wire::VersionAges]) {
        for advertised in models {
            let versions = self.versions.entry(advertised.model.clone()).or_default();
            for (version, age_ms) in &advertised.ages {
                versions.apply_age(now, *version, Duration::from_millis(*age_ms));
            }
        }
    }

    /// Sends the orders that are due, if this process is the leader and the lease of its predecessor has
    /// expired.
    pub(super) fn order_weights(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let Some(term) = cx.term else {
            self.leading_since = None;
            self.rollout.clear();
            return;
        };
        let since = match self.leading_since {
            Some((leading, since)) if leading == term => since,
            _ => cx.now,
        };
        self.leading_since = Some((term, since));
        if cx.now < self.next_orders || cx.now.since(since) < self.config.lease {
            return;
        }
        self.next_orders = cx.now + ORDER_INTERVAL;
        for key in self.rollout.in_progress().collect::<Vec<Key>>() {
            if self.may_call(cx.now, key, MAX_REPORT_DEBT)
                && let Some(server) = self.servers.get(key)
            {
                out.push(request_report(server));
            }
        }
        for (model, version) in cx.view.target_versions() {
            let oldest_allowed = self.allowed(cx.now, &model).oldest;
            let due =
                self.rollout.due_orders(cx.now, &self.servers, &model, version, oldest_allowed);
            for key in due.poll {
                let due = self.servers.get_mut(key).is_some_and(|server| server.try_poll(cx.now));
                if due
                    && self.may_call(cx.now, key, MAX_REPORT_DEBT)
                    && let Some(server) = self.servers.get(key)
                {
                    out.push(request_report(server));
                }
            }
            for order in due.orders {
                if !self.may_call(cx.now, order.server, MAX_ORDER_DEBT) {
                    self.rollout.record_reply(cx.now, order.server, Reply::Failed);
                    continue;
                }
                let Some(server) = self.servers.get(order.server) else { continue };
                let change = Change {
                    id: server.listed.id.clone(),
                    addr: server.listed.addr,
                    model: order.model,
                    version: order.version,
                    token: term,
                    orders_before: order.orders_before,
                };
                let note = Decision::Ordered { change: change.clone(), from: server.version };
                out.push(Effect::Decision(Box::new(note)));
                out.push(Effect::Call(ControlCall::Change(Box::new(change))));
            }
        }
    }
}

/// The call that requests the report of a server.
pub(super) fn request_report(server: &Server) -> Effect {
    let (id, addr) = (server.listed.id.clone(), server.listed.addr);
    Effect::Call(ControlCall::Report { id, addr })
}
