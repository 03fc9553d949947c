//! Exchanges observations of crashes between entries.
//!
//! Entries send their observations to the leader among the keepers, which passes new ones on to all entries. It sends all
//! observations at an interval and to processes that have connected; an entry answers with those that are missing there, so
//! that a new leader learns them too.

use base::prelude::*;
use quarantine::{Candidate, Loss, Observation, Segment, Server, Stage, Survival, Table, Trial};
use wire::quarantine as border;

use super::quarantine::{table_now, to_border};
use super::{Context, Forward};
use crate::decision::Decision;
use crate::{Effect, Effects};

/// Interval between two messages of the leader with all observations.
const COMPLETE_INTERVAL: Duration = Duration::from_secs(30);

impl Forward {
    /// Handles observations that a peer sent.
    pub fn evidence_received(
        &mut self,
        cx: &Context<'_>,
        evidence: &border::Evidence,
        out: &mut Effects,
    ) {
        // What the sender has, to find what it lacks.
        let mut sent = evidence.complete.then(Table::default);
        let mut segments = Vec::new();
        for observation in &evidence.observations {
            let observation = from_border(cx.now, observation);
            if let Some(sent) = &mut sent {
                sent.merge(&observation);
            }
            if !self.quarantine.table.merge(&observation) {
                continue;
            }
            segments.extend(candidate_segments(&observation));
            self.contradict(cx, &observation);
            if let Observation::Trial(trial) = &observation {
                out.push(Effect::Decision(Box::new(Decision::TrialPermitted(trial.clone()))));
                self.quarantine.unsaved = true;
            }
            if cx.term.is_some() {
                self.quarantine.outbox.push(observation);
            }
        }
        self.send_own_survivals(cx.now, segments);
        if let Some(mut sent) = sent.filter(|_| cx.term.is_none()) {
            let own = self.quarantine.table.observations();
            self.quarantine.outbox.extend(own.into_iter().filter(|found| sent.merge(found)));
        }
        self.update_quarantine(cx, out);
    }

    /// Reports that a server on which another entry has lost runs continues to answer runs of this one.
    fn contradict(&mut self, cx: &Context<'_>, observation: &Observation) {
        let Observation::Loss(loss) = observation else {
            return;
        };
        let Some(key) = self.servers.incarnation_key(&loss.server.id, loss.server.born) else {
            return;
        };
        if !self.quarantine.table.is_likely(&loss.server, cx.entries)
            || self.quarantine.losses.contains_key(&key)
        {
            return;
        }
        let remaining = self.answered_runs(key);
        if remaining == 0 {
            return;
        }
        self.observe(Observation::Loss(Loss {
            entry: cx.process.clone(),
            lost: 0,
            remaining,
            refused: false,
            candidates: Vec::new(),
            ..loss.clone()
        }));
    }

    /// Observations to send: to the leader, or as the leader to all entries.
    pub fn take_evidence(&mut self, cx: &Context<'_>) -> Option<border::Evidence> {
        let quarantine = &mut self.quarantine;
        if let Some(term) = cx.term {
            let new_term = std::mem::replace(&mut quarantine.term, term) != term;
            let due = cx.now >= quarantine.next_complete && !quarantine.table.is_empty();
            if new_term || due {
                quarantine.next_complete = cx.now + COMPLETE_INTERVAL;
                quarantine.outbox.clear();
                return Some(self.evidence(cx.now));
            }
        } else {
            quarantine.term = 0;
            // Kept for a leader to come; the table has them too.
            if self.limits.reachable().is_none() {
                quarantine.outbox.clear();
                return None;
            }
        }
        let observations = std::mem::take(&mut self.quarantine.outbox);
        if observations.is_empty() {
            return None;
        }
        let observations = observations.iter().map(|found| to_wire(cx.now, found)).collect();
        Some(border::Evidence { complete: false, observations })
    }

    /// The leader, if it is another process and reachable.
    pub fn leader(&self) -> Option<&Name> {
        self.limits.reachable().map(|issuer| &issuer.name)
    }

    /// All observations.
    pub fn evidence(&self, now: Time) -> border::Evidence {
        let observations = self.quarantine.table.observations();
        let observations = observations.iter().map(|found| to_wire(now, found)).collect();
        border::Evidence { complete: true, observations }
    }
}

/// The segments of the candidates of a loss.
pub(super) fn candidate_segments(observation: &Observation) -> Vec<Segment> {
    let Observation::Loss(loss) = observation else {
        return Vec::new();
    };
    let segments = |candidate: &Candidate| -> Vec<Segment> {
        let segment = |id: &u64| Segment { model: candidate.model.clone(), id: *id };
        candidate.segments.iter().map(segment).collect()
    };
    loss.candidates.iter().flat_map(segments).collect()
}

fn to_wire(now: Time, observation: &Observation) -> border::Observation {
    let ago_us = |at: Time| table_now(now).since(at).as_micros() as u64;
    match observation {
        Observation::Loss(loss) => border::Observation::Loss {
            server: wire::limit::ServerIncarnation {
                id: loss.server.id.clone(),
                born: loss.server.born,
            },
            entry: loss.entry.clone(),
            ago_us: ago_us(loss.at),
            lost: loss.lost,
            remaining: loss.remaining,
            refused: loss.refused,
            candidates: loss
                .candidates
                .iter()
                .map(|candidate| border::Candidate {
                    request: candidate.request.clone(),
                    begun: candidate.stage == Stage::Begun,
                    model: candidate.model.clone(),
                    segments: candidate.segments.clone(),
                })
                .collect(),
        },
        Observation::Survival(survival) => border::Observation::Survival {
            segment: to_border(&survival.segment),
            ago_us: ago_us(survival.at),
        },
        Observation::Trial(trial) => border::Observation::Trial {
            segment: to_border(&trial.segment),
            entry: trial.entry.clone(),
            number: trial.number,
            ago_us: ago_us(trial.at),
        },
    }
}

fn from_border(now: Time, observation: &border::Observation) -> Observation {
    let at = |ago_us: u64| table_now(now) - Duration::from_micros(ago_us);
    let segment = |found: &border::Segment| Segment { model: found.model.clone(), id: found.id };
    match observation {
        border::Observation::Loss {
            server,
            entry,
            ago_us,
            lost,
            remaining,
            refused,
            candidates,
        } => Observation::Loss(Loss {
            server: Server { id: server.id.clone(), born: server.born },
            entry: entry.clone(),
            at: at(*ago_us),
            lost: *lost,
            remaining: *remaining,
            refused: *refused,
            candidates: candidates
                .iter()
                .map(|candidate| Candidate {
                    request: candidate.request.clone(),
                    stage: if candidate.begun { Stage::Begun } else { Stage::Sent },
                    model: candidate.model.clone(),
                    segments: candidate.segments.clone(),
                })
                .collect(),
        }),
        border::Observation::Survival { segment: found, ago_us } => {
            Observation::Survival(Survival { segment: segment(found), at: at(*ago_us) })
        }
        border::Observation::Trial { segment: found, entry, number, ago_us } => {
            Observation::Trial(Trial {
                segment: segment(found),
                entry: entry.clone(),
                number: *number,
                at: at(*ago_us),
            })
        }
    }
}
