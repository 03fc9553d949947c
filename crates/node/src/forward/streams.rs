//! Streams that go on after they broke off, within their response or in a later request of the client.
//!
//! The crate `resume` has the decision. An entry records the origin of each resumable stream at a few keepers when it
//! sends the first attempt, and doesn't wait for that. When a client resumes a stream here, the entry looks up
//! the origin in its own table and then at all keepers. If a stream moves to another origin before its first event, that event
//! waits until the keepers that have the earlier record have replaced it on their disks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use cache::salt_number;
use fleet::Server;
use record::RetryPolicy;
use resume::{Availability, Binding, Key, Lookup, Origin, Refusal, Table, Write};
use wire::{Frame, stream};

use super::{Action, Context, Forward, Run};
use crate::decision::{Decision, Resumption};
use crate::stream_keeper::{origin_from_wire, to_wire};
use crate::{Effect, Effects};

/// Number of keepers that record a stream: one may be down while another one loses its disk.
const COPIES: usize = 3;
/// Longest wait for the keepers' answers to a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a change of the links to keepers after which no further keeper is expected. Links come up within it after a
/// start, and come back after a reset.
const LINKS_SETTLED: Duration = Duration::from_secs(2);

/// Records and lookups of one entry.
#[derive(Debug, Default)]
pub(super) struct Streams {
    /// Origins that this entry has recorded or looked up.
    own: Table,
    /// Records to send with the next tick, with the exchange that they belong to.
    outbox: Vec<(u64, Key, Write)>,
    /// The linked keepers.
    keepers: BTreeSet<Name>,
    /// When a link to a keeper came up or was lost last.
    links_changed_at: Time,
    /// Requests whose stream is being looked up.
    lookups: BTreeMap<u64, PendingLookup>,
    /// Requests that wait for acknowledgements, by their number.
    moves: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct PendingLookup {
    number: u64,
    key: Key,
    began: Time,
    /// Keepers that have not answered.
    unanswered: BTreeSet<Name>,
    /// Keepers that have answered; one that was linked again may do so twice.
    answered: BTreeSet<Name>,
    /// The origin that a keeper knows, and which one does.
    known: Option<(Origin, Name)>,
}

impl PendingLookup {
    /// The origin that a keeper knows, if it can be relied on although that keeper may have missed an update: all linked
    /// ones have answered, and they are a majority of `keepers`.
    fn confirmed(&self, keepers: usize) -> Option<(Origin, Name)> {
        let confirmed = self.unanswered.is_empty() && self.has_majority(keepers);
        self.known.clone().filter(|_| confirmed)
    }

    fn has_majority(&self, keepers: usize) -> bool {
        self.answered.len() > keepers / 2
    }
}

/// The records of a stream in progress.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    /// Keepers that its first record was sent to.
    keepers: Vec<Name>,
    /// Whether it moved to another origin, and the keepers that have not acknowledged that.
    moved: Option<Unacknowledged>,
    /// Whether its response is held back until they have.
    held: bool,
}

#[derive(Debug)]
enum Unacknowledged {
    /// The record was not sent yet.
    Unsent,
    /// These keepers have not answered.
    By(BTreeSet<Name>),
}

impl Recorded {
    /// Whether the response waits for acknowledgements.
    pub fn is_unacknowledged(&self) -> bool {
        self.moved.is_some()
    }

    /// Holds the response back.
    pub fn hold(&mut self) {
        self.held = true;
    }
}

impl Streams {
    /// Number of keepers that this process knows or is linked to.
    fn known_keepers(&self, cx: &Context<'_>) -> usize {
        cx.keepers.max(self.keepers.len())
    }

    /// Whether a stream with these records may move to another origin: only if all of them can be replaced.
    pub fn can_move(&self, recorded: &Recorded) -> bool {
        recorded.keepers.iter().all(|keeper| self.keepers.contains(keeper))
    }

    /// The keepers that record the streams of this process: those with the highest hash of both names, so that all
    /// keepers get about equal parts.
    fn recorders(&self, process: &Name) -> Vec<Name> {
        let weight = |keeper: &Name| {
            // A process that is a keeper itself needs no link for its own records.
            (keeper == process, salt_number(&format!("{process} {keeper}")))
        };
        let mut keepers: Vec<Name> = self.keepers.iter().cloned().collect();
        keepers.sort_by_cached_key(|keeper| Reverse(weight(keeper)));
        keepers.truncate(COPIES);
        keepers
    }
}

impl Forward {
    /// A keeper was linked.
    pub fn keeper_linked(&mut self, now: Time, keeper: &Name, out: &mut Effects) {
        if !self.streams.keepers.insert(keeper.clone()) {
            return;
        }
        self.streams.links_changed_at = now;
        for lookup in self.streams.lookups.values_mut() {
            lookup.unanswered.insert(keeper.clone());
            out.push(query(keeper, lookup.number, lookup.key));
        }
    }

    /// The link to a keeper was lost.
    pub fn keeper_unlinked(&mut self, now: Time, keeper: &Name) {
        self.leader_unlinked(keeper);
        self.streams.keepers.remove(keeper);
        self.streams.links_changed_at = now;
        for lookup in self.streams.lookups.values_mut() {
            lookup.unanswered.remove(keeper);
        }
    }

    /// Number of streams whose origins this entry remembers.
    pub fn remembered_streams(&self) -> usize {
        self.streams.own.len()
    }

    /// Binds a stream to the origin of the server that it is being sent to, and records that.
    pub(super) fn bind_stream(&mut self, now: Time, call: u64, software: &Name) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if run.retry_policy != RetryPolicy::Resume || run.binding.is_final() {
            return;
        }
        let origin = Origin { service: run.service.clone(), software: software.clone() };
        if run.binding.origin() == Some(&origin) {
            return;
        }
        let key = stream_key(run);
        let streams = &mut self.streams;
        let unsent = streams.outbox.iter().position(|(_, found, _)| *found == key);
        let moved = run.binding.origin().is_some();
        run.binding = Binding::Sent(origin.clone());
        if let Some(index) = unsent {
            // No keeper has the earlier record.
            let (_, _, write) = &mut streams.outbox[index];
            *write = match write {
                Write::First(_) => Write::First(origin.clone()),
                Write::Moved(_) | Write::Uncertain => Write::Moved(origin.clone()),
            };
        } else if moved {
            run.recorded.moved = Some(Unacknowledged::Unsent);
            // Acknowledgements of an earlier move don't count for this one.
            streams.moves.retain(|_, moved| *moved != call);
            streams.outbox.push((call, key, Write::Moved(origin.clone())));
        } else {
            streams.outbox.push((call, key, Write::First(origin.clone())));
        }
        let write = if moved { Write::Moved(origin) } else { Write::First(origin) };
        streams.own.insert(now, key, write);
    }

    /// Marks streams uncertain whose server has restarted under its identity with another software version: it may have written
    /// their events before the list showed that.
    pub(super) fn check_origins(&mut self, now: Time) {
        let has_changed = |run: &Run| {
            let key = run.last_server.as_ref().and_then(|id| self.servers.key(id));
            let listed = key.and_then(|key| self.servers.get(key)).map(|server| &server.listed);
            listed.is_some_and(|listed| Some(&listed.software) != run.last_software.as_ref())
        };
        let bound = self.runs.iter().filter(|(_, run)| run.binding.origin().is_some());
        let mut changed: Vec<u64> =
            bound.filter(|(_, run)| has_changed(run)).map(|(call, _)| *call).collect();
        changed.sort_unstable();
        for call in changed {
            let Some(run) = self.runs.get_mut(&call) else { continue };
            run.binding = Binding::Uncertain;
            let key = stream_key(run);
            self.streams.own.insert(now, key, Write::Uncertain);
            self.streams.outbox.push((call, key, Write::Uncertain));
        }
    }

    /// Sends the records of the last tick, and ends waits that are over.
    pub(super) fn tick_streams(&mut self, cx: &Context<'_>, out: &mut Effects) {
        self.streams.own.drop_oldest(cx.now);
        self.send_records(cx, out);
        let moved: Vec<u64> = self.streams.moves.values().copied().collect();
        for call in moved {
            let lost = |run: &Run| match &run.recorded.moved {
                Some(Unacknowledged::By(keepers)) => !keepers.is_subset(&self.streams.keepers),
                _ => false,
            };
            if self.runs.get(&call).is_some_and(lost) {
                self.streams.moves.retain(|_, found| *found != call);
                let text = "a keeper that has an earlier record of the stream was lost";
                self.reject(cx, call, Code::Unknown, text, out);
            }
        }
        let (runs, streams) = (&self.runs, &mut self.streams);
        streams.moves.retain(|_, call| runs.contains_key(call));
        streams.lookups.retain(|call, _| runs.contains_key(call));
        let expired = |lookup: &PendingLookup| cx.now.since(lookup.began) >= LOOKUP_TIMEOUT;
        let settled = self.links_settled(cx.now);
        let keepers = self.streams.known_keepers(cx);
        let mut over = Vec::new();
        for (call, lookup) in &self.streams.lookups {
            let is_over = expired(lookup) || (settled && lookup.unanswered.is_empty());
            if !is_over {
                continue;
            }
            let answered = lookup.unanswered.is_empty() && !self.streams.keepers.is_empty();
            let found = match &lookup.known {
                // Those that did not answer in time are frozen or cut off, so that they can't know better.
                Some(known) if lookup.has_majority(keepers) => Ok(known.clone()),
                None if answered => Err(Refusal::UnknownOrigin),
                _ => Err(Refusal::NoAnswer),
            };
            over.push((*call, found));
        }
        for (call, found) in over {
            match found {
                Ok((origin, source)) => self.origin_found(cx, call, origin, &source, out),
                Err(refusal) => self.lookup_ended(cx, call, Err(refusal), &Name::default(), out),
            }
        }
    }

    fn links_settled(&self, now: Time) -> bool {
        now.since(self.streams.links_changed_at) >= LINKS_SETTLED
    }

    fn send_records(&mut self, cx: &Context<'_>, out: &mut Effects) {
        let outbox = std::mem::take(&mut self.streams.outbox);
        if outbox.is_empty() {
            return;
        }
        let recorders = self.streams.recorders(cx.process);
        let mut first = Vec::new();
        for (call, key, write) in outbox {
            let is_first = matches!(write, Write::First(_));
            let record = to_wire(key, write);
            let run = self.runs.get_mut(&call);
            if is_first {
                if let Some(run) = run {
                    run.recorded.keepers.clone_from(&recorders);
                }
                first.push(record);
                continue;
            }
            let Some(run) = run else { continue };
            let keepers: BTreeSet<Name> = run.recorded.keepers.iter().cloned().collect();
            let ack = self.numbers.take();
            for to in keepers.iter().cloned() {
                let records = stream::Records { ack: Some(ack), records: vec![record.clone()] };
                out.push(Effect::Send { to, frame: Frame::StreamRecords(records) });
            }
            if keepers.is_empty() {
                run.recorded.moved = None;
            } else if run.recorded.moved.is_some() {
                run.recorded.moved = Some(Unacknowledged::By(keepers));
                self.streams.moves.insert(ack, call);
            }
            self.deliver_held(call, out);
        }
        if first.is_empty() {
            return;
        }
        for to in recorders {
            let records = stream::Records { ack: None, records: first.clone() };
            out.push(Effect::Send { to, frame: Frame::StreamRecords(records) });
        }
    }

    /// A keeper has replaced the record of a stream that moved.
    pub fn stream_recorded(&mut self, keeper: &Name, ack: u64, out: &mut Effects) {
        let Some(call) = self.streams.moves.get(&ack).copied() else {
            return;
        };
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if let Some(Unacknowledged::By(keepers)) = &mut run.recorded.moved {
            keepers.remove(keeper);
            if keepers.is_empty() {
                run.recorded.moved = None;
                self.streams.moves.remove(&ack);
            }
        }
        self.deliver_held(call, out);
    }

    fn deliver_held(&mut self, call: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if run.recorded.held && !run.recorded.is_unacknowledged() {
            run.recorded.held = false;
            self.deliver(call, out);
        }
    }

    /// Delivers the response to the caller, which from then on may have events.
    pub(super) fn deliver(&mut self, call: u64, out: &mut Effects) {
        if let Some(run) = self.runs.get_mut(&call) {
            run.delivery_started = true;
            run.binding.begin();
            out.push(Effect::Forward { call, action: Action::Deliver });
        }
    }

    /// Goes on with a stream that a client resumes, once its origin is known.
    pub(super) fn resume_stream(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let is_named = run.head.resumed_attempt().is_some();
        if !is_named || run.retry_policy != RetryPolicy::Resume {
            self.lookup_ended(cx, call, Err(Refusal::UnknownOrigin), &Name::default(), out);
            return;
        }
        let key = stream_key(run);
        match self.streams.own.lookup(key) {
            Lookup::Known(origin) => self.lookup_ended(cx, call, Ok(origin), cx.process, out),
            Lookup::Uncertain => {
                self.lookup_ended(cx, call, Err(Refusal::UnknownOrigin), cx.process, out);
            }
            Lookup::Unknown => {
                let unanswered = self.streams.keepers.clone();
                let number = self.numbers.take();
                out.extend(unanswered.iter().map(|keeper| query(keeper, number, key)));
                let (answered, known) = (BTreeSet::new(), None);
                let lookup =
                    PendingLookup { number, key, began: cx.now, unanswered, answered, known };
                self.streams.lookups.insert(call, lookup);
            }
        }
    }

    /// A keeper has answered a lookup.
    pub fn stream_found(
        &mut self,
        cx: &Context<'_>,
        keeper: &Name,
        (number, found): (u64, stream::Lookup),
        out: &mut Effects,
    ) {
        let keepers = self.streams.known_keepers(cx);
        let mut lookups = self.streams.lookups.iter_mut();
        let Some((&call, lookup)) = lookups.find(|(_, lookup)| lookup.number == number) else {
            return;
        };
        if !lookup.unanswered.remove(keeper) {
            return;
        }
        lookup.answered.insert(keeper.clone());
        let origin = match found {
            stream::Lookup::Known(origin) => origin_from_wire(origin),
            stream::Lookup::Uncertain => {
                self.lookup_ended(cx, call, Err(Refusal::UnknownOrigin), keeper, out);
                return;
            }
            stream::Lookup::Unknown => {
                if let Some((origin, source)) = lookup.confirmed(keepers) {
                    self.origin_found(cx, call, origin, &source, out);
                }
                // Otherwise, the next tick ends the lookup.
                return;
            }
        };
        match lookup.known.replace((origin.clone(), keeper.clone())) {
            // One keeper may have missed an update of the record, but not two.
            Some((other, source)) if source != *keeper => {
                if other == origin {
                    self.origin_found(cx, call, origin, keeper, out);
                } else {
                    self.lookup_ended(cx, call, Err(Refusal::UnknownOrigin), keeper, out);
                }
            }
            _ => {
                if let Some((origin, source)) = lookup.confirmed(keepers) {
                    self.origin_found(cx, call, origin, &source, out);
                }
            }
        }
    }

    fn origin_found(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        origin: Origin,
        source: &Name,
        out: &mut Effects,
    ) {
        if let Some(lookup) = self.streams.lookups.get(&call) {
            self.streams.own.insert(cx.now, lookup.key, Write::First(origin.clone()));
        }
        self.lookup_ended(cx, call, Ok(origin), source, out);
    }

    fn lookup_ended(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        found: Result<Origin, Refusal>,
        source: &Name,
        out: &mut Effects,
    ) {
        self.streams.lookups.remove(&call);
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        run.origin_source = Some(source.clone());
        let backends = run.head.route(cx.view).into_iter().flat_map(|route| &route.backends);
        let found = found.and_then(|origin| {
            let mut services = backends.map(|backend| &backend.service);
            let serves = services.any(|service| *service == origin.service);
            if serves { Ok(origin) } else { Err(Refusal::OtherService) }
        });
        match found {
            Ok(origin) => {
                run.service = origin.service.clone();
                run.binding = Binding::Begun(origin);
                self.count_request(cx.now, call);
                self.place(cx, call, out);
            }
            Err(refusal) => self.refuse_stream(cx, call, refusal, out),
        }
    }

    /// Refuses to go on with a stream.
    pub(super) fn refuse_stream(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        refusal: Refusal,
        out: &mut Effects,
    ) {
        self.note_resumption(cx, call, Some(refusal), out);
        let (code, text, retry_after) = match refusal {
            Refusal::UnknownOrigin | Refusal::OtherService => {
                (Code::StreamUnknown, "it is not known what began the stream; start it again", None)
            }
            Refusal::NoAnswer => {
                (Code::NotReady, "the keepers that may know the stream did not answer", None)
            }
            Refusal::VersionGone => (
                Code::StreamGone,
                "the software that began the stream is gone; start it again",
                None,
            ),
            Refusal::VersionUnavailable(time) => (
                Code::NoServer,
                "no server of the software that began the stream can take it now",
                Some(time),
            ),
        };
        self.reject_with_retry_after(cx, call, (code, text), retry_after, out);
    }

    /// Why no server can go on with a stream.
    pub(super) fn version_refusal(&self, now: Time, run: &Run) -> Refusal {
        let Some(origin) = run.binding.origin() else {
            return Refusal::UnknownOrigin;
        };
        let availability = |server: &Server| {
            if server.is_leaving() {
                Availability::Leaving
            } else {
                Availability::At(server.health.eligible_at())
            }
        };
        Refusal::of_version(now, self.servers_of(origin).map(availability))
    }

    /// The servers on the list that have the service and software version of an origin.
    fn servers_of(&self, origin: &Origin) -> impl Iterator<Item = &Server> {
        let servers = self.servers.of_service(&origin.service).map(|(_, server)| server);
        servers.filter(|server| server.listed.software == origin.software)
    }

    /// Logs that a stream goes on after the client resumed it, or why it does not go on.
    pub(super) fn note_resumption(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        refusal: Option<Refusal>,
        out: &mut Effects,
    ) {
        let Some(run) = self.runs.get(&call) else {
            return;
        };
        let origin = run.binding.origin();
        let servers: Vec<&Server> =
            origin.into_iter().flat_map(|origin| self.servers_of(origin)).collect();
        let within_response = run.head.resumption.is_none();
        // Within a response, the stream is that of the request itself.
        let own = within_response.then_some(&run.head.id);
        out.push(Effect::Decision(Box::new(Decision::Resumption(Resumption {
            request: run.head.id.clone(),
            first_attempt: run.head.resumed_attempt().or(own).cloned().unwrap_or_default(),
            within_response,
            software: origin.map(|origin| origin.software.clone()).unwrap_or_default(),
            source: run.origin_source.clone().unwrap_or_default(),
            listed: servers.len(),
            usable: servers.iter().filter(|server| server.is_usable(cx.now)).count(),
            waited: cx.now.since(run.arrived_at),
            refusal,
        }))));
    }
}

/// The key of the stream that a request begins or resumes.
fn stream_key(run: &Run) -> Key {
    Key::new(run.workspace.as_deref(), run.head.resumed_attempt().unwrap_or(&run.head.id))
}

fn query(keeper: &Name, number: u64, key: Key) -> Effect {
    Effect::Send { to: keeper.clone(), frame: Frame::StreamQuery { call: number, key: key.0 } }
}
