//! What a process with forwarded requests tells the other entries, hears of keepers, and notes.

use base::prelude::*;
use wire::Frame;

use super::Node;
use crate::decision::Decision;
use crate::forward::{self, Forward};
use crate::{Effect, Effects, Entry, Keeper};

/// Time between two ticks from which a process is said to have stood still; ticks come every 10 ms.
const STALLED: Duration = Duration::from_millis(500);
/// Time without a leader from which a keeper says so, and between two lines on it: an election ends well
/// within it.
const LEADERLESS: Duration = Duration::from_secs(3);

impl Node {
    /// Term in which this process leads the keepers, if its lease holds.
    pub(super) fn term(&self, now: Time) -> Option<u64> {
        let quorum = self.keeper.as_ref().map(Keeper::quorum);
        quorum.filter(|quorum| quorum.lease_holds(now)).map(quorum::Replica::term)
    }

    pub(super) fn with_forward(
        &mut self,
        now: Time,
        run: impl FnOnce(&mut Forward, &forward::Context<'_>),
    ) {
        let term = self.term(now);
        if let Some(forward) = &mut self.forward {
            let cx = forward::Context {
                now,
                view: &self.watch.view,
                ready: self.watch.ready(now),
                confirmed_ago: self.watch.confirmed_ago(now),
                closing: self
                    .stopping
                    .is_some_and(|at| now.since(at) >= forward.config().drain_delay),
                entries: self.entry.as_ref().map_or(1, Entry::entries),
                entry_index: self.entry.as_ref().map_or(0, Entry::index),
                term,
            };
            run(forward, &cx);
        }
    }

    /// A keeper sends changes from then on; another process only what it has now.
    pub(super) fn watched(&mut self, peer: &Name, revision: Revision, out: &mut Effects) {
        if let Some(keeper) = &mut self.keeper {
            keeper.watch(peer, revision, out);
        } else if self.watch.view.revision > revision {
            let records = self.watch.view.records().cloned().collect();
            let frame = Frame::Records { revision: self.watch.view.revision, records };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Tells the entries what this process read: the stores, and the list of servers.
    pub(super) fn tell_read(&mut self, out: &mut Effects) {
        let Some(forward) = &mut self.forward else {
            return;
        };
        let stock = forward.take_inventory_delta().map(Frame::Inventory);
        let list = forward.take_list_update().map(Frame::List);
        for frame in stock.into_iter().chain(list) {
            self.tell_entries(&frame, out);
        }
    }

    /// A peer told something of servers without an agent, or asks for or gives a permit for one.
    pub(super) fn entries_told(&mut self, now: Time, peer: &Name, frame: Frame, out: &mut Effects) {
        let mut reply = None;
        self.with_forward(now, |forward, cx| match frame {
            Frame::List(list) => forward.list_advertised(now, list, out),
            Frame::Loads(shares) => forward.apply_loads(now, peer, &shares),
            Frame::LoadTotals(sums) => forward.apply_load_totals(now, &sums),
            Frame::VersionAges(told) => forward.version_ages_advertised(now, &told),
            Frame::LimitsObserved(heard) => forward.limits_observed(cx, peer, &heard, out),
            Frame::Limits(told) => forward.limits_advertised(cx, peer, &told, out),
            Frame::PermitRequest(ask) => reply = forward.permit_requested(cx, &ask),
            Frame::Permit(reply) => forward.permit_answered(cx, &reply, out),
            _ => {}
        });
        if let Some(reply) = reply {
            out.push(Effect::Send { to: peer.clone(), frame: Frame::Permit(reply) });
        }
    }

    fn tell_entries(&self, frame: &Frame, out: &mut Effects) {
        let me = &self.me.hello.name;
        for hello in self.peers.values().filter(|hello| hello.entry && hello.name != *me) {
            out.push(Effect::Send { to: hello.name.clone(), frame: frame.clone() });
        }
    }

    /// Notes what has changed in what this process believes.
    pub(super) fn note(&mut self, now: Time, out: &mut Effects) {
        if self.forward.is_none() {
            return;
        }
        let time = now.since(std::mem::replace(&mut self.last_tick, now));
        if time >= STALLED {
            out.push(Effect::Decision(Box::new(Decision::Stalled { time })));
        }
        let leads = self.term(now);
        if leads != self.leads {
            self.leads = leads;
            let voters = self.keeper.as_ref().map(|keeper| keeper.quorum().last_contacts(now));
            let voters = voters.unwrap_or_default();
            out.push(Effect::Decision(Box::new(Decision::Leadership { term: leads, voters })));
        }
        self.note_leaderless(now, out);
        let view = &self.watch.view;
        let in_force = (view.revision, self.watch.ready(now));
        if in_force != self.noted {
            self.noted = in_force;
            let (revision, ready) = in_force;
            let routes = view.table().iter().count();
            out.push(Effect::Decision(Box::new(Decision::InForce { revision, routes, ready })));
        }
    }

    fn note_leaderless(&mut self, now: Time, out: &mut Effects) {
        let quorum = self.keeper.as_ref().map(Keeper::quorum);
        let Some(quorum) = quorum.filter(|quorum| quorum.leader().is_none()) else {
            self.leaderless = None;
            return;
        };
        let (since, due) = self.leaderless.get_or_insert((now, now + LEADERLESS));
        if now < *due {
            return;
        }
        *due = now + LEADERLESS;
        let others = quorum.config().voters.iter().filter(|voter| *voter != quorum.me());
        let voters = others
            .map(|voter| (voter.name.clone(), self.peers.contains_key(&voter.name)))
            .collect();
        let note = Decision::Leaderless { time: now.since(*since), term: quorum.term(), voters };
        out.push(Effect::Decision(Box::new(note)));
    }

    /// Tells the leader what this entry has at the servers, and as the leader tells the sums and
    /// the ages of weight versions.
    pub(super) fn send_loads(&mut self, now: Time, out: &mut Effects) {
        let me = self.me.hello.name.clone();
        let mut sums = Vec::new();
        let mut ages = Vec::new();
        let mut limits = None;
        let mut leads = false;
        self.with_forward(now, |forward, cx| {
            leads = cx.term.is_some();
            sums = forward.take_load_totals(cx);
            ages = forward.take_version_ages(cx);
            limits = forward.take_limits(cx);
        });
        if let Some(limits) = limits {
            self.tell_entries(&Frame::Limits(limits), out);
        }
        if !ages.is_empty() {
            self.tell_entries(&Frame::VersionAges(ages), out);
        }
        let Some(forward) = &mut self.forward else {
            return;
        };
        let shares = forward.take_loads(now);
        if leads {
            forward.apply_loads(now, &me, &shares);
            forward.apply_load_totals(now, &sums);
        } else if let Some(reader) = self.reader.as_ref().filter(|_| !shares.is_empty()) {
            out.push(Effect::Send { to: reader.clone(), frame: Frame::Loads(shares) });
        }
        if sums.is_empty() {
            return;
        }
        self.tell_entries(&Frame::LoadTotals(sums), out);
    }
}
