//! Cold servers: which requests to them fail, what processes tell each other about it, and the log lines.
//!
//! [`fleet::Cold`] decides whether a server is cold. Entries report failures to reach a server and the first responses
//! after them to the leader, which combines them and advertises them with the rate limits. A server that the leader no
//! longer names as unreachable has been shown to be warm.

use base::prelude::*;
use fleet::{Key, Limit, Listed};
use wire::Frame;
use wire::limit::{Limits as Advertised, Notice, Observed, ServerIncarnation};

use super::{Context, Failure, Forward};
use crate::decision::Decision;
use crate::{Effect, Effects};

impl Forward {
    /// Applies the cold rates of a changed configuration.
    pub(super) fn update_cold_rates(&mut self, cx: &Context<'_>) {
        if self.cold_rates_from == Some(cx.view.revision) {
            return;
        }
        self.cold_rates_from = Some(cx.view.revision);
        let rates = cx.view.services().filter_map(|(name, service)| {
            Some((name.clone(), Limit::new(service.cold?.per_second)?))
        });
        self.servers.set_cold_rates(rates.collect());
    }

    /// An attempt ended without any response of its server, which may be cold when it returns.
    pub(super) fn server_unreachable(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        failure: Failure,
        out: &mut Effects,
    ) {
        let placement = self.runs.get(&call).and_then(|run| run.placement);
        let placement = placement.filter(|placement| placement.head_at.is_none());
        let Some(placement) = placement.filter(|_| failure != Failure::Aborted) else {
            return;
        };
        let Some((listed, health)) = self.servers.health_mut(placement.server) else {
            return;
        };
        if health.cold.record_failure(cx.now) {
            let observed = observed(listed, Notice::Unreachable);
            self.report_cold(cx, vec![observed], out);
        }
    }

    /// A server responded to a request sent at `sent`.
    pub(super) fn server_reachable(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        sent: Time,
        out: &mut Effects,
    ) {
        let Some((listed, health)) = self.servers.health_mut(key) else {
            return;
        };
        let was_unreachable = health.cold.is_unreachable();
        let is_news = health.cold.record_response(cx.now, sent);
        if was_unreachable && !health.cold.is_unreachable() {
            // The denial was at the rate of probes.
            health.denied_until = Time::ZERO;
        }
        if is_news {
            let observed = observed(listed, Notice::Reachable);
            self.report_cold(cx, vec![observed], out);
        }
    }

    /// Removes the servers that the leader does not name as unreachable any more; reports those that it has missed.
    pub(super) fn follow_unreachable(
        &mut self,
        cx: &Context<'_>,
        advertised: &Advertised,
        out: &mut Effects,
    ) {
        if !self.servers.has_cold_rates() {
            return;
        }
        let named = |observed: &&Observed| observed.notice == Notice::Unreachable;
        let named = advertised.notices.iter().filter(named);
        let named: Vec<Key> = named
            .filter_map(|found| self.servers.incarnation_key(&found.server.id, found.server.born))
            .collect();
        let mut missed = Vec::new();
        for (key, server) in self.servers.iter_mut() {
            if !named.contains(&key) && server.health.cold.unnamed_by_leader(cx.now) {
                let failed_at = server.health.cold.unreachable().map(|found| found.failed_at);
                let ago = cx.now.since(failed_at.unwrap_or(cx.now));
                let observed = observed(&server.listed, Notice::Unreachable);
                missed.push(Observed { ago_us: ago.as_micros() as u64, ..observed });
            }
        }
        if !missed.is_empty() {
            self.report_cold(cx, missed, out);
        }
    }

    fn report_cold(&self, cx: &Context<'_>, observed: Vec<Observed>, out: &mut Effects) {
        if let Some(issuer) = self.limits.reachable().filter(|_| cx.term.is_none()) {
            let to = issuer.name.clone();
            out.push(Effect::Send { to, frame: Frame::LimitsObserved(observed) });
        }
    }

    /// Logs servers that have become cold or are no longer; the leader advertises them at once.
    pub(super) fn record_cold(&mut self, cx: &Context<'_>, out: &mut Effects) {
        if !self.servers.has_cold_rates() {
            return;
        }
        for (_, server) in self.servers.iter_mut() {
            let cold = &mut server.health.cold;
            if !cold.take_change(cx.now) {
                continue;
            }
            self.limits.changed = true;
            out.push(Effect::Decision(Box::new(Decision::Cold {
                server: server.listed.id.clone(),
                source: cold.source(cx.now),
                left: cold.reported_left(cx.now).unwrap_or_default(),
                limit: cold.rate(cx.now),
                calls: server.calls,
            })));
        }
    }
}

fn observed(listed: &Listed, notice: Notice) -> Observed {
    let server = ServerIncarnation { id: listed.id.clone(), born: listed.born };
    Observed { server, notice, ago_us: 0 }
}
