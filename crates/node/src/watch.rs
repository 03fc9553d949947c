//! This process's copy of the configuration, and whether it may serve with it.
//!
//! A process serves only after its configuration has reached the read index of its first linearizable read,
//! and only while the configuration was confirmed within the lease. A heartbeat confirms it if the sender's
//! own configuration is confirmed and not newer; a keeper's is confirmed while it has a recent leader. A
//! majority of keepers without a leader confirms it too, if none of their logs can hold a later change: every
//! committed change is in the log of one of them, and none can be committed while they have no leader. A
//! process that receives a heartbeat with a newer revision requests the changes from its sender.

use std::collections::BTreeMap;

use base::prelude::*;
use record::{Change, View};
use wire::{Frame, Heartbeat, NoQuorum, ReadIndex};

use crate::{Effect, Effects};

/// How long a configuration counts as current after it was confirmed.
pub const CONFIG_LEASE: Duration = Duration::from_secs(3);
/// How long a peer may have a newer revision before changes are requested from it; usually the source sends
/// them sooner.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);

/// The configuration and its status.
#[derive(Debug, Default)]
pub struct Watch {
    /// The records.
    pub view: View,
    /// Read index of this process's first linearizable read.
    pub read_index: Option<ReadIndex>,
    confirmed_at: Option<Time>,
    leaderless: BTreeMap<Name, (Time, NoQuorum)>,
    source: Option<Name>,
    /// Since when a peer has had a newer revision, and that revision.
    behind: Option<(Time, Revision)>,
    /// Whether to continue serving when no keeper and no peer can confirm the configuration.
    pub serve_unconfirmed: bool,
}

impl Watch {
    /// Whether this process may accept new work.
    pub fn ready(&self, now: Time) -> bool {
        let Some(read_index) = self.read_index else {
            return false;
        };
        let read = self.view.revision >= read_index.records;
        read && (self.serve_unconfirmed
            || self.confirmed_ago(now).is_some_and(|ago| ago < CONFIG_LEASE))
    }

    /// Time since the configuration was confirmed.
    pub fn confirmed_ago(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// A keeper is connected: it becomes the source of changes, unless there is one. One source is enough,
    /// since the heartbeats of any peer show when it falls behind.
    pub fn connected(&mut self, keeper: &Name, out: &mut Effects) {
        if self.source.as_ref().is_none_or(|source| source == keeper) {
            self.source = Some(keeper.clone());
            self.request_changes(keeper, out);
        }
    }

    /// Requests from a peer the changes after the local revision.
    fn request_changes(&self, peer: &Name, out: &mut Effects) {
        let frame = Frame::Watch { revision: self.view.revision };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// Applies changes from a peer; returns whether they were applied. Earlier changes may be missing if their
    /// frames were lost with a connection: then all changes after the local revision are requested.
    pub fn apply_changes(
        &mut self,
        peer: &Name,
        after: Revision,
        changes: &[Change],
        out: &mut Effects,
    ) -> bool {
        if after > self.view.revision {
            self.request_changes(peer, out);
            return false;
        }
        self.view.apply(changes);
        true
    }

    /// The records were updated; they may still be behind the revision that a peer advertised.
    pub fn records_updated(&mut self) {
        self.behind = self.behind.filter(|(_, revision)| *revision > self.view.revision);
    }

    /// Handles a heartbeat. Only a keeper with a newer revision becomes the source; other peers send their
    /// records once.
    pub fn heartbeat(
        &mut self,
        now: Time,
        (peer, keeper): (&Name, bool),
        heartbeat: &Heartbeat,
        out: &mut Effects,
    ) {
        if heartbeat.revision > self.view.revision {
            let (since, _) = *self.behind.get_or_insert((now, heartbeat.revision));
            if now.since(since) >= CATCH_UP_DELAY {
                self.behind = None;
                self.request_changes(peer, out);
                if keeper {
                    self.source = Some(peer.clone());
                }
            }
        } else if let Some(ago) = heartbeat.confirmed_age_ms {
            // The heartbeat was sent after the peer had received the local clock value that it echoes, so it
            // confirms the configuration as of that time. The time of receipt proves nothing: this process
            // may have been frozen.
            let confirmed_at = Time(heartbeat.echo.0.saturating_sub(ago * 1_000));
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
        match heartbeat.no_quorum {
            Some(report) => self.leaderless.insert(peer.clone(), (heartbeat.echo, report)),
            None => self.leaderless.remove(peer),
        };
        let voters = self.leaderless.values().map(|(_, report)| report.voters).max().unwrap_or(0);
        let covered =
            self.leaderless.values().filter(|(_, report)| report.newest <= self.view.revision);
        let mut times: Vec<Time> = covered.map(|(at, _)| *at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(at) = times.get(voters as usize / 2).filter(|_| voters > 0) {
            self.confirmed_at = self.confirmed_at.max(Some(*at));
        }
    }

    /// The last connection to a peer was lost.
    pub fn disconnected(&mut self, peer: &Name) {
        if self.source.as_ref() == Some(peer) {
            self.source = None;
        }
        self.leaderless.remove(peer);
    }
}
