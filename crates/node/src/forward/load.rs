//! What each entry has at a server, told to all entries.
//!
//! Answers the pattern in which several entries each see a server idle and send it their prompts in
//! the same moment: prompts that meet there wait for each other, while other servers have nothing to
//! read. Each entry tells the leader among the keepers what it has at the servers, and the leader
//! tells everybody the sums. All values are absolute, so a lost one is mended by the next.
//!
//! The leader alone asks servers for reports while they change their weights. It tells which version they
//! hold: to an entry whose last word of a server is too old for any run, nothing else would say soon that
//! the server is through.
//!
//! A server at whose address another one answers is told in the same way: several addresses that are
//! used again at once cost each entry a try, and all entries together the retry budget.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use fleet::{OtherLoad, Server};
use wire::ServerLoad;

use super::{Context, Forward};

/// Time between two words of what has changed: a part of the time that a prompt takes to read.
const TELL: Duration = Duration::from_millis(20);
/// Time between two words of everything.
const TELL_ALL: Duration = Duration::from_millis(500);
/// Time after which the word of an entry that is silent counts no more.
const FORGET: Duration = Duration::from_millis(1_500);

/// What is told by this process, and what the leader has heard.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    changed: BTreeSet<SocketAddr>,
    next: Time,
    next_all: Time,
    /// What this entry told last.
    told: HashMap<SocketAddr, ServerLoad>,
    /// As the leader: what each entry has at each server.
    heard: BTreeMap<SocketAddr, HashMap<Name, (ServerLoad, Time)>>,
    /// As the leader: the servers whose sums have changed.
    moved: BTreeSet<SocketAddr>,
    next_sums: Time,
    /// As the leader: the servers that were told to be changing their weights.
    changing: BTreeSet<SocketAddr>,
    next_changing: Time,
}

fn nothing(server: SocketAddr) -> ServerLoad {
    ServerLoad {
        server,
        in_flight: 0,
        tokens: 0,
        prefill_tokens: 0,
        transfer_ms: 0,
        changing: false,
        version: 0,
    }
}

impl LoadExchange {
    /// What this entry has at a server has changed.
    pub fn touched(&mut self, server: SocketAddr) {
        self.changed.insert(server);
    }
}

impl Forward {
    /// What this entry has to tell the leader.
    pub fn take_loads(&mut self, now: Time) -> Vec<ServerLoad> {
        if now < self.loads.next {
            return Vec::new();
        }
        self.loads.next = now + TELL;
        if now >= self.loads.next_all {
            self.loads.next_all = now + TELL_ALL;
            let told = |server: &Server| server.running > 0 || server.health.is_misdirected(now);
            let told = self.servers.iter().filter(|(_, server)| told(server));
            self.loads.changed.extend(told.map(|(_, server)| server.listed.addr));
            self.loads.changed.extend(self.stores.senders());
        }
        let changed = std::mem::take(&mut self.loads.changed);
        let share = |server: SocketAddr| {
            let sending_ms = self.stores.sending(server);
            let share = ServerLoad { transfer_ms: sending_ms, ..nothing(server) };
            self.servers.by_addr(server).map_or(share, |found| ServerLoad {
                in_flight: found.running,
                tokens: found.tokens,
                prefill_tokens: found.prefill_tokens,
                changing: found.health.is_misdirected(now),
                ..share
            })
        };
        let shares: Vec<ServerLoad> = changed.into_iter().map(share).collect();
        for share in &shares {
            self.loads.told.insert(share.server, *share);
        }
        shares
    }

    /// As the leader: an entry told what it has.
    pub fn apply_loads(&mut self, now: Time, entry: &Name, shares: &[ServerLoad]) {
        for share in shares {
            let heard = self.loads.heard.entry(share.server).or_default();
            heard.insert(entry.clone(), (*share, now));
            self.loads.moved.insert(share.server);
        }
    }

    /// As the leader: the sums that have changed.
    pub fn take_load_totals(&mut self, cx: &Context<'_>) -> Vec<ServerLoad> {
        if cx.term.is_none() {
            self.loads.heard.clear();
            self.loads.moved.clear();
            return Vec::new();
        }
        if cx.now < self.loads.next_sums {
            return Vec::new();
        }
        self.loads.next_sums = cx.now + TELL;
        for (server, heard) in &mut self.loads.heard {
            let before = heard.len();
            heard.retain(|_, (_, at)| cx.now.since(*at) < FORGET);
            if heard.len() != before {
                self.loads.moved.insert(*server);
            }
        }
        let changing: BTreeSet<SocketAddr> = self
            .rollout
            .in_progress()
            .filter_map(|key| Some(self.servers.get(key)?.listed.addr))
            .collect();
        // Those that were told before and are through are told once more.
        let before = std::mem::replace(&mut self.loads.changing, changing.clone());
        self.loads.moved.extend(before.symmetric_difference(&changing));
        if cx.now >= self.loads.next_changing {
            self.loads.next_changing = cx.now + TELL_ALL;
            self.loads.moved.extend(&changing);
        }
        let moved = std::mem::take(&mut self.loads.moved);
        let sum = |server: SocketAddr| {
            let heard = self.loads.heard.get(&server);
            let shares = heard.into_iter().flat_map(HashMap::values).map(|(share, _)| share);
            let report = self.servers.by_addr(server).and_then(|found| found.report(cx.now));
            let none = ServerLoad {
                changing: changing.contains(&server),
                version: report.map_or(0, |report| report.version),
                ..nothing(server)
            };
            shares.fold(none, |sum, share| ServerLoad {
                server,
                in_flight: sum.in_flight + share.in_flight,
                tokens: sum.tokens + share.tokens,
                prefill_tokens: sum.prefill_tokens + share.prefill_tokens,
                transfer_ms: sum.transfer_ms + share.transfer_ms,
                changing: sum.changing || share.changing,
                version: sum.version,
            })
        };
        moved.into_iter().map(sum).collect()
    }

    /// The leader told the sums: what is not this entry's own is that of others.
    pub fn apply_load_totals(&mut self, now: Time, sums: &[ServerLoad]) {
        for sum in sums {
            let none = nothing(sum.server);
            let own = self.loads.told.get(&sum.server).copied().unwrap_or(none);
            let others = OtherLoad {
                runs: sum.in_flight.saturating_sub(own.in_flight),
                prefill_tokens: sum.prefill_tokens.saturating_sub(own.prefill_tokens),
                tokens: sum.tokens.saturating_sub(own.tokens),
            };
            self.stores.others(now, sum.server, sum.transfer_ms.saturating_sub(own.transfer_ms));
            if let Some(server) = self.servers.by_addr_mut(sum.server) {
                server.set_other_load(now, others);
                server.health.set_changing(now, sum.changing);
                // The report may be older than what the server told this process.
                if sum.version > server.version {
                    server.set_reported_version(now, sum.version);
                }
            }
        }
    }
}
