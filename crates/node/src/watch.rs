//! The configuration as this process knows it, and whether it may serve by it.
//!
//! A process serves only once it has read at or above the quorum's mark, and only while its
//! configuration was confirmed within the lease. A heartbeat confirms it when the sender's own is
//! confirmed and not newer; a keeper's is while it is in touch with a leader. A majority of keepers
//! that know no leader confirms it too: then no change can be accepted anywhere. A process that
//! hears of a newer revision asks whoever told it.

use std::collections::BTreeMap;

use base::prelude::*;
use record::View;
use wire::{Beat, Frame, Mark};

use crate::{Effect, Effects};

/// How long a configuration counts as the latest after it was confirmed.
pub const LEASE: Duration = Duration::from_secs(3);
/// Pause between two requests for newer records.
const AGAIN: Duration = Duration::from_millis(300);

/// The configuration and its standing.
#[derive(Debug, Default)]
pub struct Watch {
    /// The records.
    pub view: View,
    /// What the quorum held at this process's first agreed read.
    pub mark: Option<Mark>,
    confirmed: Option<Time>,
    leaderless: BTreeMap<Name, (Time, u32)>,
    asked: BTreeMap<Name, Time>,
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
        read && (self.serve_unconfirmed || self.confirmed_ago(now).is_some_and(|ago| ago < LEASE))
    }

    /// Time since the configuration was confirmed.
    pub fn confirmed_ago(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Asks a peer for what came after the revision known here.
    pub fn subscribe(&mut self, now: Time, peer: &Name, out: &mut Effects) {
        self.asked.insert(peer.clone(), now);
        let frame = Frame::Watch { revision: self.view.revision };
        out.push(Effect::Send { to: peer.clone(), frame });
    }

    /// A heartbeat came.
    pub fn beat(&mut self, now: Time, peer: &Name, beat: &Beat, out: &mut Effects) {
        if beat.revision > self.view.revision {
            let asked = self.asked.get(peer);
            if asked.is_none_or(|at| now.since(*at) >= AGAIN) {
                self.subscribe(now, peer, out);
            }
        } else if let Some(ago) = beat.confirmed_ms {
            let at = Time(now.0.saturating_sub(ago * 1_000));
            self.confirmed = self.confirmed.max(Some(at));
        }
        match beat.no_quorum {
            Some(voters) => self.leaderless.insert(peer.clone(), (now, voters)),
            None => self.leaderless.remove(peer),
        };
        self.leaderless.retain(|_, (at, _)| now.since(*at) < LEASE / 3);
        let voters = self.leaderless.values().map(|(_, voters)| *voters).max().unwrap_or(0);
        if voters > 0 && self.leaderless.len() as u32 > voters / 2 && self.mark.is_some() {
            self.confirmed = Some(now);
        }
    }

    /// A peer is gone.
    pub fn unlinked(&mut self, peer: &Name) {
        self.asked.remove(peer);
        self.leaderless.remove(peer);
    }
}
