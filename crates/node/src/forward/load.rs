//! Exchanges the load of servers between entries.
//!
//! Without this, several entries that see the same idle server would send it their prompts at the same
//! moment; these would wait for each other while other servers are idle. Each entry sends the load that
//! it causes at each server to the leader among the keepers, and the leader sends the totals to all
//! entries. All values are absolute, so the next message makes up for a lost one.
//!
//! Only the leader requests reports of servers while they change their weights. It also sends the
//! version that they hold: an entry that last saw a version too old for any run would not otherwise
//! learn soon that the change is complete.
//!
//! A server whose address is answered by another server is advertised in the same way: otherwise
//! several addresses that are reused at the same time cost each entry an attempt, and all entries together the retry budget.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use fleet::{OtherLoad, Server, WorkTime};
use wire::ServerLoad;

use super::{Context, Forward};

/// Interval between messages with changed loads: a part of the prefill time of a prompt.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between messages with all loads.
const FULL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the load reported by an entry that has become silent no longer counts.
const EXPIRY: Duration = Duration::from_millis(1_500);

/// Loads sent by this process, and those that the leader received.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    changed: BTreeSet<SocketAddr>,
    next: Time,
    next_full: Time,
    /// The loads that this entry sent last.
    sent: HashMap<SocketAddr, ServerLoad>,
    /// As the leader: the load of each entry at each server, and when it was received.
    reported: BTreeMap<SocketAddr, HashMap<Name, (ServerLoad, Time)>>,
    /// As the leader: the servers whose totals have changed.
    changed_totals: BTreeSet<SocketAddr>,
    next_totals: Time,
    /// As the leader: the servers last advertised as changing their weights.
    changing: BTreeSet<SocketAddr>,
    next_changing: Time,
}

fn no_load(server: SocketAddr) -> ServerLoad {
    ServerLoad {
        server,
        in_flight: 0,
        tokens: 0,
        prefill_tokens: 0,
        transfer_ms: 0,
        changing: false,
        version: 0,
        work_time: None,
    }
}

impl LoadExchange {
    /// Marks the load of this entry at a server as changed.
    pub fn mark_changed(&mut self, server: SocketAddr) {
        self.changed.insert(server);
    }
}

impl Forward {
    /// The loads to send to the leader, if a message is due.
    pub fn take_loads(&mut self, now: Time) -> Vec<ServerLoad> {
        if now < self.loads.next {
            return Vec::new();
        }
        self.loads.next = now + SEND_INTERVAL;
        if now >= self.loads.next_full {
            self.loads.next_full = now + FULL_INTERVAL;
            let is_loaded =
                |server: &Server| server.in_flight > 0 || server.health.is_misdirected(now);
            let loaded = self.servers.iter().filter(|(_, server)| is_loaded(server));
            self.loads.changed.extend(loaded.map(|(_, server)| server.listed.addr));
            self.loads.changed.extend(self.stores.transfer_sources());
        }
        let changed = std::mem::take(&mut self.loads.changed);
        let load = |server: SocketAddr| {
            let transfer_ms = self.stores.transfer_ms(server);
            let load = ServerLoad { transfer_ms, ..no_load(server) };
            self.servers.by_addr(server).map_or(load, |found| ServerLoad {
                in_flight: found.in_flight,
                tokens: found.memory_tokens,
                prefill_tokens: found.prefill_tokens,
                changing: found.health.is_misdirected(now),
                work_time: found.work_time(now).map(|known| wire::WorkTime {
                    percent: known.percent,
                    age_ms: now.since(known.at).as_millis() as u16,
                }),
                ..load
            })
        };
        let loads: Vec<ServerLoad> = changed.into_iter().map(load).collect();
        for load in &loads {
            self.loads.sent.insert(load.server, *load);
        }
        loads
    }

    /// As the leader: applies the loads that an entry sent.
    pub fn apply_loads(&mut self, now: Time, entry: &Name, loads: &[ServerLoad]) {
        for load in loads {
            let reported = self.loads.reported.entry(load.server).or_default();
            reported.insert(entry.clone(), (*load, now));
            self.loads.changed_totals.insert(load.server);
        }
    }

    /// As the leader: the totals that have changed, if a message is due.
    pub fn take_load_totals(&mut self, cx: &Context<'_>) -> Vec<ServerLoad> {
        if cx.term.is_none() {
            self.loads.reported.clear();
            self.loads.changed_totals.clear();
            return Vec::new();
        }
        if cx.now < self.loads.next_totals {
            return Vec::new();
        }
        self.loads.next_totals = cx.now + SEND_INTERVAL;
        for (server, reported) in &mut self.loads.reported {
            let before = reported.len();
            reported.retain(|_, (_, at)| cx.now.since(*at) < EXPIRY);
            if reported.len() != before {
                self.loads.changed_totals.insert(*server);
            }
        }
        let changing: BTreeSet<SocketAddr> = self
            .rollout
            .in_progress()
            .filter_map(|key| Some(self.servers.get(key)?.listed.addr))
            .collect();
        // Servers that have completed their change are advertised once more.
        let before = std::mem::replace(&mut self.loads.changing, changing.clone());
        self.loads.changed_totals.extend(before.symmetric_difference(&changing));
        if cx.now >= self.loads.next_changing {
            self.loads.next_changing = cx.now + FULL_INTERVAL;
            self.loads.changed_totals.extend(&changing);
        }
        let changed = std::mem::take(&mut self.loads.changed_totals);
        let total = |server: SocketAddr| {
            let reported = self.loads.reported.get(&server);
            let loads = reported.into_iter().flat_map(HashMap::values);
            let report = self.servers.by_addr(server).and_then(|found| found.report(cx.now));
            let none = ServerLoad {
                changing: changing.contains(&server),
                version: report.map_or(0, |report| report.version),
                ..no_load(server)
            };
            loads.fold(none, |total, (load, at)| ServerLoad {
                server,
                in_flight: total.in_flight + load.in_flight,
                tokens: total.tokens + load.tokens,
                prefill_tokens: total.prefill_tokens + load.prefill_tokens,
                transfer_ms: total.transfer_ms + load.transfer_ms,
                changing: total.changing || load.changing,
                version: total.version,
                work_time: newest(total.work_time, aged(load.work_time, cx.now.since(*at))),
            })
        };
        changed.into_iter().map(total).collect()
    }

    /// Applies the totals that the leader sent: a total less this entry's own load is that of others.
    pub fn apply_load_totals(&mut self, now: Time, totals: &[ServerLoad]) {
        for total in totals {
            let none = no_load(total.server);
            let sent = self.loads.sent.get(&total.server).copied().unwrap_or(none);
            let others = OtherLoad {
                in_flight: total.in_flight.saturating_sub(sent.in_flight),
                prefill_tokens: total.prefill_tokens.saturating_sub(sent.prefill_tokens),
                memory_tokens: total.tokens.saturating_sub(sent.tokens),
            };
            self.stores.set_others_ms(
                now,
                total.server,
                total.transfer_ms.saturating_sub(sent.transfer_ms),
            );
            if let Some(server) = self.servers.by_addr_mut(total.server) {
                if let Some(wire::WorkTime { percent, age_ms }) = total.work_time {
                    let at = now - Duration::from_millis(u64::from(age_ms));
                    server.observe_work_time(WorkTime { percent, at });
                }
                server.set_other_load(now, others);
                server.health.set_changing(now, total.changing);
                // The leader may have an older report of the server than this process has.
                if total.version > server.version {
                    server.set_reported_version(now, total.version);
                }
            }
        }
    }
}

/// A work time that was received `ago`.
fn aged(work_time: Option<wire::WorkTime>, ago: Duration) -> Option<wire::WorkTime> {
    let work_time = work_time?;
    let age_ms = work_time.age_ms.saturating_add(ago.as_millis().min(u128::from(u16::MAX)) as u16);
    Some(wire::WorkTime { age_ms, ..work_time })
}

fn newest(one: Option<wire::WorkTime>, other: Option<wire::WorkTime>) -> Option<wire::WorkTime> {
    one.into_iter().chain(other).min_by_key(|work_time| work_time.age_ms)
}
