//! The configuration as this process knows it, and whether it may serve by it.
//!
//! A process serves only once it has read at or above the quorum's mark, and only while its
//! configuration was confirmed within the lease. A heartbeat confirms it when the sender's own is
//! confirmed and not newer; a keeper's is while it is in touch with a leader. A majority of keepers
//! that know no leader confirms it too, if none of their logs may hold a later change: each accepted
//! one is in the log of one of them, and none can be accepted anywhere. A process that hears of a newer
//! revision asks whoever told it.

use std::collections::BTreeMap;

use base::prelude::*;
use record::{Change, View};
use wire::{Frame, Heartbeat, NoQuorum, ReadIndex};

use crate::{Effect, Effects};

/// How long a configuration counts as the latest after it was confirmed.
pub const CONFIG_LEASE: Duration = Duration::from_secs(3);
/// How long a peer may know more before it is asked; changes from the source are mostly faster.
const BEHIND: Duration = Duration::from_millis(300);

/// The configuration and its standing.
#[derive(Debug, Default)]
pub struct Watch {
    /// The records.
    pub view: View,
    /// What the quorum held at this process's first agreed read.
    pub mark: Option<ReadIndex>,
    confirmed: Option<Time>,
    leaderless: BTreeMap<Name, (Time, NoQuorum)>,
    source: Option<Name>,
    /// Since when a peer is known to know more, and the revision that it told of.
    behind: Option<(Time, Revision)>,
    /// Whether to serve on when no keeper and no peer can confirm.
    pub serve_unconfirmed: bool,
}

impl Watch {
    /// Whether this process may take new work.
    pub fn ready(&self, now: Time) -> bool {
        let Some(mark) = self.mark else {
            return false;
        };
        let read = self.view.revision >= mark.records;
        read && (self.serve_unconfirmed
            || self.confirmed_ago(now).is_some_and(|ago| ago < CONFIG_LEASE))
    }

    /// Time since the configuration was confirmed.
    pub fn confirmed_ago(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// A keeper can be reached: it becomes the source of changes, unless there is one. One source
    /// is enough, since any peer's heartbeat tells when it falls behind.
    pub fn connected(&mut self, keeper: &Name, out: &mut Effects) {
        if self.source.as_ref().is_none_or(|source| source == keeper) {
            self.source = Some(keeper.clone());
            self.ask(keeper, out);
        }
    }

    /// Asks a peer for what came after the revision known here.
    fn ask(&self, peer: &Name, out: &mut Effects) {
        let frame = Frame::Watch { revision: self.view.revision };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// Changes have come from a peer; gives whether they were applied. Frames of a link that was lost may be
    /// missing before them: then the peer is asked for all that came after what is known here.
    pub fn changed(
        &mut self,
        peer: &Name,
        after: Revision,
        changes: &[Change],
        out: &mut Effects,
    ) -> bool {
        if after > self.view.revision {
            self.ask(peer, out);
            return false;
        }
        self.view.apply(changes);
        true
    }

    /// Records have come; those that a peer told of may still be missing.
    pub fn applied(&mut self) {
        self.behind = self.behind.filter(|(_, revision)| *revision > self.view.revision);
    }

    /// A heartbeat came; only a keeper that knows more becomes the source, others answer once.
    pub fn beat(
        &mut self,
        now: Time,
        (peer, keeper): (&Name, bool),
        beat: &Heartbeat,
        out: &mut Effects,
    ) {
        if beat.revision > self.view.revision {
            let (since, _) = *self.behind.get_or_insert((now, beat.revision));
            if now.since(since) >= BEHIND {
                self.behind = None;
                self.ask(peer, out);
                if keeper {
                    self.source = Some(peer.clone());
                }
            }
        } else if let Some(ago) = beat.confirmed_age_ms {
            // What was sent after our own word had come there is at least as new as that word; the
            // time of receipt proves nothing to a process that was frozen.
            let at = Time(beat.echo.0.saturating_sub(ago * 1_000));
            self.confirmed = self.confirmed.max(Some(at));
        }
        match beat.no_quorum {
            Some(word) => self.leaderless.insert(peer.clone(), (beat.echo, word)),
            None => self.leaderless.remove(peer),
        };
        let voters = self.leaderless.values().map(|(_, word)| word.voters).max().unwrap_or(0);
        let known = self.leaderless.values().filter(|(_, word)| word.newest <= self.view.revision);
        let mut times: Vec<Time> = known.map(|(at, _)| *at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(at) = times.get(voters as usize / 2).filter(|_| voters > 0) {
            self.confirmed = self.confirmed.max(Some(*at));
        }
    }

    /// A peer is gone.
    pub fn disconnected(&mut self, peer: &Name) {
        if self.source.as_ref() == Some(peer) {
            self.source = None;
        }
        self.leaderless.remove(peer);
    }
}
