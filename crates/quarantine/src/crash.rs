//! The end of one incarnation of a server, as the entries observed it.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{Candidate, Loss, Server, Stage};

/// Time after the first loss in which the losses of the other entries arrive.
const SETTLE_TIME: Duration = Duration::from_millis(30);
/// Time between the losses of two entries at the same crash: one may have been frozen.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Candidates with a prompt that are kept of one entry's loss; those that the server had begun go first.
const MAX_PROMPTS: usize = 8;
/// Candidates without a prompt that are kept: the runs and the queue of a server, as far as one entry sent them.
const MAX_PLAIN: usize = 16;
/// Segments kept of one candidate. Longer prompts are cut; of their other segments only the whole request is blamed.
const MAX_SEGMENTS: usize = 256;
/// Lost runs from which a loss may be a crash. One response that breaks off is common.
const MIN_LOST: u32 = 2;

/// The losses at one incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The server.
    pub server: Server,
    /// When the first run was lost.
    pub at: Time,
    /// The loss of each entry.
    losses: BTreeMap<Name, Loss>,
    /// Whether it was once confirmed, and once explained.
    pub(crate) confirmed: bool,
    pub(crate) explained: bool,
}

impl Crash {
    /// The crash that a loss may belong to.
    pub(crate) fn new(loss: &Loss) -> Self {
        Self {
            server: loss.server.clone(),
            at: loss.at,
            losses: BTreeMap::new(),
            confirmed: false,
            explained: false,
        }
    }

    /// Whether a loss belongs to it. A server may start again under its identity, and crash again.
    pub(crate) fn includes(&self, loss: &Loss) -> bool {
        let apart = loss.at.since(self.at).max(self.at.since(loss.at));
        self.server == loss.server && apart < MAX_DELAY
    }

    /// Adds a loss; returns whether it changed anything.
    pub(crate) fn merge(&mut self, loss: &Loss) -> bool {
        self.at = self.at.min(loss.at);
        let Some(known) = self.losses.get_mut(&loss.entry) else {
            let mut loss = loss.clone();
            loss.candidates.sort_by_key(|candidate| candidate.stage == Stage::Sent);
            let mut room = [MAX_PLAIN, MAX_PROMPTS];
            loss.candidates.retain(|candidate| {
                let room = &mut room[usize::from(candidate.content.has_prompt())];
                std::mem::replace(room, room.saturating_sub(1)) > 0
            });
            for candidate in &mut loss.candidates {
                candidate.content.segments.truncate(MAX_SEGMENTS);
            }
            self.losses.insert(loss.entry.clone(), loss);
            return true;
        };
        let noticed = (loss.refused && !known.refused) || (loss.answered && !known.answered);
        known.refused |= loss.refused;
        known.answered |= loss.answered;
        if loss.lost > known.lost {
            let (refused, answered) = (known.refused, known.answered);
            self.losses.remove(&loss.entry);
            self.merge(&Loss { refused, answered, ..loss.clone() });
            return true;
        }
        // Of two reports on the same losses, the later one has fewer runs left.
        let fewer = loss.lost == known.lost && loss.remaining < known.remaining;
        if fewer {
            known.remaining = loss.remaining;
        }
        noticed || fewer
    }

    /// The losses, one of each entry.
    pub fn losses(&self) -> impl Iterator<Item = &Loss> {
        self.losses.values()
    }

    /// Number of runs that were lost.
    pub fn lost(&self) -> u32 {
        self.losses().map(|loss| loss.lost).sum()
    }

    /// Whether the server ended, rather than single responses, or the connections of single entries. `entries` is the
    /// number of entries.
    pub fn is_confirmed(&self, now: Time, entries: usize) -> bool {
        if now < self.at + SETTLE_TIME || self.is_answered() {
            return false;
        }
        if self.losses().any(|loss| loss.refused) {
            return true;
        }
        self.is_likely(entries)
    }

    /// Whether the server is known to have gone on.
    fn is_alive(&self) -> bool {
        self.is_answered() || self.losses().any(|loss| loss.remaining > 0)
    }

    /// Whether the server answered a request that was sent after the losses; it may crash later.
    pub(crate) fn is_answered(&self) -> bool {
        self.losses().any(|loss| loss.answered)
    }

    /// Whether it may be one although nothing confirms it, as where the server had a single run.
    pub(crate) fn is_possible(&self, now: Time) -> bool {
        now >= self.at + SETTLE_TIME && !self.is_alive()
    }

    /// Whether all requests that may have caused it are without a prompt.
    pub(crate) fn is_plain(&self) -> bool {
        self.losses()
            .flat_map(|loss| &loss.candidates)
            .all(|candidate| !candidate.content.has_prompt())
    }

    /// Whether nothing known speaks against a crash; an entry whose runs there go on has to report it.
    pub(crate) fn is_likely(&self, entries: usize) -> bool {
        let losers = self.losses().filter(|loss| loss.lost > 0).count();
        !self.is_alive() && self.lost() >= MIN_LOST && (losers > 1 || entries <= 1)
    }

    /// The requests that may have caused it: the ones that the server had begun, or all if it had begun none.
    pub fn candidates(&self) -> Vec<&Candidate> {
        let all = || self.losses().flat_map(|loss| &loss.candidates);
        let begun: Vec<&Candidate> =
            all().filter(|candidate| candidate.stage == Stage::Begun).collect();
        if begun.is_empty() { all().collect() } else { begun }
    }
}
