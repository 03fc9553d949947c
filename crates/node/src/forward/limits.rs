//! Servers in need: the rate that one names is kept by all entries together.
//!
//! Answers the pattern in which each entry learns that a server takes few requests and each goes on sending it
//! that many. The leader among the keepers, whose lease excludes a second one, hands out permits from one
//! bucket a server; an entry asks for one when a server with a limit suits a request best, and sends the request
//! elsewhere when there is none. Calls of the leader's own come out of the same buckets.
//!
//! An entry that hears no leader takes turns with the others by its place among them: each has one call in the time
//! in which the server takes one from everybody.

use std::collections::{HashMap, VecDeque};

use base::prelude::*;
use fleet::{Key, Limit, Limited, Server};
use limit::{LEAST, Permits, Turns};
use wire::Frame;
use wire::limit::{Heard, Life, Limits as Told};

use super::{Context, Forward};
use crate::note::{self, Note};
use crate::{Effect, Effects};

/// Least time between two words of an entry that a server names the same limit as before.
const AGAIN: Duration = Duration::from_millis(250);
/// Time between two words of all limits in force.
const TELL_ALL: Duration = Duration::from_millis(500);
/// Time for which the leader goes on telling that no limit is left, for those who missed it.
const TOLD: Duration = Duration::from_secs(3);
/// Longest time that a report may have been under way.
const REPORT: Duration = Duration::from_secs(1);
/// Part of a server's limit that reads of what it keeps may take.
const READS: f64 = 0.1;

/// The leader that hands out permits.
#[derive(Clone, Debug)]
pub(super) struct Dealer {
    pub name: Name,
    pub term: u64,
    /// Since when it has not answered.
    pub silent: Option<Time>,
}

/// What an entry knows of who hands out permits, and what the leader hands out.
#[derive(Debug, Default)]
pub(super) struct Limits {
    pub(super) dealer: Option<Dealer>,
    /// Since when there has been no leader to ask.
    pub(super) alone: Option<Time>,
    pub(super) number: u64,
    /// Questions under way, by the end of their wait.
    pub(super) waiting: VecDeque<(Time, u64, u64)>,
    pub(super) next_heard: Time,
    /// As the leader.
    permits: HashMap<Key, Permits>,
    pub(super) turns: HashMap<Name, Turns>,
    /// The term in which the limits were last told.
    term: u64,
    changed: bool,
    next_all: Time,
    told_until: Time,
}

impl Limits {
    /// The dealer, if it is there to ask.
    pub fn reachable(&self) -> Option<&Dealer> {
        self.dealer.as_ref().filter(|dealer| dealer.silent.is_none())
    }

    /// As the leader: takes a permit for a call of its own that may wait.
    pub fn read(&mut self, now: Time, key: Key, server: &Server) -> bool {
        let Some(takes) = server.takes() else {
            return true;
        };
        self.of(now, key).take(now, takes).is_ok()
    }

    /// Time between two reads of what a server with a limit keeps.
    pub fn pause(server: &Server) -> Option<Duration> {
        server.takes().map(|takes| Duration::from_secs_f64(1.0 / (takes.max(LEAST) * READS)))
    }

    pub fn of(&mut self, now: Time, key: Key) -> &mut Permits {
        self.permits.entry(key).or_insert_with(|| Permits::new(now))
    }
}

impl Forward {
    /// An answer to a request of this entry said something of its server's limit.
    pub(super) fn limit_answered(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        (request, sent): (&Name, Time),
        said: Limited,
        out: &mut Effects,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let leader = self.limits.reachable().filter(|_| cx.term.is_none());
        let leader = leader.map(|dealer| dealer.name.clone());
        let from = || note::Heard::Answer(request.clone());
        let heard = match said {
            Limited::Unreadable => {
                let server = server.listed.id.clone();
                out.push(Effect::Note(Box::new(Note::LimitUnreadable { server })));
                return;
            }
            Limited::To(limit) => {
                let known = server.need.and_then(|need| need.heard);
                let lately = known.is_some_and(|heard| cx.now.since(heard) < AGAIN);
                let same = server.limit() == Some(limit);
                if server.named(limit, cx.now, true) {
                    self.limits.changed = true;
                    out.push(changed(server, from(), Duration::ZERO));
                }
                if same && lately {
                    return;
                }
                Heard { server: life(server), limit: Some(limit.0), ago_us: 0 }
            }
            Limited::Not => {
                let Some(need) = &mut server.need else {
                    return;
                };
                if leader.is_none() {
                    if need.unnamed(sent) {
                        server.need = None;
                        self.limits.changed = true;
                        out.push(changed(server, from(), Duration::ZERO));
                    }
                    return;
                }
                let ago_us = cx.now.since(sent).as_micros() as u64;
                Heard { server: life(server), limit: None, ago_us }
            }
        };
        if let Some(to) = leader {
            out.push(Effect::Send { to, frame: Frame::LimitsHeard(vec![heard]) });
        }
    }

    /// A server's report said something of its limit.
    pub(super) fn limit_reported(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        said: Limited,
        out: &mut Effects,
    ) {
        let need = self.servers.get_mut(key).and_then(|server| server.need.as_mut());
        let reported = need.is_some_and(|need| need.reported);
        if said == Limited::Not && !reported {
            return;
        }
        let sent = cx.now - REPORT;
        self.limit_answered(cx, key, (&Name::default(), sent), said, out);
        let need = self.servers.get_mut(key).and_then(|server| server.need.as_mut());
        if let Some(need) = need {
            need.reported = true;
        }
    }

    /// As the leader: an entry heard something of servers' limits.
    pub fn limits_heard(
        &mut self,
        cx: &Context<'_>,
        from: &Name,
        heard: &[Heard],
        out: &mut Effects,
    ) {
        for heard in heard {
            let key = self.servers.life(&heard.server.id, heard.server.born);
            let Some(server) = key.and_then(|key| self.servers.get_mut(key)) else {
                continue;
            };
            let at = cx.now - Duration::from_micros(heard.ago_us);
            let news = match (heard.limit, &mut server.need) {
                (Some(limit), _) => server.named(Limit(limit), at, false),
                (None, Some(need)) => need.unnamed(at) && server.need.take().is_some(),
                (None, None) => false,
            };
            if news {
                self.limits.changed = true;
                out.push(changed(server, note::Heard::Process(from.clone()), cx.now.since(at)));
            }
        }
    }

    /// As the leader: the limits in force, if it is time to tell the entries.
    pub fn take_limits(&mut self, cx: &Context<'_>) -> Option<Told> {
        let Some(term) = cx.term else {
            self.limits.term = 0;
            self.limits.permits.clear();
            return None;
        };
        let limits = &mut self.limits;
        let anew = limits.term != term;
        if anew {
            // What the leader before handed out may be in use: every bucket starts empty.
            limits.permits.clear();
        }
        let due = cx.now >= limits.next_all && cx.now < limits.told_until;
        if !anew && !limits.changed && !due {
            return None;
        }
        (limits.term, limits.changed) = (term, false);
        limits.next_all = cx.now + TELL_ALL;
        let servers = &self.servers;
        limits.permits.retain(|key, _| servers.get(*key).is_some_and(|found| found.need.is_some()));
        let told = self.limits_in_force(cx.now, term);
        for (key, _) in self.servers.iter().filter(|(_, server)| server.need.is_some()) {
            self.limits.of(cx.now, key);
        }
        if !told.limits.is_empty() {
            self.limits.told_until = cx.now + TOLD;
        }
        Some(told)
    }

    /// As the leader: the limits in force, for an entry that has come.
    pub fn limits_in_force(&self, now: Time, term: u64) -> Told {
        let limit = |server: &Server| {
            let need = server.need?;
            let ago_us = now.since(need.named).as_micros() as u64;
            Some(wire::limit::Limit { server: life(server), limit: need.limit.0, ago_us })
        };
        let limits = self.servers.iter().filter_map(|(_, server)| limit(server)).collect();
        Told { term, limits }
    }

    /// The leader told the limits in force.
    pub fn limits_told(&mut self, cx: &Context<'_>, from: &Name, told: &Told, out: &mut Effects) {
        if self.limits.dealer.as_ref().is_some_and(|dealer| told.term < dealer.term) {
            return;
        }
        let known = self.limits.reachable().is_some_and(|dealer| dealer.name == *from);
        self.limits.dealer = Some(Dealer { name: from.clone(), term: told.term, silent: None });
        self.limits.alone = None;
        if cx.term.is_some() {
            return;
        }
        if !known {
            self.tell_heard(cx.now, out);
        }
        let mut named: Vec<Key> = Vec::new();
        for limit in &told.limits {
            let Some(key) = self.servers.life(&limit.server.id, limit.server.born) else {
                continue;
            };
            named.push(key);
            let age = Duration::from_micros(limit.ago_us);
            if let Some(server) = self.servers.get_mut(key)
                && server.named(Limit(limit.limit), cx.now - age, false)
            {
                out.push(changed(server, note::Heard::Process(from.clone()), age));
            }
        }
        for (key, server) in self.servers.iter_mut() {
            if !named.contains(&key) && server.need.is_some_and(|need| need.is_old(cx.now)) {
                server.need = None;
                out.push(changed(server, note::Heard::Process(from.clone()), Duration::ZERO));
            }
        }
    }

    /// Tells the leader, which may be new or have missed it, what this entry itself heard of limits.
    pub(super) fn tell_heard(&mut self, now: Time, out: &mut Effects) {
        self.limits.next_heard = now + TELL_ALL;
        let Some(dealer) = &self.limits.dealer else {
            return;
        };
        let heard = |server: &Server| {
            let need = server.need?;
            let ago_us = now.since(need.heard?).as_micros() as u64;
            Some(Heard { server: life(server), limit: Some(need.limit.0), ago_us })
        };
        let heard: Vec<Heard> =
            self.servers.iter().filter_map(|(_, server)| heard(server)).collect();
        if !heard.is_empty() {
            let to = dealer.name.clone();
            out.push(Effect::Send { to, frame: Frame::LimitsHeard(heard) });
        }
    }
}

pub(super) fn life(server: &Server) -> Life {
    Life { id: server.listed.id.clone(), born: server.listed.born }
}

fn changed(server: &Server, from: note::Heard, age: Duration) -> Effect {
    let (limit, calls) = (server.limit(), server.calls);
    let server = server.listed.id.clone();
    Effect::Note(Box::new(Note::Limited { server, limit, from, age, calls }))
}
