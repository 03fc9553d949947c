//! Permits to save prompt segments on stores: a segment is offered for fetches only when no save of it can begin.
//!
//! A save waits in its server's queue. It may begin in the next incarnation of the store, when other entries still fetch the
//! segment by the inventory of the earlier one and would read a part that is being written. So every save needs a
//! permit of the leader among the keepers. An entry asks for it when it places a request, and waits for about a
//! round trip; without a permit the request saves nothing.
//!
//! A permit ends when its saves have begun (the server has responded), when they never will (the request was not run), or at
//! the deadline that the server received with the request, after which it no longer works on it. The leader issues no permit
//! for a segment that a store holds, or that entries may still fetch by an earlier inventory. It offers a complete segment
//!
//! - at once if there was one permit, since only that save can have brought it there;
//! - otherwise when all permits have ended and a read of the store that began later shows the same incarnation: the last save
//!   could have begun after a restart that the leader does not know of yet.
//!
//! The permits of an earlier leader are known to their entries, which send them to each leader that they are linked to.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use cache::Location;
use wire::{Frame, save};

use super::{Context, Forward};
use crate::decision::SavePermit;
use crate::{Effect, Effects};

/// Longest wait for a permit: a few round trips to another availability zone, and the queue of a busy leader.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time for which an entry requests no permits after an answer was late.
const PAUSE: Duration = Duration::from_millis(500);
/// Time within which an entry doesn't request a permit for the same save again: it may be complete, but not in the
/// inventory yet.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time from the deadline of a request after which its saves can't begin any more: longer than the network may delay
/// the request.
const DEADLINE_MARGIN: Duration = Duration::from_secs(3);
/// Maximum number of permits for the same save: a second one makes up for a server with a long queue.
const MAX_HOLDERS: usize = 2;
/// Time for which a new leader issues no permits and offers no further segments, so that the linked entries send theirs.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Time after which a save that has begun is complete or broken off.
const MAX_SAVE_TIME: Duration = Duration::from_secs(10);
/// Time for which ended permits are remembered: a save may be found only by the next read of the complete inventory.
const RETENTION: Duration = Duration::from_secs(20);
/// Interval between searches for permits whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that ended permits wait to be sent with the loads.
const MAX_ENDED_DELAY: Duration = Duration::from_millis(100);

/// A segment and the store that it is to be saved on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Save {
    pub store: SocketAddr,
    pub location: Location,
}

impl From<save::Save> for Save {
    fn from(save: save::Save) -> Self {
        Self { store: save.store, location: Location { salt: save.salt, id: save.id } }
    }
}

impl From<Save> for save::Save {
    fn from(save: Save) -> Self {
        Self { store: save.store, salt: save.location.salt, id: save.location.id }
    }
}

/// The permit of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Permit {
    /// None was requested.
    #[default]
    Unrequested,
    /// It was requested under this number.
    Requested(u64),
    /// It was issued and not used.
    Issued(u64),
    /// It is used by the current attempt.
    Used(u64),
    /// It has ended or is used by an earlier attempt, or was not issued.
    Over,
}

/// Saves that may begin until a time.
#[derive(Clone, Debug)]
struct Outstanding {
    saves: Vec<Save>,
    ends: Time,
}

/// The entry that holds a permit, and its number.
type Holder = (Name, u64);

/// The permits for one save, as the leader knows them.
#[derive(Clone, Debug)]
struct Issued {
    holders: Vec<Holder>,
    /// Whether there was only one, so that only its save can bring the segment into the store.
    is_sole: bool,
    /// When the last one ended.
    ended_at: Time,
}

/// The permits of this entry, and those that it has issued as the leader.
#[derive(Debug, Default)]
pub(super) struct Saves {
    first_number: u64,
    /// The leader and its term, as known from its inventories.
    leader: Option<(Name, u64)>,
    paused_until: Time,
    /// Pending requests: the end of the wait, the exchange and the number.
    waiting: VecDeque<(Time, u64, u64)>,
    /// When a permit was last requested for a save.
    requested: HashMap<Save, Time>,
    /// Saves of this entry that may still begin, by the number of their permit.
    outstanding: BTreeMap<u64, Outstanding>,
    /// Permits that have ended, and when they are sent at the latest.
    ended: Vec<u64>,
    ended_due: Time,
    /// Term of the state below.
    term: u64,
    /// When this process began to lead in that term.
    since: Time,
    /// The permits that have not ended.
    permits: HashMap<Holder, Outstanding>,
    /// The same by save, with those that have ended a while ago.
    issued: HashMap<Save, Issued>,
    next_expiry: Time,
}

impl Saves {
    /// For an incarnation that numbers its requests from this on.
    pub fn new(first_number: u64) -> Self {
        Self { first_number, ..Self::default() }
    }

    /// As the leader: discards the permits of earlier terms, but for those of this process.
    pub fn lead(&mut self, cx: &Context<'_>) {
        let Some(term) = cx.term.filter(|term| *term != self.term) else {
            return;
        };
        (self.term, self.since) = (term, cx.now);
        self.permits.clear();
        self.issued.clear();
        for (number, outstanding) in self.outstanding.clone() {
            self.insert((cx.process.clone(), number), outstanding, false);
        }
    }

    /// As the leader: records a permit; `is_sole` if there was none before for its saves.
    fn insert(&mut self, holder: Holder, outstanding: Outstanding, is_sole: bool) {
        for save in &outstanding.saves {
            match self.issued.entry(*save) {
                Entry::Vacant(entry) => {
                    let holders = vec![holder.clone()];
                    entry.insert(Issued { holders, is_sole, ended_at: Time::ZERO });
                }
                Entry::Occupied(mut entry) => {
                    let issued = entry.get_mut();
                    if !issued.holders.contains(&holder) {
                        issued.is_sole = false;
                        issued.holders.push(holder.clone());
                    }
                }
            }
        }
        self.permits.insert(holder, outstanding);
    }

    /// As the leader: a permit has ended.
    fn remove(&mut self, now: Time, holder: &Holder) {
        let Some(outstanding) = self.permits.remove(holder) else {
            return;
        };
        for save in outstanding.saves {
            let Some(issued) = self.issued.get_mut(&save) else { continue };
            issued.holders.retain(|found| found != holder);
            issued.ended_at = now;
        }
    }

    /// As the leader: issues a permit for these saves, if there are any.
    fn issue(&mut self, now: Time, holder: Holder, outstanding: Outstanding) {
        // Saves by permits of an earlier leader may have begun.
        let is_sole = now.since(self.since) >= MAX_SAVE_TIME;
        if !outstanding.saves.is_empty() {
            self.insert(holder, outstanding, is_sole);
        }
    }

    /// As the leader: whether another permit may be issued for a save.
    fn may_issue(&self, now: Time, save: Save) -> bool {
        let holders = self.issued.get(&save).map_or(0, |issued| issued.holders.len());
        now >= self.reported_at() && holders < MAX_HOLDERS
    }

    /// As the leader: when all linked entries have sent their permits.
    fn reported_at(&self) -> Time {
        self.since + REPORT_TIME
    }

    /// As the leader: since when no save of a segment can begin, if none can.
    pub fn settled_at(&self, save: Save) -> Option<Time> {
        let reported_at = self.reported_at();
        match self.issued.get(&save) {
            Some(issued) if !issued.holders.is_empty() => None,
            Some(issued) => Some(issued.ended_at.max(reported_at)),
            None => Some(reported_at),
        }
    }

    /// As the leader: whether a segment that has appeared on a store was saved by its only permit. That permit has ended then.
    pub fn take_sole(&mut self, save: Save) -> bool {
        let is_sole = self.issued.get(&save).is_some_and(|issued| issued.is_sole);
        if is_sole {
            self.issued.remove(&save);
        }
        is_sole
    }

    /// Number of permits that this entry holds, and of those that it has issued as the leader.
    pub fn counts(&self) -> (usize, usize) {
        (self.outstanding.len(), self.permits.len())
    }

    /// Discards permits whose saves can't begin any more since their time is over.
    fn expire(&mut self, now: Time) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.outstanding.retain(|_, outstanding| now < outstanding.ends);
        self.requested.retain(|_, at| now.since(*at) < REPEAT_INTERVAL);
        let is_over = |(holder, outstanding): (&Holder, &Outstanding)| {
            (now >= outstanding.ends).then(|| holder.clone())
        };
        let over: Vec<Holder> = self.permits.iter().filter_map(is_over).collect();
        for holder in over {
            self.remove(now, &holder);
        }
        self.issued.retain(|_, issued| {
            !issued.holders.is_empty() || now.since(issued.ended_at) < RETENTION
        });
    }

    /// The saves that a request may carry out.
    pub fn permitted(&self, permit: Permit) -> &[Save] {
        let Permit::Issued(number) = permit else {
            return &[];
        };
        self.outstanding.get(&number).map_or(&[], |outstanding| &outstanding.saves)
    }

    /// The saves of a permit have begun, or never will.
    pub fn end(&mut self, now: Time, number: u64) {
        if self.outstanding.remove(&number).is_none() {
            return;
        }
        if self.ended.is_empty() {
            self.ended_due = now + MAX_ENDED_DELAY;
        }
        self.ended.push(number);
    }
}

impl Forward {
    /// A leader has advertised its inventory: it issues the permits from now on, and learns of the outstanding ones.
    pub fn leader_advertised(&mut self, now: Time, leader: &Name, term: u64, out: &mut Effects) {
        let saves = &mut self.saves;
        if saves.leader.as_ref().is_some_and(|(name, known)| name == leader && *known == term) {
            return;
        }
        saves.leader = Some((leader.clone(), term));
        saves.paused_until = now;
        // It has the ended ones from this message.
        saves.ended.clear();
        let request = |(number, outstanding): (&u64, &Outstanding)| save::Request {
            number: *number,
            saves: outstanding.saves.iter().copied().map(save::Save::from).collect(),
            left_ms: millis(outstanding.ends.since(now)),
        };
        let outstanding = save::Outstanding {
            first_number: saves.first_number,
            next_number: self.numbers.take(),
            requests: saves.outstanding.iter().map(request).collect(),
        };
        let frame = Frame::SavesOutstanding(outstanding);
        out.push(Effect::Send { to: leader.clone(), frame });
    }

    /// The leader can't be asked any more.
    pub(super) fn leader_unlinked(&mut self, keeper: &Name) {
        if self.saves.leader.as_ref().is_some_and(|(leader, _)| leader == keeper) {
            self.saves.leader = None;
        }
    }

    /// Requests a permit for the saves of a request. Returns whether the request has to wait for it.
    pub(super) fn request_saves(
        &mut self,
        cx: &Context<'_>,
        call: u64,
        mut wanted: Vec<Save>,
        out: &mut Effects,
    ) -> bool {
        let Some(run) = self.runs.get_mut(&call) else {
            return false;
        };
        match run.save_permit {
            Permit::Requested(_) => return true,
            Permit::Issued(_) | Permit::Used(_) | Permit::Over => return false,
            Permit::Unrequested => {}
        }
        run.save_permit = Permit::Over;
        let recently = |at: &Time| cx.now.since(*at) < REPEAT_INTERVAL;
        wanted.retain(|save| !self.saves.requested.get(save).is_some_and(recently));
        if wanted.is_empty() {
            return false;
        }
        let leader = self.saves.leader.as_ref().filter(|_| cx.now >= self.saves.paused_until);
        let leader = leader.map(|(leader, _)| leader.clone());
        if cx.term.is_none() && leader.is_none() {
            run.inputs.save_permit = SavePermit::NoLeader;
            return false;
        }
        self.saves.requested.extend(wanted.iter().map(|save| (*save, cx.now)));
        let number = self.numbers.take();
        let left = run.deadline.since(cx.now);
        let Some(to) = leader.filter(|_| cx.term.is_none()) else {
            let permitted = self.issue_saves(cx, cx.process, (number, left), wanted);
            self.apply_permit(call, number, permitted);
            return false;
        };
        run.save_permit = Permit::Requested(number);
        self.saves.waiting.push_back((cx.now + MAX_WAIT, call, number));
        let saves = wanted.iter().copied().map(save::Save::from).collect();
        let request = save::Request { number, saves, left_ms: millis(left) };
        // The leader may issue it, whether its answer arrives or not.
        let ends = run.deadline + DEADLINE_MARGIN;
        self.saves.outstanding.insert(number, Outstanding { saves: wanted, ends });
        out.push(Effect::Send { to, frame: Frame::SaveRequest(request) });
        true
    }

    /// As the leader: issues a permit for those of the saves that need not be withheld.
    fn issue_saves(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        (number, left): (u64, Duration),
        mut saves: Vec<Save>,
    ) -> Vec<Save> {
        self.saves.lead(cx);
        saves.retain(|save| self.saves.may_issue(cx.now, *save) && !self.stores.is_in_use(*save));
        let ends = cx.now + left + DEADLINE_MARGIN;
        let outstanding = Outstanding { saves: saves.clone(), ends };
        self.saves.issue(cx.now, (entry.clone(), number), outstanding);
        saves
    }

    /// As the leader: answers a request for a permit.
    pub fn saves_requested(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        request: &save::Request,
    ) -> save::Reply {
        let mut permitted = Vec::new();
        if cx.term.is_some() {
            let wanted = request.saves.iter().copied().map(Save::from).collect();
            let left = Duration::from_millis(u64::from(request.left_ms));
            permitted = self.issue_saves(cx, entry, (request.number, left), wanted);
        }
        let permitted = permitted.into_iter().map(save::Save::from).collect();
        save::Reply { number: request.number, permitted }
    }

    /// As the leader: learns of all permits of an entry.
    pub fn saves_outstanding(
        &mut self,
        cx: &Context<'_>,
        entry: &Name,
        outstanding: &save::Outstanding,
    ) {
        self.saves.lead(cx);
        let numbers = outstanding.first_number..outstanding.next_number;
        let earlier = self.saves.permits.keys();
        let earlier: Vec<Holder> = earlier
            .filter(|(holder, number)| holder == entry && numbers.contains(number))
            .cloned()
            .collect();
        for holder in &earlier {
            self.saves.remove(cx.now, holder);
        }
        for request in &outstanding.requests {
            let saves = request.saves.iter().copied().map(Save::from).collect();
            let ends = cx.now + Duration::from_millis(u64::from(request.left_ms));
            self.saves.insert((entry.clone(), request.number), Outstanding { saves, ends }, false);
        }
    }

    /// As the leader: permits of an entry have ended.
    pub fn saves_ended(&mut self, cx: &Context<'_>, entry: &Name, numbers: &[u64]) {
        for number in numbers {
            self.saves.remove(cx.now, &(entry.clone(), *number));
        }
    }

    /// Applies the leader's answer to a request for a permit, and places the request that waits for it.
    pub fn saves_permitted(&mut self, cx: &Context<'_>, reply: &save::Reply, out: &mut Effects) {
        let waiting = self.saves.waiting.iter().find(|(.., number)| *number == reply.number);
        let call = waiting.map(|(_, call, _)| *call);
        let run = call.and_then(|call| Some((call, self.runs.get_mut(&call)?)));
        let run = run.filter(|(_, run)| run.save_permit == Permit::Requested(reply.number));
        let Some((call, run)) = run else {
            // The wait was over, so the permit is not used.
            self.saves.end(cx.now, reply.number);
            return;
        };
        let waits = run.pending_permit.is_some();
        let permitted = reply.permitted.iter().copied().map(Save::from).collect();
        self.apply_permit(call, reply.number, permitted);
        if !waits {
            self.place(cx, call, out);
        }
    }

    /// Gives a request the permit for these saves, if there are any.
    fn apply_permit(&mut self, call: u64, number: u64, saves: Vec<Save>) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if saves.is_empty() {
            self.saves.outstanding.remove(&number);
            (run.save_permit, run.inputs.save_permit) = (Permit::Over, SavePermit::Denied);
            return;
        }
        let ends = run.deadline + DEADLINE_MARGIN;
        self.saves.outstanding.insert(number, Outstanding { saves, ends });
        (run.save_permit, run.inputs.save_permit) = (Permit::Issued(number), SavePermit::Issued);
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
            if run.save_permit != Permit::Requested(number) {
                continue;
            }
            run.save_permit = Permit::Over;
            run.inputs.save_permit = SavePermit::Unanswered;
            self.saves.paused_until = cx.now + PAUSE;
            if run.pending_permit.is_none() {
                self.place(cx, call, out);
            }
        }
        if cx.term.is_some() {
            self.saves.lead(cx);
            let ended = std::mem::take(&mut self.saves.ended);
            self.saves_ended(cx, cx.process, &ended);
        }
    }

    /// The current attempt of a request has a response: its parts have been read, so their saves have begun.
    pub(super) fn saves_begun(&mut self, now: Time, call: u64) {
        let Some(run) = self.runs.get_mut(&call) else {
            return;
        };
        if let Permit::Used(number) = run.save_permit {
            run.save_permit = Permit::Over;
            self.saves.end(now, number);
        }
    }

    /// Sends the numbers of ended permits to the leader, if due.
    pub fn send_ended_saves(&mut self, now: Time, with_loads: bool, out: &mut Effects) {
        let saves = &mut self.saves;
        if saves.ended.is_empty() || (!with_loads && now < saves.ended_due) {
            return;
        }
        if let Some((leader, _)) = &saves.leader {
            let frame = Frame::SavesEnded(std::mem::take(&mut saves.ended));
            out.push(Effect::Send { to: leader.clone(), frame });
        }
    }
}

impl Permit {
    /// The attempt that used it was not run, so that the next one may use it.
    pub(super) fn reissue(&mut self) {
        if let Self::Used(number) = *self {
            *self = Self::Issued(number);
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
