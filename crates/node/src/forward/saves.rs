//! Permits to save prompt segments on stores: at most one save of a segment can still begin at any time.
//!
//! A save waits in its server's queue and has no end: it may begin in the next incarnation of the store, when other entries
//! still fetch the segment by the inventory of the earlier one, and would read a part that is being written. So a
//! segment is offered for fetches only once no save of it can begin any more. Its appearance in the inventory proves that the
//! only permitted save has begun; if an earlier one may have caused it, the segment is withheld until the permit is returned.
//!
//! The leader among the keepers issues the permits. An entry asks when it places a request, and waits for about a
//! round trip; without a permit the request saves nothing. A permit ends when its save has begun (the server has
//! responded), when it never will (the request was not run), or after [`MAX_QUEUE_TIME`], if its entry is gone.
//! A new leader learns the outstanding permits from the entries before it issues its own.

use std::collections::{HashMap, HashSet, VecDeque};

use base::prelude::*;
use cache::Location;
use wire::{Frame, save};

use super::{Context, Forward, Run};
use crate::{Effect, Effects};

/// Longest wait for a permit: a few round trips to another availability zone.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Time after which a save that has begun, and isn't in the inventory, has been lost.
pub(super) const SAVE_EXPIRY: Duration = Duration::from_secs(2);
/// Longest time that a request waits in a server's queue after its entry has died: longer than any route's timeout.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(30);
/// Time for which a new leader issues no permits, so that the linked entries name the outstanding ones.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// The permits of one request.
#[derive(Debug, Default)]
pub(super) enum Permits {
    /// None were requested.
    #[default]
    Unrequested,
    /// They were requested under this number.
    Requested(u64),
    /// These were issued and not used.
    Issued(Vec<Location>),
    /// These are used by the current attempt.
    Used(Vec<Location>),
}

/// A permit that was issued.
#[derive(Clone, Debug)]
struct Issued {
    holder: Name,
    granted_at: Time,
    /// When its save was known to have begun.
    begun_at: Option<Time>,
    /// Whether only its save can bring the segment into the inventory.
    is_sole: bool,
}

impl Issued {
    /// A permit of an earlier leader.
    fn earlier(holder: &Name, granted_at: Time) -> Self {
        Self { holder: holder.clone(), granted_at, begun_at: None, is_sole: false }
    }
}

/// The permits of this entry, and those that it has issued as the leader.
#[derive(Debug)]
pub(super) struct Saves {
    /// The leader and its term, as known from its inventories.
    leader: Option<(Name, u64)>,
    /// Whether the leader has not answered the last request in time, and nothing has come from it since.
    leader_silent: bool,
    next_number: u64,
    /// Pending requests: the end of the wait, the exchange and the number.
    waiting: VecDeque<(Time, u64, u64)>,
    /// Saves of this entry that may still begin, with the times of their permits.
    outstanding: HashMap<Location, Time>,
    /// Term of the state below.
    term: u64,
    /// When this process began to lead in that term.
    since: Time,
    issued: HashMap<Location, Issued>,
}

impl Saves {
    /// For an incarnation that numbers its requests from this on.
    pub fn new(first_number: u64) -> Self {
        Self {
            leader: None,
            leader_silent: false,
            next_number: first_number,
            waiting: VecDeque::new(),
            outstanding: HashMap::new(),
            term: 0,
            since: Time::ZERO,
            issued: HashMap::new(),
        }
    }

    /// As the leader: discards the permits of earlier terms, but for those of this process.
    pub fn lead(&mut self, cx: &Context<'_>) {
        let Some(term) = cx.term.filter(|term| *term != self.term) else {
            return;
        };
        (self.term, self.since) = (term, cx.now);
        self.issued.clear();
        for (location, granted_at) in &self.outstanding {
            self.issued.insert(*location, Issued::earlier(cx.process, *granted_at));
        }
    }

    /// As the leader: issues a permit, unless another save of the segment can still begin.
    fn issue(&mut self, now: Time, holder: &Name, location: Location) -> bool {
        if now.since(self.since) < REPORT_TIME {
            return false;
        }
        let earlier = self.issued.get(&location);
        let is_over = |permit: &Issued| {
            let lost = permit.begun_at.is_some_and(|at| now.since(at) >= SAVE_EXPIRY);
            lost || now.since(permit.granted_at) >= MAX_QUEUE_TIME
        };
        if earlier.is_some_and(|permit| !is_over(permit)) {
            return false;
        }
        let is_sole = earlier.is_none();
        let permit = Issued { holder: holder.clone(), granted_at: now, begun_at: None, is_sole };
        self.issued.insert(location, permit);
        true
    }

    /// As the leader: a save can't begin any more.
    fn ended(&mut self, now: Time, holder: &Name, location: Location, begun: bool) {
        let Some(permit) = self.issued.get_mut(&location) else {
            return;
        };
        if permit.holder != *holder {
            return;
        }
        if begun || !permit.is_sole {
            permit.begun_at.get_or_insert(now);
        } else {
            self.issued.remove(&location);
        }
    }

    /// As the leader: whether no save can begin of a segment that a store has reported as complete.
    pub fn is_offerable(&mut self, now: Time, location: Location) -> bool {
        let Some(permit) = self.issued.get(&location) else {
            return true;
        };
        let offerable = permit.is_sole
            || permit.begun_at.is_some()
            || now.since(permit.granted_at) >= MAX_QUEUE_TIME;
        if offerable {
            self.issued.remove(&location);
        }
        offerable
    }

    /// Number of permits that this entry holds, and of those that it has issued as the leader.
    pub fn counts(&self) -> (usize, usize) {
        (self.outstanding.len(), self.issued.len())
    }

    fn expire(&mut self, now: Time) {
        self.outstanding.retain(|_, granted_at| now.since(*granted_at) < MAX_QUEUE_TIME);
    }
}

impl Forward {
    /// A leader has advertised its inventory: it issues the permits from now on, and learns of the outstanding ones.
    pub fn leader_advertised(&mut self, leader: &Name, term: u64, out: &mut Effects) {
        let found = Some((leader.clone(), term));
        self.saves.leader_silent = false;
        if self.saves.leader == found {
            return;
        }
        self.saves.leader = found;
        if !self.saves.outstanding.is_empty() {
            let segments = self.saves.outstanding.keys().copied().map(to_wire).collect();
            let frame = Frame::SavesOutstanding(segments);
            out.push(Effect::Send { to: leader.clone(), frame });
        }
    }

    /// The leader can't be asked any more.
    pub(super) fn leader_unlinked(&mut self, keeper: &Name) {
        if self.saves.leader.as_ref().is_some_and(|(leader, _)| leader == keeper) {
            self.saves.leader = None;
        }
    }

    /// Requests permits to save segments of a request. Returns whether the request has to wait for them.
    pub(super) fn request_saves(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        wanted: &[Location],
        out: &mut Effects,
    ) -> bool {
        let Some(run) = self.runs.get_mut(&call) else {
            return false;
        };
        match run.permits {
            Permits::Requested(_) => return true,
            Permits::Issued(_) | Permits::Used(_) => return false,
            Permits::Unrequested => {}
        }
        run.permits = Permits::Issued(Vec::new());
        if wanted.is_empty() {
            return false;
        }
        if cx.term.is_some() {
            let permitted = self.issue_saves(cx, cx.process, wanted);
            self.saves.outstanding.extend(permitted.iter().map(|location| (*location, cx.now)));
            if let Some(run) = self.runs.get_mut(&call) {
                run.permits = Permits::Issued(permitted);
            }
            return false;
        }
        let reachable = self.saves.leader.as_ref().filter(|_| !self.saves.leader_silent);
        let Some((leader, _)) = reachable.cloned() else {
            return false;
        };
        let number = self.saves.next_number;
        self.saves.next_number += 1;
        run.permits = Permits::Requested(number);
        self.saves.waiting.push_back((cx.now + MAX_WAIT, call, number));
        let segments = wanted.iter().copied().map(to_wire).collect();
        let frame = Frame::SaveRequest(save::Request { number, segments });
        out.push(Effect::Send { to: leader, frame });
        true
    }

    fn issue_saves(
        &mut self,
        cx: &Context<'_>,
        holder: &Name,
        wanted: &[Location],
    ) -> Vec<Location> {
        self.saves.lead(cx);
        let mut permitted = wanted.to_vec();
        permitted.retain(|location| {
            !self.stores.is_in_use(*location) && self.saves.issue(cx.now, holder, *location)
        });
        permitted
    }

    /// As the leader: answers a request for permits.
    pub fn saves_requested(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        request: &save::Request,
    ) -> save::Reply {
        let mut permitted = Vec::new();
        if cx.term.is_some() {
            let wanted: Vec<Location> = request.segments.iter().copied().map(from_wire).collect();
            permitted = self.issue_saves(cx, entry, &wanted);
        }
        let permitted = permitted.into_iter().map(to_wire).collect();
        save::Reply { number: request.number, permitted }
    }

    /// As the leader: learns of permits of an earlier leader.
    pub fn saves_outstanding(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        segments: &[save::Segment],
    ) {
        self.saves.lead(cx);
        for location in segments.iter().copied().map(from_wire) {
            let earlier = || Issued::earlier(entry, cx.now);
            self.saves.issued.entry(location).or_insert_with(earlier);
        }
    }

    /// As the leader: permits were returned.
    pub fn saves_ended(&mut self, cx: &Context<'_>, entry: &Name, ended: &save::Ended) {
        for location in ended.segments.iter().copied().map(from_wire) {
            self.saves.ended(cx.now, entry, location, ended.begun);
        }
        self.stores.offer_withheld(cx.now, &mut self.saves);
    }

    /// Applies the leader's answer to a request for permits, and places the request that waits for it.
    pub fn saves_permitted(&mut self, cx: &Context<'_>, reply: &save::Reply, out: &mut Effects) {
        self.saves.leader_silent = false;
        let permitted: Vec<Location> = reply.permitted.iter().copied().map(from_wire).collect();
        let waiting = self.saves.waiting.iter().find(|(.., number)| *number == reply.number);
        let call = waiting.map(|(_, call, _)| *call);
        let run = call.and_then(|call| Some((call, self.runs.get_mut(&call)?)));
        let asked = |run: &Run| {
            matches!(run.permits, Permits::Requested(number) if number == reply.number)
                && run.attempts == 0
        };
        let Some((call, run)) = run.filter(|(_, run)| asked(run)) else {
            // The wait was over, so the permits are not used.
            self.return_saves(cx, permitted, false, out);
            return;
        };
        self.saves.outstanding.extend(permitted.iter().map(|location| (*location, cx.now)));
        run.permits = Permits::Issued(permitted);
        if run.pending_permit.is_none() {
            self.place(cx, call, out);
        }
    }

    /// Ends the waits for permits that are over.
    pub(super) fn expire_save_requests(&mut self, cx: &Context<'_>, out: &mut Effects) {
        self.saves.expire(cx.now);
        while let Some((at, call, number)) = self.saves.waiting.front().copied() {
            if at > cx.now {
                break;
            }
            self.saves.waiting.pop_front();
            let Some(run) = self.runs.get_mut(&call) else { continue };
            if !matches!(run.permits, Permits::Requested(found) if found == number) {
                continue;
            }
            run.permits = Permits::Issued(Vec::new());
            self.saves.leader_silent = true;
            if run.attempts == 0 && run.pending_permit.is_none() {
                self.place(cx, call, out);
            }
        }
        if cx.term.is_some() {
            self.stores.offer_withheld(cx.now, &mut self.saves);
        }
    }

    /// The first bytes of a response were received: its parts have been read, so their saves have begun.
    pub(super) fn saves_begun(&mut self, cx: &Context<'_>, call: u64, out: &mut Effects) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if let Permits::Used(used) = &mut run.permits {
            let used = std::mem::take(used);
            self.return_saves(cx, used, true, out);
        }
    }

    /// Returns permits to the leader.
    pub(super) fn return_saves(
        &mut self,
        cx: &Context<'_>,
        locations: Vec<Location>,
        begun: bool,
        out: &mut Effects,
    ) {
        if locations.is_empty() {
            return;
        }
        for location in &locations {
            self.saves.outstanding.remove(location);
        }
        let segments = locations.into_iter().map(to_wire).collect();
        let ended = save::Ended { segments, begun };
        if cx.term.is_some() {
            self.saves_ended(cx, cx.process, &ended);
        } else if let Some((leader, _)) = self.saves.leader.clone() {
            out.push(Effect::Send { to: leader, frame: Frame::SavesEnded(ended) });
        }
    }
}

impl Permits {
    /// The attempt that used them was not run, so that the next one may use them.
    pub(super) fn reissue(&mut self) {
        if let Self::Used(used) = self {
            *self = Self::Issued(std::mem::take(used));
        }
    }
}

/// The segments that a request may save, of those that it has permits for.
pub(super) fn permitted(permits: &Permits) -> HashSet<Location> {
    match permits {
        Permits::Issued(locations) => locations.iter().copied().collect(),
        Permits::Unrequested | Permits::Requested(_) | Permits::Used(_) => HashSet::new(),
    }
}

fn to_wire(location: Location) -> save::Segment {
    save::Segment { salt: location.salt, id: location.id }
}

fn from_wire(segment: save::Segment) -> Location {
    Location { salt: segment.salt, id: segment.id }
}
