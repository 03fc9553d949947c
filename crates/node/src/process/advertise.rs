//! What a process that forwards requests exchanges with other entries and keepers, and what it logs.

use base::prelude::*;
use record::Kind;
use wire::Frame;

use super::Node;
use crate::decision::Decision;
use crate::forward::{self, Forward};
use crate::{Effect, Effects, Entry, Keeper};

/// Time between two ticks from which the process counts as stalled; ticks come every 10 ms.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time without a leader after which a keeper logs it, and interval between these log lines. Longer than an
/// election takes.
const LEADERLESS_LOG_INTERVAL: Duration = Duration::from_secs(3);

impl Node {
    /// The term in which this process leads the keepers, if it holds the lease.
    pub(super) fn leader_term(&self, now: Time) -> Option<u64> {
        let replica = self.keeper.as_ref().map(Keeper::replica);
        replica.filter(|replica| replica.lease_holds(now)).map(quorum::Replica::term)
    }

    pub(super) fn with_forward(
        &mut self,
        now: Time,
        run: impl FnOnce(&mut Forward, &forward::Context<'_>),
    ) {
        let term = self.leader_term(now);
        if let Some(forward) = &mut self.forward {
            let cx = forward::Context {
                now,
                view: &self.watch.view,
                ready: self.watch.ready(now),
                confirmed_ago: self.watch.confirmed_ago(now),
                drain_delay_elapsed: self
                    .stopping
                    .is_some_and(|at| now.since(at) >= forward.config().drain_delay),
                entries: self.entry.as_ref().map_or(1, Entry::entries),
                entry_index: self.entry.as_ref().map_or(0, Entry::index),
                keepers: self.known_keepers,
                term,
                process: &self.local.hello.name,
            };
            run(forward, &cx);
        }
    }

    /// A peer requests changes: a keeper sends them from now on, any other process only its current records.
    pub(super) fn handle_watch(&mut self, peer: &Name, revision: Revision, out: &mut Effects) {
        if let Some(keeper) = &mut self.keeper {
            keeper.watch(peer, revision, out);
        } else if self.watch.view.revision > revision {
            let records = self.watch.view.records().cloned().collect();
            let frame = Frame::Records { revision: self.watch.view.revision, records };
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Advertises to the entries what this process has read: the contents of the stores and the server list.
    pub(super) fn advertise_inventory_and_list(&mut self, now: Time, out: &mut Effects) {
        let Some(forward) = &mut self.forward else {
            return;
        };
        let inventory = forward.take_inventory_delta(now).map(Frame::Inventory);
        let list = forward.take_list_update().map(Frame::List);
        for frame in inventory.into_iter().chain(list) {
            self.send_to_entries(&frame, out);
        }
    }

    /// Sends what this process knows as the leader to an entry that has connected; if its lease has lapsed or its reads
    /// have not begun, once it leads in this term.
    pub(super) fn inform_connected(&mut self, now: Time, entry: &Name, out: &mut Effects) {
        self.uninformed.remove(entry);
        let Some(forward) = &self.forward else {
            return;
        };
        let leading = self.leader_term(now);
        let term = self.keeper.as_ref().map(|keeper| keeper.replica().term());
        let has_led = term.is_some_and(|term| forward.has_led_in(term));
        let Some(term) = leading.filter(|_| has_led) else {
            if let Some(term) = term.filter(|_| has_led || leading.is_some()) {
                self.uninformed.insert(entry.clone(), term);
            }
            return;
        };
        let limits = Frame::Limits(forward.limits_in_force(now, term));
        let evidence = Frame::Evidence(forward.evidence(now));
        for frame in [Frame::Inventory(forward.inventory()), limits, evidence] {
            out.push(Effect::Send { to: entry.clone(), frame });
        }
    }

    /// As the leader: informs the entries that connected while the lease had lapsed, before they get leases for fetches.
    fn inform_uninformed(&mut self, now: Time, out: &mut Effects) {
        let Some(leading) = self.leader_term(now) else {
            return;
        };
        for (entry, term) in std::mem::take(&mut self.uninformed) {
            if term == leading {
                self.inform_connected(now, &entry, out);
            }
        }
    }

    /// Handles a frame about servers without an agent: their state, or a permit for one.
    pub(super) fn handle_server_frame(
        &mut self,
        now: Time,
        peer: &Name,
        frame: Frame,
        out: &mut Effects,
    ) {
        let mut reply = None;
        self.with_forward(now, |forward, cx| match frame {
            Frame::List(list) => forward.list_advertised(now, list, out),
            Frame::Loads(loads) => forward.apply_loads(now, peer, &loads),
            Frame::LoadTotals(totals) => forward.apply_load_totals(now, &totals),
            Frame::VersionAges(update) => forward.version_ages_advertised(now, &update),
            Frame::FetchLeases(leases) => forward.fetch_leases_advertised(now, &leases),
            Frame::LimitsObserved(observed) => forward.limits_observed(cx, peer, &observed, out),
            Frame::Limits(update) => forward.limits_advertised(cx, peer, &update, out),
            Frame::PermitRequest(request) => reply = forward.permit_requested(cx, &request),
            Frame::Permit(reply) => forward.permit_answered(cx, &reply, out),
            Frame::SaveRequest(request) => {
                let reply = forward.saves_requested(cx, peer, &request);
                out.push(Effect::Send { to: peer.clone(), frame: Frame::SavePermit(reply) });
            }
            Frame::SavePermit(reply) => forward.saves_permitted(cx, &reply, out),
            Frame::SavesEnded(numbers) => forward.saves_ended(cx, peer, &numbers),
            Frame::SavesOutstanding(outstanding) => {
                forward.saves_outstanding(cx, peer, &outstanding);
            }
            Frame::Evidence(evidence) => forward.evidence_received(cx, &evidence, out),
            Frame::HeldBack(causes) => forward.held_back(cx, peer, &causes, out),
            _ => {}
        });
        if let Some(reply) = reply {
            out.push(Effect::Send { to: peer.clone(), frame: Frame::Permit(reply) });
        }
    }

    fn send_to_entries(&self, frame: &Frame, out: &mut Effects) {
        let me = &self.local.hello.name;
        for hello in self.peers.values().filter(|hello| hello.entry && hello.name != *me) {
            out.push(Effect::Send { to: hello.name.clone(), frame: frame.clone() });
        }
    }

    /// Whether this process has not run for some time before now.
    pub(super) fn has_stalled(&self, now: Time) -> bool {
        self.last_tick > Time::ZERO && now.since(self.last_tick) >= STALL_THRESHOLD
    }

    /// Logs changes of leadership and configuration, and stalls.
    pub(super) fn log_changes(&mut self, now: Time, out: &mut Effects) {
        if self.forward.is_none() {
            return;
        }
        let time = now.since(self.last_tick);
        if time >= STALL_THRESHOLD {
            out.push(Effect::Decision(Box::new(Decision::Stalled { time })));
        }
        let term = self.leader_term(now);
        if term != self.leading_term {
            self.leading_term = term;
            let voters = self.keeper.as_ref().map(|keeper| keeper.replica().last_contacts(now));
            let voters = voters.unwrap_or_default();
            out.push(Effect::Decision(Box::new(Decision::Leadership { term, voters })));
        }
        self.log_leaderless(now, out);
        let view = &self.watch.view;
        let in_force = (view.revision, self.watch.ready(now));
        if in_force != self.logged_config {
            self.logged_config = in_force;
            let (revision, ready) = in_force;
            let routes = view.route_table().iter().count();
            out.push(Effect::Decision(Box::new(Decision::InForce { revision, routes, ready })));
            self.log_evacuations(out);
        }
    }

    fn log_evacuations(&mut self, out: &mut Effects) {
        let view = &self.watch.view;
        for zone in view.evacuated().symmetric_difference(&self.logged_evacuated) {
            let record = view.get(Kind::Evacuation, zone);
            out.push(Effect::Decision(Box::new(Decision::Evacuation {
                zone: zone.clone(),
                active: view.is_evacuated(zone),
                by: record.map(|record| record.by.clone()).unwrap_or_default(),
            })));
        }
        self.logged_evacuated.clone_from(view.evacuated());
    }

    fn log_leaderless(&mut self, now: Time, out: &mut Effects) {
        let replica = self.keeper.as_ref().map(Keeper::replica);
        let Some(replica) = replica.filter(|replica| replica.leader().is_none()) else {
            self.leaderless = None;
            return;
        };
        let (since, due) = self.leaderless.get_or_insert((now, now + LEADERLESS_LOG_INTERVAL));
        if now < *due {
            return;
        }
        *due = now + LEADERLESS_LOG_INTERVAL;
        let others = replica.config().voters.iter().filter(|voter| *voter != replica.me());
        let voters = others
            .map(|voter| (voter.name.clone(), self.peers.contains_key(&voter.name)))
            .collect();
        let decision =
            Decision::Leaderless { time: now.since(*since), term: replica.term(), voters };
        out.push(Effect::Decision(Box::new(decision)));
    }

    /// Sends what this process has observed of crashes: to the leader, or as the leader to all entries.
    pub(super) fn send_evidence(&mut self, now: Time, out: &mut Effects) {
        let mut evidence = None;
        let mut held_back = Vec::new();
        let mut leader = None;
        self.with_forward(now, |forward, cx| {
            evidence = forward.take_evidence(cx);
            held_back = forward.take_held_back(now);
            let leads = cx.term.is_some();
            leader = if leads { Some(cx.process.clone()) } else { forward.leader().cloned() };
        });
        let Some(leader) = leader else {
            return;
        };
        if !held_back.is_empty() {
            out.push(Effect::Send { to: leader.clone(), frame: Frame::HeldBack(held_back) });
        }
        let Some(evidence) = evidence.map(Frame::Evidence) else {
            return;
        };
        if leader == self.local.hello.name {
            self.send_to_entries(&evidence, out);
        } else {
            out.push(Effect::Send { to: leader, frame: evidence });
        }
    }

    /// Sends the loads of this entry at the servers to the leader; as the leader, sends the load totals, limits,
    /// ages of weight versions and leases for fetches to all entries.
    pub(super) fn send_loads(&mut self, now: Time, out: &mut Effects) {
        self.inform_uninformed(now, out);
        let me = self.local.hello.name.clone();
        let mut totals = Vec::new();
        let mut ages = Vec::new();
        let mut leases = Vec::new();
        let mut limits = None;
        let mut is_leader = false;
        self.with_forward(now, |forward, cx| {
            is_leader = cx.term.is_some();
            totals = forward.take_load_totals(cx);
            ages = forward.take_version_ages(cx);
            limits = forward.take_limits(cx);
            leases = forward.take_fetch_leases();
        });
        if let Some(limits) = limits {
            self.send_to_entries(&Frame::Limits(limits), out);
        }
        if !ages.is_empty() {
            self.send_to_entries(&Frame::VersionAges(ages), out);
        }
        self.advertise_inventory_and_list(now, out);
        if !leases.is_empty() {
            self.send_to_entries(&Frame::FetchLeases(leases), out);
        }
        let Some(forward) = &mut self.forward else {
            return;
        };
        let loads = forward.take_loads(now);
        // With the loads, so that the leader reads both at once.
        forward.send_ended_saves(now, !loads.is_empty(), out);
        if is_leader {
            forward.apply_loads(now, &me, &loads);
            forward.apply_load_totals(now, &totals);
        } else if let Some(store_reader) = self.store_reader.as_ref().filter(|_| !loads.is_empty())
        {
            out.push(Effect::Send { to: store_reader.clone(), frame: Frame::Loads(loads) });
        }
        if totals.is_empty() {
            return;
        }
        self.send_to_entries(&Frame::LoadTotals(totals), out);
    }
}
